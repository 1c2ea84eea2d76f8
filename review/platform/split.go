package main

import "time"

// A route is split over two services, and the only engine of the first one is lost for
// good.
func init() {
	cases["split"] = func(d *deployment) bool {
		events := func(string) int { return 20 }
		canary := d.addEngine("canary", "perth-north", 8, 40*time.Millisecond, events)
		for _, zone := range []string{"perth-north", "perth-south", "bunbury", "perth-north", "perth-south", "bunbury", "perth-north"} {
			d.addEngine("stable", zone, 8, 40*time.Millisecond, events)
		}
		d.configure(1, []string{"canary", "stable"}, []map[string]any{jobsRoute(map[string]any{
			"split": []map[string]any{{"service": "canary", "weight": 10}, {"service": "stable", "weight": 90}},
		})})
		d.startSmall()
		d.waitReady()
		time.Sleep(6 * time.Second)
		j := newJob("7c41e09b", jobsPrefix, 0, 1, 10, 4, 400)
		d.submit(j)
		if d.trouble {
			d.awaitBegun(j, 4)
			time.Sleep(300 * time.Millisecond)
			canary.crash()
		}
		return d.judgeStep(j, "canary", "stable")
	}
}
