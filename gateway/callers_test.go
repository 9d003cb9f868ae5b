package gateway

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// TestCallerKeepalive checks that callers' connections are probed, so that a caller that
// vanishes without a reset does not keep a server busy.
func TestCallerKeepalive(t *testing.T) {
	l, err := ListenCallers("127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	caller, err := net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	defer caller.Close()
	accepted, err := l.Accept()
	require.NoError(t, err)
	defer accepted.Close()
	raw, err := accepted.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) {
		got, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		require.NoError(t, err)
		require.EqualValues(t, callerKeepAlive.UserTimeout.Milliseconds(), got)
		probed, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE)
		require.NoError(t, err)
		require.Equal(t, 1, probed)
	}))
}
