// Package limpethost owns one process of the system on a prepared platform: it
// keeps the view of the deployment, answers callers where the VM serves them,
// and is a candidate for the director. What the platform speaks is filled in
// by function fields.
package limpethost

import (
	"context"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"limpetmount.org/internal/limpetbalance"
	"limpetmount.org/internal/limpetcarry"
	"limpetmount.org/internal/limpetdirector"
	"limpetmount.org/internal/limpetfollow"
	"limpetmount.org/internal/limpetforward"
	"limpetmount.org/internal/limpetgrow"
	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetmetric"
	"limpetmount.org/internal/limpetrelay"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetupstream"
	"limpetmount.org/internal/limpetwindow"
)

// A Feed is a prefix of the store that others write.
type Feed struct {
	Prefix string
	// Servers is set for the prefix under which backend servers register.
	Servers bool
	// Decode reads a value; it never fails, but may name nothing to use.
	Decode func(limpetstore.Value) limpetsite.Record
}

// Deps holds what the platform provides.
type Deps struct {
	Store limpetstore.Store
	Peer  limpetupstream.Peer
	Feeds []Feed
	// Probe asks the store for a sign of life.
	Probe func(ctx context.Context) error
	// Report hands in a window's usage.
	Report func(ctx context.Context, r limpetwindow.Report) error
	// Scale orders a number of backend servers. Fenced means that none are to
	// be had now, or that a later holder has ordered.
	Scale func(ctx context.Context, o limpetgrow.Order, holder string, fence uint64) error
	// AskReady asks another VM whether it is ready.
	AskReady func(ctx context.Context, address string) (bool, error)
	// Emptied tells the operator that a VM may be removed.
	Emptied func(ctx context.Context, vm string) error
	// Incarnation tells this start of the process from others.
	Incarnation string
	Now         func() time.Time
}

// A Host is a running process.
type Host struct {
	Settings  Settings
	Forwarder *limpetforward.Forwarder
	Log       *limpetlog.Logger
	Metrics   *limpetmetric.Set

	deps     Deps
	reader   *limpetjob.Reader
	group    *limpettask.Group
	view     atomic.Pointer[limpetsite.Snapshot]
	inbox    chan siteMessage
	contact  atomic.Bool
	draining atomic.Bool
	counter  *limpetwindow.Counter
	director *limpetdirector.Director
	// directing ends the director before the rest.
	directing *limpettask.Group
	followers []*limpetfollow.Follower

	// seeker offers this VM to directors as a sender of runs.
	seeker *limpetcarry.Seeker

	mirror   *limpetrelay.Mirror
	received *limpetwindow.ReceivedCounts
	// relay is the director that this VM follows; nil when there is none.
	relay   atomic.Pointer[limpetrelay.Client]
	peersMu sync.Mutex
	// peers holds when VMs that can be asked for the store were met last.
	peers map[string]time.Time

	waking sync.Mutex
	// awake runs the followers; nil while they do not run.
	awake *limpettask.Group
}

const (
	// watchWait is how long a watch of a feed waits at the store.
	watchWait = 1800 * time.Millisecond
	// probePeriod is the time between signs of life that are asked for.
	probePeriod = 400 * time.Millisecond
	probeTime   = 700 * time.Millisecond
	// memoryShare of the limit is what the runtime aims to stay below.
	memoryShare = 0.75
	// standby is how much longer VMs that serve callers leave the duty vacant
	// than VMs that do not.
	standby = 500 * time.Millisecond
	// keeperWait and standbyWait are how long watches of the duty wait.
	keeperWait  = 2 * time.Second
	standbyWait = 4 * time.Second
	// keeperSpread keeps VMs from competing at the same moment.
	keeperSpread = 120 * time.Millisecond
)

// Start starts a process. Stop ends it.
func Start(parent context.Context, settings Settings, deps Deps, log *limpetlog.Logger, metrics *limpetmetric.Set) *Host {
	LimitMemory(settings.MemoryLimit)
	h := &Host{
		Settings: settings, Log: log, Metrics: metrics, deps: deps,
		group: limpettask.New(parent), inbox: make(chan siteMessage, siteInbox),
		directing: limpettask.New(parent),
		mirror:    limpetrelay.NewMirror(deps.Incarnation, deps.Now), received: limpetwindow.NewReceivedCounts(), peers: map[string]time.Time{},
	}
	h.view.Store(limpetsite.Empty())
	meter := limpetstore.NewMeter(metrics.Registry)
	h.counter = limpetwindow.NewCounter(meter.Wrap(deps.Store, "usage"), settings.VM+"."+deps.Incarnation, settings.Bounds.UsageWindow, deps.Now, log)
	h.reader = limpetjob.NewReader(meter.Wrap(deps.Store, "read"), deps.Now)
	h.Forwarder = &limpetforward.Forwarder{
		Zone: settings.Zone, View: h.View, Peer: deps.Peer, Tracker: limpetbalance.New(),
		Log: log, Metrics: metrics, Began: h.counter.Began, Now: deps.Now,
	}
	h.seeker = h.carrier()
	h.followers = h.feeds(meter.Wrap(deps.Store, "site"))
	h.group.Go(h.keepSite)
	h.direct(meter.Wrap(deps.Store, "director"))
	if settings.Serves {
		h.counter.SendToDirector = h.handCounts
		h.group.Go(h.source)
		h.group.Go(h.seeker.Run)
		h.group.Go(h.counter.Run)
	}
	return h
}

// LimitMemory makes the runtime collect garbage harder as the process comes
// near its limit, in bytes; 0 stands for none.
func LimitMemory(limit int64) {
	if limit > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(limit)))
	}
}

// View returns the newest view of the deployment.
func (h *Host) View() *limpetsite.Snapshot { return h.view.Load() }

// Ready reports whether the balancer may send new callers: a configuration is
// known, the store answers, and no shutdown has begun.
func (h *Host) Ready() bool {
	return !h.draining.Load() && h.contact.Load() && h.View().Ready()
}

// Draining reports whether a shutdown has begun.
func (h *Host) Draining() bool { return h.draining.Load() }

// InContact reports whether the store answered lately.
func (h *Host) InContact() bool { return h.contact.Load() }

// direct makes the VM a candidate for the director.
func (h *Host) direct(store limpetstore.Store) {
	reserve, wait := limpetdirector.Spread(keeperSpread), keeperWait
	if !h.Settings.Keeps {
		wait = standbyWait
		reserve += standby + limpetdirector.Spread(standby)
	}
	deps := limpetdirector.Deps{
		VM: h.Settings.VM, Incarnation: h.deps.Incarnation, Store: store, Peer: h.deps.Peer, View: h.View,
		Forwarder: h.Forwarder, Log: h.Log, Metrics: h.Metrics, Now: h.deps.Now, Reserve: reserve,
		RelayAddress: h.Settings.RelayAddress, Wake: h.Wake, StoreElsewhere: h.storeElsewhere, InContact: h.InContact, Emptied: h.deps.Emptied, DutyWait: wait,
		LeaseLeast: h.Settings.LeaseLeast, Turn: h.Settings.Bounds.LeaseTurn, StatusLife: h.Settings.Bounds.StatusLife,
	}
	if h.Settings.Duties.Usage {
		deps.Duties = append(deps.Duties, h.reportUsage)
	}
	if h.Settings.Duties.Fleet {
		deps.Duties = append(deps.Duties, h.orderServers)
	}
	h.director = limpetdirector.New(deps)
	h.directing.Go(h.director.Run)
	if h.Settings.Keeps {
		h.director.Compete(h.directing.Context(), true)
	}
}

func (h *Host) reportUsage(ctx context.Context, hold limpetdirector.Hold) error {
	r := &limpetwindow.Reporter{
		Store: h.deps.Store, Length: h.Settings.Bounds.UsageWindow, ReportDeadline: h.Settings.Bounds.UsageLate,
		ReceivedCounts: h.received, Send: h.deps.Report, Fence: hold.Fence, VM: hold.VM, Now: h.deps.Now, Log: h.Log,
	}
	return r.Run(ctx)
}

// Drain begins a shutdown: the VM is not ready any more and gives its duty up.
func (h *Host) Drain() {
	if h.draining.Swap(true) {
		return
	}
	h.Log.Emit(limpetlog.NodeDraining)
	h.seeker.Carrier.Leave()
	if err := h.directing.Stop(); err != nil {
		h.Log.Emit(limpetlog.LeaseLost, limpetlog.Error(err))
	}
}

// Stop ends the process after its last request.
func (h *Host) Stop() error {
	flush, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if h.Settings.Serves {
		h.counter.Flush(flush, true)
	}
	h.Log.Emit(limpetlog.NodeStopped)
	return h.group.Stop()
}

// Wake makes the VM follow the deployment, or stop. VMs that neither serve
// callers nor direct need no view of it, and each watch has its price.
func (h *Host) Wake(awake bool) {
	h.waking.Lock()
	defer h.waking.Unlock()
	if awake == (h.awake != nil) {
		return
	}
	if !awake {
		group := h.awake
		h.awake = nil
		h.group.Go(func(context.Context) error { return group.Stop() })
		return
	}
	h.awake = limpettask.New(h.group.Context())
	for _, f := range h.followers {
		h.awake.Go(f.Run)
	}
	h.awake.Go(h.probe)
}

// feeds returns what keeps the view of the deployment.
func (h *Host) feeds(store limpetstore.Store) []*limpetfollow.Follower {
	var followers []*limpetfollow.Follower
	for _, feed := range h.deps.Feeds {
		f := &limpetfollow.Follower{
			Store: store, Prefix: feed.Prefix, Wait: watchWait,
			Listed: func(l limpetstore.Listing) {
				h.mirror.Listed(feed.Prefix, l)
				h.tell(siteMessage{records: decodeAll(feed, l.Values), listed: true, revision: l.Revision, feed: feed.Prefix})
			},
			Changed: func(values []limpetstore.Value) {
				h.mirror.Changed(feed.Prefix, values)
				h.tell(siteMessage{records: decodeAll(feed, values), feed: feed.Prefix})
			},
			Lost: func(err error) {
				h.Log.Emit(limpetlog.StoreDown, limpetlog.Value("prefix", feed.Prefix), limpetlog.Error(err))
				h.lost()
			},
			Relisted: func() { h.Log.Emit(limpetlog.StoreForgot, limpetlog.Value("prefix", feed.Prefix)) },
			Back: func() {
				h.Log.Emit(limpetlog.StoreBack, limpetlog.Value("prefix", feed.Prefix))
				h.tell(siteMessage{disturbed: true})
			},
		}
		followers = append(followers, f)
	}
	return followers
}

func decodeAll(feed Feed, values []limpetstore.Value) []limpetsite.Record {
	records := make([]limpetsite.Record, 0, len(values))
	for _, v := range values {
		records = append(records, feed.Decode(v))
	}
	return records
}

// lost records that the store does not answer.
func (h *Host) lost() {
	h.contact.Store(false)
	h.tell(siteMessage{disturbed: true})
}

// probe asks the store for signs of life. A watch that waits at a store that
// fell silent is begun anew once the store answers again.
func (h *Host) probe(ctx context.Context) error {
	failed := false
	for {
		sent := h.deps.Now()
		call, cancel := context.WithTimeout(ctx, probeTime)
		err := h.deps.Probe(call)
		cancel()
		switch {
		case err != nil && ctx.Err() == nil:
			if !failed {
				h.Log.Emit(limpetlog.StoreDown, limpetlog.Value("prefix", "probe"), limpetlog.Error(err))
			}
			failed = true
			h.lost()
		case err == nil:
			if failed {
				h.Log.Emit(limpetlog.StoreBack, limpetlog.Value("prefix", "probe"))
				h.tell(siteMessage{disturbed: true})
				for _, f := range h.followers {
					f.Kick()
				}
			}
			failed = false
			h.mirror.Confirmed(sent)
			h.contact.Store(true)
		}
		if !limpettask.Sleep(ctx, probePeriod) {
			return nil
		}
	}
}

// isServer reports whether a record stands for a backend server.
func isServer(r limpetsite.Record) bool { return strings.HasPrefix(r.Key, limpetsite.ServerKey) }
