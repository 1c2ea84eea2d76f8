package limpetbatch_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetbatch"
	"limpetmount.org/internal/limpetlimit"
)

// Guards against incident 24, second matter, for items: a step sends as many runs
// at once as engines have slots, whatever rate they named.
func TestItemsKeepTheLimitsOfEngines(t *testing.T) {
	const (
		rate    = 1.5
		runTime = time.Second
	)
	v := view(8, map[string]int{"limited-1": 1, "limited-2": 1, "free": 1})
	s := scheduler(v)
	ledger := limpetlimit.NewLedger(1)
	limitOf := func(engine string) (limpetlimit.Limit, bool) {
		return limpetlimit.Limit{Server: engine, Rate: rate}, engine != "free"
	}
	s.Limits = limpetbatch.Limits{
		Free: func(engine string, now time.Time) bool {
			limit, limited := limitOf(engine)
			return !limited || ledger.Free(limit, now)
		},
		Take: func(engine string, now time.Time) {
			if limit, limited := limitOf(engine); limited {
				ledger.Take(limit, now)
			}
		},
	}
	var groups [][]int
	for range 30 {
		groups = append(groups, []int{100, 100})
	}
	s.AddJob(job("j", 30, groups...), rules, nil, epoch)
	starts := map[string][]time.Duration{}
	ends := map[*limpetbatch.Run]time.Duration{}
	committed := 0
	var whole time.Duration
	for passed := time.Duration(0); passed < 20*time.Second && committed < 60; passed += 25 * time.Millisecond {
		for _, r := range s.Dispatch(v, at(passed)) {
			starts[r.Server.ID] = append(starts[r.Server.ID], passed)
			ends[r] = passed + runTime
		}
		for r, end := range ends {
			if passed >= end {
				delete(ends, r)
				finish(s, r, 2, 1, at(passed))
			}
		}
		committed += len(commitAll(s))
		whole = passed
	}
	Convey("limited engines get what they take, the other one the rest", t, func() {
		So(committed, ShouldEqual, 60)
		// 8 runs a second at the free engine and 1.5 at each of the others.
		So(whole, ShouldBeLessThanOrEqualTo, 7*time.Second)
		for _, engine := range []string{"limited-1", "limited-2"} {
			So(len(starts[engine]), ShouldBeGreaterThanOrEqualTo, int(0.8*rate*whole.Seconds()))
			for n := range starts[engine] {
				inWindow := 0
				for _, other := range starts[engine][n:] {
					if other-starts[engine][n] <= 4*time.Second {
						inWindow++
					}
				}
				So(fmt.Sprint(engine, " ", inWindow <= 4*1.5*rate+5), ShouldEqual, engine+" true")
			}
		}
	})
}
