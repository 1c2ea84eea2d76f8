package limpetharness

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"limpetmount.org/platform/limpetplatformstub"
)

const (
	// All plain servers but one name namedLimit, in requests a second, for
	// limitTime, while limitedLoad requests are sent in each second.
	namedLimit  = 1.5
	limitTime   = 8 * time.Second
	limitedLoad = 40
	// After contactTime, a server may get limitFactor times what the limit allows
	// in limitWindow, and limitSlack requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitOverTime is allowed until servers are used as before.
	limitOverTime = 4 * time.Second
)

// checkLimits lets plain servers name a request rate, and checks that the sum of
// what all VMs send stays within it and that all requests are served.
func (h *harness) checkLimits(ctx context.Context) {
	random := rand.New(rand.NewPCG(h.plan.Seed, 15))
	plain := h.plainServers()
	for _, s := range plain[1:] {
		s.SetLimit(namedLimit)
	}
	began := time.Now()
	h.sendPlain(ctx, random, "limited", limitTime)
	allowed := int(namedLimit*limitWindow.Seconds()*limitFactor) + limitSlack
	for _, s := range plain[1:] {
		if most := busiestWindow(s.Arrivals(), began.Add(contactTime)); most > allowed {
			h.addViolation("server %s named a limit of %v a second and got %d requests in %s, %d allowed", s.ID, namedLimit, most, limitWindow, allowed)
		}
		s.SetLimit(0)
	}
	h.sendPlain(ctx, random, "unlimited", limitOverTime)
}

// plainServers returns the servers of the plain service.
func (h *harness) plainServers() []*limpetplatformstub.Server {
	return slices.DeleteFunc(slices.Clone(h.servers), (*limpetplatformstub.Server).IsEngine)
}

// sendPlain sends requests to random VMs for a time, all of which must be served.
func (h *harness) sendPlain(ctx context.Context, random *rand.Rand, name string, length time.Duration) {
	began := time.Now()
	for n := 0; time.Since(began) < length; n++ {
		vm := h.edges[random.IntN(len(h.edges))]
		h.group.Go(func(context.Context) error {
			id := fmt.Sprintf("%s-%d", name, n)
			if exchange := h.caller.Plain(ctx, vm.Front, id, false); exchange.Err != nil || exchange.Status != http.StatusOK {
				h.addViolation("%s answers request %s with status %d: %v", vm.Name, id, exchange.Status, exchange.Err)
			}
			return nil
		})
		time.Sleep(time.Second / limitedLoad)
	}
}

// busiestWindow returns the largest number of times within limitWindow, of those
// after a moment.
func busiestWindow(times []time.Time, after time.Time) int {
	most, first := 0, 0
	for n := range times {
		for times[first].Before(after) && first < n || times[n].Sub(times[first]) > limitWindow {
			first++
		}
		if !times[n].Before(after) {
			most = max(most, n-first+1)
		}
	}
	return most
}
