package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"opalbridge.dev/gateway/handoff"
)

// This file ends callers' connections in a planned stop. The Shutdown method of http.Server can't: it closes
// connections as idle on which a request has arrived, and drops without a response what it reads after the
// call. Here the goroutine that reads from a connection decides whether a request has arrived
// (callerConn.retire, handoff.Conn.Retire); each request that has arrived gets a response.

// Times of a planned stop.
const (
	// How long connections are accepted after a shutdown is requested: the load balancer
	// checks once a second and needs two failed checks.
	shutdownDelay = 2500 * time.Millisecond
	// Part of the grace period that is reserved for ending the remaining requests and connections.
	shutdownReserve = 500 * time.Millisecond
	// Part of the reserve for responses to requests that are ended.
	finalResponseTime = 300 * time.Millisecond
	// Part of that for writing a response whose caller reads slowly.
	finalWriteTime = finalResponseTime / 2
	// Interval at which connections are ended.
	drainInterval = 20 * time.Millisecond
	// A new connection is kept for this long until its request arrives.
	newConnTime = 300 * time.Millisecond
	// Retry-After of a stopping gateway: the caller's next connection reaches another one.
	stopRetryAfter = 50 * time.Millisecond
)

// errGraceExpired is the cause of the end of requests that are left when the grace period has expired.
var errGraceExpired = errors.New("gateway: it is stopping, and its grace period has expired")

// shutdown ends all connections, and returns when there are none or the grace period is over.
func (g *Gateway) shutdown(d drainer) {
	began := time.Now()
	grace := g.options.ShutdownGrace
	// A short grace period is divided: half to accept connections, a quarter to end them, and the reserve.
	reserve := min(shutdownReserve, grace/4)
	end := began.Add(grace - reserve)
	g.stopBegan.Store(&began)
	g.stopPlanned.Store(&end)
	g.stopping.Store(true)
	g.log.Info().Str("event", "stop").Int64("requests", g.active.Load()).Msg("shutdown requested")
	time.Sleep(min(shutdownDelay, grace/2))
	g.stopEnd.Store(&end)
	if err := d.listener.stop(); err != nil {
		g.log.Warn().Str("event", "stop.listener").Err(err).Msg("cannot close the listener")
	}
	d.forwarded.Close()
	if d.run(end) {
		return
	}
	g.log.Warn().Str("event", "stop.cut").Int64("requests", g.active.Load()).Int("connections", d.served.count()).
		Int64("offloaded", d.offloader.active.Load()).Msg("shutdown grace period expired")
	d.offloader.tunnels.logCut(g.log, time.Now())
	g.expire()
	d.run(end.Add(min(finalResponseTime, reserve*3/5)))
}

// drainer ends the connections of a gateway that is stopping.
type drainer struct {
	listener  *admissionListener
	forwarded *forwardedListener
	served    *idleCallers
	offloader *offloader
}

// run ends connections on which no request has arrived, until there are none left; false: some are left at the end.
func (d *drainer) run(end time.Time) bool {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	tick := time.NewTicker(drainInterval)
	defer tick.Stop()
	for !d.done() {
		now := time.Now()
		d.listener.open.retire(now)
		d.served.retireForwarded(now)
		select {
		case <-ctx.Done():
			return d.done()
		case <-tick.C:
		}
	}
	return true
}

// done reports whether no connection is left. One that has been accepted, or is passed from the HTTP server to
// the offloader or the rejecter, is known to none of these yet, but is open.
func (d *drainer) done() bool {
	return d.listener.ended.Load() && d.forwarded.ended.Load() && d.listener.open.count() == 0 &&
		d.served.count() == 0 && d.offloader.active.Load() == 0 && d.listener.rejecter.Pending() == 0
}

// openCallerConns is the set of callers' connections that are served or forwarded. Its zero value is empty.
// It is safe for concurrent use.
type openCallerConns struct {
	mutex sync.Mutex
	conns map[*callerConn]struct{}
}

func (o *openCallerConns) add(c *callerConn) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.conns == nil {
		o.conns = map[*callerConn]struct{}{}
	}
	o.conns[c] = struct{}{}
}

func (o *openCallerConns) remove(c *callerConn) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	delete(o.conns, c)
}

// count returns the number of connections.
func (o *openCallerConns) count() int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return len(o.conns)
}

// retire retires the connections, except new ones whose request may be on its way.
func (o *openCallerConns) retire(now time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for c := range o.conns {
		if now.Sub(c.accepted) >= newConnTime {
			c.retire()
		}
	}
}

// retireForwarded retires the connections that other gateways forward to this one, except new ones whose request
// may be on its way.
func (i *idleCallers) retireForwarded(now time.Time) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for c, since := range i.since {
		if forwarded, ok := c.(*handoff.Conn); ok && now.Sub(since) >= newConnTime {
			forwarded.Retire()
		}
	}
}

// stopsBefore reports whether the gateway ends before a request's deadline. Such a request is refused once
// connections are being ended: it might be cut, and is served at another gateway. One that another gateway has
// forwarded is refused from the start of the stop, since the gateway to which its caller is connected does not stop.
func (g *Gateway) stopsBefore(ctx context.Context, deadline time.Time) bool {
	end := g.stopEnd.Load()
	if isOffloaded(ctx) {
		end = g.stopPlanned.Load()
	}
	return end != nil && deadline.After(*end)
}

// endsConnection reports whether the connection of a request ends after its response.
func (g *Gateway) endsConnection(r *http.Request) bool {
	if g.stopping.Load() || isOffloaded(r.Context()) {
		return true
	}
	c, ok := r.Context().Value(connKey{}).(*callerConn)
	return ok && c.retiring.Load()
}
