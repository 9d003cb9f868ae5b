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
	return drainer{listener: a, served: &idleCallers{since: map[net.Conn]time.Time{}, limit: 100}, offloader: &offloader{}}
}

func listenLocal(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	return l.(*net.TCPListener)
}

// dialCaller connects to a listener and writes text.
func dialCaller(t *testing.T, l net.Listener, text string) net.Conn {
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
	caller := dialCaller(t, d.listener, drainRequest)
	accepted, err := d.listener.Accept()
	require.NoError(t, err)
	c := accepted.(*callerConn)
	d.listener.open.retire(c.accepted.Add(newConnTime))
	d.listener.reject(c) // as when no gateway takes it
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
}
