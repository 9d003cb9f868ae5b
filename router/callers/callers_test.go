package callers_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/router/callers"
)

// slowListener stands for a process that is short of processor time: while it is suspended, connections are
// accepted and read late.
type slowListener struct {
	*net.TCPListener
	mutex   sync.Mutex
	resumed chan struct{} // closed while the listener is not suspended
	at      suspensionPoint
}

// suspensionPoint is where a process is suspended.
type suspensionPoint int

const (
	beforeRead   suspensionPoint = iota // requests have arrived and are not read
	afterRead                           // requests have been read, and nothing has been done with them
	beforeAccept                        // connections have arrived and are not accepted
)

func (l *slowListener) suspend(at suspensionPoint) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.resumed, l.at = make(chan struct{}), at
}

func (l *slowListener) resume() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	close(l.resumed)
}

// wait waits while the listener is suspended at a point.
func (l *slowListener) wait(at suspensionPoint) {
	l.mutex.Lock()
	resumed, waits := l.resumed, l.at == at
	l.mutex.Unlock()
	if waits && resumed != nil {
		<-resumed
	}
}

// Accept implements net.Listener.
func (l *slowListener) Accept() (net.Conn, error) {
	l.wait(beforeAccept)
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &slowConn{c, l}, nil
}

// slowConn is a connection of a slowListener.
type slowConn struct {
	*net.TCPConn
	listener *slowListener
}

// Read implements net.Conn.
func (c *slowConn) Read(b []byte) (int, error) {
	raw, err := c.SyscallConn()
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
	c.listener.wait(beforeRead)
	n, err := c.TCPConn.Read(b)
	if n > 0 {
		c.listener.wait(afterRead)
	}
	return n, err
}

// service is a server under test.
type service struct {
	*callers.Server
	t        *testing.T
	listener *slowListener
	config   *tls.Config // of clients; nil: no TLS
	entered  chan struct{}
	finish   chan struct{}
}

// startService starts a server. Its answers to /slow wait for finish.
func startService(t *testing.T, withTLS bool) *service {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	s := &service{t: t, listener: &slowListener{TCPListener: l.(*net.TCPListener)}, entered: make(chan struct{}, 1), finish: make(chan struct{})}
	s.Server = callers.NewServer(&http.Server{ReadHeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			s.entered <- struct{}{}
			<-s.finish
		}
		_, _ = io.WriteString(w, "done")
	})})
	var config *tls.Config
	if withTLS {
		certified := httptest.NewUnstartedServer(nil)
		certified.StartTLS()
		config, s.config = &tls.Config{Certificates: certified.TLS.Certificates}, certified.Client().Transport.(*http.Transport).TLSClientConfig.Clone()
		s.config.ServerName = "example.com"
		certified.Close()
	}
	served := make(chan error, 1)
	go func() { served <- s.Serve(s.listener, config) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = l.Close()
		_ = s.Stop(ctx)
		require.NoError(t, <-served)
	})
	return s
}

func (s *service) dial() net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp4", s.listener.Addr().String())
	require.NoError(s.t, err)
	s.t.Cleanup(func() { c.Close() })
	require.NoError(s.t, c.SetDeadline(time.Now().Add(10*time.Second)))
	if s.config != nil {
		return tls.Client(c, s.config)
	}
	return c
}

func (s *service) write(c net.Conn, request string) {
	s.t.Helper()
	_, err := io.WriteString(c, request)
	require.NoError(s.t, err)
}

func (s *service) requireAnswer(r *bufio.Reader) *http.Response {
	s.t.Helper()
	response, err := http.ReadResponse(r, nil)
	require.NoError(s.t, err, "a request that had arrived got no answer")
	body, err := io.ReadAll(response.Body)
	require.NoError(s.t, err)
	require.Equal(s.t, "done", string(body))
	return response
}

// stop stops the server. The channel receives the result.
func (s *service) stop() <-chan error {
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
		defer cancel()
		stopped <- s.Stop(ctx)
	}()
	return stopped
}

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// TestStopAnswersArrivedRequests guards against a stop that closes connections on which requests have arrived.
func TestStopAnswersArrivedRequests(t *testing.T) {
	tests := []struct {
		name  string
		tls   bool
		kept  bool // the connection has served a request before
		at    suspensionPoint
		early int // bytes of the request that arrive before the process is suspended
	}{
		{"kept connection, unread", false, true, beforeRead, 0},
		{"kept connection, just read", false, true, afterRead, 0},
		{"kept connection, head read in part", false, true, beforeRead, 10},
		{"new connection, unread", false, false, beforeRead, 0},
		{"new connection, just read", false, false, afterRead, 0},
		{"new connection, head read in part", false, false, beforeRead, 10},
		{"new connection, not accepted", false, false, beforeAccept, 0},
		{"TLS, kept connection, unread", true, true, beforeRead, 0},
		{"TLS, kept connection, just read", true, true, afterRead, 0},
		{"TLS, kept connection, head read in part", true, true, beforeRead, 10},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := startService(t, test.tls)
			if test.at == beforeAccept {
				s.listener.suspend(test.at)
				s.dial().Close() // accepted by the call that was waiting
				time.Sleep(50 * time.Millisecond)
			}
			c := s.dial()
			reader := bufio.NewReader(c)
			if test.kept {
				s.write(c, request)
				require.False(t, s.requireAnswer(reader).Close)
			}
			s.write(c, request[:test.early])
			time.Sleep(400 * time.Millisecond) // the connection is not new any more
			if test.at != beforeAccept {
				s.listener.suspend(test.at)
			}
			s.write(c, request[test.early:])
			time.Sleep(50 * time.Millisecond)
			stopped := s.stop()
			time.Sleep(100 * time.Millisecond)
			s.listener.resume()
			require.True(t, s.requireAnswer(reader).Close)
			require.NoError(t, <-stopped)
		})
	}
}

// TestStopWaitsForAnswers guards against a stop that cuts an answer that is being written.
func TestStopWaitsForAnswers(t *testing.T) {
	s := startService(t, false)
	c := s.dial()
	s.write(c, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	<-s.entered
	stopped := s.stop()
	time.Sleep(100 * time.Millisecond)
	close(s.finish)
	s.requireAnswer(bufio.NewReader(c))
	require.NoError(t, <-stopped)
}

// TestStopEndsIdleConnections guards against a stop that waits for connections on which nothing arrives.
func TestStopEndsIdleConnections(t *testing.T) {
	for _, withTLS := range []bool{false, true} {
		s := startService(t, withTLS)
		kept := s.dial()
		s.write(kept, request)
		s.requireAnswer(bufio.NewReader(kept))
		s.dial() // sends nothing
		time.Sleep(50 * time.Millisecond)
		began := time.Now()
		require.NoError(t, <-s.stop())
		require.Less(t, time.Since(began), 3*time.Second)
	}
}

// TestStopReportsConnectionsLeft guards against a stop that waits longer than it may.
func TestStopReportsConnectionsLeft(t *testing.T) {
	s := startService(t, false)
	c := s.dial()
	s.write(c, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	<-s.entered
	defer close(s.finish)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	require.Error(t, s.Stop(ctx))
	_, err := c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}
