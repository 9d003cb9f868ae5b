// Package callers serves callers over HTTP/1.1, and stops without losing a request that has arrived. The
// Shutdown and Close methods of http.Server can't: they close connections as idle on which a request has arrived,
// and reset what waits in the accept queue.
//
// # Usage
//
//	s := callers.NewServer(&http.Server{Handler: handler})
//	go s.Serve(listener, tlsConfig)
//	err := s.Stop(ctx) // answers what has arrived, until ctx ends
//
// The goroutine that reads from a connection decides whether a request has arrived on it. The package refuses no
// requests: the handler does, once it is to take no more.
package callers

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// Interval at which connections are ended.
	drainInterval = 20 * time.Millisecond
	// A new connection is kept for this long until its request arrives.
	newConnTime = 300 * time.Millisecond
	// Time limit for the rest of a request whose first bytes arrive while its connection is ended.
	headTime = 10 * time.Second
)

// Listener is a listener with a socket, such as a *net.TCPListener. Its connections must have sockets too.
type Listener interface {
	net.Listener
	syscall.Conn
}

// Server serves callers. NewServer creates one.
type Server struct {
	http     *http.Server
	ending   atomic.Bool   // connections end after their next answer
	stopping atomic.Bool   // Stop has been called
	emptied  chan struct{} // closed when Stop has emptied the accept queue
	once     sync.Once     // closes emptied
	ended    chan struct{} // closed when Serve hands out no more connections

	mutex    sync.Mutex
	conns    map[*conn]struct{}
	listener Listener
	pending  []net.Conn // taken from the accept queue by Stop
}

// NewServer returns a server that serves with the given settings. It takes over the handler, ConnState and ConnContext.
func NewServer(h *http.Server) *Server {
	s := &Server{http: h, emptied: make(chan struct{}), ended: make(chan struct{}), conns: map[*conn]struct{}{}}
	next := h.Handler
	h.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.ending.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
	h.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := c.(*conn); ok {
			c.stateChanged(state)
		}
	}
	h.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	return s
}

// Serve accepts and serves connections, with TLS if config is not nil. It returns nil after Stop. It is called once.
func (s *Server) Serve(l Listener, config *tls.Config) error {
	s.mutex.Lock()
	s.listener = l
	s.mutex.Unlock()
	defer close(s.ended)
	err := s.http.Serve(&acceptor{Listener: l, server: s, config: config})
	if s.stopping.Load() {
		return nil
	}
	return errors.Wrap(err, "callers: serve")
}

// EndConnections has each connection end after its next answer. Callers learn so that they are to use other
// connections before this process closes theirs.
func (s *Server) EndConnections() { s.ending.Store(true) }

// Stop accepts what waits in the accept queue, closes the listener, and returns when each request that has arrived
// is answered and no connection is left. When ctx ends, it closes those that are left and returns an error.
func (s *Server) Stop(ctx context.Context) error {
	s.EndConnections()
	s.stopping.Store(true)
	defer s.http.Close()
	defer s.endAccepting()
	tick := time.NewTicker(drainInterval)
	defer tick.Stop()
	for listening := true; ; {
		s.retire(time.Now())
		switch {
		case listening:
			if listening = s.acceptPending(); !listening {
				s.endAccepting()
			}
		case s.idle():
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Newf("callers: %d connections are left at the end of the stop", s.count())
		case <-tick.C:
		}
	}
}

// acceptPending takes the connections that wait in the accept queue, and ends the listening with the system call
// after it has found none. It reports whether it has to be called again: Serve has not begun, or descriptors are
// lacking.
func (s *Server) acceptPending() (again bool) {
	s.mutex.Lock()
	l := s.listener
	s.mutex.Unlock()
	if l == nil {
		return true // Serve is called next
	}
	raw, err := l.SyscallConn()
	if err != nil {
		return false // closed
	}
	controlErr := raw.Control(func(fd uintptr) {
		for {
			var accepted int
			accepted, _, err = syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if err == syscall.ECONNABORTED || err == syscall.EINTR {
				continue
			}
			if err == syscall.EMFILE || err == syscall.ENFILE {
				return
			}
			if err != nil {
				_ = syscall.Shutdown(int(fd), syscall.SHUT_RD) // the listener is closed next
				return
			}
			s.addPending(accepted)
		}
	})
	if controlErr == nil && (err == syscall.EMFILE || err == syscall.ENFILE) {
		return true
	}
	return false
}

// endAccepting closes the listener, whose last connections have been taken.
func (s *Server) endAccepting() {
	s.once.Do(func() { close(s.emptied) })
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.listener != nil {
		_ = s.listener.Close() // it accepts no more, whether or not it has been closed
	}
}
