package limpetfleet_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"limpetmount.org/internal/limpetfleet"
	"limpetmount.org/internal/limpetorder"
)

var now = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func prices(zones ...string) []limpetorder.Price {
	var list []limpetorder.Price
	for _, z := range zones {
		list = append(list, limpetorder.Price{Zone: z, Standard: 10, Cheap: 3, Available: true, CheapAvailable: true})
	}
	return list
}

func server(id, zone string, running int) limpetfleet.Server {
	return limpetfleet.Server{Server: limpetorder.Server{ID: id, Zone: zone, State: limpetorder.Running, Class: limpetorder.Standard}, Running: running}
}

func TestPlan(t *testing.T) {
	draining := server("d", "a", 0)
	draining.Draining = true
	busyDrain := server("d", "a", 3)
	busyDrain.Draining, busyDrain.DrainStart = true, now.Add(-time.Minute)
	overdueDrain := busyDrain
	overdueDrain.DrainStart = now.Add(-time.Hour)
	reclaimed := server("r", "a", 3)
	reclaimed.State = limpetorder.Reclaiming
	soldOut := prices("a", "b")
	soldOut[0].Available, soldOut[0].CheapAvailable = false, false
	demand := func(slots int) limpetfleet.Demand { return limpetfleet.Demand{Slots: slots, PerServer: 10} }
	surplus := func(since time.Duration) limpetfleet.Demand {
		d := demand(1)
		d.SurplusSince = now.Add(-since)
		return d
	}
	for _, c := range []struct {
		name    string
		demand  limpetfleet.Demand
		servers []limpetfleet.Server
		prices  []limpetorder.Price
		bounds  limpetfleet.Bounds
		want    string
	}{
		{"sufficient", demand(8), []limpetfleet.Server{server("x", "a", 8)}, prices("a", "b"), limpetfleet.Bounds{MaxServers: 9}, ""},
		{"headroom", demand(9), []limpetfleet.Server{server("x", "a", 9)}, prices("a", "b"), limpetfleet.Bounds{MaxServers: 9}, "start b standard "},
		{"upper limit", demand(90), []limpetfleet.Server{server("x", "a", 9)}, prices("a", "b"), limpetfleet.Bounds{MaxServers: 1}, ""},
		{"lower limit", demand(0), nil, prices("a", "b"), limpetfleet.Bounds{MinServers: 2, MaxServers: 4}, "start a standard start b standard "},
		{"cheap share", demand(0), nil, prices("a", "b"), limpetfleet.Bounds{MinServers: 2, MaxServers: 4, MaxCheapShare: 0.5}, "start a cheap start b standard "},
		{"unavailable zone", demand(0), nil, soldOut, limpetfleet.Bounds{MinServers: 2, MaxServers: 4}, "start b standard start b standard "},
		{"nothing available", demand(0), nil, nil, limpetfleet.Bounds{MinServers: 2, MaxServers: 4}, ""},
		{"short surplus", surplus(time.Second), []limpetfleet.Server{server("x", "a", 1), server("y", "a", 0)}, prices("a", "b"), limpetfleet.Bounds{MaxServers: 9}, ""},
		{"long surplus", surplus(time.Hour), []limpetfleet.Server{server("x", "a", 1), server("y", "a", 0)}, prices("a", "b"), limpetfleet.Bounds{MaxServers: 9}, "drain y"},
		{"drained", demand(1), []limpetfleet.Server{draining, server("x", "a", 1)}, prices("a", "b"), limpetfleet.Bounds{MaxServers: 9}, "stop d"},
		{"still draining", demand(1), []limpetfleet.Server{busyDrain, server("x", "a", 1)}, prices("a", "b"), limpetfleet.Bounds{MaxServers: 9}, ""},
		{"drain limit", demand(1), []limpetfleet.Server{overdueDrain, server("x", "a", 1)}, prices("a", "b"), limpetfleet.Bounds{MaxServers: 9}, "stop d"},
		{"reclaimed servers are replaced", demand(1), []limpetfleet.Server{reclaimed}, prices("a", "b"), limpetfleet.Bounds{MinServers: 1, MaxServers: 9}, "start a standard "},
		{"capacity for the loss of a zone", limpetfleet.Demand{Slots: 20, LiveSlots: 20, PerServer: 10}, []limpetfleet.Server{server("x", "a", 9), server("y", "b", 9), server("z", "a", 2)}, prices("a", "b"), limpetfleet.Bounds{MaxServers: 9}, "start b standard "},
	} {
		t.Run(c.name, func(t *testing.T) {
			Convey("the actions are the expected ones", t, func() {
				c.bounds.SurplusDelay = time.Minute
				got := ""
				for _, a := range limpetfleet.Plan(c.demand, c.servers, c.prices, c.bounds, now) {
					if a.Kind == limpetfleet.Start {
						got += fmt.Sprintf("start %s %s ", a.Zone, a.Class)
					} else {
						got += fmt.Sprintf("%s %s", a.Kind, a.Server)
					}
				}
				So(got, ShouldEqual, c.want)
			})
		})
	}
}

func TestPlanIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := limpetfleet.Demand{Slots: rapid.IntRange(0, 200).Draw(t, "slots"), PerServer: rapid.IntRange(1, 16).Draw(t, "per")}
		b := limpetfleet.Bounds{MinServers: rapid.IntRange(0, 5).Draw(t, "least"), MaxServers: 30, MaxCheapShare: rapid.Float64Range(0, 1).Draw(t, "cheap")}
		p := prices("a", "b", "c")
		var servers []limpetfleet.Server
		for _, a := range limpetfleet.Plan(d, nil, p, b, now) {
			servers = append(servers, server(fmt.Sprint(len(servers)), a.Zone, 0))
			servers[len(servers)-1].Class = a.Class
		}
		if again := limpetfleet.Plan(d, servers, p, b, now); len(again) != 0 {
			t.Fatalf("an immediate second plan has actions: %v", again)
		}
		cheap := 0
		inZone := map[string]int{}
		for _, s := range servers {
			inZone[s.Zone]++
			if s.Class == limpetorder.Cheap {
				cheap++
			}
		}
		if float64(cheap) > b.MaxCheapShare*float64(len(servers)) {
			t.Fatalf("%d of %d servers are cheap", cheap, len(servers))
		}
		for z, n := range inZone {
			if n > (len(servers)+2)/3 {
				t.Fatalf("zone %s has %d of %d servers", z, n, len(servers))
			}
		}
	})
}
