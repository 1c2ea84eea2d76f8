package limpethttp

import (
	"cmp"
	"net"
	"slices"
	"sync"
	"time"
)

// A Bound names a bound on what clients hold, for metrics and log lines.
type Bound string

// The bounds.
const (
	// BoundConns is met when there are too many connections.
	BoundConns Bound = "connections"
	// BoundHeaders is met when the headers that are being read take too much memory.
	BoundHeaders Bound = "headers"
	// BoundRequests is met when too many requests run at once.
	BoundRequests Bound = "requests"
	// BoundBodies is met when bodies take too much memory; the one that holds most
	// without progress ends.
	BoundBodies Bound = "bodies"
	// BoundReading is met by a body that does not arrive.
	BoundReading Bound = "body_progress"
	// BoundWriting is met by an answer that is not read.
	BoundWriting Bound = "answer_progress"
	// BoundJobs is met by a job that takes too much memory when decoded.
	BoundJobs Bound = "job_size"
)

const (
	// newShare is the part of a listener's connections, one in newShare, that may
	// be without a request before connections that were served make way: both sorts
	// keep a part.
	newShare = 4
	// dropShare is the part of the connections, one in dropShare, that is closed at
	// once when all are in use, so that the search is not repeated for each new one.
	dropShare = 64
	// stalledShare is the part of the connections whose answers are not read, one in
	// stalledShare, that is closed at once when what they hold is needed.
	stalledShare = 8
)

// Limits bounds what the clients of all listeners of a process hold together.
type Limits struct {
	// Conns is the number of connections.
	Conns int
	// HeaderBytes is the memory of headers.
	HeaderBytes int64
	// Header is the operator's limit for the header of one request, in bytes; 0 for
	// defaultHeader.
	Header int64
}

// defaultHeader is the limit for the header of one request until the operator's is known.
const defaultHeader = 64 << 10

// headerLimit returns the size beyond which the header of a request is refused.
func (l Limits) headerLimit() int64 {
	if l.Header <= 0 {
		return defaultHeader + headerMargin
	}
	return l.Header + headerMargin
}

// A Guard bounds the connections of all listeners of a process, and the memory of the
// headers that are read on them. When there are too many, it closes those on which no
// request runs: of the listener that exceeds its share most, those without progress for
// the longest time. It is safe for concurrent use.
type Guard struct {
	limits func() Limits
	now    func() time.Time
	// refused is called for each client that meets a bound.
	refused func(listener string, b Bound)

	mu          sync.Mutex
	listeners   []*guardedListener
	conns       int
	headerBytes int64
}

// NewGuard returns a guard. Limits is asked each time, so that they may change.
func NewGuard(limits func() Limits, now func() time.Time, refused func(listener string, b Bound)) *Guard {
	return &Guard{limits: limits, now: now, refused: refused}
}

// Listen returns a listener whose connections the guard bounds. Share weighs its part of
// the connections against those of other listeners.
func (g *Guard) Listen(l net.Listener, name string, share int) net.Listener {
	return g.listen(&guardedListener{Listener: l, name: name, share: share})
}

// ListenBelowTLS is Listen for a listener on which TLS is set up. The memory of headers,
// which the guard cannot see, is not counted.
func (g *Guard) ListenBelowTLS(l net.Listener, name string, share int) net.Listener {
	return g.listen(&guardedListener{Listener: l, name: name, share: share, opaque: true})
}

func (g *Guard) listen(guarded *guardedListener) net.Listener {
	guarded.guard, guarded.conns = g, map[*guardedConn]bool{}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listeners = append(g.listeners, guarded)
	return guarded
}

// Conns returns the number of open connections.
func (g *Guard) Conns() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.conns
}

// HeaderBytes returns the memory that headers take, in bytes.
func (g *Guard) HeaderBytes() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.headerBytes
}

// admit adds a connection, for which others may have to be closed. It reports false if
// requests run on all of them.
func (g *Guard) admit(c *guardedConn) bool {
	g.mu.Lock()
	limit := g.limits().Conns
	var dropped []*guardedConn
	if g.conns >= limit {
		dropped = g.drop(max(1, limit/dropShare))
	}
	admitted := g.conns < limit
	if admitted {
		g.conns++
		c.listener.conns[c] = true
	}
	g.mu.Unlock()
	closeDropped(dropped, BoundConns)
	return admitted
}

func closeDropped(dropped []*guardedConn, b Bound) {
	for _, c := range dropped {
		// A connection that is dropped has no request whose answer could be lost.
		_ = c.Conn.Close()
		c.listener.guard.refused(c.listener.name, b)
	}
}

// drop takes up to n connections of the listener that exceeds its share most out of the
// account. The caller holds g.mu and closes them.
func (g *Guard) drop(n int) []*guardedConn {
	listeners := slices.SortedFunc(slices.Values(g.listeners), func(a, b *guardedListener) int {
		return cmp.Compare(len(b.conns)*a.share, len(a.conns)*b.share)
	})
	for _, l := range listeners {
		if victims := l.victims(n); len(victims) > 0 {
			for _, c := range victims {
				g.remove(c)
			}
			return victims
		}
	}
	return nil
}

// remove takes a connection out of the account. The caller holds g.mu.
func (g *Guard) remove(c *guardedConn) {
	if !c.listener.conns[c] {
		return
	}
	delete(c.listener.conns, c)
	g.conns--
	g.headerBytes -= c.headerBytes
	c.headerBytes = 0
}

// chargeHeader adds to the memory of the header that is read on a connection. If there
// is no room, connections with unfinished headers make way, those first that hold more
// than this one and were without progress for the longest time. It reports false if
// that does not make room.
func (g *Guard) chargeHeader(c *guardedConn, size int64) bool {
	g.mu.Lock()
	if !c.listener.conns[c] {
		g.mu.Unlock()
		return false
	}
	limit := g.limits().HeaderBytes
	var dropped []*guardedConn
	if g.headerBytes+size > limit {
		dropped = g.dropHeaders(c, g.headerBytes+size-limit*(dropShare-1)/dropShare)
	}
	fits := g.headerBytes+size <= limit
	if fits {
		g.headerBytes += size
		c.headerBytes += size
	}
	g.mu.Unlock()
	closeDropped(dropped, BoundHeaders)
	return fits
}

// dropHeaders takes connections out of the account whose unfinished headers take size
// bytes together, or as many as there are. The caller holds g.mu.
func (g *Guard) dropHeaders(asking *guardedConn, size int64) []*guardedConn {
	var candidates []*guardedConn
	for _, l := range g.listeners {
		for c := range l.conns {
			if c != asking && c.phase == readingHeader && c.headerBytes > 0 {
				candidates = append(candidates, c)
			}
		}
	}
	slices.SortFunc(candidates, func(a, b *guardedConn) int { return a.progress.Compare(b.progress) })
	var freed int64
	for n, c := range candidates {
		if freed >= size {
			return candidates[:n]
		}
		freed += c.headerBytes
		g.remove(c)
	}
	return candidates
}

// DropStalled closes connections of clients that have not read the next part of their
// answers for some time, those first that wait longest. It is called when what answers
// hold is needed, and returns the number of connections.
func (g *Guard) DropStalled() int {
	latest := time.Now().Add(-stalledAfter).UnixNano()
	type stalled struct {
		conn  *guardedConn
		since int64
	}
	var found []stalled
	g.mu.Lock()
	for _, l := range g.listeners {
		for c := range l.conns {
			if since := c.writing.Load(); since != 0 && since <= latest {
				found = append(found, stalled{c, since})
			}
		}
	}
	slices.SortFunc(found, func(a, b stalled) int { return cmp.Compare(a.since, b.since) })
	found = found[:min(len(found), 1+len(found)/stalledShare)]
	dropped := make([]*guardedConn, 0, len(found))
	for _, s := range found {
		g.remove(s.conn)
		dropped = append(dropped, s.conn)
	}
	g.mu.Unlock()
	closeDropped(dropped, BoundWriting)
	return len(dropped)
}

// A phase is what a connection is doing.
type phase int

const (
	// readingHeader begins with the connection and with the end of each request.
	readingHeader phase = iota
	// readingBody begins when a handler is called.
	readingBody
	// running begins when the body of a request has been read.
	running
)

// A guardedListener accepts connections for one server.
type guardedListener struct {
	net.Listener
	guard *Guard
	name  string
	share int
	// opaque is set if TLS hides what is read.
	opaque bool
	conns  map[*guardedConn]bool
}

// SetDeadline implements the interface of listeners that can be drained.
func (l *guardedListener) SetDeadline(t time.Time) error {
	d, ok := l.Listener.(deadliner)
	if !ok {
		return errNotDrainable
	}
	return d.SetDeadline(t)
}

// Accept implements net.Listener.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &guardedConn{Conn: conn, listener: l, progress: l.guard.now()}
		if l.guard.admit(c) {
			return c, nil
		}
		l.guard.refused(l.name, BoundConns)
		// Nothing was exchanged, so a close error means nothing.
		_ = conn.Close()
	}
}

// victims returns up to n connections that may be closed. The caller holds the guard's
// mutex.
func (l *guardedListener) victims(n int) []*guardedConn {
	var fresh, served []*guardedConn
	for c := range l.conns {
		switch {
		case c.phase == running:
		case c.served && c.phase == readingHeader:
			served = append(served, c)
		default:
			fresh = append(fresh, c)
		}
	}
	candidates := fresh
	if len(fresh) <= len(l.conns)/newShare && len(served) > 0 {
		candidates = served
	}
	slices.SortFunc(candidates, func(a, b *guardedConn) int { return a.progress.Compare(b.progress) })
	return candidates[:min(n, len(candidates))]
}
