package limpetbatch

import (
	"maps"
	"time"

	"limpetmount.org/internal/limpetsite"
)

// Rules holds the settings of a job that come from its route. They change with the
// configuration while the job is open; see SetRules.
type Rules struct {
	// Route is the name of the route.
	Route string
	// Shares holds the services whose engines run the items, with the part of the
	// items that each of them is to get. The parts are positive and add up to 1.
	Shares map[string]float64
	// RunTarget is when all results are due, and ItemTTL when an item may be
	// given up. Both count from the arrival of the job.
	RunTarget, ItemTTL time.Duration
	// MaxAttempts is the number of failures after which an item is errored.
	MaxAttempts int
	// OnPolicy requires that each text has exactly one weight version.
	OnPolicy bool
	// Priority is the rank of the client account or the route; 0 is the highest.
	Priority int
	// Homes says in which regions the items may run.
	Homes limpetsite.Homes
	// Withdrawn is set if the configuration has no route for the job any more. No
	// item begins to run then.
	Withdrawn bool
}

// withdrawalGrace is how long a job may be without a route before its items are
// given up: operators who replace a route may remove it first.
const withdrawalGrace = 2 * time.Second

// Equal reports whether two sets of rules are the same.
func (r Rules) Equal(other Rules) bool {
	return maps.Equal(r.Shares, other.Shares) && r.Route == other.Route && r.RunTarget == other.RunTarget && r.ItemTTL == other.ItemTTL &&
		r.MaxAttempts == other.MaxAttempts && r.OnPolicy == other.OnPolicy && r.Priority == other.Priority && r.Withdrawn == other.Withdrawn && r.Homes == other.Homes
}

// runsAt reports whether engines of a service may run the job's items now. All that
// concerns which engines are there for a job goes by it.
func (j *Job) runsAt(service string) bool {
	return !j.Rules.Withdrawn && j.Rules.Shares[service] > 0
}

// SetRules gives an open job other rules. Runs under the former ones go on, wherever
// they are. It returns those whose texts the new rules rule out, which the caller
// must cancel.
func (s *Scheduler) SetRules(j *Job, rules Rules, now time.Time) []*Run {
	if rules.Withdrawn && !j.Rules.Withdrawn {
		j.withdrawnAt = now
	}
	former := j.Rules
	j.Rules, j.split = rules, s.splitOf(rules)
	s.queueStale, s.open = true, nil
	if rules.Route != former.Route {
		s.recordWorkload(j)
	}
	if former.OnPolicy || !rules.OnPolicy {
		return nil
	}
	var detached []*Run
	for _, e := range j.entries {
		if e.phase > unscored || len(e.text.versions) < 2 {
			continue
		}
		if e.run != nil {
			detached = append(detached, e.run)
			s.detach(e.run)
		}
		e.dropText()
		e.phase = waiting
	}
	return detached
}

// WithdrawItems settles the items of jobs without a route as errored, but for those
// that run or have their text. It returns them.
func (s *Scheduler) WithdrawItems(now time.Time) []*Entry {
	var withdrawn []*Entry
	for _, j := range s.jobsByArrival {
		if !j.Rules.Withdrawn || now.Sub(j.withdrawnAt) < withdrawalGrace {
			continue
		}
		for _, e := range j.entries {
			if e.phase == waiting {
				s.settle(e, errored)
				withdrawn = append(withdrawn, e)
			}
		}
	}
	return withdrawn
}
