// Package limpetadmission implements admission control: which waiting request is
// served next, and which is rejected. Client accounts share the tokens of a
// service by weighted max-min fairness. A Scheduler orders the requests and
// uses no clock; a Controller adds waiting and time limits.
package limpetadmission

import (
	"container/heap"
	"math"
	"time"

	"limpetmount.org/internal/limpetconfig"
)

// An Entry is one request, queued or running. Cost is the estimated number of
// tokens that the account is charged until CorrectCost sets the actual number. A
// request to a plain service costs as much as one token.
type Entry struct {
	Account  string
	Class    limpetconfig.Class
	Weight   float64
	Cost     float64
	Deadline time.Time
	// Owner is what the request's queue keeps for it.
	Owner any

	sequence uint64
	index    int
	admitted chan struct{}
}

// A Scheduler holds the queues of one service. It is not safe for concurrent
// use.
type Scheduler struct {
	accounts map[string]*account
	// waiting holds, for each class, a heap of the accounts with queued
	// requests of that class, ordered by the least service per weight.
	waiting [classes]accountHeap
	// virtualTime is the highest service per weight, before its charge, of an
	// account that was picked. An account that starts to wait begins at least
	// here.
	virtualTime float64
	sequence    uint64
	queued      int
	// sinceRollout is the number of picks since a rollout request was last
	// picked, including that pick.
	sinceRollout int
	// fifo puts all requests into one queue, without regard to account and
	// class.
	fifo bool
}

// Classes, as indexes of arrays. Live requests take precedence over rollouts.
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

// An account holds the queues of one client account. served is its service, in
// tokens, divided by its weight; heapIndex is its position in the heap of each
// class, or notInHeap.
type account struct {
	name      string
	served    float64
	queues    [classes]entryQueue
	heapIndex [classes]int
	// pendingRemote is service by other VMs that is not charged yet. remoteRate
	// and localRate are sums of service by other VMs and by this one, decayed
	// with each remote report.
	pendingRemote, remoteRate, localRate float64
}

const notInHeap = -1

func (a *account) queued() int { return len(a.queues[live]) + len(a.queues[rollout]) }

// An accountHeap orders the accounts that have queued requests of one class.
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
	h.list[i].heapIndex[h.class], h.list[j].heapIndex[h.class] = i, j
}
func (h *accountHeap) Push(x any) {
	a := x.(*account)
	a.heapIndex[h.class] = len(h.list)
	h.list = append(h.list, a)
}
func (h *accountHeap) Pop() any {
	last := len(h.list) - 1
	a := h.list[last]
	h.list[last] = nil
	h.list = h.list[:last]
	a.heapIndex[h.class] = notInHeap
	return a
}

// An entryQueue orders the requests of an account by deadline, then by arrival.
type entryQueue []*Entry

func (q entryQueue) Len() int { return len(q) }
func (q entryQueue) Less(i, j int) bool {
	a, b := q[i], q[j]
	if !a.Deadline.Equal(b.Deadline) {
		return !a.Deadline.IsZero() && (b.Deadline.IsZero() || a.Deadline.Before(b.Deadline))
	}
	return a.sequence < b.sequence
}
func (q entryQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}
func (q *entryQueue) Push(x any) {
	e := x.(*Entry)
	e.index = len(*q)
	*q = append(*q, e)
}
func (q *entryQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	e.index = -1
	return e
}

// NewScheduler returns an empty weighted fair scheduler.
func NewScheduler() *Scheduler {
	s := &Scheduler{accounts: map[string]*account{}}
	for class := range s.waiting {
		s.waiting[class].class = class
	}
	return s
}

// NewFIFO returns the baseline for experiments: requests in order of arrival,
// whatever their account and class.
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
		a = &account{name: name, served: s.virtualTime, heapIndex: [classes]int{notInHeap, notInHeap}}
		s.accounts[name] = a
	}
	return a
}

// Waiting returns the number of queued requests of an account, or of all
// accounts if name is empty.
func (s *Scheduler) Waiting(name string) int {
	if name == "" {
		return s.queued
	}
	if a, ok := s.accounts[name]; ok {
		return a.queued()
	}
	return 0
}

// charge adds service per weight to an account and restores the heap order.
func (s *Scheduler) charge(a *account, service float64) {
	a.served += service
	for class := range s.waiting {
		if a.heapIndex[class] != notInHeap {
			heap.Fix(&s.waiting[class], a.heapIndex[class])
		}
	}
}

// syncHeap adds an account to the heap of a class or removes it, depending on
// whether the account has queued requests of that class.
func (s *Scheduler) syncHeap(a *account, class int) {
	switch waits := len(a.queues[class]) > 0; {
	case waits && a.heapIndex[class] == notInHeap:
		heap.Push(&s.waiting[class], a)
	case !waits && a.heapIndex[class] != notInHeap:
		heap.Remove(&s.waiting[class], a.heapIndex[class])
	}
}

// Push queues a request. An account that starts to wait is moved up to the
// virtual time, so that idle time earns no credit.
func (s *Scheduler) Push(e *Entry) {
	a, class := s.account(e.Account), s.classOf(e.Class)
	if a.queued() == 0 {
		a.served, a.pendingRemote = max(a.served, s.virtualTime), 0
	}
	s.sequence++
	e.sequence = s.sequence
	heap.Push(&a.queues[class], e)
	s.queued++
	s.syncHeap(a, class)
}

// Remove deletes a queued request and reports whether it was queued.
func (s *Scheduler) Remove(e *Entry) bool {
	a, class := s.account(e.Account), s.classOf(e.Class)
	queue := &a.queues[class]
	if e.index < 0 || e.index >= len(*queue) || (*queue)[e.index] != e {
		return false
	}
	heap.Remove(queue, e.index)
	s.queued--
	s.syncHeap(a, class)
	return true
}

// rolloutInterval is the number of picks after which a queued rollout request
// takes precedence over live ones, so that trainers do not starve.
const rolloutInterval = 10

// Next removes and returns the request to serve next, or nil if none is queued.
// Live requests take precedence over rollouts; within a class, the account with
// the least service per weight is served first.
func (s *Scheduler) Next() *Entry {
	if s.queued == 0 {
		return nil
	}
	class := live
	if s.waiting[live].Len() == 0 || (s.waiting[rollout].Len() > 0 && s.sinceRollout >= rolloutInterval) {
		class = rollout
		s.sinceRollout = 0
	}
	a := s.waiting[class].list[0]
	e := heap.Pop(&a.queues[class]).(*Entry)
	s.queued--
	s.sinceRollout++
	s.virtualTime = max(s.virtualTime, a.served)
	s.syncHeap(a, class)
	service := e.Cost / e.Weight
	s.charge(a, service+a.takePendingRemote(service))
	return e
}

// CorrectCost replaces the estimated cost of a request by the tokens that it
// used.
func (s *Scheduler) CorrectCost(e *Entry, used float64) {
	s.charge(s.account(e.Account), (used-e.Cost)/e.Weight)
}

// ChargeRemote records tokens that other VMs served, so that the shares hold
// across all VMs. The tokens are charged gradually: all VMs learn of an
// account's service at about the same time, so that an immediate charge would
// make all of them stop serving the account and later all serve it again.
// Instead, each local request of the account is charged a proportional part, so
// that it counts as much as it does across all VMs.
func (s *Scheduler) ChargeRemote(name string, tokens, weight float64) {
	a := s.account(name)
	a.pendingRemote += tokens / weight
	a.remoteRate = a.remoteRate*rateDecay + tokens/weight
	a.localRate *= rateDecay
}

// takePendingRemote deducts and returns the part of the pending remote service
// that is charged together with the given local service.
func (a *account) takePendingRemote(service float64) float64 {
	a.localRate += service
	charge := min(a.pendingRemote, catchUpFactor*service*a.remoteRate/a.localRate)
	a.pendingRemote -= charge
	return charge
}

const (
	// rateDecay is the factor by which each remote report decays both rates.
	rateDecay = 0.9
	// catchUpFactor exceeds 1 so that pending remote service does not
	// accumulate when the rates change.
	catchUpFactor = 1.2
)

// EvictIdle deletes accounts that have no queued requests and are not ahead of
// the virtual time. This limits memory to the recently active accounts.
func (s *Scheduler) EvictIdle() {
	for name, a := range s.accounts {
		if a.queued() == 0 && a.served <= s.virtualTime {
			delete(s.accounts, name)
		}
	}
}

// ExpectedWait estimates how long a new request waits, given the number of
// slots, its position in the queue and the recent mean service time. It returns
// the longest duration if there are no slots.
func ExpectedWait(ahead, slots int, service time.Duration) time.Duration {
	if slots < 1 {
		return math.MaxInt64
	}
	return time.Duration(float64(service) * float64(ahead) / float64(slots))
}
