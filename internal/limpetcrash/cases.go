package limpetcrash

import (
	"context"
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
	checkTimeout    = 400 * time.Millisecond
	recheckInterval = 500 * time.Millisecond
	// caseTTL is how long it is tried to find out whether a server crashed. It
	// covers the time in which a crashed server starts again.
	caseTTL = 6 * time.Second
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
	case len(w.cases) >= maxCasesPerServer:
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
		w.dropOldCases(now, b.decide)
		switch {
		case len(w.cases) == 0 && !w.checking && now.Sub(w.crashedAt) > crashMemory:
			delete(b.servers, id)
		case len(w.cases) > 0 && !w.checking && !now.Before(w.checkDue):
			b.startCheck(id, w, now)
		}
	}
}

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
}

// nextDue returns when the server must be looked at again; zero if only after a
// message.
func (w *watchedServer) nextDue() time.Time {
	switch {
	case len(w.cases) > 0 && !w.checking:
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
	w.checking, w.checkDue = false, now.Add(recheckInterval)
	switch m.condition {
	case limpetupstream.Ended:
		b.confirm(w, w.takeCases(), now)
	case limpetupstream.Alive:
		var later []*openCase
		for _, c := range w.cases {
			if c.opened.After(w.checkedAt) {
				later = append(later, c)
				continue
			}
			b.decide(c, outcomeAlive)
		}
		w.cases = later
		w.checkDue = now
	}
}

// confirm records the crash of a server under the requests of its cases. If
// earlier suspects are among them, only they are blamed.
func (b *Book) confirm(w *watchedServer, cases []*openCase, now time.Time) {
	if w.crashedAt.IsZero() {
		w.crashedAt = now
	}
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
			outcomes[n] = outcomeCrashed
		}
	}
	b.publish()
	for n, c := range cases {
		b.decide(c, outcomes[n])
	}
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
		b.Log.Emit(limpetlog.CrashNotConfirmed, limpetlog.Request(c.Request), limpetlog.Server(c.Server.ID),
			limpetlog.Value("fingerprint", limpetquarantine.Name(c.Fingerprint)), limpetlog.Value("outcome", outcome),
			limpetlog.Value("age_ms", b.Now().Sub(c.opened).Milliseconds()))
	}
	b.open.Add(-1)
	close(c.decided)
}

// closeCases closes the cases of a request that was served.
func (b *Book) closeCases(fingerprint uint64) {
	for _, w := range b.servers {
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
