// Package limpetusage owns the counting of client accounts' usage by time
// window, and the freezing of windows. Counts are cumulative for each window
// and VM incarnation, so that writing them twice changes nothing. It must not
// import transports.
package limpetusage

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sort"
	"sync"
	"time"

	"limpetmount.org/internal/limpeterror"
)

// A Count holds what a client account used.
type Count struct {
	Requests     uint64 `json:"requests"`
	PromptTokens uint64 `json:"prompt_tokens"`
	Tokens       uint64 `json:"tokens"`
	ServerMillis uint64 `json:"server_ms"`
}

// Plus returns the sum of two counts.
func (c Count) Plus(o Count) Count {
	return Count{c.Requests + o.Requests, c.PromptTokens + o.PromptTokens, c.Tokens + o.Tokens, c.ServerMillis + o.ServerMillis}
}

// Minus returns what c has more than o.
func (c Count) Minus(o Count) Count {
	return Count{c.Requests - o.Requests, c.PromptTokens - o.PromptTokens, c.Tokens - o.Tokens, c.ServerMillis - o.ServerMillis}
}

// windowLayout is the time format of window names, which sort by time.
const windowLayout = "20060102T150405Z"

// WindowOf returns the name of the window of the given length that contains t.
func WindowOf(t time.Time, length time.Duration) string {
	return t.UTC().Truncate(length).Format(windowLayout)
}

// StartOf returns the start of a window.
func StartOf(window string) (time.Time, error) {
	t, err := time.Parse(windowLayout, window)
	if err != nil {
		return t, limpeterror.Invalid.Wrap(err, "usage window %q", window)
	}
	return t, nil
}

// A Record holds one incarnation's counts of one window. Sequence grows with
// each change. Closed means that the counts are final.
type Record struct {
	Window      string           `json:"window"`
	VM          string           `json:"vm"`
	Incarnation string           `json:"incarnation"`
	Sequence    uint64           `json:"sequence"`
	Closed      bool             `json:"closed"`
	Counts      map[string]Count `json:"counts"`
}

// RecordKey returns where a record stands in the store.
func RecordKey(window, incarnation string) string {
	return "usage/record/" + window + "/" + incarnation
}

// DecodeRecord reads a stored record.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return r, limpeterror.Invalid.Wrap(err, "usage record")
	}
	return r, nil
}

// A Tally holds the counts of this incarnation that are not yet final in the
// store. It is used by traffic goroutines.
type Tally struct {
	mu          sync.Mutex
	vm          string
	incarnation string
	length      time.Duration
	records     map[string]*Record
	flushed     map[string]uint64
	// closed is the newest window that was closed.
	closed string
}

// NewTally returns an empty tally for windows of the given length.
func NewTally(vm, incarnation string, length time.Duration) *Tally {
	return &Tally{vm: vm, incarnation: incarnation, length: length, records: map[string]*Record{}, flushed: map[string]uint64{}}
}

// Add counts for an account in the window that contains now. Work is counted
// when it ends. A window that was closed gets no more counts, also when the
// clock steps back: they go to the window after it.
func (t *Tally) Add(now time.Time, account string, c Count) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(t.open(now))
	r.Counts[account] = r.Counts[account].Plus(c)
	r.Sequence++
}

// open returns the window that takes counts at now.
func (t *Tally) open(now time.Time) string {
	window := WindowOf(now, t.length)
	if window > t.closed {
		return window
	}
	start, err := StartOf(t.closed)
	if err != nil {
		return window
	}
	return WindowOf(start.Add(t.length), t.length)
}

func (t *Tally) record(window string) *Record {
	r, ok := t.records[window]
	if !ok {
		r = &Record{Window: window, VM: t.vm, Incarnation: t.incarnation, Sequence: 1, Counts: map[string]Count{}}
		t.records[window] = r
	}
	return r
}

// Pending returns copies of the records that changed since they were flushed,
// oldest first. Windows that ended before now are marked closed; the current
// window is present even when it is empty, so that it will be closed too.
// With final set, all windows are closed.
func (t *Tally) Pending(now time.Time, final bool) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.open(now)
	t.record(current)
	var pending []Record
	for window, r := range t.records {
		if !r.Closed && (window < current || final) {
			r.Closed = true
			r.Sequence++
			t.closed = max(t.closed, window)
		}
		if t.flushed[window] < r.Sequence {
			c := *r
			c.Counts = maps.Clone(r.Counts)
			pending = append(pending, c)
		}
	}
	sort.Slice(pending, func(i, j int) bool { return pending[i].Window < pending[j].Window })
	return pending
}

// Flushed tells the tally that a record is in the store.
func (t *Tally) Flushed(r Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.flushed[r.Window] = max(t.flushed[r.Window], r.Sequence)
	if own := t.records[r.Window]; own != nil && own.Closed && t.flushed[r.Window] >= own.Sequence {
		delete(t.records, r.Window)
		delete(t.flushed, r.Window)
	}
}

// Totals returns the counts that this tally still holds, by account.
func (t *Tally) Totals() map[string]Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	totals := map[string]Count{}
	for _, r := range t.records {
		for a, c := range r.Counts {
			totals[a] = totals[a].Plus(c)
		}
	}
	return totals
}

// A Correction holds counts of an earlier window that came too late for it.
type Correction struct {
	Window      string `json:"window"`
	Incarnation string `json:"incarnation"`
	Account     string `json:"account"`
	Count       Count  `json:"count"`
}

// A Frozen holds the final figures of a window. Included gives, for each
// record of this and of earlier windows that was counted, what was counted.
type Frozen struct {
	Window      string                      `json:"window"`
	Figures     map[string]Count            `json:"figures"`
	Corrections []Correction                `json:"corrections,omitempty"`
	Included    map[string]map[string]Count `json:"included"`
	Missing     []string                    `json:"missing,omitempty"`
}

// FrozenKey returns where a frozen window stands in the store.
func FrozenKey(window string) string { return "usage/frozen/" + window }

// DecodeFrozen reads a stored frozen window.
func DecodeFrozen(data []byte) (Frozen, error) {
	var f Frozen
	if err := json.Unmarshal(data, &f); err != nil {
		return f, limpeterror.Invalid.Wrap(err, "frozen usage window")
	}
	return f, nil
}

// Ready reports whether a window can be frozen: every live incarnation has
// closed it. Missing are the live incarnations that have not.
func Ready(records []Record, live []string) (ready bool, missing []string) {
	for _, incarnation := range live {
		closed := slices.ContainsFunc(records, func(r Record) bool { return r.Incarnation == incarnation && r.Closed })
		if !closed {
			missing = append(missing, incarnation)
		}
	}
	sort.Strings(missing)
	return len(missing) == 0, missing
}

// Freeze computes the final figures of a window from its records, and the
// corrections of earlier windows from their records and what former freezes
// counted of them. Earlier must be ordered by window.
func Freeze(window string, records, earlier []Record, former []Frozen, missing []string) Frozen {
	f := Frozen{Window: window, Figures: map[string]Count{}, Included: map[string]map[string]Count{}, Missing: missing}
	for _, r := range records {
		for a, c := range r.Counts {
			f.Figures[a] = f.Figures[a].Plus(c)
		}
		f.Included[RecordKey(window, r.Incarnation)] = r.Counts
	}
	for _, r := range earlier {
		key := RecordKey(r.Window, r.Incarnation)
		counted := map[string]Count{}
		for _, old := range former {
			for a, c := range old.Included[key] {
				counted[a] = counted[a].Plus(c)
			}
		}
		f.correct(r, key, counted)
	}
	return f
}

func (f *Frozen) correct(r Record, key string, counted map[string]Count) {
	accounts := slices.Sorted(maps.Keys(r.Counts))
	for _, a := range accounts {
		late := r.Counts[a].Minus(counted[a])
		if late == (Count{}) {
			continue
		}
		f.Corrections = append(f.Corrections, Correction{Window: r.Window, Incarnation: r.Incarnation, Account: a, Count: late})
		if f.Included[key] == nil {
			f.Included[key] = map[string]Count{}
		}
		f.Included[key][a] = late
	}
}

// A Report holds what the intake gets for one client account and window.
type Report struct {
	Account     string       `json:"account"`
	Window      string       `json:"window"`
	Figures     Count        `json:"figures"`
	Corrections []Correction `json:"corrections,omitempty"`
}

// Reports returns the reports of a frozen window, ordered by account. The
// bytes depend on nothing but f.
func (f Frozen) Reports() (accounts []string, data [][]byte, err error) {
	byAccount := map[string]*Report{}
	get := func(a string) *Report {
		if byAccount[a] == nil {
			byAccount[a] = &Report{Account: a, Window: f.Window}
		}
		return byAccount[a]
	}
	for a, c := range f.Figures {
		get(a).Figures = c
	}
	for _, c := range f.Corrections {
		r := get(c.Account)
		r.Corrections = append(r.Corrections, c)
	}
	accounts = slices.Sorted(maps.Keys(byAccount))
	for _, a := range accounts {
		d, err := json.Marshal(byAccount[a])
		if err != nil {
			return nil, nil, fmt.Errorf("report of %s: %w", a, err)
		}
		data = append(data, d)
	}
	return accounts, data, nil
}
