package limpetbatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetupstream"
)

// scan chooses an engine for an item like choose, by looking at all of them.
func (s *Scheduler) scan(e *Entry, d *dispatch) *engine {
	healthy := false
	for _, g := range s.enginesByID {
		healthy = healthy || !g.suspect(d.typical) && g.canServe(e, d.view, d.now)
	}
	var probes []*engine
	for _, service := range e.Job.split.order(e) {
		var best, probe candidate
		for _, g := range s.enginesByID {
			if g.server.Service != service || !s.canStart(g, e, d.view, d.now) {
				continue
			}
			c := candidate{engine: g, cost: d.cost(g, e)}
			switch {
			case !g.suspect(d.typical):
				if best.engine == nil || c.less(best) {
					best = c
				}
			case len(g.runs) == 0 && (e.mayProbe() || !healthy || d.now.Sub(g.ejectedUntil) > probeByAnyAfter):
				if probe.engine == nil || c.less(probe) {
					probe = c
				}
			}
		}
		if best.engine != nil {
			return best.engine
		}
		if probe.engine != nil {
			probes = append(probes, probe.engine)
		}
	}
	if len(probes) > 0 {
		return probes[0]
	}
	return nil
}

// A randomFleet changes a scheduler at random.
type randomFleet struct {
	*rand.Rand
	s    *Scheduler
	view *limpetsite.Snapshot
	now  time.Time
	runs []*Run
}

func newRandomFleet(seed uint64) *randomFleet {
	f := &randomFleet{Rand: rand.New(rand.NewPCG(seed, 1)), s: New(), now: time.Unix(1_700_000_000, 0)}
	state := limpetsite.NewState()
	services := []string{"llm", "other", "third"}[:1+seed%3]
	for n := range 5 + f.IntN(25) {
		id := fmt.Sprintf("e%02d", n)
		service := services[f.IntN(len(services))]
		software := limpetsite.SoftwareOf(service, fmt.Sprint("v", f.IntN(2)))
		state.Apply(limpetsite.Record{Key: limpetsite.ServerKey + id, Revision: uint64(n + 1), Server: &limpetsite.Server{
			ID: id, Service: service, Address: id, Zone: "a", Slots: 1 + f.IntN(4), Models: map[string]int{"m": 1 + f.IntN(3), "n": 1 + f.IntN(3)},
			Software: software, Spot: f.IntN(5) == 0, Draining: f.IntN(8) == 0,
		}}, f.now)
	}
	f.view = state.Snapshot()
	f.s.UpdateEngines(f.view, f.now)
	for n := range 3 + f.IntN(3) {
		j := &limpetjob.Job{ID: fmt.Sprint("j", n), Model: []string{"m", "n"}[f.IntN(2)], MinVersion: 1 + f.IntN(3), DesiredGroups: 3, Arrived: f.now}
		for i := range 4 + f.IntN(20) {
			j.Items = append(j.Items, limpetjob.Item{ID: fmt.Sprintf("j%d-%02d", n, i), Group: fmt.Sprint("g", i/4), ExpectedTokens: 64 * (1 + f.IntN(150))})
		}
		route := limpetsite.Route{Name: fmt.Sprint("r", n)}
		for _, service := range services {
			route.Targets = append(route.Targets, limpetsite.Target{Service: service, Weight: float64(f.IntN(4))})
		}
		f.s.AddJob(j, Rules{Route: route.Name, Shares: route.Shares(), RunTarget: 7500 * time.Millisecond, MaxAttempts: 3, OnPolicy: f.IntN(5) == 0}, nil, f.now)
	}
	return f
}

// disturb lets some runs generate events or end, engines change, and time pass.
func (f *randomFleet) disturb() {
	f.now = f.now.Add(time.Duration(f.IntN(400)) * time.Millisecond)
	for _, r := range f.runs {
		switch f.IntN(8) {
		case 0:
			f.s.HandleEnd(r, Ending(f.IntN(int(Failed)+1)), f.now)
		case 1:
			f.s.HandleHeader(r, 1+f.IntN(4), f.now)
		case 2:
		default:
			version := f.s.engines[r.Server.ID].versions[r.Entry.Job.Model]
			f.s.HandleEvent(r, limpetupstream.Event{ID: r.Entry.Events() + 1, Data: "x", Version: version}, version, f.now.Add(time.Duration(f.IntN(60))*time.Millisecond))
		}
	}
	for _, g := range f.s.enginesByID {
		switch f.IntN(20) {
		case 0:
			f.s.SetLoading(g.server.ID, []string{"", "m", "n"}[f.IntN(3)], f.now)
		case 1:
			f.s.SetVersions(g.server.ID, map[string]int{"m": 1 + f.IntN(4)})
		case 2:
			g.eject(f.now)
		}
	}
	f.s.DetachOverdue(f.view, f.now)
}

// Guards the index of engines: it finds what a look at all engines finds.
func TestPoolsFindTheCheapestEngine(t *testing.T) {
	compared := 0
	for seed := range uint64(300) {
		f := newRandomFleet(seed)
		for range 12 {
			ready := f.s.readyEntries(f.now)
			d := f.s.newDispatch(ready, f.view, f.now)
			for _, e := range ready {
				found, expected := f.s.choose(e, d), f.s.scan(e, d)
				if found != expected {
					t.Fatalf("seed %d, item %s: engine %s instead of %s", seed, e.Item.ID, found.name(), expected.name())
				}
				if found != nil {
					compared++
					f.runs = append(f.runs, f.s.start(e, found, f.now))
				}
			}
			f.disturb()
		}
	}
	if compared < 5000 {
		t.Errorf("only %d items were placed", compared)
	}
}

func (g *engine) name() string {
	if g == nil {
		return "(none)"
	}
	return g.server.ID
}
