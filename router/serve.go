package router

import (
	"context"

	"fmt"
	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"net/http"
	"sync"
	"time"

	"opalbridge.dev/attempt"
	"opalbridge.dev/dispatch"
	"opalbridge.dev/explain"
	"opalbridge.dev/fair"
	"opalbridge.dev/wire"
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
	keyFreshness = attempt.Skew / 2
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
	f := &flight{router: r, request: q, sink: sink, life: attempt.NewLife(q.Repeatable)}
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
	case attempt.NotRun:
		return "not-run", o.Reason
	case attempt.Ran:
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
	case attempt.NotRun:
		return o.Cause
	case attempt.Ran:
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
	life    *attempt.Life
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
		return attempt.NotRun{Cause: attempt.Untold, Reason: "the configuration is not confirmed lately, so that idempotency keys cannot be told apart", RetryAfter: longestPause}
	}
	f.ticket = f.newTicket()
	f.router.dispatcher.tell(offerEvent{ticket: f.ticket})
	for {
		p, ok := f.place(ctx)
		if !ok {
			return f.giveUp(ctx)
		}
		switch n := f.try(ctx, p).(type) {
		case attempt.Again:
			if o, stop := f.again(ctx, p); stop {
				return o
			}
		case attempt.Stop:
			return n.Outcome
		default:
			panic(fmt.Sprintf("router: attempt ended with %T", n))
		}
	}
}

func (f *flight) newTicket() *ticket {
	q := f.request
	k := dispatch.Key{Account: fair.Account(q.AccountID), Pool: q.Pool, Urgent: q.Urgent}
	if q.Key != "" {
		k.Server = f.router.ownerOf(q)
	}
	return &ticket{
		request: &dispatch.Request{
			ID: q.ID, Key: k, Estimate: q.Estimate, Prefix: q.Prefix, Deadline: q.Deadline, Arrived: time.Now(),
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
	stop := f.life.Fire(attempt.GiveUp).(attempt.Stop)
	o, notRun := stop.Outcome.(attempt.NotRun)
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
		o.Cause, o.Reason = attempt.CallerLeft, "the caller left while it waited"
	default:
		o.Cause, o.Reason, o.RetryAfter = attempt.Stopping, "this router is stopping", time.Second
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
			f.refused = refusal{cause: attempt.Failing, reason: "several attempts did not run", retryAfter: time.Second}
		}
		return f.giveUp(ctx), true
	}
	f.router.options.Metrics.Retry("lost")
	f.router.dispatcher.tell(againEvent{ticket: f.ticket, agent: p.peer.Hello.Node})
	return nil, false
}

// try makes one attempt at the agent of the placement.
func (f *flight) try(ctx context.Context, p placement) attempt.Next {
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
	var next attempt.Next
	if err == nil {
		next = f.read(ctx, p, s)
	} else {
		next = f.life.Fire(attempt.Lose)
	}
	s.Close()
	for {
		switch next.(type) {
		case attempt.Ask:
			next = f.revoke(ctx, p)
		case attempt.Rejoin:
			next = f.resume(ctx, p)
		default:
			if _, again := next.(attempt.Again); !again {
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
func (f *flight) read(ctx context.Context, p placement, s *wire.Stream) attempt.Next {
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
				return f.life.Fire(attempt.Vanish)
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
func (f *flight) chunk(ctx context.Context, p placement, s *wire.Stream, head *wirepb.Head, c *wirepb.Chunk) (attempt.Next, bool) {
	if c.Number != f.next || f.life.State() == attempt.Sent {
		p.peer.Close(errUnexpected)
		return f.lost(ctx, p, errUnexpected), true
	}
	f.pass(head)
	f.next++
	f.life.Fire(attempt.Answer)
	if err := f.sink.Write(c.Content); err != nil {
		_ = s.Write(&wirepb.Call{Body: &wirepb.Call_Cancel{Cancel: &wirepb.Cancel{Reason: err.Error()}}})
		return f.life.Fire(attempt.Cut), true
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

func (f *flight) end(head *wirepb.Head, e *wirepb.End) attempt.Next {
	f.cost = e.Cost
	if !e.Complete || e.Chunks != f.next || (head == nil && !f.headed) {
		return f.because(f.life.Fire(attempt.Cut), e.Reason)
	}
	f.pass(head)
	return f.life.Fire(attempt.Finish)
}

// because gives the outcome of a cut answer its reason.
func (f *flight) because(n attempt.Next, reason string) attempt.Next {
	stop, stopped := n.(attempt.Stop)
	if ran, cut := stop.Outcome.(attempt.Ran); stopped && cut && reason != "" {
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
		return attempt.CallerLeft
	default:
		return attempt.Broken
	}
}

func (f *flight) declined(n *wirepb.NotRun) attempt.Next {
	f.lastBusy = n.Busy
	if !n.Busy {
		f.refused = refusal{cause: attempt.Refused, reason: n.Reason, retryAfter: time.Duration(n.RetryAfterMs) * time.Millisecond}
	}
	return f.life.Fire(attempt.Decline)
}

// unknown ends an attempt of which the agent itself cannot tell.
func (f *flight) unknown(u *wirepb.Unknown) attempt.Next {
	if f.life.State() == attempt.Sent {
		f.life.Fire(attempt.Lose)
	}
	n := f.life.Fire(attempt.Vanish)
	if stop, stopped := n.(attempt.Stop); stopped {
		if o, open := stop.Outcome.(attempt.Unknown); open {
			o.Reason = u.Reason
			return attempt.Stop{Outcome: o}
		}
	}
	return n
}

// lost follows a broken stream. When the caller is gone anyway nobody asks
// further.
func (f *flight) lost(ctx context.Context, p placement, err error) attempt.Next {
	f.router.record(explain.Event{Kind: explain.Lose, Request: f.request.ID, Account: f.request.Account, Attempt: f.life.Attempts(),
		Text: fmt.Sprintf("lost sight of the attempt at %s: %v", p.peer.Hello.Node, err)})
	next := f.life.Fire(attempt.Lose)
	if ctx.Err() == nil {
		return next
	}
	return f.abandoned(ctx)
}

// abandoned ends a request whose caller has left, or whose time is up, while an
// attempt may run.
func (f *flight) abandoned(ctx context.Context) attempt.Next {
	cause, reason := attempt.CallerLeft, "the caller left"
	if errors.Is(context.Cause(ctx), errDeadline) {
		cause, reason = attempt.Deadline, "the deadline passed while it ran"
	}
	if f.life.State() == attempt.Severed {
		f.life.Fire(attempt.Cut)
		return attempt.Stop{Outcome: attempt.Ran{Cause: cause, Reason: reason}}
	}
	return attempt.Stop{Outcome: attempt.Unknown{Cause: cause, Reason: reason}}
}

// revoke asks the same incarnation of the agent that the attempt never runs.
func (f *flight) revoke(ctx context.Context, p placement) attempt.Next {
	answer, reason := f.ask(ctx, p, &wirepb.Call{Body: &wirepb.Call_Revoke{Revoke: &wirepb.Revoke{
		Request: f.request.ID, Attempt: f.life.Attempts(), Incarnation: p.peer.Hello.Incarnation,
	}}})
	text := reason
	var next attempt.Next
	switch answer.GetBody().(type) {
	case *wirepb.Piece_Revoked:
		next, text = f.life.Fire(attempt.Revoke), "it was revoked and never ran"
	case *wirepb.Piece_Started:
		next, text = f.life.Fire(attempt.Found), "it has begun there"
	default:
		if ctx.Err() != nil {
			return f.abandoned(ctx)
		}
		next = f.life.Fire(attempt.Vanish)
	}
	f.router.record(explain.Event{Kind: explain.Revoke, Request: f.request.ID, Account: f.request.Account, Attempt: f.life.Attempts(),
		Text: fmt.Sprintf("asked %s to revoke the attempt: %s", p.peer.Hello.Node, text)})
	return next
}

// ask makes a short call to the incarnation that had the attempt, over another
// connection if need be. Without an answer it tells why.
func (f *flight) ask(ctx context.Context, p placement, c *wirepb.Call) (*wirepb.Piece, string) {
	ctx, cancel := context.WithTimeout(ctx, recoverTime)
	defer cancel()
	s, reason := f.reopen(ctx, p, c)
	if s == nil {
		return nil, reason
	}
	defer s.Close()
	release := s.Shut(ctx)
	defer release()
	var answer wirepb.Piece
	if err := s.Read(&answer); err != nil {
		return nil, err.Error()
	}
	return &answer, ""
}

// reopen finds the agent again and sends it a call.
func (f *flight) reopen(ctx context.Context, p placement, c *wirepb.Call) (*wire.Stream, string) {
	broken := p.peer
	for {
		peer := p.peer
		if peer.Reason() != nil || isClosed(peer) {
			peer = f.router.agents.find(ctx, p.peer.Hello.Node, broken)
		}
		switch {
		case peer == nil:
			return nil, "the agent cannot be reached"
		case peer.Hello.Incarnation != p.peer.Hello.Incarnation:
			return nil, "the agent was restarted"
		}
		s, err := peer.Open()
		if err == nil {
			err = s.Write(c)
		}
		if err == nil {
			return s, ""
		}
		broken = peer
		peer.Close(err)
		if ctx.Err() != nil {
			return nil, "the agent cannot be reached"
		}
	}
}

func isClosed(p *wire.Peer) bool {
	select {
	case <-p.Closed():
		return true
	default:
		return false
	}
}

// resume goes on with the answer from the next chunk.
func (f *flight) resume(ctx context.Context, p placement) attempt.Next {
	find, cancel := context.WithTimeout(ctx, recoverTime)
	defer cancel()
	s, reason := f.reopen(find, p, &wirepb.Call{Body: &wirepb.Call_Resume{Resume: &wirepb.Resume{
		Request: f.request.ID, Attempt: f.life.Attempts(), Next: f.next,
	}}})
	f.router.record(explain.Event{Kind: explain.Resume, Request: f.request.ID, Account: f.request.Account, Attempt: f.life.Attempts(),
		Text: fmt.Sprintf("asked %s for the answer from chunk %d on %s", p.peer.Hello.Node, f.next, reason)})
	if s == nil {
		if ctx.Err() != nil {
			return f.abandoned(ctx)
		}
		return f.life.Fire(attempt.Vanish)
	}
	defer s.Close()
	f.life.Fire(attempt.Resume)
	return f.read(ctx, p, s)
}

const (
	mostRetries = 5
	// Retries may be a tenth of requests, and some more after a quiet time.
	retryPart  = 0.1
	retryBurst = 20
)

// retryBudget keeps retries from multiplying an overload: each request earns a
// part of one. Its zero value is full.
type retryBudget struct {
	mutex sync.Mutex
	spent float64
}

func (b *retryBudget) earn() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.spent = max(0, b.spent-retryPart)
}

func (b *retryBudget) take() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.spent+1 > retryBurst {
		return false
	}
	b.spent++
	return true
}
