// Package limpetusage counts client accounts' usage by time window and freezes
// the totals of ended windows. Counts are cumulative for each window and VM
// incarnation, so writing them is idempotent. The package must not import
// transport packages.
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

// A Count holds a client account's usage. Tokens counts the generated tokens,
// and ServerMillis the milliseconds that backend servers spent on the requests.
type Count struct {
	Requests     uint64 `json:"requests"`
	PromptTokens uint64 `json:"prompt_tokens"`
	Tokens       uint64 `json:"tokens"`
	ServerMillis uint64 `json:"server_ms"`
}

// Plus returns c + o.
func (c Count) Plus(o Count) Count {
	return Count{c.Requests + o.Requests, c.PromptTokens + o.PromptTokens, c.Tokens + o.Tokens, c.ServerMillis + o.ServerMillis}
}

// Minus returns c - o.
func (c Count) Minus(o Count) Count {
	return Count{c.Requests - o.Requests, c.PromptTokens - o.PromptTokens, c.Tokens - o.Tokens, c.ServerMillis - o.ServerMillis}
}

// windowLayout is the time format of window names. Names sort by time.
const windowLayout = "20060102T150405Z"

// WindowName returns the name of the window of the given length that contains t.
func WindowName(t time.Time, length time.Duration) string {
	return t.UTC().Truncate(length).Format(windowLayout)
}

// WindowStart returns the start time of a named window.
func WindowStart(window string) (time.Time, error) {
	t, err := time.Parse(windowLayout, window)
	if err != nil {
		return t, limpeterror.Invalid.Wrap(err, "usage window %q", window)
	}
	return t, nil
}

// A Record holds the counts of one VM incarnation in one window. Sequence
// increases with each change. Closed marks the counts as final.
type Record struct {
	Window      string           `json:"window"`
	VM          string           `json:"vm"`
	Incarnation string           `json:"incarnation"`
	Sequence    uint64           `json:"sequence"`
	Closed      bool             `json:"closed"`
	Counts      map[string]Count `json:"counts"`
}

// RecordKey returns the store key of a record.
func RecordKey(window, incarnation string) string {
	return "usage/record/" + window + "/" + incarnation
}

// DecodeRecord decodes a stored record.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return r, limpeterror.Invalid.Wrap(err, "usage record")
	}
	return r, nil
}

// A Tally holds the counts of this VM incarnation until their final values are
// in the store. It is safe for concurrent use.
type Tally struct {
	mu          sync.Mutex
	vm          string
	incarnation string
	length      time.Duration
	records     map[string]*Record
	// flushed holds the sequence of each record as last written to the store.
	flushed map[string]uint64
	// closed is the newest closed window.
	closed string
}

// NewTally returns an empty tally for windows of the given length.
func NewTally(vm, incarnation string, length time.Duration) *Tally {
	return &Tally{vm: vm, incarnation: incarnation, length: length, records: map[string]*Record{}, flushed: map[string]uint64{}}
}

// Add adds usage of an account to the window that contains now. Requests are
// counted when they end. If that window is closed already, as after the clock
// stepped back, the usage goes to the window after the newest closed one.
func (t *Tally) Add(now time.Time, account string, c Count) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.recordFor(t.openWindow(now))
	r.Counts[account] = r.Counts[account].Plus(c)
	r.Sequence++
}

// openWindow returns the window to which usage at now is added.
func (t *Tally) openWindow(now time.Time) string {
	window := WindowName(now, t.length)
	if window > t.closed {
		return window
	}
	start, err := WindowStart(t.closed)
	if err != nil {
		return window
	}
	return WindowName(start.Add(t.length), t.length)
}

func (t *Tally) recordFor(window string) *Record {
	r, ok := t.records[window]
	if !ok {
		r = &Record{Window: window, VM: t.vm, Incarnation: t.incarnation, Sequence: 1, Counts: map[string]Count{}}
		t.records[window] = r
	}
	return r
}

// Pending returns copies of the records that changed since they were flushed,
// oldest first. It closes windows that ended before now, or all if final is
// set. The current window gets a record even if it is empty, so that an idle
// VM closes its windows as well.
func (t *Tally) Pending(now time.Time, final bool) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.openWindow(now)
	t.recordFor(current)
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

// MarkFlushed records that r was written to the store, and drops the tally's
// copy if its final counts were written.
func (t *Tally) MarkFlushed(r Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.flushed[r.Window] = max(t.flushed[r.Window], r.Sequence)
	if record := t.records[r.Window]; record != nil && record.Closed && t.flushed[r.Window] >= record.Sequence {
		delete(t.records, r.Window)
		delete(t.flushed, r.Window)
	}
}

// Totals returns the sums of the counts that the tally holds, by account.
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

// A Correction holds usage of an earlier window that was stored after that
// window was frozen.
type Correction struct {
	Window      string `json:"window"`
	Incarnation string `json:"incarnation"`
	Account     string `json:"account"`
	Count       Count  `json:"count"`
}

// A FrozenWindow holds the final totals of a window, and corrections of earlier
// windows. Included maps the key of each record that contributed to either to
// the counts taken from it. Missing lists the live incarnations that had not
// closed the window.
type FrozenWindow struct {
	Window      string                      `json:"window"`
	Totals      map[string]Count            `json:"figures"`
	Corrections []Correction                `json:"corrections,omitempty"`
	Included    map[string]map[string]Count `json:"included"`
	Missing     []string                    `json:"missing,omitempty"`
}

// FrozenKey returns the store key of a frozen window.
func FrozenKey(window string) string { return "usage/frozen/" + window }

// DecodeFrozenWindow decodes a stored frozen window.
func DecodeFrozenWindow(data []byte) (FrozenWindow, error) {
	var f FrozenWindow
	if err := json.Unmarshal(data, &f); err != nil {
		return f, limpeterror.Invalid.Wrap(err, "frozen usage window")
	}
	return f, nil
}

// Ready reports whether a window can be frozen, which is when every live
// incarnation has closed it. It also returns the live incarnations that have
// not.
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

// Freeze computes the final totals of a window from its records. It also
// computes the corrections of earlier windows: what their records hold beyond
// the counts that former freezes included. Earlier must be ordered by window.
func Freeze(window string, records, earlier []Record, former []FrozenWindow, missing []string) FrozenWindow {
	f := FrozenWindow{Window: window, Totals: map[string]Count{}, Included: map[string]map[string]Count{}, Missing: missing}
	for _, r := range records {
		for a, c := range r.Counts {
			f.Totals[a] = f.Totals[a].Plus(c)
		}
		f.Included[RecordKey(window, r.Incarnation)] = r.Counts
	}
	for _, r := range earlier {
		key := RecordKey(r.Window, r.Incarnation)
		counted := map[string]Count{}
		for _, frozen := range former {
			for a, c := range frozen.Included[key] {
				counted[a] = counted[a].Plus(c)
			}
		}
		f.addCorrections(r, key, counted)
	}
	return f
}

func (f *FrozenWindow) addCorrections(r Record, key string, counted map[string]Count) {
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

// A Report is the usage report of one client account and window that is sent
// to the platform's usage intake.
type Report struct {
	Account     string       `json:"account"`
	Window      string       `json:"window"`
	Totals      Count        `json:"figures"`
	Corrections []Correction `json:"corrections,omitempty"`
}

// Reports returns the encoded reports of a frozen window, ordered by account.
// The encoding is deterministic, so a repeated report has the same bytes.
func (f FrozenWindow) Reports() (accounts []string, data [][]byte, err error) {
	byAccount := map[string]*Report{}
	get := func(a string) *Report {
		if byAccount[a] == nil {
			byAccount[a] = &Report{Account: a, Window: f.Window}
		}
		return byAccount[a]
	}
	for a, c := range f.Totals {
		get(a).Totals = c
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
