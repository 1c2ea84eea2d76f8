package limpetqueue

import (
	"slices"
	"time"
)

const (
	// maxTickets and maxAccountTickets bound the kept places, in all and of one account.
	maxTickets        = 4096
	maxAccountTickets = 1024
	// ticketGrace is how long after its turn a place is kept.
	ticketGrace = time.Second
	// returnWeight is the weight of one place in the mean of those that are used, which
	// begins at firstReturns.
	returnWeight = 0.05
	firstReturns = 0.3
)

// A ticket is a place that is kept for a refused request.
type ticket struct {
	key     uint64
	rank    int
	account string
	due     time.Time
}

// Tickets are the kept places of a service, in the order of their turns.
type tickets struct {
	byKey    map[uint64]*ticket
	byTurn   []*ticket
	accounts map[string]int
	// returns is the mean part of the places that are used.
	returns float64
}

func newTickets() tickets {
	return tickets{byKey: map[uint64]*ticket{}, accounts: map[string]int{}, returns: firstReturns}
}

func compareTurns(a, b *ticket) int { return a.due.Compare(b.due) }

// issue keeps a place, unless there are too many.
func (t *tickets) issue(k *ticket, now time.Time) bool {
	t.expire(now)
	if t.byKey[k.key] != nil || len(t.byTurn) >= maxTickets || t.accounts[k.account] >= maxAccountTickets {
		return false
	}
	i, _ := slices.BinarySearchFunc(t.byTurn, k, compareTurns)
	t.byTurn = slices.Insert(t.byTurn, i, k)
	t.byKey[k.key] = k
	t.accounts[k.account]++
	return true
}

// get returns the place that is kept for a request, or nil.
func (t *tickets) get(key uint64, now time.Time) *ticket {
	t.expire(now)
	return t.byKey[key]
}

// take removes the place of a request that came back.
func (t *tickets) take(key uint64) {
	if k := t.byKey[key]; k != nil {
		t.byTurn = slices.DeleteFunc(t.byTurn, func(other *ticket) bool { return other == k })
		t.forget(k, 1)
	}
}

func (t *tickets) forget(k *ticket, used float64) {
	delete(t.byKey, k.key)
	if t.accounts[k.account]--; t.accounts[k.account] <= 0 {
		delete(t.accounts, k.account)
	}
	t.returns += returnWeight * (used - t.returns)
}

// expire removes the places whose turn is over.
func (t *tickets) expire(now time.Time) {
	n := 0
	for n < len(t.byTurn) && now.Sub(t.byTurn[n].due) > ticketGrace {
		t.forget(t.byTurn[n], 0)
		n++
	}
	t.byTurn = slices.Delete(t.byTurn, 0, n)
}

// ahead returns the number of requests that are expected to come back by a time and
// go before a new one of an account, which has some waiting already. Of each other
// account of its rank, as many go before it as it has itself.
func (t *tickets) ahead(rank int, account string, waiting int, by time.Time) float64 {
	n, others := 0, map[string]int{}
	for _, k := range t.byTurn {
		if k.due.After(by) {
			break
		}
		switch {
		case k.rank < rank || (k.rank == rank && k.account == account):
			n++
		case k.rank == rank:
			others[k.account]++
		}
	}
	mine := waiting + 1 + t.accounts[account]
	for _, of := range others {
		n += min(of, mine)
	}
	return float64(n) * t.returns
}
