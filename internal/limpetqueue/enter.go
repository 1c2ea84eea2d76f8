package limpetqueue

import (
	"context"
	"sync"
	"time"

	"limpetmount.org/internal/limpetsite"
)

// maxQueues is the number of queues above which those without a shortage are dropped.
const maxQueues = 256

// Queues holds the queues of one VM: one for the requests of a service with the same
// homes, since only those compete for the same servers. It is safe for concurrent use.
// A nil Queues has none.
type Queues struct {
	now func() time.Time

	mu sync.RWMutex
	// queues holds the queues of each service by their homes, and count is their number.
	queues map[string]map[limpetsite.Homes]*Queue
	count  int
}

// NewQueues returns a set without queues.
func NewQueues(now func() time.Time) *Queues {
	return &Queues{now: now, queues: map[string]map[limpetsite.Homes]*Queue{}}
}

// Of returns the queue of a service's requests with some homes.
func (q *Queues) Of(service string, homes limpetsite.Homes) *Queue {
	if q == nil {
		return nil
	}
	q.mu.RLock()
	queue := q.queues[service][homes]
	q.mu.RUnlock()
	if queue != nil {
		return queue
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if queue = q.queues[service][homes]; queue == nil {
		q.dropCalm()
		queue = New(q.now)
		if q.queues[service] == nil {
			q.queues[service] = map[limpetsite.Homes]*Queue{}
		}
		q.queues[service][homes] = queue
		q.count++
	}
	return queue
}

// Changed says that a server of a service may have room now.
func (q *Queues) Changed(service string) {
	if q == nil {
		return
	}
	q.mu.RLock()
	defer q.mu.RUnlock()
	for _, queue := range q.queues[service] {
		queue.Changed()
	}
}

// dropCalm drops queues that nobody needs if there are many.
func (q *Queues) dropCalm() {
	if q.count < maxQueues {
		return
	}
	now := q.now()
	for service, queues := range q.queues {
		for homes, queue := range queues {
			if queue.Calm(now) {
				delete(queues, homes)
				q.count--
			}
		}
		if len(queues) == 0 {
			delete(q.queues, service)
		}
	}
}

// Waiting returns the number of requests that wait for each service.
func (q *Queues) Waiting() map[string]int {
	q.mu.RLock()
	defer q.mu.RUnlock()
	waiting := map[string]int{}
	for service, queues := range q.queues {
		for _, queue := range queues {
			waiting[service] += queue.Waiting()
		}
	}
	return waiting
}

// Enter lets a request pass, has it wait for its turn, or refuses it. If ctx ends
// meanwhile, the decision has neither a place nor a cause. One of the waiting requests
// serves the queue for all of them.
func (q *Queue) Enter(ctx context.Context, r *Request) Decision {
	decision, w := q.decide(r)
	if w == nil {
		return decision
	}
	timer := time.NewTimer(w.latest.Sub(q.now()))
	defer timer.Stop()
	select {
	case <-w.granted:
		return w.decision
	case <-ctx.Done():
		return q.end(w, "")
	case <-timer.C:
		return q.end(w, TooLate)
	case <-q.leader:
	}
	defer func() { q.leader <- struct{}{} }()
	return q.lead(ctx, w, timer)
}

// lead serves the queue until a request of its own is served or leaves.
func (q *Queue) lead(ctx context.Context, w *waiter, timer *time.Timer) Decision {
	look := time.NewTimer(0)
	defer look.Stop()
	for {
		select {
		case <-w.granted:
			return w.decision
		case <-ctx.Done():
			return q.end(w, "")
		case <-timer.C:
			return q.end(w, TooLate)
		case <-q.changed:
			look.Reset(q.serve())
		case <-look.C:
			look.Reset(q.serve())
		}
	}
}

// end takes a request out of the queue.
func (q *Queue) end(w *waiter, cause Cause) Decision {
	if !q.leave(w) {
		<-w.granted
		return w.decision
	}
	d := w.decision
	if d.Cause = cause; cause != "" {
		d.RetryAfter = retryAfter(d.Expected)
	}
	return d
}
