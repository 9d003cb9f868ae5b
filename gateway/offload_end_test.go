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
	s.idle.closeIdle(time.Now().Add(time.Minute), time.Millisecond)
	require.Equal(t, http.StatusOK, exchange(t, c, shortRequest[10:]).StatusCode)
}

// TestTunnelsAreRetired guards against a stopping gateway that keeps the tunnel of a silent caller, or ends one on
// which a request has arrived.
func TestTunnelsAreRetired(t *testing.T) {
	retire := func(s *overloadedGateway) { s.admission.open.retire(time.Now().Add(time.Minute)) }
	tests := []struct {
		name  string
		early int // bytes of the request that have been forwarded before
		ends  bool
	}{
		{"nothing has arrived", 0, true},
		{"part of the request has been forwarded", 10, false},
		{"the request is being served", len(shortRequest), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := startOverloaded(t, func(w http.ResponseWriter, r *http.Request) {
				select {
				case <-r.Context().Done():
					panic(http.ErrAbortHandler)
				case <-time.After(200 * time.Millisecond):
					w.Header().Set("Connection", "close")
				}
			})
			c := s.dialOffloaded(t)
			_, err := io.WriteString(c, shortRequest[:test.early])
			require.NoError(t, err)
			time.Sleep(50 * time.Millisecond)
			retire(s)
			if !test.ends {
				time.Sleep(50 * time.Millisecond)
				require.Equal(t, http.StatusOK, exchange(t, c, shortRequest[test.early:]).StatusCode)
			}
			require.Eventually(t, func() bool { return s.offloader.active.Load() == 0 }, 500*time.Millisecond, time.Millisecond)
			_, err = c.Read(make([]byte, 1))
			require.ErrorIs(t, err, io.EOF)
			require.Zero(t, s.admission.rejecter.Pending())
			require.Zero(t, s.admission.openConns.Load())
		})
	}
}

// TestRequestsMeetRetirement guards against requests that get no answer, or are said to have possibly run although
// nothing of them has been read, as they arrive while the other gateway retires their connections.
func TestRequestsMeetRetirement(t *testing.T) {
	const callers, rounds = 20, 10
	served := 0
	for round := range rounds {
		s := startOverloaded(t, echo)
		conns := make([]net.Conn, callers)
		for i := range conns {
			conns[i] = s.dial(t)
		}
		require.Eventually(t, func() bool { return s.offloader.active.Load() == callers }, 2*time.Second, time.Millisecond)
		require.Eventually(t, func() bool { return s.idle.count() == callers }, 2*time.Second, time.Millisecond)
		go func() {
			time.Sleep(time.Duration(round) * 100 * time.Microsecond)
			s.idle.retireForwarded(time.Now().Add(time.Minute))
		}()
		for _, c := range conns {
			_, err := io.WriteString(c, shortRequest)
			require.NoError(t, err)
		}
		for _, c := range conns {
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			require.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, response.StatusCode)
			if response.StatusCode == http.StatusOK {
				served++
			}
		}
	}
	t.Logf("%d of %d served", served, callers*rounds)
}
