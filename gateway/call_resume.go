package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/origin"
	"opalbridge.dev/gateway/upstream"
)

// This file is a call's part in keeping a stream at the software version that began it.

// ResumeOutcome is what became of a caller's attempt to take up a stream.
type ResumeOutcome string

// Outcomes of attempts to take up a stream.
const (
	ResumeKnown     ResumeOutcome = "known"         // its version is known and has servers
	ResumeUnknown   ResumeOutcome = "unknown"       // no gateway that was asked knows where it began
	ResumeAmbiguous ResumeOutcome = "ambiguous"     // two streams began under the ID that the caller names
	ResumeUnnamed   ResumeOutcome = "unnamed"       // the caller names no attempt, and several versions have served
	ResumeNoVersion ResumeOutcome = "version gone"  // no server of its version is known for the route
	ResumeStranded  ResumeOutcome = "none takes it" // after ResumeKnown: no server of its version takes the stream
)

// Reasons why a stream does not go on. The caller can begin it anew.
var (
	errOriginUnknown   = errors.New("the stream can't go on: no gateway knows where it began")
	errOriginAmbiguous = errors.New("the stream can't go on: two streams began under the ID that it resumes")
	errOriginUnnamed   = errors.New("the stream can't go on: the request names no attempt that began it")
	errVersionGone     = errors.New("the stream can't go on: there is no server of the version that began it")
	errStreamStranded  = errors.New("the stream can't go on: no server of the version that began it takes it")
)

// originRetentionSlack is how much longer than its caller waits a stream's origin is remembered: a
// caller that takes it up may wait anew.
const originRetentionSlack = 30 * time.Second

// A caller may take up a stream without naming an attempt if its service has had one version only
// for as long as a caller may wait, which a route's timeout does not bound, and before that as long
// as a server whose entry has gone may still have begun streams.
const (
	longestWait   = 15 * time.Second
	longestLinger = 5 * time.Second
)

// resumes reports whether the caller takes up a stream.
func (c *call) resumes() bool {
	return c.route.Kind == catalog.Stream && (c.meta.LastEventID != "" || c.meta.Resumes != "")
}

// pinResumed restricts the call to the software version that began the stream that it takes up. It
// reports false if the stream can't go on, and then has answered the caller.
func (c *call) pinResumed(ctx context.Context) bool {
	if !c.resumes() {
		return true
	}
	began := time.Now()
	server, outcome, err := c.findOrigin(ctx)
	if err != nil && ctx.Err() != nil { // the search was not finished
		c.fail(ctx, c.contextEnded(ctx))
		return false
	}
	c.recordResume(outcome, server, time.Since(began))
	if err != nil {
		c.refuseResume(err)
		return false
	}
	c.setService(server.Service)
	c.placeReq.Pinned, c.placeReq.Version = true, server.Version
	return true
}

// findOrigin returns a server of the service and version that began the stream.
func (c *call) findOrigin(ctx context.Context) (catalog.Server, ResumeOutcome, error) {
	if c.meta.Resumes == "" {
		return c.onlyOrigin(ctx)
	}
	switch f := c.gateway.origins.lookup(ctx, origin.AttemptOf(c.account, c.meta.Resumes)).(type) {
	case origin.Known:
		s, ok := c.serverOfVersion(f.Version)
		if !ok {
			return s, ResumeNoVersion, errVersionGone
		}
		return s, ResumeKnown, nil
	case origin.Ambiguous:
		return catalog.Server{}, ResumeAmbiguous, errOriginAmbiguous
	default:
		return catalog.Server{}, ResumeUnknown, errOriginUnknown
	}
}

// serverOfVersion returns any server of a version among the services of the route.
func (c *call) serverOfVersion(v origin.Version) (catalog.Server, bool) {
	compared := map[origin.Serving]bool{}
	for _, s := range c.gateway.view.Load().Servers {
		key := origin.Serving{Service: s.Service, Version: s.Version}
		if compared[key] || !c.route.HasTarget(s.Service) {
			continue
		}
		compared[key] = true
		if origin.VersionOf(s.Service, s.Version) == v {
			return s, true
		}
	}
	return catalog.Server{}, false
}

// onlyOrigin returns the service and version of a stream whose caller names no attempt. They are
// known only if the route has a single service, and that has had a single version since before any
// such stream can have begun. The stream may have begun at a version that has joined a moment ago, so
// the view has to be current.
func (c *call) onlyOrigin(ctx context.Context) (catalog.Server, ResumeOutcome, error) {
	if len(c.route.Targets) != 1 {
		return catalog.Server{}, ResumeUnnamed, errOriginUnnamed
	}
	timeout := c.route.Timeout
	if timeout == 0 {
		timeout = defaultDeadline
	}
	service := c.route.Targets[0].Service
	span := max(timeout, c.meta.Deadline, longestWait) + longestLinger
	if _, ok := c.gateway.origins.onlyVersion(time.Now(), service, span); !ok {
		return catalog.Server{}, ResumeUnnamed, errOriginUnnamed // whatever the view lacks
	}
	if err := c.gateway.awaitCurrentView(ctx); err != nil {
		return catalog.Server{}, ResumeUnnamed, errors.CombineErrors(errOriginUnnamed, err)
	}
	version, ok := c.gateway.origins.onlyVersion(time.Now(), service, span)
	if !ok {
		return catalog.Server{}, ResumeUnnamed, errOriginUnnamed
	}
	return catalog.Server{Service: service, Version: version}, ResumeKnown, nil
}

// pinVersion restricts further attempts to the software version of the server whose event is
// about to be relayed, and reports where the stream began. The event does not wait for that.
func (c *call) pinVersion(ctx context.Context, s catalog.Server, r *upstream.Response) {
	if c.originReported {
		return
	}
	c.originReported = true
	c.placeReq.Pinned, c.placeReq.Version = true, s.Version
	if !c.gateway.lifetimeInDoubt(s) || r.LifetimeConfirmed() {
		c.reportOrigin(s)
		return
	}
	c.placeReq.Version = ""
	c.origin = make(chan string, 1)
	go c.confirmOrigin(context.WithoutCancel(ctx), s, r, c.origin)
}

// confirmOrigin reports where the stream began once it is certain which lifetime of the server
// answers. It reports its end on a channel that has room.
func (c *call) confirmOrigin(ctx context.Context, s catalog.Server, r *upstream.Response, done chan<- string) {
	if err := c.gateway.confirmLifetime(ctx, s); err != nil {
		c.gateway.log.Info().Str("event", "stream.origin_unknown").Str("request", c.meta.ID).Str("server", s.ID).Err(err).Msg("stream can't go on elsewhere: its server may have started again")
		done <- ""
		return
	}
	r.ConfirmLifetime()
	c.reportOrigin(s)
	done <- s.Version
}

// awaitOrigin waits, before another attempt, until the version that began the stream is certain, or ctx ends.
func (c *call) awaitOrigin(ctx context.Context) {
	if c.origin == nil {
		return
	}
	select {
	case c.placeReq.Version = <-c.origin: // takes lifetimeQueryTimeout at most
		c.origin = nil
	case <-ctx.Done():
	}
}

// lifetimeCheck returns the check of a server's lifetime that a stream needs to go on there; nil if
// none.
func (c *call) lifetimeCheck(s catalog.Server) func(ctx context.Context) error {
	if !c.placeReq.Pinned || !c.gateway.lifetimeInDoubt(s) {
		return nil
	}
	return func(ctx context.Context) error { return c.gateway.confirmLifetime(ctx, s) }
}

// reportOrigin reports that the stream of this attempt began at the version of a server. It also
// reports anew the attempt that this one resumes: the caller names that one again, and gateways
// that knew it may have ended since.
func (c *call) reportOrigin(s catalog.Server) {
	if !c.route.Resumable || s.Version == "" {
		return
	}
	wait := min(c.deadline.Sub(c.arrived), origin.MaxRetention)
	if c.meta.HasDeadline {
		wait = min(c.meta.Deadline, origin.MaxRetention)
	}
	o := origin.Origin{Version: origin.VersionOf(s.Service, s.Version), Expires: c.arrived.Add(wait + originRetentionSlack)}
	for _, id := range []string{c.meta.ID, c.meta.Resumes} {
		if id != "" {
			o.Attempt = origin.AttemptOf(c.account, id)
			c.gateway.origins.begun(time.Now(), o)
		}
	}
}

// refuseResume tells the caller that the stream can't go on, and that it may begin anew at once.
func (c *call) refuseResume(err error) {
	c.result, c.reason = "refused", err.Error()
	c.deny(denial{status: http.StatusServiceUnavailable, reason: c.reason, beginAnew: true})
}

// recordResume logs and counts an attempt to take up a stream.
func (c *call) recordResume(outcome ResumeOutcome, s catalog.Server, took time.Duration) {
	c.gateway.log.Info().Str("event", "stream.resumed").Str("request", c.meta.ID).Str("resumes", c.meta.Resumes).Str("after_event", c.meta.LastEventID).
		Str("outcome", string(outcome)).Str("service", s.Service).Str("server_version", s.Version).Dur("lookup", took).Str("account", c.account).Msg("caller takes up a stream")
	if c.gateway.options.Metrics != nil {
		c.gateway.options.Metrics.StreamResumed(c.service, outcome)
	}
}
