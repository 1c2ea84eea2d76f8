package limpetbatch

import "limpetmount.org/internal/limpetjob"

// chunkBytes bounds the texts of one chunk.
const chunkBytes = 400 << 10

// A Listing is a chunk of a job's results that is to be written.
type Listing struct {
	Job   *Job
	Chunk limpetjob.Chunk
}

// Listings returns the next chunk of each job that has settled items, at most
// so many chunks and no more than one for a job at a time. Committed or
// Unsure must follow.
func (l *Ledger) Listings(most int) []Listing {
	var all []Listing
	bytes := 0
	for _, j := range l.line {
		if len(all) >= most || bytes >= chunkBytes {
			break
		}
		if j.unsure || j.committing > 0 || len(j.unlisted) == 0 {
			continue
		}
		c := limpetjob.Chunk{First: j.listed}
		for _, e := range j.unlisted {
			if bytes += len(e.result.Text); bytes > chunkBytes && len(c.Results) > 0 {
				break
			}
			c.Results = append(c.Results, e.result)
		}
		j.committing = len(c.Results)
		all = append(all, Listing{Job: j, Chunk: c})
	}
	return all
}

// GroupReady reports whether a group that a trainer waits for is whole but for
// its listing.
func (l *Ledger) GroupReady() bool {
	for _, j := range l.line {
		if j.unsure || j.committing > 0 {
			continue
		}
		for _, e := range j.unlisted {
			if e.group.must && e.group.open == 0 {
				return true
			}
		}
	}
	return false
}

// Committed records that a chunk stands in the store.
func (l *Ledger) Committed(j *Job) {
	for _, e := range j.unlisted[:j.committing] {
		e.phase = listed
	}
	j.unlisted = j.unlisted[j.committing:]
	j.listed += j.committing
	j.committing = 0
}

// Unsure records that it is not known what the store holds of a job, until
// Adopt tells.
func (l *Ledger) Unsure(j *Job) { j.unsure, j.committing = true, 0 }
