package limpetdirector

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"limpetmount.org/internal/limpetbatch"
	"limpetmount.org/internal/limpetcarry"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetupstream"
)

const (
	// gatherTime is how long a new director waits for carriers before it sends
	// items itself.
	gatherTime = 450 * time.Millisecond
	// carrierSilent is how long a carrier with runs may be silent, and
	// carrierIdle one without.
	carrierSilent = 600 * time.Millisecond
	carrierIdle   = 2500 * time.Millisecond
	// loopLate is a pause of the loop after which the silence of carriers
	// proves nothing.
	loopLate = 200 * time.Millisecond
	// unmatchedLife is how long a run is kept whose job is not known.
	unmatchedLife = 5 * time.Second
	// serverPatience is how long a run waits until its engine is known here.
	serverPatience = 1500 * time.Millisecond
	// faultLife is how long a carrier sends nothing to an engine that it heard
	// nothing from, and doubtLife how long it sends nothing at all after
	// faultsMost such engines.
	faultLife  = 5 * time.Second
	doubtLife  = 5 * time.Second
	faultsMost = 2
	// enginesPerCarrier is how many engines a carrier sends to, about.
	enginesPerCarrier = 3
)

// opened is an offer that began.
type opened struct {
	session *session
	held    []limpetcarry.Held
}

func (m opened) apply(d *Director) {
	s, now := m.session, d.Now()
	if d.lead == nil && !d.mayWork(now) {
		s.out.close(limpeterror.Unavailable.New("this VM is not the director"))
		return
	}
	for _, other := range d.sessions {
		if other.vm == s.vm {
			d.dropCarrier(other, "it offered itself anew")
		}
	}
	if len(m.held) == 0 && !d.knowsEngines() {
		s.out.close(limpeterror.Unavailable.New("this VM knows no engines yet"))
		return
	}
	if len(m.held) == 0 && !d.wantsCarrier(s.zone) {
		s.out.close(nil)
		return
	}
	s.opened, s.heard = now, now
	s.out.doubt(d.lead == nil)
	d.sessions[s.id] = s
	d.offers.Store(s.id, s)
	d.Log.Emit(limpetlog.CarrierJoined, limpetlog.Value("carrier", s.vm), limpetlog.Value("held", len(m.held)))
	for _, h := range m.held {
		s.unmatched[h.Run] = &h
	}
}

// knowsEngines reports whether it can be told how many carriers are of use.
func (d *Director) knowsEngines() bool {
	for _, s := range d.view.All() {
		if len(s.Models) > 0 {
			return true
		}
	}
	return false
}

// wantsCarrier reports whether one more VM of an availability zone is of use.
func (d *Director) wantsCarrier(zone string) bool {
	engines, zones := 0, map[string]bool{}
	for _, s := range d.view.All() {
		if len(s.Models) > 0 {
			engines++
			zones[s.Zone] = true
		}
	}
	most := max(1, (engines+enginesPerCarrier*len(zones)-1)/(enginesPerCarrier*max(len(zones), 1)))
	for _, s := range d.sessions {
		if s.zone == zone {
			most--
		}
	}
	return most > 0
}

// blame records which carriers had runs that nothing was heard of: the fault
// may be in the way from the carrier to the engine.
func (d *Director) blame(runs []*limpetbatch.Run, now time.Time) {
	silent := map[*limpetbatch.Run]bool{}
	for _, r := range runs {
		silent[r] = r.Silent()
	}
	for _, s := range d.sessions {
		sure := !now.Before(s.doubted)
		for _, r := range s.runs {
			if silent[r] {
				s.fault(r.Server.ID, now)
			}
		}
		if sure && now.Before(s.doubted) {
			d.Log.Emit(limpetlog.CarrierDoubted, limpetlog.Value("carrier", s.vm), limpetlog.Value("engines", len(s.faults)))
		}
	}
}

// carrierOf returns the VM that sends to an engine; nil when there is none. It
// is the same one as long as VMs do not come or go, so that connections last,
// and in the engine's availability zone if there is one.
func (d *Director) carrierOf(server *limpetsite.Server) *session {
	var best *session
	var most uint64
	now := d.Now()
	for _, s := range d.sessions {
		if !s.fit(server.ID, now) {
			continue
		}
		rank := xxhash.Sum64String(server.ID + " " + s.vm)
		near := s.zone == server.Zone
		switch {
		case best == nil, near && best.zone != server.Zone, near == (best.zone == server.Zone) && rank > most:
			best, most = s, rank
		}
	}
	return best
}

// hand gives a run to a carrier.
func (d *Director) hand(s *session, r *limpetbatch.Run, call limpetupstream.Call) {
	if len(s.runs) == 0 {
		// Without runs it was free to be silent for longer.
		s.heard = d.Now()
	}
	d.ordered++
	id := d.Incarnation + "." + strconv.Itoa(d.ordered)
	d.carried(s, id, r)
	s.out.order(limpetcarry.Order{Run: id, Job: r.Entry.Job.ID, Call: call, Begun: r.Entry.Draft()})
}

// carried records that a carrier has a run.
func (d *Director) carried(s *session, id string, r *limpetbatch.Run) {
	s.runs[id] = r
	d.cancels[r] = func() {
		delete(s.runs, id)
		s.out.cut(id)
	}
}

// tendCarriers drops those that fell silent, and takes over what others held.
func (d *Director) tendCarriers(now time.Time) {
	for _, s := range d.sessions {
		if d.paused > loopLate {
			s.heard = now
		}
		silence := now.Sub(s.heard)
		if silence > carrierIdle || (silence > carrierSilent && len(s.runs) > 0) {
			d.dropCarrier(s, "it is silent")
			continue
		}
		for id, h := range s.unmatched {
			if d.takeHeld(s, h, now) {
				delete(s.unmatched, id)
			}
		}
	}
}

// takeHeld goes on with a run of an earlier director. It reports false while
// too little is known.
func (d *Director) takeHeld(s *session, h *limpetcarry.Held, now time.Time) bool {
	age := now.Sub(s.opened)
	j := d.ledger.Jobs()[h.Job]
	if j == nil && !d.ended[h.Job] && !d.whole[h.Job] && age < unmatchedLife {
		return false
	}
	if j != nil && h.Running && d.view.Server(h.Server) == nil && age < serverPatience {
		return false
	}
	if j == nil {
		s.out.cut(h.Run)
		return true
	}
	run, replaced := d.ledger.Attach(j, h.Text, h.Server, h.Running, now)
	if replaced != nil {
		d.cut([]*limpetbatch.Run{replaced}, "a carrier has more of the text")
	}
	if run != nil {
		d.carried(s, h.Run, run)
	} else if h.Running {
		s.out.cut(h.Run)
	}
	d.Log.Emit(limpetlog.RunTakenOver, limpetlog.Job(h.Job), limpetlog.Value("item", h.Text.Item), limpetlog.Server(h.Server),
		limpetlog.Value("carrier", s.vm), limpetlog.Value("after", h.Text.Last), limpetlog.Value("whole", h.Text.Whole), limpetlog.Value("used", run != nil))
	return true
}

// delivered is the progress of a carrier's runs.
type delivered struct {
	session  *session
	delivery limpetcarry.Delivery
	at       time.Time
}

func (m delivered) apply(d *Director) {
	s := m.session
	if d.sessions[s.id] != s {
		return
	}
	s.heard = d.Now()
	for _, p := range m.delivery.Progress {
		d.advance(s, p, m.at)
	}
	switch {
	case m.delivery.Superseded && d.lead == nil:
		d.Log.Emit(limpetlog.LeaseLost, limpetlog.Value("cause", "a carrier found a later director"), limpetlog.Value("carrier", s.vm))
		d.abandon()
	case m.delivery.Superseded || m.delivery.Leaving:
		d.dropCarrier(s, "it left")
	}
}

// advance takes the progress of one run.
func (d *Director) advance(s *session, p limpetcarry.Progress, at time.Time) {
	r := s.runs[p.Run]
	if r == nil {
		if h := s.unmatched[p.Run]; h != nil {
			h.Take(p)
		}
		return
	}
	if p.Headed {
		runHead{run: r, version: p.Version}.apply(d)
	}
	if len(p.Events) > 0 {
		delete(s.faults, r.Server.ID)
	}
	for _, e := range p.Events {
		if !d.ledger.Event(r, e.Event, e.Under, at.Add(-e.Age)) {
			d.refuse(r, e.Under)
			return
		}
	}
	if p.Ended && s.runs[p.Run] == r {
		delete(s.runs, p.Run)
		// The carrier keeps the text for a while, until it is surely listed.
		d.cancels[r] = func() {}
		runEnded{run: r, end: p.End}.apply(d)
	}
}

// closed is an offer that ended.
type closed struct{ session *session }

func (m closed) apply(d *Director) {
	if d.sessions[m.session.id] == m.session {
		d.dropCarrier(m.session, "its connection ended")
	}
}

// dropCarrier takes a carrier out; its runs wait again.
func (d *Director) dropCarrier(s *session, cause string) {
	now := d.Now()
	runs := len(s.runs)
	d.forgetCarrier(s)
	for _, r := range s.runs {
		d.ledger.Lost(r, now)
	}
	d.Log.Emit(limpetlog.CarrierLost, limpetlog.Value("carrier", s.vm), limpetlog.Value("runs", runs), limpetlog.Value("cause", cause))
}

// forgetCarrier ends an offer and leaves its runs to the carrier.
func (d *Director) forgetCarrier(s *session) {
	delete(d.sessions, s.id)
	d.offers.Delete(s.id)
	s.out.close(limpeterror.Unavailable.New("the director ended the offer"))
	for _, r := range s.runs {
		delete(d.cancels, r)
	}
}

// doubtful tells carriers whether this VM may have a successor, which they
// then look for.
func (d *Director) doubtful(unsure bool) {
	for _, s := range d.sessions {
		s.out.doubt(unsure)
	}
}

func (d *Director) forgetCarriers() {
	for _, s := range d.sessions {
		d.forgetCarrier(s)
	}
}
