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
	// waiting holds, for each class, the accounts that have tickets in it, the
	// one with the least service per weight first.
	waiting [classes]accountHeap
	// virtual is the service per weight up to which no account that waits
	// has fallen behind.
	virtual  float64
	sequence uint64
	tickets  int
	turns    int
	// fifo takes all tickets as one account's of one class.
	fifo bool
}

// Indexes of the classes.
const (
	live = iota
	rollout
	classes
)

func (s *Scheduler) classOf(c limpetconfig.Class) int {
	if s.fifo || c == limpetconfig.Live {
		return live
	}
	return rollout
}

// An account holds a client account's queues by class. served is the service
// that it got divided by its weight; place is its position in each heap, or
// outside.
type account struct {
	name   string
	served float64
	queues [classes]ticketQueue
	place  [classes]int
	// debt is service at other VMs that was not charged yet; remote and local
	// are moving sums of service there and here.
	debt, remote, local float64
}

const outside = -1

func (a *account) tickets() int { return len(a.queues[live]) + len(a.queues[rollout]) }

// An accountHeap orders the accounts that wait in one class.
type accountHeap struct {
	class int
	list  []*account
}

func (h *accountHeap) Len() int { return len(h.list) }
func (h *accountHeap) Less(i, j int) bool {
	a, b := h.list[i], h.list[j]
	return a.served < b.served || (a.served == b.served && a.name < b.name)
}
func (h *accountHeap) Swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.list[i].place[h.class], h.list[j].place[h.class] = i, j
}
func (h *accountHeap) Push(x any) {
	a := x.(*account)
	a.place[h.class] = len(h.list)
	h.list = append(h.list, a)
}
func (h *accountHeap) Pop() any {
	last := len(h.list) - 1
	a := h.list[last]
	h.list[last] = nil
	h.list = h.list[:last]
	a.place[h.class] = outside
	return a
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
	s := &Scheduler{accounts: map[string]*account{}}
	for class := range s.waiting {
		s.waiting[class].class = class
	}
	return s
}

// NewFIFO returns the baseline that experiments compare with: tickets in the
// order of their arrival, whatever their account and class.
func NewFIFO() *Scheduler {
	s := NewScheduler()
	s.fifo = true
	return s
}

func (s *Scheduler) account(name string) *account {
	if s.fifo {
		name = ""
	}
	a, ok := s.accounts[name]
	if !ok {
		a = &account{name: name, served: s.virtual, place: [classes]int{outside, outside}}
		s.accounts[name] = a
	}
	return a
}

// Waiting returns the number of queued tickets, of an account or of all.
func (s *Scheduler) Waiting(name string) int {
	if name == "" {
		return s.tickets
	}
	if a, ok := s.accounts[name]; ok {
		return a.tickets()
	}
	return 0
}

// charge changes an account's service and its place among those that wait.
func (s *Scheduler) charge(a *account, service float64) {
	a.served += service
	for class := range s.waiting {
		if a.place[class] != outside {
			heap.Fix(&s.waiting[class], a.place[class])
		}
	}
}

// update puts an account into a class's heap or takes it out, as its queue
// demands.
func (s *Scheduler) update(a *account, class int) {
	switch waits := len(a.queues[class]) > 0; {
	case waits && a.place[class] == outside:
		heap.Push(&s.waiting[class], a)
	case !waits && a.place[class] != outside:
		heap.Remove(&s.waiting[class], a.place[class])
	}
}

// Push queues a ticket. An account that begins to wait is not credited for
// the time in which it asked for nothing.
func (s *Scheduler) Push(t *Ticket) {
	a, class := s.account(t.Account), s.classOf(t.Class)
	if a.tickets() == 0 {
		a.served, a.debt = max(a.served, s.virtual), 0
	}
	s.sequence++
	t.sequence = s.sequence
	heap.Push(&a.queues[class], t)
	s.tickets++
	s.update(a, class)
}

// Remove takes a ticket out of its queue and reports whether it was there.
func (s *Scheduler) Remove(t *Ticket) bool {
	a, class := s.account(t.Account), s.classOf(t.Class)
	queue := &a.queues[class]
	if t.index < 0 || t.index >= len(*queue) || (*queue)[t.index] != t {
		return false
	}
	heap.Remove(queue, t.index)
	s.tickets--
	s.update(a, class)
	return true
}

// rolloutEvery lets one rollout ticket go ahead of live ones after so many
// turns, so that trainers do not starve.
const rolloutEvery = 10

// Next takes the ticket that is served next, or nil. Live tickets go before
// rollouts; within a class the account with the least service per weight.
func (s *Scheduler) Next() *Ticket {
	if s.tickets == 0 {
		return nil
	}
	class := live
	if s.waiting[live].Len() == 0 || (s.waiting[rollout].Len() > 0 && s.turns >= rolloutEvery) {
		class = rollout
		s.turns = 0
	}
	a := s.waiting[class].list[0]
	t := heap.Pop(&a.queues[class]).(*Ticket)
	s.tickets--
	s.turns++
	s.virtual = max(s.virtual, a.served)
	s.update(a, class)
	service := t.Cost / t.Weight
	s.charge(a, service+a.pay(service))
	return t
}

// Settle replaces a ticket's estimated cost by what it used.
func (s *Scheduler) Settle(t *Ticket, used float64) {
	s.charge(s.account(t.Account), (used-t.Cost)/t.Weight)
}

// Remote notes tokens that other VMs served, so that the share holds over the
// VMs together. They are not charged at once: all VMs hear of an account's
// service at about the same time, and would all turn away from it and then all
// back to it. They are charged with the account's next tickets here, in
// proportion, which makes each ticket count as much as it does over all VMs.
func (s *Scheduler) Remote(name string, tokens, weight float64) {
	a := s.account(name)
	a.debt += tokens / weight
	a.remote = a.remote*rateMemory + tokens/weight
	a.local *= rateMemory
}

// pay returns the part of an account's debt that goes with local service.
func (a *account) pay(service float64) float64 {
	a.local += service
	part := min(a.debt, payback*service*a.remote/a.local)
	a.debt -= part
	return part
}

const (
	// rateMemory is what is kept of the local and remote rates at each report.
	rateMemory = 0.9
	// payback above 1 keeps debts from growing when the rates change.
	payback = 1.2
)

// Forget drops accounts that neither wait nor stand ahead of the others, and
// so bounds the scheduler by the accounts that were active of late.
func (s *Scheduler) Forget() {
	for name, a := range s.accounts {
		if a.tickets() == 0 && a.served <= s.virtual {
			delete(s.accounts, name)
		}
	}
}

// ExpectedWait returns how long a new ticket would wait, given the number of
// places, the tickets ahead of it and the recent mean service time.
func ExpectedWait(ahead, places int, service time.Duration) time.Duration {
	if places < 1 {
		return math.MaxInt64
	}
	return time.Duration(float64(service) * float64(ahead) / float64(places))
}
