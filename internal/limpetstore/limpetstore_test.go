package limpetstore_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpetstub"
)

// implementations returns, for each way to reach a store stub, a function that
// opens a new one. The contract tests run with each.
func implementations(t *testing.T) map[string]func() (*limpetstub.Store, limpetstore.Store) {
	return map[string]func() (*limpetstub.Store, limpetstore.Store){
		"direct": func() (*limpetstub.Store, limpetstore.Store) {
			s := limpetstub.NewStore()
			return s, s.Client()
		},
		"http": func() (*limpetstub.Store, limpetstore.Store) {
			s := limpetstub.NewStore()
			server := httptest.NewServer(s.Handler())
			t.Cleanup(server.Close)
			return s, limpetstore.NewHTTP(server.URL)
		},
	}
}

func TestStoreContract(t *testing.T) {
	ctx := context.Background()
	for name, open := range implementations(t) {
		t.Run(name, func(t *testing.T) {
			Convey("reads, conditional writes, watches and the size limit follow the contract", t, func() {
				_, s := open()
				_, err := s.Get(ctx, "a")
				So(limpeterror.Is(err, limpeterror.NotFound), ShouldBeTrue)
				first, err := s.Put(ctx, limpetstore.PutRequest{Key: "a", Data: []byte("1")})
				So(err, ShouldBeNil)
				_, err = s.Put(ctx, limpetstore.PutRequest{Key: "a", Data: []byte("2")})
				So(limpeterror.Is(err, limpeterror.Conflict), ShouldBeTrue)
				second, err := s.Put(ctx, limpetstore.PutRequest{Key: "a", Data: []byte("2"), Expect: first})
				So(err, ShouldBeNil)
				So(second, ShouldBeGreaterThan, first)
				v, err := s.Get(ctx, "a")
				So(err, ShouldBeNil)
				So(string(v.Data), ShouldEqual, "2")
				values, err := s.List(ctx, "")
				So(err, ShouldBeNil)
				So(len(values), ShouldEqual, 1)
				events, err := s.Watch(ctx, "a", first, time.Second)
				So(err, ShouldBeNil)
				So(events[0].Revision, ShouldEqual, second)
				events, err = s.Watch(ctx, "a", second, 10*time.Millisecond)
				So(err, ShouldBeNil)
				So(events, ShouldBeEmpty)
				So(limpeterror.Is(s.Delete(ctx, "a", first), limpeterror.Conflict), ShouldBeTrue)
				So(s.Delete(ctx, "a", second), ShouldBeNil)
				_, err = s.Put(ctx, limpetstore.PutRequest{Key: "big", Data: make([]byte, limpetstore.MaxValue+1)})
				So(limpeterror.Is(err, limpeterror.Invalid), ShouldBeTrue)
			})
			Convey("revoking a lease deletes its keys", t, func() {
				_, s := open()
				lease, err := s.Grant(ctx, time.Minute)
				So(err, ShouldBeNil)
				_, err = s.Put(ctx, limpetstore.PutRequest{Key: "d", Lease: lease})
				So(err, ShouldBeNil)
				So(s.Renew(ctx, lease), ShouldBeNil)
				So(s.Revoke(ctx, lease), ShouldBeNil)
				_, err = s.Get(ctx, "d")
				So(limpeterror.Is(err, limpeterror.NotFound), ShouldBeTrue)
				So(limpeterror.Is(s.Renew(ctx, lease), limpeterror.NotFound), ShouldBeTrue)
			})
		})
	}
}

func TestCallOutcomes(t *testing.T) {
	ctx := context.Background()
	for _, c := range []struct {
		fault   limpetstub.Fault
		outcome limpetstore.Outcome
		applied bool
	}{
		{limpetstub.NoFault, limpetstore.Done, true},
		{limpetstub.Refused, limpetstore.NotDone, false},
		{limpetstub.RequestLost, limpetstore.Unknown, false},
		{limpetstub.ReplyLost, limpetstore.Unknown, true},
	} {
		for name, open := range implementations(t) {
			t.Run(fmt.Sprintf("%s/%d", name, c.fault), func(t *testing.T) {
				Convey("the error of a write tells whether it took effect", t, func() {
					stub, s := open()
					stub.Fault = func(kind, _ string) limpetstub.Fault {
						if kind == "put" {
							return c.fault
						}
						return limpetstub.NoFault
					}
					_, err := s.Put(ctx, limpetstore.PutRequest{Key: "k"})
					So(limpetstore.OutcomeOf(err), ShouldEqual, c.outcome)
					_, err = s.Get(ctx, "k")
					So(err == nil, ShouldEqual, c.applied)
				})
			})
		}
	}
}

// faultSequence returns a fault function that injects the given faults into the
// first calls of a kind.
func faultSequence(kind string, faults ...limpetstub.Fault) func(string, string) limpetstub.Fault {
	return func(k, _ string) limpetstub.Fault {
		if k != kind || len(faults) == 0 {
			return limpetstub.NoFault
		}
		f := faults[0]
		faults = faults[1:]
		return f
	}
}

func TestUpdateAppliesOnce(t *testing.T) {
	for _, c := range []struct {
		name   string
		kind   string
		faults []limpetstub.Fault
	}{
		{"no fault", "put", nil},
		{"put refused", "put", []limpetstub.Fault{limpetstub.Refused}},
		{"put lost before its effect", "put", []limpetstub.Fault{limpetstub.RequestLost, limpetstub.RequestLost}},
		{"put lost after its effect", "put", []limpetstub.Fault{limpetstub.ReplyLost}},
		{"puts lost before, then after their effect", "put", []limpetstub.Fault{limpetstub.RequestLost, limpetstub.ReplyLost}},
		{"read refused", "get", []limpetstub.Fault{limpetstub.Refused, limpetstub.Refused}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				Convey("a retried append has its effect once", t, func() {
					stub := limpetstub.NewStore()
					stub.Fault = faultSequence(c.kind, c.faults...)
					ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
					defer cancel()
					v, err := stub.Client().Update(ctx, "k",
						func(v limpetstore.Value) ([]byte, error) { return append(v.Data, 'x'), nil },
						func(v limpetstore.Value) bool { return len(v.Data) > 0 })
					So(err, ShouldBeNil)
					So(string(v.Data), ShouldEqual, "x")
				})
			})
		})
	}
}

func TestUpdateErrorAfterTimeout(t *testing.T) {
	for _, c := range []struct {
		name    string
		fault   limpetstub.Fault
		unknown bool
	}{
		{"every put refused", limpetstub.Refused, false},
		{"every put lost", limpetstub.RequestLost, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				Convey("the error tells whether the update may have taken effect", t, func() {
					stub := limpetstub.NewStore()
					stub.Fault = func(kind, _ string) limpetstub.Fault {
						if kind == "put" {
							return c.fault
						}
						return limpetstub.NoFault
					}
					ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
					defer cancel()
					_, err := stub.Client().Update(ctx, "k",
						func(limpetstore.Value) ([]byte, error) { return []byte("x"), nil },
						func(v limpetstore.Value) bool { return v.Revision != 0 })
					So(limpeterror.Is(err, limpeterror.Unknown), ShouldEqual, c.unknown)
					So(limpeterror.Is(err, limpeterror.Unavailable), ShouldEqual, !c.unknown)
				})
			})
		})
	}
}
