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

// shortGateway is a gateway that has no processor for its callers, beside another one that
// serves what is passed on to it.
type shortGateway struct {
	gateway   *Gateway
	admission *admission
	passer    *passer
	address   string
	helper    *Gateway
}

func startShort(t *testing.T, serve http.HandlerFunc) *shortGateway {
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
	ends := make(chan error, 3)
	run := func(f func() error) { go func() { ends <- f() }() }

	helper := newIdleGateway(t)
	taken := handoff.NewListener(peers.Addr())
	links := &http.Server{Handler: helper.peersHandler(ctx, taken)}
	server := &http.Server{Handler: serve, ConnContext: withConn}
	run(func() error { return links.Serve(peers) })
	run(func() error { return server.Serve(taken) })

	g := &Gateway{log: zerolog.Nop(), room: roomFor(0, 0), helpers: &helpers{hall: "h", list: map[string]int{}}}
	g.view.Store(&View{})
	g.options = Options{CallerListener: front, Codec: idCodec{}, Metrics: &counted{}, Peer: peer.Options{Address: peers.Addr().String()}}
	g.overload.turnedAway.Store(partsOfShare)
	g.helpers.update(peer.Update{From: "127.0.0.2", Hall: "h", Alive: true, Full: true, Weight: 800})
	a := newAdmission(g)
	p, err := newPasser(g, a.turn)
	require.NoError(t, err)
	a.pass = func(c *callerConn) bool { return p.pass(ctx, c) }
	g.passer, g.duties = p, ctx
	own := &http.Server{ConnContext: withConn, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/own" || !g.passRequest(w, r) {
			w.WriteHeader(http.StatusTeapot)
		}
	})}
	run(func() error { return own.Serve(a) })
	passed, turned := make(chan struct{}), make(chan struct{})
	turning, stopTurning := context.WithCancel(context.Background())
	go func() {
		p.run(ctx)
		close(passed)
	}()
	go func() {
		a.turner.run(turning)
		close(turned)
	}()
	t.Cleanup(func() {
		own.Close()
		stop()
		links.Close()
		server.Close()
		for range 3 {
			require.ErrorIs(t, <-ends, http.ErrServerClosed)
		}
		<-passed
		stopTurning()
		<-turned
	})
	return &shortGateway{gateway: g, admission: a, passer: p, address: front.Addr().String(), helper: helper}
}

// idCodec names requests in the header Id.
type idCodec struct{ protocol.Codec }

func (idCodec) RequestIDHeader() string { return "Id" }

func (s *shortGateway) ask(t *testing.T, body string) (status int, answer string) {
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

// TestShortGatewayPassesOn: callers of a gateway without processor are served by another
// one of its hall; with none, they are turned away as not run.
func TestShortGatewayPassesOn(t *testing.T) {
	s := startShort(t, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil || !passedOn(r.Context()) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		w.Header().Set("Connection", "close")
		_, _ = w.Write(body)
	})
	body := strings.Repeat("x", 50000)
	for range 20 {
		status, answer := s.ask(t, body)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, body, answer)
	}
	require.Eventually(t, func() bool { return s.passer.active.Load() == 0 && s.admission.open.Load() == 0 }, 5*time.Second, time.Millisecond,
		"connections that have ended take no room")

	s.helper.stopping.Store(true) // it opens no more links, but serves those that are open
	status, _ := s.ask(t, "y")
	require.Equal(t, http.StatusOK, status)

	s.passer.helpers.update(peer.Update{From: "127.0.0.2", Hall: "h", Alive: true, Full: true})
	status, _ = s.ask(t, "z")
	require.Equal(t, http.StatusServiceUnavailable, status, "no gateway of the hall has processor left")
}

// TestPassingFindsNobody: a connection whose helper has just gone is turned away, and its
// caller is told so.
func TestPassingFindsNobody(t *testing.T) {
	s := startShort(t, func(http.ResponseWriter, *http.Request) {})
	s.passer.helpers.update(peer.Update{From: "127.0.0.2"})
	s.passer.helpers.update(peer.Update{From: "127.0.0.3", Hall: "h", Alive: true, Full: true, Weight: 1})
	for range 3 {
		status, _ := s.ask(t, "x")
		require.Equal(t, http.StatusServiceUnavailable, status)
	}
}

// TestKeptConnectionsArePassedOn: a request on a connection that the gateway serves is
// passed on with it, whole, once the gateway is short.
func TestKeptConnectionsArePassedOn(t *testing.T) {
	s := startShort(t, func(w http.ResponseWriter, r *http.Request) {
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
		length int64 // -1: in chunks
		body   string
	}{
		{"no body", 0, ""},
		{"a body", 30000, strings.Repeat("x", 30000)},
		{"in chunks", -1, strings.Repeat("y", 30000)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s.gateway.overload.turnedAway.Store(0)
			time.Sleep(2 * latenessEvery) // the next connection's fate is decided anew
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

			s.gateway.overload.turnedAway.Store(partsOfShare)
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
