package limpetdetour

import (
	"cmp"
	"context"
	"slices"
	"time"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetupstream"
)

const (
	// maxCarriers is the number of VMs that are tried for a call.
	maxCarriers = 3
	// avoidTime is how long a VM that did not take a call is not asked again.
	avoidTime = time.Second
	// drainInterval is the time between looks at the calls that are carried.
	drainInterval = 20 * time.Millisecond
	// maxCarried bounds the calls that a VM carries for others at once, so that many
	// cut VMs do not swamp the few that are not.
	maxCarried = 128
	// maxPassedBytes bounds the body of a call that is passed on. A message stands in
	// the memory of both VMs several times.
	maxPassedBytes = 1 << 20
)

// A carrier is what is known of another VM.
type carrier struct {
	inFlight   int
	avoidUntil time.Time
}

// carriers returns the VMs to try for a call, the best first: of this availability
// zone, where bytes cost nothing, and with the fewest calls of this VM. All lie in the
// call's homes.
func (t *Detour) carriers(homes limpetsite.Homes) []VM {
	others, view := t.Others(), t.View()
	now := t.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	usable := others[:0]
	for _, vm := range others {
		if c := t.vms[vm.Name]; (c == nil || !now.Before(c.avoidUntil)) && view.InHomes(homes, vm.Zone) {
			usable = append(usable, vm)
		}
	}
	distance := func(vm VM) int {
		if vm.Zone == t.Zone {
			return 0
		}
		return 1
	}
	load := func(vm VM) int {
		if c := t.vms[vm.Name]; c != nil {
			return c.inFlight
		}
		return 0
	}
	slices.SortStableFunc(usable, func(a, b VM) int {
		return cmp.Or(cmp.Compare(distance(a), distance(b)), cmp.Compare(load(a), load(b)))
	})
	return usable[:min(len(usable), maxCarriers)]
}

// pass sends a call through another VM. The error has type Unavailable if none took
// it, and the call was certainly not sent. No further VM is asked once ctx has ended.
func (t *Detour) pass(ctx context.Context, c limpetupstream.Call) (*limpetupstream.Reply, error) {
	if t.evacuated(c.Server) {
		return nil, errEvacuated(c.Server)
	}
	if len(c.Body) > maxPassedBytes {
		return nil, limpeterror.Unavailable.New("a body of %d bytes is not passed on", len(c.Body))
	}
	began := t.Now()
	for _, vm := range t.carriers(c.Homes) {
		call := c
		if call.Remaining = c.Remaining - t.Now().Sub(began); call.Remaining <= 0 {
			break
		}
		t.track(vm, 1)
		reply, err := t.PassTo(ctx, vm, call)
		if err != nil && ctx.Err() != nil {
			// Nobody waits for the call. That it was not taken says nothing of the VM.
			err = limpeterror.Silent.Wrap(ctx.Err(), "passed on through %s", vm.Name)
		}
		if limpeterror.Is(err, limpeterror.Overloaded) {
			t.track(vm, -1)
			t.avoid(vm)
			t.logPassed(c, vm, "not_taken", err)
			continue
		}
		if err != nil {
			t.track(vm, -1)
			t.logPassed(c, vm, limpetupstream.EndingOf(err), err)
			return nil, err
		}
		t.logPassed(c, vm, "answered", nil)
		end := reply.Close
		released := false
		reply.Close = func() {
			end()
			if !released {
				released = true
				t.track(vm, -1)
			}
		}
		return reply, nil
	}
	return nil, limpeterror.Unavailable.New("this VM reaches no backend server, and no other VM takes the call")
}

func (t *Detour) logPassed(c limpetupstream.Call, vm VM, outcome string, err error) {
	t.passed.WithLabelValues("out", outcome).Inc()
	fields := []limpetlog.Field{limpetlog.Request(c.ID), limpetlog.Server(c.Server.ID), limpetlog.Value("through", vm.Name), limpetlog.Value("outcome", outcome)}
	if err != nil {
		fields = append(fields, limpetlog.Error(err))
	}
	t.Log.Emit(limpetlog.CallPassedOn, fields...)
}

func (t *Detour) track(vm VM, change int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.vms[vm.Name]
	if c == nil {
		c = &carrier{}
		t.vms[vm.Name] = c
	}
	c.inFlight += change
}

func (t *Detour) avoid(vm VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.vms[vm.Name].avoidUntil = t.Now().Add(avoidTime)
}

// Carry sends a call of another VM over this VM's own links. The error has type
// Overloaded if this VM does not take it. Taken is called before the call may be
// sent. The call is never passed on again.
func (t *Detour) Carry(ctx context.Context, c limpetupstream.Call, taken func() error) (*limpetupstream.Reply, error) {
	if err := t.admit(c.Server); err != nil {
		t.passed.WithLabelValues("in", "not_taken").Inc()
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Remaining)
	release := func() {
		cancel()
		t.mu.Lock()
		defer t.mu.Unlock()
		t.carrying--
	}
	if err := taken(); err != nil {
		release()
		return nil, limpeterror.Overloaded.Wrap(err, "the VM that passes the call on left")
	}
	reply, err := t.Direct.Send(ctx, c)
	if err != nil {
		t.passed.WithLabelValues("in", limpetupstream.EndingOf(err)).Inc()
		release()
		return nil, err
	}
	t.passed.WithLabelValues("in", "answered").Inc()
	t.answered(c.Server)
	end := reply.Close
	reply.Close = func() { end(); release() }
	return reply, nil
}

// Drain returns once no call is carried for another VM, or ctx ends.
func (t *Detour) Drain(ctx context.Context) {
	for {
		t.mu.Lock()
		carrying := t.carrying
		t.mu.Unlock()
		if carrying == 0 || !limpettask.Sleep(ctx, drainInterval) {
			return
		}
	}
}

// admit counts a call that is carried for another VM, or returns why it is not.
func (t *Detour) admit(s *limpetsite.Server) error {
	if t.evacuated(s) {
		return errEvacuated(s)
	}
	if known := t.View().Server(s.ID); known != nil && known.Draining {
		return limpeterror.Unavailable.New("server %s takes no new work", s.ID)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.evidence.cut:
		return limpeterror.Overloaded.New("this VM reaches no backend server either")
	case t.carrying >= maxCarried:
		return limpeterror.Overloaded.New("this VM carries %d calls", t.carrying)
	}
	t.carrying++
	return nil
}

// CheckFor checks a server for another VM.
func (t *Detour) CheckFor(ctx context.Context, s *limpetsite.Server, healthPath string) (limpetupstream.Condition, error) {
	if t.evacuated(s) {
		return limpetupstream.Undetermined, errEvacuated(s)
	}
	if t.CutOff() {
		return limpetupstream.Undetermined, limpeterror.Overloaded.New("this VM reaches no backend server either")
	}
	timeout := carriedCheckTimeout
	if deadline, ok := ctx.Deadline(); ok {
		// The other VM waits for the answer, too.
		timeout = min(timeout, time.Duration(carriedCheckShare*float64(time.Until(deadline))))
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return t.Direct.Check(ctx, s, healthPath), nil
}

func (t *Detour) evacuated(s *limpetsite.Server) bool {
	return t.Evacuated != nil && t.Evacuated(s)
}

func errEvacuated(s *limpetsite.Server) error {
	return limpeterror.Unavailable.New("the availability zone of server %s is to be evacuated", s.ID)
}
