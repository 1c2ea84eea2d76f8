package limpetcrash_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetcrash"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpetstub"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetupstream"
)

// settleTime is longer than a book needs to decide and share what it is told.
const settleTime = 400 * time.Millisecond

// An env runs the books of several VMs on one store, with servers in a given
// condition.
type env struct {
	store *limpetstub.Store
	group *limpettask.Group
	books []*limpetcrash.Book

	mu         sync.Mutex
	site       *limpetsite.State
	revision   uint64
	conditions map[string]limpetupstream.Condition
	checks     int
	log        lockedBuffer
}

// A lockedBuffer collects the log of all VMs.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

// count returns how often a text occurs in the log.
func (l *lockedBuffer) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.buffer.String(), text)
}

func newEnv(t *testing.T, vms int) *env {
	t.Helper()
	e := &env{store: limpetstub.NewStore(), group: limpettask.New(context.Background()), site: limpetsite.NewState(), conditions: map[string]limpetupstream.Condition{}}
	for n := range 12 {
		e.register(fmt.Sprintf("s%d", n), 1)
	}
	for n := range vms {
		e.startVM(t, n)
	}
	t.Cleanup(func() { _ = e.group.Stop() })
	return e
}

// startVM starts the book of a VM, which reads the store's records and follows
// their changes.
func (e *env) startVM(t *testing.T, n int) *limpetcrash.Book {
	t.Helper()
	log, err := limpetlog.New(&e.log, "info", "json", fmt.Sprintf("vm-%d", n))
	if err != nil {
		t.Fatal(err)
	}
	store := e.store.Client()
	b := limpetcrash.New(limpetcrash.Deps{
		VM: fmt.Sprintf("vm-%d", n), Store: store, View: e.view, Check: e.check, Log: log, Metrics: prometheus.NewRegistry(), Now: time.Now,
	})
	e.books = append(e.books, b)
	e.group.Go(b.Run)
	e.group.Go(func(ctx context.Context) error {
		listed, revision := false, uint64(0)
		for ctx.Err() == nil {
			if !listed {
				if l, err := store.Scan(ctx, limpetcrash.Prefix, ""); err == nil {
					b.ApplyListing(ctx, l.Values, l.Revision)
					listed, revision = true, l.Revision
				}
			} else if l, err := store.Follow(ctx, limpetcrash.Prefix, revision, time.Second); err == nil {
				b.ApplyChanges(ctx, l.Values)
				revision = max(revision, l.Revision)
				continue
			}
			limpettask.Sleep(ctx, 100*time.Millisecond)
		}
		return nil
	})
	return b
}

// register registers a server whose address is its ID.
func (e *env) register(id string, incarnation int64) { e.registerAt(id, id, incarnation) }

func (e *env) registerAt(address, id string, incarnation int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.revision++
	e.site.Apply(limpetsite.Record{Key: limpetsite.ServerKey + id, Revision: e.revision, Server: &limpetsite.Server{
		ID: id, Service: "desk", Address: address, Zone: "a", Slots: 4, Incarnation: incarnation,
	}}, time.Now())
}

func (e *env) drain(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.revision++
	e.site.Apply(limpetsite.Record{Key: limpetsite.ServerKey + id, Revision: e.revision, Server: &limpetsite.Server{
		ID: id, Service: "desk", Address: id, Zone: "a", Slots: 4, Incarnation: 1, Draining: true,
	}}, time.Now())
}

func (e *env) unregister(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.revision++
	e.site.Apply(limpetsite.Record{Key: limpetsite.ServerKey + id, Revision: e.revision, Deleted: true}, time.Now())
}

func (e *env) view() *limpetsite.Snapshot {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.site.Snapshot()
}

func (e *env) check(_ context.Context, s *limpetsite.Server, _ string) limpetupstream.Condition {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.checks++
	return e.conditions[s.ID]
}

func (e *env) setCondition(c limpetupstream.Condition, ids ...string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, id := range ids {
		e.conditions[id] = c
	}
}

// suspect tells a book that an attempt at a server ended without an answer, and
// waits until the case is decided.
func (e *env) suspect(b *limpetcrash.Book, request uint64, server string) {
	<-b.Suspect(suspicion(request, server))
}

func suspicion(request uint64, server string) limpetcrash.Suspicion {
	return limpetcrash.Suspicion{
		Fingerprint: request, Account: "acme", Request: fmt.Sprintf("r%d", request),
		Server: &limpetsite.Server{ID: server, Service: "desk", Address: server, Incarnation: 1},
	}
}

// verdicts returns what each VM knows of a request.
func (e *env) verdicts(request uint64) []limpetcrash.Verdict {
	var all []limpetcrash.Verdict
	for _, b := range e.books {
		v, _ := b.Verdict(request)
		all = append(all, v)
	}
	return all
}

func (e *env) stored(t *testing.T) []string {
	t.Helper()
	l, err := e.store.Client().Scan(context.Background(), limpetcrash.Prefix, "")
	if err != nil {
		t.Fatal(err)
	}
	keys := []string{}
	for _, v := range l.Values {
		keys = append(keys, v.Key)
	}
	return keys
}

const (
	clear       = limpetcrash.Clear
	suspected   = limpetcrash.Suspected
	quarantined = limpetcrash.Quarantined
	due         = limpetcrash.DueForTrial
)

func inBubble(t *testing.T, vms int, f func(e *env)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		e := newEnv(t, vms)
		e.setCondition(limpetupstream.Ended, "s0", "s1", "s2", "s3", "s4")
		time.Sleep(settleTime)
		f(e)
		if err := e.group.Stop(); err != nil {
			t.Error(err)
		}
	})
}

func TestQuarantineOnAllVMs(t *testing.T) {
	inBubble(t, 4, func(e *env) {
		Convey("each VM sees one crash, and all quarantine the request after the third", t, func() {
			for n := range 2 {
				e.suspect(e.books[n], 7, fmt.Sprintf("s%d", n))
			}
			time.Sleep(settleTime)
			So(e.verdicts(7), ShouldResemble, []limpetcrash.Verdict{suspected, suspected, suspected, suspected})
			e.suspect(e.books[2], 7, "s2")
			time.Sleep(settleTime)
			So(e.verdicts(7), ShouldResemble, []limpetcrash.Verdict{quarantined, quarantined, quarantined, quarantined})
			So(len(e.stored(t)), ShouldEqual, 3)
			_, left := e.books[3].Verdict(7)
			So(left, ShouldBeBetween, 25*time.Second, 30*time.Second)
		})
		Convey("a VM that starts later knows the request", t, func() {
			b := e.startVM(t, 4)
			time.Sleep(settleTime)
			v, _ := b.Verdict(7)
			So(v, ShouldEqual, quarantined)
		})
		Convey("other requests are not affected", t, func() {
			v, _ := e.books[0].Verdict(8)
			So(v, ShouldEqual, clear)
		})
		Convey("after its time the request may run again, and the records leave the store with the next one", t, func() {
			time.Sleep(limpetcrash.Rules.QuarantineTTL + time.Minute)
			So(e.verdicts(7), ShouldResemble, []limpetcrash.Verdict{clear, clear, clear, clear, clear})
			e.suspect(e.books[0], 9, "s3")
			time.Sleep(settleTime)
			So(e.stored(t), ShouldResemble, []string{limpetcrash.Key(9, "s3.1")})
		})
	})
}

func TestEndsThatAreNoCrashes(t *testing.T) {
	for _, c := range []struct {
		name string
		// arrange prepares the server s5, under which three attempts end.
		arrange func(e *env)
		silent  bool
	}{
		{"the server still answers", func(e *env) { e.setCondition(limpetupstream.Alive, "s5") }, false},
		{"the server is cut off and nothing is known", func(*env) {}, false},
		{"the server had announced that it leaves", func(e *env) {
			e.drain("s5")
			e.setCondition(limpetupstream.Ended, "s5")
		}, false},
		{"the server's entry was gone before the attempt ended", func(e *env) {
			e.unregister("s5")
			e.setCondition(limpetupstream.Ended, "s5")
		}, false},
		{"a server that started earlier is still registered at its address", func(e *env) { e.registerAt("s5", "s5-earlier", 0) }, true},
		{"the server was silent and lives", func(e *env) { e.setCondition(limpetupstream.Alive, "s5") }, true},
		{"the server was silent and its entry lapses, but it may only be cut off", func(e *env) { time.AfterFunc(time.Second, func() { e.unregister("s5") }) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, 2, func(e *env) {
				c.arrange(e)
				s := suspicion(7, "s5")
				s.Silent = c.silent
				<-e.books[0].Suspect(s)
				time.Sleep(settleTime)
				Convey("no crash is recorded: "+c.name, t, func() {
					So(e.verdicts(7), ShouldResemble, []limpetcrash.Verdict{clear, clear})
					So(e.stored(t), ShouldBeEmpty)
					So(e.books[0].Empty(), ShouldBeTrue)
				})
			})
		})
	}
}

func TestCrashesThatAreNoticedLate(t *testing.T) {
	for _, c := range []struct {
		name    string
		arrange func(e *env)
	}{
		{"the server refuses connections after a while", func(e *env) {
			time.AfterFunc(2*time.Second, func() { e.setCondition(limpetupstream.Ended, "s5") })
		}},
		{"the server registers as another incarnation", func(e *env) { time.AfterFunc(3*time.Second, func() { e.register("s5", 2) }) }},
		// Guards against incident 24: an answer of the next start under the same ID was
		// taken for a proof that the server had not crashed.
		{"the server answers again before its new registration is seen", func(e *env) {
			e.setCondition(limpetupstream.Unreachable, "s5")
			time.AfterFunc(1500*time.Millisecond, func() { e.setCondition(limpetupstream.Alive, "s5") })
			time.AfterFunc(2500*time.Millisecond, func() { e.register("s5", 2) })
		}},
		// Guards against incident 24: a crash that no check noticed was forgotten if
		// the server started again under another ID.
		{"another server registers at its address", func(e *env) { time.AfterFunc(3*time.Second, func() { e.registerAt("s5", "s5-next", 2) }) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, 2, func(e *env) {
				c.arrange(e)
				s := suspicion(7, "s5")
				s.Silent = true
				<-e.books[0].Suspect(s)
				time.Sleep(settleTime + 6*time.Second)
				Convey("the crash is recorded: "+c.name, t, func() {
					So(e.verdicts(7), ShouldResemble, []limpetcrash.Verdict{suspected, suspected})
				})
			})
		})
	}
}

func TestServedRequestsAreCleared(t *testing.T) {
	inBubble(t, 2, func(e *env) {
		Convey("a request that is served right after a crash leaves no record", t, func() {
			e.suspect(e.books[0], 7, "s0")
			e.books[0].Served(limpetcrash.Proof{Fingerprint: 7})
			time.Sleep(settleTime)
			So(e.verdicts(7), ShouldResemble, []limpetcrash.Verdict{clear, clear})
			writes, _ := e.store.Calls()
			So(writes, ShouldEqual, 0)
		})
		Convey("a request that another VM serves later is cleared on all VMs and in the store", t, func() {
			for n := range 3 {
				e.suspect(e.books[0], 8, fmt.Sprintf("s%d", n))
			}
			time.Sleep(settleTime)
			So(e.verdicts(8), ShouldResemble, []limpetcrash.Verdict{quarantined, quarantined})
			e.books[1].Served(limpetcrash.Proof{Fingerprint: 8})
			time.Sleep(settleTime)
			So(e.verdicts(8), ShouldResemble, []limpetcrash.Verdict{clear, clear})
			So(e.stored(t), ShouldBeEmpty)
		})
		Convey("a request that is served while it is asked whether its server crashed is not suspected", t, func() {
			decided := e.books[0].Suspect(suspicion(9, "s6"))
			time.Sleep(time.Millisecond)
			e.books[0].Served(limpetcrash.Proof{Fingerprint: 9})
			<-decided
			e.setCondition(limpetupstream.Ended, "s6")
			time.Sleep(10 * time.Second)
			So(e.verdicts(9), ShouldResemble, []limpetcrash.Verdict{clear, clear})
		})
	})
}

func TestNeighboursOfASuspect(t *testing.T) {
	inBubble(t, 1, func(e *env) {
		Convey("requests that run beside a suspect are not blamed for a further crash", t, func() {
			b := e.books[0]
			e.suspect(b, 7, "s0")
			for n := range 3 {
				b.Suspect(suspicion(uint64(100+n), "s1"))
			}
			e.suspect(b, 7, "s1")
			for n := range 3 {
				e.suspect(b, uint64(200+n), "s1")
			}
			So(e.verdicts(7), ShouldResemble, []limpetcrash.Verdict{suspected})
			for _, f := range []uint64{100, 101, 102, 200, 201, 202} {
				So(e.verdicts(f), ShouldResemble, []limpetcrash.Verdict{clear})
			}
		})
	})
}

func TestStoreOutage(t *testing.T) {
	inBubble(t, 3, func(e *env) {
		Convey("during an outage of the store a VM acts on the crashes that it saw itself, and shares them afterwards", t, func() {
			e.store.SetDown(true)
			for n := range 3 {
				e.suspect(e.books[0], 7, fmt.Sprintf("s%d", n))
			}
			time.Sleep(9 * time.Second)
			So(e.verdicts(7), ShouldResemble, []limpetcrash.Verdict{quarantined, clear, clear})
			writes, _ := e.store.Calls()
			So(writes, ShouldBeLessThan, 15)
			e.store.SetDown(false)
			// The pause between writes has grown to 2 s by now.
			time.Sleep(3 * time.Second)
			So(e.verdicts(7), ShouldResemble, []limpetcrash.Verdict{quarantined, quarantined, quarantined})
		})
		Convey("a write whose answer is lost takes effect once", t, func() {
			lost := 2
			e.store.Lock()
			e.store.Fault = func(kind, _ string) limpetstub.Fault {
				if kind == "commit" && lost > 0 {
					lost--
					return limpetstub.ReplyLost
				}
				return limpetstub.NoFault
			}
			e.store.Unlock()
			for n := range 3 {
				e.suspect(e.books[1], 8, fmt.Sprintf("s%d", n))
			}
			time.Sleep(3 * time.Second)
			So(e.verdicts(8), ShouldResemble, []limpetcrash.Verdict{quarantined, quarantined, quarantined})
		})
	})
}

func TestTrials(t *testing.T) {
	claims := func(e *env, request uint64) (claimed int) {
		for _, b := range e.books {
			if b.ClaimTrial(context.Background(), request, "acme", "r") {
				claimed++
			}
		}
		return claimed
	}
	inBubble(t, 3, func(e *env) {
		Convey("a quarantined request is sent for trial by one VM", t, func() {
			for n := range 3 {
				e.suspect(e.books[0], 7, fmt.Sprintf("s%d", n))
			}
			time.Sleep(31 * time.Second)
			So(e.verdicts(7), ShouldResemble, []limpetcrash.Verdict{due, due, due})
			So(claims(e, 7), ShouldEqual, 1)
			time.Sleep(settleTime)
			So(e.verdicts(7), ShouldResemble, []limpetcrash.Verdict{quarantined, quarantined, quarantined})
		})
		Convey("the next trial is due four times later, also if a VM starts anew meanwhile", t, func() {
			b := e.startVM(t, 3)
			time.Sleep(115 * time.Second)
			So(e.verdicts(7), ShouldResemble, []limpetcrash.Verdict{quarantined, quarantined, quarantined, quarantined})
			time.Sleep(6 * time.Second)
			So(e.verdicts(7), ShouldResemble, []limpetcrash.Verdict{due, due, due, due})
			So(b.ClaimTrial(context.Background(), 7, "acme", "r"), ShouldBeTrue)
		})
		Convey("a trial that is served clears the request everywhere, its trials included", t, func() {
			time.Sleep(settleTime)
			e.books[0].Served(limpetcrash.Proof{Fingerprint: 7})
			time.Sleep(settleTime)
			So(e.verdicts(7), ShouldResemble, []limpetcrash.Verdict{clear, clear, clear, clear})
			So(e.stored(t), ShouldBeEmpty)
		})
		Convey("without the store, or for a request that is not quarantined, there is no trial", t, func() {
			for n := range 3 {
				e.suspect(e.books[0], 8, fmt.Sprintf("s%d", n))
			}
			time.Sleep(31 * time.Second)
			e.store.SetDown(true)
			So(claims(e, 8), ShouldEqual, 0)
			e.store.SetDown(false)
			So(claims(e, 9), ShouldEqual, 0)
		})
		Convey("a claim whose answer is lost is not used, by no VM", t, func() {
			e.store.Lock()
			e.store.Fault = func(kind, key string) limpetstub.Fault {
				if kind == "commit" && strings.Contains(key, "/trial/") {
					return limpetstub.ReplyLost
				}
				return limpetstub.NoFault
			}
			e.store.Unlock()
			So(claims(e, 8), ShouldEqual, 0)
		})
	})
}

func TestOperatorsRelease(t *testing.T) {
	inBubble(t, 2, func(e *env) {
		Convey("operators see suspects and quarantined requests, and release them on all VMs", t, func() {
			ctx, store := context.Background(), e.store.Client()
			e.suspect(e.books[0], 8, "s0")
			for n := range 3 {
				e.suspect(e.books[0], 7, fmt.Sprintf("s%d", n))
			}
			time.Sleep(settleTime)
			suspects, err := limpetcrash.ReadSuspects(ctx, store, time.Now())
			So(err, ShouldBeNil)
			So(len(suspects), ShouldEqual, 2)
			So(suspects[0].Quarantined, ShouldBeTrue)
			So(suspects[0].Servers, ShouldResemble, []string{"s0.1", "s1.1", "s2.1"})
			So(suspects[0].Request, ShouldEqual, "r7")
			So(suspects[1].Quarantined, ShouldBeFalse)
			So(limpetcrash.Release(ctx, store, suspects[0].Name), ShouldBeNil)
			time.Sleep(settleTime)
			So(e.verdicts(7), ShouldResemble, []limpetcrash.Verdict{clear, clear})
			So(e.verdicts(8), ShouldResemble, []limpetcrash.Verdict{suspected, suspected})
			So(limpeterror.Is(limpetcrash.Release(ctx, store, suspects[0].Name), limpeterror.NotFound), ShouldBeTrue)
			So(limpeterror.Is(limpetcrash.Release(ctx, store, "nonsense"), limpeterror.Invalid), ShouldBeTrue)
		})
	})
}

func TestFloodOfDistinctRequests(t *testing.T) {
	inBubble(t, 2, func(e *env) {
		Convey("many distinct requests under crashes stay within the bounds of memory and of the store's rate", t, func() {
			for n := range 3 {
				e.suspect(e.books[0], 1, fmt.Sprintf("s%d", n))
			}
			time.Sleep(settleTime)
			began := time.Now()
			for n := range 2 * limpetcrash.Rules.MaxRequests {
				e.books[0].Suspect(suspicion(uint64(1000+n), fmt.Sprintf("s%d", n%5)))
				time.Sleep(time.Millisecond)
			}
			time.Sleep(10 * time.Second)
			writes, _ := e.store.Calls()
			So(writes, ShouldBeLessThanOrEqualTo, int(time.Since(began)/(100*time.Millisecond))+3)
			So(len(e.stored(t)), ShouldBeLessThan, 2*limpetcrash.Rules.MaxRequests)
			So(e.verdicts(1), ShouldResemble, []limpetcrash.Verdict{quarantined, quarantined})
		})
	})
}

func TestChecksAreShared(t *testing.T) {
	inBubble(t, 1, func(e *env) {
		Convey("many attempts that end on one server cost few checks", t, func() {
			e.setCondition(limpetupstream.Alive, "s5")
			var decided []<-chan struct{}
			for n := range 50 {
				decided = append(decided, e.books[0].Suspect(suspicion(uint64(n), "s5")))
			}
			for _, d := range decided {
				<-d
			}
			So(e.checks, ShouldBeLessThanOrEqualTo, 2)
			So(e.log.count(`"outcome":"alive"`), ShouldEqual, 50)
		})
	})
}

func TestUndecodableRecords(t *testing.T) {
	inBubble(t, 1, func(e *env) {
		Convey("values that are no records are logged and ignored", t, func() {
			b := e.books[0]
			for n, v := range []limpetstore.Value{
				{Key: limpetcrash.Prefix + "nonsense", Data: []byte("{}"), Revision: 100},
				{Key: limpetcrash.Key(7, "s0.1"), Data: []byte("{"), Revision: 101},
				{Key: limpetcrash.Prefix, Data: nil, Revision: 102},
			} {
				b.ApplyChanges(context.Background(), []limpetstore.Value{v})
				time.Sleep(settleTime)
				So(e.log.count("value ignored"), ShouldEqual, n+1)
			}
			So(b.Empty(), ShouldBeTrue)
		})
	})
}

func TestNilBook(t *testing.T) {
	Convey("a nil book knows nothing", t, func() {
		var b *limpetcrash.Book
		So(b.Empty(), ShouldBeTrue)
		v, _ := b.Verdict(1)
		So(v, ShouldEqual, clear)
		b.Served(limpetcrash.Proof{Fingerprint: 1})
		<-b.Suspect(suspicion(1, "s0"))
	})
}
