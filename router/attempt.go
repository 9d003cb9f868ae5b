package router

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"opalbridge.dev/attempt"
	"opalbridge.dev/explain"
	"opalbridge.dev/wire"
	"opalbridge.dev/wire/wirepb"
)

// runAttempt makes one attempt at the agent of the placement, and revokes or
// resumes it if the connection breaks.
func (f *flight) runAttempt(ctx context.Context, p placement) attempt.Action {
	ctx, span := f.router.options.Tracer.Start(ctx, "router.dispatch", trace.WithAttributes(attribute.String("agent", p.peer.Hello.Node)))
	defer span.End()
	f.lastAgentBusy = false
	f.life.Fire(attempt.Send)
	f.router.record(explain.Event{Kind: explain.Choose, Request: f.request.ID, Account: f.request.Account, Attempt: f.life.Attempts(),
		Text: fmt.Sprintf("%s, after waiting %s", p.reason, f.ticket.waitTime.Round(time.Millisecond))})
	s, err := p.peer.Open()
	if err != nil {
		return f.life.Fire(attempt.Decline) // nothing was sent
	}
	err = s.Write(&wirepb.Call{Body: &wirepb.Call_Start{Start: f.startMessage(ctx, p)}})
	var next attempt.Action
	if err == nil {
		next = f.readAnswer(ctx, p, s)
	} else {
		next = f.life.Fire(attempt.Disconnect)
	}
	s.Close()
	for {
		switch next.(type) {
		case attempt.RequestRevoke:
			next = f.revoke(ctx, p)
		case attempt.Reattach:
			next = f.resume(ctx, p)
		default:
			if _, retry := next.(attempt.Retry); !retry {
				f.router.dispatcher.send(endEvent{ticket: f.ticket, agent: p.peer.Hello.Node, cost: f.cost})
			}
			return next
		}
	}
}

func (f *flight) startMessage(ctx context.Context, p placement) *wirepb.Start {
	q := f.request
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return &wirepb.Start{
		Request:        q.ID,
		Attempt:        f.life.Attempts(),
		Incarnation:    p.peer.Hello.Incarnation,
		Grant:          p.grant,
		Account:        q.Account,
		AccountId:      q.AccountID,
		Pool:           q.Pool,
		Urgent:         q.Urgent,
		Repeatable:     q.Repeatable,
		IdempotencyKey: q.IdempotencyKey,
		BudgetMs:       time.Until(q.Deadline.Add(-deadlineReserve)).Milliseconds(),
		Estimate:       uint64(f.ticket.expectedCost),
		Method:         q.Method,
		Path:           q.Path,
		Headers:        q.Headers,
		Content:        q.Content,
		Traceparent:    carrier["traceparent"],
		Revision:       f.router.holder.Revision(),
	}
}

// readAnswer reads the answer from a stream. If the caller leaves or the deadline
// passes, it cancels the attempt at the agent.
func (f *flight) readAnswer(ctx context.Context, p placement, s *wire.Stream) attempt.Action {
	release := context.AfterFunc(ctx, func() {
		_ = s.Write(&wirepb.Call{Body: &wirepb.Call_Cancel{Cancel: &wirepb.Cancel{Reason: context.Cause(ctx).Error()}}})
		s.SetTimeout(cancelTimeout)
	})
	defer release()
	var head *wirepb.Head
	for {
		var m wirepb.Piece
		if err := s.Read(&m); err != nil {
			return f.handleLost(ctx, p, err)
		}
		switch b := m.Body.(type) {
		case *wirepb.Piece_NotRun:
			return f.handleNotRun(b.NotRun)
		case *wirepb.Piece_Admitted:
			f.life.Fire(attempt.Admit)
		case *wirepb.Piece_Head:
			head = b.Head
			if f.canRetryElsewhere(head) {
				_ = s.Write(&wirepb.Call{Body: &wirepb.Call_Cancel{Cancel: &wirepb.Cancel{Reason: "tried elsewhere"}}})
				return f.life.Fire(attempt.AgentGone)
			}
		case *wirepb.Piece_Chunk:
			if next, stop := f.handleChunk(ctx, p, s, head, b.Chunk); stop {
				return next
			}
		case *wirepb.Piece_End:
			return f.handleEnd(head, b.End)
		case *wirepb.Piece_Unknown:
			return f.handleUnknown(b.Unknown)
		default:
			p.peer.Close(errUnexpected)
			return f.handleLost(ctx, p, errUnexpected)
		}
	}
}

// canRetryElsewhere reports whether the server failed with a 5xx status that
// another server may not return, and the request may be retried.
func (f *flight) canRetryElsewhere(head *wirepb.Head) bool {
	return head.Status >= http.StatusInternalServerError && f.request.Repeatable && f.nextChunk == 0 &&
		f.retries < maxRetries && f.life.State() == attempt.Admitted
}

// handleChunk forwards one chunk of the answer to the caller. A chunk out of order
// is a protocol error and closes the connection.
func (f *flight) handleChunk(ctx context.Context, p placement, s *wire.Stream, head *wirepb.Head, c *wirepb.Chunk) (attempt.Action, bool) {
	if c.Number != f.nextChunk || f.life.State() == attempt.Sent {
		p.peer.Close(errUnexpected)
		return f.handleLost(ctx, p, errUnexpected), true
	}
	f.writeHead(head)
	f.nextChunk++
	f.life.Fire(attempt.Respond)
	if err := f.sink.Write(c.Content); err != nil {
		_ = s.Write(&wirepb.Call{Body: &wirepb.Call_Cancel{Cancel: &wirepb.Cancel{Reason: err.Error()}}})
		return f.life.Fire(attempt.Truncate), true
	}
	return nil, false
}

// writeHead writes the status and headers to the caller, once.
func (f *flight) writeHead(head *wirepb.Head) {
	if f.headWritten || head == nil {
		return
	}
	f.headWritten = true
	f.sink.Head(int(head.Status), head.Headers)
}

func (f *flight) handleEnd(head *wirepb.Head, e *wirepb.End) attempt.Action {
	f.cost = e.Cost
	if !e.Complete || e.Chunks != f.nextChunk || (head == nil && !f.headWritten) {
		return f.withReason(f.life.Fire(attempt.Truncate), e.Reason)
	}
	f.writeHead(head)
	return f.life.Fire(attempt.Finish)
}

// withReason sets the reason and cause of a truncated answer.
func (f *flight) withReason(n attempt.Action, reason string) attempt.Action {
	stop, stopped := n.(attempt.Done)
	if ran, cut := stop.Outcome.(attempt.Executed); stopped && cut && reason != "" {
		ran.Reason = reason
		ran.Cause = causeForReason(reason)
		stop.Outcome = ran
	}
	return stop
}

// causeForReason returns the cause for an agent's reason for a truncated answer.
func causeForReason(reason string) attempt.Cause {
	switch reason {
	case wire.ReasonDeadline:
		return attempt.Deadline
	case wire.ReasonCallerDisconnected:
		return attempt.CallerClosed
	default:
		return attempt.Interrupted
	}
}

func (f *flight) handleNotRun(n *wirepb.NotRun) attempt.Action {
	f.lastAgentBusy = n.Busy
	if !n.Busy {
		f.rejection = rejection{cause: attempt.Refused, reason: n.Reason, retryAfter: time.Duration(n.RetryAfterMs) * time.Millisecond}
	}
	return f.life.Fire(attempt.Decline)
}

// handleUnknown ends an attempt whose outcome the agent does not know either.
func (f *flight) handleUnknown(u *wirepb.Unknown) attempt.Action {
	if f.life.State() == attempt.Sent {
		f.life.Fire(attempt.Disconnect)
	}
	n := f.life.Fire(attempt.AgentGone)
	if stop, stopped := n.(attempt.Done); stopped {
		if o, open := stop.Outcome.(attempt.Unknown); open {
			o.Reason = u.Reason
			return attempt.Done{Outcome: o}
		}
	}
	return n
}

// handleLost handles a broken stream. If the caller has left or the deadline has
// passed, the attempt is not recovered.
func (f *flight) handleLost(ctx context.Context, p placement, err error) attempt.Action {
	f.router.record(explain.Event{Kind: explain.Lose, Request: f.request.ID, Account: f.request.Account, Attempt: f.life.Attempts(),
		Text: fmt.Sprintf("lost sight of the attempt at %s: %v", p.peer.Hello.Node, err)})
	next := f.life.Fire(attempt.Disconnect)
	if ctx.Err() == nil {
		return next
	}
	return f.abandon(ctx)
}

// abandon ends a request whose caller has left, or whose deadline has passed, while
// an attempt may be running.
func (f *flight) abandon(ctx context.Context) attempt.Action {
	cause, reason := attempt.CallerClosed, "the caller left"
	if errors.Is(context.Cause(ctx), errDeadline) {
		cause, reason = attempt.Deadline, "the deadline passed while it ran"
	}
	if f.life.State() == attempt.StartedDisconnected {
		f.life.Fire(attempt.Truncate)
		return attempt.Done{Outcome: attempt.Executed{Cause: cause, Reason: reason}}
	}
	return attempt.Done{Outcome: attempt.Unknown{Cause: cause, Reason: reason}}
}
