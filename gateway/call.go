package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/placement"
	"opalbridge.dev/gateway/protocol"
	"opalbridge.dev/gateway/quarantine"
	"opalbridge.dev/gateway/upstream"
)

// call is a caller's request on its way.
type call struct {
	gateway  *Gateway
	w        http.ResponseWriter
	request  *http.Request
	told     protocol.Request
	body     []byte
	route    *catalog.Route
	account  string
	service  string
	engine   bool    // the service is a model engine
	tokens   float64 // what it counts in its account's share
	ask      placement.Request
	regions  catalog.Regions // where it may be served
	arrived  time.Time
	spent    time.Duration // since the caller's first try, before it arrived
	deadline time.Time

	attempts        int           // sends to servers
	arrivals        int           // sends that have reached a server
	mayRun          bool          // a server may have run it
	left            bool          // the caller has closed its connection
	headSent        bool          // the caller has got the head of an answer
	lastEvent       string        // ID of the last event passed on
	first           time.Time     // when the caller was sent the first byte; zero: not yet
	lastEventAt     time.Time     // when it was sent the latest event; zero: none
	pause           time.Duration // longest between two events
	status          int           // of the latest server's answer; 0: none, or not all of it
	events          int           // of that
	began           time.Time     // when it was sent the first of them
	result          string        // for logs and metrics
	reason          string
	fingerprint     quarantine.Key // see key
	hasFingerprint  bool           // identity is set
	responseStarted atomic.Bool    // the caller has got a part of an answer
	probe           bool           // it is barred and is sent all the same, once
}

// step is what to do after an attempt.
type step interface{ step() }

// done: the caller has its answer, or has gone.
type done struct{}

// again: another server may have the request.
type again struct{ err error }

// fail: no answer can be had.
type fail struct {
	err  error
	late bool // the deadline has passed
}

func (done) step()  {}
func (again) step() {}
func (fail) step()  {}

// run brings the request to servers until it has an answer or none can be had.
func (c *call) run(ctx context.Context) {
	c.gateway.dispatcher.send(requestArrived{service: c.service, account: c.account, tokens: c.tokens})
	defer c.report()
	for {
		switch s := c.attempt(ctx).(type) {
		case done:
			return
		case fail:
			c.fail(ctx, s)
			return
		case again:
			c.gateway.log.Info().Str("event", "attempt.failed").Str("request", c.told.ID).Int("attempt", c.attempts).
				Err(s.err).Bool("may_have_run", c.mayRun).Msg("look for another server")
		}
	}
}

// attempt places the request once and sends it.
func (c *call) attempt(ctx context.Context) step {
	if c.quarantined(false) {
		return fail{err: errQuarantined}
	}
	now := time.Now()
	c.ask.Remaining = c.deadline.Sub(now)
	c.ask.Objective = 0
	if c.route.Objective > 0 && !c.mayRun {
		c.ask.Objective = objectiveLeft(c.route.Objective, c.spent+now.Sub(c.arrived))
		c.ask.CallerTimeout = min(c.route.CallerTimeout-now.Sub(c.arrived), c.ask.Remaining)
	}
	decision, ok := c.gateway.dispatcher.requestPlacement(ctx, &c.ask, c.arrivals > 0, c.tokens)
	if !ok {
		return fail{err: context.Cause(ctx), late: errors.Is(context.Cause(ctx), errDeadline)}
	}
	switch d := decision.(type) {
	case placement.Assign:
		return c.send(ctx, d)
	case placement.Refuse:
		c.refuse(d)
		return done{}
	default:
		return fail{err: errors.Newf("gateway: no server of service %s takes work", c.service)}
	}
}

// objectiveLeft is what is left of an objective; it is never 0, which stands for none.
func objectiveLeft(objective, spent time.Duration) time.Duration {
	switch objective {
	case 0:
		return 0
	case spent:
		return -1
	}
	return objective - spent
}

// errCallerLeft is the end of a request whose caller has closed its connection.
var errCallerLeft = errors.New("gateway: the caller has left")

// send sends the request to a server and passes the answer on.
func (c *call) send(ctx context.Context, d placement.Assign) step {
	// A process short of processor notices late that a caller has left.
	if c.gateway.overload.short(time.Now()) && callerGone(ctx) {
		c.gateway.dispatcher.send(attemptEnded{ticket: d.ID, server: d.Server.ID, end: placement.Abandoned})
		c.left = true
		return fail{err: errCallerLeft}
	}
	if c.quarantined(true) { // others may have told so while it waited
		c.gateway.dispatcher.send(attemptEnded{ticket: d.ID, server: d.Server.ID, end: placement.Abandoned})
		return fail{err: errQuarantined}
	}
	sent := time.Now()
	if err := c.gateway.signals.checkAvailable(sent, d.Server.ID); err != nil {
		c.gateway.dispatcher.send(attemptEnded{ticket: d.ID, server: d.Server.ID, end: placement.NotSent})
		return again{err}
	}
	c.attempts++
	c.ask.Exclude = append(c.ask.Exclude, d.Server.ID)
	c.gateway.log.Info().Str("event", "attempt.sent").Str("request", c.told.ID).Int("attempt", c.attempts).
		Str("server", d.Server.ID).Dur("predicted", d.Predicted).Dur("work", d.Load.Work).Dur("reading", d.PrefillTime).Float64("tokens", c.tokens).
		Dur("left", c.deadline.Sub(sent)).Str("account", c.account).Bool("over_share", c.ask.OverShare).
		Int("prompt", c.ask.PromptTokens).Dur("waiting", d.QueueTime).Int("reread", d.SharedMissTokens).Dur("spent", c.spent).Float64("ahead", c.ask.ShareRatio).Bool("again", c.spent > 0).Str("copy_from", d.CopyFrom).Msg("placed")
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil) // stops the server's work if the answer was not read to its end
	c.gateway.activeCalls.add(c, cancel)
	defer c.gateway.activeCalls.remove(c)
	c.status, c.events = 0, 0
	result := c.gateway.pool.Send(ctx, d.Server, c.forServer(d, sent))
	end, next := c.judge(ctx, d, sent, result)
	c.gateway.dispatcher.send(attemptEnded{ticket: d.ID, server: d.Server.ID, end: end, route: c.route.Name, status: c.status, pause: c.meanPause()})
	return next
}

// forServer makes the request that goes to a server.
func (c *call) forServer(d placement.Assign, now time.Time) *upstream.Request {
	h := c.request.Header.Clone()
	upstream.RemoveHopByHopHeaders(h)
	h.Del("Expect") // the whole body is here
	c.gateway.options.Codec.Forward(h, protocol.Forward{
		Caller: c.request.Header, Server: d.Server.Name(), Account: c.account, Deadline: c.deadline.Sub(now), LastEventID: c.lastEvent,
		CopyFrom: d.CopyFrom,
	})
	return &upstream.Request{
		ID: c.told.ID, Method: c.request.Method, Target: requestTarget(c.request), Host: c.request.Host,
		Header: h, Body: c.body, Idempotent: c.route.MayRepeat(), SendBefore: d.SendBefore,
		BeforeSend: func() error { return c.gateway.signals.checkAvailable(time.Now(), d.Server.ID) },
	}
}

// judge turns what is known of an attempt into the next step.
func (c *call) judge(ctx context.Context, d placement.Assign, sent time.Time, r upstream.Result) (placement.Outcome, step) {
	switch r := r.(type) {
	case upstream.Unsent:
		if ctx.Err() != nil {
			return placement.Abandoned, c.contextEnded(ctx)
		}
		if errors.Is(r.Err, upstream.ErrTooLate) {
			return placement.Abandoned, again{r.Err}
		}
		if errors.Is(r.Err, errServerLeaving) || errors.Is(r.Err, errServerBackoff) {
			c.notSent()
			return placement.NotSent, again{r.Err}
		}
		if errors.Is(r.Err, syscall.ECONNREFUSED) {
			c.gateway.crashes.connectionRefused(time.Now(), d.Server.ID)
		}
		return placement.Unreachable, again{r.Err}
	case upstream.NotExecuted:
		c.arrivals++
		return placement.Rejected, again{errors.Newf("gateway: server %s has not run it: status %d", d.Server.ID, r.Status)}
	case upstream.Indeterminate:
		c.arrivals++
		c.mayRun = true
		if ctx.Err() != nil {
			return placement.Abandoned, c.abandonAttempt(ctx, d, sent)
		}
		if r.ConnectionFailed {
			c.reportLost(d, sent, lossConnectionBroke)
		}
		return placement.Failed, c.afterFailure(r.Err)
	case upstream.Responded:
		c.arrivals++
		c.mayRun = true
		end, next := c.pass(ctx, d, sent, r.Response)
		if end == placement.Served || r.Response.Status >= minFailureStatus {
			c.status = r.Response.Status
		}
		r.Response.Close()
		return end, next
	default:
		panic(errors.AssertionFailedf("gateway: result %T", r))
	}
}

// notSent takes back that the latest server was tried.
func (c *call) notSent() {
	c.attempts--
	c.ask.Exclude = c.ask.Exclude[:len(c.ask.Exclude)-1]
}

// contextEnded is the step after the request's context has contextEnded.
func (c *call) contextEnded(ctx context.Context) step {
	cause := context.Cause(ctx)
	return fail{err: cause, late: errors.Is(cause, errDeadline)}
}

// afterFailure decides whether a request that a server may have run goes on.
func (c *call) afterFailure(err error) step {
	if !c.mayTryAgain() {
		return fail{err: err}
	}
	return again{err}
}

// refuse tells the caller that the request is given up and has not run, and when to
// come back. After an attempt that may have run it can only say that it failed.
func (c *call) refuse(d placement.Refuse) {
	c.result, c.reason = "refused", string(d.Reason)
	if c.mayRun {
		c.fail(context.Background(), fail{err: errors.New(string(d.Reason))})
		return
	}
	c.write(denial{http.StatusServiceUnavailable, string(d.Reason), d.RetryAfter})
	c.gateway.log.Info().Str("event", "request.refused").Str("request", c.told.ID).Str("account", c.account).
		Str("reason", string(d.Reason)).Dur("objective", c.route.Objective).Int("prompt", c.ask.PromptTokens).Dur("spent", c.spent).Dur("predicted", d.Predicted).Dur("retry_after", d.RetryAfter).
		Bool("over_share", c.ask.OverShare).Bool("stop", c.ask.Capped).Float64("ahead", c.ask.ShareRatio).Bool("again", c.spent > 0).Msg("not run")
}

// fail gives the final answer to a request that no server has answered.
func (c *call) fail(ctx context.Context, f fail) {
	c.reason = f.err.Error()
	switch {
	case c.left || c.request.Context().Err() != nil:
		c.result = "left" // nobody is there to be answered
	case c.headSent:
		c.result = "cut"
		c.gateway.log.Warn().Str("event", "request.cut").Str("request", c.told.ID).Err(f.err).Str("last_event", c.lastEvent).Msg("answer is incomplete")
		panic(http.ErrAbortHandler) // the connection breaks, so that the answer looks cut
	case errors.Is(f.err, errQuarantined):
		c.result = "barred"
		c.write(denial{status: http.StatusBadGateway, reason: c.reason})
	case !c.mayRun:
		c.result = "refused"
		c.write(denial{http.StatusServiceUnavailable, "not run: " + c.reason, unknownRetryAfter})
	case f.late:
		c.result = "failed"
		c.write(denial{status: http.StatusGatewayTimeout, reason: c.reason})
	default:
		c.result = "failed"
		c.write(denial{status: http.StatusBadGateway, reason: c.reason})
	}
}

func (c *call) write(d denial) {
	writeDenial(c.w, d)
	c.gateway.returned.refused(c)
}

// report writes the request's last log line and counts it.
func (c *call) report() {
	now := time.Now()
	o := Outcome{Service: c.service, Account: c.account, Kind: kindName(c.route), Result: c.result, Total: now.Sub(c.arrived), Attempts: c.attempts}
	if !c.first.IsZero() {
		o.FirstByte = c.first.Sub(c.arrived)
	}
	if o.Result == "served" && c.late(o.FirstByte) {
		o.Result = "late"
	}
	c.gateway.options.Metrics.RequestEnded(o)
	c.gateway.log.Info().Str("event", "request.ended").Str("request", c.told.ID).Str("route", c.route.Name).
		Str("kind", kindName(c.route)).Dur("spent", c.spent).Str("account", c.account).Str("result", o.Result).Str("reason", c.reason).Int("attempts", c.attempts).
		Dur("first", o.FirstByte).Dur("pause", c.pause).Dur("whole", o.Total).EmbedObject(revisionFields(c.gateway.view.Load().Revision)).Msg("request")
}

// late tells whether an answer came later than its route's operator wants: the first event
// after the caller's first try, or an event after the one before.
func (c *call) late(first time.Duration) bool {
	r := c.route
	return r.Objective > 0 && c.spent+first > r.Objective || r.MaxEventGap > 0 && c.pause > r.MaxEventGap
}

func kindName(r *catalog.Route) string {
	switch r.Kind {
	case catalog.Stream:
		return "stream"
	case catalog.Repeatable:
		return "repeatable"
	default:
		return "one-shot"
	}
}
