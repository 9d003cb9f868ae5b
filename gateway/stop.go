package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"opalbridge.dev/gateway/handoff"
	"opalbridge.dev/gateway/offload"
)

// Limits on the heads of requests.
const (
	// Time limit for reading a request header.
	headerTimeout = 10 * time.Second
	// Maximum size of a request header that is read; configurations set lower limits.
	maxHeaderBytes = 64 << 10
)

// serve handles requests until ctx ends, then shuts down: readiness fails first, connections are ended
// once the load balancer has had time to notice, requests that have arrived are completed, and what is left
// at the end of the grace period is ended (drain.go).
func (g *Gateway) serve(ctx, background context.Context) error {
	idle := &idleCallers{since: map[net.Conn]time.Time{}, limit: int(min(maxIdleCallers, g.capacity.connections/2))}
	callerServer := &http.Server{
		Handler: http.HandlerFunc(g.handle), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: idle.observe, ConnContext: withConn, ErrorLog: nil,
		// The general handler of OPTIONS * answers with a success and keeps the connection open.
		DisableGeneralOptionsHandler: true,
	}
	listener := newAdmission(g)
	o, err := newOffloader(g, listener.reject)
	if err != nil {
		return err
	}
	g.offloader, g.background = o, background
	listener.offload = g.offloadConn
	offloadCtx, stopOffload := context.WithCancel(context.WithoutCancel(background))
	offloadDone := make(chan struct{})
	go func() {
		o.run(offloadCtx)
		close(offloadDone)
	}()
	offloaded := &forwardedListener{Listener: handoff.NewListener(g.options.PeerListener.Addr())}
	rejectCtx, stopReject := context.WithCancel(context.WithoutCancel(background))
	rejectDone := make(chan struct{})
	go func() {
		listener.rejecter.Run(rejectCtx)
		close(rejectDone)
	}()
	readyServer := &http.Server{Handler: g.readyHandler(), ReadHeaderTimeout: headerTimeout}
	peerServer := &http.Server{Handler: g.peersHandler(background, offloaded.Listener), ReadHeaderTimeout: headerTimeout}
	serveErrs := make(chan error, listenerCount)
	go func() { serveErrs <- callerServer.Serve(listener) }()
	go func() { serveErrs <- callerServer.Serve(offloaded) }()
	go func() { serveErrs <- readyServer.Serve(g.options.ReadyListener) }()
	go func() { serveErrs <- peerServer.Serve(g.options.PeerListener) }()
	idleCtx, stopIdle := context.WithCancel(background)
	idleDone := make(chan struct{})
	go func() {
		idle.run(idleCtx, g)
		close(idleDone)
	}()
	var serveErr error
	select {
	case <-ctx.Done():
	case serveErr = <-serveErrs:
		serveErrs <- http.ErrServerClosed
	}
	if serveErr == nil {
		g.shutdown(drainer{listener: listener, forwarded: offloaded, served: idle, offloader: o})
	}
	callerServer.Close()
	peerServer.Close()
	readyServer.Close()
	stopIdle()
	<-idleDone
	for range listenerCount {
		if err := <-serveErrs; !errors.Is(err, http.ErrServerClosed) {
			serveErr = errors.CombineErrors(serveErr, err)
		}
	}
	stopOffload()
	<-offloadDone
	stopReject() // last, because the listener may block on the rejecter
	<-rejectDone
	return serveErr
}

// forwardedListener is a listener for connections that other gateways forward.
type forwardedListener struct {
	*handoff.Listener
	ended atomic.Bool // it is closed, and Accept returns no more connections
}

// Accept implements net.Listener.
func (l *forwardedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		l.ended.Store(true)
		return nil, http.ErrServerClosed
	}
	return c, nil
}

// Number of listeners: callers, connections offloaded by other gateways, the load balancer's
// health checks, other gateways.
const listenerCount = 4

// readyHandler handles the load balancer's health checks.
func (g *Gateway) readyHandler() http.Handler {
	r := chi.NewRouter()
	r.Get(g.options.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return r
}

// Ready reports whether the load balancer is to send connections: the gateway has a configuration
// and servers, is not shutting down, and has not withdrawn.
func (g *Gateway) Ready() bool { return g.readiness() == offload.Ready }

// hasView reports whether the gateway has a configuration and servers.
func (g *Gateway) hasView() bool {
	v := g.view.Load()
	return v.Configuration != nil && len(v.Servers) > 0
}

// peersHandler handles requests of other gateways.
func (g *Gateway) peersHandler(ctx context.Context, l *handoff.Listener) http.Handler {
	r := chi.NewRouter()
	r.Get(handoff.Path, g.linkHandler(ctx, l))
	r.Get(viewPath, g.serveView)
	return r
}
