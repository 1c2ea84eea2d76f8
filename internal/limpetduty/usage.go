package limpetduty

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"sync"
	"time"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetintake"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetusage"
)

// WriteRecord writes an incarnation's cumulative counts unless the store has
// newer ones.
func WriteRecord(ctx context.Context, s limpetstore.Store, r limpetusage.Record) error {
	data, err := json.Marshal(r)
	if err != nil {
		return limpeterror.Invalid.Wrap(err, "usage record")
	}
	_, err = s.Update(ctx, limpetusage.RecordKey(r.Window, r.Incarnation),
		func(limpetstore.Value) ([]byte, error) { return data, nil },
		func(v limpetstore.Value) bool {
			old, err := limpetusage.DecodeRecord(v.Data)
			return v.Revision != 0 && err == nil && old.Sequence >= r.Sequence
		})
	if err != nil {
		return fmt.Errorf("usage of %s in %s: %w", r.Incarnation, r.Window, err)
	}
	return nil
}

// A late holds the oldest window that got counts after it may have been
// frozen.
type late struct {
	Oldest string `json:"oldest"`
}

const lateKey = "usage/late"

func decodeLate(data []byte) (late, error) {
	var l late
	if len(data) == 0 {
		return l, nil
	}
	if err := json.Unmarshal(data, &l); err != nil {
		return l, limpeterror.Invalid.Wrap(err, "late usage")
	}
	return l, nil
}

// A Writer holds how usage records are written.
type Writer struct {
	Store  limpetstore.Store
	Length time.Duration
	Now    func() time.Time
}

// Write writes a record. When its window is not the last one or a newer, the
// window is noted as late, so that the next freeze looks back far enough.
func (w Writer) Write(ctx context.Context, r limpetusage.Record) error {
	if err := WriteRecord(ctx, w.Store, r); err != nil {
		return err
	}
	if r.Window >= limpetusage.WindowOf(w.Now().Add(-w.Length), w.Length) {
		return nil
	}
	data, err := json.Marshal(late{Oldest: r.Window})
	if err != nil {
		return limpeterror.Invalid.Wrap(err, "late usage")
	}
	_, err = w.Store.Update(ctx, lateKey,
		func(limpetstore.Value) ([]byte, error) { return data, nil },
		func(v limpetstore.Value) bool {
			l, err := decodeLate(v.Data)
			return err == nil && l.Oldest != "" && l.Oldest <= r.Window
		})
	return err
}

// HeldUsage holds other VMs' counts that may not be in the store yet, so that
// they survive the death of their VM.
type HeldUsage struct {
	writer  Writer
	mu      sync.Mutex
	records map[string]limpetusage.Record
}

// NewHeldUsage returns an empty holder that writes with w.
func NewHeldUsage(w Writer) *HeldUsage {
	return &HeldUsage{writer: w, records: map[string]limpetusage.Record{}}
}

// Hold keeps the newest copy of a record.
func (h *HeldUsage) Hold(r limpetusage.Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := limpetusage.RecordKey(r.Window, r.Incarnation)
	if old, ok := h.records[key]; !ok || old.Sequence < r.Sequence {
		h.records[key] = r
	}
}

// Settle writes the records of incarnations that are gone, and drops those of
// windows that ended before a time.
func (h *HeldUsage) Settle(ctx context.Context, gone func(r limpetusage.Record) bool, before string) {
	h.mu.Lock()
	records := make(map[string]limpetusage.Record, len(h.records))
	for key, r := range h.records {
		records[key] = r
	}
	h.mu.Unlock()
	for key, r := range records {
		write := gone(r)
		if write && h.writer.Write(ctx, r) != nil {
			continue
		}
		if write || r.Window < before {
			h.mu.Lock()
			if h.records[key].Sequence == r.Sequence {
				delete(h.records, key)
			}
			h.mu.Unlock()
		}
	}
}

// A Reporter holds the duty of freezing and reporting usage windows.
type Reporter struct {
	Store  limpetstore.Store
	Intake limpetintake.Intake
	Length time.Duration
	// Live returns the incarnations of the VMs that answer, this one's too,
	// and that started before a time.
	Live func(before time.Time) []string
	// Holds reports whether the duty is still held for so long ahead.
	Holds func(ahead time.Duration) bool
	Log   *limpetlog.Logger
	Now   func() time.Time
}

// A progress holds the first window that is not reported yet.
type progress struct {
	Next      string `json:"next"`
	Operation string `json:"operation"`
}

const (
	progressKey = "usage/next"
	// windowSettle is the time after a window's end before it is frozen.
	windowSettle = time.Second
	// waitWindows is how many windows long a live VM that has not closed a
	// window is waited for.
	waitWindows = 2
	// correctedWindows is how many earlier windows are always looked at for
	// late counts, and mostCorrectedWindows how many at most.
	correctedWindows     = 3
	mostCorrectedWindows = 300
	reportAhead          = 5 * time.Second
	reportTimeout        = 4 * time.Second
	storeTimeout         = 3 * time.Second
)

// Run reports windows in order until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	pause := min(r.Length/4, time.Second)
	for limpettask.Sleep(ctx, limpettask.Jitter(pause)) {
		for ctx.Err() == nil {
			reported, err := r.next(ctx)
			if err != nil {
				r.Log.Emit(limpetlog.WindowFailed, limpetlog.Error(err))
			}
			if !reported || err != nil {
				break
			}
		}
	}
}

// next reports the oldest unreported window when it is complete.
func (r *Reporter) next(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout+reportTimeout)
	defer cancel()
	p, err := r.progress(ctx)
	if err != nil {
		return false, err
	}
	start, err := limpetusage.StartOf(p.Next)
	if err != nil {
		return false, err
	}
	end := start.Add(r.Length)
	if r.Now().Before(end.Add(windowSettle)) {
		return false, nil
	}
	frozen, ok, err := r.freeze(ctx, p.Next, end)
	if err != nil || !ok {
		return false, err
	}
	if err := r.report(ctx, frozen); err != nil {
		return false, err
	}
	return true, r.advance(ctx, p.Next, limpetusage.WindowOf(end, r.Length))
}

// progress reads the first unreported window; a new system begins with the
// oldest window that has records, or the current one.
func (r *Reporter) progress(ctx context.Context) (progress, error) {
	var p progress
	v, err := r.Store.Get(ctx, progressKey)
	if limpeterror.Is(err, limpeterror.NotFound) {
		p.Next = limpetusage.WindowOf(r.Now(), r.Length)
		data, err := json.Marshal(p)
		if err != nil {
			return p, limpeterror.Invalid.Wrap(err, "usage progress")
		}
		if v, err = r.Store.Create(ctx, progressKey, data); err != nil {
			return p, err
		}
	} else if err != nil {
		return p, fmt.Errorf("usage progress: %w", err)
	}
	if err := json.Unmarshal(v.Data, &p); err != nil {
		return p, limpeterror.Invalid.Wrap(err, "usage progress")
	}
	return p, nil
}

func (r *Reporter) advance(ctx context.Context, from, to string) error {
	data, err := json.Marshal(progress{Next: to})
	if err != nil {
		return limpeterror.Invalid.Wrap(err, "usage progress")
	}
	_, err = r.Store.Update(ctx, progressKey,
		func(limpetstore.Value) ([]byte, error) { return data, nil },
		func(v limpetstore.Value) bool {
			var p progress
			return json.Unmarshal(v.Data, &p) == nil && p.Next != from
		})
	return err
}

func (r *Reporter) records(ctx context.Context, window string) ([]limpetusage.Record, error) {
	values, err := r.Store.List(ctx, limpetusage.RecordKey(window, ""))
	if err != nil {
		return nil, fmt.Errorf("usage records of %s: %w", window, err)
	}
	records := make([]limpetusage.Record, 0, len(values))
	for _, v := range values {
		record, err := limpetusage.DecodeRecord(v.Data)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

// freeze returns the window's final figures: those that some VM has frozen
// already, or new ones once every live VM has closed the window.
func (r *Reporter) freeze(ctx context.Context, window string, end time.Time) (limpetusage.Frozen, bool, error) {
	v, err := r.Store.Get(ctx, limpetusage.FrozenKey(window))
	if err == nil {
		frozen, err := limpetusage.DecodeFrozen(v.Data)
		return frozen, err == nil, err
	}
	if !limpeterror.Is(err, limpeterror.NotFound) {
		return limpetusage.Frozen{}, false, err
	}
	records, err := r.records(ctx, window)
	if err != nil {
		return limpetusage.Frozen{}, false, err
	}
	ready, missing := limpetusage.Ready(records, r.Live(end))
	if !ready && r.Now().Before(end.Add(waitWindows*r.Length)) {
		return limpetusage.Frozen{}, false, nil
	}
	noted, oldest, err := r.late(ctx)
	if err != nil {
		return limpetusage.Frozen{}, false, err
	}
	earlier, former, err := r.earlier(ctx, window, oldest)
	if err != nil {
		return limpetusage.Frozen{}, false, err
	}
	data, err := json.Marshal(limpetusage.Freeze(window, records, earlier, former, missing))
	if err != nil {
		return limpetusage.Frozen{}, false, limpeterror.Invalid.Wrap(err, "usage window %s", window)
	}
	if v, err = r.Store.Create(ctx, limpetusage.FrozenKey(window), data); err != nil {
		return limpetusage.Frozen{}, false, fmt.Errorf("freeze %s: %w", window, err)
	}
	if noted > 0 && slices.Equal(v.Data, data) {
		// A note that changed since it was read stays for the next window.
		_ = r.Store.Delete(ctx, lateKey, noted)
	}
	r.Log.Emit(limpetlog.WindowFrozen, limpetlog.Value("window", window), limpetlog.Value("missing", missing))
	frozen, err := limpetusage.DecodeFrozen(v.Data)
	return frozen, err == nil, err
}

// late returns the store's revision of the note of late counts, 0 when there
// is none, and the oldest window that it names.
func (r *Reporter) late(ctx context.Context) (revision uint64, oldest string, err error) {
	v, err := r.Store.Get(ctx, lateKey)
	if limpeterror.Is(err, limpeterror.NotFound) {
		return 0, "", nil
	}
	if err != nil {
		return 0, "", fmt.Errorf("late usage: %w", err)
	}
	l, err := decodeLate(v.Data)
	return v.Revision, l.Oldest, err
}

// earlier returns the records and the frozen figures of the windows before
// one, for corrections: of the last few, and as far back as late counts were
// noted. The frozen windows hold every correction of those records.
func (r *Reporter) earlier(ctx context.Context, window, oldest string) ([]limpetusage.Record, []limpetusage.Frozen, error) {
	start, err := limpetusage.StartOf(window)
	if err != nil {
		return nil, nil, err
	}
	var records []limpetusage.Record
	var former []limpetusage.Frozen
	for i := 1; i <= mostCorrectedWindows; i++ {
		w := limpetusage.WindowOf(start.Add(-time.Duration(i)*r.Length), r.Length)
		if i > correctedWindows && (oldest == "" || w < oldest) {
			break
		}
		v, err := r.Store.Get(ctx, limpetusage.FrozenKey(w))
		if limpeterror.Is(err, limpeterror.NotFound) {
			break
		}
		if err != nil {
			return nil, nil, err
		}
		frozen, err := limpetusage.DecodeFrozen(v.Data)
		if err != nil {
			return nil, nil, err
		}
		found, err := r.records(ctx, w)
		if err != nil {
			return nil, nil, err
		}
		former = append(former, frozen)
		records = append(records, found...)
	}
	sort.SliceStable(records, func(i, j int) bool { return records[i].Window < records[j].Window })
	slices.Reverse(former)
	return records, former, nil
}

// report sends the frozen bytes of each client account. The belief in the
// lease must outlast each call; the intake refuses other figures besides.
func (r *Reporter) report(ctx context.Context, f limpetusage.Frozen) error {
	accounts, data, err := f.Reports()
	if err != nil {
		return err
	}
	for i, account := range accounts {
		if !r.Holds(reportAhead) {
			return limpeterror.Fenced.New("the duty of usage reports is no longer certain")
		}
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		err := r.Intake.Report(callCtx, account, f.Window, data[i])
		cancel()
		if err != nil {
			return fmt.Errorf("report %s of %s: %w", f.Window, account, err)
		}
	}
	r.Log.Emit(limpetlog.WindowReported, limpetlog.Value("window", f.Window), limpetlog.Value("accounts", len(accounts)))
	return nil
}
