package limpetnode

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"limpetmount.org/internal/limpetconfig"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetmember"
	"limpetmount.org/internal/limpetquarantine"
	"limpetmount.org/internal/limpetroute"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetwire"
)

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

// reportServed clears a suspected request that was served, on this VM and in the
// background on all others.
func (n *Node) reportServed(fingerprint uint64) {
	n.send(servedEvent(fingerprint))
	n.group.Go(func(ctx context.Context) error {
		n.broadcast(ctx, func(ctx context.Context, c limpetwire.PeerServiceClient) error {
			_, err := c.ReportServed(ctx, connect.NewRequest(&limpetwire.ReportServedRequest{Fingerprint: fingerprint}))
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
