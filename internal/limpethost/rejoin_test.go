package limpethost_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
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

// registerDelay is how long after its start a server registers, at the latest.
const registerDelay = 1200 * time.Millisecond

// A restartFleet is a service whose servers can start again under their ID with other
// software. The data of an event names the software that made it, whatever is
// registered.
type restartFleet struct {
	store   *limpetstub.Store
	network *vmNetwork
	group   *limpettask.Group
	vms     []*limpethost.Host

	mu sync.Mutex
	// running holds what runs under an ID; nil if nothing does.
	running map[string]*limpetsite.Server
}

func startRestarts(t *testing.T, versions ...string) *restartFleet {
	t.Helper()
	group := limpettask.New(context.Background())
	f := &restartFleet{store: limpetstub.NewStore(), group: group, network: &vmNetwork{hosts: map[string]*limpethost.Host{}, group: group}, running: map[string]*limpetsite.Server{}}
	for n, version := range versions {
		f.startServer(fmt.Sprintf("s%d", n), version)
		f.register(t, fmt.Sprintf("s%d", n), false)
	}
	if _, err := f.store.Client().Commit(context.Background(), limpetstore.Transaction{Writes: []limpetstore.Write{{Key: "conf/x", Data: []byte("1")}}}); err != nil {
		t.Fatal(err)
	}
	for n := range 4 {
		f.vms = append(f.vms, f.startVM(n))
	}
	time.Sleep(5 * time.Second)
	return f
}

func (f *restartFleet) startVM(n int) *limpethost.Host {
	name := fmt.Sprintf("vm-%d", n)
	h := startVMWith(f.store, name, f.client(), func(s *limpethost.Settings, d *limpethost.Deps) {
		s.RelayAddress, s.ReadyAddress, d.RelayTransport, s.HasDisk = name, name, f.network, n == 0
	}, (&crashFleet{}).feed())
	f.network.set(name, h)
	return h
}

// client returns the calls to the servers.
func (f *restartFleet) client() limpetupstream.Client {
	return limpetupstream.Client{Send: f.send, Report: f.report, Check: f.check}
}

// check finds whether a server runs under an ID.
func (f *restartFleet) check(_ context.Context, s *limpetsite.Server, _ string) limpetupstream.Condition {
	if f.current(s.ID) == nil {
		return limpetupstream.Ended
	}
	return limpetupstream.Alive
}

// stopServer ends what runs under an ID.
func (f *restartFleet) stopServer(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[id] = nil
}

// startServer starts a server under an ID, which may have run before.
func (f *restartFleet) startServer(id, version string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[id] = &limpetsite.Server{ID: id, Service: "chat", Address: id, Zone: "a", Slots: 40, Incarnation: time.Now().UnixMilli(), Software: limpetsite.SoftwareOf("chat", version)}
}

// register writes the entry of what runs under an ID, or removes it.
func (f *restartFleet) register(t *testing.T, id string, draining bool) {
	t.Helper()
	f.mu.Lock()
	var server *limpetsite.Server
	if running := f.running[id]; running != nil {
		entry := *running
		entry.Draining = draining
		server = &entry
	}
	f.mu.Unlock()
	change := limpetstore.Transaction{Deletes: []string{serverPrefix + id}}
	if server != nil {
		data, err := json.Marshal(server)
		if err != nil {
			t.Fatal(err)
		}
		change = limpetstore.Transaction{Writes: []limpetstore.Write{{Key: serverPrefix + id, Data: data}}}
	}
	for {
		_, err := f.store.Client().Commit(context.Background(), change)
		if err == nil {
			return
		}
		if !limpeterror.Is(err, limpeterror.Unavailable) {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (f *restartFleet) current(id string) *limpetsite.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running[id]
}

func (f *restartFleet) report(_ context.Context, s *limpetsite.Server) (limpetupstream.Report, error) {
	running := f.current(s.ID)
	if running == nil {
		return limpetupstream.Report{}, limpeterror.Unavailable.New("not connected")
	}
	return limpetupstream.Report{Incarnation: running.Incarnation}, nil
}

func (f *restartFleet) send(ctx context.Context, c limpetupstream.Call) (*limpetupstream.Reply, error) {
	running := f.current(c.Server.ID)
	if running == nil {
		return nil, limpeterror.Unavailable.New("not connected")
	}
	n := c.LastEventID
	return &limpetupstream.Reply{Status: http.StatusOK, Signature: "s", Close: func() {}, Events: func() (limpetupstream.Event, error) {
		if n == chatEvents {
			return limpetupstream.Event{}, io.EOF
		}
		if !limpettask.Sleep(ctx, chatInterval) {
			return limpetupstream.Event{}, ctx.Err()
		}
		if f.current(c.Server.ID) != running {
			return limpetupstream.Event{}, limpeterror.Disconnected.New("the server ended")
		}
		n++
		return limpetupstream.Event{ID: n, Data: string(running.Software)}, nil
	}}, nil
}

// begin begins streams through a VM, reads one event of each, and returns the software
// that made it, and a function that cuts the callers' connections.
func (f *restartFleet) begin(t *testing.T, vm, streams int) (begun []string, cut func()) {
	group := limpettask.New(context.Background())
	begun = make([]string, streams)
	answers := make([]limpetforward.Answer, streams)
	for n := range streams {
		group.Go(func(context.Context) error {
			answers[n] = f.vms[vm].Forwarder.Forward(context.Background(), chatRequest(fmt.Sprintf("first-%d", n), "", 0))
			if software := readEvents(answers[n], 1); len(software) == 1 {
				begun[n] = software[0]
			}
			return nil
		})
	}
	time.Sleep(chatInterval)
	synctest.Wait()
	if err := group.Stop(); err != nil {
		t.Error(err)
	}
	return begun, func() {
		for _, a := range answers {
			if a.Reply != nil {
				a.Reply.Close()
			}
		}
	}
}

// takeUp comes back for the streams at a VM, up to three times as callers do, and
// returns the number of those whose texts are of two versions, and of those that went
// on.
func (f *restartFleet) takeUp(vm int, begun []string) (mixed, wentOn int) {
	for n, first := range begun {
		for try := range 3 {
			a := f.vms[vm].Forwarder.Forward(context.Background(), chatRequest(fmt.Sprintf("next-%d-%d", n, try), fmt.Sprintf("first-%d", n), 1))
			if a.Reason != limpetforward.Served {
				time.Sleep(a.RetryAfter)
				continue
			}
			software := readEvents(a, 1)
			a.Reply.Close()
			if len(software) == 1 {
				wentOn++
				if software[0] != first {
					mixed++
				}
			}
			break
		}
	}
	return mixed, wentOn
}

// Guards against texts of two versions after all VMs died at once: a server started
// again under its ID with other software, was sent streams on the word of its earlier
// registration, and the VMs died before they could learn of it. Callers came back to
// VMs that believed the record of the earlier software.
func TestStreamsTakenUpAfterAllVMsDied(t *testing.T) {
	const streams = 12
	// share is the stated least share of streams that go on while servers of their
	// software serve, against the share of new ones that begin.
	const share = 0.5
	all, edges := []int{0, 1, 2, 3}, []int{1, 2, 3}
	for _, c := range []struct {
		name string
		// before happens before the streams begin, and after it when the VMs are dead.
		before, after func(t *testing.T, f *restartFleet)
		dead          []int
		storeDown     bool
		// wentOn is set if streams must go on; delays that leave a VM no time to tell
		// anyone of a stream are excepted.
		wentOn bool
	}{
		{name: "the servers are as before", dead: edges, wentOn: true},
		{name: "the servers are as before, and the director dies too", dead: all, wentOn: true},
		{name: "a server of the software leaves", dead: edges, wentOn: true, after: func(t *testing.T, f *restartFleet) { f.register(t, "s0", true) }},
		{name: "a server of the software is gone", dead: edges, wentOn: true, after: func(t *testing.T, f *restartFleet) {
			f.mu.Lock()
			f.running["s0"] = nil
			f.mu.Unlock()
			f.register(t, "s0", false)
		}},
		{name: "a server had started again with the same software", dead: edges, wentOn: true, before: func(t *testing.T, f *restartFleet) {
			restartWith(t, f, "v1")
		}},
		{name: "a server had started again with other software", dead: edges, before: restart},
		{name: "a server had started again with other software, and the director dies too", dead: all, before: restart},
		{name: "the store is down meanwhile", dead: edges, before: restart, storeDown: true},
		{name: "a server had started again, and is gone afterwards", dead: edges, before: restart, after: func(t *testing.T, f *restartFleet) {
			time.Sleep(registerDelay)
			f.mu.Lock()
			f.running["s0"] = nil
			f.mu.Unlock()
			f.register(t, "s0", false)
		}},
	} {
		for _, delay := range []time.Duration{20 * time.Millisecond, 60 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond, time.Second} {
			t.Run(fmt.Sprint(c.name, ", ", delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := startRestarts(t, "v1", "v1", "v2", "v2")
					if c.before != nil {
						c.before(t, f)
					}
					begun, cut := f.begin(t, 1, streams)
					time.Sleep(delay)
					f.store.SetDown(c.storeDown)
					for _, n := range c.dead {
						f.network.set(fmt.Sprintf("vm-%d", n), nil)
						stopHost(t, f.vms[n])
					}
					cut()
					if c.after != nil {
						c.after(t, f)
					}
					time.Sleep(500 * time.Millisecond)
					f.store.SetDown(false)
					for _, n := range c.dead {
						f.vms[n] = f.startVM(n)
					}
					time.Sleep(1500 * time.Millisecond)
					mixed, wentOn := f.takeUp(2, begun)
					t.Logf("%d of %d went on, %d mixed", wentOn, streams, mixed)
					check(t, mixed, convey.ShouldEqual, 0)
					if c.wentOn && delay >= 300*time.Millisecond {
						check(t, float64(wentOn)/streams, convey.ShouldBeGreaterThanOrEqualTo, share)
					}
					f.stop(t)
				})
			})
		}
	}
}

// restart starts the server that gets the streams again, with other software.
func restart(t *testing.T, f *restartFleet) { restartWith(t, f, "v2") }

// restartWith starts that server again with a version, as which it registers later.
func restartWith(t *testing.T, f *restartFleet, version string) {
	f.startServer("s0", version)
	time.AfterFunc(registerDelay, func() { f.register(t, "s0", false) })
}

func (f *restartFleet) stop(t *testing.T) {
	t.Helper()
	for _, h := range f.vms {
		stopHost(t, h)
	}
	if err := f.group.Stop(); err != nil {
		t.Error(err)
	}
}
