// Package limpetload generates request load against a small deployment and
// records latencies, token counts and errors per client account.
package limpetload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"limpetmount.org/internal/limpetcluster"
	"limpetmount.org/internal/limpetengine"
	"limpetmount.org/internal/limpetstub"
	"limpetmount.org/internal/limpettask"
)

// A Source describes the load of one client account: requests with
// exponentially distributed intervals, sent to the VMs in round-robin order.
type Source struct {
	Account string
	Token   string
	URLs    []string
	Model   string
	// Rate is the mean number of requests per second.
	Rate      float64
	MaxTokens int
	// SharedPrefixes is the number of distinct prompt prefixes that the
	// requests share. If it is 0, each prompt has a prefix of its own.
	SharedPrefixes int
	// PromptBytes is the size of a prompt; the minimum is 400 bytes.
	PromptBytes int
	Seed        uint64
}

const (
	// Range and precision of the latency histograms, in microseconds.
	minMicros, maxMicros, significantDigits = 1, 600_000_000, 3
	// maxPercentile selects the largest recorded value.
	maxPercentile = 100
	// The first 1/warmUpDivisor of a run is excluded from SteadyTokens.
	warmUpDivisor = 5
)

// A Result holds the measurements of one account. The histograms record
// microseconds: FirstToken the time to the first token, Total the time to the
// end of the response.
type Result struct {
	mu         sync.Mutex
	Account    string
	FirstToken *hdrhistogram.Histogram
	Total      *hdrhistogram.Histogram
	Tokens     int
	// SteadyTokens counts the tokens of responses that completed under steady
	// load: after the first fifth of the run and before its end.
	SteadyTokens int
	Completed    int
	Refused      int
	// Truncated counts responses that failed or ended early, Mismatched those
	// whose text does not belong to the request.
	Truncated, Mismatched int
	// LastError describes the most recent truncated response.
	LastError string
}

func newResult(account string) *Result {
	return &Result{Account: account, FirstToken: hdrhistogram.New(minMicros, maxMicros, significantDigits), Total: hdrhistogram.New(minMicros, maxMicros, significantDigits)}
}

// P99 returns the 99th percentile of the response time.
func (r *Result) P99() time.Duration {
	const percentile = 99
	return time.Duration(r.Total.ValueAtQuantile(percentile)) * time.Microsecond
}

// FirstTokenPercentile returns a percentile of the time to the first token.
func (r *Result) FirstTokenPercentile(percentile float64) time.Duration {
	return time.Duration(r.FirstToken.ValueAtQuantile(percentile)) * time.Microsecond
}

// P50 returns the median response time.
func (r *Result) P50() time.Duration {
	const percentile = 50
	return time.Duration(r.Total.ValueAtQuantile(percentile)) * time.Microsecond
}

// Max returns the longest response time.
func (r *Result) Max() time.Duration {
	return time.Duration(r.Total.ValueAtQuantile(maxPercentile)) * time.Microsecond
}

// Add merges another result into r.
func (r *Result) Add(o *Result) {
	r.FirstToken.Merge(o.FirstToken)
	r.Total.Merge(o.Total)
	r.Tokens += o.Tokens
	r.SteadyTokens += o.SteadyTokens
	r.Completed += o.Completed
	r.Refused += o.Refused
	r.Truncated += o.Truncated
	r.Mismatched += o.Mismatched
}

// Run sends requests from all sources for the given duration, waits for the
// outstanding responses, and returns the results by account.
func Run(ctx context.Context, sources []Source, duration time.Duration) map[string]*Result {
	results := map[string]*Result{}
	g := limpettask.New(ctx)
	var pending sync.WaitGroup
	for _, s := range sources {
		r, ok := results[s.Account]
		if !ok {
			r = newResult(s.Account)
			results[s.Account] = r
		}
		pending.Add(1)
		g.Go(func(ctx context.Context) error {
			defer pending.Done()
			s.run(ctx, g, &pending, r, duration)
			return nil
		})
	}
	pending.Wait()
	_ = g.Stop()
	return results
}

func (s Source) run(ctx context.Context, g *limpettask.Group, pending *sync.WaitGroup, r *Result, duration time.Duration) {
	random := rand.New(rand.NewPCG(s.Seed, s.Seed))
	callers := make([]*limpetcluster.Caller, 0, len(s.URLs))
	for _, url := range s.URLs {
		callers = append(callers, limpetcluster.NewCaller(url, s.Token))
	}
	start := time.Now()
	end := start.Add(duration)
	next := start
	for n := 0; ; n++ {
		next = next.Add(time.Duration(random.ExpFloat64() / s.Rate * float64(time.Second)))
		if next.After(end) || !limpettask.Sleep(ctx, time.Until(next)) {
			return
		}
		prompt := s.prompt(random, n)
		caller := callers[n%len(callers)]
		pending.Add(1)
		g.Go(func(ctx context.Context) error {
			defer pending.Done()
			s.send(ctx, caller, prompt, r, start.Add(duration/warmUpDivisor), end)
			return nil
		})
	}
}

// prompt returns the text of request n, at least 400 bytes long. Its prefix has
// the size by which engines identify cached prompts.
func (s Source) prompt(random *rand.Rand, n int) string {
	const prefixBytes, defaultBytes = limpetengine.PrefixBytes, 400
	bodyBytes := max(s.PromptBytes, defaultBytes) - prefixBytes
	if s.SharedPrefixes == 0 {
		return fmt.Sprintf("%-*s", prefixBytes+bodyBytes, fmt.Sprintf("%s request %d", s.Account, n))
	}
	return fmt.Sprintf("%-*s%-*s", prefixBytes, fmt.Sprintf("%s template %d", s.Account, random.IntN(s.SharedPrefixes)), bodyBytes, fmt.Sprintf("request %d", n))
}

func (s Source) send(ctx context.Context, caller *limpetcluster.Caller, prompt string, r *Result, from, to time.Time) {
	reply, err := caller.Stream(ctx, limpetcluster.Prompt{Model: s.Model, Prompt: prompt, MaxTokens: s.MaxTokens})
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err != nil || (reply.Status == http.StatusOK && !reply.Complete):
		r.Truncated++
		r.LastError = fmt.Sprintf("%v %s", err, reply.Error.Message)
	case reply.Status != http.StatusOK:
		r.Refused++
	case reply.Text != limpetstub.Answer(prompt, s.MaxTokens):
		r.Mismatched++
	default:
		r.Completed++
		r.Tokens += reply.Tokens
		if now := time.Now(); now.After(from) && now.Before(to) {
			r.SteadyTokens += reply.Tokens
		}
		// Recording cannot fail: request timeouts keep the values within range.
		_ = r.FirstToken.RecordValue(reply.FirstToken.Microseconds())
		_ = r.Total.RecordValue(reply.Total.Microseconds())
	}
}
