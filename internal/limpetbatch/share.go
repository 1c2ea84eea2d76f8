package limpetbatch

// A trainer is one who waits for steps: a client account with a model and a rank.
type trainer struct {
	account, model string
	rank           int
}

func trainerOf(j *Job) trainer {
	return trainer{account: j.Account, model: j.Model, rank: j.Rules.Priority}
}

// A trainerQueue holds the items of a trainer that wait, in the order in which they
// should start.
type trainerQueue struct {
	trainer
	items []*Entry
	// held is the number of the trainer's runs, and asked that number and its
	// waiting items.
	held, asked int
	sharing     *sharing
}

// late reports whether the next item is of a group that cannot be whole in time.
func (q *trainerQueue) late() bool { return q.items[0].group.late }

// required reports whether the trainer is expected to wait for the group of the next
// item.
func (q *trainerQueue) required() bool { return q.items[0].group.required }

// floorPart is the part of the service of all that a rank gets at least, and of an
// equal share that a trainer gets at least. Late groups are owed, too, and their
// trainers may submit nothing else until they have them.
const floorPart = 0.25

// A sharing divides the slots among trainers while there are too few.
type sharing struct {
	queues []*trainerQueue
	// held and asked are those of all trainers, and of each rank.
	held, asked         int
	rankHeld, rankAsked map[int]int
}

// newSharing returns the sharing of waiting items, which are in the order of compareWaiting.
func (s *Scheduler) newSharing(ready []*Entry) *sharing {
	sh := &sharing{rankHeld: map[int]int{}, rankAsked: map[int]int{}}
	byTrainer := map[trainer]*trainerQueue{}
	queueOf := func(j *Job) *trainerQueue {
		if j.queue != nil && j.queue.sharing == sh {
			return j.queue
		}
		key := trainerOf(j)
		q := byTrainer[key]
		if q == nil {
			q = &trainerQueue{trainer: key, sharing: sh}
			byTrainer[key] = q
			sh.queues = append(sh.queues, q)
		}
		j.queue = q
		return q
	}
	for _, e := range ready {
		q := queueOf(e.Job)
		q.items = append(q.items, e)
		q.asked++
	}
	for _, g := range s.busy {
		for _, r := range g.runs {
			q := queueOf(r.Entry.Job)
			q.held++
			q.asked++
		}
	}
	for _, q := range sh.queues {
		sh.held += q.held
		sh.asked += q.asked
		sh.rankHeld[q.rank] += q.held
		sh.rankAsked[q.rank] += q.asked
	}
	return sh
}

// next returns the queue whose first item should start next; nil if none waits.
func (sh *sharing) next() *trainerQueue {
	var best *trainerQueue
	for _, q := range sh.queues {
		if len(q.items) > 0 && (best == nil || sh.before(q, best)) {
			best = q
		}
	}
	return best
}

// before reports whether a queue goes before another one: what is below its floor,
// then groups that trainers are expected to wait for, then the higher rank, then groups
// that can be whole in time, then the trainer that holds the fewest slots. A late group
// goes with its rank: its trainer asks for the next step only once it has enough groups.
func (sh *sharing) before(a, b *trainerQueue) bool {
	if x, y := sh.belowFloor(a), sh.belowFloor(b); x != y {
		return x
	} else if !x {
		switch {
		case a.required() != b.required():
			return a.required()
		case a.rank != b.rank:
			return a.rank < b.rank
		case a.late() != b.late():
			return b.late()
		}
	}
	return a.held < b.held
}

// belowFloor reports whether a trainer, or its rank, has less than it gets at least.
func (sh *sharing) belowFloor(q *trainerQueue) bool {
	held, asked := float64(sh.rankHeld[q.rank]), float64(sh.rankAsked[q.rank])
	return held*float64(sh.asked) < floorPart*float64(sh.held)*asked ||
		float64(q.held*len(sh.queues)) < floorPart*float64(sh.held)
}

// started accounts for an item that starts.
func (sh *sharing) started(q *trainerQueue) {
	q.held++
	sh.held++
	sh.rankHeld[q.rank]++
}

// placeShort starts items while there are too few slots.
func (s *Scheduler) placeShort(ready []*Entry, d *dispatch) []*Run {
	sh := s.newSharing(ready)
	var starts []*Run
	for q := sh.next(); q != nil; {
		e, late := q.items[0], q.late()
		q.items = q.items[1:]
		r := s.place(e, d)
		if r != nil {
			starts = append(starts, r)
			sh.started(q)
		}
		if r != nil || len(q.items) == 0 || q.late() != late {
			q = sh.next()
		}
	}
	return starts
}
