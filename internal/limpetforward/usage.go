package limpetforward

import (
	"time"
)

// countUsage counts the request once towards its account's usage, if the server may
// have begun the attempt. The start is estimated as the time at which the attempt was
// sent, and later by what it was expected to wait at the server.
func (d *dispatch) countUsage(r result, now time.Time) {
	if d.account == nil || d.forwarder.CountRequest == nil || !d.mayHaveBegun(r, now) || d.counted.Swap(true) {
		return
	}
	d.forwarder.CountRequest(d.account.Name, now.Add(-r.took).Add(min(r.wait, r.took)))
}

// mayHaveBegun reports whether the server may have begun an attempt that it did not
// refuse. An attempt that this VM abandoned was not begun if it ended sooner than it was
// expected to wait at the server, or if it took much longer than work takes at a server
// that was known to be full.
func (d *dispatch) mayHaveBegun(r result, now time.Time) bool {
	if r.err == nil || !r.abandoned {
		return true
	}
	f := d.forwarder
	if r.took < max(r.wait, f.Tracker.OthersWait(r.server, now)) {
		return false
	}
	q := d.queue()
	short := f.Tracker.Full(r.server, now) || d.share().Short || (q != nil && !q.Calm(now))
	if !short {
		return true
	}
	return !f.Tracker.Overdue(f.View().Servers(r.server.Service), r.took)
}
