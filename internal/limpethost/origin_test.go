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

	"limpetmount.org/internal/limpetforward"
	"limpetmount.org/internal/limpethost"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpetstub"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetupstream"
)

const (
	chatEvents   = 40
	chatInterval = 50 * time.Millisecond
)

// A chatFleet is a service whose servers run two versions of its software, each in
// an availability zone of its own, so that VMs in different zones choose different
// ones. The data of their events names the version that made them.
type chatFleet struct {
	store   *limpetstub.Store
	network *vmNetwork
	group   *limpettask.Group
	vms     []*limpethost.Host

	mu    sync.Mutex
	sends int
}

func (f *chatFleet) register(t *testing.T, id, version string) {
	t.Helper()
	data, err := json.Marshal(limpetsite.Server{ID: id, Service: "chat", Address: id, Zone: map[string]string{"v1": "a", "v2": "b"}[version], Slots: 20, Incarnation: 1, Software: limpetsite.SoftwareOf("chat", version)})
	if err == nil {
		_, err = f.store.Client().Commit(context.Background(), limpetstore.Transaction{Writes: []limpetstore.Write{{Key: serverPrefix + id, Data: data}}})
	}
	if err != nil {
		t.Error(err)
	}
}

func (f *chatFleet) send(ctx context.Context, c limpetupstream.Call) (*limpetupstream.Reply, error) {
	f.mu.Lock()
	f.sends++
	f.mu.Unlock()
	n := c.LastEventID
	return &limpetupstream.Reply{Status: http.StatusOK, Signature: "s", Close: func() {}, Events: func() (limpetupstream.Event, error) {
		if n == chatEvents {
			return limpetupstream.Event{}, io.EOF
		}
		if !limpettask.Sleep(ctx, chatInterval) {
			return limpetupstream.Event{}, ctx.Err()
		}
		n++
		return limpetupstream.Event{ID: n, Data: string(c.Server.Software)}, nil
	}}, nil
}

// report is the report of a server, none of which starts again.
func (f *chatFleet) report(context.Context, *limpetsite.Server) (limpetupstream.Report, error) {
	return limpetupstream.Report{Incarnation: 1}, nil
}

func (f *chatFleet) check(context.Context, *limpetsite.Server, string) limpetupstream.Condition {
	return limpetupstream.Alive
}

func (f *chatFleet) start(n int) *limpethost.Host {
	name := fmt.Sprintf("vm-%d", n)
	feed := (&crashFleet{}).feed()
	h := startVMWith(f.store, name, limpetupstream.Client{Send: f.send, Report: f.report, Check: f.check}, func(s *limpethost.Settings, d *limpethost.Deps) {
		s.RelayAddress, s.ReadyAddress, d.RelayTransport, s.HasDisk = name, name, f.network, n == 0
		if n > 1 {
			s.Zone = "b"
		}
	}, feed)
	f.network.set(name, h)
	return h
}

// chatRequest returns a request for a stream after an event, which the attempt named
// resumes began.
func chatRequest(id, resumes string, after int) *limpetforward.Request {
	return &limpetforward.Request{
		ID: id, Method: http.MethodPost, Target: "/chat/x", Path: "/chat/x", Host: "h", Header: http.Header{}, Key: "good",
		Arrived: time.Now(), Timeout: 20 * time.Second, LastEventID: after, Resumes: resumes,
	}
}

// readEvents reads up to a number of events of an answer, and returns the software
// of each.
func readEvents(a limpetforward.Answer, n int) []string {
	var software []string
	for a.Reply != nil && len(software) < n {
		e, err := a.Reply.Events()
		if err != nil {
			break
		}
		software = append(software, e.Data)
	}
	return software
}

// Guards against streams that hold events of two software versions over a caller's
// tries: the VM that the caller came back to did not know which software began it.
func TestCallersComeBackForStreams(t *testing.T) {
	const (
		streams = 16
		read    = 10
		// share is the stated least share of streams that go on while two servers
		// of their software serve, against the share of new ones that begin.
		share = 0.5
	)
	for _, c := range []struct {
		name string
		// fault happens after the callers have read the first events, at VM 1.
		fault func(t *testing.T, f *chatFleet)
	}{
		{"at another VM", func(*testing.T, *chatFleet) {}},
		{"the first VM does not answer any more", func(_ *testing.T, f *chatFleet) { f.network.set("vm-1", nil) }},
		{"the director is replaced, and the first VM does not answer", func(t *testing.T, f *chatFleet) {
			f.network.set("vm-1", nil)
			f.network.set("vm-0", nil)
			stopHost(t, f.vms[0])
			time.Sleep(7 * time.Second)
		}},
		{"the store is down, and the first VM does not answer", func(_ *testing.T, f *chatFleet) {
			f.network.set("vm-1", nil)
			f.store.SetDown(true)
			time.Sleep(3 * time.Second)
		}},
		{"the store is down, and the director does not answer", func(_ *testing.T, f *chatFleet) {
			f.network.set("vm-0", nil)
			f.store.SetDown(true)
			time.Sleep(3 * time.Second)
		}},
		{"all VMs were started again", func(t *testing.T, f *chatFleet) {
			for n, h := range f.vms {
				f.network.set(fmt.Sprintf("vm-%d", n), nil)
				stopHost(t, h)
			}
			for n := range f.vms {
				f.vms[n] = f.start(n)
			}
			time.Sleep(5 * time.Second)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startChat(t)
				begun := make([]string, streams)
				for n := range streams {
					a := f.vms[1].Forwarder.Forward(context.Background(), chatRequest(fmt.Sprintf("first-%d", n), "", 0))
					software := readEvents(a, read)
					check(t, len(software), convey.ShouldEqual, read)
					begun[n] = software[0]
					a.Reply.Close()
				}
				time.Sleep(400 * time.Millisecond)
				c.fault(t, f)
				gone, mixed := 0, 0
				for n := range streams {
					a := f.vms[2].Forwarder.Forward(context.Background(), chatRequest(fmt.Sprintf("second-%d", n), fmt.Sprintf("first-%d", n), read))
					if a.Reason != limpetforward.Served {
						gone++
						check(t, a.RetryAfter, convey.ShouldBeGreaterThan, time.Duration(0))
						continue
					}
					software := readEvents(a, chatEvents)
					a.Reply.Close()
					check(t, len(software), convey.ShouldEqual, chatEvents-read)
					for _, s := range software {
						if s != begun[n] {
							mixed++
							break
						}
					}
				}
				t.Logf("%d of %d refused, %d mixed", gone, streams, mixed)
				check(t, mixed, convey.ShouldEqual, 0)
				check(t, float64(streams-gone)/streams, convey.ShouldBeGreaterThanOrEqualTo, share)
				f.store.SetDown(false)
				f.stop(t)
			})
		})
	}
	t.Run("a stream that nobody knows is refused as not run, and one of whose software no server is left", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := startChat(t)
			a := f.vms[2].Forwarder.Forward(context.Background(), chatRequest("second", "never-begun", read))
			check(t, a.Reason, convey.ShouldEqual, limpetforward.UnknownOrigin)
			a = f.vms[2].Forwarder.Forward(context.Background(), chatRequest("third", "", read))
			check(t, a.Reason, convey.ShouldEqual, limpetforward.UnknownOrigin)
			check(t, f.sent(), convey.ShouldEqual, 0)
			a = f.vms[1].Forwarder.Forward(context.Background(), chatRequest("first", "", 0))
			software := readEvents(a, read)
			a.Reply.Close()
			other := map[string]string{"chat/v1": "v2", "chat/v2": "v1"}[software[0]]
			for n := range 4 {
				f.register(t, fmt.Sprintf("s%d", n), other)
			}
			time.Sleep(2 * time.Second)
			a = f.vms[2].Forwarder.Forward(context.Background(), chatRequest("fourth", "first", read))
			check(t, a.Reason, convey.ShouldEqual, limpetforward.OriginGone)
			check(t, f.sent(), convey.ShouldEqual, 1)
			f.stop(t)
		})
	})
}

func (f *chatFleet) sent() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sends
}

func startChat(t *testing.T) *chatFleet {
	t.Helper()
	group := limpettask.New(context.Background())
	f := &chatFleet{store: limpetstub.NewStore(), group: group, network: &vmNetwork{hosts: map[string]*limpethost.Host{}, group: group}}
	for n, version := range []string{"v1", "v2", "v1", "v2"} {
		f.register(t, fmt.Sprintf("s%d", n), version)
	}
	if _, err := f.store.Client().Commit(context.Background(), limpetstore.Transaction{Writes: []limpetstore.Write{{Key: "conf/x", Data: []byte("1")}}}); err != nil {
		t.Fatal(err)
	}
	for n := range 4 {
		f.vms = append(f.vms, f.start(n))
	}
	time.Sleep(5 * time.Second)
	return f
}

func (f *chatFleet) stop(t *testing.T) {
	t.Helper()
	for _, h := range f.vms {
		stopHost(t, h)
	}
	if err := f.group.Stop(); err != nil {
		t.Error(err)
	}
}
