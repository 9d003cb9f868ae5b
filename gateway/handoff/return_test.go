package handoff_test

import (
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/handoff"
)

// lateCaller is a caller whose request arrives at the moment at which the forwarding ends.
type lateCaller struct {
	net.Conn
	request string
	ended   chan struct{} // closed when a read deadline is set
	once    sync.Once
	mutex   sync.Mutex
	closed  bool
}

// SetReadDeadline implements net.Conn.
func (c *lateCaller) SetReadDeadline(time.Time) error {
	c.once.Do(func() { close(c.ended) })
	return nil
}

// Read implements net.Conn.
func (c *lateCaller) Read(b []byte) (int, error) {
	<-c.ended
	if c.request == "" {
		return 0, os.ErrDeadlineExceeded
	}
	n := copy(b, c.request)
	c.request = c.request[n:]
	return n, nil
}

// Close implements net.Conn.
func (c *lateCaller) Close() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	return nil
}

func (c *lateCaller) isClosed() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.closed
}

// TestLateRequestIsReturned guards against a request that is forwarded, or dropped, although its stream has ended.
func TestLateRequestIsReturned(t *testing.T) {
	for _, request := range []string{"", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"} {
		f := start(t, func(http.ResponseWriter, *http.Request) {})
		c := &lateCaller{request: request, ended: make(chan struct{})}
		s, err := f.forwarder.Open(t.Context(), f.peer)
		require.NoError(t, err)
		f.breakLinks()
		read, err := s.Forward(c)
		require.ErrorIs(t, err, handoff.ErrNotForwarded)
		require.Equal(t, request, string(read))
		require.False(t, c.isClosed())
	}
}
