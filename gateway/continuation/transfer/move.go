package transfer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/continuation"
	"opalbridge.dev/gateway/placement"
)

const (
	// drainTime is how long a server serves at least after it has announced that it leaves.
	drainTime = 3 * time.Second
	// finalCopyTime is the time before its server's end at which a run must have been copied while it goes
	// on. Tens of milliseconds are usual, but all gateways copy from that server at once.
	finalCopyTime = 500 * time.Millisecond
	// stopTimeout bounds the copy of what is new once the run has stopped, for which its caller waits. It
	// takes milliseconds, unless the server's link is busy with the copies of other runs.
	stopTimeout = time.Second
	// closeTimeout is how long a stopped run's stream may stay open. The server closes it at once.
	closeTimeout = 100 * time.Millisecond
	// busyInterval is the time between two calls to a source that is handling another one for the run.
	busyInterval = 20 * time.Millisecond
	// notBegunInterval is the time until a source that does not know a run yet is asked again.
	notBegunInterval = 250 * time.Millisecond
	// maxMoveTargets limits the targets that are tried for a move.
	maxMoveTargets = 3
)

// move moves the run and returns what became of it. Until it has asked the source to stop the run, it
// ends with ctx.
func (r *Run) move(ctx context.Context, end time.Time) Outcome {
	request := r.Request
	var reason continuation.Reason
	for tried := 0; tried < maxMoveTargets; {
		target, why := r.awaitTarget(ctx, &request, end)
		if why != "" {
			return Stayed{why}
		}
		outcome, why := r.moveTo(ctx, target, end)
		r.runs.options.Planner.MoveEnded(target.ID)
		<-r.runs.slots
		if outcome != nil {
			return outcome
		}
		reason = why
		if why == reasonNotBegun {
			select {
			case <-ctx.Done():
				return Stayed{reasonEnded}
			case <-time.After(notBegunInterval):
			}
			continue
		}
		tried++
		request.Exclude = append(request.Exclude[:len(request.Exclude):len(request.Exclude)], target.ID)
	}
	return Stayed{reason}
}

// awaitTarget returns the server that the run moves to, and holds a slot for the move, or the reason why
// it stays.
func (r *Run) awaitTarget(ctx context.Context, request *placement.Request, end time.Time) (catalog.Server, continuation.Reason) {
	holding := false
	waited := continuation.NoTime // why there was no target before
	for {
		if !holding {
			select {
			case <-ctx.Done():
				return catalog.Server{}, reasonEnded
			case r.runs.slots <- struct{}{}:
				holding = true
			}
		}
		target, wait, why := r.askTarget(ctx, request, end)
		if why == "" {
			return target, ""
		}
		if wait == 0 || why == continuation.EndsInTime || why == continuation.NoTarget {
			<-r.runs.slots
			holding = false
		}
		switch {
		case wait == 0 && why == continuation.NoTime:
			return catalog.Server{}, waited
		case wait == 0:
			return catalog.Server{}, why
		case why != continuation.EndsInTime:
			waited = why
		}
		select {
		case <-ctx.Done():
			if holding {
				<-r.runs.slots
			}
			return catalog.Server{}, reasonEnded
		case <-time.After(wait):
		}
	}
}

// askTarget asks the planner for the server that the run moves to. If there is none now, it returns
// why, and how long to wait until it asks again; 0: the run stays.
func (r *Run) askTarget(ctx context.Context, request *placement.Request, end time.Time) (target catalog.Server, wait time.Duration, why continuation.Reason) {
	if why := r.checkMovable(ctx); why != "" {
		return catalog.Server{}, 0, why
	}
	now := time.Now()
	decision, target, ok := r.runs.options.Planner.PlanMove(r.describe(now), request, end.Sub(now))
	if !ok {
		return catalog.Server{}, 0, reasonEnded
	}
	switch d := decision.(type) {
	case continuation.Move:
		return target, 0, ""
	case continuation.Wait:
		return catalog.Server{}, d.For, d.Reason
	case continuation.Stay:
		return catalog.Server{}, 0, d.Reason
	default:
		panic(errors.AssertionFailedf("transfer: decision %T", d))
	}
}

// checkMovable returns why the run cannot move, or "". Events of two versions, or of two requests,
// must not be joined, and events that the caller has must be recognized.
func (r *Run) checkMovable(ctx context.Context) continuation.Reason {
	r.mutex.Lock()
	p, confirmed := r.progress, r.confirmed
	r.mutex.Unlock()
	if p.unjoinable {
		return NoIDs
	}
	if r.runs.SharedID(r.ID) {
		return reasonSharedID
	}
	if confirmed || !r.runs.options.Lifetimes.InDoubt(r.Server) {
		return ""
	}
	switch err := r.runs.options.Lifetimes.Confirm(ctx, r.Server); {
	case ctx.Err() != nil:
		return reasonEnded
	case err != nil:
		return reasonNoVersion
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.confirmed = true
	return ""
}

// describe describes the run for the planner.
func (r *Run) describe(now time.Time) continuation.Run {
	r.mutex.Lock()
	p := r.progress
	r.mutex.Unlock()
	run := continuation.Run{
		Service: r.Service, Hall: r.Server.Hall, PromptTokens: r.Request.PromptTokens, OutputTokens: r.Request.OutputTokens,
		EventTokens: r.Engine.MaxEventTokens, Events: r.Events + p.events, Remaining: r.Deadline.Sub(now),
		BytesPerToken: r.Engine.BytesPerToken, LinkMbps: r.Engine.LinkMbps, TieBreak: r.Request.TieBreak,
	}
	const minEvents = 3 // fewer say little of the pace
	if p.events >= minEvents {
		run.EventInterval = p.lastEvent.Sub(p.firstEvent) / time.Duration(p.events-1)
	}
	if p.events == 0 {
		run.FirstEvent = max(r.Sent.Add(r.FirstEvent).Sub(now), 0)
	}
	return run
}

// moveTo moves the run to a target. It returns no outcome, and the reason, if another target may be
// tried.
func (r *Run) moveTo(ctx context.Context, target catalog.Server, end time.Time) (Outcome, continuation.Reason) {
	handle, why := r.copyRunning(ctx, target, end.Add(-finalCopyTime))
	switch {
	case why == continuation.NoTarget, why == reasonSourceFails, why == reasonNotBegun:
		return nil, why
	case why != "":
		return Stayed{why}, ""
	}
	if why := r.checkMovable(ctx); why != "" { // again: it may have changed within the copy
		r.runs.options.Cleaner.Free(r.Server, handle)
		return Stayed{why}, ""
	}
	if !r.beginStop() {
		r.runs.options.Cleaner.Free(r.Server, handle)
		return Stayed{reasonEnded}, ""
	}
	return r.stopAndCopy(target, handle), ""
}

// copyRunning copies the run's memory while it goes on, until a time at most, and returns the copy's
// handle or the reason why there is none.
func (r *Run) copyRunning(ctx context.Context, target catalog.Server, until time.Time) (handle string, why continuation.Reason) {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	result, err := r.copyTo(ctx, target, false)
	r.mutex.Lock()
	r.copyErr = err
	r.mutex.Unlock()
	if err != nil {
		return "", reasonSourceFails
	}
	switch result := result.(type) {
	case Copied:
		return result.Handle, ""
	case NotCopied:
		return "", continuation.NoTarget
	case Busy:
		return "", reasonBusy
	default:
		if r.answers() {
			return "", reasonEnded
		}
		return "", reasonNotBegun // its request is on the way or waits at the server
	}
}

// stopAndCopy has the source stop the run and copy what is new since the copy with the given handle.
// The call ends neither with the attempt nor with the caller's connection: the source may have
// stopped the run.
func (r *Run) stopAndCopy(target catalog.Server, handle string) Outcome {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Stream), stopTimeout)
	defer cancel()
	result, err := r.copyTo(ctx, target, true)
	if err != nil {
		return Unanswered{handle, err}
	}
	switch result := result.(type) {
	case Copied:
		r.closeSoon()
		return Moved{target, result.Handle}
	case NotCopied:
		r.closeSoon()
		return Stopped(result)
	case Busy:
		r.runs.options.Cleaner.Free(r.Server, handle)
		return Stayed{reasonBusy}
	default:
		r.runs.options.Cleaner.Free(r.Server, handle)
		return Stayed{reasonEnded}
	}
}

// answers reports whether the run has made an event.
func (r *Run) answers() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.progress.events > 0
}

// closeSoon closes the stream of the stopped run if the server does not.
func (r *Run) closeSoon() {
	time.AfterFunc(closeTimeout, func() { r.Cancel(errMoved) })
}

// copyTo asks the source for a copy, again while it is handling another call for the run.
func (r *Run) copyTo(ctx context.Context, target catalog.Server, stop bool) (Result, error) {
	for {
		result, err := r.runs.options.Copies.Copy(ctx, Request{Source: r.Server, RunID: r.ID, Target: target.Address, Stop: stop})
		if _, busy := result.(Busy); err != nil || !busy {
			return result, err
		}
		select {
		case <-ctx.Done():
			return result, nil
		case <-time.After(busyInterval):
		}
	}
}
