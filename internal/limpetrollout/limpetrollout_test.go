package limpetrollout_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"limpetmount.org/internal/limpetrollout"
)

func TestLabels(t *testing.T) {
	type tokenLabel struct {
		index       int
		version     uint64
		incarnation string
	}
	for _, c := range []struct {
		name   string
		labels []tokenLabel
		want   []limpetrollout.VersionRange
	}{
		{"one version", []tokenLabel{{0, 1, "a"}, {1, 1, "a"}}, []limpetrollout.VersionRange{{From: 0, To: 2, Version: 1, Incarnation: "a"}}},
		{"new weights in the middle", []tokenLabel{{0, 1, "a"}, {1, 2, "a"}}, []limpetrollout.VersionRange{{From: 0, To: 1, Version: 1, Incarnation: "a"}, {From: 1, To: 2, Version: 2, Incarnation: "a"}}},
		{"resumed at an engine with older weights", []tokenLabel{{0, 2, "a"}, {1, 1, "b"}}, []limpetrollout.VersionRange{{From: 0, To: 1, Version: 2, Incarnation: "a"}, {From: 1, To: 2, Version: 1, Incarnation: "b"}}},
		{"version decreases in one incarnation", []tokenLabel{{0, 2, "a"}, {1, 1, "a"}}, nil},
		{"no label", []tokenLabel{{0, 1, "a"}, {1, 0, ""}}, nil},
		{"a gap", []tokenLabel{{0, 1, "a"}, {2, 1, "a"}}, nil},
		{"a token twice", []tokenLabel{{0, 1, "a"}, {0, 1, "a"}}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			Convey("ranges label each token, or the stream is rejected", t, func() {
				var l limpetrollout.Labels
				var err error
				for _, m := range c.labels {
					if err = l.Add(m.index, m.version, m.incarnation); err != nil {
						break
					}
				}
				So(err != nil, ShouldEqual, c.want == nil)
				if c.want != nil {
					So(l.Ranges, ShouldResemble, c.want)
				}
			})
		})
	}
}

func TestFresh(t *testing.T) {
	for _, c := range []struct {
		published, oldest uint64
		bound             int
		fresh             bool
	}{
		{5, 5, 0, true}, {5, 4, 0, false}, {5, 3, 2, true}, {5, 2, 2, false}, {0, 1, 0, true}, {3, 0, 5, false},
	} {
		Convey("the bound counts published versions", t, func() {
			So(limpetrollout.Fresh(c.published, c.oldest, c.bound), ShouldEqual, c.fresh)
		})
	}
}

func TestStragglers(t *testing.T) {
	now := time.Now()
	durations := []time.Duration{time.Second, time.Second, time.Second, time.Second}
	running := func(age time.Duration, attempts int) limpetrollout.RunningSample {
		return limpetrollout.RunningSample{Started: now.Add(-age), Attempts: attempts}
	}
	for _, c := range []struct {
		name     string
		running  []limpetrollout.RunningSample
		finished []time.Duration
		want     int
	}{
		{"slow tail", []limpetrollout.RunningSample{running(3*time.Second, 1)}, durations, 1},
		{"not yet slow", []limpetrollout.RunningSample{running(time.Second, 1)}, durations, 0},
		{"has a duplicate", []limpetrollout.RunningSample{running(3*time.Second, 2)}, durations, 0},
		{"too few finished samples", []limpetrollout.RunningSample{running(3*time.Second, 1)}, durations[:2], 0},
		{"a quarter of the step", []limpetrollout.RunningSample{running(3*time.Second, 1), running(3*time.Second, 1)}, durations, 2},
		{"not the tail", []limpetrollout.RunningSample{running(3*time.Second, 1), running(3*time.Second, 1), running(3*time.Second, 1)}, durations, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			Convey("only slow samples in the tail are duplicated", t, func() {
				So(len(limpetrollout.Stragglers(c.running, c.finished, 10, now)), ShouldEqual, c.want)
			})
		})
	}
}

// TestLedgerDeliversOnce makes random calls to a ledger and checks that a
// trainer that follows the protocol gets each sample once and within the
// staleness bound.
func TestLedgerDeliversOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const samples, bound = 20, 1
		var l limpetrollout.Ledger
		l.OpenSession("t")
		if err := l.AddStep(limpetrollout.Step{Number: 1, Samples: samples, Digest: "d"}); err != nil {
			t.Fatal(err)
		}
		version := uint64(1)
		if err := l.Publish(version); err != nil {
			t.Fatal(err)
		}
		var delivered []limpetrollout.BatchEntry
		accepted := map[int]int{}
		for round := 0; l.HasOpenSteps() && round < 200; round++ {
			if rapid.IntRange(0, 4).Draw(t, "publish") == 0 {
				version++
				_ = l.Publish(version)
			}
			if rapid.Bool().Draw(t, "repeat") && l.Cursor > 0 {
				lost := rapid.IntRange(0, 2).Draw(t, "lost")
				l.PruneBatch(func(b limpetrollout.BatchEntry) bool { return lost == 0 || b.Number%lost == 0 }, bound)
				delivered = l.Batch
				for _, b := range delivered {
					if !limpetrollout.Fresh(l.Published, b.Oldest, bound) {
						t.Fatalf("stale sample %d handed over", b.Number)
					}
				}
				continue
			}
			var ready []limpetrollout.BatchEntry
			for n := range samples {
				// Delivered samples are offered again, as by a late attempt.
				if rapid.IntRange(0, 2).Draw(t, "ready") > 0 {
					age := rapid.Uint64Range(0, 2).Draw(t, "age")
					ready = append(ready, limpetrollout.BatchEntry{Step: 1, Number: n, Oldest: version - min(age, version-1)})
				}
			}
			if err := l.Advance(l.Cursor+1, ready, bound); err != nil {
				t.Fatal(err)
			}
			for _, b := range delivered {
				accepted[b.Number]++
			}
			delivered = append([]limpetrollout.BatchEntry{}, l.Batch...)
			for _, b := range delivered {
				if !limpetrollout.Fresh(l.Published, b.Oldest, bound) {
					t.Fatalf("stale sample %d handed over", b.Number)
				}
			}
		}
		for n, times := range accepted {
			if times != 1 {
				t.Fatalf("sample %d accepted %d times", n, times)
			}
		}
		if !l.HasOpenSteps() && len(accepted) != samples {
			t.Fatalf("step ended after %d of %d samples", len(accepted), samples)
		}
	})
}

func FuzzDecodeLedger(f *testing.F) {
	f.Add([]byte(`{"session":1,"cursor":2,"batch":[{"step":1,"number":3}],"steps":[{"number":1,"samples":9,"delivered":"AAA="}]}`))
	f.Add([]byte(`{"steps":[{"number":1,"samples":99}]}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		l, err := limpetrollout.DecodeLedger(data)
		if err != nil {
			return
		}
		_ = l.Advance(l.Cursor+1, []limpetrollout.BatchEntry{{Step: 1, Number: 0, Oldest: 1}}, 1)
		l.PruneBatch(func(limpetrollout.BatchEntry) bool { return false }, 1)
		l.HasOpenSteps()
	})
}
