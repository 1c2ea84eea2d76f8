package limpetwindow

import (
	"encoding/json"
	"maps"
	"strconv"
	"sync"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetstore"
)

// Held holds the counts that other VMs handed to a director. It is safe for
// use by several goroutines.
type Held struct {
	mu      sync.Mutex
	windows map[int64]map[string]Counts
	// unsaved holds the windows whose counts changed since they were saved.
	unsaved map[int64]bool
}

// NewHeld returns an empty set of counts.
func NewHeld() *Held { return &Held{windows: map[int64]map[string]Counts{}, unsaved: map[int64]bool{}} }

// Take records the counts of a counter, which only grow.
func (h *Held) Take(counter string, windows map[int64]Counts) {
	h.mu.Lock()
	defer h.mu.Unlock()
	newest := int64(0)
	for number, counts := range windows {
		w := h.windows[number]
		if w == nil {
			w = map[string]Counts{}
			h.windows[number] = w
		}
		w[counter] = merge(w[counter], counts)
		h.unsaved[number] = true
		newest = max(newest, number)
	}
	for number := range h.windows {
		if number < newest-2*forgetAfter {
			delete(h.windows, number)
			delete(h.unsaved, number)
		}
	}
}

// of returns a copy of the counts of a window by counter.
func (h *Held) of(window int64) map[string]Counts {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.windows[window])
}

// merge returns the larger count of each account: a counter's own figures
// only grow.
func merge(a, b Counts) Counts {
	sum := Counts{}
	for _, c := range []Counts{a, b} {
		for account, n := range c {
			sum[account] = max(sum[account], n)
		}
	}
	return sum
}

// heldMark begins the name of what a director saved for other counters, in the
// place of a counter's name.
const heldMark = "="

// take returns the writes that save what changed in windows from the oldest
// on, and those windows. The fencing number keeps one director from writing
// over what another one saved.
func (h *Held) take(fence uint64, oldest int64) (writes []limpetstore.Write, windows []int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for number := range h.unsaved {
		delete(h.unsaved, number)
		if number < oldest || len(writes) >= limpetstore.MaxEntries {
			continue
		}
		// Names and numbers always encode.
		data, _ := json.Marshal(h.windows[number])
		writes = append(writes, limpetstore.Write{Key: countKey(number, heldMark+strconv.FormatUint(fence, 10)), Data: data})
		windows = append(windows, number)
	}
	return writes, windows
}

// untake makes windows be saved again.
func (h *Held) untake(windows []int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, number := range windows {
		h.unsaved[number] = true
	}
}

// decodeHeld reads what a director saved for other counters.
func decodeHeld(v limpetstore.Value) (map[string]Counts, error) {
	counters := map[string]Counts{}
	if err := json.Unmarshal(v.Data, &counters); err != nil {
		return nil, limpeterror.Invalid.Wrap(err, "value of %s", v.Key)
	}
	return counters, nil
}
