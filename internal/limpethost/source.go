package limpethost

import (
	"context"
	"net/http"
	"time"

	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetrelay"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetwindow"
)

const (
	// followWait is how long the director may hold a request for changes.
	followWait = 700 * time.Millisecond
	// maxStaleness is the age of the director's last contact with the store
	// above which its view is not relied on.
	maxStaleness = 1200 * time.Millisecond
	// retryDelay is the delay before the next attempt to reach a director or,
	// while this VM is the director, before it checks again whether it still is.
	retryDelay = 400 * time.Millisecond
	// initialDirectorWait is how long a VM without a configuration looks for a
	// director before it follows the store itself.
	initialDirectorWait = 1200 * time.Millisecond
	// competeAfter is how long no director must have responded before a VM
	// that serves callers competes for the lease.
	competeAfter = 3 * time.Second
	// lookupInterval is the time between lookups of the director's address. In
	// the first fastLookupTime without a director, when another VM is most
	// likely to take over, it is fastLookupInterval.
	lookupInterval     = time.Second
	fastLookupInterval = 350 * time.Millisecond
	fastLookupTime     = 4 * time.Second
	// followStoreMargin is how long before a change must be in effect a VM
	// without a director starts to follow the store itself.
	followStoreMargin = 1100 * time.Millisecond
)

// A directorLink is the connection to the director through which a VM follows
// the deployment.
type directorLink struct {
	address string
	client  *limpetrelay.Client
	// epoch and position are those of the director's last update.
	epoch    string
	position uint64
}

// followDeployment keeps the view of the deployment up to date on a VM that
// serves callers: from the director while its view is fresh, and from the
// store otherwise.
func (h *Host) followDeployment(ctx context.Context) error {
	var link directorLink
	var lastLookup time.Time
	lastHeard := h.deps.Now()
	// Look for a director first, since there usually is one.
	h.findDirector(ctx, &link)
	for ctx.Err() == nil {
		if h.director.IsDirector() {
			h.relay.Store(nil)
			limpettask.Sleep(ctx, retryDelay)
			continue
		}
		if link.client != nil {
			if age, fresh := h.followDirector(ctx, &link); fresh {
				lastHeard = h.deps.Now().Add(-age)
				h.director.SetCandidate(ctx, false)
				continue
			}
		}
		now := h.deps.Now()
		interval, maxSilence := lookupInterval, initialDirectorWait
		if now.Sub(lastHeard) < fastLookupTime {
			interval = fastLookupInterval
		}
		if h.View().Ready() {
			maxSilence = h.Settings.Bounds.followStoreAfter()
		}
		if now.Sub(lastHeard) > maxSilence {
			h.followStore(ctx)
		}
		if now.Sub(lastLookup) >= interval {
			lastLookup = now
			h.findDirector(ctx, &link)
		}
		if now.Sub(lastHeard) > competeAfter && !h.detour.CutOff() {
			h.director.SetCandidate(ctx, true)
		}
		limpettask.Sleep(ctx, limpettask.Jitter(retryDelay))
	}
	return nil
}

// followStoreAfter is how old the last response of a director may become
// before a VM follows the store itself. If the deployment allows changes more
// time, VMs wait longer for the next director, because the load of all of them
// on the store at once would be high.
func (b Bounds) followStoreAfter() time.Duration {
	return max(0, min(b.Config, b.Drain)-followStoreMargin)
}

// followDirector asks the director for changes. It reports whether its view is
// fresh, and the age of that view.
func (h *Host) followDirector(ctx context.Context, link *directorLink) (age time.Duration, fresh bool) {
	u, directing, err := link.client.Follow(ctx, link.epoch, link.position, followWait, h.leaving.take())
	if err != nil || !directing || u.Age > maxStaleness {
		h.leaving.resend()
		if h.relay.Swap(nil) != nil && ctx.Err() == nil {
			cause := "it is no longer the director"
			switch {
			case err != nil:
				cause = err.Error()
			case directing:
				cause = "it lost contact with the store"
			}
			h.Log.Emit(limpetlog.RelayLost, limpetlog.Value("address", link.address), limpetlog.Value("cause", cause), limpetlog.Value("age_ms", u.Age.Milliseconds()))
		}
		return 0, false
	}
	link.epoch, link.position = u.Epoch, u.Position
	h.applyDirectorUpdate(u)
	h.confirmView(h.deps.Now().Add(-u.Age))
	h.storeReachable.Store(true)
	h.connector.DirectorSeen(link.address)
	if h.relay.Swap(link.client) != link.client {
		h.lastDirector.Store(link.client)
		h.Log.Emit(limpetlog.RelayConnected, limpetlog.Value("address", link.address))
		h.counter.ResendAll()
		h.limits.Resend()
		h.origins.Resend()
		h.leaving.resend()
		h.SetFollowing(false)
	}
	return u.Age, true
}

// applyDirectorUpdate applies the director's changes of all feeds.
func (h *Host) applyDirectorUpdate(u limpetrelay.Update) {
	for _, f := range h.feeds {
		var values []limpetstore.Value
		for _, c := range u.Changes {
			if c.Feed == f.prefix {
				values = append(values, c.Value)
			}
		}
		switch {
		case u.Full:
			f.applyListing(limpetstore.Listing{Values: values, Revision: u.Feeds[f.prefix]})
		case len(values) > 0:
			f.applyChanges(values)
		}
	}
}

// followStore follows the store itself if it responds. During an outage of the
// store, watches would only add load.
func (h *Host) followStore(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if err := h.deps.Probe(callCtx); err != nil {
		h.storeLost()
		return
	}
	h.storeReachable.Store(true)
	h.SetFollowing(true)
}

// findDirector looks up the director's address, and replaces the link if it
// changed.
func (h *Host) findDirector(ctx context.Context, link *directorLink) {
	address, err := h.directorAddress(ctx)
	if err != nil || address == "" || address == link.address {
		return
	}
	*link = directorLink{address: address, client: limpetrelay.NewClient(h.peerClient, address, h.self())}
}

// readPage returns the listed results of an account's job: from the director
// while it can answer for the job, and from the store otherwise.
func (h *Host) readPage(ctx context.Context, job, account string, after int, wait time.Duration) (limpetjob.Page, error) {
	start := h.deps.Now()
	page, denied, known := h.askDirector(ctx, job, account, after, wait)
	if known && denied {
		return limpetjob.Page{}, limpetjob.JobNotFound(job)
	}
	if known {
		return page, nil
	}
	return h.reader.Read(ctx, job, account, after, max(0, wait-h.deps.Now().Sub(start)))
}

// askDirector returns a job's results from the director, which may be this VM.
// Known is false if the director cannot answer for the job or there is none;
// denied is set if the job belongs to another account.
func (h *Host) askDirector(ctx context.Context, job, account string, after int, wait time.Duration) (page limpetjob.Page, denied, known bool) {
	if h.director.IsDirector() {
		return h.director.Results(ctx, job, account, after, wait)
	}
	client := h.relay.Load()
	if client == nil {
		return limpetjob.Page{}, false, false
	}
	page, denied, known, err := client.Results(ctx, job, account, after, wait)
	return page, denied, known && err == nil
}

// checkOwner returns nil if the job belongs to the account, NotFound if it
// does not, and another error if that cannot be determined at present.
func (h *Host) checkOwner(ctx context.Context, job, account string) error {
	if _, denied, known := h.askDirector(ctx, job, account, 0, 0); known && !denied {
		return nil
	}
	return h.reader.CheckOwner(ctx, job, account)
}

// sendCounts sends usage counts to the director.
func (h *Host) sendCounts(ctx context.Context, counter string, windows map[int64]limpetwindow.Counts) bool {
	if h.director.IsDirector() {
		h.received.Merge(counter, windows)
		return true
	}
	client := h.relay.Load()
	if client == nil {
		return false
	}
	accepted, err := client.Count(ctx, counter, windows)
	return accepted && err == nil
}

// handlers returns the handlers of requests from other VMs.
func (h *Host) handlers() *limpetrelay.Handlers {
	return &limpetrelay.Handlers{
		Mirror: h.mirror, OnFollower: h.roster.record, OnLeaving: h.mergeLeaving, Origins: h.origins, IsDirector: h.director.IsDirector, Results: h.director.Results,
		Count: func(counter string, windows map[int64]limpetwindow.Counts) bool {
			if !h.director.IsDirector() {
				return false
			}
			h.received.Merge(counter, windows)
			return true
		},
		Term: h.answerTerm, IsOwn: h.isOwn, CarryCall: h.carryCall, CheckServer: h.detour.CheckFor, Permit: h.decidePermit, Silence: h.acceptSilence, Observe: h.acceptObservations, AcceptOffer: h.director.AcceptOffer, Deliver: h.director.Deliver,
	}
}

// RelayHandler returns the HTTP handler of requests from other VMs.
func (h *Host) RelayHandler() http.Handler { return h.boundMessages(h.handlers().Handler()) }
