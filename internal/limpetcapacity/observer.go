package limpetcapacity

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// requestsPerReport is the least number of requests between two reports.
	requestsPerReport = 5
	// reportInterval is the least time between two reports. The director publishes
	// every 500 ms.
	reportInterval = 250 * time.Millisecond
	// maxObserved bounds the servers of one report, and maxServices the services
	// that a VM observes.
	maxObserved, maxServices = 64, 64
	// calmTime and calmRequests are how long, and in how many requests, nothing must
	// point to shortage before a VM stops reporting.
	calmTime     = 3 * time.Second
	calmRequests = 5
	// maxCalmTime is how long nothing must point to shortage before a VM with few
	// requests stops reporting, if most of its answers did not: it may take it 20 s to
	// get calmRequests answers, and a report of that time is of no use.
	maxCalmTime = 10 * time.Second
	// strainWeight is the weight of one answer in the part of answers that point to
	// shortage, and strained the part from which on the VM reports. A server with all
	// slots taken now and then is usual.
	strainWeight = 0.2
	strained     = 0.5
	// lateLoad is the mean part of servers' slots in use from which on a late answer
	// points to shortage: a goal that is missed by free servers is not one.
	lateLoad = 0.5
	// staleAfter is how long after a publication a share is used unscaled.
	staleAfter = 2 * time.Second
	// shareHalfLife is the time in which a share is halved while the director is
	// silent: the next one may hand the capacity out to other VMs.
	shareHalfLife = 10 * time.Second
	// shareRetention is how long a share is used without a director, and easyTime how
	// long after the last sign of shortage in this VM's own answers, once calmRequests
	// of them had none.
	shareRetention = 30 * time.Second
	easyTime       = 2 * time.Second
	// pauseTime is the time between two calls of Tick above which the VM must have
	// been frozen.
	pauseTime = 2 * time.Second
	// floorShare is the part of an equal share that a VM without demand gets.
	floorShare = 0.1
	maxWait    = 30 * time.Second
)

// An Outcome says how an attempt ended, as far as it concerns the server.
type Outcome int

// The outcomes of attempts. Failed ones say nothing of capacity.
const (
	Answered Outcome = iota
	Refused
	Failed
)

// An Attempt is what this VM saw of one attempt.
type Attempt struct {
	Service, Server string
	Incarnation     int64
	Outcome         Outcome
	Took            time.Duration
	// HasLoad is set if the answer had a load header.
	HasLoad                 bool
	Running, Waiting, Slots int
	Factor                  float64
}

// An Observer collects what one VM sees of servers, and applies what the director
// publishes. It is safe for concurrent use; a nil Observer does nothing.
type Observer struct {
	vm  string
	now func() time.Time
	// Waiting returns the number of requests that wait for a service at this VM; nil
	// if none do.
	Waiting func(service string) int

	mu       sync.Mutex
	services map[string]*watched
	observed map[string]*observed
	// requests counts those since the last report, which began at since.
	requests int
	since    time.Time
	tickedAt time.Time
}

// watched is what a VM knows of a service.
type watched struct {
	// strain is the part of recent answers that point to shortage.
	strain float64
	// load is the mean part of servers' slots in use by recent load headers, if loaded
	// is set.
	load     float64
	loaded   bool
	signAt   time.Time
	calm     int
	reports  bool
	arrived  int
	demand   float64
	demandAt time.Time
	// view is what the director published at heardAt, when demand was heardDemand.
	view        ServiceView
	heardAt     time.Time
	heardDemand float64
	// easy counts the answers since heardAt and since the last sign of shortage.
	easy int
}

type observed struct {
	Observation
	at    time.Time
	total time.Duration
}

// NewObserver returns the observer of a VM.
func NewObserver(vm string, now func() time.Time) *Observer {
	return &Observer{vm: vm, now: now, services: map[string]*watched{}, observed: map[string]*observed{}, tickedAt: now(), since: now()}
}

// get returns what is known of a service; nil if there are too many. The caller
// holds the lock.
func (o *Observer) get(service string) *watched {
	w := o.services[service]
	if w == nil && len(o.services) < maxServices {
		w = &watched{}
		o.services[service] = w
	}
	return w
}

// reporting reports whether the director is told of a service. The caller holds
// the lock.
func (w *watched) reporting(now time.Time) bool {
	return (w.reports && !w.isCalm(now)) || (w.view.Short && now.Sub(w.heardAt) < staleAfter)
}

// isCalm reports whether nothing has pointed to shortage for long enough. The caller
// holds the lock.
func (w *watched) isCalm(now time.Time) bool {
	since := now.Sub(w.signAt)
	return (w.calm >= calmRequests && since > calmTime) || (w.strain < strained && since > maxCalmTime)
}

// Arrived records a new request.
func (o *Observer) Arrived(service string) {
	if o == nil {
		return
	}
	now := o.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	w := o.get(service)
	if w == nil {
		return
	}
	// The demand decays by itself; each request adds one to its integral over time.
	w.demand = w.demandNow(now) + 1/demandTime.Seconds()
	w.demandAt = now
	if w.reporting(now) {
		w.arrived++
		o.requests++
	}
}

// demandNow returns the requests a second that arrive at this VM.
func (w *watched) demandNow(now time.Time) float64 {
	return w.demand * math.Exp(-float64(now.Sub(w.demandAt))/float64(demandTime))
}

// Late records that a request took longer than its route's latency goal.
func (o *Observer) Late(service string) {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if w := o.get(service); w != nil && (!w.loaded || w.load >= lateLoad) {
		w.sign(true, o.now())
	}
}

// sign records whether an answer points to shortage.
func (w *watched) sign(short bool, now time.Time) {
	if !short {
		w.strain -= strainWeight * w.strain
		w.easy++
		w.calm++
	}
	if w.isCalm(now) {
		w.reports = false
	}
	if !short {
		return
	}
	w.strain += strainWeight * (1 - w.strain)
	w.signAt, w.calm, w.easy = now, 0, 0
	if w.strain >= strained {
		w.reports = true
	}
}

// Started records that an attempt was sent.
func (o *Observer) Started(service, server string, incarnation int64) {
	if o == nil {
		return
	}
	now := o.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if w := o.services[service]; w == nil || !w.reporting(now) {
		return
	}
	if s := o.observation(server, incarnation); s != nil {
		s.Observation.Started++
	}
}

// observation returns what was seen of a server; nil if there are too many. The
// caller holds the lock.
func (o *Observer) observation(server string, incarnation int64) *observed {
	s := o.observed[server]
	if s == nil {
		if len(o.observed) >= maxObserved {
			return nil
		}
		s = &observed{}
		o.observed[server] = s
	}
	if s.Incarnation != incarnation {
		*s = observed{Observation: Observation{Server: server, Incarnation: incarnation}}
	}
	s.Server = server
	return s
}

// Ended records the end of an attempt.
func (o *Observer) Ended(a Attempt) {
	if o == nil {
		return
	}
	now := o.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	w := o.get(a.Service)
	if w == nil {
		return
	}
	if a.Outcome == Refused {
		// A refusal needs no second one: this VM may ask the service once in a minute.
		w.strain = 1
	}
	if a.HasLoad && a.Slots > 0 {
		w.load += strainWeight * (float64(a.Running+a.Waiting)/float64(a.Slots) - w.load)
		w.loaded = true
	}
	if a.Outcome != Failed {
		w.sign(a.Outcome == Refused || (a.HasLoad && a.Slots > 0 && a.Running+a.Waiting > a.Slots), now)
	}
	if !w.reporting(now) {
		return
	}
	s := o.observation(a.Server, a.Incarnation)
	if s == nil {
		return
	}
	s.add(a, now)
}

func (s *observed) add(a Attempt, now time.Time) {
	if a.HasLoad {
		s.Running, s.Waiting, s.Slots, s.at = a.Running, a.Waiting, a.Slots, now
		if a.Factor > 0 && s.Factor == 0 {
			s.Factor = a.Factor
		} else if a.Factor > 0 {
			s.Factor += factorWeight * (a.Factor - s.Factor)
		}
	}
	switch a.Outcome {
	case Answered:
		s.Answered++
		s.total += a.Took
	case Refused:
		s.Refused++
		if a.HasLoad && a.Running >= a.Slots {
			s.RefusedFull++
		}
	}
}

// Tick must be called at regular intervals. It notices that this VM was frozen:
// what it measured then says nothing of the servers, and its shares are out of
// date.
func (o *Observer) Tick() {
	now := o.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Sub(o.tickedAt) > pauseTime {
		clear(o.observed)
		o.since, o.requests = now, 0
		for _, w := range o.services {
			w.view, w.heardAt, w.arrived = ServiceView{}, time.Time{}, 0
		}
	}
	o.tickedAt = now
	if !o.reporting(now) {
		// The next report must not count what came before its span.
		o.since, o.requests = now, 0
		clear(o.observed)
		for _, w := range o.services {
			w.arrived = 0
		}
	}
}

// reporting reports whether the director is told of any service. The caller holds
// the lock.
func (o *Observer) reporting(now time.Time) bool {
	for _, w := range o.services {
		if w.reporting(now) {
			return true
		}
	}
	return false
}

// Take returns what the director must be told, if there is something and enough
// requests have passed since the last report.
func (o *Observer) Take() (Report, bool) {
	now := o.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.requests < requestsPerReport || now.Sub(o.since) < reportInterval {
		return Report{}, false
	}
	r := Report{VM: o.vm, Span: now.Sub(o.since)}
	for name, w := range o.services {
		if !w.reporting(now) {
			w.arrived = 0
			continue
		}
		d := Demand{Service: name, Arrived: w.arrived}
		if o.Waiting != nil {
			d.Waiting = o.Waiting(name)
		}
		r.Demands = append(r.Demands, d)
		w.arrived = 0
	}
	for _, s := range o.observed {
		v := s.Observation
		if v.Answered > 0 {
			v.Latency = s.total / time.Duration(v.Answered)
		}
		if !s.at.IsZero() {
			v.Age = now.Sub(s.at)
		}
		r.Observations = append(r.Observations, v)
	}
	slices.SortFunc(r.Demands, func(x, y Demand) int { return cmp.Compare(x.Service, y.Service) })
	slices.SortFunc(r.Observations, func(x, y Observation) int { return cmp.Compare(x.Server, y.Server) })
	clear(o.observed)
	o.since, o.requests = now, 0
	return r, len(r.Demands) > 0
}

// Apply applies what the director published of a service.
func (o *Observer) Apply(v ServiceView) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if w := o.get(v.Service); w != nil && validView(v) {
		now := o.now()
		w.view, w.heardAt, w.heardDemand, w.easy = v, now, w.demandNow(now), 0
	}
}

func validView(v ServiceView) bool {
	return v.Rate >= 0 && v.Demand >= 0 && !math.IsInf(v.Rate, 0) && !math.IsInf(v.Demand, 0) && v.Waiting >= 0
}

// End records that the director publishes nothing of a service any more.
func (o *Observer) End(service string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if w := o.services[service]; w != nil {
		w.view, w.heardAt = ServiceView{}, time.Time{}
	}
}

// Forget drops services that no longer exist.
func (o *Observer) Forget(exists func(service string) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name := range o.services {
		if !exists(name) {
			delete(o.services, name)
		}
	}
}

// FreshServices reports whether the director has published something of any service
// lately.
func (o *Observer) FreshServices() bool {
	now := o.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, w := range o.services {
		if !w.heardAt.IsZero() && now.Sub(w.heardAt) < staleAfter {
			return true
		}
	}
	return false
}

// Share returns what this VM may use of a service.
func (o *Observer) Share(service string) Share {
	if o == nil {
		return Share{}
	}
	now := o.now()
	o.mu.Lock()
	defer o.mu.Unlock()
	w := o.services[service]
	if w == nil || !w.view.Short || now.Sub(w.heardAt) > shareRetention || w.view.Rate <= 0 {
		return Share{}
	}
	if now.Sub(w.heardAt) <= staleAfter {
		return shareOf(w.view, w.demandNow(now), now.Sub(w.heardAt))
	}
	if w.easy >= calmRequests && now.Sub(w.signAt) > easyTime {
		return Share{}
	}
	// The view's demand does not follow that of this VM any more.
	return shareOf(w.view, w.heardDemand, now.Sub(w.heardAt))
}

// shareOf returns the share of a VM with a demand in a view of an age.
func shareOf(v ServiceView, own float64, age time.Duration) Share {
	vms := float64(max(1, v.VMs))
	part := max(own/max(v.Demand, own, 1), floorShare/vms)
	rate := v.Rate * min(1, part)
	if age > staleAfter {
		rate *= math.Exp2(-float64(age-staleAfter) / float64(shareHalfLife))
	}
	wait := time.Duration(min(maxWait.Seconds(), float64(v.Waiting)/v.Rate) * float64(time.Second))
	return Share{Short: true, Rate: rate, Wait: wait}
}
