// Package limpetdetour sends calls to backend servers through other VMs while this
// VM itself reaches none. All decisions about a call stay with the VM that has the
// caller: another VM only carries one attempt to the server that was chosen, and
// never passes it on again.
package limpetdetour

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetupstream"
)

// A VM is another VM that may carry calls.
type VM struct{ Name, Zone, Address string }

// Deps holds what a detour needs.
type Deps struct {
	VM, Zone string
	// Direct holds the calls to backend servers over this VM's own links.
	Direct limpetupstream.Client
	View   func() *limpetsite.Snapshot
	// Limited reports whether a server limits its requests; probes avoid it.
	Limited func(server string) bool
	// Evacuated reports whether nothing may be sent to a server, because its availability
	// zone is to be evacuated; nil if none is.
	Evacuated func(s *limpetsite.Server) bool
	// Permit reports whether one more request may be sent to a server now, which is not
	// so if the server is cold and has got its share.
	Permit func(ctx context.Context, server string) bool
	// Others returns the VMs that may carry calls.
	Others func() []VM
	// PassTo sends a call through another VM. An error of type Overloaded says that
	// the VM did not take the call, which certainly was not sent.
	PassTo func(ctx context.Context, vm VM, c limpetupstream.Call) (*limpetupstream.Reply, error)
	// CheckFrom checks a server from another VM. The error says that the VM did not.
	CheckFrom func(ctx context.Context, vm VM, s *limpetsite.Server, healthPath string) (limpetupstream.Condition, error)
	// OnChange is called when this VM finds that it reaches no server, or some again.
	OnChange func(cut bool)
	// OnWarm is called when a server answered a check, for which a connection to it is
	// kept; nil if nobody needs to know.
	OnWarm func(s *limpetsite.Server)
	// IdleAfter is how long without an answer this VM asks a server for its health; 0
	// means defaultIdleAfter.
	IdleAfter time.Duration
	Log       *limpetlog.Logger
	Metrics   prometheus.Registerer
	Now       func() time.Time
}

// suspectAfter is how long a server may take to begin its answer before this VM
// asks whether it reaches any. Servers that queue requests take longer, but others
// answer meanwhile.
const suspectAfter = 150 * time.Millisecond

// A Detour decides how calls reach backend servers. It is safe for concurrent use.
type Detour struct {
	Deps
	group  *limpettask.Group
	passed *prometheus.CounterVec
	state  prometheus.Gauge

	mu       sync.Mutex
	evidence evidence
	// waiting holds the functions that end direct calls without an answer, so that
	// they go through another VM once this one is cut off.
	waiting map[*directCall]bool
	// vms holds what is known of other VMs by name, and carrying the number of calls
	// that this VM carries for others.
	vms      map[string]*carrier
	carrying int
}

// New returns a detour whose goroutines end with the group. Run must be called for
// it to notice a cut without requests, and the end of one.
func New(group *limpettask.Group, d Deps) *Detour {
	t := &Detour{
		Deps: d, group: group, waiting: map[*directCall]bool{}, vms: map[string]*carrier{},
		passed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "limpet_passed_calls_total", Help: "Calls to backend servers that went through another VM, by direction (out: sent by this VM, in: carried for another one) and outcome.",
		}, []string{"direction", "outcome"}),
		state: prometheus.NewGauge(prometheus.GaugeOpts{Name: "limpet_cut_off", Help: "1 while this VM reaches no backend server and sends calls through other VMs."}),
	}
	if t.IdleAfter <= 0 {
		t.IdleAfter = defaultIdleAfter
	}
	t.evidence.failures = map[string]failure{}
	d.Metrics.MustRegister(t.passed, t.state)
	return t
}

// Client returns a client whose calls reach the servers directly, or through another
// VM while this one reaches none.
func (t *Detour) Client() limpetupstream.Client {
	client := t.Direct
	if client.Send != nil {
		client.Send = t.send
	}
	if client.Check != nil {
		client.Check = t.check
	}
	return client
}

// A directCall is a call over this VM's own links that has no answer yet.
type directCall struct {
	cancel context.CancelFunc
	// diverted is set if it was ended to go through another VM.
	diverted bool
}

func (t *Detour) send(ctx context.Context, c limpetupstream.Call) (*limpetupstream.Reply, error) {
	if t.CutOff() {
		return t.pass(ctx, c)
	}
	began := t.Now()
	directCtx, cancel := context.WithCancel(ctx)
	call := &directCall{cancel: cancel}
	t.setWaiting(call, true)
	timer := time.AfterFunc(suspectAfter, func() { t.suspect(began) })
	reply, err := t.Direct.Send(directCtx, c)
	timer.Stop()
	t.setWaiting(call, false)
	if err == nil {
		t.answered(c.Server)
		end := reply.Close
		reply.Close = func() { end(); cancel() }
		return reply, nil
	}
	cancel()
	notSent := limpeterror.Is(err, limpeterror.Unavailable)
	if ctx.Err() == nil && (notSent || !c.Once) {
		if t.wasDiverted(call) || (notSent && t.failed(c.Server, true)) {
			// The first request may have reached its server, and be its only one for now.
			if !notSent && !t.Permit(ctx, c.Server.ID) {
				return nil, err
			}
			return t.pass(ctx, c)
		}
	}
	if !notSent && (ctx.Err() == nil || t.Now().Sub(began) >= suspectAfter) {
		t.failed(c.Server, false)
	}
	return nil, err
}

func (t *Detour) setWaiting(call *directCall, waiting bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if waiting {
		t.waiting[call] = true
		return
	}
	delete(t.waiting, call)
}

func (t *Detour) wasDiverted(call *directCall) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return call.diverted
}

const (
	// checkElsewhereTimeout bounds the check of a server from another VM, which takes
	// at most carriedCheckTimeout itself.
	checkElsewhereTimeout = 700 * time.Millisecond
	carriedCheckTimeout   = 500 * time.Millisecond
	// carriedCheckShare is the part of the time left to the asking VM that a check takes.
	carriedCheckShare = 0.7
)

// check finds out whether a server still runs. If this VM cannot reach it, another VM
// looks too; while this VM reaches none, only that says anything.
func (t *Detour) check(ctx context.Context, s *limpetsite.Server, healthPath string) limpetupstream.Condition {
	cut := t.CutOff()
	condition := limpetupstream.Undetermined
	if !cut {
		if condition = t.Direct.Check(ctx, s, healthPath); condition != limpetupstream.Unreachable {
			return condition
		}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), checkElsewhereTimeout)
	defer cancel()
	for _, vm := range t.Others() {
		elsewhere, err := t.CheckFrom(ctx, vm, s, healthPath)
		switch {
		case err != nil:
			// That VM does not answer, or is cut off too; another one may tell.
			continue
		case cut || elsewhere == limpetupstream.Alive:
			return elsewhere
		case elsewhere == limpetupstream.Unreachable || elsewhere == limpetupstream.Ended:
			return limpetupstream.UnreachableElsewhere
		}
		return condition
	}
	return condition
}

// CutOff reports whether this VM reaches no backend server.
func (t *Detour) CutOff() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.evidence.cut
}
