// Package limpetwindow owns the usage of client accounts by time window. Each
// VM counts and writes its own figures; the director adds them up, freezes a
// window by writing its sum once, and reports exactly what is frozen.
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
	"limpetmount.org/internal/limpettask"
)

const (
	countPrefix  = "use/"
	frozenPrefix = "frozen/"
	// flushPeriod is how often counts that changed are written.
	flushPeriod = time.Second
	// openFlush is how old a window is at least when its counts are written
	// before its end, so that a VM that dies loses few of them.
	openFlush = 2500 * time.Millisecond
	// endFlush is how long after its end a window's counts are written.
	endFlush = 300 * time.Millisecond
	// forgetAfter is how long counts are kept, in windows.
	forgetAfter = 12
)

// Counts holds the requests of each account that began in one window.
type Counts map[string]int

// WindowOf returns the number of the window that holds a time.
func WindowOf(t time.Time, length time.Duration) int64 { return t.UnixMilli() / length.Milliseconds() }

// EndOf returns when a window ends.
func EndOf(window int64, length time.Duration) time.Time {
	return time.UnixMilli((window + 1) * length.Milliseconds())
}

func countKey(window int64, counter string) string {
	return fmt.Sprintf("%s%d/%s", countPrefix, window, counter)
}

func frozenKey(window int64) string { return fmt.Sprintf("%s%d", frozenPrefix, window) }

// A Counter holds the counts of one VM's incarnation.
type Counter struct {
	store  limpetstore.Store
	name   string
	length time.Duration
	now    func() time.Time
	log    *limpetlog.Logger

	// Hand gives counts to the director, when it is set. It reports whether
	// they were taken; otherwise they go to the store.
	Hand func(ctx context.Context, counter string, windows map[int64]Counts) bool

	mu      sync.Mutex
	windows map[int64]*counted
}

type counted struct {
	counts  Counts
	changed bool
	written bool
}

// NewCounter returns a counter without counts. The name tells VMs and their
// incarnations apart.
func NewCounter(store limpetstore.Store, name string, length time.Duration, now func() time.Time, log *limpetlog.Logger) *Counter {
	return &Counter{store: store, name: name, length: length, now: now, log: log, windows: map[int64]*counted{}}
}

// Began counts a request that a server began to run.
func (c *Counter) Began(account string, at time.Time) {
	window := WindowOf(at, c.length)
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.windows[window]
	if w == nil {
		w = &counted{counts: Counts{}}
		c.windows[window] = w
	}
	w.counts[account]++
	w.changed = true
}

// Run writes counts until ctx ends.
func (c *Counter) Run(ctx context.Context) error {
	for limpettask.Sleep(ctx, flushPeriod) {
		c.Flush(ctx, false)
	}
	return nil
}

// Flush writes the counts that are due, or all that changed.
func (c *Counter) Flush(ctx context.Context, all bool) {
	if c.hand(ctx) {
		return
	}
	t, windows := c.due(all)
	if len(t.Writes) == 0 {
		return
	}
	// The keys are this incarnation's own and the counts only grow, so that a
	// write may be repeated blindly and none needs a condition.
	if _, err := c.store.Commit(ctx, t); err != nil {
		c.log.Emit(limpetlog.UsageNotWritten, limpetlog.Value("windows", len(windows)), limpetlog.Error(err))
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, w := range windows {
			w.changed = true
		}
	}
}

// hand gives the counts that changed to the director. It reports whether
// nothing is left to write.
func (c *Counter) hand(ctx context.Context) bool {
	if c.Hand == nil {
		return false
	}
	windows := map[int64]Counts{}
	var changed []*counted
	c.mu.Lock()
	for number, w := range c.windows {
		if w.changed {
			windows[number] = maps.Clone(w.counts)
			changed = append(changed, w)
			w.changed = false
		}
	}
	c.mu.Unlock()
	if len(windows) == 0 || c.Hand(ctx, c.name, windows) {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range changed {
		w.changed = true
	}
	return false
}

// Again makes all counts be handed over again, to a new director.
func (c *Counter) Again() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.windows {
		w.changed = true
	}
}

func (c *Counter) due(all bool) (limpetstore.Transaction, []*counted) {
	now := c.now()
	current := WindowOf(now, c.length)
	var t limpetstore.Transaction
	var windows []*counted
	c.mu.Lock()
	defer c.mu.Unlock()
	for number, w := range c.windows {
		if number < current-forgetAfter {
			delete(c.windows, number)
			continue
		}
		end := EndOf(number, c.length)
		open := now.Before(end.Add(endFlush))
		early := open && !w.written && now.Sub(end.Add(-c.length)) >= openFlush
		if !w.changed || (open && !early && !all) || len(t.Writes) >= limpetstore.MaxEntries {
			continue
		}
		// Numbers and names always encode.
		data, _ := json.Marshal(w.counts)
		t.Writes = append(t.Writes, limpetstore.Write{Key: countKey(number, c.name), Data: data})
		w.changed, w.written = false, true
		windows = append(windows, w)
	}
	return t, windows
}

func decode(v limpetstore.Value) (Counts, error) {
	c := Counts{}
	if err := json.Unmarshal(v.Data, &c); err != nil {
		return nil, limpeterror.Invalid.Wrap(err, "value of %s", v.Key)
	}
	return maps.Clone(c), nil
}
