package limpetserve

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"limpetmount.org/internal/limpetclaim"
	"limpetmount.org/internal/limpetconfig"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpethttp"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetmetric"
	"limpetmount.org/internal/limpetretry"
	"limpetmount.org/internal/limpetroute"
	"limpetmount.org/internal/limpetshare"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetusage"
)

// A Call holds one request to a plain service.
type Call struct {
	ID      string
	Account limpetconfig.Account
	Service limpetconfig.Service
	Method  string
	// Target is the path and query as they go to the backend server.
	Target string
	// Header must not hold the caller's key.
	Header http.Header
	Body   []byte
	// IdempotencyKey is the caller's, empty for none.
	IdempotencyKey string
	Deadline       time.Time
	Fingerprint    uint64
	// Unbilled is set for requests on open routes, which no account pays for.
	Unbilled bool
}

// An Answer holds a backend server's whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Replayed is set when the answer is that of an earlier request with the
	// same idempotency key.
	Replayed bool
}

// largestAnswer bounds the answers of plain services, which are read whole
// before the caller gets them, so that none is taken as whole that is not.
const largestAnswer = 16 << 20

type plainClient struct {
	client *http.Client
}

const idlePerService = 32

func newPlainClient(timeout time.Duration) plainClient {
	return plainClient{client: &http.Client{
		Transport:     limpethttp.NewTransport(idlePerService),
		Timeout:       timeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

func idempotentMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// Call runs a request to a plain service. A call that is not idempotent runs
// at most once: it is tried again only when it provably did not leave, and
// with an idempotency key it is claimed first.
func (s *Server) Call(ctx context.Context, c Call) (Answer, Result, error) {
	arrived := s.Now()
	if err := s.checkQuarantine(c.Fingerprint); err != nil {
		return Answer{}, Result{}, err
	}
	idempotent := c.Service.Idempotent || idempotentMethod(c.Method)
	attempt := s.Unique()
	claimed := !idempotent && c.IdempotencyKey != ""
	if claimed {
		if answer, done, err := s.claim(ctx, c, attempt); done || err != nil {
			return answer, Result{RetryAfter: retrySoon}, err
		}
	}
	answer, result, err := s.callAdmitted(ctx, c, idempotent, arrived)
	if claimed {
		s.finishClaim(c, attempt, answer, err)
	}
	return answer, result, err
}

func claimName(c Call) string {
	return limpetclaim.Name(c.Account.Name, c.Service.Name, c.IdempotencyKey)
}

// claim makes the attempt the only one under the caller's key. Done is set
// when an earlier attempt has an answer.
func (s *Server) claim(ctx context.Context, c Call, attempt string) (answer Answer, done bool, err error) {
	digest := limpetclaim.Digest(c.Body)
	e, err := s.Claim(ctx, limpetclaim.Request{Claim: claimName(c), Attempt: attempt, Digest: digest, State: limpetclaim.Claimed})
	if err != nil {
		// This attempt is never run, whatever became of its claim.
		return answer, false, limpeterror.Unavailable.Wrap(err, "the idempotency key could not be claimed")
	}
	if e.Attempt == attempt && e.State == limpetclaim.Claimed {
		return answer, false, nil
	}
	if e.Digest != digest {
		return answer, false, limpeterror.Invalid.New("the idempotency key was used with another body")
	}
	switch e.State {
	case limpetclaim.Ran:
		answer = Answer{Status: e.Status, Header: http.Header{}, Body: e.Body, Replayed: true}
		return answer, true, nil
	case limpetclaim.Claimed:
		return answer, false, limpeterror.Conflict.New("an earlier request with this idempotency key is running or its outcome is not known yet; this one was not run")
	default:
		return answer, false, limpeterror.Conflict.New("an earlier request with this idempotency key may have run; this one was not run")
	}
}

const finishTimeout = 5 * time.Second

// finishClaim records what became of a claimed attempt. Without the record
// the claim stays, which is safe.
func (s *Server) finishClaim(c Call, attempt string, answer Answer, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	r := limpetclaim.Request{Claim: claimName(c), Attempt: attempt, Digest: limpetclaim.Digest(c.Body)}
	switch {
	case err == nil:
		r.State, r.Status, r.Body = limpetclaim.Ran, answer.Status, answer.Body
		if len(r.Body) > limpetclaim.AnswerLargest {
			r.State, r.Body = limpetclaim.Uncertain, nil
		}
	case limpeterror.Is(err, limpeterror.Unknown):
		r.State = limpetclaim.Uncertain
	default:
		r.State = limpetclaim.NotRun
	}
	if _, err := s.Claim(ctx, r); err != nil {
		s.Log.Emit(limpetlog.AttemptFailed, limpetlog.Request(c.ID), limpetlog.Account(c.Account.Name), limpetlog.Error(err))
	}
}

func (s *Server) callAdmitted(ctx context.Context, c Call, idempotent bool, arrived time.Time) (Answer, Result, error) {
	ticket := &limpetshare.Ticket{Account: c.Account.Name, Class: c.Account.Class, Weight: c.Account.Weight, Cost: 1, Deadline: c.Deadline}
	gate := s.gate(c.Service.Name)
	refusal, err := gate.Enter(ctx, ticket)
	if err != nil {
		return Answer{}, Result{RetryAfter: refusal.RetryAfter}, err
	}
	admitted := s.Now()
	answer, tries, err := s.tryCall(ctx, c, idempotent)
	ended := s.Now()
	gate.Leave(ticket, ended.Sub(admitted), 1)
	count := limpetusage.Count{}
	if !c.Unbilled && (err == nil || limpeterror.Is(err, limpeterror.Unknown)) {
		count = limpetusage.Count{Requests: 1, ServerMillis: uint64(ended.Sub(admitted).Milliseconds())}
	}
	s.record(c.Service.Name, c.Account, outcomeOf(err), 0, count, limpetmetric.Timing{Queue: admitted.Sub(arrived), Total: ended.Sub(arrived)})
	fields := []limpetlog.Field{limpetlog.Request(c.ID), limpetlog.Account(c.Account.Name), limpetlog.Value("service", c.Service.Name), limpetlog.Value("attempts", tries)}
	if err != nil {
		s.Log.Emit(limpetlog.RequestFailed, append(fields, limpetlog.Error(err), limpetlog.Value("outcome", outcomeOf(err)))...)
	} else {
		s.Log.Emit(limpetlog.RequestDone, append(fields, limpetlog.Value("status", answer.Status))...)
	}
	return answer, Result{Attempts: tries, RetryAfter: retrySoon}, err
}

func (s *Server) tryCall(ctx context.Context, c Call, idempotent bool) (Answer, int, error) {
	budget := s.budget(c.Service.Name)
	var exclude []string
	ran := false
	for tries := 1; ; tries++ {
		answer, server, err := s.callOnce(ctx, c, exclude)
		if err == nil {
			budget.Success()
			return answer, tries, nil
		}
		ran = ran || limpeterror.Is(err, limpeterror.Unknown)
		if ran && !limpeterror.Is(err, limpeterror.Unknown) {
			err = limpeterror.Unknown.Wrap(err, "an earlier attempt may have run")
		}
		retry := limpetretry.Allowed(err, idempotent) && tries < s.limits.Retries && ctx.Err() == nil
		if !retry || !budget.Take() {
			return Answer{}, tries, err
		}
		s.Metrics.Retry(c.Service.Name, outcomeOf(err))
		exclude = append(exclude, server)
		if !limpettask.Sleep(ctx, limpetretry.Pause(tries, pauseFirst, pauseMost)) {
			return Answer{}, tries, err
		}
	}
}

func (s *Server) callOnce(ctx context.Context, c Call, exclude []string) (Answer, string, error) {
	candidates := s.View().Servers[c.Service.Name]
	picked := s.Policy.Pick(candidates, limpetroute.Query{Zone: s.zone, Exclude: exclude, Random: rand.Uint64()})
	if picked == limpetroute.None {
		return Answer{}, "", limpeterror.Unavailable.New("no backend server of service %s takes requests", c.Service.Name)
	}
	candidate := candidates[picked]
	s.begin(candidate.Server, c.Fingerprint, c.Account.Name)
	defer s.end(candidate.Server, c.Fingerprint)
	answer, err := s.plain.do(ctx, candidate.Address, c)
	if err != nil {
		s.Failed(candidate.Server)
	}
	return answer, candidate.ID, err
}

// do sends the request once and reads the whole answer.
func (p plainClient) do(ctx context.Context, address string, c Call) (Answer, error) {
	request, err := limpethttp.NewRequest(ctx, c.Method, "http://"+address+c.Target, c.Body)
	if err != nil {
		return Answer{}, err
	}
	request.Header = c.Header.Clone()
	request.Header.Set("X-Request-Id", c.ID)
	response, err := p.client.Do(request)
	if err != nil {
		return Answer{}, limpethttp.Classify(err, "service "+c.Service.Name)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, largestAnswer+1))
	if err != nil {
		return Answer{}, limpeterror.Unknown.Wrap(err, "answer of service %s", c.Service.Name)
	}
	if len(body) > largestAnswer {
		return Answer{}, limpeterror.Unknown.New("answer of service %s is larger than %d bytes", c.Service.Name, largestAnswer)
	}
	if want := response.Header.Get("Content-Length"); want != "" && c.Method != http.MethodHead && want != strconv.Itoa(len(body)) {
		return Answer{}, limpeterror.Unknown.New("answer of service %s is %d of %s bytes", c.Service.Name, len(body), want)
	}
	return Answer{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// IsCallerGone reports whether a request ended because its caller went away.
func IsCallerGone(err error) bool { return errors.Is(err, errSink) }
