// Package limpetexecutor executes runs on VMs other than the director: they send
// the director's items to engines and report the progress. If the director is
// lost, such a VM keeps reading its runs, keeps their texts, and offers both to
// the next director, so that a change of directors does not lose generated
// text.
package limpetexecutor

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetupstream"
)

// An Order asks a VM to send one run to an engine.
type Order struct {
	// Run identifies the run; no two directors choose the same ID.
	Run  string
	Job  string
	Call limpetupstream.Call
	// PartialText is the text that the run continues.
	PartialText limpetjob.Draft
}

// A Batch is one message of the director.
type Batch struct {
	Orders []Order
	// CancelRuns lists the IDs of runs to cancel, which may be ordered in the
	// same batch.
	CancelRuns []string
	// Unsure is set while the director may have a successor.
	Unsure bool
}

// HeldRun describes a run that a VM executed for an earlier director.
type HeldRun struct {
	Run, Job string
	// Server is the ID of the engine.
	Server string
	// Running is set while more text may follow.
	Running bool
	Text    limpetjob.Draft
	// LastStreamed is the ID of the last event of the run's stream, if that ended as
	// complete and the VM is of a release that says so; otherwise 0.
	LastStreamed int
	// Broken is set by Apply when an event did not follow the text.
	Broken bool
}

// An Offer offers a VM to a director.
type Offer struct {
	VM, Zone string
	// Session identifies this offer.
	Session string
	Held    []HeldRun
}

// An Event is an event of a run, with the weight version that generated it and
// the time since it arrived.
type Event struct {
	limpetupstream.Event
	WeightVersion int
	Age           time.Duration
}

// A Progress describes what happened to a run since the previous delivery.
type Progress struct {
	Run string
	// Responded is set once the engine has named the weight version at the start
	// of the run.
	Responded bool
	Version   int
	Events    []Event
	Ended     bool
	End       End
}

// A Delivery reports the progress of all runs of a session.
type Delivery struct {
	Session  string
	Progress []Progress
	// Leaving is set when the VM hands all its runs back to the director.
	Leaving bool
	// Superseded is set when the VM switches to a later director.
	Superseded bool
}

// A Link holds the calls to a director.
type Link struct {
	// Offer passes each batch to handle until the director ends the offer or
	// ctx is done.
	Offer func(ctx context.Context, o Offer, handle func(Batch)) error
	// Deliver reports whether the director knows the session.
	Deliver func(ctx context.Context, d Delivery) (known bool, err error)
}

const (
	// deliveryDelay is how long events wait to be delivered together with
	// others.
	deliveryDelay = 80 * time.Millisecond
	// idleDeliveryPeriod is the time between deliveries without progress, and
	// busyDeliveryPeriod the time while there are runs: only a delivery tells the
	// director that their engines are silent, and not this VM.
	idleDeliveryPeriod = 800 * time.Millisecond
	busyDeliveryPeriod = 150 * time.Millisecond
	// deliveryTimeout limits one delivery.
	deliveryTimeout = 500 * time.Millisecond
	// directorTimeout is how long a director may be silent; it sends a batch at
	// least once per heartbeat period.
	directorTimeout = 1400 * time.Millisecond
	// HeartbeatPeriod is the time between batches without orders.
	HeartbeatPeriod = 450 * time.Millisecond
	// endedRetention is how long a text is kept after the end of its run, in
	// case the director is lost after the end was delivered and before the
	// result is committed.
	endedRetention = 4 * time.Second
	// orphanTimeout is how long runs continue and texts are kept without a
	// director: the longest store outage that a step can tolerate.
	orphanTimeout = 10 * time.Second
)

// An Executor executes the runs of one VM. It is safe for concurrent use.
type Executor struct {
	VM, Zone string
	Send     func(ctx context.Context, c limpetupstream.Call) (*limpetupstream.Reply, error)
	// Refuses reports whether this VM knows that a server must get no work.
	Refuses func(server *limpetsite.Server) bool
	Now     func() time.Time
	Log     *limpetlog.Logger

	group *limpettask.Group

	// unsure is Batch.Unsure of the latest batch.
	unsure atomic.Bool

	mu      sync.Mutex
	runs    map[string]*run
	session string
	// sessionEndedAt is the end of the latest session.
	sessionEndedAt time.Time
	leaving        bool
	// progressReady is signalled when there is progress to deliver, and
	// deliverNow when it must be delivered without delay.
	progressReady, deliverNow chan struct{}
}

// New prepares a VM to execute runs, which end with the group.
func New(group *limpettask.Group, vm, zone string, now func() time.Time, log *limpetlog.Logger) *Executor {
	return &Executor{
		VM: vm, Zone: zone, Now: now, Log: log, group: group, runs: map[string]*run{},
		progressReady: make(chan struct{}, 1), deliverNow: make(chan struct{}, 1),
	}
}

// Busy reports whether runs or texts are held.
func (e *Executor) Busy() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.runs) > 0
}

// running reports whether there are runs that have not ended.
func (e *Executor) running() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.runs {
		if !r.ended {
			return true
		}
	}
	return false
}

// Unsure reports whether the director announced that it may have a successor.
func (e *Executor) Unsure() bool { return e.unsure.Load() }

// dropExpired drops texts that are no longer needed, and cancels runs that have
// been without a director for too long.
func (e *Executor) dropExpired() {
	now := e.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	orphaned := e.session == "" && now.Sub(e.sessionEndedAt) > orphanTimeout
	for id, r := range e.runs {
		if orphaned || (e.session != "" && r.ended && now.Sub(r.endedAt) > endedRetention) {
			e.cancel(id, r)
		}
	}
}

// cancel ends a run and drops its text. The caller holds the lock.
func (e *Executor) cancel(id string, r *run) {
	r.cancel()
	delete(e.runs, id)
}

// Leave hands all runs back to the director and accepts no more.
func (e *Executor) Leave() {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	signal(e.deliverNow)
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
