package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// newClient returns a client that makes a new connection for each call.
func newClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
}

// send sends a request to a machine and returns the status, 0 if there was none.
func (d *deployment) send(m *machine, method, path, id string, header map[string]string, body []byte, timeout time.Duration) (int, []byte, http.Header) {
	r, err := http.NewRequest(method, "http://"+m.front()+path, bytes.NewReader(body))
	if err != nil {
		fail("%v", err)
	}
	r.Host = host
	r.Header.Set("Authorization", "Bearer "+key)
	if id != "" {
		r.Header.Set("X-Attempt-Id", id)
	}
	for name, v := range header {
		r.Header.Set(name, v)
	}
	answer, err := newClient(timeout).Do(r)
	if err != nil {
		d.note("client: %s %s %s at %s: no answer: %v", method, path, id, m.name, err)
		return 0, nil, nil
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		d.note("client: %s %s %s at %s: %d, broken off: %v", method, path, id, m.name, answer.StatusCode, err)
		return 0, data, answer.Header
	}
	short := data
	if len(short) > 160 {
		short = short[:160]
	}
	d.note("client: %s %s %s at %s: %d %s", method, path, id, m.name, answer.StatusCode, short)
	return answer.StatusCode, data, answer.Header
}

const (
	scorePrefix  = "/score/"
	scoreService = "desk"
)

type result struct {
	ID, State, Text, Score string
	Versions               []int
}

// A job is a batch job that a trainer submits.
type job struct {
	id, path string
	ids      []string
	body     []byte
	accepted time.Time
	results  []result
}

// newJob returns a job of groups of items.
func newJob(id, path string, step, minVersion, groups, size, tokens int) *job {
	j := &job{id: id, path: path + id}
	var items []map[string]any
	for g := range groups {
		for n := range size {
			name := fmt.Sprintf("%s-%d-%d", id, g, n)
			j.ids = append(j.ids, name)
			items = append(items, map[string]any{
				"id": name, "path": path + name, "headers": map[string]string{"X-Model": model, "X-Token-Counts": fmt.Sprintf("40,%d", tokens), "X-Prompt-Prefix": fmt.Sprintf("%x:40", 16+g)},
				"body": []byte("prompt of " + name), "tokens": 40 + tokens, "group": fmt.Sprintf("%s-%d", id, g),
				"scorer": map[string]any{"id": "score-" + name, "host": host, "path": scorePrefix + name, "body": []byte("score " + name)},
			})
		}
	}
	j.body = []byte(mustJSON(map[string]any{"step": step, "model": model, "minVersion": minVersion, "desired": groups, "items": items}))
	return j
}

// submit submits a job until it is accepted, at one machine after the other.
func (d *deployment) submit(j *job) {
	for n := range 20 {
		m := d.edges()[n%len(d.edges())]
		if status, _, _ := d.send(m, http.MethodPost, j.path, j.id, map[string]string{"X-Deadline-Ms": "4000", "Content-Type": "application/json"}, j.body, 5*time.Second); status == http.StatusAccepted {
			j.accepted = time.Now()
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	fail("the job was not accepted")
}

// read reads the results that follow those that are known, and reports whether the
// machine answered.
func (d *deployment) read(j *job, m *machine) bool {
	status, data, _ := d.send(m, http.MethodGet, fmt.Sprintf("/lots/%s?after=%d", j.id, len(j.results)), "", map[string]string{"X-Wait-Ms": "500"}, nil, 4*time.Second)
	if status != 200 {
		return false
	}
	var page struct {
		Total, Next int
		Results     []result
	}
	if err := json.Unmarshal(data, &page); err != nil {
		fail("page of results: %v", err)
	}
	j.results = append(j.results, page.Results...)
	return true
}

// follow reads a job until all results are known or the time is over.
func (d *deployment) follow(j *job, until time.Time) {
	for n := 0; len(j.results) < len(j.ids) && time.Now().Before(until); n++ {
		d.read(j, d.edges()[n%len(d.edges())])
		time.Sleep(300 * time.Millisecond)
	}
}
