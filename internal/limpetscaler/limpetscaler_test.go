package limpetscaler_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetscaler"
	"limpetmount.org/internal/limpetsite"
)

var (
	epoch = time.Unix(1_700_000_000, 0)
	fleet = limpetsite.Fleet{Min: 1, Max: 4}
)

const slots = 8

func zones(standard, spot int) []limpetscaler.Zone {
	return []limpetscaler.Zone{{Name: "a", Standard: standard, Spot: spot, Price: 2}, {Name: "b", Standard: standard, Spot: spot, Price: 1}}
}

func TestOrders(t *testing.T) {
	Convey("sufficient servers: no orders", t, func() {
		p := limpetscaler.New("s")
		p.ObserveDemand(epoch, 20)
		So(p.Plan(epoch, zones(2, 0), fleet, slots), ShouldBeEmpty)
	})
	Convey("demand above capacity orders spot servers across the zones, once", t, func() {
		p := limpetscaler.New("s")
		p.ObserveDemand(epoch, 40)
		So(p.Plan(epoch, zones(2, 0), fleet, slots), ShouldResemble, []limpetscaler.Order{
			{Service: "s", Zone: "b", Desired: 1, Spot: true}, {Service: "s", Zone: "a", Desired: 1, Spot: true},
		})
		So(p.Plan(epoch.Add(time.Second), zones(2, 0), fleet, slots), ShouldBeEmpty)
	})
	Convey("capacity that servers lack because they limit their requests is replaced", t, func() {
		p := limpetscaler.New("s")
		p.ObserveDemand(epoch, 20)
		limited := zones(2, 0)
		for range 2 {
			// 1 request a second of 2 s each takes 2 of 8 slots.
			limited[0].Lost += limpetscaler.LostCapacity(1, 2*time.Second, slots)
		}
		So(limited[0].Lost, ShouldEqual, 1.5)
		So(p.Plan(epoch, limited, fleet, slots), ShouldBeEmpty)
		limited[1].Lost = 0.75
		So(len(p.Plan(epoch, limited, fleet, slots)), ShouldEqual, 1)
		So(limpetscaler.LostCapacity(100, 2*time.Second, slots), ShouldEqual, 0)
	})
	Convey("no zone exceeds the configured maximum", t, func() {
		p := limpetscaler.New("s")
		p.ObserveDemand(epoch, 500)
		for _, o := range p.Plan(epoch, zones(3, 0), fleet, slots) {
			So(o.Desired, ShouldEqual, 1)
		}
		So(p.Plan(epoch.Add(time.Minute), zones(3, 1), fleet, slots), ShouldBeEmpty)
	})
	Convey("a burst much shorter than the averaging window orders nothing", t, func() {
		p := limpetscaler.New("s")
		p.ObserveDemand(epoch, 10)
		p.ObserveDemand(epoch.Add(50*time.Millisecond), 300)
		p.ObserveDemand(epoch.Add(100*time.Millisecond), 10)
		So(p.Plan(epoch.Add(100*time.Millisecond), zones(2, 0), fleet, slots), ShouldBeEmpty)
	})
	Convey("a zone without available servers is skipped during the backoff", t, func() {
		p := limpetscaler.New("s")
		p.ObserveDemand(epoch, 40)
		p.Plan(epoch, zones(2, 0), fleet, slots)
		p.MarkRefused(epoch, "a")
		p.ObserveDemand(epoch.Add(7*time.Second), 40)
		orders := p.Plan(epoch.Add(7*time.Second), zones(2, 0), fleet, slots)
		So(len(orders), ShouldEqual, 1)
		So(orders[0].Zone, ShouldEqual, "b")
	})
}

func TestReplaceAndShrink(t *testing.T) {
	Convey("standard servers that a zone lost are replaced after a delay", t, func() {
		p := limpetscaler.New("s")
		p.Plan(epoch, zones(2, 0), fleet, slots)
		zonesAfterLoss := []limpetscaler.Zone{{Name: "a", Standard: 1}, {Name: "b", Standard: 2}}
		So(p.Plan(epoch.Add(10*time.Second), zonesAfterLoss, fleet, slots), ShouldBeEmpty)
		So(p.Plan(epoch.Add(13*time.Second), zonesAfterLoss, fleet, slots), ShouldResemble, []limpetscaler.Order{{Service: "s", Zone: "a", Desired: 2}})
	})
	Convey("a lasting surplus releases one spot server and no standard one", t, func() {
		p := limpetscaler.New("s")
		p.Plan(epoch, zones(1, 1), fleet, slots)
		So(p.Plan(epoch.Add(30*time.Second), zones(1, 1), fleet, slots), ShouldBeEmpty)
		So(p.Plan(epoch.Add(41*time.Second), zones(1, 1), fleet, slots), ShouldResemble, []limpetscaler.Order{{Service: "s", Zone: "a", Desired: 0, Spot: true}})
		So(p.Plan(epoch.Add(200*time.Second), zones(1, 0), fleet, slots), ShouldBeEmpty)
	})
}
