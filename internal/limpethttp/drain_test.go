package limpethttp_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpethttp"
	"limpetmount.org/internal/limpettask"
)

// Guards against planned stops that drop requests which were written whole to a
// new connection: the connection waited to be accepted when the listener was
// closed, or its request was read after http.Server.Shutdown had begun.
func TestDrainAnswersRequestsOnNewConnections(t *testing.T) {
	const conns = 40
	for _, c := range []struct {
		name string
		// accepting is set if the server accepts the connections before it drains.
		accepting bool
		// delay is when the requests are written, counted from the start of the
		// drain.
		delay time.Duration
	}{
		{"the connections wait to be accepted", false, 0},
		{"the connections wait to be accepted, the requests come later", false, 100 * time.Millisecond},
		{"the connections are accepted, the requests come later", true, 100 * time.Millisecond},
		{"the requests are written already", true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			server := limpethttp.NewServer(&http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				time.Sleep(20 * time.Millisecond)
			})}, listener, nil)
			group := limpettask.New(context.Background())
			serve := func() { group.Go(func(context.Context) error { return server.Serve() }) }
			if c.accepting {
				serve()
			}
			answered := make(chan error, conns)
			for range conns {
				conn, err := net.Dial("tcp", listener.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				time.AfterFunc(c.delay, func() { answered <- exchange(conn) })
			}
			if !c.accepting {
				serve()
			}
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			if err := server.Drain(ctx); err != nil {
				t.Error(err)
			}
			dropped := 0
			for range conns {
				if err := <-answered; err != nil {
					dropped++
				}
			}
			_, err = net.Dial("tcp", listener.Addr().String())
			Convey("all requests are answered, and the listener is closed: "+c.name, t, func() {
				So(dropped, ShouldEqual, 0)
				So(err, ShouldNotBeNil)
			})
			if err := group.Stop(); err != nil {
				t.Error(err)
			}
		})
	}
}

// exchange sends a request on a connection, and closes it.
func exchange(conn net.Conn) error {
	defer func() { _ = conn.Close() }()
	if _, err := fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// Guards against requests that a planned stop cuts off without an answer when its time is
// over.
func TestDrainAnswersOpenRequests(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	began := make(chan struct{}, 2)
	server := limpethttp.NewServer(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began <- struct{}{}
		<-r.Context().Done()
		if errors.Is(context.Cause(r.Context()), limpeterror.ErrStopping) {
			w.WriteHeader(http.StatusGatewayTimeout)
		}
	})}, listener, nil)
	group := limpettask.New(context.Background())
	group.Go(func(context.Context) error { return server.Serve() })
	answers := make(chan int, 2)
	for range 2 {
		group.Go(func(context.Context) error {
			response, err := http.Get("http://" + listener.Addr().String())
			if err != nil {
				answers <- 0
				return err
			}
			answers <- response.StatusCode
			return response.Body.Close()
		})
		<-began
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	Convey("requests that are open when the time is almost over are answered", t, func() {
		So(server.Drain(ctx), ShouldBeNil)
		So(<-answers, ShouldEqual, http.StatusGatewayTimeout)
		So(<-answers, ShouldEqual, http.StatusGatewayTimeout)
		So(group.Stop(), ShouldBeNil)
	})
}

func TestDrainEnds(t *testing.T) {
	for _, c := range []struct {
		name string
		// work is how long the request takes that a caller sends; none if it is 0.
		work time.Duration
		// timeout is how long the drain may take, and most how long it must take at
		// most.
		timeout, most time.Duration
		fails         bool
	}{
		{"a connection without a request", 0, 10 * time.Second, 3 * time.Second, false},
		{"a request that ends in time", 300 * time.Millisecond, 10 * time.Second, 3 * time.Second, false},
		{"a request that does not end in time", 3 * time.Second, 500 * time.Millisecond, 2 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			server := limpethttp.NewServer(&http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(c.work) })}, listener, nil)
			group := limpettask.New(context.Background())
			group.Go(func(context.Context) error { return server.Serve() })
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if c.work > 0 {
				if _, err := fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
					t.Fatal(err)
				}
				time.Sleep(50 * time.Millisecond)
			}
			ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
			defer cancel()
			began := time.Now()
			err = server.Drain(ctx)
			took := time.Since(began)
			Convey("a drain ends: "+c.name, t, func() {
				So(err != nil, ShouldEqual, c.fails)
				So(took, ShouldBeLessThan, c.most)
			})
			if err := group.Stop(); err != nil {
				t.Error(err)
			}
		})
	}
}
