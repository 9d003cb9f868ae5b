package upstream_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"opalbridge.dev/gateway/upstream"
)

// TestListenerKeepAlive checks that accepted connections inherit the keep-alive options of their
// listener.
func TestListenerKeepAlive(t *testing.T) {
	keepAlive := upstream.KeepAlive{UserTimeout: 4 * time.Second, Idle: 2 * time.Second, Interval: time.Second, Count: 3}
	config := net.ListenConfig{KeepAlive: -1, Control: keepAlive.Control}
	l, err := config.Listen(t.Context(), "tcp4", "127.0.0.1:0")
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
	tests := []struct {
		name   string
		option int
		want   int
	}{
		{"unacknowledged, ms", unix.TCP_USER_TIMEOUT, 4000},
		{"idle, s", unix.TCP_KEEPIDLE, 2},
		{"interval, s", unix.TCP_KEEPINTVL, 1},
		{"probes", unix.TCP_KEEPCNT, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.NoError(t, raw.Control(func(fd uintptr) {
				got, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, test.option)
				require.NoError(t, err)
				require.Equal(t, test.want, got)
			}))
		})
	}
}
