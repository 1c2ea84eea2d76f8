package limpetdispatch

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"limpetmount.org/internal/limpetadmission"
	"limpetmount.org/internal/limpetclaim"
	"limpetmount.org/internal/limpetconfig"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpethttp"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetmetric"
	"limpetmount.org/internal/limpetretry"
	"limpetmount.org/internal/limpetroute"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetupstream"
	"limpetmount.org/internal/limpetusage"
)

// A Call is one request to a plain service.
type Call struct {
	ID      string
	Account limpetconfig.Account
	Service limpetconfig.Service
	Method  string
	// Target is the path and query that are sent to the backend server.
	Target string
	// Header must not contain the caller's key.
	Header http.Header
	Body   []byte
	// IdempotencyKey is the key that the caller sent, or empty.
	IdempotencyKey string
	Deadline       time.Time
	Fingerprint    uint64
	// Unbilled is set for requests on open routes, which are not billed to an
	// account.
	Unbilled bool
}

// A Response is the complete response of a backend server.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Replayed is set if the response is that of an earlier request with the
	// same idempotency key.
	Replayed bool
}

// maxResponseBytes limits the responses of backend servers. Those of plain services
// are read completely before the caller gets them, so that a truncated response is
// never passed on as a complete one; those of engines are kept to continue elsewhere.
const maxResponseBytes = 16 << 20

// maxUnreadBytes limits all responses together while they are being read.
const maxUnreadBytes = 128 << 20

// A plainClient sends requests to plain services. It does not follow redirects;
// the caller gets them as responses.
type plainClient struct {
	client *http.Client
	// memory bounds the responses that are being read.
	memory *limpethttp.Budget
}

const maxIdleConnsPerServer = 32

func newPlainClient(timeout time.Duration) plainClient {
	return plainClient{memory: limpethttp.NewBudget(func() int64 { return maxUnreadBytes }), client: &http.Client{
		Transport:     limpethttp.NewTransport(maxIdleConnsPerServer),
		Timeout:       timeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

func idempotentMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// Call forwards a request to a plain service. A request that is not idempotent
// runs at most once: it is retried only if it was provably not sent, and its
// idempotency key, if any, is claimed first. An error of type Unknown means that
// this call may have run the request, and any other error that it did not.
func (d *Dispatcher) Call(ctx context.Context, c Call) (Response, Result, error) {
	arrived := d.Now()
	if err := d.checkQuarantine(c.Fingerprint); err != nil {
		return Response{}, Result{}, err
	}
	idempotent := c.Service.Idempotent || idempotentMethod(c.Method)
	attempt := d.NewID()
	claimed := !idempotent && c.IdempotencyKey != ""
	if claimed {
		if response, done, err := d.claim(ctx, c, attempt); done || err != nil {
			return response, Result{RetryAfter: defaultRetryAfter}, err
		}
	}
	response, result, err := d.callWithAdmission(ctx, c, idempotent, arrived)
	if claimed {
		d.finishClaim(c, attempt, response, err)
	}
	return response, result, err
}

func claimName(c Call) string {
	return limpetclaim.Name(c.Account.Name, c.Service.Name, c.IdempotencyKey)
}

// claim claims the caller's idempotency key for the attempt. done is set if the
// response of an earlier attempt is recorded; that response is returned. An
// error means that this attempt must not run.
func (d *Dispatcher) claim(ctx context.Context, c Call, attempt string) (response Response, done bool, err error) {
	digest := limpetclaim.Digest(c.Body)
	e, err := d.Claim(ctx, limpetclaim.Request{Claim: claimName(c), Attempt: attempt, Digest: digest, State: limpetclaim.Claimed})
	if err != nil {
		// This attempt does not run, whether or not its claim was recorded.
		return response, false, limpeterror.Unavailable.Wrap(err, "the idempotency key could not be claimed")
	}
	if e.Attempt == attempt && e.State == limpetclaim.Claimed {
		return response, false, nil
	}
	if e.Digest != digest {
		return response, false, limpeterror.Invalid.New("the idempotency key was used with another body")
	}
	switch e.State {
	case limpetclaim.Ran:
		response = Response{Status: e.Status, Header: http.Header{}, Body: e.Body, Replayed: true}
		return response, true, nil
	case limpetclaim.Claimed:
		return response, false, limpeterror.Conflict.New("an earlier request with this idempotency key is running or its outcome is not known yet; this one was not run")
	default:
		return response, false, limpeterror.Conflict.New("an earlier request with this idempotency key may have run; this one was not run")
	}
}

const finishClaimTimeout = 5 * time.Second

// finishClaim records the outcome of a claimed attempt. A response that is too
// large for the record is recorded as an unknown outcome. If the recording
// fails, the key stays claimed and later requests with it are rejected, so that
// none runs twice.
func (d *Dispatcher) finishClaim(c Call, attempt string, response Response, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), finishClaimTimeout)
	defer cancel()
	r := limpetclaim.Request{Claim: claimName(c), Attempt: attempt, Digest: limpetclaim.Digest(c.Body)}
	switch {
	case err == nil:
		r.State, r.Status, r.Body = limpetclaim.Ran, response.Status, response.Body
		if len(r.Body) > limpetclaim.MaxResponseBytes {
			r.State, r.Body = limpetclaim.Unknown, nil
		}
	case limpeterror.Is(err, limpeterror.Unknown):
		r.State = limpetclaim.Unknown
	default:
		r.State = limpetclaim.NotRun
	}
	if _, err := d.Claim(ctx, r); err != nil {
		d.Log.Emit(limpetlog.AttemptFailed, limpetlog.Request(c.ID), limpetlog.Account(c.Account.Name), limpetlog.Error(err))
	}
}

func (d *Dispatcher) callWithAdmission(ctx context.Context, c Call, idempotent bool, arrived time.Time) (Response, Result, error) {
	entry := &limpetadmission.Entry{Account: c.Account.Name, Class: c.Account.Class, Weight: c.Account.Weight, Cost: 1, Deadline: c.Deadline}
	controller := d.controller(c.Service.Name)
	rejection, err := controller.Acquire(ctx, entry)
	if err != nil {
		return Response{}, Result{RetryAfter: rejection.RetryAfter}, err
	}
	admitted := d.Now()
	response, attempts, err := d.callWithRetries(ctx, c, idempotent)
	ended := d.Now()
	controller.Release(entry, ended.Sub(admitted), 1)
	count := limpetusage.Count{}
	if !c.Unbilled && (err == nil || limpeterror.Is(err, limpeterror.Unknown)) {
		count = limpetusage.Count{Requests: 1, ServerMillis: uint64(ended.Sub(admitted).Milliseconds())}
	}
	d.record(c.Service.Name, c.Account, outcomeOf(err), 0, count, limpetmetric.Timing{Queue: admitted.Sub(arrived), Total: ended.Sub(arrived)})
	fields := []limpetlog.Field{limpetlog.Request(c.ID), limpetlog.Account(c.Account.Name), limpetlog.Value("service", c.Service.Name), limpetlog.Value("attempts", attempts)}
	if err != nil {
		d.Log.Emit(limpetlog.RequestFailed, append(fields, limpetlog.Error(err), limpetlog.Value("outcome", outcomeOf(err)))...)
	} else {
		d.Log.Emit(limpetlog.RequestCompleted, append(fields, limpetlog.Value("status", response.Status))...)
	}
	return response, Result{Attempts: attempts, RetryAfter: defaultRetryAfter}, err
}

func (d *Dispatcher) callWithRetries(ctx context.Context, c Call, idempotent bool) (Response, int, error) {
	budget := d.budget(c.Service.Name)
	var exclude []string
	mayHaveRun := false
	for attempts := 1; ; attempts++ {
		response, server, err := d.callOnce(ctx, c, exclude)
		if err == nil {
			budget.Success()
			return response, attempts, nil
		}
		mayHaveRun = mayHaveRun || limpeterror.Is(err, limpeterror.Unknown)
		if mayHaveRun && !limpeterror.Is(err, limpeterror.Unknown) {
			err = limpeterror.Unknown.Wrap(err, "an earlier attempt may have run")
		}
		retry := limpetretry.Allowed(err, idempotent) && attempts < d.limits.MaxAttempts && ctx.Err() == nil && d.checkQuarantine(c.Fingerprint) == nil
		if !retry || !budget.Take() {
			return Response{}, attempts, err
		}
		d.Metrics.CountRetry(c.Service.Name, outcomeOf(err))
		exclude = append(exclude, server)
		if !limpettask.Sleep(ctx, limpetretry.Backoff(attempts, initialBackoff, maxBackoff)) {
			return Response{}, attempts, err
		}
	}
}

// callOnce makes one attempt on one server and returns the server's ID.
func (d *Dispatcher) callOnce(ctx context.Context, c Call, exclude []string) (Response, string, error) {
	view := d.View()
	candidates := view.Servers[c.Service.Name]
	picked := d.Policy.Pick(candidates, limpetroute.Query{
		Zone: d.zone, Exclude: exclude, Isolated: view.Quarantine.Suspects[c.Fingerprint], Random: rand.Uint64(),
	})
	if picked == limpetroute.None {
		return Response{}, "", limpeterror.Unavailable.New("no backend server of service %s takes requests", c.Service.Name)
	}
	candidate := candidates[picked]
	d.startRequest(candidate.Server, c.Fingerprint, c.Account.Name)
	defer d.endRequest(candidate.Server, c.Fingerprint)
	response, err := d.plain.do(ctx, candidate.Address, c)
	switch {
	case err != nil:
		d.ReportFailure(candidate.Server)
	case limpetupstream.StatusProvesRun(response.Status):
		d.clear(c.Fingerprint)
	}
	if limpeterror.Is(err, limpeterror.Unknown) && refusesConnections(ctx, candidate.Address) {
		d.blame(candidate, c.ID, c.Account.Name, c.Fingerprint)
	}
	return response, candidate.ID, err
}

// refusesConnections reports whether nothing listens at an address any more.
func refusesConnections(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	// Nothing was written, so a close error means nothing.
	_ = conn.Close()
	return false
}

// do sends the request once and reads the complete response.
func (p plainClient) do(ctx context.Context, address string, c Call) (Response, error) {
	request, err := limpethttp.NewRequest(ctx, c.Method, "http://"+address+c.Target, c.Body)
	if err != nil {
		return Response{}, err
	}
	request.Header = c.Header.Clone()
	request.Header.Set("X-Request-Id", c.ID)
	response, err := p.client.Do(request)
	if err != nil {
		return Response{}, limpethttp.Classify(err, "service "+c.Service.Name)
	}
	defer response.Body.Close()
	if err := limpethttp.CheckStatus(response.StatusCode); err != nil {
		return Response{}, limpeterror.Unknown.Wrap(err, "answer of service %s", c.Service.Name)
	}
	body, hold, err := p.memory.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1), response.ContentLength)
	if err != nil {
		return Response{}, limpeterror.Unknown.Wrap(err, "answer of service %s", c.Service.Name)
	}
	// Only answers that are still being read can be without end.
	defer hold.Release()
	if len(body) > maxResponseBytes {
		return Response{}, limpeterror.Unknown.New("answer of service %s is larger than %d bytes", c.Service.Name, maxResponseBytes)
	}
	if want := response.Header.Get("Content-Length"); want != "" && c.Method != http.MethodHead && want != strconv.Itoa(len(body)) {
		return Response{}, limpeterror.Unknown.New("answer of service %s is %d of %s bytes", c.Service.Name, len(body), want)
	}
	return Response{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// IsCallerGone reports whether a request ended because the caller disconnected.
func IsCallerGone(err error) bool { return errors.Is(err, errCallerGone) }
