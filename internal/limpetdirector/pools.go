package limpetdirector

import (
	"time"

	"limpetmount.org/internal/limpetbatch"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetweights"
)

// A poolKey identifies the engines of a service that serve a model.
type poolKey struct{ model, service string }

// pools returns what the planner needs to know about the engines of each service and
// trained model.
func (d *Director) pools(engines []limpetweights.Engine, now time.Time) []limpetweights.Pool {
	interval := d.weightTiming.interval(d.view.PublishedVersions, now)
	parallel := limpetweights.MaxParallel(limpetweights.NonSpot(engines))
	work := map[string]map[string]limpetbatch.Workload{}
	tokens := map[string]int{}
	for model := range d.view.PublishedVersions {
		work[model] = d.workloads(model, now)
		for _, w := range work[model] {
			tokens[model] += w.Tokens
		}
	}
	shares := limpetweights.UpdateShares(tokens)
	var pools []limpetweights.Pool
	kept := map[poolKey]int{}
	for model, version := range d.view.PublishedVersions {
		counts := countServing(engines, model)
		parts := partsOf(work[model], counts)
		for service, count := range counts {
			w, used := work[model][service]
			p := limpetweights.Pool{
				Model: model, Service: service, NewestVersion: version, Unused: !used && len(work[model]) > 0,
				MinVersion: d.scheduler.RequiredVersion(model, service), Waiting: d.scheduler.WaitingItems(model, service),
				Loads: d.orderCounts[modelVersion{model, version}], FreeLoads: len(engines) / max(len(d.view.PublishedVersions), 1),
			}
			if !p.Unused {
				p.MaxEngines = min(limpetweights.SufficientEngines(w.Items, d.scheduler.MeanSlots(service)),
					limpetweights.EnginesPerModel(count, parallel, shares[model]*partOf(parts, service, len(counts)), interval, d.weightTiming.updateTime()))
			}
			kept[poolKey{model: model, service: service}] = d.logKept(p, count, w)
			pools = append(pools, p)
		}
	}
	d.keptEngines = kept
	return pools
}

// workloads returns what the jobs of a model need, by service. While no jobs are
// known, as after a takeover between two steps, these are the services to which
// routes of batch jobs lead, with unknown work.
func (d *Director) workloads(model string, now time.Time) map[string]limpetbatch.Workload {
	if work := d.scheduler.Workloads(model, d.view, now); len(work) > 0 {
		return work
	}
	work := map[string]limpetbatch.Workload{}
	if d.view.Config == nil {
		return work
	}
	for i := range d.view.Config.Routes {
		if r := &d.view.Config.Routes[i]; r.Kind == limpetsite.Rollout {
			for service := range r.Shares() {
				work[service] = limpetbatch.Workload{}
			}
		}
	}
	return work
}

// countServing returns the number of engines that serve a model, by service.
func countServing(engines []limpetweights.Engine, model string) map[string]int {
	counts := map[string]int{}
	for _, e := range engines {
		if _, serves := e.Versions[model]; serves {
			counts[e.Service]++
		}
	}
	return counts
}

// partsOf returns the part of a model's items that each service with engines runs, by
// their work. It is empty if no such service runs any.
func partsOf(work map[string]limpetbatch.Workload, engines map[string]int) map[string]float64 {
	items, services := 0, 0
	for service, w := range work {
		if engines[service] > 0 {
			items += w.Items
			services++
		}
	}
	parts := map[string]float64{}
	for service, w := range work {
		switch {
		case engines[service] == 0:
		case items == 0:
			parts[service] = 1 / float64(services)
		default:
			parts[service] = float64(w.Items) / float64(items)
		}
	}
	return parts
}

// partOf returns the part of a service, which is an equal one if no service runs items
// of the model.
func partOf(parts map[string]float64, service string, services int) float64 {
	if len(parts) == 0 {
		return 1 / float64(services)
	}
	return parts[service]
}

// logKept returns how many engines of a pool are kept up to date. It logs the number if
// the last plan had another one.
func (d *Director) logKept(p limpetweights.Pool, engines int, w limpetbatch.Workload) int {
	kept := engines
	if p.MaxEngines > 0 {
		kept = min(p.MaxEngines, engines)
	}
	if p.Unused {
		kept = 0
	}
	if former, known := d.keptEngines[poolKey{model: p.Model, service: p.Service}]; known && former == kept {
		return kept
	}
	d.Log.Emit(limpetlog.WeightsPlanned, limpetlog.Value("model", p.Model), limpetlog.Value("service", p.Service),
		limpetlog.Value("kept", kept), limpetlog.Value("engines", engines), limpetlog.Value("items", w.Items), limpetlog.Value("version", p.NewestVersion))
	return kept
}
