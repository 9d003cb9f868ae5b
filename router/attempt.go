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

// try makes one attempt at the agent of the placement.
func (f *flight) try(ctx context.Context, p placement) attempt.Action {
	ctx, span := f.router.options.Tracer.Start(ctx, "router.dispatch", trace.WithAttributes(attribute.String("agent", p.peer.Hello.Node)))
	defer span.End()
	f.lastBusy = false
	f.life.Fire(attempt.Send)
	f.router.record(explain.Event{Kind: explain.Choose, Request: f.request.ID, Account: f.request.Account, Attempt: f.life.Attempts(),
		Text: fmt.Sprintf("%s, after waiting %s", p.why, f.ticket.waited.Round(time.Millisecond))})
	s, err := p.peer.Open()
	if err != nil {
		return f.life.Fire(attempt.Decline) // nothing was sent
	}
	err = s.Write(&wirepb.Call{Body: &wirepb.Call_Start{Start: f.start(ctx, p)}})
	var next attempt.Action
	if err == nil {
		next = f.read(ctx, p, s)
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
			if _, again := next.(attempt.Retry); !again {
				f.router.dispatcher.tell(endEvent{ticket: f.ticket, agent: p.peer.Hello.Node, cost: f.cost})
			}
			return next
		}
	}
}

func (f *flight) start(ctx context.Context, p placement) *wirepb.Start {
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
		IdempotencyKey: q.Key,
		BudgetMs:       time.Until(q.Deadline.Add(-deadlineReserve)).Milliseconds(),
		Estimate:       uint64(f.ticket.estimate),
		Method:         q.Method,
		Path:           q.Path,
		Headers:        q.Headers,
		Content:        q.Content,
		Traceparent:    carrier["traceparent"],
		Revision:       f.router.holder.Revision(),
	}
}

// read takes the answer from a stream. When the caller leaves or the deadline
// passes it tells the agent to stop.
func (f *flight) read(ctx context.Context, p placement, s *wire.Stream) attempt.Action {
	release := context.AfterFunc(ctx, func() {
		_ = s.Write(&wirepb.Call{Body: &wirepb.Call_Cancel{Cancel: &wirepb.Cancel{Reason: context.Cause(ctx).Error()}}})
		s.Expire(cancelTime)
	})
	defer release()
	var head *wirepb.Head
	for {
		var m wirepb.Piece
		if err := s.Read(&m); err != nil {
			return f.lost(ctx, p, err)
		}
		switch b := m.Body.(type) {
		case *wirepb.Piece_NotRun:
			return f.declined(b.NotRun)
		case *wirepb.Piece_Admitted:
			f.life.Fire(attempt.Admit)
		case *wirepb.Piece_Head:
			head = b.Head
			if f.mayTryElsewhere(head) {
				_ = s.Write(&wirepb.Call{Body: &wirepb.Call_Cancel{Cancel: &wirepb.Cancel{Reason: "tried elsewhere"}}})
				return f.life.Fire(attempt.AgentGone)
			}
		case *wirepb.Piece_Chunk:
			if next, stop := f.chunk(ctx, p, s, head, b.Chunk); stop {
				return next
			}
		case *wirepb.Piece_End:
			return f.end(head, b.End)
		case *wirepb.Piece_Unknown:
			return f.unknown(b.Unknown)
		default:
			p.peer.Close(errUnexpected)
			return f.lost(ctx, p, errUnexpected)
		}
	}
}

// mayTryElsewhere reports whether an answer is a server's own failure that another
// server may not share, to a request that may run again.
func (f *flight) mayTryElsewhere(head *wirepb.Head) bool {
	return head.Status >= http.StatusInternalServerError && f.request.Repeatable && f.next == 0 &&
		f.retries < mostRetries && f.life.State() == attempt.Admitted
}

// chunk passes one piece of the answer on, if it is the next one.
func (f *flight) chunk(ctx context.Context, p placement, s *wire.Stream, head *wirepb.Head, c *wirepb.Chunk) (attempt.Action, bool) {
	if c.Number != f.next || f.life.State() == attempt.Sent {
		p.peer.Close(errUnexpected)
		return f.lost(ctx, p, errUnexpected), true
	}
	f.pass(head)
	f.next++
	f.life.Fire(attempt.Respond)
	if err := f.sink.Write(c.Content); err != nil {
		_ = s.Write(&wirepb.Call{Body: &wirepb.Call_Cancel{Cancel: &wirepb.Cancel{Reason: err.Error()}}})
		return f.life.Fire(attempt.Truncate), true
	}
	return nil, false
}

// pass hands the answer's head to the caller, once.
func (f *flight) pass(head *wirepb.Head) {
	if f.headed || head == nil {
		return
	}
	f.headed = true
	f.sink.Head(int(head.Status), head.Headers)
}

func (f *flight) end(head *wirepb.Head, e *wirepb.End) attempt.Action {
	f.cost = e.Cost
	if !e.Complete || e.Chunks != f.next || (head == nil && !f.headed) {
		return f.because(f.life.Fire(attempt.Truncate), e.Reason)
	}
	f.pass(head)
	return f.life.Fire(attempt.Finish)
}

// because gives the outcome of a cut answer its reason.
func (f *flight) because(n attempt.Action, reason string) attempt.Action {
	stop, stopped := n.(attempt.Done)
	if ran, cut := stop.Outcome.(attempt.Executed); stopped && cut && reason != "" {
		ran.Reason = reason
		ran.Cause = causeOf(reason)
		stop.Outcome = ran
	}
	return stop
}

// causeOf tells the agent's own reasons for a cut apart.
func causeOf(reason string) attempt.Cause {
	switch reason {
	case wire.ReasonDeadline:
		return attempt.Deadline
	case wire.ReasonCallerLeft:
		return attempt.CallerClosed
	default:
		return attempt.Interrupted
	}
}

func (f *flight) declined(n *wirepb.NotRun) attempt.Action {
	f.lastBusy = n.Busy
	if !n.Busy {
		f.refused = refusal{cause: attempt.Refused, reason: n.Reason, retryAfter: time.Duration(n.RetryAfterMs) * time.Millisecond}
	}
	return f.life.Fire(attempt.Decline)
}

// unknown ends an attempt of which the agent itself cannot tell.
func (f *flight) unknown(u *wirepb.Unknown) attempt.Action {
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

// lost follows a broken stream. When the caller is gone anyway nobody asks
// further.
func (f *flight) lost(ctx context.Context, p placement, err error) attempt.Action {
	f.router.record(explain.Event{Kind: explain.Lose, Request: f.request.ID, Account: f.request.Account, Attempt: f.life.Attempts(),
		Text: fmt.Sprintf("lost sight of the attempt at %s: %v", p.peer.Hello.Node, err)})
	next := f.life.Fire(attempt.Disconnect)
	if ctx.Err() == nil {
		return next
	}
	return f.abandoned(ctx)
}

// abandoned ends a request whose caller has left, or whose time is up, while an
// attempt may run.
func (f *flight) abandoned(ctx context.Context) attempt.Action {
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
