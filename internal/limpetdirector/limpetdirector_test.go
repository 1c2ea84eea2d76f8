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

func TestJobCompletes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(4)
		a, b := env.candidate("a", 0), env.candidate("b", 100*time.Millisecond)
		time.Sleep(time.Second)
		env.submit(t, "j", 12, 1)
		time.Sleep(5 * time.Second)
		checkComplete(t, env.results(t, "j"), 12)
		page, _, known := a.Results(context.Background(), "j", "acme", 10, 0)
		Convey("the director returns the results that it committed", t, func() {
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
		// disturb injects a fault in the middle of a job.
		disturb func(t *testing.T, env *testEnv, a *candidate)
		// maxEvents bounds the events that engines generate, for 8 texts of 40
		// events.
		maxEvents int
	}{
		{"the director stops", func(t *testing.T, _ *testEnv, a *candidate) { a.stop(t) }, 500},
		{"only the director loses the store", func(_ *testing.T, _ *testEnv, a *candidate) {
			a.mu.Lock()
			a.storeUpElsewhere = true
			a.mu.Unlock()
			a.setDisconnected(true)
		}, 560},
		{"the store is down for all VMs and leases expire", func(_ *testing.T, env *testEnv, _ *candidate) {
			env.store.SetDown(true)
			time.Sleep(4 * time.Second)
			env.store.SetDown(false)
		}, 560},
		{"answers to commits are lost", func(_ *testing.T, env *testEnv, _ *candidate) {
			n := 0
			env.store.Lock()
			env.store.Fault = func(kind, _ string) limpetstub.Fault {
				if n++; kind == "commit" && n%3 == 0 {
					return limpetstub.ReplyLost
				}
				return limpetstub.NoFault
			}
			env.store.Unlock()
		}, 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(4)
				a, b := env.candidate("a", 0), env.candidate("b", 100*time.Millisecond)
				time.Sleep(time.Second)
				env.submit(t, "j", 8, 1)
				time.Sleep(1200 * time.Millisecond)
				c.disturb(t, env, a)
				time.Sleep(12 * time.Second)
				checkComplete(t, env.results(t, "j"), 8)
				_, generated := env.counts()
				Convey("generated events are not generated again", t, func() {
					So(generated, ShouldBeLessThanOrEqualTo, c.maxEvents)
				})
				a.stop(t)
				b.stop(t)
			})
		})
	}
}

func TestNoEmptyAnswerWhileACommitIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(4)
		a := env.candidate("a", 0)
		time.Sleep(time.Second)
		env.submit(t, "j", 4, 1)
		time.Sleep(time.Second)
		// From now on commits take effect, but their answers are lost.
		env.store.Lock()
		env.store.Fault = func(kind, _ string) limpetstub.Fault {
			if kind == "commit" {
				return limpetstub.ReplyLost
			}
			return limpetstub.NoFault
		}
		env.store.Unlock()
		end := a.delayCommitAnswers(2 * time.Second)
		defer end()
		time.Sleep(1500 * time.Millisecond)
		stored := len(env.results(t, "j"))
		page, _, known := a.Results(context.Background(), "j", "acme", 0, 0)
		Convey("a committed result is returned, or the reader is referred to the store", t, func() {
			So(stored, ShouldBeGreaterThan, 0)
			So(known && len(page.Results) == 0, ShouldBeFalse)
		})
		a.stop(t)
	})
}

func TestResultsOfAJobThatEndsDuringTheirWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(4)
		a := env.candidate("a", 0)
		time.Sleep(time.Second)
		env.submit(t, "j", 4, 1)
		time.Sleep(time.Second)
		defer a.delayCommitAnswers(300 * time.Millisecond)()
		// The texts are complete after 1.4 s, so that a commit is in flight at
		// the end.
		time.Sleep(550 * time.Millisecond)
		if err := limpetjob.End(context.Background(), env.store.Client(), "j"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		stored := checkAllOrNothing(t, env, a)
		Convey("some results were committed", t, func() { So(stored, ShouldBeGreaterThan, 0) })
		a.stop(t)
	})
}

func TestResultsAfterDutyIsReacquired(t *testing.T) {
	// Texts become complete while the store is down. When it is back, the
	// director reads the committed results and commits the others at the same
	// time.
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(4)
		a := env.candidate("a", 0)
		time.Sleep(time.Second)
		env.submit(t, "j", 36, 1)
		// By then 32 texts are committed; 4 more become complete without a
		// lease.
		time.Sleep(2950 * time.Millisecond)
		env.store.SetDown(true)
		time.Sleep(4 * time.Second)
		a.mu.Lock()
		a.scanDelay, a.commitDelay = 300*time.Millisecond, 100*time.Millisecond
		a.mu.Unlock()
		env.store.SetDown(false)
		time.Sleep(3 * time.Second)
		stored := checkAllOrNothing(t, env, a)
		Convey("all results are committed", t, func() { So(stored, ShouldEqual, 36) })
		a.stop(t)
	})
}

func TestPausedLeaseIsReleased(t *testing.T) {
	// Leases do not expire while the store is down. The former director still has
	// its runs, so it must be the one that continues, without waiting for its
	// own old lease to expire.
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(4)
		a, b := env.candidate("a", 0), env.candidate("b", 100*time.Millisecond)
		a.mu.Lock()
		a.storeUpElsewhere = true
		a.mu.Unlock()
		time.Sleep(time.Second)
		env.submit(t, "j", 8, 1)
		time.Sleep(500 * time.Millisecond)
		env.store.SetDown(true)
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			env.store.ResetLeases()
		}
		// Other VMs reach the store slightly earlier than the former director.
		a.setDisconnected(true)
		env.store.SetDown(false)
		time.Sleep(50 * time.Millisecond)
		a.setDisconnected(false)
		time.Sleep(time.Second)
		stored := len(env.results(t, "j"))
		_, generated := env.counts()
		Convey("texts completed during the outage are committed at once, and none is generated again", t, func() {
			So(stored, ShouldEqual, 8)
			So(generated, ShouldEqual, 8*events)
		})
		a.stop(t)
		b.stop(t)
	})
}

func TestEndedJobStopsRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(2)
		a := env.candidate("a", 0)
		time.Sleep(time.Second)
		env.submit(t, "j", 8, 1)
		time.Sleep(500 * time.Millisecond)
		if err := limpetjob.End(context.Background(), env.store.Client(), "j"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
		runs, generated := env.counts()
		time.Sleep(10 * time.Second)
		runsLater, generatedLater := env.counts()
		Convey("no run continues", t, func() {
			So(runsLater, ShouldEqual, runs)
			So(generatedLater, ShouldEqual, generated)
		})
		a.stop(t)
	})
}

// Guards against reward calls that go on for seconds after their job has ended.
func TestEndedJobStopsRewardCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(2)
		a := env.candidate("a", 0)
		time.Sleep(time.Second)
		env.accept(t, &limpetjob.Job{
			ID: "j", Account: "acme", Host: "h", Path: "/p/", Model: "m", MinVersion: 1, DesiredGroups: 1, Arrived: time.Now(),
			Items: []limpetjob.Item{{ID: "j-0", Path: "/p/1", Group: "0", ExpectedTokens: 64, Scorer: &limpetjob.Scorer{ID: "s", Host: "h", Path: "/score/1"}}},
		})
		time.Sleep(events*eventInterval + 600*time.Millisecond)
		before, _ := env.lastScore()
		if err := limpetjob.End(context.Background(), env.store.Client(), "j"); err != nil {
			t.Fatal(err)
		}
		ended := time.Now()
		time.Sleep(10 * time.Second)
		_, last := env.lastScore()
		Convey("no reward call reaches a server later than the director learns of the end", t, func() {
			So(before, ShouldBeGreaterThan, 0)
			So(last.Sub(ended), ShouldBeLessThan, 300*time.Millisecond)
		})
		a.stop(t)
	})
}

func TestSuccessorWaitsForEndedJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(4)
		a, b := env.candidate("a", 0), env.candidate("b", 100*time.Millisecond)
		b.mu.Lock()
		b.endedScanDelay = 3 * time.Second
		b.mu.Unlock()
		time.Sleep(time.Second)
		env.submit(t, "ended", 12, 1)
		env.submit(t, "open", 4, 1)
		time.Sleep(300 * time.Millisecond)
		if err := limpetjob.End(context.Background(), env.store.Client(), "ended"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		a.stop(t)
		before := env.runsOfJob("ended")
		time.Sleep(10 * time.Second)
		after := env.runsOfJob("ended")
		Convey("a successor that learns late of a job's end sends none of its items, and open jobs continue", t, func() {
			So(after, ShouldEqual, before)
			So(len(env.results(t, "open")), ShouldEqual, 4)
		})
		b.stop(t)
	})
}

func TestEndedJobsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(4)
		a := env.candidate("a", 0)
		time.Sleep(time.Second)
		for _, id := range []string{"ended", "also", "open"} {
			env.submit(t, id, 4, 1)
		}
		time.Sleep(5 * time.Second)
		for _, id := range []string{"ended", "also"} {
			if err := limpetjob.End(context.Background(), env.store.Client(), id); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Minute)
		early := len(env.results(t, "ended"))
		time.Sleep(2 * time.Minute)
		left := map[string]int{}
		for _, id := range []string{"ended", "also", "open"} {
			l, err := env.store.Client().Scan(context.Background(), "", "")
			if err != nil {
				t.Fatal(err)
			}
			for _, v := range l.Values {
				if strings.Contains(v.Key, "/"+id) {
					left[id]++
				}
			}
		}
		Convey("an ended job is kept for its retention and then removed; an open one stays", t, func() {
			So(early, ShouldEqual, 4)
			So(left["ended"]+left["also"], ShouldEqual, 0)
			So(left["open"], ShouldBeGreaterThan, 0)
		})
		a.stop(t)
	})
}

func TestOrdersHaveOneHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(6)
		a, b := env.candidate("a", 0), env.candidate("b", 50*time.Millisecond)
		time.Sleep(time.Second)
		for version := 2; version < 10; version++ {
			env.publish(version)
			if version == 4 {
				a.setDisconnected(true)
			}
			if version == 5 {
				a.setDisconnected(false)
			}
			if version == 6 {
				b.setDisconnected(true)
			}
			if version == 8 {
				b.setDisconnected(false)
			}
			time.Sleep(3 * time.Second)
		}
		orders, versions := env.ordersAndVersions()
		Convey("each fencing token has one holder, tokens do not decrease at an engine, and the duty returns slowly", t, func() {
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
