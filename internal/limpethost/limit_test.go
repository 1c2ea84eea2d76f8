package limpethost_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetforward"
	"limpetmount.org/internal/limpethost"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpetstub"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetupstream"
)

// The stated bounds of a limit: it counts contactTime after the server first
// named it, for VMs that were told toldTime ago. In limitWindow, a server may
// then get limitFactor times what the limit allows, and limitSlack requests.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	toldTime    = 500 * time.Millisecond
)

// A vmNetwork carries the calls between the VMs of a test.
type vmNetwork struct {
	mu    sync.Mutex
	hosts map[string]*limpethost.Host
	group *limpettask.Group
}

func (n *vmNetwork) set(address string, h *limpethost.Host) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[address] = h
}

// A cutNetwork is the network of a VM that is cut off while cut is set.
type cutNetwork struct {
	*vmNetwork
	cut *atomic.Bool
}

// RoundTrip implements http.RoundTripper.
func (n *cutNetwork) RoundTrip(r *http.Request) (*http.Response, error) {
	if n.cut.Load() {
		return nil, limpeterror.Unavailable.New("cut off")
	}
	response, err := n.vmNetwork.RoundTrip(r)
	if err == nil && n.cut.Load() {
		_ = response.Body.Close()
		return nil, limpeterror.Unavailable.New("cut off")
	}
	return response, err
}

// RoundTrip implements http.RoundTripper.
func (n *vmNetwork) RoundTrip(r *http.Request) (*http.Response, error) {
	n.mu.Lock()
	h := n.hosts[r.URL.Host]
	n.mu.Unlock()
	if h == nil {
		return nil, limpeterror.Unavailable.New("connection refused")
	}
	ctx, cancel := context.WithCancel(r.Context())
	served := r.Clone(ctx)
	served.RequestURI = r.URL.RequestURI()
	if served.Body == nil {
		served.Body = http.NoBody
	}
	reader, writer := io.Pipe()
	w := &pipeResponse{header: http.Header{}, body: writer, started: make(chan struct{}), status: http.StatusOK}
	n.group.Go(func(context.Context) error {
		h.RelayHandler().ServeHTTP(w, served)
		w.start()
		return writer.Close()
	})
	stop := context.AfterFunc(ctx, func() { _ = reader.CloseWithError(context.Canceled) })
	select {
	case <-w.started:
	case <-r.Context().Done():
		cancel()
		return nil, r.Context().Err()
	}
	return &http.Response{
		StatusCode: w.status, Header: w.header, ProtoMajor: 1, ProtoMinor: 1, Request: r, ContentLength: -1,
		Body: closer{Reader: reader, close: func() { stop(); cancel(); _ = reader.Close() }},
	}, nil
}

type closer struct {
	io.Reader
	close func()
}

func (c closer) Close() error {
	c.close()
	return nil
}

// A pipeResponse is the http.ResponseWriter of a call between VMs.
type pipeResponse struct {
	header  http.Header
	body    *io.PipeWriter
	status  int
	once    sync.Once
	started chan struct{}
}

func (w *pipeResponse) start()              { w.once.Do(func() { close(w.started) }) }
func (w *pipeResponse) Header() http.Header { return w.header }
func (w *pipeResponse) Flush()              { w.start() }

func (w *pipeResponse) WriteHeader(status int) {
	w.status = status
	w.start()
}

func (w *pipeResponse) Write(p []byte) (int, error) {
	w.start()
	return w.body.Write(p)
}

// A limitedServer is what a test knows of one server.
type limitedServer struct {
	limit float64
	// namedAt is when the server first named its limit, and told when each VM
	// first passed on an answer with it.
	namedAt time.Time
	told    map[int]time.Time
	// arrivals are those that count.
	arrivals []time.Time
}

// worst returns the largest number of counted requests in limitWindow, and the
// number that is allowed.
func (s *limitedServer) worst() (got, allowed int) {
	for n := range s.arrivals {
		first := n
		for first > 0 && s.arrivals[n].Sub(s.arrivals[first-1]) <= limitWindow {
			first--
		}
		got = max(got, n-first+1)
	}
	return got, int(s.limit*limitWindow.Seconds()*limitFactor) + limitSlack
}

// A limitedFleet is a crashFleet some of whose servers name limits.
type limitedFleet struct {
	*crashFleet
	mu      sync.Mutex
	servers map[string]*limitedServer
	// naming is set while the servers name their limits.
	naming bool
}

// send is the Send of a VM's client of the fleet.
func (f *limitedFleet) send(ctx context.Context, t *testing.T, vm int, c limpetupstream.Call) (*limpetupstream.Reply, error) {
	f.mu.Lock()
	s, now := f.servers[c.Server.ID], time.Now()
	if s != nil && f.naming {
		if told, known := s.told[vm]; known && now.Sub(told) >= toldTime && now.Sub(s.namedAt) >= contactTime {
			s.arrivals = append(s.arrivals, now)
		}
	}
	f.mu.Unlock()
	reply, err := f.crashFleet.send(ctx, t, c)
	f.mu.Lock()
	defer f.mu.Unlock()
	if s == nil || !f.naming || err != nil {
		return reply, err
	}
	reply.Limit = s.limit
	if s.namedAt.IsZero() {
		s.namedAt = time.Now()
	}
	if s.told[vm].IsZero() {
		s.told[vm] = time.Now()
	}
	return reply, err
}

func (f *limitedFleet) setNaming(naming bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.naming = naming
}

// startLimited starts VMs that reach each other, in front of seven servers of
// which some name a limit.
func startLimited(t *testing.T, group *limpettask.Group, vms, limited int, limit float64) (*limitedFleet, []*limpethost.Host) {
	t.Helper()
	store := limpetstub.NewStore()
	f := &limitedFleet{crashFleet: newCrashFleet(t, store, 7), servers: map[string]*limitedServer{}}
	for n := range limited {
		f.servers[fmt.Sprintf("s%d", n)] = &limitedServer{limit: limit, told: map[int]time.Time{}}
	}
	if _, err := store.Client().Commit(context.Background(), limpetstore.Transaction{Writes: []limpetstore.Write{{Key: "conf/x", Data: []byte("1")}}}); err != nil {
		t.Fatal(err)
	}
	network := &vmNetwork{hosts: map[string]*limpethost.Host{}, group: group}
	var all []*limpethost.Host
	for n := range vms {
		name := fmt.Sprintf("vm-%d", n)
		upstream := limpetupstream.Client{Check: f.check, Send: func(ctx context.Context, c limpetupstream.Call) (*limpetupstream.Reply, error) {
			return f.send(ctx, t, n, c)
		}}
		h := startVMWith(store, name, upstream, func(s *limpethost.Settings, d *limpethost.Deps) {
			s.RelayAddress, s.ReadyAddress, d.RelayTransport, s.HasDisk = name, name, network, n == 0
		}, f.feed())
		network.set(name, h)
		all = append(all, h)
	}
	time.Sleep(5 * time.Second)
	f.setNaming(true)
	return f, all
}

// Guards against incident 24, second matter: servers that name a limit got more
// requests than it allows, summed over the VMs.
func TestServersStayWithinTheirLimits(t *testing.T) {
	for _, c := range []struct {
		name string
		// limited is the number of the seven servers that name a limit, and rate the
		// number of requests a second, of which all or none come through one VM.
		limited int
		limit   float64
		rate    int
		oneVM   bool
		// minServed is the least share of the requests that is served: what the
		// servers without a limit can take, or most of what the limits allow.
		minServed float64
	}{
		{"some servers are limited", 5, 1.2, 80, false, 1},
		{"some servers are limited, the load comes through one VM", 5, 1.2, 80, true, 1},
		{"all servers are limited", 7, 2, 60, false, 0.8 * 14 / 60},
		{"all servers are limited, the load comes through one VM", 7, 2, 60, true, 0.8 * 14 / 60},
		{"all servers are limited and have room", 7, 12, 60, true, 0.95},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				group := limpettask.New(context.Background())
				f, vms := startLimited(t, group, 6, c.limited, c.limit)
				var mu sync.Mutex
				sent, served, refusedLate := 0, 0, 0
				const duration = 30 * time.Second
				for n := range int(duration.Seconds()) * c.rate {
					vm := vms[n%len(vms)]
					if c.oneVM {
						vm = vms[1]
					}
					group.Go(func(ctx context.Context) error {
						began := time.Now()
						a := vm.Forwarder.Forward(ctx, deskRequest(fmt.Sprintf("r%d", n), fmt.Sprint(n)))
						mu.Lock()
						defer mu.Unlock()
						sent++
						switch {
						case a.Reason == limpetforward.Served:
							served++
						case time.Since(began) > 10*time.Millisecond || a.RetryAfter <= 0:
							refusedLate++
						}
						return nil
					})
					time.Sleep(time.Second / time.Duration(c.rate))
				}
				time.Sleep(time.Second)
				mu.Lock()
				defer mu.Unlock()
				t.Logf("%d of %d served, %d refused late or without a delay", served, sent, refusedLate)
				f.mu.Lock()
				defer f.mu.Unlock()
				for id, s := range f.servers {
					got, allowed := s.worst()
					t.Logf("%s: at most %d requests in 4 s, allowed %d, %d in all", id, got, allowed, len(s.arrivals))
					check(t, got, convey.ShouldBeLessThanOrEqualTo, allowed)
				}
				check(t, float64(served)/float64(sent), convey.ShouldBeGreaterThanOrEqualTo, c.minServed)
				check(t, refusedLate, convey.ShouldBeLessThanOrEqualTo, sent/100)
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

// load sends requests to VMs in turn at a rate until the time is over, and returns
// how many were served in each second.
func load(group *limpettask.Group, vms func() []*limpethost.Host, rate int, duration time.Duration) (served []int) {
	var mu sync.Mutex
	served = make([]int, int(duration.Seconds()))
	for n := range int(duration.Seconds()) * rate {
		all := vms()
		vm := all[n%len(all)]
		group.Go(func(ctx context.Context) error {
			if vm.Forwarder.Forward(ctx, deskRequest(fmt.Sprintf("r%d", n), fmt.Sprint(n))).Reason == limpetforward.Served {
				mu.Lock()
				defer mu.Unlock()
				served[n/rate]++
			}
			return nil
		})
		time.Sleep(time.Second / time.Duration(rate))
	}
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	return slices.Clone(served)
}

// Guards against limits that are broken, or not used, when the director that adds
// up the requests of all VMs is replaced, and when a VM starts anew.
func TestLimitsOutliveTheDirector(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := limpettask.New(context.Background())
		const limit = 2
		f, vms := startLimited(t, group, 6, 7, limit)
		time.AfterFunc(8*time.Second, func() { stopHost(t, vms[0]) })
		others := func() []*limpethost.Host { return vms[1:] }
		served := load(group, others, 60, 30*time.Second)
		t.Log("served in each second", served)
		f.mu.Lock()
		defer f.mu.Unlock()
		for id, s := range f.servers {
			got, allowed := s.worst()
			t.Logf("%s: at most %d requests in 4 s, allowed %d", id, got, allowed)
			check(t, got, convey.ShouldBeLessThanOrEqualTo, allowed)
		}
		last := 0
		for _, n := range served[20:] {
			last += n
		}
		check(t, last, convey.ShouldBeGreaterThan, 10*7*limit*8/10)
		for _, h := range vms[1:] {
			stopHost(t, h)
		}
		if err := group.Stop(); err != nil {
			t.Error(err)
		}
	})
}

// Guards against a limit that is never over: a server that gets nothing cannot say
// so.
func TestLimitsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := limpettask.New(context.Background())
		f, vms := startLimited(t, group, 6, 5, 0.3)
		all := func() []*limpethost.Host { return vms }
		load(group, all, 20, 10*time.Second)
		f.setNaming(false)
		load(group, all, 20, 8*time.Second)
		for _, h := range vms {
			check(t, h.Forwarder.Limits.Any(), convey.ShouldBeFalse)
			stopHost(t, h)
		}
		if err := group.Stop(); err != nil {
			t.Error(err)
		}
	})
}

// Guards against the limit of a server that has another one's address now.
func TestLimitsOfOtherServersAreNotRecorded(t *testing.T) {
	for name, misdirected := range map[string]bool{"the server's own refusal": false, "another server's answer": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := limpetstub.NewStore()
				f := newCrashFleet(t, store, 1)
				if _, err := f.store.Commit(context.Background(), limpetstore.Transaction{Writes: []limpetstore.Write{{Key: "conf/x", Data: []byte("1")}}}); err != nil {
					t.Fatal(err)
				}
				h := startVM(store, "vm-0", limpetupstream.Client{Send: func(context.Context, limpetupstream.Call) (*limpetupstream.Reply, error) {
					return &limpetupstream.Reply{Status: http.StatusServiceUnavailable, NotRun: true, Misdirected: misdirected, Limit: 2, Close: func() {}}, nil
				}}, f.feed())
				time.Sleep(3 * time.Second)
				forward(h, "r1", "")
				check(t, h.Forwarder.Limits.Any(), convey.ShouldEqual, !misdirected)
				stopHost(t, h)
			})
		})
	}
}
