package limpethttp

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// A requestConn is a client's connection.
//
// It is reset, and not closed, while a request was written and no byte of its
// answer was read. After a close, the kernel goes on sending what the peer has not
// acknowledged, so that a request that was given up during a partition would
// arrive when the partition heals. A reset discards it.
//
// Its end counts as the end of an answer only if all writes succeeded. The kernel
// reports a reset by the peer once, to a write or a read. After a write has got it, a
// read finds the end of the stream, as after a close by the peer.
type requestConn struct {
	net.Conn
	tcp *net.TCPConn
	// unanswered is set by a write and cleared by a read.
	unanswered atomic.Bool

	// writing is held during a write, and guards writeErr, the error of one that failed.
	writing  sync.Mutex
	writeErr error
}

func (c *requestConn) Write(b []byte) (int, error) {
	c.unanswered.Store(true)
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil {
		c.writeErr = err
	}
	return n, err
}

func (c *requestConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.unanswered.Store(false)
	}
	if errors.Is(err, io.EOF) {
		return n, c.endError()
	}
	return n, err
}

// endError returns the error of a read that found the end of the stream. It waits for the
// end of a write, whose error may not be known yet.
func (c *requestConn) endError() error {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr != nil {
		return c.writeErr
	}
	return io.EOF
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
