package limpethttp

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// stallTimeout ends a body or an answer that makes no progress. Clients pause for
	// seconds, and few deadlines are longer.
	stallTimeout = 20 * time.Second
	// writeChunk is the number of bytes of an answer that a client must read within
	// stallTimeout, which is 820 bytes a second. Any link of a well-behaved client is
	// faster, and smaller chunks cost more calls.
	writeChunk = 16 << 10
	// discardTimeout bounds the time for which the rest of a body is read that the
	// handler did not read.
	discardTimeout = 2 * time.Second
	// fieldBytes is the memory of a header field beyond its text, rounded up from a map
	// entry, a list of one value and their share of growth.
	fieldBytes = 200
	// headerMargin is what the header of a request may have beyond the operator's
	// limit before it is refused: counts of bytes differ between servers.
	headerMargin = 4 << 10
	refuseRetry  = time.Second
)

// A guardedConn is a connection of a client. It counts the memory of its headers, and
// ends answers that are not read.
type guardedConn struct {
	net.Conn
	listener *guardedListener

	// The guard's mutex guards these fields. Progress is when bytes arrived last or
	// a request ended, served is set when a request was answered, and headerBytes is
	// the memory that is accounted for the header.
	phase       phase
	progress    time.Time
	served      bool
	headerBytes int64

	// writing is when the part of an answer that is being written was begun, in
	// nanoseconds of Unix time; 0 if none is.
	writing atomic.Int64
	// writeBefore is the deadline that a handler has set, in nanoseconds of Unix time;
	// 0 for none.
	writeBefore atomic.Int64
	// inHandler is set from the end of a header to the end of its request.
	inHandler atomic.Bool
	// rawBytes is the size of the header that is being read. It belongs to the
	// goroutine that reads, as the fields below.
	rawBytes int64
	// lineBegun is set if the header's current line has characters, anyLine if an
	// earlier one had, and headerEnded after the empty line.
	lineBegun, anyLine, headerEnded bool
}

// Read implements net.Conn.
func (c *guardedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	g := c.listener.guard
	inHandler := c.inHandler.Load()
	// The bytes of a header after its first ones are no progress: it is short.
	moves := inHandler || c.listener.opaque || c.rawBytes == 0
	if !c.listener.opaque && !inHandler && !c.headerEnded {
		raw, fields := c.scanHeader(b[:n])
		c.rawBytes += raw
		// The server answers headers of up to its own limit with 431.
		if c.rawBytes > 2*g.limits().headerLimit() || !g.chargeHeader(c, raw+fieldBytes*fields) {
			g.refused(c.listener.name, BoundHeaders)
			// The server closes the connection without an answer.
			return 0, io.EOF
		}
	}
	if moves {
		now := g.now()
		g.mu.Lock()
		c.progress = now
		g.mu.Unlock()
	}
	return n, err
}

// scanHeader returns the number of bytes and lines in b up to the end of the header. What
// a client sends before its last request has ended is not scanned; the server reads at
// most 4 KB of it ahead.
func (c *guardedConn) scanHeader(b []byte) (raw, lines int64) {
	rest := b
	for len(rest) > 0 {
		end := bytes.IndexByte(rest, '\n')
		line := rest
		if end >= 0 {
			line = rest[:end]
		}
		c.lineBegun = c.lineBegun || len(bytes.TrimRight(line, "\r")) > 0
		if end < 0 {
			break
		}
		rest = rest[end+1:]
		lines++
		if !c.lineBegun && c.anyLine {
			c.headerEnded = true
			return int64(len(b) - len(rest)), lines
		}
		c.anyLine = c.anyLine || c.lineBegun
		c.lineBegun = false
	}
	return int64(len(b)), lines
}

// Write implements net.Conn. The answer must be read at a least rate; the time between
// two writes does not count.
func (c *guardedConn) Write(b []byte) (int, error) {
	written := 0
	defer c.writing.Store(0)
	for {
		c.writing.Store(time.Now().UnixNano())
		part := b[written:min(len(b), written+writeChunk)]
		deadline := time.Now().Add(stallTimeout)
		if own := c.writeBefore.Load(); own != 0 && own < deadline.UnixNano() {
			deadline = time.Unix(0, own)
		}
		// It fails only on a closed connection, where the write fails, too.
		_ = c.Conn.SetWriteDeadline(deadline)
		n, err := c.Conn.Write(part)
		written += n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.listener.guard.refused(c.listener.name, BoundWriting)
		}
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// SetWriteDeadline implements net.Conn. A deadline that is earlier than the guard's holds.
func (c *guardedConn) SetWriteDeadline(t time.Time) error {
	c.noteDeadline(t)
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *guardedConn) SetDeadline(t time.Time) error {
	c.noteDeadline(t)
	return c.Conn.SetDeadline(t)
}

func (c *guardedConn) noteDeadline(t time.Time) {
	if t.IsZero() {
		c.writeBefore.Store(0)
		return
	}
	c.writeBefore.Store(t.UnixNano())
}

// Close implements net.Conn.
func (c *guardedConn) Close() error {
	g := c.listener.guard
	g.mu.Lock()
	g.remove(c)
	g.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite ends the answers on the connection. The server calls it after an answer to a
// request that it does not read to its end, so that the client gets it before a reset.
func (c *guardedConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// setPhase begins a phase of a connection. It reports false if the connection was dropped
// before.
func (c *guardedConn) setPhase(p phase) bool {
	g := c.listener.guard
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	c.phase = p
	if p == readingHeader {
		c.progress, c.served = now, true
		g.headerBytes -= c.headerBytes
		c.headerBytes = 0
	}
	return c.listener.conns[c]
}

// begin begins the phase in which the handler of a request is called. A request on a
// connection that was dropped does not run: its client sends it again.
func (c *guardedConn) begin(p phase) {
	if !c.setPhase(p) {
		panic(http.ErrAbortHandler)
	}
}

// endRequest prepares for the header of the next request.
func (c *guardedConn) endRequest() {
	c.rawBytes, c.lineBegun, c.anyLine, c.headerEnded = 0, false, false, false
	c.inHandler.Store(false)
	c.setPhase(readingHeader)
}

type guardedConnKey struct{}

// guardedConnOf returns the guarded connection below a connection, or nil.
func guardedConnOf(conn net.Conn) *guardedConn {
	if t, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = t.NetConn()
	}
	c, _ := conn.(*guardedConn)
	return c
}

// Protect makes a server tell the guard what its connections are doing, refuses headers
// over the limit, and ends bodies that do not arrive. The server's listener must be one
// of a Guard.
func Protect(server *http.Server) {
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, guardedConnKey{}, guardedConnOf(conn))
	}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(guardedConnKey{}).(*guardedConn)
		if c == nil {
			handler.ServeHTTP(w, r)
			return
		}
		c.inHandler.Store(true)
		if r.ProtoMajor != 1 {
			// The connection carries several requests at once, and may never be dropped.
			c.begin(running)
			handler.ServeHTTP(w, r)
			return
		}
		defer c.endRequest()
		if c.refusesHeader(w) {
			return
		}
		if r.ContentLength == 0 {
			c.begin(running)
			handler.ServeHTTP(w, r)
			return
		}
		c.begin(readingBody)
		body := &guardedBody{ReadCloser: r.Body, conn: c, control: http.NewResponseController(w)}
		// The server reads the rest of a body before it answers.
		body.setDeadline(time.Now().Add(stallTimeout))
		r.Body = body
		handler.ServeHTTP(w, r)
		if !body.ended.Load() {
			body.setDeadline(time.Now().Add(discardTimeout))
		}
	})
}

// refusesHeader answers a request whose header is over the limit.
func (c *guardedConn) refusesHeader(w http.ResponseWriter) bool {
	g := c.listener.guard
	if c.rawBytes <= g.limits().headerLimit() {
		return false
	}
	g.refused(c.listener.name, BoundHeaders)
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
	return true
}

// Refuse answers that a request has not run and may come again.
func Refuse(w http.ResponseWriter, text string) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", strconv.FormatFloat(refuseRetry.Seconds(), 'f', -1, 64))
	http.Error(w, "not run: "+text, http.StatusServiceUnavailable)
}

// errBodyEnded is the error of a body that made way for others.
var errBodyEnded = errors.New("the body was given up, because it holds memory without progress")

// A guardedBody ends a body that does not arrive.
type guardedBody struct {
	io.ReadCloser
	conn    *guardedConn
	control *http.ResponseController
	// mu makes the end of the body and its giving up exclude each other.
	mu sync.Mutex
	// ended is set when the body has been read, and givenUp when it was given up.
	ended, givenUp atomic.Bool
	// last is when the reads must end, in nanoseconds of Unix time; 0 for never.
	last atomic.Int64
}

// Read implements io.Reader.
func (b *guardedBody) Read(p []byte) (int, error) {
	deadline := time.Now().Add(stallTimeout)
	if last := b.last.Load(); last != 0 && last < deadline.UnixNano() {
		deadline = time.Unix(0, last)
	}
	b.setDeadline(deadline)
	// GiveUp sets the mark before it sets the deadline, so that it is seen here, or its
	// deadline is the later one.
	if b.givenUp.Load() && b.last.Load() == 0 {
		return 0, errBodyEnded
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && b.last.Load() == 0 && !b.givenUp.Load() {
		b.conn.listener.guard.refused(b.conn.listener.name, BoundReading)
	}
	if errors.Is(err, io.EOF) {
		b.mu.Lock()
		b.ended.Store(true)
		b.setDeadline(time.Time{})
		b.mu.Unlock()
		if !b.conn.setPhase(running) {
			// The request must not run: its client may have sent it again.
			return n, net.ErrClosed
		}
	}
	return n, err
}

func (b *guardedBody) setDeadline(t time.Time) {
	// It fails only on a closed connection, where reads fail, too.
	_ = b.control.SetReadDeadline(t)
}

// giveUp ends the read of the body, unless all of it has been read: its request may run, and
// the deadline would cancel it.
func (b *guardedBody) giveUp() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended.Load() {
		return
	}
	b.givenUp.Store(true)
	b.setDeadline(time.Unix(1, 0))
}

// GiveUpBody returns a function that ends the read of a request's body, or nil if the
// request's server is not protected.
func GiveUpBody(r *http.Request) func() {
	if b := guardedBodyOf(r); b != nil {
		return b.giveUp
	}
	return nil
}

// guardedBodyOf returns the guarded body of a request, or nil.
func guardedBodyOf(r *http.Request) *guardedBody {
	body := r.Body
	if l, ok := body.(*LimitedBody); ok {
		body = l.ReadCloser
	}
	b, _ := body.(*guardedBody)
	return b
}

// EndBodyAt makes reads of a request's body fail from a time on.
func EndBodyAt(w http.ResponseWriter, r *http.Request, t time.Time) {
	if b := guardedBodyOf(r); b != nil {
		b.last.Store(t.UnixNano())
	}
	// It fails only on a connection without deadlines, or one that is closed.
	_ = http.NewResponseController(w).SetReadDeadline(t)
}

// BodyStalled reports whether a body ended because it made no progress.
func BodyStalled(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
