package limpetorigin_test

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetorigin"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpetstub"
	"limpetmount.org/internal/limpettask"
)

const software = limpetsite.Software("chat/v1")

// newBook returns a book of a VM that is the director or knows none.
func newBook(store limpetstore.Store, directing bool) *limpetorigin.Book {
	return limpetorigin.New(limpetorigin.Deps{
		VM: "vm", Incarnation: "x", Store: store, View: limpetsite.EmptySnapshot, Directing: func() bool { return directing }, VMs: func() int { return 1 },
		Send:    func(context.Context, []limpetorigin.Record) error { return errors.New("no director") },
		Ask:     func(context.Context, limpetorigin.Stream) limpetorigin.Found { return limpetorigin.Found{} },
		Metrics: prometheus.NewRegistry(), Log: limpetlog.Discard(), Now: time.Now,
	})
}

func stream(n int) limpetorigin.Stream { return limpetorigin.StreamOf("acme", fmt.Sprint(n)) }

// recordOf returns a record that is in no doubt.
func recordOf(s limpetorigin.Stream) limpetorigin.Record {
	return limpetorigin.Record{Stream: s, Software: software}
}

func TestRecordsLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBook(limpetstub.NewStore().Client(), false)
		b.Record(recordOf(stream(1)))
		time.Sleep(limpetorigin.Retention - time.Second)
		b.Record(recordOf(stream(2)))
		kept := b.Lookup(stream(1))
		// A stream that lasts is recorded again and again.
		for range 9 {
			time.Sleep(limpetorigin.RefreshInterval)
			b.Record(recordOf(stream(2)))
		}
		Convey("a record is kept for the time that callers have to come back, and as long as its stream lasts", t, func() {
			So(kept.Software, ShouldEqual, software)
			So(b.Lookup(stream(1)).Software, ShouldEqual, limpetsite.Software(""))
			So(b.Lookup(stream(2)).Software, ShouldEqual, software)
		})
		Convey("streams of other accounts are others", t, func() {
			So(limpetorigin.StreamOf("acme", "1"), ShouldNotEqual, limpetorigin.StreamOf("other", "1"))
		})
	})
}

func TestTheStoreKeepsRecordsForATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := limpetstub.NewStore()
		group := limpettask.New(context.Background())
		b := newBook(store.Client(), true)
		group.Go(b.Run)
		store.SetDown(true)
		for n := range 100 {
			b.Record(recordOf(stream(n)))
		}
		time.Sleep(5 * time.Second)
		store.SetDown(false)
		time.Sleep(5 * time.Second)
		found, source := newBook(store.Client(), false).Find(context.Background(), stream(7))
		before, _ := store.Client().List(context.Background(), limpetorigin.Prefix)
		for n := range 120 {
			b.Record(recordOf(stream(1000 + n)))
			time.Sleep(time.Second)
		}
		time.Sleep(2 * limpetorigin.Retention)
		b.Record(recordOf(stream(2000)))
		time.Sleep(5 * time.Second)
		left, err := store.Client().List(context.Background(), limpetorigin.Prefix)
		Convey("records that an outage held up are written, found by other VMs, and removed in time", t, func() {
			So(found, ShouldEqual, software)
			So(source, ShouldEqual, "store")
			So(len(before), ShouldBeBetween, 0, 17)
			So(err, ShouldBeNil)
			So(len(left), ShouldBeLessThan, 120)
		})
		if err := group.Stop(); err != nil {
			t.Error(err)
		}
	})
}

// identity returns identities that look like hashes.
func identity(n uint64) limpetorigin.Stream { return limpetorigin.Stream(n * 0x9E3779B97F4A7C15) }

func TestRecordsAreBounded(t *testing.T) {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	before := m.HeapAlloc
	b := newBook(limpetstub.NewStore().Client(), true)
	var batch []limpetorigin.Record
	for n := range 3 << 20 {
		batch = append(batch[:0], limpetorigin.Record{Stream: identity(uint64(n + 1)), Software: software})
		b.Accept(batch)
	}
	runtime.GC()
	runtime.ReadMemStats(&m)
	Convey("a flood of streams takes bounded memory, and the newest are known", t, func() {
		So(b.Lookup(identity(3<<20)).Software, ShouldEqual, software)
		So(b.Lookup(identity(1)).Software, ShouldEqual, limpetsite.Software(""))
		// What a VM may spend for control.
		So(m.HeapAlloc-before, ShouldBeLessThan, 64<<20)
	})
	runtime.KeepAlive(b)
}

// BenchmarkRecord measures a record on the VM that serves the stream.
func BenchmarkRecord(b *testing.B) {
	book := newBook(limpetstub.NewStore().Client(), false)
	b.ReportAllocs()
	for n := range b.N {
		book.Record(recordOf(limpetorigin.Stream(n%100_000 + 1)))
	}
}
