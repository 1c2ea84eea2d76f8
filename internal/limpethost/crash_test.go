package limpethost_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetforward"
	"limpetmount.org/internal/limpethost"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpetstub"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetupstream"
)

const (
	serverPrefix = "fleet/"
	// crashBody is the body of a request that crashes every server that begins
	// to run it.
	crashBody = "crash"
	// restartTime is how long a crashed server is down.
	restartTime = 1500 * time.Millisecond
	runTime     = 20 * time.Millisecond
	// contactTime is the time after a crash within which VMs must have learned
	// of it, and maxLaterRetries the number of repetitions of a request that
	// crashed crashLimit servers that may still reach a server after that. All
	// are the deployment's stated bounds.
	contactTime     = 3 * time.Second
	crashLimit      = 3
	maxLaterRetries = 3
)

// A crashFleet is a service whose servers crash when they run a request with
// crashBody. A crashed server ends all its requests, refuses connections, and
// registers again as another incarnation at its address. The fields up to newIDs
// may be set before the first request.
type crashFleet struct {
	store limpetstore.Store
	// queue returns how long a request waits before a server begins to run it;
	// nil if it does not wait.
	queue func() time.Duration
	// crashDelay is the time from the start of a run until its server crashes.
	crashDelay time.Duration
	// answersAtDeadline is set if a server gives up a request shortly before
	// the deadline that it was sent, and says so.
	answersAtDeadline bool
	restartTime       time.Duration
	// newIDs is set if each start of a server has an ID of its own.
	newIDs bool
	// silent is set if nothing answers at the address of a crashed server until
	// one starts there again. Its registration is removed after lapse; if that is
	// 0, with the next start.
	silent bool
	lapse  time.Duration
	// network connects the VMs; nil if they reach only the store and the servers.
	network *vmNetwork

	mu           sync.Mutex
	incarnations map[string]int64
	// down is closed when the server at an address crashes; nil while none runs
	// there.
	down map[string]chan struct{}
	// crashes holds the times at which a request with crashBody crashed a
	// server, and reached its repetitions that reached one, by ID.
	crashes []time.Time
	calm    bool
	reached map[string]time.Time
}

func newCrashFleet(t *testing.T, store *limpetstub.Store, servers int) *crashFleet {
	t.Helper()
	f := &crashFleet{
		store: store.Client(), restartTime: restartTime, incarnations: map[string]int64{}, down: map[string]chan struct{}{}, reached: map[string]time.Time{},
	}
	for n := range servers {
		f.register(t, fmt.Sprintf("s%d", n))
	}
	return f
}

// id returns the ID of the server that started last at an address.
func (f *crashFleet) id(address string) string {
	if f.newIDs && f.incarnations[address] > 1 {
		return fmt.Sprintf("%s-%d", address, f.incarnations[address])
	}
	return address
}

// register starts a server at an address.
func (f *crashFleet) register(t *testing.T, address string) {
	t.Helper()
	f.mu.Lock()
	earlier := f.id(address)
	f.incarnations[address]++
	f.down[address] = make(chan struct{})
	id := f.id(address)
	data, err := json.Marshal(limpetsite.Server{ID: id, Service: "desk", Address: address, Zone: "a", Slots: 6, Incarnation: f.incarnations[address]})
	f.mu.Unlock()
	change := limpetstore.Transaction{Writes: []limpetstore.Write{{Key: serverPrefix + id, Data: data}}}
	if earlier != id {
		change.Deletes = []string{serverPrefix + earlier}
	}
	if err == nil {
		_, err = f.store.Commit(context.Background(), change)
	}
	if err != nil {
		t.Error(err)
	}
}

// feed decodes the servers' records.
func (f *crashFleet) feed() limpethost.Feed {
	return limpethost.Feed{Prefix: serverPrefix, Servers: true, Decode: func(v limpetstore.Value) limpetsite.Record {
		r := limpetsite.Record{Key: limpetsite.ServerKey + strings.TrimPrefix(v.Key, serverPrefix), Revision: v.Revision, Deleted: v.Deleted}
		var s limpetsite.Server
		if !v.Deleted && json.Unmarshal(v.Data, &s) == nil {
			r.Server = &s
		}
		return r
	}}
}

// deadlineMargin is how long before the deadline that it was sent a server gives
// up a request, if it answers then at all.
const deadlineMargin = 5 * time.Millisecond

// send is the Send of a client of the fleet.
func (f *crashFleet) send(ctx context.Context, t *testing.T, c limpetupstream.Call) (*limpetupstream.Reply, error) {
	f.mu.Lock()
	crashed, current := f.down[c.Server.Address], f.id(c.Server.Address) == c.Server.ID
	f.mu.Unlock()
	switch {
	case crashed == nil && f.silent:
		<-ctx.Done()
		return nil, limpeterror.Unavailable.New("not connected")
	case crashed == nil:
		return nil, limpeterror.Unavailable.New("connection refused")
	case !current:
		return &limpetupstream.Reply{Status: http.StatusMisdirectedRequest, NotRun: true, Misdirected: true, Close: func() {}}, nil
	}
	crashing := string(c.Body) == crashBody && !f.isCalm()
	if crashing {
		f.recordReached(c.ID)
	}
	deadline := (<-chan time.Time)(nil)
	if f.answersAtDeadline {
		deadline = time.After(c.Remaining - deadlineMargin)
	}
	reply := func(status int, notRun bool) (*limpetupstream.Reply, error) {
		return &limpetupstream.Reply{Status: status, NotRun: notRun, Signature: "s", Close: func() {}}, nil
	}
	// ended is the end of an attempt at a server that crashed.
	ended := func() (*limpetupstream.Reply, error) {
		if f.silent {
			<-ctx.Done()
			return nil, limpeterror.Silent.New("given up")
		}
		return nil, limpeterror.Disconnected.New("connection reset")
	}
	if f.queue != nil {
		select {
		case <-time.After(f.queue()):
		case <-deadline:
			return reply(http.StatusServiceUnavailable, true)
		case <-crashed:
			return ended()
		case <-ctx.Done():
			return nil, limpeterror.Silent.New("given up")
		}
	}
	work := runTime
	if crashing {
		work = f.crashDelay
	}
	select {
	case <-time.After(work):
	case <-deadline:
		return reply(http.StatusGatewayTimeout, false)
	case <-crashed:
		return ended()
	case <-ctx.Done():
		return nil, limpeterror.Silent.New("given up")
	}
	if crashing {
		f.crash(t, c.Server.Address)
		return ended()
	}
	return reply(http.StatusOK, false)
}

// setCalm lets servers run requests with crashBody like any other.
func (f *crashFleet) setCalm() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calm = true
}

func (f *crashFleet) isCalm() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calm
}

// check is the Check of a client of the fleet.
func (f *crashFleet) check(ctx context.Context, s *limpetsite.Server, _ string) limpetupstream.Condition {
	f.mu.Lock()
	down := f.down[s.Address] == nil
	f.mu.Unlock()
	if down && f.silent {
		<-ctx.Done()
		return limpetupstream.Unreachable
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down[s.Address] == nil || f.incarnations[s.Address] != s.Incarnation {
		return limpetupstream.Ended
	}
	return limpetupstream.Alive
}

// recordReached records that a repetition of the crashing request reached a
// server.
func (f *crashFleet) recordReached(request string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reached[request] = time.Now()
}

// crash ends the server at an address because of a request, and starts another
// one there later.
func (f *crashFleet) crash(t *testing.T, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down[address] == nil {
		return
	}
	f.crashes = append(f.crashes, time.Now())
	close(f.down[address])
	f.down[address] = nil
	time.AfterFunc(f.restartTime, func() { f.register(t, address) })
	if f.lapse > 0 {
		id := f.id(address)
		time.AfterFunc(f.lapse, func() {
			if _, err := f.store.Commit(context.Background(), limpetstore.Transaction{Deletes: []string{serverPrefix + id}}); err != nil {
				t.Error(err)
			}
		})
	}
}

// counts returns the number of crashes and of repetitions that reached a server.
func (f *crashFleet) counts() (crashes, reached int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.crashes), len(f.reached)
}

// laterRetries counts the repetitions that reached a server later than
// contactTime after the request had crashed crashLimit servers.
func (f *crashFleet) laterRetries() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < crashLimit {
		return 0
	}
	n := 0
	for _, at := range f.reached {
		if at.Sub(f.crashes[crashLimit-1]) > contactTime {
			n++
		}
	}
	return n
}

func plainRequest(id, body string) *limpetforward.Request {
	return &limpetforward.Request{
		ID: id, Method: http.MethodPost, Target: "/plain/x", Path: "/plain/x", Host: "h", Header: http.Header{}, Body: []byte(body),
		Key: "good", Arrived: time.Now(), Timeout: 800 * time.Millisecond,
	}
}

// startVMs starts VMs that serve callers in front of a fleet.
func (f *crashFleet) startVMs(t *testing.T, store *limpetstub.Store, n int) []*limpethost.Host {
	t.Helper()
	upstream := limpetupstream.Client{Check: f.check, Send: func(ctx context.Context, c limpetupstream.Call) (*limpetupstream.Reply, error) {
		return f.send(ctx, t, c)
	}}
	if _, err := store.Client().Commit(context.Background(), limpetstore.Transaction{Writes: []limpetstore.Write{{Key: "conf/x", Data: []byte("1")}}}); err != nil {
		t.Fatal(err)
	}
	change := func(*limpethost.Settings, *limpethost.Deps) {}
	if f.network != nil {
		upstream.Probe = f.check
	}
	var vms []*limpethost.Host
	for i := range n {
		name := fmt.Sprintf("vm-%d", i)
		if f.network != nil {
			change = func(s *limpethost.Settings, d *limpethost.Deps) {
				s.RelayAddress, s.ReadyAddress, d.RelayTransport, s.HasDisk = name, name, f.network, i == 0
			}
		}
		h := startVMWith(store, name, upstream, change, f.feed())
		if f.network != nil {
			f.network.set(name, h)
		}
		vms = append(vms, h)
	}
	time.Sleep(3 * time.Second)
	return vms
}

func forward(h *limpethost.Host, id, body string) limpetforward.Answer {
	return h.Forwarder.Forward(context.Background(), plainRequest(id, body))
}

// Guards against incident 21: each VM gave each repetition of a request that
// crashes servers a fresh budget, so that it crashed servers without end.
func TestCrashingRequestIsStoppedOnAllVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := limpetstub.NewStore()
		fleet := newCrashFleet(t, store, 7)
		vms := fleet.startVMs(t, store, 6)
		served := 0
		const repetitions = 150
		for n := range repetitions {
			forward(vms[n%len(vms)], fmt.Sprintf("r%d", n), crashBody)
			if forward(vms[n%len(vms)], fmt.Sprintf("o%d", n), fmt.Sprintf("other %d", n)).Reason == limpetforward.Served {
				served++
			}
			time.Sleep(400 * time.Millisecond)
		}
		t.Log("servers crashed", len(fleet.crashes), "repetitions reached a server", len(fleet.reached), "of them later", fleet.laterRetries())
		check(t, fleet.laterRetries(), convey.ShouldBeLessThanOrEqualTo, maxLaterRetries)
		check(t, served, convey.ShouldEqual, repetitions)
		for _, h := range vms {
			stopHost(t, h)
		}
	})
}

// Guards against a quarantine that outlives its reason: nothing was sent that
// could have cleared a request that was sound after all.
func TestQuarantinedRequestIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := limpetstub.NewStore()
		fleet := newCrashFleet(t, store, 7)
		vms := fleet.startVMs(t, store, 6)
		for n := range 3 {
			forward(vms[n], fmt.Sprintf("c%d", n), crashBody)
			time.Sleep(500 * time.Millisecond)
		}
		refused := forward(vms[5], "c3", crashBody)
		crashed := len(fleet.crashes)
		fleet.setCalm()
		var servedAfter time.Duration
		began := time.Now()
		served := 0
		for n := range 60 {
			// All VMs get the request at the same moment.
			for i, h := range vms {
				if forward(h, fmt.Sprintf("s%d-%d", n, i), crashBody).Reason == limpetforward.Served {
					served++
				}
			}
			if served > 0 && servedAfter == 0 {
				servedAfter = time.Since(began)
			}
			time.Sleep(time.Second)
		}
		check(t, refused.Reason, convey.ShouldEqual, limpetforward.Quarantined)
		check(t, refused.RetryAfter, convey.ShouldBeLessThanOrEqualTo, 30*time.Second)
		check(t, crashed, convey.ShouldEqual, crashLimit)
		check(t, servedAfter, convey.ShouldBeBetween, 25*time.Second, 32*time.Second)
		check(t, served, convey.ShouldBeGreaterThan, 6*25)
		for _, h := range vms {
			stopHost(t, h)
		}
	})
	t.Run("a request that goes on to crash servers crashes one in each trial, ever more seldom", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			store := limpetstub.NewStore()
			fleet := newCrashFleet(t, store, 7)
			vms := fleet.startVMs(t, store, 6)
			for n := range 9 * 60 {
				for i, h := range vms {
					forward(h, fmt.Sprintf("r%d-%d", n, i), crashBody)
				}
				time.Sleep(time.Second)
			}
			// Trials are due 30 s, 120 s and 480 s after the crash before.
			t.Log("servers crashed", len(fleet.crashes), "repetitions that reached one later", fleet.laterRetries())
			check(t, fleet.laterRetries(), convey.ShouldBeLessThanOrEqualTo, maxLaterRetries)
			for _, h := range vms {
				stopHost(t, h)
			}
		})
	})
}

// deskRequest is a request whose caller waits for a short time only.
func deskRequest(id, body string) *limpetforward.Request {
	r := plainRequest(id, body)
	r.Target, r.Path, r.Timeout = "/desk/x", "/desk/x", 325*time.Millisecond
	return r
}

// Guards against incident 24: a server's 500 or 504 cleared, on all VMs, a
// request that crashes servers, although it says nothing of what the server
// would have done next.
func TestServersThatGiveUpDoNotClearACrashingRequest(t *testing.T) {
	for _, c := range []struct {
		name     string
		maxQueue time.Duration
		delay    time.Duration
		duration time.Duration
	}{
		{"as reported", 330 * time.Millisecond, 58 * time.Millisecond, time.Minute},
		{"for several trials", 330 * time.Millisecond, 58 * time.Millisecond, 9 * time.Minute},
		{"slow crashes", 330 * time.Millisecond, 150 * time.Millisecond, time.Minute},
		{"slow crashes, for several trials", 330 * time.Millisecond, 150 * time.Millisecond, 9 * time.Minute},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					// The load of the report: the request waits in queues of servers, crashes
					// them some time after its start, and is repeated at any VM.
					between := newUniform(seed)
					store := limpetstub.NewStore()
					fleet := newCrashFleet(t, store, 7)
					fleet.queue = func() time.Duration { return between(0, c.maxQueue) }
					fleet.crashDelay, fleet.answersAtDeadline, fleet.restartTime, fleet.newIDs = c.delay, true, 2*time.Second, true
					vms := fleet.startVMs(t, store, 6)
					for n, began := 0, time.Now(); time.Since(began) < c.duration; n++ {
						vms[n%len(vms)].Forwarder.Forward(context.Background(), deskRequest(fmt.Sprintf("r%d", n), crashBody))
						time.Sleep(between(100*time.Millisecond, 400*time.Millisecond))
					}
					crashes, reached := fleet.counts()
					t.Log("servers crashed", crashes, "repetitions reached a server", reached, "of them later", fleet.laterRetries())
					check(t, len(fleet.crashes), convey.ShouldBeGreaterThanOrEqualTo, crashLimit)
					check(t, fleet.laterRetries(), convey.ShouldBeLessThanOrEqualTo, maxLaterRetries)
					for _, h := range vms {
						stopHost(t, h)
					}
				})
			})
		}
	}
}

// newUniform returns a seeded function that draws a duration between two bounds.
func newUniform(seed uint64) func(least, most time.Duration) time.Duration {
	random := rand.New(rand.NewPCG(seed, 24))
	var mu sync.Mutex
	return func(least, most time.Duration) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return least + time.Duration(random.Int64N(int64(most-least)))
	}
}

// Guards against incident 24: a crash that ends no connection was not counted if
// its caller had left, and only after the server's next start otherwise.
func TestSilentCrashesAreCounted(t *testing.T) {
	for _, c := range []struct {
		name           string
		restart, lapse time.Duration
		// callerLeaves is set if callers disconnect at their deadline.
		callerLeaves bool
		// connected is set if the VMs reach each other.
		connected bool
	}{
		{"servers start again soon", 2500 * time.Millisecond, 0, false, false},
		{"servers start again soon, callers leave", 2500 * time.Millisecond, 0, true, false},
		{"servers start again late", 7 * time.Second, 1200 * time.Millisecond, false, false},
		{"servers start again late, callers leave", 7 * time.Second, 1200 * time.Millisecond, true, false},
		{"entries outlive servers", 7 * time.Second, 4800 * time.Millisecond, false, true},
		{"entries outlive servers, callers leave", 7 * time.Second, 4800 * time.Millisecond, true, true},
		{"entries stay until servers start again", 7 * time.Second, 0, false, true},
		{"entries stay until servers start again, callers leave", 7 * time.Second, 0, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := limpetstub.NewStore()
				fleet := newCrashFleet(t, store, 7)
				fleet.crashDelay, fleet.restartTime, fleet.newIDs, fleet.silent, fleet.lapse = 58*time.Millisecond, c.restart, true, true, c.lapse
				group := limpettask.New(context.Background())
				if c.connected {
					fleet.network = &vmNetwork{hosts: map[string]*limpethost.Host{}, group: group}
				}
				vms := fleet.startVMs(t, store, 6)
				for n, began := 0, time.Now(); time.Since(began) < time.Minute; n++ {
					group.Go(func(ctx context.Context) error {
						r := deskRequest(fmt.Sprintf("r%d", n), crashBody)
						ctx, cancel := context.WithCancel(ctx)
						defer cancel()
						if c.callerLeaves {
							time.AfterFunc(r.Timeout-deadlineMargin, cancel)
						}
						vms[n%len(vms)].Forwarder.Forward(ctx, r)
						return nil
					})
					time.Sleep(100 * time.Millisecond)
				}
				crashes, reached := fleet.counts()
				t.Log("servers crashed", crashes, "repetitions reached a server", reached, "of them later", fleet.laterRetries())
				check(t, fleet.laterRetries(), convey.ShouldBeLessThanOrEqualTo, maxLaterRetries)
				for _, h := range vms {
					stopHost(t, h)
				}
				if err := group.Stop(); err != nil {
					t.Error(err)
				}
			})
		})
	}
}
