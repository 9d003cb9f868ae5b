package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"opalbridge.dev/gateway/memory"
	"opalbridge.dev/gateway/reject"
)

// callerConn is a caller's connection. It counts against the capacity until it is closed.
type callerConn struct {
	net.Conn
	admission *admissionListener
	counted   bool // it counts against the capacity
	once      sync.Once
	hasRead   bool // something was read; used only by the reading goroutine

	// Whether the head of the current request has been read, or is not read here. While it has, the HTTP
	// server may read in another goroutine, also when it closes the connection.
	headRead atomic.Bool
	head     memory.Head         // used only by the goroutine that serves the connection, as is held
	held     *memory.Reservation // of the head

	accepted    time.Time
	progress    atomic.Int32          // a connProgress
	requestFrom atomic.Int64          // when the first byte of the current request was read, in ns since the process's epoch
	callerEnded atomic.Bool           // a read has failed: the caller has closed, or the connection is broken
	readError   atomic.Pointer[error] // of that read
	retiring    atomic.Bool           // it ends as soon as nothing of a request has arrived
	readAhead   atomic.Bool           // the first byte of the next request has been read while one is served
	// Guards the read deadline of a connection that is being retired: once a byte of a request has been
	// read, retire must not end the reading of the rest.
	mutex sync.Mutex
}

// connProgress is how far a caller's connection has come with its current request.
type connProgress int32

const (
	awaitsRequest  connProgress = iota // nothing of it has been read
	readsHead                          // part of it has been read
	handlesRequest                     // a handler, the rejecter or another gateway is responsible for it
)

// DroppedRequest says what of a request had arrived when the gateway closed its connection without an answer.
type DroppedRequest string

// Values of DroppedRequest.
const (
	DroppedUnread DroppedRequest = "unread" // bytes that the gateway had not read
	DroppedRead   DroppedRequest = "read"   // bytes that the gateway had read; no handler had been called
)

// coveredCallerHead is the memory of a request's head that belongs to the memory of a connection
// (memoryPerIdleConn).
const coveredCallerHead = 8 << 10

// headOwner is the owner of the memory for long heads of requests. Whose they are is not known yet.
const headOwner = "heads of callers"

// stateChanged follows the state of the connection in the HTTP server: active once the head of a request
// has been read, and idle after the response.
func (c *callerConn) stateChanged(s http.ConnState) {
	switch s {
	case http.StateActive:
		if c.awaitsRequest() {
			c.beginRequest(minTimedBytes, time.Now()) // the head came with the request before
		}
		c.headRead.Store(true)
	case http.StateIdle:
		c.headRead.Store(false)
		c.head = memory.Head{}
		c.held.Release()
		c.progress.Store(int32(awaitsRequest))
		if c.readAhead.Load() {
			c.beginRequest(1, time.Now())
		}
	case http.StateClosed, http.StateHijacked:
		c.headRead.Store(true)
		c.held.Release()
	}
}

// handled records that a handler, the rejecter or another gateway is responsible for the current request.
func (c *callerConn) handled() { c.progress.Store(int32(handlesRequest)) }

// holdHead reserves the memory for what has been read of a head, and reports whether there is any.
func (c *callerConn) holdHead(p []byte) bool {
	if c.headRead.Load() {
		return true
	}
	c.head.Count(p)
	return c.held.GrowTo(c.head.Memory())
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.once.Do(func() {
		c.recordDropped(time.Now())
		if c.counted {
			c.admission.openConns.Add(-1)
			c.admission.unread.remove(c)
			c.admission.open.remove(c)
		}
	})
	return c.Conn.Close()
}

// recordDropped records a request that ends with the connection although no handler has been called for it
// and no answer has been sent.
func (c *callerConn) recordDropped(now time.Time) {
	if c.callerEnded.Load() || c.admission.onDropped == nil {
		return
	}
	switch connProgress(c.progress.Load()) {
	case awaitsRequest:
		if n, err := peek(c.Conn); err == nil && n > 0 {
			c.admission.onDropped(c, DroppedUnread, 0)
		}
	case readsHead:
		c.admission.onDropped(c, DroppedRead, now.Sub(processEpoch)-time.Duration(c.requestFrom.Load()))
	}
}

// processEpoch is the zero of times that are kept as numbers.
var processEpoch = time.Now()

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	ahead := len(b) == 1 && c.headRead.Load() // while it serves a request, the HTTP server reads single bytes only ahead
	if !c.headRead.Load() && c.readAhead.Swap(false) {
		c.beginRequest(1, time.Now()) // again: the HTTP server has reset the deadline meanwhile
	}
	n, err := c.readOrRetire(b)
	if ahead && n > 0 {
		c.readAhead.Store(true)
	}
	if !c.hasRead {
		c.hasRead = true
		c.admission.unread.remove(c)
	}
	if n > 0 && c.awaitsRequest() {
		c.beginRequest(n, time.Now())
	}
	if err != nil && !isTimeout(err) {
		c.readError.CompareAndSwap(nil, &err)
		c.callerEnded.Store(true)
	}
	if !c.holdHead(b[:n]) {
		c.refuseHead()
		// The HTTP server answers other errors with 400.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errors.Wrap(memory.ErrNoRoom, "gateway: head of a request")}
	}
	return n, err
}

// lingerTime is how long a connection is read after an answer that came before the whole request had arrived:
// closing it with unread bytes resets it, which may destroy the answer on its way.
const lingerTime = time.Second

// headRefusal answers a request for whose head there is no memory.
var headRefusal = reject.Response("gateway short of memory for heads", fullRetryAfter)

// refuseHead answers a request for whose head there is no memory, and closes the connection. It is called by the
// goroutine that reads from it.
func (c *callerConn) refuseHead() {
	c.held.Release()
	if c.admission.onHeadRefused != nil {
		c.admission.onHeadRefused(c)
	}
	deadline := time.Now().Add(lingerTime)
	if err := c.Conn.SetDeadline(deadline); err == nil {
		c.answerAndLinger(headRefusal)
	}
	c.Close()
}

// answerAndLinger writes an answer, and reads until the caller closes or the deadline has passed.
func (c *callerConn) answerAndLinger(answer []byte) {
	if _, err := c.Write(answer); err != nil {
		return // the caller is gone
	}
	if err := c.CloseWrite(); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c.Conn) // the caller has its answer, whatever ends its request
}

// CloseWrite closes the sending direction.
func (c *callerConn) CloseWrite() error {
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.Newf("gateway: connection type %T has no sending direction to close", c.Conn)
	}
	return w.CloseWrite()
}

// awaitsRequest reports whether nothing of a next request has been read.
func (c *callerConn) awaitsRequest() bool {
	return connProgress(c.progress.Load()) == awaitsRequest
}

// The HTTP server sets the time limit for a head on a kept connection once it has this many bytes of it.
const minTimedBytes = 4

// beginRequest records that the first n bytes of a request have been read.
func (c *callerConn) beginRequest(n int, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.progress.Store(int32(readsHead))
	c.requestFrom.Store(int64(now.Sub(processEpoch)))
	if c.retiring.Load() || n < minTimedBytes && !c.headRead.Load() {
		_ = c.Conn.SetReadDeadline(now.Add(headerTimeout)) // on a closed connection the next read fails
	}
}

// retire has the connection end as soon as nothing of a request has arrived on it, which the goroutine that
// reads from it decides: another one can't know what it has just read. It does nothing while a request is read
// or served.
func (c *callerConn) retire() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.awaitsRequest() || c.retiring.Swap(true) {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // on a closed connection nothing is left to end
}

// readOrRetire reads. Instead, it closes a connection that is being retired and on which nothing has arrived,
// and returns io.EOF.
func (c *callerConn) readOrRetire(b []byte) (int, error) {
	for {
		if c.retiring.Load() && c.awaitsRequest() {
			if _, err := peek(c.Conn); err == unix.EAGAIN {
				c.Close()
				return 0, io.EOF
			}
			_ = c.Conn.SetReadDeadline(time.Now().Add(headerTimeout)) // on a closed connection the read fails
		}
		n, err := c.Conn.Read(b)
		if n > 0 || !isTimeout(err) {
			return n, err
		}
		if c.retiring.Load() && c.awaitsRequest() {
			continue
		}
		return c.readArrived(b, err)
	}
}

// readArrived reads what of a head has arrived by the deadline of a read: the runtime doesn't look into the socket
// after it, and a process that is short of processor time may not have read before. It returns timeout if nothing has.
func (c *callerConn) readArrived(b []byte, timeout error) (int, error) {
	if c.headRead.Load() {
		return 0, timeout // the HTTP server ends its reading ahead so, and a body has the request's deadline
	}
	n, err := c.readSocket(b)
	if err != nil || n == 0 {
		return 0, timeout
	}
	return n, nil
}

// isTimeout reports whether a read or write has ended at its deadline.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// Write implements net.Conn.
func (c *callerConn) Write(b []byte) (int, error) {
	c.handled() // also by the HTTP server itself, which answers requests that it can't parse
	return c.Conn.Write(b)
}

// ReadNow implements reject.Conn.
func (c *callerConn) ReadNow(buffer []byte) (n int, err error) { return c.readSocket(buffer) }

// readSocket reads what has arrived, whatever the read deadline; EAGAIN: nothing has.
func (c *callerConn) readSocket(buffer []byte) (n int, err error) {
	raw, err := rawConn(c.Conn)
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) { n, err = unix.Read(int(fd), buffer) })
	if controlErr != nil {
		return 0, controlErr
	}
	return n, err
}

// CallerClosed implements handoff.CloseChecker.
func (c *callerConn) CallerClosed() bool { return c.closedByCaller() }

// connKey is the context key of a request's connection.
type connKey struct{}

// withConn makes a connection available to handlers.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// callerClosed reports whether the caller of a request has closed its connection.
func callerClosed(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*callerConn)
	return ok && c.closedByCaller()
}

// closedByCaller reports whether the caller has closed the connection, without waiting for the
// goroutine that reads it to notice.
func (c *callerConn) closedByCaller() bool {
	n, err := peek(c.Conn)
	return n == 0 && err == nil || err == unix.ECONNRESET
}

// peek looks at the next byte without consuming it; it does not block.
func peek(c net.Conn) (n int, err error) {
	raw, err := rawConn(c)
	if err != nil {
		return 0, err
	}
	var one [1]byte
	controlErr := raw.Control(func(fd uintptr) {
		n, _, err = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if controlErr != nil {
		return 0, controlErr
	}
	return n, err
}

// rawConn returns the socket of a caller's connection.
func rawConn(c net.Conn) (syscall.RawConn, error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil, errors.Newf("gateway: connection type %T has no socket", c)
	}
	return sc.SyscallConn()
}
