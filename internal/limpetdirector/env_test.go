package limpetdirector_test

import (
	"cmp"
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

	"limpetmount.org/internal/limpetbalancer"
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
	eventInterval  = 35 * time.Millisecond
	events         = 40
	weightLoadTime = 900 * time.Millisecond
	engineSlots    = 4
)

// A testEnv holds a store and stub engines, which the candidates under test
// share.
type testEnv struct {
	store   *limpetstub.Store
	mu      sync.Mutex
	version map[string]int
	// loadingVersion is the version that an engine is loading, and loadedAt
	// when that ends.
	loadingVersion map[string]int
	loadedAt       map[string]time.Time
	highestFence   map[string]uint64
	acceptedOrders map[string]int
	orders         []order
	runs           int
	events         int
	// services holds the service of each engine that is not one of llm.
	services map[string]string
	// targets are the services that the route of batch jobs leads to; without any,
	// the configuration has no such route. configRevision is the store's revision of
	// the configuration.
	targets        []limpetsite.Target
	configRevision uint64
	// priority is that of the route of batch jobs.
	priority int
	// retiring holds the VMs that the operator empties, and retired the reports
	// that a VM may be removed, as reporter and VM.
	retiring map[string]bool
	retired  []string
	// sent holds the items in the order in which their runs started.
	sent []string
	// intervals holds the time between two events of services where that is not
	// eventInterval.
	intervals map[string]time.Duration
	// newest is the published version that route and moveEngines keep.
	newest int
	// pieces holds the data of each event of an item that has another text.
	pieces map[string]string
	// broken holds the services whose streams break off.
	broken map[string]bool
	// sentTo counts the runs by service.
	sentTo map[string]int
	view   *limpetsite.Snapshot
	// unfenced engines carry out orders whatever their fencing tokens.
	unfenced bool
	// deliver delays an order before it reaches its engine, as the network does; an
	// error means that it does not reach it. Nil delivers at once.
	deliver func(ctx context.Context, o limpetupstream.Order) error
	// readTime is how long each read of a job's data takes, one after the other, as on
	// a busy VM.
	readTime time.Duration
	reading  chan struct{}
	// scores holds when reward calls reached a server, which loses its answer
	// after scoreTime.
	scores []time.Time
}

// scoreTime is how long a reward call takes until its connection breaks.
const scoreTime = 700 * time.Millisecond

type order struct {
	holder string
	fence  uint64
	engine string
	at     time.Time
}

func newTestEnv(engines int) *testEnv {
	env := &testEnv{
		store: limpetstub.NewStore(), version: map[string]int{}, loadingVersion: map[string]int{}, loadedAt: map[string]time.Time{},
		highestFence: map[string]uint64{}, acceptedOrders: map[string]int{}, retiring: map[string]bool{}, reading: make(chan struct{}, 1),
		services: map[string]string{}, sentTo: map[string]int{}, broken: map[string]bool{}, pieces: map[string]string{}, intervals: map[string]time.Duration{}, newest: 1, targets: []limpetsite.Target{{Service: "llm", Weight: 1}}, configRevision: 8,
	}
	for n := range engines {
		env.version[fmt.Sprintf("e%d", n)] = 1
	}
	env.publish(1)
	return env
}

// publish replaces the view by one in which newest is the published version and
// engines have their current versions.
func (env *testEnv) publish(newest int) {
	state := limpetsite.NewState()
	revision := uint64(10)
	env.mu.Lock()
	for id, v := range env.version {
		revision++
		service := cmp.Or(env.services[id], "llm")
		state.Apply(limpetsite.Record{Key: limpetsite.ServerKey + id, Revision: revision, Server: &limpetsite.Server{
			ID: id, Service: service, Address: id, Zone: "a", Slots: engineSlots, Models: map[string]int{"m": v}, Software: limpetsite.SoftwareOf(service, "v1"),
		}}, time.Now())
	}
	for vm := range env.retiring {
		revision++
		state.Apply(limpetsite.Record{Key: "retire/" + vm, Revision: revision, Retirement: &limpetsite.Retirement{VM: vm}}, time.Now())
	}
	routes := env.routes()
	configRevision := env.configRevision
	env.mu.Unlock()
	state.Apply(limpetsite.Record{Key: "v", Revision: 9, PublishedVersion: &limpetsite.PublishedVersion{Model: "m", Version: newest}}, time.Now())
	state.Apply(limpetsite.Record{Key: "config", Revision: configRevision, Config: &limpetsite.Config{Routes: routes}}, time.Now())
	for n := range 6 {
		revision++
		state.Apply(limpetsite.Record{Key: fmt.Sprintf("%sscorer%d", limpetsite.ServerKey, n), Revision: revision, Server: &limpetsite.Server{
			ID: fmt.Sprintf("scorer%d", n), Service: scorerService, Address: "s", Zone: "a", Slots: 4,
		}}, time.Now())
	}
	view := state.Snapshot()
	env.mu.Lock()
	env.view = view
	env.mu.Unlock()
}

// retire adds a VM to those that the operator empties.
func (env *testEnv) retire(vm string) {
	env.mu.Lock()
	env.retiring[vm] = true
	env.mu.Unlock()
	env.publish(1)
}

// retirementReports returns the reports that a VM may be removed.
func (env *testEnv) retirementReports() []string {
	env.mu.Lock()
	defer env.mu.Unlock()
	return slices.Clone(env.retired)
}

func (env *testEnv) currentView() *limpetsite.Snapshot {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.view
}

// finishLoad gives an engine its new version once loadedAt has passed.
func (env *testEnv) finishLoad(id string) {
	if v := env.loadingVersion[id]; v != 0 && !time.Now().Before(env.loadedAt[id]) {
		env.version[id] = v
		delete(env.loadingVersion, id)
	}
}

func (env *testEnv) send(ctx context.Context, c limpetupstream.Call) (*limpetupstream.Reply, error) {
	if c.Server.Service == scorerService {
		return env.score(ctx)
	}
	env.mu.Lock()
	env.runs++
	env.sent = append(env.sent, c.ID)
	env.sentTo[c.Server.Service]++
	env.finishLoad(c.Server.ID)
	version := env.version[c.Server.ID]
	interval := cmp.Or(env.intervals[c.Server.Service], eventInterval)
	env.mu.Unlock()
	n := c.LastEventID
	return &limpetupstream.Reply{Status: http.StatusOK, Signature: "s", Version: version, Close: func() {}, Events: func() (limpetupstream.Event, error) {
		if n == events {
			return limpetupstream.Event{}, io.EOF
		}
		if !limpettask.Sleep(ctx, interval) {
			return limpetupstream.Event{}, ctx.Err()
		}
		n++
		env.mu.Lock()
		if env.broken[c.Server.Service] {
			env.mu.Unlock()
			return limpetupstream.Event{}, limpeterror.Disconnected.New("reset")
		}
		env.events++
		piece, other := env.pieces[c.ID]
		env.mu.Unlock()
		if other {
			return limpetupstream.Event{ID: n, Data: piece}, nil
		}
		return limpetupstream.Event{ID: n, Data: fmt.Sprintf("%s.%d", c.ID, n)}, nil
	}}, nil
}

// score loses the answer to a reward call.
func (env *testEnv) score(ctx context.Context) (*limpetupstream.Reply, error) {
	env.mu.Lock()
	env.scores = append(env.scores, time.Now())
	env.mu.Unlock()
	limpettask.Sleep(ctx, scoreTime)
	return nil, limpeterror.Disconnected.New("reset")
}

// lastScore returns the number of reward calls that reached a server, and when
// the last did.
func (env *testEnv) lastScore() (int, time.Time) {
	env.mu.Lock()
	defer env.mu.Unlock()
	if len(env.scores) == 0 {
		return 0, time.Time{}
	}
	return len(env.scores), env.scores[len(env.scores)-1]
}

const scorerService = "scorer"

func (env *testEnv) order(ctx context.Context, o limpetupstream.Order) error {
	env.mu.Lock()
	deliver := env.deliver
	env.mu.Unlock()
	if deliver != nil {
		if err := deliver(ctx, o); err != nil {
			return err
		}
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	id := o.Server.ID
	env.finishLoad(id)
	env.orders = append(env.orders, order{holder: o.Holder, fence: o.Fence, engine: id, at: time.Now()})
	if o.Fence < env.highestFence[id] && !env.unfenced {
		return limpeterror.Fenced.New("superseded")
	}
	env.highestFence[id] = max(env.highestFence[id], o.Fence)
	if env.loadingVersion[id] != 0 || o.Expected != env.acceptedOrders[id] {
		return limpeterror.Conflict.New("busy")
	}
	env.acceptedOrders[id]++
	env.loadingVersion[id], env.loadedAt[id] = o.Version, time.Now().Add(weightLoadTime)
	return nil
}

// runsOfJob returns the number of runs started for a job's items so far.
func (env *testEnv) runsOfJob(job string) int {
	env.mu.Lock()
	defer env.mu.Unlock()
	n := 0
	for _, id := range env.sent {
		if strings.HasPrefix(id, job+"-") {
			n++
		}
	}
	return n
}

func (env *testEnv) counts() (runs, events int) {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.runs, env.events
}

func (env *testEnv) ordersAndVersions() ([]order, map[string]int) {
	env.mu.Lock()
	defer env.mu.Unlock()
	return slices.Clone(env.orders), maps.Clone(env.version)
}

func (env *testEnv) report(_ context.Context, s *limpetsite.Server) (limpetupstream.Report, error) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.finishLoad(s.ID)
	return limpetupstream.Report{Versions: map[string]int{"m": env.version[s.ID]}, Busy: env.loadingVersion[s.ID] != 0, Accepted: env.acceptedOrders[s.ID]}, nil
}

// A candidate is a director whose connection to the store can be cut or
// delayed.
type candidate struct {
	*limpetdirector.Director
	group        *limpettask.Group
	mu           sync.Mutex
	disconnected bool
	// commitAnswerDelay delays the answer to a commit after its effect.
	commitAnswerDelay time.Duration
	// scanDelay delays the answer to a scan.
	scanDelay time.Duration
	// endedScanDelay further delays the answer to a scan of ended jobs.
	endedScanDelay time.Duration
	// commitDelay delays a commit before its effect.
	commitDelay time.Duration
	// storeUpElsewhere is what other VMs answer when asked whether they reach
	// the store.
	storeUpElsewhere bool
	// stepDelay prolongs each step of the loop while the candidate is the director.
	stepDelay time.Duration
}

// viewOf returns the view, as the loop reads it in each step.
func (c *candidate) viewOf(env *testEnv) *limpetsite.Snapshot {
	c.mu.Lock()
	d := c.stepDelay
	c.mu.Unlock()
	if d > 0 && c.IsDirector() {
		time.Sleep(d)
	}
	return env.currentView()
}

// delaySteps prolongs the steps of candidates while they are the director.
func delaySteps(d time.Duration, candidates ...*candidate) {
	for _, c := range candidates {
		c.mu.Lock()
		c.stepDelay = d
		c.mu.Unlock()
	}
}

func (c *candidate) setDisconnected(disconnected bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disconnected = disconnected
}

func (c *candidate) checkConnected() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.disconnected {
		return limpeterror.Unavailable.New("disconnected")
	}
	return nil
}

// delayCommitAnswers delays the answers to commits until end is called.
func (c *candidate) delayCommitAnswers(d time.Duration) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.commitAnswerDelay = d
	return func() { c.mu.Lock(); c.commitAnswerDelay = 0; c.mu.Unlock() }
}

func (c *candidate) sleepBeforeAnswer(ctx context.Context) {
	c.mu.Lock()
	d := c.commitAnswerDelay
	c.mu.Unlock()
	limpettask.Sleep(ctx, d)
}

// readJob takes the time of a read of a job's data.
func (env *testEnv) readJob(ctx context.Context, key string) {
	if env.readTime == 0 || strings.HasPrefix(key, limpetjob.OpenPrefix) || strings.HasPrefix(key, limpetjob.EndPrefix) || strings.Contains(key, "director") {
		return
	}
	env.reading <- struct{}{}
	limpettask.Sleep(ctx, env.readTime)
	<-env.reading
}

// store returns a client of the shared store with the candidate's faults.
func (c *candidate) store(env *testEnv) limpetstore.Store {
	s := env.store.Client()
	inner := s
	s.Get = func(ctx context.Context, key string) (limpetstore.Value, error) {
		if err := c.checkConnected(); err != nil {
			return limpetstore.Value{}, err
		}
		env.readJob(ctx, key)
		return inner.Get(ctx, key)
	}
	s.Put = func(ctx context.Context, r limpetstore.PutRequest) (uint64, error) {
		if err := c.checkConnected(); err != nil {
			return 0, err
		}
		return inner.Put(ctx, r)
	}
	s.Commit = func(ctx context.Context, t limpetstore.Transaction) (uint64, error) {
		if err := c.checkConnected(); err != nil {
			return 0, err
		}
		c.mu.Lock()
		commitDelay := c.commitDelay
		c.mu.Unlock()
		limpettask.Sleep(ctx, commitDelay)
		defer c.sleepBeforeAnswer(ctx)
		return inner.Commit(ctx, t)
	}
	s.Scan = func(ctx context.Context, prefix, after string) (limpetstore.Listing, error) {
		if err := c.checkConnected(); err != nil {
			return limpetstore.Listing{}, err
		}
		env.readJob(ctx, prefix)
		l, err := inner.Scan(ctx, prefix, after)
		c.mu.Lock()
		scanDelay := c.scanDelay
		if prefix == limpetjob.EndPrefix {
			scanDelay += c.endedScanDelay
		}
		c.mu.Unlock()
		limpettask.Sleep(ctx, scanDelay)
		return l, err
	}
	s.Renew = func(ctx context.Context, lease uint64) error {
		if err := c.checkConnected(); err != nil {
			return err
		}
		return inner.Renew(ctx, lease)
	}
	s.Revoke = func(ctx context.Context, lease uint64) error {
		if err := c.checkConnected(); err != nil {
			return err
		}
		return inner.Revoke(ctx, lease)
	}
	s.Follow = func(ctx context.Context, prefix string, after uint64, wait time.Duration) (limpetstore.Listing, error) {
		if err := c.checkConnected(); err != nil {
			return limpetstore.Listing{}, err
		}
		return inner.Follow(ctx, prefix, after, wait)
	}
	return s
}

func (env *testEnv) candidate(name string, acquireDelay time.Duration) *candidate {
	return env.process(name, 1, acquireDelay)
}

// process is candidate for one of several processes of a VM.
func (env *testEnv) process(name string, start int, acquireDelay time.Duration) *candidate {
	c := &candidate{}
	store := c.store(env)
	upstream := limpetupstream.Client{Send: env.send, Order: env.order, Report: env.report}
	c.Director = limpetdirector.New(limpetdirector.Deps{
		VM: name, Incarnation: fmt.Sprintf("%s.%d", name, start), Store: store, Upstream: upstream, View: func() *limpetsite.Snapshot { return c.viewOf(env) }, Log: limpetlog.Discard(), Metrics: limpetmetric.New(),
		Now: time.Now, AcquireDelay: acquireDelay, MinLeaseTTL: time.Second, MinTakeoverInterval: 3 * time.Second, JobRetention: 2 * time.Minute, DutyWatchTimeout: 2 * time.Second,
		FollowDeployment: func(bool) {}, ReportRetired: func(_ context.Context, vm string) error {
			if err := c.checkConnected(); err != nil {
				return err
			}
			env.mu.Lock()
			defer env.mu.Unlock()
			env.retired = append(env.retired, name+" reports "+vm)
			return nil
		},
		StoreReachable:          func() bool { return c.checkConnected() == nil },
		StoreReachableElsewhere: func(context.Context) bool { c.mu.Lock(); defer c.mu.Unlock(); return c.storeUpElsewhere },
		Forwarder:               &limpetforward.Forwarder{View: env.currentView, Upstream: upstream, Tracker: limpetbalancer.New(), Log: limpetlog.Discard(), Metrics: limpetmetric.New(), Now: time.Now},
	})
	c.group = limpettask.New(context.Background())
	c.group.Go(c.Run)
	c.SetCandidate(context.Background(), true)
	return c
}

func (c *candidate) stop(t *testing.T) {
	if err := c.group.Stop(); err != nil {
		t.Error(err)
	}
}

// submit accepts a job with the given number of items.
func (env *testEnv) submit(t *testing.T, id string, items, min int) {
	j := &limpetjob.Job{ID: id, Account: "acme", Host: "h", Path: "/p/", Model: "m", MinVersion: min, DesiredGroups: items, Arrived: time.Now()}
	for n := range items {
		j.Items = append(j.Items, limpetjob.Item{ID: fmt.Sprintf("%s-%d", id, n), Path: "/p/1", Group: fmt.Sprint(n), ExpectedTokens: 64 * events})
	}
	env.accept(t, j)
}

func (env *testEnv) accept(t *testing.T, j *limpetjob.Job) {
	if err := limpetjob.Accept(context.Background(), env.store.Client(), j); err != nil {
		t.Fatal(err)
	}
}

// results returns the committed results of a job. It fails the test if chunks
// leave gaps or an item is listed twice.
func (env *testEnv) results(t *testing.T, id string) []limpetjob.Result {
	l, err := env.store.Client().Scan(context.Background(), limpetjob.ResultPrefix(id), "")
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
				t.Fatalf("item %s is committed twice", r.ID)
			}
			seen[r.ID] = true
			all = append(all, r)
		}
	}
	return all
}

// checkAllOrNothing checks that the director returns all committed results of
// job j or declines to answer, and returns their number.
func checkAllOrNothing(t *testing.T, env *testEnv, c *candidate) int {
	stored := len(env.results(t, "j"))
	page, _, known := c.Results(context.Background(), "j", "acme", 0, 0)
	Convey("the director returns all committed results or declines to answer", t, func() {
		So(!known || len(page.Results) == stored, ShouldBeTrue)
	})
	return stored
}

func checkComplete(t *testing.T, results []limpetjob.Result, items int) {
	Convey("every item is committed once, with its complete text", t, func() {
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
