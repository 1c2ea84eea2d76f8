package main

import (
	"fmt"
	"time"
)

// nameVersion names a version of the model's weights, as its trainer does.
func (d *deployment) nameVersion(version int) {
	d.mu.Lock()
	d.namedAt = time.Now()
	d.mu.Unlock()
	d.store.put("op/version/"+model, map[string]any{"model": model, "version": version})
	d.note("the store acknowledges version %d of the weights", version)
}

// Two services serve the trained model. The engine of the trainer's service that is kept
// up to date is lost for good; the service has four more.
func init() {
	cases["weights"] = func(d *deployment) bool {
		events := func(string) int { return 30 }
		zones := []string{"perth-north", "perth-south", "bunbury"}
		first := d.addEngine("rollouts", zones[0], 8, 40*time.Millisecond, events)
		for n := range 8 {
			d.addEngine("live", zones[n%3], 8, 40*time.Millisecond, events)
		}
		for n := range 4 {
			d.addEngine("rollouts", zones[n%3], 8, 40*time.Millisecond, events)
		}
		chat := map[string]any{"name": "r-chat", "host": host, "pathPrefix": "/chat/", "kind": "streaming", "timeoutMs": 9000, "goalMs": 400, "priority": 0, "maxAttempts": 2, "public": false, "service": "live"}
		d.configure(1, []string{"rollouts", "live"}, []map[string]any{jobsRoute(map[string]any{"service": "rollouts"}), chat})
		d.startSmall()
		d.waitReady()
		time.Sleep(6 * time.Second)
		const last = 5
		for version := 2; version <= last; version++ {
			d.nameVersion(version)
			j := newJob(fmt.Sprintf("step%d", version), jobsPrefix, version, version-1, 3, 4, 400)
			d.submit(j)
			if version == last {
				if d.trouble {
					d.awaitBegun(j, 4)
					time.Sleep(300 * time.Millisecond)
					first.crash()
				}
				return d.judgeStep(j, "rollouts")
			}
			d.follow(j, j.accepted.Add(trainTime))
			d.note("step %d: %d of %d items are listed", version, len(j.results), len(j.ids))
			d.end(j)
			time.Sleep(time.Until(j.accepted.Add(4 * time.Second)))
		}
		return false
	}
}
