package limpetusage_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"limpetmount.org/internal/limpetusage"
)

const length = time.Minute

var start = time.Date(2026, 1, 2, 3, 4, 0, 0, time.UTC)

func tokens(n uint64) limpetusage.Count { return limpetusage.Count{Requests: 1, Tokens: n} }

func TestTallyBoundaries(t *testing.T) {
	Convey("usage of a closed window goes to the next window", t, func() {
		tally := limpetusage.NewTally("vm1", "vm1-1", length)
		tally.Add(start.Add(time.Second), "desk", tokens(5))
		closed := tally.Pending(start.Add(length), false)
		So(closed[0].Closed, ShouldBeTrue)
		So(closed[0].Counts["desk"].Tokens, ShouldEqual, 5)
		// The caller read the clock before the window was closed.
		tally.Add(start.Add(length-time.Millisecond), "desk", tokens(7))
		for _, r := range closed {
			tally.MarkFlushed(r)
		}
		again := tally.Pending(start.Add(length+time.Second), false)
		So(len(again), ShouldEqual, 1)
		So(again[0].Window, ShouldEqual, limpetusage.WindowName(start.Add(length), length))
		So(again[0].Counts["desk"].Tokens, ShouldEqual, 7)
	})
	Convey("an idle VM also closes its windows", t, func() {
		tally := limpetusage.NewTally("vm1", "vm1-1", length)
		So(len(tally.Pending(start, false)), ShouldEqual, 1)
		closed := tally.Pending(start.Add(length), false)
		So(closed[0].Closed, ShouldBeTrue)
	})
}

func TestReady(t *testing.T) {
	record := func(incarnation string, closed bool) limpetusage.Record {
		return limpetusage.Record{Incarnation: incarnation, Closed: closed}
	}
	for _, c := range []struct {
		name    string
		records []limpetusage.Record
		live    []string
		ready   bool
	}{
		{"all closed", []limpetusage.Record{record("a", true), record("b", true)}, []string{"a", "b"}, true},
		{"one open", []limpetusage.Record{record("a", true), record("b", false)}, []string{"a", "b"}, false},
		{"one without a record", []limpetusage.Record{record("a", true)}, []string{"a", "b"}, false},
		{"open one is not live", []limpetusage.Record{record("a", true), record("b", false)}, []string{"a"}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			Convey("a window is ready once all live VMs have closed it", t, func() {
				ready, _ := limpetusage.Ready(c.records, c.live)
				So(ready, ShouldEqual, c.ready)
			})
		})
	}
}

// TestUsageIsBilledExactlyOnce stores each VM's records with random delays and
// checks that the totals and corrections of all windows add up to the usage.
func TestUsageIsBilledExactlyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const windows, vms = 6, 3
		used := map[string]uint64{}
		stored := map[string]limpetusage.Record{}
		arriving := map[int][]limpetusage.Record{}
		var frozen []limpetusage.FrozenWindow
		for w := range windows {
			at := start.Add(time.Duration(w) * length)
			window := limpetusage.WindowName(at, length)
			for vm := range vms {
				incarnation := fmt.Sprintf("vm%d-1", vm)
				r := limpetusage.Record{Window: window, Incarnation: incarnation, Sequence: 1, Counts: map[string]limpetusage.Count{}}
				early := r
				early.Counts = map[string]limpetusage.Count{}
				for _, account := range []string{"desk", "training"} {
					n := rapid.Uint64Range(0, 9).Draw(t, "tokens")
					before := rapid.Uint64Range(0, n).Draw(t, "before")
					used[account] += n
					r.Counts[account] = limpetusage.Count{Tokens: n}
					early.Counts[account] = limpetusage.Count{Tokens: before}
				}
				// The final record is stored in time, or one or two windows late.
				delay := rapid.IntRange(0, 2).Draw(t, "delay")
				if delay > 0 {
					r.Sequence = 2
					stored[limpetusage.RecordKey(window, incarnation)] = early
				}
				arriving[min(w+delay, windows-1)] = append(arriving[min(w+delay, windows-1)], r)
			}
			for _, r := range arriving[w] {
				stored[limpetusage.RecordKey(r.Window, r.Incarnation)] = r
			}
			var records, earlier []limpetusage.Record
			for _, r := range stored {
				if r.Window == window {
					records = append(records, r)
				} else {
					earlier = append(earlier, r)
				}
			}
			frozen = append(frozen, limpetusage.Freeze(window, records, earlier, frozen, nil))
		}
		billed := map[string]uint64{}
		for _, f := range frozen {
			for a, c := range f.Totals {
				billed[a] += c.Tokens
			}
			for _, c := range f.Corrections {
				billed[c.Account] += c.Count.Tokens
			}
		}
		if fmt.Sprint(billed) != fmt.Sprint(used) {
			t.Fatalf("billed %v, used %v", billed, used)
		}
	})
}

func TestReportsAreDeterministic(t *testing.T) {
	Convey("the reports of a frozen window always have the same bytes", t, func() {
		f := limpetusage.FrozenWindow{Window: "w", Totals: map[string]limpetusage.Count{"b": tokens(1), "a": tokens(2), "c": tokens(3)}}
		accounts, first, err := f.Reports()
		So(err, ShouldBeNil)
		So(accounts, ShouldResemble, []string{"a", "b", "c"})
		for range 20 {
			_, again, err := f.Reports()
			So(err, ShouldBeNil)
			So(again, ShouldResemble, first)
		}
	})
}

func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte(`{"window":"20260102T030400Z","counts":{"a":{"tokens":1}}}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		if r, err := limpetusage.DecodeRecord(data); err == nil {
			limpetusage.Freeze("w", []limpetusage.Record{r}, []limpetusage.Record{r}, nil, nil)
		}
		_, _ = limpetusage.DecodeFrozenWindow(data)
		_, _ = limpetusage.WindowStart(string(data))
	})
}
