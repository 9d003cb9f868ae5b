// Package fleettest runs real routers and agents against small fakes at their
// interfaces, for tests in virtual time: an in-memory network with latency, cuts
// and freezes, a fake platform, and fake servers.
//
// # Usage
//
//	synctest.Test(t, func(t *testing.T) {
//		f := fleettest.Start(t, fleettest.Options{Routers: 3, Models: 9})
//		o := f.Do(ctx, fleettest.Call{Account: "quito", Router: 0})
//		f.Network.Cut("hall-1", "hall-2")
//	})
//
// It does not simulate a cluster manager: the test itself starts, stops and cuts
// off single nodes.
package fleettest

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Network connects nodes by name. A node's address is its name.
type Network struct {
	Latency time.Duration // one way

	mutex     sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]bool
	cut       map[[2]string]bool // from, to: nothing is delivered
	frozen    map[string]bool    // nothing is delivered from or to the node
	halls     map[string]string  // by node
	bytes     map[string]uint64  // sent by each node
}

// NewNetwork returns a network without nodes.
func NewNetwork(latency time.Duration) *Network {
	return &Network{
		Latency:   latency,
		listeners: map[string]*listener{},
		conns:     map[*conn]bool{},
		cut:       map[[2]string]bool{},
		frozen:    map[string]bool{},
		halls:     map[string]string{},
		bytes:     map[string]uint64{},
	}
}

// SetHall sets the hall of a node. Cuts apply to nodes or halls.
func (n *Network) SetHall(node, hall string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.halls[node] = hall
}

// Listen returns the listener of a node.
func (n *Network) Listen(node string) net.Listener {
	l := &listener{network: n, node: node, incoming: make(chan net.Conn, 64), closed: make(chan struct{})}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.listeners[node] = l
	return l
}

// Dialer returns a function that opens connections from a node.
func (n *Network) Dialer(from string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		return n.dial(ctx, from, to)
	}
}

var errRefused = errors.New("fleettest: connection refused")

func (n *Network) dial(ctx context.Context, from, to string) (net.Conn, error) {
	for n.blocked(from, to) || n.blocked(to, from) {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	n.mutex.Lock()
	l := n.listeners[to]
	n.mutex.Unlock()
	if l == nil {
		return nil, errRefused
	}
	ours, theirs := n.pair(from, to)
	select {
	case l.incoming <- theirs:
		return ours, nil
	case <-l.closed:
		ours.Close()
		return nil, errRefused
	case <-ctx.Done():
		ours.Close()
		return nil, ctx.Err()
	}
}

func (n *Network) pair(from, to string) (ours, theirs *conn) {
	there := newStream(n, from, to)
	back := newStream(n, to, from)
	ours = &conn{network: n, local: from, remote: to, in: back, out: there}
	theirs = &conn{network: n, local: to, remote: from, in: there, out: back}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.conns[ours] = true
	n.conns[theirs] = true
	return ours, theirs
}

// Cut stops delivery between two nodes or halls, both ways.
func (n *Network) Cut(a, b string) {
	n.CutOneWay(a, b)
	n.CutOneWay(b, a)
}

// CutOneWay stops delivery from one node or hall to another.
func (n *Network) CutOneWay(from, to string) {
	n.applyFault(func() { n.cut[[2]string{from, to}] = true })
}

// Heal ends all cuts and freezes.
func (n *Network) Heal() {
	n.applyFault(func() {
		clear(n.cut)
		clear(n.frozen)
	})
}

// Freeze stops delivery from and to a node, as when its process is paused.
func (n *Network) Freeze(node string) { n.applyFault(func() { n.frozen[node] = true }) }

// Thaw ends a freeze and delivers what was withheld.
func (n *Network) Thaw(node string) { n.applyFault(func() { delete(n.frozen, node) }) }

// CloseConns closes every connection between two nodes.
func (n *Network) CloseConns(a, b string) {
	for _, c := range n.matchingConns(func(c *conn) bool {
		return (c.local == a && c.remote == b) || (c.local == b && c.remote == a)
	}) {
		c.Close()
	}
}

// SentBytes returns the total number of bytes that all nodes have sent.
func (n *Network) SentBytes() uint64 {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	sum := uint64(0)
	for _, b := range n.bytes {
		sum += b
	}
	return sum
}

func (n *Network) addSent(node string, b int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.bytes[node] += uint64(b)
}

// Crash closes every connection of a node at once.
func (n *Network) Crash(node string) {
	for _, c := range n.matchingConns(func(c *conn) bool { return c.local == node || c.remote == node }) {
		c.Close()
	}
}

func (n *Network) matchingConns(match func(*conn) bool) []*conn {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var list []*conn
	for c := range n.conns {
		if match(c) {
			list = append(list, c)
		}
	}
	return list
}

// applyFault applies a fault and wakes all readers.
func (n *Network) applyFault(f func()) {
	n.mutex.Lock()
	f()
	var all []*conn
	for c := range n.conns {
		all = append(all, c)
	}
	n.mutex.Unlock()
	for _, c := range all {
		c.in.wake()
	}
}

func (n *Network) blocked(from, to string) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.frozen[from] || n.frozen[to] {
		return true
	}
	a, b := n.halls[from], n.halls[to]
	return n.cut[[2]string{from, to}] || n.cut[[2]string{a, b}] || n.cut[[2]string{from, b}] || n.cut[[2]string{a, to}]
}

type listener struct {
	network  *Network
	node     string
	incoming chan net.Conn
	closing  sync.Once
	closed   chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closing.Do(func() {
		close(l.closed)
		l.network.mutex.Lock()
		defer l.network.mutex.Unlock()
		if l.network.listeners[l.node] == l {
			delete(l.network.listeners, l.node)
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.node) }

type address string

// Network implements net.Addr.
func (a address) Network() string { return "memory" }

// String implements net.Addr.
func (a address) String() string { return string(a) }

type conn struct {
	network       *Network
	local, remote string
	in, out       *stream
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) { return c.in.read(p) }

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) { return c.out.write(p) }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.in.close()
	c.out.close()
	c.network.mutex.Lock()
	defer c.network.mutex.Unlock()
	delete(c.network.conns, c)
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return address(c.local) }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return address(c.remote) }

// SetDeadline implements net.Conn. Deadlines are not needed: yamux has its own.
func (c *conn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// windowBytes is the number of bytes buffered in one direction of a connection above
// which writes block.
const windowBytes = 1 << 20

// stream is one direction of a connection.
type stream struct {
	network  *Network
	from, to string
	mutex    sync.Mutex
	packets  []packet
	buffered int
	last     time.Time // arrival time of the packet read last
	closed   bool
	progress chan struct{} // closed and replaced at every change of state
}

type packet struct {
	bytes []byte
	at    time.Time // arrival time
}

func newStream(n *Network, from, to string) *stream {
	return &stream{network: n, from: from, to: to, progress: make(chan struct{})}
}

func (s *stream) wake() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.signal()
}

func (s *stream) signal() {
	close(s.progress)
	s.progress = make(chan struct{})
}

func (s *stream) close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	s.signal()
}

func (s *stream) write(p []byte) (int, error) {
	s.network.addSent(s.from, len(p))
	s.mutex.Lock()
	for s.buffered > windowBytes && !s.closed {
		progress := s.progress
		s.mutex.Unlock()
		<-progress
		s.mutex.Lock()
	}
	defer s.mutex.Unlock()
	if s.closed {
		return 0, io.ErrClosedPipe
	}
	s.packets = append(s.packets, packet{bytes: append([]byte(nil), p...), at: time.Now().Add(s.network.Latency)})
	s.buffered += len(p)
	s.signal()
	return len(p), nil
}

func (s *stream) read(p []byte) (int, error) {
	for {
		blocked := s.network.blocked(s.from, s.to)
		s.mutex.Lock()
		if s.closed {
			s.mutex.Unlock()
			return 0, io.EOF
		}
		progress := s.progress
		var wait time.Duration = -1
		// A cut does not separate packets that were sent at the same instant. yamux holds
		// a lock between a header and its body, and a goroutine blocked on a mutex stops
		// the clock of a synctest bubble.
		sameInstant := len(s.packets) > 0 && s.packets[0].at.Equal(s.last)
		if len(s.packets) > 0 && (!blocked || sameInstant) {
			wait = time.Until(s.packets[0].at)
			if wait <= 0 {
				n := s.consume(p)
				s.mutex.Unlock()
				return n, nil
			}
		}
		s.mutex.Unlock()
		if wait < 0 {
			<-progress
			continue
		}
		t := time.NewTimer(wait)
		select {
		case <-progress:
		case <-t.C:
		}
		t.Stop()
	}
}

func (s *stream) consume(p []byte) int {
	s.last = s.packets[0].at
	n := copy(p, s.packets[0].bytes)
	s.buffered -= n
	s.packets[0].bytes = s.packets[0].bytes[n:]
	if len(s.packets[0].bytes) == 0 {
		s.packets = s.packets[1:]
	}
	s.signal()
	return n
}
