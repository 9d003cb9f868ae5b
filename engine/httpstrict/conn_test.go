package httpstrict_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"opalbridge.dev/engine/httpstrict"
)

// connect returns the two ends of a connection.
func connect(t *testing.T) (client *httpstrict.Conn, server *net.TCPConn) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	c, err := net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	s, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		c.Close()
		s.Close()
	})
	return httpstrict.NewConn(c), s.(*net.TCPConn)
}

// awaitState waits until the connection is in a state, a BPF_TCP constant.
func awaitState(t *testing.T, c *net.TCPConn, want uint8) {
	raw, err := c.SyscallConn()
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		var state uint8
		require.NoError(t, raw.Control(func(descriptor uintptr) {
			info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
			require.NoError(t, err)
			state = info.State
		}))
		return state == want
	}, 5*time.Second, time.Millisecond)
}

// TestEndOfStream checks that the end of the server's direction is told from a reset, also if a write
// meets the reset first.
func TestEndOfStream(t *testing.T) {
	const (
		part       = "a part"
		uploadSize = 16 << 20
	)
	tests := []struct {
		name string
		end  func(t *testing.T, c *net.TCPConn)
		lost bool
	}{
		{"ended, request not read", func(_ *testing.T, c *net.TCPConn) { _ = c.CloseWrite() }, false},
		{"ended, request read", func(_ *testing.T, c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.CopyN(io.Discard, c, uploadSize-1000)
		}, false},
		{"ended, then reset", func(t *testing.T, c *net.TCPConn) {
			_ = c.CloseWrite()
			awaitState(t, c, unix.BPF_TCP_FIN_WAIT2)
			c.Close()
		}, false},
		{"reset", func(_ *testing.T, c *net.TCPConn) {
			_ = c.SetLinger(0)
			c.Close()
		}, true},
		{"closed, request not read", func(_ *testing.T, c *net.TCPConn) { c.Close() }, true},
	}
	writes := []struct {
		name  string
		write func(c *httpstrict.Conn, text string) error
	}{
		{"at once", func(c *httpstrict.Conn, text string) error {
			_, err := io.WriteString(c, text)
			return err
		}},
		{"as buffers", func(c *httpstrict.Conn, text string) error {
			_, err := c.WriteBuffers(net.Buffers{[]byte(text[:100]), []byte(text[100:])})
			return err
		}},
	}
	for _, test := range tests {
		for _, w := range writes {
			t.Run(test.name+", written "+w.name, func(t *testing.T) {
				client, server := connect(t)
				require.NoError(t, server.SetReadBuffer(64<<10))
				written := make(chan error, 1)
				go func() { written <- w.write(client, strings.Repeat("x", uploadSize)) }()
				_, err := io.ReadFull(server, make([]byte, 1000))
				require.NoError(t, err)
				_, err = io.WriteString(server, part)
				require.NoError(t, err)
				test.end(t, server)
				if test.lost { // the write meets the reset, the worst case
					require.Error(t, <-written)
				}
				got, err := io.ReadAll(client)
				require.Equal(t, part, string(got))
				require.Equal(t, test.lost, err != nil, "%v", err)
				if !test.lost {
					client.Close()
					<-written
				}
			})
		}
	}
}

// TestPipe checks that a connection which is no socket is used as it is.
func TestPipe(t *testing.T) {
	c, s := net.Pipe()
	client := httpstrict.NewConn(c)
	s.Close()
	_, err := client.Write([]byte("x"))
	require.ErrorIs(t, err, io.ErrClosedPipe)
	_, err = client.Read(make([]byte, 1))
	require.Equal(t, io.EOF, err)
	_, err = client.SyscallConn()
	require.Error(t, err)
}
