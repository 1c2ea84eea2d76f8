package limpetlimit

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpettask"
)

const (
	// MaxServers bounds the servers of one request for a permit.
	MaxServers = 16
	// askTimeout bounds a request for a permit, which the caller's request waits
	// for.
	askTimeout = 150 * time.Millisecond
	// maxPermitLateness is how much later than granted a request to a cold server may be
	// sent.
	maxPermitLateness = 300 * time.Millisecond
	// maxDenialMemory is how long this VM asks for no permit after it got none, at
	// most: another director may grant one.
	maxDenialMemory = 500 * time.Millisecond
	// maxAloneRetryAfter bounds the retry delay while there is no director: the next
	// one may grant a permit long before this VM's own part of a limit does.
	maxAloneRetryAfter = time.Second
	// askLookInterval is the least time between a VM's requests for a server that
	// was not asked for long.
	askLookInterval = 500 * time.Millisecond
	// reportRetry is the delay after a report of limits that did not reach the
	// director.
	reportRetry = 250 * time.Millisecond
	// minVMs is assumed to be the least number of VMs: a director that has just
	// started knows few of them.
	minVMs = 8
	// aloneShare is the part of a limit that all VMs together use while none of
	// them reaches a director. It is less than 1, since some may reach one.
	aloneShare = 0.5
)

// A Request asks the director for a permit to send one request to one of some
// servers. Without servers, it only reports limits.
type Request struct {
	Servers []string
	// MaxDelay is how long the request may wait for its server.
	MaxDelay time.Duration
	// Look asks for a server that was not asked for long, to find out whether it
	// still names a limit.
	Look bool
	// Limits holds what the VM observed and the director may not know.
	Limits []Limit
	// Cold holds what the VM knows of those of the servers that are cold, and what the
	// director may not know of others.
	Cold []Cold
}

// A Grant is the director's answer.
type Grant struct {
	// Server is the server to send to after Delay; empty if none takes the request
	// in time.
	Server string
	Delay  time.Duration
	// RetryAfter is when a server takes a request, if none is granted; 0 if
	// unknown.
	RetryAfter time.Duration
	// VMs is the number of VMs that the director knows.
	VMs int
	// KnowsCold is set if the director takes account of cold servers, which those of
	// earlier releases do not.
	KnowsCold bool
}

// Deps holds the dependencies of a Gate.
type Deps struct {
	Limits *Limits
	// Ask asks the director, which may be this VM. An error means that no director
	// was reached.
	Ask func(ctx context.Context, r Request) (Grant, error)
	// VMs returns the number of VMs that this VM knows as the director.
	VMs func() int
	// Fence returns the fencing token of this VM's duty as the director, 0 if it is not
	// the director; nil if that never changes.
	Fence func() uint64
	// SendsAlone reports whether this VM is the one that sends to a cold server while it
	// has no director; nil if it never does.
	SendsAlone func(server string) bool
	Log        *limpetlog.Logger
	Metrics    prometheus.Registerer
	Now        func() time.Time
}

// A Gate hands out permits to send requests to limited servers on one VM. It is
// safe for concurrent use. A nil Gate knows no limits.
type Gate struct {
	Deps
	// ledger is that of the director, used while this VM is it; last under the fencing
	// token ledgerFence.
	ledger      *Ledger
	ledgerFence uint64
	ledgerMu    sync.Mutex
	// alone accounts for requests while there is no director.
	alone   *Ledger
	isAlone atomic.Bool
	permits *prometheus.CounterVec

	mu sync.Mutex
	// deniedUntil and lookedAt hold, by service, until when no server takes a
	// request, and when this VM last asked to look at one.
	deniedUntil map[string]time.Time
	lookedAt    map[string]time.Time
}

// NewGate returns a gate.
func NewGate(deps Deps) *Gate {
	alone := NewLedger(aloneShare / minVMs)
	alone.coldShare = coldAloneShare
	g := &Gate{
		Deps: deps, ledger: NewLedger(1), alone: alone,
		deniedUntil: map[string]time.Time{}, lookedAt: map[string]time.Time{},
		permits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "limpet_server_limit_permits_total", Help: "Requests for a permit to send to a limited backend server, by outcome.",
		}, []string{"outcome"}),
	}
	deps.Metrics.MustRegister(g.permits)
	return g
}

// Outcomes of requests for a permit.
const (
	outcomeGranted = "granted"
	outcomeDenied  = "denied"
	outcomeLook    = "look"
	outcomeAlone   = "granted_alone"
	outcomeRefused = "denied_alone"
	outcomeLate    = "late"
)

// Any reports whether a server is limited, so that callers need not ask further.
func (g *Gate) Any() bool { return g != nil && g.Limits.Any() }

// Limited reports whether a server is limited.
func (g *Gate) Limited(server string) bool {
	if !g.Any() {
		return false
	}
	_, limited := g.Limits.Get(server)
	return limited
}

// Permit obtains a permit to send a request to one of some limited servers, and
// waits up to maxDelay until it may be sent. Ok is false if none of them takes it
// in time; one does after retryAfter. Service is set if the servers are all limited
// ones of that service: if none of them takes the request, further ones are denied
// for a short time without asking.
func (g *Gate) Permit(ctx context.Context, service string, servers []string, maxDelay time.Duration) (server string, retryAfter time.Duration, ok bool) {
	if left := g.deniedFor(service); service != "" && left > maxDelay {
		g.permits.WithLabelValues(outcomeDenied).Inc()
		return "", left, false
	}
	asked := g.Now()
	grant := g.ask(ctx, Request{Servers: clip(servers), MaxDelay: maxDelay})
	if grant.Server == "" {
		if service != "" && len(servers) <= MaxServers {
			g.deny(service, grant.RetryAfter)
		}
		return "", grant.RetryAfter, false
	}
	if !limpettask.Sleep(ctx, grant.Delay) {
		return "", 0, false
	}
	if g.Limits.Cold(grant.Server) && g.Now().Sub(asked) > grant.Delay+maxPermitLateness {
		// This VM stood still. Others have got permits for this time since.
		g.permits.WithLabelValues(outcomeLate).Inc()
		return "", 0, false
	}
	return grant.Server, 0, true
}

// Look obtains a permit for a server that was not asked for long, if there is one
// and this VM has not tried to find one just now.
func (g *Gate) Look(ctx context.Context, service string, servers []string) (server string, ok bool) {
	if servers = g.Limits.warm(servers); len(servers) == 0 || !g.claimLook(service) {
		return "", false
	}
	grant := g.ask(ctx, Request{Servers: clip(servers), Look: true})
	if grant.Server != "" {
		g.permits.WithLabelValues(outcomeLook).Inc()
	}
	return grant.Server, grant.Server != ""
}

func clip(servers []string) []string { return servers[:min(MaxServers, len(servers))] }

// deniedFor returns for how long no server of a service takes a request.
func (g *Gate) deniedFor(service string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.deniedUntil[service].Sub(g.Now())
}

func (g *Gate) deny(service string, retryAfter time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deniedUntil[service] = g.Now().Add(min(retryAfter, maxDenialMemory))
}

// claimLook reports whether this VM may ask to look at servers of a service.
func (g *Gate) claimLook(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	if now.Sub(g.lookedAt[service]) < askLookInterval {
		return false
	}
	g.lookedAt[service] = now
	return true
}

// ask asks the director, or decides alone while there is none.
func (g *Gate) ask(ctx context.Context, r Request) Grant {
	unsent := g.Limits.takeUnsentCold()
	r.Limits, r.Cold = g.Limits.takeUnsent(), append(unsent, g.Limits.coldOf(r.Servers)...)
	callCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	grant, err := g.Ask(callCtx, r)
	if err != nil {
		g.Limits.returnUnsent(r.Limits)
		g.Limits.returnUnsentCold(unsent)
	}
	switch {
	case ctx.Err() != nil:
		// The caller left, which says nothing about the director.
		return Grant{}
	case err != nil:
		return g.decideAlone(r, err)
	}
	if grant.Server != "" && !grant.KnowsCold && g.Limits.Cold(grant.Server) {
		return g.decideAlone(r, limpeterror.Unavailable.New("the director is of an earlier release, which knows no cold servers"))
	}
	g.setAlone(nil)
	g.alone.SetShare(aloneShare / float64(max(minVMs, grant.VMs)))
	if !r.Look {
		g.count(grant, outcomeGranted, outcomeDenied)
	}
	return grant
}

func (g *Gate) count(grant Grant, granted, denied string) {
	outcome := denied
	if grant.Server != "" {
		outcome = granted
	}
	g.permits.WithLabelValues(outcome).Inc()
}

// setAlone records whether a director answered; err says why none did.
func (g *Gate) setAlone(err error) {
	if g.isAlone.Swap(err != nil) == (err != nil) {
		return
	}
	if err != nil {
		g.Log.Emit(limpetlog.PermitsAlone, limpetlog.Value("alone", true), limpetlog.Error(err))
		return
	}
	g.Log.Emit(limpetlog.PermitsAlone, limpetlog.Value("alone", false))
}

// decideAlone grants a request from this VM's part of the limits.
func (g *Gate) decideAlone(r Request, err error) Grant {
	if len(r.Servers) == 0 || r.Look {
		return Grant{}
	}
	g.setAlone(err)
	r.Servers = slices.DeleteFunc(slices.Clone(r.Servers), func(id string) bool {
		return g.Limits.Cold(id) && (g.SendsAlone == nil || !g.SendsAlone(id))
	})
	grant := Grant{RetryAfter: maxAloneRetryAfter}
	if len(r.Servers) > 0 {
		grant = g.decide(r, g.alone)
	}
	grant.RetryAfter = min(grant.RetryAfter, maxAloneRetryAfter)
	g.count(grant, outcomeAlone, outcomeRefused)
	return grant
}

// Decide answers the request of a VM as the director.
func (g *Gate) Decide(r Request) Grant {
	g.Limits.Merge(r.Limits)
	g.Limits.MergeCold(r.Cold)
	grant := g.decide(r, g.directing())
	grant.VMs, grant.KnowsCold = g.VMs(), true
	return grant
}

// directing returns the ledger of the director. When this VM takes up the duty, cold
// servers get nothing for coldWindow: another director may have handed out permits
// since its last turn, also for later.
func (g *Gate) directing() *Ledger {
	g.ledgerMu.Lock()
	defer g.ledgerMu.Unlock()
	if g.Fence == nil {
		return g.ledger
	}
	if fence := g.Fence(); fence != 0 && fence != g.ledgerFence {
		g.ledgerFence = fence
		g.ledger.holdCold()
	}
	return g.ledger
}

func (g *Gate) decide(r Request, ledger *Ledger) Grant {
	now := g.Now()
	var limits []Limit
	for _, server := range r.Servers {
		limit, limited := g.Limits.Get(server)
		if !limited {
			// The limit was over before the VM noticed.
			return Grant{Server: server}
		}
		limits = append(limits, limit)
	}
	if r.Look {
		limits = ledger.longUnasked(limits, now)
	}
	if len(limits) == 0 {
		return Grant{}
	}
	server, delay := ledger.Grant(limits, r.MaxDelay, now)
	if server == "" {
		return Grant{RetryAfter: delay}
	}
	return Grant{Server: server, Delay: delay}
}

// Free reports, as the director, whether a server takes a request now. Servers
// that name no limit do.
func (g *Gate) Free(server string, now time.Time) bool {
	if !g.Any() {
		return true
	}
	limit, limited := g.Limits.Get(server)
	return !limited || g.directing().Free(limit, now)
}

// Cold reports whether a server counts as cold.
func (g *Gate) Cold(server string) bool { return g != nil && g.Limits.Cold(server) }

// Take accounts, as the director, for a request to a server.
func (g *Gate) Take(server string, now time.Time) {
	if !g.Any() {
		return
	}
	if limit, limited := g.Limits.Get(server); limited {
		g.directing().Take(limit, now)
	}
}

// Among returns the limited ones of some servers that are not excluded, in random
// order, but those of an availability zone first.
func (g *Gate) Among(servers []*limpetsite.Server, zone string, exclude func(id string) bool) []string {
	if !g.Any() {
		return nil
	}
	var near, far []string
	for _, s := range servers {
		switch {
		case exclude(s.ID) || !g.Limited(s.ID):
		case s.Zone == zone:
			near = append(near, s.ID)
		default:
			far = append(far, s.ID)
		}
	}
	shuffle(near)
	shuffle(far)
	return slices.Concat(near, far)
}

// shuffle puts servers in random order, so that a request that names MaxServers of
// many does not always name the same.
func shuffle(servers []string) {
	rand.Shuffle(len(servers), func(a, b int) { servers[a], servers[b] = servers[b], servers[a] })
}

// Run reports the limits that this VM observes to the director until ctx ends.
func (g *Gate) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.Limits.changed:
		}
		for ctx.Err() == nil {
			limits, cold := g.Limits.takeUnsent(), g.Limits.takeUnsentCold()
			if len(limits) == 0 && len(cold) == 0 {
				break
			}
			callCtx, cancel := context.WithTimeout(ctx, askTimeout)
			_, err := g.Ask(callCtx, Request{Limits: limits, Cold: cold})
			cancel()
			if err == nil {
				break
			}
			g.Limits.returnUnsent(limits)
			g.Limits.returnUnsentCold(cold)
			limpettask.Sleep(ctx, limpettask.Jitter(reportRetry))
		}
	}
}
