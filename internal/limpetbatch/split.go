package limpetbatch

import (
	"cmp"
	"maps"
	"slices"
)

// A split divides the items of a route among services by their shares. It is a smooth
// weighted round-robin over all jobs of the route: each item that begins gives every
// service credit for its share, and takes one from the service that runs it. An item
// whose service has no engine free takes another one of the route, so that items do
// not wait while engines that may run them are idle.
type split struct {
	route  string
	shares map[string]float64
	credit map[string]float64
	// services are those with a share, in the order of their names.
	services []string
}

const (
	// maxCredit bounds the credit of a service, in items: one that had no engine free
	// for a while does not get all items afterwards.
	maxCredit = 8
	// maxGroupDebt is how far, in items, a service may be ahead of its share for the
	// items of a group to stay together, where their prompt is read once.
	maxGroupDebt = 4
)

// splitOf returns the split of a route, with the credits that it has if its shares are
// still the same.
func (s *Scheduler) splitOf(r Rules) *split {
	if known := s.splits[r.Route]; known != nil && maps.Equal(known.shares, r.Shares) {
		return known
	}
	sp := &split{route: r.Route, shares: r.Shares, credit: map[string]float64{}, services: slices.Sorted(maps.Keys(r.Shares))}
	s.splits[r.Route] = sp
	return sp
}

// forgetSplits drops the splits of routes by which no job has come lately.
func (s *Scheduler) forgetSplits() {
	used := map[string]bool{}
	for key := range s.workloads {
		used[key.route] = true
	}
	maps.DeleteFunc(s.splits, func(route string, _ *split) bool { return !used[route] })
}

// began accounts for an item that begins at a service.
func (sp *split) began(service string) {
	for name, share := range sp.shares {
		credit := sp.credit[name] + share
		if name == service {
			credit--
		}
		sp.credit[name] = min(max(credit, -maxCredit), maxCredit)
	}
}

// order returns the services for an item, the first choice first. Items of a group go
// where the last one of it began.
func (sp *split) order(e *Entry) []string {
	if len(sp.services) == 1 {
		return sp.services
	}
	if e.text.lastEvent > 0 && e.text.software != "" {
		// No other software can go on with the text.
		return []string{e.text.software.Service()}
	}
	rank := func(service string) float64 {
		credit := sp.credit[service] + sp.shares[service]
		if service == e.group.service && credit > -maxGroupDebt {
			credit += 2 * maxCredit
		}
		return credit
	}
	services := slices.Clone(sp.services)
	slices.SortStableFunc(services, func(a, b string) int { return cmp.Compare(rank(b), rank(a)) })
	return services
}
