// Package limpetnode implements one limpetd process: its control state, the
// goroutines that update it, the duties that it runs, and its listeners. A
// single goroutine changes the control state and publishes immutable snapshots,
// which are all that request handling reads.
package limpetnode

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"limpetmount.org/internal/limpetbuild"
	"limpetmount.org/internal/limpetcaller"
	"limpetmount.org/internal/limpetclaim"
	"limpetmount.org/internal/limpetconfig"
	"limpetmount.org/internal/limpetdispatch"
	"limpetmount.org/internal/limpetduty"
	"limpetmount.org/internal/limpetengine"
	"limpetmount.org/internal/limpethttp"
	"limpetmount.org/internal/limpetintake"
	"limpetmount.org/internal/limpetlease"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetmember"
	"limpetmount.org/internal/limpetmetric"
	"limpetmount.org/internal/limpetorder"
	"limpetmount.org/internal/limpetpeer"
	"limpetmount.org/internal/limpetrollout"
	"limpetmount.org/internal/limpetscore"
	"limpetmount.org/internal/limpetsettings"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpettls"
	"limpetmount.org/internal/limpetusage"
	"limpetmount.org/internal/limpetview"
	"limpetmount.org/internal/limpetvms"
	"limpetmount.org/internal/limpetwire"
)

// Deps holds the clients of external systems and the replaceable policies.
type Deps struct {
	Store  limpetstore.Store
	Orders limpetorder.Platform
	Intake limpetintake.Intake
	VMs    limpetvms.List
	Engine limpetengine.Engine
	Scorer limpetscore.Scorer
	// Dial opens connections to other VMs.
	Dial limpetpeer.DialFunc
	// Policy schedules and routes requests.
	Policy limpetdispatch.Policy
	// Stragglers selects the running samples that get a second attempt.
	Stragglers func(running []limpetrollout.RunningSample, durations []time.Duration, samples int, now time.Time) []limpetrollout.RunningSample
}

// NewDeps returns the clients for the addresses in the settings, and the default
// policies.
func NewDeps(p limpetsettings.Platform) Deps {
	return Deps{
		Store: limpetstore.NewHTTP(p.Store), Orders: limpetorder.NewHTTP(p.Orders), Intake: limpetintake.NewHTTP(p.Usage),
		VMs: limpetvms.NewHTTP(p.VMs), Engine: limpetengine.NewHTTP(), Scorer: limpetscore.NewHTTP(), Dial: limpetpeer.NewDialFunc(),
		Policy: limpetdispatch.NewPolicy(), Stragglers: limpetrollout.Stragglers,
	}
}

// A Node is one running limpetd process.
type Node struct {
	settings limpetsettings.Settings
	deps     Deps
	log      *limpetlog.Logger
	metrics  *limpetmetric.Set
	group    *limpettask.Group
	self     limpetmember.VM
	view     atomic.Pointer[limpetview.View]
	mailbox
	config        *limpetconfig.Log
	claims        *limpetclaim.Committer
	holder        *limpetlease.Holder
	duties        *limpetduty.Manager
	dispatcher    *limpetdispatch.Dispatcher
	frontend      *limpetcaller.Frontend
	tally         *limpetusage.Tally
	usageStore    limpetstore.Store
	usageReplicas *limpetduty.UsageReplicas
	client        *limpetpeer.Client
	keyPair       *limpettls.KeyPair
	health        *storeHealth

	// serversRevision is the revision of the last list of backend servers read.
	serversRevision atomic.Uint64
	// replicatedSequences is the sum of the sequence numbers of the usage records
	// that were last replicated to another VM.
	replicatedSequences atomic.Uint64

	mu      sync.Mutex
	runners map[string]*limpetrollout.Runner
	servers []*limpethttp.Server
}

const (
	eventQueueSize = 1024
	// claimRetention is how long a claim is kept after its last change.
	claimRetention = time.Hour
	idBytes        = 8
)

func newID() string {
	b := make([]byte, idBytes)
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// Start opens the listeners and starts a node. It returns once callers can
// connect, but the node is not ready until it has read its configuration. An
// error names the section of the settings whose certificate or address is
// unusable.
func Start(ctx context.Context, settings limpetsettings.Settings, deps Deps, logger *limpetlog.Logger) (*Node, error) {
	group := limpettask.New(ctx)
	n := &Node{
		settings: settings, deps: deps, log: logger, metrics: limpetmetric.New(), group: group,
		mailbox: newMailbox(eventQueueSize, group.Context().Done()), runners: map[string]*limpetrollout.Runner{},
	}
	n.self = limpetmember.VM{Name: settings.VM.Name, Incarnation: settings.VM.Name + "-" + newID(), Zone: settings.VM.Zone, Peer: settings.Peer.Address, Started: time.Now()}
	var err error
	if n.keyPair, err = limpettls.Load(settings.Peer.Cert, settings.Peer.Key, settings.Peer.Authority, n.logCertReload); err != nil {
		return nil, fmt.Errorf("section peer: %w", err)
	}
	n.build()
	if err := n.listen(); err != nil {
		// Requests may wait for the control goroutine, which is not started.
		close(n.ended)
		_ = n.group.Stop()
		return nil, err
	}
	n.startLoops()
	logger.Emit(limpetlog.NodeStarted, limpetlog.Value("caller", settings.Caller.Address), limpetlog.Value("incarnation", n.self.Incarnation), limpetlog.Value("build", limpetbuild.Revision()))
	return n, nil
}

func (n *Node) logCertReload(err error) {
	if err != nil {
		n.log.Emit(limpetlog.TLSReloadFailed, limpetlog.Error(err))
		return
	}
	n.log.Emit(limpetlog.TLSReloaded)
}

// build creates the components without starting any goroutine.
func (n *Node) build() {
	meter := limpetstore.NewMeter(n.metrics.Registry)
	n.health = &storeHealth{}
	tracked := n.health.wrap(n.deps.Store)
	store := func(mechanism string) limpetstore.Store { return meter.Wrap(tracked, mechanism) }
	n.view.Store(&limpetview.View{Config: limpetconfig.NewDocument()})
	n.config = limpetconfig.NewLog(store("config"), time.Now)
	n.claims = limpetclaim.New(n.group, store("claims"), claimRetention, time.Now)
	n.holder = limpetlease.New(store("leases"), n.self.Name, n.self.Incarnation, n.settings.Timing.LeaseDuration, time.Now)
	n.tally = limpetusage.NewTally(n.self.Name, n.self.Incarnation, n.settings.Timing.UsageWindow)
	n.usageStore = store("usage")
	n.usageReplicas = limpetduty.NewUsageReplicas(n.usageWriter())
	n.client = limpetpeer.New(n.keyPair.ClientConfig(), n.deps.Dial)
	n.dispatcher = limpetdispatch.New(limpetdispatch.Dependencies{
		View: n.View, Policy: n.deps.Policy, Engine: n.deps.Engine, Claim: n.claim,
		ReportCrash: n.reportCrash, ReportServed: n.reportServed, ReportFailure: n.reportFailure,
		Tally: n.tally, Metrics: n.metrics, Log: n.log, Now: time.Now, NewID: newID,
	}, n.settings.VM.Zone, n.settings.Limits, n.settings.Timing)
	n.frontend = limpetcaller.New(limpetcaller.Dependencies{
		View: n.View, Dispatcher: n.dispatcher, CallJob: n.callJob, Metrics: n.metrics, Log: n.log, NewRequestID: newID,
	}, n.settings.Limits, n.settings.Timing)
	n.duties = limpetduty.NewManager(limpetduty.ManagerConfig{
		View: n.View, Holder: n.holder, Self: n.self.Name, LeaseDuration: n.settings.Timing.LeaseDuration, Log: n.log, Now: time.Now,
		Desired: func() []limpetduty.Duty { return n.desiredDuties(store) },
	})
}

// View returns the current snapshot.
func (n *Node) View() *limpetview.View { return n.view.Load() }

// Incarnation returns the unique name of this run of the process.
func (n *Node) Incarnation() string { return n.self.Incarnation }

// Metrics returns the node's metrics.
func (n *Node) Metrics() *limpetmetric.Set { return n.metrics }

func (n *Node) listen() error {
	s := n.settings
	caller, config, err := n.callerListener()
	if err != nil {
		return err
	}
	b := n.newBounds()
	bound := &http.Server{
		Handler:        b.bodies.Bound(n.frontend.Handler(), bodyCopies, func() { b.refusals.Count("caller", limpethttp.BoundBodies) }),
		MaxHeaderBytes: s.Limits.MaxHeaderBytes, ReadHeaderTimeout: s.Timing.HeaderTimeout, ErrorLog: discardLog(),
	}
	limpethttp.Protect(bound)
	listenCallers := b.guard.Listen
	if config != nil {
		listenCallers = b.guard.ListenBelowTLS
	}
	server := limpethttp.NewServer(bound, listenCallers(caller, "caller", largeShare), config)
	server.Run(n.group)
	n.servers = append(n.servers, server)
	peerPath, peerHandler := limpetwire.NewPeerServiceHandler(&peerService{node: n})
	if err := n.serveTLS(b, "peer", s.Peer.Address, peerPath, peerHandler, n.keyPair.ServerConfig()); err != nil {
		return err
	}
	operatorPath, operatorHandler := limpetwire.NewOperatorServiceHandler(&operatorService{node: n})
	if err := n.serveTLS(b, "operator", s.Operator.Address, operatorPath, operatorHandler, n.operatorTLS()); err != nil {
		return err
	}
	metrics, err := net.Listen("tcp", s.Metrics.Address)
	if err != nil {
		return fmt.Errorf("section metrics: %w", err)
	}
	scrapes := &http.Server{Handler: promhttp.HandlerFor(n.metrics.Registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes}), ErrorLog: discardLog()}
	limpethttp.Protect(scrapes)
	limpethttp.Serve(n.group, b.guard.Listen(metrics, "metrics", smallShare), scrapes)
	return nil
}

// callerListener returns the listener for callers and its TLS configuration, which
// is nil if none is set.
func (n *Node) callerListener() (net.Listener, *tls.Config, error) {
	c := n.settings.Caller
	listener, err := net.Listen("tcp", c.Address)
	if err != nil {
		return nil, nil, fmt.Errorf("section caller: %w; another process may use the port", err)
	}
	if c.Cert == "" {
		return listener, nil, nil
	}
	keyPair, err := limpettls.Load(c.Cert, c.Key, "", n.logCertReload)
	if err != nil {
		return nil, nil, errors.Join(fmt.Errorf("section caller: %w", err), listener.Close())
	}
	return listener, keyPair.ServerConfig(), nil
}

// operatorTLS returns the TLS configuration of the operator listener, whose
// clients authenticate with a key instead of a certificate.
func (n *Node) operatorTLS() *tls.Config {
	c := n.keyPair.ServerConfig()
	c.ClientAuth, c.ClientCAs = tls.NoClientCert, nil
	return c
}

func (n *Node) serveTLS(b bounds, section, address, path string, handler http.Handler, config *tls.Config) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("section %s: %w; another process may use the port", section, err)
	}
	m := http.NewServeMux()
	m.Handle(path, handler)
	server := &http.Server{
		Handler:   b.bodies.Bound(m, bodyCopies, func() { b.refusals.Count(section, limpethttp.BoundBodies) }),
		TLSConfig: config, ErrorLog: discardLog(),
	}
	limpethttp.Protect(server)
	listener = b.guard.ListenBelowTLS(listener, section, largeShare)
	limpethttp.Serve(n.group, tls.NewListener(listener, config), server)
	return nil
}

// discardLog discards what net/http prints about broken connections; requests
// have their own log events.
func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }

// startLoops starts the goroutines that update the control state and run duties.
func (n *Node) startLoops() {
	n.group.Go(func(ctx context.Context) error { n.control(ctx); return nil })
	n.group.Go(func(ctx context.Context) error { n.followLog(ctx); return nil })
	timing := n.settings.Timing
	n.group.RunEvery(timing.HeartbeatInterval, n.heartbeat)
	n.group.RunEvery(vmListPeriod, n.readVMList)
	n.group.RunEvery(timing.LoadInterval, n.readServers)
	n.group.RunEvery(pricePeriod, n.readPrices)
	n.group.RunEvery(timing.LoadInterval, n.readLoads)
	n.group.RunEvery(cacheReadFactor*timing.LoadInterval, n.readCaches)
	n.group.RunEvery(timing.LeaseDuration/renewalsPerLease, n.renew)
	n.group.RunEvery(flushPeriod(timing.UsageWindow), func(ctx context.Context) { n.flushUsage(ctx, false) })
	n.group.RunEvery(suspensionPersistPeriod, n.persistSuspensions)
	n.group.Go(func(ctx context.Context) error { n.duties.Run(ctx); return nil })
}

const (
	vmListPeriod     = 2 * time.Second
	pricePeriod      = 5 * time.Second
	renewalsPerLease = 3
	// cacheReadFactor is the period of reading cache events, in periods of
	// reading load reports.
	cacheReadFactor         = 2
	suspensionPersistPeriod = time.Second
)

// flushPeriod returns how often usage counts are written: six times a window,
// and at least every 15 s.
func flushPeriod(window time.Duration) time.Duration {
	const flushesPerWindow, maxPeriod = 6, 15 * time.Second
	return min(window/flushesPerWindow, maxPeriod)
}

func (n *Node) renew(ctx context.Context) {
	lost, err := n.holder.Renew(ctx)
	for _, duty := range lost {
		n.log.Emit(limpetlog.LeaseLost, limpetlog.Value("duty", duty))
	}
	if err != nil {
		n.log.Emit(limpetlog.PeerCallFailed, limpetlog.Error(err))
	}
}

// handoverTimeout bounds the release of the leases in a shutdown and, separately,
// the write of the last usage counts.
const handoverTimeout = 5 * time.Second

// Shutdown stops the node gracefully: it stops being ready, releases its duties,
// finishes its open requests, and writes its last usage counts. It returns an
// error if requests are still open at the end of the drain timeout, and otherwise
// that of Kill.
func (n *Node) Shutdown(ctx context.Context) error {
	n.log.Emit(limpetlog.NodeDraining)
	n.send(drainEvent{})
	limpettask.Sleep(ctx, n.settings.Timing.ShutdownDelay)
	ctx, cancel := context.WithTimeout(ctx, n.settings.Timing.DrainTimeout)
	defer cancel()
	n.duties.Stop()
	releaseCtx, cancelRelease := context.WithTimeout(ctx, handoverTimeout)
	defer cancelRelease()
	if err := n.holder.Release(releaseCtx); err != nil {
		n.log.Emit(limpetlog.LeaseLost, limpetlog.Error(err))
	}
	// The heartbeat tells the other VMs that the duties are unheld.
	n.heartbeat(releaseCtx)
	var firstErr error
	for _, s := range n.servers {
		if err := s.Drain(ctx); err != nil && firstErr == nil {
			firstErr = fmt.Errorf("requests still open at the end of the drain timeout: %w", err)
		}
	}
	flushCtx, cancelFlush := context.WithTimeout(context.WithoutCancel(ctx), handoverTimeout)
	defer cancelFlush()
	n.flushUsage(flushCtx, true)
	n.heartbeat(flushCtx)
	if err := n.Kill(); err != nil && firstErr == nil {
		firstErr = err
	}
	n.log.Emit(limpetlog.NodeStopped)
	return firstErr
}

// Kill stops the node at once, without finishing requests or releasing duties, as
// a crash of its process would. It returns the first error of a goroutine.
func (n *Node) Kill() error {
	err := n.group.Stop()
	n.client.Close()
	return err
}
