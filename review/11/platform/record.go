package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// A record holds what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	runs  []*engineRun
}

// An engineRun is what one engine did for one request or item.
type engineRun struct {
	engine, id   string
	after, last  int
	began, ended time.Time
	// versions holds the weights of each event.
	versions map[int]int
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	must(err)
	return &record{file: f, began: time.Now()}
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

func (r *record) at(t time.Time) float64 { return t.Sub(r.began).Seconds() }

func (r *record) begin(engine, id string, after int) *engineRun {
	run := &engineRun{engine: engine, id: id, after: after, last: after, began: time.Now(), versions: map[int]int{}}
	r.mu.Lock()
	r.runs = append(r.runs, run)
	r.mu.Unlock()
	r.printf("engine %s begins %s after event %d", engine, id, after)
	return run
}

func (r *record) event(run *engineRun, n, version int) {
	r.mu.Lock()
	run.last, run.versions[n] = n, version
	r.mu.Unlock()
}

func (r *record) end(run *engineRun) {
	r.mu.Lock()
	run.ended = time.Now()
	last := run.last
	r.mu.Unlock()
	r.printf("engine %s ends %s at event %d", run.engine, run.id, last)
}

// all returns copies of all runs.
func (r *record) all() []engineRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]engineRun, 0, len(r.runs))
	for _, run := range r.runs {
		all = append(all, *run)
	}
	return all
}
