package limpetnode

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
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
	"limpetmount.org/internal/limpetroute"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetwire"
)

// A storeHealth holds whether calls to the store succeed.
type storeHealth struct {
	lastGood atomic.Int64
	lastBad  atomic.Int64
}

// downAfter is the time without a successful call after which a failing store
// counts as down.
const downAfter = 1500 * time.Millisecond

func (h *storeHealth) note(err error) {
	now := time.Now().UnixNano()
	if limpeterror.Is(err, limpeterror.Unavailable) || limpeterror.Is(err, limpeterror.Unknown) {
		h.lastBad.Store(now)
		return
	}
	h.lastGood.Store(now)
}

func (h *storeHealth) down(now time.Time) bool {
	good, bad := h.lastGood.Load(), h.lastBad.Load()
	return bad > good && now.UnixNano()-good > int64(downAfter)
}

// wrap returns s with each outcome noted.
func (h *storeHealth) wrap(s limpetstore.Store) limpetstore.Store {
	w := s
	w.Get = func(ctx context.Context, key string) (limpetstore.Value, error) {
		v, err := s.Get(ctx, key)
		h.note(err)
		return v, err
	}
	w.Put = func(ctx context.Context, r limpetstore.PutRequest) (uint64, error) {
		v, err := s.Put(ctx, r)
		h.note(err)
		return v, err
	}
	w.Watch = func(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]limpetstore.Value, error) {
		v, err := s.Watch(ctx, prefix, after, wait)
		if ctx.Err() == nil {
			h.note(err)
		}
		return v, err
	}
	return w
}

const (
	watchWait      = time.Second
	watchPause     = 200 * time.Millisecond
	watchersInZone = 2
	lagBehind      = 2 * time.Second
)

// followLog keeps the configuration current. The first few VMs of each zone
// watch the log; the others read it only when they could not confirm their
// configuration through a peer.
func (n *Node) followLog(ctx context.Context) {
	revision := uint64(0)
	doc := limpetconfig.NewDocument()
	for ctx.Err() == nil {
		if !n.watches() {
			limpettask.Sleep(ctx, limpettask.Jitter(watchWait))
			continue
		}
		sent := time.Now()
		values, err := n.config.Watch(ctx, revision, watchWait)
		if err != nil {
			if limpeterror.Is(err, limpeterror.Conflict) {
				// The store no longer has the events after this revision.
				revision = 0
			}
			limpettask.Sleep(ctx, limpettask.Jitter(watchPause))
			continue
		}
		n.ask(func(c *control) { doc = c.doc })
		next, entries := doc, []limpetconfig.Entry(nil)
		for _, v := range values {
			if v.Revision <= revision {
				continue
			}
			revision = v.Revision
			if next, entries, err = n.config.Follow(ctx, next, v.Data); err != nil {
				n.log.Emit(limpetlog.ConfigRejected, limpetlog.Error(err))
			}
		}
		if err != nil {
			// The log is read again from the start of what it holds.
			revision = 0
			limpettask.Sleep(ctx, limpettask.Jitter(watchPause))
			continue
		}
		n.send(configEvent{doc: next, entries: entries, confirmedAt: sent})
	}
}

// watches reports whether this VM is among the first of its zone, or has had
// no confirmation for too long.
func (n *Node) watches() bool {
	v := n.View()
	rank := 0
	for _, m := range v.Members {
		if m.Zone == n.self.Zone && m.Name < n.self.Name {
			rank++
		}
	}
	if rank < watchersInZone || !v.Loaded {
		return true
	}
	late := false
	n.ask(func(c *control) { late = time.Since(c.confirmedAt) > lagBehind })
	return late
}

const (
	heartbeatTimeout = time.Second
	// fewPartners and relayedStates bound a heartbeat in a large system.
	fewPartners   = 3
	relayedStates = 8
	// largeFactor times the period of heartbeats is that of a large system.
	largeFactor = 4
)

// heartbeat exchanges states with some VMs.
func (n *Node) heartbeat(ctx context.Context) {
	var partners []limpetmember.VM
	n.ask(func(c *control) {
		count := c.table.Count()
		c.beats++
		if count > limpetmember.SmallSystem {
			count = fewPartners
			if c.beats%largeFactor != 0 && !c.draining {
				count = 0
			}
		}
		partners = c.table.Partners(count, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	})
	var g errgroup.Group
	for _, p := range partners {
		if p.Peer == "" {
			continue
		}
		g.Go(func() error {
			n.heartbeatWith(ctx, p)
			return nil
		})
	}
	_ = g.Wait()
}

func (n *Node) heartbeatWith(ctx context.Context, p limpetmember.VM) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sent := time.Now()
	state, others := n.ownState()
	reply, err := n.client.At(p.Peer).Heartbeat(ctx, connect.NewRequest(&limpetwire.HeartbeatRequest{State: state, Others: others}))
	if err != nil {
		n.log.Emit(limpetlog.PeerCallFailed, limpetlog.Value("peer", p.Name), limpetlog.Error(err))
		return
	}
	s := limpetpeer.DecodeState(reply.Msg.GetState(), sent)
	n.hear(reply.Msg.GetState(), s, true)
	for _, o := range reply.Msg.GetOthers() {
		n.hear(o, limpetpeer.DecodeState(o, sent), false)
	}
	if s.Applied > n.View().Config.Index {
		n.pull(ctx, p.Peer)
	}
}

func (n *Node) hear(m *limpetwire.NodeState, s limpetmember.State, answered bool) {
	suspended := map[string]string{}
	for _, k := range m.GetSuspended() {
		suspended[k.GetKey()] = k.GetHash()
	}
	n.send(heardEvent{state: s, suspended: suspended, answered: answered})
}

// ownState returns this VM's state, and a few others' in a large system.
func (n *Node) ownState() (own *limpetwire.NodeState, others []*limpetwire.NodeState) {
	now := time.Now()
	var consumed []*limpetwire.AccountTokens
	for k, tokens := range n.serve.Consumed() {
		consumed = append(consumed, &limpetwire.AccountTokens{Account: k.Account, Service: k.Service, Tokens: tokens})
	}
	var duties []string
	for d := range n.holder.Duties() {
		duties = append(duties, d)
	}
	n.ask(func(c *control) {
		var suspended []*limpetwire.Suspension
		for key, s := range c.suspended {
			suspended = append(suspended, &limpetwire.Suspension{Key: key, Hash: s.hash})
		}
		own = limpetpeer.EncodeState(limpetmember.State{
			VM: n.self, Applied: c.doc.Index, ConfirmedAt: c.confirmedAt, StoreDown: n.health.down(now),
			Leaving: c.draining, Duties: duties, Heard: now,
		}, now, suspended, consumed)
		if c.table.Count() <= limpetmember.SmallSystem {
			return
		}
		live := c.table.Live(now)
		rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
		for _, s := range live[:min(relayedStates, len(live))] {
			others = append(others, limpetpeer.EncodeState(s, now, nil, nil))
		}
	})
	return own, others
}

// pull brings the configuration up to a peer's.
func (n *Node) pull(ctx context.Context, peer string) {
	doc := n.View().Config
	reply, err := n.client.At(peer).PullConfig(ctx, connect.NewRequest(&limpetwire.PullConfigRequest{After: doc.Index}))
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

func (n *Node) readList(ctx context.Context) {
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
	n.send(listEvent{vms: listed})
}

// readServers reads the changes of the list of backend servers.
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

const loadCallsAtOnce = 32

// A reportTarget holds an engine whose reports are read.
type reportTarget struct {
	server      *limpetroute.Server
	incarnation string
	cachedUpTo  uint64
}

// targets returns the engines in this VM's subset.
func (n *Node) targets() []reportTarget {
	var engines []*limpetroute.Server
	var vms []string
	known := map[*limpetroute.Server]reportTarget{}
	n.ask(func(c *control) {
		vms = append(vms, n.self.Name)
		for _, m := range c.table.Live(time.Now()) {
			vms = append(vms, m.Name)
		}
		for _, s := range c.servers {
			if s.listed.State != limpetorder.Starting && c.doc.Services[s.server.Service].Kind == limpetconfig.Engine {
				engines = append(engines, s.server)
				known[s.server] = reportTarget{server: s.server, incarnation: s.load.Incarnation, cachedUpTo: s.cachedUpTo}
			}
		}
	})
	var targets []reportTarget
	for _, s := range limpetroute.Subset(engines, n.self.Name, vms, replicasOf(len(vms))) {
		targets = append(targets, known[s])
	}
	return targets
}

// replicasOf returns the number of VMs in front of each backend server: all of
// a small system, few of a large one, so that each VM reads few reports.
func replicasOf(vms int) int {
	const few = 3
	if vms <= limpetmember.SmallSystem {
		return vms
	}
	return few
}

// readLoads reads load reports.
func (n *Node) readLoads(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(loadCallsAtOnce)
	for _, t := range n.targets() {
		g.Go(func() error {
			load, err := n.deps.Engine.Load(ctx, t.server.Address)
			n.send(loadEvent{server: t.server.ID, load: load, ownThen: int(t.server.Own.Load()), err: err})
			return nil
		})
	}
	_ = g.Wait()
}

// readCaches reads what engines announce about their prefix caches. An engine
// that announces nothing costs only locality.
func (n *Node) readCaches(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(loadCallsAtOnce)
	for _, t := range n.targets() {
		g.Go(func() error {
			events, err := n.deps.Engine.Cache(ctx, t.server.Address, t.cachedUpTo)
			if err == nil && len(events) > 0 {
				n.send(cacheEvent{server: t.server.ID, incarnation: t.incarnation, events: events})
			}
			return nil
		})
	}
	_ = g.Wait()
}

func (n *Node) failed(s *limpetroute.Server) { n.send(failedEvent{server: s.ID}) }

// crashed records a blame here and tells all other VMs.
func (n *Node) crashed(fingerprint uint64, account, server string) {
	n.send(crashEvent{fingerprint: fingerprint, account: account, server: server})
	// The next attempt must see the quarantine.
	n.ask(func(*control) {})
	n.group.Go(func(ctx context.Context) error {
		n.tellAll(ctx, func(ctx context.Context, c limpetwire.PeerServiceClient) error {
			_, err := c.ReportCrash(ctx, connect.NewRequest(&limpetwire.ReportCrashRequest{Fingerprint: fingerprint, Account: account, Server: server}))
			return err
		})
		return nil
	})
}

const tellTries = 3

// tellAll calls every VM that is known or listed, a few times when it fails,
// and returns the names of those that took the call.
func (n *Node) tellAll(ctx context.Context, call func(context.Context, limpetwire.PeerServiceClient) error) []string {
	var vms []limpetmember.VM
	n.ask(func(c *control) {
		vms = c.table.Partners(c.table.Count(), rand.New(rand.NewPCG(0, 0)))
	})
	var mu sync.Mutex
	var told []string
	var g errgroup.Group
	for _, v := range vms {
		g.Go(func() error {
			for range tellTries {
				callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
				err := call(callCtx, n.client.At(v.Peer))
				cancel()
				if err == nil {
					mu.Lock()
					told = append(told, v.Name)
					mu.Unlock()
					return nil
				}
				limpettask.Sleep(ctx, limpettask.Jitter(watchPause))
			}
			return nil
		})
	}
	_ = g.Wait()
	return told
}

// appendSuspended makes suspensions durable that could not be appended at once.
// The VM that took them does it; when it is gone, one live VM does, by rank.
func (n *Node) appendSuspended(ctx context.Context) {
	v := n.View()
	if v.StoreDown || len(v.Suspended) == 0 {
		return
	}
	var due []string
	names := memberNames(v.Members)
	n.ask(func(c *control) {
		for key, s := range c.suspended {
			first := limpetmember.Rank("suspend/"+key, n.self.Name, names) == 0
			if s.own || (first && time.Since(s.since) > suspensionOwned) {
				due = append(due, key)
			}
		}
	})
	for _, key := range due {
		change := limpetconfig.Change{Verb: limpetconfig.Remove, Entity: limpetconfig.Keys, Name: key, Place: "suspension",
			If: []limpetconfig.Setting{{Field: "hash", Value: v.Config.Keys[key].Hash}}}
		appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		// What fails is tried again in the next round.
		_, _ = n.appendChanges(appendCtx, unique(), "system/suspension", []limpetconfig.Change{change})
		cancel()
	}
}

// suspensionOwned is how long a suspension is left to the VM that took it.
const suspensionOwned = 2 * appendTimeout

func memberNames(members []limpetmember.State) []string {
	names := make([]string, 0, len(members))
	for _, m := range members {
		names = append(names, m.Name)
	}
	return names
}

// appendChanges appends a batch and applies the result here.
func (n *Node) appendChanges(ctx context.Context, operation, who string, changes []limpetconfig.Change) (*limpetconfig.Document, error) {
	sent := time.Now()
	doc, entries, err := n.config.Append(ctx, n.View().Config, operation, who, changes)
	if err != nil {
		return nil, err
	}
	n.send(configEvent{doc: doc, entries: entries, confirmedAt: sent})
	return doc, nil
}

// The file in the data folder from which a VM starts while the store is down
// and no peer answers. Keys are not honoured from it before a confirmation.
const snapshotFile = "config.json"

const snapshotMode = 0o600

func (c *control) loadFolder() {
	folder := c.node.settings.VM.Data
	if folder == "" {
		return
	}
	data, err := os.ReadFile(filepath.Join(folder, snapshotFile))
	if err != nil {
		return
	}
	if d, err := limpetconfig.DecodeDocument(data); err == nil {
		c.doc, c.loaded = d, true
	}
}

// saveFolder replaces the file whole, so that a crash leaves the older one.
func (c *control) saveFolder() {
	folder := c.node.settings.VM.Data
	if folder == "" {
		return
	}
	data, err := json.Marshal(c.doc)
	if err == nil {
		temporary := filepath.Join(folder, snapshotFile+".new")
		if err = os.WriteFile(temporary, data, snapshotMode); err == nil {
			err = os.Rename(temporary, filepath.Join(folder, snapshotFile))
		}
	}
	if err != nil {
		c.node.log.Emit(limpetlog.PeerCallFailed, limpetlog.Value("folder", folder), limpetlog.Error(err))
		return
	}
	c.node.log.Emit(limpetlog.SnapshotWritten, limpetlog.Value("index", c.doc.Index))
}

func formatFingerprint(f uint64) string { return fmt.Sprintf("q%016x", f) }

// release lets a quarantined request run again.
func (c *control) release(name string) {
	if len(name) < 2 {
		return
	}
	if f, err := strconv.ParseUint(name[1:], 16, 64); err == nil {
		if _, ok := c.quarantine.View().Quarantined[f]; ok {
			c.quarantine.Release(f)
			c.node.log.Emit(limpetlog.QuarantineEnded, limpetlog.Value("fingerprint", name))
		}
	}
}
