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

// writeRecord writes an incarnation's cumulative counts, unless the store
// already has the same or newer ones.
func writeRecord(ctx context.Context, s limpetstore.Store, r limpetusage.Record) error {
	data, err := json.Marshal(r)
	if err != nil {
		return limpeterror.Invalid.Wrap(err, "encode usage record")
	}
	_, err = s.Update(ctx, limpetusage.RecordKey(r.Window, r.Incarnation),
		func(limpetstore.Value) ([]byte, error) { return data, nil },
		func(v limpetstore.Value) bool {
			old, err := limpetusage.DecodeRecord(v.Data)
			return v.Revision != 0 && err == nil && old.Sequence >= r.Sequence
		})
	if err != nil {
		return fmt.Errorf("write usage record of %s for window %s: %w", r.Incarnation, r.Window, err)
	}
	return nil
}

// A lateMarker holds the oldest window that received counts after it may have
// been frozen.
type lateMarker struct {
	Oldest string `json:"oldest"`
}

const lateMarkerKey = "usage/late"

func decodeLateMarker(data []byte) (lateMarker, error) {
	var l lateMarker
	if len(data) == 0 {
		return l, nil
	}
	if err := json.Unmarshal(data, &l); err != nil {
		return l, limpeterror.Invalid.Wrap(err, "decode late usage marker")
	}
	return l, nil
}

// A RecordWriter writes usage records to the store.
type RecordWriter struct {
	Store        limpetstore.Store
	WindowLength time.Duration
	Now          func() time.Time
}

// Write writes a record. If its window is older than the one before the current
// window, Write marks it as late, so that the next freeze looks back far enough
// to correct it.
func (w RecordWriter) Write(ctx context.Context, r limpetusage.Record) error {
	if err := writeRecord(ctx, w.Store, r); err != nil {
		return err
	}
	if r.Window >= limpetusage.WindowName(w.Now().Add(-w.WindowLength), w.WindowLength) {
		return nil
	}
	data, err := json.Marshal(lateMarker{Oldest: r.Window})
	if err != nil {
		return limpeterror.Invalid.Wrap(err, "encode late usage marker")
	}
	_, err = w.Store.Update(ctx, lateMarkerKey,
		func(limpetstore.Value) ([]byte, error) { return data, nil },
		func(v limpetstore.Value) bool {
			l, err := decodeLateMarker(v.Data)
			return err == nil && l.Oldest != "" && l.Oldest <= r.Window
		})
	return err
}

// UsageReplicas holds copies of other VMs' usage records that may not be in the
// store yet, so that the counts survive a crash of their VM.
type UsageReplicas struct {
	writer  RecordWriter
	mu      sync.Mutex
	records map[string]limpetusage.Record
}

// NewUsageReplicas returns an empty UsageReplicas that writes records with w.
func NewUsageReplicas(w RecordWriter) *UsageReplicas {
	return &UsageReplicas{writer: w, records: map[string]limpetusage.Record{}}
}

// Put stores a copy of a record, unless there is the same or a newer one.
func (u *UsageReplicas) Put(r limpetusage.Record) {
	u.mu.Lock()
	defer u.mu.Unlock()
	key := limpetusage.RecordKey(r.Window, r.Incarnation)
	if old, ok := u.records[key]; !ok || old.Sequence < r.Sequence {
		u.records[key] = r
	}
}

// Flush writes and then drops the records for which gone returns true; those
// whose write fails are kept. It also drops, without writing them, the other
// records whose window is older than before.
func (u *UsageReplicas) Flush(ctx context.Context, gone func(r limpetusage.Record) bool, before string) {
	u.mu.Lock()
	records := make(map[string]limpetusage.Record, len(u.records))
	for key, r := range u.records {
		records[key] = r
	}
	u.mu.Unlock()
	for key, r := range records {
		write := gone(r)
		if write && u.writer.Write(ctx, r) != nil {
			continue
		}
		if write || r.Window < before {
			u.mu.Lock()
			if u.records[key].Sequence == r.Sequence {
				delete(u.records, key)
			}
			u.mu.Unlock()
		}
	}
}

// A UsageReporter runs the duty of freezing and reporting usage windows.
type UsageReporter struct {
	Store        limpetstore.Store
	Intake       limpetintake.Intake
	WindowLength time.Duration
	// LiveIncarnations returns the incarnations of the live VMs, including this
	// one, that started before a time.
	LiveIncarnations func(before time.Time) []string
	// LeaseValidFor reports whether the duty is certain to stay held for d.
	LeaseValidFor func(d time.Duration) bool
	Log           *limpetlog.Logger
	Now           func() time.Time
}

// A progress holds the first window that is not reported yet, and is kept in
// the store.
type progress struct {
	Next      string `json:"next"`
	Operation string `json:"operation"`
}

const (
	// progressKey is the store key of the progress.
	progressKey = "usage/next"
	// freezeDelay is the time from a window's end until it may be frozen.
	freezeDelay = time.Second
	// closeWaitWindows is how long, in window lengths, the reporter waits for
	// live VMs to close a window before it freezes the window without them.
	closeWaitWindows = 2
	// minLookbackWindows is the number of earlier windows that each freeze
	// checks for late counts. A late marker extends the check to at most
	// maxLookbackWindows.
	minLookbackWindows = 3
	maxLookbackWindows = 300
	// reportLeaseMargin is the time for which the duty must stay held when a
	// report is sent; it is longer than reportTimeout.
	reportLeaseMargin = 5 * time.Second
	reportTimeout     = 4 * time.Second
	storeTimeout      = 3 * time.Second
)

// Run reports windows in order until ctx is canceled.
func (r *UsageReporter) Run(ctx context.Context) {
	pause := min(r.WindowLength/4, time.Second)
	for limpettask.Sleep(ctx, limpettask.Jitter(pause)) {
		for ctx.Err() == nil {
			reported, err := r.reportNext(ctx)
			if err != nil {
				r.Log.Emit(limpetlog.WindowReportFailed, limpetlog.Error(err))
			}
			if !reported || err != nil {
				break
			}
		}
	}
}

// reportNext reports the oldest unreported window if it is complete, and returns
// whether it did.
func (r *UsageReporter) reportNext(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout+reportTimeout)
	defer cancel()
	p, err := r.progress(ctx)
	if err != nil {
		return false, err
	}
	start, err := limpetusage.WindowStart(p.Next)
	if err != nil {
		return false, err
	}
	end := start.Add(r.WindowLength)
	if r.Now().Before(end.Add(freezeDelay)) {
		return false, nil
	}
	frozen, ok, err := r.freeze(ctx, p.Next, end)
	if err != nil || !ok {
		return false, err
	}
	if err := r.report(ctx, frozen); err != nil {
		return false, err
	}
	return true, r.advance(ctx, p.Next, limpetusage.WindowName(end, r.WindowLength))
}

// progress reads the first unreported window from the store. A new system
// starts with the current window.
func (r *UsageReporter) progress(ctx context.Context) (progress, error) {
	var p progress
	v, err := r.Store.Get(ctx, progressKey)
	if limpeterror.Is(err, limpeterror.NotFound) {
		p.Next = limpetusage.WindowName(r.Now(), r.WindowLength)
		data, err := json.Marshal(p)
		if err != nil {
			return p, limpeterror.Invalid.Wrap(err, "encode usage report progress")
		}
		if v, err = r.Store.Create(ctx, progressKey, data); err != nil {
			return p, err
		}
	} else if err != nil {
		return p, fmt.Errorf("read usage report progress: %w", err)
	}
	if err := json.Unmarshal(v.Data, &p); err != nil {
		return p, limpeterror.Invalid.Wrap(err, "decode usage report progress")
	}
	return p, nil
}

// advance replaces the first unreported window, from, by to, unless another
// reporter has already advanced it.
func (r *UsageReporter) advance(ctx context.Context, from, to string) error {
	data, err := json.Marshal(progress{Next: to})
	if err != nil {
		return limpeterror.Invalid.Wrap(err, "encode usage report progress")
	}
	_, err = r.Store.Update(ctx, progressKey,
		func(limpetstore.Value) ([]byte, error) { return data, nil },
		func(v limpetstore.Value) bool {
			var p progress
			return json.Unmarshal(v.Data, &p) == nil && p.Next != from
		})
	return err
}

// records returns all VMs' usage records of a window.
func (r *UsageReporter) records(ctx context.Context, window string) ([]limpetusage.Record, error) {
	values, err := r.Store.List(ctx, limpetusage.RecordKey(window, ""))
	if err != nil {
		return nil, fmt.Errorf("list usage records of window %s: %w", window, err)
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

// freeze returns the window's final figures. If no VM has frozen the window
// yet, it freezes it once every live VM has closed it, or after
// closeWaitWindows, and returns false until then.
func (r *UsageReporter) freeze(ctx context.Context, window string, end time.Time) (limpetusage.FrozenWindow, bool, error) {
	v, err := r.Store.Get(ctx, limpetusage.FrozenKey(window))
	if err == nil {
		frozen, err := limpetusage.DecodeFrozenWindow(v.Data)
		return frozen, err == nil, err
	}
	if !limpeterror.Is(err, limpeterror.NotFound) {
		return limpetusage.FrozenWindow{}, false, err
	}
	records, err := r.records(ctx, window)
	if err != nil {
		return limpetusage.FrozenWindow{}, false, err
	}
	ready, missing := limpetusage.Ready(records, r.LiveIncarnations(end))
	if !ready && r.Now().Before(end.Add(closeWaitWindows*r.WindowLength)) {
		return limpetusage.FrozenWindow{}, false, nil
	}
	markerRevision, oldest, err := r.readLateMarker(ctx)
	if err != nil {
		return limpetusage.FrozenWindow{}, false, err
	}
	earlierRecords, earlierFrozen, err := r.earlierRecords(ctx, window, oldest)
	if err != nil {
		return limpetusage.FrozenWindow{}, false, err
	}
	data, err := json.Marshal(limpetusage.Freeze(window, records, earlierRecords, earlierFrozen, missing))
	if err != nil {
		return limpetusage.FrozenWindow{}, false, limpeterror.Invalid.Wrap(err, "encode frozen usage window %s", window)
	}
	if v, err = r.Store.Create(ctx, limpetusage.FrozenKey(window), data); err != nil {
		return limpetusage.FrozenWindow{}, false, fmt.Errorf("freeze usage window %s: %w", window, err)
	}
	if markerRevision > 0 && slices.Equal(v.Data, data) {
		// A marker that changed since it was read stays for the next window.
		_ = r.Store.Delete(ctx, lateMarkerKey, markerRevision)
	}
	r.Log.Emit(limpetlog.WindowFrozen, limpetlog.Value("window", window), limpetlog.Value("missing", missing))
	frozen, err := limpetusage.DecodeFrozenWindow(v.Data)
	return frozen, err == nil, err
}

// readLateMarker returns the store revision of the late marker, or 0 if there
// is none, and the oldest window that it names.
func (r *UsageReporter) readLateMarker(ctx context.Context) (revision uint64, oldest string, err error) {
	v, err := r.Store.Get(ctx, lateMarkerKey)
	if limpeterror.Is(err, limpeterror.NotFound) {
		return 0, "", nil
	}
	if err != nil {
		return 0, "", fmt.Errorf("read late usage marker: %w", err)
	}
	l, err := decodeLateMarker(v.Data)
	return v.Revision, l.Oldest, err
}

// earlierRecords returns the records and the frozen figures of the windows
// before the given one, from which corrections are computed. It looks back
// minLookbackWindows, or further to the oldest late window. The frozen windows
// it returns contain every correction made so far to the records it returns.
func (r *UsageReporter) earlierRecords(ctx context.Context, window, oldest string) ([]limpetusage.Record, []limpetusage.FrozenWindow, error) {
	start, err := limpetusage.WindowStart(window)
	if err != nil {
		return nil, nil, err
	}
	var records []limpetusage.Record
	var earlierFrozen []limpetusage.FrozenWindow
	for i := 1; i <= maxLookbackWindows; i++ {
		w := limpetusage.WindowName(start.Add(-time.Duration(i)*r.WindowLength), r.WindowLength)
		if i > minLookbackWindows && (oldest == "" || w < oldest) {
			break
		}
		v, err := r.Store.Get(ctx, limpetusage.FrozenKey(w))
		if limpeterror.Is(err, limpeterror.NotFound) {
			break
		}
		if err != nil {
			return nil, nil, err
		}
		frozen, err := limpetusage.DecodeFrozenWindow(v.Data)
		if err != nil {
			return nil, nil, err
		}
		found, err := r.records(ctx, w)
		if err != nil {
			return nil, nil, err
		}
		earlierFrozen = append(earlierFrozen, frozen)
		records = append(records, found...)
	}
	sort.SliceStable(records, func(i, j int) bool { return records[i].Window < records[j].Window })
	slices.Reverse(earlierFrozen)
	return records, earlierFrozen, nil
}

// report sends the report of each client account on a frozen window. The lease
// must outlast each call; if it may not, the error has type Fenced. In addition,
// the intake rejects a report whose figures differ from the first one for the
// same account and window.
func (r *UsageReporter) report(ctx context.Context, f limpetusage.FrozenWindow) error {
	accounts, data, err := f.Reports()
	if err != nil {
		return err
	}
	for i, account := range accounts {
		if !r.LeaseValidFor(reportLeaseMargin) {
			return limpeterror.Fenced.New("the lease of the usage duty may expire before the report ends")
		}
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		err := r.Intake.Report(callCtx, account, f.Window, data[i])
		cancel()
		if err != nil {
			return fmt.Errorf("report usage window %s of account %s: %w", f.Window, account, err)
		}
	}
	r.Log.Emit(limpetlog.WindowReported, limpetlog.Value("window", f.Window), limpetlog.Value("accounts", len(accounts)))
	return nil
}
