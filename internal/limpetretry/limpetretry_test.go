package limpetretry_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetretry"
)

func TestAllowed(t *testing.T) {
	for _, c := range []struct {
		name       string
		err        error
		idempotent bool
		want       bool
	}{
		{"not sent", limpeterror.Unavailable.New("x"), false, true},
		{"may have run", limpeterror.Unknown.New("x"), false, false},
		{"may have run, idempotent", limpeterror.Unknown.New("x"), true, true},
		{"unknown that wraps unavailable", limpeterror.Unknown.Wrap(limpeterror.Unavailable.New("x"), "y"), false, false},
		{"invalid", limpeterror.Invalid.New("x"), true, false},
		{"overloaded", limpeterror.Overloaded.New("x"), true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			Convey("a retry is allowed only if it cannot run a request twice or the request is idempotent", t, func() {
				So(limpetretry.Allowed(c.err, c.idempotent), ShouldEqual, c.want)
			})
		})
	}
}

func TestBudget(t *testing.T) {
	Convey("failures consume the budget, and 100 successes at ratio 0.1 refill it by about 10", t, func() {
		b := limpetretry.NewBudget(0.1, 10)
		retries := 0
		for range 1000 {
			if b.Take() {
				retries++
			}
		}
		So(retries, ShouldEqual, 10)
		for range 100 {
			b.Success()
		}
		for b.Take() {
			retries++
		}
		So(retries, ShouldBeBetween, 18, 21)
	})
}

func TestBackoff(t *testing.T) {
	Convey("delays stay below the exponential limit", t, func() {
		for n := 1; n < 100; n++ {
			So(limpetretry.Backoff(n, time.Millisecond, time.Second), ShouldBeBetweenOrEqual, 0, min(time.Millisecond<<min(n-1, 20), time.Second))
		}
	})
}
