package limpetforward_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetbalance"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetforward"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetmetric"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetupstream"
)

// A reaction is how a stand-in server reacts to a call.
type reaction func(ctx context.Context, c limpetupstream.Call) (*limpetupstream.Reply, error)

func answers(status int) reaction {
	return func(context.Context, limpetupstream.Call) (*limpetupstream.Reply, error) {
		return &limpetupstream.Reply{Status: status, Signature: "seal", Close: func() {}}, nil
	}
}

func after(d time.Duration, next reaction) reaction {
	return func(ctx context.Context, c limpetupstream.Call) (*limpetupstream.Reply, error) {
		select {
		case <-time.After(d):
			return next(ctx, c)
		case <-ctx.Done():
			return nil, limpeterror.Unknown.Wrap(ctx.Err(), "server")
		}
	}
}

func refuses(context.Context, limpetupstream.Call) (*limpetupstream.Reply, error) {
	return &limpetupstream.Reply{Status: http.StatusServiceUnavailable, NotRun: true, Close: func() {}}, nil
}

func breaks(context.Context, limpetupstream.Call) (*limpetupstream.Reply, error) {
	return nil, limpeterror.Unknown.New("reset")
}

func absent(context.Context, limpetupstream.Call) (*limpetupstream.Reply, error) {
	return nil, limpeterror.Unavailable.New("no listener")
}

// A site holds a forwarder before stand-in servers.
type site struct {
	*limpetforward.Forwarder
	mu    sync.Mutex
	calls []limpetupstream.Call
	began []string
	ended int
}

// newSite returns servers that react in the order in which they are tried.
func newSite(kind limpetsite.Kind, reactions ...reaction) *site {
	s := &site{}
	state := limpetsite.NewState()
	for n := range reactions {
		id := string(rune('a' + n))
		state.Apply(limpetsite.Record{Key: limpetsite.ServerKey + id, Revision: uint64(n + 2), Server: &limpetsite.Server{
			ID: id, Service: "desk", Address: id, Zone: "z", Slots: 4,
		}}, time.Now())
	}
	state.Apply(limpetsite.Record{Key: "config", Revision: 1, Config: &limpetsite.Config{
		Routes: []limpetsite.Route{
			{Name: "keyed", Host: "h", Prefix: "/k/", Targets: []limpetsite.Target{{Service: "desk", Weight: 1}}, Kind: kind, Attempts: 2, Timeout: time.Second, Goal: 150 * time.Millisecond, Resumable: kind == limpetsite.Stream},
			{Name: "lost", Host: "h", Prefix: "/l/", Targets: []limpetsite.Target{{Service: "none", Weight: 1}}, Kind: kind, Attempts: 2, Open: true},
		},
		Accounts: []limpetsite.Account{{Name: "acme", Keys: [][32]byte{limpetsite.HashKey("key")}}},
	}}, time.Now())
	view := state.Snapshot()
	s.Forwarder = &limpetforward.Forwarder{
		Zone: "z", View: func() *limpetsite.Snapshot { return view }, Tracker: limpetbalance.New(),
		Log: limpetlog.Discard(), Metrics: limpetmetric.New(), Now: time.Now,
		Began: func(account string, _ time.Time) { s.mu.Lock(); s.began = append(s.began, account); s.mu.Unlock() },
		Peer: limpetupstream.Peer{Send: func(ctx context.Context, c limpetupstream.Call) (*limpetupstream.Reply, error) {
			s.mu.Lock()
			n := len(s.calls)
			s.calls = append(s.calls, c)
			s.mu.Unlock()
			defer func() { s.mu.Lock(); s.ended++; s.mu.Unlock() }()
			return reactions[min(n, len(reactions)-1)](ctx, c)
		}},
	}
	return s
}

// seen returns the calls so far, how many of them ended, and the accounts
// whose requests were counted.
func (s *site) seen() (calls []limpetupstream.Call, ended int, began []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls), s.ended, slices.Clone(s.began)
}

func request(path, key string) *limpetforward.Request {
	return &limpetforward.Request{
		ID: "r1", Method: http.MethodPost, Target: path, Path: path, Host: "h", Header: http.Header{}, Key: key,
		Arrived: time.Now(), Patience: 2 * time.Second,
	}
}

func TestWhatTheCallerIsTold(t *testing.T) {
	for _, c := range []struct {
		name      string
		kind      limpetsite.Kind
		reactions []reaction
		path, key string
		want      limpetforward.Reason
		status    int
		sends     int
		within    time.Duration
	}{
		{"a good answer", limpetsite.Idempotent, []reaction{answers(200)}, "/k/x", "key", limpetforward.Served, 200, 1, 0},
		{"no key", limpetsite.Idempotent, []reaction{answers(200)}, "/k/x", "", limpetforward.NoKey, 0, 0, 0},
		{"a wrong key", limpetsite.Idempotent, []reaction{answers(200)}, "/k/x", "other", limpetforward.NoKey, 0, 0, 0},
		{"no route", limpetsite.Idempotent, []reaction{answers(200)}, "/x/", "key", limpetforward.NoRoute, 0, 0, 0},
		{"a service without servers is refused at once", limpetsite.Idempotent, []reaction{answers(200)}, "/l/x", "", limpetforward.NoServer, 0, 0, 0},
		{"a broken answer is tried elsewhere", limpetsite.Idempotent, []reaction{breaks, answers(200)}, "/k/x", "key", limpetforward.Served, 200, 2, 0},
		{"a request that may run once is not", limpetsite.Once, []reaction{breaks, answers(200)}, "/k/x", "key", limpetforward.Failed, 0, 1, 0},
		{"a refusal is tried elsewhere, also once", limpetsite.Once, []reaction{refuses, answers(200)}, "/k/x", "key", limpetforward.Served, 200, 2, 0},
		{"what never left is tried elsewhere, also once", limpetsite.Once, []reaction{absent, answers(200)}, "/k/x", "key", limpetforward.Served, 200, 2, 0},
		{"all full is not run", limpetsite.Once, []reaction{refuses, refuses}, "/k/x", "key", limpetforward.Busy, 0, 2, 0},
		{"attempts are bounded", limpetsite.Idempotent, []reaction{breaks, breaks, answers(200)}, "/k/x", "key", limpetforward.Failed, 0, 2, 0},
		{"a server's failure is passed on when none does better", limpetsite.Idempotent, []reaction{answers(500), breaks}, "/k/x", "key", limpetforward.Served, 500, 2, 0},
		{"the route's timeout ends it as unknown", limpetsite.Once, []reaction{after(time.Hour, answers(200))}, "/k/x", "key", limpetforward.TimedOut, 0, 1, time.Second},
		{"a slow server is overtaken by a second one", limpetsite.Idempotent, []reaction{after(900*time.Millisecond, answers(200)), answers(200)}, "/k/x", "key", limpetforward.Served, 200, 2, 100 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(c.kind, c.reactions...)
				began := time.Now()
				a := s.Forward(context.Background(), request(c.path, c.key))
				took := time.Since(began)
				time.Sleep(2 * time.Hour)
				calls, ended, _ := s.seen()
				Convey(c.name, t, func() {
					So(a.Reason.String(), ShouldEqual, c.want.String())
					So(len(calls), ShouldEqual, c.sends)
					So(ended, ShouldEqual, c.sends)
					So(took, ShouldBeLessThanOrEqualTo, c.within)
					if c.status != 0 {
						So(a.Reply.Status, ShouldEqual, c.status)
					}
				})
			})
		})
	}
}

func TestDeadlinesShrink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(limpetsite.Idempotent, after(40*time.Millisecond, breaks), answers(200))
		s.Forward(context.Background(), request("/k/x", "key"))
		calls, _, _ := s.seen()
		Convey("a later attempt is given what is left, and no key", t, func() {
			So(calls[0].Remaining, ShouldEqual, time.Second)
			So(calls[1].Remaining, ShouldEqual, 960*time.Millisecond)
			So(calls[1].Account, ShouldEqual, "acme")
		})
	})
}

func TestUsageIsCountedOnce(t *testing.T) {
	for name, reactions := range map[string][]reaction{
		"tried twice": {breaks, answers(200)},
		"hedged":      {after(100*time.Millisecond, answers(200)), after(100*time.Millisecond, answers(200))},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(limpetsite.Idempotent, reactions...)
			s.Forward(context.Background(), request("/k/x", "key"))
			time.Sleep(time.Minute)
			_, _, began := s.seen()
			Convey("a request counts once: "+name, t, func() { So(began, ShouldResemble, []string{"acme"}) })
		})
	}
	synctest.Test(t, func(t *testing.T) {
		s := newSite(limpetsite.Idempotent, refuses, refuses)
		s.Forward(context.Background(), request("/k/x", "key"))
		_, _, began := s.seen()
		Convey("a request that did not run does not count", t, func() { So(began, ShouldBeEmpty) })
	})
}

func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(limpetsite.Once, after(time.Hour, answers(200)))
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(200*time.Millisecond, cancel)
		a := s.Forward(ctx, request("/k/x", "key"))
		synctest.Wait()
		_, ended, _ := s.seen()
		Convey("the server's work ends with the caller", t, func() {
			So(a.Reason.String(), ShouldEqual, limpetforward.CallerGone.String())
			So(ended, ShouldEqual, 1)
		})
	})
}

// stream returns events from one number to another and then ends with err.
func stream(from, to int, err error) reaction {
	return func(_ context.Context, _ limpetupstream.Call) (*limpetupstream.Reply, error) {
		n := from - 1
		return &limpetupstream.Reply{Status: 200, Signature: "seal", Close: func() {}, Events: func() (limpetupstream.Event, error) {
			if n == to {
				return limpetupstream.Event{}, err
			}
			n++
			return limpetupstream.Event{ID: n, Data: "x"}, nil
		}}, nil
	}
}

func TestStreamGoesOnElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(limpetsite.Stream, stream(1, 3, errors.New("reset")), stream(4, 6, io.EOF))
		a := s.Forward(context.Background(), request("/k/x", "key"))
		var ids []int
		var err error
		for err == nil {
			var e limpetupstream.Event
			if e, err = a.Reply.Events(); err == nil {
				ids = append(ids, e.ID)
			}
		}
		calls, _, _ := s.seen()
		Convey("the caller gets each event once, to the end", t, func() {
			So(errors.Is(err, io.EOF), ShouldBeTrue)
			So(ids, ShouldResemble, []int{1, 2, 3, 4, 5, 6})
			So(calls[1].After, ShouldEqual, 3)
		})
	})
}
