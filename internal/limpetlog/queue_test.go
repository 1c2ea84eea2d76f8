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

// A reader takes lines once it is let go on.
type reader struct {
	goOn chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (r *reader) Write(b []byte) (int, error) {
	<-r.goOn
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.Write(b)
}

func TestReaderThatDoesNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &reader{goOn: make(chan struct{})}
		group := limpettask.New(context.Background())
		queue := limpetlog.NewQueue(group, r, 4)
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
		close(r.goOn)
		synctest.Wait()
		log.Emit(limpetlog.NodeStopped)
		if err := group.Stop(); err != nil {
			t.Error(err)
		}
		Convey("lines never block; what is lost is counted and told", t, func() {
			So(took, ShouldEqual, 0)
			So(dropped, ShouldBeGreaterThan, 80)
			So(r.text.String(), ShouldContainSubstring, limpetlog.LinesDropped.Message)
			So(strings.Count(r.text.String(), limpetlog.NodeStopped.Message), ShouldEqual, 1)
		})
	})
}

func BenchmarkLine(b *testing.B) {
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
			// The buffer takes what is left.
			_ = group.Stop()
		})
	}
}
