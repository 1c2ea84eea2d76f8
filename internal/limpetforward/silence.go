package limpetforward

import (
	"context"
	"slices"
	"time"

	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetsite"
)

const (
	// minSuspectDelay is the least time after which an attempt without an answer makes
	// this VM check the server. Servers that queue requests take longer, but take
	// connections.
	minSuspectDelay = 150 * time.Millisecond
	// watchInterval is the time between two looks at open attempts.
	watchInterval = 50 * time.Millisecond
	// maxReplaced bounds the attempts of a request that are replaced because their
	// servers take no connections.
	maxReplaced = 2
)

// suspectDelay returns how long an attempt may be without an answer before its server is
// checked.
func (d *dispatch) suspectDelay() time.Duration {
	return max(minSuspectDelay, d.route.LatencyGoal)
}

// watchAttempts checks the servers of attempts that wait long for an answer. Of an
// idempotent request, those at servers that take no connections do not count against the
// limit of attempts: nothing runs there.
func (d *dispatch) watchAttempts(ctx context.Context) {
	f := d.forwarder
	for _, a := range d.open {
		switch {
		case a.replaced || f.Now().Sub(a.sentAt) < d.suspectDelay():
		case !f.Silence.Silent(a.server):
			f.Silence.Suspect(a.server)
		case d.route.Kind == limpetsite.Idempotent && d.replacements < maxReplaced:
			d.replace(ctx, a)
		}
	}
}

// replace starts another attempt for one that waits at a server that takes no
// connections, if a server is available now.
func (d *dispatch) replace(ctx context.Context, a *openAttempt) {
	d.replaced++
	if !d.startAttempt(ctx, replacing) {
		d.replaced--
		return
	}
	a.replaced = true
	d.replacements++
	f := d.forwarder
	f.Log.Emit(limpetlog.AttemptReplaced, limpetlog.Request(d.request.ID), limpetlog.Server(a.server.ID), limpetlog.Value("ms", f.Now().Sub(a.sentAt).Milliseconds()))
}

// unavailable reports whether the request must not be sent to a server: it was tried, or
// it takes no connections while others of the service do.
func (d *dispatch) unavailable(id string) bool {
	return d.tried[id] || (!d.allSilent && d.forwarder.Silence.SilentNow(id))
}

// noteSilent notes whether none of some servers takes connections.
func (d *dispatch) noteSilent(servers []*limpetsite.Server) {
	silence := d.forwarder.Silence
	d.allSilent = silence.Any() && !slices.ContainsFunc(servers, func(s *limpetsite.Server) bool { return !silence.Silent(s) })
}
