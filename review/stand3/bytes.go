package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["bytes"] = playBytes }

const (
	// spoiledShare is the part of the answers, one in spoiledShare, that engines in
	// trouble spoil.
	spoiledShare = 50
	troubleTime  = 5500 * time.Millisecond
)

// playBytes has trainers submit jobs while half of the engines spoil a byte in one of fifty
// answers, for some seconds at a time. Each result must have the item's whole output.
func playBytes(s *site, trouble bool) bool {
	s.configure(7, routes())
	zones := []string{"pretoria-a", "pretoria-b"}
	var mu sync.Mutex
	spoiling, answers, spoilt := false, 0, map[string]int{}
	const events = 25
	for n := range 6 {
		e := s.startEngine(fmt.Sprintf("i-m%d", n), modelService, zones[n%2])
		e.events = func(string) int { return events }
		if n >= 3 {
			continue
		}
		e.data = func(id string, event, _ int) string {
			data := eventData(id, event)
			if event != 10 {
				return data
			}
			mu.Lock()
			defer mu.Unlock()
			if !spoiling {
				return data
			}
			if answers++; answers%spoiledShare != 0 {
				return data
			}
			spoilt[id]++
			s.record.printf("engine %s spoils a byte of event %d of %s: it sends ff in its place", e.id, event, id)
			return data[:3] + "\xff" + data[4:]
		}
	}
	var edges []*machine
	for n := range 2 {
		s.addMachine(fmt.Sprintf("storage-%s-1", zones[n]), "storage", zones[n], 20+n)
		edges = append(edges, s.addMachine(fmt.Sprintf("edge-%s-%d", zones[n], 1), "edge", zones[n], 10+n))
	}
	s.waitReady()
	time.Sleep(3 * time.Second)
	if trouble {
		go func() {
			for round := 1; ; round++ {
				mu.Lock()
				spoiling = true
				mu.Unlock()
				s.record.printf("three of six engines spoil one answer in %d, for %s, time %d", spoiledShare, troubleTime, round)
				time.Sleep(troubleTime)
				mu.Lock()
				spoiling = false
				mu.Unlock()
				time.Sleep(4 * time.Second)
			}
		}()
	}
	wrong, listed := 0, 0
	var trainers sync.WaitGroup
	for trainer, groups := range []int{14, 10} {
		trainers.Add(1)
		go func() {
			defer trainers.Done()
			for step := range 16 {
				began := time.Now()
				job := fmt.Sprintf("t%d-s%d", trainer, step)
				s.submit(edges[step%2], job, jobBody(job, step, groups, 4))
				for at := 0; at < 4*groups && time.Since(began) < 9*time.Second; {
					p, status, err := s.read(edges[(step+1)%2], job, at)
					if err != nil || status != 200 {
						s.record.printf("job %s is read at %d: %d %v", job, at, status, err)
						time.Sleep(300 * time.Millisecond)
						continue
					}
					for _, x := range p.Results {
						whole := make([]string, events)
						for n := range whole {
							whole[n] = eventData(x.ID, n+1)
						}
						mu.Lock()
						listed++
						if x.State != "completed" || x.Text != strings.Join(whole, "\n") {
							wrong++
							s.record.printf("%s of job %s is listed as %s with the text %q", x.ID, job, x.State, x.Text)
						}
						mu.Unlock()
					}
					at = p.Next
				}
				s.endJob(edges[step%2], job)
				time.Sleep(time.Until(began.Add(4 * time.Second)))
			}
		}()
	}
	trainers.Wait()
	s.record.printf("%d results were listed, %d of them wrong; %d answers were spoiled", listed, wrong, len(spoilt))
	return wrong > 0
}
