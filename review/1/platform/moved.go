package main

import "time"

const (
	// reclaimNotice and reclaimDry are those of the site's days.
	reclaimNotice = 2500 * time.Millisecond
	reclaimDry    = 9700 * time.Millisecond
)

// A route moves to another service while a batch job is open, and the engines of the
// service that it led to, all of which may be taken away, are reclaimed.
func init() {
	cases["moved"] = func(d *deployment) bool {
		events := func(string) int { return 20 }
		zones := []string{"perth-north", "perth-south", "bunbury"}
		var former []*engine
		for range 2 {
			former = append(former, d.addEngineOf("former", zones[0], true, 8, 80*time.Millisecond, events))
		}
		for n := range 6 {
			d.addEngine("present", zones[n%3], 8, 80*time.Millisecond, events)
		}
		services := []string{"former", "present"}
		d.scaled = map[string]map[string]any{"former": {"min": 1, "max": 2, "bootS": 4, "spotPrice": 0.18, "zonePrices": map[string]float64{zones[0]: 0.85}}}
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
			d.mu.Lock()
			d.dryUntil = time.Now().Add(reclaimDry)
			d.mu.Unlock()
			for _, e := range former {
				e.reclaim(reclaimNotice)
			}
		}
		return d.judgeStep(j, "present")
	}
}
