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

// A Report is the usage of one window as sent to the platform.
type Report struct {
	Window int64
	Counts Counts
	// Holder is the VM that holds the director's lease, and Fence the fencing
	// token of that lease.
	Holder string
	Fence  uint64
}

// A Reporter sums, freezes and reports windows. A single goroutine of the
// director uses it.
type Reporter struct {
	Store  limpetstore.Store
	Length time.Duration
	// ReportDeadline is the time from the end of a window until its report is
	// due.
	ReportDeadline time.Duration
	// Send sends a report to the platform. A Fenced error means that a later
	// lease holder has reported already.
	Send func(ctx context.Context, r Report) error
	// Fence returns the fencing token of the director's lease, and whether the
	// lease is valid for the given time ahead.
	Fence func(ahead time.Duration) (uint64, bool)
	// Call prepares a call under the director's lease; see limpetlease.Holder.Call.
	Call func(ctx context.Context, ahead, timeout time.Duration) (call context.Context, cancel context.CancelFunc, fence uint64, ok bool)
	// ReceivedCounts holds the counts that VMs sent to the director instead of
	// writing them to the store.
	ReceivedCounts *ReceivedCounts
	// ResendOwn makes this VM's counter send all its counts again.
	ResendOwn func()
	VM        string
	Now       func() time.Time
	Log       *limpetlog.Logger
}

const (
	// collectFraction is the fraction of the time until a report is due in
	// which VMs may still write their counts.
	collectFraction = 0.33
	reportInterval  = 250 * time.Millisecond
	sendTimeout     = 1500 * time.Millisecond
	// minLeaseRemaining is the least time for which the lease must still be
	// valid when a report is sent.
	minLeaseRemaining = 300 * time.Millisecond
	// resendWait is how long a new director waits for VMs to send it again the
	// counts that its predecessor held, unless a report would be late. It waits
	// less if the counters are known and all of them have sent theirs.
	resendWait = 3 * time.Second
	// sendMargin is how long before its deadline a report must be sent.
	sendMargin = 1500 * time.Millisecond
	// saveInterval is how often received counts are saved to the store, and
	// saveTimeout bounds each save.
	saveInterval = 1500 * time.Millisecond
	saveTimeout  = 500 * time.Millisecond
	// lookBackWindows is how many earlier windows a director checks for
	// missing reports.
	lookBackWindows = 3
)

// Run reports each window once its time for collection is over, until ctx
// ends.
func (r *Reporter) Run(ctx context.Context) error {
	done := map[int64]bool{}
	began := r.Now()
	saved := began
	r.ReceivedCounts.beginTerm()
	r.ResendOwn()
	var expected map[string]bool
	for limpettask.Sleep(ctx, reportInterval) {
		now := r.Now()
		collectTime := time.Duration(collectFraction * float64(r.ReportDeadline))
		newest := WindowAt(now.Add(-collectTime), r.Length) - 1
		if now.Sub(saved) >= saveInterval {
			saved = now
			r.save(ctx, newest+1)
		}
		resent := now.Sub(began) >= resendWait
		if !resent {
			if expected == nil {
				expected = r.savedCounters(ctx)
			}
			resent = len(expected) > 0 && r.ReceivedCounts.hasHeardAll(expected)
		}
		for window := newest - lookBackWindows; window <= newest; window++ {
			age := now.Sub(WindowEnd(window, r.Length))
			if done[window] || age > r.ReportDeadline+r.Length || (!resent && age < r.ReportDeadline-sendMargin) {
				continue
			}
			if err := r.report(ctx, window); err != nil {
				r.Log.Emit(limpetlog.WindowReportFailed, limpetlog.Value("window", window), limpetlog.Error(err))
				if limpeterror.Is(err, limpeterror.Fenced) {
					return nil
				}
				continue
			}
			done[window] = true
		}
		delete(done, newest-2*lookBackWindows)
	}
	return nil
}

// savedCounters returns the names of the counters whose counts former directors
// saved; nil if they cannot be read. A VM that died is among them, so that its
// counts are waited for in vain.
func (r *Reporter) savedCounters(ctx context.Context) map[string]bool {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	l, err := r.Store.Scan(ctx, countPrefix, "")
	if err != nil {
		// It is tried again with the next round.
		r.Log.Emit(limpetlog.WindowReportFailed, limpetlog.Value("prefix", countPrefix), limpetlog.Error(err))
		return nil
	}
	names := map[string]bool{}
	for _, v := range l.Values {
		if _, name, _ := strings.Cut(strings.TrimPrefix(v.Key, countPrefix), "/"); !strings.HasPrefix(name, directorKeyPrefix) {
			continue
		}
		found, err := decodeReceived(v)
		if err != nil {
			r.Log.Emit(limpetlog.ValueIgnored, limpetlog.Value("key", v.Key), limpetlog.Error(err))
			continue
		}
		for name := range found {
			names[name] = true
		}
	}
	return names
}

// save writes the received counts of windows from oldest on to the store,
// which is the only copy left if all VMs lose power.
func (r *Reporter) save(ctx context.Context, oldest int64) {
	fence, ok := r.Fence(0)
	if !ok {
		return
	}
	writes, windows := r.ReceivedCounts.takeUnsaved(fence, oldest)
	if len(writes) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	// Counts never decrease and are merged by counter, so a late write, or one
	// by a VM that is no longer the director, does no harm.
	if _, err := r.Store.Commit(ctx, limpetstore.Transaction{Writes: writes}); err != nil {
		r.Log.Emit(limpetlog.UsageNotWritten, limpetlog.Value("windows", len(windows)), limpetlog.Error(err))
		r.ReceivedCounts.markUnsaved(windows)
	}
}

func (r *Reporter) report(ctx context.Context, window int64) error {
	counts, err := r.freeze(ctx, window)
	if err != nil {
		return err
	}
	ctx, cancel, fence, ok := r.Call(ctx, minLeaseRemaining, sendTimeout)
	defer cancel()
	if !ok {
		return limpeterror.Unavailable.New("the lease may expire before the report is sent")
	}
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

// freeze returns the figures of a window, and stores them if they are not
// frozen yet. They never change once stored.
func (r *Reporter) freeze(ctx context.Context, window int64) (Counts, error) {
	v, err := r.Store.Get(ctx, frozenKey(window))
	if err == nil {
		return decodeCounts(v)
	}
	if !limpeterror.Is(err, limpeterror.NotFound) {
		return nil, err
	}
	sum, keys, err := r.sumCounts(ctx, window)
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
		Deletes: append([]string{frozenKey(window - 2*retainedWindows)}, keys[:min(len(keys), limpetstore.MaxTransactionEntries-3)]...),
	}
	if _, err := r.Store.Commit(ctx, t); err != nil {
		// The write may have succeeded nevertheless; the next attempt reads
		// the result back.
		return nil, err
	}
	return sum, nil
}

// sumCounts returns the sums of a window's counts from the store and from
// ReceivedCounts, and the keys of the counts in the store.
func (r *Reporter) sumCounts(ctx context.Context, window int64) (Counts, []string, error) {
	l, err := r.Store.Scan(ctx, fmt.Sprintf("%s%d/", countPrefix, window), "")
	if err != nil {
		return nil, nil, err
	}
	counters := r.ReceivedCounts.countsFor(window)
	if counters == nil {
		counters = map[string]Counts{}
	}
	var keys []string
	for _, v := range l.Values {
		found, err := decodeCounters(v)
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

// decodeCounters decodes the counts by counter from a value that a counter or
// a director wrote.
func decodeCounters(v limpetstore.Value) (map[string]Counts, error) {
	_, name, _ := strings.Cut(strings.TrimPrefix(v.Key, countPrefix), "/")
	if strings.HasPrefix(name, directorKeyPrefix) {
		return decodeReceived(v)
	}
	c, err := decodeCounts(v)
	return map[string]Counts{name: c}, err
}

// ReadFrozen returns the frozen figures by window number.
func ReadFrozen(ctx context.Context, store limpetstore.Store) (map[int64]Counts, error) {
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
		if windows[number], err = decodeCounts(v); err != nil {
			return nil, err
		}
	}
	return windows, nil
}
