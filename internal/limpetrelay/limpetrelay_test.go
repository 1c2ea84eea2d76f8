package limpetrelay_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetbatch"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetexecutor"
	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetlimit"
	"limpetmount.org/internal/limpetrelay"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetupstream"
	"limpetmount.org/internal/limpetwindow"
)

func value(key string, revision uint64) limpetstore.Value {
	return limpetstore.Value{Key: key, Data: []byte(key), Revision: revision}
}

// ofTopic returns the values with a topic.
func ofTopic(topic string, values ...limpetstore.Value) []limpetrelay.Value {
	var all []limpetrelay.Value
	for _, v := range values {
		all = append(all, limpetrelay.Value{Value: v, Topic: topic})
	}
	return all
}

func changes(feed string, values ...limpetstore.Value) limpetrelay.Apply {
	return limpetrelay.Changes(feed, ofTopic("", values...))
}

func listing(feed string, revision uint64, values ...limpetstore.Value) limpetrelay.Apply {
	return limpetrelay.Listing(feed, ofTopic("", values...), revision)
}

// A follower applies updates as another VM does.
type follower struct {
	epoch    string
	position uint64
	values   map[string]uint64
}

func (f *follower) apply(u limpetrelay.Update) {
	if u.Full {
		f.values = map[string]uint64{}
	}
	for _, c := range u.Changes {
		if c.Value.Deleted {
			delete(f.values, c.Value.Key)
		} else {
			f.values[c.Value.Key] = c.Value.Revision
		}
	}
	f.epoch, f.position = u.Epoch, u.Position
}

func TestMirror(t *testing.T) {
	ctx := context.Background()
	Convey("a follower applies listings, changes and deletions of several feeds", t, func() {
		mirror := limpetrelay.NewMirror("e1", time.Now)
		f := &follower{}
		mirror.Apply(listing("x/", 3, value("x/1", 1), value("x/2", 2)))
		f.apply(mirror.Since(ctx, f.epoch, f.position, 0))
		So(f.values, ShouldResemble, map[string]uint64{"x/1": 1, "x/2": 2})
		mirror.Apply(changes("y/", value("y/1", 9)))
		mirror.Apply(changes("x/", []limpetstore.Value{value("x/1", 5), {Key: "x/2", Revision: 6, Deleted: true}}...))
		f.apply(mirror.Since(ctx, f.epoch, f.position, 0))
		So(f.values, ShouldResemble, map[string]uint64{"x/1": 5, "y/1": 9})
		mirror.Apply(listing("x/", 12, value("x/3", 11)))
		f.apply(mirror.Since(ctx, f.epoch, f.position, 0))
		So(f.values, ShouldResemble, map[string]uint64{"x/3": 11, "y/1": 9})
	})
	Convey("an older revision does not replace a newer one", t, func() {
		mirror := limpetrelay.NewMirror("e1", time.Now)
		f := &follower{}
		mirror.Apply(changes("x/", value("x/1", 5)))
		mirror.Apply(changes("x/", value("x/1", 4)))
		f.apply(mirror.Since(ctx, "", 0, 0))
		So(f.values["x/1"], ShouldEqual, 5)
	})
	Convey("a follower of another mirror gets a full update", t, func() {
		mirror := limpetrelay.NewMirror("e2", time.Now)
		mirror.Apply(changes("x/", value("x/1", 5)))
		So(mirror.Since(ctx, "e1", 1, 0).Full, ShouldBeTrue)
	})
}

func TestRelevantTopics(t *testing.T) {
	ctx := context.Background()
	desk := map[string]bool{"desk": true}
	Convey("other VMs get values without a topic and those of relevant topics", t, func() {
		mirror := limpetrelay.NewMirror("e", time.Now)
		mirror.Apply(limpetrelay.Relevant(desk), changes("conf/", value("conf/1", 1)),
			limpetrelay.Changes("f/", append(ofTopic("desk", value("f/d", 2)), ofTopic("llm", value("f/e", 3))...)))
		f := &follower{}
		f.apply(mirror.Since(ctx, "", 0, 0))
		So(f.values, ShouldResemble, map[string]uint64{"conf/1": 1, "f/d": 2})
		Convey("changes of other topics wake nobody, and do not accumulate", func() {
			mirror.Apply(limpetrelay.Changes("f/", ofTopic("llm", value("f/e", 4))))
			mirror.Apply(limpetrelay.Changes("f/", ofTopic("", limpetstore.Value{Key: "f/e", Revision: 5, Deleted: true})))
			u := mirror.Since(ctx, f.epoch, f.position, 0)
			So(u.Full, ShouldBeFalse)
			So(u.Changes, ShouldBeEmpty)
			So(u.Position, ShouldEqual, f.position)
		})
		Convey("a value that moves to another topic is deleted, and one that moves here appears", func() {
			mirror.Apply(limpetrelay.Changes("f/", append(ofTopic("llm", value("f/d", 6)), ofTopic("desk", value("f/e", 7))...)))
			u := mirror.Since(ctx, f.epoch, f.position, 0)
			So(u.Full, ShouldBeFalse)
			f.apply(u)
			So(f.values, ShouldResemble, map[string]uint64{"conf/1": 1, "f/e": 7})
		})
		Convey("when another topic becomes relevant, its values come together with the change that caused it", func() {
			mirror.Apply(limpetrelay.Relevant(map[string]bool{"desk": true, "llm": true}), changes("conf/", value("conf/1", 8)))
			u := mirror.Since(ctx, f.epoch, f.position, 0)
			So(u.Full, ShouldBeTrue)
			f.apply(u)
			So(f.values, ShouldResemble, map[string]uint64{"conf/1": 8, "f/d": 2, "f/e": 3})
		})
		Convey("topics without a value change nothing", func() {
			mirror.Apply(limpetrelay.Relevant(map[string]bool{"desk": true, "new": true}))
			So(mirror.Since(ctx, f.epoch, f.position, 0).Full, ShouldBeFalse)
		})
	})
	synctest.Test(t, func(t *testing.T) {
		mirror := limpetrelay.NewMirror("e", time.Now)
		mirror.Apply(limpetrelay.Relevant(desk), changes("conf/", value("conf/1", 1)))
		first := mirror.Since(ctx, "", 0, 0)
		start := time.Now()
		time.AfterFunc(200*time.Millisecond, func() {
			mirror.Apply(limpetrelay.Changes("f/", ofTopic("llm", value("f/e", 4))))
		})
		mirror.Since(ctx, first.Epoch, first.Position, time.Second)
		Convey("a waiting VM is not woken by a change of another topic", t, func() { So(time.Since(start), ShouldEqual, time.Second) })
	})
}

func TestMirrorWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mirror := limpetrelay.NewMirror("e1", time.Now)
		mirror.Apply(changes("x/", value("x/1", 1)))
		mirror.MarkConfirmed(time.Now())
		first := mirror.Since(context.Background(), "", 0, 0)
		start := time.Now()
		time.AfterFunc(200*time.Millisecond, func() { mirror.Apply(changes("x/", value("x/1", 2))) })
		u := mirror.Since(context.Background(), first.Epoch, first.Position, time.Second)
		waited := time.Since(start)
		u2 := mirror.Since(context.Background(), u.Epoch, u.Position, time.Second)
		Convey("a request waits for a change, and a reply without changes gives the time since the store responded", t, func() {
			So(waited, ShouldEqual, 200*time.Millisecond)
			So(len(u.Changes), ShouldEqual, 1)
			So(u2.Changes, ShouldBeEmpty)
			So(u2.Age, ShouldEqual, 1200*time.Millisecond)
		})
	})
}

func TestMirrorCoalesces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms = 100
		mirror := limpetrelay.NewMirror("e1", time.Now)
		mirror.Apply(changes("x/", value("x/1", 1)))
		first := mirror.Since(context.Background(), "", 0, 0)
		group := limpettask.New(context.Background())
		var updates, delivered atomic.Int64
		for range vms {
			group.Go(func(ctx context.Context) error {
				at := first.Position
				for limpettask.Sleep(ctx, time.Microsecond) {
					u := mirror.Since(ctx, first.Epoch, at, time.Second)
					at = u.Position
					updates.Add(1)
					delivered.Add(int64(len(u.Changes)))
				}
				return nil
			})
		}
		time.Sleep(10 * time.Millisecond)
		for n := range 30 {
			mirror.Apply(changes("x/", value(fmt.Sprint("x/n", n), uint64(10+n))))
			time.Sleep(33 * time.Millisecond)
		}
		time.Sleep(200 * time.Millisecond)
		received := delivered.Load()
		if err := group.Stop(); err != nil {
			t.Error(err)
		}
		Convey("100 VMs receive all of 30 changes per second, in fewer than 20 updates each", t, func() {
			So(received, ShouldEqual, 30*vms)
			So(updates.Load(), ShouldBeLessThan, 20*vms)
		})
	})
}

func TestMirrorLimitsFullUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms = 300
		mirror := limpetrelay.NewMirror("e1", time.Now)
		var values []limpetstore.Value
		for n := range 3000 {
			values = append(values, value(fmt.Sprint("engines/", n), uint64(n+1)))
		}
		mirror.Apply(changes("engines/", values...))
		group := limpettask.New(context.Background())
		start := time.Now()
		var mu sync.Mutex
		at := map[time.Duration]int{}
		for range vms {
			group.Go(func(ctx context.Context) error {
				u := mirror.Since(ctx, "", 0, time.Second)
				mu.Lock()
				defer mu.Unlock()
				if len(u.Changes) == len(values) {
					at[time.Since(start)]++
				}
				return nil
			})
		}
		time.Sleep(time.Second)
		if err := group.Stop(); err != nil {
			t.Error(err)
		}
		Convey("300 VMs ask a new director for 3,000 values: all get them within 0.7 s, at most 24 at a time", t, func() {
			answered := 0
			for elapsed, n := range at {
				So(n, ShouldBeLessThanOrEqualTo, 24)
				So(elapsed, ShouldBeLessThan, 700*time.Millisecond)
				answered += n
			}
			So(answered, ShouldEqual, vms)
		})
	})
}

func TestHandlers(t *testing.T) {
	ctx := context.Background()
	counted := map[int64]limpetwindow.Counts{}
	readyAddress := ""
	handlers := &limpetrelay.Handlers{
		Mirror: limpetrelay.NewMirror("e1", time.Now), IsDirector: func() bool { return true }, OnFollower: func(f limpetrelay.Follower) { readyAddress = f.Ready },
		Results: func(_ context.Context, job, account string, after int, _ time.Duration) (limpetjob.Page, bool, bool) {
			if job != "j" {
				return limpetjob.Page{}, false, false
			}
			if account != "acme" {
				return limpetjob.Page{}, true, true
			}
			return limpetjob.Page{Total: 3, Next: after + 1, Results: []limpetjob.Result{
				{ID: "i", State: limpetjob.Completed, Text: "a\nb", Versions: []int{2, 3}, Score: "s"},
			}}, false, true
		},
		Count: func(_ string, windows map[int64]limpetwindow.Counts) bool {
			for n, c := range windows {
				counted[n] = c
			}
			return true
		},
	}
	server := httptest.NewServer(handlers.Handler())
	t.Cleanup(server.Close)
	c := limpetrelay.NewClient(limpetrelay.NewHTTPClient(), server.Listener.Addr().String(), limpetrelay.Follower{Ready: "10.0.0.9:1"})
	Convey("replies of the director arrive unchanged", t, func() {
		handlers.Mirror.Apply(changes("x/", value("x/1", 7)))
		u, directing, err := c.Follow(ctx, "", 0, 0, nil)
		So(err, ShouldBeNil)
		So(directing, ShouldBeTrue)
		So(u.Changes[0].Value, ShouldResemble, value("x/1", 7))
		So(u.Feeds["x/"], ShouldEqual, 7)
		So(readyAddress, ShouldEqual, "10.0.0.9:1")
		page, denied, known, err := c.Results(ctx, "j", "acme", 1, 0)
		So(err, ShouldBeNil)
		So(known && !denied, ShouldBeTrue)
		So(page, ShouldResemble, limpetjob.Page{Total: 3, Next: 2, Results: []limpetjob.Result{
			{ID: "i", State: limpetjob.Completed, Text: "a\nb", Versions: []int{2, 3}, Score: "s"},
		}})
		_, denied, _, err = c.Results(ctx, "j", "other", 1, 0)
		So(err, ShouldBeNil)
		So(denied, ShouldBeTrue)
		_, _, known, err = c.Results(ctx, "none", "acme", 1, 0)
		So(err, ShouldBeNil)
		So(known, ShouldBeFalse)
		accepted, err := c.Count(ctx, "vm.1", map[int64]limpetwindow.Counts{4: {"acme": 2}})
		So(err, ShouldBeNil)
		So(accepted, ShouldBeTrue)
		So(counted[4]["acme"], ShouldEqual, 2)
	})
}

func TestPermits(t *testing.T) {
	asked := make(chan limpetlimit.Request, 1)
	directing := atomic.Bool{}
	handlers := &limpetrelay.Handlers{Permit: func(r limpetlimit.Request) (limpetlimit.Grant, bool) {
		asked <- r
		return limpetlimit.Grant{Server: "b", Delay: 20 * time.Millisecond, RetryAfter: 30 * time.Millisecond, VMs: 6, KnowsCold: true}, directing.Load()
	}}
	server := httptest.NewServer(handlers.Handler())
	t.Cleanup(server.Close)
	c := limpetrelay.NewClient(server.Client(), server.Listener.Addr().String(), limpetrelay.Follower{})
	now := time.Now()
	request := limpetlimit.Request{
		Servers: []string{"a", "b"}, MaxDelay: 75 * time.Millisecond, Look: true,
		Limits: []limpetlimit.Limit{{Server: "a", Incarnation: 3, Rate: 1.9, At: now.Add(-time.Second)}},
		Cold: []limpetlimit.Cold{
			{Server: "b", Service: "llm", Incarnation: 4, At: now.Add(-2 * time.Second), Until: now.Add(9 * time.Second), Presumed: true},
			{Server: "c", Service: "llm", Incarnation: 5, At: now.Add(-time.Second), Until: now.Add(-time.Second)},
			// Its time is over, but not the margin that VMs add to it.
			{Server: "d", Service: "llm", Incarnation: 6, At: now.Add(-3 * time.Second), Until: now.Add(-100 * time.Millisecond)},
		},
	}
	Convey("a request for a permit and its answer arrive as they were sent", t, func() {
		directing.Store(true)
		grant, err := c.Permit(context.Background(), request, now)
		So(err, ShouldBeNil)
		So(grant, ShouldResemble, limpetlimit.Grant{Server: "b", Delay: 20 * time.Millisecond, RetryAfter: 30 * time.Millisecond, VMs: 6, KnowsCold: true})
		got := <-asked
		So(got.Servers, ShouldResemble, request.Servers)
		So(got.MaxDelay, ShouldEqual, request.MaxDelay)
		So(got.Look, ShouldBeTrue)
		So(got.Limits[0].Rate, ShouldEqual, 1.9)
		So(got.Limits[0].Incarnation, ShouldEqual, 3)
		So(got.Limits[0].At, ShouldHappenWithin, 500*time.Millisecond, request.Limits[0].At)
		for n, want := range request.Cold {
			So(got.Cold[n].At, ShouldHappenWithin, 500*time.Millisecond, want.At)
			So(got.Cold[n].Until, ShouldHappenWithin, 500*time.Millisecond, want.Until)
			So(got.Cold[n].Until.After(got.Cold[n].At), ShouldEqual, want.Until.After(want.At))
			got.Cold[n].At, got.Cold[n].Until = want.At, want.Until
			So(got.Cold[n], ShouldResemble, want)
		}
	})
	Convey("a VM that is not the director grants nothing", t, func() {
		directing.Store(false)
		_, err := c.Permit(context.Background(), request, now)
		So(limpeterror.Is(err, limpeterror.Unavailable), ShouldBeTrue)
		<-asked
	})
}

func TestOfferAndDeliver(t *testing.T) {
	text := limpetjob.Draft{Item: "i", Pieces: []string{"a", "b"}, LastEvent: 2, Versions: []int{3, 4}, Version: 4, Software: limpetsite.SoftwareOf("llm", "v1")}
	batch := limpetexecutor.Batch{CancelRuns: []string{"old"}, Unsure: true, Orders: []limpetexecutor.Order{{
		Run: "r", Job: "j", PartialText: text, Call: limpetupstream.Call{
			Purpose: limpetupstream.ForItem, Server: &limpetsite.Server{ID: "e", Address: "10.0.0.1:1", Software: limpetsite.SoftwareOf("llm", "v1")}, ID: "i", Method: http.MethodPost, Target: "/p?x=1", Host: "h",
			Header: http.Header{"X-Model": {"m"}}, Body: []byte{0, 255}, Account: "acme", Remaining: 9 * time.Second, LastEventID: 2, Version: 4, Priority: -1,
		},
	}}}
	offer := limpetexecutor.Offer{VM: "v", Zone: "z", Session: "s", Held: []limpetexecutor.HeldRun{{Run: "q", Job: "j", Server: "e", Running: true, Text: text, LastStreamed: 2}}}
	delivery := limpetexecutor.Delivery{Session: "s", Leaving: true, Superseded: true, Progress: []limpetexecutor.Progress{{
		Run: "r", Responded: true, Version: 3, Ended: true, End: limpetexecutor.End{Ending: limpetbatch.Failed, Status: 500, Cause: "c", LastEvent: 3},
		Events: []limpetexecutor.Event{{Event: limpetupstream.Event{ID: 3, Data: "d", Version: 5}, WeightVersion: 5, Age: 1500 * time.Microsecond}},
	}}}
	var offered limpetexecutor.Offer
	var delivered limpetexecutor.Delivery
	handlers := &limpetrelay.Handlers{
		Mirror: limpetrelay.NewMirror("e1", time.Now),
		AcceptOffer: func(_ context.Context, o limpetexecutor.Offer, send func(limpetexecutor.Batch) error) error {
			offered = o
			return send(batch)
		},
		Deliver: func(_ context.Context, d limpetexecutor.Delivery) bool {
			delivered = d
			return true
		},
	}
	server := httptest.NewServer(handlers.Handler())
	t.Cleanup(server.Close)
	link := limpetrelay.NewClient(limpetrelay.NewHTTPClient(), server.Listener.Addr().String(), limpetrelay.Follower{}).Link()
	Convey("orders, held texts and progress arrive unchanged", t, func() {
		var accepted []limpetexecutor.Batch
		err := link.Offer(context.Background(), offer, func(x limpetexecutor.Batch) { accepted = append(accepted, x) })
		So(err, ShouldBeNil)
		So(accepted, ShouldResemble, []limpetexecutor.Batch{batch})
		So(offered, ShouldResemble, offer)
		known, err := link.Deliver(context.Background(), delivery)
		So(err, ShouldBeNil)
		So(known, ShouldBeTrue)
		So(delivered, ShouldResemble, delivery)
	})
}
