package limpetorigin_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetorigin"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetstub"
)

// Guards against a VM that was cut off or stood still, and believes a record because
// its own view shows no later start of the server.
func TestAnOldViewProvesNothing(t *testing.T) {
	for _, c := range []struct {
		name string
		// old is set if the view was last confirmed when the stream began.
		old bool
		// says is what the server says of its start; 0 if it does not answer.
		says int64
		want limpetsite.Software
	}{
		{"the view is current and the server silent", false, 0, software},
		{"the view is old and the server silent", true, 0, ""},
		{"the view is old and the server is the same", true, 1, software},
		{"the view is old and the server has started again", true, 2, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				state := limpetsite.NewState()
				state.Apply(limpetsite.Record{Key: limpetsite.ServerKey + "s", Revision: 1, Server: &limpetsite.Server{
					ID: "s", Service: "chat", Address: "s", Zone: "a", Slots: 1, Incarnation: 1, Software: software,
				}}, time.Now())
				view := state.Snapshot()
				b := newBook(limpetstub.NewStore().Client(), false)
				b.View = func() *limpetsite.Snapshot { return view }
				b.IncarnationOf = func(context.Context, *limpetsite.Server) (int64, error) {
					if c.says == 0 {
						return 0, limpeterror.Unavailable.New("no answer")
					}
					return c.says, nil
				}
				began := time.Now()
				b.Confirmed = func() time.Time {
					if c.old {
						return began
					}
					return time.Now()
				}
				b.Record(limpetorigin.Record{Stream: stream(1), Software: software, Sender: limpetorigin.Sender{Server: "s", Incarnation: 1, Began: began}})
				time.Sleep(limpetorigin.SettleTime + time.Second)
				found, _ := b.Find(context.Background(), stream(1))
				Convey("the stream goes on only if its software is known", t, func() { So(found, ShouldEqual, c.want) })
			})
		})
	}
}
