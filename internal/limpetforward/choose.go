package limpetforward

import (
	"context"
	"math/rand/v2"
	"time"

	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpettask"
)

// A cause says why an attempt is started.
type cause int

// beside reports whether another attempt is open, whose answer must not wait.
func (c cause) beside() bool { return c == hedged || c == replacing }

const (
	first cause = iota
	// hedged attempts are started beside another one that is slow.
	hedged
	// retried attempts are started after another one failed.
	retried
	// replacing attempts are started beside one at a server that takes no connections.
	replacing
)

const (
	// limitWaitFraction is the fraction of a route's latency goal for which a
	// request may wait for a limited server, and defaultLimitWait the time if the
	// route has no goal.
	limitWaitFraction = 0.5
	defaultLimitWait  = 250 * time.Millisecond
	// minLimitedRetryAfter is the shortest retry delay that is returned to callers
	// while all servers are at their limits.
	minLimitedRetryAfter = 50 * time.Millisecond
)

const (
	// callersShare is the part of each server's slots that the system's own
	// requests leave to those of callers.
	callersShare = 1. / 3
	// maxYield is how long a request of the system itself waits for a server with
	// free slots beyond callersShare, and yieldInterval the time between looks.
	maxYield      = time.Second
	yieldInterval = 20 * time.Millisecond
)

// maxRetrySpread is the largest part by which the delays of refused requests
// differ, so that they do not return together.
const maxRetrySpread = 0.5

// spread returns a random delay that is not shorter than d.
func spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + maxRetrySpread*rand.Float64()))
}

// choose returns the server for the next attempt, which is counted as in flight;
// nil if none is available. Servers that limit their requests get those that the
// others have no room for, and one now and then that shows whether their limit
// still holds.
func (d *dispatch) choose(ctx context.Context, cause cause) *limpetsite.Server {
	f := d.forwarder
	servers := d.servers()
	d.noteSilent(servers)
	limited := f.Limits.Among(servers, f.Zone, d.unavailable)
	if cause == first && len(limited) > 0 && d.route.Repeatable() {
		if id, ok := f.Limits.Look(ctx, d.service, limited); ok {
			return d.take(id)
		}
	}
	if d.yields && !cause.beside() && d.calm() {
		if server := d.chooseYielding(ctx); server != nil {
			return server
		}
	}
	unavailable := func(id string) bool { return d.unavailable(id) || f.Limits.Limited(id) }
	if len(limited) == 0 {
		return d.place(ctx, cause, unavailable)
	}
	if !cause.beside() && !f.Tracker.HasRoom(servers, unavailable, f.Now()) {
		id, retryAfter, ok := f.Limits.Permit(ctx, d.untriedService(), limited, d.limitWait())
		if ok {
			return d.take(id)
		}
		d.limited, d.limitEnd = true, f.Now().Add(retryAfter)
	}
	return d.place(ctx, cause, unavailable)
}

// servers returns the servers that may run the request, in its homes as the newest
// configuration has them. A stream goes on only at servers of the software that began it.
// A new one begins where it can go on, while such servers have room.
func (d *dispatch) servers() []*limpetsite.Server {
	f, view := d.forwarder, d.forwarder.View()
	homes := view.CurrentHomes(d.route, d.account)
	if d.software != "" {
		return view.ServersIn(homes, view.ServersOf(d.software))
	}
	if d.route.Kind == limpetsite.Stream && d.route.Resumable {
		lasting := view.ServersIn(homes, view.LastingServers(d.service))
		unavailable := func(id string) bool { return d.unavailable(id) || f.Limits.Limited(id) }
		if f.Tracker.HasRoom(lasting, unavailable, f.Now()) {
			return lasting
		}
	}
	return view.ServersIn(homes, view.Servers(d.service))
}

// chooseYielding returns a server that has room for a request of the system
// itself. It waits for one as long as the request may be kept waiting, and then
// returns nil.
func (d *dispatch) chooseYielding(ctx context.Context) *limpetsite.Server {
	f := d.forwarder
	unavailable := func(id string) bool { return d.unavailable(id) || f.Limits.Limited(id) }
	for end := f.Now().Add(maxYield); f.Now().Before(end); {
		servers := d.servers()
		if len(servers) == 0 {
			return nil
		}
		if server := f.Tracker.ChooseWithRoom(servers, f.Zone, unavailable, callersShare, f.Now()); server != nil {
			return server
		}
		if limited := f.Limits.Among(servers, f.Zone, d.unavailable); len(limited) > 0 {
			if id, _, ok := f.Limits.Permit(ctx, d.untriedService(), limited, 0); ok {
				return d.take(id)
			}
		}
		if !limpettask.Sleep(ctx, yieldInterval) {
			return nil
		}
	}
	return nil
}

// untriedService returns the request's service if no server of it was tried yet.
func (d *dispatch) untriedService() string {
	if len(d.tried) > 0 {
		return ""
	}
	return d.service
}

// take returns the server of a permit, counted as in flight.
func (d *dispatch) take(id string) *limpetsite.Server {
	f := d.forwarder
	return f.Tracker.Choose(d.servers(), f.Zone, func(other string) bool { return other != id }, f.Now())
}

// limitWait returns how long the request may wait for a limited server. A longer
// wait would only make all requests late that are served at all. Requests of the
// system itself reserve nothing ahead of callers.
func (d *dispatch) limitWait() time.Duration {
	if d.yields {
		return 0
	}
	wait := defaultLimitWait
	if d.route.LatencyGoal > 0 {
		wait = time.Duration(limitWaitFraction * float64(d.route.LatencyGoal))
	}
	return max(0, min(wait, d.deadline.Sub(d.forwarder.Now())-minHedgeTime))
}
