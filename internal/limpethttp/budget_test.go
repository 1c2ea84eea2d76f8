package limpethttp_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpethttp"
)

// endless is a reader that never ends.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

func TestBudget(t *testing.T) {
	const limit = 1 << 20
	newBudget := func() *limpethttp.Budget { return limpethttp.NewBudget(func() int64 { return limit }) }
	Convey("one answer takes at most half of the budget, and gives it back when it fails", t, func() {
		b := newBudget()
		_, _, err := b.ReadAll(endless{}, -1)
		So(limpeterror.Is(err, limpeterror.Unknown), ShouldBeTrue)
		So(b.Used(), ShouldEqual, 0)
	})
	Convey("answers are whole, and all together stay within the budget until they are released", t, func() {
		b := newBudget()
		var holds []*limpethttp.Hold
		large := bytes.Repeat([]byte("x"), 200<<10)
		failed := 0
		for range 10 {
			data, h, err := b.ReadAll(bytes.NewReader(large), int64(len(large)))
			if err != nil {
				failed++
				continue
			}
			So(len(data), ShouldEqual, len(large))
			holds = append(holds, h)
			So(b.Used(), ShouldBeLessThanOrEqualTo, limit)
		}
		So(failed, ShouldBeGreaterThan, 0)
		So(len(holds), ShouldBeGreaterThan, 2)
		Convey("and an ordinary answer beside them is whole", func() {
			data, h, err := b.ReadAll(strings.NewReader("ok"), -1)
			So(err, ShouldBeNil)
			So(string(data), ShouldEqual, "ok")
			h.Release()
		})
		for _, h := range holds {
			h.Release()
		}
		So(b.Used(), ShouldEqual, 0)
	})
	Convey("a stated length beyond the bound fails before anything is read, one that is not sent takes no memory", t, func() {
		b := newBudget()
		_, _, err := b.ReadAll(nil, limit)
		So(limpeterror.Is(err, limpeterror.Unknown), ShouldBeTrue)
		_, h, err := b.ReadAll(strings.NewReader(""), limit/2)
		So(err, ShouldBeNil)
		So(b.Used(), ShouldEqual, 0)
		h.Release()
	})
	Convey("an error of the reader is returned as it is", t, func() {
		_, _, err := newBudget().ReadAll(io.MultiReader(strings.NewReader("part"), errReader{}), -1)
		So(errors.Is(err, errBroken), ShouldBeTrue)
	})
}

var errBroken = errors.New("broken")

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, errBroken }

func TestAnswersOfCallsAreBounded(t *testing.T) {
	Convey("an answer to a call that is too long is an error, and is not cut", t, func() {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			block := make([]byte, 1<<20)
			for range 20 {
				if _, err := w.Write(block); err != nil {
					return
				}
			}
		}))
		t.Cleanup(server.Close)
		client := &http.Client{Transport: limpethttp.NewTransport(1)}
		_, _, err := limpethttp.Exchange(context.Background(), client, http.MethodGet, server.URL, nil, nil)
		So(limpeterror.Is(err, limpeterror.Unavailable), ShouldBeTrue)
		_, _, err = limpethttp.Exchange(context.Background(), client, http.MethodPost, server.URL, nil, "x")
		So(limpeterror.Is(err, limpeterror.Unknown), ShouldBeTrue)
	})
}
