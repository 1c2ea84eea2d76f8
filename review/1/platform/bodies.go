package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// peakMB returns the peak of the resident memory of a machine's process, in MB.
func (m *machine) peakMB() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb := 0
			_, _ = fmt.Sscan(text, &kb)
			return kb >> 10
		}
	}
	return 0
}

// limitMemory kills each process that uses more than its memory limit, as the platform
// does, and returns a function that tells how often it did so on each machine.
func (d *deployment) limitMemory() func() map[string]int {
	var mu sync.Mutex
	found := map[string]int{}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			for _, m := range d.edges() {
				if used := m.peakMB(); used > edgeMemoryMB {
					d.note("the process of %s uses %d MB of %d", m.name, used, edgeMemoryMB)
					m.signal(syscall.SIGKILL)
					mu.Lock()
					found[m.name]++
					mu.Unlock()
					time.Sleep(50 * time.Millisecond)
				}
			}
		}
	}()
	return func() map[string]int {
		mu.Lock()
		defer mu.Unlock()
		all := map[string]int{}
		for name, n := range found {
			all[name] = n
		}
		return all
	}
}

const (
	// bodyBytes is the size of an upload; the configuration allows 33,554,432 bytes.
	bodyBytes = 30 << 20
	// uploads is the number of clients of each zone, each of which uploads one body after
	// the other.
	uploads = 3
	// kills is how often machines are killed at once, for darkTime, and calmTime the
	// time between.
	kills    = 6
	darkTime = 5 * time.Second
	calmTime = 7 * time.Second
	// uploadRate is what all uploads to one machine bring together, in bytes a second:
	// less than its link of 1,000 Mbit/s takes.
	uploadRate = 100_000_000
	pieceBytes = 64 << 10
)

// A pacedBody is a body of zeros that is sent at the rate of one upload among those that
// its machine gets.
type pacedBody struct {
	left    int
	sharing func() int
}

func (b *pacedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), pieceBytes, b.left)
	time.Sleep(time.Duration(float64(n*b.sharing()) / uploadRate * float64(time.Second)))
	clear(p[:n])
	b.left -= n
	return n, nil
}

// A balancer is the platform's: it asks each edge for its readiness once a second, and
// takes it out after two misses.
type balancer struct {
	d      *deployment
	mu     sync.Mutex
	misses map[*machine]int
	open   map[*machine]int
}

func newBalancer(d *deployment) *balancer {
	b := &balancer{d: d, misses: map[*machine]int{}, open: map[*machine]int{}}
	for _, m := range d.edges() {
		go func() {
			client := newClient(500 * time.Millisecond)
			for range time.Tick(time.Second) {
				r, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", m.ip, readyPort))
				ready := err == nil && r.StatusCode == http.StatusOK
				if err == nil {
					_ = r.Body.Close()
				}
				b.mu.Lock()
				if b.misses[m]++; ready {
					b.misses[m] = 0
				}
				b.mu.Unlock()
			}
		}()
	}
	return b
}

// choose returns the edge for a client of a zone, by number: that of its zone, or of the
// next zone whose edge is in rotation. Each zone has one edge.
func (b *balancer) choose(zone int) *machine {
	b.mu.Lock()
	defer b.mu.Unlock()
	edges := b.d.edges()
	for n := range edges {
		if m := edges[(zone+n)%len(edges)]; b.misses[m] < 2 {
			return m
		}
	}
	return edges[zone]
}

func (b *balancer) track(m *machine, change int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open[m] += change
}

// upload sends a large body for a client of a zone and returns the status; 0 without an
// answer.
func (b *balancer) upload(zone int, id string) int {
	m := b.choose(zone)
	b.track(m, 1)
	defer b.track(m, -1)
	sharing := func() int {
		b.mu.Lock()
		defer b.mu.Unlock()
		return max(1, b.open[m])
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+m.front()+"/upload/"+id, &pacedBody{left: bodyBytes, sharing: sharing})
	if err != nil {
		fail("%v", err)
	}
	r.Host, r.ContentLength = host, bodyBytes
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Deadline-Ms", "10000")
	answer, err := newClient(11 * time.Second).Do(r)
	if err != nil {
		b.d.note("client: upload %s at %s: no answer: %v", id, m.name, err)
		return 0
	}
	defer answer.Body.Close()
	_, _ = io.Copy(io.Discard, answer.Body)
	b.d.note("client: upload %s at %s: %d", id, m.name, answer.StatusCode)
	return answer.StatusCode
}

// Two of three edges are killed at once, and the third one gets the clients of all.
func init() {
	cases["bodies"] = func(d *deployment) bool {
		zones := []string{"perth-north", "perth-south", "bunbury"}
		for _, zone := range zones {
			d.addMachine("edge", zone)
		}
		for _, zone := range zones {
			d.addMachine("storage", zone)
			d.addEngine("files", zone, 24, 40*time.Millisecond, nil)
		}
		d.configure(1, []string{"files"}, []map[string]any{{
			"name": "r-files", "host": host, "pathPrefix": "/upload/", "kind": "non_idempotent", "timeoutMs": 10000, "goalMs": 5000, "priority": 2, "maxAttempts": 2, "public": false, "service": "files",
		}})
		d.addEngine(scoreService, zones[0], 6, 30*time.Millisecond, nil)
		d.waitReady()
		time.Sleep(3 * time.Second)
		killed := d.limitMemory()
		b := newBalancer(d)
		var served, failed atomic.Int64
		for zone := range zones {
			for n := range uploads {
				go func() {
					for k := 0; ; k++ {
						if b.upload(zone, fmt.Sprintf("u-%d-%d-%d", zone, n, k)) == http.StatusOK {
							served.Add(1)
						} else {
							failed.Add(1)
						}
						time.Sleep(200 * time.Millisecond)
					}
				}()
			}
		}
		edges := d.edges()
		time.Sleep(calmTime)
		d.note("before the first kill %d uploads were served and %d not; killed for memory: %v", served.Load(), failed.Load(), killed())
		for n := range kills {
			if d.trouble {
				// One edge is left in the first half of the kills, and another one in the
				// second.
				left := edges[0]
				if n >= kills/2 {
					left = edges[2]
				}
				for _, m := range edges {
					if m == left {
						continue
					}
					m.mu.Lock()
					m.restart = darkTime
					m.mu.Unlock()
					m.signal(syscall.SIGKILL)
					// The next start after this one comes without a delay of the kill.
					time.AfterFunc(darkTime/2, func() {
						m.mu.Lock()
						defer m.mu.Unlock()
						m.restart = restartTime
					})
				}
			}
			time.Sleep(darkTime + calmTime)
			d.note("after kill %d: %d uploads were served and %d not; killed for memory: %v", n, served.Load(), failed.Load(), killed())
		}
		often := 0
		for _, m := range edges {
			if killed()[m.name] >= 3 {
				often++
			}
		}
		return often >= 2
	}
}
