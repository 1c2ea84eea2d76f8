package limpetnode

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"limpetmount.org/internal/limpetconfig"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetmember"
	"limpetmount.org/internal/limpetorder"
	"limpetmount.org/internal/limpetroute"
)

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
