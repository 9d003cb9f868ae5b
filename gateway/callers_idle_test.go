package gateway

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
	i.closeIdleSince(time.Now().Add(time.Hour))
	go func() { _, _ = io.WriteString(peer, "GET") }()
	require.NoError(t, forwarded.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err := io.ReadFull(forwarded, make([]byte, 3))
	require.NoError(t, err)
	require.Equal(t, 1, i.count())
}
