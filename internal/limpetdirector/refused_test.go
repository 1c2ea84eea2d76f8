package limpetdirector_test

import (
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetjob"
)

// noise returns text that cannot be compressed, of characters that JSON escapes.
func noise(bytes int) string {
	r := rand.New(rand.NewPCG(1, 1))
	b := make([]byte, bytes)
	for n := range b {
		b[n] = byte(1 + r.IntN(126))
	}
	return string(b)
}

// Guards against one result that the store refuses, in whose place no result of any job
// is listed.
func TestAResultThatTheStoreRefusesHoldsUpNoOther(t *testing.T) {
	for _, c := range []struct {
		name string
		// piece is each of the 40 events of one item.
		piece string
		// listed is set if the item can be listed.
		listed bool
	}{
		{"200 KB of a character that takes six bytes", strings.Repeat("<", 5000), true},
		{"800 KB of text that JSON escapes", strings.Repeat("\x01", 20_000), true},
		{"800 KB of ordinary text", strings.Repeat("x", 20_000), true},
		{"1.4 MB that cannot be compressed", noise(35_000), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const items = 12
				env := newTestEnv(6)
				a := env.candidate("a", 0)
				time.Sleep(time.Second)
				env.pieces["big-1"] = c.piece
				env.submit(t, "big", 3, 1)
				env.submit(t, "j", items, 1)
				time.Sleep(4 * time.Second)
				checkComplete(t, env.results(t, "j"), items)
				big := map[string]limpetjob.Result{}
				for _, r := range env.results(t, "big") {
					big[r.ID] = r
				}
				Convey("the other items of its job are listed, and it is if the store takes it", t, func() {
					So(big["big-0"].State, ShouldEqual, limpetjob.Completed)
					So(big["big-2"].State, ShouldEqual, limpetjob.Completed)
					_, listed := big["big-1"]
					So(listed, ShouldEqual, c.listed)
					if listed {
						So(big["big-1"].Text == strings.Repeat(c.piece+"\n", events-1)+c.piece, ShouldBeTrue)
					}
				})
				if !c.listed {
					time.Sleep(40 * time.Second)
					Convey("an item that the store does not take is errored when it may be given up", t, func() {
						results := env.results(t, "big")
						So(len(results), ShouldEqual, 3)
						So(results[2].ID, ShouldEqual, "big-1")
						So(results[2].State, ShouldEqual, limpetjob.Errored)
					})
				}
				a.stop(t)
			})
		})
	}
}

// Guards against unfinished texts of all jobs that are not saved because of one that the
// store refuses.
func TestDraftsThatTheStoreRefusesHoldUpNoOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(6)
		a := env.candidate("a", 0)
		time.Sleep(time.Second)
		env.pieces["big-0"] = strings.Repeat("\x01", 14_000)
		env.submit(t, "big", 1, 1)
		env.submit(t, "j", 4, 1)
		time.Sleep(1300 * time.Millisecond)
		drafts, err := limpetjob.LoadDrafts(t.Context(), env.store.Client(), "j")
		Convey("the texts of the other job are saved", t, func() {
			So(err, ShouldBeNil)
			So(len(drafts), ShouldEqual, 4)
		})
		a.stop(t)
	})
}
