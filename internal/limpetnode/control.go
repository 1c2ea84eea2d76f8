package limpetnode

import (
	"context"
	"maps"
	"slices"
	"sort"
	"time"

	"limpetmount.org/internal/limpetconfig"
	"limpetmount.org/internal/limpetengine"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetmember"
	"limpetmount.org/internal/limpetorder"
	"limpetmount.org/internal/limpetquarantine"
	"limpetmount.org/internal/limpetroute"
	"limpetmount.org/internal/limpetview"
)

// An event changes the control state. Only the control goroutine applies it.
type event interface {
	apply(c *control, now time.Time)
}

// A control holds the state that the control goroutine owns.
type control struct {
	node        *Node
	doc         *limpetconfig.Document
	recent      []limpetconfig.Entry
	confirmedAt time.Time
	loaded      bool
	table       *limpetmember.Table
	// suspended holds the suspended keys by name.
	suspended  map[string]suspension
	servers    map[string]*serverState
	prices     map[string]limpetorder.Price
	quarantine *limpetquarantine.State
	draining   bool
	honour     bool
	down       map[string]bool
	// beats counts the periods of heartbeats.
	beats int
	// asked are the askers to be told after the next snapshot.
	asked []chan struct{}
}

// A suspension holds a key that is stopped but not yet durably withdrawn.
// Own is set on the VM that took it, once its first try to append it failed.
type suspension struct {
	hash  string
	since time.Time
	own   bool
}

// A serverState holds what is known about a backend server.
type serverState struct {
	server   *limpetroute.Server
	listed   limpetorder.Server
	load     limpetengine.Load
	loadAt   time.Time
	ownThen  int
	misses   int
	failedAt time.Time
	// cached is replaced, never changed; cachedUpTo is the last event's number.
	cached     limpetroute.Prefixes
	cachedUpTo uint64
}

const (
	tickPeriod    = 250 * time.Millisecond
	suspectsKept  = 10 * time.Minute
	recentEntries = 128
	// failingFor is how long a server is avoided after a failed attempt.
	failingFor = 3 * time.Second
	// missesToFail failed load reports in a row make a server failing.
	missesToFail = 2
	// plainCapacity is the number of calls at a plain service's server, which
	// reports no load.
	plainCapacity = 16
)

func (n *Node) send(e event) {
	select {
	case n.events <- e:
	case <-n.group.Context().Done():
	}
}

// ask runs f in the control goroutine and waits until the snapshot with its
// effect, and with that of all events sent before, is published.
func (n *Node) ask(f func(c *control)) {
	done := make(chan struct{})
	n.send(askEvent{f: f, done: done})
	select {
	case <-done:
	case <-n.group.Context().Done():
	}
}

type askEvent struct {
	f    func(c *control)
	done chan struct{}
}

func (e askEvent) apply(c *control, _ time.Time) {
	e.f(c)
	c.asked = append(c.asked, e.done)
}

// control applies events and publishes a snapshot after each batch.
func (n *Node) control(ctx context.Context) {
	c := &control{
		node: n, doc: limpetconfig.NewDocument(), table: limpetmember.New(n.self), suspended: map[string]suspension{},
		servers: map[string]*serverState{}, quarantine: limpetquarantine.New(suspectsKept), down: map[string]bool{},
	}
	c.loadFolder()
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-n.events:
			e.apply(c, time.Now())
			c.applyQueued()
		case <-ticker.C:
			c.tick(time.Now())
		}
		c.publish(time.Now())
		for _, done := range c.asked {
			close(done)
		}
		c.asked = c.asked[:0]
	}
}

// applyQueued applies the events that wait already, so that a burst makes one
// snapshot.
func (c *control) applyQueued() {
	for range eventQueue {
		select {
		case e := <-c.node.events:
			e.apply(c, time.Now())
		default:
			return
		}
	}
}

func (c *control) tick(now time.Time) {
	c.quarantine.Expire(now)
	c.table.Expire(now)
	live := map[string]bool{}
	for _, m := range c.table.Live(now) {
		live[m.Name] = true
		if c.down[m.Name] {
			delete(c.down, m.Name)
			c.node.log.Emit(limpetlog.MemberJoined, limpetlog.Value("member", m.Name))
		}
	}
	for _, m := range c.table.Known() {
		if !live[m.Name] && !c.down[m.Name] {
			c.down[m.Name] = true
			c.node.log.Emit(limpetlog.MemberDown, limpetlog.Value("member", m.Name))
		}
	}
}

// confirmation returns what bears on honouring keys.
func (c *control) confirmation(now time.Time) limpetmember.Confirmation {
	agreeing := 0
	for _, m := range c.table.Live(now) {
		if m.StoreDown && m.Applied <= c.doc.Index {
			agreeing++
		}
	}
	listed, known := c.table.Listed()
	return limpetmember.Confirmation{
		Age: now.Sub(c.confirmedAt), Bound: c.node.settings.Timing.Confirm, Confirmed: !c.confirmedAt.IsZero(),
		Listed: listed, ListKnown: known, Agreeing: agreeing, StoreDown: c.node.health.down(now),
	}
}

// publish makes the snapshot that traffic reads.
func (c *control) publish(now time.Time) {
	n := c.node
	honour := c.loaded && limpetmember.HonourKeys(c.confirmation(now))
	if honour != c.honour {
		c.honour = honour
		e := limpetlog.ConfigUnsure
		if honour {
			e = limpetlog.ConfigSure
		}
		n.log.Emit(e, limpetlog.Value("index", c.doc.Index))
	}
	v := &limpetview.View{
		Config: c.doc, Suspended: map[string]bool{}, Honour: honour, Members: c.table.Live(now),
		Servers: map[string][]limpetroute.Candidate{}, Quarantine: c.quarantine.View(),
		StoreDown: n.health.down(now), Draining: c.draining, Loaded: c.loaded,
	}
	for key, s := range c.suspended {
		if c.doc.Keys[key].Hash == s.hash {
			v.Suspended[key] = true
		}
	}
	c.addCandidates(v, now)
	old := n.view.Swap(v)
	n.metrics.Control(c.doc.Index, honour)
	n.serve.Refresh(v)
	if old.Config != v.Config || !maps.Equal(old.Suspended, v.Suspended) || old.Honour != v.Honour {
		n.front.Refresh(v)
	}
	if old.StoreDown != v.StoreDown {
		e := limpetlog.StoreBack
		if v.StoreDown {
			e = limpetlog.StoreDown
		}
		n.log.Emit(e)
	}
	if !old.Ready() && v.Ready() {
		n.log.Emit(limpetlog.NodeReady, limpetlog.Value("index", c.doc.Index))
	}
}

// addCandidates adds the servers that requests may be sent to.
func (c *control) addCandidates(v *limpetview.View, now time.Time) {
	reports := map[string][]limpetroute.Report{}
	for _, id := range slices.Sorted(maps.Keys(c.servers)) {
		s := c.servers[id]
		if !s.known(c.doc) {
			continue
		}
		service := s.server.Service
		v.Servers[service] = append(v.Servers[service], c.candidate(s, now))
		reports[service] = append(reports[service], limpetroute.Report{
			Others: max(s.load.Running+s.load.Queued-s.ownThen, 0), Age: now.Sub(s.load.At),
		})
	}
	for service, candidates := range v.Servers {
		if c.doc.Services[service].Kind == limpetconfig.Plain {
			continue
		}
		for i, others := range limpetroute.Estimate(reports[service], c.node.serve.MeanService(service)) {
			candidates[i].Others = others
		}
	}
}

// known reports whether requests may be sent to a server: it runs, and an
// engine has reported its load since.
func (s *serverState) known(d *limpetconfig.Document) bool {
	if s.listed.State == limpetorder.Stopped || s.listed.State == limpetorder.Starting {
		return false
	}
	return d.Services[s.server.Service].Kind == limpetconfig.Plain || !s.loadAt.IsZero()
}

func (c *control) candidate(s *serverState, now time.Time) limpetroute.Candidate {
	_, drained := c.doc.Drains[s.server.ID]
	k := limpetroute.Candidate{
		Server: s.server, Capacity: s.load.Capacity, Cached: s.cached,
		Version: s.load.Version, Incarnation: s.load.Incarnation,
		Leaving: drained || s.load.Draining || s.listed.State == limpetorder.Reclaiming,
		Failing: now.Sub(s.failedAt) < failingFor || s.misses >= missesToFail,
	}
	if c.doc.Services[s.server.Service].Kind == limpetconfig.Plain {
		k.Capacity = plainCapacity
	}
	return k
}

// configEvent brings a document. Entries are those that led to it, for peers
// that lag; confirmedAt is a time at which it was the newest, if known.
type configEvent struct {
	doc         *limpetconfig.Document
	entries     []limpetconfig.Entry
	confirmedAt time.Time
}

// apply never goes back to an older document: reads and peers may be late.
func (e configEvent) apply(c *control, _ time.Time) {
	if e.doc.Index >= c.doc.Index && e.confirmedAt.After(c.confirmedAt) {
		c.confirmedAt = e.confirmedAt
	}
	if e.doc.Index < c.doc.Index || (c.loaded && e.doc.Index == c.doc.Index) {
		return
	}
	c.doc, c.loaded = e.doc, true
	for _, entry := range e.entries {
		if n := len(c.recent); n == 0 || entry.Index == c.recent[n-1].Index+1 {
			c.recent = append(c.recent, entry)
		} else if entry.Index > c.recent[n-1].Index {
			c.recent = []limpetconfig.Entry{entry}
		}
	}
	c.recent = c.recent[max(0, len(c.recent)-recentEntries):]
	for key, s := range c.suspended {
		if c.doc.Keys[key].Hash != s.hash {
			delete(c.suspended, key)
		}
	}
	for name := range c.doc.Releases {
		c.release(name)
	}
	c.saveFolder()
	c.node.log.Emit(limpetlog.ConfigApplied, limpetlog.Value("index", c.doc.Index))
}

// entriesAfter returns the recent entries after an index, or false when they
// do not reach back so far.
func (c *control) entriesAfter(index uint64) ([]limpetconfig.Entry, bool) {
	if index >= c.doc.Index {
		return nil, true
	}
	i := sort.Search(len(c.recent), func(i int) bool { return c.recent[i].Index > index })
	if i == len(c.recent) || c.recent[i].Index != index+1 || c.recent[len(c.recent)-1].Index != c.doc.Index {
		return nil, false
	}
	return c.recent[i:], true
}

// heardEvent brings what a VM said. Answered is set for the answer to this
// VM's own heartbeat, whose age is known well enough to confirm with.
type heardEvent struct {
	state     limpetmember.State
	suspended map[string]string
	answered  bool
}

func (e heardEvent) apply(c *control, now time.Time) {
	c.table.Hear(now, e.state)
	if e.answered && e.state.Applied <= c.doc.Index && e.state.ConfirmedAt.After(c.confirmedAt) {
		c.confirmedAt = e.state.ConfirmedAt
	}
	for key, hash := range e.suspended {
		c.suspend(now, key, hash)
	}
}

func (c *control) suspend(now time.Time, key, hash string) {
	if c.suspended[key].hash == hash || c.doc.Keys[key].Hash != hash {
		return
	}
	c.suspended[key] = suspension{hash: hash, since: now}
	c.node.log.Emit(limpetlog.KeySuspended, limpetlog.Value("key", key))
}

// suspendEvent stops a key at once.
type suspendEvent struct {
	key, hash string
}

func (e suspendEvent) apply(c *control, now time.Time) { c.suspend(now, e.key, e.hash) }

// listEvent brings the platform's list of VMs.
type listEvent struct {
	vms []limpetmember.VM
}

func (e listEvent) apply(c *control, _ time.Time) { c.table.List(e.vms) }

// serversEvent brings changed entries of the platform's list of backend
// servers.
type serversEvent struct {
	servers []limpetorder.Server
}

func (e serversEvent) apply(c *control, _ time.Time) {
	for _, listed := range e.servers {
		if listed.State == limpetorder.Stopped {
			delete(c.servers, listed.ID)
			continue
		}
		s, ok := c.servers[listed.ID]
		if !ok {
			s = &serverState{server: limpetroute.NewServer(listed)}
			c.servers[listed.ID] = s
		}
		if listed.State == limpetorder.Reclaiming && s.listed.State != limpetorder.Reclaiming {
			c.node.log.Emit(limpetlog.ServerDraining, limpetlog.Server(listed.ID), limpetlog.Value("reclaim_at", listed.ReclaimAt))
		}
		s.listed = listed
	}
}

// pricesEvent brings the prices of the zones.
type pricesEvent struct {
	prices []limpetorder.Price
}

func (e pricesEvent) apply(c *control, _ time.Time) {
	c.prices = map[string]limpetorder.Price{}
	for _, p := range e.prices {
		c.prices[p.Zone] = p
	}
}

// loadEvent brings a load report, or its failure.
type loadEvent struct {
	server  string
	load    limpetengine.Load
	ownThen int
	err     error
}

func (e loadEvent) apply(c *control, now time.Time) {
	s, ok := c.servers[e.server]
	if !ok {
		return
	}
	if e.err != nil {
		s.misses++
		return
	}
	if s.load.Incarnation != e.load.Incarnation {
		// A new process begins with an empty cache and counts from 1 again.
		s.cached, s.cachedUpTo = nil, 0
	}
	s.load, s.loadAt, s.ownThen, s.misses = e.load, now, e.ownThen, 0
}

// cacheEvent brings what a server announced about its prefix cache.
type cacheEvent struct {
	server      string
	incarnation string
	events      []limpetengine.CacheEvent
}

// prefixesKept bounds what is known of one server's cache.
const prefixesKept = 4096

func (e cacheEvent) apply(c *control, _ time.Time) {
	s, ok := c.servers[e.server]
	if !ok || s.load.Incarnation != e.incarnation || len(e.events) == 0 {
		return
	}
	next := maps.Clone(s.cached)
	if next == nil || len(next) > prefixesKept {
		next = limpetroute.Prefixes{}
	}
	for _, a := range e.events {
		s.cachedUpTo = max(s.cachedUpTo, a.Sequence)
		if a.Dropped {
			delete(next, a.Prefix)
		} else {
			next[a.Prefix] = struct{}{}
		}
	}
	s.cached = next
}

// failedEvent says that an attempt at a server failed.
type failedEvent struct {
	server string
}

func (e failedEvent) apply(c *control, now time.Time) {
	if s, ok := c.servers[e.server]; ok {
		s.failedAt = now
	}
}

// crashEvent says that a request is blamed for a server's crash.
type crashEvent struct {
	fingerprint     uint64
	account, server string
}

func (e crashEvent) apply(c *control, now time.Time) {
	if c.quarantine.Report(now, e.fingerprint, e.account, e.server) {
		c.node.log.Emit(limpetlog.Quarantined, limpetlog.Account(e.account), limpetlog.Value("fingerprint", formatFingerprint(e.fingerprint)))
	}
}

// drainEvent ends readiness.
type drainEvent struct{}

func (drainEvent) apply(c *control, _ time.Time) { c.draining = true }
