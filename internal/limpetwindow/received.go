package limpetwindow

import (
	"encoding/json"
	"maps"
	"strconv"
	"sync"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetstore"
)

// ReceivedCounts holds the counts that other VMs sent to the director. It is
// safe for concurrent use.
type ReceivedCounts struct {
	mu      sync.Mutex
	windows map[int64]map[string]Counts
	// unsaved holds the windows whose counts changed since they were last
	// saved.
	unsaved map[int64]bool
	// senders holds the counters that sent counts in this term.
	senders map[string]bool
}

// NewReceivedCounts returns an empty set of counts.
func NewReceivedCounts() *ReceivedCounts {
	return &ReceivedCounts{windows: map[int64]map[string]Counts{}, unsaved: map[int64]bool{}, senders: map[string]bool{}}
}

// Merge takes over the counts of a counter, which never decrease.
func (r *ReceivedCounts) Merge(counter string, windows map[int64]Counts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.senders[counter] = true
	newest := int64(0)
	for number, counts := range windows {
		w := r.windows[number]
		if w == nil {
			w = map[string]Counts{}
			r.windows[number] = w
		}
		w[counter] = merge(w[counter], counts)
		r.unsaved[number] = true
		newest = max(newest, number)
	}
	for number := range r.windows {
		if number < newest-2*retainedWindows {
			delete(r.windows, number)
			delete(r.unsaved, number)
		}
	}
}

// beginTerm forgets which counters have sent counts.
func (r *ReceivedCounts) beginTerm() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.senders)
}

// hasHeardAll reports whether all of the counters have sent counts in this term.
func (r *ReceivedCounts) hasHeardAll(counters map[string]bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range counters {
		if !r.senders[name] {
			return false
		}
	}
	return true
}

// countsFor returns a copy of a window's counts by counter.
func (r *ReceivedCounts) countsFor(window int64) map[string]Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.windows[window])
}

// merge returns the larger count of each account: the counts of one counter
// never decrease.
func merge(a, b Counts) Counts {
	merged := Counts{}
	for _, c := range []Counts{a, b} {
		for account, n := range c {
			merged[account] = max(merged[account], n)
		}
	}
	return merged
}

// directorKeyPrefix marks the key of a value in which a director saved the
// counts of other counters; it stands where the counter's name stands
// otherwise.
const directorKeyPrefix = "="

// takeUnsaved returns the writes that save the changed counts of windows from
// oldest on, and the numbers of these windows. The key includes the fencing
// token, so that directors do not overwrite each other's values.
func (r *ReceivedCounts) takeUnsaved(fence uint64, oldest int64) (writes []limpetstore.Write, windows []int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for number := range r.unsaved {
		delete(r.unsaved, number)
		if number < oldest || len(writes) >= limpetstore.MaxTransactionEntries {
			continue
		}
		// Maps of strings and numbers always encode.
		data, _ := json.Marshal(r.windows[number])
		writes = append(writes, limpetstore.Write{Key: countKey(number, directorKeyPrefix+strconv.FormatUint(fence, 10)), Data: data})
		windows = append(windows, number)
	}
	return writes, windows
}

// markUnsaved marks windows to be saved again.
func (r *ReceivedCounts) markUnsaved(windows []int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, number := range windows {
		r.unsaved[number] = true
	}
}

// decodeReceived decodes a value in which a director saved the counts of other
// counters.
func decodeReceived(v limpetstore.Value) (map[string]Counts, error) {
	counters := map[string]Counts{}
	if err := json.Unmarshal(v.Data, &counters); err != nil {
		return nil, limpeterror.Invalid.Wrap(err, "value of %s", v.Key)
	}
	return counters, nil
}
