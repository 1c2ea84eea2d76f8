package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
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
	kills := map[string]int{}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			for _, m := range d.edges() {
				if used := m.peakMB(); used > edgeMemoryMB {
					d.note("the process of %s uses %d MB of %d", m.name, used, edgeMemoryMB)
					m.signal(syscall.SIGKILL)
					mu.Lock()
					kills[m.name]++
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
		for name, n := range kills {
			all[name] = n
		}
		return all
	}
}

const (
	// bodyBytes is the size of an upload; the configuration allows 33,554,432 bytes.
	bodyBytes = 30 << 20
	// usualUploads is the number of uploads that a machine gets at once, and burst how
	// many times that in a burst of the traffic.
	usualUploads = 2
	burst        = 5
	bursts       = 4
	// uploadRate is what all uploads to one machine bring together, in bytes a second:
	// less than its link of 1,000 Mbit/s takes.
	uploadRate = 100_000_000
	pieceBytes = 64 << 10
)

// A pacedBody is a body of zeros that is sent at a rate.
type pacedBody struct {
	left  int
	sent  int
	rate  int
	began time.Time
}

func (b *pacedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	if b.began.IsZero() {
		b.began = time.Now()
	}
	time.Sleep(time.Until(b.began.Add(time.Duration(float64(b.sent) / float64(b.rate) * float64(time.Second)))))
	n := min(len(p), pieceBytes, b.left)
	clear(p[:n])
	b.left -= n
	b.sent += n
	return n, nil
}

// upload sends a large body to a machine and returns the status; 0 without an answer.
func (d *deployment) upload(m *machine, id string, rate int) int {
	r, err := http.NewRequest(http.MethodPost, "http://"+m.front()+"/desk/"+id, &pacedBody{left: bodyBytes, rate: rate})
	if err != nil {
		fail("%v", err)
	}
	r.Host, r.ContentLength = host, bodyBytes
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Deadline-Ms", "8000")
	answer, err := newClient(9 * time.Second).Do(r)
	if err != nil {
		d.note("client: upload %s at %s: no answer: %v", id, m.name, err)
		return 0
	}
	defer answer.Body.Close()
	_, _ = io.Copy(io.Discard, answer.Body)
	d.note("client: upload %s at %s: %d", id, m.name, answer.StatusCode)
	return answer.StatusCode
}

// Bursts of requests with large bodies, each within the limits of the configuration.
func init() {
	cases["bodies"] = func(d *deployment) bool {
		for _, zone := range []string{"perth-north", "perth-south", "bunbury"} {
			d.addEngine("desk", zone, 24, 40*time.Millisecond, nil)
		}
		d.configure(1, []string{"desk"}, []map[string]any{{
			"name": "r-desk", "host": host, "pathPrefix": "/desk/", "kind": "idempotent", "timeoutMs": 8000, "goalMs": 500, "priority": 2, "maxAttempts": 2, "public": false, "service": "desk",
		}})
		d.startSmall()
		d.waitReady()
		time.Sleep(3 * time.Second)
		kills := d.limitMemory()
		uploads := usualUploads
		if d.trouble {
			uploads *= burst
		}
		served, failed := 0, 0
		var mu sync.Mutex
		for wave := range bursts {
			var group sync.WaitGroup
			for _, m := range d.edges() {
				for n := range uploads {
					group.Add(1)
					go func() {
						defer group.Done()
						id := fmt.Sprintf("upload-%d-%s-%d", wave, m.name, n)
						status := d.upload(m, id, uploadRate/uploads)
						mu.Lock()
						defer mu.Unlock()
						if status == 200 {
							served++
						} else {
							failed++
						}
					}()
				}
			}
			group.Wait()
			d.note("wave %d: %d uploads of %d bytes at each edge; killed for memory so far: %v", wave, uploads, bodyBytes, kills())
			time.Sleep(6 * time.Second)
		}
		often := 0
		for _, n := range kills() {
			if n >= 3 {
				often++
			}
		}
		d.note("%d uploads were served and %d not; processes were killed for memory: %v", served, failed, kills())
		return often >= 2
	}
}
