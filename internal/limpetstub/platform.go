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

// A Platform is a stub of the ordering interface, the VM list and the usage
// intake. Hold Lock to access the exported fields while it runs.
type Platform struct {
	sync.Mutex
	// CheckFence makes the platform refuse orders with an outdated fencing token.
	CheckFence bool
	// Launch starts a backend server and returns its address. Halt, if set,
	// stops it.
	Launch func(o limpetorder.Order, id string) (address string, err error)
	Halt   func(id string)
	// StartTime is the time from an order until its server is listed as running.
	StartTime time.Duration
	// Prices holds the prices of all zones.
	Prices []limpetorder.Price
	// VMs is the list of VMs.
	VMs []limpetvms.VM
	// LostReportReplies is the number of reports that the intake will accept
	// without its reply reaching the sender.
	LostReportReplies int

	fence    uint64
	revision uint64
	servers  []limpetorder.Server
	// changedAt holds the revision of the last change of each of the servers.
	changedAt []uint64
	receipts  map[string]limpetorder.Receipt
	usage     map[string][]byte
	// Orders holds the accepted orders in the order of arrival.
	Orders []limpetorder.Order
	// ConflictingReports holds the accounts and windows that were reported with
	// differing figures.
	ConflictingReports []string
}

// NewPlatform returns a platform that has no servers.
func NewPlatform() *Platform {
	return &Platform{receipts: map[string]limpetorder.Receipt{}, usage: map[string][]byte{}}
}

// AddServer adds a server that is already running to the listing.
func (p *Platform) AddServer(s limpetorder.Server) {
	p.Lock()
	defer p.Unlock()
	p.servers = append(p.servers, s)
	p.changedAt = append(p.changedAt, 0)
	p.markChanged(len(p.servers) - 1)
}

// SetState changes a server's state in the listing.
func (p *Platform) SetState(id string, state limpetorder.State, reclaimAt time.Time) {
	p.Lock()
	defer p.Unlock()
	for i := range p.servers {
		if p.servers[i].ID == id {
			p.servers[i].State, p.servers[i].ReclaimAt = state, reclaimAt
			p.markChanged(i)
		}
	}
}

// markChanged gives server i the next revision.
func (p *Platform) markChanged(i int) {
	p.revision++
	p.changedAt[i] = p.revision
}

// Usage returns the report of an account's window.
func (p *Platform) Usage(account, window string) []byte {
	p.Lock()
	defer p.Unlock()
	return p.usage[account+"/"+window]
}

// ReportCount returns the number of reports accepted so far.
func (p *Platform) ReportCount() int {
	p.Lock()
	defer p.Unlock()
	return len(p.usage)
}

// Send implements limpetorder.Platform.Send.
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
	p.changedAt = append(p.changedAt, 0)
	p.markChanged(len(p.servers) - 1)
	time.AfterFunc(p.StartTime, func() { p.SetState(id, limpetorder.Running, time.Time{}) })
	return id, nil
}

func (p *Platform) stop(id string) {
	for i := range p.servers {
		if p.servers[i].ID == id {
			p.servers[i].State = limpetorder.Stopped
			p.markChanged(i)
		}
	}
	if p.Halt != nil {
		p.Halt(id)
	}
}

// Find implements limpetorder.Platform.Find.
func (p *Platform) Find(_ context.Context, id string) (limpetorder.Receipt, error) {
	p.Lock()
	defer p.Unlock()
	r, ok := p.receipts[id]
	if !ok {
		return r, limpeterror.NotFound.New("platform: no order %s", id)
	}
	return r, nil
}

// List implements limpetorder.Platform.Servers.
func (p *Platform) List(_ context.Context, after uint64) (limpetorder.Listing, error) {
	p.Lock()
	defer p.Unlock()
	l := limpetorder.Listing{Revision: p.revision}
	for i, s := range p.servers {
		if p.changedAt[i] > after {
			l.Servers = append(l.Servers, s)
		}
	}
	return l, nil
}

// Report implements limpetintake.Intake.Report.
func (p *Platform) Report(_ context.Context, account, window string, data []byte) error {
	p.Lock()
	defer p.Unlock()
	key := account + "/" + window
	if old, ok := p.usage[key]; ok && !bytes.Equal(old, data) {
		p.ConflictingReports = append(p.ConflictingReports, key)
		return limpeterror.Conflict.New("intake: %s was reported with other figures", key)
	}
	p.usage[key] = data
	if p.LostReportReplies > 0 {
		p.LostReportReplies--
		return limpeterror.Unknown.New("intake: answer lost")
	}
	return nil
}

// OrderClient returns a client that calls the stub without HTTP.
func (p *Platform) OrderClient() limpetorder.Platform {
	return limpetorder.Platform{Send: p.Send, Find: p.Find, Servers: p.List,
		Prices: func(context.Context) ([]limpetorder.Price, error) { return p.Prices, nil }}
}

// Handler returns a handler for the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/orders", func(w http.ResponseWriter, q *http.Request) {
		var o limpetorder.Order
		if decodeBody(w, q, &o) {
			receipt, err := p.Send(q.Context(), o)
			writeReply(w, receipt, err)
		}
	})
	r.HandleFunc("/v1/orders/{id}", func(w http.ResponseWriter, q *http.Request) {
		receipt, err := p.Find(q.Context(), mux.Vars(q)["id"])
		writeReply(w, receipt, err)
	})
	r.HandleFunc("/v1/servers", func(w http.ResponseWriter, q *http.Request) {
		l, err := p.List(q.Context(), queryUint(q, "after"))
		writeReply(w, l, err)
	})
	r.HandleFunc("/v1/prices", func(w http.ResponseWriter, _ *http.Request) { writeReply(w, p.Prices, nil) })
	r.HandleFunc("/v1/vms", func(w http.ResponseWriter, _ *http.Request) {
		p.Lock()
		vms := p.VMs
		p.Unlock()
		writeReply(w, vms, nil)
	})
	r.HandleFunc("/v1/usage/{account}/{window}", func(w http.ResponseWriter, q *http.Request) {
		data, _ := io.ReadAll(q.Body)
		writeReply(w, struct{}{}, p.Report(q.Context(), mux.Vars(q)["account"], mux.Vars(q)["window"], data))
	})
	return r
}

// ScorerHandler returns the handler of a scoring service whose score is the
// length of the text in bytes.
func ScorerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		var s limpetscore.Request
		if decodeBody(w, q, &s) {
			limpethttp.WriteJSON(w, http.StatusOK, limpetscore.Reply{Sample: s.Sample, Score: float64(len(s.Text))})
		}
	})
}

// A Service is a stub of a server of a plain service. Hold Lock to access its
// fields while it runs.
type Service struct {
	sync.Mutex
	// Runs counts the requests that were run, by the request's body.
	Runs map[string]int
	// LostReplies is the number of further requests that are run and whose
	// connection is then closed without a reply.
	LostReplies int
	// Delay is the duration of a run.
	Delay time.Duration
	// RequestsWithKey counts requests that contain a caller's key, which must
	// not reach a backend server.
	RequestsWithKey int
}

// ServeHTTP runs a request and replies with the request's body.
func (s *Service) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, _ := io.ReadAll(q.Body)
	time.Sleep(s.Delay)
	s.Lock()
	s.Runs[string(body)]++
	if q.Header.Get("Authorization") != "" || bytes.Contains([]byte(q.URL.RawQuery), []byte("lmk_")) {
		s.RequestsWithKey++
	}
	dropReply := s.LostReplies > 0
	if dropReply {
		s.LostReplies--
	}
	s.Unlock()
	if dropReply {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Served-Path", q.URL.Path)
	fmt.Fprintf(w, "ran:%s", body)
}

// SentOrders returns the accepted orders in the order of arrival.
func (p *Platform) SentOrders() []limpetorder.Order {
	p.Lock()
	defer p.Unlock()
	return append([]limpetorder.Order{}, p.Orders...)
}

// AccountReports returns the reports of an account.
func (p *Platform) AccountReports(account string) [][]byte {
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
