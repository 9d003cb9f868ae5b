package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// TestCallersAreWatched: a connection that a caller opens is probed, so that one that goes
// silent for good does not keep a server at work.
func TestCallersAreWatched(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	accepted := make(chan net.Conn, 1)
	s := &http.Server{ConnContext: quiet(t).watchCaller, ReadHeaderTimeout: time.Second, ConnState: func(c net.Conn, state http.ConnState) {
		if state == http.StateActive {
			accepted <- c
		}
	}}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	answer, err := http.Get("http://" + l.Addr().String())
	require.NoError(t, err)
	answer.Body.Close()
	raw, err := (<-accepted).(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) {
		got, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		require.NoError(t, err)
		require.EqualValues(t, callerSilence.Unacknowledged.Milliseconds(), got)
	}))
	require.NoError(t, s.Close())
	require.ErrorIs(t, <-ended, http.ErrServerClosed)
}
