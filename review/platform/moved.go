package main

import "time"

// A route moves to another service while a batch job is open, and the engine of the
// service that it led to is emptied and taken away.
func init() {
	cases["moved"] = func(d *deployment) bool {
		events := func(string) int { return 20 }
		former := d.addEngine("former", "perth-north", 8, 40*time.Millisecond, events)
		for _, zone := range []string{"perth-north", "perth-south", "bunbury", "perth-north", "perth-south", "bunbury", "perth-north"} {
			d.addEngine("present", zone, 8, 40*time.Millisecond, events)
		}
		services := []string{"former", "present"}
		d.configure(1, services, []map[string]any{jobsRoute(map[string]any{"service": "former"})})
		d.startSmall()
		d.waitReady()
		time.Sleep(6 * time.Second)
		j := newJob("7c41e09b", jobsPrefix, 0, 1, 18, 4, 400)
		d.submit(j)
		if d.trouble {
			d.awaitBegun(j, 4)
			d.configure(4, services, []map[string]any{jobsRoute(map[string]any{"service": "present"})})
			time.Sleep(2 * time.Second)
			former.drain(2300 * time.Millisecond)
		}
		return d.judgeStep(j, "present")
	}
}
