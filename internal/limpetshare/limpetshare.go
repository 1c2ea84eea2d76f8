// Package limpetshare owns admission: which waiting request is served next,
// and which is refused. Shares are weighted max-min over tokens. A Scheduler
// decides and knows no clock; a Gate adds waiting to it.
package limpetshare

import (
	"container/heap"
	"math"
	"time"

	"limpetmount.org/internal/limpetconfig"
)

// A Ticket holds one request in a queue or at work. Cost is the estimate in
// tokens that the share is charged with until the true figure is known.
type Ticket struct {
	Account  string
	Class    limpetconfig.Class
	Weight   float64
	Cost     float64
	Deadline time.Time

	sequence uint64
	index    int
	admitted chan struct{}
}

// A Scheduler holds the queues of one service. Its methods are not safe for
// concurrent use.
type Scheduler struct {
	accounts map[string]*account
	// virtual is the service per weight up to which no account that waits
	// has fallen behind.
	virtual  float64
	sequence uint64
	waiting  int
	turns    int
}

// An account holds a client account's queue. served is the service that it
// got divided by its weight.
type account struct {
	name   string
	served float64
	queue  ticketQueue
	remote float64
}

// ticketQueue orders an account's tickets by deadline, then by arrival.
type ticketQueue []*Ticket

func (q ticketQueue) Len() int { return len(q) }
func (q ticketQueue) Less(i, j int) bool {
	a, b := q[i], q[j]
	if !a.Deadline.Equal(b.Deadline) {
		return !a.Deadline.IsZero() && (b.Deadline.IsZero() || a.Deadline.Before(b.Deadline))
	}
	return a.sequence < b.sequence
}
func (q ticketQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}
func (q *ticketQueue) Push(x any) {
	t := x.(*Ticket)
	t.index = len(*q)
	*q = append(*q, t)
}
func (q *ticketQueue) Pop() any {
	old := *q
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	t.index = -1
	return t
}

// NewScheduler returns a scheduler without queues.
func NewScheduler() *Scheduler {
	return &Scheduler{accounts: map[string]*account{}}
}

func (s *Scheduler) account(name string) *account {
	a, ok := s.accounts[name]
	if !ok {
		a = &account{name: name, served: s.virtual}
		s.accounts[name] = a
	}
	return a
}

// Waiting returns the number of queued tickets, of an account or of all.
func (s *Scheduler) Waiting(name string) int {
	if name == "" {
		return s.waiting
	}
	if a, ok := s.accounts[name]; ok {
		return len(a.queue)
	}
	return 0
}

// Push queues a ticket. An account that begins to wait is not credited for
// the time in which it asked for nothing.
func (s *Scheduler) Push(t *Ticket) {
	a := s.account(t.Account)
	if len(a.queue) == 0 {
		a.served = max(a.served, s.virtual)
	}
	s.sequence++
	t.sequence = s.sequence
	heap.Push(&a.queue, t)
	s.waiting++
}

// Remove takes a ticket out of its queue and reports whether it was there.
func (s *Scheduler) Remove(t *Ticket) bool {
	a := s.account(t.Account)
	if t.index < 0 || t.index >= len(a.queue) || a.queue[t.index] != t {
		return false
	}
	heap.Remove(&a.queue, t.index)
	s.waiting--
	return true
}

// rolloutEvery lets one rollout ticket go ahead of live ones after so many
// turns, so that trainers do not starve.
const rolloutEvery = 10

// Next takes the ticket that is served next, or nil. Live accounts go before
// rollouts; within a class the account with the least service per weight.
func (s *Scheduler) Next() *Ticket {
	best := s.least(limpetconfig.Live)
	if rollout := s.least(limpetconfig.Rollout); best == nil || (rollout != nil && s.turns >= rolloutEvery) {
		best = rollout
		s.turns = 0
	}
	if best == nil {
		return nil
	}
	t := heap.Pop(&best.queue).(*Ticket)
	s.waiting--
	s.turns++
	s.virtual = max(s.virtual, best.served)
	best.served += t.Cost / t.Weight
	return t
}

func (s *Scheduler) least(class limpetconfig.Class) *account {
	var best *account
	for _, a := range s.accounts {
		if len(a.queue) == 0 || a.queue[0].Class != class {
			continue
		}
		if best == nil || a.served < best.served || (a.served == best.served && a.name < best.name) {
			best = a
		}
	}
	return best
}

// Settle replaces a ticket's estimated cost by what it used.
func (s *Scheduler) Settle(t *Ticket, used float64) {
	s.account(t.Account).served += (used - t.Cost) / t.Weight
}

// Remote charges an account with its service at other VMs, given as a total
// that grows, so that the share holds over the VMs together.
func (s *Scheduler) Remote(name string, total, weight float64) {
	a := s.account(name)
	if total > a.remote && a.remote > 0 {
		a.served += (total - a.remote) / weight
	}
	a.remote = max(a.remote, total)
}

// Forget drops accounts that neither wait nor stand ahead of the others, and
// so bounds the scheduler by the accounts that were active of late.
func (s *Scheduler) Forget() {
	for name, a := range s.accounts {
		if len(a.queue) == 0 && a.served <= s.virtual {
			delete(s.accounts, name)
		}
	}
}

// Fairness returns Jain's index of the accounts' service per weight, from
// 1/n to 1 (Jain, Chiu, Hawe: A quantitative measure of fairness, 1984).
func Fairness(perWeight []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, x := range perWeight {
		sum += x
		squares += x * x
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(perWeight)) * squares)
}

// ExpectedWait returns how long a new ticket would wait, given the number of
// places, the tickets ahead of it and the recent mean service time.
func ExpectedWait(ahead, places int, service time.Duration) time.Duration {
	if places < 1 {
		return math.MaxInt64
	}
	return time.Duration(float64(service) * float64(ahead) / float64(places))
}
