package limpetstub

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpethttp"
	"limpetmount.org/internal/limpetorder"
	"limpetmount.org/internal/limpetscore"
	"limpetmount.org/internal/limpetvms"
)

// A Platform holds the stand-in of the ordering interface, the VM list and
// the usage intake. Change the exported fields under Lock while it runs.
type Platform struct {
	sync.Mutex
	// CheckFence refuses orders with an older fencing number.
	CheckFence bool
	// Launch starts a backend server and returns its address; Halt stops it.
	Launch func(o limpetorder.Order, id string) (address string, err error)
	Halt   func(id string)
	// StartTime is the time from an order to a running server.
	StartTime time.Duration
	// Prices lists the zones.
	Prices []limpetorder.Price
	// VMs is the lagging list of VMs.
	VMs []limpetvms.VM
	// LoseReports loses so many answers of the intake after their effect.
	LoseReports int

	fence    uint64
	revision uint64
	servers  []limpetorder.Server
	changes  []uint64
	receipts map[string]limpetorder.Receipt
	usage    map[string][]byte
	// Orders counts orders by fencing number in the order of arrival.
	Orders []limpetorder.Order
	// Doubled names windows that were reported with different figures.
	Doubled []string
}

// NewPlatform returns a platform without servers.
func NewPlatform() *Platform {
	return &Platform{receipts: map[string]limpetorder.Receipt{}, usage: map[string][]byte{}}
}

// AddServer lists a server that runs already.
func (p *Platform) AddServer(s limpetorder.Server) {
	p.Lock()
	defer p.Unlock()
	p.servers = append(p.servers, s)
	p.changes = append(p.changes, 0)
	p.touch(len(p.servers) - 1)
}

// SetState changes a server's state in the listing.
func (p *Platform) SetState(id string, state limpetorder.State, reclaimAt time.Time) {
	p.Lock()
	defer p.Unlock()
	for i := range p.servers {
		if p.servers[i].ID == id {
			p.servers[i].State, p.servers[i].ReclaimAt = state, reclaimAt
			p.touch(i)
		}
	}
}

func (p *Platform) touch(i int) {
	p.revision++
	p.changes[i] = p.revision
}

// Usage returns the reported bytes of an account's window.
func (p *Platform) Usage(account, window string) []byte {
	p.Lock()
	defer p.Unlock()
	return p.usage[account+"/"+window]
}

// Reports returns the number of windows reported so far.
func (p *Platform) Reports() int {
	p.Lock()
	defer p.Unlock()
	return len(p.usage)
}

// Send takes an order as the ordering interface does.
func (p *Platform) Send(_ context.Context, o limpetorder.Order) (limpetorder.Receipt, error) {
	p.Lock()
	defer p.Unlock()
	if r, ok := p.receipts[o.ID]; ok {
		return r, nil
	}
	if p.CheckFence && o.Fence < p.fence {
		return limpetorder.Receipt{}, limpeterror.Fenced.New("platform: fence %d is old", o.Fence)
	}
	if !o.Deadline.IsZero() && time.Now().After(o.Deadline) {
		return limpetorder.Receipt{}, limpeterror.Conflict.New("platform: order %s is past its deadline", o.ID)
	}
	p.fence = max(p.fence, o.Fence)
	p.Orders = append(p.Orders, o)
	r := limpetorder.Receipt{ID: o.ID, Server: o.Server}
	if o.Kind == limpetorder.Stop {
		p.stop(o.Server)
	} else {
		var err error
		if r.Server, err = p.start(o); err != nil {
			return r, err
		}
	}
	p.receipts[o.ID] = r
	return r, nil
}

func (p *Platform) start(o limpetorder.Order) (string, error) {
	for _, z := range p.Prices {
		if z.Zone == o.Zone && (!z.Available || (o.Class == limpetorder.Cheap && !z.CheapAvailable)) {
			return "", limpeterror.Unavailable.New("platform: no %s servers in %s", o.Class, o.Zone)
		}
	}
	id := fmt.Sprintf("%s-%s-%d", o.Service, o.Zone, len(p.servers)+1)
	address, err := p.Launch(o, id)
	if err != nil {
		return "", limpeterror.Unavailable.Wrap(err, "platform: start of %s", id)
	}
	p.servers = append(p.servers, limpetorder.Server{
		ID: id, Service: o.Service, Zone: o.Zone, Address: address, State: limpetorder.Starting, Class: o.Class,
	})
	p.changes = append(p.changes, 0)
	p.touch(len(p.servers) - 1)
	time.AfterFunc(p.StartTime, func() { p.SetState(id, limpetorder.Running, time.Time{}) })
	return id, nil
}

func (p *Platform) stop(id string) {
	for i := range p.servers {
		if p.servers[i].ID == id {
			p.servers[i].State = limpetorder.Stopped
			p.touch(i)
		}
	}
	if p.Halt != nil {
		p.Halt(id)
	}
}

// Find returns what became of an order.
func (p *Platform) Find(_ context.Context, id string) (limpetorder.Receipt, error) {
	p.Lock()
	defer p.Unlock()
	r, ok := p.receipts[id]
	if !ok {
		return r, limpeterror.NotFound.New("platform: no order %s", id)
	}
	return r, nil
}

// List returns the servers that changed after a revision.
func (p *Platform) List(_ context.Context, after uint64) (limpetorder.Listing, error) {
	p.Lock()
	defer p.Unlock()
	l := limpetorder.Listing{Revision: p.revision}
	for i, s := range p.servers {
		if p.changes[i] > after {
			l.Servers = append(l.Servers, s)
		}
	}
	return l, nil
}

// Report takes a usage report as the intake does.
func (p *Platform) Report(_ context.Context, account, window string, data []byte) error {
	p.Lock()
	defer p.Unlock()
	key := account + "/" + window
	if old, ok := p.usage[key]; ok && !bytes.Equal(old, data) {
		p.Doubled = append(p.Doubled, key)
		return limpeterror.Conflict.New("intake: %s was reported with other figures", key)
	}
	p.usage[key] = data
	if p.LoseReports > 0 {
		p.LoseReports--
		return limpeterror.Unknown.New("intake: answer lost")
	}
	return nil
}

// Ordering returns an adapter that calls the stand-in directly.
func (p *Platform) Ordering() limpetorder.Platform {
	return limpetorder.Platform{Send: p.Send, Find: p.Find, Servers: p.List,
		Prices: func(context.Context) ([]limpetorder.Price, error) { return p.Prices, nil }}
}

// Handler serves the platform over HTTP.
func (p *Platform) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/orders", func(w http.ResponseWriter, q *http.Request) {
		var o limpetorder.Order
		if decode(w, q, &o) {
			receipt, err := p.Send(q.Context(), o)
			answer(w, receipt, err)
		}
	})
	r.HandleFunc("/v1/orders/{id}", func(w http.ResponseWriter, q *http.Request) {
		receipt, err := p.Find(q.Context(), mux.Vars(q)["id"])
		answer(w, receipt, err)
	})
	r.HandleFunc("/v1/servers", func(w http.ResponseWriter, q *http.Request) {
		l, err := p.List(q.Context(), number(q, "after"))
		answer(w, l, err)
	})
	r.HandleFunc("/v1/prices", func(w http.ResponseWriter, _ *http.Request) { answer(w, p.Prices, nil) })
	r.HandleFunc("/v1/vms", func(w http.ResponseWriter, _ *http.Request) {
		p.Lock()
		vms := p.VMs
		p.Unlock()
		answer(w, vms, nil)
	})
	r.HandleFunc("/v1/usage/{account}/{window}", func(w http.ResponseWriter, q *http.Request) {
		data, _ := io.ReadAll(q.Body)
		answer(w, struct{}{}, p.Report(q.Context(), mux.Vars(q)["account"], mux.Vars(q)["window"], data))
	})
	return r
}

// ScorerHandler serves a scorer whose score is the length of the text.
func ScorerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		var s limpetscore.Request
		if decode(w, q, &s) {
			limpethttp.WriteJSON(w, http.StatusOK, limpetscore.Reply{Sample: s.Sample, Score: float64(len(s.Text))})
		}
	})
}

// A Service holds the stand-in of a plain service. It counts each run by the
// request's body.
type Service struct {
	sync.Mutex
	// Runs counts runs by body.
	Runs map[string]int
	// Cut breaks the connection after so many further runs had their effect.
	Cut int
	// Delay is the time of a run.
	Delay time.Duration
	// Leaked counts requests in which a caller's key was seen.
	Leaked int
}

// ServeHTTP runs a request and answers with its body.
func (s *Service) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, _ := io.ReadAll(q.Body)
	time.Sleep(s.Delay)
	s.Lock()
	s.Runs[string(body)]++
	if q.Header.Get("Authorization") != "" || bytes.Contains([]byte(q.URL.RawQuery), []byte("lmk_")) {
		s.Leaked++
	}
	cut := s.Cut > 0
	if cut {
		s.Cut--
	}
	s.Unlock()
	if cut {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Served-Path", q.URL.Path)
	fmt.Fprintf(w, "ran:%s", body)
}

// Sent returns the orders that arrived, in order.
func (p *Platform) Sent() []limpetorder.Order {
	p.Lock()
	defer p.Unlock()
	return append([]limpetorder.Order{}, p.Orders...)
}

// ReportsOf returns an account's reports.
func (p *Platform) ReportsOf(account string) [][]byte {
	p.Lock()
	defer p.Unlock()
	var reports [][]byte
	for key, data := range p.usage {
		if strings.HasPrefix(key, account+"/") {
			reports = append(reports, data)
		}
	}
	return reports
}
