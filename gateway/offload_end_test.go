package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/peer"
)

const shortRequest = "GET /x HTTP/1.1\r\nHost: h\r\nId: a\r\n\r\n"

// dial connects a caller.
func (s *overloadedGateway) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", s.address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	return c
}

// dialOffloaded connects a caller whose connection has been offloaded, and sends nothing.
func (s *overloadedGateway) dialOffloaded(t *testing.T) net.Conn {
	t.Helper()
	before := s.offloader.active.Load()
	c := s.dial(t)
	require.Eventually(t, func() bool { return s.offloader.active.Load() == before+1 }, 2*time.Second, time.Millisecond)
	time.Sleep(50 * time.Millisecond) // until the other gateway has accepted it
	return c
}

// exchange sends a request and reads the whole response.
func exchange(t *testing.T, c net.Conn, request string) *http.Response {
	t.Helper()
	_, err := io.WriteString(c, request)
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err, "a request that had arrived got no answer")
	_, err = io.ReadAll(response.Body)
	require.NoError(t, err)
	return response
}

// TestStreamEndsBeforeRequest guards against a caller's connection that is closed, whatever has arrived on it, because
// the gateway that was to serve it has ended.
func TestStreamEndsBeforeRequest(t *testing.T) {
	tests := []struct {
		name string
		end  func(s *overloadedGateway)
	}{
		{"the connection is closed", func(s *overloadedGateway) { s.server.Close() }},
		{"the link breaks", func(s *overloadedGateway) { s.offloader.forwarder.Close() }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := startOverloaded(t, echo)
			c := s.dialOffloaded(t)
			test.end(s)
			time.Sleep(50 * time.Millisecond)
			response := exchange(t, c, shortRequest)
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			require.NotEmpty(t, response.Header.Get("Retry-After"))
			require.True(t, response.Close)
		})
	}
}

// TestRetiredWhileRejected guards against a stop that ends the reading from a connection that is being rejected, so
// that its request gets no answer.
func TestRetiredWhileRejected(t *testing.T) {
	s := startOverloaded(t, echo)
	s.offloader.targets.update(time.Now(), peer.Update{From: "127.0.0.2"})
	s.offloader.targets.update(time.Now(), peer.Update{From: failingAddress, Hall: "h", Alive: true, Full: true, Weight: 1})
	c := s.dial(t) // the gateway that is chosen refuses connections
	require.Eventually(t, func() bool { return s.admission.rejecter.Pending() == 1 }, 2*time.Second, time.Millisecond)
	s.admission.open.retire(time.Now().Add(time.Minute))
	time.Sleep(20 * time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, exchange(t, c, shortRequest).StatusCode)
}

// TestIdleLimitSparesForwardedRequest guards against an idle limit that closes a forwarded connection of whose request
// a part has been read.
func TestIdleLimitSparesForwardedRequest(t *testing.T) {
	s := startOverloaded(t, echo)
	c := s.dialOffloaded(t)
	_, err := io.WriteString(c, shortRequest[:10])
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond) // until it has been read
	s.idle.closeIdleSince(time.Now())
	require.Equal(t, http.StatusOK, exchange(t, c, shortRequest[10:]).StatusCode)
}
