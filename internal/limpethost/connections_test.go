package limpethost_test

import (
	"context"
	"encoding/json"
	"fmt"
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
	"limpetmount.org/internal/limpetupstream"
)

// A warmFleet counts the connections of VMs to the servers of a service, which close
// those that are idle.
type warmFleet struct {
	mu sync.Mutex
	// usedAt is when a VM last used its connection to a server.
	usedAt                    map[string]time.Time
	connections, checks, sent int
}

// serverIdleTimeout is how long a server keeps an idle connection.
const serverIdleTimeout = 9 * time.Second

// use uses a VM's connection to a server, and makes one if there is none.
func (f *warmFleet) use(vm int, server string) {
	pair := fmt.Sprint(vm, " ", server)
	if last, used := f.usedAt[pair]; !used || time.Since(last) > serverIdleTimeout {
		f.connections++
	}
	f.usedAt[pair] = time.Now()
}

func (f *warmFleet) client(vm int) limpetupstream.Client {
	return limpetupstream.Client{
		Send: func(_ context.Context, c limpetupstream.Call) (*limpetupstream.Reply, error) {
			f.mu.Lock()
			f.use(vm, c.Server.ID)
			f.sent++
			f.mu.Unlock()
			time.Sleep(25 * time.Millisecond)
			return &limpetupstream.Reply{Status: http.StatusOK, Signature: "s", Close: func() {}}, nil
		},
		Check: func(_ context.Context, s *limpetsite.Server, _ string) limpetupstream.Condition {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.use(vm, s.ID)
			f.checks++
			return limpetupstream.Alive
		},
		Probe: func(context.Context, *limpetsite.Server, string) limpetupstream.Condition {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.connections++
			return limpetupstream.Alive
		},
	}
}

// Guards against two connections to servers of each VM where one will do. On a
// deployment of many VMs, each has a request in 15 s or so, and between them it asks a
// server for its health. The request went to another server, on a new connection.
func TestRareRequestsUseTheConnectionOfHealthChecks(t *testing.T) {
	const (
		vms, servers   = 24, 7
		requestsPerVM  = 4
		requestGap     = 15 * time.Second
		contactTime    = 5 * time.Second
		checksPerVMSec = 3. / 5
	)
	synctest.Test(t, func(t *testing.T) {
		store := limpetstub.NewStore()
		for n := range servers {
			id := fmt.Sprintf("s%d", n)
			data, err := json.Marshal(limpetsite.Server{ID: id, Service: "desk", Address: id, Zone: string(rune('a' + n%6)), Slots: 6, Incarnation: 1})
			if err == nil {
				_, err = store.Client().Commit(context.Background(), limpetstore.Transaction{Writes: []limpetstore.Write{{Key: serverPrefix + id, Data: data}, {Key: "conf/x", Data: []byte("1")}}})
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		f := &warmFleet{usedAt: map[string]time.Time{}}
		var hosts []*limpethost.Host
		for n := range vms {
			hosts = append(hosts, startVMWith(store, fmt.Sprintf("vm-%d", n), f.client(n), func(s *limpethost.Settings, _ *limpethost.Deps) {
				s.Zone, s.Bounds.Contact = string(rune('a'+n%6)), contactTime
			}, (&crashFleet{}).feed()))
		}
		time.Sleep(5 * time.Second)
		began := time.Now()
		f.mu.Lock()
		checksBefore := f.checks
		f.mu.Unlock()
		for r := range requestsPerVM {
			for n, h := range hosts {
				a := h.Forwarder.Forward(context.Background(), &limpetforward.Request{
					ID: fmt.Sprintf("r%d-%d", n, r), Method: http.MethodGet, Target: "/desk/y", Path: "/desk/y", Host: "h", Header: http.Header{}, Key: "good",
					Arrived: time.Now(), Timeout: 2 * time.Second,
				})
				check(t, a.Reason, convey.ShouldEqual, limpetforward.Served)
				time.Sleep(requestGap / vms)
			}
		}
		took := time.Since(began)
		f.mu.Lock()
		t.Logf("%d requests, %d new connections, %d checks in %v", f.sent, f.connections, f.checks-checksBefore, took)
		check(t, f.sent, convey.ShouldEqual, vms*requestsPerVM)
		// One connection for each VM.
		check(t, f.connections, convey.ShouldBeLessThanOrEqualTo, vms)
		check(t, float64(f.checks-checksBefore), convey.ShouldBeLessThanOrEqualTo, vms*took.Seconds()*checksPerVMSec)
		f.mu.Unlock()
		for _, h := range hosts {
			stopHost(t, h)
		}
	})
}
