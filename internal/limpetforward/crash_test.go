package limpetforward_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetcrash"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetforward"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetstub"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetupstream"
)

func disconnects(context.Context, limpetupstream.Call) (*limpetupstream.Reply, error) {
	return nil, limpeterror.Disconnected.New("reset")
}

// crashLimit is the number of servers that a request may crash.
const crashLimit = 3

// withBook runs f in a bubble with a fixture whose forwarder knows crashing
// requests. All servers that are asked are in the given condition.
func withBook(t *testing.T, kind limpetsite.Kind, condition limpetupstream.Condition, behaviors []behavior, f func(x *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		x := newFixture(kind, behaviors...)
		group := limpettask.New(context.Background())
		x.Crashes = limpetcrash.New(limpetcrash.Deps{
			VM: "vm", Store: limpetstub.NewStore().Client(), View: x.View, Log: limpetlog.Discard(), Metrics: prometheus.NewRegistry(), Now: time.Now,
			Check: func(context.Context, *limpetsite.Server, string) limpetupstream.Condition { return condition },
		})
		group.Go(x.Crashes.Run)
		f(x)
		time.Sleep(time.Minute)
		if err := group.Stop(); err != nil {
			t.Error(err)
		}
	})
}

// repeat returns n times the same behavior.
func repeat(n int, b behavior) []behavior {
	all := make([]behavior, n)
	for i := range all {
		all[i] = b
	}
	return all
}

// readAll reads a stream to its end, and returns the number of its events.
func readAll(reply *limpetupstream.Reply) (events int, err error) {
	for {
		if _, err := reply.Events(); err != nil {
			return events, err
		}
		events++
	}
}

// Guards against incident 21: each of these paths had a budget for one attempt
// of the caller only.
func TestCrashingRequestIsQuarantinedOnEachPath(t *testing.T) {
	// breaksAfter responds with a stream that breaks after a number of events.
	breaksAfter := func(events int) behavior {
		return func(ctx context.Context, c limpetupstream.Call) (*limpetupstream.Reply, error) {
			return streamOf(c.LastEventID+1, c.LastEventID+events, limpeterror.Disconnected.New("reset"))(ctx, c)
		}
	}
	for _, c := range []struct {
		name     string
		kind     limpetsite.Kind
		behavior behavior
		// maxSends is the number of attempts that may reach a server.
		maxSends int
	}{
		{"idempotent", limpetsite.Idempotent, disconnects, crashLimit},
		{"idempotent and slow, so that it would be hedged", limpetsite.Idempotent, delayed(100*time.Millisecond, disconnects), crashLimit},
		{"not idempotent", limpetsite.Once, disconnects, crashLimit},
		{"a stream that breaks before an event", limpetsite.Stream, breaksAfter(0), crashLimit},
		{"a stream that breaks after two events", limpetsite.Stream, breaksAfter(2), 2 * crashLimit},
	} {
		t.Run(c.name, func(t *testing.T) {
			withBook(t, c.kind, limpetupstream.Ended, repeat(20, c.behavior), func(x *fixture) {
				var last limpetforward.Answer
				for n := range 10 {
					r := request("/k/x", "key")
					r.ID = fmt.Sprint("r", n)
					last = x.Forward(context.Background(), r)
					if last.Reply != nil && last.Reply.Events != nil {
						_, _ = readAll(last.Reply)
						last.Reply.Close()
					}
					time.Sleep(time.Second)
					for server := range x.View().AllServers() {
						x.restart(server)
					}
				}
				calls, _, _ := x.recorded()
				Convey("only as many repetitions as allowed reach a server: "+c.name, t, func() {
					So(len(calls), ShouldBeGreaterThanOrEqualTo, crashLimit)
					So(len(calls), ShouldBeLessThanOrEqualTo, c.maxSends)
					So(last.Reason.String(), ShouldEqual, limpetforward.Quarantined.String())
					So(last.RetryAfter, ShouldBeGreaterThan, time.Second)
					So(last.Fingerprint, ShouldNotEqual, uint64(0))
				})
			})
		})
	}
}

func TestNoAttemptAfterTheLastAllowedCrash(t *testing.T) {
	withBook(t, limpetsite.Idempotent, limpetupstream.Ended, repeat(8, disconnects), func(x *fixture) {
		x.setAttempts(8)
		a := x.Forward(context.Background(), request("/k/x", "key"))
		calls, _, _ := x.recorded()
		Convey("a request with many attempts left is not sent on after the third crash, and may have run", t, func() {
			So(len(calls), ShouldEqual, crashLimit)
			So(a.Reason.String(), ShouldEqual, limpetforward.Failed.String())
		})
	})
}

func TestBrokenAttemptsAtLiveServers(t *testing.T) {
	withBook(t, limpetsite.Idempotent, limpetupstream.Alive, append(repeat(5, disconnects), repliesWith(200)), func(x *fixture) {
		x.setAttempts(6)
		began := time.Now()
		a := x.Forward(context.Background(), request("/k/x", "key"))
		took := time.Since(began)
		Convey("a request whose connections are reset by live servers is tried on", t, func() {
			So(a.Reason.String(), ShouldEqual, limpetforward.Served.String())
			So(took, ShouldBeLessThan, 100*time.Millisecond)
			So(x.Crashes.Empty(), ShouldBeTrue)
		})
	})
}

func TestOtherRequestsAreNotQuarantined(t *testing.T) {
	withBook(t, limpetsite.Idempotent, limpetupstream.Ended, append(repeat(3, disconnects), repliesWith(200)), func(x *fixture) {
		for range 2 {
			x.Forward(context.Background(), request("/k/x", "key"))
		}
		Convey("requests with another path, query, method or body are served", t, func() {
			So(x.Forward(context.Background(), request("/k/x", "key")).Reason.String(), ShouldEqual, limpetforward.Quarantined.String())
			for _, change := range []func(r *limpetforward.Request){
				func(r *limpetforward.Request) { r.Path, r.Target = "/k/y", "/k/y" },
				func(r *limpetforward.Request) { r.Target = "/k/x?page=2" },
				func(r *limpetforward.Request) { r.Method = "PUT" },
				func(r *limpetforward.Request) { r.Body = []byte("other") },
			} {
				r := request("/k/x", "key")
				change(r)
				So(x.Forward(context.Background(), r).Reason.String(), ShouldEqual, limpetforward.Served.String())
			}
		})
	})
}

func TestSuspectsAreNotHedged(t *testing.T) {
	slow := delayed(400*time.Millisecond, repliesWith(200))
	withBook(t, limpetsite.Idempotent, limpetupstream.Ended, []behavior{disconnects, slow, slow, slow}, func(x *fixture) {
		a := x.Forward(context.Background(), request("/k/x", "key"))
		calls, _, _ := x.recorded()
		Convey("a request that crashed a server goes to one other server at a time, and is cleared once it is served", t, func() {
			So(a.Reason.String(), ShouldEqual, limpetforward.Served.String())
			So(len(calls), ShouldEqual, 2)
			synctest.Wait()
			So(x.Crashes.Empty(), ShouldBeTrue)
		})
	})
}

func TestOwnRequestsAreOwed(t *testing.T) {
	withBook(t, limpetsite.Idempotent, limpetupstream.Ended, append(repeat(9, disconnects), repliesWith(200)), func(x *fixture) {
		var last limpetforward.Answer
		for range 5 {
			r := request("/k/x", "")
			last, _ = x.ForwardInternal(context.Background(), r)
			time.Sleep(time.Second)
		}
		calls, _, _ := x.recorded()
		Convey("a request of the system itself is sent on, whatever crashes under it", t, func() {
			So(last.Reason.String(), ShouldEqual, limpetforward.Served.String())
			So(len(calls), ShouldEqual, 10)
			So(x.Crashes.Empty(), ShouldBeTrue)
		})
	})
}

// Guards against incident 24: the failure of one server cleared a request that
// had crashed another one.
func TestServerErrorsDoNotClearSuspects(t *testing.T) {
	for _, status := range []int{500, 502, 504} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			withBook(t, limpetsite.Idempotent, limpetupstream.Ended, append([]behavior{disconnects}, repeat(8, repliesWith(status))...), func(x *fixture) {
				x.Forward(context.Background(), request("/k/x", "key"))
				synctest.Wait()
				Convey(fmt.Sprintf("a request that crashed a server stays a suspect after a status of %d", status), t, func() {
					So(x.Crashes.Empty(), ShouldBeFalse)
				})
			})
		})
	}
}

func TestStreamsThatGoOnAreServed(t *testing.T) {
	withBook(t, limpetsite.Stream, limpetupstream.Ended, []behavior{
		streamOf(1, 3, limpeterror.Disconnected.New("reset")), streamOf(4, 6, io.EOF),
	}, func(x *fixture) {
		a := x.Forward(context.Background(), request("/k/x", "key"))
		events, err := readAll(a.Reply)
		synctest.Wait()
		Convey("a stream that another server completes clears its request", t, func() {
			So(events, ShouldEqual, 6)
			So(errors.Is(err, io.EOF), ShouldBeTrue)
			So(x.Crashes.Empty(), ShouldBeTrue)
		})
	})
}
