package limpetwatch_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpetstub"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetwatch"
)

// A replica stores what a Watcher reports.
type replica struct {
	mu                  sync.Mutex
	values              map[string]string
	outages, recoveries int
}

func (r *replica) get(key string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.values[key]
}

func startWatcher(store limpetstore.Store, wait time.Duration) (*replica, *limpetwatch.Watcher, *limpettask.Group) {
	r := &replica{values: map[string]string{}}
	w := &limpetwatch.Watcher{
		Store: store, Prefix: "a/", Wait: wait,
		OnList: func(l limpetstore.Listing) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.values = map[string]string{}
			for _, v := range l.Values {
				r.values[v.Key] = string(v.Data)
			}
		},
		OnChange: func(values []limpetstore.Value) {
			r.mu.Lock()
			defer r.mu.Unlock()
			for _, v := range values {
				if v.Deleted {
					delete(r.values, v.Key)
				} else {
					r.values[v.Key] = string(v.Data)
				}
			}
		},
		OnOutage:   func(error) { r.mu.Lock(); r.outages++; r.mu.Unlock() },
		OnRecovery: func() { r.mu.Lock(); r.recoveries++; r.mu.Unlock() },
	}
	group := limpettask.New(context.Background())
	group.Go(w.Run)
	return r, w, group
}

func TestWatch(t *testing.T) {
	for _, c := range []struct {
		name string
		// disrupt runs between the initial listing and the change.
		disrupt  func(stub *limpetstub.Store)
		maxDelay time.Duration
	}{
		{"no disruption", func(*limpetstub.Store) {}, 500 * time.Millisecond},
		{"history compacted", func(s *limpetstub.Store) { s.Compact() }, 500 * time.Millisecond},
		{"an outage of four seconds", func(s *limpetstub.Store) {
			s.SetDown(true)
			time.Sleep(4 * time.Second)
			s.SetDown(false)
		}, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stub := limpetstub.NewStore()
				stub.Set("a/1", []byte("old"))
				r, _, group := startWatcher(stub.Client(), 1800*time.Millisecond)
				time.Sleep(time.Second)
				c.disrupt(stub)
				stub.Set("a/1", []byte("new"))
				stub.Set("b/1", []byte("other"))
				time.Sleep(c.maxDelay)
				Convey("a change arrives after: "+c.name, t, func() {
					So(r.get("a/1"), ShouldEqual, "new")
					So(r.get("b/1"), ShouldEqual, "")
					So(r.outages, ShouldEqual, r.recoveries)
				})
				if err := group.Stop(); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

func TestDroppedWatch(t *testing.T) {
	// Guards against a change that stays unseen because the store drops a
	// waiting watch without an answer, as it may after a compaction: the
	// watch's own timeout must bound the delay.
	synctest.Test(t, func(t *testing.T) {
		stub := limpetstub.NewStore()
		store := stub.Client()
		inner := store.Follow
		dropNext := true
		store.Follow = func(ctx context.Context, prefix string, after uint64, wait time.Duration) (limpetstore.Listing, error) {
			if dropNext {
				dropNext = false
				ctx, cancel := context.WithTimeout(ctx, wait+800*time.Millisecond)
				defer cancel()
				<-ctx.Done()
				return limpetstore.Listing{}, limpetstub.ErrNoAnswer
			}
			return inner(ctx, prefix, after, wait)
		}
		r, _, group := startWatcher(store, 1800*time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		stub.Set("a/1", []byte("new"))
		time.Sleep(3 * time.Second)
		Convey("the change is seen before the VM counts as out of contact with the store", t, func() {
			So(r.get("a/1"), ShouldEqual, "new")
		})
		if err := group.Stop(); err != nil {
			t.Error(err)
		}
	})
}

func TestRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stub := limpetstub.NewStore()
		r, w, group := startWatcher(stub.Client(), time.Hour)
		time.Sleep(time.Second)
		w.Restart()
		time.Sleep(time.Second)
		Convey("a restarted watch is not reported as an outage", t, func() { So(r.outages, ShouldEqual, 0) })
		if err := group.Stop(); err != nil {
			t.Error(err)
		}
	})
}
