// Package limpethost runs the system's process on one VM: it keeps the view of
// the deployment up to date, serves callers on VMs that have that role, and
// competes to be the director. The functions in Deps connect it to the
// platform.
package limpethost

import (
	"context"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"limpetmount.org/internal/limpetbalancer"
	"limpetmount.org/internal/limpetcrash"
	"limpetmount.org/internal/limpetdetour"
	"limpetmount.org/internal/limpetdirector"
	"limpetmount.org/internal/limpetexecutor"
	"limpetmount.org/internal/limpetforward"
	"limpetmount.org/internal/limpethttp"
	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetlimit"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetlookup"
	"limpetmount.org/internal/limpetmetric"
	"limpetmount.org/internal/limpetorigin"
	"limpetmount.org/internal/limpetrelay"
	"limpetmount.org/internal/limpetscaler"
	"limpetmount.org/internal/limpetsilence"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetupstream"
	"limpetmount.org/internal/limpetwatch"
	"limpetmount.org/internal/limpetwindow"
)

// A Feed is a prefix of the store that holds records of the deployment.
type Feed struct {
	Prefix string
	// Servers is set for the prefix of backend server registrations.
	Servers bool
	// Decode decodes a value. It never fails; the record of a value that
	// cannot be used has no contents.
	Decode func(limpetstore.Value) limpetsite.Record
}

// Deps holds the interface to the platform.
type Deps struct {
	Store    limpetstore.Store
	Upstream limpetupstream.Client
	Feeds    []Feed
	// Probe checks that the store responds.
	Probe func(ctx context.Context) error
	// Report sends the usage of a window. A Fenced error means that a later
	// lease holder has reported already.
	Report func(ctx context.Context, r limpetwindow.Report) error
	// Scale orders a number of backend servers. A Fenced error means that none
	// are available at present, or that a later lease holder has ordered.
	Scale func(ctx context.Context, o limpetscaler.Order, holder string, fence uint64) error
	// RelayTransport carries the calls to other VMs; nil for the network.
	RelayTransport http.RoundTripper
	// AskReady asks another VM whether it is ready.
	AskReady func(ctx context.Context, address string) (bool, error)
	// ReportRetired notifies the operator that a VM has been drained and may be
	// removed.
	ReportRetired func(ctx context.Context, vm string) error
	// Incarnation identifies this start of the process.
	Incarnation string
	Now         func() time.Time
}

// A Host is the running process of one VM.
type Host struct {
	// Bodies accounts for the memory of callers' bodies, and messages for that of
	// messages between VMs.
	Bodies   *limpethttp.Bodies
	messages *limpethttp.Bodies
	// Guard bounds the connections of clients, and Requests the requests of callers
	// that run at once.
	Guard     *limpethttp.Guard
	Requests  *limpethttp.Slots
	refusals  *limpethttp.Refusals
	Settings  Settings
	Forwarder *limpetforward.Forwarder
	Log       *limpetlog.Logger
	Metrics   *limpetmetric.Set

	deps           Deps
	reader         *limpetjob.Reader
	group          *limpettask.Group
	view           atomic.Pointer[limpetsite.Snapshot]
	updates        chan siteUpdate
	storeReachable atomic.Bool
	// confirmedAt is up to when the view is known to hold what the store held.
	confirmedAt atomic.Pointer[time.Time]
	draining    atomic.Bool
	// requestEnd is when the last requests must have ended; nil while there is no such
	// time.
	requestEnd atomic.Pointer[time.Time]
	counter    *limpetwindow.Counter
	director   *limpetdirector.Director
	// directorGroup runs the director, which must stop before the other
	// goroutines.
	directorGroup *limpettask.Group
	watchers      []*limpetwatch.Watcher

	// connector offers this VM to directors as an executor of runs.
	connector *limpetexecutor.Connector

	mirror   *limpetrelay.Mirror
	received *limpetwindow.ReceivedCounts
	// origins knows which software began streams.
	origins *limpetorigin.Book
	// relay is the client of the director that this VM follows; nil if it
	// follows none.
	relay atomic.Pointer[limpetrelay.Client]
	// lastDirector is the client of the director that this VM followed last.
	lastDirector atomic.Pointer[limpetrelay.Client]
	roster       *roster
	finder       *limpetlookup.Finder
	// peerClient carries the calls to other VMs.
	peerClient *http.Client

	followingMu sync.Mutex
	// watchGroup runs the watchers; nil while they are stopped.
	watchGroup *limpettask.Group

	// crashes knows the requests that crash backend servers, and limits the request
	// rates that backend servers named.
	crashes *limpetcrash.Book
	limits  *limpetlimit.Limits
	// detour sends calls through other VMs while this one reaches no backend server,
	// and secret proves to them that this VM is one of the system.
	detour *limpetdetour.Detour
	secret atomic.Pointer[[]byte]
	gate   *limpetlimit.Gate
	// silence knows the backend servers that take no connections.
	silence *limpetsilence.Book
	// silenceRevision counts the changes of these in the mirror.
	silenceRevision atomic.Uint64
	// capacity holds the capacity account and what this VM observes for it.
	capacity *capacity
	// limitRevision counts the changes of limits in the mirror.
	limitRevision atomic.Uint64
	// rosterRevision counts the changes of the roster in the mirror.
	rosterRevision atomic.Uint64
	// coldRevision counts the changes of cold servers in the mirror.
	coldRevision atomic.Uint64
	feeds        []feed
	// leaving holds what this VM tells the director of servers that leave.
	leaving leavingReports
	// leavingChanges counts the changes of servers' words that they are leaving, and
	// leavingRevision those in the mirror.
	leavingChanges  *prometheus.CounterVec
	leavingRevision atomic.Uint64
	relevance       relevance
}

const (
	// watchWait is how long a watch of a feed may block at the store.
	watchWait = 1800 * time.Millisecond
	// probeInterval is the pause between probes of the store.
	probeInterval = 400 * time.Millisecond
	probeTimeout  = 700 * time.Millisecond
	// memoryLimitFraction is the fraction of the process's memory limit that
	// is set as the limit of the Go runtime.
	memoryLimitFraction = 0.75
	// VMs without a disk, which serve callers, wait one to two disklessVMDelay
	// longer than VMs with a disk before they compete for the director's lease.
	disklessVMDelay = 500 * time.Millisecond
	// diskVMDutyWait and disklessVMDutyWait are how long a watch of the
	// director's lease may block at the store.
	diskVMDutyWait     = 2 * time.Second
	disklessVMDutyWait = 4 * time.Second
	// competeJitter spreads the times at which VMs compete for the lease.
	competeJitter = 120 * time.Millisecond
)

// Start starts the process of a VM. It runs until Stop is called.
func Start(parent context.Context, settings Settings, deps Deps, log *limpetlog.Logger, metrics *limpetmetric.Set) *Host {
	LimitMemory(settings.MemoryLimit)
	h := &Host{
		Settings: settings, Log: log, Metrics: metrics, deps: deps,
		group: limpettask.New(parent), updates: make(chan siteUpdate, updateQueueSize),
		directorGroup: limpettask.New(parent),
		mirror:        limpetrelay.NewMirror(deps.Incarnation, deps.Now), received: limpetwindow.NewReceivedCounts(),
	}
	h.peerClient = h.newRelayClient()
	h.leavingChanges = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "limpet_leaving_servers_total", Help: "Backend servers that said in an answer that they are leaving, by who was told (this_vm, other_vm), those of which a later start was registered (over), and those dropped because there are too many (forgotten).",
	}, []string{"change"})
	metrics.Registry.MustRegister(h.leavingChanges)
	h.roster = newRoster(deps.Now)
	h.finder = h.newFinder()
	h.view.Store(limpetsite.EmptySnapshot())
	h.deps.Upstream = h.confirmStarts(h.deps.Upstream)
	h.startLimits()
	h.deps.Upstream = h.refuseEvacuated(h.deps.Upstream)
	h.startSilence()
	deps.Upstream = h.deps.Upstream
	meter := limpetstore.NewMeter(metrics.Registry)
	h.counter = limpetwindow.NewCounter(meter.Wrap(deps.Store, "usage"), settings.VM+"."+deps.Incarnation, settings.Bounds.UsageWindow, deps.Now, log)
	h.reader = limpetjob.NewReader(meter.Wrap(deps.Store, "read"), deps.Now)
	h.crashes = limpetcrash.New(limpetcrash.Deps{
		VM: settings.VM, Store: meter.Wrap(deps.Store, "crash"), View: h.View, Check: deps.Upstream.Check, Log: log, Metrics: metrics.Registry, Now: deps.Now,
	})
	h.startClients(metrics.Registry)
	h.group.Go(h.crashes.Run)
	h.origins = h.newOrigins(meter.Wrap(deps.Store, "origin"))
	if deps.Upstream.OnConnect != nil {
		connections := prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "limpet_server_connections_total", Help: "New connections to backend servers, by what the first request on them was for.",
		}, []string{"purpose"})
		metrics.Registry.MustRegister(connections)
		deps.Upstream.OnConnect(func(p limpetupstream.Purpose) { connections.WithLabelValues(string(p)).Inc() })
	}
	if deps.Upstream.OnCold != nil {
		deps.Upstream.OnCold(h.limits.ObserveCold)
	}
	if deps.Upstream.OnMemoryFull != nil {
		deps.Upstream.OnMemoryFull(func() bool { return h.Guard.DropStalled() > 0 })
	}
	if deps.Upstream.OnLeaving != nil {
		deps.Upstream.OnLeaving(h.markLeaving)
	}
	h.capacity = newCapacity(settings.VM, deps.Now, metrics.Registry)
	h.feeds = h.newFeeds()
	h.Forwarder = &limpetforward.Forwarder{
		Zone: settings.Zone, View: h.View, Upstream: deps.Upstream, Tracker: limpetbalancer.New(), Crashes: h.crashes, Limits: h.gate, Origins: h.origins, Silence: h.silence, Capacity: h.capacity.observer,
		Queues: h.newQueues(), Share: h.capacity.observer.Share, Started: deps.Now(), MayFinish: h.MayFinish,
		Log: log, Metrics: metrics, CountRequest: h.counter.CountRequest, Now: deps.Now,
	}
	h.capacity.observer.Waiting = h.queued
	h.connector = h.newConnector()
	h.watchers = h.newWatchers(meter.Wrap(deps.Store, "site"))
	h.group.Go(h.runSite)
	h.startDirector(meter.Wrap(deps.Store, "director"))
	h.group.Go(h.gate.Run)
	if h.silence != nil {
		h.group.Go(h.silence.Run)
	}
	h.group.Go(h.origins.Run)
	h.group.Go(h.publishRoster)
	h.group.Go(h.runCapacity)
	if settings.ServesCallers {
		h.counter.SendToDirector = h.sendCounts
		h.group.Go(h.followDeployment)
		h.group.Go(h.connector.Run)
		h.group.Go(h.counter.Run)
		h.group.Go(h.loadSecret)
		if deps.Upstream.Probe != nil {
			h.group.Go(h.detour.Run)
		}
	}
	return h
}

// LimitMemory makes the garbage collector work harder as the process
// approaches its memory limit, in bytes; 0 means no limit.
func LimitMemory(limit int64) {
	if limit > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(limit)))
	}
}

// View returns the current view of the deployment.
func (h *Host) View() *limpetsite.Snapshot { return h.view.Load() }

// Ready reports whether the load balancer may send new callers: a
// configuration is loaded, the store responds, and no shutdown has begun.
func (h *Host) Ready() bool {
	return !h.draining.Load() && h.storeReachable.Load() && h.View().Ready()
}

// Draining reports whether a shutdown has begun.
func (h *Host) Draining() bool { return h.draining.Load() }

// StoreReachable reports whether the last contact with the store, or with a
// director that reaches it, succeeded.
func (h *Host) StoreReachable() bool { return h.storeReachable.Load() }

// startDirector makes the VM a candidate for the role of director.
func (h *Host) startDirector(store limpetstore.Store) {
	competeDelay, wait := limpetdirector.RandomDelay(competeJitter), diskVMDutyWait
	if !h.Settings.HasDisk {
		wait = disklessVMDutyWait
		competeDelay += disklessVMDelay + limpetdirector.RandomDelay(disklessVMDelay)
	}
	deps := limpetdirector.Deps{
		VM: h.Settings.VM, Incarnation: h.deps.Incarnation, Store: store, Upstream: h.deps.Upstream, View: h.View,
		Forwarder: h.Forwarder, Limits: h.gate, Log: h.Log, Metrics: h.Metrics, Now: h.deps.Now, AcquireDelay: competeDelay,
		RelayAddress: h.Settings.RelayAddress, FollowDeployment: h.SetFollowing, StoreReachableElsewhere: h.storeReachableElsewhere, StoreReachable: h.StoreReachable, ReportRetired: h.deps.ReportRetired, DutyWatchTimeout: wait,
		MinLeaseTTL: h.Settings.MinLeaseTTL, MinTakeoverInterval: h.Settings.Bounds.MinTakeoverInterval, JobRetention: h.Settings.Bounds.JobRetention,
	}
	if h.Settings.Duties.Usage {
		deps.Duties = append(deps.Duties, h.reportUsage)
	}
	if h.Settings.Duties.Fleet {
		deps.Duties = append(deps.Duties, h.orderServers)
	}
	h.director = limpetdirector.New(deps)
	h.directorGroup.Go(h.director.Run)
	if h.Settings.HasDisk {
		h.director.SetCandidate(h.directorGroup.Context(), true)
	}
}

func (h *Host) reportUsage(ctx context.Context, lease limpetdirector.LeaseCheck) error {
	r := &limpetwindow.Reporter{
		Store: h.deps.Store, Length: h.Settings.Bounds.UsageWindow, ReportDeadline: h.Settings.Bounds.UsageReportDeadline,
		ReceivedCounts: h.received, ResendOwn: h.counter.ResendAll, Send: h.deps.Report, Fence: lease.Fence, Call: lease.Call, VM: lease.VM, Now: h.deps.Now, Log: h.Log,
	}
	return r.Run(ctx)
}

// Drain begins a shutdown: the VM is no longer ready and stops being the
// director.
func (h *Host) Drain() {
	if h.draining.Swap(true) {
		return
	}
	h.Log.Emit(limpetlog.NodeDraining)
	h.connector.Executor.Leave()
	if err := h.directorGroup.Stop(); err != nil {
		h.Log.Emit(limpetlog.LeaseLost, limpetlog.Error(err))
	}
}

// Stop writes the usage counts that are left and ends the process. The caller
// must have finished all requests. It returns the first error of a goroutine.
func (h *Host) Stop() error {
	flush, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if h.Settings.ServesCallers {
		h.counter.Flush(flush, true)
	}
	h.Log.Emit(limpetlog.NodeStopped)
	return h.group.Stop()
}

// SetFollowing starts or stops the watches of the deployment. VMs that neither
// serve callers nor are the director do not need them, and each watch is a load
// on the store.
func (h *Host) SetFollowing(following bool) {
	h.followingMu.Lock()
	defer h.followingMu.Unlock()
	if following == (h.watchGroup != nil) {
		return
	}
	if !following {
		group := h.watchGroup
		h.watchGroup = nil
		h.group.Go(func(context.Context) error { return group.Stop() })
		return
	}
	h.watchGroup = limpettask.New(h.group.Context())
	for _, w := range h.watchers {
		h.watchGroup.Go(w.Run)
	}
	h.watchGroup.Go(h.probeStore)
}

// newWatchers returns the watchers that keep this VM up to date about the
// deployment and about requests that crash servers.
func (h *Host) newWatchers(store limpetstore.Store) []*limpetwatch.Watcher {
	var watchers []*limpetwatch.Watcher
	for _, f := range h.feeds {
		if f.relayedOnly {
			continue
		}
		w := &limpetwatch.Watcher{
			Store: store, Prefix: f.prefix, Wait: watchWait,
			OnList: func(l limpetstore.Listing) {
				h.mirror.Apply(h.relevance.changes(l.Values, f.applyListing(l), func(values []limpetrelay.Value) limpetrelay.Apply {
					return limpetrelay.Listing(f.prefix, values, l.Revision)
				})...)
			},
			OnChange: func(values []limpetstore.Value) {
				h.mirror.Apply(h.relevance.changes(values, f.applyChanges(values), func(values []limpetrelay.Value) limpetrelay.Apply {
					return limpetrelay.Changes(f.prefix, values)
				})...)
			},
			OnOutage: func(err error) {
				h.Log.Emit(limpetlog.StoreDown, limpetlog.Value("prefix", f.prefix), limpetlog.Error(err))
				h.storeLost()
			},
			OnCompaction: func() { h.Log.Emit(limpetlog.StoreCompacted, limpetlog.Value("prefix", f.prefix)) },
			OnRecovery: func() {
				h.Log.Emit(limpetlog.StoreRecovered, limpetlog.Value("prefix", f.prefix))
				h.sendUpdate(siteUpdate{outage: true})
			},
		}
		watchers = append(watchers, w)
	}
	return watchers
}

// storeLost records that the store does not respond.
func (h *Host) storeLost() {
	h.storeReachable.Store(false)
	h.sendUpdate(siteUpdate{outage: true})
}

// probeStore probes the store periodically. After an outage it restarts the
// watches, since one may still be waiting for a store that no longer serves
// it.
func (h *Host) probeStore(ctx context.Context) error {
	failed := false
	for {
		sent := h.deps.Now()
		callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		err := h.deps.Probe(callCtx)
		cancel()
		switch {
		case err != nil && ctx.Err() == nil:
			if !failed {
				h.Log.Emit(limpetlog.StoreDown, limpetlog.Value("prefix", "probe"), limpetlog.Error(err))
			}
			failed = true
			h.storeLost()
		case err == nil:
			if failed {
				h.Log.Emit(limpetlog.StoreRecovered, limpetlog.Value("prefix", "probe"))
				h.sendUpdate(siteUpdate{outage: true})
				for _, w := range h.watchers {
					w.Restart()
				}
			}
			failed = false
			h.mirror.MarkConfirmed(sent)
			h.confirmView(sent)
			h.storeReachable.Store(true)
		}
		if !limpettask.Sleep(ctx, probeInterval) {
			return nil
		}
	}
}

// isServer reports whether a record is that of a backend server.
func isServer(r limpetsite.Record) bool { return strings.HasPrefix(r.Key, limpetsite.ServerKey) }
