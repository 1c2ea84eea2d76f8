package limpetcaller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"limpetmount.org/internal/limpetconfig"
	"limpetmount.org/internal/limpetengine"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpethttp"
	"limpetmount.org/internal/limpetkey"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetquarantine"
	"limpetmount.org/internal/limpetserve"
)

// DeadlineHeader carries the time, in RFC 3339, after which the caller has no
// use for an answer, for example a statutory deadline.
const DeadlineHeader = "X-Deadline"

const defaultMaxTokens = 256

// A chatMessage holds what the front reads of a message.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// A completionBody holds what the front reads of a request; the rest goes to
// the engine unread.
type completionBody struct {
	Model     string        `json:"model"`
	Prompt    *string       `json:"prompt"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens *int          `json:"max_tokens"`
	Stream    bool          `json:"stream"`
	N         *int          `json:"n"`
}

func (f *Front) completeText(w http.ResponseWriter, q *http.Request, who limpetkey.Principal) {
	f.complete(w, q, who, limpetengine.PathText)
}

func (f *Front) completeChat(w http.ResponseWriter, q *http.Request, who limpetkey.Principal) {
	f.complete(w, q, who, limpetengine.PathChat)
}

func (f *Front) complete(w http.ResponseWriter, q *http.Request, who limpetkey.Principal, path string) {
	c, stream, err := f.decodeCompletion(q, who, path)
	if err != nil {
		fail(w, err, 0)
		return
	}
	if stream {
		f.streamCompletion(w, q, c)
		return
	}
	f.wholeCompletion(w, q, c)
}

// decodeCompletion reads and checks the body; all findings come together.
func (f *Front) decodeCompletion(q *http.Request, who limpetkey.Principal, path string) (limpetserve.Completion, bool, error) {
	data, err := io.ReadAll(q.Body)
	if err != nil {
		return limpetserve.Completion{}, false, fmt.Errorf("read body: %w", err)
	}
	if token, err := limpetkey.Bearer(q.Header.Get("Authorization")); err != nil || bytes.Contains(data, []byte(token)) {
		return limpetserve.Completion{}, false, limpeterror.Invalid.New("the body holds the key; remove it there")
	}
	var body completionBody
	params := limpetengine.Params{}
	if err := json.Unmarshal(data, &body); err != nil {
		return limpetserve.Completion{}, false, limpeterror.Invalid.New("body is not a JSON object with the expected types: %v", err)
	}
	if err := json.Unmarshal(data, &params); err != nil {
		return limpetserve.Completion{}, false, limpeterror.Invalid.New("body is not a JSON object: %v", err)
	}
	findings := &limpeterror.Findings{}
	prompt := promptOf(body, path, findings)
	f.checkModel(body, findings)
	deadline := parseDeadline(q, findings)
	maxTokens := defaultMaxTokens
	if body.MaxTokens != nil {
		maxTokens = *body.MaxTokens
	}
	if maxTokens < 1 {
		findings.Add("max_tokens", "must be at least 1")
	}
	if body.N != nil && *body.N != 1 {
		findings.Add("n", "only one answer for each request is supported; send several requests")
	}
	if err := findings.Err(); err != nil {
		return limpetserve.Completion{}, false, err
	}
	delete(params, limpetengine.ParamResume)
	if err := setAll(params, maxTokens); err != nil {
		return limpetserve.Completion{}, false, err
	}
	account := f.account(who)
	return limpetserve.Completion{
		ID: requestID(q.Context()), Account: account, Class: account.Class, Service: body.Model, Path: path,
		Params: params, Prompt: prompt, MaxTokens: maxTokens, Deadline: deadline,
		Fingerprint: limpetquarantine.Fingerprint(account.Name, body.Model, data),
	}, body.Stream, nil
}

// setAll sets the parameters that the system decides. The answer is always
// streamed by the engine, so that progress can be seen.
func setAll(p limpetengine.Params, maxTokens int) error {
	if err := p.Set(limpetengine.ParamStream, true); err != nil {
		return err
	}
	delete(p, limpetengine.ParamPriority)
	return p.Set("max_tokens", maxTokens)
}

func promptOf(body completionBody, path string, findings *limpeterror.Findings) string {
	if path == limpetengine.PathText {
		if body.Prompt == nil {
			findings.Add("prompt", "must be a string")
			return ""
		}
		return *body.Prompt
	}
	if len(body.Messages) == 0 {
		findings.Add("messages", "must not be empty")
	}
	var b strings.Builder
	for _, m := range body.Messages {
		var text string
		if json.Unmarshal(m.Content, &text) == nil {
			b.WriteString(text)
		} else {
			b.Write(m.Content)
		}
	}
	return b.String()
}

func (f *Front) checkModel(body completionBody, findings *limpeterror.Findings) {
	s, ok := f.View().Config.Services[body.Model]
	if !ok || s.Kind != limpetconfig.Engine {
		findings.Add("model", "no model %q; GET /v1/models lists them", body.Model)
	}
}

func parseDeadline(q *http.Request, findings *limpeterror.Findings) time.Time {
	text := q.Header.Get(DeadlineHeader)
	if text == "" {
		return time.Time{}
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		findings.Add(DeadlineHeader, "must be a time such as 2026-01-02T15:04:05Z")
	}
	return t
}

var (
	eventPrefix = []byte("data: ")
	eventEnd    = []byte("\n\n")
	eventDone   = []byte("data: [DONE]\n\n")
)

// streamCompletion passes chunks on as they come. An error before the first
// chunk is an ordinary error answer; a later one is an error event without the
// end mark, so that no client takes the answer as whole.
func (f *Front) streamCompletion(w http.ResponseWriter, q *http.Request, c limpetserve.Completion) {
	controller := http.NewResponseController(w)
	started := false
	var buffer []byte
	c.OnData = func(payload []byte) error {
		if !started {
			started = true
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Cache-Control", "no-cache")
			w.WriteHeader(http.StatusOK)
		}
		buffer = append(buffer[:0], eventPrefix...)
		buffer = append(buffer, payload...)
		buffer = append(buffer, eventEnd...)
		return f.writePart(w, controller, buffer)
	}
	result, err := f.Serve.Complete(q.Context(), c)
	switch {
	case err == nil:
		_ = f.writePart(w, controller, eventDone)
	case !started:
		fail(w, endCause(q.Context(), err), result.RetryAfter)
	default:
		_, body := describe(endCause(q.Context(), err))
		body.Outcome = Unknown
		data, _ := json.Marshal(ErrorReply{Error: body})
		_ = f.writePart(w, controller, append(append(append([]byte{}, eventPrefix...), data...), eventEnd...))
		// The connection is broken off, so that the answer is not whole for
		// clients that do not read error events either.
		panic(http.ErrAbortHandler)
	}
}

// writePart writes and flushes one part within the time limit for writes.
func (f *Front) writePart(w http.ResponseWriter, controller *http.ResponseController, part []byte) error {
	_ = controller.SetWriteDeadline(time.Now().Add(f.timing.Write))
	if _, err := w.Write(part); err != nil {
		return err
	}
	return controller.Flush()
}

// endCause returns the reason why a request was ended, if it was, as the error
// to answer with. The outcome stays that of the request: a withdrawn key does
// not undo what ran.
func endCause(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	if cause == nil || !limpeterror.Is(cause, limpeterror.Denied) {
		return err
	}
	if _, body := describe(err); body.Outcome == Unknown {
		return limpeterror.Unknown.Wrap(cause, "the request may have run")
	}
	return cause
}

// A wholeReply holds the answer to a request that was not streamed.
type wholeReply struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []wholeChoice `json:"choices"`
	Usage   wholeUsage    `json:"usage"`
}

type wholeChoice struct {
	Index        int           `json:"index"`
	Text         string        `json:"text,omitempty"`
	Message      *wholeMessage `json:"message,omitempty"`
	FinishReason string        `json:"finish_reason"`
}

type wholeMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type wholeUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// wholeCompletion collects the stream and answers once.
func (f *Front) wholeCompletion(w http.ResponseWriter, q *http.Request, c limpetserve.Completion) {
	var text strings.Builder
	finish := ""
	c.OnData = func(payload []byte) error {
		var chunk limpetengine.Chunk
		if err := json.Unmarshal(payload, &chunk); err != nil {
			return limpeterror.Unknown.Wrap(err, "chunk of the engine")
		}
		text.WriteString(chunk.Content())
		if chunk.Finished() {
			finish = *chunk.Choices[0].FinishReason
		}
		return nil
	}
	result, err := f.Serve.Complete(q.Context(), c)
	if err != nil {
		err = endCause(q.Context(), err)
		f.Log.Emit(limpetlog.RequestRefused, limpetlog.Request(c.ID), limpetlog.Account(c.Account.Name), limpetlog.Error(err))
		fail(w, err, result.RetryAfter)
		return
	}
	choice := wholeChoice{FinishReason: finish, Text: text.String()}
	object := "text_completion"
	if c.Path == limpetengine.PathChat {
		object = "chat.completion"
		choice.Text, choice.Message = "", &wholeMessage{Role: "assistant", Content: text.String()}
	}
	limpethttp.WriteJSON(w, http.StatusOK, wholeReply{
		ID: c.ID, Object: object, Created: time.Now().Unix(), Model: c.Service,
		Choices: []wholeChoice{choice}, Usage: wholeUsage{CompletionTokens: result.Tokens},
	})
}
