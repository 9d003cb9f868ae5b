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
	"opalbridge.dev/gateway/placement"
	"opalbridge.dev/gateway/protocol"
)

// Limits of what callers may send and of what is held for them.
const (
	// Requests held at once at most, whatever the process's memory; more are refused.
	mostActive = 2000
	// A request that names no deadline, on a route without a timeout, is held so long.
	defaultDeadline = time.Minute
	// The longest body when the configuration tells none.
	defaultBody = 4 << 20
	// An answer that the operators' configuration does not explain is given only if
	// the view was confirmed this recently; before, the caller is told to come back.
	freshView = watchWait + watchSlack + 600*time.Millisecond
	// When to come back if no server or no configuration is known.
	unknownRetryAfter = 500 * time.Millisecond
	// When to come back to a gateway that holds too much.
	crowdedRetryAfter = 300 * time.Millisecond
)

// denial is an answer of the gateway's own to a request that goes to no server.
type denial struct {
	status     int
	reason     string
	retryAfter time.Duration // 0: not told
}

// handle serves one request of a caller.
func (g *Gateway) handle(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if g.active.Add(1) > g.room.requests {
		g.active.Add(-1)
		g.deny(w, r, denial{http.StatusServiceUnavailable, "too many requests at this gateway", crowdedRetryAfter})
		return
	}
	defer g.active.Add(-1)
	if !g.overload.admits() {
		if !g.passRequest(w, r) {
			g.turnAway(w, r)
		}
		return
	}
	if g.stopping.Load() || passedOn(r.Context()) {
		w.Header().Set("Connection", "close")
	}
	c, d := g.admit(w, r, arrived)
	if d.status != 0 {
		g.deny(w, r, d)
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), c.deadline, errDeadline)
	defer cancel()
	c.run(ctx)
}

var errDeadline = errors.New("gateway: deadline has passed")

// admit checks a request against the configuration and reads it. The denial's status
// is 0 if the request may go on.
func (g *Gateway) admit(w http.ResponseWriter, r *http.Request, arrived time.Time) (*call, denial) {
	v := g.view.Load()
	if v.Configuration == nil {
		return nil, denial{http.StatusServiceUnavailable, "no configuration known", unknownRetryAfter}
	}
	route, ok := v.Configuration.Route(r.Host, rawPath(r))
	if !ok {
		return nil, g.unexplained(arrived, http.StatusNotFound, "no route")
	}
	told, err := g.options.Codec.Request(r.Header)
	if err != nil {
		return nil, denial{status: http.StatusBadRequest, reason: err.Error()}
	}
	account, ok := v.account(route, told.Key)
	if !ok {
		return nil, g.unexplained(arrived, http.StatusUnauthorized, "unknown key")
	}
	c := &call{
		gateway: g, w: w, request: r, told: told, route: route, account: account.Name,
		arrived: arrived, deadline: arrived.Add(holdTime(route, told)), regions: route.Regions.Intersect(account.Regions),
	}
	if d := c.readBody(v.Configuration.Limits); d.status != 0 {
		return nil, d
	}
	c.describe(v)
	return c, denial{}
}

// unexplained denies what the configuration does not allow. If the view may be old,
// a newer one may well allow it, so the caller is told to come back.
func (g *Gateway) unexplained(now time.Time, status int, reason string) denial {
	if now.Sub(g.confirmedAt()) > freshView {
		return denial{http.StatusServiceUnavailable, reason + " in a configuration that may be old", unknownRetryAfter}
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

// rawPath is the path as the caller wrote it.
func rawPath(r *http.Request) string {
	path, _, _ := strings.Cut(requestTarget(r), "?")
	return path
}

// requestTarget is the path and query as the caller wrote them, without scheme and host.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// holdTime is how long a request may be held.
func holdTime(route *catalog.Route, told protocol.Request) time.Duration {
	hold := defaultDeadline
	if route.Timeout > 0 {
		hold = route.Timeout
	}
	if told.HasDeadline {
		hold = min(hold, told.Deadline)
	}
	return hold
}

// readBody reads the whole body, which has to arrive before the deadline.
func (c *call) readBody(l catalog.Limits) denial {
	most := l.BodyBytes
	if most <= 0 {
		most = defaultBody
	}
	if c.request.ContentLength > most {
		return denial{status: http.StatusRequestEntityTooLarge, reason: "body too long"}
	}
	if c.request.ContentLength == 0 {
		return denial{}
	}
	control := http.NewResponseController(c.w)
	if err := control.SetReadDeadline(c.deadline); err != nil {
		return denial{http.StatusServiceUnavailable, "connection is closing", crowdedRetryAfter}
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.request.Body, most))
	var long *http.MaxBytesError
	switch {
	case errors.As(err, &long):
		return denial{status: http.StatusRequestEntityTooLarge, reason: "body too long"}
	case err != nil:
		return denial{status: http.StatusBadRequest, reason: "body was not received: " + err.Error()}
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return denial{http.StatusServiceUnavailable, "connection is closing", crowdedRetryAfter}
	}
	c.body = body
	return denial{}
}

// describe fills in what placement wants to know.
func (c *call) describe(v *View) {
	c.service = c.route.PickService(unitHash(c.told.ID))
	output := c.told.ExpectedOutputTokens
	if output == 0 {
		output = c.told.MaxOutputTokens
	}
	prompt := c.told.PromptTokens
	parts := make([]placement.Part, len(c.told.Parts))
	sum := 0
	for i, p := range c.told.Parts {
		parts[i] = placement.Part{Hash: partHash(c.told.Model, p.ID), Tokens: p.Tokens}
		sum += p.Tokens
	}
	prompt = max(prompt, sum)
	c.tokens = float64(prompt + outputWeight*output)
	c.spent = c.gateway.returned.spent(c)
	c.ask = placement.Request{
		Service: c.service, Account: c.account, Parts: parts, PromptTokens: prompt, OutputTokens: output,
		Hall: c.gateway.options.Dispatcher.Hall, TieBreak: hashString(c.told.ID), Regions: c.regions,
	}
	if s, ok := v.Configuration.Service(c.service); ok {
		c.engine = s.Engine != nil
	}
}

// partHash names a part of a model's prompts in few bytes.
func partHash(model, id string) uint64 { return hashString(model + "/" + id) }

// A token that is made counts as much as two that are read (source: the platform's
// page on the servers' rate).
const outputWeight = 2

// unitHash maps an ID to [0, 1), so that a request keeps its service when a caller's
// connection breaks and it comes again. IDs that differ in their last signs only have nearly
// the same high bits in an FNV sum, so it is mixed (the finalizer of MurmurHash3).
func unitHash(id string) float64 {
	const bits = 53 // of a float64's mantissa
	h := hashString(id)
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return float64(h>>(64-bits)) / (1 << bits)
}

// deny answers a request that goes to no server.
func (g *Gateway) deny(w http.ResponseWriter, r *http.Request, d denial) {
	writeDenial(w, d)
	g.log.Info().Str("event", "request.denied").Str("host", r.Host).Str("path", r.URL.Path).
		Int("status", d.status).Str("reason", d.reason).Dur("retry_after", d.retryAfter).
		EmbedObject(revisionFields(g.view.Load().Revision)).Dur("view_age", time.Since(g.confirmedAt())).Msg("answered")
	g.options.Metrics.RequestEnded(Outcome{Result: "denied"})
}

// writeDenial also ends the connection: who comes back does so on another one, and
// connections that rest would use up the host's descriptors when many are refused.
func writeDenial(w http.ResponseWriter, d denial) {
	w.Header().Set("Connection", "close")
	if d.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(d.retryAfter.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(d.status)
	// The caller may have gone; there is nobody to tell.
	_, _ = io.WriteString(w, d.reason+"\n")
}
