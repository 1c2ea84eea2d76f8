package limpetdirector_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetbalance"
	"limpetmount.org/internal/limpetdirector"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetforward"
	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetmetric"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpetstub"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetupstream"
)

const (
	pace   = 35 * time.Millisecond
	events = 40
	reload = 900 * time.Millisecond
)

// A world holds a store, engines, and the directors that compete.
type world struct {
	store   *limpetstub.Store
	mu      sync.Mutex
	version map[string]int
	// wanted is the version that an engine changes to, until when.
	wanted map[string]int
	until  map[string]time.Time
	fences map[string]uint64
	seq    map[string]int
	orders []order
	runs   int
	events int
	// sent holds the items in the order in which runs began.
	sent []string
	view *limpetsite.Snapshot
}

type order struct {
	holder string
	fence  uint64
	engine string
	at     time.Time
}

func newWorld(engines int) *world {
	w := &world{
		store: limpetstub.NewStore(), version: map[string]int{}, wanted: map[string]int{}, until: map[string]time.Time{},
		fences: map[string]uint64{}, seq: map[string]int{},
	}
	for n := range engines {
		w.version[fmt.Sprintf("e%d", n)] = 1
	}
	w.look(1)
	return w
}

// look publishes the deployment with a named version.
func (w *world) look(named int) {
	state := limpetsite.NewState()
	revision := uint64(10)
	w.mu.Lock()
	for id, v := range w.version {
		revision++
		state.Apply(limpetsite.Record{Key: limpetsite.ServerKey + id, Revision: revision, Server: &limpetsite.Server{
			ID: id, Service: "llm", Address: id, Zone: "a", Slots: 4, Models: map[string]int{"m": v},
		}}, time.Now())
	}
	w.mu.Unlock()
	state.Apply(limpetsite.Record{Key: "v", Revision: 9, Named: &limpetsite.Named{Model: "m", Version: named}}, time.Now())
	state.Apply(limpetsite.Record{Key: "config", Revision: 8, Config: &limpetsite.Config{Routes: []limpetsite.Route{{
		Host: "h", Prefix: "/p/", Kind: limpetsite.Rollout, Attempts: 3, ItemLife: 40 * time.Second, RunTarget: 7500 * time.Millisecond,
		Targets: []limpetsite.Target{{Service: "llm", Weight: 1}},
	}}}}, time.Now())
	view := state.Snapshot()
	w.mu.Lock()
	w.view = view
	w.mu.Unlock()
}

func (w *world) current() *limpetsite.Snapshot {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.view
}

// settle carries out a change of weights whose time has come.
func (w *world) settle(id string) {
	if v := w.wanted[id]; v != 0 && !time.Now().Before(w.until[id]) {
		w.version[id] = v
		delete(w.wanted, id)
	}
}

func (w *world) send(ctx context.Context, c limpetupstream.Call) (*limpetupstream.Reply, error) {
	w.mu.Lock()
	w.runs++
	w.sent = append(w.sent, c.ID)
	w.settle(c.Server.ID)
	version := w.version[c.Server.ID]
	w.mu.Unlock()
	n := c.After
	return &limpetupstream.Reply{Status: http.StatusOK, Signature: "s", Version: version, Close: func() {}, Events: func() (limpetupstream.Event, error) {
		if n == events {
			return limpetupstream.Event{}, io.EOF
		}
		if !limpettask.Sleep(ctx, pace) {
			return limpetupstream.Event{}, ctx.Err()
		}
		n++
		w.mu.Lock()
		w.events++
		w.mu.Unlock()
		return limpetupstream.Event{ID: n, Data: fmt.Sprintf("%s.%d", c.ID, n)}, nil
	}}, nil
}

func (w *world) order(_ context.Context, o limpetupstream.Order) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	id := o.Server.ID
	w.settle(id)
	w.orders = append(w.orders, order{holder: o.Holder, fence: o.Fence, engine: id, at: time.Now()})
	if o.Fence < w.fences[id] {
		return limpeterror.Fenced.New("superseded")
	}
	w.fences[id] = o.Fence
	if w.wanted[id] != 0 || o.Expected != w.seq[id] {
		return limpeterror.Conflict.New("busy")
	}
	w.seq[id]++
	w.wanted[id], w.until[id] = o.Version, time.Now().Add(reload)
	return nil
}

// sentOf returns the number of runs of a job's items so far.
func (w *world) sentOf(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, id := range w.sent {
		if strings.HasPrefix(id, job+"-") {
			n++
		}
	}
	return n
}

// counts returns the runs and events so far.
func (w *world) counts() (runs, events int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs, w.events
}

// given returns the orders so far, and the engines' versions.
func (w *world) given() ([]order, map[string]int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.orders), maps.Clone(w.version)
}

func (w *world) report(_ context.Context, s *limpetsite.Server) (limpetupstream.Report, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle(s.ID)
	return limpetupstream.Report{Versions: map[string]int{"m": w.version[s.ID]}, Busy: w.wanted[s.ID] != 0, Accepted: w.seq[s.ID]}, nil
}

// A candidate is a director whose way to the store can be cut.
type candidate struct {
	*limpetdirector.Director
	group *limpettask.Group
	mu    sync.Mutex
	cut   bool
	// hung is how long a write of the store keeps its caller waiting.
	hung time.Duration
	// late is how long a listing of the store is on its way back.
	late time.Duration
	// lateEnds is how long the listing of ended jobs is on its way back.
	lateEnds time.Duration
	// slow is how long a write of the store is on its way there.
	slow time.Duration
	// elsewhere is what other VMs say of the store.
	elsewhere bool
}

func (c *candidate) setCut(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

func (c *candidate) reach() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut {
		return limpeterror.Unavailable.New("cut off")
	}
	return nil
}

// silence makes writes keep their callers waiting for their answers.
func (c *candidate) silence(d time.Duration) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hung = d
	return func() { c.mu.Lock(); c.hung = 0; c.mu.Unlock() }
}

func (c *candidate) wait(ctx context.Context) {
	c.mu.Lock()
	d := c.hung
	c.mu.Unlock()
	limpettask.Sleep(ctx, d)
}

// store returns the world's store as the candidate reaches it.
func (c *candidate) store(w *world) limpetstore.Store {
	s := w.store.Client()
	inner := s
	s.Get = func(ctx context.Context, key string) (limpetstore.Value, error) {
		if err := c.reach(); err != nil {
			return limpetstore.Value{}, err
		}
		return inner.Get(ctx, key)
	}
	s.Put = func(ctx context.Context, r limpetstore.PutRequest) (uint64, error) {
		if err := c.reach(); err != nil {
			return 0, err
		}
		return inner.Put(ctx, r)
	}
	s.Commit = func(ctx context.Context, t limpetstore.Transaction) (uint64, error) {
		if err := c.reach(); err != nil {
			return 0, err
		}
		c.mu.Lock()
		slow := c.slow
		c.mu.Unlock()
		limpettask.Sleep(ctx, slow)
		defer c.wait(ctx)
		return inner.Commit(ctx, t)
	}
	s.Scan = func(ctx context.Context, prefix, after string) (limpetstore.Listing, error) {
		if err := c.reach(); err != nil {
			return limpetstore.Listing{}, err
		}
		l, err := inner.Scan(ctx, prefix, after)
		c.mu.Lock()
		late := c.late
		if prefix == limpetjob.EndPrefix {
			late += c.lateEnds
		}
		c.mu.Unlock()
		limpettask.Sleep(ctx, late)
		return l, err
	}
	s.Renew = func(ctx context.Context, lease uint64) error {
		if err := c.reach(); err != nil {
			return err
		}
		return inner.Renew(ctx, lease)
	}
	s.Revoke = func(ctx context.Context, lease uint64) error {
		if err := c.reach(); err != nil {
			return err
		}
		return inner.Revoke(ctx, lease)
	}
	s.Follow = func(ctx context.Context, prefix string, after uint64, wait time.Duration) (limpetstore.Listing, error) {
		if err := c.reach(); err != nil {
			return limpetstore.Listing{}, err
		}
		return inner.Follow(ctx, prefix, after, wait)
	}
	return s
}

func (w *world) candidate(name string, reserve time.Duration) *candidate {
	c := &candidate{}
	store := c.store(w)
	peer := limpetupstream.Peer{Send: w.send, Order: w.order, Report: w.report}
	c.Director = limpetdirector.New(limpetdirector.Deps{
		VM: name, Incarnation: name + ".1", Store: store, Peer: peer, View: w.current, Log: limpetlog.Discard(), Metrics: limpetmetric.New(),
		Now: time.Now, Reserve: reserve, LeaseLeast: time.Second, Turn: 3 * time.Second, StatusLife: 2 * time.Minute, DutyWait: 2 * time.Second,
		Wake: func(bool) {}, Emptied: func(context.Context, string) error { return nil },
		InContact:      func() bool { return c.reach() == nil },
		StoreElsewhere: func(context.Context) bool { c.mu.Lock(); defer c.mu.Unlock(); return c.elsewhere },
		Forwarder:      &limpetforward.Forwarder{View: w.current, Peer: peer, Tracker: limpetbalance.New(), Log: limpetlog.Discard(), Metrics: limpetmetric.New(), Now: time.Now},
	})
	c.group = limpettask.New(context.Background())
	c.group.Go(c.Run)
	c.Compete(context.Background(), true)
	return c
}

func (c *candidate) stop(t *testing.T) {
	if err := c.group.Stop(); err != nil {
		t.Error(err)
	}
}

// submit accepts a job of so many items.
func (w *world) submit(t *testing.T, id string, items, min int) {
	j := &limpetjob.Job{ID: id, Account: "acme", Host: "h", Path: "/p/", Model: "m", MinVersion: min, Desired: items, Arrived: time.Now()}
	for n := range items {
		j.Items = append(j.Items, limpetjob.Item{ID: fmt.Sprintf("%s-%d", id, n), Path: "/p/1", Group: fmt.Sprint(n), Expected: 64 * events})
	}
	if err := limpetjob.Accept(context.Background(), w.store.Client(), j); err != nil {
		t.Fatal(err)
	}
}

// results returns what stands of a job, checked for order and wholeness.
func (w *world) results(t *testing.T, id string) []limpetjob.Result {
	l, err := w.store.Client().Scan(context.Background(), limpetjob.ResultPrefix(id), "")
	if err != nil {
		t.Fatal(err)
	}
	var all []limpetjob.Result
	seen := map[string]bool{}
	for _, v := range l.Values {
		c, err := limpetjob.DecodeChunk(v)
		if err != nil || c.First != len(all) {
			t.Fatalf("chunk at %d after %d results: %v", c.First, len(all), err)
		}
		for _, r := range c.Results {
			if seen[r.ID] {
				t.Fatalf("item %s is listed twice", r.ID)
			}
			seen[r.ID] = true
			all = append(all, r)
		}
	}
	return all
}

// wantAllOrNothing checks that a director tells all that the store holds of the
// job j, or does not speak for it, and returns how much that is.
func wantAllOrNothing(t *testing.T, w *world, c *candidate) int {
	stored := len(w.results(t, "j"))
	page, _, known := c.Results(context.Background(), "j", "acme", 0, 0)
	Convey("the director tells all that stands in the store, or nothing", t, func() {
		So(!known || len(page.Results) == stored, ShouldBeTrue)
	})
	return stored
}

func wantWhole(t *testing.T, results []limpetjob.Result, items int) {
	Convey("every item is listed once, with its whole text", t, func() {
		So(len(results), ShouldEqual, items)
		for _, r := range results {
			text := ""
			for n := 1; n <= events; n++ {
				if n > 1 {
					text += "\n"
				}
				text += fmt.Sprintf("%s.%d", r.ID, n)
			}
			So(r.Text, ShouldEqual, text)
			So(r.State, ShouldEqual, limpetjob.Completed)
		}
	})
}
