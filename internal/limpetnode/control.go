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

// A control holds the state that is confined to the control goroutine.
type control struct {
	node *Node
	doc  *limpetconfig.Document
	// recentEntries are the newest consecutive log entries that this VM has
	// applied, at most maxRecentEntries.
	recentEntries []limpetconfig.Entry
	// confirmedAt is the latest time at which doc was known to be the newest
	// configuration.
	confirmedAt time.Time
	// loaded is set once doc has been read from the store, a peer or the
	// snapshot file.
	loaded bool
	table  *limpetmember.Table
	// suspended holds the suspensions by key name.
	suspended  map[string]suspension
	servers    map[string]*serverState
	prices     map[string]limpetorder.Price
	quarantine *limpetquarantine.State
	// briefed holds the incarnations of the live VMs that need not be told of
	// earlier crashes.
	briefed     map[string]bool
	draining    bool
	acceptKeys  bool
	downMembers map[string]bool
	// heartbeatTicks counts the heartbeat periods since the start.
	heartbeatTicks int
	// own is this VM's state as last sent.
	own limpetmember.State
	// waiters are the channels to close after the next snapshot is published.
	waiters []chan struct{}
}

// A suspension rejects a key whose withdrawal is not yet durable. retryAppend is
// set on the VM that accepted the withdrawal if its first attempt to append it
// to the configuration log failed; that VM then retries.
type suspension struct {
	hash        string
	since       time.Time
	retryAppend bool
}

// A serverState holds what this VM knows about a backend server.
type serverState struct {
	server *limpetroute.Server
	// listed is the server's entry in the platform's list.
	listed limpetorder.Server
	load   limpetengine.LoadReport
	loadAt time.Time
	// ownInFlight is the number of this VM's own requests at the server when
	// its load was read.
	ownInFlight int
	// missedReports is the number of consecutive load reports that failed.
	missedReports int
	failedAt      time.Time
	// cachedPrefixes is shared with published snapshots, so it is replaced and
	// never modified. cacheSequence is the number of the last cache event.
	cachedPrefixes limpetroute.Prefixes
	cacheSequence  uint64
}

const (
	tickPeriod       = 250 * time.Millisecond
	maxRecentEntries = 128
	// failureCooldown is how long a server is avoided after a failed attempt.
	failureCooldown = 3 * time.Second
	// missedReportsLimit is the number of consecutive failed load reports after
	// which a server counts as failing.
	missedReportsLimit = 2
	// plainCapacity is the assumed number of concurrent calls that a server of a
	// plain service can run, because such a server reports no load.
	plainCapacity = 16
)

// quarantineRules hold a quarantined request until an operator releases it. Two
// crashes are enough, because a suspect runs alone.
var quarantineRules = limpetquarantine.Rules{Threshold: 2, SuspectTTL: 10 * time.Minute, MaxRequests: 4096}

// control runs the control goroutine: it applies events and publishes a snapshot
// after each batch of them.
func (n *Node) control(ctx context.Context) {
	defer close(n.ended)
	c := &control{
		node: n, doc: limpetconfig.NewDocument(), table: limpetmember.New(n.self), suspended: map[string]suspension{},
		servers: map[string]*serverState{}, quarantine: limpetquarantine.New(quarantineRules), downMembers: map[string]bool{},
	}
	c.loadSnapshot()
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
		for _, done := range c.waiters {
			close(done)
		}
		c.waiters = c.waiters[:0]
	}
}

// applyQueued applies the events that are already queued, so that a burst of
// events results in a single snapshot.
func (c *control) applyQueued() {
	for range eventQueueSize {
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
	c.briefNewcomers(now)
	live := map[string]bool{}
	for _, m := range c.table.Live(now) {
		live[m.Name] = true
		if c.downMembers[m.Name] {
			delete(c.downMembers, m.Name)
			c.node.log.Emit(limpetlog.MemberJoined, limpetlog.Value("member", m.Name))
		}
	}
	for _, m := range c.table.Known() {
		if !live[m.Name] && !c.downMembers[m.Name] {
			c.downMembers[m.Name] = true
			c.node.log.Emit(limpetlog.MemberDown, limpetlog.Value("member", m.Name))
		}
	}
}

// maxBriefers is the number of VMs that tell a newcomer of crashes.
const maxBriefers = 3

// briefNewcomers tells VMs that have started of the requests that crashed
// servers. The VMs ranked first for a newcomer do so.
func (c *control) briefNewcomers(now time.Time) {
	live := c.table.Live(now)
	briefed := make(map[string]bool, len(live))
	for _, m := range live {
		briefed[m.Incarnation] = true
		if c.briefed[m.Incarnation] || limpetmember.Rank("crashes/"+m.Incarnation, c.node.self.Name, memberNames(live)) >= maxBriefers {
			continue
		}
		if crashes := c.quarantine.All(); len(crashes) > 0 {
			c.node.sendCrashes(m.VM, crashes)
		}
	}
	c.briefed = briefed
}

// configStatus returns the inputs to the decision whether to accept keys.
func (c *control) configStatus(now time.Time) limpetmember.ConfigStatus {
	agreeing := 0
	for _, m := range c.table.Live(now) {
		if m.StoreDown && m.Applied <= c.doc.Index {
			agreeing++
		}
	}
	listed, known := c.table.Listed()
	return limpetmember.ConfigStatus{
		Age: now.Sub(c.confirmedAt), MaxAge: c.node.settings.Timing.MaxConfirmationAge, Confirmed: !c.confirmedAt.IsZero(),
		Listed: listed, ListKnown: known, Agreeing: agreeing, StoreDown: c.node.health.isDown(now),
	}
}

// publish builds and publishes the snapshot that request handling reads.
func (c *control) publish(now time.Time) {
	n := c.node
	acceptKeys := c.loaded && limpetmember.MayAcceptKeys(c.configStatus(now))
	if acceptKeys != c.acceptKeys {
		c.acceptKeys = acceptKeys
		e := limpetlog.ConfigUnconfirmed
		if acceptKeys {
			e = limpetlog.ConfigConfirmed
		}
		n.log.Emit(e, limpetlog.Value("index", c.doc.Index))
	}
	v := &limpetview.View{
		Config: c.doc, Suspended: map[string]bool{}, KeysAccepted: acceptKeys, Members: c.table.Live(now),
		Servers: map[string][]limpetroute.Candidate{}, Quarantine: c.quarantine.View(),
		StoreDown: n.health.isDown(now), Draining: c.draining, ConfigLoaded: c.loaded,
	}
	for key, s := range c.suspended {
		if c.doc.Keys[key].Hash == s.hash {
			v.Suspended[key] = true
		}
	}
	c.addCandidates(v, now)
	old := n.view.Swap(v)
	n.metrics.SetConfigState(c.doc.Index, acceptKeys)
	n.dispatcher.Refresh(v)
	if old.Config != v.Config || !maps.Equal(old.Suspended, v.Suspended) || old.KeysAccepted != v.KeysAccepted {
		n.frontend.CancelWithdrawn(v)
	}
	if old.StoreDown != v.StoreDown {
		e := limpetlog.StoreRecovered
		if v.StoreDown {
			e = limpetlog.StoreDown
		}
		n.log.Emit(e)
	}
	if !old.Ready() && v.Ready() {
		n.log.Emit(limpetlog.NodeReady, limpetlog.Value("index", c.doc.Index))
	}
}

// addCandidates adds to the snapshot the servers that requests may be sent to.
func (c *control) addCandidates(v *limpetview.View, now time.Time) {
	reports := map[string][]limpetroute.Report{}
	for _, id := range slices.Sorted(maps.Keys(c.servers)) {
		s := c.servers[id]
		if !s.routable(c.doc) {
			continue
		}
		service := s.server.Service
		v.Servers[service] = append(v.Servers[service], c.candidate(s, now))
		reports[service] = append(reports[service], limpetroute.Report{
			OtherRequests: max(s.load.Running+s.load.Queued-s.ownInFlight, 0), Age: now.Sub(s.load.At),
		})
	}
	for service, candidates := range v.Servers {
		if c.doc.Services[service].Kind == limpetconfig.Plain {
			continue
		}
		for i, others := range limpetroute.Estimate(reports[service], c.node.dispatcher.MeanServiceTime(service)) {
			candidates[i].OtherRequests = others
		}
	}
}

// routable reports whether requests may be sent to a server: it is running and,
// unless its service is plain, has reported its load.
func (s *serverState) routable(d *limpetconfig.Document) bool {
	if s.listed.State == limpetorder.Stopped || s.listed.State == limpetorder.Starting {
		return false
	}
	return d.Services[s.server.Service].Kind == limpetconfig.Plain || !s.loadAt.IsZero()
}

func (c *control) candidate(s *serverState, now time.Time) limpetroute.Candidate {
	_, drained := c.doc.Drains[s.server.ID]
	k := limpetroute.Candidate{
		Server: s.server, Capacity: s.load.Capacity, Cached: s.cachedPrefixes,
		Version: s.load.Version, Incarnation: s.load.Incarnation, Software: s.load.Software,
		Leaving: drained || s.load.Draining || s.listed.State == limpetorder.Reclaiming,
		Failing: now.Sub(s.failedAt) < failureCooldown || s.missedReports >= missedReportsLimit,
	}
	if c.doc.Services[s.server.Service].Kind == limpetconfig.Plain {
		k.Capacity = plainCapacity
	}
	return k
}

// A configEvent delivers a configuration document. entries are the log entries
// that led to it, which lagging peers may pull; confirmedAt is a time at which
// the document was known to be the newest, or zero.
type configEvent struct {
	doc         *limpetconfig.Document
	entries     []limpetconfig.Entry
	confirmedAt time.Time
}

// apply ignores a document older than the current one, because reads of the
// store and replies of peers may arrive out of order.
func (e configEvent) apply(c *control, _ time.Time) {
	if e.doc.Index >= c.doc.Index && e.confirmedAt.After(c.confirmedAt) {
		c.confirmedAt = e.confirmedAt
	}
	if e.doc.Index < c.doc.Index || (c.loaded && e.doc.Index == c.doc.Index) {
		return
	}
	c.doc, c.loaded = e.doc, true
	for _, entry := range e.entries {
		if n := len(c.recentEntries); n == 0 || entry.Index == c.recentEntries[n-1].Index+1 {
			c.recentEntries = append(c.recentEntries, entry)
		} else if entry.Index > c.recentEntries[n-1].Index {
			c.recentEntries = []limpetconfig.Entry{entry}
		}
	}
	c.recentEntries = c.recentEntries[max(0, len(c.recentEntries)-maxRecentEntries):]
	for key, s := range c.suspended {
		if c.doc.Keys[key].Hash != s.hash {
			delete(c.suspended, key)
		}
	}
	for name := range c.doc.Releases {
		c.releaseQuarantine(name)
	}
	c.saveSnapshot()
	c.node.log.Emit(limpetlog.ConfigApplied, limpetlog.Value("index", c.doc.Index))
}

// entriesAfter returns the recent entries after an index, or false if they do
// not reach back that far.
func (c *control) entriesAfter(index uint64) ([]limpetconfig.Entry, bool) {
	if index >= c.doc.Index {
		return nil, true
	}
	i := sort.Search(len(c.recentEntries), func(i int) bool { return c.recentEntries[i].Index > index })
	if i == len(c.recentEntries) || c.recentEntries[i].Index != index+1 || c.recentEntries[len(c.recentEntries)-1].Index != c.doc.Index {
		return nil, false
	}
	return c.recentEntries[i:], true
}

// A stateEvent delivers the state of another VM. isReply is set if the VM sent
// it in reply to this VM's heartbeat. Only then is the age of the state known
// well enough to confirm this VM's configuration with it. suspended maps the
// names of the keys that the VM suspends to their hashes.
type stateEvent struct {
	state     limpetmember.State
	suspended map[string]string
	isReply   bool
}

func (e stateEvent) apply(c *control, now time.Time) {
	c.table.Merge(now, e.state)
	if e.isReply && e.state.Applied <= c.doc.Index && e.state.ConfirmedAt.After(c.confirmedAt) {
		c.confirmedAt = e.state.ConfirmedAt
	}
	for key, hash := range e.suspended {
		c.suspend(now, key, hash)
	}
}

// A signsEvent delivers signs of other VMs.
type signsEvent []limpetmember.Sign

func (e signsEvent) apply(c *control, _ time.Time) { c.table.Refresh(e) }

func (c *control) suspend(now time.Time, key, hash string) {
	if c.suspended[key].hash == hash || c.doc.Keys[key].Hash != hash {
		return
	}
	c.suspended[key] = suspension{hash: hash, since: now}
	c.node.log.Emit(limpetlog.KeySuspended, limpetlog.Value("key", key))
}

// A suspendEvent suspends a key with immediate effect.
type suspendEvent struct {
	key, hash string
}

func (e suspendEvent) apply(c *control, now time.Time) { c.suspend(now, e.key, e.hash) }

// A vmListEvent delivers the platform's list of VMs.
type vmListEvent struct {
	vms []limpetmember.VM
}

func (e vmListEvent) apply(c *control, _ time.Time) { c.table.SetListed(e.vms) }

// A serversEvent delivers the changed entries of the platform's list of backend
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

// A pricesEvent delivers the prices by zone.
type pricesEvent struct {
	prices []limpetorder.Price
}

func (e pricesEvent) apply(c *control, _ time.Time) {
	c.prices = map[string]limpetorder.Price{}
	for _, p := range e.prices {
		c.prices[p.Zone] = p
	}
}

// A loadEvent delivers a server's load report, or the error from reading it.
type loadEvent struct {
	server      string
	load        limpetengine.LoadReport
	ownInFlight int
	err         error
}

func (e loadEvent) apply(c *control, now time.Time) {
	s, ok := c.servers[e.server]
	if !ok {
		return
	}
	if e.err != nil {
		s.missedReports++
		return
	}
	if s.load.Incarnation != e.load.Incarnation {
		// A new engine process starts with an empty cache and numbers its
		// cache events from 1 again.
		s.cachedPrefixes, s.cacheSequence = nil, 0
	}
	s.load, s.loadAt, s.ownInFlight, s.missedReports = e.load, now, e.ownInFlight, 0
}

// A cacheEvent delivers changes of a server's prefix cache.
type cacheEvent struct {
	server      string
	incarnation string
	events      []limpetengine.CacheEvent
}

// maxCachedPrefixes bounds the number of prefixes stored for one server's cache.
// When there are more, all are dropped and collected anew.
const maxCachedPrefixes = 4096

func (e cacheEvent) apply(c *control, _ time.Time) {
	s, ok := c.servers[e.server]
	if !ok || s.load.Incarnation != e.incarnation || len(e.events) == 0 {
		return
	}
	next := maps.Clone(s.cachedPrefixes)
	if next == nil || len(next) > maxCachedPrefixes {
		next = limpetroute.Prefixes{}
	}
	for _, a := range e.events {
		s.cacheSequence = max(s.cacheSequence, a.Sequence)
		if a.Dropped {
			delete(next, a.Prefix)
		} else {
			next[a.Prefix] = struct{}{}
		}
	}
	s.cachedPrefixes = next
}

// An attemptFailedEvent reports that a request attempt at a server failed.
type attemptFailedEvent struct {
	server string
}

func (e attemptFailedEvent) apply(c *control, now time.Time) {
	if s, ok := c.servers[e.server]; ok {
		s.failedAt = now
	}
}

// A crashEvent reports that a request is suspected of having crashed a server.
type crashEvent struct {
	fingerprint     uint64
	account, server string
}

func (e crashEvent) apply(c *control, now time.Time) {
	if c.quarantine.Report(now, limpetquarantine.Crash{Fingerprint: e.fingerprint, Account: e.account, Server: e.server}) {
		c.node.log.Emit(limpetlog.RequestQuarantined, limpetlog.Account(e.account), limpetlog.Value("fingerprint", limpetquarantine.Name(e.fingerprint)))
	}
}

// A servedEvent reports that a suspected request was served. It does not release
// quarantined ones, which only an operator does.
type servedEvent uint64

func (e servedEvent) apply(c *control, _ time.Time) {
	fingerprint := uint64(e)
	if c.quarantine.View().Suspects[fingerprint] {
		c.quarantine.Release(fingerprint)
		c.node.log.Emit(limpetlog.QuarantineReleased, limpetlog.Value("fingerprint", limpetquarantine.Name(fingerprint)), limpetlog.Value("cause", "the request was served"))
	}
}

// A drainEvent makes the node unready before it shuts down.
type drainEvent struct{}

func (drainEvent) apply(c *control, _ time.Time) { c.draining = true }
