package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		exit(2)
	}
}

// running holds what must be ended before this process ends.
var running *site

func exit(code int) {
	if running != nil {
		running.stop()
	}
	os.Exit(code)
}

// A site is a small deployment on loopback addresses: the platform's parts and engines in
// this process, and the system's programs as processes of their own.
type site struct {
	binary  string
	folder  string
	network int
	store   *store
	record  *record
	storeAt string
	cloudAt string

	mu       sync.Mutex
	engines  []*engine
	machines []*machine
	// usage counts reports.
	usage int
}

// address returns a loopback address of the site's own network.
func (s *site) address(host int) string {
	return fmt.Sprintf("127.%d.%d.%d", 40+s.network/250, 1+s.network%250, host)
}

func newSite(binary string, r *record) *site {
	folder, err := os.MkdirTemp("", "stand3-")
	must(err)
	s := &site{binary: binary, folder: folder, record: r, store: newStore(), network: os.Getpid() % 30000}
	running = s
	s.storeAt = s.listen(1, s.store)
	s.cloudAt = s.listen(2, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
	}))
	return s
}

func (s *site) listen(host int, h http.Handler) string {
	l, err := net.Listen("tcp", s.address(host)+":0")
	must(err)
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

// A machine runs one process of the system.
type machine struct {
	site  *site
	name  string
	class string
	zone  string
	ip    string
	front string
	conf  string

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	// held is set while no process may be started.
	held bool
}

const (
	frontPort = 8405
	readyPort = 8406
	vmPort    = 7661
)

// addMachine starts a machine with the command of the deploy file.
func (s *site) addMachine(name, class, zone string, host int) *machine {
	m := &machine{site: s, name: name, class: class, zone: zone, ip: s.address(host)}
	listen := ""
	counts, memory := "true", 304
	if class == "edge" {
		m.front = fmt.Sprintf("%s:%d", m.ip, frontPort)
		listen = fmt.Sprintf("listen.front=%s\nlisten.ready=%s:%d\n", m.front, m.ip, readyPort)
		counts, memory = "false", 284
	}
	m.conf = filepath.Join(s.folder, name+".conf")
	must(os.WriteFile(m.conf, []byte(strings.Join([]string{
		"node=" + name, "role=" + class, "class=" + class, "serves=" + class, "ip=" + m.ip, "zone=" + zone, "region=gauteng",
		"zones.pretoria-a=gauteng", "zones.pretoria-b=gauteng", listen + "portRange=7660,7675", "bootstrap=true", "countsAsLoss=" + counts,
		"limits.cores=1", fmt.Sprintf("limits.memoryMb=%d", memory), "limits.maxFds=4100", "heartbeatMs=1200",
		"contracts=base,drain,config,cost,recover,samples,stream,engine,batch,tenants,leader,platform", "tolerate.machines=1",
		"bounds.contactMs=3000", "bounds.drainMs=2000", "bounds.graceS=8", "bounds.configMs=2000", "bounds.leaseMs=3000", "bounds.fencingEnforced=true",
		"bounds.usageWindowS=5", "bounds.usageLateS=10", "bounds.recoveryS=12", "bounds.statusTtlS=120", "bounds.cancelMs=3000", "bounds.settleMs=1000",
		"platform.address=" + s.storeAt, "platform.form=kv", "platform.writesPerS=400", "platform.readsPerS=2000", "platform.historyS=20",
		"platform.valueBytes=1048576", "platform.ttlMinMs=1000", "cloud.address=" + s.cloudAt, "cloud.duties=usage_report", "cloud.dutiesPerS=50.0", "",
	}, "\n")), 0o600))
	s.mu.Lock()
	s.machines = append(s.machines, m)
	s.mu.Unlock()
	m.start()
	return m
}

// start starts the process, and again after a short delay when it ends.
func (m *machine) start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped || m.held || m.cmd != nil {
		return
	}
	log, err := os.OpenFile(filepath.Join(m.site.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	cmd := exec.Command(m.site.binary, "run", "--metrics", "9464")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.site.folder, "LIMPETMOUNT_CONFIG=" + m.conf}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(cmd.Start())
	m.cmd = cmd
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		m.mu.Lock()
		m.cmd = nil
		m.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
		m.start()
	}()
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// kill ends the process; with hold, none is started until release.
func (m *machine) kill(hold bool) {
	m.mu.Lock()
	m.held = hold
	m.mu.Unlock()
	m.signal(syscall.SIGKILL)
}

func (m *machine) release() {
	m.mu.Lock()
	m.held = false
	m.mu.Unlock()
	m.start()
}

func (s *site) stop() {
	s.mu.Lock()
	machines := s.machines
	s.mu.Unlock()
	for _, m := range machines {
		m.mu.Lock()
		m.stopped = true
		if m.cmd != nil {
			_ = m.cmd.Process.Kill()
		}
		m.mu.Unlock()
	}
	for _, m := range machines {
		for range 100 {
			m.mu.Lock()
			done := m.cmd == nil
			m.mu.Unlock()
			if done {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("logs:", s.folder)
	}
	running = nil
}

// waitReady waits until all edges say that they are ready.
func (s *site) waitReady() {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := true
		for _, m := range s.machines {
			if m.class != "edge" {
				continue
			}
			r, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", m.ip, readyPort))
			if err == nil {
				_ = r.Body.Close()
			}
			ready = ready && err == nil && r.StatusCode == http.StatusOK
		}
		if ready {
			return
		}
	}
	must(fmt.Errorf("the edges are not ready after 20 s"))
}

// configure writes the operator's configuration.
func (s *site) configure(version int, routes []map[string]any) {
	s.store.put("op/config", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": modelService, "healthPath": "/healthz", "maxConns": 140, "protocol": "h1", "tls": false},
			{"name": plainService, "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "huka270", "apiKeys": []string{clientKey}, "priority": 1}},
	})
}

const clientKey = "2b9wu3fexd9dnn2ctnfz"

// routes are those of a small deployment, with one for streams that may be resumed and one
// for requests that must not run twice.
func routes() []map[string]any {
	return []map[string]any{
		{"name": "r-plain", "host": siteHost, "pathPrefix": "/lohu930/", "kind": "idempotent", "timeoutMs": 2000, "goalMs": 150, "priority": 2, "service": plainService, "maxAttempts": 2, "public": false},
		{"name": "r-score", "host": siteHost, "pathPrefix": "/pufi791/", "kind": "idempotent", "timeoutMs": 2000, "goalMs": 400, "priority": 2, "service": plainService, "maxAttempts": 4, "public": true},
		{"name": "r-rollout", "host": siteHost, "pathPrefix": "/pule252/", "kind": "rollout", "timeoutMs": 10000, "goalMs": 400, "priority": 0, "service": modelService, "maxAttempts": 3, "runTargetMs": 7500, "itemTtlS": 40, "sticky": true},
		{"name": "r-stream", "host": siteHost, "pathPrefix": "/chat414/", "kind": "streaming", "resumable": true, "timeoutMs": 12000, "goalMs": 400, "priority": 1, "service": modelService, "maxAttempts": 3, "sticky": true},
	}
}
