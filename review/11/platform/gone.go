package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

func init() { cases["gone"] = playGone }

const (
	// clientGap is the time without an event after which a client leaves its stream.
	clientGap = 2 * time.Second
	darkTime  = 4500 * time.Millisecond
)

func playGone(s *site, trouble bool) bool {
	s.configure(7, routes())
	zones := []string{"pretoria-a", "pretoria-b"}
	var engines []*engine
	for n := range 6 {
		e := s.startEngine(fmt.Sprintf("i-m%d", n), modelService, zones[n%2])
		e.events, e.interval = func(string) int { return 70 }, 100*time.Millisecond
		engines = append(engines, e)
	}
	var edges []*machine
	for n := range 2 {
		s.addMachine(fmt.Sprintf("storage-%s-1", zones[n]), "storage", zones[n], 20+n)
		edges = append(edges, s.addMachine(fmt.Sprintf("edge-%s-%d", zones[n%2], n), "edge", zones[n%2], 10+n))
	}
	s.waitReady()
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	left := map[string]time.Time{}
	for round := range 3 {
		var group sync.WaitGroup
		for n := range 36 {
			group.Add(1)
			go func() {
				defer group.Done()
				id := fmt.Sprintf("s%d-%d", round, n)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				gap := time.AfterFunc(clientGap, func() {
					mu.Lock()
					left[id] = time.Now()
					mu.Unlock()
					s.record.printf("the client of %s leaves after %s without an event", id, clientGap)
					cancel()
				})
				defer gap.Stop()
				status, complete, err := stream(ctx, edges[n%2], "/chat414/"+id, id, 12*time.Second, func(int, string) bool {
					gap.Reset(clientGap)
					return true
				})
				s.record.printf("%s ends with status %d, complete %v, %v", id, status, complete, err)
			}()
		}
		time.Sleep(1500 * time.Millisecond)
		if trouble {
			engines[round].dark(darkTime)
		}
		group.Wait()
		time.Sleep(time.Second)
	}
	late := 0
	for _, run := range s.record.all() {
		if at, gone := left[run.id]; gone && run.began.Sub(at) > 500*time.Millisecond {
			late++
			s.record.printf("%s reached engine %s %.3f s after its client had left", run.id, run.engine, run.began.Sub(at).Seconds())
		}
	}
	s.record.printf("%d clients left, and %d requests reached an engine more than 0.5 s later", len(left), late)
	return late > 5
}
