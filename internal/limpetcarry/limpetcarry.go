// Package limpetcarry owns the VMs that send runs to engines on behalf of the
// director. A carrier keeps reading a run and keeps its text when the director
// is lost, and offers both to the next one, so that a change of directors does
// not cost what was generated.
package limpetcarry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetupstream"
)

// An Order asks a carrier to send one run to an engine.
type Order struct {
	// Run names the run; no two directors choose the same name.
	Run  string
	Job  string
	Call limpetupstream.Call
	// Begun is the text that the run goes on from.
	Begun limpetjob.Draft
}

// A Batch is what a director tells a carrier at once.
type Batch struct {
	Orders []Order
	// Cuts names runs that are to be broken off.
	Cuts []string
	// Unsure is set while the director may have a successor.
	Unsure bool
}

// A Held run is one that a carrier has for an earlier director.
type Held struct {
	Run, Job string
	// Server is the ID of the engine.
	Server string
	// Running is set while more of the text may come.
	Running bool
	Text    limpetjob.Draft
}

// An Opening offers a VM to a director.
type Opening struct {
	VM, Zone string
	// Session names this offer.
	Session string
	Held    []Held
}

// An Event is an event of a run with the version that made it, and the time
// since it came.
type Event struct {
	limpetupstream.Event
	Under int
	Age   time.Duration
}

// A Progress tells what became of a run since the last one.
type Progress struct {
	Run string
	// Headed is set once the engine named the version at the run's start.
	Headed  bool
	Version int
	Events  []Event
	Ended   bool
	End     End
}

// A Delivery brings the progress of all runs of a session.
type Delivery struct {
	Session  string
	Progress []Progress
	// Leaving is set when the VM gives all its runs back.
	Leaving bool
	// Superseded is set when the VM turns to a later director.
	Superseded bool
}

// A Link holds the calls to a director.
type Link struct {
	// Carry hands each batch to take until the director or ctx ends it.
	Carry func(ctx context.Context, o Opening, take func(Batch)) error
	// Deliver reports whether the director knows the session.
	Deliver func(ctx context.Context, d Delivery) (known bool, err error)
}

const (
	// deliverPeriod is how long events wait for others.
	deliverPeriod = 80 * time.Millisecond
	// idlePeriod is the time between deliveries without news.
	idlePeriod = 800 * time.Millisecond
	// deliverTime bounds one delivery.
	deliverTime = 500 * time.Millisecond
	// beatLife is how long a director may be silent; it sends a batch at least
	// each BeatPeriod.
	beatLife = 1400 * time.Millisecond
	// BeatPeriod is the time between batches without orders.
	BeatPeriod = 450 * time.Millisecond
	// keepEnded is how long a text is kept after its run ended, in case the
	// director that was told of it is lost before it is listed.
	keepEnded = 4 * time.Second
	// alone is how long runs go on, and texts are kept, without a director: the
	// longest outage of the store that a step can bear.
	alone = 10 * time.Second
)

// A Carrier holds the runs of one VM. It is safe for use by several
// goroutines.
type Carrier struct {
	VM, Zone string
	Send     func(ctx context.Context, c limpetupstream.Call) (*limpetupstream.Reply, error)
	// Refuses reports whether this VM knows that a server must get no work.
	Refuses func(server string) bool
	Now     func() time.Time
	Log     *limpetlog.Logger

	group *limpettask.Group

	// unsure is what the director said last of itself.
	unsure atomic.Bool

	mu      sync.Mutex
	runs    map[string]*run
	session string
	// lost is when the last session ended.
	lost    time.Time
	leaving bool
	// news is signalled when there is something to deliver, and urgent when it
	// must not wait.
	news, urgent chan struct{}
}

// New returns a carrier whose runs end with the group.
func New(group *limpettask.Group, vm, zone string, now func() time.Time, log *limpetlog.Logger) *Carrier {
	return &Carrier{
		VM: vm, Zone: zone, Now: now, Log: log, group: group, runs: map[string]*run{},
		news: make(chan struct{}, 1), urgent: make(chan struct{}, 1),
	}
}

// Busy reports whether the carrier holds runs or texts.
func (c *Carrier) Busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.runs) > 0
}

// Unsure reports whether the director said that it may have a successor.
func (c *Carrier) Unsure() bool { return c.unsure.Load() }

// Tend drops texts that nobody needs any more, and breaks runs off that have
// been without a director for too long.
func (c *Carrier) Tend() {
	now := c.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	lonely := c.session == "" && now.Sub(c.lost) > alone
	for id, r := range c.runs {
		if lonely || (c.session != "" && r.ended && now.Sub(r.endedAt) > keepEnded) {
			c.drop(id, r)
		}
	}
}

// drop breaks a run off. The caller holds the lock.
func (c *Carrier) drop(id string, r *run) {
	r.cancel()
	delete(c.runs, id)
}

// Leave gives all runs back and takes no more.
func (c *Carrier) Leave() {
	c.mu.Lock()
	c.leaving = true
	c.mu.Unlock()
	signal(c.urgent)
}

func signal(to chan struct{}) {
	select {
	case to <- struct{}{}:
	default:
	}
}
