// Package limpetcluster runs a small system in one process, several nodes and
// stubs of the services around them on loopback addresses, for integration
// tests, the demo and experiments. Product packages must not import it.
package limpetcluster

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"limpetmount.org/internal/limpethttp"
	"limpetmount.org/internal/limpetkey"
	"limpetmount.org/internal/limpetlang"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetnode"
	"limpetmount.org/internal/limpetoperator"
	"limpetmount.org/internal/limpetorder"
	"limpetmount.org/internal/limpetsettings"
	"limpetmount.org/internal/limpetstub"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpettls"
	"limpetmount.org/internal/limpetvms"
	"limpetmount.org/internal/limpetwire"
)

// Options configure a cluster.
type Options struct {
	// Folder is the existing folder to which certificates are written.
	Folder string
	VMs    int
	Zones  []string
	// AdjustSettings, if set, changes the settings of each node before it
	// starts.
	AdjustSettings func(s *limpetsettings.Settings)
	// WrapDeps, if set, changes the dependencies of VM i, to inject faults
	// between that VM and the platform, or to replace the policy in
	// experiments.
	WrapDeps func(i int, d limpetnode.Deps) limpetnode.Deps
	// NewEngine returns the stub of an engine that the platform starts.
	NewEngine func(id string) *limpetstub.Engine
	Log       *limpetlog.Logger
}

// A Cluster is a running system.
type Cluster struct {
	Options
	Store    *limpetstub.Store
	Platform *limpetstub.Platform
	Nodes    []*limpetnode.Node
	Settings []limpetsettings.Settings
	// OperatorKey is the first operator key.
	OperatorKey string

	group           *limpettask.Group
	mu              sync.Mutex
	engines         map[string]*limpetstub.Engine
	stopFuncs       map[string]context.CancelFunc
	platformURLs    limpetsettings.Platform
	operatorKeyHash string
	links           *links

	// The traffic of the stubs of the store, the platform and backend servers.
	storeBytes, platformBytes, serverBytes atomic.Int64
}

// New starts the stubs and the nodes.
func New(ctx context.Context, o Options) (*Cluster, error) {
	c := &Cluster{
		Options: o, Store: limpetstub.NewStore(), Platform: limpetstub.NewPlatform(), group: limpettask.New(ctx),
		engines: map[string]*limpetstub.Engine{}, stopFuncs: map[string]context.CancelFunc{}, links: newLinks(),
	}
	c.OperatorKey, c.operatorKeyHash = limpetkey.Generate("first")
	c.Platform.Launch = c.launch
	c.Platform.Halt = c.stopServer
	for _, z := range o.Zones {
		c.Platform.Prices = append(c.Platform.Prices, limpetorder.Price{Zone: z, Standard: 10, Cheap: 3, Available: true, CheapAvailable: true})
	}
	if err := limpettls.CreateAuthority(o.Folder); err != nil {
		return nil, err
	}
	store, err := c.serve(c.group, c.Store.Handler(), &c.storeBytes)
	if err != nil {
		return nil, err
	}
	platform, err := c.serve(c.group, c.Platform.Handler(), &c.platformBytes)
	if err != nil {
		return nil, err
	}
	c.platformURLs = limpetsettings.Platform{Store: "http://" + store, Orders: "http://" + platform, Usage: "http://" + platform, VMs: "http://" + platform}
	for i := range o.VMs {
		if err := c.prepare(i); err != nil {
			return nil, err
		}
	}
	for i := range o.VMs {
		if err := c.StartNode(i); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// serve serves h on a free loopback port, adds its traffic to bytes, and returns
// its address.
func (c *Cluster) serve(g *limpettask.Group, h http.Handler, bytes *atomic.Int64) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen for a stub: %w", err)
	}
	limpethttp.Serve(g, countingListener{Listener: listener, bytes: bytes}, &http.Server{Handler: h})
	return listener.Addr().String(), nil
}

// vmIP returns the loopback address of VM i. Each VM of each process has an
// address of its own, so that no other connection uses a port of that VM.
func vmIP(i int) net.IP {
	const octet = 250
	return net.IPv4(127, byte(1+os.Getpid()%octet), byte(i/octet), byte(2+i%octet))
}

// freeAddresses returns n addresses with free ports, all different: a port that is
// closed again may be chosen for the next address.
func freeAddresses(ip net.IP, n int) ([]string, error) {
	var addresses []string
	for range n {
		listener, err := net.Listen("tcp", net.JoinHostPort(ip.String(), "0"))
		if err != nil {
			return nil, fmt.Errorf("free port: %w", err)
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// prepare creates the certificate and the settings of VM i, and adds the VM to
// the platform's list.
func (c *Cluster) prepare(i int) error {
	name := fmt.Sprintf("vm%d", i+1)
	if err := limpettls.IssueCert(c.Folder, name, []net.IP{vmIP(i)}); err != nil {
		return err
	}
	s := limpetsettings.Default()
	s.VM = limpetsettings.VM{Name: name, Zone: c.Zones[i%len(c.Zones)]}
	sections := []*string{&s.Caller.Address, &s.Peer.Address, &s.Operator.Address, &s.Metrics.Address}
	addresses, err := freeAddresses(vmIP(i), len(sections))
	if err != nil {
		return err
	}
	for n, address := range sections {
		*address = addresses[n]
	}
	s.Peer.Cert = filepath.Join(c.Folder, name+".pem")
	s.Peer.Key = filepath.Join(c.Folder, name+"-key.pem")
	s.Peer.Authority = filepath.Join(c.Folder, limpettls.AuthorityCertFile)
	s.Operator.BootstrapKeyHash = c.operatorKeyHash
	s.Platform = c.platformURLs
	s.Timing.ShutdownDelay = 100 * time.Millisecond
	if c.AdjustSettings != nil {
		c.AdjustSettings(&s)
	}
	c.Settings = append(c.Settings, s)
	c.Nodes = append(c.Nodes, nil)
	c.links.register(i, s.Peer.Address)
	c.Platform.Lock()
	c.Platform.VMs = append(c.Platform.VMs, limpetvms.VM{Name: name, Zone: s.VM.Zone, Peer: s.Peer.Address})
	c.Platform.Unlock()
	return nil
}

// StartNode starts the node of VM i, or restarts it after it has ended.
func (c *Cluster) StartNode(i int) error {
	log := c.Log
	if log == nil {
		log = limpetlog.Discard()
	}
	deps := limpetnode.NewDeps(c.Settings[i].Platform)
	deps.Dial = c.links.dial(i, deps.Dial)
	if c.Options.WrapDeps != nil {
		deps = c.Options.WrapDeps(i, deps)
	}
	n, err := limpetnode.Start(c.group.Context(), c.Settings[i], deps, log)
	if err != nil {
		return err
	}
	c.Nodes[i] = n
	return nil
}

// launch starts an engine that the platform has ordered.
func (c *Cluster) launch(_ limpetorder.Order, id string) (string, error) {
	engine := c.Options.NewEngine(id)
	return c.Launch(id, engine)
}

// Launch starts an engine and returns its address.
func (c *Cluster) Launch(id string, engine *limpetstub.Engine) (string, error) {
	c.mu.Lock()
	c.engines[id] = engine
	c.mu.Unlock()
	return c.launchHandler(id, engine.Handler())
}

func (c *Cluster) launchHandler(id string, h http.Handler) (string, error) {
	g := limpettask.New(c.group.Context())
	address, err := c.serve(g, h, &c.serverBytes)
	if err != nil {
		return "", err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopFuncs[id] = func() { _ = g.Stop() }
	return address, nil
}

func (c *Cluster) stopServer(id string) {
	c.mu.Lock()
	stop := c.stopFuncs[id]
	delete(c.stopFuncs, id)
	c.mu.Unlock()
	if stop != nil {
		stop()
	}
}

// StopServer stops a backend server without a graceful shutdown.
func (c *Cluster) StopServer(id string) { c.stopServer(id) }

// EngineByID returns the engine with the given ID, or nil.
func (c *Cluster) EngineByID(id string) *limpetstub.Engine {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.engines[id]
}

// Engines returns all engines that were started, including stopped ones.
func (c *Cluster) Engines() []*limpetstub.Engine {
	c.mu.Lock()
	defer c.mu.Unlock()
	var engines []*limpetstub.Engine
	for _, e := range c.engines {
		engines = append(engines, e)
	}
	return engines
}

// AddEngine starts an engine and adds it to the platform's list as running.
func (c *Cluster) AddEngine(service, zone string, class limpetorder.Class, engine *limpetstub.Engine) error {
	address, err := c.Launch(engine.ID, engine)
	if err != nil {
		return err
	}
	c.Platform.AddServer(limpetorder.Server{ID: engine.ID, Service: service, Zone: zone, Address: address, State: limpetorder.Running, Class: class})
	return nil
}

// AddService starts a server of a plain service and adds it to the platform's
// list as running.
func (c *Cluster) AddService(service, zone, id string, h http.Handler) error {
	address, err := c.launchHandler(id, h)
	if err != nil {
		return err
	}
	c.Platform.AddServer(limpetorder.Server{ID: id, Service: service, Zone: zone, Address: address, State: limpetorder.Running, Class: limpetorder.Standard})
	return nil
}

// RunStatements runs statements on VM i with OperatorKey. The first finding is
// returned as an error.
func (c *Cluster) RunStatements(ctx context.Context, i int, statements string) (*limpetwire.RunResponse, error) {
	config, err := limpettls.NewClientConfig(c.Settings[i].Peer.Authority)
	if err != nil {
		return nil, err
	}
	reply, err := limpetoperator.New(c.Settings[i].Operator.Address, c.OperatorKey, config).Run(ctx, statements, "", false)
	if err != nil {
		return nil, err
	}
	for _, f := range reply.GetFindings() {
		return reply, fmt.Errorf("%s: %s", f.GetPlace(), f.GetText())
	}
	return reply, nil
}

// Query runs a query on VM i and returns its table.
func (c *Cluster) Query(ctx context.Context, i int, statement string) (limpetlang.Table, error) {
	reply, err := c.RunStatements(ctx, i, statement)
	if err != nil {
		return limpetlang.Table{}, err
	}
	return limpetoperator.DecodeTable(reply.GetResults()[0].GetTable()), nil
}

// CreateKey creates a key and returns its token.
func (c *Cluster) CreateKey(ctx context.Context, i int, name, account, role string) (string, error) {
	token, hash := limpetkey.Generate(name)
	_, err := c.RunStatements(ctx, i, fmt.Sprintf("create key %s account=%s role=%s hash=%q", name, account, role, hash))
	return token, err
}

// URL returns the base URL for callers of VM i.
func (c *Cluster) URL(i int) string { return "http://" + c.Settings[i].Caller.Address }

// WaitReady waits until every node is ready and knows all others.
func (c *Cluster) WaitReady(ctx context.Context) error {
	return c.waitFor(ctx, len(c.Nodes)-1)
}

// WaitServing waits until every node is ready, no matter which others it knows.
func (c *Cluster) WaitServing(ctx context.Context) error {
	return c.waitFor(ctx, 0)
}

func (c *Cluster) waitFor(ctx context.Context, members int) error {
	return WaitUntil(ctx, fmt.Sprintf("all VMs ready and %d others known to each", members), func() bool {
		for _, n := range c.Nodes {
			if v := n.View(); !v.Ready() || len(v.Members) < members {
				return false
			}
		}
		return true
	})
}

const pollPeriod = 20 * time.Millisecond

// WaitUntil polls condition until it holds or ctx is done. What describes the
// condition in the error.
func WaitUntil(ctx context.Context, what string, condition func() bool) error {
	for !condition() {
		if !limpettask.Sleep(ctx, pollPeriod) {
			return fmt.Errorf("not reached in time: %s", what)
		}
	}
	return nil
}

// Close stops all nodes and stubs.
func (c *Cluster) Close() {
	for _, n := range c.Nodes {
		if n != nil {
			// The error of a node that has already ended is not of interest.
			_ = n.Kill()
		}
	}
	_ = c.group.Stop()
}

// TempFolder creates a temporary folder and returns it with a function that
// removes it.
func TempFolder() (string, func(), error) {
	folder, err := os.MkdirTemp("", "limpetmount")
	return folder, func() { _ = os.RemoveAll(folder) }, err
}

// Go runs f in a goroutine that Close waits for.
func (c *Cluster) Go(f func()) {
	c.group.Go(func(context.Context) error {
		f()
		return nil
	})
}
