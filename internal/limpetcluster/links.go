package limpetcluster

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"limpetmount.org/internal/limpetpeer"
)

// links simulates the network between VMs. A cut link drops all data without an
// error, like a network partition: connections are neither refused nor reset.
type links struct {
	mu          sync.Mutex
	vmByAddress map[string]int
	// cut holds the cut links, each as the numbers of the sending and the
	// receiving VM.
	cut map[[2]int]bool
	// bytes counts the traffic on all links between VMs.
	bytes atomic.Int64
	// restored is closed and replaced when a link is restored.
	restored chan struct{}
}

func newLinks() *links {
	return &links{vmByAddress: map[string]int{}, cut: map[[2]int]bool{}, restored: make(chan struct{})}
}

func (l *links) register(vm int, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vmByAddress[address] = vm
}

// isCut reports whether a link is cut, and returns the channel that is closed
// when a link is next restored.
func (l *links) isCut(from, to int) (bool, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut[[2]int{from, to}], l.restored
}

// SetPartitioned cuts or restores the links between VM i and all others, in
// both directions.
func (c *Cluster) SetPartitioned(i int, cut bool) {
	c.links.mu.Lock()
	defer c.links.mu.Unlock()
	for j := range c.Settings {
		if j != i {
			c.links.cut[[2]int{i, j}] = cut
			c.links.cut[[2]int{j, i}] = cut
		}
	}
	if !cut {
		close(c.links.restored)
		c.links.restored = make(chan struct{})
	}
}

// dial returns the dial function of VM from. It waits while the link is cut, and
// its connections lose data while their link is cut.
func (l *links) dial(from int, next limpetpeer.DialFunc) limpetpeer.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		l.mu.Lock()
		to, known := l.vmByAddress[address]
		l.mu.Unlock()
		if !known {
			return next(ctx, network, address)
		}
		for {
			cut, restored := l.isCut(from, to)
			if !cut {
				break
			}
			select {
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-restored:
			}
		}
		conn, err := next(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &linkConn{Conn: conn, links: l, from: from, to: to}, nil
	}
}

// A linkConn is a connection over a link. Once it has dropped a write because
// the link was cut, it drops all later ones, also after the link is restored:
// lost bytes are never sent again, and the receiver must not get a stream with a
// gap.
type linkConn struct {
	net.Conn
	links    *links
	from, to int
	mu       sync.Mutex
	broken   bool
}

// Write drops b if the link is cut or the connection has already lost data.
func (c *linkConn) Write(b []byte) (int, error) {
	cut, _ := c.links.isCut(c.from, c.to)
	c.mu.Lock()
	c.broken = c.broken || cut
	broken := c.broken
	c.mu.Unlock()
	if broken {
		return len(b), nil
	}
	n, err := c.Conn.Write(b)
	c.links.bytes.Add(int64(n))
	return n, err
}

// Read counts the bytes read.
func (c *linkConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.links.bytes.Add(int64(n))
	return n, err
}

// A countingListener counts the bytes sent and received on its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept returns a connection whose bytes are counted.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: c, bytes: l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts the bytes read.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts the bytes written.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// A Traffic holds the numbers of bytes sent between VMs, each counted once, and
// between VMs and the stubs of the store and the platform.
type Traffic struct {
	Peers, Store, Platform int64
}

// Traffic returns the traffic so far.
func (c *Cluster) Traffic() Traffic {
	return Traffic{Peers: c.links.bytes.Load(), Store: c.storeBytes.Load(), Platform: c.platformBytes.Load()}
}
