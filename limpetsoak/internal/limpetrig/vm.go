package limpetrig

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
	"limpetmount.org/platform/limpetform"
	"limpetmount.org/platform/limpetplay"
)

// A VM is one process of the system with its way to the store.
type VM struct {
	Name  string
	Front string
	Ready string
	Edge  bool
	Store *Proxy

	binary, settings, logs string
	group                  *limpettask.Group

	mu      sync.Mutex
	cmd     *exec.Cmd
	starts  int
	wanted  bool
	paused  bool
	harmed  time.Time
	leaving time.Time
}

const (
	frontPort = 8405
	readyPort = 8406
	firstPort = 7660
	lastPort  = 7675
	// restartAfter is how long a process that ended stays down.
	restartAfter = 300 * time.Millisecond
	// graceSeconds is what VMs are told that a planned stop may take.
	graceSeconds = 6
)

// write writes the VM's settings file.
func (v *VM) write(ip string, zone int, store, cloud string) error {
	s := limpetplay.Settings{
		VM: v.Name, IP: ip, Zone: fmt.Sprintf("zone-%d", zone), FirstPort: firstPort, LastPort: lastPort,
		GraceSeconds: graceSeconds, Store: store, Cloud: cloud, WindowSeconds: 2, LateSec: 4,
	}
	if v.Edge {
		s.Front, s.Ready = fmt.Sprintf("%s:%d", ip, frontPort), fmt.Sprintf("%s:%d", ip, readyPort)
	}
	v.Front, v.Ready = s.Front, s.Ready
	return os.WriteFile(v.settings, []byte(s.Text()), 0o600)
}

// Start starts the process and keeps it running until Stop.
func (v *VM) Start() {
	v.mu.Lock()
	v.wanted = true
	v.mu.Unlock()
	v.group.Go(func(ctx context.Context) error {
		for ctx.Err() == nil && v.run(ctx) {
			limpettask.Sleep(ctx, restartAfter)
		}
		return nil
	})
}

// run runs the process once, and reports whether it is to run again.
func (v *VM) run(ctx context.Context) bool {
	v.mu.Lock()
	v.starts++
	path := filepath.Join(v.logs, fmt.Sprintf("%s.%d.log", v.Name, v.starts))
	v.mu.Unlock()
	file, err := os.Create(path)
	if err != nil {
		return false
	}
	defer file.Close()
	cmd := exec.Command(v.binary, "run")
	cmd.Env = append(os.Environ(), limpetform.PathVariable+"="+v.settings, "GOMAXPROCS=1")
	cmd.Stdout, cmd.Stderr = file, file
	if err := cmd.Start(); err != nil {
		return false
	}
	v.mu.Lock()
	v.cmd, v.paused = cmd, false
	v.mu.Unlock()
	// How it ended is in its log.
	_ = cmd.Wait()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cmd = nil
	return v.wanted && ctx.Err() == nil
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
		v.leaving = now
	case syscall.SIGSTOP:
		v.paused, v.harmed = true, now
	case syscall.SIGCONT:
		v.paused, v.harmed = false, now
	case syscall.SIGKILL:
		v.harmed = now
	}
	// The process may have ended meanwhile.
	_ = v.cmd.Process.Signal(s)
}

// Stop ends the process for good.
func (v *VM) Stop() {
	v.mu.Lock()
	v.wanted = false
	v.mu.Unlock()
	v.Signal(syscall.SIGCONT)
	v.Signal(syscall.SIGKILL)
}

// Harmed records that the VM is disturbed from outside.
func (v *VM) Harmed() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.harmed = time.Now()
}

// quiet reports whether the VM was not disturbed for a time, planned stops
// apart, and whether one was under way.
func (v *VM) quiet(since time.Time) (calm, leaving bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	calm = !v.paused && v.harmed.Before(since.Add(-2*time.Second))
	leaving = time.Since(v.leaving) < graceSeconds*time.Second
	return calm, leaving
}
