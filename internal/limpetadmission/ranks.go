package limpetadmission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// floorShare is the least part of its arrivals that a rank is served, relative to
	// that of all ranks. It exceeds the promised quarter by what estimates are off.
	floorShare = 0.28
	// countDecay is the time constant of the counts that the floor is kept by.
	countDecay = 5 * time.Second
	// maxRanks bounds the ranks that are told apart; others count as the next higher one.
	maxRanks = 32
	// maxIdleAccounts is the number of accounts of a rank above which idle ones are
	// evicted.
	maxIdleAccounts = evictThreshold
)

// A Ranked holds one Scheduler for each rank. Higher ranks, which have lower numbers,
// are served first, but each rank keeps a floor. It is not safe for concurrent use.
type Ranked struct {
	ranks     []*rank
	queued    int
	decayedAt time.Time
}

// A rank counts the requests that arrived and those that were served, decayed over
// countDecay.
type rank struct {
	number          int
	scheduler       *Scheduler
	arrived, served float64
}

// NewRanked returns an empty ranked scheduler.
func NewRanked() *Ranked { return &Ranked{} }

// Waiting returns the number of queued requests.
func (r *Ranked) Waiting() int { return r.queued }

// WaitingOf returns the number of queued requests of an account in a rank.
func (r *Ranked) WaitingOf(number int, account string) int {
	return r.rank(number).scheduler.waitingOf(account)
}

// waitingOf is Waiting for an account whose name may be empty.
func (s *Scheduler) waitingOf(name string) int {
	if a, ok := s.accounts[name]; ok {
		return a.queued()
	}
	return 0
}

func (r *Ranked) rank(number int) *rank {
	i, found := slices.BinarySearchFunc(r.ranks, number, func(k *rank, n int) int { return k.number - n })
	if found {
		return r.ranks[i]
	}
	if len(r.ranks) >= maxRanks {
		return r.ranks[max(0, i-1)]
	}
	k := &rank{number: number, scheduler: NewScheduler()}
	r.ranks = slices.Insert(r.ranks, i, k)
	return k
}

// decay lets the counts of the past fade.
func (r *Ranked) decay(now time.Time) {
	elapsed := now.Sub(r.decayedAt)
	if r.decayedAt = now; elapsed <= 0 {
		return
	}
	factor := math.Exp(-float64(elapsed) / float64(countDecay))
	for _, k := range r.ranks {
		k.arrived *= factor
		k.served *= factor
	}
}

// CountArrival records a request that arrived, whether or not it is queued.
func (r *Ranked) CountArrival(number int, now time.Time) {
	r.decay(now)
	r.rank(number).arrived++
}

// CountServed records a request that was served without being queued.
func (r *Ranked) CountServed(number int, now time.Time) {
	r.decay(now)
	r.rank(number).served++
}

// Push queues a request.
func (r *Ranked) Push(number int, e *Entry) {
	r.rank(number).scheduler.Push(e)
	r.queued++
}

// Remove deletes a queued request and reports whether it was queued.
func (r *Ranked) Remove(number int, e *Entry) bool {
	if !r.rank(number).scheduler.Remove(e) {
		return false
	}
	r.queued--
	return true
}

// Next removes and returns the request to serve next, or nil if none is queued.
func (r *Ranked) Next(now time.Time) *Entry {
	if r.queued == 0 {
		return nil
	}
	r.decay(now)
	next, lowest := (*rank)(nil), 0.
	for _, k := range r.ranks {
		if k.scheduler.queued == 0 {
			continue
		}
		if lag := r.lag(k); next == nil || lag > lowest {
			// Without a lag, the first rank with requests is the highest.
			next, lowest = k, max(0, lag)
		}
	}
	next.served++
	r.queued--
	e := next.scheduler.Next()
	if len(next.scheduler.accounts) > maxIdleAccounts {
		next.scheduler.EvictIdle()
	}
	return e
}

// Return queues a request again that Next returned and that was not served.
func (r *Ranked) Return(number int, e *Entry) {
	k := r.rank(number)
	k.served = max(0, k.served-1)
	k.scheduler.CorrectCost(e, 0)
	k.scheduler.Push(e)
	r.queued++
}

// Heads returns the first queued requests of each rank and account, at most limit of
// them, in about the order in which Next returns them. They remain queued.
func (r *Ranked) Heads(limit int) []*Entry {
	var heads []*Entry
	for _, k := range r.ranks {
		accounts := slices.Clone(k.scheduler.waiting[live].list)
		slices.SortFunc(accounts, func(a, b *account) int { return cmp.Compare(a.served, b.served) })
		for _, a := range accounts[:min(len(accounts), limit-len(heads))] {
			heads = append(heads, a.queues[live][0])
		}
	}
	return heads
}

// Serve removes a queued request as Next does.
func (r *Ranked) Serve(number int, e *Entry) {
	if r.Remove(number, e) {
		k := r.rank(number)
		k.served++
		k.scheduler.charge(k.scheduler.account(e.Account), e.Cost/e.Weight)
	}
}

// lag returns by how many requests a rank is below its floor, relative to its
// arrivals; it is negative above the floor.
func (r *Ranked) lag(k *rank) float64 {
	arrived, served := 0., 0.
	for _, other := range r.ranks {
		arrived += other.arrived
		served += other.served
	}
	if arrived == 0 || k.arrived == 0 {
		return 0
	}
	return floorShare*served/arrived - k.served/k.arrived
}

// Ahead estimates how many requests are served before a new one of an account: those
// of its rank, as many of each other account as the account has itself, stretched by
// what higher ranks take.
func (r *Ranked) Ahead(number int, account string) float64 {
	own := r.rank(number)
	mine := own.scheduler.waitingOf(account)
	before := float64(mine)
	for name, a := range own.scheduler.accounts {
		if name != account {
			before += float64(min(a.queued(), mine+1))
		}
	}
	arrived, served, higher, higherQueued := 0., 0., 0., 0
	for _, k := range r.ranks {
		arrived += k.arrived
		served += k.served
		if k.number < own.number {
			higher += k.arrived
			higherQueued += k.scheduler.queued
		}
	}
	if higherQueued == 0 || served == 0 || arrived == 0 {
		return before
	}
	if lag := r.lag(own) * own.arrived; lag > before {
		return before
	}
	left := max(1-higher/served, floorShare*own.arrived/arrived, minLeft)
	return max(before+float64(higherQueued), (before+1)/left)
}

// minLeft is the least part of all requests that is taken to be left for a rank in
// an estimate.
const minLeft = 0.01
