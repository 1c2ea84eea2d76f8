package limpethttp

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpettask"
)

const (
	// acceptQuiet is how long no connection must have come until a server that
	// drains closes its listener, and maxAcceptTime how long it accepts at most.
	acceptQuiet   = 30 * time.Millisecond
	maxAcceptTime = 500 * time.Millisecond
	// newConnWait is how long a server that drains waits for the first request on a
	// connection.
	newConnWait = time.Second
	// drainPollInterval is the time between looks at the open connections.
	drainPollInterval = 5 * time.Millisecond
	// AnswerReserve is the end of the time for a drain in which requests that are still
	// open are answered. It is at most one part in answerReserveDivisor of that time.
	AnswerReserve        = 300 * time.Millisecond
	answerReserveDivisor = 4
)

// A Server is an HTTP server that can be drained. http.Server.Shutdown alone drops
// requests that were written to a new connection: those on connections that wait
// to be accepted, and those that it reads after it began.
type Server struct {
	*http.Server
	listener net.Listener
	queue    *drainListener

	mu sync.Mutex
	// states holds the state of each open connection.
	states map[net.Conn]http.ConnState

	// stopping is canceled with limpeterror.ErrStopping when open requests must be
	// answered.
	stopping context.Context
	stop     context.CancelCauseFunc
}

// NewServer returns a server for a listener. Connections use TLS if config is not
// nil. The server's handler and ConnState must not change afterwards.
func NewServer(server *http.Server, listener net.Listener, config *tls.Config) *Server {
	s := &Server{Server: server, queue: &drainListener{Listener: listener}, states: map[net.Conn]http.ConnState{}}
	s.stopping, s.stop = context.WithCancelCause(context.Background())
	s.listener = s.queue
	if config != nil {
		s.listener = tls.NewListener(s.queue, config)
	}
	server.ConnState = s.recordState
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.queue.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		ctx, cancel := s.untilStopped(r.Context())
		defer cancel()
		handler.ServeHTTP(w, r.WithContext(ctx))
	})
	return s
}

// untilStopped returns a context that also ends when open requests must be answered.
func (s *Server) untilStopped(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(s.stopping, func() { cancel(limpeterror.ErrStopping) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

func (s *Server) recordState(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.states, conn)
		return
	}
	s.states[conn] = state
}

// count returns the number of open connections in a state.
func (s *Server) count(state http.ConnState) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, other := range s.states {
		if other == state {
			n++
		}
	}
	return n
}

// Serve serves until the server is drained, shut down or closed, which is no
// error.
func (s *Server) Serve() error {
	err := s.Server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) || s.queue.draining.Load() {
		return nil
	}
	return err
}

// Run serves in the group, and closes the server when the group is cancelled.
func (s *Server) Run(g *limpettask.Group) {
	if s.ReadHeaderTimeout == 0 {
		s.ReadHeaderTimeout = readHeaderTimeout
	}
	g.Go(func(context.Context) error { return s.Serve() })
	g.Go(func(ctx context.Context) error {
		<-ctx.Done()
		return s.Close()
	})
}

// Drain accepts the connections that wait, closes the listener, answers all
// requests, and closes the connections. Shortly before ctx ends, the contexts of
// requests that are still open end with limpeterror.ErrStopping, so that they are
// answered and not cut off. The error is that of ctx if requests are still open when
// it ends.
func (s *Server) Drain(ctx context.Context) error {
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline)
		timer := time.AfterFunc(left-min(AnswerReserve, left/answerReserveDivisor), func() { s.stop(limpeterror.ErrStopping) })
		defer timer.Stop()
	}
	if err := s.queue.drain(); err != nil {
		return errors.Join(err, s.Shutdown(ctx))
	}
	began := time.Now()
	for {
		waiting := s.count(http.StateActive)
		if !s.queue.closed.Load() || time.Since(began) < newConnWait {
			waiting += s.count(http.StateNew)
		}
		if waiting == 0 && s.queue.closed.Load() {
			break
		}
		if !limpettask.Sleep(ctx, drainPollInterval) {
			break
		}
	}
	s.closeNew()
	return s.Shutdown(ctx)
}

// closeNew closes the connections that brought no request, for which Shutdown
// would wait.
func (s *Server) closeNew() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn, state := range s.states {
		if state == http.StateNew {
			// Nothing was exchanged, so a close error means nothing.
			_ = conn.Close()
		}
	}
}

// A drainListener can be told to accept the connections that wait, and then to
// close.
type drainListener struct {
	net.Listener
	draining, closed atomic.Bool
	// end is when it closes at the latest, in nanoseconds of Unix time.
	end atomic.Int64
}

// errNotDrainable is returned for listeners without deadlines, which are closed at
// once.
var errNotDrainable = errors.New("the listener has no deadlines")

type deadliner interface{ SetDeadline(t time.Time) error }

func (l *drainListener) drain() error {
	d, ok := l.Listener.(deadliner)
	if !ok {
		return errNotDrainable
	}
	now := time.Now()
	l.end.Store(now.Add(maxAcceptTime).UnixNano())
	l.draining.Store(true)
	return d.SetDeadline(now.Add(acceptQuiet))
}

// Accept implements net.Listener.
func (l *drainListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if !l.draining.Load() {
		return conn, err
	}
	if err != nil {
		defer l.closed.Store(true)
		return nil, errors.Join(net.ErrClosed, l.Listener.Close())
	}
	end, quiet := time.Unix(0, l.end.Load()), time.Now().Add(acceptQuiet)
	if end.Before(quiet) {
		quiet = end
	}
	// The listener has deadlines, or it would not drain.
	_ = l.Listener.(deadliner).SetDeadline(quiet)
	return conn, nil
}
