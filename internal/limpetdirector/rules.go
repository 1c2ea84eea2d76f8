package limpetdirector

import (
	"time"

	"limpetmount.org/internal/limpetbatch"
	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetsite"
)

// jobRules returns the rules of the route that a job belongs to. It returns false if
// there is no such route.
func jobRules(view *limpetsite.Snapshot, j *limpetjob.Job) (limpetbatch.Rules, bool) {
	route := view.Route(j.Host, j.Path)
	if route == nil || len(route.Targets) == 0 {
		return limpetbatch.Rules{}, false
	}
	return limpetbatch.Rules{
		Route: route.Name, Shares: route.Shares(), RunTarget: route.RunTarget, ItemTTL: route.ItemTTL,
		MaxAttempts: route.Attempts, OnPolicy: route.OnPolicy, Priority: view.Priority(j.Account, route), Homes: limpetsite.HomesOf(route, view.AccountNamed(j.Account)),
	}, true
}

// loadedRules returns the rules of a job that is being loaded. It returns false if the
// configuration of this VM may be older than the one under which the job was accepted.
func loadedRules(view *limpetsite.Snapshot, j *limpetjob.Job, accepted uint64) (limpetbatch.Rules, bool) {
	rules, found := jobRules(view, j)
	if !found && view.Revision > accepted {
		return limpetbatch.Rules{Withdrawn: true}, true
	}
	return rules, found
}

// renewRules gives the open jobs the rules of the configuration in force: a route may
// move to other services, change or be removed while jobs are open. A job whose route
// was removed keeps its other rules.
func (d *Director) renewRules(now time.Time) {
	if d.view.Revision == d.rulesRevision || !d.view.Ready() {
		return
	}
	d.rulesRevision = d.view.Revision
	for id, j := range d.scheduler.Jobs() {
		rules, found := jobRules(d.view, j.Job)
		if !found {
			rules = j.Rules
			rules.Withdrawn = true
		} else if d.view.AccountNamed(j.Account) == nil {
			// The homes of an account hold for its open jobs after its removal.
			rules.Homes = j.Rules.Homes
		}
		if rules.Equal(j.Rules) {
			continue
		}
		former := j.Rules
		d.cancelRuns(d.scheduler.SetRules(j, rules, now), "rules of the route changed")
		d.Log.Emit(limpetlog.JobRulesChanged, limpetlog.Job(id), limpetlog.Value("revision", d.view.Revision),
			limpetlog.Value("from", former.Shares), limpetlog.Value("to", rules.Shares), limpetlog.Value("withdrawn", rules.Withdrawn),
			limpetlog.Value("engines", d.scheduler.UsableEngines(j)), limpetlog.Value("age_ms", now.Sub(j.Arrived).Milliseconds()))
	}
}
