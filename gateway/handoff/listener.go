package handoff

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
)

// Listener accepts the connections that other gateways forward.
type Listener struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// NewListener returns a listener without links; its Addr method returns address.
func NewListener(address net.Addr) *Listener {
	return &Listener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Conn is a caller's connection forwarded by another gateway. Its writes are batched: the
// forwarding gateway is short of processor time, and each chunk costs it a write.
type Conn struct {
	*yamux.Stream
	mutex     sync.Mutex
	pending   []byte
	timer     *time.Timer // runs while data is pending
	lastFlush time.Time
	writeErr  error
	closed    bool
}

// Data written within this time after a flush is held until the time is over, so that the events
// of a stream are flushed at most ten times a second. The first event is flushed at once. The
// interval is well below the 200 ms that the delivery of an event may take.
const flushInterval = 100 * time.Millisecond

// Pending data beyond this size is flushed at once.
const maxBuffered = 2 << 10

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.writeErr != nil {
		return 0, c.writeErr
	}
	c.pending = append(c.pending, b...)
	wait := flushInterval - time.Since(c.lastFlush)
	if wait <= 0 || len(c.pending) > maxBuffered {
		return len(b), c.flush()
	}
	if len(c.pending) > len(b) {
		return len(b), nil // the timer is running
	}
	if c.timer == nil {
		c.timer = time.AfterFunc(wait, c.flushOnTimer)
	} else {
		c.timer.Reset(wait)
	}
	return len(b), nil
}

// flush writes the pending data.
func (c *Conn) flush() error {
	if len(c.pending) == 0 {
		return c.writeErr
	}
	_, c.writeErr = c.Stream.Write(c.pending)
	c.pending = c.pending[:0]
	c.lastFlush = time.Now()
	return c.writeErr
}

// flushOnTimer is called by the timer; an error is reported by the next write.
func (c *Conn) flushOnTimer() {
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

// Close implements net.Listener. Accepted connections stay open.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.address }

// ServeLink accepts connections from another gateway until the link or ctx ends, and then closes
// the link.
func (l *Listener) ServeLink(ctx context.Context, conn net.Conn) error {
	session, err := yamux.Server(&coalescingConn{Conn: conn}, linkConfig())
	if err != nil {
		conn.Close()
		return errors.Wrap(err, "handoff: accept link")
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
			stream.Close() // a stopping gateway accepts no more connections
		case <-ctx.Done():
			stream.Close()
		}
	}
}
