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

// A Queue is an io.Writer that never blocks. When the underlying writer is too
// slow and the queue is full, lines are dropped and counted.
type Queue struct {
	lines   chan []byte
	dropped atomic.Uint64
}

// NewQueue returns a queue that holds up to capacity lines. A goroutine of
// group writes them to w.
func NewQueue(group *limpettask.Group, w io.Writer, capacity int) *Queue {
	q := &Queue{lines: make(chan []byte, capacity)}
	group.Go(func(ctx context.Context) error { return q.run(ctx, w) })
	return q
}

// Write queues one line, or drops it when the queue is full.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- bytes.Clone(line):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

// Register registers the counter of dropped lines.
func (q *Queue) Register(r prometheus.Registerer) {
	r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "limpet_log_dropped_total", Help: "Log lines that were dropped because their reader was too slow.",
	}, func() float64 { return float64(q.Dropped()) }))
}

// run writes queued lines in batches, and the remaining ones when ctx ends.
func (q *Queue) run(ctx context.Context, w io.Writer) error {
	reported := uint64(0)
	for {
		var batch bytes.Buffer
		select {
		case line := <-q.lines:
			batch.Write(line)
		case <-ctx.Done():
		}
		q.fillBatch(&batch)
		if dropped := q.dropped.Load(); dropped > reported {
			fmt.Fprintf(&batch, "{\"event\":%d,\"level\":%q,\"msg\":%q,\"count\":%d}\n",
				LinesDropped.Number, LinesDropped.Level, LinesDropped.Message, dropped-reported)
			reported = dropped
		}
		// A failure to write the log cannot be reported anywhere.
		_, _ = w.Write(batch.Bytes())
		if ctx.Err() != nil && len(q.lines) == 0 {
			return nil
		}
	}
}

// maxBatchBytes is the batch size at which no more lines are added.
const maxBatchBytes = 64 << 10

func (q *Queue) fillBatch(batch *bytes.Buffer) {
	for batch.Len() < maxBatchBytes {
		select {
		case line := <-q.lines:
			batch.Write(line)
		default:
			return
		}
	}
}
