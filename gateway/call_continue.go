package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/continuation/transfer"
	"opalbridge.dev/gateway/placement"
	"opalbridge.dev/gateway/protocol"
	"opalbridge.dev/gateway/upstream"
)

// This file is a call's part in runs that go on at another server from a copy of their memory. The
// caller notices nothing: the answer keeps the head of its first server, and events that it has are
// dropped. It is the same run, so it counts neither as an attempt nor as a retry. It goes on only once
// its server has stopped it or has crashed, so that no two servers work on it.

// continueStep means that the run goes on from a copy of its memory.
type continueStep struct {
	points []transfer.Point // tried in this order
	cause  continueCause
	err    error // how it ended at its server, for the case that it goes on nowhere
	sent   bool  // the request was sent to the first of the points, or nearly so
}

func (continueStep) step() {}

// continueCause is why a run goes on elsewhere.
type continueCause string

// Causes for which runs go on at other servers.
const (
	causeMoved   continueCause = "moved"
	causeCrashed continueCause = "crashed"
)

// Outcomes of moves and continuations, for logs and metrics.
const (
	continuedMoved      = "moved"      // its memory is at the target
	continuedStopped    = "stopped"    // its source has stopped it, and only that has its memory
	continuedStayed     = "stayed"     // its source went on
	continuedUnanswered = "unanswered" // it is unknown whether its source has stopped it
	continuedRunning    = "running"    // the server has taken it over
	continuedRefused    = "refused"    // the server has not run it
	continuedFailed     = "failed"     // the server may have run it
	backupBegun         = "begun"
)

// runLifetimes implements transfer.Lifetimes.
type runLifetimes struct{ gateway *Gateway }

func (l runLifetimes) InDoubt(s catalog.Server) bool { return l.gateway.lifetimeInDoubt(s) }

func (l runLifetimes) Confirm(ctx context.Context, s catalog.Server) error {
	return l.gateway.confirmLifetime(ctx, s)
}

// maxMoves limits how often a request moves.
const maxMoves = 4

// canContinue reports whether a run of the request could go on at another server. Its ID must be one
// that a call to a server can name.
func (c *call) canContinue() bool {
	return c.gateway.runs != nil && !c.needsLength() && c.route.Kind == catalog.Stream && c.request.Method != http.MethodHead && protocol.ValidHandle(c.meta.ID)
}

// mayBackUp reports whether a run of the request may be backed up.
func (c *call) mayBackUp() bool { return c.canContinue() && !c.gateway.runs.UsesID(c.meta.ID) }

// beginRun makes an attempt known as a run that can move or is backed up; nil: it is neither.
func (c *call) beginRun(ctx context.Context, cancel context.CancelCauseFunc, d placement.Assign, sent time.Time) *transfer.Run {
	if !c.canContinue() || d.Server.Version == "" {
		return nil
	}
	engine := c.gateway.view.Load().engine(d.Server.Service)
	movable := c.gateway.dispatcher.movesStreams() && engine.CanMoveRuns() && c.moves < maxMoves
	if !movable && d.Backup.ID == "" {
		return nil
	}
	if d.Backup.ID != "" {
		c.gateway.log.Info().Str("event", "stream.backed_up").Str("request", c.meta.ID).Str("server", d.Server.ID).Str("target", d.Backup.ID).
			Int("prompt", c.placeReq.PromptTokens).Int("output", c.placeReq.OutputTokens).Dur("predicted", d.Predicted).Msg("run is backed up")
		c.gateway.countContinuation(c.service, ContinuationBackup, backupBegun)
	}
	request := c.placeReq
	request.Pinned, request.Version, request.Exclude = true, d.Server.Version, slices.Clone(request.Exclude)
	r := &transfer.Run{
		Movable: movable, ID: c.meta.ID, Server: d.Server, Service: d.Server.Service, Engine: engine, Sent: sent, FirstEvent: d.Predicted,
		Deadline: c.deadline, Request: request, Events: c.relayed, Joinable: c.sequence.Joinable(), Stream: ctx, Cancel: cancel,
	}
	c.gateway.runs.Begin(r)
	return r
}

// endRun ends what beginRun has begun.
func (c *call) endRun(r *transfer.Run) {
	if r == nil {
		return
	}
	c.gateway.runs.End(r)
	if isOver(r.Stream) {
		go c.finishRun(r) // a stop in progress may take longer than the answer may wait
		return
	}
	c.finishRun(r)
}

// isOver reports whether a request has ended whatever becomes of its run.
func isOver(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errGraceExpired) }

// finishRun records what became of a run that has ended. A copy that was not used is freed.
func (c *call) finishRun(r *transfer.Run) {
	outcome := r.Finish()
	if c.movedFrom != r {
		c.gateway.copyCleaner.Free(r.Server, transfer.Handle(outcome)) // it does not go on from the copy
		c.recordMove(r, outcome)
	}
}

// movedAway returns the next step after a stream that has ended or broken off because its run has
// moved; ok is false if it has not, or if nobody waits for the rest. complete says that the end cannot
// be that of a stopped run. The end of an unframed stream does not show that the answer is incomplete,
// so a run that was stopped and goes on nowhere has a next step as well.
func (c *call) movedAway(ctx context.Context, r *transfer.Run, complete bool, err error) (s step, ok bool) {
	if r == nil || isOver(ctx) {
		return nil, false
	}
	outcome := r.Finish()
	if c.request.Context().Err() != nil || errors.Is(context.Cause(ctx), errQuarantined) {
		return nil, false
	}
	points := transfer.Points(r.Server, outcome, complete)
	if len(points) == 0 {
		return nil, false
	}
	c.mayHaveRun = true
	switch {
	case !time.Now().Before(c.deadline):
		return failStep{err: errDeadline, deadlinePassed: true}, true
	case !c.sequence.Joinable():
		return c.retryOrFail(errors.Wrap(err, string(transfer.NoIDs))), true
	}
	c.movedFrom = r
	c.moves++
	c.recordMove(r, outcome)
	c.awaitOrigin(ctx)
	if c.placeReq.Pinned && c.placeReq.Version == "" {
		c.placeReq.Version = r.Server.Version // certain since the move began, see checkMovable
	}
	return continueStep{points: points, cause: causeMoved, err: err}, true
}

// continueOrRetry returns the next step after a response has broken off: the run goes on at its backup
// if its server has crashed, and otherwise the request fails or is retried.
func (c *call) continueOrRetry(ctx context.Context, d placement.Assign, err error) step {
	if d.Backup.ID == "" || !c.sequence.Joinable() || c.gateway.runs.SharedID(c.meta.ID) {
		return c.retryOrFail(err)
	}
	c.awaitOrigin(ctx)
	if !c.serverCrashed(ctx, d.Server, c.placeReq.Pinned && c.placeReq.Version != "") {
		return c.retryOrFail(err)
	}
	c.crashes++
	point := transfer.Point{Server: d.Backup, Copy: protocol.RunCopy{Address: d.Backup.Address, Handle: c.meta.ID}, Giver: d.Backup}
	s := continueStep{points: []transfer.Point{point}, cause: causeCrashed, err: err}
	n, _ := c.crashesSeen()
	if n = max(n, c.crashes); n >= noRetryCrashes { // the crash of a server that has started again at once is not detected yet
		c.recordContinued(s, continuedRefused, errors.Newf("gateway: %d servers have crashed under the request", n))
		c.freeCopies(s.points)
		return failStep{err: err}
	}
	return s
}

// Probes of a server under which a response has broken off. Its process may take a moment to end.
const (
	crashProbes        = 5
	firstProbeInterval = 10 * time.Millisecond // doubles each time
)

// serverCrashed reports whether a server has certainly ended: it refuses connections, or another
// lifetime answers at its address. A connection that breaks while the server lives is no crash. The
// request may have reached the other lifetime; confirmed says that it has not.
func (c *call) serverCrashed(ctx context.Context, s catalog.Server, confirmed bool) bool {
	interval := firstProbeInterval
	for range crashProbes {
		if refusesConnections(ctx, s) {
			c.gateway.crashes.connectionRefused(time.Now(), s.ID)
			return true
		}
		if confirmed && c.gateway.lifetimeInDoubt(s) && errors.Is(c.gateway.confirmLifetime(ctx, s), errOtherLifetime) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(interval):
		}
		interval *= 2
	}
	return false
}

// continueRun sends the request to the first of the servers at which its run can go on.
func (c *call) continueRun(ctx context.Context, s continueStep) step {
	c.awaitOrigin(ctx)
	if ctx.Err() != nil {
		c.freeCopies(s.points)
		return c.contextEnded(ctx)
	}
	if c.relayed > 0 && (!c.placeReq.Pinned || c.placeReq.Version == "" || c.placeReq.Version != s.points[0].Server.Version) {
		c.freeCopies(s.points)
		return c.retryOrFail(errors.Wrap(s.err, "gateway: the version that began the stream is not certain"))
	}
	point := s.points[0]
	id := c.gateway.dispatcher.continueAt(point.Server, c.placeReq.PromptTokens+c.placeReq.OutputTokens)
	c.continuing = &s
	if s.cause == causeCrashed {
		c.crashResumes++
	}
	next := c.send(ctx, placement.Assign{Server: point.Server, ID: id})
	c.continuing = nil
	if _, failed := next.(failStep); failed && !s.sent {
		c.freeCopies(s.points)
	}
	return next
}

// freeCopies frees the copies of a run that does not go on.
func (c *call) freeCopies(points []transfer.Point) {
	if len(points) > 0 {
		c.gateway.copyCleaner.Free(points[0].Giver, points[0].Copy.Handle)
	}
}

// checkAvailable returns an error if a server may not get the request now.
func (c *call) checkAvailable(now time.Time, s catalog.Server) error {
	if c.continuing != nil && c.continuing.points[0].Source {
		return nil
	}
	if c.continuing != nil && !c.gateway.view.Load().acceptsWork(s.ID) {
		return errServerLeaving // since it was chosen
	}
	return c.gateway.signals.checkAvailable(now, s.ID)
}

// continueFrom returns the copy from which the server of this attempt continues; zero: none.
func (c *call) continueFrom() protocol.RunCopy {
	if c.continuing == nil {
		return protocol.RunCopy{}
	}
	return c.continuing.points[0].Copy
}

// refusedToContinue returns the next step after a server has not run the request.
func (c *call) refusedToContinue(ctx context.Context, err error) step {
	if c.continuing.cause == causeCrashed {
		c.crashResumes--
	}
	return c.notContinued(ctx, err)
}

// notContinued returns the next step after a server has not gone on with the run: it goes on at the
// next one, or the request fails as if it had broken off.
func (c *call) notContinued(ctx context.Context, err error) step {
	s := *c.continuing
	c.recordContinued(s, continuedRefused, err)
	if ctx.Err() != nil {
		c.freeCopies(s.points)
		return c.contextEnded(ctx)
	}
	if len(s.points) > 1 {
		s.points, s.sent = s.points[1:], false
		return s
	}
	c.freeCopies(s.points)
	return c.retryOrFail(errors.CombineErrors(s.err, err))
}

// handleNotContinued handles the result of an attempt to go on with a run; ok is false if the server
// has answered, or may have run it.
func (c *call) handleNotContinued(ctx context.Context, d placement.Assign, r upstream.Result) (end placement.Outcome, next step, ok bool) {
	switch r := r.(type) {
	case upstream.Unsent:
		end = placement.Unreachable
		if ctx.Err() != nil || errors.Is(r.Err, errServerLeaving) || errors.Is(r.Err, errServerBackoff) {
			end = placement.NotSent
		}
		return end, c.refusedToContinue(ctx, r.Err), true
	case upstream.NotExecuted:
		return placement.NotSent, c.refusedToContinue(ctx, errors.Newf("gateway: server %s does not go on with it: status %d", d.Server.ID, r.Status)), true
	case upstream.Indeterminate:
		if ctx.Err() == nil && r.ConnectionFailed && c.serverCrashed(ctx, d.Server, c.placeReq.Pinned) {
			c.crashes++
			return placement.Failed, c.notContinued(ctx, r.Err), true // it cannot work on it
		}
		c.recordContinued(*c.continuing, continuedFailed, r.Err)
	}
	return 0, nil, false
}

// checkContinues returns an error if an event of a run that goes on elsewhere does not continue the
// events that the caller has.
func (c *call) checkContinues(event []byte) error {
	id := eventID(event)
	if c.continuing == nil || id == "" || c.sequence.Continues(id) {
		return nil
	}
	err := errors.Newf("gateway: event %s does not follow event %s: the run is another one, or events are missing", id, c.lastEventID)
	c.recordContinued(*c.continuing, continuedFailed, err)
	return err
}

// recordMove logs and counts what became of a run that was to move.
func (c *call) recordMove(r *transfer.Run, outcome transfer.Outcome) {
	if !r.MoveBegun() {
		return // no move was begun
	}
	line := c.gateway.log.Info().Str("event", "stream.moved").Str("request", c.meta.ID).Str("server", r.Server.ID).Int("events", c.relayed).Str("after_event", c.lastEventID)
	result := continuedStayed
	switch o := outcome.(type) {
	case transfer.Moved:
		result = continuedMoved
		line.Str("target", o.Target.ID).Str("handle", o.Handle)
	case transfer.Stopped:
		result = continuedStopped
		line.Str("handle", o.Handle)
	case transfer.Unanswered:
		result = continuedUnanswered
		line.Str("handle", o.Handle).AnErr("reason", o.Err)
	case transfer.Stayed:
		line.Str("reason", string(o.Reason)).AnErr("copy_error", r.CopyError())
	}
	line.Str("outcome", result).Msg("server leaves under a stream")
	c.gateway.countContinuation(c.service, ContinuationMove, result)
}

// recordContinued logs and counts whether a server has gone on with a run.
func (c *call) recordContinued(s continueStep, outcome string, err error) {
	p := s.points[0]
	c.gateway.log.Info().Str("event", "stream.continued").Str("request", c.meta.ID).Str("server", p.Server.ID).Str("from", p.Giver.ID).Str("handle", p.Copy.Handle).
		Str("cause", string(s.cause)).Int("events", c.relayed).Str("after_event", c.lastEventID).Str("outcome", outcome).AnErr("reason", err).Msg("stream continues from a copy of its run")
	c.gateway.countContinuation(c.service, ContinuationResume, outcome)
}

// logContinued logs that the server of this attempt has gone on with a run.
func (c *call) logContinued() {
	if c.continuing != nil {
		c.recordContinued(*c.continuing, continuedRunning, nil)
	}
}

// ContinuationStep is a step by which a stream continues at another server.
type ContinuationStep string

// Steps by which streams continue at other servers.
const (
	ContinuationMove   ContinuationStep = "move"   // off a leaving server
	ContinuationBackup ContinuationStep = "backup" // copied as it grows
	ContinuationResume ContinuationStep = "resume" // at the other server
)

func (g *Gateway) countContinuation(service string, s ContinuationStep, outcome string) {
	if g.options.Metrics != nil {
		g.options.Metrics.StreamContinued(service, s, outcome)
	}
}
