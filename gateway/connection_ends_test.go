package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"opalbridge.dev/gateway/memory"
)

// startCallerServer starts an HTTP server behind an admission listener with a memory budget.
func startCallerServer(t *testing.T, b *memory.Budget, headerTimeout time.Duration) (address string) {
	t.Helper()
	l, err := ListenCallers("127.0.0.1:0")
	require.NoError(t, err)
	idle := &idleCallers{since: map[net.Conn]time.Time{}, limit: 100}
	a := &admissionListener{Listener: l, capacity: capacity{connections: 100}, memory: b, overload: &overload{}, unread: unreadConns{since: map[*callerConn]time.Time{}}}
	server := &http.Server{
		Handler:     http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }),
		ConnState:   idle.observe,
		ConnContext: withConn, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(a) }()
	t.Cleanup(func() {
		server.Close()
		require.ErrorIs(t, <-ended, http.ErrServerClosed)
	})
	return l.Addr().String()
}

// dialCaller connects to a server as a caller does.
func dialCaller(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	return c, bufio.NewReader(c)
}

// TestNoMemoryForHeads guards against proper requests that get 400, or no answer, because the memory for their heads is in use.
func TestNoMemoryForHeads(t *testing.T) {
	const begin = "GET / HTTP/1.1\r\nHost: h\r\n"
	fields := strings.Repeat("A: "+strings.Repeat("x", 1000)+"\r\n", 20)
	tests := []struct {
		name   string
		kept   bool // the connection has served a request before
		pieces []string
	}{
		{"new connection", false, []string{begin + fields + "\r\n"}},
		{"kept connection", true, []string{begin + fields + "\r\n"}},
		{"in pieces", true, []string{begin, fields, "\r\n"}},
		{"with a body", false, []string{begin + "Content-Length: 200000\r\n" + fields + "\r\n" + strings.Repeat("x", 100000), strings.Repeat("x", 100000)}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := memory.NewBudget(10 << 10)
			c, reader := dialCaller(t, startCallerServer(t, b, headerTimeout))
			if test.kept {
				_, err := io.WriteString(c, begin+"\r\n")
				require.NoError(t, err)
				response, err := http.ReadResponse(reader, nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, response.StatusCode)
			}
			for _, p := range test.pieces {
				_, err := io.WriteString(c, p)
				require.NoError(t, err)
				time.Sleep(20 * time.Millisecond)
			}
			response, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			require.NotEmpty(t, response.Header.Get("Retry-After"))
			require.True(t, response.Close)
			_, err = io.ReadAll(response.Body)
			require.NoError(t, err)
			_, err = reader.ReadByte()
			require.ErrorIs(t, err, io.EOF, "a reset may destroy the answer on its way")
			c.Close()
			require.Eventually(t, func() bool { return b.Used() == 0 }, 5*time.Second, time.Millisecond)
		})
	}
}

// TestByteReadAhead guards against a connection that is closed as idle although the HTTP server has read the first byte
// of a next request while it ended the response to the last one.
func TestByteReadAhead(t *testing.T) {
	l, err := ListenCallers("127.0.0.1:0")
	require.NoError(t, err)
	idle := &idleCallers{since: map[net.Conn]time.Time{}, limit: 100}
	a := &admissionListener{Listener: l, capacity: capacity{connections: 100}, overload: &overload{}, unread: unreadConns{since: map[*callerConn]time.Time{}}}
	entered, leave := make(chan *callerConn, 2), make(chan struct{}, 2)
	server := &http.Server{
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			conn := r.Context().Value(connKey{}).(*callerConn)
			conn.handled()
			entered <- conn
			<-leave
		}),
		ConnState: idle.observe, ConnContext: withConn,
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(a) }()
	t.Cleanup(func() {
		server.Close()
		require.ErrorIs(t, <-ended, http.ErrServerClosed)
	})
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	c, reader := dialCaller(t, l.Addr().String())
	_, err = io.WriteString(c, request)
	require.NoError(t, err)
	conn := <-entered
	_, err = io.WriteString(c, request[:1])
	require.NoError(t, err)
	require.Eventually(t, func() bool { // until it has been read
		_, err := peek(conn.Conn)
		return err == unix.EAGAIN
	}, 5*time.Second, time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	leave <- struct{}{}
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Eventually(t, func() bool { // until the HTTP server awaits the next request
		idle.mutex.Lock()
		defer idle.mutex.Unlock()
		return len(idle.since) == 1
	}, 5*time.Second, time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	conn.retire()
	time.Sleep(50 * time.Millisecond)
	leave <- struct{}{}
	_, err = io.WriteString(c, request[1:])
	require.NoError(t, err)
	response, err = http.ReadResponse(reader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
}
