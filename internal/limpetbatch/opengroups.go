package limpetbatch

import (
	"slices"
	"time"
)

// open reports whether a group has items that may run.
func (g *group) open() bool { return g.unsettled > 0 && !g.job.ended && !g.job.Rules.Withdrawn }

// listGroups adds the groups of jobs to Scheduler.open that are not in it.
func (s *Scheduler) listGroups() {
	all := s.open == nil
	if all {
		s.open = map[string][]*group{}
	}
	for _, j := range s.jobsByArrival {
		if j.listed && !all {
			continue
		}
		j.listed = true
		for _, e := range j.entries {
			if g := e.group; g.entries[0] == e && g.open() {
				g.ordered = false
				s.open[j.Model] = append(s.open[j.Model], g)
			}
		}
	}
}

// updateOpen brings Scheduler.open up to date: the groups with items that may run, by
// model and in the order of compareGroups.
func (s *Scheduler) updateOpen() {
	s.listGroups()
	for model, groups := range s.open {
		if groups = s.orderGroups(groups); len(groups) > 0 {
			s.open[model] = groups
		} else {
			delete(s.open, model)
		}
	}
}

// orderGroups drops groups that are not open, and orders the others. The estimate and
// the place of a group beside others change only once it has begun, so that the plan
// sorts just those that have, and merges the others, which are in order already.
func (s *Scheduler) orderGroups(groups []*group) []*group {
	var changed []*group
	same := groups[:0]
	for _, g := range groups {
		switch {
		case !g.open():
		case g.begun || !g.ordered:
			g.estimate()
			s.estimated += uint64(len(g.entries))
			g.ordered = true
			changed = append(changed, g)
		default:
			same = append(same, g)
		}
	}
	slices.SortFunc(changed, compareGroups)
	merged := make([]*group, 0, len(same)+len(changed))
	for _, g := range same {
		for len(changed) > 0 && compareGroups(changed[0], g) < 0 {
			merged, changed = append(merged, changed[0]), changed[1:]
		}
		merged = append(merged, g)
	}
	return append(merged, changed...)
}

// estimate updates what planGroups needs to know of a group.
func (g *group) estimate() {
	g.begun, g.work, g.longest = false, 0, 0
	for _, e := range g.entries {
		g.begun = g.begun || e.phase != waiting || e.text.lastEvent > 0
		if e.phase <= running {
			g.work += e.work()
			g.longest = max(g.longest, e.expectedEvents())
		}
	}
}

// timeJobs updates what planGroups needs to know of jobs.
func (s *Scheduler) timeJobs(now time.Time) {
	for _, j := range s.jobsByArrival {
		j.left, j.interval = j.Deadline().Sub(now), s.shortestInterval(j)
	}
}
