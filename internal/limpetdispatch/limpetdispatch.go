// Package limpetdispatch forwards requests to backend servers: admission, server
// selection, retries, resumed streams and claims of idempotency keys. Each
// decision reads one snapshot of the system. The package must not import the
// HTTP front end.
package limpetdispatch

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"limpetmount.org/internal/limpetadmission"
	"limpetmount.org/internal/limpetclaim"
	"limpetmount.org/internal/limpetconfig"
	"limpetmount.org/internal/limpetengine"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetmember"
	"limpetmount.org/internal/limpetmetric"
	"limpetmount.org/internal/limpetretry"
	"limpetmount.org/internal/limpetroute"
	"limpetmount.org/internal/limpetsettings"
	"limpetmount.org/internal/limpetusage"
	"limpetmount.org/internal/limpetview"
)

// A Policy holds the algorithms that experiments replace by baselines.
type Policy struct {
	// Pick returns the index of the candidate to use, or limpetroute.None.
	Pick func(candidates []limpetroute.Candidate, q limpetroute.Query) int
	// NewScheduler returns the scheduler that orders the admission to one
	// service.
	NewScheduler func() *limpetadmission.Scheduler
}

// NewPolicy returns the policy that is used in production.
func NewPolicy() Policy {
	return Policy{Pick: limpetroute.Pick, NewScheduler: limpetadmission.NewScheduler}
}

// NewBaseline returns the baseline for experiments: round robin over servers,
// and requests in order of arrival.
func NewBaseline() Policy {
	var turn atomic.Uint64
	return Policy{
		Pick: func(candidates []limpetroute.Candidate, q limpetroute.Query) int {
			return limpetroute.RoundRobin(candidates, q, turn.Add(1))
		},
		NewScheduler: limpetadmission.NewFIFO,
	}
}

// Dependencies holds the dependencies of a Dispatcher.
type Dependencies struct {
	Policy Policy
	// View returns the current snapshot.
	View func() *limpetview.View
	// Engine is the client of model engines.
	Engine limpetengine.Engine
	// Claim claims an idempotency key or records the outcome of an attempt.
	Claim func(ctx context.Context, r limpetclaim.Request) (limpetclaim.Entry, error)
	// ReportCrash reports that a request is suspected of crashing a server.
	ReportCrash func(fingerprint uint64, account, server string)
	// ReportServed reports that a server ran a suspect and did not crash.
	ReportServed func(fingerprint uint64)
	// ReportFailure reports that an attempt on a server failed.
	ReportFailure func(server *limpetroute.Server)
	Tally         *limpetusage.Tally
	Metrics       *limpetmetric.Set
	Log           *limpetlog.Logger
	Now           func() time.Time
	// NewID returns a unique identifier for an attempt.
	NewID func() string
}

// A Dispatcher forwards the requests of one VM. It holds the admission
// controllers, the retry budgets and the running requests of each backend
// server.
type Dispatcher struct {
	Dependencies
	zone        string
	limits      limpetsettings.Limits
	timing      limpetsettings.Timing
	plain       plainClient
	mu          sync.Mutex
	controllers map[string]*limpetadmission.Controller
	budgets     map[string]*limpetretry.Budget
	// running maps each server to the requests of this VM that run on it: the
	// account of each, by fingerprint.
	running map[*limpetroute.Server]map[uint64]string
	// consumed counts the prompt and output tokens since the process started.
	consumed map[UsageKey]uint64
	remote   remoteUsage
}

// A UsageKey identifies the usage of a service by a client account.
type UsageKey struct {
	Service, Account string
}

// Retry budget of each service: the retries added per success, and the maximum.
const (
	budgetRatio    = 0.1
	budgetCapacity = 20
)

// New returns a dispatcher for a VM in zone.
func New(deps Dependencies, zone string, limits limpetsettings.Limits, timing limpetsettings.Timing) *Dispatcher {
	return &Dispatcher{
		Dependencies: deps, zone: zone, limits: limits, timing: timing, plain: newPlainClient(timing.ServiceTimeout),
		controllers: map[string]*limpetadmission.Controller{}, budgets: map[string]*limpetretry.Budget{},
		running:  map[*limpetroute.Server]map[uint64]string{},
		consumed: map[UsageKey]uint64{}, remote: remoteUsage{},
	}
}

func (d *Dispatcher) controller(service string) *limpetadmission.Controller {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.controllers[service]
	if !ok {
		c = limpetadmission.NewController(limpetadmission.Limits{MaxQueued: d.limits.MaxQueued, QueueTimeout: d.timing.QueueTimeout}, d.Policy.NewScheduler(), d.Now)
		c.SetSlots(d.View().MaxRequests(service))
		d.controllers[service] = c
	}
	return c
}

func (d *Dispatcher) budget(service string) *limpetretry.Budget {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, ok := d.budgets[service]
	if !ok {
		b = limpetretry.NewBudget(budgetRatio, budgetCapacity)
		d.budgets[service] = b
	}
	return b
}

// Refresh applies a new snapshot: the number of slots of each service, and the
// tokens that client accounts consumed on other VMs. Only the control goroutine
// calls it.
func (d *Dispatcher) Refresh(v *limpetview.View) {
	d.mu.Lock()
	controllers := make(map[string]*limpetadmission.Controller, len(d.controllers))
	for service, c := range d.controllers {
		controllers[service] = c
	}
	d.mu.Unlock()
	for service, c := range controllers {
		c.SetSlots(v.MaxRequests(service))
	}
	for _, m := range v.Members {
		for k, tokens := range d.remote.delta(m.Incarnation, m.Consumed) {
			if c, ok := controllers[k.Service]; ok {
				c.ChargeRemote(k.Account, float64(tokens), accountWeight(v, k.Account))
			}
		}
	}
	d.remote.prune(v.Members)
}

// remoteUsage maps each incarnation of another VM to the totals that it last
// reported. The first totals of an incarnation are its baseline, so that a VM
// that becomes visible again is not charged twice.
type remoteUsage map[string]map[string]uint64

// delta returns the usage since the last report of an incarnation and stores
// the new totals.
func (u remoteUsage) delta(incarnation string, totals map[string]uint64) map[UsageKey]uint64 {
	last, known := u[incarnation]
	if !known {
		u[incarnation] = totals
		return nil
	}
	added := map[UsageKey]uint64{}
	for name, total := range totals {
		if total > last[name] {
			added[ParseUsageKey(name)] = total - last[name]
		}
	}
	u[incarnation] = totals
	return added
}

// prune deletes incarnations that are not among the members.
func (u remoteUsage) prune(members []limpetmember.State) {
	for incarnation := range u {
		if !slices.ContainsFunc(members, func(m limpetmember.State) bool { return m.Incarnation == incarnation }) {
			delete(u, incarnation)
		}
	}
}

// String returns the key in its wire format, service/account.
func (k UsageKey) String() string { return k.Service + "/" + k.Account }

// ParseUsageKey parses the result of String. A text without a slash is taken as
// the account.
func ParseUsageKey(text string) UsageKey {
	for i := range text {
		if text[i] == '/' {
			return UsageKey{Service: text[:i], Account: text[i+1:]}
		}
	}
	return UsageKey{Account: text}
}

// Consumed returns the prompt and output tokens since the process started, by
// service and account.
func (d *Dispatcher) Consumed() map[UsageKey]uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	consumed := make(map[UsageKey]uint64, len(d.consumed))
	for k, n := range d.consumed {
		consumed[k] = n
	}
	return consumed
}

// MeanServiceTime returns the moving average of the time from the admission of a
// service's requests to their end.
func (d *Dispatcher) MeanServiceTime(service string) time.Duration {
	return d.controller(service).MeanServiceTime()
}

// RequestCounts returns the numbers of queued and of running requests, in this
// order, of each service that has a controller.
func (d *Dispatcher) RequestCounts() map[string][2]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := map[string][2]int{}
	for service, c := range d.controllers {
		waiting, running := c.Waiting()
		counts[service] = [2]int{waiting, running}
	}
	return counts
}

func accountWeight(v *limpetview.View, account string) float64 {
	if a, ok := v.Config.Accounts[account]; ok {
		return a.Weight
	}
	return 1
}

// startRequest records that a request runs on a server.
func (d *Dispatcher) startRequest(server *limpetroute.Server, fingerprint uint64, account string) {
	server.OwnRequests.Add(1)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running[server] == nil {
		d.running[server] = map[uint64]string{}
	}
	d.running[server][fingerprint] = account
}

func (d *Dispatcher) endRequest(server *limpetroute.Server, fingerprint uint64) {
	server.OwnRequests.Add(-1)
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.running[server], fingerprint)
	if len(d.running[server]) == 0 {
		delete(d.running, server)
	}
}

// record updates the usage totals, the billing counts and the metrics with a
// finished request.
func (d *Dispatcher) record(service string, account limpetconfig.Account, outcome string, tokens int, count limpetusage.Count, t limpetmetric.Timing) {
	d.Metrics.ObserveRequest(account.Name, string(account.Class), outcome, t)
	if tokens > 0 {
		d.Metrics.AddTokens(account.Name, service, tokens)
	}
	d.mu.Lock()
	d.consumed[UsageKey{service, account.Name}] += count.Tokens + count.PromptTokens
	d.mu.Unlock()
	if count != (limpetusage.Count{}) {
		d.Tally.Add(d.Now(), account.Name, count)
	}
}

// Running returns the number of this VM's requests on each server, by account.
func (d *Dispatcher) Running() map[*limpetroute.Server]map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	running := make(map[*limpetroute.Server]map[string]int, len(d.running))
	for server, requests := range d.running {
		running[server] = map[string]int{}
		for _, account := range requests {
			running[server][account]++
		}
	}
	return running
}
