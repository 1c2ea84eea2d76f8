package limpetcaller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"limpetmount.org/internal/limpetconfig"
	"limpetmount.org/internal/limpetdispatch"
	"limpetmount.org/internal/limpetengine"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpethttp"
	"limpetmount.org/internal/limpetkey"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetquarantine"
)

// DeadlineHeader is the name of the request header with the time, in RFC 3339
// format, after which a response is useless to the caller, for example a statutory
// deadline.
const DeadlineHeader = "X-Deadline"

const defaultMaxTokens = 256

// A chatMessage holds the fields of a chat message that the frontend reads.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// A completionRequest holds the fields of a request body that the frontend reads.
// All other fields are passed to the engine unchanged.
type completionRequest struct {
	Model     string        `json:"model"`
	Prompt    *string       `json:"prompt"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens *int          `json:"max_tokens"`
	Stream    bool          `json:"stream"`
	N         *int          `json:"n"`
}

func (f *Frontend) completeText(w http.ResponseWriter, r *http.Request, principal limpetkey.Principal) {
	f.complete(w, r, principal, limpetengine.PathCompletions)
}

func (f *Frontend) completeChat(w http.ResponseWriter, r *http.Request, principal limpetkey.Principal) {
	f.complete(w, r, principal, limpetengine.PathChatCompletions)
}

// complete serves a completion request. path is the engine's path for it.
func (f *Frontend) complete(w http.ResponseWriter, r *http.Request, principal limpetkey.Principal, path string) {
	c, stream, err := f.decodeCompletion(r, principal, path)
	if err != nil {
		writeError(w, err, 0)
		return
	}
	if stream {
		f.streamCompletion(w, r, c)
		return
	}
	f.bufferCompletion(w, r, c)
}

// decodeCompletion reads and validates a request and reports whether it asks for a
// stream. Invalid fields are returned together as *limpeterror.Findings.
func (f *Frontend) decodeCompletion(r *http.Request, principal limpetkey.Principal, path string) (limpetdispatch.Completion, bool, error) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return limpetdispatch.Completion{}, false, fmt.Errorf("read body: %w", err)
	}
	if token, err := limpetkey.BearerToken(r.Header.Get("Authorization")); err != nil || bytes.Contains(data, []byte(token)) {
		return limpetdispatch.Completion{}, false, limpeterror.Invalid.New("the body holds the key; remove it there")
	}
	var body completionRequest
	params := limpetengine.Params{}
	if err := limpethttp.DecodeJSON(data, &body); err != nil {
		return limpetdispatch.Completion{}, false, limpeterror.Invalid.New("body is not a JSON object with the expected types: %v", err)
	}
	if err := json.Unmarshal(data, &params); err != nil {
		return limpetdispatch.Completion{}, false, limpeterror.Invalid.New("body is not a JSON object: %v", err)
	}
	findings := &limpeterror.Findings{}
	prompt := promptText(body, path, findings)
	f.checkModel(body, findings)
	deadline := parseDeadline(r, findings)
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
		return limpetdispatch.Completion{}, false, err
	}
	delete(params, limpetengine.ParamResume)
	if err := overrideParams(params, maxTokens); err != nil {
		return limpetdispatch.Completion{}, false, err
	}
	account := f.account(principal)
	return limpetdispatch.Completion{
		ID: requestID(r.Context()), Account: account, Class: account.Class, Service: body.Model, Path: path,
		Params: params, Prompt: prompt, MaxTokens: maxTokens, Deadline: deadline,
		Fingerprint: limpetquarantine.Fingerprint(account.Name, body.Model, data),
	}, body.Stream, nil
}

// overrideParams sets or removes the parameters that callers cannot choose. The
// engine always streams its response, so that progress can be observed.
func overrideParams(p limpetengine.Params, maxTokens int) error {
	if err := p.Set(limpetengine.ParamStream, true); err != nil {
		return err
	}
	delete(p, limpetengine.ParamPriority)
	return p.Set("max_tokens", maxTokens)
}

// promptText returns the prompt, or the concatenated content of the messages of a
// chat.
func promptText(body completionRequest, path string, findings *limpeterror.Findings) string {
	if path == limpetengine.PathCompletions {
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

func (f *Frontend) checkModel(body completionRequest, findings *limpeterror.Findings) {
	s, ok := f.View().Config.Services[body.Model]
	if !ok || s.Kind != limpetconfig.Engine {
		findings.Add("model", "no model %q; GET /v1/models lists them", body.Model)
	}
}

func parseDeadline(r *http.Request, findings *limpeterror.Findings) time.Time {
	text := r.Header.Get(DeadlineHeader)
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

// streamCompletion forwards chunks as they arrive. An error before the first chunk
// gives an ordinary error response. A later one is sent as an error event, without
// the final [DONE] event, so that clients do not take the response as complete.
func (f *Frontend) streamCompletion(w http.ResponseWriter, r *http.Request, c limpetdispatch.Completion) {
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
		return f.writeChunk(w, controller, buffer)
	}
	result, err := f.Dispatcher.Complete(r.Context(), c)
	switch {
	case err == nil:
		_ = f.writeChunk(w, controller, eventDone)
	case !started:
		writeError(w, withdrawalError(r.Context(), err), result.RetryAfter)
	default:
		_, body := classifyError(withdrawalError(r.Context(), err))
		body.Outcome = Unknown
		data, _ := json.Marshal(ErrorResponse{Error: body})
		_ = f.writeChunk(w, controller, append(append(append([]byte{}, eventPrefix...), data...), eventEnd...))
		// Abort the connection, so that clients that ignore error events also
		// notice that the response is incomplete.
		panic(http.ErrAbortHandler)
	}
}

// writeChunk writes and flushes a chunk within Timing.WriteTimeout.
func (f *Frontend) writeChunk(w http.ResponseWriter, controller *http.ResponseController, chunk []byte) error {
	_ = controller.SetWriteDeadline(time.Now().Add(f.timing.WriteTimeout))
	if _, err := w.Write(chunk); err != nil {
		return err
	}
	return controller.Flush()
}

// withdrawalError returns the error to send for a request that failed with err: the
// cancellation cause if the request was canceled because its key is not accepted any
// more, err otherwise. The outcome remains that of err, since the cancellation does
// not undo what has run.
func withdrawalError(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	if !errors.Is(cause, errWithdrawn) && !errors.Is(cause, errUnconfirmed) {
		return err
	}
	if _, body := classifyError(err); body.Outcome == Unknown {
		return limpeterror.Unknown.Wrap(cause, "the request may have run")
	}
	return cause
}

// A completionResponse is the response to a request that is not streamed.
type completionResponse struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   completionUsage    `json:"usage"`
}

type completionChoice struct {
	Index        int                `json:"index"`
	Text         string             `json:"text,omitempty"`
	Message      *completionMessage `json:"message,omitempty"`
	FinishReason string             `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// bufferCompletion collects the engine's stream and responds once it is complete.
func (f *Frontend) bufferCompletion(w http.ResponseWriter, r *http.Request, c limpetdispatch.Completion) {
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
	result, err := f.Dispatcher.Complete(r.Context(), c)
	if err != nil {
		err = withdrawalError(r.Context(), err)
		f.Log.Emit(limpetlog.RequestRefused, limpetlog.Request(c.ID), limpetlog.Account(c.Account.Name), limpetlog.Error(err))
		writeError(w, err, result.RetryAfter)
		return
	}
	choice := completionChoice{FinishReason: finish, Text: text.String()}
	object := "text_completion"
	if c.Path == limpetengine.PathChatCompletions {
		object = "chat.completion"
		choice.Text, choice.Message = "", &completionMessage{Role: "assistant", Content: text.String()}
	}
	limpethttp.WriteJSON(w, http.StatusOK, completionResponse{
		ID: c.ID, Object: object, Created: time.Now().Unix(), Model: c.Service,
		Choices: []completionChoice{choice}, Usage: completionUsage{CompletionTokens: result.Tokens},
	})
}
