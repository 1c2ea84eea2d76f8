package limpetharness

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"limpetmount.org/internal/limpettask"
	"limpetmount.org/platform/limpetplatformstub"
	"limpetmount.org/platform/limpetsettingsfile"
)

// A VM is one process of the system, and the proxy between it and the store.
type VM struct {
	Name string
	// Front and Ready are the addresses for callers and for readiness checks;
	// they are empty unless Edge is set.
	Front string
	Ready string
	// Edge is set if the VM serves callers.
	Edge bool
	// Store is the proxy through which the VM reaches the store.
	Store *Proxy

	settingsFile, logDir string
	group                *limpettask.Group

	mu sync.Mutex
	// binary is the program of the next start.
	binary     string
	cmd        *exec.Cmd
	startCount int
	// keepRunning is set while the process is to be restarted whenever it ends.
	keepRunning bool
	paused      bool
	// disruptedAt is when a fault of the VM, of the store or of the connection
	// between them last began or ended, and stopRequestedAt when a planned stop
	// was last requested.
	disruptedAt     time.Time
	stopRequestedAt time.Time
}

const (
	frontPort = 8405
	readyPort = 8406
	firstPort = 7660
	lastPort  = 7675
	// restartDelay is the delay before a process that ended is started again.
	restartDelay = 300 * time.Millisecond
	// graceSeconds is the setting of how long a planned stop may take.
	graceSeconds = 6
)

// writeSettings writes the VM's settings file.
func (v *VM) writeSettings(ip string, zone int, store, cloud string) error {
	s := limpetplatformstub.Settings{
		VM: v.Name, IP: ip, Zone: fmt.Sprintf("zone-%d", zone), FirstPort: firstPort, LastPort: lastPort,
		GraceSeconds: graceSeconds, Store: store, Cloud: cloud, WindowSeconds: 2, LateSeconds: 4,
	}
	if v.Edge {
		s.Front, s.Ready = fmt.Sprintf("%s:%d", ip, frontPort), fmt.Sprintf("%s:%d", ip, readyPort)
	}
	v.Front, v.Ready = s.Front, s.Ready
	return os.WriteFile(v.settingsFile, []byte(s.Text()), 0o600)
}

// Start starts the process, and restarts it whenever it ends until Stop is
// called.
func (v *VM) Start() {
	v.mu.Lock()
	v.keepRunning = true
	v.mu.Unlock()
	v.group.Go(func(ctx context.Context) error {
		for ctx.Err() == nil && v.run(ctx) {
			limpettask.Sleep(ctx, restartDelay)
		}
		return nil
	})
}

// run runs the process until it ends, and reports whether to start it again.
func (v *VM) run(ctx context.Context) bool {
	v.mu.Lock()
	v.startCount++
	path, binary := filepath.Join(v.logDir, fmt.Sprintf("%s.%d.log", v.Name, v.startCount)), v.binary
	v.mu.Unlock()
	file, err := os.Create(path)
	if err != nil {
		return false
	}
	defer file.Close()
	cmd := exec.Command(binary, "run")
	cmd.Env = append(os.Environ(), limpetsettingsfile.PathVariable+"="+v.settingsFile, "GOMAXPROCS=1")
	cmd.Stdout, cmd.Stderr = file, file
	if err := cmd.Start(); err != nil {
		return false
	}
	v.mu.Lock()
	v.cmd, v.paused = cmd, false
	v.mu.Unlock()
	// The log of the process shows how it ended.
	_ = cmd.Wait()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cmd = nil
	return v.keepRunning && ctx.Err() == nil
}

// SetBinary sets the program of the next start, and reports whether it is another
// one.
func (v *VM) SetBinary(path string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	changed := v.binary != path
	v.binary = path
	return changed
}

// Signal sends a signal to the process, if it runs.
func (v *VM) Signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd == nil || v.cmd.Process == nil {
		return
	}
	now := time.Now()
	switch s {
	case syscall.SIGTERM:
		v.stopRequestedAt = now
	case syscall.SIGSTOP:
		v.paused, v.disruptedAt = true, now
	case syscall.SIGCONT:
		v.paused, v.disruptedAt = false, now
	case syscall.SIGKILL:
		v.disruptedAt = now
	}
	// The process may have ended in the meantime.
	_ = v.cmd.Process.Signal(s)
}

// Stop kills the process, which is not started again.
func (v *VM) Stop() {
	v.mu.Lock()
	v.keepRunning = false
	v.mu.Unlock()
	v.Signal(syscall.SIGCONT)
	v.Signal(syscall.SIGKILL)
}

// MarkDisrupted records that a fault of the store, or of the VM's connection to
// it, begins or ends.
func (v *VM) MarkDisrupted() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.disruptedAt = time.Now()
}

// stability reports whether the VM is not paused and no fault set disruptedAt from
// two seconds before since until now, and whether a planned stop may be in
// progress.
func (v *VM) stability(since time.Time) (stable, stopRequested bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	stable = !v.paused && v.disruptedAt.Before(since.Add(-2*time.Second))
	stopRequested = time.Since(v.stopRequestedAt) < graceSeconds*time.Second
	return stable, stopRequested
}
