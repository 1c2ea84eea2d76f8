package limpetcluster

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

	"limpetmount.org/internal/limpetcaller"
	"limpetmount.org/internal/limpetengine"
	"limpetmount.org/internal/limpetrollout"
)

// A Caller is a client of one VM's interface for callers.
type Caller struct {
	URL    string
	Token  string
	Client *http.Client
}

// NewCaller returns a caller that shares no connections with others.
func NewCaller(url, token string) *Caller {
	return &Caller{URL: url, Token: token, Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
}

// A Reply is an HTTP response.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// ErrorBody returns the error in the body, or the zero value if there is none.
func (r Reply) ErrorBody() limpetcaller.ErrorBody {
	var e limpetcaller.ErrorResponse
	_ = json.Unmarshal(r.Body, &e)
	return e.Error
}

// Do sends a request with the caller's key, if it has one.
func (c *Caller) Do(ctx context.Context, method, path string, header http.Header, body []byte) (Reply, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.URL+path, bytes.NewReader(body))
	if err != nil {
		return Reply{}, err
	}
	for name, values := range header {
		request.Header[name] = values
	}
	if c.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.Token)
	}
	response, err := c.Client.Do(request)
	if err != nil {
		return Reply{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return Reply{Status: response.StatusCode, Header: response.Header, Body: data}, err
}

// A Prompt is the body of a text completion request.
type Prompt struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// A StreamResult is the result of a streamed completion. FirstToken and Total
// are the times until the first token and until the end.
type StreamResult struct {
	Status     int
	Text       string
	Tokens     int
	FirstToken time.Duration
	Total      time.Duration
	// Complete is set when the end marker was received.
	Complete bool
	Error    limpetcaller.ErrorBody
}

// Stream sends a completion request and reads the streamed answer.
func (c *Caller) Stream(ctx context.Context, p Prompt) (StreamResult, error) {
	p.Stream = true
	body, err := json.Marshal(p)
	if err != nil {
		return StreamResult{}, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.URL+limpetengine.PathCompletions, bytes.NewReader(body))
	if err != nil {
		return StreamResult{}, err
	}
	request.Header.Set("Authorization", "Bearer "+c.Token)
	began := time.Now()
	response, err := c.Client.Do(request)
	if err != nil {
		return StreamResult{}, err
	}
	defer response.Body.Close()
	r := StreamResult{Status: response.StatusCode}
	if response.StatusCode != http.StatusOK {
		data, err := io.ReadAll(response.Body)
		r.Error = Reply{Body: data}.ErrorBody()
		r.Total = time.Since(began)
		return r, err
	}
	err = r.read(response.Body, began)
	r.Total = time.Since(began)
	return r, err
}

func (r *StreamResult) read(body io.Reader, began time.Time) error {
	var text strings.Builder
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		payload, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if payload == "[DONE]" {
			r.Complete = true
			break
		}
		var chunk limpetengine.Chunk
		if err := json.Unmarshal([]byte(payload), &chunk); err != nil {
			return fmt.Errorf("chunk %q: %w", payload, err)
		}
		if len(chunk.Choices) == 0 {
			r.Error = Reply{Body: []byte(payload)}.ErrorBody()
			continue
		}
		if r.Tokens == 0 {
			r.FirstToken = time.Since(began)
		}
		r.Tokens++
		text.WriteString(chunk.Content())
	}
	r.Text = text.String()
	return scanner.Err()
}

// A Trainer is a client of a rollout job.
type Trainer struct {
	*Caller
	Job     string
	Session uint64
	Cursor  uint64
}

// call sends a request for the trainer's job and decodes the reply. It retries
// transport errors and temporary refusals until ctx is done.
func (t *Trainer) call(ctx context.Context, method, path string, body, reply any) error {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return err
		}
	}
	const retryDelay = 50 * time.Millisecond
	for {
		r, err := t.Do(ctx, method, "/v1/jobs/"+t.Job+path, nil, data)
		if err == nil && r.Status == http.StatusOK {
			return json.Unmarshal(r.Body, reply)
		}
		if err == nil && r.Status != http.StatusServiceUnavailable && r.Status != http.StatusBadGateway {
			return fmt.Errorf("status %d: %s", r.Status, r.Body)
		}
		if ctx.Err() != nil {
			return fmt.Errorf("job %s: %w (last answer %d %s, %v)", t.Job, ctx.Err(), r.Status, r.Body, err)
		}
		time.Sleep(retryDelay)
	}
}

// Open opens a session and stores its number and cursor.
func (t *Trainer) Open(ctx context.Context, name string) error {
	var reply limpetrollout.SessionReply
	err := t.call(ctx, http.MethodPost, "/session", limpetrollout.SessionRequest{Trainer: name}, &reply)
	t.Session, t.Cursor = reply.Session, reply.Cursor
	return err
}

// Step creates a step.
func (t *Trainer) Step(ctx context.Context, spec limpetrollout.StepSpec) error {
	spec.Session = t.Session
	var status limpetrollout.Status
	return t.call(ctx, http.MethodPost, "/steps", spec, &status)
}

// Publish publishes a version of the weights.
func (t *Trainer) Publish(ctx context.Context, version uint64) error {
	var status limpetrollout.Status
	return t.call(ctx, http.MethodPost, "/weights", limpetrollout.WeightsRequest{Session: t.Session, Version: version}, &status)
}

// Fetch requests the batch at cursor, of at most maxSamples samples. If no sample
// is ready within 500 ms, Pending is set in the reply.
func (t *Trainer) Fetch(ctx context.Context, cursor uint64, maxSamples int) (limpetrollout.FetchReply, error) {
	var reply limpetrollout.FetchReply
	path := fmt.Sprintf("/samples?session=%d&cursor=%d&max=%d&wait_ms=500", t.Session, cursor, maxSamples)
	err := t.call(ctx, http.MethodGet, path, nil, &reply)
	return reply, err
}

// Collect fetches batches until no step is open, and calls handle with each
// batch.
func (t *Trainer) Collect(ctx context.Context, maxSamples int, handle func(limpetrollout.FetchReply)) error {
	for {
		reply, err := t.Fetch(ctx, t.Cursor+1, maxSamples)
		if err != nil {
			return err
		}
		if reply.Pending {
			continue
		}
		t.Cursor = reply.Cursor
		handle(reply)
		if reply.Done {
			return nil
		}
	}
}
