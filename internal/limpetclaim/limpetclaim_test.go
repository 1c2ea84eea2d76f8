package limpetclaim_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"

	"limpetmount.org/internal/limpetclaim"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetstub"
	"limpetmount.org/internal/limpettask"
)

func newCommitter(stub *limpetstub.Store) (*limpetclaim.Committer, *limpettask.Group) {
	g := limpettask.New(context.Background())
	return limpetclaim.New(g, stub.Client(), time.Hour, time.Now), g
}

func claimRequest(claim, attempt string, state limpetclaim.State) limpetclaim.Request {
	return limpetclaim.Request{Claim: claim, Attempt: attempt, Digest: "d", State: state}
}

func TestClaimStates(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome limpetclaim.State
		granted bool
	}{
		{"running", limpetclaim.Claimed, false},
		{"ran", limpetclaim.Ran, false},
		{"unknown", limpetclaim.Unknown, false},
		{"known not to have run", limpetclaim.NotRun, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				Convey("a second attempt is granted only if the first did not run", t, func() {
					stub := limpetstub.NewStore()
					committer, g := newCommitter(stub)
					defer func() { _ = g.Stop() }()
					ctx := context.Background()
					e, err := committer.Do(ctx, claimRequest("c", "a1", limpetclaim.Claimed))
					So(err, ShouldBeNil)
					So(e.Attempt, ShouldEqual, "a1")
					if c.outcome != limpetclaim.Claimed {
						r := claimRequest("c", "a1", c.outcome)
						r.Status, r.Body = 200, []byte("answer")
						_, err = committer.Do(ctx, r)
						So(err, ShouldBeNil)
					}
					other, g2 := newCommitter(stub)
					defer func() { _ = g2.Stop() }()
					e, err = other.Do(ctx, claimRequest("c", "a2", limpetclaim.Claimed))
					So(err, ShouldBeNil)
					So(e.Attempt == "a2" && e.State == limpetclaim.Claimed, ShouldEqual, c.granted)
					if c.outcome == limpetclaim.Ran {
						So(string(e.Body), ShouldEqual, "answer")
					}
				})
			})
		})
	}
}

func TestOutcomeIsNotOverwritten(t *testing.T) {
	Convey("only the claiming attempt records an outcome, and only once", t, func() {
		s := limpetclaim.Segment{Entries: map[string]limpetclaim.Entry{}}
		now := time.Now()
		limpetclaim.Apply(s, claimRequest("c", "a1", limpetclaim.Claimed), now)
		limpetclaim.Apply(s, claimRequest("c", "a2", limpetclaim.NotRun), now)
		So(s.Entries["c"].State, ShouldEqual, limpetclaim.Claimed)
		limpetclaim.Apply(s, claimRequest("c", "a1", limpetclaim.Ran), now)
		limpetclaim.Apply(s, claimRequest("c", "a1", limpetclaim.NotRun), now)
		So(s.Entries["c"].State, ShouldEqual, limpetclaim.Ran)
		// A late duplicate of the first claim must not reset the state.
		limpetclaim.Apply(s, claimRequest("c", "a1", limpetclaim.Claimed), now)
		So(s.Entries["c"].State, ShouldEqual, limpetclaim.Ran)
	})
}

func TestNotRunAttemptIsNotGrantedAgain(t *testing.T) {
	Convey("a late claim of an attempt that was recorded as not run is rejected", t, func() {
		s := limpetclaim.Segment{Entries: map[string]limpetclaim.Entry{}}
		now := time.Now()
		limpetclaim.Apply(s, claimRequest("c", "a1", limpetclaim.Claimed), now)
		limpetclaim.Apply(s, claimRequest("c", "a1", limpetclaim.NotRun), now)
		limpetclaim.Apply(s, claimRequest("c", "a1", limpetclaim.Claimed), now)
		So(s.Entries["c"].State, ShouldEqual, limpetclaim.NotRun)
	})
}

// A claimResult is the output of a claim operation in the history.
type claimResult int

const (
	rejected claimResult = iota
	granted
	// unknown means that the claim may have taken effect, or may still do so at
	// any time after the call.
	unknown
)

// claimModel models one claim. Its state is the attempt that holds the claim, or
// empty.
var claimModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byClaim := map[string][]porcupine.Operation{}
		for _, o := range history {
			c := o.Input.(limpetclaim.Request).Claim
			byClaim[c] = append(byClaim[c], o)
		}
		var parts [][]porcupine.Operation
		for _, p := range byClaim {
			parts = append(parts, p)
		}
		return parts
	},
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		attempt, holder := input.(limpetclaim.Request).Attempt, state.(string)
		switch {
		case output.(claimResult) == unknown && holder == "":
			return []any{"", attempt}
		case output.(claimResult) == unknown, output.(claimResult) == rejected && holder != "":
			return []any{holder}
		case output.(claimResult) == granted && holder == "":
			return []any{attempt}
		default:
			return nil
		}
	},
}

func TestAtMostOneGrantUnderFaults(t *testing.T) {
	for seed := range uint64(25) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				Convey("concurrent and repeated claims of several VMs are granted once", t, func() {
					history, grants := runCommitter(seed)
					for _, n := range grants {
						So(n, ShouldBeLessThanOrEqualTo, 1)
					}
					So(len(history), ShouldBeGreaterThan, 0)
					So(porcupine.CheckOperations(claimModel.ToModel(), history), ShouldBeTrue)
				})
			})
		})
	}
}

// runCommitter lets three VMs claim the same four names concurrently over a
// store with injected faults. It returns the history and the number of grants
// by claim.
func runCommitter(seed uint64) (history []porcupine.Operation, grants map[string]int) {
	stub := limpetstub.NewStore()
	stub.Delay = 2 * time.Millisecond
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 3))
	stub.Fault = func(string, string) limpetstub.Fault {
		mu.Lock()
		defer mu.Unlock()
		return []limpetstub.Fault{limpetstub.NoFault, limpetstub.NoFault, limpetstub.Refused, limpetstub.RequestLost, limpetstub.ReplyLost}[random.IntN(5)]
	}
	grants = map[string]int{}
	began := time.Now()
	var g errgroup.Group
	for vm := range 3 {
		committer, tasks := newCommitter(stub)
		g.Go(func() error {
			var calls errgroup.Group
			for i := range 12 {
				calls.Go(func() error {
					request := claimRequest(fmt.Sprintf("c%d", i%4), fmt.Sprintf("vm%d/%d", vm, i), limpetclaim.Claimed)
					call := time.Since(began).Nanoseconds()
					e, err := committer.Do(context.Background(), request)
					end, out := time.Since(began).Nanoseconds(), rejected
					mu.Lock()
					defer mu.Unlock()
					switch {
					case limpeterror.Is(err, limpeterror.Unavailable):
						return nil
					case err != nil:
						end, out = math.MaxInt64, unknown
					case e.Attempt == request.Attempt && e.State == limpetclaim.Claimed:
						out = granted
						grants[request.Claim]++
					}
					history = append(history, porcupine.Operation{ClientId: vm*100 + i, Input: request, Output: out, Call: call, Return: end})
					return nil
				})
			}
			_ = calls.Wait()
			return tasks.Stop()
		})
	}
	_ = g.Wait()
	return history, grants
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"entries":{"c":{"attempt":"a","state":"claimed"}}}`))
	f.Add([]byte(`{"entries":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := limpetclaim.Decode(data); err == nil {
			limpetclaim.Apply(s, claimRequest("c", "a", limpetclaim.Claimed), time.Now())
			if _, ok := s.Entries["c"]; !ok {
				t.Fatal("claim not recorded")
			}
		}
	})
}
