package limpethost_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpethost"
	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetmetric"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpetstub"
	"limpetmount.org/internal/limpetupstream"
)

const (
	grace        = 8 * time.Second
	removalDelay = 2500 * time.Millisecond
)

// check is convey.So for use outside a Convey block.
func check(t *testing.T, actual any, should func(any, ...any) string, expected ...any) {
	t.Helper()
	if fault := should(actual, expected...); fault != "" {
		t.Error(fault)
	}
}

// decodeConfig decodes every value of the test's feed to the same
// configuration.
func decodeConfig(v limpetstore.Value) limpetsite.Record {
	if zone, found := strings.CutPrefix(v.Key, evacuatePrefix); found {
		r := limpetsite.Record{Key: v.Key, Revision: v.Revision, Deleted: v.Deleted}
		if !v.Deleted {
			r.Evacuation = &limpetsite.Evacuation{Zone: zone}
		}
		return r
	}
	c := &limpetsite.Config{
		Version: 1, Limits: limpetsite.Limits{BodyBytes: 1000},
		Routes: []limpetsite.Route{
			{Host: "h", Prefix: "/jobs/", Kind: limpetsite.Rollout, Targets: []limpetsite.Target{{Service: "llm", Weight: 1}}},
			{Host: "h", Prefix: "/plain/", Kind: limpetsite.Idempotent, Targets: []limpetsite.Target{{Service: "desk", Weight: 1}}},
			{Host: "h", Prefix: "/desk/", Kind: limpetsite.Idempotent, Targets: []limpetsite.Target{{Service: "desk", Weight: 1}}, LatencyGoal: 150 * time.Millisecond},
			{Host: "h", Prefix: "/once/", Kind: limpetsite.Once, Targets: []limpetsite.Target{{Service: "desk", Weight: 1}}},
			{Host: "h", Prefix: "/chat/", Kind: limpetsite.Stream, Resumable: true, Targets: []limpetsite.Target{{Service: "chat", Weight: 1}}},
		},
		Accounts: []limpetsite.Account{
			{Name: "acme", Keys: [][32]byte{limpetsite.HashKey("good")}}, {Name: "other", Keys: [][32]byte{limpetsite.HashKey("theirs")}},
		},
	}
	return limpetsite.Record{Key: v.Key, Revision: v.Revision, Deleted: v.Deleted, Config: c}
}

// startHost starts a VM that serves callers and uses the given store.
func startHost(store *limpetstub.Store) *limpethost.Host {
	return startVM(store, "vm-1", limpetupstream.Client{})
}

func startVM(store *limpetstub.Store, vm string, upstream limpetupstream.Client, feeds ...limpethost.Feed) *limpethost.Host {
	return startVMWith(store, vm, upstream, func(*limpethost.Settings, *limpethost.Deps) {}, feeds...)
}

// startVMWith starts a VM whose settings and dependencies are changed before.
func startVMWith(store *limpetstub.Store, vm string, upstream limpetupstream.Client, change func(*limpethost.Settings, *limpethost.Deps), feeds ...limpethost.Feed) *limpethost.Host {
	client := store.Client()
	settings := limpethost.Settings{
		VM: vm, Zone: "a", ServesCallers: true,
		Bounds: limpethost.Bounds{Grace: grace, Config: 2 * time.Second, Drain: 2 * time.Second, UsageWindow: 5 * time.Second, MinTakeoverInterval: 3 * time.Second, JobRetention: time.Minute},
	}
	deps := limpethost.Deps{
		Store: client, Upstream: upstream, Feeds: append(feeds, limpethost.Feed{Prefix: "conf/", Decode: decodeConfig}),
		Probe: func(ctx context.Context) error {
			_, err := client.Scan(ctx, "conf/", "")
			return err
		},
		Incarnation: "x", Now: time.Now, AskReady: func(context.Context, string) (bool, error) { return false, nil },
	}
	change(&settings, &deps)
	return limpethost.Start(context.Background(), settings, deps, limpetlog.Discard(), limpetmetric.New())
}

// startConfigured starts a VM and waits until it has its configuration.
func startConfigured(t *testing.T, store *limpetstub.Store) *limpethost.Host {
	t.Helper()
	if _, err := store.Client().Commit(context.Background(), limpetstore.Transaction{Writes: []limpetstore.Write{{Key: "conf/x", Data: []byte("1")}}}); err != nil {
		t.Fatal(err)
	}
	h := startHost(store)
	time.Sleep(3 * time.Second)
	if !h.Ready() {
		t.Fatal("the VM is not ready")
	}
	return h
}

func stopHost(t *testing.T, h *limpethost.Host) {
	t.Helper()
	h.Drain()
	if err := h.Stop(); err != nil {
		t.Error(err)
	}
}

func newJob(id string) *limpetjob.Job {
	return &limpetjob.Job{ID: id, Host: "h", Path: "/jobs/", Model: "m", Arrived: time.Now(), Items: []limpetjob.Item{{ID: id + "-1", Path: "/p", Body: []byte("body")}}}
}

func TestBatchJobCalls(t *testing.T) {
	ctx := context.Background()
	t.Run("a VM without a configuration refuses a job and gives a retry delay", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			h := startHost(limpetstub.NewStore())
			refusal := h.Submit(ctx, "good", newJob("j"), nil)
			check(t, refusal.Cause, convey.ShouldEqual, limpethost.NotReady)
			check(t, refusal.RetryAfter, convey.ShouldBeGreaterThan, time.Duration(0))
			stopHost(t, h)
		})
	})
	t.Run("a job is accepted once and belongs only to the account of the key", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			h := startConfigured(t, limpetstub.NewStore())
			check(t, h.TakesJobs("h", "/jobs/1"), convey.ShouldBeTrue)
			check(t, h.TakesJobs("h", "/plain/1"), convey.ShouldBeFalse)
			check(t, h.BodyLimit(), convey.ShouldEqual, int64(1000))
			for range 2 {
				check(t, h.Submit(ctx, "good", newJob("j"), nil).Cause, convey.ShouldEqual, limpethost.NoCause)
			}
			check(t, h.Submit(ctx, "theirs", newJob("j"), nil).Cause, convey.ShouldEqual, limpethost.IDTaken)
			check(t, h.Submit(ctx, "bad", newJob("k"), nil).Cause, convey.ShouldEqual, limpethost.InvalidKey)
			check(t, h.Submit(ctx, "good", newJob("k"), limpeterror.Invalid.New("no items")).Cause, convey.ShouldEqual, limpethost.Malformed)
			data, refusal := h.ItemBody(ctx, "good", "j", "j-1")
			check(t, refusal.Cause, convey.ShouldEqual, limpethost.NoCause)
			check(t, string(data), convey.ShouldEqual, "body")
			_, refusal = h.ItemBody(ctx, "theirs", "j", "j-1")
			check(t, refusal.Cause, convey.ShouldEqual, limpethost.NoSuchJob)
			page, refusal := h.ReadJob(ctx, "good", "j", 0, 0)
			check(t, refusal.Cause, convey.ShouldEqual, limpethost.NoCause)
			check(t, page.Total, convey.ShouldEqual, 1)
			check(t, h.EndJob(ctx, "theirs", "j").Cause, convey.ShouldEqual, limpethost.NoSuchJob)
			for range 2 {
				check(t, h.EndJob(ctx, "good", "j").Cause, convey.ShouldEqual, limpethost.NoCause)
			}
			stopHost(t, h)
		})
	})
	t.Run("during an outage of the store no job is reported as stored or missing", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			store := limpetstub.NewStore()
			h := startConfigured(t, store)
			store.SetDown(true)
			refusal := h.Submit(ctx, "good", newJob("j"), nil)
			check(t, refusal.Cause, convey.ShouldBeIn, limpethost.NotStored, limpethost.MaybeStored)
			check(t, refusal.RetryAfter, convey.ShouldBeGreaterThan, time.Duration(0))
			_, refusal = h.ReadJob(ctx, "good", "j", 0, 0)
			check(t, refusal.Cause, convey.ShouldEqual, limpethost.AnswerUnknown)
			check(t, h.EndJob(ctx, "good", "j").Cause, convey.ShouldEqual, limpethost.AnswerUnknown)
			stopHost(t, h)
		})
	})
}

// Guards against calls that a VM that is being stopped takes when there is no time left to
// answer them: a call to the store may last longer than the VM does.
func TestLateCallsOfAPlannedStopAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := limpetstub.NewStore()
		h := startConfigured(t, store)
		began := time.Now()
		err := h.Shutdown(grace, removalDelay, func(ctx context.Context) error {
			check(t, h.Submit(ctx, "good", newJob("early"), nil).Cause, convey.ShouldEqual, limpethost.NoCause)
			time.Sleep(6*time.Second - time.Since(began))
			for _, refusal := range []limpethost.Refusal{
				h.Submit(ctx, "good", newJob("late"), nil), h.EndJob(ctx, "good", "early"),
			} {
				check(t, refusal.Cause, convey.ShouldEqual, limpethost.NotReady)
				check(t, refusal.RetryAfter, convey.ShouldBeGreaterThan, time.Duration(0))
			}
			_, refusal := h.ReadJob(ctx, "good", "early", 0, time.Second)
			check(t, refusal.Cause, convey.ShouldEqual, limpethost.NotReady)
			return nil
		})
		check(t, err, convey.ShouldBeNil)
	})
}

func TestShutdown(t *testing.T) {
	for _, c := range []struct {
		name  string
		grace time.Duration
		// requestTime is how long the open requests take, and wantWait how
		// long the VM waits for the load balancer.
		requestTime, wantWait time.Duration
	}{
		{"all requests end within the grace period", grace, time.Second, removalDelay},
		{"a request outlasts the grace period", grace, time.Minute, removalDelay},
		{"the grace period is short", 3 * time.Second, 100 * time.Millisecond, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := startConfigured(t, limpetstub.NewStore())
				began := time.Now()
				var finishCalledAfter time.Duration
				err := h.Shutdown(c.grace, removalDelay, func(ctx context.Context) error {
					finishCalledAfter = time.Since(began)
					check(t, h.Ready(), convey.ShouldBeFalse)
					select {
					case <-time.After(c.requestTime):
						return nil
					case <-ctx.Done():
						return ctx.Err()
					}
				})
				check(t, err, convey.ShouldBeNil)
				check(t, finishCalledAfter, convey.ShouldEqual, c.wantWait)
				check(t, time.Since(began), convey.ShouldBeLessThan, c.grace)
			})
		})
	}
}
