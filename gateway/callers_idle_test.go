package gateway

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// TestIdleLimitsSpareForwardedConnections guards against idle limits that close a connection which another gateway
// forwards, and on which a request may have arrived.
func TestIdleLimitsSpareForwardedConnections(t *testing.T) {
	i := &idleCallers{since: map[net.Conn]time.Time{}, limit: 1}
	peer, forwarded := net.Pipe()
	defer peer.Close()
	defer forwarded.Close()
	i.observe(forwarded, http.StateNew)
	i.trim(0)
	i.closeIdle(time.Now().Add(time.Hour), time.Second)
	go func() { _, _ = io.WriteString(peer, "GET") }()
	require.NoError(t, forwarded.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err := io.ReadFull(forwarded, make([]byte, 3))
	require.NoError(t, err)
	require.Equal(t, 1, i.count())
}

// TestReadDeadline guards against a time limit that ends the reading of a request which has arrived before the
// process had time to read it.
func TestReadDeadline(t *testing.T) {
	tests := []struct {
		name    string
		arrived string
		aborted bool // the HTTP server ends its reading ahead while it serves a request
		want    int
	}{
		{"a request has arrived", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", false, 27},
		{"nothing has arrived", "", false, 0},
		{"reading ahead is ended", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", true, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			caller, _ := dialCaller(t, l.Addr().String())
			accepted, err := l.Accept()
			require.NoError(t, err)
			c := &callerConn{Conn: accepted, admission: &admissionListener{}}
			defer c.Close()
			c.headRead.Store(test.aborted)
			_, err = io.WriteString(caller, test.arrived)
			require.NoError(t, err)
			require.Eventually(t, func() bool {
				n, _ := peek(accepted)
				return n == min(len(test.arrived), 1) || test.arrived == ""
			}, 5*time.Second, time.Millisecond)
			require.NoError(t, c.SetReadDeadline(time.Unix(1, 0)))
			buffer := make([]byte, 100)
			n, err := c.Read(buffer)
			require.Equal(t, test.want, n)
			if test.want == 0 {
				require.True(t, isTimeout(err), "%v", err)
				return
			}
			require.NoError(t, err)
			_, err = c.Read(buffer)
			require.True(t, isTimeout(err), "%v", err)
		})
	}
}

// TestIdleTimeoutChanges guards against a lowered limit that ends connections sooner than their callers expect, and
// against limits that no longer end connections after some changes.
func TestIdleTimeoutChanges(t *testing.T) {
	began := time.Now()
	at := func(s int) time.Time { return began.Add(time.Duration(s) * time.Second) }
	type change struct{ at, limit int } // in seconds
	tests := []struct {
		name    string
		changes []change
		since   int // when the connection became idle
		want    int // its limit
	}{
		{"no limit", nil, 5, 0},
		{"first configuration", []change{{10, 15}}, 5, 15},
		{"unchanged", []change{{10, 15}, {20, 15}, {30, 15}}, 25, 15},
		{"lowered while it is idle", []change{{0, 15}, {20, 4}}, 18, 15},
		{"lowered before", []change{{0, 15}, {20, 4}}, 21, 4},
		{"raised while it is idle", []change{{0, 4}, {20, 15}}, 18, 15},
		{"lowered twice while it is idle", []change{{0, 15}, {20, 8}, {21, 4}}, 18, 15},
		{"lowered twice, between", []change{{0, 15}, {20, 8}, {60, 4}}, 58, 8},
		{"lowered and raised", []change{{0, 15}, {20, 4}, {21, 6}}, 18, 15},
		{"no limit any more", []change{{0, 15}, {20, 0}}, 18, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var timeout idleTimeout
			for _, c := range test.changes {
				timeout.set(at(c.at), time.Duration(c.limit)*time.Second)
			}
			require.Equal(t, time.Duration(test.want)*time.Second, timeout.at(at(test.since)))
		})
	}
}

// TestRejectedWhileRetired guards against a connection that is closed without an answer: it is retired while it is to be
// forwarded, and rejected since no gateway takes it.
func TestRejectedWhileRetired(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	caller, _ := dialCaller(t, l.Addr().String())
	accepted, err := l.Accept()
	require.NoError(t, err)
	c := &callerConn{Conn: accepted, admission: &admissionListener{}}
	defer c.Close()
	c.retire()
	buffer := make([]byte, 100)
	_, err = c.ReadNow(buffer)
	require.Equal(t, unix.EAGAIN, err, "nothing has arrived")
	_, err = io.WriteString(caller, "GET")
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		n, err := c.ReadNow(buffer)
		return n == 3 && err == nil
	}, 5*time.Second, time.Millisecond)
}

// deadlineConn records the read deadline that was set last.
type deadlineConn struct {
	net.Conn
	data     string
	deadline time.Time
}

func (c *deadlineConn) Read(b []byte) (int, error)         { return copy(b, c.data), nil }
func (c *deadlineConn) SetReadDeadline(at time.Time) error { c.deadline = at; return nil }

// TestShortBeginningHasDeadline guards against kept connections that are never closed: of a next request so few bytes
// have arrived that the HTTP server sets no deadline yet, and the connection is not idle either.
func TestShortBeginningHasDeadline(t *testing.T) {
	tests := []struct {
		data string
		want bool
	}{{"G", true}, {"GET", true}, {"GET / HTTP/1.1\r\n", false}}
	for _, test := range tests {
		t.Run(test.data, func(t *testing.T) {
			conn := &deadlineConn{data: test.data}
			c := &callerConn{Conn: conn, admission: &admissionListener{}}
			c.stateChanged(http.StateIdle)
			n, err := c.Read(make([]byte, 100))
			require.NoError(t, err)
			require.Equal(t, len(test.data), n)
			require.Equal(t, test.want, !conn.deadline.IsZero())
			if test.want {
				require.WithinDuration(t, time.Now().Add(headerTimeout), conn.deadline, time.Second)
			}
		})
	}
}
