package limpetdispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"limpetmount.org/internal/limpetadmission"
	"limpetmount.org/internal/limpetconfig"
	"limpetmount.org/internal/limpetengine"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetmetric"
	"limpetmount.org/internal/limpetquarantine"
	"limpetmount.org/internal/limpetretry"
	"limpetmount.org/internal/limpetroute"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetusage"
)

// A Completion is one request to a model.
type Completion struct {
	ID      string
	Account limpetconfig.Account
	Class   limpetconfig.Class
	Service string
	// Path is the engine's path for text or chat completions.
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
	// Owed requests, such as a trainer's samples, are never quarantined or
	// suspected, however many servers crash under them.
	Owed bool
	// OnData receives the payload of each chunk, which is valid only during the
	// call. An error of type Unknown means that the engine's output is invalid:
	// the request is ended without a retry and the engine's failure is reported.
	// Any other error means that the caller could not take the payload: the
	// request is ended without a retry and the engine is not blamed.
	OnData func(payload []byte) error
}

// A Result describes how a request ended.
type Result struct {
	// RetryAfter is the time after which a rejected caller should try again.
	RetryAfter time.Duration
	Tokens     int
	Attempts   int
}

// errCallerGone marks errors on the caller's side of a stream.
var errCallerGone = errors.New("caller went away")

// errInvalidStream marks streams with invalid content.
var errInvalidStream = errors.New("stream cannot be trusted")

// errNotContinued marks answers that no engine can continue.
var errNotContinued = errors.New("no engine can continue the answer")

// bytesPerToken is a typical token size, used for estimates.
const bytesPerToken = 4

// Complete runs a completion to its end. A stream that breaks is resumed on
// another engine, so that OnData receives each token once. The type of the
// error tells whether the request ran: Overloaded, Denied, Invalid and
// Unavailable mean that it did not, and Unknown means that it may have run.
func (d *Dispatcher) Complete(ctx context.Context, c Completion) (Result, error) {
	arrived := d.Now()
	if err := d.checkCompletion(&c); err != nil {
		return Result{}, err
	}
	entry := &limpetadmission.Entry{
		Account: c.Account.Name, Class: c.Class, Weight: c.Account.Weight,
		Cost: float64(len(c.Prompt)/bytesPerToken + c.MaxTokens), Deadline: c.Deadline,
	}
	controller := d.controller(c.Service)
	rejection, err := controller.Acquire(ctx, entry)
	if err != nil {
		d.Metrics.ObserveRequest(c.Account.Name, string(c.Account.Class), "refused", limpetmetric.Timing{Queue: d.Now().Sub(arrived), Total: d.Now().Sub(arrived)})
		return Result{RetryAfter: rejection.RetryAfter}, err
	}
	admitted := d.Now()
	e := &execution{dispatcher: d, completion: c, arrived: arrived}
	err = e.run(ctx)
	ended := d.Now()
	count := limpetusage.Count{ServerMillis: uint64(e.serverTime.Milliseconds())}
	if e.tokens > 0 || err == nil {
		count.Requests, count.Tokens = 1, uint64(e.tokens)
		count.PromptTokens = uint64(len(c.Prompt) / bytesPerToken)
	}
	controller.Release(entry, ended.Sub(admitted), float64(count.Tokens+count.PromptTokens))
	d.record(c.Service, c.Account, outcomeOf(err), e.tokens, count,
		limpetmetric.Timing{Queue: admitted.Sub(arrived), FirstToken: e.firstToken, Total: ended.Sub(arrived)})
	d.logCompletion(c, e, err)
	return Result{Tokens: e.tokens, Attempts: e.attempts, RetryAfter: defaultRetryAfter}, err
}

func outcomeOf(err error) string {
	switch {
	case err == nil:
		return "done"
	case errors.Is(err, errCallerGone):
		return "caller_gone"
	case limpeterror.Is(err, limpeterror.Unknown):
		return "unknown"
	default:
		return "not_run"
	}
}

func (d *Dispatcher) logCompletion(c Completion, e *execution, err error) {
	fields := []limpetlog.Field{limpetlog.Request(c.ID), limpetlog.Account(c.Account.Name), limpetlog.Value("service", c.Service),
		limpetlog.Value("tokens", e.tokens), limpetlog.Value("attempts", e.attempts)}
	if err != nil {
		d.Log.Emit(limpetlog.RequestFailed, append(fields, limpetlog.Error(err), limpetlog.Value("outcome", outcomeOf(err)))...)
		return
	}
	d.Log.Emit(limpetlog.RequestCompleted, fields...)
}

// checkCompletion is checkQuarantine for a completion that may be owed.
func (d *Dispatcher) checkCompletion(c *Completion) error {
	if c.Owed {
		return nil
	}
	return d.checkQuarantine(c.Fingerprint)
}

func (d *Dispatcher) checkQuarantine(fingerprint uint64) error {
	if c, ok := d.View().Quarantine.Quarantined[fingerprint]; ok {
		return limpeterror.Denied.New("the request crashed %d backend servers and is quarantined; an operator can release it", len(c.Servers))
	}
	return nil
}

// An execution holds the state of one completion across its attempts.
type execution struct {
	dispatcher *Dispatcher
	completion Completion
	arrived    time.Time
	attempts   int
	tokens     int
	// firstToken is the time from the arrival of the request to its first token.
	firstToken time.Duration
	// serverTime is the total duration of the attempts.
	serverTime time.Duration
	exclude    []string
	// delivered holds the payloads passed to OnData, from which another engine
	// resumes.
	delivered bytes.Buffer
	// mayHaveRun is set once an attempt may have run on an engine.
	mayHaveRun bool
	// software began the answer. It is known unless the engine that began it was
	// started again after it had been chosen.
	software        string
	softwareUnknown bool
	// finished is set when a chunk with a finish reason was received.
	finished bool
}

// defaultRetryAfter is the retry time that callers are told when the admission
// controller did not determine one.
const defaultRetryAfter = time.Second

const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

func (e *execution) run(ctx context.Context) error {
	d := e.dispatcher
	budget := d.budget(e.completion.Service)
	for {
		e.attempts++
		err := e.runOnce(ctx)
		if err == nil {
			budget.Success()
			return nil
		}
		if errors.Is(err, errCallerGone) || ctx.Err() != nil {
			return e.finalError(errors.Join(errCallerGone, err))
		}
		if errors.Is(err, errInvalidStream) || errors.Is(err, errNotContinued) {
			return limpeterror.Unknown.Wrap(err, "answer given up")
		}
		if !limpetretry.Allowed(err, true) || e.attempts >= d.limits.MaxAttempts {
			return e.finalError(err)
		}
		if quarantined := d.checkCompletion(&e.completion); quarantined != nil {
			return e.finalError(quarantined)
		}
		if !budget.Take() {
			return e.finalError(err)
		}
		d.Metrics.CountRetry(e.completion.Service, outcomeOf(err))
		if !limpettask.Sleep(ctx, limpetretry.Backoff(e.attempts, initialBackoff, maxBackoff)) {
			return e.finalError(err)
		}
	}
}

// finalError returns the error that ends the request, given that of the last
// attempt. Its type tells that the request did not run only if none of the
// attempts may have run on an engine.
func (e *execution) finalError(err error) error {
	if !e.mayHaveRun || limpeterror.Is(err, limpeterror.Unknown) {
		return err
	}
	wrapped := limpeterror.Unknown.Wrap(err, "an attempt may have run")
	if errors.Is(err, errCallerGone) {
		// errors.Is does not see through errorx wrappers.
		return errors.Join(errCallerGone, wrapped)
	}
	return wrapped
}

// runOnce makes one attempt on one server.
func (e *execution) runOnce(ctx context.Context) error {
	d, c := e.dispatcher, &e.completion
	view := d.View()
	candidates := view.Servers[c.Service]
	if err := e.checkContinues(candidates); err != nil {
		return err
	}
	suspect := !c.Owed && view.Quarantine.Suspects[c.Fingerprint]
	query := limpetroute.Query{
		Zone: d.zone, Prefix: limpetengine.PrefixHash(c.Prompt), PromptBytes: len(c.Prompt), MinVersion: c.MinVersion,
		Continues: e.tokens > 0, Software: e.software, Exclude: e.exclude, Isolated: suspect, Cheap: c.Cheap, Random: rand.Uint64(),
	}
	picked := d.Policy.Pick(candidates, query)
	if picked == limpetroute.None {
		// The next attempt may use any server again.
		e.exclude = nil
		return limpeterror.Unavailable.New("no backend server of service %s takes requests", c.Service)
	}
	candidate := candidates[picked]
	params, err := e.params()
	if err != nil {
		return err
	}
	if e.tokens > 0 {
		d.Metrics.CountContinuation(limpetmetric.Completions, limpetmetric.SameSoftware)
	}
	d.startRequest(candidate.Server, c.Fingerprint, c.Account.Name)
	began := d.Now()
	err = e.stream(ctx, candidate, params)
	e.serverTime += d.Now().Sub(began)
	if err != nil {
		e.handleFailure(candidate, err)
	} else if !c.Owed {
		d.clear(c.Fingerprint)
	}
	d.endRequest(candidate.Server, c.Fingerprint)
	return err
}

// checkContinues returns an error if the text so far cannot go on: no engine of the
// software that began it takes requests, or that is not known.
func (e *execution) checkContinues(candidates []limpetroute.Candidate) error {
	if e.tokens == 0 {
		return nil
	}
	outcome := limpetmetric.NoneLeft
	if e.softwareUnknown {
		outcome = limpetmetric.UnknownSoftware
	} else if slices.ContainsFunc(candidates, func(c limpetroute.Candidate) bool { return !c.Leaving && c.Software == e.software }) {
		return nil
	}
	d, c := e.dispatcher, &e.completion
	d.Metrics.CountContinuation(limpetmetric.Completions, outcome)
	d.Log.Emit(limpetlog.StreamNotContinued, limpetlog.Request(c.ID), limpetlog.Account(c.Account.Name), limpetlog.Value("after", e.tokens),
		limpetlog.Value("software", e.software), limpetlog.Value("outcome", outcome))
	return errNotContinued
}

// recordSoftware records the software that sent the first token of the answer. An
// engine that names another incarnation than the one that was chosen may run other
// software.
func (e *execution) recordSoftware(candidate limpetroute.Candidate, payload []byte) {
	e.software = candidate.Software
	var chunk limpetengine.Chunk
	if json.Unmarshal(payload, &chunk) == nil && chunk.Weights != nil && chunk.Weights.Incarnation != candidate.Incarnation {
		e.softwareUnknown = candidate.Software != ""
	}
}

// params returns the request body for the engine. It includes the text so far
// if another engine resumes the stream.
func (e *execution) params() ([]byte, error) {
	p := e.completion.Params
	if e.tokens > 0 {
		// The caller may complete the same parameters once more.
		p = maps.Clone(p)
		if err := p.Set(limpetengine.ParamResume, limpetengine.Resume{Text: e.text(), Tokens: e.tokens}); err != nil {
			return nil, err
		}
	}
	data, err := json.Marshal(p)
	if err != nil {
		return nil, limpeterror.Invalid.Wrap(err, "parameters")
	}
	return data, nil
}

// text returns the text delivered so far.
func (e *execution) text() string {
	var b strings.Builder
	for _, payload := range bytes.Split(e.delivered.Bytes(), []byte{'\n'}) {
		var chunk limpetengine.Chunk
		if json.Unmarshal(payload, &chunk) == nil {
			b.WriteString(chunk.Content())
		}
	}
	return b.String()
}

var finishReasonPrefix = []byte(`"finish_reason":"`)

// stream reads the stream of one engine. It cancels a stream without progress,
// because a connection may stay open after the peer stopped sending.
func (e *execution) stream(ctx context.Context, candidate limpetroute.Candidate, params []byte) error {
	d, c := e.dispatcher, &e.completion
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(d.timing.FirstTokenTimeout, cancel)
	defer watchdog.Stop()
	err := d.Engine.Stream(ctx, candidate.Address, c.Path, params, func(payload []byte) error {
		watchdog.Reset(d.timing.StallTimeout)
		e.mayHaveRun = true
		if err := checkPosition(payload, e.tokens); err != nil {
			return err
		}
		if e.delivered.Len()+len(payload) > maxResponseBytes {
			return errors.Join(errInvalidStream, limpeterror.Unknown.New("an answer of more than %d bytes", maxResponseBytes))
		}
		if err := c.OnData(payload); limpeterror.Is(err, limpeterror.Unknown) {
			return errors.Join(errInvalidStream, err)
		} else if err != nil {
			return errors.Join(errCallerGone, err)
		}
		if e.tokens == 0 {
			e.firstToken = d.Now().Sub(e.arrived)
			e.recordSoftware(candidate, payload)
		}
		e.tokens++
		e.delivered.Write(payload)
		e.delivered.WriteByte('\n')
		e.finished = e.finished || bytes.Contains(payload, finishReasonPrefix)
		return nil
	})
	if err == nil && !e.finished {
		err = limpeterror.Unknown.New("stream of %s ended without a finish reason", candidate.ID)
	}
	if err != nil && e.finished && !errors.Is(err, errCallerGone) {
		// The complete text was delivered; only the end marker was lost.
		return nil
	}
	e.mayHaveRun = e.mayHaveRun || limpeterror.Is(err, limpeterror.Unknown)
	return err
}

var (
	indexField   = []byte(`"index":`)
	afterNumbers = []byte(",} \n")
)

// checkPosition returns an error for a chunk that is not the one after the given number
// of tokens: one before it is missing, or was spoiled. It parses a chunk only if it does
// not find the index at once.
func checkPosition(payload []byte, tokens int) error {
	if tokens > 0 && hasIndex(payload, tokens) {
		return nil
	}
	var chunk limpetengine.Chunk
	if err := json.Unmarshal(payload, &chunk); err != nil {
		return limpeterror.Unknown.Wrap(err, "chunk of the engine")
	}
	if chunk.Index != tokens {
		return limpeterror.Unknown.New("chunk %d after %d tokens", chunk.Index, tokens)
	}
	return nil
}

// hasIndex reports whether a chunk has an index of the given value, which is above 0.
// The index of a choice, which has the same name, is 0.
func hasIndex(payload []byte, index int) bool {
	at := bytes.LastIndex(payload, indexField)
	if at < 0 {
		return false
	}
	var buffer [20]byte
	rest, found := bytes.CutPrefix(payload[at+len(indexField):], strconv.AppendInt(buffer[:0], int64(index), 10))
	return found && len(rest) > 0 && bytes.IndexByte(afterNumbers, rest[0]) >= 0
}

// handleFailure excludes the server of a failed attempt from later ones, and
// reports the request if the server crashed under it.
func (e *execution) handleFailure(candidate limpetroute.Candidate, err error) {
	d, c := e.dispatcher, &e.completion
	if errors.Is(err, errCallerGone) || limpeterror.Is(err, limpeterror.Invalid) {
		return
	}
	d.Log.Emit(limpetlog.AttemptFailed, limpetlog.Request(c.ID), limpetlog.Account(c.Account.Name), limpetlog.Server(candidate.ID), limpetlog.Error(err))
	e.exclude = append(e.exclude, candidate.ID)
	d.ReportFailure(candidate.Server)
	if !c.Owed && limpeterror.Is(err, limpeterror.Unknown) && d.crashed(candidate) {
		d.blame(candidate, c.ID, c.Account.Name, c.Fingerprint)
	}
}

// blame reports a request as a suspect of having crashed a server, unless another
// request on the server is a suspect of an earlier crash.
func (d *Dispatcher) blame(candidate limpetroute.Candidate, request, account string, fingerprint uint64) {
	if !d.View().Quarantine.Suspects[fingerprint] && d.suspectRunsOn(candidate.Server) {
		return
	}
	d.Log.Emit(limpetlog.CrashSuspected, limpetlog.Request(request), limpetlog.Account(account), limpetlog.Server(candidate.ID),
		limpetlog.Value("fingerprint", limpetquarantine.Name(fingerprint)))
	d.ReportCrash(fingerprint, account, candidate.ID)
}

// clear reports a request that was served, if it is a suspect.
func (d *Dispatcher) clear(fingerprint uint64) {
	if d.View().Quarantine.Suspects[fingerprint] {
		d.ReportServed(fingerprint)
	}
}

const probeTimeout = time.Second

// crashed reports whether a server is unreachable or runs as another
// incarnation than that of the candidate.
func (d *Dispatcher) crashed(candidate limpetroute.Candidate) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	load, err := d.Engine.Load(ctx, candidate.Address)
	if err != nil {
		return limpeterror.Is(err, limpeterror.Unavailable)
	}
	return load.Incarnation != candidate.Incarnation
}

// suspectRunsOn reports whether a request of this VM that is a suspect of an
// earlier crash runs on a server. If so, only suspects are blamed for a new
// crash.
func (d *Dispatcher) suspectRunsOn(server *limpetroute.Server) bool {
	suspects := d.View().Quarantine.Suspects
	d.mu.Lock()
	defer d.mu.Unlock()
	running := make([]uint64, 0, len(d.running[server]))
	for f := range d.running[server] {
		running = append(running, f)
	}
	blamed := limpetquarantine.Blame(running, suspects)
	return len(blamed) > 0 && suspects[blamed[0]]
}
