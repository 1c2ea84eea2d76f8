package limpetcrash

import (
	"context"
	"slices"
	"time"

	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetquarantine"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetupstream"
)

const (
	// gatherDelay is how long the first check of a server waits for the other
	// requests that ended with it, so that the blame falls on a suspect among
	// them.
	gatherDelay = 10 * time.Millisecond
	// checkTimeout bounds one check of a server, and recheckInterval is the
	// pause after one that told nothing.
	checkTimeout    = 600 * time.Millisecond
	recheckInterval = 500 * time.Millisecond
	// unreachableChecks is the number of checks in a row that must find a server
	// unreachable until it is presumed to have crashed, if it is not registered any
	// more either, or unreachable to another VM too. One alone can be the loss of a
	// few packets; a server that is registered may be cut off from this VM only.
	unreachableChecks = 2
	// registrationDelay is how long a server that answers after a silence may take
	// until this VM sees from its registration that it started anew. The check
	// itself cannot tell starts of one ID apart.
	registrationDelay = time.Second
	// presumptionTTL is how long a presumption can still be withdrawn. The checks
	// for that are at most maxRecheckInterval apart.
	presumptionTTL     = 30 * time.Second
	maxRecheckInterval = 4 * time.Second
	// caseTTL is how long it is tried to find out whether a server crashed. It
	// covers the time in which a crashed server starts again, or its entry lapses.
	caseTTL = 15 * time.Second
	// crashMemory is how long a server is known to have crashed, for attempts
	// that notice it later.
	crashMemory = 30 * time.Second
	// maxServers and maxCasesPerServer bound the open cases.
	maxServers        = 512
	maxCasesPerServer = 64
)

// Outcomes of a case.
const (
	outcomeCrashed      = "crashed"
	outcomePresumed     = "presumed"
	outcomeOther        = "other_suspect"
	outcomeAlive        = "alive"
	outcomeLeft         = "left"
	outcomeUndetermined = "undetermined"
	outcomeServed       = "served"
	outcomeDropped      = "dropped"
)

// An openCase is an attempt of which it is not known whether its server crashed.
type openCase struct {
	Suspicion
	opened  time.Time
	decided chan struct{}
}

// A watchedServer is one incarnation of a server under which attempts ended.
type watchedServer struct {
	server *limpetsite.Server
	cases  []*openCase
	// presumed holds the cases that were recorded as crashes because the server
	// is unreachable. The records are withdrawn if it proves to be alive.
	presumed []*openCase
	// unreachable counts the checks in a row that did not reach the server, and
	// silent is set once a check got no answer.
	unreachable int
	silent      bool
	// answeredAt is the start of a check that was answered after a silence, which
	// proves that the server lived on if it has not registered anew by provenAt.
	answeredAt, provenAt time.Time
	// checking is set while a check is in progress that began at checkedAt.
	checking  bool
	checkedAt time.Time
	checkDue  time.Time
	// crashedAt is when the server was found to have crashed; zero if it was
	// not.
	crashedAt time.Time
	// suspectBlamed is set if an earlier suspect was blamed for the crash.
	suspectBlamed bool
}

// suspected opens a case.
type suspected struct{ *openCase }

func (m suspected) apply(b *Book) {
	c, now := m.openCase, b.Now()
	c.opened = now
	id := instance(c.Server)
	w := b.servers[id]
	if w == nil {
		w = &watchedServer{server: c.Server, checkDue: now.Add(gatherDelay)}
		if len(b.servers) >= maxServers {
			b.decide(c, outcomeDropped)
			return
		}
		b.servers[id] = w
	}
	switch state := b.observe(c.Server); {
	case !w.crashedAt.IsZero() || state == restarted:
		b.confirm(w, []*openCase{c}, now)
	case state == leaving || (state == missing && !c.Silent):
		// It stops as planned, or its entry had lapsed before the attempt ended.
		b.decide(c, outcomeLeft)
	case len(w.cases)+len(w.presumed) >= maxCasesPerServer:
		b.decide(c, outcomeDropped)
	default:
		w.cases = append(w.cases, c)
	}
}

// An observation is what the view of the deployment says of a server's
// incarnation.
type observation int

const (
	present observation = iota
	leaving
	missing
	restarted
)

func (b *Book) observe(s *limpetsite.Server) observation {
	view := b.View()
	switch now := view.Server(s.ID); {
	case view.Successor(s) != nil:
		return restarted
	case now == nil:
		return missing
	case now.Incarnation != s.Incarnation:
		return restarted
	case now.Draining:
		return leaving
	}
	return present
}

// checkServers starts the checks that are due, and gives up old cases.
func (b *Book) checkServers(now time.Time) {
	for id, w := range b.servers {
		if len(w.cases) > 0 && b.observe(w.server) == restarted {
			b.confirm(w, w.takeCases(), now)
		}
		if len(w.presumed) > 0 && b.observe(w.server) == restarted {
			b.confirm(w, nil, now)
		}
		if !w.provenAt.IsZero() && !now.Before(w.provenAt) {
			b.concludeAlive(w, w.answeredAt, now)
		}
		w.dropOldCases(now, b.decide)
		switch {
		case !w.open() && !w.checking && now.Sub(w.crashedAt) > crashMemory:
			delete(b.servers, id)
		case w.open() && !w.checking && !now.Before(w.checkDue):
			b.startCheck(id, w, now)
		}
	}
}

// open reports whether it is still of interest whether the server runs.
func (w *watchedServer) open() bool { return len(w.cases)+len(w.presumed) > 0 }

func (w *watchedServer) takeCases() []*openCase {
	cases := w.cases
	w.cases = nil
	return cases
}

func (w *watchedServer) dropOldCases(now time.Time, decide func(*openCase, string)) {
	kept := w.cases[:0]
	for _, c := range w.cases {
		if now.Sub(c.opened) > caseTTL {
			decide(c, outcomeUndetermined)
			continue
		}
		kept = append(kept, c)
	}
	w.cases = kept
	w.presumed = slices.DeleteFunc(w.presumed, func(c *openCase) bool { return now.Sub(c.opened) > presumptionTTL })
}

// nextDue returns when the server must be looked at again; zero if only after a
// message.
func (w *watchedServer) nextDue() time.Time {
	switch {
	case w.open() && !w.checking:
		return w.checkDue
	case len(w.cases) > 0:
		return w.cases[0].opened.Add(caseTTL + minTick)
	default:
		return time.Time{}
	}
}

func (b *Book) startCheck(id string, w *watchedServer, now time.Time) {
	w.checking, w.checkedAt = true, now
	server, path := w.server, ""
	if service := b.View().Service(server.Service); service != nil {
		path = service.HealthPath
	}
	b.group.Go(func(ctx context.Context) error {
		checkCtx, cancel := context.WithTimeout(ctx, checkTimeout)
		defer cancel()
		m := checked{id: id, condition: b.Check(checkCtx, server, path)}
		select {
		case b.inbox <- m:
		case <-ctx.Done():
		}
		return nil
	})
}

// checked is the outcome of a check.
type checked struct {
	id        string
	condition limpetupstream.Condition
}

func (m checked) apply(b *Book) {
	w, now := b.servers[m.id], b.Now()
	if w == nil {
		return
	}
	switch m.condition {
	case limpetupstream.Unreachable, limpetupstream.UnreachableElsewhere:
		w.unreachable++
	default:
		w.unreachable = 0
	}
	w.checking, w.checkDue = false, now.Add(w.recheckInterval())
	switch {
	case m.condition == limpetupstream.Ended:
		b.confirm(w, w.takeCases(), now)
	case m.condition != limpetupstream.Alive:
		w.silent = true
		gone := m.condition == limpetupstream.UnreachableElsewhere || b.observe(w.server) == missing
		if w.unreachable >= unreachableChecks && gone {
			b.presume(w, now)
		}
	case w.silent:
		w.answeredAt, w.provenAt = w.checkedAt, now.Add(registrationDelay)
		w.checkDue = w.provenAt
	default:
		b.concludeAlive(w, w.checkedAt, now)
	}
}

// concludeAlive decides all cases from before a time at which the server lived.
func (b *Book) concludeAlive(w *watchedServer, at, now time.Time) {
	b.withdrawPresumed(w)
	var later []*openCase
	for _, c := range w.cases {
		if c.opened.After(at) {
			later = append(later, c)
			continue
		}
		b.decide(c, outcomeAlive)
	}
	w.cases, w.checkDue = later, now
	w.silent, w.answeredAt, w.provenAt = false, time.Time{}, time.Time{}
}

// recheckInterval returns the pause before the next check: ever longer for a
// server that stays unreachable.
func (w *watchedServer) recheckInterval() time.Duration {
	doublings := min(max(0, w.unreachable-unreachableChecks), 8)
	return min(recheckInterval<<doublings, maxRecheckInterval)
}

// confirm records the crash of a server under the requests of its cases. What was
// presumed holds.
func (b *Book) confirm(w *watchedServer, cases []*openCase, now time.Time) {
	if w.crashedAt.IsZero() {
		w.crashedAt = now
	}
	w.presumed = nil
	b.blame(w, cases, outcomeCrashed, now)
}

// presume records a crash under the requests of a server's cases until the server
// proves to be alive. A server that crashes without a sign is not known to have
// done so before it starts again, and the request would crash further ones in the
// meantime.
func (b *Book) presume(w *watchedServer, now time.Time) {
	w.presumed = append(w.presumed, b.blame(w, w.takeCases(), outcomePresumed, now)...)
}

// withdrawPresumed withdraws the records of crashes that were presumed, since the
// server runs.
func (b *Book) withdrawPresumed(w *watchedServer) {
	if len(w.presumed) == 0 {
		return
	}
	for _, c := range w.presumed {
		id := instance(c.Server)
		b.state.Withdraw(c.Fingerprint, id)
		b.shared.withdrawKey(Key(c.Fingerprint, id), true)
		b.logNotConfirmed(c, outcomeAlive)
	}
	w.presumed = nil
	b.publish()
}

// blame records the crash of a server under the requests of its cases, and
// returns those that it recorded. If earlier suspects are among them, only they
// are blamed.
func (b *Book) blame(w *watchedServer, cases []*openCase, outcome string, now time.Time) (recorded []*openCase) {
	v := b.view.Load()
	known := map[uint64]bool{}
	var running []uint64
	for _, c := range cases {
		running = append(running, c.Fingerprint)
		_, quarantined := v.Quarantined[c.Fingerprint]
		if v.Suspects[c.Fingerprint] || quarantined {
			known[c.Fingerprint] = true
		}
	}
	blamed := map[uint64]bool{}
	for _, f := range limpetquarantine.Blame(running, known) {
		blamed[f] = true
	}
	w.suspectBlamed = w.suspectBlamed || len(known) > 0
	outcomes := make([]string, len(cases))
	for n, c := range cases {
		outcomes[n] = outcomeOther
		if blamed[c.Fingerprint] && (!w.suspectBlamed || known[c.Fingerprint]) {
			b.record(c, now)
			outcomes[n] = outcome
			recorded = append(recorded, c)
		}
	}
	b.publish()
	for n, c := range cases {
		b.decide(c, outcomes[n])
	}
	return recorded
}

// record records the crash of a server under a request.
func (b *Book) record(c *openCase, now time.Time) {
	r := Record{
		Crash: limpetquarantine.Crash{Fingerprint: c.Fingerprint, Account: c.Account, Server: instance(c.Server), Partial: c.Partial},
		At:    now, VM: b.VM, Request: c.Request,
	}
	b.report(r, "own")
	b.shared.add(r, now, b.state.Crashes(r.Fingerprint) > 1)
}

// report adds a crash to the state, and logs it. Source tells whether this VM
// or another one saw the crash.
func (b *Book) report(r Record, source string) {
	quarantined := b.state.Report(r.At, r.Crash)
	b.dropForgotten()
	fields := []limpetlog.Field{
		limpetlog.Request(r.Request), limpetlog.Account(r.Account), limpetlog.Server(r.Server),
		limpetlog.Value("fingerprint", limpetquarantine.Name(r.Fingerprint)), limpetlog.Value("partial", r.Partial),
		limpetlog.Value("crashes", b.state.Crashes(r.Fingerprint)), limpetlog.Value("source", source),
	}
	b.Log.Emit(limpetlog.CrashSuspected, fields...)
	if quarantined {
		b.Log.Emit(limpetlog.RequestQuarantined, fields...)
	}
}

// decide closes a case.
func (b *Book) decide(c *openCase, outcome string) {
	b.outcome.WithLabelValues(outcome).Inc()
	if outcome != outcomeCrashed {
		b.logNotConfirmed(c, outcome)
	}
	b.open.Add(-1)
	close(c.decided)
}

func (b *Book) logNotConfirmed(c *openCase, outcome string) {
	b.Log.Emit(limpetlog.CrashNotConfirmed, limpetlog.Request(c.Request), limpetlog.Server(c.Server.ID),
		limpetlog.Value("fingerprint", limpetquarantine.Name(c.Fingerprint)), limpetlog.Value("outcome", outcome),
		limpetlog.Value("age_ms", b.Now().Sub(c.opened).Milliseconds()))
}

// closeCases closes the cases of a request that was served.
func (b *Book) closeCases(fingerprint uint64) {
	for _, w := range b.servers {
		w.presumed = slices.DeleteFunc(w.presumed, func(c *openCase) bool { return c.Fingerprint == fingerprint })
		kept := w.cases[:0]
		for _, c := range w.cases {
			if c.Fingerprint == fingerprint {
				b.decide(c, outcomeServed)
				continue
			}
			kept = append(kept, c)
		}
		w.cases = kept
	}
}
