package limpethttp

import (
	"context"
	"net"
	"sync/atomic"
)

// A requestConn is a client's connection that is reset, and not closed, while a
// request was written and no byte of its answer was read. After a close, the
// kernel goes on sending what the peer has not acknowledged, so that a request
// that was given up during a partition would arrive when the partition heals. A
// reset discards it.
type requestConn struct {
	net.Conn
	tcp *net.TCPConn
	// unanswered is set by a write and cleared by a read.
	unanswered atomic.Bool
}

func (c *requestConn) Write(b []byte) (int, error) {
	c.unanswered.Store(true)
	return c.Conn.Write(b)
}

func (c *requestConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.unanswered.Store(false)
	}
	return n, err
}

func (c *requestConn) Close() error {
	if c.unanswered.Load() {
		// It fails only on a connection that is closed already.
		_ = c.tcp.SetLinger(0)
	}
	return c.Conn.Close()
}

// dialWith returns a dial function for requestConns.
func dialWith(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		tcp, ok := conn.(*net.TCPConn)
		if !ok {
			return conn, nil
		}
		return &requestConn{Conn: conn, tcp: tcp}, nil
	}
}
