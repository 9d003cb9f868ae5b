package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/idhash"
	"opalbridge.dev/gateway/memory"
	"opalbridge.dev/gateway/placement"
	"opalbridge.dev/gateway/protocol"
)

// Limits on requests and on what is held for them.
const (
	// Upper bound on concurrent requests, whatever the process's memory; more are refused.
	maxActiveRequests = 2000
	// Time limit of a request without a deadline on a route without a timeout.
	defaultDeadline = time.Minute
	// Maximum body size if the configuration sets none.
	defaultMaxBodyBytes = 4 << 20
	// A denial for something missing from the configuration is final only if the view was
	// confirmed this recently; otherwise the caller is told to retry.
	freshViewAge = watchWait + watchSlack + 600*time.Millisecond
	// Retry-After if no server or no configuration is known.
	unknownRetryAfter = 500 * time.Millisecond
	// Retry-After of a gateway that is at its request limit.
	fullRetryAfter = 300 * time.Millisecond
)

// beginAnewHeader tells a caller that takes up a stream that it can't go on, here or elsewhere, and
// has to be sent as a new request.
const beginAnewHeader = "Opalbridge-Begin-Anew"

// denial is a response of the gateway itself to a request that goes to no server.
type denial struct {
	status     int
	reason     string
	retryAfter time.Duration // 0: not sent
	beginAnew  bool          // a stream can't go on; the caller may begin it anew at once
}

// handle serves one request.
func (g *Gateway) handle(w http.ResponseWriter, r *http.Request) {
	if !g.serveRequest(w, r) {
		readRest(w, r)
	}
}

// readRest reads the rest of the body of a request that has its response, for lingerTime at most: closing the
// connection with unread bytes resets it, which may destroy the response on its way.
func readRest(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(lingerTime)); err != nil {
		return // the connection is closing
	}
	if err := control.Flush(); err != nil {
		return // the caller is gone
	}
	_, _ = io.Copy(io.Discard, r.Body) // the caller has its response, whatever ends its request
}

// serveRequest serves one request. It reports whether the body has been read, or another gateway reads it.
func (g *Gateway) serveRequest(w http.ResponseWriter, r *http.Request) (bodyRead bool) {
	arrived := time.Now()
	if conn, ok := r.Context().Value(connKey{}).(*callerConn); ok {
		conn.handled()
	}
	if g.active.Add(1) > g.capacity.requests {
		g.active.Add(-1)
		g.deny(w, r, denial{status: http.StatusServiceUnavailable, reason: "too many requests at this gateway", retryAfter: fullRetryAfter})
		return false
	}
	defer g.active.Add(-1)
	if !g.options.Memory.Take(memoryPerRequest) {
		g.deny(w, r, denial{status: http.StatusServiceUnavailable, reason: "gateway short of memory", retryAfter: fullRetryAfter})
		return false
	}
	defer g.options.Memory.Return(memoryPerRequest)
	if !g.overload.admits() {
		if g.offloadRequest(w, r) {
			return true
		}
		g.rejectOverloaded(w, r)
		return false
	}
	if g.endsConnection(r) {
		w.Header().Set("Connection", "close")
	}
	c, d := g.newCall(w, r, arrived)
	if d.status != 0 {
		g.deny(w, r, d)
		return false
	}
	defer c.bodyMemory.Release()
	if g.stopsBefore(r.Context(), c.deadline) { // connections have been ended since its head was read
		g.deny(w, r, denyStopping)
		return true
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), c.deadline, errDeadline)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	defer context.AfterFunc(g.expired, func() {
		end(errGraceExpired)
		// A caller that reads slowly must not keep the request from its end.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(finalWriteTime))
	})()
	c.run(ctx)
	return true
}

// denyStopping is the response to a request that may outlast a planned stop.
var denyStopping = denial{status: http.StatusServiceUnavailable, reason: "gateway is stopping", retryAfter: stopRetryAfter}

var errDeadline = errors.New("gateway: deadline has passed")

// newCall validates a request against the configuration and reads its body. The denial's
// status is 0 if the request may proceed.
func (g *Gateway) newCall(w http.ResponseWriter, r *http.Request, arrived time.Time) (*call, denial) {
	v := g.view.Load()
	if v.Configuration == nil {
		return nil, denial{status: http.StatusServiceUnavailable, reason: "no configuration known", retryAfter: unknownRetryAfter}
	}
	route, ok := v.Configuration.Route(r.Host, rawPath(r))
	if !ok {
		return nil, g.denyUnconfigured(arrived, http.StatusNotFound, "no route")
	}
	meta, err := g.options.Codec.Request(r.Header)
	if err != nil {
		return nil, denial{status: http.StatusBadRequest, reason: err.Error()}
	}
	account, ok := v.account(route, meta.Key)
	if !ok {
		return nil, g.denyUnconfigured(arrived, http.StatusUnauthorized, "unknown key")
	}
	c := &call{
		gateway: g, w: w, request: r, meta: meta, route: route, account: account.Name, priority: account.PriorityOn(route),
		arrived: arrived, deadline: arrived.Add(requestTimeout(route, meta)), regions: route.Regions.Intersect(account.Regions),
	}
	if g.stopsBefore(r.Context(), c.deadline) {
		return nil, denyStopping
	}
	c.sequence.StartAfter(meta.LastEventID)
	c.bodyMemory = g.options.Memory.NewReservation("account "+account.Name, coveredBody)
	if d := c.readBody(v.Configuration.Limits); d.status != 0 {
		c.bodyMemory.Release()
		return nil, d
	}
	c.setPlaceReq(v)
	return c, denial{}
}

// denyUnconfigured denies what the configuration does not allow. If the view may be stale, a
// newer one may allow it, so the caller is told to retry.
func (g *Gateway) denyUnconfigured(now time.Time, status int, reason string) denial {
	if now.Sub(g.confirmedAt()) > freshViewAge {
		return denial{status: http.StatusServiceUnavailable, reason: reason + " in a configuration that may be old", retryAfter: unknownRetryAfter}
	}
	return denial{status: status, reason: reason}
}

// account returns the account that a request belongs to. Without accounts in the
// configuration, and on public routes, requests belong to none.
func (v *View) account(route *catalog.Route, key string) (catalog.Account, bool) {
	if len(v.Configuration.Accounts) == 0 {
		return catalog.Account{}, true
	}
	account, ok := v.Configuration.Account(key)
	if !ok && route.Public {
		return catalog.Account{}, true
	}
	return account, ok
}

// rawPath returns the path as the caller sent it.
func rawPath(r *http.Request) string {
	path, _, _ := strings.Cut(requestTarget(r), "?")
	return path
}

// requestTarget returns the path and query as the caller sent them, without scheme and host.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// requestTimeout returns how long a request may be held.
func requestTimeout(route *catalog.Route, meta protocol.Request) time.Duration {
	timeout := defaultDeadline
	if route.Timeout > 0 {
		timeout = route.Timeout
	}
	if meta.HasDeadline {
		timeout = min(timeout, meta.Deadline)
	}
	return timeout
}

// denyBody is the response to a request for whose body there is no memory.
var denyBody = denial{status: http.StatusServiceUnavailable, reason: "gateway short of memory for bodies", retryAfter: fullRetryAfter}

// denyExpired is the response to a request whose body has not arrived when the grace period of a planned stop
// expires.
var denyExpired = denial{status: http.StatusServiceUnavailable, reason: "not run: " + errGraceExpired.Error(), retryAfter: stopRetryAfter}

// readBody reads the whole body, which must arrive before the deadline and before the grace period of a planned
// stop expires.
func (c *call) readBody(l catalog.Limits) denial {
	limit := l.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if c.request.ContentLength > limit {
		return denial{status: http.StatusRequestEntityTooLarge, reason: "body too long"}
	}
	if c.request.ContentLength == 0 {
		return denial{}
	}
	if c.request.ContentLength > c.gateway.options.Memory.MaxPerOwner() {
		return denial{status: http.StatusRequestEntityTooLarge, reason: "body too long for the memory of this gateway"}
	}
	if !c.bodyMemory.GrowTo(c.request.ContentLength) {
		return denyBody
	}
	control := http.NewResponseController(c.w)
	if err := control.SetReadDeadline(c.deadline); err != nil {
		return denial{status: http.StatusServiceUnavailable, reason: "connection is closing", retryAfter: fullRetryAfter}
	}
	stop := context.AfterFunc(c.gateway.expired, func() {
		_ = control.SetReadDeadline(time.Unix(1, 0)) // on a closed connection the read fails
	})
	body, err := memory.ReadAll(c.request.Body, c.request.ContentLength, limit, c.bodyMemory)
	switch {
	case !stop():
		return denyExpired
	case errors.Is(err, memory.ErrTooLong):
		return denial{status: http.StatusRequestEntityTooLarge, reason: "body too long"}
	case errors.Is(err, memory.ErrNoRoom):
		return denyBody
	case isTimeout(err):
		return denial{status: http.StatusRequestTimeout, reason: "body was not received in time"}
	case err != nil:
		return denial{status: http.StatusBadRequest, reason: "body was not received: " + err.Error()}
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return denial{status: http.StatusServiceUnavailable, reason: "connection is closing", retryAfter: fullRetryAfter}
	}
	c.body = body
	return denial{}
}

// setPlaceReq sets the input of the placement decision.
func (c *call) setPlaceReq(v *View) {
	// By the ID, so that a request keeps its service when the caller's connection breaks and the
	// request is retried.
	c.service = c.route.PickService(idhash.Unit(c.meta.ID))
	output := c.meta.ExpectedOutputTokens
	if output == 0 {
		output = c.meta.MaxOutputTokens
	}
	prompt := c.meta.PromptTokens
	parts := make([]placement.Part, len(c.meta.Parts))
	sum := 0
	for i, p := range c.meta.Parts {
		parts[i] = placement.Part{Hash: partHash(c.meta.Model, p.ID), Tokens: p.Tokens}
		sum += p.Tokens
	}
	prompt = max(prompt, sum)
	c.cost = float64(prompt + outputTokenWeight*output)
	c.sinceFirstAttempt = c.gateway.callerRetries.sinceFirstAttempt(c)
	c.placeReq = placement.Request{
		Service: c.service, Account: c.account, Parts: parts, PromptTokens: prompt, OutputTokens: output,
		Hall: c.gateway.options.Dispatcher.Hall, TieBreak: hashString(c.meta.ID), Regions: c.regions,
		Priority: c.priority, MaxEventGap: c.route.MaxEventGap, Route: c.route.Name, FirstAttempt: c.arrived.Add(-c.sinceFirstAttempt),
	}
	c.setEngine(v)
}

// setService moves the request to another service of its route.
func (c *call) setService(service string) {
	c.service, c.placeReq.Service = service, service
	c.setEngine(c.gateway.view.Load())
}

// setEngine records whether the request's service is a model engine.
func (c *call) setEngine(v *View) {
	s, ok := v.Configuration.Service(c.service)
	c.engine = ok && s.Engine != nil
}

// partHash returns a compact identifier for a part of a model's prompt.
func partHash(model, id string) uint64 { return hashString(model + "/" + id) }

// A generated token costs as much as two prompt tokens, as in the servers' documented rate.
const outputTokenWeight = 2

// deny responds to a request that goes to no server.
func (g *Gateway) deny(w http.ResponseWriter, r *http.Request, d denial) {
	writeDenial(w, d)
	line := g.log.Info().Str("event", "request.denied").Str("request", r.Header.Get(g.options.Codec.RequestIDHeader()))
	if began := g.stopBegan.Load(); began != nil {
		line.Dur("stopping_for", time.Since(*began))
	}
	line.Str("host", r.Host).Str("path", r.URL.Path).
		Int("status", d.status).Str("reason", d.reason).Dur("retry_after", d.retryAfter).
		EmbedObject(revisionFields(g.view.Load().Revision)).Dur("view_age", time.Since(g.confirmedAt())).Msg("request denied")
	g.options.Metrics.RequestEnded(Outcome{Result: "denied"})
}

// writeDenial also closes the connection: a caller that retries opens another one, and when
// many are refused, idle connections would use up the host's file descriptors.
func writeDenial(w http.ResponseWriter, d denial) {
	w.Header().Set("Connection", "close")
	if d.beginAnew {
		w.Header().Set(beginAnewHeader, "true")
	}
	if d.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(d.retryAfter.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(d.reason)+1)) // it may be flushed before its connection ends
	w.WriteHeader(d.status)
	// The caller may be gone, so a write error is ignored.
	_, _ = io.WriteString(w, d.reason+"\n")
}
