package limpetdirector_test

import (
	"time"

	"limpetmount.org/internal/limpetsite"
)

// routes returns the routes of the configuration.
func (env *testEnv) routes() []limpetsite.Route {
	routes := []limpetsite.Route{{
		Name: "score", Host: "h", Prefix: "/score/", Kind: limpetsite.Idempotent, Attempts: 6, Public: true, Targets: []limpetsite.Target{{Service: scorerService, Weight: 1}},
	}}
	if len(env.targets) > 0 {
		routes = append(routes, limpetsite.Route{
			Name: "rollouts", Host: "h", Prefix: "/p/", Kind: limpetsite.Rollout, Attempts: 3, ItemTTL: 40 * time.Second, RunTarget: 7500 * time.Millisecond,
			Priority: env.priority, Targets: env.targets,
		})
	}
	return routes
}

// route makes the route of batch jobs lead to other services, by a configuration
// that is newer than all jobs accepted so far.
func (env *testEnv) route(targets ...limpetsite.Target) {
	env.mu.Lock()
	env.targets = targets
	env.configRevision += 1000
	newest := env.newest
	env.mu.Unlock()
	env.publish(newest)
}

// moveEngines makes engines those of a service.
func (env *testEnv) moveEngines(service string, ids ...string) {
	env.mu.Lock()
	for _, id := range ids {
		env.services[id] = service
	}
	newest := env.newest
	env.mu.Unlock()
	env.publish(newest)
}

// addEngines adds engines of a service, which have the first version.
func (env *testEnv) addEngines(service string, ids ...string) {
	env.mu.Lock()
	for _, id := range ids {
		env.version[id] = 1
	}
	env.mu.Unlock()
	env.moveEngines(service, ids...)
}

// breakStreams breaks off the streams of a service, now and later.
func (env *testEnv) breakStreams(service string) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.broken[service] = true
}
