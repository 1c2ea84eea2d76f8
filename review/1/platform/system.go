package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	host      = "ficu95.example"
	tenant    = "kaje80"
	key       = "i9n73hh2b9wu3fexd9dn"
	model     = "daka510000"
	edgePort  = 8405
	readyPort = 8406
	// restartTime is how long after its end a process is started again.
	restartTime = 500 * time.Millisecond
	// The memory limits of a process, in MB.
	edgeMemoryMB    = 284
	storageMemoryMB = 294
)

// A deployment is a small deployment: the platform's stand-ins and the system's
// processes.
type deployment struct {
	t0      time.Time
	trouble bool
	folder  string
	network string
	fenced  bool

	mu     sync.Mutex
	record *os.File
	runs   []*run
	calls  []call
	// namedAt is when a version of the weights was named last, and samples holds how full
	// the engines were.
	namedAt time.Time
	samples []sample

	store    *store
	machines []*machine
	engines  []*engine
	// scaled holds the bounds of services whose engines are ordered, and dryUntil when
	// the platform has engines again.
	scaled                     map[string]map[string]any
	dryUntil                   time.Time
	storeAddress, cloudAddress string
}

// A call is an order to an engine or a call to the platform's API.
type call struct {
	subject, holder, from string
	fence                 uint64
	at                    time.Time
}

// A machine is a machine of the system with its process.
type machine struct {
	d                 *deployment
	name, class, zone string
	ip                string
	file              string

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	starts  int
	// restart is the delay until a process that ended is started again.
	restart time.Duration
}

func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	cleanup()
	os.Exit(2)
}

var cleanups []func()

func cleanup() {
	for n := len(cleanups) - 1; n >= 0; n-- {
		cleanups[n]()
	}
	cleanups = nil
}

// note writes a line to the record.
func (d *deployment) note(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.record, "%8.3f  %s\n", time.Since(d.t0).Seconds(), fmt.Sprintf(format, args...))
}

func (d *deployment) began(x *run, r *http.Request, body []byte) {
	d.mu.Lock()
	d.runs = append(d.runs, x)
	d.mu.Unlock()
	d.note("engine %s of %s begins %s %s id %s after event %d, tenant %s, %d bytes", x.engine, x.service, r.Method, r.URL.Path, x.id, x.after, x.tenant, len(body))
}

func (d *deployment) ended(x *run) {
	d.mu.Lock()
	x.ended = time.Now()
	d.mu.Unlock()
	d.note("engine %s ends %s, whole %v", x.engine, x.id, x.whole)
}

// runsOf returns copies of the runs of an id.
func (d *deployment) runsOf(id string) []run {
	d.mu.Lock()
	defer d.mu.Unlock()
	var found []run
	for _, x := range d.runs {
		if x.id == id {
			found = append(found, *x)
		}
	}
	return found
}

func (d *deployment) acted(subject, holder string, fence uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls = append(d.calls, call{subject: subject, holder: holder, fence: fence, at: time.Now()})
}

func listen(address string, h http.Handler) string {
	l, err := net.Listen("tcp", address)
	if err != nil {
		fail("listen: %v", err)
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

// newDeployment starts the stand-ins of the platform. The network number keeps
// deployments that run at once apart.
func newDeployment(recordPath string) *deployment {
	d := &deployment{t0: time.Now(), trouble: os.Getenv("TROUBLE") != "0", store: newStore()}
	var err error
	if d.record, err = os.Create(recordPath); err != nil {
		fail("%v", err)
	}
	if d.folder, err = os.MkdirTemp("", "limpet-review-"); err != nil {
		fail("%v", err)
	}
	if os.Getenv("KEEP") == "" {
		cleanups = append(cleanups, func() { _ = os.RemoveAll(d.folder) })
	}
	pid := os.Getpid()
	d.network = fmt.Sprintf("127.%d.%d", 40+pid/250%200, 1+pid%250)
	d.storeAddress = listen(d.network+".200:0", d.store)
	d.cloudAddress = listen(d.network+".201:0", http.HandlerFunc(d.serveCloud))
	return d
}

func (d *deployment) serveCloud(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var fence uint64
	_, _ = fmt.Sscan(r.Header.Get("X-Fence-Token"), &fence)
	holder := r.Header.Get("X-Duty-Holder")
	subject := r.URL.Path
	if r.URL.Path == "/scale" {
		var o struct{ Service, Zone string }
		_ = json.Unmarshal(body, &o)
		subject += " " + o.Service + " " + o.Zone
	}
	d.note("platform gets %s %s from %s with fence %d", r.URL.Path, body, holder, fence)
	d.acted(subject, holder, fence)
	d.mu.Lock()
	dry := subject != r.URL.Path && time.Now().Before(d.dryUntil)
	d.mu.Unlock()
	if dry {
		reply(w, http.StatusConflict, map[string]any{})
		return
	}
	if subject != r.URL.Path {
		d.boot(body)
	}
	reply(w, 200, map[string]any{})
}

// bootTime is how long an engine that was ordered takes to start.
const bootTime = 4 * time.Second

// boot starts the engines that an order asks for beyond those that there are.
func (d *deployment) boot(body []byte) {
	var o struct {
		Service, Zone string
		Desired       int
		Spot          bool
	}
	_ = json.Unmarshal(body, &o)
	time.AfterFunc(bootTime, func() {
		d.mu.Lock()
		there := 0
		var like *engine
		for _, e := range d.engines {
			if e.service == o.Service {
				like = e
				e.mu.Lock()
				if !e.gone && e.zone == o.Zone && e.spot == o.Spot {
					there++
				}
				e.mu.Unlock()
			}
		}
		d.mu.Unlock()
		for ; like != nil && there < o.Desired; there++ {
			d.addEngineOf(o.Service, o.Zone, o.Spot, like.slots, like.pause, like.events)
		}
	})
}

// addEngine adds an engine of a service and starts it. Events is nil for a plain
// service.
func (d *deployment) addEngine(service, zone string, slots int, pause time.Duration, events func(string) int) *engine {
	return d.addEngineOf(service, zone, false, slots, pause, events)
}

func (d *deployment) addEngineOf(service, zone string, spot bool, slots int, pause time.Duration, events func(string) int) *engine {
	d.mu.Lock()
	n := len(d.engines)
	e := &engine{
		d: d, id: fmt.Sprintf("i-%02d", n), service: service, zone: zone, spot: spot, slots: slots, pause: pause, events: events, version: 1,
		address: fmt.Sprintf("%s.%d:0", d.network, 100+n), born: time.Now().UnixMilli(),
	}
	d.engines = append(d.engines, e)
	d.mu.Unlock()
	e.start()
	return e
}

// addMachine adds a machine of the system and starts its process.
func (d *deployment) addMachine(class, zone string) *machine {
	n := len(d.machines)
	m := &machine{d: d, name: fmt.Sprintf("%s-%s-%d", class, zone, n), class: class, zone: zone, ip: fmt.Sprintf("%s.%d", d.network, 10+n), restart: restartTime}
	d.machines = append(d.machines, m)
	m.file = filepath.Join(d.folder, m.name+".conf")
	m.writeSettings(d.storeAddress)
	m.start()
	return m
}

func (m *machine) writeSettings(storeAddress string) {
	lines := []string{"node=" + m.name, "role=" + m.class, "class=" + m.class, "serves=" + m.class, "ip=" + m.ip, "zone=" + m.zone, "region=wa-south"}
	memory := storageMemoryMB
	if m.class == "edge" {
		memory = edgeMemoryMB
		lines = append(lines, fmt.Sprintf("listen.front=%s:%d", m.ip, edgePort), fmt.Sprintf("listen.ready=%s:%d", m.ip, readyPort))
	}
	lines = append(lines, "portRange=7360,7375", "bootstrap=true", fmt.Sprintf("limits.memoryMb=%d", memory), "limits.maxFds=4100", "discovery=platform", "entry=vip", "heartbeatMs=1200",
		"bounds.contactMs=3000", "bounds.ackMs=4000", "bounds.drainMs=2000", "bounds.graceS=8", "bounds.lossSlackMs=200", "bounds.configMs=2000",
		fmt.Sprintf("bounds.fencingEnforced=%v", m.d.fenced), "bounds.leaseMs=3000", "bounds.thawSlackMs=300", "bounds.usageWindowS=5", "bounds.usageLateS=10",
		"bounds.recoveryS=12", "bounds.finishS=10", "bounds.statusTtlS=120", "bounds.cancelMs=3000", "bounds.settleMs=1000",
		"platform.address="+storeAddress, "platform.form=kv", "platform.writesPerS=400", "platform.readsPerS=2000", "platform.historyS=20",
		"platform.valueBytes=1048576", "platform.ttlMinMs=1000", "cloud.address="+m.d.cloudAddress, "cloud.ratePerS=50.0", "cloud.duties=usage_report,autoscale", "cloud.dutiesPerS=50.0")
	if err := os.WriteFile(m.file, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		fail("%v", err)
	}
}

// start starts the process with the command of the deploy file, and starts it again
// whenever it ends.
func (m *machine) start() {
	started := make(chan struct{})
	first := true
	go func() {
		// The process is told by the end of the thread that started it.
		runtime.LockOSThread()
		for {
			m.mu.Lock()
			if m.stopped {
				m.mu.Unlock()
				return
			}
			m.starts++
			log, err := os.Create(filepath.Join(m.d.folder, fmt.Sprintf("%s.%d.log", m.name, m.starts)))
			if err != nil {
				fail("%v", err)
			}
			cmd := exec.Command("target/limpetplatform", "run", "--metrics", "9464")
			cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "LIMPETMOUNT_CONFIG=" + m.file}
			cmd.Stdout, cmd.Stderr = log, log
			cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
			if err := cmd.Start(); err != nil {
				fail("start the system: %v", err)
			}
			m.cmd = cmd
			m.mu.Unlock()
			if first {
				first = false
				close(started)
			}
			err = cmd.Wait()
			_ = log.Close()
			m.d.note("process of %s ends: %v", m.name, err)
			m.mu.Lock()
			m.cmd = nil
			delay := m.restart
			m.mu.Unlock()
			time.Sleep(delay)
		}
	}()
	<-started
	cleanups = append(cleanups, m.stop)
}

// signal sends a signal to the process, if it runs.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		m.d.note("%v to %s", s, m.name)
		_ = m.cmd.Process.Signal(s)
	}
}

// stop ends the process for good.
func (m *machine) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(syscall.SIGCONT)
		_ = m.cmd.Process.Kill()
	}
}

func (m *machine) front() string { return fmt.Sprintf("%s:%d", m.ip, edgePort) }

// edges returns the machines that clients reach.
func (d *deployment) edges() []*machine {
	var found []*machine
	for _, m := range d.machines {
		if m.class == "edge" {
			found = append(found, m)
		}
	}
	return found
}

// waitReady waits until all edges are ready.
func (d *deployment) waitReady() {
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range d.edges() {
			if r, err := http.Get(fmt.Sprintf("http://%s:%d/readyz", m.ip, readyPort)); err == nil {
				_ = r.Body.Close()
				if r.StatusCode == 200 {
					ready++
				}
			}
		}
		if ready == len(d.edges()) {
			d.note("all edges are ready")
			return
		}
		if time.Now().After(end) {
			fail("the system did not become ready")
		}
	}
}

// director returns the machine that holds the duty in the store; nil if none does.
func (d *deployment) director() *machine {
	var r struct{ Holder string }
	_ = json.Unmarshal(d.store.get("duty/director"), &r)
	for _, m := range d.machines {
		if m.name == r.Holder {
			return m
		}
	}
	return nil
}

// configure writes a version of the configuration.
func (d *deployment) configure(version int, services []string, routes []map[string]any) {
	var all []map[string]any
	for _, s := range append(services, scoreService) {
		service := map[string]any{"name": s, "healthPath": "/healthz", "maxConns": 140, "protocol": "h1", "tls": false}
		if scale := d.scaled[s]; scale != nil {
			service["scale"] = scale
		}
		all = append(all, service)
	}
	routes = append(routes, map[string]any{
		"name": "r-score", "host": host, "pathPrefix": scorePrefix, "kind": "idempotent", "timeoutMs": 2000, "goalMs": 400, "priority": 2, "maxAttempts": 4, "public": true, "service": scoreService,
	})
	d.store.put("op/config", map[string]any{
		"version": version, "routes": routes, "services": all,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": tenant, "apiKeys": []string{key}, "priority": 1}},
	})
	d.note("the store acknowledges configuration %d: %s", version, mustJSON(routes))
}

func mustJSON(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(data)
}
