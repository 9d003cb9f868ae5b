package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/handoff"
)

// cutTunnel is a line on a tunnel that a stop cuts.
type cutTunnel struct {
	Event    string `json:"event"`
	Caller   string `json:"caller"`
	Peer     string `json:"peer"`
	Request  int64  `json:"request_bytes"`
	Response int64  `json:"response_bytes"`
}

// cutTunnels returns the lines on tunnels that have been cut.
func cutTunnels(t *testing.T, log *bytes.Buffer) []cutTunnel {
	t.Helper()
	var list []cutTunnel
	for line := range bytes.Lines(log.Bytes()) {
		var c cutTunnel
		require.NoError(t, json.Unmarshal(line, &c))
		if c.Event == "stop.tunnel_cut" {
			list = append(list, c)
		}
	}
	return list
}

// TestCutTunnelsAreLogged guards against a stop that cuts requests at other gateways and names none of them.
func TestCutTunnelsAreLogged(t *testing.T) {
	answered := make(chan struct{}, 1)
	s := startOverloaded(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/answers" {
			_, _ = io.WriteString(w, "some")
			_ = http.NewResponseController(w).Flush()
			answered <- struct{}{}
		}
		<-r.Context().Done()
	})
	var log bytes.Buffer
	s.gateway.log = zerolog.New(&log)
	s.gateway.options.ShutdownGrace = 1200 * time.Millisecond
	s.gateway.expired, s.gateway.expire = context.WithCancel(context.Background())
	send := func(request string) net.Conn {
		c := s.dialOffloaded(t)
		_, err := io.WriteString(c, request)
		require.NoError(t, err)
		return c
	}
	silent := s.dialOffloaded(t)
	waits, answers := send(shortRequest), send("GET /answers HTTP/1.1\r\nHost: h\r\n\r\n")
	<-answered
	forwarded := &forwardedListener{Listener: handoff.NewListener(s.admission.Addr())}
	s.gateway.shutdown(drainer{listener: s.admission, forwarded: forwarded, served: s.idle, offloader: s.offloader})
	list := cutTunnels(t, &log)
	require.Len(t, list, 2, "the silent one (%s) has been retired", silent.LocalAddr())
	want := cutTunnel{"stop.tunnel_cut", waits.LocalAddr().String(), servingAddress, int64(len(shortRequest)), 0}
	require.Equal(t, want, list[0])
	require.Equal(t, answers.LocalAddr().String(), list[1].Caller)
	require.Greater(t, list[1].Response, int64(len("some")))
}

// TestCutTunnelsAreBounded guards against a stop that writes a line for each of thousands of tunnels.
func TestCutTunnelsAreBounded(t *testing.T) {
	var set tunnels
	now := time.Now()
	for i := range 2 * maxCutTunnels {
		set.add(&openTunnel{stream: &handoff.Stream{}, caller: fmt.Sprint(i), began: now.Add(-time.Duration(i) * time.Second)})
	}
	remove := set.add(&openTunnel{stream: &handoff.Stream{}, began: now.Add(-time.Hour)})
	remove()
	var log bytes.Buffer
	set.logCut(zerolog.New(&log), now)
	list := cutTunnels(t, &log)
	require.Len(t, list, maxCutTunnels)
	require.Equal(t, fmt.Sprint(2*maxCutTunnels-1), list[0].Caller, "the oldest come first")
}
