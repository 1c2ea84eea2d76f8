package limpetbatch

import "limpetmount.org/internal/limpetjob"

// maxChunkBytes bounds the total size of the texts that one call of PendingChunks
// returns, but each chunk has at least one result.
const maxChunkBytes = 400 << 10

// A PendingChunk is a chunk of a job's results that is to be written to the
// store.
type PendingChunk struct {
	Job   *Job
	Chunk limpetjob.Chunk
}

// PendingChunks returns the next chunk of each job that has settled items, at
// most limit chunks. The caller must report the outcome of each write by
// MarkCommitted or MarkStoreUnknown; until then the job has no further chunk.
func (s *Scheduler) PendingChunks(limit int) []PendingChunk {
	var all []PendingChunk
	bytes := 0
	for _, j := range s.jobsByArrival {
		if len(all) >= limit || bytes >= maxChunkBytes {
			break
		}
		if j.storeUnknown || j.committing > 0 || len(j.uncommitted) == 0 {
			continue
		}
		c := limpetjob.Chunk{First: j.committed}
		for _, e := range j.uncommitted {
			if bytes += len(e.result.Text); bytes > maxChunkBytes && len(c.Results) > 0 {
				break
			}
			c.Results = append(c.Results, e.result)
		}
		j.committing = len(c.Results)
		all = append(all, PendingChunk{Job: j, Chunk: c})
	}
	return all
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
	j.committing = 0
}

// MarkStoreUnknown records that it is unknown which results of a job the store
// holds, until Reconcile is called with them.
func (s *Scheduler) MarkStoreUnknown(j *Job) { j.storeUnknown, j.committing = true, 0 }
