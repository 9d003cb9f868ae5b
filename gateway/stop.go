package gateway

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
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
	// Idle connections of callers are looked through this often.
	callerSweep = time.Second
	// A caller's idle connection is kept this much longer than the configuration says.
	idleSlack = time.Second
	// Callers' idle connections kept; of more, those that rest longest are closed. It is
	// a quarter of the descriptors of a small host.
	mostIdleCallers = 1000
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

// idleCallers closes callers' connections that rest longer than the configuration
// allows. The server's own limit can't follow a change of the configuration.
type idleCallers struct {
	mutex sync.Mutex
	since map[net.Conn]time.Time
}

func (i *idleCallers) observe(c net.Conn, s http.ConnState) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if s == http.StateIdle || s == http.StateNew {
		i.since[c] = time.Now()
		return
	}
	delete(i.since, c)
}

func (i *idleCallers) run(ctx context.Context, g *Gateway) {
	tick := time.NewTicker(callerSweep)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			i.closeBeyond(mostIdleCallers)
			if v := g.view.Load(); v.Configuration != nil && v.Configuration.Limits.IdleTimeout > 0 {
				i.closeOlder(now.Add(-v.Configuration.Limits.IdleTimeout - idleSlack))
			}
		}
	}
}

// closeBeyond closes those that rest longest, down to a number.
func (i *idleCallers) closeBeyond(most int) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if len(i.since) <= most {
		return
	}
	conns := slices.SortedFunc(maps.Keys(i.since), func(a, b net.Conn) int { return i.since[a].Compare(i.since[b]) })
	for _, c := range conns[:len(conns)-most] {
		c.Close()
		delete(i.since, c)
	}
}

func (i *idleCallers) closeOlder(than time.Time) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for c, since := range i.since {
		if since.Before(than) {
			c.Close()
			delete(i.since, c)
		}
	}
}
