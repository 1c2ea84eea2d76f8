package limpetwindow

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpettask"
)

// A Report is one window's usage as it is reported.
type Report struct {
	Window int64
	Counts Counts
	Holder string
	Fence  uint64
}

// A Reporter adds up, freezes and reports windows. It is used by one
// goroutine of the director.
type Reporter struct {
	Store  limpetstore.Store
	Length time.Duration
	// Late is when a report is due after a window's end.
	Late time.Duration
	// Send hands a report to the platform. Fenced means that a later holder
	// has reported.
	Send  func(ctx context.Context, r Report) error
	Fence func(ahead time.Duration) (uint64, bool)
	// Held holds the counts that were handed over past the store.
	Held *Held
	VM   string
	Now  func() time.Time
	Log  *limpetlog.Logger
}

const (
	// collectShare of the time until a report is due is left for VMs to write
	// their counts.
	collectShare = 0.45
	reportTick   = 250 * time.Millisecond
	sendTime     = 1500 * time.Millisecond
	// sureFor is how long the lease must last at least when a report is sent.
	sureFor = 300 * time.Millisecond
	// handOver is how long a new director waits for VMs to hand it the counts
	// that its predecessor held, as long as reports are not late by that.
	handOver = 3 * time.Second
	// lastSend is how long before a report is due it must be sent.
	lastSend = 1500 * time.Millisecond
	// savePeriod is how often counts that were handed over are saved, and
	// saveTime bounds it.
	savePeriod = 1500 * time.Millisecond
	saveTime   = 500 * time.Millisecond
	// reportPast is how many windows back a new director looks.
	reportPast = 3
)

// Run reports each window from its collection on, until ctx ends.
func (r *Reporter) Run(ctx context.Context) error {
	done := map[int64]bool{}
	began := r.Now()
	saved := began
	for limpettask.Sleep(ctx, reportTick) {
		now := r.Now()
		collect := time.Duration(collectShare * float64(r.Late))
		newest := WindowOf(now.Add(-collect), r.Length) - 1
		if now.Sub(saved) >= savePeriod {
			saved = now
			r.save(ctx, newest+1)
		}
		for window := newest - reportPast; window <= newest; window++ {
			age := now.Sub(EndOf(window, r.Length))
			if done[window] || age > r.Late+r.Length || (now.Sub(began) < handOver && age < r.Late-lastSend) {
				continue
			}
			if err := r.report(ctx, window); err != nil {
				r.Log.Emit(limpetlog.WindowFailed, limpetlog.Value("window", window), limpetlog.Error(err))
				if limpeterror.Is(err, limpeterror.Fenced) {
					return nil
				}
				continue
			}
			done[window] = true
		}
		delete(done, newest-2*reportPast)
	}
	return nil
}

// save writes the counts that other VMs handed over, of windows from the
// oldest on: if all VMs lose power, the store alone has them.
func (r *Reporter) save(ctx context.Context, oldest int64) {
	fence, ok := r.Fence(0)
	if !ok {
		return
	}
	writes, windows := r.Held.take(fence, oldest)
	if len(writes) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, saveTime)
	defer cancel()
	// Counts only grow and are merged by counter, so that a write that comes
	// late, or from a VM that is the director no more, does no harm.
	if _, err := r.Store.Commit(ctx, limpetstore.Transaction{Writes: writes}); err != nil {
		r.Log.Emit(limpetlog.UsageNotWritten, limpetlog.Value("windows", len(windows)), limpetlog.Error(err))
		r.Held.untake(windows)
	}
}

func (r *Reporter) report(ctx context.Context, window int64) error {
	counts, err := r.freeze(ctx, window)
	if err != nil {
		return err
	}
	fence, ok := r.Fence(sureFor)
	if !ok {
		return limpeterror.Unavailable.New("the lease is not sure")
	}
	ctx, cancel := context.WithTimeout(ctx, sendTime)
	defer cancel()
	if err := r.Send(ctx, Report{Window: window, Counts: counts, Holder: r.VM, Fence: fence}); err != nil {
		return err
	}
	total := 0
	for _, n := range counts {
		total += n
	}
	r.Log.Emit(limpetlog.WindowReported, limpetlog.Value("window", window), limpetlog.Value("requests", total),
		limpetlog.Value("accounts", len(counts)), limpetlog.Value("fence", fence))
	return nil
}

// freeze returns the figures of a window, which never change once written.
func (r *Reporter) freeze(ctx context.Context, window int64) (Counts, error) {
	v, err := r.Store.Get(ctx, frozenKey(window))
	if err == nil {
		return decode(v)
	}
	if !limpeterror.Is(err, limpeterror.NotFound) {
		return nil, err
	}
	sum, keys, err := r.add(ctx, window)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(sum)
	if err != nil {
		return nil, limpeterror.Invalid.Wrap(err, "window %d", window)
	}
	t := limpetstore.Transaction{
		Checks:  []limpetstore.Check{{Key: frozenKey(window)}},
		Writes:  []limpetstore.Write{{Key: frozenKey(window), Data: data}},
		Removes: append([]string{frozenKey(window - 2*forgetAfter)}, keys[:min(len(keys), limpetstore.MaxEntries-3)]...),
	}
	if _, err := r.Store.Commit(ctx, t); err != nil {
		// Whether it is frozen is read back on the next try.
		return nil, err
	}
	return sum, nil
}

func (r *Reporter) add(ctx context.Context, window int64) (Counts, []string, error) {
	l, err := r.Store.Scan(ctx, fmt.Sprintf("%s%d/", countPrefix, window), "")
	if err != nil {
		return nil, nil, err
	}
	counters := r.Held.of(window)
	if counters == nil {
		counters = map[string]Counts{}
	}
	var keys []string
	for _, v := range l.Values {
		found, err := countersOf(v)
		if err != nil {
			r.Log.Emit(limpetlog.ValueIgnored, limpetlog.Value("key", v.Key), limpetlog.Error(err))
			continue
		}
		for name, c := range found {
			counters[name] = merge(counters[name], c)
		}
		keys = append(keys, v.Key)
	}
	sum := Counts{}
	for _, c := range counters {
		for account, n := range c {
			sum[account] += n
		}
	}
	return sum, keys, nil
}

// countersOf reads counts by counter from a value that a counter or a
// director wrote.
func countersOf(v limpetstore.Value) (map[string]Counts, error) {
	_, name, _ := strings.Cut(strings.TrimPrefix(v.Key, countPrefix), "/")
	if strings.HasPrefix(name, heldMark) {
		return decodeHeld(v)
	}
	c, err := decode(v)
	return map[string]Counts{name: c}, err
}

// Frozen returns the figures of the windows that are frozen, by number.
func Frozen(ctx context.Context, store limpetstore.Store) (map[int64]Counts, error) {
	l, err := store.Scan(ctx, frozenPrefix, "")
	if err != nil {
		return nil, err
	}
	windows := map[int64]Counts{}
	for _, v := range l.Values {
		number, err := strconv.ParseInt(strings.TrimPrefix(v.Key, frozenPrefix), 10, 64)
		if err != nil {
			return nil, limpeterror.Invalid.Wrap(err, "key %s", v.Key)
		}
		if windows[number], err = decode(v); err != nil {
			return nil, err
		}
	}
	return windows, nil
}
