package limpetjob_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpetstub"
)

func job(id, account string) *limpetjob.Job {
	return &limpetjob.Job{ID: id, Account: account, Model: "m", Arrived: time.Now(), Items: []limpetjob.Item{
		{ID: "i1", Path: "/p/1", Body: []byte("one")}, {ID: "i2", Path: "/p/2", Body: []byte("two")},
	}}
}

func commitChunk(store limpetstore.Store, id string, first int, items ...string) error {
	c := limpetjob.Chunk{First: first}
	for _, i := range items {
		c.Results = append(c.Results, limpetjob.Result{ID: i, State: limpetjob.Completed, Text: "text of " + i})
	}
	_, err := store.Commit(context.Background(), limpetstore.Transaction{Writes: []limpetstore.Write{{Key: limpetjob.ChunkKey(id, first), Data: c.Encode()}}})
	return err
}

func TestAccept(t *testing.T) {
	ctx := context.Background()
	for _, c := range []struct {
		name   string
		faults []limpetstub.Fault
		stored bool
		check  func(err error) bool
	}{
		{"no fault", nil, true, func(err error) bool { return err == nil }},
		{"response lost after the commit", []limpetstub.Fault{limpetstub.ReplyLost}, true, func(err error) bool { return err == nil }},
		{"request lost before the commit", []limpetstub.Fault{limpetstub.RequestLost}, true, func(err error) bool { return err == nil }},
		{"first request refused", []limpetstub.Fault{limpetstub.Refused}, false, func(err error) bool { return limpeterror.Is(err, limpeterror.Unavailable) }},
		{"refused after a lost response", []limpetstub.Fault{limpetstub.ReplyLost, limpetstub.Refused}, true, func(err error) bool { return err == nil }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stub := limpetstub.NewStore()
				calls := 0
				stub.Fault = func(kind, _ string) limpetstub.Fault {
					if kind != "commit" || calls >= len(c.faults) {
						return limpetstub.NoFault
					}
					calls++
					return c.faults[calls-1]
				}
				timeout, cancel := context.WithTimeout(ctx, time.Second)
				defer cancel()
				err := limpetjob.Accept(timeout, stub.Client(), job("j", "acme"))
				_, stored := limpetjob.LoadSummary(ctx, stub.Client(), "j")
				Convey(c.name, t, func() {
					So(c.check(err), ShouldBeTrue)
					So(stored == nil, ShouldEqual, c.stored)
				})
			})
		})
	}
	Convey("Accept reports an outcome that stays unknown as Unknown", t, func() {
		stub := limpetstub.NewStore()
		stub.Fault = func(string, string) limpetstub.Fault { return limpetstub.RequestLost }
		timeout, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		So(limpeterror.Is(limpetjob.Accept(timeout, stub.Client(), job("j", "acme")), limpeterror.Unknown), ShouldBeTrue)
	})
	Convey("a repeated submission succeeds for the same account and is denied for another", t, func() {
		stub := limpetstub.NewStore()
		So(limpetjob.Accept(ctx, stub.Client(), job("j", "acme")), ShouldBeNil)
		So(limpetjob.Accept(ctx, stub.Client(), job("j", "acme")), ShouldBeNil)
		So(limpeterror.Is(limpetjob.Accept(ctx, stub.Client(), job("j", "other")), limpeterror.Denied), ShouldBeTrue)
	})
	Convey("a job larger than one value of the store is stored completely", t, func() {
		stub := limpetstub.NewStore()
		j := job("j", "acme")
		j.Items[0].Body = bytes.Repeat([]byte("x"), 3<<20)
		So(limpetjob.Accept(ctx, stub.Client(), j), ShouldBeNil)
		s, err := limpetjob.LoadSummary(ctx, stub.Client(), "j")
		So(err, ShouldBeNil)
		read, err := limpetjob.Load(ctx, stub.Client(), s)
		So(err, ShouldBeNil)
		So(len(read.Items[0].Body), ShouldEqual, 3<<20)
	})
	Convey("the error for an invalid job lists all findings", t, func() {
		j := job("a/b", "acme")
		j.Items[1].ID, j.Items[1].Path = "i1", "p"
		So(j.Validate().Error(), ShouldContainSubstring, "id: ")
		So(j.Validate().Error(), ShouldContainSubstring, "items[1]: id")
		So(j.Validate().Error(), ShouldContainSubstring, "items[1]: path")
	})
}

func TestRead(t *testing.T) {
	ctx := context.Background()
	open := func() (*limpetstub.Store, *limpetjob.Reader) {
		stub := limpetstub.NewStore()
		if err := limpetjob.Accept(ctx, stub.Client(), job("j", "acme")); err != nil {
			panic(fmt.Sprintf("the store refused a job without an injected fault: %v", err))
		}
		return stub, limpetjob.NewReader(stub.Client(), time.Now)
	}
	Convey("Read returns the stored results from the given position on", t, func() {
		stub, r := open()
		So(commitChunk(stub.Client(), "j", 0, "i1"), ShouldBeNil)
		page, err := r.Read(ctx, "j", "acme", 0, 0)
		So(err, ShouldBeNil)
		So(page.Total, ShouldEqual, 2)
		So(page.Next, ShouldEqual, 1)
		So(commitChunk(stub.Client(), "j", 1, "i2"), ShouldBeNil)
		page, err = r.Read(ctx, "j", "acme", 1, 0)
		So(err, ShouldBeNil)
		So(page.Results[0].ID, ShouldEqual, "i2")
	})
	Convey("cached results are returned also while the store is down", t, func() {
		stub, r := open()
		So(commitChunk(stub.Client(), "j", 0, "i1"), ShouldBeNil)
		_, err := r.Read(ctx, "j", "acme", 0, 0)
		So(err, ShouldBeNil)
		stub.SetDown(true)
		page, err := r.Read(ctx, "j", "acme", 0, 0)
		So(err, ShouldBeNil)
		So(len(page.Results), ShouldEqual, 1)
		_, err = r.Read(ctx, "j", "acme", 1, 0)
		So(limpeterror.Is(err, limpeterror.Unavailable), ShouldBeTrue)
	})
	Convey("another account's job and an unknown job are not found", t, func() {
		_, r := open()
		_, err := r.Read(ctx, "j", "other", 0, 0)
		So(limpeterror.Is(err, limpeterror.NotFound), ShouldBeTrue)
		_, err = r.Read(ctx, "none", "acme", 0, 0)
		So(limpeterror.Is(err, limpeterror.NotFound), ShouldBeTrue)
	})
	Convey("a result that another VM returned is found although the watch does not report it", t, func() {
		stub, _ := open()
		store := stub.Client()
		silent := store
		silent.Follow = func(_ context.Context, _ string, after uint64, wait time.Duration) (limpetstore.Listing, error) {
			<-time.After(wait)
			return limpetstore.Listing{Revision: after + 1000}, nil
		}
		r := limpetjob.NewReader(silent, time.Now)
		So(commitChunk(store, "j", 0, "i1"), ShouldBeNil)
		_, err := r.Read(ctx, "j", "acme", 0, 10*time.Millisecond)
		So(err, ShouldBeNil)
		_, err = r.Read(ctx, "j", "acme", 1, 10*time.Millisecond)
		So(err, ShouldBeNil)
		So(commitChunk(store, "j", 1, "i2"), ShouldBeNil)
		page, err := r.Read(ctx, "j", "acme", 1, 0)
		So(err, ShouldBeNil)
		So(len(page.Results), ShouldEqual, 1)
	})
	Convey("Body returns an item's body unchanged, and NotFound for an unknown item", t, func() {
		_, r := open()
		body, err := r.Body(ctx, "j", "acme", "i2")
		So(err, ShouldBeNil)
		So(string(body), ShouldEqual, "two")
		_, err = r.Body(ctx, "j", "acme", "i9")
		So(limpeterror.Is(err, limpeterror.NotFound), ShouldBeTrue)
	})
	Convey("End is idempotent", t, func() {
		stub, _ := open()
		So(limpetjob.End(ctx, stub.Client(), "j"), ShouldBeNil)
		So(limpetjob.End(ctx, stub.Client(), "j"), ShouldBeNil)
	})
}

func TestReadWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		stub := limpetstub.NewStore()
		if err := limpetjob.Accept(ctx, stub.Client(), job("j", "acme")); err != nil {
			t.Fatal(err)
		}
		r := limpetjob.NewReader(stub.Client(), time.Now)
		time.AfterFunc(300*time.Millisecond, func() {
			if err := commitChunk(stub.Client(), "j", 0, "i1"); err != nil {
				t.Error(err)
			}
		})
		began := time.Now()
		page, err := r.Read(ctx, "j", "acme", 0, time.Second)
		took := time.Since(began)
		empty, emptyErr := r.Read(ctx, "j", "acme", 1, time.Second)
		Convey("Read returns when a result is committed, or without results at the end of its wait", t, func() {
			So(err, ShouldBeNil)
			So(len(page.Results), ShouldEqual, 1)
			So(took, ShouldBeLessThan, 600*time.Millisecond)
			So(emptyErr, ShouldBeNil)
			So(empty.Next, ShouldEqual, 1)
		})
	})
}
