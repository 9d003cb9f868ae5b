package reject_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"opalbridge.dev/gateway/reject"
)

// startRejecter starts a rejecter, to which all connections to the address are passed.
func startRejecter(t *testing.T, log zerolog.Logger) (address string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	r := reject.New(reject.Options{Reason: "short of processor", RetryAfter: 150 * time.Millisecond, IDHeader: "Id", Log: log, OnRejected: func() {}})
	ctx, stop := context.WithCancel(context.Background())
	ended, accepted := make(chan struct{}), make(chan error, 1)
	go func() {
		r.Run(ctx)
		close(ended)
	}()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				accepted <- err
				return
			}
			s, err := socketOf(c.(*net.TCPConn))
			if err != nil {
				accepted <- err
				return
			}
			r.Reject(s)
		}
	}()
	t.Cleanup(func() {
		l.Close()
		require.ErrorIs(t, <-accepted, net.ErrClosed)
		require.Eventually(t, func() bool { return r.Pending() == 0 }, 5*time.Second, 5*time.Millisecond)
		stop()
		<-ended
	})
	return l.Addr().String()
}

// socketOf returns the socket of a connection, which it closes.
func socketOf(c *net.TCPConn) (s reject.Socket, err error) {
	defer c.Close()
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		var copied int
		copied, err = unix.Dup(int(fd))
		s = reject.Socket(copied)
	})
	if controlErr != nil {
		return 0, controlErr
	}
	return s, err
}

// TestAnswerIsNotReset guards against a reset that destroys the answer on its way: the connection is closed while
// bytes of its request are unread or still come.
func TestAnswerIsNotReset(t *testing.T) {
	address := startRejecter(t, zerolog.Nop())
	const begin = "POST / HTTP/1.1\r\nHost: h\r\n"
	long := strings.Repeat("x", 100000)
	type piece struct {
		text string
		wait time.Duration // after it
	}
	const pause = reject.Timeout + 200*time.Millisecond
	tests := []struct {
		name   string
		pieces []piece
	}{
		{"slow body", []piece{{begin + "Content-Length: 9\r\n\r\nabc", pause}, {"def", 50 * time.Millisecond}, {"ghi", 0}}},
		{"slow chunked body", []piece{{begin + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", pause}, {"3\r\ndef\r\n", 50 * time.Millisecond}, {"0\r\n\r\n", 0}}},
		{"chunk that looks like the last one", []piece{{begin + "Transfer-Encoding: chunked\r\n\r\na\r\n123450\r\n\r\n", 50 * time.Millisecond}, {"\r\n3\r\nabc\r\n", 50 * time.Millisecond}, {"0\r\n\r\n", 0}}},
		{"long head", []piece{{begin + "A: " + long, 50 * time.Millisecond}, {"\r\n\r\n", 0}}},
		{"body although 100 Continue was awaited", []piece{{begin + "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n", 50 * time.Millisecond}, {"a", 50 * time.Millisecond}, {"bc", 0}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c, err := net.Dial("tcp4", address)
			require.NoError(t, err)
			defer c.Close()
			require.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
			for _, p := range test.pieces {
				_, err := io.WriteString(c, p.text)
				require.NoError(t, err)
				time.Sleep(p.wait)
			}
			reader := bufio.NewReader(c)
			response, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			_, err = io.ReadAll(response.Body)
			require.NoError(t, err)
			_, err = reader.ReadByte()
			require.ErrorIs(t, err, io.EOF)
		})
	}
}

// TestSlowRequestsDelayNoOthers guards against rejected connections whose requests never end and that keep others waiting.
func TestSlowRequestsDelayNoOthers(t *testing.T) {
	address := startRejecter(t, zerolog.Nop())
	const many = 700
	for range many {
		c, err := net.Dial("tcp4", address)
		require.NoError(t, err)
		defer c.Close()
		fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc")
	}
	began := time.Now()
	c, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(began.Add(5*time.Second)))
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	// Two batches of connections wait for their requests before it. It takes 2.6 s if they wait until they are closed.
	require.Less(t, time.Since(began), 2*time.Second)
}

// lockedBuffer is a log.
type lockedBuffer struct {
	mutex sync.Mutex
	text  strings.Builder
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) contains(s string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return strings.Contains(b.text.String(), s)
}

// TestLastRejectedIsLogged guards against rejected requests that no line names, since no other one follows.
func TestLastRejectedIsLogged(t *testing.T) {
	var log lockedBuffer
	address := startRejecter(t, zerolog.New(&log))
	for n := range 5 {
		c, err := net.Dial("tcp4", address)
		require.NoError(t, err)
		defer c.Close()
		fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\nId: request-%d\r\n\r\n", n)
		_, err = http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return log.contains("request-4") }, 2*time.Second, 5*time.Millisecond)
}
