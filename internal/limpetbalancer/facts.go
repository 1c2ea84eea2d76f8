package limpetbalancer

import (
	"math"
	"time"

	"limpetmount.org/internal/limpetcapacity"
	"limpetmount.org/internal/limpetsite"
)

// evenUse limits how much more often a free server is drawn than a full one, to three
// times: the facts are up to a second old, and work that follows them fast goes back
// and forth between servers.
const evenUse = 0.5

// minSamples is the number of recent samples from which on this VM's own mean latency
// is used: with fewer, it is mostly priorLatency.
const minSamples = 4

// SetFacts replaces what the director published of servers, by ID. Without any, a
// request goes to the server with the lowest cost by what this VM knows itself.
func (t *Tracker) SetFacts(facts map[string]limpetcapacity.ServerView) {
	if len(facts) == 0 {
		t.facts.Store(nil)
		return
	}
	t.facts.Store(&facts)
}

// loadWith returns the number of requests that a server has, by the published fact
// unless this VM knows it from a recent answer.
func (v *stats) loadWith(f limpetcapacity.ServerView, now time.Time) int {
	if now.Sub(v.loadAt) < loadMaxAge {
		return v.currentLoad(now)
	}
	return max(v.inFlight, int(math.Round(f.InUse)))
}

// latencyWith returns a server's latency, by the published fact unless this VM
// measured it recently.
func (v *stats) latencyWith(f limpetcapacity.ServerView, now time.Time) time.Duration {
	if f.Latency == 0 || (v.samples >= minSamples && now.Sub(v.sampledAt) < latencyHalfLife) {
		return v.decayedLatency(now)
	}
	return f.Latency
}

// slotsWith returns the requests that a server takes at once.
func slotsWith(s *limpetsite.Server, f limpetcapacity.ServerView) int {
	slots := max(1, int(math.Round(f.Limit)))
	if s.Slots > 0 {
		slots = min(slots, s.Slots)
	}
	return slots
}

// chooseByFacts draws two servers that qualify, with a probability that grows
// with their rates and falls with their use, and returns the one with the lower cost. All VMs
// have the same facts: if each chose the best server, all would choose the same. It
// returns nil if no facts are known of these servers or all are ejected. The caller
// holds the lock.
func (t *Tracker) chooseByFacts(facts map[string]limpetcapacity.ServerView, servers []*limpetsite.Server, zone string, qualifies func(*limpetsite.Server) bool, now time.Time) *limpetsite.Server {
	servers = t.sample(servers)
	typical := typicalLatency(facts, servers)
	if typical == 0 {
		return nil
	}
	var candidates []*limpetsite.Server
	var sums []float64
	sum := 0.
	for _, s := range servers {
		if now.Before(t.get(s.ID).ejectedUntil) || !qualifies(s) {
			continue
		}
		sum += t.weight(factOf(facts, s, typical), s, now)
		candidates, sums = append(candidates, s), append(sums, sum)
	}
	if len(candidates) == 0 {
		return nil
	}
	a, b := t.draw(sums), t.draw(sums)
	if t.better(facts, candidates[b], candidates[a], typical, zone, now) {
		a = b
	}
	return candidates[a]
}

// maxSample bounds the servers of one draw: with 12,000, looking at all takes
// milliseconds.
const maxSample = 64

// sample returns all servers, or maxSample random ones of them.
func (t *Tracker) sample(servers []*limpetsite.Server) []*limpetsite.Server {
	if len(servers) <= maxSample {
		return servers
	}
	some := make([]*limpetsite.Server, maxSample)
	for i := range some {
		some[i] = servers[int(t.Random()*float64(len(servers)))]
	}
	return some
}

// typicalLatency returns the mean of the published latencies of some servers; 0 if
// there is none.
func typicalLatency(facts map[string]limpetcapacity.ServerView, servers []*limpetsite.Server) time.Duration {
	var sum time.Duration
	count := 0
	for _, s := range servers {
		if f, known := facts[s.ID]; known && f.Latency > 0 {
			sum += f.Latency
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / time.Duration(count)
}

// factOf returns what was published of a server, or else what is assumed of it: that
// it is as fast as the others.
func factOf(facts map[string]limpetcapacity.ServerView, s *limpetsite.Server, typical time.Duration) limpetcapacity.ServerView {
	f, known := facts[s.ID]
	if !known {
		f.Limit = float64(max(1, s.Slots))
	}
	if f.Latency == 0 {
		f.Latency = typical
	}
	return f
}

// weight returns the weight of a server in the draw.
func (t *Tracker) weight(f limpetcapacity.ServerView, s *limpetsite.Server, now time.Time) float64 {
	v, limit := t.get(s.ID), max(1, f.Limit)
	use := float64(v.loadWith(f, now)) / limit
	return limit / max(time.Millisecond, v.latencyWith(f, now)).Seconds() / (evenUse + use)
}

// better reports whether a request should go to server a rather than b: to the
// faster one while both have room, and else to the one with less in use for its
// limit, so that slow servers that are full get as much as they can do.
func (t *Tracker) better(facts map[string]limpetcapacity.ServerView, a, b *limpetsite.Server, typical time.Duration, zone string, now time.Time) bool {
	fa, fb := factOf(facts, a, typical), factOf(facts, b, typical)
	useA := float64(t.get(a.ID).loadWith(fa, now)) / float64(slotsWith(a, fa))
	useB := float64(t.get(b.ID).loadWith(fb, now)) / float64(slotsWith(b, fb))
	if useA < 1 && useB < 1 {
		return t.factCost(fa, a, zone, now) < t.factCost(fb, b, zone, now)
	}
	return useA < useB
}

func (t *Tracker) factCost(f limpetcapacity.ServerView, s *limpetsite.Server, zone string, now time.Time) time.Duration {
	v := t.get(s.ID)
	return v.costOf(s, zone, v.latencyWith(f, now), v.loadWith(f, now), slotsWith(s, f), now)
}

// draw returns a random index with probabilities in proportion to the differences of
// the sums.
func (t *Tracker) draw(sums []float64) int {
	x := t.Random() * sums[len(sums)-1]
	low, high := 0, len(sums)-1
	for low < high {
		if middle := (low + high) / 2; sums[middle] > x {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return low
}
