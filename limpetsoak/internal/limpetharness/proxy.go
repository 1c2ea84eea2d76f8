package limpetharness

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"limpetmount.org/internal/limpettask"
)

// A Mode is how a proxy treats connections.
type Mode int32

// The modes.
const (
	// Forward forwards data.
	Forward Mode = iota
	// Delay forwards data after a delay.
	Delay
	// Blackhole discards data in both directions and keeps connections open.
	Blackhole
	// DropResponses forwards requests and discards responses.
	DropResponses
	// Refuse closes new connections at once.
	Refuse
)

// forwardDelay is the delay of each read in mode Delay.
const forwardDelay = 60 * time.Millisecond

// bufferBytes is the most that is read and forwarded at once.
const bufferBytes = 32 << 10

// A Proxy is a TCP proxy between a VM and the store, or the VMs and a server. Its
// mode simulates faults of the network.
type Proxy struct {
	Address string
	target  string
	mode    atomic.Int32
	group   *limpettask.Group

	mu sync.Mutex
	// listener is nil while the proxy is down.
	listener net.Listener
	conns    map[net.Conn]struct{}
}

// NewProxy starts a proxy that listens on a free port of an IP address and
// connects to a target.
func NewProxy(group *limpettask.Group, ip, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: l.Addr().String(), target: target, group: group, listener: l, conns: map[net.Conn]struct{}{}}
	group.Go(func(ctx context.Context) error { return p.accept(ctx, l) })
	group.Go(func(ctx context.Context) error {
		<-ctx.Done()
		p.Stop()
		return nil
	})
	return p, nil
}

// Stop closes the listener and all connections.
func (p *Proxy) Stop() {
	p.mu.Lock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
	p.mu.Unlock()
	p.Reset()
}

// Listen listens again after Stop, at the same address.
func (p *Proxy) Listen() error {
	l, err := net.Listen("tcp", p.Address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener = l
	p.mu.Unlock()
	p.group.Go(func(ctx context.Context) error { return p.accept(ctx, l) })
	return nil
}

// SetMode changes the mode, also of open connections.
func (p *Proxy) SetMode(m Mode) { p.mode.Store(int32(m)) }

// Reset closes all open connections with a TCP reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *Proxy) accept(ctx context.Context, l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			continue
		}
		if Mode(p.mode.Load()) == Refuse {
			_ = c.Close()
			continue
		}
		p.group.Go(func(context.Context) error {
			p.serve(c)
			return nil
		})
	}
}

func (p *Proxy) addConn(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
}

func (p *Proxy) closeConn(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}

func (p *Proxy) serve(client net.Conn) {
	p.addConn(client)
	defer p.closeConn(client)
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	p.addConn(server)
	defer p.closeConn(server)
	done := make(chan struct{}, 2)
	copyTo := func(to, from net.Conn, response bool) {
		p.group.Go(func(context.Context) error {
			p.copy(to, from, response)
			done <- struct{}{}
			return nil
		})
	}
	copyTo(server, client, false)
	copyTo(client, server, true)
	<-done
}

// copy forwards data from one connection to the other as the mode says, until
// either is closed.
func (p *Proxy) copy(to, from net.Conn, response bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		mode := Mode(p.mode.Load())
		discard := mode == Blackhole || (mode == DropResponses && response)
		if mode == Delay {
			time.Sleep(forwardDelay)
		}
		if n > 0 && !discard {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) && !discard {
				if t, ok := to.(*net.TCPConn); ok {
					_ = t.CloseWrite()
				}
			}
			return
		}
	}
}
