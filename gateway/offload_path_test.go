package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/handoff"
	"opalbridge.dev/gateway/peer"
	"opalbridge.dev/gateway/protocol"
)

// overloadedGateway is a gateway without processor time for its callers, beside another one
// that serves the connections that it offloads.
type overloadedGateway struct {
	gateway   *Gateway
	admission *admissionListener
	offloader *offloader
	address   string
	target    *Gateway
	server    *http.Server // serves the connections that are offloaded
	idle      *idleCallers // of that server
}

func startOverloaded(t *testing.T, serve http.HandlerFunc) *overloadedGateway {
	t.Helper()
	return startOverloadedWith(t, newOffloadTargets("h", nil, func() bool { return false }), serve)
}

func startOverloadedWith(t *testing.T, targets *offloadTargets, serve http.HandlerFunc) *overloadedGateway {
	t.Helper()
	listen := func(address string) net.Listener {
		l, err := net.Listen("tcp4", address)
		require.NoError(t, err)
		return l
	}
	peers := listen("127.0.0.2:0")
	front, err := ListenCallers("127.0.0.1:0")
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	serveErrs := make(chan error, 3)
	run := func(f func() error) { go func() { serveErrs <- f() }() }

	target := newIdleGateway(t)
	offloaded := handoff.NewListener(peers.Addr())
	links := &http.Server{Handler: target.peersHandler(ctx, offloaded)}
	idle := &idleCallers{since: map[net.Conn]time.Time{}, limit: maxIdleCallers}
	server := &http.Server{Handler: serve, ConnContext: withConn, ConnState: idle.observe}
	run(func() error { return links.Serve(peers) })
	run(func() error { return server.Serve(offloaded) })

	g := &Gateway{log: zerolog.Nop(), capacity: capacityFor(0, 0), offloadTargets: targets}
	g.view.Store(&View{})
	g.options = Options{CallerListener: front, Codec: idCodec{}, Metrics: &deniedCounter{}, Peer: peer.Options{Address: peers.Addr().String()}}
	g.overload.notAdmitted.Store(shareScale)
	g.offloadTargets.update(time.Now(), peer.Update{From: "127.0.0.2", Hall: "h", Alive: true, Full: true, Weight: 800})
	a := newAdmission(g)
	o, err := newOffloader(g, a.reject)
	require.NoError(t, err)
	g.offloader, g.background = o, ctx
	a.offload = g.offloadConn
	ownServer := &http.Server{ConnContext: withConn, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/own" || !g.offloadRequest(w, r) {
			w.WriteHeader(http.StatusTeapot)
		}
	})}
	run(func() error { return ownServer.Serve(a) })
	offloadDone, rejectDone := make(chan struct{}), make(chan struct{})
	rejectCtx, stopReject := context.WithCancel(context.Background())
	go func() {
		o.run(ctx)
		close(offloadDone)
	}()
	go func() {
		a.rejecter.Run(rejectCtx)
		close(rejectDone)
	}()
	t.Cleanup(func() {
		ownServer.Close()
		stop()
		links.Close()
		server.Close()
		for range 3 {
			require.ErrorIs(t, <-serveErrs, http.ErrServerClosed)
		}
		<-offloadDone
		stopReject()
		<-rejectDone
	})
	return &overloadedGateway{gateway: g, admission: a, offloader: o, address: front.Addr().String(), target: target, server: server, idle: idle}
}

// idCodec reads request IDs from the header Id.
type idCodec struct{ protocol.Codec }

func (idCodec) RequestIDHeader() string { return "Id" }

func (s *overloadedGateway) post(t *testing.T, body string) (status int, answer string) {
	t.Helper()
	c, err := net.Dial("tcp4", s.address)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	r, err := http.NewRequest(http.MethodPost, "http://h/x", strings.NewReader(body))
	require.NoError(t, err)
	require.NoError(t, r.Write(c))
	response, err := http.ReadResponse(bufio.NewReader(c), r)
	require.NoError(t, err)
	got, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(got)
}

// TestOverloadedGatewayOffloads checks that callers of an overloaded gateway are served by
// another gateway of its hall; without one, they are rejected as not run.
func TestOverloadedGatewayOffloads(t *testing.T) {
	s := startOverloaded(t, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil || !isOffloaded(r.Context()) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		w.Header().Set("Connection", "close")
		_, _ = w.Write(body)
	})
	body := strings.Repeat("x", 50000)
	for range 20 {
		status, answer := s.post(t, body)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, body, answer)
	}
	require.Eventually(t, func() bool { return s.offloader.active.Load() == 0 && s.admission.openConns.Load() == 0 }, 5*time.Second, time.Millisecond,
		"closed connections free their capacity")

	s.target.stopping.Store(true) // it opens no more links, but serves open ones
	status, _ := s.post(t, "y")
	require.Equal(t, http.StatusOK, status)

	s.offloader.targets.update(time.Now(), peer.Update{From: "127.0.0.2", Hall: "h", Alive: true, Full: true})
	status, _ = s.post(t, "z")
	require.Equal(t, http.StatusServiceUnavailable, status, "no gateway of the hall has processor time left")
}

// TestOffloadTargetGone checks that a connection whose target has just gone is rejected with a
// response.
func TestOffloadTargetGone(t *testing.T) {
	s := startOverloaded(t, func(http.ResponseWriter, *http.Request) {})
	s.offloader.targets.update(time.Now(), peer.Update{From: "127.0.0.2"})
	s.offloader.targets.update(time.Now(), peer.Update{From: "127.0.0.3", Hall: "h", Alive: true, Full: true, Weight: 1})
	for range 3 {
		status, _ := s.post(t, "x")
		require.Equal(t, http.StatusServiceUnavailable, status)
	}
}

// TestPersistentConnectionsOffloaded checks that a request on a persistent connection is
// offloaded whole, with its connection, once the gateway is overloaded.
func TestPersistentConnectionsOffloaded(t *testing.T) {
	s := startOverloaded(t, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		w.Header().Set("Connection", "close")
		w.Header().Set("Got", r.Method+" "+r.RequestURI+" "+r.Host+" "+r.Header.Get("X-Caller"))
		_, _ = w.Write(body)
	})
	tests := []struct {
		name   string
		length int64 // -1: chunked
		body   string
	}{
		{"no body", 0, ""},
		{"a body", 30000, strings.Repeat("x", 30000)},
		{"chunked", -1, strings.Repeat("y", 30000)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s.gateway.overload.notAdmitted.Store(0)
			time.Sleep(2 * delaySampleInterval) // the action on the next connection is decided again
			c, err := net.Dial("tcp4", s.address)
			require.NoError(t, err)
			defer c.Close()
			require.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
			reader := bufio.NewReader(c)
			_, err = io.WriteString(c, "GET /own HTTP/1.1\r\nHost: h\r\n\r\n")
			require.NoError(t, err)
			response, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusTeapot, response.StatusCode)

			s.gateway.overload.notAdmitted.Store(shareScale)
			r, err := http.NewRequest(http.MethodPut, "http://h/a%2Fb?q=1", strings.NewReader(test.body))
			require.NoError(t, err)
			r.ContentLength = test.length
			r.Header.Set("X-Caller", "me")
			require.NoError(t, r.Write(c))
			response, err = http.ReadResponse(reader, r)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.Equal(t, "PUT /a%2Fb?q=1 h me", response.Header.Get("Got"))
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, test.body, string(body))
			require.True(t, response.Close)
		})
	}
}
