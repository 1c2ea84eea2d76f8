package limpetforward_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetforward"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetupstream"
)

// A versionedFleet holds servers of several software versions. The data of their
// events names the version that made them.
type versionedFleet struct {
	*fixture
	mu sync.Mutex
	// breakAfter holds the event after which a server's streams break.
	breakAfter map[string]int
}

const lastEvent = 9

// newVersionedFleet returns a fleet with the given versions by server.
func newVersionedFleet(versions map[string]string) *versionedFleet {
	f := &versionedFleet{fixture: newFixture(limpetsite.Stream, repliesWith(200)), breakAfter: map[string]int{}}
	f.setAttempts(4)
	f.Upstream.Send = f.send
	f.set(versions, nil)
	return f
}

// set replaces the servers. Those in restarted have started again just now.
func (f *versionedFleet) set(versions map[string]string, restarted map[string]bool) {
	state, revision := limpetsite.NewState(), uint64(1)
	state.Apply(limpetsite.Record{Key: "config", Revision: 1, Config: f.view.Load().Config}, time.Now())
	for id, version := range versions {
		revision++
		server := &limpetsite.Server{ID: id, Service: "desk", Address: id, Zone: "z", Slots: 4, Incarnation: 1, Software: limpetsite.SoftwareOf("desk", version)}
		if restarted[id] {
			server.Incarnation = time.Now().UnixMilli()
		}
		state.Apply(limpetsite.Record{Key: limpetsite.ServerKey + id, Revision: revision, Server: server}, time.Now())
	}
	f.view.Store(state.Snapshot())
}

func (f *versionedFleet) send(_ context.Context, c limpetupstream.Call) (*limpetupstream.Reply, error) {
	f.mu.Lock()
	broken := f.breakAfter[c.Server.ID]
	// Each server breaks one stream only.
	delete(f.breakAfter, c.Server.ID)
	f.mu.Unlock()
	n := c.LastEventID
	return &limpetupstream.Reply{Status: 200, Signature: "s", Close: func() {}, Events: func() (limpetupstream.Event, error) {
		switch {
		case broken > 0 && n >= broken:
			return limpetupstream.Event{}, errors.New("reset")
		case n == lastEvent:
			return limpetupstream.Event{}, io.EOF
		}
		n++
		return limpetupstream.Event{ID: n, Data: string(c.Server.Software)}, nil
	}}, nil
}

// read reads an answer to its end. It returns the software of each event.
func read(a limpetforward.Answer) (software []string, err error) {
	if a.Reply == nil {
		return nil, fmt.Errorf("not served: %s", a.Reason)
	}
	for {
		e, err := a.Reply.Events()
		if err != nil {
			return software, err
		}
		software = append(software, e.Data)
	}
}

func repeated(software string, n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = software
	}
	return all
}

// Guards against answers with events of two software versions: a broken stream
// went on at any server.
func TestAnswersStayWithOneSoftware(t *testing.T) {
	for _, c := range []struct {
		name string
		// servers are those when the stream begins, later those when it breaks.
		servers, later map[string]string
		breakAfter     map[string]int
		restarted      map[string]bool
		want           []string
		whole          bool
	}{
		{"a broken stream goes on at a server of its software, though others are more", map[string]string{"a": "v1"},
			map[string]string{"a": "v1", "b": "v2", "c": "v2", "d": "v2", "e": "v2", "y": "v1"}, map[string]int{"a": 3}, nil, repeated("desk/v1", lastEvent), true},
		{"it goes on at the same server if its connection broke and no other runs its software", map[string]string{"a": "v1"},
			map[string]string{"a": "v1", "b": "v2", "c": "v2"}, map[string]int{"a": 3}, nil, repeated("desk/v1", lastEvent), true},
		{"it ends as broken if no server of its software is left", map[string]string{"a": "v1"},
			map[string]string{"b": "v2", "c": "v2"}, map[string]int{"a": 3}, nil, repeated("desk/v1", 3), false},
		{"it ends as broken if a server that started again with other software may have sent its events", map[string]string{"a": "v1"},
			map[string]string{"a": "v2", "b": "v1"}, map[string]int{"a": 3}, map[string]bool{"a": true}, repeated("desk/v1", 3), false},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newVersionedFleet(c.servers)
			f.breakAfter = c.breakAfter
			a := f.Forward(context.Background(), request("/k/x", "key"))
			f.set(c.later, c.restarted)
			got, err := read(a)
			Convey(c.name, t, func() {
				So(got, ShouldResemble, c.want)
				So(errors.Is(err, io.EOF), ShouldEqual, c.whole)
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		f := newVersionedFleet(map[string]string{"a": "v1", "b": "v2"})
		f.breakAfter = map[string]int{"a": -1}
		broken := f.Upstream.Send
		f.Upstream.Send = func(ctx context.Context, c limpetupstream.Call) (*limpetupstream.Reply, error) {
			reply, err := broken(ctx, c)
			if c.Server.ID == "a" {
				reply.Events = func() (limpetupstream.Event, error) { return limpetupstream.Event{}, errors.New("reset") }
			}
			return reply, err
		}
		var first, second []string
		for range 2 {
			first, second = second, nil
			second, _ = read(f.Forward(context.Background(), request("/k/x", "key")))
		}
		Convey("a stream that broke before its first event may begin at any server", t, func() {
			So(second, ShouldResemble, repeated("desk/v2", lastEvent))
			So(first, ShouldResemble, second)
		})
	})
}

func TestNewStreamsBeginWhereTheyCanGoOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newVersionedFleet(map[string]string{"a": "v1", "b": "v2", "c": "v2"})
		var all [][]string
		for range 4 {
			got, _ := read(f.Forward(context.Background(), request("/k/x", "key")))
			all = append(all, got)
		}
		Convey("they avoid software that only one server runs, while others have room", t, func() {
			for _, got := range all {
				So(got, ShouldResemble, repeated("desk/v2", lastEvent))
			}
		})
	})
}
