package handoff

import (
	"context"
	"io"
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
// forwarding gateway is short of processor time, and each chunk costs it a write. If it is closed
// before anything has been read from it, the forwarding gateway is told that nothing has run.
type Conn struct {
	*yamux.Stream
	mutex     sync.Mutex
	pending   []byte
	timer     *time.Timer // runs while data is pending
	lastFlush time.Time
	writeErr  error
	closed    bool

	readMutex    sync.Mutex
	readProgress readProgress
	retiring     bool      // it ends as soon as nothing has arrived
	readDeadline time.Time // as it was set; a connection that is being retired has another one
	peerEnded    bool      // the other gateway has ended the connection, or the link has ended
	linkEnded    bool      // of these, the latter
}

// readProgress is how far the reading from a Conn has come.
type readProgress int

const (
	readsNothing readProgress = iota // nothing has been read
	hasRead                          // bytes of a request have been read
	endedUnread                      // it has ended, and nothing has been or will be read
)

// notRunResponse answers a request that arrives on a connection that has ended unread. The forwarding
// gateway passes it on if it has forwarded any of a request.
const notRunResponse = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 0.050\r\n" +
	"Content-Type: text/plain; charset=utf-8\r\nContent-Length: 38\r\n\r\nnot run: the connection was not served"

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

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	for {
		retiring := c.setRetireDeadline()
		n, err := c.Stream.Read(b)
		if n > 0 {
			return c.beginRead(n, err)
		}
		if isTimeout(err) && retiring {
			_ = c.Close() // the link may have broken
			return 0, io.EOF
		}
		if isTimeout(err) && c.isRetiring() {
			continue // Retire has ended the read; what has arrived meanwhile is read
		}
		if err != nil && !isTimeout(err) {
			c.recordEnd()
		}
		return n, err
	}
}

// recordEnd records that the other gateway has ended the connection, or the link has ended.
func (c *Conn) recordEnd() {
	c.readMutex.Lock()
	defer c.readMutex.Unlock()
	if !c.peerEnded {
		c.peerEnded, c.linkEnded = true, c.Session().IsClosed()
	}
}

// LinkEnded reports whether the connection has ended with its link: the gateway that forwards it has
// ended, or can't be reached, and nothing is known of the caller. It is false if the caller left before.
func (c *Conn) LinkEnded() bool {
	c.readMutex.Lock()
	defer c.readMutex.Unlock()
	if c.peerEnded {
		return c.linkEnded
	}
	return c.Session().IsClosed()
}

// beginRead records that n bytes have been read. They are dropped if the connection was closed before.
func (c *Conn) beginRead(n int, err error) (int, error) {
	c.readMutex.Lock()
	defer c.readMutex.Unlock()
	switch c.readProgress {
	case endedUnread:
		return 0, net.ErrClosed
	case readsNothing:
		c.readProgress = hasRead
		if c.retiring {
			_ = c.Stream.SetReadDeadline(c.readDeadline) // returns no error
		}
	}
	return n, err
}

// isRetiring reports whether the connection ends as soon as nothing has arrived.
func (c *Conn) isRetiring() bool {
	c.readMutex.Lock()
	defer c.readMutex.Unlock()
	return c.retiring && c.readProgress == readsNothing
}

// setRetireDeadline has the next read return what has arrived, and not wait for more, if the connection
// is being retired. It reports whether it is.
func (c *Conn) setRetireDeadline() bool {
	c.readMutex.Lock()
	defer c.readMutex.Unlock()
	retiring := c.retiring && c.readProgress == readsNothing
	if retiring {
		_ = c.Stream.SetReadDeadline(time.Unix(1, 0)) // returns no error
	}
	return retiring
}

// Retire has the connection end as soon as nothing of a request has arrived on it, which the goroutine
// that reads from it decides: another one can't know what it has just read. It does nothing once
// something has been read. A Conn carries one request.
func (c *Conn) Retire() {
	c.readMutex.Lock()
	defer c.readMutex.Unlock()
	if c.readProgress != readsNothing || c.retiring {
		return
	}
	c.retiring = true
	_ = c.Stream.SetReadDeadline(time.Unix(1, 0)) // returns no error
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.readMutex.Lock()
	defer c.readMutex.Unlock()
	c.readDeadline = t
	return c.Stream.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.CombineErrors(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// endReading ends the reading, and reports whether the other gateway is to be told that nothing has run.
func (c *Conn) endReading() bool {
	c.readMutex.Lock()
	defer c.readMutex.Unlock()
	if c.readProgress == hasRead {
		return false
	}
	c.readProgress = endedUnread
	return !c.peerEnded
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	notRun := c.endReading()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return nil
	}
	c.closed = true
	if c.timer != nil {
		c.timer.Stop()
	}
	if notRun && len(c.pending) == 0 && c.lastFlush.IsZero() {
		c.pending = append(c.pending, notRunResponse...)
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

// Close implements net.Listener. Accepted connections stay open; other gateways are told not to open more,
// and those that they have opened and nobody has accepted are refused.
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
	told := make(chan struct{})
	go func() {
		l.tellClosed(session)
		close(told)
	}()
	defer func() {
		session.Close()
		<-told
	}()
	for {
		stream, err := session.AcceptStreamWithContext(ctx)
		if err != nil {
			return errors.Wrap(err, "handoff: link ended")
		}
		select {
		case l.conns <- &Conn{Stream: stream}:
		case <-l.closed:
			_ = (&Conn{Stream: stream}).Close() // a stopping gateway accepts no more connections
		case <-ctx.Done():
			_ = (&Conn{Stream: stream}).Close()
		}
	}
}

// tellClosed tells the other gateway when the listener is closed, so that it opens no more streams. It returns
// then, or when the link has ended.
func (l *Listener) tellClosed(session *yamux.Session) {
	select {
	case <-l.closed:
		_ = session.GoAway() // the link may have ended
	case <-session.CloseChan():
	}
}
