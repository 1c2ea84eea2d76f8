package limpethost_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetforward"
	"limpetmount.org/internal/limpethost"
	"limpetmount.org/internal/limpetupstream"
)

// drainTime is the stated bound within which a server that leaves must get no more
// requests.
const drainTime = 2 * time.Second

// leavingVMs starts VMs in front of a cutFleet two of whose servers say from a moment
// on that they leave, in all answers. It returns a function that starts that moment,
// and one that tells how often these servers ran a request of a VM later than
// drainTime after their first such answer to it.
func leavingVMs(t *testing.T, leaving ...string) (f *cutFleet, start func(), late func() int) {
	t.Helper()
	f = startCut(t, 6)
	// told holds when a VM got the first such answer of a server.
	told := map[string]time.Time{}
	lateRuns := 0
	says := map[string]bool{}
	f.answer = func(vm int, c limpetupstream.Call, reply *limpetupstream.Reply) {
		if !says[c.Server.ID] {
			return
		}
		reply.Leaving = true
		key := fmt.Sprintf("%d %s", vm, c.Server.ID)
		if first, known := told[key]; !known {
			told[key] = time.Now()
		} else if time.Since(first) > drainTime {
			lateRuns++
		}
	}
	return f, func() {
			f.set(func() {
				for _, id := range leaving {
					says[id] = true
				}
			})
		}, func() int {
			f.mu.Lock()
			defer f.mu.Unlock()
			return lateRuns
		}
}

// Guards against requests that reach a server, from any VM, after it had said in an
// answer that it leaves, while its registration says that it is ready.
func TestServersThatSayThatTheyLeave(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(f *cutFleet)
		send  func(h *limpethost.Host, id string) limpetforward.Answer
	}{
		{"plain requests", func(*cutFleet) {}, forwardPlain},
		{"the system's own requests", func(*cutFleet) {}, func(h *limpethost.Host, id string) limpetforward.Answer {
			a, _ := h.Forwarder.ForwardInternal(context.Background(), cutRequest(id))
			return a
		}},
		{"the store is down", func(f *cutFleet) { f.store.SetDown(true) }, forwardPlain},
		{"VMs are cut off from the servers and pass calls on", func(f *cutFleet) { f.setCut(hangs, 1, 2) }, forwardPlain},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, start, late := leavingVMs(t, "s0", "s1")
				c.fault(f)
				time.Sleep(cutContactTime)
				start()
				served := 0
				for n := range 300 {
					if a := c.send(f.vms[n%len(f.vms)], fmt.Sprintf("r%d", n)); a.Reason == limpetforward.Served {
						served++
						a.Reply.Close()
					}
					time.Sleep(20 * time.Millisecond)
				}
				check(t, late(), convey.ShouldEqual, 0)
				check(t, served, convey.ShouldEqual, 300)
				f.store.SetDown(false)
				f.stop(t)
			})
		})
	}
	t.Run("one VM's knowledge helps all, and the director's tells a VM that was away", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f, _, _ := leavingVMs(t)
			f.set(func() {
				f.answer = func(_ int, c limpetupstream.Call, reply *limpetupstream.Reply) { reply.Leaving = c.Server.ID == "s1" }
			})
			for n := range 40 {
				if a := forwardPlain(f.vms[1], fmt.Sprintf("r%d", n)); a.Reply != nil {
					a.Reply.Close()
				}
			}
			time.Sleep(2 * time.Second)
			for _, h := range f.vms {
				check(t, h.View().AcceptsWork("s1"), convey.ShouldBeFalse)
				check(t, h.View().AcceptsWork("s2"), convey.ShouldBeTrue)
			}
			f.stop(t)
		})
	})
	t.Run("if all servers of a service say that they leave, requests are refused at once then, as not run", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f, start, late := leavingVMs(t, "s0", "s1", "s2", "s3")
			start()
			for n := range 200 {
				began := time.Now()
				a := forwardPlain(f.vms[n%len(f.vms)], fmt.Sprintf("r%d", n))
				switch {
				case n < 40:
					check(t, a.Reason, convey.ShouldEqual, limpetforward.Served)
				case n > 120:
					check(t, a.Reason, convey.ShouldEqual, limpetforward.NoServer)
					check(t, time.Since(began), convey.ShouldBeLessThan, 10*time.Millisecond)
				}
				if a.Reply != nil {
					a.Reply.Close()
				}
				time.Sleep(20 * time.Millisecond)
			}
			check(t, late(), convey.ShouldEqual, 0)
			f.stop(t)
		})
	})
}

func forwardPlain(h *limpethost.Host, id string) limpetforward.Answer {
	return h.Forwarder.Forward(context.Background(), cutRequest(id))
}
