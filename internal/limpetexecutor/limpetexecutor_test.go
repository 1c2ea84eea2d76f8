package limpetexecutor_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpetbatch"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetexecutor"
	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetupstream"
)

const eventInterval = 50 * time.Millisecond

// streamEvents returns a function that responds with a stream of events up to the
// given number, one per eventInterval.
func streamEvents(last int) func(context.Context, limpetupstream.Call) (*limpetupstream.Reply, error) {
	return func(ctx context.Context, c limpetupstream.Call) (*limpetupstream.Reply, error) {
		n := c.LastEventID
		return &limpetupstream.Reply{Status: http.StatusOK, Version: 3, Close: func() {}, Events: func() (limpetupstream.Event, error) {
			if n == last {
				return limpetupstream.Event{}, io.EOF
			}
			if !limpettask.Sleep(ctx, eventInterval) {
				return limpetupstream.Event{}, ctx.Err()
			}
			n++
			return limpetupstream.Event{ID: n, Data: "x"}, nil
		}}, nil
	}
}

// answer returns a function that responds with the given reply.
func answer(r limpetupstream.Reply) func(context.Context, limpetupstream.Call) (*limpetupstream.Reply, error) {
	r.Close = func() {}
	return func(context.Context, limpetupstream.Call) (*limpetupstream.Reply, error) { return &r, nil }
}

func TestExecute(t *testing.T) {
	for _, c := range []struct {
		name string
		send func(context.Context, limpetupstream.Call) (*limpetupstream.Reply, error)
		want limpetexecutor.End
	}{
		{"no response", func(context.Context, limpetupstream.Call) (*limpetupstream.Reply, error) {
			return nil, errors.New("reset")
		}, limpetexecutor.End{Ending: limpetbatch.Interrupted, Cause: "reset"}},
		{"other weights", answer(limpetupstream.Reply{Status: 421, Misdirected: true, NotRun: true}), limpetexecutor.End{Ending: limpetbatch.Misdirected, Status: 421}},
		{"a full engine", answer(limpetupstream.Reply{Status: 503, NotRun: true}), limpetexecutor.End{Ending: limpetbatch.Rejected, Status: 503}},
		{"an internal error", answer(limpetupstream.Reply{Status: 500}), limpetexecutor.End{Ending: limpetbatch.Failed, Status: 500}},
		{"an unprocessable item", answer(limpetupstream.Reply{Status: 422}), limpetexecutor.End{Ending: limpetbatch.Unprocessable, Status: 422}},
		{"another status", answer(limpetupstream.Reply{Status: 404}), limpetexecutor.End{Ending: limpetbatch.Interrupted, Status: 404}},
		{"status 200 without a stream", answer(limpetupstream.Reply{Status: 200}), limpetexecutor.End{Ending: limpetbatch.Interrupted, Status: 200}},
		{"a complete text", streamEvents(0), limpetexecutor.End{Ending: limpetbatch.Complete}},
	} {
		Convey(c.name, t, func() {
			var ends []limpetexecutor.End
			limpetexecutor.Execute(context.Background(), c.send, limpetupstream.Call{}, limpetexecutor.Sink{
				Header: func(int) {}, Event: func(limpetupstream.Event, int) {}, End: func(e limpetexecutor.End) { ends = append(ends, e) },
			})
			So(ends, ShouldResemble, []limpetexecutor.End{c.want})
		})
	}
}

// A director records the offers and deliveries that it gets.
type director struct {
	mu sync.Mutex
	// batches is sent to the VM.
	batches    chan limpetexecutor.Batch
	decline    bool
	down       bool
	offers     []limpetexecutor.Offer
	deliveries []limpetexecutor.Delivery
	// clockSkew is added to the VM's clock, as if the VM had been suspended.
	clockSkew atomic.Int64
}

func (d *director) link() limpetexecutor.Link {
	return limpetexecutor.Link{
		Offer: func(ctx context.Context, o limpetexecutor.Offer, handle func(limpetexecutor.Batch)) error {
			d.mu.Lock()
			d.offers = append(d.offers, o)
			decline, down := d.decline, d.down
			d.mu.Unlock()
			if down {
				return limpeterror.Unavailable.New("down")
			}
			if decline {
				return nil
			}
			for {
				select {
				case b := <-d.batches:
					handle(b)
				case <-ctx.Done():
					return ctx.Err()
				}
			}
		},
		Deliver: func(_ context.Context, m limpetexecutor.Delivery) (bool, error) {
			d.mu.Lock()
			defer d.mu.Unlock()
			if d.down {
				return false, limpeterror.Unavailable.New("down")
			}
			d.deliveries = append(d.deliveries, m)
			return true, nil
		},
	}
}

func (d *director) set(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
}

// received returns the offers so far, and the IDs of all events and the ends
// that were delivered.
func (d *director) received() (offers []limpetexecutor.Offer, events []int, ends []limpetexecutor.End) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range d.deliveries {
		for _, p := range m.Progress {
			for _, e := range p.Events {
				events = append(events, e.ID)
			}
			if p.Ended {
				ends = append(ends, p.End)
			}
		}
	}
	return d.offers, events, ends
}

func order(run string, draft limpetjob.Draft) limpetexecutor.Order {
	return limpetexecutor.Order{Run: run, Job: "j", PartialText: draft, Call: limpetupstream.Call{
		Server: &limpetsite.Server{ID: "e"}, ID: "i", LastEventID: draft.LastEvent,
	}}
}

// withDirector runs a test in a synctest bubble, with one director and a VM whose
// engines stream the given number of events.
func withDirector(t *testing.T, name string, lastEvent int, test func(t *testing.T, d *director, s *limpetexecutor.Connector)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			d := &director{batches: make(chan limpetexecutor.Batch, 4)}
			s, g := startVM(d, lastEvent)
			test(t, d, s)
			stop(t, g)
		})
	})
}

// startVM starts a VM that offers itself to one director.
func startVM(d *director, lastEvent int) (*limpetexecutor.Connector, *limpettask.Group) {
	g := limpettask.New(context.Background())
	now := func() time.Time { return time.Now().Round(0).Add(time.Duration(d.clockSkew.Load())) }
	e := limpetexecutor.New(g, "vm", "a", now, limpetlog.Discard())
	e.Send, e.Refuses = streamEvents(lastEvent), func(server *limpetsite.Server) bool { return server.ID != "e" }
	c := &limpetexecutor.Connector{
		Executor: e, Session: "vm", Enabled: func() bool { return true }, Link: func(string) limpetexecutor.Link { return d.link() },
		DirectorAddress: func(context.Context) (string, error) { return "", nil },
	}
	// If Run looked for a director first, it would look again only after
	// idleRetryDelay, and tests that wait for less would have no session.
	c.DirectorSeen("d")
	g.Go(c.Run)
	return c, g
}

// check is like So, for use in a synctest bubble, where Convey cannot be used.
func check(t *testing.T, actual any, should func(any, ...any) string, expected ...any) {
	t.Helper()
	if fault := should(actual, expected...); fault != "" {
		t.Error(fault)
	}
}

func stop(t *testing.T, g *limpettask.Group) {
	if err := g.Stop(); err != nil {
		t.Error(err)
	}
}

// spoilEvent returns a function that responds like send, but the event with the given
// ID has lost it.
func spoilEvent(id int, send func(context.Context, limpetupstream.Call) (*limpetupstream.Reply, error)) func(context.Context, limpetupstream.Call) (*limpetupstream.Reply, error) {
	return func(ctx context.Context, c limpetupstream.Call) (*limpetupstream.Reply, error) {
		reply, err := send(ctx, c)
		if err != nil {
			return nil, err
		}
		events := reply.Events
		reply.Events = func() (limpetupstream.Event, error) {
			e, err := events()
			if e.ID == id {
				e.ID = 0
			}
			return e, err
		}
		return reply, nil
	}
}

// Guards against texts without some of their events: a VM without a director left out an
// event that did not follow the one before, and all later ones, and offered the rest as
// complete.
func TestStreamsWithGaps(t *testing.T) {
	const last, spoiled = 30, 20
	for _, c := range []struct {
		name string
		// lost is set if the director is lost before the event.
		lost bool
	}{{"with a director", false}, {"without a director", true}} {
		withDirector(t, c.name, last, func(t *testing.T, d *director, s *limpetexecutor.Connector) {
			s.Executor.Send = spoilEvent(spoiled, s.Executor.Send)
			d.batches <- limpetexecutor.Batch{Orders: []limpetexecutor.Order{order("r", limpetjob.Draft{})}}
			time.Sleep(500 * time.Millisecond)
			if c.lost {
				d.set(func() { d.down = true })
			}
			time.Sleep((last + 4) * eventInterval)
			d.set(func() { d.down = false })
			s.DirectorSeen("d")
			time.Sleep(300 * time.Millisecond)
			offers, events, ends := d.received()
			if !c.lost {
				check(t, events[len(events)-1], ShouldEqual, spoiled-1)
				check(t, len(ends), ShouldEqual, 1)
				check(t, ends[0].Ending, ShouldEqual, limpetbatch.Interrupted)
				return
			}
			held := offers[len(offers)-1].Held
			check(t, len(held), ShouldEqual, 1)
			check(t, held[0].Running, ShouldBeFalse)
			check(t, held[0].Complete(), ShouldBeFalse)
			check(t, held[0].Text.LastEvent, ShouldEqual, spoiled-1)
		})
	}
}

// endlessEvents returns a function that responds with events that follow each other until
// the run is canceled or given up, or endlessBytes were sent. It counts the bytes.
func endlessEvents(data string, sent *atomic.Int64) func(context.Context, limpetupstream.Call) (*limpetupstream.Reply, error) {
	const endlessBytes = 64 << 20
	return func(ctx context.Context, c limpetupstream.Call) (*limpetupstream.Reply, error) {
		n := c.LastEventID
		return &limpetupstream.Reply{Status: http.StatusOK, Version: 3, Close: func() {}, Events: func() (limpetupstream.Event, error) {
			// The event as it was sent, with its ID and the names of its fields.
			if sent.Add(int64(len("id: 1\ndata: \n\n")+len(data))) > endlessBytes || ctx.Err() != nil {
				return limpetupstream.Event{}, limpeterror.Disconnected.New("the engine stopped at last")
			}
			n++
			return limpetupstream.Event{ID: n, Data: data}, nil
		}}, nil
	}
}

// Guards against an engine in trouble that sends events without end, which filled the
// memory of the VM that read them.
func TestEndlessTexts(t *testing.T) {
	const maxSent = 16 << 20
	for name, data := range map[string]string{"long events": strings.Repeat("x", 4000), "short events": "x", "empty events": ""} {
		for _, lost := range []bool{false, true} {
			var sent atomic.Int64
			withDirector(t, name, 0, func(t *testing.T, d *director, s *limpetexecutor.Connector) {
				s.Executor.Send = endlessEvents(data, &sent)
				if lost {
					send := s.Executor.Send
					s.Executor.Send = func(ctx context.Context, c limpetupstream.Call) (*limpetupstream.Reply, error) {
						reply, err := send(ctx, c)
						events, first := reply.Events, true
						reply.Events = func() (limpetupstream.Event, error) {
							if first {
								// The director is lost after the answer began.
								first = false
								time.Sleep(3 * time.Second)
							}
							return events()
						}
						return reply, err
					}
				}
				d.batches <- limpetexecutor.Batch{Orders: []limpetexecutor.Order{order("r", limpetjob.Draft{})}}
				time.Sleep(500 * time.Millisecond)
				if lost {
					d.set(func() { d.down = true })
				}
				time.Sleep(4 * time.Second)
				check(t, sent.Load(), ShouldBeGreaterThan, int64(0))
				check(t, sent.Load(), ShouldBeLessThan, int64(maxSent))
				_, _, ends := d.received()
				if !lost {
					check(t, len(ends), ShouldEqual, 1)
					check(t, ends[0].Ending, ShouldEqual, limpetbatch.Interrupted)
				}
			})
		}
	}
}

// Guards against a text that is taken for complete on another VM's word.
func TestHeldRunIsCompleteByItsEvents(t *testing.T) {
	event := func(id int) limpetexecutor.Event {
		return limpetexecutor.Event{Event: limpetupstream.Event{ID: id, Data: "x"}, WeightVersion: 3}
	}
	end := limpetexecutor.End{Ending: limpetbatch.Complete, LastEvent: 4}
	for _, c := range []struct {
		name     string
		progress limpetexecutor.Progress
		// last is the last event of the text.
		last     int
		complete bool
	}{
		{"all events", limpetexecutor.Progress{Events: []limpetexecutor.Event{event(3), event(4)}, Ended: true, End: end}, 4, true},
		{"an event without an ID", limpetexecutor.Progress{Events: []limpetexecutor.Event{event(0), event(4)}, Ended: true, End: end}, 2, false},
		{"an event twice", limpetexecutor.Progress{Events: []limpetexecutor.Event{event(3), event(3), event(4)}, Ended: true, End: end}, 3, false},
		{"the last event is missing", limpetexecutor.Progress{Events: []limpetexecutor.Event{event(3)}, Ended: true, End: end}, 3, false},
		{"a VM that does not say which event was the last", limpetexecutor.Progress{Events: []limpetexecutor.Event{event(3)}, Ended: true, End: limpetexecutor.End{Ending: limpetbatch.Complete}}, 3, false},
		{"an interrupted stream", limpetexecutor.Progress{Events: []limpetexecutor.Event{event(3), event(4)}, Ended: true, End: limpetexecutor.End{Ending: limpetbatch.Interrupted}}, 4, false},
	} {
		Convey(c.name, t, func() {
			h := limpetexecutor.HeldRun{Running: true, Text: limpetjob.Draft{Pieces: []string{"a", "b"}, LastEvent: 2, Versions: []int{3}, Version: 3}}
			h.Apply(c.progress)
			So(h.Text.LastEvent, ShouldEqual, c.last)
			So(h.Complete(), ShouldEqual, c.complete)
		})
	}
	Convey("a VM that offers a text as complete without naming its last event", t, func() {
		h := limpetexecutor.HeldRun{Text: limpetjob.Draft{Pieces: []string{"a", "b"}, LastEvent: 2, Versions: []int{3}, Version: 3, Complete: true}}
		So(h.Complete(), ShouldBeFalse)
		h.LastStreamed = 2
		So(h.Complete(), ShouldBeTrue)
	})
}

func TestExecutor(t *testing.T) {
	draft := limpetjob.Draft{Pieces: []string{"a", "b"}, LastEvent: 2, Versions: []int{2}, Version: 2}
	withDirector(t, "progress is delivered once and in order, the end of a run immediately", 6, func(t *testing.T, d *director, _ *limpetexecutor.Connector) {
		d.batches <- limpetexecutor.Batch{Orders: []limpetexecutor.Order{order("r", draft)}}
		time.Sleep(4*eventInterval + 600*time.Millisecond)
		_, events, ends := d.received()
		check(t, events, ShouldResemble, []int{3, 4, 5, 6})
		check(t, ends, ShouldResemble, []limpetexecutor.End{{Ending: limpetbatch.Complete, LastEvent: 6}})
	})
	withDirector(t, "a run continues without a director and is offered with its complete text", 60, func(t *testing.T, d *director, s *limpetexecutor.Connector) {
		d.batches <- limpetexecutor.Batch{Orders: []limpetexecutor.Order{order("r", draft)}}
		time.Sleep(time.Second)
		d.set(func() { d.down = true })
		time.Sleep(time.Second)
		d.set(func() { d.down = false })
		s.DirectorSeen("d")
		time.Sleep(300 * time.Millisecond)
		offers, _, _ := d.received()
		held := offers[len(offers)-1].Held
		check(t, len(held), ShouldEqual, 1)
		check(t, held[0].Running, ShouldBeTrue)
		check(t, held[0].Text.LastEvent, ShouldBeGreaterThan, 25)
		check(t, len(held[0].Text.Pieces), ShouldEqual, held[0].Text.LastEvent)
		check(t, held[0].Text.Versions, ShouldResemble, []int{2, 3})
	})
	withDirector(t, "a held text names the software that began it, which an order that continues it brings along", 60, func(t *testing.T, d *director, s *limpetexecutor.Connector) {
		first, second := order("first", limpetjob.Draft{}), order("second", draft)
		first.Call.Server.Software, second.Call.Server.Software = "llm/v1", "llm/v2"
		second.PartialText.Software = "llm/v2"
		d.batches <- limpetexecutor.Batch{Orders: []limpetexecutor.Order{first, second}}
		time.Sleep(time.Second)
		d.set(func() { d.down = true })
		time.Sleep(time.Second)
		d.set(func() { d.down = false })
		s.DirectorSeen("d")
		time.Sleep(300 * time.Millisecond)
		offers, _, _ := d.received()
		held := offers[len(offers)-1].Held
		check(t, len(held), ShouldEqual, 2)
		check(t, held[0].Text.Software, ShouldEqual, limpetsite.Software("llm/v1"))
		check(t, held[1].Text.Software, ShouldEqual, limpetsite.Software("llm/v2"))
	})
	withDirector(t, "runs are canceled after too long without a director", 1000, func(t *testing.T, d *director, s *limpetexecutor.Connector) {
		d.batches <- limpetexecutor.Batch{Orders: []limpetexecutor.Order{order("r", draft)}}
		time.Sleep(time.Second)
		d.set(func() { d.down = true })
		time.Sleep(8 * time.Second)
		check(t, s.Executor.Busy(), ShouldBeTrue)
		time.Sleep(4 * time.Second)
		check(t, s.Executor.Busy(), ShouldBeFalse)
	})
	withDirector(t, "a session with a silent director ends", 60, func(t *testing.T, d *director, s *limpetexecutor.Connector) {
		d.batches <- limpetexecutor.Batch{Orders: []limpetexecutor.Order{order("r", draft)}}
		time.Sleep(2500 * time.Millisecond)
		s.DirectorSeen("d")
		time.Sleep(400 * time.Millisecond)
		offers, _, _ := d.received()
		check(t, len(offers), ShouldEqual, 2)
	})
	withDirector(t, "a run is canceled on request, and one for a server that must get no work does not start", 60, func(t *testing.T, d *director, s *limpetexecutor.Connector) {
		other := order("q", limpetjob.Draft{})
		other.Call.Server = &limpetsite.Server{ID: "draining"}
		d.batches <- limpetexecutor.Batch{Orders: []limpetexecutor.Order{order("r", draft), other}}
		time.Sleep(700 * time.Millisecond)
		_, _, ends := d.received()
		check(t, len(ends), ShouldEqual, 1)
		check(t, ends[0].Ending, ShouldEqual, limpetbatch.Rejected)
		d.batches <- limpetexecutor.Batch{CancelRuns: []string{"r", "q"}}
		time.Sleep(50 * time.Millisecond)
		check(t, s.Executor.Busy(), ShouldBeFalse)
	})
	// Guards against runs that go on although their job ended right after they were ordered.
	withDirector(t, "a run that is ordered and canceled in one batch does not start", 60, func(t *testing.T, d *director, s *limpetexecutor.Connector) {
		d.batches <- limpetexecutor.Batch{Orders: []limpetexecutor.Order{order("r", draft), order("q", draft)}, CancelRuns: []string{"r"}}
		time.Sleep(50 * time.Millisecond)
		check(t, s.Executor.Busy(), ShouldBeTrue)
		d.batches <- limpetexecutor.Batch{CancelRuns: []string{"q"}}
		time.Sleep(50 * time.Millisecond)
		check(t, s.Executor.Busy(), ShouldBeFalse)
	})
	withDirector(t, "orders that arrive after the VM was suspended are ignored", 60, func(t *testing.T, d *director, s *limpetexecutor.Connector) {
		d.batches <- limpetexecutor.Batch{}
		time.Sleep(300 * time.Millisecond)
		d.clockSkew.Store(int64(5 * time.Second))
		d.batches <- limpetexecutor.Batch{Orders: []limpetexecutor.Order{order("r", draft)}}
		time.Sleep(100 * time.Millisecond)
		check(t, s.Executor.Busy(), ShouldBeFalse)
	})
	withDirector(t, "a run that no engine has responded to ends when its director is lost", 60, func(t *testing.T, d *director, s *limpetexecutor.Connector) {
		send := s.Executor.Send
		reached := atomic.Int64{}
		s.Executor.Send = func(ctx context.Context, c limpetupstream.Call) (*limpetupstream.Reply, error) {
			// The connection is established late.
			if !limpettask.Sleep(ctx, 1500*time.Millisecond) {
				return nil, ctx.Err()
			}
			reached.Add(1)
			return send(ctx, c)
		}
		time.Sleep(100 * time.Millisecond)
		d.batches <- limpetexecutor.Batch{Orders: []limpetexecutor.Order{order("r", draft)}}
		time.Sleep(100 * time.Millisecond)
		d.set(func() { d.down = true })
		time.Sleep(4 * time.Second)
		check(t, reached.Load(), ShouldEqual, int64(0))
	})
	t.Run("a connection that is not established is given up", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			var ends []limpetexecutor.End
			start := time.Now()
			hang := func(ctx context.Context, _ limpetupstream.Call) (*limpetupstream.Reply, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			limpetexecutor.Execute(context.Background(), hang, limpetupstream.Call{}, limpetexecutor.Sink{
				Header: func(int) {}, Event: func(limpetupstream.Event, int) {}, End: func(e limpetexecutor.End) { ends = append(ends, e) },
			})
			check(t, len(ends), ShouldEqual, 1)
			check(t, ends[0].Ending, ShouldEqual, limpetbatch.Interrupted)
			check(t, time.Since(start), ShouldBeLessThan, 2500*time.Millisecond)
		})
	})
	withDirector(t, "a VM that leaves hands its runs back with all their progress", 60, func(t *testing.T, d *director, s *limpetexecutor.Connector) {
		d.batches <- limpetexecutor.Batch{Orders: []limpetexecutor.Order{order("r", draft)}}
		time.Sleep(900 * time.Millisecond)
		s.Executor.Leave()
		time.Sleep(10 * time.Millisecond)
		_, events, _ := d.received()
		check(t, d.deliveries[len(d.deliveries)-1].Leaving, ShouldBeTrue)
		check(t, len(events), ShouldBeGreaterThanOrEqualTo, 7)
		check(t, s.Executor.Busy(), ShouldBeFalse)
	})
	t.Run("a VM that is not needed offers itself again only after a delay", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			d := &director{decline: true}
			s, g := startVM(d, 1)
			for range 60 {
				time.Sleep(100 * time.Millisecond)
				s.DirectorSeen("d")
			}
			offers, _, _ := d.received()
			check(t, len(offers), ShouldEqual, 1)
			stop(t, g)
		})
	})
}
