package limpetnode

import (
	"time"

	"limpetmount.org/internal/limpethttp"
)

const (
	// headerBytesPerConn is the memory for headers, for each connection that there may
	// be.
	headerBytesPerConn = 16 << 10
	// bodiesAtOnce is the number of requests with the largest body for which there is
	// memory.
	bodiesAtOnce = 16
	// bodyCopies is the number of times that a body stands in memory: in a buffer that
	// grows, and decoded.
	bodyCopies = 3
	// maxScrapes bounds the scrapes of metrics that are answered at once.
	maxScrapes = 8
	// largeShare and smallShare weigh the parts of the connections that listeners keep
	// when there are too many.
	largeShare = 8
	smallShare = 1
)

// bounds are what the clients of all listeners may hold together.
type bounds struct {
	guard    *limpethttp.Guard
	bodies   *limpethttp.Bodies
	refusals *limpethttp.Refusals
}

func (n *Node) newBounds() bounds {
	l := n.settings.Limits
	limits := limpethttp.Limits{Conns: l.MaxConns, HeaderBytes: headerBytesPerConn * int64(l.MaxConns), Header: int64(l.MaxHeaderBytes)}
	b := bounds{
		refusals: limpethttp.NewRefusals(n.metrics.Registry, n.log, time.Now),
		bodies:   limpethttp.NewBodies(func() int64 { return bodiesAtOnce * bodyCopies * int64(l.MaxBodyBytes) }),
	}
	b.guard = limpethttp.NewGuard(func() limpethttp.Limits { return limits }, time.Now, b.refusals.Count)
	limpethttp.RegisterMetrics(n.metrics.Registry, b.guard, b.bodies)
	return b
}
