package limpetdirector

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"limpetmount.org/internal/limpetbatch"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetexecutor"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetupstream"
)

const (
	// executorJoinWait is how long a new director waits for executors to connect
	// before it dispatches items.
	executorJoinWait = 450 * time.Millisecond
	// busyExecutorTimeout and idleExecutorTimeout are how long an executor with
	// and without runs may be silent before it is removed.
	busyExecutorTimeout = 600 * time.Millisecond
	idleExecutorTimeout = 2500 * time.Millisecond
	// loopStallThreshold is the gap between two steps of the loop above which no
	// executor is removed for its silence: its messages may be waiting in the
	// inbox.
	loopStallThreshold = 200 * time.Millisecond
	// unknownJobTimeout is how long an executor's run is kept while its job is
	// unknown.
	unknownJobTimeout = 5 * time.Second
	// unknownServerTimeout is how long an executor's run waits until its engine
	// appears in the view.
	unknownServerTimeout = 1500 * time.Millisecond
	// silentEngineBackoff is how long an executor is not used for an engine that
	// was silent to it, and suspectExecutorBackoff how long it is not used at
	// all once maxSilentEngines engines were silent to it within
	// silentEngineBackoff.
	silentEngineBackoff    = 5 * time.Second
	suspectExecutorBackoff = 5 * time.Second
	maxSilentEngines       = 2
	// enginesPerExecutor is the target number of engines for each executor.
	enginesPerExecutor = 3
)

// sessionOpened reports that a VM opened an executor session. held lists the
// runs that it still has from an earlier director.
type sessionOpened struct {
	session *session
	held    []limpetexecutor.HeldRun
}

func (m sessionOpened) apply(d *Director) {
	s, now := m.session, d.Now()
	if d.leadership == nil && !d.mayContinueWithoutLease(now) {
		s.out.close(limpeterror.Unavailable.New("this VM is not the director"))
		return
	}
	for _, other := range d.sessions {
		if other.vm == s.vm {
			d.removeExecutor(other, "the VM opened a new session")
		}
	}
	if len(m.held) == 0 && !d.knowsEngines() {
		s.out.close(limpeterror.Unavailable.New("this VM knows no engines yet"))
		return
	}
	if len(m.held) == 0 && !d.wantsExecutor(s.zone) {
		s.out.close(nil)
		return
	}
	s.opened, s.lastHeard = now, now
	s.out.setUnsure(d.leadership == nil)
	d.sessions[s.id] = s
	d.sharedSessions.Store(s.id, s)
	d.Log.Emit(limpetlog.ExecutorConnected, limpetlog.Value("carrier", s.vm), limpetlog.Value("held", len(m.held)))
	for _, h := range m.held {
		s.unmatched[h.Run] = &h
	}
}

// knowsEngines reports whether the view has engines, without which the number
// of executors that are needed cannot be computed.
func (d *Director) knowsEngines() bool {
	for _, s := range d.view.AllServers() {
		if len(s.Models) > 0 {
			return true
		}
	}
	return false
}

// wantsExecutor reports whether an availability zone needs one more executor.
func (d *Director) wantsExecutor(zone string) bool {
	engines, zones := 0, map[string]bool{}
	for _, s := range d.view.AllServers() {
		if len(s.Models) > 0 {
			engines++
			zones[s.Zone] = true
		}
	}
	wanted := max(1, (engines+enginesPerExecutor*len(zones)-1)/(enginesPerExecutor*max(len(zones), 1)))
	for _, s := range d.sessions {
		if s.zone == zone {
			wanted--
		}
	}
	return wanted > 0
}

// recordSilence records for each executor the engines of those runs whose events
// timed out: the fault may be on the path between that executor and the engine.
func (d *Director) recordSilence(runs []*limpetbatch.Run, now time.Time) {
	silent := map[*limpetbatch.Run]bool{}
	for _, r := range runs {
		silent[r] = r.TimedOut()
	}
	for _, s := range d.sessions {
		trusted := !now.Before(s.suspectUntil)
		for _, r := range s.runs {
			if silent[r] {
				s.markSilent(r.Server.ID, now)
			}
		}
		if trusted && now.Before(s.suspectUntil) {
			d.Log.Emit(limpetlog.ExecutorSuspected, limpetlog.Value("carrier", s.vm), limpetlog.Value("engines", len(s.silentEngines)))
		}
	}
}

// executorFor returns the executor that sends to an engine, or nil if there is
// none. It prefers executors in the engine's availability zone and picks among
// them by rendezvous hashing, so that the choice stays stable and connections
// are reused while the set of executors does not change. All lie in the run's homes.
func (d *Director) executorFor(server *limpetsite.Server, homes limpetsite.Homes) *session {
	var best *session
	var bestRank uint64
	now := d.Now()
	for _, s := range d.sessions {
		if !s.canReach(server.ID, now) || !d.view.InHomes(homes, s.zone) {
			continue
		}
		rank := xxhash.Sum64String(server.ID + " " + s.vm)
		sameZone := s.zone == server.Zone
		switch {
		case best == nil, sameZone && best.zone != server.Zone, sameZone == (best.zone == server.Zone) && rank > bestRank:
			best, bestRank = s, rank
		}
	}
	return best
}

// sendToExecutor sends a run to an executor.
func (d *Director) sendToExecutor(s *session, r *limpetbatch.Run, call limpetupstream.Call) {
	if len(s.runs) == 0 {
		// An idle executor reports less often; its busy timeout starts now.
		s.lastHeard = d.Now()
	}
	d.runsSent++
	id := d.Incarnation + "." + strconv.Itoa(d.runsSent)
	d.trackRun(s, id, r)
	s.out.addOrder(limpetexecutor.Order{Run: id, Job: r.Entry.Job.ID, Call: call, PartialText: r.Entry.Draft()})
}

// trackRun records that an executor has a run.
func (d *Director) trackRun(s *session, id string, r *limpetbatch.Run) {
	s.runs[id] = r
	r.SetReported(d.Now())
	d.cancels[r] = func() {
		delete(s.runs, id)
		s.out.cancel(id)
	}
}

// checkExecutors removes silent executors and adopts runs of an earlier
// director.
func (d *Director) checkExecutors(now time.Time) {
	for _, s := range d.sessions {
		if d.lastStepGap > loopStallThreshold {
			s.lastHeard = now
		}
		silence := now.Sub(s.lastHeard)
		if silence > idleExecutorTimeout || (silence > busyExecutorTimeout && len(s.runs) > 0) {
			d.removeExecutor(s, "no message within the timeout")
			continue
		}
		for id, h := range s.unmatched {
			if d.adoptRun(s, h, now) {
				delete(s.unmatched, id)
			}
		}
	}
}

// adoptRun continues or cancels a run that an earlier director started. It
// returns false if the job or the engine is not known yet; the caller then calls
// it again later.
func (d *Director) adoptRun(s *session, h *limpetexecutor.HeldRun, now time.Time) bool {
	age := now.Sub(s.opened)
	j := d.scheduler.Jobs()[h.Job]
	if j == nil && !d.endedJobs[h.Job] && !d.fullyCommitted[h.Job] && age < unknownJobTimeout {
		return false
	}
	if j != nil && h.Running && d.view.Server(h.Server) == nil && age < unknownServerTimeout {
		return false
	}
	if j == nil {
		s.out.cancel(h.Run)
		return true
	}
	text := h.Text
	text.Complete = h.Complete()
	run, replaced := d.scheduler.Attach(j, text, h.Server, h.Running && !h.Broken, now)
	if replaced != nil {
		d.cancelRuns([]*limpetbatch.Run{replaced}, "an executor has more of the text")
	}
	if run != nil {
		d.trackRun(s, h.Run, run)
	} else if h.Running {
		s.out.cancel(h.Run)
	}
	d.Log.Emit(limpetlog.RunTakenOver, limpetlog.Job(h.Job), limpetlog.Value("item", h.Text.Item), limpetlog.Server(h.Server),
		limpetlog.Value("carrier", s.vm), limpetlog.Value("after", h.Text.LastEvent), limpetlog.Value("whole", text.Complete), limpetlog.Value("offered_whole", h.Text.Complete), limpetlog.Value("used", run != nil))
	return true
}

// progressDelivered is an executor's report on its runs.
type progressDelivered struct {
	session  *session
	delivery limpetexecutor.Delivery
	at       time.Time
}

func (m progressDelivered) apply(d *Director) {
	s := m.session
	if d.sessions[s.id] != s {
		return
	}
	s.lastHeard = d.Now()
	for _, p := range m.delivery.Progress {
		d.applyProgress(s, p, m.at)
	}
	for _, r := range s.runs {
		r.SetReported(m.at)
	}
	switch {
	case m.delivery.Superseded && d.leadership == nil:
		d.Log.Emit(limpetlog.LeaseLost, limpetlog.Value("cause", "an executor reported a newer director"), limpetlog.Value("carrier", s.vm))
		d.abandonJobs()
	case m.delivery.Superseded || m.delivery.Leaving:
		d.removeExecutor(s, "the executor left")
	}
}

// applyProgress applies the progress of one run.
func (d *Director) applyProgress(s *session, p limpetexecutor.Progress, at time.Time) {
	r := s.runs[p.Run]
	if r == nil {
		if h := s.unmatched[p.Run]; h != nil {
			h.Apply(p)
		} else if !p.Ended {
			// The run was canceled, and the executor may not have heard of it.
			s.out.cancel(p.Run)
		}
		return
	}
	if p.Responded {
		runHeader{run: r, version: p.Version}.apply(d)
	}
	if len(p.Events) > 0 {
		delete(s.silentEngines, r.Server.ID)
	}
	for _, e := range p.Events {
		if !d.scheduler.HandleEvent(r, e.Event, e.WeightVersion, at.Add(-e.Age)) {
			d.rejectRun(r, e.WeightVersion)
			return
		}
	}
	if p.Ended && s.runs[p.Run] == r {
		delete(s.runs, p.Run)
		// Not cancelled at the executor, which keeps the text for some time,
		// until the result is surely committed.
		d.cancels[r] = func() {}
		runEnded{run: r, end: p.End}.apply(d)
	}
}

// sessionClosed reports that the connection of an executor session ended.
type sessionClosed struct{ session *session }

func (m sessionClosed) apply(d *Director) {
	if d.sessions[m.session.id] == m.session {
		d.removeExecutor(m.session, "connection closed")
	}
}

// removeExecutor ends an executor's session and requeues its runs.
func (d *Director) removeExecutor(s *session, cause string) {
	now := d.Now()
	runs := len(s.runs)
	d.closeSession(s)
	for _, r := range s.runs {
		d.scheduler.Requeue(r, now)
	}
	d.Log.Emit(limpetlog.ExecutorLost, limpetlog.Value("carrier", s.vm), limpetlog.Value("runs", runs), limpetlog.Value("cause", cause))
}

// closeSession ends a session without touching its runs, which the executor
// keeps.
func (d *Director) closeSession(s *session) {
	delete(d.sessions, s.id)
	d.sharedSessions.Delete(s.id)
	s.out.close(limpeterror.Unavailable.New("the director ended the offer"))
	for _, r := range s.runs {
		delete(d.cancels, r)
	}
}

// setExecutorsUnsure tells executors whether this VM may have been succeeded,
// in which case they look for another director.
func (d *Director) setExecutorsUnsure(unsure bool) {
	for _, s := range d.sessions {
		s.out.setUnsure(unsure)
	}
}

func (d *Director) closeSessions() {
	for _, s := range d.sessions {
		d.closeSession(s)
	}
}
