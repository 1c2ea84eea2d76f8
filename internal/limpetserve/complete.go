package limpetserve

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"limpetmount.org/internal/limpetconfig"
	"limpetmount.org/internal/limpetengine"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetmetric"
	"limpetmount.org/internal/limpetquarantine"
	"limpetmount.org/internal/limpetretry"
	"limpetmount.org/internal/limpetroute"
	"limpetmount.org/internal/limpetshare"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetusage"
)

// A Completion holds one request to a model.
type Completion struct {
	ID      string
	Account limpetconfig.Account
	Class   limpetconfig.Class
	Service string
	// Path is the engine's path, for text or chat.
	Path      string
	Params    limpetengine.Params
	Prompt    string
	MaxTokens int
	Deadline  time.Time
	// MinVersion excludes engines with older weights.
	MinVersion uint64
	// Cheap prefers servers that can be reclaimed.
	Cheap       bool
	Fingerprint uint64
	// OnData gets each chunk's payload, valid during the call only. An error of
	// type Unknown is the engine's fault: the answer is given up and the
	// engine is avoided. Other errors are the caller's.
	OnData func(payload []byte) error
}

// A Result holds how a request ended.
type Result struct {
	// RetryAfter is set on refusals.
	RetryAfter time.Duration
	Tokens     int
	Attempts   int
}

// errSink marks errors of the caller's side of a stream.
var errSink = errors.New("caller went away")

// errBadStream marks streams whose content cannot be trusted.
var errBadStream = errors.New("stream cannot be trusted")

// bytesPerToken is the usual size of a token, for estimates.
const bytesPerToken = 4

// Complete runs a completion to its end mark. A stream that breaks is resumed
// at another engine, so that OnData sees each token once. The error's type
// says whether the request ran: Overloaded, Denied, Invalid and Unavailable
// mean that it did not.
func (s *Server) Complete(ctx context.Context, c Completion) (Result, error) {
	arrived := s.Now()
	if err := s.checkQuarantine(c.Fingerprint); err != nil {
		return Result{}, err
	}
	ticket := &limpetshare.Ticket{
		Account: c.Account.Name, Class: c.Class, Weight: c.Account.Weight,
		Cost: float64(len(c.Prompt)/bytesPerToken + c.MaxTokens), Deadline: c.Deadline,
	}
	gate := s.gate(c.Service)
	refusal, err := gate.Enter(ctx, ticket)
	if err != nil {
		s.Metrics.Request(c.Account.Name, string(c.Account.Class), "refused", limpetmetric.Timing{Queue: s.Now().Sub(arrived), Total: s.Now().Sub(arrived)})
		return Result{RetryAfter: refusal.RetryAfter}, err
	}
	admitted := s.Now()
	a := &attempt{server: s, completion: c, arrived: arrived}
	err = a.run(ctx)
	ended := s.Now()
	count := limpetusage.Count{ServerMillis: uint64(a.busy.Milliseconds())}
	if a.tokens > 0 || err == nil {
		count.Requests, count.Tokens = 1, uint64(a.tokens)
		count.PromptTokens = uint64(len(c.Prompt) / bytesPerToken)
	}
	gate.Leave(ticket, ended.Sub(admitted), float64(count.Tokens+count.PromptTokens))
	s.record(c.Service, c.Account, outcomeOf(err), a.tokens, count,
		limpetmetric.Timing{Queue: admitted.Sub(arrived), First: a.first, Total: ended.Sub(arrived)})
	s.logEnd(c, a, err)
	return Result{Tokens: a.tokens, Attempts: a.tries, RetryAfter: retrySoon}, err
}

func outcomeOf(err error) string {
	switch {
	case err == nil:
		return "done"
	case errors.Is(err, errSink):
		return "caller_gone"
	case limpeterror.Is(err, limpeterror.Unknown):
		return "unknown"
	default:
		return "not_run"
	}
}

func (s *Server) logEnd(c Completion, a *attempt, err error) {
	fields := []limpetlog.Field{limpetlog.Request(c.ID), limpetlog.Account(c.Account.Name), limpetlog.Value("service", c.Service),
		limpetlog.Value("tokens", a.tokens), limpetlog.Value("attempts", a.tries)}
	if err != nil {
		s.Log.Emit(limpetlog.RequestFailed, append(fields, limpetlog.Error(err), limpetlog.Value("outcome", outcomeOf(err)))...)
		return
	}
	s.Log.Emit(limpetlog.RequestDone, fields...)
}

func (s *Server) checkQuarantine(fingerprint uint64) error {
	if c, ok := s.View().Quarantine.Quarantined[fingerprint]; ok {
		return limpeterror.Denied.New("the request crashed %d backend servers and is quarantined; an operator can release it", len(c.Servers))
	}
	return nil
}

// An attempt holds the state of one request over its attempts.
type attempt struct {
	server     *Server
	completion Completion
	arrived    time.Time
	tries      int
	tokens     int
	first      time.Duration
	busy       time.Duration
	exclude    []string
	// sent holds the payloads that OnData got, for a resume.
	sent bytes.Buffer
	// ran is set once an attempt may have run at an engine.
	ran bool
	// finished is set when a chunk with a finish reason came.
	finished bool
}

// retrySoon is told to callers whose request could not be placed.
const retrySoon = time.Second

const (
	pauseFirst = 50 * time.Millisecond
	pauseMost  = 2 * time.Second
)

func (a *attempt) run(ctx context.Context) error {
	s := a.server
	budget := s.budget(a.completion.Service)
	for {
		a.tries++
		err := a.once(ctx)
		if err == nil {
			budget.Success()
			return nil
		}
		if errors.Is(err, errSink) || ctx.Err() != nil {
			return a.final(errors.Join(errSink, err))
		}
		if errors.Is(err, errBadStream) {
			return limpeterror.Unknown.Wrap(err, "answer given up")
		}
		if !limpetretry.Allowed(err, true) || a.tries >= s.limits.Retries {
			return a.final(err)
		}
		if quarantined := s.checkQuarantine(a.completion.Fingerprint); quarantined != nil {
			return a.final(quarantined)
		}
		if !budget.Take() {
			return a.final(err)
		}
		s.Metrics.Retry(a.completion.Service, outcomeOf(err))
		if !limpettask.Sleep(ctx, limpetretry.Pause(a.tries, pauseFirst, pauseMost)) {
			return a.final(err)
		}
	}
}

// final makes the error tell the truth over all attempts: "not run" only when
// no attempt may have reached an engine, whatever ended the request.
func (a *attempt) final(err error) error {
	if !a.ran || limpeterror.Is(err, limpeterror.Unknown) {
		return err
	}
	wrapped := limpeterror.Unknown.Wrap(err, "an attempt may have run")
	if errors.Is(err, errSink) {
		// errorx hides what it wraps from errors.Is.
		return errors.Join(errSink, wrapped)
	}
	return wrapped
}

// once runs one attempt at one server.
func (a *attempt) once(ctx context.Context) error {
	s, c := a.server, &a.completion
	view := s.View()
	candidates := view.Servers[c.Service]
	suspect := view.Quarantine.Suspects[c.Fingerprint]
	query := limpetroute.Query{
		Zone: s.zone, Prefix: limpetengine.PrefixHash(c.Prompt), PromptBytes: len(c.Prompt), MinVersion: c.MinVersion,
		Exclude: a.exclude, Alone: suspect, Cheap: c.Cheap, Random: rand.Uint64(),
	}
	picked := s.Policy.Pick(candidates, query)
	if picked == limpetroute.None {
		a.exclude = nil
		return limpeterror.Unavailable.New("no backend server of service %s takes requests", c.Service)
	}
	candidate := candidates[picked]
	params, err := a.params()
	if err != nil {
		return err
	}
	s.begin(candidate.Server, c.Fingerprint, c.Account.Name)
	began := s.Now()
	err = a.stream(ctx, candidate, params)
	a.busy += s.Now().Sub(began)
	if err != nil {
		a.fail(candidate, suspect, err)
	}
	s.end(candidate.Server, c.Fingerprint)
	return err
}

// params returns the body for the engine, with the answer so far when the
// request goes on elsewhere.
func (a *attempt) params() ([]byte, error) {
	p := a.completion.Params
	if a.tokens > 0 {
		if err := p.Set(limpetengine.ParamResume, limpetengine.Resume{Text: a.text(), Tokens: a.tokens}); err != nil {
			return nil, err
		}
	}
	data, err := json.Marshal(p)
	if err != nil {
		return nil, limpeterror.Invalid.Wrap(err, "parameters")
	}
	return data, nil
}

// text returns the answer so far.
func (a *attempt) text() string {
	var b strings.Builder
	for _, payload := range bytes.Split(a.sent.Bytes(), []byte{'\n'}) {
		var chunk limpetengine.Chunk
		if json.Unmarshal(payload, &chunk) == nil {
			b.WriteString(chunk.Content())
		}
	}
	return b.String()
}

var finishMark = []byte(`"finish_reason":"`)

// stream reads one engine's stream. A stream without progress is cut off: an
// open connection may have gone silent for good.
func (a *attempt) stream(ctx context.Context, candidate limpetroute.Candidate, params []byte) error {
	s, c := a.server, &a.completion
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(s.timing.First, cancel)
	defer watchdog.Stop()
	err := s.Engine.Stream(ctx, candidate.Address, c.Path, params, func(payload []byte) error {
		watchdog.Reset(s.timing.Stall)
		a.ran = true
		if err := c.OnData(payload); limpeterror.Is(err, limpeterror.Unknown) {
			return errors.Join(errBadStream, err)
		} else if err != nil {
			return errors.Join(errSink, err)
		}
		if a.tokens == 0 {
			a.first = s.Now().Sub(a.arrived)
		}
		a.tokens++
		a.sent.Write(payload)
		a.sent.WriteByte('\n')
		a.finished = a.finished || bytes.Contains(payload, finishMark)
		return nil
	})
	if err == nil && !a.finished {
		err = limpeterror.Unknown.New("stream of %s ended without a finish reason", candidate.ID)
	}
	if err != nil && a.finished && !errors.Is(err, errSink) {
		// The whole answer was delivered; only the end mark was lost.
		return nil
	}
	a.ran = a.ran || limpeterror.Is(err, limpeterror.Unknown)
	return err
}

// fail draws the conclusions of a failed attempt: the server is avoided, and
// when it crashed, the requests that ran there are blamed.
func (a *attempt) fail(candidate limpetroute.Candidate, suspect bool, err error) {
	s, c := a.server, &a.completion
	if errors.Is(err, errSink) || limpeterror.Is(err, limpeterror.Invalid) {
		return
	}
	s.Log.Emit(limpetlog.AttemptFailed, limpetlog.Request(c.ID), limpetlog.Account(c.Account.Name), limpetlog.Server(candidate.ID), limpetlog.Error(err))
	a.exclude = append(a.exclude, candidate.ID)
	s.Failed(candidate.Server)
	if !limpeterror.Is(err, limpeterror.Unknown) || !s.crashed(candidate) {
		return
	}
	if !suspect && s.suspectAt(candidate.Server) {
		return
	}
	s.Log.Emit(limpetlog.CrashReported, limpetlog.Request(c.ID), limpetlog.Account(c.Account.Name), limpetlog.Server(candidate.ID))
	s.Crashed(c.Fingerprint, c.Account.Name, candidate.ID)
}

const probeTimeout = time.Second

// crashed asks a server whether it is another incarnation than before.
func (s *Server) crashed(candidate limpetroute.Candidate) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	load, err := s.Engine.Load(ctx, candidate.Address)
	if err != nil {
		return limpeterror.Is(err, limpeterror.Unavailable)
	}
	return load.Incarnation != candidate.Incarnation
}

// suspectAt reports whether a suspect of an earlier crash runs at a server;
// then the suspect alone is blamed.
func (s *Server) suspectAt(server *limpetroute.Server) bool {
	suspects := s.View().Quarantine.Suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	running := make([]uint64, 0, len(s.running[server]))
	for f := range s.running[server] {
		running = append(running, f)
	}
	blamed := limpetquarantine.Blame(running, suspects)
	return len(blamed) > 0 && suspects[blamed[0]]
}
