// Package httpstrict makes clients of HTTP/1 refuse responses that net/http takes although they are
// malformed, or may be incomplete.
//
// # Usage
//
// A client that reads responses itself wraps its connections:
//
//	c := httpstrict.NewConn(connection)
//	c.BeginResponse()
//	_, err := c.Write(request)
//	response, err := http.ReadResponse(bufio.NewReader(c), nil)
//	err = errors.CombineErrors(c.HeadError(), httpstrict.CheckStatus(response.StatusCode))
//	_, err = io.ReadAll(response.Body) // nil: the body is framed, or the server has ended its direction
//
// The package knows nothing of what servers are: whether one that has closed a connection has
// finished its response or has ended within it, its users have to find out.
package httpstrict

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Conn is a connection to a server whose Read returns io.EOF only if the server has ended its
// direction of the connection. It also looks for faults in the heads of responses.
//
// The kernel reports that a connection was reset, or has timed out, to one system call alone. If that
// is a Write, in another goroutine, then a Read reports the same as at the end of the stream, and a body
// that ends with its connection looks complete.
type Conn struct {
	net.Conn
	below *Conn       // the connection on which TLS runs; nil: this one has no TLS
	ended atomic.Bool // Read has returned io.EOF

	writing    sync.Mutex // held during writes
	writeError error      // of the first write that failed

	scanning sync.Mutex // guards head: a response may be read by another goroutine than expects it
	head     headScanner
}

// NewConn returns a Conn that uses the given connection, which must not be used otherwise.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// BeginResponse expects the head of a response next, with the interim ones before it.
func (c *Conn) BeginResponse() {
	c.scanning.Lock()
	defer c.scanning.Unlock()
	c.head.begin()
}

// HeadError returns what is wrong with the heads that were read since BeginResponse, though net/http
// takes them; nil: nothing.
func (c *Conn) HeadError() error {
	c.scanning.Lock()
	defer c.scanning.Unlock()
	return c.head.err
}

func (c *Conn) scan(p []byte) {
	c.scanning.Lock()
	defer c.scanning.Unlock()
	c.head.scan(p)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.scan(p[:n])
	if err == io.EOF {
		if failure := c.failure(); failure != nil {
			return n, failure
		}
		c.ended.Store(true)
	}
	return n, err
}

// endedWithoutAlert reports whether a connection with TLS ended without its closure alert, after Read has
// returned io.EOF: crypto/tls takes that for an end between two records.
func (c *Conn) endedWithoutAlert() bool { return c.below != nil && c.below.ended.Load() }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.recordWrite(err)
	return n, err
}

// WriteBuffers writes the contents of buffers, in one system call if that is possible.
func (c *Conn) WriteBuffers(b net.Buffers) (int64, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := b.WriteTo(c.Conn)
	c.recordWrite(err)
	return n, err
}

func (c *Conn) recordWrite(err error) {
	if c.writeError == nil {
		c.writeError = err
	}
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.Newf("httpstrict: %T has no file descriptor", c.Conn)
	}
	return s.SyscallConn()
}

// failure returns the error with which the connection has failed, after a Read has returned io.EOF; nil:
// the server has ended its direction.
func (c *Conn) failure() error {
	if !c.dead() {
		return nil
	}
	c.writing.Lock() // a write that is under way ends at once
	defer c.writing.Unlock()
	var number syscall.Errno
	if !errors.As(c.writeError, &number) || number == syscall.EPIPE {
		return nil // EPIPE: the server had ended its direction before
	}
	return c.writeError
}

// dead reports whether no direction of the connection is open any more. One that was closed here is
// dead: a client closes a connection to which it can't write, while it reads from it.
func (c *Conn) dead() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	dead := false
	err = raw.Control(func(descriptor uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		dead = err == nil && info.State == unix.BPF_TCP_CLOSE
	})
	return err != nil || dead
}
