package limpetdetour

import (
	"context"
	"time"

	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetupstream"
)

const (
	// failureMaxAge is how long a failure counts against this VM's links.
	failureMaxAge = 2 * time.Second
	// minFailedServers is the number of servers that must fail before this VM doubts
	// its own links rather than a server.
	minFailedServers = 2
	// probedServers is the number of servers that are probed to find out, in as many
	// services and availability zones as there are. All must fail within
	// probeTimeout.
	probedServers = 4
	probeTimeout  = 300 * time.Millisecond
	// warmTimeout bounds the check of the server that answered last.
	warmTimeout = 150 * time.Millisecond
	// elsewhereTimeout bounds the question to other VMs whether servers answer them.
	elsewhereTimeout = 400 * time.Millisecond
	// maxAsked is the number of VMs that are asked. Most of them may be cut off too.
	maxAsked = 16
	// minConfirmInterval is the time between two rounds of probes. It doubles up to
	// maxConfirmInterval until a server answers, so that the outage of a service does
	// not make all VMs probe all the time.
	minConfirmInterval = 250 * time.Millisecond
	maxConfirmInterval = 4 * time.Second
	// defaultIdleAfter is how long without an answer a VM asks a server for its health,
	// and idleInterval how often it looks.
	defaultIdleAfter = time.Second
	idleInterval     = 350 * time.Millisecond
	// healedRounds is the number of consecutive rounds of healInterval in which all
	// of healedServers must answer on new connections until this VM uses its own
	// links again.
	healedRounds  = 3
	healedServers = 2
	healInterval  = 600 * time.Millisecond
)

// A failure is a call that got no answer.
type failure struct {
	at time.Time
	// refused is set if no connection came about.
	refused bool
}

// An evidence holds what tells whether this VM reaches backend servers.
type evidence struct {
	cut      bool
	cutSince time.Time
	// answeredAt is when a server last answered a new call, and answeredBy is that
	// server, to which this VM has a connection.
	answeredAt time.Time
	answeredBy *limpetsite.Server
	// checking is set while that server is asked for its health.
	checking bool
	// failures holds the servers that failed since then, by ID.
	failures map[string]failure
	// confirming is set while a round of probes is under way, and confirmDue is when
	// the next one may begin, interval after the last.
	confirming bool
	confirmDue time.Time
	interval   time.Duration
}

// answered records that a server answered a call over this VM's own links.
func (t *Detour) answered(s *limpetsite.Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evidence.answeredAt, t.evidence.answeredBy, t.evidence.interval = t.Now(), s, 0
	delete(t.evidence.failures, s.ID)
	for id, f := range t.evidence.failures {
		// Refused connections may be refused still, while an earlier one answers.
		if !f.refused {
			delete(t.evidence.failures, id)
		}
	}
}

// failed records that a server did not answer a call. It reports whether connections
// to several servers fail, so that another VM may do better.
func (t *Detour) failed(s *limpetsite.Server, refused bool) (several bool) {
	now := t.Now()
	t.mu.Lock()
	t.evidence.failures[s.ID] = failure{at: now, refused: refused}
	failing, refusing := 0, 0
	for id, f := range t.evidence.failures {
		if now.Sub(f.at) > failureMaxAge {
			delete(t.evidence.failures, id)
			continue
		}
		failing++
		if f.refused {
			refusing++
		}
	}
	t.mu.Unlock()
	if failing >= minFailedServers {
		t.confirm()
	}
	return refusing >= minFailedServers
}

// suspect is called when a call that began at a time has no answer yet.
func (t *Detour) suspect(began time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := &t.evidence; !e.cut && !e.checking && !e.answeredAt.After(began) {
		e.checking = true
		t.group.Go(t.checkWarm)
	}
}

// checkWarm asks the server that answered last for its health, which needs no new
// connection, and goes on to probes if it does not answer.
func (t *Detour) checkWarm(ctx context.Context) error {
	view := t.View()
	t.mu.Lock()
	s := t.evidence.answeredBy
	t.mu.Unlock()
	if s == nil || !view.AcceptsWork(s.ID) || t.Limited(s.ID) {
		s = t.nearest(view)
	}
	alive := false
	if s != nil {
		ctx, cancel := context.WithTimeout(ctx, warmTimeout)
		defer cancel()
		alive = t.Direct.Check(ctx, s, healthPath(view, s)) == limpetupstream.Alive
	}
	t.mu.Lock()
	t.evidence.checking = false
	t.mu.Unlock()
	switch {
	case alive:
		t.answered(s)
		if t.OnWarm != nil {
			t.OnWarm(s)
		}
	case s != nil:
		t.confirm()
	}
	return nil
}

// confirm probes servers to find out whether this VM reaches any. It does not block.
func (t *Detour) confirm() {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := &t.evidence
	if e.cut || e.confirming || t.Now().Before(e.confirmDue) {
		return
	}
	e.confirming = true
	t.group.Go(func(ctx context.Context) error {
		servers := t.pick(t.View(), probedServers)
		cut := len(servers) >= minFailedServers && alive(t.probe(ctx, servers)) == 0 && t.aliveElsewhere(ctx, servers)
		t.mu.Lock()
		defer t.mu.Unlock()
		e.confirming = false
		e.interval = min(max(2*e.interval, minConfirmInterval), maxConfirmInterval)
		e.confirmDue = t.Now().Add(e.interval)
		if ctx.Err() == nil && cut {
			t.setCut(true, len(servers))
		}
		return nil
	})
}

// aliveElsewhere reports whether servers that do not answer this VM answer another
// one. If they answer nobody, or nobody can tell, the fault is not known to be this
// VM's.
func (t *Detour) aliveElsewhere(ctx context.Context, servers []*limpetsite.Server) bool {
	ctx, cancel := context.WithTimeout(ctx, elsewhereTimeout)
	defer cancel()
	view, vms := t.View(), t.Others()
	vms = vms[:min(len(vms), maxAsked)]
	found := make(chan bool, len(vms))
	group := limpettask.New(ctx)
	for n, vm := range vms {
		group.Go(func(ctx context.Context) error {
			s := servers[n%len(servers)]
			condition, err := t.CheckFrom(ctx, vm, s, healthPath(view, s))
			found <- err == nil && condition == limpetupstream.Alive
			return nil
		})
	}
	answers := false
	for range vms {
		if <-found {
			answers = true
			break
		}
	}
	// The checks return no errors.
	_ = group.Stop()
	return answers
}

// setCut changes whether this VM reaches servers. The caller holds the lock.
func (t *Detour) setCut(cut bool, probed int) {
	e, now := &t.evidence, t.Now()
	event, age := limpetlog.BackendsUnreachable, now.Sub(e.answeredAt)
	if !cut {
		event, age = limpetlog.BackendsReachable, now.Sub(e.cutSince)
	}
	t.Log.Emit(event, limpetlog.Value("probed", probed), limpetlog.Value("failing", len(e.failures)), limpetlog.Value("age_ms", age.Milliseconds()), limpetlog.Value("waiting", len(t.waiting)))
	e.cut, e.failures = cut, map[string]failure{}
	t.state.Set(0)
	if cut {
		e.cutSince = now
		t.state.Set(1)
		for call := range t.waiting {
			call.diverted = true
			call.cancel()
		}
	}
	t.group.Go(func(context.Context) error { t.OnChange(cut); return nil })
}

func alive(conditions []limpetupstream.Condition) int {
	n := 0
	for _, c := range conditions {
		if c == limpetupstream.Alive {
			n++
		}
	}
	return n
}

// probe probes servers on new connections at once.
func (t *Detour) probe(ctx context.Context, servers []*limpetsite.Server) []limpetupstream.Condition {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	view := t.View()
	found := make(chan limpetupstream.Condition, len(servers))
	group := limpettask.New(ctx)
	for _, s := range servers {
		group.Go(func(ctx context.Context) error {
			found <- t.Direct.Probe(ctx, s, healthPath(view, s))
			return nil
		})
	}
	conditions := make([]limpetupstream.Condition, 0, len(servers))
	for range servers {
		conditions = append(conditions, <-found)
	}
	// The probes return no errors.
	_ = group.Stop()
	return conditions
}

func healthPath(view *limpetsite.Snapshot, s *limpetsite.Server) string {
	if service := view.Service(s.Service); service != nil {
		return service.HealthPath
	}
	return ""
}

// nearest returns a server that takes work, drawn at random among those in this VM's
// availability zone, or among all if there is none; nil if there are no servers.
func (t *Detour) nearest(view *limpetsite.Snapshot) *limpetsite.Server {
	var all, near []*limpetsite.Server
	for id, s := range view.AllServers() {
		if s.Draining || t.Limited(id) {
			continue
		}
		all = append(all, s)
		if s.Zone == t.Zone {
			near = append(near, s)
		}
	}
	if len(near) > 0 {
		all = near
	}
	if len(all) == 0 {
		return nil
	}
	return all[limpettask.RandomInt(len(all))]
}

// pick returns up to n servers that take work, drawn at random, with as few as
// possible of the same service, and among these of the same availability zone.
func (t *Detour) pick(view *limpetsite.Snapshot, n int) []*limpetsite.Server {
	var all []*limpetsite.Server
	for id, s := range view.AllServers() {
		if !s.Draining && !t.Limited(id) {
			all = append(all, s)
		}
	}
	picked := make([]*limpetsite.Server, 0, n)
	services, zones, taken := map[string]int{}, map[string]int{}, map[string]bool{}
	for len(picked) < n && len(picked) < len(all) {
		var best *limpetsite.Server
		offset := limpettask.RandomInt(len(all))
		for i := range all {
			s := all[(offset+i)%len(all)]
			if taken[s.ID] {
				continue
			}
			if best == nil || services[s.Service] < services[best.Service] || (services[s.Service] == services[best.Service] && zones[s.Zone] < zones[best.Zone]) {
				best = s
			}
		}
		services[best.Service]++
		zones[best.Zone]++
		taken[best.ID] = true
		picked = append(picked, best)
	}
	return picked
}

// Run notices a cut on a VM without requests, and the end of a cut, until ctx ends.
func (t *Detour) Run(ctx context.Context) error {
	rounds := 0
	for ctx.Err() == nil {
		if !t.CutOff() {
			rounds = 0
			t.checkIdle()
			limpettask.Sleep(ctx, limpettask.Jitter(idleInterval))
			continue
		}
		limpettask.Sleep(ctx, limpettask.Jitter(healInterval))
		conditions := t.probe(ctx, t.pick(t.View(), healedServers))
		rounds++
		if len(conditions) == 0 || alive(conditions) < len(conditions) {
			rounds = 0
		}
		if rounds >= healedRounds {
			t.mu.Lock()
			t.evidence.answeredAt = t.Now()
			t.setCut(false, len(conditions))
			t.mu.Unlock()
		}
	}
	return nil
}

// checkIdle asks a server for its health if none has answered for a while.
func (t *Detour) checkIdle() { t.suspect(t.Now().Add(-t.IdleAfter)) }
