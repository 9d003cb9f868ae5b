package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
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
	idle := &idleCallers{since: map[net.Conn]time.Time{}}
	front := &http.Server{
		Handler: http.HandlerFunc(g.handle), ReadHeaderTimeout: headTimeout, MaxHeaderBytes: longestHead,
		ConnState: idle.observe, ErrorLog: nil,
	}
	ready := &http.Server{Handler: g.readyHandler(), ReadHeaderTimeout: headTimeout}
	views := &http.Server{Handler: g.viewHandler(), ReadHeaderTimeout: headTimeout}
	ends := make(chan error, 3)
	go func() { ends <- front.Serve(g.options.Front) }()
	go func() { ends <- ready.Serve(g.options.Ready) }()
	go func() { ends <- views.Serve(g.options.Peers) }()
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
		g.stop(front)
	}
	front.Close()
	views.Close()
	ready.Close()
	stopSweep()
	<-swept
	for range 3 {
		if err := <-ends; !errors.Is(err, http.ErrServerClosed) {
			failed = errors.CombineErrors(failed, err)
		}
	}
	return failed
}

// stop lets the requests in flight end.
func (g *Gateway) stop(front *http.Server) {
	began := time.Now()
	g.stopping.Store(true)
	g.log.Info().Str("event", "stop").Int64("requests", g.active.Load()).Msg("a stop was asked for")
	time.Sleep(min(stopAccepting, g.options.StopGrace/2))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(g.options.StopGrace-stopReserve))
	defer cancel()
	if err := front.Shutdown(ctx); err != nil {
		g.log.Warn().Str("event", "stop.cut").Int64("requests", g.active.Load()).Err(err).Msg("grace is over")
	}
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
	return g.known() && !g.stopping.Load()
}

// known tells whether the gateway knows a configuration and servers.
func (g *Gateway) known() bool {
	v := g.view.Load()
	return v.Configuration != nil && len(v.Servers) > 0
}

func (g *Gateway) viewHandler() http.Handler {
	r := chi.NewRouter()
	r.Get(viewPath, g.serveView)
	return r
}
