package limpetdirector_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetstub"
)

func TestJobIsCarriedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(4)
		a, b := w.candidate("a", 0), w.candidate("b", 100*time.Millisecond)
		time.Sleep(time.Second)
		w.submit(t, "j", 12, 1)
		time.Sleep(5 * time.Second)
		wantWhole(t, w.results(t, "j"), 12)
		page, _, known := a.Results(context.Background(), "j", "acme", 10, 0)
		Convey("the director answers for what it listed", t, func() {
			So(known, ShouldBeTrue)
			So(page.Next, ShouldEqual, 12)
		})
		a.stop(t)
		b.stop(t)
	})
}

func TestTakeover(t *testing.T) {
	for _, c := range []struct {
		name string
		// disturb acts on the director in the middle of a job.
		disturb func(t *testing.T, w *world, a *candidate)
		// most bounds the events that engines make, for 8 texts of 40.
		most int
	}{
		{"the director stops", func(t *testing.T, _ *world, a *candidate) { a.stop(t) }, 500},
		{"the director is cut from the store, others are not", func(_ *testing.T, _ *world, a *candidate) {
			a.mu.Lock()
			a.elsewhere = true
			a.mu.Unlock()
			a.setCut(true)
		}, 560},
		{"the store is down for all and its leases lapse", func(_ *testing.T, w *world, _ *candidate) {
			w.store.SetDown(true)
			time.Sleep(4 * time.Second)
			w.store.SetDown(false)
		}, 560},
		{"answers of the store are lost after their effect", func(_ *testing.T, w *world, _ *candidate) {
			n := 0
			w.store.Lock()
			w.store.Fault = func(kind, _ string) limpetstub.Fault {
				if n++; kind == "commit" && n%3 == 0 {
					return limpetstub.LostAfter
				}
				return limpetstub.None
			}
			w.store.Unlock()
		}, 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(4)
				a, b := w.candidate("a", 0), w.candidate("b", 100*time.Millisecond)
				time.Sleep(time.Second)
				w.submit(t, "j", 8, 1)
				time.Sleep(1200 * time.Millisecond)
				c.disturb(t, w, a)
				time.Sleep(12 * time.Second)
				wantWhole(t, w.results(t, "j"), 8)
				_, made := w.counts()
				Convey("what was generated is not generated all over again", t, func() {
					So(made, ShouldBeLessThanOrEqualTo, c.most)
				})
				a.stop(t)
				b.stop(t)
			})
		})
	}
}

func TestDirectorDoesNotDenyWhatTheStoreMayHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(4)
		a := w.candidate("a", 0)
		time.Sleep(time.Second)
		w.submit(t, "j", 4, 1)
		time.Sleep(time.Second)
		// Writes have their effect from now on, and no answer comes.
		w.store.Lock()
		w.store.Fault = func(kind, _ string) limpetstub.Fault {
			if kind == "commit" {
				return limpetstub.LostAfter
			}
			return limpetstub.None
		}
		w.store.Unlock()
		client := a.silence(2 * time.Second)
		defer client()
		time.Sleep(1500 * time.Millisecond)
		stored := len(w.results(t, "j"))
		page, _, known := a.Results(context.Background(), "j", "acme", 0, 0)
		Convey("a result that stands in the store is told, or the reader is sent there", t, func() {
			So(stored, ShouldBeGreaterThan, 0)
			So(known && len(page.Results) == 0, ShouldBeFalse)
		})
		a.stop(t)
	})
}

func TestResultsOfAJobThatEndsDuringTheirWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(4)
		a := w.candidate("a", 0)
		time.Sleep(time.Second)
		w.submit(t, "j", 4, 1)
		time.Sleep(time.Second)
		defer a.silence(300 * time.Millisecond)()
		// The texts are whole after 1.4 s; the write is under way at the end.
		time.Sleep(550 * time.Millisecond)
		if err := limpetjob.End(context.Background(), w.store.Client(), "j"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		stored := wantAllOrNothing(t, w, a)
		Convey("something was listed", t, func() { So(stored, ShouldBeGreaterThan, 0) })
		a.stop(t)
	})
}

func TestResultsAfterTheDutyIsTakenBack(t *testing.T) {
	// pattern: the store is away while texts become whole; when it is back, the
	// director reads what is listed and lists the rest at the same time.
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(4)
		a := w.candidate("a", 0)
		time.Sleep(time.Second)
		w.submit(t, "j", 36, 1)
		// Thirty-two texts are listed by then; four become whole without a lease.
		time.Sleep(2950 * time.Millisecond)
		w.store.SetDown(true)
		time.Sleep(4 * time.Second)
		a.mu.Lock()
		a.late, a.slow = 300*time.Millisecond, 100*time.Millisecond
		a.mu.Unlock()
		w.store.SetDown(false)
		time.Sleep(3 * time.Second)
		stored := wantAllOrNothing(t, w, a)
		Convey("everything is listed in the end", t, func() { So(stored, ShouldEqual, 36) })
		a.stop(t)
	})
}

func TestPausedLeaseIsLetGo(t *testing.T) {
	// pattern: leases stand still while the store is down. The former director
	// still has its runs and must be the one that goes on, without waiting for
	// its own old lease.
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(4)
		a, b := w.candidate("a", 0), w.candidate("b", 100*time.Millisecond)
		a.mu.Lock()
		a.elsewhere = true
		a.mu.Unlock()
		time.Sleep(time.Second)
		w.submit(t, "j", 8, 1)
		time.Sleep(500 * time.Millisecond)
		w.store.SetDown(true)
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			w.store.Prolong()
		}
		// Others reach the store a little earlier than the former director.
		a.setCut(true)
		w.store.SetDown(false)
		time.Sleep(50 * time.Millisecond)
		a.setCut(false)
		time.Sleep(time.Second)
		stored := len(w.results(t, "j"))
		_, made := w.counts()
		Convey("the texts that became whole meanwhile are listed at once, and none is made again", t, func() {
			So(stored, ShouldEqual, 8)
			So(made, ShouldEqual, 8*events)
		})
		a.stop(t)
		b.stop(t)
	})
}

func TestEndedJobStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(2)
		a := w.candidate("a", 0)
		time.Sleep(time.Second)
		w.submit(t, "j", 8, 1)
		time.Sleep(500 * time.Millisecond)
		if err := limpetjob.End(context.Background(), w.store.Client(), "j"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
		runs, made := w.counts()
		time.Sleep(10 * time.Second)
		runsLater, madeLater := w.counts()
		Convey("no item runs on", t, func() {
			So(runsLater, ShouldEqual, runs)
			So(madeLater, ShouldEqual, made)
		})
		a.stop(t)
	})
}

func TestSuccessorLearnsOfEndsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(4)
		a, b := w.candidate("a", 0), w.candidate("b", 100*time.Millisecond)
		b.mu.Lock()
		b.lateEnds = 3 * time.Second
		b.mu.Unlock()
		time.Sleep(time.Second)
		w.submit(t, "ended", 12, 1)
		w.submit(t, "open", 4, 1)
		time.Sleep(300 * time.Millisecond)
		if err := limpetjob.End(context.Background(), w.store.Client(), "ended"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		a.stop(t)
		before := w.sentOf("ended")
		time.Sleep(10 * time.Second)
		after := w.sentOf("ended")
		Convey("no item of an ended job is sent by a successor that hears of the end late, and open jobs go on", t, func() {
			So(after, ShouldEqual, before)
			So(len(w.results(t, "open")), ShouldEqual, 4)
		})
		b.stop(t)
	})
}

func TestEndedJobsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(4)
		a := w.candidate("a", 0)
		time.Sleep(time.Second)
		for _, id := range []string{"ended", "also", "open"} {
			w.submit(t, id, 4, 1)
		}
		time.Sleep(5 * time.Second)
		for _, id := range []string{"ended", "also"} {
			if err := limpetjob.End(context.Background(), w.store.Client(), id); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Minute)
		early := len(w.results(t, "ended"))
		time.Sleep(2 * time.Minute)
		left := map[string]int{}
		for _, id := range []string{"ended", "also", "open"} {
			l, err := w.store.Client().Scan(context.Background(), "", "")
			if err != nil {
				t.Fatal(err)
			}
			for _, v := range l.Values {
				if strings.Contains(v.Key, "/"+id) {
					left[id]++
				}
			}
		}
		Convey("an ended job stands while it may be read and then not at all; an open one stays", t, func() {
			So(early, ShouldEqual, 4)
			So(left["ended"]+left["also"], ShouldEqual, 0)
			So(left["open"], ShouldBeGreaterThan, 0)
		})
		a.stop(t)
	})
}

func TestOrdersHaveOneHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(6)
		a, b := w.candidate("a", 0), w.candidate("b", 50*time.Millisecond)
		time.Sleep(time.Second)
		for version := 2; version < 10; version++ {
			w.look(version)
			if version == 4 {
				a.setCut(true)
			}
			if version == 5 {
				a.setCut(false)
			}
			if version == 6 {
				b.setCut(true)
			}
			if version == 8 {
				b.setCut(false)
			}
			time.Sleep(3 * time.Second)
		}
		orders, versions := w.given()
		Convey("fencing numbers belong to one holder, go up at each engine, and turns back are slow", t, func() {
			holder, last, acted := map[uint64]string{}, map[string]uint64{}, map[string]time.Time{}
			previous := ""
			for _, o := range orders {
				if h, ok := holder[o.fence]; ok {
					So(o.holder, ShouldEqual, h)
				}
				holder[o.fence] = o.holder
				So(o.fence, ShouldBeGreaterThanOrEqualTo, last[o.engine])
				last[o.engine] = o.fence
				if at, ok := acted[o.holder]; ok && previous != o.holder {
					So(o.at.Sub(at), ShouldBeGreaterThan, 3*time.Second)
				}
				acted[o.holder], previous = o.at, o.holder
			}
			So(len(holder), ShouldBeGreaterThan, 1)
			for _, v := range versions {
				So(v, ShouldBeGreaterThanOrEqualTo, 8)
			}
		})
		a.stop(t)
		b.stop(t)
	})
}
