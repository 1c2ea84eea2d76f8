package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// call makes a call of a client, on a connection of its own.
func call(ctx context.Context, m *machine, method, path, id string, header map[string]string, body []byte) (int, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+m.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	r.Host = siteHost
	r.Header.Set("Authorization", "Bearer "+clientKey)
	if id != "" {
		r.Header.Set("X-Attempt-Id", id)
	}
	for name, value := range header {
		r.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, data, err
}

// stream asks for a stream and hands each event's data on. It ends when handle returns
// false or the stream ends, and reports the status and whether it ended as complete.
func stream(ctx context.Context, m *machine, path, id string, deadline time.Duration, handle func(n int, data string) bool) (status int, complete bool, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.front+path, strings.NewReader("{}"))
	if err != nil {
		return 0, false, err
	}
	r.Host = siteHost
	r.Header.Set("Authorization", "Bearer "+clientKey)
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Model", modelName)
	r.Header.Set("X-Token-Counts", "16,1000")
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	response, err := (&http.Client{Transport: transport}).Do(r)
	if err != nil {
		return 0, false, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return response.StatusCode, false, nil
	}
	lines := bufio.NewReader(response.Body)
	n := 0
	for {
		line, err := lines.ReadString('\n')
		if err == io.EOF {
			return response.StatusCode, true, nil
		}
		if err != nil {
			return response.StatusCode, false, err
		}
		switch line = strings.TrimRight(line, "\n"); {
		case strings.HasPrefix(line, "id: "):
			_, _ = fmt.Sscanf(line, "id: %d", &n)
		case strings.HasPrefix(line, "data: "):
			if !handle(n, strings.TrimPrefix(line, "data: ")) {
				return response.StatusCode, false, nil
			}
		}
	}
}

// A result is a listed result of a job.
type result struct {
	ID       string `json:"id"`
	State    string `json:"state"`
	Text     string `json:"text"`
	Versions []int  `json:"versions"`
	Score    string `json:"score"`
}

type resultPage struct {
	Total   int      `json:"total"`
	Next    int      `json:"next"`
	Results []result `json:"results"`
	// raw is the page as it came.
	raw []byte
}

// jobBody returns a job of groups with items each.
func jobBody(job string, step, groups, items int) []byte {
	var all []map[string]any
	for g := range groups {
		for i := range items {
			id := fmt.Sprintf("%s-g%d-i%d", job, g, i)
			all = append(all, map[string]any{
				"id": id, "path": "/pule252/3/" + id, "headers": map[string]string{"X-Model": modelName, "X-Token-Counts": "16,1000", "X-Prompt-Prefix": "9c2e41:1000"},
				"body": []byte("prompt"), "tokens": 1016, "group": fmt.Sprintf("%s-g%d", job, g),
				"scorer": map[string]any{"id": "score-" + id, "host": siteHost, "path": "/pufi791/" + id, "body": []byte("reward")},
			})
		}
	}
	data, err := json.Marshal(map[string]any{"step": step, "model": modelName, "minVersion": 1, "desired": groups, "items": all})
	must(err)
	return data
}

// submit submits a job until it is accepted.
func (s *site) submit(m *machine, job string, body []byte) bool {
	for range 5 {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		status, _, err := call(ctx, m, http.MethodPost, "/pule252/7c41e0", job, map[string]string{"Content-Type": "application/json"}, body)
		cancel()
		s.record.printf("job %s is submitted to %s: %d %v", job, m.name, status, err)
		if status == http.StatusAccepted {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// read reads a job's results from a position.
func (s *site) read(m *machine, job string, after int) (resultPage, int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var p resultPage
	status, data, err := call(ctx, m, http.MethodGet, fmt.Sprintf("/lots/%s?after=%d", job, after), "", map[string]string{"X-Wait-Ms": "1000"}, nil)
	if err == nil && status == http.StatusOK {
		err = json.Unmarshal(data, &p)
		p.raw = data
	}
	return p, status, err
}

func (s *site) endJob(m *machine, job string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	status, _, err := call(ctx, m, http.MethodDelete, "/lots/"+job, "", nil, nil)
	s.record.printf("job %s is ended at %s: %d %v", job, m.name, status, err)
}
