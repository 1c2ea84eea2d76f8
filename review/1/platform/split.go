package main

import "time"

// A route is split: a tenth goes to a new service with one engine.
func init() {
	cases["split"] = func(d *deployment) bool {
		events := func(string) int { return 20 }
		zones := []string{"perth-north", "perth-south", "bunbury"}
		d.addEngine("canary", zones[0], 8, 110*time.Millisecond, events)
		for n := range 7 {
			d.addEngine("stable", zones[n%3], 8, 110*time.Millisecond, events)
		}
		services := []string{"canary", "stable"}
		d.configure(1, services, []map[string]any{jobsRoute(map[string]any{"service": "stable"})})
		d.startSmall()
		d.waitReady()
		time.Sleep(6 * time.Second)
		if d.trouble {
			d.configure(3, services, []map[string]any{jobsRoute(map[string]any{
				"split": []map[string]any{{"service": "canary", "weight": 10}, {"service": "stable", "weight": 90}},
			})})
		}
		time.Sleep(4 * time.Second)
		j := newJob("7c41e09b", jobsPrefix, 0, 1, 18, 4, 400)
		d.submit(j)
		return d.judgeStep(j, "canary", "stable")
	}
}
