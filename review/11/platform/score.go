package main

import (
	"fmt"
	"sync"
	"time"
	"unicode/utf8"
)

func init() { cases["score"] = playScore }

const (
	// spoiledShare is the part of the answers, one in spoiledShare, that servers in
	// trouble spoil.
	spoiledShare = 50
	troubleTime  = 5500 * time.Millisecond
	scorePrefix  = "score-"
)

// playScore has trainers submit jobs while half of the servers that answer reward calls
// spoil a byte in one of fifty answers, once for some seconds. The score of each
// result must be the seal of an answer to its item's reward call.
func playScore(s *site, trouble bool) bool {
	s.configure(7, routes())
	zones := []string{"pretoria-a", "pretoria-b"}
	for n := range 6 {
		s.startEngine(fmt.Sprintf("i-m%d", n), modelService, zones[n%2])
	}
	var mu sync.Mutex
	spoiling, answers, spoiled := false, 0, 0
	// sent holds the seals of the answers to each reward call, byte for byte.
	sent := map[string]map[string]bool{}
	for n := range 4 {
		e := s.startEngine(fmt.Sprintf("i-p%d", n), plainService, zones[n%2])
		e.seal = func(id string) string {
			seal := sealOf(id)
			mu.Lock()
			defer mu.Unlock()
			if n < 2 && spoiling {
				if answers++; answers%spoiledShare == spoiledShare/2 {
					spoiled++
					seal = seal[:2] + "\xff" + seal[3:]
					s.record.printf("server %s spoils a byte of the seal of its answer to %s: it sends %q", e.id, id, seal)
				}
			}
			if sent[id] == nil {
				sent[id] = map[string]bool{}
			}
			sent[id][seal] = true
			return seal
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
			time.Sleep(4 * time.Second)
			mu.Lock()
			spoiling = true
			mu.Unlock()
			s.record.printf("two of four servers spoil one answer in %d, for %s", spoiledShare, troubleTime)
			time.Sleep(troubleTime)
			mu.Lock()
			spoiling = false
			mu.Unlock()
			s.record.printf("they spoil no more answers")
		}()
	}
	wrong, listed := 0, 0
	var trainers sync.WaitGroup
	for trainer, groups := range []int{14, 10} {
		trainers.Add(1)
		go func() {
			defer trainers.Done()
			for step := range 6 {
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
					// A page whose bytes are no UTF-8 could hold a spoiled seal as it was
					// sent, which the decoder here would change.
					exact := utf8.Valid(p.raw)
					mu.Lock()
					for _, x := range p.Results {
						listed++
						if exact && x.State == "completed" && !sent[scorePrefix+x.ID][x.Score] {
							wrong++
							s.record.printf("%s of job %s is listed as completed with the score %q, which no server sent", x.ID, job, x.Score)
						}
					}
					mu.Unlock()
					at = p.Next
				}
				s.endJob(edges[step%2], job)
				time.Sleep(time.Until(began.Add(4 * time.Second)))
			}
		}()
	}
	trainers.Wait()
	s.record.printf("%d results were listed, %d of them with a wrong score; %d answers were spoiled", listed, wrong, spoiled)
	return wrong > 0
}
