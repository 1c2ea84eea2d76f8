// Package limpetcluster runs a small system in one process, several nodes and stubs
// of the services around them on loopback addresses, for integration tests, the
// demo and experiments. Product packages must not import it.
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
	// AdjustSettings, if set, changes the settings of each node before it starts.
	AdjustSettings func(s *limpetsettings.Settings)
	// WrapDeps, if set, changes the dependencies of VM i, to inject faults between
	// that VM and the platform, or to replace the policy in experiments.
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

	storeBytes, platformBytes, otherBytes atomic.Int64
}

// New starts the stubs and the nodes.
func New(ctx context.Context, o Options) (*Cluster, error) {
	l := &Cluster{
		Options: o, Store: limpetstub.NewStore(), Platform: limpetstub.NewPlatform(), group: limpettask.New(ctx),
		engines: map[string]*limpetstub.Engine{}, stopFuncs: map[string]context.CancelFunc{}, links: newLinks(),
	}
	l.OperatorKey, l.operatorKeyHash = limpetkey.Generate("first")
	l.Platform.Launch = l.launch
	l.Platform.Halt = l.halt
	for _, z := range o.Zones {
		l.Platform.Prices = append(l.Platform.Prices, limpetorder.Price{Zone: z, Standard: 10, Cheap: 3, Available: true, CheapAvailable: true})
	}
	if err := limpettls.CreateAuthority(o.Folder); err != nil {
		return nil, err
	}
	store, err := l.serve(l.group, l.Store.Handler(), &l.storeBytes)
	if err != nil {
		return nil, err
	}
	platform, err := l.serve(l.group, l.Platform.Handler(), &l.platformBytes)
	if err != nil {
		return nil, err
	}
	l.platformURLs = limpetsettings.Platform{Store: "http://" + store, Orders: "http://" + platform, Usage: "http://" + platform, VMs: "http://" + platform}
	for i := range o.VMs {
		if err := l.prepare(i); err != nil {
			return nil, err
		}
	}
	for i := range o.VMs {
		if err := l.StartNode(i); err != nil {
			return nil, err
		}
	}
	return l, nil
}

// serve serves h on a free loopback port and adds its traffic to bytes. It returns
// the address.
func (l *Cluster) serve(g *limpettask.Group, h http.Handler, bytes *atomic.Int64) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen for a stub: %w", err)
	}
	limpethttp.Serve(g, countingListener{Listener: listener, bytes: bytes}, &http.Server{Handler: h})
	return listener.Addr().String(), nil
}

// vmIP returns the loopback address of VM i. Each process and each VM has its own
// address, so that ports used by other connections cannot collide with those of
// a VM.
func vmIP(i int) net.IP {
	const octet = 250
	return net.IPv4(127, byte(1+os.Getpid()%octet), byte(i/octet), byte(2+i%octet))
}

// freeAddress returns an address with a free port.
func freeAddress(ip net.IP) (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip.String(), "0"))
	if err != nil {
		return "", fmt.Errorf("free port: %w", err)
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// prepare creates the settings of VM i and adds it to the platform's list of VMs.
func (l *Cluster) prepare(i int) error {
	name := fmt.Sprintf("vm%d", i+1)
	if err := limpettls.IssueCert(l.Folder, name, []net.IP{vmIP(i)}); err != nil {
		return err
	}
	s := limpetsettings.Default()
	s.VM = limpetsettings.VM{Name: name, Zone: l.Zones[i%len(l.Zones)]}
	for _, address := range []*string{&s.Caller.Address, &s.Peer.Address, &s.Operator.Address, &s.Metrics.Address} {
		var err error
		if *address, err = freeAddress(vmIP(i)); err != nil {
			return err
		}
	}
	s.Peer.Cert = filepath.Join(l.Folder, name+".pem")
	s.Peer.Key = filepath.Join(l.Folder, name+"-key.pem")
	s.Peer.Authority = filepath.Join(l.Folder, limpettls.AuthorityCertFile)
	s.Operator.BootstrapKeyHash = l.operatorKeyHash
	s.Platform = l.platformURLs
	s.Timing.ShutdownDelay = 100 * time.Millisecond
	if l.AdjustSettings != nil {
		l.AdjustSettings(&s)
	}
	l.Settings = append(l.Settings, s)
	l.Nodes = append(l.Nodes, nil)
	l.links.register(i, s.Peer.Address)
	l.Platform.Lock()
	l.Platform.VMs = append(l.Platform.VMs, limpetvms.VM{Name: name, Zone: s.VM.Zone, Peer: s.Peer.Address})
	l.Platform.Unlock()
	return nil
}

// StartNode starts the node of VM i, or restarts it after it has ended.
func (l *Cluster) StartNode(i int) error {
	log := l.Log
	if log == nil {
		log = limpetlog.Discard()
	}
	deps := limpetnode.NewDeps(l.Settings[i].Platform)
	deps.Dial = l.links.dial(i, deps.Dial)
	if l.Options.WrapDeps != nil {
		deps = l.Options.WrapDeps(i, deps)
	}
	n, err := limpetnode.Start(l.group.Context(), l.Settings[i], deps, log)
	if err != nil {
		return err
	}
	l.Nodes[i] = n
	return nil
}

// launch starts an engine that the platform has ordered.
func (l *Cluster) launch(_ limpetorder.Order, id string) (string, error) {
	engine := l.Options.NewEngine(id)
	return l.Launch(id, engine)
}

// Launch starts an engine and returns its address.
func (l *Cluster) Launch(id string, engine *limpetstub.Engine) (string, error) {
	l.mu.Lock()
	l.engines[id] = engine
	l.mu.Unlock()
	return l.launchHandler(id, engine.Handler())
}

func (l *Cluster) launchHandler(id string, h http.Handler) (string, error) {
	g := limpettask.New(l.group.Context())
	address, err := l.serve(g, h, &l.otherBytes)
	if err != nil {
		return "", err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopFuncs[id] = func() { _ = g.Stop() }
	return address, nil
}

func (l *Cluster) halt(id string) {
	l.mu.Lock()
	stop := l.stopFuncs[id]
	delete(l.stopFuncs, id)
	l.mu.Unlock()
	if stop != nil {
		stop()
	}
}

// StopServer stops a backend server without a graceful shutdown.
func (l *Cluster) StopServer(id string) { l.halt(id) }

// EngineByID returns the engine with the given ID, or nil.
func (l *Cluster) EngineByID(id string) *limpetstub.Engine {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.engines[id]
}

// Engines returns all engines that were started, including stopped ones.
func (l *Cluster) Engines() []*limpetstub.Engine {
	l.mu.Lock()
	defer l.mu.Unlock()
	var engines []*limpetstub.Engine
	for _, e := range l.engines {
		engines = append(engines, e)
	}
	return engines
}

// AddEngine starts an engine and adds it to the platform's list as running.
func (l *Cluster) AddEngine(service, zone string, class limpetorder.Class, engine *limpetstub.Engine) error {
	address, err := l.Launch(engine.ID, engine)
	if err != nil {
		return err
	}
	l.Platform.AddServer(limpetorder.Server{ID: engine.ID, Service: service, Zone: zone, Address: address, State: limpetorder.Running, Class: class})
	return nil
}

// AddService starts a server of a plain service and adds it to the platform's
// list as running.
func (l *Cluster) AddService(service, zone, id string, h http.Handler) error {
	address, err := l.launchHandler(id, h)
	if err != nil {
		return err
	}
	l.Platform.AddServer(limpetorder.Server{ID: id, Service: service, Zone: zone, Address: address, State: limpetorder.Running, Class: limpetorder.Standard})
	return nil
}

// RunStatements runs statements on VM i with OperatorKey. The first finding is returned
// as an error.
func (l *Cluster) RunStatements(ctx context.Context, i int, statements string) (*limpetwire.RunResponse, error) {
	config, err := limpettls.NewClientConfig(l.Settings[i].Peer.Authority)
	if err != nil {
		return nil, err
	}
	reply, err := limpetoperator.New(l.Settings[i].Operator.Address, l.OperatorKey, config).Run(ctx, statements, "", false)
	if err != nil {
		return nil, err
	}
	for _, f := range reply.GetFindings() {
		return reply, fmt.Errorf("%s: %s", f.GetPlace(), f.GetText())
	}
	return reply, nil
}

// Query runs a query on VM i and returns its table.
func (l *Cluster) Query(ctx context.Context, i int, statement string) (limpetlang.Table, error) {
	reply, err := l.RunStatements(ctx, i, statement)
	if err != nil {
		return limpetlang.Table{}, err
	}
	return limpetoperator.DecodeTable(reply.GetResults()[0].GetTable()), nil
}

// CreateKey creates a key and returns its token.
func (l *Cluster) CreateKey(ctx context.Context, i int, name, account, role string) (string, error) {
	token, hash := limpetkey.Generate(name)
	_, err := l.RunStatements(ctx, i, fmt.Sprintf("create key %s account=%s role=%s hash=%q", name, account, role, hash))
	return token, err
}

// URL returns the base URL for callers of VM i.
func (l *Cluster) URL(i int) string { return "http://" + l.Settings[i].Caller.Address }

// WaitReady waits until every node is ready and knows all others.
func (l *Cluster) WaitReady(ctx context.Context) error {
	return l.waitFor(ctx, len(l.Nodes)-1)
}

// WaitServing waits until every node is ready, no matter which others it knows.
func (l *Cluster) WaitServing(ctx context.Context) error {
	return l.waitFor(ctx, 0)
}

func (l *Cluster) waitFor(ctx context.Context, members int) error {
	return WaitUntil(ctx, fmt.Sprintf("all VMs ready and %d others known to each", members), func() bool {
		for _, n := range l.Nodes {
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
func (l *Cluster) Close() {
	for _, n := range l.Nodes {
		if n != nil {
			// The error of a node that has already ended is not of interest.
			_ = n.Kill()
		}
	}
	_ = l.group.Stop()
}

// TempFolder creates a temporary folder and returns it with a function that
// removes it.
func TempFolder() (string, func(), error) {
	folder, err := os.MkdirTemp("", "limpetmount")
	return folder, func() { _ = os.RemoveAll(folder) }, err
}

// Go runs f in a goroutine that Close waits for.
func (l *Cluster) Go(f func()) {
	l.group.Go(func(context.Context) error {
		f()
		return nil
	})
}
