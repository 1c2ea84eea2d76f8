package limpetlog_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpettask"
)

// A blockingWriter blocks every write until unblock is closed.
type blockingWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (w *blockingWriter) Write(b []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(b)
}

func TestQueueDropsLinesWhenWriterBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &blockingWriter{unblock: make(chan struct{})}
		group := limpettask.New(context.Background())
		queue := limpetlog.NewQueue(group, w, 4)
		log, err := limpetlog.New(queue, "info", "json", "vm-1")
		if err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		for range 100 {
			log.Emit(limpetlog.NodeReady)
		}
		took := time.Since(began)
		dropped := queue.Dropped()
		close(w.unblock)
		synctest.Wait()
		log.Emit(limpetlog.NodeStopped)
		if err := group.Stop(); err != nil {
			t.Error(err)
		}
		Convey("writes never block, and dropped lines are counted and reported", t, func() {
			So(took, ShouldEqual, 0)
			So(dropped, ShouldBeGreaterThan, 80)
			So(w.text.String(), ShouldContainSubstring, limpetlog.LinesDropped.Message)
			So(strings.Count(w.text.String(), limpetlog.NodeStopped.Message), ShouldEqual, 1)
		})
	})
}

func BenchmarkEmit(b *testing.B) {
	for name, capacity := range map[string]int{"written": 1 << 20, "dropped": 0} {
		b.Run(name, func(b *testing.B) {
			group := limpettask.New(context.Background())
			queue := limpetlog.NewQueue(group, &bytes.Buffer{}, capacity)
			log, err := limpetlog.New(queue, "info", "json", "vm-1")
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				log.Emit(limpetlog.RunFailed, limpetlog.Job("job"), limpetlog.Value("item", "item"), limpetlog.Server("server"), limpetlog.Value("status", 503))
			}
			// Stop writes the remaining lines to the buffer.
			_ = group.Stop()
		})
	}
}
