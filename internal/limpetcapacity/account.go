package limpetcapacity

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// shortTime is how long a service counts as short after the last sign of it.
	// Callers should be served as usual within 2 s of the end of a burst.
	shortTime = 600 * time.Millisecond
	// fullOccupancy is the part of the limits in use above which a service is short.
	// With less in use, refusals say that VMs chose badly, and holding requests back
	// would leave servers idle.
	fullOccupancy = 0.85
	// minOccupancy is the least part of a server's limit that counts in the harmonic mean
	// of all: cold servers, or ones that VMs avoid, must not hide that the others are full.
	minOccupancy = 0.5
	// reportRetention is how long a VM's demand counts after its last report. A VM
	// with a request in 5 s reports every 25 s.
	reportRetention = 30 * time.Second
	// waitingRetention is how long the waiting requests of a VM count after its last
	// report: most callers wait no longer than that.
	waitingRetention = 2 * time.Second
	// minSpan bounds the demand that one report can stand for.
	minSpan = 10 * time.Millisecond
	// demandTime is the time over which the demand of a VM is averaged.
	demandTime = 1500 * time.Millisecond
	// differenceRatio is the ratio of the latencies of two servers above which views
	// are published although nothing is short.
	differenceRatio = 1.5
	// maxViews bounds the servers of one publication: at 70 bytes each and 2
	// publications a second, a VM receives 4.5 KB a second.
	maxViews = 32
	// changedView is the relative change of a server's limit or latency, and the
	// change of its use in parts of the limit, that is worth a message.
	changedView = 0.2
	// frozenTime is the time between two decisions of the director above which it
	// must have been frozen, and what it knows is out of date.
	frozenTime = 3 * time.Second
	// minGain to maxGain is the range of the correction of a service's rate. VMs with
	// one request in some seconds do not use their shares evenly, so that it takes more
	// than the capacity to use it: in the tests, 1.15 used 0.95 of it or more with 390
	// VMs, and 1 used 0.90.
	minGain, maxGain = 1.15, 4
	gainUp, gainDown = 1.25, 0.93
	// fullUse is the number of requests at the servers, in parts of their limits, that
	// the rate is corrected towards: at 1, a server that is free by chance would stay
	// idle until the next request.
	fullUse = 1.4
	// maxRelief bounds how far the rate is raised at once when servers become free.
	maxRelief          = 3
	maxVMs, maxDemands = 1024, 64
)

// An Account is the director's account of all servers. It is not safe for
// concurrent use.
type Account struct {
	servers  map[string]*server
	services map[string]*service
	vms      map[string]*vm
	decided  time.Time
	// reportedAt is the time of the last report.
	reportedAt time.Time
}

// A service is the account of one service.
type service struct {
	servers []*server
	// pressedAt is the time of the last sign of shortage, and reportedAt that of the
	// last report.
	pressedAt, reportedAt time.Time
	short, published      bool
	// pressed is set if VMs reported refused or waiting requests since the last
	// decision.
	pressed bool
	// gain corrects the rate that the limits give, since the limits of servers and the
	// choices of VMs are both inexact.
	gain float64
}

type vm struct {
	reportedAt time.Time
	demands    map[string]demand
}

// A demand holds arrivals and the time in which they arrived, both decayed with
// demandTime: the mean of rates over short spans would be above the rate.
type demand struct {
	arrived, span float64
	waiting       int
	at            time.Time
}

// NewAccount returns an account that knows nothing.
func NewAccount() *Account {
	return &Account{servers: map[string]*server{}, services: map[string]*service{}, vms: map[string]*vm{}}
}

// SetServers sets the servers of the deployment. Those that are gone, or started
// anew, are forgotten.
func (a *Account) SetServers(known []Known) {
	before := a.servers
	a.servers = make(map[string]*server, len(known))
	for _, s := range a.services {
		s.servers = s.servers[:0]
	}
	for _, k := range known {
		s := before[k.Server]
		if s == nil || (s.known.Incarnation != k.Incarnation && s.known.Incarnation != 0) {
			s = newServer(k)
		}
		s.known = k
		s.limit = min(s.limit, slotsOf(k))
		a.servers[k.Server] = s
		a.service(k.Service).servers = append(a.service(k.Service).servers, s)
	}
	for name, s := range a.services {
		if len(s.servers) == 0 && !s.published {
			delete(a.services, name)
		}
	}
}

func (a *Account) service(name string) *service {
	s := a.services[name]
	if s == nil {
		s = &service{gain: minGain}
		a.services[name] = s
	}
	return s
}

// Idle reports whether there is nothing to decide: no report came lately, and
// nothing is published.
func (a *Account) Idle(now time.Time) bool {
	if len(a.vms) > 0 && now.Sub(a.reportedAt) < reportRetention {
		return false
	}
	for _, s := range a.services {
		if s.published {
			return false
		}
	}
	return true
}

// Record takes the report of a VM into account. Servers and services that the
// deployment does not have are ignored.
func (a *Account) Record(r Report, now time.Time) {
	for _, o := range r.Observations {
		s := a.servers[o.Server]
		if s == nil || (o.Incarnation != 0 && s.known.Incarnation != 0 && o.Incarnation != s.known.Incarnation) {
			continue
		}
		s.record(o, now)
		service := a.services[s.known.Service]
		service.reportedAt = now
		service.pressed = service.pressed || o.Refused > 0
	}
	a.reportedAt = now
	v := a.vms[r.VM]
	if v == nil {
		if len(a.vms) >= maxVMs {
			return
		}
		v = &vm{demands: map[string]demand{}}
		a.vms[r.VM] = v
	}
	v.reportedAt = now
	span := max(minSpan, r.Span)
	for _, d := range r.Demands[:min(maxDemands, len(r.Demands))] {
		service := a.services[d.Service]
		if service == nil || d.Arrived < 0 || d.Waiting < 0 {
			continue
		}
		service.reportedAt = now
		service.pressed = service.pressed || d.Waiting > 0
		v.record(d, span, now)
	}
}

func (v *vm) record(d Demand, span time.Duration, now time.Time) {
	before := v.demands[d.Service]
	kept := math.Exp(-float64(span) / float64(demandTime))
	v.demands[d.Service] = demand{
		arrived: kept*before.arrived + float64(d.Arrived), span: kept*before.span + span.Seconds(), waiting: d.Waiting, at: now,
	}
}

// Publish returns what changed enough to be published.
func (a *Account) Publish(now time.Time) Publication {
	if !a.decided.IsZero() && now.Sub(a.decided) > frozenTime {
		a.forgetUse()
	}
	a.decided = now
	for name, v := range a.vms {
		if now.Sub(v.reportedAt) > reportRetention {
			delete(a.vms, name)
		}
	}
	var p Publication
	var changes []change
	for name, s := range a.services {
		if a.publishService(name, s, now, &p) {
			changes = s.appendChanges(changes, now)
		}
	}
	publishServers(changes, &p)
	slices.SortFunc(p.Services, func(x, y ServiceView) int { return cmp.Compare(x.Service, y.Service) })
	slices.Sort(p.Ended)
	slices.Sort(p.Dropped)
	return p
}

// forgetUse drops what changes from one moment to the next.
func (a *Account) forgetUse() {
	clear(a.vms)
	for _, s := range a.services {
		s.pressedAt, s.short = time.Time{}, false
	}
	for _, s := range a.servers {
		s.loadAt, s.running, s.waiting, s.use = time.Time{}, 0, 0, 0
	}
}

// publishService adds what is to be published of a service, and reports whether that
// includes its servers.
func (a *Account) publishService(name string, s *service, now time.Time, p *Publication) bool {
	if !s.published && (s.reportedAt.IsZero() || now.Sub(s.reportedAt) > shortTime) {
		// Most services cost nothing here, however many servers they have.
		return false
	}
	typical, differ := s.latencies(now)
	var limits, inUse, rate, inverse float64
	for _, server := range s.servers {
		if server.known.Draining {
			continue
		}
		rate += server.rate(typical)
		if now.Sub(server.loadAt) <= loadRetention {
			limits += server.limit
			inUse += server.inUse(now)
			inverse += server.limit / max(minOccupancy, server.inUse(now)/server.limit)
		}
	}
	// Without load headers, refusals are the only sign.
	full := inUse >= fullOccupancy*limits
	if !s.short {
		// With few reports, a server is seen in proportion to what it has in use, which the
		// harmonic mean corrects. The plain one was 0.9 at half of the capacity.
		full = limits >= fullOccupancy*inverse
	}
	if (limits > 0 && full) || (limits == 0 && s.pressed) {
		s.pressedAt = now
	}
	s.pressed = false
	s.short = !s.pressedAt.IsZero() && now.Sub(s.pressedAt) < shortTime
	if !s.short && !(differ && now.Sub(s.reportedAt) < reportRetention) {
		s.end(name, p)
		return false
	}
	view := a.demand(name, now)
	view.Short = s.short
	s.correct(inUse, limits, view.Demand > rate)
	view.Rate = s.gain * rate
	if inUse < fullUse*limits {
		// Servers are becoming free; shares must not hold back what they could begin.
		view.Rate *= min(maxRelief, fullUse*limits/max(1, inUse))
	}
	s.published = true
	p.Services = append(p.Services, view)
	return true
}

// correct moves the rate towards the one at which servers have little waiting.
func (s *service) correct(inUse, limits float64, demanded bool) {
	if limits == 0 || (inUse < fullUse*limits && !demanded) {
		return
	}
	// The root halves the step, since the use is that of a second ago.
	step := math.Sqrt(fullUse * limits / max(inUse, 1))
	s.gain = min(maxGain, max(minGain, s.gain*min(gainUp, max(gainDown, step))))
}

// end withdraws what was published of a service.
func (s *service) end(name string, p *Publication) {
	if s.published {
		p.Ended = append(p.Ended, name)
	}
	s.published, s.gain = false, minGain
	for _, server := range s.servers {
		if server.published != nil {
			p.Dropped = append(p.Dropped, server.known.Server)
			server.published = nil
		}
	}
}

// latencies returns the median latency of a service's servers, and whether they
// differ by much.
func (s *service) latencies(now time.Time) (typical time.Duration, differ bool) {
	var all, sure []time.Duration
	for _, server := range s.servers {
		if server.latency > 0 && !server.known.Draining && now.Sub(server.sampledAt) < reportRetention {
			all = append(all, server.latency)
			if server.samples >= minSamples {
				sure = append(sure, server.latency)
			}
		}
	}
	if len(all) == 0 {
		return 0, false
	}
	slices.Sort(all)
	typical = all[len(all)/2]
	if len(sure) < 2 {
		return typical, false
	}
	slices.Sort(sure)
	// The extremes of many servers differ by chance.
	tenth := len(sure) / 10
	return typical, float64(sure[len(sure)-1-tenth]) > differenceRatio*float64(sure[tenth])
}

// demand returns what all VMs together have to do.
func (a *Account) demand(name string, now time.Time) ServiceView {
	view := ServiceView{Service: name}
	// The sum of floating-point numbers depends on their order.
	for _, vm := range slices.Sorted(maps.Keys(a.vms)) {
		d, known := a.vms[vm].demands[name]
		if !known || now.Sub(d.at) > reportRetention {
			continue
		}
		view.VMs++
		view.Demand += d.arrived / d.span
		if now.Sub(d.at) < waitingRetention {
			view.Waiting += d.waiting
		}
	}
	return view
}

// A change is a view of a server that is worth a message.
type change struct {
	server *server
	view   ServerView
	size   float64
}

// appendChanges appends the changes of a service's servers.
func (s *service) appendChanges(changes []change, now time.Time) []change {
	for _, server := range s.servers {
		if server.latency == 0 && server.loadAt.IsZero() {
			continue
		}
		view := server.view(now)
		if size := viewChange(server.published, view); size >= changedView {
			changes = append(changes, change{server, view, size})
		}
	}
	return changes
}

// publishServers publishes the servers whose views changed most, of all services.
func publishServers(changes []change, p *Publication) {
	slices.SortFunc(changes, func(x, y change) int {
		return cmp.Or(cmp.Compare(y.size, x.size), cmp.Compare(x.server.known.Server, y.server.known.Server))
	})
	for _, c := range changes[:min(len(changes), maxViews)] {
		c.server.published = &c.view
		p.Servers = append(p.Servers, c.view)
	}
}

// viewChange returns how much a view differs from the one that was published.
func viewChange(before *ServerView, v ServerView) float64 {
	if before == nil {
		return math.Inf(1)
	}
	size := max(math.Abs(v.Limit-before.Limit), math.Abs(v.InUse-before.InUse)) / max(1, before.Limit)
	if before.Latency > 0 {
		size = max(size, math.Abs(float64(v.Latency-before.Latency))/float64(before.Latency))
	} else if v.Latency > 0 {
		size = math.Inf(1)
	}
	return size
}
