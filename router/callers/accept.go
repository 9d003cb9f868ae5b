package callers

import (
	"crypto/tls"
	"net"
	"os"
	"time"
)

// acceptor hands the connections of a listener to the HTTP server.
type acceptor struct {
	Listener
	server *Server
	config *tls.Config // nil: no TLS
}

// Accept implements net.Listener.
func (a *acceptor) Accept() (net.Conn, error) {
	c, err := a.Listener.Accept()
	if err != nil {
		if c = a.server.takePending(); c == nil {
			return nil, err
		}
	}
	return a.server.newConn(c, a.config), nil
}

// addPending keeps an accepted socket until the HTTP server asks for it.
func (s *Server) addPending(fd int) {
	file := os.NewFile(uintptr(fd), "caller")
	defer file.Close()
	c, err := net.FileConn(file)
	if err != nil {
		return // no descriptor is left for it
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pending = append(s.pending, c)
}

// takePending waits until a stopping server has emptied the accept queue, and returns one of its connections; nil:
// there is none left, or the server does not stop.
func (s *Server) takePending() net.Conn {
	if !s.stopping.Load() {
		return nil
	}
	<-s.emptied
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.pending) == 0 {
		return nil
	}
	c := s.pending[0]
	s.pending = s.pending[1:]
	return c
}

func (s *Server) newConn(c net.Conn, config *tls.Config) net.Conn {
	n := &conn{socket: &socket{Conn: c}, server: s, newSince: time.Now()}
	n.Conn = n.socket
	if config != nil {
		n.tls = tls.Server(n.socket, config)
		n.Conn = n.tls
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.conns[n] = struct{}{}
	return n
}

// count returns the number of open connections.
func (s *Server) count() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.conns) + len(s.pending)
}

// idle reports whether no connection is open, and none will be.
func (s *Server) idle() bool {
	select {
	case <-s.ended:
		return s.count() == 0
	default:
		return false
	}
}

// retire retires the connections, except new ones whose request may be on its way.
func (s *Server) retire(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c := range s.conns {
		c.retire(now)
	}
}
