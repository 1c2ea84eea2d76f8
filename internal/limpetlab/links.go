package limpetlab

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"limpetmount.org/internal/limpetpeer"
)

// A links holds which VMs can reach which. A cut link swallows what is sent,
// as a network does that has lost track of a connection: nothing is refused.
type links struct {
	mu    sync.Mutex
	byURL map[string]int
	cut   map[[2]int]bool
	// bytes counts what went over all links between VMs.
	bytes atomic.Int64
	// healed is closed and replaced when a link is restored.
	healed chan struct{}
}

func newLinks() *links {
	return &links{byURL: map[string]int{}, cut: map[[2]int]bool{}, healed: make(chan struct{})}
}

func (k *links) name(vm int, address string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.byURL[address] = vm
}

func (k *links) isCut(from, to int) (bool, chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cut[[2]int{from, to}], k.healed
}

// Cut cuts or heals the links of VM i with all others, both ways.
func (l *Lab) Cut(i int, cut bool) {
	l.links.mu.Lock()
	defer l.links.mu.Unlock()
	for j := range l.Settings {
		if j != i {
			l.links.cut[[2]int{i, j}] = cut
			l.links.cut[[2]int{j, i}] = cut
		}
	}
	if !cut {
		close(l.links.healed)
		l.links.healed = make(chan struct{})
	}
}

// dial returns a dial function of VM from whose connections obey the links.
func (k *links) dial(from int, next limpetpeer.Dial) limpetpeer.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		k.mu.Lock()
		to, known := k.byURL[address]
		k.mu.Unlock()
		if !known {
			return next(ctx, network, address)
		}
		for {
			cut, healed := k.isCut(from, to)
			if !cut {
				break
			}
			select {
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-healed:
			}
		}
		conn, err := next(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &linkConn{Conn: conn, links: k, from: from, to: to}, nil
	}
}

// A linkConn loses what is written while its link is cut, and for good: bytes
// that were lost are never sent again.
type linkConn struct {
	net.Conn
	links    *links
	from, to int
	mu       sync.Mutex
	dead     bool
}

// Write swallows b once the link was cut.
func (c *linkConn) Write(b []byte) (int, error) {
	cut, _ := c.links.isCut(c.from, c.to)
	c.mu.Lock()
	c.dead = c.dead || cut
	dead := c.dead
	c.mu.Unlock()
	if dead {
		return len(b), nil
	}
	n, err := c.Conn.Write(b)
	c.links.bytes.Add(int64(n))
	return n, err
}

// Read counts what it reads.
func (c *linkConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.links.bytes.Add(int64(n))
	return n, err
}

// A countedListener counts the bytes of its connections.
type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept returns a counted connection.
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: c, bytes: l.bytes}, nil
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts what it reads.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts what it writes.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// A Traffic holds the bytes that went between VMs, both ends of each link
// counted once, and between VMs and the platform's stand-ins.
type Traffic struct {
	Peers, Store, Platform int64
}

// Traffic returns the bytes so far.
func (l *Lab) Traffic() Traffic {
	return Traffic{Peers: l.links.bytes.Load(), Store: l.storeBytes.Load(), Platform: l.platformBytes.Load()}
}
