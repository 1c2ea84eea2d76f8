package limpetforward

import (
	"context"
	"time"

	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpettask"
)

const (
	// startTime is how long after its start a process may lack entries of servers that
	// exist.
	startTime = 5 * time.Second
	// maxStartWait bounds how long a request waits for the first configuration and the
	// first entries. It waits for up to startWaitFraction of its time.
	maxStartWait      = 500 * time.Millisecond
	startWaitFraction = 0.5
	startLookInterval = 5 * time.Millisecond
)

// awaitStart returns the view of the deployment. In the first seconds of the process a
// request waits for the first configuration, and for the first entries of servers.
func (f *Forwarder) awaitStart(ctx context.Context, r *Request) *limpetsite.Snapshot {
	view := f.View()
	if f.Started.IsZero() || f.hasStarted(view, r) {
		return view
	}
	timeout := r.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	now := f.Now()
	left := r.Arrived.Add(timeout).Sub(now)
	end := now.Add(min(maxStartWait, time.Duration(startWaitFraction*float64(left))))
	for !f.hasStarted(view, r) && f.Now().Before(end) {
		if !limpettask.Sleep(ctx, min(startLookInterval, end.Sub(f.Now()))) {
			break
		}
		view = f.View()
	}
	return view
}

// hasStarted reports whether a request need not wait for the first configuration and
// entries. One that is answered without a server does not wait for entries.
func (f *Forwarder) hasStarted(view *limpetsite.Snapshot, r *Request) bool {
	if !view.Ready() {
		return false
	}
	if f.Now().Sub(f.Started) > startTime {
		return true
	}
	_, _, reason := Authorize(view, r)
	return reason != Served || len(view.AllServers()) > 0
}
