package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/handoff"
	"opalbridge.dev/gateway/reject"
)

const drainRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// newDrainer returns a drainer of a listener's connections, with a rejecter that runs.
func newDrainer(t *testing.T, l net.Listener) drainer {
	t.Helper()
	a := &admissionListener{
		Listener: l, capacity: capacity{connections: 100}, overload: &overload{}, unread: unreadConns{since: map[*callerConn]time.Time{}},
		rejecter: reject.New(reject.Options{Reason: rejectReason, IDHeader: "Id", Log: zerolog.Nop(), OnRejected: func() {}}),
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		a.rejecter.Run(ctx)
		close(ended)
	}()
	t.Cleanup(func() {
		stop()
		<-ended
		a.Close()
	})
	forwarded := &forwardedListener{Listener: handoff.NewListener(l.Addr())}
	forwarded.ended.Store(true)
	return drainer{listener: a, forwarded: forwarded, served: &idleCallers{since: map[net.Conn]time.Time{}, limit: 100}, offloader: &offloader{}}
}

func listenLocal(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	return l.(*net.TCPListener)
}

// dialAndWrite connects to a listener and writes text.
func dialAndWrite(t *testing.T, l net.Listener, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	return c
}

// TestRejectRetiredConnection guards against a rejecter that can't read the request on a connection that is being retired.
func TestRejectRetiredConnection(t *testing.T) {
	d := newDrainer(t, listenLocal(t))
	caller := dialAndWrite(t, d.listener, drainRequest)
	accepted, err := d.listener.Accept()
	require.NoError(t, err)
	c := accepted.(*callerConn)
	d.listener.open.retire(c.accepted.Add(newConnTime))
	d.listener.reject(c) // as when no gateway takes it
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
}

// lateListener stands for a process that is short of processor time: its accepts return late.
type lateListener struct {
	*net.TCPListener
	accepted chan struct{} // receives when a connection has been accepted
	resumed  chan struct{} // closed when accepts return
}

// Accept implements net.Listener.
func (l *lateListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil {
		l.accepted <- struct{}{}
		<-l.resumed
	}
	return c, err
}

// TestDrainCountsAcceptedConnections guards against a stop that ends before the HTTP server knows of all accepted connections.
func TestDrainCountsAcceptedConnections(t *testing.T) {
	l := &lateListener{TCPListener: listenLocal(t), accepted: make(chan struct{}, 1), resumed: make(chan struct{})}
	d := newDrainer(t, l)
	conns := make(chan net.Conn, 1)
	ended := make(chan error, 1)
	go func() {
		for {
			c, err := d.listener.Accept()
			if err != nil {
				ended <- err
				return
			}
			conns <- c
		}
	}()
	dialAndWrite(t, l, drainRequest)
	<-l.accepted
	require.NoError(t, d.listener.stop())
	require.False(t, d.done(), "a connection is being accepted")
	close(l.resumed)
	c := <-conns
	require.ErrorIs(t, <-ended, http.ErrServerClosed)
	require.False(t, d.done(), "a connection has been accepted, and the HTTP server does not have it yet")
	c.Close()
	require.True(t, d.done())
}

// slowCloser is a listener whose Close is held up.
type slowCloser struct {
	*net.TCPListener
	closing chan struct{} // receives when Close has been called
	resumed chan struct{} // closed when it goes on
}

// Close implements net.Listener.
func (l *slowCloser) Close() error {
	select {
	case l.closing <- struct{}{}:
	default: // called again
	}
	<-l.resumed
	return l.TCPListener.Close()
}

// TestStopResetsNoLateConnection guards against connections that are made, and reset, after the accept queue was emptied.
func TestStopResetsNoLateConnection(t *testing.T) {
	l := &slowCloser{TCPListener: listenLocal(t), closing: make(chan struct{}, 1), resumed: make(chan struct{})}
	d := newDrainer(t, l)
	stopped := make(chan error, 1)
	go func() { stopped <- d.listener.stop() }()
	<-l.closing
	c, err := net.Dial("tcp4", l.Addr().String())
	if err == nil {
		defer c.Close()
	}
	close(l.resumed)
	require.NoError(t, <-stopped)
	require.Error(t, err, "connected to a listener that accepts nothing any more")
}

// TestRetireBufferedRequest guards against the end of a connection whose next request the HTTP server has buffered.
func TestRetireBufferedRequest(t *testing.T) {
	tests := []struct {
		name                string
		first, second, rest string // written at first, while the first request is handled, and after its response
	}{
		{"whole", drainRequest + drainRequest, "", ""},
		{"one byte", drainRequest, drainRequest[:1], drainRequest[1:]},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := newDrainer(t, listenLocal(t))
			handling := make(chan struct{}, 2)
			server := &http.Server{
				Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					handling <- struct{}{}
					time.Sleep(50 * time.Millisecond) // the server reads ahead meanwhile
					r.Context().Value(connKey{}).(*callerConn).handled()
				}),
				ConnContext: withConn,
				ConnState: func(c net.Conn, s http.ConnState) {
					d.served.observe(c, s)
					if s == http.StateIdle {
						c.(*callerConn).retire()
					}
				},
			}
			ended := make(chan error, 1)
			go func() { ended <- server.Serve(d.listener) }()
			defer func() {
				server.Close()
				require.ErrorIs(t, <-ended, http.ErrServerClosed)
			}()
			caller := dialAndWrite(t, d.listener, test.first)
			<-handling
			_, err := io.WriteString(caller, test.second)
			require.NoError(t, err)
			reader := bufio.NewReader(caller)
			_, err = http.ReadResponse(reader, nil)
			require.NoError(t, err)
			time.Sleep(20 * time.Millisecond)
			_, err = io.WriteString(caller, test.rest)
			require.NoError(t, err)
			_, err = http.ReadResponse(reader, nil)
			require.NoError(t, err, "the second request had arrived and got no answer")
		})
	}
}
