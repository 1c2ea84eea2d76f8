package limpetrig

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"limpetmount.org/internal/limpetstub"
	"limpetmount.org/internal/limpettask"
)

const (
	// faultGap is the mean pause between faults; their spans overlap.
	faultGap  = 900 * time.Millisecond
	spanLeast = 300 * time.Millisecond
	spanMost  = 4 * time.Second
)

// A fault is one disturbance. It returns what heals it.
type fault struct {
	name string
	do   func(r *rig, random *rand.Rand) (heal func())
}

func link(name string, m Mode) fault {
	return fault{name, func(r *rig, random *rand.Rand) func() {
		v := r.vms[random.IntN(len(r.vms))]
		v.Harmed()
		v.Store.Set(m)
		return func() { v.Harmed(); v.Store.Set(Pass) }
	}}
}

func signal(name string, s syscall.Signal) fault {
	return fault{name, func(r *rig, random *rand.Rand) func() {
		r.vms[random.IntN(len(r.vms))].Signal(s)
		return func() {}
	}}
}

func engine(name string, m Mode) fault {
	return fault{name, func(r *rig, random *rand.Rand) func() {
		p := r.proxies[random.IntN(len(r.proxies))]
		p.Set(m)
		return func() { p.Set(Pass) }
	}}
}

func store(name string, set, reset func(s *limpetstub.Store)) fault {
	return fault{name, func(r *rig, _ *rand.Rand) func() {
		for _, v := range r.vms {
			v.Harmed()
		}
		set(r.store)
		return func() {
			reset(r.store)
			for _, v := range r.vms {
				v.Harmed()
			}
		}
	}}
}

func withFault(f func(kind, key string) limpetstub.Fault) func(s *limpetstub.Store) {
	return func(s *limpetstub.Store) {
		s.Lock()
		defer s.Unlock()
		s.Fault = f
	}
}

// lossEvery is how many writes there are for each whose answer is lost.
const lossEvery = 4

// losing loses the answers of some writes after their effect.
func losing() func(kind, key string) limpetstub.Fault {
	n := 0
	return func(kind, _ string) limpetstub.Fault {
		if n++; kind == "commit" && n%lossEvery == 0 {
			return limpetstub.LostAfter
		}
		return limpetstub.None
	}
}

// faults lists what may happen.
var faults = []fault{
	link("store slow for a VM", Slow), link("store silent for a VM", Silent), link("store cut one way", OneWay), link("store refuses a VM", Refuse),
	signal("killed", syscall.SIGKILL), signal("stopped as planned", syscall.SIGTERM), signal("settings changed", syscall.SIGHUP),
	{"paused", func(r *rig, random *rand.Rand) func() {
		v := r.vms[random.IntN(len(r.vms))]
		v.Signal(syscall.SIGSTOP)
		return func() { v.Signal(syscall.SIGCONT) }
	}},
	{"all killed", func(r *rig, _ *rand.Rand) func() {
		for _, v := range r.vms {
			v.Signal(syscall.SIGKILL)
		}
		return func() {}
	}},
	{"connections to the store reset", func(r *rig, random *rand.Rand) func() {
		v := r.vms[random.IntN(len(r.vms))]
		v.Harmed()
		v.Store.Reset()
		return func() {}
	}},
	engine("server slow", Slow), engine("server silent", Silent), engine("server answers nothing", OneWay), engine("server refuses", Refuse),
	{"server loses answers", func(r *rig, random *rand.Rand) func() {
		s := r.servers[random.IntN(len(r.servers))]
		s.Losing.Store(true)
		return func() { s.Losing.Store(false) }
	}},
	{"connections to a server reset", func(r *rig, random *rand.Rand) func() {
		r.proxies[random.IntN(len(r.proxies))].Reset()
		return func() {}
	}},
	store("store down", func(s *limpetstub.Store) { s.SetDown(true) }, func(s *limpetstub.Store) { s.SetDown(false) }),
	store("store loses answers", withFault(losing()), withFault(nil)),
	store("store forgets", func(s *limpetstub.Store) { s.Compact() }, func(*limpetstub.Store) {}),
}

// disturb injects faults for a time, and heals them all.
func (r *rig) disturb(ctx context.Context, random *rand.Rand, length time.Duration) {
	ends := time.Now().Add(length)
	group := limpettask.New(ctx)
	for time.Now().Before(ends) {
		f := faults[random.IntN(len(faults))]
		span := spanLeast + time.Duration(random.Int64N(int64(spanMost-spanLeast)))
		heal := f.do(r, random)
		r.note(f.name)
		group.Go(func(ctx context.Context) error {
			limpettask.Sleep(ctx, min(span, time.Until(ends)))
			heal()
			return nil
		})
		limpettask.Sleep(ctx, time.Duration(random.ExpFloat64()*float64(faultGap)))
	}
	limpettask.Sleep(ctx, spanLeast)
	// Each fault heals by itself at the end at the latest.
	_ = group.Stop()
}
