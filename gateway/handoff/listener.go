package handoff

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
)

// Listener hands out the connections that other gateways pass on.
type Listener struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// NewListener returns a listener without links; address is what its Addr tells.
func NewListener(address net.Addr) *Listener {
	return &Listener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Conn is a caller's connection that another gateway passes on. Its answers are gathered:
// the gateway that passes them on is short of processor, and each piece costs it a write.
type Conn struct {
	*yamux.Stream
	mutex   sync.Mutex
	pending []byte
	timer   *time.Timer // runs while something is pending
	flushed time.Time
	failed  error
	closed  bool
}

// What is written within this time after a piece waits until it is over, so that the
// events of a stream go out ten times a second at most. The first ones go out at once.
// It is well below the 200 ms for which an event may be on its way.
const gather = 100 * time.Millisecond

// A write that is longer than this goes out at once.
const longestGathered = 2 << 10

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.failed != nil {
		return 0, c.failed
	}
	c.pending = append(c.pending, b...)
	left := gather - time.Since(c.flushed)
	if left <= 0 || len(c.pending) > longestGathered {
		return len(b), c.flush()
	}
	if len(c.pending) > len(b) {
		return len(b), nil // the timer runs
	}
	if c.timer == nil {
		c.timer = time.AfterFunc(left, c.flushLate)
	} else {
		c.timer.Reset(left)
	}
	return len(b), nil
}

// flush writes what is pending.
func (c *Conn) flush() error {
	if len(c.pending) == 0 {
		return c.failed
	}
	_, c.failed = c.Stream.Write(c.pending)
	c.pending = c.pending[:0]
	c.flushed = time.Now()
	return c.failed
}

// flushLate is the timer's; an error shows at the next write.
func (c *Conn) flushLate() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.closed {
		_ = c.flush()
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return nil
	}
	c.closed = true
	if c.timer != nil {
		c.timer.Stop()
	}
	return errors.CombineErrors(c.flush(), c.Stream.Close())
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. Connections that were accepted live on.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.address }

// Link takes connections from another gateway until the link or ctx ends; then it closes
// the link.
func (l *Listener) Link(ctx context.Context, conn net.Conn) error {
	session, err := yamux.Server(&gathered{Conn: conn}, linkConfig())
	if err != nil {
		conn.Close()
		return errors.Wrap(err, "handoff: take link")
	}
	defer session.Close()
	for {
		stream, err := session.AcceptStreamWithContext(ctx)
		if err != nil {
			return errors.Wrap(err, "handoff: link ended")
		}
		select {
		case l.conns <- &Conn{Stream: stream}:
		case <-l.closed:
			stream.Close() // a gateway that stops takes no more
		case <-ctx.Done():
			stream.Close()
		}
	}
}
