package limpetlog

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"limpetmount.org/internal/limpettask"
)

// A Queue is a writer that never blocks: lines that its reader is too slow
// for are dropped and counted.
type Queue struct {
	lines   chan []byte
	dropped atomic.Uint64
}

// NewQueue returns a queue of so many lines, which the group writes to w.
func NewQueue(group *limpettask.Group, w io.Writer, capacity int) *Queue {
	q := &Queue{lines: make(chan []byte, capacity)}
	group.Go(func(ctx context.Context) error { return q.run(ctx, w) })
	return q
}

// Write takes one line.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- bytes.Clone(line):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped so far.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

// Register adds the count of dropped lines to the metrics.
func (q *Queue) Register(r prometheus.Registerer) {
	r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "limpet_log_dropped_total", Help: "Log lines that were dropped because their reader was too slow.",
	}, func() float64 { return float64(q.Dropped()) }))
}

// run writes what waits in one call, and the rest when ctx ends.
func (q *Queue) run(ctx context.Context, w io.Writer) error {
	reported := uint64(0)
	for {
		var batch bytes.Buffer
		select {
		case line := <-q.lines:
			batch.Write(line)
		case <-ctx.Done():
		}
		q.gather(&batch)
		if dropped := q.dropped.Load(); dropped > reported {
			fmt.Fprintf(&batch, "{\"event\":%d,\"level\":%q,\"msg\":%q,\"count\":%d}\n",
				LinesDropped.Number, LinesDropped.Level, LinesDropped.Message, dropped-reported)
			reported = dropped
		}
		// There is nowhere to tell of a failure to write the log.
		_, _ = w.Write(batch.Bytes())
		if ctx.Err() != nil && len(q.lines) == 0 {
			return nil
		}
	}
}

// gatherBytes bounds one write, in bytes.
const gatherBytes = 64 << 10

func (q *Queue) gather(batch *bytes.Buffer) {
	for batch.Len() < gatherBytes {
		select {
		case line := <-q.lines:
			batch.Write(line)
		default:
			return
		}
	}
}
