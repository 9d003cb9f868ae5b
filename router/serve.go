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

// Request is a caller's request after parsing.
type Request struct {
	ID             string
	Account        string
	AccountID      uint32
	Pool           string
	Urgent         bool
	Repeatable     bool
	IdempotencyKey string // empty: none
	Deadline       time.Time
	Estimate       float64 // expected weighted tokens, a hint
	Prefix         uint64
	Method         string
	Path           string
	Headers        []*wirepb.Header
	Content        []byte
	MaxWaiting     int
}

// Sink receives an answer as it arrives. Head is called once, before the first
// Write.
type Sink interface {
	Head(status int, headers []*wirepb.Header)
	Write(chunk []byte) error
}

const (
	// recoveryTimeout bounds the attempts to reach an agent after a lost connection,
	// to revoke or resume an attempt.
	recoveryTimeout = 5 * time.Second
	// cancelTimeout is how long the router reads from the agent after a cancel.
	cancelTimeout = 500 * time.Millisecond
	// maxConfirmationAge is the age of the store's latest confirmation of the revision
	// up to which a request with an idempotency key is accepted: see
	// docs/design/attempts.md.
	maxConfirmationAge = attempt.MaxClockSkew / 2
	// deadlineReserve is the part of the deadline reserved for returning the answer.
	deadlineReserve = 20 * time.Millisecond
)

// Serve runs a request until it has an outcome, and writes the answer to the sink.
// The context ends when the caller leaves.
func (r *Router) Serve(ctx context.Context, q *Request, sink Sink) attempt.Outcome {
	r.openRequests.Add(1)
	defer func() {
		r.openRequests.Add(-1)
		r.checkDrained()
	}()
	ctx, cancel := context.WithDeadlineCause(ctx, q.Deadline.Add(-deadlineReserve), errDeadline)
	defer cancel()
	ctx, span := r.options.Tracer.Start(ctx, "router.request", trace.WithAttributes(
		attribute.String("request", q.ID), attribute.String("account", q.Account), attribute.String("pool", q.Pool)))
	defer span.End()
	r.retries.deposit()
	arrived := time.Now()
	f := &flight{router: r, request: q, sink: sink, life: attempt.NewLifecycle(q.Repeatable)}
	r.record(explain.Event{Kind: explain.Arrive, Request: q.ID, Account: q.Account, Text: q.describe()})
	o := f.run(ctx)
	name, text := describe(o)
	cause := string(causeOf(o))
	span.SetAttributes(attribute.String("outcome", name))
	r.record(explain.Event{Kind: explain.Outcome, Request: q.ID, Account: q.Account, Attempt: f.life.Attempts(), Text: name + ": " + text})
	r.options.Metrics.Request(q.Account, q.Pool, name, cause, q.Urgent, f.waitTime(), time.Since(arrived))
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

// describe returns the name of an outcome and its reason.
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

// causeOf returns why a request did not get its whole answer; empty if it did.
func causeOf(o attempt.Outcome) attempt.Cause {
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

// flight is a request in flight.
type flight struct {
	router      *Router
	request     *Request
	sink        Sink
	life        *attempt.Lifecycle
	ticket      *ticket
	rejection   rejection
	nextChunk   uint64 // number of the next chunk to forward
	headWritten bool
	retries     int
	cost        float64 // weighted tokens, as reported by the agent; zero: unknown
	// lastAgentBusy is set if the agent of the last attempt had no free slot.
	lastAgentBusy bool
}

func (f *flight) waitTime() time.Duration {
	if f.ticket == nil {
		return 0
	}
	return f.ticket.waitTime
}

func (f *flight) run(ctx context.Context) attempt.Outcome {
	if f.request.IdempotencyKey != "" && f.router.confirmationAge() > maxConfirmationAge {
		return attempt.NotExecuted{Cause: attempt.KeyIndeterminate, Reason: "the configuration is not confirmed lately, so that idempotency keys cannot be told apart", RetryAfter: maxBackoff}
	}
	f.ticket = f.newTicket()
	f.router.dispatcher.send(submitEvent{ticket: f.ticket})
	for {
		p, ok := f.waitForPlacement(ctx)
		if !ok {
			return f.giveUp(ctx)
		}
		switch n := f.runAttempt(ctx, p).(type) {
		case attempt.Retry:
			if o, stop := f.requeue(ctx, p); stop {
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
	if q.IdempotencyKey != "" {
		k.Server = f.router.keyOwner(q)
	}
	return &ticket{
		request: &dispatch.Request{
			ID: q.ID, Class: k, Estimate: q.Estimate, Prefix: q.Prefix, Deadline: q.Deadline, Arrived: time.Now(),
		},
		account:    q.Account,
		maxWaiting: q.MaxWaiting,
		result:     make(chan placementResult, 1),
	}
}

// keyOwner returns the server that records the caller's idempotency key. It depends
// on the configuration alone, so that a stale live list cannot change the owner.
func (r *Router) keyOwner(q *Request) string {
	owner, highest := "", uint64(0)
	for _, s := range r.holder.Current().Servers {
		for _, p := range s.Pools {
			if p != q.Pool {
				continue
			}
			if h := rendezvous(q.Account+"/"+q.IdempotencyKey, s.Name); owner == "" || h > highest {
				owner, highest = s.Name, h
			}
		}
	}
	return owner
}

// waitForPlacement waits until the dispatcher binds or rejects the request, the
// caller leaves or the deadline passes.
func (f *flight) waitForPlacement(ctx context.Context) (placement, bool) {
	_, span := f.router.options.Tracer.Start(ctx, "router.wait")
	defer span.End()
	select {
	case a := <-f.ticket.result:
		return f.applyResult(a)
	case <-ctx.Done():
	case <-f.router.dispatcher.stopped:
		return placement{}, false
	}
	reply := make(chan bool, 1)
	if !f.router.dispatcher.send(cancelEvent{ticket: f.ticket, reply: reply}) {
		return placement{}, false
	}
	select {
	case <-reply:
	case <-f.router.dispatcher.stopped:
		return placement{}, false
	}
	select {
	case a := <-f.ticket.result: // it was bound before the cancel
		if p, bound := a.(placement); bound {
			f.router.dispatcher.send(declineEvent{placement: p})
		}
	default:
	}
	return placement{}, false
}

func (f *flight) applyResult(a placementResult) (placement, bool) {
	switch a := a.(type) {
	case placement:
		return a, true
	case rejection:
		f.rejection = a
		return placement{}, false
	default:
		panic(fmt.Sprintf("router: unknown placement %T", a))
	}
}

// giveUp ends a request that has no attempt in progress.
func (f *flight) giveUp(ctx context.Context) attempt.Outcome {
	stop := f.life.Fire(attempt.Abandon).(attempt.Done)
	o, notRun := stop.Outcome.(attempt.NotExecuted)
	if !notRun {
		return stop.Outcome
	}
	if f.rejection.reason != "" {
		o.Cause, o.Reason, o.RetryAfter = f.rejection.cause, f.rejection.reason, f.rejection.retryAfter
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

// requeue returns the request to the queue after an attempt that did not run, or
// ends it if it may not be retried.
func (f *flight) requeue(ctx context.Context, p placement) (attempt.Outcome, bool) {
	if f.lastAgentBusy {
		f.router.dispatcher.send(requeueEvent{ticket: f.ticket, agent: p.peer.Hello.Node, full: true})
		return nil, false
	}
	f.retries++
	if f.rejection.reason != "" || f.retries > maxRetries || !f.router.retries.tryWithdraw() {
		f.router.dispatcher.send(endEvent{ticket: f.ticket, agent: p.peer.Hello.Node})
		if f.rejection.reason == "" {
			f.rejection = rejection{cause: attempt.AttemptsFailed, reason: "several attempts did not run", retryAfter: time.Second}
		}
		return f.giveUp(ctx), true
	}
	f.router.options.Metrics.Retry("lost")
	f.router.dispatcher.send(requeueEvent{ticket: f.ticket, agent: p.peer.Hello.Node})
	return nil, false
}
