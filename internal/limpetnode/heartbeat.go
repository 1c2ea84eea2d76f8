package limpetnode

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetmember"
	"limpetmount.org/internal/limpetpeer"
	"limpetmount.org/internal/limpetwire"
)

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
