package main

import (
	"fmt"
	"time"
)

// A configuration adds a second route for batch jobs, which leads to a service with
// faster engines.
func init() {
	cases["speeds"] = func(d *deployment) bool {
		events := func(string) int { return 25 }
		zones := []string{"perth-north", "perth-south", "bunbury"}
		for n := range 3 {
			d.addEngine("standard", zones[n%3], 8, 110*time.Millisecond, events)
		}
		for n := range 6 {
			d.addEngine("fast", zones[n%3], 8, 30*time.Millisecond, events)
		}
		standard := jobsRoute(map[string]any{"service": "standard"})
		fast := jobsRoute(map[string]any{"service": "fast", "name": "r-fast", "pathPrefix": "/fast/"})
		services := []string{"standard", "fast"}
		d.configure(1, services, []map[string]any{standard})
		d.startSmall()
		d.waitReady()
		time.Sleep(6 * time.Second)
		if d.trouble {
			d.configure(3, services, []map[string]any{standard, fast})
			time.Sleep(2500 * time.Millisecond)
			go func() {
				for n := 0; ; n++ {
					j := newJob(fmt.Sprintf("fast%d", n), "/fast/", n, 1, 3, 4, 400)
					d.submit(j)
					d.follow(j, j.accepted.Add(trainTime))
					d.end(j)
					time.Sleep(500 * time.Millisecond)
				}
			}()
		}
		for n := range 2 {
			j := newJob(fmt.Sprintf("step%d", n), jobsPrefix, n, 1, 15, 4, 400)
			d.submit(j)
			if d.judgeStep(j, "standard") {
				return true
			}
			d.end(j)
		}
		return false
	}
}
