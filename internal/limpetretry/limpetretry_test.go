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
		{"never left", limpeterror.Unavailable.New("x"), false, true},
		{"may have run", limpeterror.Unknown.New("x"), false, false},
		{"may have run, idempotent", limpeterror.Unknown.New("x"), true, true},
		{"unknown around a refusal", limpeterror.Unknown.Wrap(limpeterror.Unavailable.New("x"), "y"), false, false},
		{"refused for good", limpeterror.Invalid.New("x"), true, false},
		{"overloaded", limpeterror.Overloaded.New("x"), true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			Convey("only what is harmless is tried again", t, func() {
				So(limpetretry.Allowed(c.err, c.idempotent), ShouldEqual, c.want)
			})
		})
	}
}

func TestBudget(t *testing.T) {
	Convey("when all fails, retries stay a tenth of the traffic", t, func() {
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

func TestPause(t *testing.T) {
	Convey("pauses stay within their exponential limit", t, func() {
		for n := 1; n < 100; n++ {
			So(limpetretry.Pause(n, time.Millisecond, time.Second), ShouldBeBetweenOrEqual, 0, min(time.Millisecond<<min(n-1, 20), time.Second))
		}
	})
}
