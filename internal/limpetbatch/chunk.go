package limpetbatch

import "limpetmount.org/internal/limpetjob"

const (
	// maxChunkBytes bounds the texts of the chunks that one call of PendingChunks
	// returns, in their stored form. A single result may be larger; it is returned by
	// itself.
	maxChunkBytes = 400 << 10
	// refusalsUntilSingle is the number of refusals of a job's chunk from which on it
	// has a single result, and refusalsUntilApart from which on that one is set apart.
	refusalsUntilSingle = 2
	refusalsUntilApart  = 4
)

// A PendingChunk is a chunk of a job's results that is to be written to the
// store.
type PendingChunk struct {
	Job   *Job
	Chunk limpetjob.Chunk
}

// PendingChunks returns the next chunk of each job that has settled items, at
// most limit chunks. What the store may refuse, a large result or one of a job whose
// chunk it refused before, is returned by itself, in turn with the others. The caller
// must report the outcome of each write by MarkCommitted, MarkRefused or
// MarkStoreUnknown; until then the job has no further chunk.
func (s *Scheduler) PendingChunks(limit int) []PendingChunk {
	var all []PendingChunk
	var doubtful *Job
	bytes := 0
	for _, j := range s.jobsByArrival {
		switch {
		case !j.mayCommit():
		case j.doubtful():
			if doubtful == nil {
				doubtful = j
			}
		case len(all) < limit && bytes < maxChunkBytes:
			c, size := j.nextChunk(maxChunkBytes - bytes)
			all = append(all, c)
			bytes += size
		}
	}
	if doubtful != nil && (len(all) == 0 || s.doubtfulNext) {
		s.doubtfulNext = false
		c, _ := doubtful.nextChunk(maxChunkBytes)
		all = []PendingChunk{c}
	} else {
		s.doubtfulNext = doubtful != nil
	}
	for _, c := range all {
		c.Job.committing = len(c.Chunk.Results)
	}
	return all
}

// mayCommit reports whether a job has results to write.
func (j *Job) mayCommit() bool {
	return !j.storeUnknown && j.committing == 0 && len(j.uncommitted) > 0
}

// doubtful reports whether the store may refuse the job's next chunk.
func (j *Job) doubtful() bool {
	return j.refusals > 0 || j.uncommitted[0].text.encoded > maxChunkBytes
}

// nextChunk returns a chunk of a job's next results, and the size of their texts, which
// is at most the given one unless the first result alone is larger.
func (j *Job) nextChunk(bytes int) (PendingChunk, int) {
	c, size := limpetjob.Chunk{First: j.committed}, 0
	for _, e := range j.uncommitted {
		if len(c.Results) > 0 && (size+e.text.encoded > bytes || j.refusals >= refusalsUntilSingle) {
			break
		}
		size += e.text.encoded
		c.Results = append(c.Results, e.result)
	}
	return PendingChunk{Job: j, Chunk: c}, size
}

// MarkRefused records that the store refuses the transaction with the job's last chunk
// for good. The chunk is tried by itself, then its first result alone. If the store
// refuses that, too, the item is set apart until it may be given up, and returned.
func (s *Scheduler) MarkRefused(j *Job) *Entry {
	single := j.committing == 1
	j.committing = 0
	if j.refusals++; !single || j.refusals < refusalsUntilApart {
		return nil
	}
	e := j.uncommitted[0]
	j.uncommitted = j.uncommitted[1:]
	j.refusals = 0
	e.phase, e.result = apart, limpetjob.Result{}
	e.group.unsettled++
	// The group may have been dropped from the open ones.
	s.open = nil
	return e
}

// GroupReady reports whether a required group has settled completely and only
// needs to be committed.
func (s *Scheduler) GroupReady() bool {
	for _, j := range s.jobsByArrival {
		if j.storeUnknown || j.committing > 0 {
			continue
		}
		for _, e := range j.uncommitted {
			if e.group.required && e.group.unsettled == 0 {
				return true
			}
		}
	}
	return false
}

// MarkCommitted records that the store holds the job's last chunk from
// PendingChunks.
func (s *Scheduler) MarkCommitted(j *Job) {
	for _, e := range j.uncommitted[:j.committing] {
		e.phase = committed
	}
	j.uncommitted = j.uncommitted[j.committing:]
	j.committed += j.committing
	j.committing, j.refusals = 0, 0
}

// MarkStoreUnknown records that it is unknown which results of a job the store
// holds, until Reconcile is called with them.
func (s *Scheduler) MarkStoreUnknown(j *Job) { j.storeUnknown, j.committing = true, 0 }
