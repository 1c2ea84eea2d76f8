// Package limpetserve owns the way of a request from admission to a backend
// server and back: gates, attempts, resumes, retries and claims. It reads one
// snapshot for each decision and must not import the HTTP front.
package limpetserve

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"limpetmount.org/internal/limpetclaim"
	"limpetmount.org/internal/limpetconfig"
	"limpetmount.org/internal/limpetengine"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetmember"
	"limpetmount.org/internal/limpetmetric"
	"limpetmount.org/internal/limpetretry"
	"limpetmount.org/internal/limpetroute"
	"limpetmount.org/internal/limpetsettings"
	"limpetmount.org/internal/limpetshare"
	"limpetmount.org/internal/limpetusage"
	"limpetmount.org/internal/limpetview"
)

// A Policy holds the decisions that experiments replace by baselines.
type Policy struct {
	// Pick chooses a server.
	Pick func(candidates []limpetroute.Candidate, q limpetroute.Query) int
	// NewScheduler returns the order of admission of a service.
	NewScheduler func() *limpetshare.Scheduler
}

// NewPolicy returns the product's policy.
func NewPolicy() Policy {
	return Policy{Pick: limpetroute.Pick, NewScheduler: limpetshare.NewScheduler}
}

// NewBaseline returns a plain policy: servers in turn, requests in the order
// of their arrival.
func NewBaseline() Policy {
	var turn atomic.Uint64
	return Policy{
		Pick: func(candidates []limpetroute.Candidate, q limpetroute.Query) int {
			return limpetroute.RoundRobin(candidates, q, turn.Add(1))
		},
		NewScheduler: limpetshare.NewFIFO,
	}
}

// Seams holds what a Server uses of the rest of the system.
type Seams struct {
	Policy Policy
	// View returns the current snapshot.
	View func() *limpetview.View
	// Engine reaches model engines.
	Engine limpetengine.Engine
	// Claim claims an idempotency key, or records an attempt's outcome.
	Claim func(ctx context.Context, r limpetclaim.Request) (limpetclaim.Entry, error)
	// Crashed is told that a request is blamed for a server's crash.
	Crashed func(fingerprint uint64, account, server string)
	// Failed is told that an attempt at a server failed.
	Failed  func(server *limpetroute.Server)
	Tally   *limpetusage.Tally
	Metrics *limpetmetric.Set
	Log     *limpetlog.Logger
	Now     func() time.Time
	Unique  func() string
}

// A Server holds the traffic state of one VM: gates, retry budgets and which
// requests are at which backend server.
type Server struct {
	Seams
	zone    string
	limits  limpetsettings.Limits
	timing  limpetsettings.Timing
	plain   plainClient
	mu      sync.Mutex
	gates   map[string]*limpetshare.Gate
	budgets map[string]*limpetretry.Budget
	// running holds the requests of this VM at each server, by fingerprint.
	running map[*limpetroute.Server]map[uint64]string
	// consumed holds the tokens served since the start, by service and account.
	consumed map[Consumer]uint64
	remote   remoteUse
}

// A Consumer names a client account's use of a service.
type Consumer struct {
	Service, Account string
}

// Retry budget of each service.
const (
	budgetRatio = 0.1
	budgetMost  = 20
)

// New returns a server for a VM in zone.
func New(seams Seams, zone string, limits limpetsettings.Limits, timing limpetsettings.Timing) *Server {
	return &Server{
		Seams: seams, zone: zone, limits: limits, timing: timing, plain: newPlainClient(timing.Service),
		gates: map[string]*limpetshare.Gate{}, budgets: map[string]*limpetretry.Budget{},
		running:  map[*limpetroute.Server]map[uint64]string{},
		consumed: map[Consumer]uint64{}, remote: remoteUse{},
	}
}

func (s *Server) gate(service string) *limpetshare.Gate {
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := s.gates[service]
	if !ok {
		g = limpetshare.NewGate(limpetshare.Limits{Queue: s.limits.Queue, Wait: s.timing.Queue}, s.Policy.NewScheduler(), s.Now)
		g.SetPlaces(s.View().Places(service))
		s.gates[service] = g
	}
	return g
}

func (s *Server) budget(service string) *limpetretry.Budget {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.budgets[service]
	if !ok {
		b = limpetretry.NewBudget(budgetRatio, budgetMost)
		s.budgets[service] = b
	}
	return b
}

// Refresh follows a new snapshot: places at the servers, and what client
// accounts consumed at other VMs. Only the control goroutine calls it.
func (s *Server) Refresh(v *limpetview.View) {
	s.mu.Lock()
	gates := make(map[string]*limpetshare.Gate, len(s.gates))
	for service, g := range s.gates {
		gates[service] = g
	}
	s.mu.Unlock()
	for service, g := range gates {
		g.SetPlaces(v.Places(service))
	}
	for _, m := range v.Members {
		for c, tokens := range s.remote.since(m.Incarnation, m.Consumed) {
			if g, ok := gates[c.Service]; ok {
				g.Remote(c.Account, float64(tokens), weightOf(v, c.Account))
			}
		}
	}
	s.remote.forget(v.Members)
}

// A remoteUse holds the totals that other VMs last told, by incarnation. The
// first total of an incarnation is its baseline, so that a VM that comes back
// into sight charges nothing twice.
type remoteUse map[string]map[string]uint64

// since returns what was consumed since the last totals of an incarnation.
func (u remoteUse) since(incarnation string, totals map[string]uint64) map[Consumer]uint64 {
	last, known := u[incarnation]
	if !known {
		u[incarnation] = totals
		return nil
	}
	added := map[Consumer]uint64{}
	for name, total := range totals {
		if total > last[name] {
			added[ParseConsumer(name)] = total - last[name]
		}
	}
	u[incarnation] = totals
	return added
}

// forget drops the incarnations that are no longer live.
func (u remoteUse) forget(members []limpetmember.State) {
	for incarnation := range u {
		if !slices.ContainsFunc(members, func(m limpetmember.State) bool { return m.Incarnation == incarnation }) {
			delete(u, incarnation)
		}
	}
}

// String returns the consumer as one word for the wire.
func (c Consumer) String() string { return c.Service + "/" + c.Account }

// ParseConsumer reads what String returned.
func ParseConsumer(text string) Consumer {
	for i := range text {
		if text[i] == '/' {
			return Consumer{Service: text[:i], Account: text[i+1:]}
		}
	}
	return Consumer{Account: text}
}

// Consumed returns the tokens served since the start, by consumer.
func (s *Server) Consumed() map[Consumer]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	consumed := make(map[Consumer]uint64, len(s.consumed))
	for c, n := range s.consumed {
		consumed[c] = n
	}
	return consumed
}

// MeanService returns the moving mean of the time that a request of a service
// takes from admission to its end.
func (s *Server) MeanService(service string) time.Duration { return s.gate(service).MeanService() }

// Queues returns the waiting and running requests of each service.
func (s *Server) Queues() map[string][2]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	queues := map[string][2]int{}
	for service, g := range s.gates {
		waiting, running := g.Waiting()
		queues[service] = [2]int{waiting, running}
	}
	return queues
}

func weightOf(v *limpetview.View, account string) float64 {
	if a, ok := v.Config.Accounts[account]; ok {
		return a.Weight
	}
	return 1
}

// begin notes that a request is at a server.
func (s *Server) begin(server *limpetroute.Server, fingerprint uint64, account string) {
	server.Own.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[server] == nil {
		s.running[server] = map[uint64]string{}
	}
	s.running[server][fingerprint] = account
}

func (s *Server) end(server *limpetroute.Server, fingerprint uint64) {
	server.Own.Add(-1)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running[server], fingerprint)
	if len(s.running[server]) == 0 {
		delete(s.running, server)
	}
}

// record counts a finished request for shares, bills and metrics.
func (s *Server) record(service string, account limpetconfig.Account, outcome string, tokens int, c limpetusage.Count, t limpetmetric.Timing) {
	s.Metrics.Request(account.Name, string(account.Class), outcome, t)
	if tokens > 0 {
		s.Metrics.Tokens(account.Name, service, tokens)
	}
	s.mu.Lock()
	s.consumed[Consumer{service, account.Name}] += c.Tokens + c.PromptTokens
	s.mu.Unlock()
	if c != (limpetusage.Count{}) {
		s.Tally.Add(s.Now(), account.Name, c)
	}
}

// Running returns the requests of this VM at each server, by account.
func (s *Server) Running() map[*limpetroute.Server]map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	running := make(map[*limpetroute.Server]map[string]int, len(s.running))
	for server, requests := range s.running {
		running[server] = map[string]int{}
		for _, account := range requests {
			running[server][account]++
		}
	}
	return running
}
