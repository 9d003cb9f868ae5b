package gateway

import (
	"cmp"
	"context"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/continuation"
	"opalbridge.dev/gateway/continuation/transfer"
	"opalbridge.dev/gateway/memory"
	"opalbridge.dev/gateway/placement"
	"opalbridge.dev/gateway/protocol"
	"opalbridge.dev/gateway/suspect"
	"opalbridge.dev/gateway/upstream"
)

// call is a caller's request in progress.
type call struct {
	gateway           *Gateway
	w                 http.ResponseWriter
	request           *http.Request
	meta              protocol.Request
	body              []byte
	bodyMemory        *memory.Reservation // holds the memory of body
	route             *catalog.Route
	account           string
	priority          int // 0 is the most urgent
	service           string
	engine            bool    // the service is a model engine
	cost              float64 // cost charged to the account's share
	placeReq          placement.Request
	regions           catalog.Regions // regions in which it may be served
	arrived           time.Time
	sinceFirstAttempt time.Duration // time between the caller's first attempt and the arrival of this one
	deadline          time.Time

	attempts        int           // number of times it was sent to a server
	delivered       int           // number of times it reached a server
	mayHaveRun      bool          // a server may have run it
	headerSent      bool          // the response header has been sent to the caller
	lastEventID     string        // ID of the last event relayed
	firstByteAt     time.Time     // when the first byte was sent to the caller; zero: not yet
	lastEventAt     time.Time     // when the latest event was sent to the caller; zero: none
	maxEventGap     time.Duration // longest interval between two events
	status          int           // of the latest server's response; 0: none, or an incomplete response
	eventCount      int           // number of events of that response
	firstEventAt    time.Time     // when the first of them was sent to the caller
	result          string        // for logs and metrics
	reason          string
	endedBy         endCause          // empty: the answer was complete, or the request failed for another reason
	cachedSubjects  *suspect.Subjects // computed by subjects; nil: not yet
	responseStarted atomic.Bool       // the caller has received part of a response
	trial           bool              // it is quarantined but is sent once as a trial
	originReported  bool              // an event was relayed, and the version of its server was or will be reported
	origin          chan string       // gets the version that began the stream once it is certain, empty if it is not; nil: it is in placeReq

	refusal      placement.Refuse      // decision by which it was refused
	relayed      int                   // events relayed to the caller by all attempts
	sequence     continuation.Sequence // their IDs
	moves        int                   // number of times its run was stopped to go on from a copy
	crashResumes int                   // number of servers that went on with it after a crash; like attempts, they leave fewer servers for retries
	crashes      int                   // number of servers that have crashed under it, as this call has seen
	movedFrom    *transfer.Run         // the run that has moved last
	continuing   *continueStep         // the attempt goes on with a run; nil: it begins one
	serverRun    *transfer.Run         // of the latest attempt, if it can move
}

// step is the next step after an attempt.
type step interface{ step() }

// doneStep ends the call: the caller has its response, or has disconnected.
type doneStep struct{}

// retryStep means that another server may run the request.
type retryStep struct{ err error }

// failStep means that the request has failed for good.
type failStep struct {
	err            error
	deadlinePassed bool
}

func (doneStep) step()  {}
func (retryStep) step() {}
func (failStep) step()  {}

// run sends the request to servers until it has a response or has failed for good.
func (c *call) run(ctx context.Context) {
	defer c.report()
	if !c.pinResumed(ctx) {
		return
	}
	c.gateway.dispatcher.send(requestArrived{service: c.service, account: c.account, tokens: c.cost})
	next := c.attempt(ctx)
	for {
		switch s := next.(type) {
		case doneStep:
			c.answerComplete()
			return
		case failStep:
			c.fail(ctx, s)
			return
		case continueStep:
			next = c.continueRun(ctx, s)
		case retryStep:
			c.gateway.log.Info().Str("event", "attempt.failed").Str("request", c.meta.ID).Int("attempt", c.attempts).
				Err(s.err).Bool("may_have_run", c.mayHaveRun).Msg("retrying at another server")
			next = c.attempt(ctx)
		}
	}
}

// attempt places the request once and sends it.
func (c *call) attempt(ctx context.Context) step {
	if err := c.checkQuarantine(ctx, false); err != nil {
		return failStep{err: err}
	}
	c.awaitOrigin(ctx)
	if ctx.Err() != nil {
		return c.contextEnded(ctx)
	}
	now := time.Now()
	c.placeReq.Remaining = c.deadline.Sub(now)
	c.placeReq.Objective, c.placeReq.FullObjective = 0, c.route.Objective
	c.placeReq.MayBackUp = c.mayBackUp()
	if c.route.Objective > 0 && !c.mayHaveRun {
		c.placeReq.Objective = remainingObjective(c.route.Objective, c.sinceFirstAttempt+now.Sub(c.arrived))
		c.placeReq.CallerTimeout = min(c.route.CallerTimeout-now.Sub(c.arrived), c.placeReq.Remaining)
	}
	decision, ok := c.gateway.dispatcher.requestPlacement(ctx, &c.placeReq, c.delivered > 0, c.cost)
	if !ok {
		return failStep{err: context.Cause(ctx), deadlinePassed: errors.Is(context.Cause(ctx), errDeadline)}
	}
	switch d := decision.(type) {
	case placement.Assign:
		return c.send(ctx, d)
	case placement.Refuse:
		c.refuse(d)
		return doneStep{}
	default:
		return failStep{err: c.noServerError()}
	}
}

// noServerError returns the error of a request that no server can get.
func (c *call) noServerError() error {
	if c.placeReq.Pinned {
		return errors.Wrapf(errStreamStranded, "gateway: service %s, version %q", c.service, c.placeReq.Version)
	}
	return errors.Newf("gateway: no server of service %s takes work", c.service)
}

// remainingObjective returns what is left of an objective. It is never 0, which means that
// there is no objective.
func remainingObjective(objective, elapsed time.Duration) time.Duration {
	switch objective {
	case 0:
		return 0
	case elapsed:
		return -1
	}
	return objective - elapsed
}

// send sends the request to a server and relays the response.
func (c *call) send(ctx context.Context, d placement.Assign) step {
	// An overloaded process notices late that a caller has disconnected.
	if c.gateway.overload.overloaded(time.Now()) && callerClosed(ctx) {
		c.gateway.dispatcher.send(attemptEnded{attemptID: d.ID, server: d.Server.ID, end: placement.Abandoned})
		return failStep{err: errCallerClosed}
	}
	// What the end of the grace period frees must not go to a request that it ends as well.
	if c.gateway.expired.Err() != nil {
		c.gateway.dispatcher.send(attemptEnded{attemptID: d.ID, server: d.Server.ID, end: placement.Abandoned})
		return failStep{err: errGraceExpired}
	}
	if err := c.checkQuarantine(ctx, true); err != nil { // other gateways may have reported crashes while it waited
		c.gateway.dispatcher.send(attemptEnded{attemptID: d.ID, server: d.Server.ID, end: placement.Abandoned})
		return failStep{err: err, deadlinePassed: errors.Is(err, errDeadline)}
	}
	sent := time.Now()
	if err := c.checkAvailable(sent, d.Server); err != nil {
		c.gateway.dispatcher.send(attemptEnded{attemptID: d.ID, server: d.Server.ID, end: placement.NotSent})
		if c.continuing != nil {
			return c.refusedToContinue(ctx, err)
		}
		return retryStep{err}
	}
	if c.continuing == nil {
		c.attempts++
	} else {
		c.continuing.sent = true
	}
	c.placeReq.Exclude = append(c.placeReq.Exclude, d.Server.ID)
	c.logSent(sent, d)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil) // cancels the server's work if the response was not read to its end
	c.gateway.activeCalls.add(c, cancel)
	defer c.gateway.activeCalls.remove(c)
	c.status, c.eventCount = 0, 0
	defer c.gateway.runs.AddID(c.meta.ID)()
	if d.Backup.ID != "" && c.gateway.runs.SharedID(c.meta.ID) {
		d.Backup = catalog.Server{} // since it was placed
	}
	c.serverRun = c.beginRun(ctx, cancel, d, sent)
	defer c.endRun(c.serverRun)
	result := c.gateway.pool.Send(ctx, d.Server, c.upstreamRequest(d, sent))
	end, next := c.handleResult(ctx, d, sent, result)
	c.gateway.dispatcher.send(attemptEnded{attemptID: d.ID, server: d.Server.ID, end: end, route: c.route.Name, status: c.status, eventInterval: c.meanEventInterval(), service: d.Server.Service, events: c.answeredEvents(), withinShare: !c.placeReq.OverShare, paused: c.paused()})
	return next
}

// logSent logs an attempt with what decided it.
func (c *call) logSent(sent time.Time, d placement.Assign) {
	c.gateway.log.Info().Str("event", "attempt.sent").Str("request", c.meta.ID).Int("attempt", c.attempts).
		Str("server", d.Server.ID).Str("server_version", d.Server.Version).
		Str("resumes", c.meta.Resumes).Str("after_event", cmp.Or(c.lastEventID, c.meta.LastEventID)).
		Dur("predicted", d.Predicted).Dur("waiting", d.QueueTime).Dur("work", d.Load.Work).Dur("reading", d.PrefillTime).
		Int("prompt", c.placeReq.PromptTokens).Int("reread", d.SharedMissTokens).Float64("tokens", c.cost).
		Dur("left", c.deadline.Sub(sent)).Dur("spent", c.sinceFirstAttempt).Bool("again", c.sinceFirstAttempt > 0).
		Str("account", c.account).Bool("over_share", c.placeReq.OverShare).Float64("ahead", c.placeReq.ShareRatio).
		Dur("pause", d.Pause).Float64("late_share", d.LateShare).EmbedObject(avoidedFields(d.Avoided)).
		Dur("held", c.placeReq.Waited).Str("held_for", string(c.placeReq.HoldReason)).
		Str("copy_from", d.CopyFrom).EmbedObject(surplusFields(d.Surplus)).Msg("request sent to server")
}

// upstreamRequest builds the request to a server.
func (c *call) upstreamRequest(d placement.Assign, now time.Time) *upstream.Request {
	h := c.request.Header.Clone()
	upstream.RemoveHopByHopHeaders(h)
	h.Del("Expect") // the whole body has been received
	c.gateway.options.Codec.Forward(h, protocol.Forward{
		Caller: c.request.Header, Server: d.Server.Name(), Account: c.account, Deadline: c.deadline.Sub(now), LastEventID: c.lastEventID,
		CopyFrom: d.CopyFrom, BackupTo: d.Backup.Address, ContinueFrom: c.continueFrom(),
	})
	return &upstream.Request{
		ID: c.meta.ID, Method: c.request.Method, Target: requestTarget(c.request), Host: c.request.Host,
		Header: h, Body: c.body, Idempotent: c.route.MayRepeat(), SendBefore: d.SendBefore,
		BeforeSend: func() error { return c.checkAvailable(time.Now(), d.Server) }, ConfirmLifetime: c.lifetimeCheck(d.Server),
	}
}

// handleResult turns the result of an attempt into the next step.
func (c *call) handleResult(ctx context.Context, d placement.Assign, sent time.Time, r upstream.Result) (placement.Outcome, step) {
	if c.continuing != nil {
		if end, next, ok := c.handleNotContinued(ctx, d, r); ok {
			return end, next
		}
	}
	switch r := r.(type) {
	case upstream.Unsent:
		if ctx.Err() != nil {
			return placement.Abandoned, c.contextEnded(ctx)
		}
		if errors.Is(r.Err, upstream.ErrTooLate) {
			return placement.Abandoned, retryStep{r.Err}
		}
		if errors.Is(r.Err, errServerLeaving) || errors.Is(r.Err, errServerBackoff) {
			c.undoAttempt()
			return placement.NotSent, retryStep{r.Err}
		}
		if errors.Is(r.Err, syscall.ECONNREFUSED) {
			c.gateway.crashes.connectionRefused(time.Now(), d.Server.ID)
		}
		return placement.Unreachable, retryStep{r.Err}
	case upstream.NotExecuted:
		c.delivered++
		return placement.Rejected, retryStep{errors.Newf("gateway: server %s has not run it: status %d", d.Server.ID, r.Status)}
	case upstream.Indeterminate:
		c.delivered++
		c.mayHaveRun = true
		c.recordInvalid(d.Server, r.Err)
		if next, ok := c.movedAway(ctx, c.serverRun, false, r.Err); ok {
			return placement.Abandoned, next
		}
		if ctx.Err() != nil {
			return placement.Abandoned, c.abandonAttempt(ctx, d, sent)
		}
		if r.ConnectionFailed {
			c.reportLost(d, sent, lossConnectionBroke)
			return placement.Failed, c.continueOrRetry(ctx, d, r.Err)
		}
		return placement.Failed, c.retryOrFail(r.Err)
	case upstream.Responded:
		c.delivered++
		c.mayHaveRun = true
		end, next := c.relay(ctx, d, sent, r.Response)
		if end == placement.Served || r.Response.Status >= minFailureStatus {
			c.status = r.Response.Status
		}
		r.Response.Close()
		return end, next
	default:
		panic(errors.AssertionFailedf("gateway: result %T", r))
	}
}

// undoAttempt reverts the bookkeeping of the latest attempt.
func (c *call) undoAttempt() {
	c.attempts--
	c.placeReq.Exclude = c.placeReq.Exclude[:len(c.placeReq.Exclude)-1]
}

// contextEnded returns the step after the request's context has ended.
func (c *call) contextEnded(ctx context.Context) failStep {
	cause := context.Cause(ctx)
	return failStep{err: cause, deadlinePassed: errors.Is(cause, errDeadline)}
}

// retryOrFail returns the step after a failure of a request that a server may have run.
func (c *call) retryOrFail(err error) step {
	if !c.canRetry() {
		return failStep{err: err}
	}
	return retryStep{err}
}

// refuse tells the caller that the request was not run, and when to retry. After an attempt
// that may have run it can only report a failure.
func (c *call) refuse(d placement.Refuse) {
	c.result, c.reason, c.refusal = "refused", string(d.Reason), d
	if c.mayHaveRun {
		c.fail(context.Background(), failStep{err: errors.New(string(d.Reason))})
		return
	}
	c.deny(denial{status: http.StatusServiceUnavailable, reason: string(d.Reason), retryAfter: d.RetryAfter})
	c.gateway.log.Info().Str("event", "request.refused").Str("request", c.meta.ID).Str("account", c.account).
		Str("reason", string(d.Reason)).Dur("objective", c.route.Objective).Int("prompt", c.placeReq.PromptTokens).
		Dur("predicted", d.Predicted).Dur("retry_after", d.RetryAfter).
		Dur("spent", c.sinceFirstAttempt).Bool("again", c.sinceFirstAttempt > 0).Str("server_version", c.placeReq.Version).
		Bool("over_share", c.placeReq.OverShare).Bool("stop", c.placeReq.Capped).Float64("ahead", c.placeReq.ShareRatio).
		Int("waiting_before", c.placeReq.Ahead).Dur("held", c.placeReq.Waited).
		EmbedObject(avoidedFields(d.Avoided)).EmbedObject(surplusFields(d.Surplus)).Bool("beside_idle", d.BesideIdle).Msg("request refused")
}

// fail sends the final response to a request that no server has answered.
func (c *call) fail(ctx context.Context, f failStep) {
	f.err = c.failure(f.err)
	c.reason, c.endedBy = f.err.Error(), endCauseOf(f.err)
	switch {
	case c.endedBy == endedByCaller || c.endedBy == endedByConnection:
		// The caller no longer reads, or has closed its sending direction alone: then it must not take
		// what follows for the end of an answer.
		c.result = "left"
		c.abort()
	case c.headerSent:
		c.result = "cut"
		c.abort() // the caller sees a truncated response
	case c.endedBy == endedByLink || c.request.Context().Err() != nil: // there is no connection for an answer
		c.result = "failed"
		c.abort()
	case errors.Is(f.err, errQuarantined):
		c.result = "barred"
		c.deny(denial{status: http.StatusBadGateway, reason: c.reason})
	case errors.Is(f.err, errStreamStranded) && !c.mayHaveRun:
		c.recordResume(ResumeStranded, catalog.Server{Service: c.service, Version: c.placeReq.Version}, 0)
		c.refuseResume(f.err)
	case !c.mayHaveRun:
		c.result = "refused"
		d := denial{status: http.StatusServiceUnavailable, reason: "not run: " + c.reason, retryAfter: unknownRetryAfter}
		if c.endedBy == endedByStop {
			d.retryAfter = stopRetryAfter
		}
		c.deny(d)
	case f.deadlinePassed:
		c.result = "failed"
		c.deny(denial{status: http.StatusGatewayTimeout, reason: c.reason})
	default:
		c.result = "failed"
		c.deny(denial{status: http.StatusBadGateway, reason: c.reason})
	}
}

func (c *call) deny(d denial) {
	writeDenial(c.w, d)
	c.gateway.callerRetries.addRefused(c)
}

// report logs the end of the request and records it in the metrics.
func (c *call) report() {
	now := time.Now()
	o := Outcome{Service: c.service, Account: c.account, Kind: kindName(c.route), Result: c.result, Total: now.Sub(c.arrived), Attempts: c.attempts}
	if !c.firstByteAt.IsZero() {
		o.FirstByte = c.firstByteAt.Sub(c.arrived)
	}
	if o.Result == "served" && c.missedObjective(o.FirstByte) {
		o.Result = "late"
	}
	if o.Result == "refused" {
		o.BesideIdle, o.Surplus = c.refusal.BesideIdle, string(c.refusal.Surplus.Reason)
	}
	c.gateway.options.Metrics.RequestEnded(o)
	c.gateway.log.Info().Str("event", "request.ended").Str("request", c.meta.ID).Str("route", c.route.Name).
		Str("kind", kindName(c.route)).Dur("spent", c.sinceFirstAttempt).Str("account", c.account).Str("result", o.Result).Str("reason", c.reason).Str("ended_by", string(c.endedBy)).Int("attempts", c.attempts).
		Dur("first", o.FirstByte).Dur("pause", c.maxEventGap).Dur("whole", o.Total).EmbedObject(revisionFields(c.gateway.view.Load().Revision)).Msg("request finished")
}

// missedObjective reports whether a response missed its route's objectives: for the time from
// the caller's first attempt to the first event, or for the interval between two events.
func (c *call) missedObjective(first time.Duration) bool {
	return c.route.Objective > 0 && c.sinceFirstAttempt+first > c.route.Objective || c.paused()
}

// paused reports whether the interval between two events of the response was too long.
func (c *call) paused() bool { return c.route.MaxEventGap > 0 && c.maxEventGap > c.route.MaxEventGap }

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
