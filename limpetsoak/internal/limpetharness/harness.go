// Package limpetharness runs one soak test under faults. It starts real
// processes of the system, stubs of the platform's services behind proxies, and
// callers. It injects faults, and checks what callers and backend servers see.
package limpetharness

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"time"

	"limpetmount.org/internal/limpethttp"
	"limpetmount.org/internal/limpetstub"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/platform/limpetplatformstub"
)

// A Plan holds the parameters of a run.
type Plan struct {
	// Binary is the path of the program that each VM runs.
	Binary string
	// Production is the path of the program of an earlier release. If it is set, all
	// VMs run it at first, and Binary after an upgrade that is taken back on the way.
	Production string
	Seed       uint64
	// Time is how long faults are injected.
	Time time.Duration
	// Edges is the number of VMs that serve callers, Keepers the number of
	// other VMs, and Engines the number of stub engines.
	Edges, Keepers, Engines int
	// Logs is the folder for the logs of the processes.
	Logs string
}

// A Report holds the outcome of a run.
type Report struct {
	Seed uint64
	// Violations lists the guarantees that were violated.
	Violations []string
	// Injected counts the injected faults by name.
	Injected map[string]int
	// Plain counts the answered plain requests, Refused those that were refused as
	// not run, Jobs the accepted jobs, Results their results that were read, and
	// Windows the usage windows that were reported.
	Plain, Refused, Jobs, Results, Windows int
	// TakenUp counts the streams that callers came back for, and WentOn those that
	// went on.
	TakenUp, WentOn int
	// Replaced counts the VMs that went on with the other release.
	Replaced int
}

// Summary returns the report as one line.
func (r Report) Summary() string {
	n := 0
	for _, c := range r.Injected {
		n += c
	}
	return fmt.Sprintf("seed %d: %d violations; %d faults of %d kinds, %d answers, %d refusals, %d jobs, %d results, %d windows, %d of %d streams went on, %d replaced",
		r.Seed, len(r.Violations), n, len(r.Injected), r.Plain, r.Refused, r.Jobs, r.Results, r.Windows, r.WentOn, r.TakenUp, r.Replaced)
}

// A harness holds the state of a run.
type harness struct {
	plan    Plan
	group   *limpettask.Group
	store   *limpetstub.Store
	record  *limpetplatformstub.Record
	vms     []*VM
	edges   []*VM
	proxies []*Proxy
	servers []*limpetplatformstub.Server
	caller  limpetplatformstub.Caller

	mu sync.Mutex
	// violations counts violated guarantees, and injected the injected faults.
	violations map[string]int
	injected   map[string]int
	jobs       map[string]*trackedJob
	// refused holds the plain requests that were refused as not run.
	refused map[string]bool
	plain   int
	// takenUp counts the streams that callers came back for, and wentOn those that
	// went on.
	takenUp, wentOn int
	replaced        int
	// version is the newest published version of the model.
	version int
}

const (
	account          = "acme"
	keyValid         = "soak-key-that-stays"
	keyWithdrawn     = "soak-key-taken-away"
	host             = "soak.example"
	registerInterval = 200 * time.Millisecond
	// readyTimeout is allowed for the processes to become ready, and recoveryTime
	// for the system to recover after the last fault.
	readyTimeout     = 8 * time.Second
	recoveryTime     = 5 * time.Second
	plainServerCount = 4
	// serverDowntime is how long a crashed server is down.
	serverDowntime = 900 * time.Millisecond
	serverSlots    = 6
)

// Run executes one run. The logs of the processes stay in a folder of its seed.
func Run(p Plan) (Report, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	logDir := filepath.Join(p.Logs, fmt.Sprintf("seed-%d", p.Seed))
	if err := os.RemoveAll(logDir); err != nil {
		return Report{}, err
	}
	if err := os.MkdirAll(logDir, 0o755); err != nil {
		return Report{}, err
	}
	h := &harness{
		plan: p, group: limpettask.New(ctx), store: limpetstub.NewStore(), record: limpetplatformstub.NewRecord(),
		caller:     limpetplatformstub.Caller{HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, Host: host, Key: keyValid, Timeout: requestTimeout},
		violations: map[string]int{}, injected: map[string]int{}, jobs: map[string]*trackedJob{}, refused: map[string]bool{}, version: 1,
	}
	// Errors of the stubs do not matter once the run is over.
	defer func() { _ = h.group.Stop() }()
	if err := h.startSystem(logDir); err != nil {
		return Report{}, err
	}
	defer h.stopVMs()
	if err := h.waitReady(readyTimeout); err != nil {
		return Report{}, fmt.Errorf("%w; logs in %s", err, logDir)
	}
	h.runWorkload(ctx)
	h.checkAfterFaults(ctx)
	return h.report(), nil
}

// addViolation records that a guarantee was violated.
func (h *harness) addViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations[fmt.Sprintf(format, args...)]++
}

// countFault counts an injected fault.
func (h *harness) countFault(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.injected[name]++
}

func (h *harness) report() Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := Report{Seed: h.plan.Seed, Injected: h.injected, Plain: h.plain, TakenUp: h.takenUp, WentOn: h.wentOn, Replaced: h.replaced, Refused: len(h.refused), Jobs: len(h.jobs), Windows: h.record.ReportedWindows()}
	for v := range h.violations {
		out.Violations = append(out.Violations, v)
	}
	out.Violations = append(out.Violations, h.record.Violations()...)
	sort.Strings(out.Violations)
	for _, j := range h.jobs {
		out.Results += len(j.seen)
	}
	return out
}

// serve serves a handler on a free port of an IP address and returns its address.
func (h *harness) serve(ip string, handler http.Handler) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	limpethttp.Serve(h.group, l, &http.Server{Handler: handler})
	return l.Addr().String(), nil
}

// startSystem starts the stubs and the processes. The process ID and the seed
// choose the loopback network, which keeps concurrent runs apart.
func (h *harness) startSystem(logDir string) error {
	network := fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, h.plan.Seed%200)
	stubIP := network + ".250"
	store, err := h.serve(stubIP, limpetplatformstub.StoreHandler(h.store))
	if err != nil {
		return err
	}
	cloud, err := h.serve(stubIP, limpetplatformstub.UsageHandler(h.record))
	if err != nil {
		return err
	}
	h.writeConfig(1, keyValid, keyWithdrawn)
	for n := range h.plan.Engines + plainServerCount {
		if err := h.addServer(n, stubIP); err != nil {
			return err
		}
	}
	h.group.Go(h.registerServers)
	for n := range h.plan.Edges + h.plan.Keepers {
		if err := h.addVM(n, network, store, cloud, logDir); err != nil {
			return err
		}
	}
	return nil
}

// addServer starts a stub server behind a proxy: an engine for the first
// numbers, then a plain service.
func (h *harness) addServer(n int, ip string) error {
	isEngine := n < h.plan.Engines
	service := limpetplatformstub.PlainService
	if isEngine {
		service = limpetplatformstub.EngineService
	}
	s := limpetplatformstub.NewServer(h.record, fmt.Sprintf("i-%02d", n), service, softwareOf(n), serverSlots, isEngine, account)
	address, err := h.serve(ip, s.Handler())
	if err != nil {
		return err
	}
	p, err := NewProxy(h.group, ip, address)
	if err != nil {
		return err
	}
	s.Crash = func() { h.crashServer(s, p) }
	h.servers, h.proxies = append(h.servers, s), append(h.proxies, p)
	return nil
}

// softwareOf returns the version of the software of a server.
func softwareOf(n int) string {
	if n%2 == 1 {
		return limpetplatformstub.SecondSoftware
	}
	return limpetplatformstub.FirstSoftware
}

// crashServer ends a server, and starts it again later as another incarnation.
func (h *harness) crashServer(s *limpetplatformstub.Server, p *Proxy) {
	p.Stop()
	h.group.Go(func(ctx context.Context) error {
		limpettask.Sleep(ctx, serverDowntime)
		s.Restart()
		for ctx.Err() == nil && p.Listen() != nil {
			// The address may be in use by a connection that is being closed.
			limpettask.Sleep(ctx, registerInterval)
		}
		return nil
	})
}

// addVM starts the process of a VM: one that serves callers for the first
// numbers, then one that does not.
func (h *harness) addVM(n int, network, store, cloud, logDir string) error {
	ip := fmt.Sprintf("%s.%d", network, n+1)
	p, err := NewProxy(h.group, ip, store)
	if err != nil {
		return err
	}
	vm := &VM{
		Name: fmt.Sprintf("vm-%d", n), Edge: n < h.plan.Edges, Store: p, binary: h.plan.firstBinary(), group: h.group,
		settingsFile: filepath.Join(logDir, fmt.Sprintf("vm-%d.conf", n)), logDir: logDir,
	}
	if err := vm.writeSettings(ip, n%2, p.Address, cloud); err != nil {
		return err
	}
	h.vms = append(h.vms, vm)
	if vm.Edge {
		h.edges = append(h.edges, vm)
	}
	vm.Start()
	return nil
}

func (h *harness) stopVMs() {
	for _, vm := range h.vms {
		vm.Stop()
	}
}

// writeConfig writes a version of the operator's configuration to the store.
func (h *harness) writeConfig(version int, keys ...string) {
	h.store.Set(limpetplatformstub.ConfigKey, limpetplatformstub.Config(version, host, account, keys...))
}

// registerServers writes the servers' entries to the store whenever they change.
func (h *harness) registerServers(ctx context.Context) error {
	last := map[int]string{}
	for ctx.Err() == nil {
		for n, s := range h.servers {
			if e := string(s.Entry(h.proxies[n].Address, fmt.Sprintf("zone-%d", n%2))); e != last[n] {
				last[n] = e
				h.store.Set(limpetplatformstub.ServerKey(s.ID), []byte(e))
			}
		}
		limpettask.Sleep(ctx, registerInterval)
	}
	return nil
}

// waitReady waits until all VMs that serve callers are ready.
func (h *harness) waitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for {
		var notReady []string
		for _, vm := range h.edges {
			if !h.caller.Ready(vm.Ready) {
				notReady = append(notReady, vm.Name)
			}
		}
		if len(notReady) == 0 {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("not ready after %s: %s", limit, strings.Join(notReady, ", "))
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// runWorkload runs callers while faults are injected, and then without faults for
// the recovery time.
func (h *harness) runWorkload(ctx context.Context) {
	faultRandom := rand.New(rand.NewPCG(h.plan.Seed, 0))
	callers := limpettask.New(ctx)
	for n := range 4 {
		random := rand.New(rand.NewPCG(h.plan.Seed, uint64(n)+1))
		callers.Go(func(ctx context.Context) error { return h.sendRequests(ctx, random, n) })
	}
	for n := range 2 {
		random := rand.New(rand.NewPCG(h.plan.Seed, uint64(n)+30))
		callers.Go(func(ctx context.Context) error { return h.sendStreams(ctx, random, n) })
	}
	readerRandom := rand.New(rand.NewPCG(h.plan.Seed, 12))
	callers.Go(func(ctx context.Context) error { return h.runTrainer(ctx) })
	callers.Go(func(ctx context.Context) error { return h.rereadJobs(ctx, readerRandom) })
	limpettask.Sleep(ctx, time.Second)
	if h.plan.Production != "" {
		upgradeRandom := rand.New(rand.NewPCG(h.plan.Seed, 60))
		callers.Go(func(ctx context.Context) error { return h.upgrade(ctx, upgradeRandom) })
	}
	h.injectFaults(ctx, faultRandom, h.plan.Time)
	limpettask.Sleep(ctx, recoveryTime)
	// The callers return no errors.
	_ = callers.Stop()
}
