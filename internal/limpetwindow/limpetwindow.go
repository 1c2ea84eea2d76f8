// Package limpetwindow counts the usage of client accounts in time windows.
// Each VM counts the requests that it forwards. The director sums the counts
// of a window, freezes the sums by storing them exactly once, and reports the
// stored figures.
package limpetwindow

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"sync"
	"time"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetstore"
)

const (
	countPrefix  = "use/"
	frozenPrefix = "frozen/"
	// flushInterval is how often changed counts are written to the store.
	flushInterval = time.Second
	// openWindowFlushAge is the age at which the counts of a window are first
	// written although it has not ended, so that a VM that crashes loses few
	// of them.
	openWindowFlushAge = 2500 * time.Millisecond
	// closedWindowFlushDelay is how long after the end of a window its counts
	// are written.
	closedWindowFlushDelay = 300 * time.Millisecond
	// retainedWindows is the number of windows for which counts are kept.
	retainedWindows = 12
)

// Counts maps accounts to the number of their requests that began in a window.
type Counts map[string]int

// WindowAt returns the number of the window that contains t.
func WindowAt(t time.Time, length time.Duration) int64 { return t.UnixMilli() / length.Milliseconds() }

// WindowEnd returns the time at which a window ends.
func WindowEnd(window int64, length time.Duration) time.Time {
	return time.UnixMilli((window + 1) * length.Milliseconds())
}

func countKey(window int64, counter string) string {
	return fmt.Sprintf("%s%d/%s", countPrefix, window, counter)
}

func frozenKey(window int64) string { return fmt.Sprintf("%s%d", frozenPrefix, window) }

// A Counter counts requests for one incarnation of a VM.
type Counter struct {
	store  limpetstore.Store
	name   string
	length time.Duration
	now    func() time.Time
	log    *limpetlog.Logger

	// SendToDirector, if set, sends counts to the director. It reports whether
	// the director accepted them; otherwise they are written to the store.
	SendToDirector func(ctx context.Context, counter string, windows map[int64]Counts) bool

	// resend wakes Run.
	resend chan struct{}

	mu      sync.Mutex
	windows map[int64]*windowCounts
}

type windowCounts struct {
	counts Counts
	// changed is set if the counts changed since they were last sent or
	// written.
	changed bool
	// written is set once the counts were written to the store.
	written bool
}

// NewCounter returns an empty counter. The name must be unique to the VM and
// its incarnation.
func NewCounter(store limpetstore.Store, name string, length time.Duration, now func() time.Time, log *limpetlog.Logger) *Counter {
	return &Counter{store: store, name: name, length: length, now: now, log: log, resend: make(chan struct{}, 1), windows: map[int64]*windowCounts{}}
}

// CountRequest counts a request that a server began to run at the given time.
func (c *Counter) CountRequest(account string, at time.Time) {
	window := WindowAt(at, c.length)
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.windows[window]
	if w == nil {
		w = &windowCounts{counts: Counts{}}
		c.windows[window] = w
	}
	w.counts[account]++
	w.changed = true
}

// Run sends or writes the counts periodically, and at once after ResendAll, until
// ctx ends.
func (c *Counter) Run(ctx context.Context) error {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-c.resend:
		}
		c.Flush(ctx, false)
	}
}

// Flush sends the changed counts to the director. If that fails, it writes
// those that are due to the store, or all of them if all is set.
func (c *Counter) Flush(ctx context.Context, all bool) {
	if c.sendChanged(ctx) {
		return
	}
	t, windows := c.takeDue(all)
	if len(t.Writes) == 0 {
		return
	}
	// The keys belong to this incarnation alone and the counts never decrease,
	// so the write needs no condition and can be repeated safely.
	if _, err := c.store.Commit(ctx, t); err != nil {
		c.log.Emit(limpetlog.UsageNotWritten, limpetlog.Value("windows", len(windows)), limpetlog.Error(err))
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, w := range windows {
			w.changed = true
		}
	}
}

// sendChanged sends the changed counts to the director. It reports whether
// nothing is left to write to the store.
func (c *Counter) sendChanged(ctx context.Context) bool {
	if c.SendToDirector == nil {
		return false
	}
	windows := map[int64]Counts{}
	var changed []*windowCounts
	c.mu.Lock()
	for number, w := range c.windows {
		if w.changed {
			windows[number] = maps.Clone(w.counts)
			changed = append(changed, w)
			w.changed = false
		}
	}
	c.mu.Unlock()
	if len(windows) == 0 || c.SendToDirector(ctx, c.name, windows) {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range changed {
		w.changed = true
	}
	return false
}

// ResendAll marks all counts to be sent again, which a new director needs.
func (c *Counter) ResendAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.windows {
		w.changed = true
	}
	select {
	case c.resend <- struct{}{}:
	default:
	}
}

// takeDue returns a transaction that writes the changed counts of the windows
// that are due, or of all windows if all is set. It marks them as written.
func (c *Counter) takeDue(all bool) (limpetstore.Transaction, []*windowCounts) {
	now := c.now()
	current := WindowAt(now, c.length)
	var t limpetstore.Transaction
	var windows []*windowCounts
	c.mu.Lock()
	defer c.mu.Unlock()
	for number, w := range c.windows {
		if number < current-retainedWindows {
			delete(c.windows, number)
			continue
		}
		end := WindowEnd(number, c.length)
		open := now.Before(end.Add(closedWindowFlushDelay))
		early := open && !w.written && now.Sub(end.Add(-c.length)) >= openWindowFlushAge
		if !w.changed || (open && !early && !all) || len(t.Writes) >= limpetstore.MaxTransactionEntries {
			continue
		}
		// Maps of strings and numbers always encode.
		data, _ := json.Marshal(w.counts)
		t.Writes = append(t.Writes, limpetstore.Write{Key: countKey(number, c.name), Data: data})
		w.changed, w.written = false, true
		windows = append(windows, w)
	}
	return t, windows
}

func decodeCounts(v limpetstore.Value) (Counts, error) {
	c := Counts{}
	if err := json.Unmarshal(v.Data, &c); err != nil {
		return nil, limpeterror.Invalid.Wrap(err, "value of %s", v.Key)
	}
	return maps.Clone(c), nil
}
