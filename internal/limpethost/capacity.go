package limpethost

import (
	"context"
	"encoding/json"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"limpetmount.org/internal/limpetcapacity"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetrelay"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpettask"
)

// Prefixes of what the director publishes of capacity in the mirror. It is not in
// the store.
const (
	capacityPrefix        = "capacity/"
	capacityServicePrefix = capacityPrefix + "service/"
	capacityServerPrefix  = capacityPrefix + "server/"
)

const (
	// capacityTick is how often a VM looks whether it has something to report.
	capacityTick = 100 * time.Millisecond
	// capacityInterval is the time between two publications of the director.
	capacityInterval = 500 * time.Millisecond
	// maxLearnedLogs bounds the servers of one publication that are logged, and
	// learnedChange is the relative change of a limit that is.
	maxLearnedLogs = 4
	learnedChange  = 0.25
)

// A capacity holds the capacity account of the director, and what this VM observes
// for it.
type capacity struct {
	observer *limpetcapacity.Observer
	reports  *prometheus.CounterVec
	short    prometheus.Gauge

	mu sync.Mutex
	// account is that of the director, made from the view of the deployment of view.
	account *limpetcapacity.Account
	view    *limpetsite.Snapshot
	// hadLimits is set if the account was told of rates that servers named.
	hadLimits bool
	// revision counts the changes in the mirror, and published holds its keys.
	revision  uint64
	published map[string]bool
	// facts holds the published views of servers that this VM uses.
	facts map[string]limpetcapacity.ServerView
	// shortServices and learned hold what was logged last.
	shortServices map[string]bool
	learned       map[string]float64
	publishedAt   time.Time
}

func newCapacity(vm string, now func() time.Time, metrics prometheus.Registerer) *capacity {
	c := &capacity{
		observer: limpetcapacity.NewObserver(vm, now), account: limpetcapacity.NewAccount(), published: map[string]bool{},
		shortServices: map[string]bool{}, learned: map[string]float64{},
		reports: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "limpet_capacity_reports_total", Help: "Reports of this VM to the director of what it saw of servers while a service is short of capacity, by outcome.",
		}, []string{"outcome"}),
		short: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "limpet_short_services", Help: "Services that this VM, as the director, found to be short of capacity.",
		}),
	}
	metrics.MustRegister(c.reports, c.short)
	return c
}

// runCapacity reports what this VM observes, and publishes the account while it is
// the director.
func (h *Host) runCapacity(ctx context.Context) error {
	for limpettask.Sleep(ctx, capacityTick) {
		h.capacity.observer.Tick()
		if r, ok := h.capacity.observer.Take(); ok {
			h.sendObservations(ctx, r)
		}
		if h.director.IsDirector() {
			h.publishCapacity()
		} else {
			h.capacity.withdraw(h.mirror)
		}
		if !h.capacity.observer.FreshServices() {
			h.capacity.setFacts(h, nil)
		}
	}
	return nil
}

// sendObservations reports to the director, which may be this VM. A report that does
// not reach it is dropped: the next one is more recent.
func (h *Host) sendObservations(ctx context.Context, r limpetcapacity.Report) {
	sent := h.acceptObservations(r)
	if client := h.relay.Load(); !sent && client != nil {
		sent = client.Observe(ctx, r) == nil
	}
	outcome := "sent"
	if !sent {
		outcome = "dropped"
	}
	h.capacity.reports.WithLabelValues(outcome).Inc()
}

// acceptObservations takes the report of a VM into the account.
func (h *Host) acceptObservations(r limpetcapacity.Report) (directing bool) {
	if !h.director.IsDirector() {
		return false
	}
	c := h.capacity
	c.mu.Lock()
	defer c.mu.Unlock()
	if h.View() != c.view {
		c.setServers(h)
	}
	c.account.Record(r, h.deps.Now())
	return true
}

// setServers tells the account of the servers of the deployment if they, or the rates
// that they name, may have changed. The caller holds the lock.
func (c *capacity) setServers(h *Host) {
	view := h.View()
	limited := h.limits.Any()
	if view == c.view && !limited && !c.hadLimits {
		return
	}
	c.view, c.hadLimits = view, limited
	known := make([]limpetcapacity.Known, 0, len(view.AllServers()))
	for _, s := range view.AllServers() {
		k := limpetcapacity.Known{Server: s.ID, Service: s.Service, Incarnation: s.Incarnation, Slots: s.Slots, Draining: s.Draining}
		if limit, limited := h.limits.Get(s.ID); limited {
			k.Rate = limit.Rate
		}
		known = append(known, k)
	}
	c.account.SetServers(known)
}

// publishCapacity decides and publishes, as the director.
func (h *Host) publishCapacity() {
	c, now := h.capacity, h.deps.Now()
	c.mu.Lock()
	if now.Sub(c.publishedAt) < capacityInterval || c.account.Idle(now) {
		c.mu.Unlock()
		return
	}
	c.publishedAt = now
	c.setServers(h)
	p := c.account.Publish(now)
	values := c.values(p)
	c.report(h.Log, p)
	c.mu.Unlock()
	if len(values) > 0 {
		h.mirror.Apply(limpetrelay.Changes(capacityPrefix, values))
	}
	h.applyPublication(p)
}

type capacityServiceDocument struct {
	Short   bool    `json:"short,omitempty"`
	Rate    float64 `json:"rate"`
	Demand  float64 `json:"demand"`
	Waiting int     `json:"waiting,omitempty"`
	VMs     int     `json:"vms"`
}

type capacityServerDocument struct {
	Limit     float64 `json:"limit"`
	InUse     float64 `json:"inUse"`
	LatencyUs int64   `json:"latencyUs"`
	AgeMs     int64   `json:"ageMs"`
}

// values returns the changes of the mirror for a publication. The caller holds the
// lock.
func (c *capacity) values(p limpetcapacity.Publication) []limpetrelay.Value {
	var values []limpetrelay.Value
	for _, s := range p.Services {
		values = append(values, c.value(capacityServicePrefix+s.Service, s.Service, capacityServiceDocument{Short: s.Short, Rate: s.Rate, Demand: s.Demand, Waiting: s.Waiting, VMs: s.VMs}))
	}
	for _, s := range p.Servers {
		topic := ""
		if server := c.view.Server(s.Server); server != nil {
			topic = server.Service
		}
		values = append(values, c.value(capacityServerPrefix+s.Server, topic, capacityServerDocument{
			Limit: s.Limit, InUse: s.InUse, LatencyUs: s.Latency.Microseconds(), AgeMs: s.Age.Milliseconds(),
		}))
	}
	for _, name := range p.Ended {
		values = append(values, c.value(capacityServicePrefix+name, "", nil))
	}
	for _, id := range p.Dropped {
		values = append(values, c.value(capacityServerPrefix+id, "", nil))
	}
	return values
}

// value returns a value of the mirror, or the deletion of one if there is no
// document. The caller holds the lock.
func (c *capacity) value(key, topic string, document any) limpetrelay.Value {
	c.revision++
	v := limpetrelay.Value{Topic: topic, Value: limpetstore.Value{Key: key, Revision: c.revision, Deleted: document == nil}}
	if document == nil {
		delete(c.published, key)
		return v
	}
	c.published[key] = true
	// Encoding cannot fail for these types.
	v.Data, _ = json.Marshal(document)
	return v
}

// report logs the beginning and the end of shortage, and limits that were learned.
// The caller holds the lock.
func (c *capacity) report(log *limpetlog.Logger, p limpetcapacity.Publication) {
	short := map[string]bool{}
	for _, s := range p.Services {
		if short[s.Service] = s.Short; s.Short && !c.shortServices[s.Service] {
			log.Emit(limpetlog.CapacityShort, limpetlog.Value("service", s.Service), limpetlog.Value("short", true),
				limpetlog.Value("rate", s.Rate), limpetlog.Value("demand", s.Demand), limpetlog.Value("vms", s.VMs))
		}
	}
	maps.DeleteFunc(short, func(_ string, s bool) bool { return !s })
	for name := range c.shortServices {
		if !short[name] {
			log.Emit(limpetlog.CapacityShort, limpetlog.Value("service", name), limpetlog.Value("short", false))
		}
	}
	c.shortServices = short
	c.short.Set(float64(len(short)))
	logged := 0
	for _, s := range p.Servers {
		before, known := c.learned[s.Server]
		if server := c.view.Server(s.Server); !known && server != nil {
			before = float64(server.Slots)
		}
		if before <= 0 || max(s.Limit-before, before-s.Limit) < learnedChange*before || logged >= maxLearnedLogs {
			continue
		}
		logged++
		c.learned[s.Server] = s.Limit
		log.Emit(limpetlog.CapacityLearned, limpetlog.Server(s.Server), limpetlog.Value("limit", s.Limit), limpetlog.Value("before", before), limpetlog.Value("ms", s.Latency.Milliseconds()))
	}
	for _, id := range p.Dropped {
		delete(c.learned, id)
	}
}

// withdraw drops the account and what it published, when this VM is no longer the
// director.
func (c *capacity) withdraw(mirror *limpetrelay.Mirror) {
	c.mu.Lock()
	if c.view == nil {
		c.mu.Unlock()
		return
	}
	var values []limpetrelay.Value
	for key := range maps.Clone(c.published) {
		values = append(values, c.value(key, "", nil))
	}
	c.account, c.view = limpetcapacity.NewAccount(), nil
	clear(c.shortServices)
	clear(c.learned)
	c.short.Set(0)
	c.mu.Unlock()
	if len(values) > 0 {
		mirror.Apply(limpetrelay.Changes(capacityPrefix, values))
	}
}

// applyPublication applies what this VM published itself.
func (h *Host) applyPublication(p limpetcapacity.Publication) {
	for _, s := range p.Services {
		h.capacity.observer.Apply(s)
	}
	for _, name := range p.Ended {
		h.capacity.observer.End(name)
	}
	if len(p.Servers)+len(p.Dropped) > 0 {
		h.capacity.changeFacts(h, p.Servers, p.Dropped)
	}
}

// changeFacts changes the published views of servers that this VM uses.
func (c *capacity) changeFacts(h *Host, views []limpetcapacity.ServerView, dropped []string) {
	c.mu.Lock()
	facts := make(map[string]limpetcapacity.ServerView, len(c.facts)+len(views))
	maps.Copy(facts, c.facts)
	c.mu.Unlock()
	for _, v := range views {
		facts[v.Server] = v
	}
	for _, id := range dropped {
		delete(facts, id)
	}
	c.setFacts(h, facts)
}

func (c *capacity) setFacts(h *Host, facts map[string]limpetcapacity.ServerView) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.facts) == 0 && len(facts) == 0 {
		return
	}
	c.facts = facts
	h.Forwarder.Tracker.SetFacts(facts)
}

// newCapacityFeed returns the feed of published capacity, which VMs get from the
// director only. A listing without a service does not end its share: a new director
// has published nothing yet.
func (h *Host) newCapacityFeed() feed {
	apply := func(values []limpetstore.Value, complete bool) {
		var views []limpetcapacity.ServerView
		var dropped []string
		for _, v := range values {
			if name, ok := strings.CutPrefix(v.Key, capacityServicePrefix); ok {
				h.applyCapacityService(name, v)
			}
			id, ok := strings.CutPrefix(v.Key, capacityServerPrefix)
			var d capacityServerDocument
			switch {
			case !ok:
			case v.Deleted:
				dropped = append(dropped, id)
			case h.decodeCapacity(v, &d):
				views = append(views, limpetcapacity.ServerView{
					Server: id, Limit: d.Limit, InUse: d.InUse, Latency: time.Duration(d.LatencyUs) * time.Microsecond, Age: time.Duration(d.AgeMs) * time.Millisecond,
				})
			}
		}
		if complete {
			h.capacity.setFacts(h, nil)
		}
		if len(views)+len(dropped) > 0 {
			h.capacity.changeFacts(h, views, dropped)
		}
	}
	return feed{
		prefix: capacityPrefix, relayedOnly: true,
		applyListing: func(l limpetstore.Listing) []limpetsite.Record { apply(l.Values, true); return nil },
		applyChanges: func(values []limpetstore.Value) []limpetsite.Record { apply(values, false); return nil },
	}
}

func (h *Host) applyCapacityService(name string, v limpetstore.Value) {
	var d capacityServiceDocument
	switch {
	case v.Deleted:
		h.capacity.observer.End(name)
	case h.decodeCapacity(v, &d):
		h.capacity.observer.Apply(limpetcapacity.ServiceView{Service: name, Short: d.Short, Rate: d.Rate, Demand: d.Demand, Waiting: d.Waiting, VMs: d.VMs})
	}
}

func (h *Host) decodeCapacity(v limpetstore.Value, document any) bool {
	if err := json.Unmarshal(v.Data, document); err != nil {
		h.Log.Emit(limpetlog.ValueIgnored, limpetlog.Value("key", v.Key), limpetlog.Error(err))
		return false
	}
	return true
}

// forgetServices drops what this VM knows of services that no longer exist.
func (c *capacity) forgetServices(view *limpetsite.Snapshot) {
	c.observer.Forget(func(service string) bool {
		return view.Service(service) != nil || len(view.Servers(service)) > 0
	})
}

// Share returns what this VM may use of a service that is short of capacity.
func (h *Host) Share(service string) limpetcapacity.Share { return h.capacity.observer.Share(service) }
