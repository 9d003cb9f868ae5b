package router

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"opalbridge.dev/attempt"
	"opalbridge.dev/dispatch"
	"opalbridge.dev/explain"
	"opalbridge.dev/fair"
	"opalbridge.dev/wire/wirepb"
)

// Request is a caller's request, as the router works on it.
type Request struct {
	ID         string
	Account    string
	AccountID  uint32
	Pool       string
	Urgent     bool
	Repeatable bool
	Key        string // the caller's idempotency key; empty: none
	Deadline   time.Time
	Estimate   float64 // weighted tokens, a hint
	Prefix     uint64
	Method     string
	Path       string
	Headers    []*wirepb.Header
	Content    []byte
	MaxWaiting int
}

// Sink takes the answer as it comes. Head comes once, before the first Write.
type Sink interface {
	Head(status int, headers []*wirepb.Header)
	Write(chunk []byte) error
}

const (
	// recoverTime is how long a router looks for an agent that it lost, to revoke
	// or resume an attempt.
	recoverTime = 5 * time.Second
	// cancelTime is how long it waits for the agent's last word after a cancel.
	cancelTime = 500 * time.Millisecond
	// keyFreshness is how lately the service must have confirmed the revision for
	// a request with an idempotency key: see docs/design/attempts.md.
	keyFreshness = attempt.MaxClockSkew / 2
	// deadlineReserve of a caller's time is kept to carry the answer back.
	deadlineReserve = 20 * time.Millisecond
)

// Serve runs a request from its arrival to its outcome, and passes the answer to
// the sink. The context ends when the caller leaves.
func (r *Router) Serve(ctx context.Context, q *Request, sink Sink) attempt.Outcome {
	r.open.Add(1)
	defer func() {
		r.open.Add(-1)
		r.checkDrained()
	}()
	ctx, cancel := context.WithDeadlineCause(ctx, q.Deadline.Add(-deadlineReserve), errDeadline)
	defer cancel()
	ctx, span := r.options.Tracer.Start(ctx, "router.request", trace.WithAttributes(
		attribute.String("request", q.ID), attribute.String("account", q.Account), attribute.String("pool", q.Pool)))
	defer span.End()
	r.retries.earn()
	arrived := time.Now()
	f := &flight{router: r, request: q, sink: sink, life: attempt.NewLifecycle(q.Repeatable)}
	r.record(explain.Event{Kind: explain.Arrive, Request: q.ID, Account: q.Account, Text: q.describe()})
	o := f.run(ctx)
	name, text := describe(o)
	cause := string(causeIn(o))
	span.SetAttributes(attribute.String("outcome", name))
	r.record(explain.Event{Kind: explain.Outcome, Request: q.ID, Account: q.Account, Attempt: f.life.Attempts(), Text: name + ": " + text})
	r.options.Metrics.Request(q.Account, q.Pool, name, cause, q.Urgent, f.ticketWait(), time.Since(arrived))
	return o
}

var (
	errDeadline   = errors.New("router: the caller's deadline passed")
	errCallerLeft = errors.New("router: the caller left")
)

func (q *Request) describe() string {
	text := fmt.Sprintf("%s %s for pool %s, about %.0f weighted tokens", q.Method, q.Path, q.Pool, q.Estimate)
	if q.Urgent {
		text += ", urgent"
	}
	if !q.Repeatable {
		text += ", not repeatable"
	}
	return text
}

// describe names an outcome and tells its reason.
func describe(o attempt.Outcome) (name, text string) {
	switch o := o.(type) {
	case attempt.NotExecuted:
		return "not-run", o.Reason
	case attempt.Executed:
		if o.Complete {
			return "ran", "the whole answer was passed on"
		}
		return "ran", o.Reason
	case attempt.Unknown:
		return "unknown", o.Reason
	default:
		panic(fmt.Sprintf("router: unknown outcome %T", o))
	}
}

// causeIn returns why a request did not get its whole answer; empty: it did.
func causeIn(o attempt.Outcome) attempt.Cause {
	switch o := o.(type) {
	case attempt.NotExecuted:
		return o.Cause
	case attempt.Executed:
		return o.Cause
	case attempt.Unknown:
		return o.Cause
	default:
		panic(fmt.Sprintf("router: unknown outcome %T", o))
	}
}

// flight is one request under way.
type flight struct {
	router  *Router
	request *Request
	sink    Sink
	life    *attempt.Lifecycle
	ticket  *ticket
	refused refusal
	next    uint64 // number of the next chunk to pass on
	headed  bool
	retries int
	cost    float64 // weighted tokens, when the agent has told it
	// lastBusy says that the agent of the last attempt had no room.
	lastBusy bool
}

func (f *flight) ticketWait() time.Duration {
	if f.ticket == nil {
		return 0
	}
	return f.ticket.waited
}

func (f *flight) run(ctx context.Context) attempt.Outcome {
	if f.request.Key != "" && f.router.confirmedAge() > keyFreshness {
		return attempt.NotExecuted{Cause: attempt.KeyIndeterminate, Reason: "the configuration is not confirmed lately, so that idempotency keys cannot be told apart", RetryAfter: longestPause}
	}
	f.ticket = f.newTicket()
	f.router.dispatcher.tell(offerEvent{ticket: f.ticket})
	for {
		p, ok := f.place(ctx)
		if !ok {
			return f.giveUp(ctx)
		}
		switch n := f.try(ctx, p).(type) {
		case attempt.Retry:
			if o, stop := f.again(ctx, p); stop {
				return o
			}
		case attempt.Done:
			return n.Outcome
		default:
			panic(fmt.Sprintf("router: attempt ended with %T", n))
		}
	}
}

func (f *flight) newTicket() *ticket {
	q := f.request
	k := dispatch.Class{Account: fair.Account(q.AccountID), Pool: q.Pool, Urgent: q.Urgent}
	if q.Key != "" {
		k.Server = f.router.ownerOf(q)
	}
	return &ticket{
		request: &dispatch.Request{
			ID: q.ID, Class: k, Estimate: q.Estimate, Prefix: q.Prefix, Deadline: q.Deadline, Arrived: time.Now(),
		},
		account: q.Account,
		most:    q.MaxWaiting,
		answer:  make(chan placed, 1),
	}
}

// ownerOf returns the server that remembers the caller's idempotency key, by the
// configuration alone: a late live list cannot move it.
func (r *Router) ownerOf(q *Request) string {
	owner, most := "", uint64(0)
	for _, s := range r.holder.Current().Servers {
		for _, p := range s.Pools {
			if p != q.Pool {
				continue
			}
			if h := rendezvous(q.Account+"/"+q.Key, s.Name); owner == "" || h > most {
				owner, most = s.Name, h
			}
		}
	}
	return owner
}

// place waits until the dispatcher binds the request, refuses it, or the caller's
// time is up.
func (f *flight) place(ctx context.Context) (placement, bool) {
	_, span := f.router.options.Tracer.Start(ctx, "router.wait")
	defer span.End()
	select {
	case a := <-f.ticket.answer:
		return f.placed(a)
	case <-ctx.Done():
	case <-f.router.dispatcher.stopped:
		return placement{}, false
	}
	reply := make(chan bool, 1)
	if !f.router.dispatcher.tell(leaveEvent{ticket: f.ticket, reply: reply}) {
		return placement{}, false
	}
	select {
	case <-reply:
	case <-f.router.dispatcher.stopped:
		return placement{}, false
	}
	select {
	case a := <-f.ticket.answer: // it was bound at the same moment
		if p, bound := a.(placement); bound {
			f.router.dispatcher.tell(declineEvent{placement: p})
		}
	default:
	}
	return placement{}, false
}

func (f *flight) placed(a placed) (placement, bool) {
	switch a := a.(type) {
	case placement:
		return a, true
	case refusal:
		f.refused = a
		return placement{}, false
	default:
		panic(fmt.Sprintf("router: unknown placement %T", a))
	}
}

// giveUp ends a request of which no attempt is under way.
func (f *flight) giveUp(ctx context.Context) attempt.Outcome {
	stop := f.life.Fire(attempt.Abandon).(attempt.Done)
	o, notRun := stop.Outcome.(attempt.NotExecuted)
	if !notRun {
		return stop.Outcome
	}
	if f.refused.reason != "" {
		o.Cause, o.Reason, o.RetryAfter = f.refused.cause, f.refused.reason, f.refused.retryAfter
		return o
	}
	switch {
	case errors.Is(context.Cause(ctx), errDeadline):
		o.Cause, o.Reason = attempt.Deadline, "the deadline passed while it waited"
	case ctx.Err() != nil:
		o.Cause, o.Reason = attempt.CallerClosed, "the caller left while it waited"
	default:
		o.Cause, o.Reason, o.RetryAfter = attempt.ShuttingDown, "this router is stopping", time.Second
	}
	return o
}

// again puts the request back in the queue after an attempt that did not run, or
// stops when retries are spent.
func (f *flight) again(ctx context.Context, p placement) (attempt.Outcome, bool) {
	if f.lastBusy {
		f.router.dispatcher.tell(againEvent{ticket: f.ticket, agent: p.peer.Hello.Node, full: true})
		return nil, false
	}
	f.retries++
	if f.refused.reason != "" || f.retries > mostRetries || !f.router.retries.take() {
		f.router.dispatcher.tell(endEvent{ticket: f.ticket, agent: p.peer.Hello.Node})
		if f.refused.reason == "" {
			f.refused = refusal{cause: attempt.AttemptsFailed, reason: "several attempts did not run", retryAfter: time.Second}
		}
		return f.giveUp(ctx), true
	}
	f.router.options.Metrics.Retry("lost")
	f.router.dispatcher.tell(againEvent{ticket: f.ticket, agent: p.peer.Hello.Node})
	return nil, false
}
