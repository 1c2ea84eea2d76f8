package limpetrig

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"limpetmount.org/internal/limpettask"
	"limpetmount.org/platform/limpetplay"
)

const (
	callPause   = 25 * time.Millisecond
	callTime    = 4 * time.Second
	stepEvery   = 1200 * time.Millisecond
	stepLongest = 8 * time.Second
	jobGroups   = 5
	groupItems  = 3
	readPause   = 150 * time.Millisecond
)

// A tracked job is one whose submission was answered with 202.
type tracked struct {
	items map[string]string
	min   int
	// seen holds the results by position, as they were read first.
	seen  []resultDocument
	ended bool
}

type resultDocument struct {
	ID       string `json:"id"`
	State    string `json:"state"`
	Text     string `json:"text"`
	Versions []int  `json:"versions"`
	Score    string `json:"score"`
}

type pageDocument struct {
	Total   int              `json:"total"`
	Next    int              `json:"next"`
	Results []resultDocument `json:"results"`
}

// An exchange is one request of a caller and what came back.
type exchange struct {
	status int
	header http.Header
	body   []byte
	err    error
	// fresh is set when the connection was new and carried the whole request.
	fresh bool
}

func (r *rig) exchange(ctx context.Context, client *http.Client, v *VM, method, path, id, key string, body []byte, header http.Header) exchange {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	var x exchange
	reused, wrote := false, false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(i httptrace.GotConnInfo) { reused = i.Reused },
		WroteRequest: func(i httptrace.WroteRequestInfo) { wrote = i.Err == nil },
	})
	request, err := http.NewRequestWithContext(ctx, method, "http://"+v.Front+path, bytes.NewReader(body))
	if err != nil {
		return exchange{err: err}
	}
	request.GetBody = nil
	request.Host = host
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(callTime.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(request)
	x.fresh = !reused && wrote
	if err != nil {
		x.err = err
		return x
	}
	defer response.Body.Close()
	x.status, x.header = response.StatusCode, response.Header
	x.body, x.err = io.ReadAll(response.Body)
	return x
}

// call sends plain requests, on a connection that stays open.
func (r *rig) call(ctx context.Context, random *rand.Rand, n int) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for count := 0; ctx.Err() == nil; count++ {
		v := r.edges[random.IntN(len(r.edges))]
		path := "/plain/"
		if random.IntN(2) == 0 {
			path = "/once/"
		}
		id := fmt.Sprintf("p%d-%d", n, count)
		began := time.Now()
		x := r.exchange(ctx, client, v, http.MethodPost, path+id, id, keyGood, []byte(id), nil)
		if ctx.Err() == nil {
			r.judge(v, path, id, began, x)
		}
		limpettask.Sleep(ctx, callPause)
	}
	return nil
}

// judge checks what a plain request came to.
func (r *rig) judge(v *VM, path, id string, began time.Time, x exchange) {
	calm, leaving := v.quiet(began)
	switch {
	case x.err != nil:
		if x.fresh && calm && leaving && time.Since(began) < callTime/2 {
			r.fault("a planned stop of %s cut request %s off: %v", v.Name, id, x.err)
		}
	case x.status == http.StatusOK:
		if string(x.body) != "answer to "+id || !r.record.Sealed(id, x.header.Get("X-Response-Seal")) {
			r.fault("request %s got an answer that is not its own", id)
		}
		r.mu.Lock()
		r.plain++
		r.mu.Unlock()
	case x.status == http.StatusServiceUnavailable || x.status == http.StatusTooManyRequests:
		if r.record.Ran(id) > 0 {
			r.fault("request %s ran and was told not to have run", id)
		}
		r.mu.Lock()
		r.refused[id] = true
		r.mu.Unlock()
	case x.status >= 400 && x.status < 500:
		r.fault("request %s got status %d under a valid key", id, x.status)
	}
	if path == "/once/" && r.record.Ran(id) > 1 {
		r.fault("request %s ran %d times", id, r.record.Ran(id))
	}
}

// train submits steps, reads their results and names versions.
func (r *rig) train(ctx context.Context) error {
	group := limpettask.New(ctx)
	for step := 0; ctx.Err() == nil; step++ {
		group.Go(func(ctx context.Context) error {
			r.step(ctx, rand.New(rand.NewPCG(r.plan.Seed, uint64(step)+100)), step)
			return nil
		})
		limpettask.Sleep(ctx, stepEvery)
		r.mu.Lock()
		r.version++
		named := r.version
		r.mu.Unlock()
		r.store.Set("op/version/"+limpetplay.Model, fmt.Appendf(nil, `{"model":%q,"version":%d}`, limpetplay.Model, named))
	}
	return group.Stop()
}

func (r *rig) step(ctx context.Context, random *rand.Rand, step int) {
	id := fmt.Sprintf("job%d-%d", r.plan.Seed, step)
	r.mu.Lock()
	least := max(1, r.version-1)
	r.mu.Unlock()
	job, items := newJob(id, step, least)
	deadline := time.Now().Add(stepLongest)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		v := r.edges[random.IntN(len(r.edges))]
		x := r.exchange(ctx, r.client, v, http.MethodPost, "/jobs/"+id, id, keyGood, job, nil)
		if x.err == nil && x.status == http.StatusAccepted {
			r.mu.Lock()
			r.jobs[id] = &tracked{items: items, min: least}
			r.mu.Unlock()
			break
		}
		limpettask.Sleep(ctx, readPause)
	}
	for time.Now().Before(deadline) && ctx.Err() == nil && !r.whole(id) {
		r.read(ctx, random, id, -1)
		limpettask.Sleep(ctx, readPause)
	}
	if random.IntN(2) == 0 {
		v := r.edges[random.IntN(len(r.edges))]
		if x := r.exchange(ctx, r.client, v, http.MethodDelete, "/lots/"+id, id, keyGood, nil, nil); x.err == nil && x.status == http.StatusOK {
			r.mu.Lock()
			if j := r.jobs[id]; j != nil {
				j.ended = true
			}
			r.mu.Unlock()
		}
	}
}

// newJob returns a submission, and the reward call of each of its items.
func newJob(id string, step, least int) ([]byte, map[string]string) {
	scorers := map[string]string{}
	var items []map[string]any
	for g := range jobGroups {
		for n := range groupItems {
			item := fmt.Sprintf("%s-g%d-%d", id, g, n)
			scorers[item] = "s-" + item
			items = append(items, map[string]any{
				"id": item, "path": "/jobs/" + item, "headers": map[string]string{"X-Model": limpetplay.Model, "X-Token-Counts": "10,4000"},
				"body": []byte(item), "group": fmt.Sprint(g), "tokens": 10,
				"scorer": map[string]any{"id": "s-" + item, "host": host, "path": "/score/" + item, "body": []byte("score")},
			})
		}
	}
	// Plain values always encode.
	data, _ := json.Marshal(map[string]any{"step": step, "model": limpetplay.Model, "minVersion": least, "desired": jobGroups, "items": items})
	return data, scorers
}

func (r *rig) whole(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[id]
	return j != nil && len(j.seen) >= len(j.items)
}

// reread reads jobs from any position all the time.
func (r *rig) reread(ctx context.Context, random *rand.Rand) error {
	for ctx.Err() == nil {
		r.mu.Lock()
		ids := make([]string, 0, len(r.jobs))
		for id := range r.jobs {
			ids = append(ids, id)
		}
		r.mu.Unlock()
		if len(ids) > 0 {
			id := ids[random.IntN(len(ids))]
			r.mu.Lock()
			seen := len(r.jobs[id].seen)
			r.mu.Unlock()
			r.read(ctx, random, id, random.IntN(seen+1))
		}
		limpettask.Sleep(ctx, readPause)
	}
	return nil
}

// read reads a job from a position, or with -1 from where its reader is, and
// checks what it is told. It reports whether it was told anything.
func (r *rig) read(ctx context.Context, random *rand.Rand, id string, after int) bool {
	r.mu.Lock()
	j := r.jobs[id]
	if j == nil {
		r.mu.Unlock()
		return false
	}
	if after < 0 {
		after = len(j.seen)
	}
	known := len(j.seen)
	r.mu.Unlock()
	v := r.edges[random.IntN(len(r.edges))]
	began := time.Now()
	x := r.exchange(ctx, r.client, v, http.MethodGet, fmt.Sprintf("/lots/%s?after=%d", id, after), id, keyGood, nil, http.Header{"X-Wait-Ms": {"300"}})
	if x.err != nil || x.status == http.StatusServiceUnavailable || x.status == http.StatusBadGateway {
		return false
	}
	calm, _ := v.quiet(began)
	if x.status != http.StatusOK {
		if calm {
			r.fault("job %s was accepted and answers %d", id, x.status)
		}
		return false
	}
	var p pageDocument
	if err := json.Unmarshal(x.body, &p); err != nil {
		r.fault("job %s: %v", id, err)
		return false
	}
	if len(p.Results) == 0 && after < known && calm {
		r.fault("job %s has nothing at position %d, %d were read", id, after, known)
	}
	r.compare(id, j, after, p)
	return true
}

// compare checks a page against what was read before, and new results against
// what servers did.
func (r *rig) compare(id string, j *tracked, after int, p pageDocument) {
	r.mu.Lock()
	defer r.mu.Unlock()
	broken := func(format string, args ...any) { r.faults["job "+id+": "+fmt.Sprintf(format, args...)]++ }
	if p.Total != len(j.items) || p.Next != after+len(p.Results) {
		broken("total %d of %d, next %d after %d", p.Total, len(j.items), p.Next, after)
	}
	for n, x := range p.Results {
		at := after + n
		if at < len(j.seen) {
			if fmt.Sprint(j.seen[at]) != fmt.Sprint(x) {
				broken("position %d changed", at)
			}
			continue
		}
		if at > len(j.seen) {
			break
		}
		for _, earlier := range j.seen {
			if earlier.ID == x.ID {
				broken("item %s stands twice", x.ID)
			}
		}
		j.seen = append(j.seen, x)
		r.verify(j, x, broken)
	}
}

func (r *rig) verify(j *tracked, x resultDocument, broken func(string, ...any)) {
	scorer, ok := j.items[x.ID]
	switch {
	case !ok:
		broken("item %s is not its own", x.ID)
	case x.State != "completed":
		broken("item %s is %s without a reason", x.ID, x.State)
	case x.Text != limpetplay.TextOf(x.ID):
		broken("item %s has another text", x.ID)
	case !r.record.MadeUnder(x.ID, x.Versions):
		broken("item %s was not made under %v", x.ID, x.Versions)
	case !r.record.Sealed(scorer, x.Score):
		broken("item %s has a score that no server gave", x.ID)
	}
	for _, v := range x.Versions {
		if v < j.min {
			broken("item %s was made under %d, least %d", x.ID, v, j.min)
		}
	}
}
