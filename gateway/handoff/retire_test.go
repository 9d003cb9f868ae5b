package handoff_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/handoff"
)

// startListener starts a fleet whose serving gateway leaves the accepted connections to the test.
func startListener(t *testing.T) (*fleet, *handoff.Listener) {
	t.Helper()
	peers, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	front, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, breakLinks := context.WithCancel(context.Background())
	l := handoff.NewListener(peers.Addr())
	links := &http.Server{Handler: serveLinks(ctx, l)}
	errs := make(chan error, 1)
	go func() { errs <- links.Serve(peers) }()
	f := &fleet{t: t, forwarder: handoff.NewForwarder(), peer: peers.Addr().String(), front: front, results: make(chan error, 100), breakLinks: breakLinks}
	go f.accept()
	t.Cleanup(func() {
		front.Close()
		f.forwarder.Close()
		breakLinks()
		l.Close()
		links.Close()
		<-errs
	})
	return f, l
}

// accept accepts a connection that has been forwarded.
func accept(t *testing.T, l *handoff.Listener) *handoff.Conn {
	t.Helper()
	accepted := make(chan net.Conn, 1)
	go func() {
		if c, err := l.Accept(); err == nil {
			accepted <- c
		}
	}()
	select {
	case c := <-accepted:
		t.Cleanup(func() { c.Close() })
		return c.(*handoff.Conn)
	case <-time.After(5 * time.Second):
		require.FailNow(t, "no connection has been forwarded")
		return nil
	}
}

// serveOnce reads a request and answers it.
func serveOnce(c net.Conn) {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
}

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// TestRetire guards against a connection that is ended although a request has arrived on it, or is not ended although
// none has.
func TestRetire(t *testing.T) {
	tests := []struct {
		name      string
		early     int  // bytes of the request that have arrived before the connection is retired
		readsLate bool // they are not read before
		givenBack bool
	}{
		{"nothing has arrived", 0, false, true},
		{"nothing has arrived, read late", 0, true, true},
		{"the request has arrived", len(request), true, false},
		{"part of the request has arrived", 10, true, false},
		{"part of the request has been read", 10, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f, l := startListener(t)
			c := f.dial()
			served := accept(t, l)
			require.NoError(t, served.SetReadDeadline(time.Now().Add(time.Minute)))
			done := make(chan struct{})
			serve := func() {
				serveOnce(served)
				close(done)
			}
			if !test.readsLate {
				go serve()
			}
			_, err := io.WriteString(c, request[:test.early])
			require.NoError(t, err)
			time.Sleep(50 * time.Millisecond) // until it has crossed the link
			served.Retire()
			served.Retire()
			if test.readsLate {
				go serve()
			}
			if test.givenBack {
				select {
				case err := <-f.results:
					require.ErrorIs(t, err, handoff.ErrNotForwarded)
				case <-time.After(2 * time.Second):
					require.Fail(t, "the connection has not ended")
				}
				<-done
				return
			}
			time.Sleep(50 * time.Millisecond)
			_, err = io.WriteString(c, request[test.early:])
			require.NoError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.StatusCode)
			<-done
		})
	}
}

// TestUnreadRequestIsRefused guards against a 502, or no answer, to a request that reaches a connection that is closed
// before anything of it has been read: it has not run.
func TestUnreadRequestIsRefused(t *testing.T) {
	tests := []struct {
		name  string
		close func(l *handoff.Listener, accept func() *handoff.Conn)
	}{
		{"the connection is closed", func(_ *handoff.Listener, accept func() *handoff.Conn) { accept().Close() }},
		{"the listener is closed", func(l *handoff.Listener, _ func() *handoff.Conn) { l.Close() }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f, l := startListener(t)
			c := f.dial()
			_, err := io.WriteString(c, request)
			require.NoError(t, err)
			time.Sleep(50 * time.Millisecond) // until it has been forwarded
			test.close(l, func() *handoff.Conn { return accept(t, l) })
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			require.NotEmpty(t, response.Header.Get("Retry-After"))
			require.True(t, response.Close)
		})
	}
}

// TestClosedListenerTakesNoStreams guards against requests that are forwarded to a gateway that will not serve them.
func TestClosedListenerTakesNoStreams(t *testing.T) {
	f, l := startListener(t)
	first := f.dial()
	served := accept(t, l)
	l.Close()
	time.Sleep(50 * time.Millisecond)
	c := f.dial()
	_, err := io.WriteString(c, request)
	require.NoError(t, err)
	select {
	case err := <-f.results:
		require.ErrorIs(t, err, handoff.ErrNotForwarded)
	case <-time.After(2 * time.Second):
		require.Fail(t, "the connection has been forwarded")
	}
	go serveOnce(served) // it was accepted before
	_, err = io.WriteString(first, request)
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(first), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// TestResetStreamIsRefused guards against a 502 to a request on a stream that the other gateway has not accepted.
func TestResetStreamIsRefused(t *testing.T) {
	peers, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer peers.Close()
	sessions := make(chan *yamux.Session, 1)
	go func() {
		conn, err := peers.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\n\r\n")
		config := yamux.DefaultConfig()
		config.AcceptBacklog, config.LogOutput = 1, io.Discard // the second stream is reset
		session, err := yamux.Server(conn, config)
		if err == nil {
			sessions <- session
		}
	}()
	front, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer front.Close()
	f := &fleet{t: t, forwarder: handoff.NewForwarder(), peer: peers.Addr().String(), front: front, results: make(chan error, 2)}
	go f.accept()
	f.dial()
	session := <-sessions
	defer f.forwarder.Close()
	defer session.Close()
	require.Eventually(t, func() bool { return session.NumStreams() == 1 }, 2*time.Second, time.Millisecond)
	caller, forwarded := net.Pipe()
	defer caller.Close()
	stream, err := f.forwarder.Open(t.Context(), f.peer)
	require.NoError(t, err)
	answers := make(chan int, 1)
	go func() {
		response, err := http.ReadResponse(bufio.NewReader(caller), nil)
		if err == nil {
			answers <- response.StatusCode
		}
	}()
	_, err = stream.Forward(&eagerConn{Conn: forwarded, request: request})
	if errors.Is(err, handoff.ErrNotForwarded) {
		return // the reset was seen before the request was sent
	}
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, <-answers)
}

// eagerConn is a caller's connection on which a request has arrived.
type eagerConn struct {
	net.Conn
	request string
}

// Read implements net.Conn.
func (c *eagerConn) Read(b []byte) (int, error) {
	if c.request == "" {
		return c.Conn.Read(b)
	}
	n := copy(b, c.request)
	c.request = c.request[n:]
	return n, nil
}

// TestEarlyAnswerIsNotReset guards against an answer that is destroyed by a reset since its caller still sends, and
// against a connection that is kept although both sides have ended.
func TestEarlyAnswerIsNotReset(t *testing.T) {
	const size = 1 << 20 // more than a stream takes that nobody reads
	tests := []struct {
		name   string
		serve  func(c net.Conn)
		status int
	}{
		{"not served", func(c net.Conn) { c.Close() }, http.StatusServiceUnavailable},
		{"answered early", func(c net.Conn) {
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, "HTTP/1.1 413 Too Long\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
			c.Close()
		}, http.StatusRequestEntityTooLarge},
		{"not answered", func(c net.Conn) {
			_, _ = http.ReadRequest(bufio.NewReader(c))
			c.Close()
		}, http.StatusBadGateway},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f, l := startListener(t)
			c := f.dial()
			body := strings.Repeat("x", size)
			_, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, body[:size/2])
			require.NoError(t, err)
			time.Sleep(50 * time.Millisecond)
			test.serve(accept(t, l))
			time.Sleep(200 * time.Millisecond)
			_, err = io.WriteString(c, body[size/2:size-1])
			require.NoError(t, err)
			time.Sleep(50 * time.Millisecond)
			_, err = io.WriteString(c, body[size-1:])
			require.NoError(t, err)
			reader := bufio.NewReader(c)
			response, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			require.Equal(t, test.status, response.StatusCode)
			_, err = io.ReadAll(response.Body)
			require.NoError(t, err)
			_, err = reader.ReadByte()
			require.ErrorIs(t, err, io.EOF)
			select {
			case err := <-f.results:
				require.NoError(t, err)
			case <-time.After(3 * time.Second):
				require.Fail(t, "the connection is kept")
			}
		})
	}
}
