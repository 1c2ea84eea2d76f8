package limpetforward_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetforward"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetupstream"
)

// eventsOf returns a behavior that answers with given events, and then an error.
func eventsOf(end error, events ...limpetupstream.Event) behavior {
	return func(context.Context, limpetupstream.Call) (*limpetupstream.Reply, error) {
		n := 0
		return &limpetupstream.Reply{Status: http.StatusOK, Signature: "seal", Close: func() {}, Events: func() (limpetupstream.Event, error) {
			if n == len(events) {
				return limpetupstream.Event{}, end
			}
			n++
			return events[n-1], nil
		}}, nil
	}
}

// readIDs reads an answer to its end. It returns the IDs of the events.
func readIDs(a limpetforward.Answer) (ids []int, err error) {
	for {
		e, err := a.Reply.Events()
		if err != nil {
			return ids, err
		}
		ids = append(ids, e.ID)
	}
}

// Guards against streams in whose middle callers find the error of the server that was
// to go on, or that end as if they were complete.
func TestErrorsOfTheNextServerDoNotReachTheStream(t *testing.T) {
	failure := limpetupstream.Event{Data: `{"error":"overloaded"}`, Raw: []byte("event: error\ndata: {\"error\":\"overloaded\"}\n\n")}
	for _, c := range []struct {
		name string
		next behavior
	}{
		{"a server error", repliesWith(http.StatusInternalServerError)},
		{"a gateway error", repliesWith(http.StatusBadGateway)},
		{"an answer of the caller's fault", repliesWith(http.StatusBadRequest)},
		{"a success that is no stream", repliesWith(http.StatusOK)},
		{"a refusal", refuses},
		{"a reset", resets},
		{"no connection", unreachable},
		{"an error as an event", eventsOf(io.EOF, failure)},
		{"an error as an event between others", eventsOf(io.EOF, limpetupstream.Event{ID: 4, Data: "4"}, failure)},
		{"the stream from its beginning", streamOf(1, 6, io.EOF)},
		{"the stream after a gap", streamOf(5, 6, io.EOF)},
		{"an event twice", eventsOf(io.EOF, limpetupstream.Event{ID: 4, Data: "4"}, limpetupstream.Event{ID: 4, Data: "4"})},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(limpetsite.Stream, streamOf(1, 3, errors.New("reset")), c.next, c.next, c.next)
				a := f.Forward(context.Background(), request("/k/x", "key"))
				ids, err := readIDs(a)
				Convey("the caller gets the events so far, and a stream that is visibly broken", t, func() {
					So(errors.Is(err, io.EOF), ShouldBeFalse)
					for n, id := range ids {
						So(id, ShouldEqual, n+1)
					}
				})
			})
		})
	}
}

// Guards against streams that are given up because a server that was to go on sent
// something else, although another one can.
func TestStreamsGoOnAfterAnErrorOfTheNextServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(limpetsite.Stream, streamOf(1, 3, errors.New("reset")), streamOf(1, 6, io.EOF), streamOf(4, 6, io.EOF))
		f.setAttempts(3)
		a := f.Forward(context.Background(), request("/k/x", "key"))
		ids, err := readIDs(a)
		Convey("the caller gets each event once, up to the end of the stream", t, func() {
			So(errors.Is(err, io.EOF), ShouldBeTrue)
			So(ids, ShouldResemble, []int{1, 2, 3, 4, 5, 6})
		})
	})
}

// Guards against streams that lack an event, or have one twice, and end as complete: the
// IDs of the first server's events were not looked at.
func TestEventsOfTheFirstServerFollowEachOther(t *testing.T) {
	event := func(id int) limpetupstream.Event { return limpetupstream.Event{ID: id, Data: "x"} }
	for _, kind := range []limpetsite.Kind{limpetsite.Stream, limpetsite.Once} {
		for _, c := range []struct {
			name string
			// spoiled is sent after the events 1 and 2 and before the event 5.
			spoiled limpetupstream.Event
			// allowed is set if the IDs may be those of a stream that cannot go on elsewhere.
			allowed bool
		}{
			{"without an ID", limpetupstream.Event{Data: "x"}, false},
			{"twice", event(2), false},
			{"with an earlier ID", event(1), false},
			{"with a later ID", event(7), false},
			{"missing", event(4), true},
		} {
			t.Run(c.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFixture(kind, eventsOf(io.EOF, event(1), event(2), c.spoiled, event(5)), streamOf(3, 5, io.EOF))
					f.setAttempts(2)
					ids, err := readIDs(f.Forward(context.Background(), request("/k/x", "key")))
					Convey("the stream goes on elsewhere if it may, and is visibly broken if not", t, func() {
						if kind == limpetsite.Stream {
							So(errors.Is(err, io.EOF), ShouldBeTrue)
							So(ids, ShouldResemble, []int{1, 2, 3, 4, 5})
							return
						}
						if c.allowed {
							So(ids, ShouldResemble, []int{1, 2, 4, 5})
							return
						}
						So(errors.Is(err, io.EOF), ShouldBeFalse)
						So(ids[:2], ShouldResemble, []int{1, 2})
						So(ids, ShouldNotContain, 5)
					})
				})
			})
		}
	}
}
