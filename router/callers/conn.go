package callers

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// conn is a caller's connection as the HTTP server reads it.
type conn struct {
	net.Conn // the socket, or TLS on it
	socket   *socket
	tls      *tls.Conn // nil: no TLS
	server   *Server

	handshaken bool // used only by the reading goroutine

	// Guards what follows and the read deadline of a connection that is being retired: once a byte of a request
	// has been read, retire must not end the reading of the rest.
	mutex     sync.Mutex
	newSince  time.Time // accepted, or the end of the TLS handshake
	begun     bool      // a byte of the current request has been read
	serving   bool      // the head of the current request has been read, and its answer is not complete
	readAhead bool      // the first byte of the next request has been read while one is served
	retiring  bool      // it ends as soon as nothing of a request has arrived
}

// stateChanged follows the state of the connection in the HTTP server: active once the head of a request has been
// read, and idle after the response.
func (c *conn) stateChanged(state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch state {
	case http.StateActive:
		c.begun, c.serving = true, true
	case http.StateIdle:
		c.begun, c.serving, c.readAhead = c.readAhead, false, false
	}
}

// retire has the connection end as soon as nothing of a request has arrived on it, which the goroutine that reads
// from it decides. It does nothing while a request is read or served.
func (c *conn) retire(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.begun || c.retiring || now.Sub(c.newSince) < newConnTime {
		return
	}
	c.retiring = true
	_ = c.socket.SetReadDeadline(time.Unix(1, 0)) // on a closed connection nothing is left to end
}

// Read implements net.Conn. It closes a connection that is being retired and on which nothing has arrived, and
// returns io.EOF.
func (c *conn) Read(b []byte) (int, error) {
	if err := c.handshake(); err != nil {
		return 0, err
	}
	return c.readOrRetire(c.Conn.Read, b)
}

// handshake completes the TLS handshake before the first read. Once its first byte has arrived, it is not ended:
// an error of a handshake is final, even a passed deadline.
func (c *conn) handshake() error {
	if c.tls == nil || c.handshaken {
		return nil
	}
	if _, err := c.readOrRetire(c.socket.await, nil); err != nil {
		return err
	}
	err := c.tls.Handshake()
	c.handshaken = true
	c.socket.partial = false
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.newSince, c.begun, c.retiring = time.Now(), false, false
	return err
}

// readOrRetire calls read.
func (c *conn) readOrRetire(read func([]byte) (int, error), b []byte) (int, error) {
	extended := false
	for {
		if c.retires() && !extended {
			if !c.hasArrived() {
				c.Close()
				return 0, io.EOF
			}
			extended = true
			_ = c.socket.SetReadDeadline(time.Now().Add(headTime)) // on a closed connection the read fails
		}
		n, err := read(b)
		if n > 0 {
			c.recordRead(n == 1 && len(b) == 1)
		}
		if n > 0 || !isTimeout(err) || extended || !c.retires() {
			return n, err
		}
	}
}

// retires reports whether the connection ends unless a request has arrived.
func (c *conn) retires() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.retiring && !c.begun
}

// hasArrived reports whether something has arrived that the HTTP server has not read, or the caller has closed.
func (c *conn) hasArrived() bool {
	return c.socket.partial || peek(c.socket.Conn) != syscall.EAGAIN
}

// recordRead records that bytes of a request have been read.
func (c *conn) recordRead(single bool) {
	c.socket.partial = false
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if single && c.serving {
		c.readAhead = true // the HTTP server reads single bytes only to notice a caller that closes
	}
	if c.begun {
		return
	}
	c.begun = true
	if c.retiring {
		_ = c.socket.SetReadDeadline(time.Now().Add(headTime)) // on a closed connection the next read fails
	}
}

// connKey is the key of the connection in the contexts of its requests.
type connKey struct{}

// ResetOnClose sets whether closing the connection of a request resets it, also if this process ends. It is for answers
// that end with their connection: until such an answer is complete, an end of the connection must not look like its own.
func ResetOnClose(r *http.Request, reset bool) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		return // not from a Server
	}
	t, ok := c.socket.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	seconds := -1 // the default: what was written is sent first
	if reset {
		seconds = 0
	}
	_ = t.SetLinger(seconds) // fails on a closed connection
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.server.mutex.Lock()
	delete(c.server.conns, c)
	c.server.mutex.Unlock()
	return c.Conn.Close()
}

// CloseWrite closes the sending direction.
func (c *conn) CloseWrite() error {
	if c.tls != nil {
		return c.tls.CloseWrite()
	}
	w, ok := c.socket.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.Newf("callers: connection type %T has no sending direction to close", c.socket.Conn)
	}
	return w.CloseWrite()
}

// socket is the connection below TLS.
type socket struct {
	net.Conn
	partial bool // bytes have been read of which the reader has got none; used only by the reading goroutine
}

// Read implements net.Conn.
func (s *socket) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	if n > 0 {
		s.partial = true
	}
	return n, err
}

// await waits for the first byte without consuming it, and returns 1.
func (s *socket) await([]byte) (int, error) {
	withSocket, ok := s.Conn.(syscall.Conn)
	if !ok {
		return 0, errors.Newf("callers: connection type %T has no socket", s.Conn)
	}
	raw, err := withSocket.SyscallConn()
	if err != nil {
		return 0, err
	}
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return err != syscall.EAGAIN
	})
	if err != nil {
		return 0, err
	}
	return 1, nil
}

// peek looks at the next byte without consuming it; it does not block. syscall.EAGAIN: nothing has arrived.
func peek(c net.Conn) error {
	withSocket, ok := c.(syscall.Conn)
	if !ok {
		return errors.Newf("callers: connection type %T has no socket", c)
	}
	raw, err := withSocket.SyscallConn()
	if err != nil {
		return err
	}
	controlErr := raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// isTimeout reports whether a read has ended at its deadline.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
