// Package limpetrig owns one run of the fault soak: real processes of the
// system, stand-ins of the platform behind proxies, callers, faults, and the
// checks of what callers and backend servers see.
package limpetrig

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
	"limpetmount.org/platform/limpetplay"
)

// A Plan holds what a run is made of.
type Plan struct {
	Binary                  string
	Seed                    uint64
	Time                    time.Duration
	Edges, Keepers, Engines int
	Logs                    string
}

// A Report holds what came of a run.
type Report struct {
	Seed   uint64
	Faults []string
	// Injected counts the disturbances by name.
	Injected map[string]int
	// Plain and Jobs count what callers were served.
	Plain, Refused, Jobs, Results, Windows int
}

// Line returns the report as one line.
func (r Report) Line() string {
	n := 0
	for _, c := range r.Injected {
		n += c
	}
	return fmt.Sprintf("seed %d: %d broken; %d faults of %d kinds, %d answers, %d refusals, %d jobs, %d results, %d windows",
		r.Seed, len(r.Faults), n, len(r.Injected), r.Plain, r.Refused, r.Jobs, r.Results, r.Windows)
}

type rig struct {
	plan    Plan
	group   *limpettask.Group
	store   *limpetstub.Store
	record  *limpetplay.Record
	vms     []*VM
	edges   []*VM
	proxies []*Proxy
	servers []*limpetplay.Server
	caller  limpetplay.Caller

	mu       sync.Mutex
	faults   map[string]int
	injected map[string]int
	jobs     map[string]*tracked
	refused  map[string]bool
	plain    int
	version  int
}

const (
	account   = "acme"
	keyGood   = "soak-key-that-stays"
	keyTaken  = "soak-key-taken-away"
	host      = "soak.example"
	beatEvery = 200 * time.Millisecond
	// startTime is allowed for the processes to become ready, and calmTime for
	// the system to recover after the last fault.
	startTime = 8 * time.Second
	calmTime  = 5 * time.Second
	deskCount = 2
	slots     = 6
)

// Run plays one run.
func Run(p Plan) (Report, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	logs := filepath.Join(p.Logs, fmt.Sprintf("seed-%d", p.Seed))
	if err := os.RemoveAll(logs); err != nil {
		return Report{}, err
	}
	if err := os.MkdirAll(logs, 0o755); err != nil {
		return Report{}, err
	}
	r := &rig{
		plan: p, group: limpettask.New(ctx), store: limpetstub.NewStore(), record: limpetplay.NewRecord(),
		caller: limpetplay.Caller{HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, Host: host, Key: keyGood, Patience: callTime},
		faults: map[string]int{}, injected: map[string]int{}, jobs: map[string]*tracked{}, refused: map[string]bool{}, version: 1,
	}
	// How the stand-ins end does not matter any more.
	defer func() { _ = r.group.Stop() }()
	if err := r.build(logs); err != nil {
		return Report{}, err
	}
	defer r.stop()
	if err := r.ready(startTime); err != nil {
		return Report{}, fmt.Errorf("%w; logs in %s", err, logs)
	}
	r.play(ctx)
	r.check(ctx)
	return r.report(), nil
}

func (r *rig) fault(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[fmt.Sprintf(format, args...)]++
}

func (r *rig) note(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.injected[name]++
}

func (r *rig) report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Report{Seed: r.plan.Seed, Injected: r.injected, Plain: r.plain, Refused: len(r.refused), Jobs: len(r.jobs), Windows: r.record.Reported()}
	for f := range r.faults {
		out.Faults = append(out.Faults, f)
	}
	out.Faults = append(out.Faults, r.record.Faults()...)
	sort.Strings(out.Faults)
	for _, j := range r.jobs {
		out.Results += len(j.seen)
	}
	return out
}

// serve serves a handler on a free port of an address.
func (r *rig) serve(ip string, handler http.Handler) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	limpethttp.Serve(r.group, l, &http.Server{Handler: handler})
	return l.Addr().String(), nil
}

// build starts the stand-ins and the processes.
func (r *rig) build(logs string) error {
	base := fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, r.plan.Seed%200)
	standin := base + ".250"
	store, err := r.serve(standin, limpetplay.StoreHandler(r.store))
	if err != nil {
		return err
	}
	cloud, err := r.serve(standin, limpetplay.UsageHandler(r.record))
	if err != nil {
		return err
	}
	r.configure(1, keyGood, keyTaken)
	for n := range r.plan.Engines + deskCount {
		if err := r.addServer(n, standin); err != nil {
			return err
		}
	}
	r.group.Go(r.beat)
	for n := range r.plan.Edges + r.plan.Keepers {
		if err := r.addVM(n, base, store, cloud, logs); err != nil {
			return err
		}
	}
	return nil
}

func (r *rig) addServer(n int, ip string) error {
	isEngine := n < r.plan.Engines
	service := limpetplay.Desk
	if isEngine {
		service = limpetplay.Engines
	}
	s := limpetplay.NewServer(r.record, fmt.Sprintf("i-%02d", n), service, slots, isEngine, account)
	address, err := r.serve(ip, s.Handler())
	if err != nil {
		return err
	}
	p, err := NewProxy(r.group, ip, address)
	if err != nil {
		return err
	}
	r.servers, r.proxies = append(r.servers, s), append(r.proxies, p)
	return nil
}

func (r *rig) addVM(n int, base, store, cloud, logs string) error {
	ip := fmt.Sprintf("%s.%d", base, n+1)
	p, err := NewProxy(r.group, ip, store)
	if err != nil {
		return err
	}
	v := &VM{
		Name: fmt.Sprintf("vm-%d", n), Edge: n < r.plan.Edges, Store: p, binary: r.plan.Binary, group: r.group,
		settings: filepath.Join(logs, fmt.Sprintf("vm-%d.conf", n)), logs: logs,
	}
	if err := v.write(ip, n%2, p.Address, cloud); err != nil {
		return err
	}
	r.vms = append(r.vms, v)
	if v.Edge {
		r.edges = append(r.edges, v)
	}
	v.Start()
	return nil
}

func (r *rig) stop() {
	for _, v := range r.vms {
		v.Stop()
	}
}

// configure writes a version of the operator's configuration.
func (r *rig) configure(version int, keys ...string) {
	r.store.Set(limpetplay.ConfigKey, limpetplay.Config(version, host, account, keys...))
}

// beat writes the servers' entries when they change.
func (r *rig) beat(ctx context.Context) error {
	last := map[int]string{}
	for ctx.Err() == nil {
		for n, s := range r.servers {
			if e := string(s.Entry(r.proxies[n].Address, fmt.Sprintf("zone-%d", n%2))); e != last[n] {
				last[n] = e
				r.store.Set(limpetplay.ServerKey(s.ID), []byte(e))
			}
		}
		limpettask.Sleep(ctx, beatEvery)
	}
	return nil
}

// ready waits until all edges are ready.
func (r *rig) ready(limit time.Duration) error {
	ends := time.Now().Add(limit)
	for {
		var late []string
		for _, v := range r.edges {
			if !r.caller.Ready(v.Ready) {
				late = append(late, v.Name)
			}
		}
		if len(late) == 0 {
			return nil
		}
		if time.Now().After(ends) {
			return fmt.Errorf("not ready after %s: %s", limit, strings.Join(late, ", "))
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// play runs callers beside faults, and callers alone after them.
func (r *rig) play(ctx context.Context) {
	seeds := rand.New(rand.NewPCG(r.plan.Seed, 0))
	callers := limpettask.New(ctx)
	for n := range 4 {
		random := rand.New(rand.NewPCG(r.plan.Seed, uint64(n)+1))
		callers.Go(func(ctx context.Context) error { return r.call(ctx, random, n) })
	}
	reader := rand.New(rand.NewPCG(r.plan.Seed, 12))
	callers.Go(func(ctx context.Context) error { return r.train(ctx) })
	callers.Go(func(ctx context.Context) error { return r.reread(ctx, reader) })
	limpettask.Sleep(ctx, time.Second)
	r.disturb(ctx, seeds, r.plan.Time)
	limpettask.Sleep(ctx, calmTime)
	// Callers end when they are told to.
	_ = callers.Stop()
}
