package limpetdirector_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetjob"
)

// Guards against takeovers that hold up the jobs that are due first. A deployment of
// three models has six open steps, two of each model one after the other, and many
// that have ended. Reading all of them at once keeps a small VM busy for two seconds,
// and each step was complete only at the end of that, the oldest last.
func TestOldestJobsAreLoadedFirst(t *testing.T) {
	const (
		open, ended = 6, 12
		// readTime is the time of a busy VM for one of the reads of a job, of which
		// there are three.
		readTime = 50 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(6)
		a := env.candidate("a", 0)
		time.Sleep(2 * time.Second)
		for n := range ended {
			id := fmt.Sprintf("b%d", n)
			env.submit(t, id, 1, 1)
			if err := limpetjob.End(context.Background(), env.store.Client(), id); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
		}
		// The names sort against the order of arrival.
		var ids []string
		for n := range open {
			id := fmt.Sprintf("c%d", open-n)
			ids = append(ids, id)
			env.submit(t, id, 4, 1)
			time.Sleep(100 * time.Millisecond)
		}
		a.crash()
		env.readTime = readTime
		b := env.candidate("b", 0)
		for !b.IsDirector() {
			time.Sleep(time.Millisecond)
		}
		began := time.Now()
		known := map[string]time.Duration{}
		for len(known) < open && time.Since(began) < 10*time.Second {
			time.Sleep(5 * time.Millisecond)
			for _, id := range ids {
				if _, _, ok := b.Results(context.Background(), id, "acme", 4, 0); ok && known[id] == 0 {
					known[id] = time.Since(began)
				}
			}
		}
		t.Logf("loaded after %v", known)
		Convey("the two oldest jobs are loaded in the time that two take, and the others in order", t, func() {
			// Lists and the term take reads, too.
			So(known[ids[1]], ShouldBeLessThan, 2*3*readTime+300*time.Millisecond)
			for n := 2; n < open; n++ {
				So(known[ids[n]], ShouldBeGreaterThanOrEqualTo, known[ids[n-2]])
			}
			// None of the ended jobs was read.
			So(known[ids[open-1]], ShouldBeLessThan, open*3*readTime+600*time.Millisecond)
		})
		b.stop(t)
	})
}
