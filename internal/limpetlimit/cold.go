package limpetlimit

import (
	"sync"
	"sync/atomic"
	"time"

	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetsite"
)

// A ColdBound is the stated bound of what a cold server may get from all VMs in any
// second: Overage times its rate, and Slack requests. The zero value stands for the
// default.
type ColdBound struct{ Overage, Slack float64 }

const (
	defaultColdOverage = 1.5
	defaultColdSlack   = 5
	// coldWindow is the time for which the bound is stated. A schedule for a server
	// that turns cold begins that much later, as if the server had got its allowance
	// just now: what VMs sent before they knew is not counted.
	coldWindow = time.Second
	// coldAloneShare is the part of a cold server's rate that the one VM uses which
	// sends to it while that VM has no director.
	coldAloneShare = 0.15
	// coldSpread is the part by which more permits than the rate allows may be used in
	// one second: permits reach their servers up to 0.3 s apart from their schedule,
	// and one VM without a director adds coldAloneShare: 1.3 * 1.15.
	coldSpread = 1.495
	// coldReserve is the number of requests that arrive at the very edge of a second:
	// one of the director's schedule, one of the VM alone, and one item for which the
	// schedule was free when another VM got a permit.
	coldReserve = 3
	// minColdShare is the part of the bound that is used if coldReserve leaves less.
	minColdShare = 0.1
)

// rate returns the requests a second that the director hands out for a server that can
// handle a number of requests a second while it is cold.
func (b ColdBound) rate(perSecond float64) float64 {
	if b == (ColdBound{}) {
		b = ColdBound{Overage: defaultColdOverage, Slack: defaultColdSlack}
	}
	allowed := perSecond*b.Overage + b.Slack
	return min(perSecond, max((allowed-coldReserve)/coldSpread, allowed*minColdShare))
}

const (
	// entryAge is the assumed age of what a server's entry says: views are up to that
	// old.
	entryAge = time.Second
	// coldMargin is for how long a server counts as cold after the time that it named,
	// for differences of clocks and for shorter changes of that time, which are not
	// published.
	coldMargin = 500 * time.Millisecond
	// minColdChange is the least change of that time that is published.
	minColdChange = 250 * time.Millisecond
	// coldRetention is how long a fact about a warm or unknown server is kept, in case
	// an older one arrives.
	coldRetention = 10 * time.Second
	// maxCold bounds the servers of which something is known: more than the largest
	// deployment has.
	maxCold = 1 << 15
)

// A Cold says until when a server is cold, or that it is not.
type Cold struct {
	Server, Service string
	// Incarnation is the start of the server; 0 if unknown.
	Incarnation int64
	// Until is the end of the time for which it is cold; not after At if it is warm.
	Until time.Time
	// At is when that was known.
	At time.Time
	// Presumed is set if the server did not say it itself.
	Presumed bool
	// Forgotten is set in a published change if the fact is not needed any more.
	Forgotten bool
}

// A coldFact is a Cold with what this VM did with it.
type coldFact struct {
	Cold
	received  time.Time
	published time.Time
}

// A coldLimit is the limit of a cold server.
type coldLimit struct {
	until, at time.Time
	rate      float64
}

// A seenServer is what the last view had of a server that may be cold.
type seenServer struct {
	service     string
	incarnation int64
	revision    uint64
	evacuated   bool
}

// coldServers holds what a VM knows of the servers that are cold. Only services whose
// configuration says that their servers may be cold are followed.
type coldServers struct {
	view atomic.Pointer[map[string]coldLimit]

	mu       sync.Mutex
	services map[string]limpetsite.Service
	config   *limpetsite.Config
	seen     map[string]seenServer
	known    map[string]coldFact
	// unsent holds the servers of which the director must be told.
	unsent map[string]bool
}

// Kinds of changes of cold servers, as named in logs and metrics.
const (
	coldReported = "cold"
	coldPresumed = "presumed"
	coldWarm     = "warm"
	coldOver     = "over"
)

// See records what a new view says about cold servers, before requests use the view. A
// server that the view has for the first time with a recent start, and one whose
// availability zone is not to be evacuated any more, may be cold, and count as such
// until they say otherwise.
func (l *Limits) See(view *limpetsite.Snapshot) {
	c := &l.cold
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setConfig(view.Config)
	if len(c.services) == 0 && len(c.seen) == 0 {
		return
	}
	now := l.now()
	seen := make(map[string]seenServer, len(c.seen))
	var facts []Cold
	for id, s := range view.AllServers() {
		service, may := c.services[s.Service]
		if !may {
			continue
		}
		next := seenServer{service: s.Service, incarnation: s.Incarnation, revision: s.Cold.Revision, evacuated: view.Evacuated(s.Zone)}
		before, known := c.seen[id]
		seen[id] = next
		facts = append(facts, newFacts(s, &service, before, known, next, now)...)
	}
	c.seen = seen
	l.forgetCold(now)
	l.recordCold(facts, "view", false, now)
	l.rebuildCold(now)
}

// forgetCold drops what is known of earlier starts of servers, and of servers that are
// not in the view. Those may be in the next one. The caller holds the lock.
func (l *Limits) forgetCold(now time.Time) {
	c := &l.cold
	var over []Cold
	for id, fact := range c.known {
		s, present := c.seen[id]
		earlier := present && fact.Incarnation != 0 && fact.Incarnation < s.incarnation
		if earlier || !present && now.Sub(fact.received) > coldRetention {
			delete(c.known, id)
			fact.Forgotten = true
			over = append(over, fact.Cold)
		}
	}
	l.publishCold(over)
}

// newFacts returns what a view says about a server and the last one did not.
func newFacts(s *limpetsite.Server, service *limpetsite.Service, before seenServer, known bool, after seenServer, now time.Time) []Cold {
	fact := Cold{Server: s.ID, Service: s.Service, Incarnation: s.Incarnation}
	var facts []Cold
	started := time.UnixMilli(s.Incarnation)
	isNew := !known || before.incarnation != after.incarnation
	if isNew {
		if end := started.Add(service.ColdStart); s.Incarnation != 0 && end.After(now) {
			// The server's own word is believed from its start on. A start in the
			// future is one of another clock.
			f := fact
			f.At, f.Until, f.Presumed = minTime(started, now).Add(-entryAge), minTime(end, now.Add(service.ColdStart)), true
			facts = append(facts, f)
		}
	}
	if known && before.evacuated && !after.evacuated {
		f := fact
		f.At, f.Until, f.Presumed = now, now.Add(service.ColdStart), true
		facts = append(facts, f)
	}
	if s.Cold.Known && (isNew || before.revision != after.revision) {
		f := fact
		f.At, f.Until = now.Add(-entryAge), now.Add(s.Cold.Left)
		if isNew {
			// The entry may have been written at any time since the start, and must not
			// contradict what others learned since.
			f.At = minTime(started, now).Add(-entryAge)
		}
		if s.Cold.Left == 0 {
			f.Until = f.At
		}
		facts = append(facts, f)
	}
	return facts
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// setConfig records which services' servers may be cold. The caller holds the lock.
func (c *coldServers) setConfig(config *limpetsite.Config) {
	if config == c.config {
		return
	}
	c.config, c.services = config, map[string]limpetsite.Service{}
	for i := range config.Services {
		if s := &config.Services[i]; s.MayBeCold() {
			c.services[s.Name] = *s
		}
	}
}

// ObserveCold records how much longer a server is cold, as it said in an answer to this
// VM; 0 if it is not.
func (l *Limits) ObserveCold(server *limpetsite.Server, left time.Duration) {
	c := &l.cold
	c.mu.Lock()
	defer c.mu.Unlock()
	now := l.now()
	if _, may := c.services[server.Service]; !may {
		return
	}
	fact := Cold{Server: server.ID, Service: server.Service, Incarnation: server.Incarnation, At: now, Until: now.Add(left)}
	if l.recordCold([]Cold{fact}, "own", true, now) {
		l.rebuildCold(now)
		l.signal()
	}
}

// MergeCold records what other VMs know of cold servers.
func (l *Limits) MergeCold(facts []Cold) {
	if len(facts) == 0 {
		return
	}
	c := &l.cold
	c.mu.Lock()
	defer c.mu.Unlock()
	now := l.now()
	// Requests for permits repeat facts; a new view for each would be much work.
	if l.recordCold(facts, "other VM", false, now) {
		l.rebuildCold(now)
	}
}

// ExpireCold ends the time of servers that are not cold any more.
func (l *Limits) ExpireCold() {
	if len(*l.cold.view.Load()) == 0 {
		return
	}
	c := &l.cold
	c.mu.Lock()
	defer c.mu.Unlock()
	now := l.now()
	var over []Cold
	for id := range *c.view.Load() {
		// The fact is kept: a VM that reads the server's entry for the first time cannot
		// tell how old that is.
		if fact, known := c.known[id]; known && !fact.coldAt(now) {
			over = append(over, fact.Cold)
		}
	}
	if len(over) > 0 {
		l.reportCold(coldOver, over, "time")
		l.rebuildCold(now)
	}
}

// coldAt reports whether the server counts as cold.
func (c Cold) coldAt(now time.Time) bool {
	return c.Until.After(c.At) && now.Before(c.Until.Add(coldMargin))
}

// recordCold records facts unless newer ones are known, and reports whether any matters
// to other VMs. The director must be told of own facts. The caller holds the lock.
func (l *Limits) recordCold(facts []Cold, source string, own bool, now time.Time) (changed bool) {
	c := &l.cold
	kinds := map[string][]Cold{}
	var publish []Cold
	for _, fact := range facts {
		before, known := c.known[fact.Server]
		if !c.isNews(fact, before, known) {
			continue
		}
		if !own && fact.Presumed && known && !before.Presumed && before.Incarnation == fact.Incarnation {
			// The other VM learned late of the reason to presume; the server itself has said.
			continue
		}
		if known && fact.Presumed && before.Incarnation == fact.Incarnation && before.Until.After(fact.Until) && before.coldAt(now) {
			fact.Until, fact.Presumed = before.Until, before.Presumed
		}
		wasCold, isCold := known && before.coldAt(now), fact.coldAt(now)
		if !known && (!isCold && fact.Until.Equal(fact.At) || len(c.known) >= maxCold) {
			continue
		}
		next := coldFact{Cold: fact, received: now, published: before.published}
		if wasCold != isCold || !known || isCold && fact.Until.Sub(before.published).Abs() >= minColdChange {
			next.published = fact.Until
			publish = append(publish, fact)
			if own {
				c.unsent[fact.Server] = true
			}
		}
		c.known[fact.Server] = next
		if wasCold != isCold {
			kinds[kindOf(fact, isCold)] = append(kinds[kindOf(fact, isCold)], fact)
		}
	}
	for kind, changes := range kinds {
		l.reportCold(kind, changes, source)
	}
	l.publishCold(publish)
	return len(publish) > 0
}

// isNews reports whether a fact is newer than what is known. The caller holds the lock.
func (c *coldServers) isNews(fact Cold, before coldFact, known bool) bool {
	if fact.Incarnation != 0 {
		if known && fact.Incarnation < before.Incarnation {
			return false
		}
		if seen, present := c.seen[fact.Server]; present && fact.Incarnation < seen.incarnation {
			return false
		}
	}
	return !known || fact.Incarnation > before.Incarnation || !fact.At.Before(before.At)
}

func kindOf(fact Cold, isCold bool) string {
	switch {
	case !isCold:
		return coldWarm
	case fact.Presumed:
		return coldPresumed
	default:
		return coldReported
	}
}

// reportCold logs and counts changes of a kind, with one line for all servers: a whole
// availability zone changes at once.
func (l *Limits) reportCold(kind string, changes []Cold, source string) {
	l.coldChanges.WithLabelValues(kind).Add(float64(len(changes)))
	first := changes[0]
	l.log.Emit(limpetlog.ServersCold, limpetlog.Value("kind", kind), limpetlog.Value("servers", len(changes)), limpetlog.Server(first.Server),
		limpetlog.Value("service", first.Service), limpetlog.Value("left_ms", max(0, first.Until.Sub(l.now()).Milliseconds())), limpetlog.Value("source", source))
}

func (l *Limits) publishCold(facts []Cold) {
	if l.PublishCold != nil && len(facts) > 0 {
		l.PublishCold(facts)
	}
}

// rebuildCold replaces the view of cold servers. The caller holds the lock.
func (l *Limits) rebuildCold(now time.Time) {
	c := &l.cold
	view := map[string]coldLimit{}
	for id, fact := range c.known {
		name := fact.Service
		if seen, present := c.seen[id]; present {
			name = seen.service
		}
		if service, may := c.services[name]; may && fact.coldAt(now) {
			view[id] = coldLimit{until: fact.Until.Add(coldMargin), at: fact.At, rate: l.Bound.rate(service.ColdRate)}
		}
	}
	if len(view) > 0 || len(*c.view.Load()) > 0 {
		c.view.Store(&view)
	}
}

// Cold reports whether a server counts as cold.
func (l *Limits) Cold(server string) bool {
	c, known := (*l.cold.view.Load())[server]
	return known && l.now().Before(c.until)
}

// coldOf returns what is known of servers that count as cold.
func (l *Limits) coldOf(servers []string) []Cold {
	if len(*l.cold.view.Load()) == 0 {
		return nil
	}
	c := &l.cold
	c.mu.Lock()
	defer c.mu.Unlock()
	var facts []Cold
	for _, id := range servers {
		if fact, known := c.known[id]; known && fact.coldAt(l.now()) {
			facts = append(facts, fact.Cold)
		}
	}
	return facts
}

// takeUnsentCold returns what the director must be told of cold servers.
func (l *Limits) takeUnsentCold() []Cold {
	c := &l.cold
	c.mu.Lock()
	defer c.mu.Unlock()
	var facts []Cold
	for id := range c.unsent {
		if fact, known := c.known[id]; known {
			facts = append(facts, fact.Cold)
		}
	}
	clear(c.unsent)
	return facts
}

// returnUnsentCold marks facts as unsent that did not reach the director.
func (l *Limits) returnUnsentCold(facts []Cold) {
	c := &l.cold
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, fact := range facts {
		c.unsent[fact.Server] = true
	}
}

// resendCold marks what servers said to this VM or others as unknown to the director,
// which is a new one. What is presumed it presumes itself.
func (l *Limits) resendCold() (unsent bool) {
	c := &l.cold
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, fact := range c.known {
		if !fact.Presumed && fact.coldAt(l.now()) {
			c.unsent[id] = true
		}
	}
	return len(c.unsent) > 0
}

// addCold adds to a server's limit, if it has one, that it is cold.
func (l *Limits) addCold(server string, limit Limit, limited bool) (Limit, bool) {
	c, known := (*l.cold.view.Load())[server]
	if !known || !l.now().Before(c.until) {
		return limit, limited
	}
	if !limited || c.rate < limit.Rate {
		limit.Rate = c.rate
	}
	limit.Server, limit.Cold = server, true
	if c.at.After(limit.At) {
		limit.At = c.at
	}
	return limit, true
}

// newColdServers prepares the parts of Limits that hold cold servers.
func (l *Limits) newColdServers() {
	l.cold.seen, l.cold.known, l.cold.unsent = map[string]seenServer{}, map[string]coldFact{}, map[string]bool{}
	l.cold.view.Store(&map[string]coldLimit{})
}

// warm returns those of some servers that are not cold.
func (l *Limits) warm(servers []string) []string {
	if len(*l.cold.view.Load()) == 0 {
		return servers
	}
	var warm []string
	for _, id := range servers {
		if !l.Cold(id) {
			warm = append(warm, id)
		}
	}
	return warm
}
