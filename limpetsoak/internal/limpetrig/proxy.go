package limpetrig

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

// A Mode is what a proxy does with connections.
type Mode int32

// The modes.
const (
	// Pass hands bytes on.
	Pass Mode = iota
	// Slow hands bytes on late.
	Slow
	// Silent swallows bytes in both directions and keeps connections open.
	Silent
	// OneWay swallows what comes back.
	OneWay
	// Refuse closes new connections.
	Refuse
)

// slowBy is the delay of each piece in mode Slow.
const slowBy = 60 * time.Millisecond

// pieceBytes is the largest piece that is handed on at once.
const pieceBytes = 32 << 10

// A Proxy stands between a VM and a peer.
type Proxy struct {
	Address string
	target  string
	mode    atomic.Int32
	group   *limpettask.Group
	listen  net.Listener

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewProxy returns a proxy on a free port of an address, before a target.
func NewProxy(group *limpettask.Group, ip, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: l.Addr().String(), target: target, group: group, listen: l, conns: map[net.Conn]struct{}{}}
	group.Go(p.accept)
	group.Go(func(ctx context.Context) error {
		<-ctx.Done()
		_ = l.Close()
		p.Reset()
		return nil
	})
	return p, nil
}

// Set changes the mode, for open connections too.
func (p *Proxy) Set(m Mode) { p.mode.Store(int32(m)) }

// Reset breaks all open connections off.
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

func (p *Proxy) accept(ctx context.Context) error {
	for {
		c, err := p.listen.Accept()
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

func (p *Proxy) hold(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
}

func (p *Proxy) drop(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}

func (p *Proxy) serve(client net.Conn) {
	p.hold(client)
	defer p.drop(client)
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	p.hold(server)
	defer p.drop(server)
	ends := make(chan struct{}, 2)
	copyTo := func(to, from net.Conn, back bool) {
		p.group.Go(func(context.Context) error {
			p.copy(to, from, back)
			ends <- struct{}{}
			return nil
		})
	}
	copyTo(server, client, false)
	copyTo(client, server, true)
	<-ends
}

func (p *Proxy) copy(to, from net.Conn, back bool) {
	buffer := make([]byte, pieceBytes)
	for {
		n, err := from.Read(buffer)
		mode := Mode(p.mode.Load())
		swallow := mode == Silent || (mode == OneWay && back)
		if mode == Slow {
			time.Sleep(slowBy)
		}
		if n > 0 && !swallow {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) && !swallow {
				if t, ok := to.(*net.TCPConn); ok {
					_ = t.CloseWrite()
				}
			}
			return
		}
	}
}
