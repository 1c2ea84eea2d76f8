package limpetnode

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"limpetmount.org/internal/limpetconfig"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetmember"
	"limpetmount.org/internal/limpetorder"
	"limpetmount.org/internal/limpetpeer"
	"limpetmount.org/internal/limpetquarantine"
	"limpetmount.org/internal/limpetroute"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetwire"
)

// A storeHealth tracks whether calls to the store succeed.
type storeHealth struct {
	lastSuccess atomic.Int64
	lastFailure atomic.Int64
}

// storeDownAfter is the time since the last successful call after which the
// store counts as down if the most recent call failed.
const storeDownAfter = 1500 * time.Millisecond

// record records the outcome of a call. Only errors of type Unavailable or Unknown
// count as failures; others, such as Conflict, are answers of the store.
func (h *storeHealth) record(err error) {
	now := time.Now().UnixNano()
	if limpeterror.Is(err, limpeterror.Unavailable) || limpeterror.Is(err, limpeterror.Unknown) {
		h.lastFailure.Store(now)
		return
	}
	h.lastSuccess.Store(now)
}

func (h *storeHealth) isDown(now time.Time) bool {
	success, failure := h.lastSuccess.Load(), h.lastFailure.Load()
	return failure > success && now.UnixNano()-success > int64(storeDownAfter)
}

// wrap returns a store that records the outcome of each Get, Put and Watch call
// to s.
func (h *storeHealth) wrap(s limpetstore.Store) limpetstore.Store {
	w := s
	w.Get = func(ctx context.Context, key string) (limpetstore.Value, error) {
		v, err := s.Get(ctx, key)
		h.record(err)
		return v, err
	}
	w.Put = func(ctx context.Context, r limpetstore.PutRequest) (uint64, error) {
		v, err := s.Put(ctx, r)
		h.record(err)
		return v, err
	}
	w.Watch = func(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]limpetstore.Value, error) {
		v, err := s.Watch(ctx, prefix, after, wait)
		if ctx.Err() == nil {
			h.record(err)
		}
		return v, err
	}
	return w
}

const (
	watchTimeout = time.Second
	retryDelay   = 200 * time.Millisecond
	// watchersPerZone is the number of VMs in each zone that always watch the
	// configuration log.
	watchersPerZone = 2
	// watchFallbackAge is the time since the last confirmation of its
	// configuration after which any other VM also watches the log.
	watchFallbackAge = 2 * time.Second
)

// followLog keeps the configuration up to date. The first few VMs of each zone
// watch the configuration log. The others learn of changes from peers, and watch
// the log only while they cannot confirm their configuration through a peer.
func (n *Node) followLog(ctx context.Context) {
	revision := uint64(0)
	doc := limpetconfig.NewDocument()
	for ctx.Err() == nil {
		if !n.shouldWatch() {
			limpettask.Sleep(ctx, limpettask.Jitter(watchTimeout))
			continue
		}
		sent := time.Now()
		values, err := n.config.Watch(ctx, revision, watchTimeout)
		if err != nil {
			if limpeterror.Is(err, limpeterror.Conflict) {
				// The store has compacted the events after this revision.
				revision = 0
			}
			limpettask.Sleep(ctx, limpettask.Jitter(retryDelay))
			continue
		}
		n.withControl(func(c *control) { doc = c.doc })
		next, entries := doc, []limpetconfig.Entry(nil)
		for _, v := range values {
			if v.Revision <= revision {
				continue
			}
			revision = v.Revision
			if next, entries, err = n.config.ApplySegment(ctx, next, v.Data); err != nil {
				n.log.Emit(limpetlog.ConfigRejected, limpetlog.Error(err))
			}
		}
		if err != nil {
			// Read the log again from its oldest entry.
			revision = 0
			limpettask.Sleep(ctx, limpettask.Jitter(retryDelay))
			continue
		}
		n.send(configEvent{doc: next, entries: entries, confirmedAt: sent})
	}
}

// shouldWatch reports whether this VM watches the configuration log: it is one of
// the first of its zone, has no configuration yet, or has not confirmed its
// configuration for watchFallbackAge.
func (n *Node) shouldWatch() bool {
	v := n.View()
	rank := 0
	for _, m := range v.Members {
		if m.Zone == n.self.Zone && m.Name < n.self.Name {
			rank++
		}
	}
	if rank < watchersPerZone || !v.ConfigLoaded {
		return true
	}
	stale := false
	n.withControl(func(c *control) { stale = time.Since(c.confirmedAt) > watchFallbackAge })
	return stale
}

const (
	// peerCallTimeout bounds each heartbeat, broadcast call and replication of
	// usage counts.
	peerCallTimeout = time.Second
	// drainingPeers is the number of VMs that each heartbeat of a VM goes to that
	// shuts down in a large system.
	drainingPeers = 3
	// maxRelayedStates is the largest number of other VMs' states in a reply.
	maxRelayedStates = 32
	// largeSystemFactor is the time between two heartbeats in a large system,
	// in heartbeat periods.
	largeSystemFactor = 2
)

// heartbeat exchanges states with all VMs. In a large system it does so only once
// in largeSystemFactor calls, with one VM, in its own zone and outside of it in
// turn.
func (n *Node) heartbeat(ctx context.Context) {
	var peers []limpetmember.VM
	n.withControl(func(c *control) { peers = c.nextPeers() })
	var g errgroup.Group
	for _, p := range peers {
		if p.Peer == "" {
			continue
		}
		g.Go(func() error {
			n.exchangeHeartbeat(ctx, p)
			return nil
		})
	}
	_ = g.Wait()
}

// nextPeers returns the VMs for the next heartbeat.
func (c *control) nextPeers() []limpetmember.VM {
	random := newRand()
	c.heartbeatTicks++
	switch round := c.heartbeatTicks / largeSystemFactor; {
	case !c.inLargeSystem():
		return c.table.RandomPeers(c.table.Count(), random)
	case c.draining:
		return c.table.RandomPeers(drainingPeers, random)
	case c.heartbeatTicks%largeSystemFactor != 0:
		return nil
	default:
		return c.table.RandomPeer(round%2 == 0, random)
	}
}

func (c *control) inLargeSystem() bool { return c.table.Count() > limpetmember.FullMeshLimit }

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (n *Node) exchangeHeartbeat(ctx context.Context, p limpetmember.VM) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	sent := time.Now()
	q := &limpetwire.HeartbeatRequest{State: n.ownState()}
	n.withControl(func(c *control) {
		if c.inLargeSystem() {
			q.Signs = limpetpeer.EncodeSigns(c.table.Signs(sent), sent)
		}
	})
	reply, err := n.client.Peer(p.Peer).Heartbeat(ctx, connect.NewRequest(q))
	if err != nil {
		n.log.Emit(limpetlog.PeerCallFailed, limpetlog.Value("peer", p.Name), limpetlog.Error(err))
		return
	}
	s := limpetpeer.DecodeState(reply.Msg.GetState(), sent)
	n.receiveState(reply.Msg.GetState(), s, true)
	n.receiveRelayed(reply.Msg.GetOthers(), reply.Msg.GetSigns(), sent)
	if s.Applied > n.View().Config.Index {
		n.pullConfig(ctx, p.Peer)
	}
}

// receiveRelayed receives what a VM said of others. Its ages are relative to
// base.
func (n *Node) receiveRelayed(others []*limpetwire.NodeState, signs *limpetwire.Signs, base time.Time) {
	for _, o := range others {
		n.receiveState(o, limpetpeer.DecodeState(o, base), false)
	}
	if decoded := limpetpeer.DecodeSigns(signs, base); len(decoded) > 0 {
		n.send(signsEvent(decoded))
	}
}

func (n *Node) receiveState(m *limpetwire.NodeState, s limpetmember.State, isReply bool) {
	suspended := map[string]string{}
	for _, k := range m.GetSuspended() {
		suspended[k.GetKey()] = k.GetHash()
	}
	n.send(stateEvent{state: s, suspended: suspended, isReply: isReply})
}

// ownState returns this VM's state.
func (n *Node) ownState() (own *limpetwire.NodeState) {
	now := time.Now()
	var consumed []*limpetwire.AccountTokens
	for k, tokens := range n.dispatcher.Consumed() {
		consumed = append(consumed, &limpetwire.AccountTokens{Account: k.Account, Service: k.Service, Tokens: tokens})
	}
	duties := slices.Sorted(maps.Keys(n.holder.Duties()))
	n.withControl(func(c *control) {
		var suspended []*limpetwire.Suspension
		for key, s := range c.suspended {
			suspended = append(suspended, &limpetwire.Suspension{Key: key, Hash: s.hash})
		}
		next := limpetmember.State{
			VM: n.self, Applied: c.doc.Index, ConfirmedAt: c.confirmedAt, StoreDown: n.health.isDown(now),
			Leaving: c.draining, Duties: duties, ReportedAt: now,
		}
		next.Version = c.own.NextVersion(next)
		c.own = next
		own = limpetpeer.EncodeState(next, now, suspended, consumed)
	})
	return own
}

// replyToSigns returns what another VM lacks according to its signs; nothing in a
// small system.
func (n *Node) replyToSigns(signs *limpetwire.Signs, base time.Time) (others []*limpetwire.NodeState, fresher *limpetwire.Signs) {
	n.withControl(func(c *control) {
		if !c.inLargeSystem() {
			return
		}
		now := time.Now()
		states, newer := c.table.Missing(now, limpetpeer.DecodeSigns(signs, base), maxRelayedStates, newRand())
		for _, s := range states {
			others = append(others, limpetpeer.EncodeState(s, now, nil, nil))
		}
		fresher = limpetpeer.EncodeSigns(newer, now)
	})
	return others, fresher
}

// pullConfig updates the configuration from a peer that has a newer one.
func (n *Node) pullConfig(ctx context.Context, peer string) {
	doc := n.View().Config
	reply, err := n.client.Peer(peer).PullConfig(ctx, connect.NewRequest(&limpetwire.PullConfigRequest{After: doc.Index}))
	if err != nil {
		n.log.Emit(limpetlog.PeerCallFailed, limpetlog.Value("peer", peer), limpetlog.Error(err))
		return
	}
	next := doc
	if data := reply.Msg.GetSnapshot(); len(data) > 0 {
		if next, err = limpetconfig.DecodeDocument(data); err != nil || next.Index <= doc.Index {
			return
		}
	}
	var entries []limpetconfig.Entry
	for _, data := range reply.Msg.GetEntries() {
		var e limpetconfig.Entry
		if err = json.Unmarshal(data, &e); err == nil {
			next, err = limpetconfig.Apply(next, e)
		}
		if err != nil {
			n.log.Emit(limpetlog.ConfigRejected, limpetlog.Value("peer", peer), limpetlog.Error(err))
			return
		}
		entries = append(entries, e)
	}
	n.send(configEvent{doc: next, entries: entries})
}

func (n *Node) readVMList(ctx context.Context) {
	vms, err := n.deps.VMs.Read(ctx)
	if err != nil {
		n.log.Emit(limpetlog.PeerCallFailed, limpetlog.Value("peer", "vm list"), limpetlog.Error(err))
		return
	}
	var listed []limpetmember.VM
	for _, v := range vms {
		if !v.Leaving {
			listed = append(listed, limpetmember.VM{Name: v.Name, Zone: v.Zone, Peer: v.Peer})
		}
	}
	n.send(vmListEvent{vms: listed})
}

// readServers reads the changes of the list of backend servers since the last
// read.
func (n *Node) readServers(ctx context.Context) {
	listing, err := n.deps.Orders.Servers(ctx, n.serversRevision.Load())
	if err != nil {
		n.log.Emit(limpetlog.PeerCallFailed, limpetlog.Value("peer", "ordering"), limpetlog.Error(err))
		return
	}
	n.serversRevision.Store(listing.Revision)
	n.send(serversEvent{servers: listing.Servers})
}

func (n *Node) readPrices(ctx context.Context) {
	prices, err := n.deps.Orders.Prices(ctx)
	if err != nil {
		n.log.Emit(limpetlog.PeerCallFailed, limpetlog.Value("peer", "ordering"), limpetlog.Error(err))
		return
	}
	n.send(pricesEvent{prices: prices})
}

const maxParallelReads = 32

// A reportTarget identifies an engine whose reports this VM reads.
type reportTarget struct {
	server        *limpetroute.Server
	incarnation   string
	cacheSequence uint64
}

// reportTargets returns the engines in the subset that this VM sends requests to.
func (n *Node) reportTargets() []reportTarget {
	var engines []*limpetroute.Server
	var vms []string
	byServer := map[*limpetroute.Server]reportTarget{}
	n.withControl(func(c *control) {
		vms = append(vms, n.self.Name)
		for _, m := range c.table.Live(time.Now()) {
			vms = append(vms, m.Name)
		}
		for _, s := range c.servers {
			if s.listed.State != limpetorder.Starting && c.doc.Services[s.server.Service].Kind == limpetconfig.Engine {
				engines = append(engines, s.server)
				byServer[s.server] = reportTarget{server: s.server, incarnation: s.load.Incarnation, cacheSequence: s.cacheSequence}
			}
		}
	})
	var reportTargets []reportTarget
	for _, s := range limpetroute.Subset(engines, n.self.Name, vms, vmsPerServer(len(vms))) {
		reportTargets = append(reportTargets, byServer[s])
	}
	return reportTargets
}

// vmsPerServer returns the number of VMs that send requests to each backend
// server: all VMs of a small system, but only a few of a large one, so that each
// VM reads few load reports.
func vmsPerServer(vms int) int {
	const largeSystemVMsPerServer = 3
	if vms <= limpetmember.FullMeshLimit {
		return vms
	}
	return largeSystemVMsPerServer
}

// readLoads reads the load reports of this VM's engines.
func (n *Node) readLoads(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(maxParallelReads)
	for _, t := range n.reportTargets() {
		g.Go(func() error {
			load, err := n.deps.Engine.Load(ctx, t.server.Address)
			n.send(loadEvent{server: t.server.ID, load: load, ownInFlight: int(t.server.OwnRequests.Load()), err: err})
			return nil
		})
	}
	_ = g.Wait()
}

// readCaches reads the prefix cache events of this VM's engines. Errors are
// ignored, because without these events only cache locality suffers.
func (n *Node) readCaches(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(maxParallelReads)
	for _, t := range n.reportTargets() {
		g.Go(func() error {
			events, err := n.deps.Engine.Cache(ctx, t.server.Address, t.cacheSequence)
			if err == nil && len(events) > 0 {
				n.send(cacheEvent{server: t.server.ID, incarnation: t.incarnation, events: events})
			}
			return nil
		})
	}
	_ = g.Wait()
}

func (n *Node) reportFailure(s *limpetroute.Server) { n.send(attemptFailedEvent{server: s.ID}) }

// reportCrash records that a request is suspected of having crashed a server, and
// reports it to all other VMs in the background.
func (n *Node) reportCrash(fingerprint uint64, account, server string) {
	n.send(crashEvent{fingerprint: fingerprint, account: account, server: server})
	// The next attempt must see whether the request is now quarantined.
	n.withControl(func(*control) {})
	n.group.Go(func(ctx context.Context) error {
		n.broadcast(ctx, func(ctx context.Context, c limpetwire.PeerServiceClient) error {
			_, err := c.ReportCrash(ctx, connect.NewRequest(&limpetwire.ReportCrashRequest{Fingerprint: fingerprint, Account: account, Server: server}))
			return err
		})
		return nil
	})
}

// sendCrashes tells a VM of crashes in the background.
func (n *Node) sendCrashes(vm limpetmember.VM, crashes []limpetquarantine.Crash) {
	n.group.Go(func(ctx context.Context) error {
		for _, crash := range crashes {
			err := n.callPeer(ctx, vm, func(ctx context.Context, c limpetwire.PeerServiceClient) error {
				_, err := c.ReportCrash(ctx, connect.NewRequest(&limpetwire.ReportCrashRequest{Fingerprint: crash.Fingerprint, Account: crash.Account, Server: crash.Server}))
				return err
			})
			if err != nil {
				n.log.Emit(limpetlog.PeerCallFailed, limpetlog.Value("member", vm.Name), limpetlog.Error(err))
				return nil
			}
		}
		return nil
	})
}

const maxPeerAttempts = 3

// callPeer calls another VM, with up to maxPeerAttempts attempts, and returns the
// last error.
func (n *Node) callPeer(ctx context.Context, vm limpetmember.VM, call func(context.Context, limpetwire.PeerServiceClient) error) error {
	var err error
	for range maxPeerAttempts {
		callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
		err = call(callCtx, n.client.Peer(vm.Peer))
		cancel()
		if err == nil {
			return nil
		}
		limpettask.Sleep(ctx, limpettask.Jitter(retryDelay))
	}
	return err
}

// broadcast calls every other VM that is listed or has reported its state, and
// returns the names of the VMs whose call succeeded.
func (n *Node) broadcast(ctx context.Context, call func(context.Context, limpetwire.PeerServiceClient) error) []string {
	var vms []limpetmember.VM
	n.withControl(func(c *control) {
		vms = c.table.RandomPeers(c.table.Count(), rand.New(rand.NewPCG(0, 0)))
	})
	var mu sync.Mutex
	var reached []string
	var g errgroup.Group
	for _, v := range vms {
		g.Go(func() error {
			if n.callPeer(ctx, v, call) == nil {
				mu.Lock()
				reached = append(reached, v.Name)
				mu.Unlock()
			}
			return nil
		})
	}
	_ = g.Wait()
	return reached
}

// persistSuspensions appends the withdrawals of suspended keys that could not be
// appended at first. The VM that accepted a withdrawal does so. In case that VM
// is gone, the live VM ranked first for the key also does so after
// suspensionOwnerTimeout.
func (n *Node) persistSuspensions(ctx context.Context) {
	v := n.View()
	if v.StoreDown || len(v.Suspended) == 0 {
		return
	}
	var due []string
	names := memberNames(v.Members)
	n.withControl(func(c *control) {
		for key, s := range c.suspended {
			isFallback := limpetmember.Rank("suspend/"+key, n.self.Name, names) == 0
			if s.retryAppend || (isFallback && time.Since(s.since) > suspensionOwnerTimeout) {
				due = append(due, key)
			}
		}
	})
	for _, key := range due {
		change := limpetconfig.Change{Verb: limpetconfig.Remove, Entity: limpetconfig.Keys, Name: key, Place: "suspension",
			If: []limpetconfig.Setting{{Field: "hash", Value: v.Config.Keys[key].Hash}}}
		appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		// A failed append is retried in the next period.
		_, _ = n.appendChanges(appendCtx, newID(), "system/suspension", []limpetconfig.Change{change})
		cancel()
	}
}

// suspensionOwnerTimeout is how long only the VM that accepted a withdrawal tries
// to append it.
const suspensionOwnerTimeout = 2 * appendTimeout

func memberNames(members []limpetmember.State) []string {
	names := make([]string, 0, len(members))
	for _, m := range members {
		names = append(names, m.Name)
	}
	return names
}

// appendChanges appends a batch to the configuration log and applies the result
// on this VM. Its errors are those of limpetconfig.Log.Append.
func (n *Node) appendChanges(ctx context.Context, operation, author string, changes []limpetconfig.Change) (*limpetconfig.Document, error) {
	sent := time.Now()
	doc, entries, err := n.config.Append(ctx, n.View().Config, operation, author, changes)
	if err != nil {
		return nil, err
	}
	n.send(configEvent{doc: doc, entries: entries, confirmedAt: sent})
	return doc, nil
}

// snapshotFile is the file in the data directory from which a VM loads its
// configuration at the start, so that it can start while the store is down and
// no peer answers. Keys are not accepted until that configuration is confirmed.
const snapshotFile = "config.json"

const snapshotFileMode = 0o600

// loadSnapshot loads the snapshot file. A missing or invalid file is ignored: the
// configuration then comes from the store or a peer.
func (c *control) loadSnapshot() {
	dir := c.node.settings.VM.DataDir
	if dir == "" {
		return
	}
	data, err := os.ReadFile(filepath.Join(dir, snapshotFile))
	if err != nil {
		return
	}
	if d, err := limpetconfig.DecodeDocument(data); err == nil {
		c.doc, c.loaded = d, true
	}
}

// saveSnapshot replaces the snapshot file atomically, so that a crash leaves the
// previous one in place.
func (c *control) saveSnapshot() {
	dir := c.node.settings.VM.DataDir
	if dir == "" {
		return
	}
	data, err := json.Marshal(c.doc)
	if err == nil {
		tempFile := filepath.Join(dir, snapshotFile+".new")
		if err = os.WriteFile(tempFile, data, snapshotFileMode); err == nil {
			err = os.Rename(tempFile, filepath.Join(dir, snapshotFile))
		}
	}
	if err != nil {
		c.node.log.Emit(limpetlog.PeerCallFailed, limpetlog.Value("folder", dir), limpetlog.Error(err))
		return
	}
	c.node.log.Emit(limpetlog.SnapshotWritten, limpetlog.Value("index", c.doc.Index))
}

// releaseQuarantine lets the quarantined request of a given name run again.
func (c *control) releaseQuarantine(name string) {
	f, err := limpetquarantine.ParseName(name)
	if err != nil {
		c.node.log.Emit(limpetlog.ValueIgnored, limpetlog.Value("key", "release"), limpetlog.Error(err))
		return
	}
	if _, ok := c.quarantine.View().Quarantined[f]; ok {
		c.quarantine.Release(f)
		c.node.log.Emit(limpetlog.QuarantineReleased, limpetlog.Value("fingerprint", name))
	}
}
