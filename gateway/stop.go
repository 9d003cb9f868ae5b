package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"opalbridge.dev/gateway/handoff"
)

// Times of connections and of a stop.
const (
	// A caller has this long for the head of a request.
	headTimeout = 10 * time.Second
	// The longest head that is read; configurations ask for less.
	longestHead = 64 << 10
	// After a stop is asked for, connections are taken for this long: the balancer
	// asks once a second and needs two misses.
	stopAccepting = 2500 * time.Millisecond
	// So much of the grace is kept for ending what is left.
	stopReserve = 500 * time.Millisecond
)

// serve takes requests until ctx ends, then stops: the balancer is told first, idle
// connections are closed once it has had time to hear, requests in flight are
// answered, and what is left when the grace is over is broken off.
func (g *Gateway) serve(ctx, duties context.Context) error {
	idle := &idleCallers{since: map[net.Conn]time.Time{}, most: int(min(mostIdleCallers, g.room.connections/2))}
	front := &http.Server{
		Handler: http.HandlerFunc(g.handle), ReadHeaderTimeout: headTimeout, MaxHeaderBytes: longestHead,
		ConnState: idle.observe, ConnContext: withConn, ErrorLog: nil,
	}
	callers := newAdmission(g)
	passer, err := newPasser(g, callers.turn)
	if err != nil {
		return err
	}
	callers.pass = func(c *callerConn) bool { return g.mayPass() && passer.pass(duties, c) }
	g.passer, g.duties = passer, duties
	passing, stopPassing := context.WithCancel(context.WithoutCancel(duties))
	passed := make(chan struct{})
	go func() {
		passer.run(passing)
		close(passed)
	}()
	taken := handoff.NewListener(g.options.PeerListener.Addr())
	turning, stopTurning := context.WithCancel(context.WithoutCancel(duties))
	turned := make(chan struct{})
	go func() {
		callers.turner.run(turning)
		close(turned)
	}()
	ready := &http.Server{Handler: g.readyHandler(), ReadHeaderTimeout: headTimeout}
	views := &http.Server{Handler: g.peersHandler(duties, taken), ReadHeaderTimeout: headTimeout}
	ends := make(chan error, servers)
	go func() { ends <- front.Serve(callers) }()
	go func() { ends <- front.Serve(taken) }()
	go func() { ends <- ready.Serve(g.options.ReadyListener) }()
	go func() { ends <- views.Serve(g.options.PeerListener) }()
	sweep, stopSweep := context.WithCancel(duties)
	swept := make(chan struct{})
	go func() {
		idle.run(sweep, g)
		close(swept)
	}()
	var failed error
	select {
	case <-ctx.Done():
	case failed = <-ends:
		ends <- http.ErrServerClosed
	}
	if failed == nil {
		g.stop(front, passer)
	}
	front.Close()
	views.Close()
	ready.Close()
	stopSweep()
	<-swept
	for range servers {
		if err := <-ends; !errors.Is(err, http.ErrServerClosed) {
			failed = errors.CombineErrors(failed, err)
		}
	}
	stopPassing()
	<-passed
	stopTurning() // only now: the listener may have been waiting for it
	<-turned
	return failed
}

// servers is how many listeners are served: callers, connections that other gateways pass
// on, the balancer, other gateways.
const servers = 4

// stop lets the requests in flight end.
func (g *Gateway) stop(front *http.Server, p *passer) {
	began := time.Now()
	g.stopping.Store(true)
	g.log.Info().Str("event", "stop").Int64("requests", g.active.Load()).Msg("a stop was asked for")
	time.Sleep(min(stopAccepting, g.options.ShutdownGrace/2))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(g.options.ShutdownGrace-stopReserve))
	defer cancel()
	if err := front.Shutdown(ctx); err != nil {
		g.log.Warn().Str("event", "stop.cut").Int64("requests", g.active.Load()).Err(err).Msg("grace is over")
	}
	p.drain(ctx)
}

// readyHandler answers the balancer.
func (g *Gateway) readyHandler() http.Handler {
	r := chi.NewRouter()
	r.Get(g.options.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return r
}

// Ready tells whether the gateway takes connections: it knows a configuration and
// servers, and does not stop.
func (g *Gateway) Ready() bool {
	return g.hasView() && !g.stopping.Load()
}

// hasView tells whether the gateway knows a configuration and servers.
func (g *Gateway) hasView() bool {
	v := g.view.Load()
	return v.Configuration != nil && len(v.Servers) > 0
}

// peersHandler answers other gateways.
func (g *Gateway) peersHandler(ctx context.Context, l *handoff.Listener) http.Handler {
	r := chi.NewRouter()
	r.Get(handoff.Path, g.linkHandler(ctx, l))
	r.Get(viewPath, g.serveView)
	return r
}
