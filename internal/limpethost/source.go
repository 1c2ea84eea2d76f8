package limpethost

import (
	"context"
	"net/http"
	"time"

	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetrelay"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetwindow"
)

const (
	// relayWait is how long the director may keep a question waiting.
	relayWait = 700 * time.Millisecond
	// relayStale is the age of the store's last sign of life from which on the
	// director's word is not enough.
	relayStale = 1200 * time.Millisecond
	// alonePause is the pause between looks for a director.
	alonePause = 400 * time.Millisecond
	// startAlone is how long a VM that knows nothing yet looks for a director
	// before it follows the store itself.
	startAlone = 1200 * time.Millisecond
	// standbyAfter is how long no director is heard before a VM that serves
	// callers competes for the duty.
	standbyAfter = 3 * time.Second
	// termPeriod is the time between questions who the director is, and
	// termSoon the one in the first time without one, in which most often
	// another VM takes over.
	termPeriod = time.Second
	termSoon   = 350 * time.Millisecond
	termHopes  = 4 * time.Second
	// aloneMargin is left of the time in which a change must be in force when
	// a VM without a director begins to follow the store itself.
	aloneMargin = 1100 * time.Millisecond
)

// A relayed is the director that a VM follows the deployment through.
type relayed struct {
	address  string
	client   *limpetrelay.Client
	epoch    string
	position uint64
}

// source keeps the view of the deployment on a VM that serves callers: from
// the director while its word is fresh, and from the store otherwise.
func (h *Host) source(ctx context.Context) error {
	shared := limpetrelay.NewHTTP()
	var from relayed
	var asked time.Time
	heard := h.deps.Now()
	// At the start the director is looked for first, since most often there is
	// one.
	h.findDirector(ctx, shared, &from)
	for ctx.Err() == nil {
		if h.director.Directing() {
			h.relay.Store(nil)
			limpettask.Sleep(ctx, alonePause)
			continue
		}
		if from.client != nil {
			if age, good := h.listen(ctx, &from); good {
				heard = h.deps.Now().Add(-age)
				h.director.Compete(ctx, false)
				continue
			}
		}
		now := h.deps.Now()
		period, patience := termPeriod, startAlone
		if now.Sub(heard) < termHopes {
			period = termSoon
		}
		if h.View().Ready() {
			patience = h.Settings.Bounds.aloneAfter()
		}
		if now.Sub(heard) > patience {
			h.alone(ctx)
		}
		if now.Sub(asked) >= period {
			asked = now
			h.findDirector(ctx, shared, &from)
		}
		if now.Sub(heard) > standbyAfter {
			h.director.Compete(ctx, true)
		}
		limpettask.Sleep(ctx, limpettask.Jitter(alonePause))
	}
	return nil
}

// aloneAfter is how old the last word of a director may become before a VM
// follows the store itself. Where changes may take longer, VMs wait for the
// next director instead: at once, all of them would be a load on the store.
func (b Bounds) aloneAfter() time.Duration { return max(0, min(b.Config, b.Drain)-aloneMargin) }

// listen asks the director for changes. It reports whether its word is good,
// and how old it is.
func (h *Host) listen(ctx context.Context, from *relayed) (age time.Duration, good bool) {
	u, directing, err := from.client.Follow(ctx, from.epoch, from.position, relayWait)
	if err != nil || !directing || u.Age > relayStale {
		if h.relay.Swap(nil) != nil && ctx.Err() == nil {
			cause := "it is not the director any more"
			switch {
			case err != nil:
				cause = err.Error()
			case directing:
				cause = "it lost the store"
			}
			h.Log.Emit(limpetlog.RelayLost, limpetlog.Value("address", from.address), limpetlog.Value("cause", cause), limpetlog.Value("age_ms", u.Age.Milliseconds()))
		}
		return 0, false
	}
	from.epoch, from.position = u.Epoch, u.Position
	h.takeUpdate(u)
	h.contact.Store(true)
	h.seeker.Heard(from.address)
	if h.relay.Swap(from.client) != from.client {
		h.Log.Emit(limpetlog.RelayFound, limpetlog.Value("address", from.address))
		h.counter.ResendAll()
		h.Wake(false)
	}
	return u.Age, true
}

// takeUpdate hands what the director told to the owner of the site's state.
func (h *Host) takeUpdate(u limpetrelay.Update) {
	for _, feed := range h.deps.Feeds {
		m := siteMessage{feed: feed.Prefix, listed: u.Full, revision: u.Feeds[feed.Prefix]}
		for _, c := range u.Changes {
			if c.Feed == feed.Prefix {
				m.records = append(m.records, feed.Decode(c.Value))
			}
		}
		if m.listed || len(m.records) > 0 {
			h.tell(m)
		}
	}
}

// alone follows the store itself, once it gives a sign of life: while it is
// down for all, its watches would only cost.
func (h *Host) alone(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, probeTime)
	defer cancel()
	if err := h.deps.Probe(call); err != nil {
		h.lost()
		return
	}
	h.contact.Store(true)
	h.Wake(true)
}

// findDirector reads who the director is.
func (h *Host) findDirector(ctx context.Context, shared *http.Client, from *relayed) {
	address, err := h.term(ctx)
	if err != nil || address == "" || address == from.address {
		return
	}
	*from = relayed{address: address, client: limpetrelay.NewClient(shared, address, h.Settings.ReadyAddress)}
}

// read returns the listed results of an account's job: from the director while
// it speaks for the job, and from the store otherwise.
func (h *Host) read(ctx context.Context, job, account string, after int, wait time.Duration) (limpetjob.Page, error) {
	began := h.deps.Now()
	page, denied, known := h.ask(ctx, job, account, after, wait)
	if known && denied {
		return limpetjob.Page{}, limpetjob.NoJob(job)
	}
	if known {
		return page, nil
	}
	return h.reader.Read(ctx, job, account, after, max(0, wait-h.deps.Now().Sub(began)))
}

func (h *Host) ask(ctx context.Context, job, account string, after int, wait time.Duration) (page limpetjob.Page, denied, known bool) {
	if h.director.Directing() {
		return h.director.Results(ctx, job, account, after, wait)
	}
	client := h.relay.Load()
	if client == nil {
		return limpetjob.Page{}, false, false
	}
	page, denied, known, err := client.Results(ctx, job, account, after, wait)
	return page, denied, known && err == nil
}

// owned returns nil when the account has a job of this ID, NotFound when not,
// and another error when it cannot be told now.
func (h *Host) owned(ctx context.Context, job, account string) error {
	if _, denied, known := h.ask(ctx, job, account, 0, 0); known && !denied {
		return nil
	}
	return h.reader.Owned(ctx, job, account)
}

// handCounts gives usage counts to the director.
func (h *Host) handCounts(ctx context.Context, counter string, windows map[int64]limpetwindow.Counts) bool {
	if h.director.Directing() {
		h.received.Merge(counter, windows)
		return true
	}
	client := h.relay.Load()
	if client == nil {
		return false
	}
	taken, err := client.Count(ctx, counter, windows)
	return taken && err == nil
}

// handlers returns what this VM answers others while it is the director.
func (h *Host) handlers() *limpetrelay.Handlers {
	return &limpetrelay.Handlers{
		Mirror: h.mirror, Met: h.met, Directing: h.director.Directing, Results: h.director.Results,
		Count: func(counter string, windows map[int64]limpetwindow.Counts) bool {
			if !h.director.Directing() {
				return false
			}
			h.received.Merge(counter, windows)
			return true
		},
		Carry: h.director.Carry, Deliver: h.director.Deliver,
	}
}

// RelayHandler serves other VMs.
func (h *Host) RelayHandler() http.Handler { return h.handlers().Handler() }
