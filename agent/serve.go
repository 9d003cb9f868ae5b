package agent

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"opalbridge.dev/attempt"
	"opalbridge.dev/engine"
	"opalbridge.dev/explain"
	"opalbridge.dev/fair"
	"opalbridge.dev/wire"
	"opalbridge.dev/wire/wirepb"
)

// Causes for canceling a running attempt.
var (
	errAbandoned          = errors.New("agent: no router reads the answer")
	errCallerDisconnected = errors.New(wire.ReasonCallerDisconnected)
	errDeadline           = errors.New(wire.ReasonDeadline)
)

const (
	readBufferSize = 16 << 10
	// minChargeInterval is the minimum time between two charges of an attempt while it
	// runs.
	minChargeInterval = 100 * time.Millisecond
)

// serveStart admits an attempt, runs it and streams its response.
func (a *Agent) serveStart(ctx context.Context, p *wire.Peer, s *wire.Stream, st *wirepb.Start) {
	parent := propagation.TraceContext{}.Extract(context.Background(), propagation.MapCarrier{"traceparent": st.Traceparent})
	_, span := a.options.Tracer.Start(parent, "agent.admit", trace.WithAttributes(
		attribute.String("request", st.Request), attribute.String("server", a.options.Name)))
	reply := make(chan startResult, 1)
	a.send(startEvent{start: st, peer: p, reply: reply})
	result, ok := await(a, reply)
	if !ok {
		return
	}
	span.SetAttributes(attribute.Bool("admitted", result.refused == nil && result.duplicate == nil && result.unknownReason == ""))
	span.End()
	switch {
	case result.refused != nil:
		a.recordStart(explain.Refuse, st, result.refused.Reason)
		_ = s.Write(&wirepb.Piece{Body: &wirepb.Piece_NotRun{NotRun: result.refused}})
		return
	case result.unknownReason != "":
		_ = s.Write(&wirepb.Piece{Body: &wirepb.Piece_Unknown{Unknown: &wirepb.Unknown{Reason: result.unknownReason}}})
		return
	case result.duplicate != nil:
		a.serveDuplicate(ctx, s, st, result.duplicate)
		return
	}
	a.recordStart(explain.Admit, st, fmt.Sprintf("admitted with %.0f weighted tokens reserved; the account stands at %.0f", result.reserved, result.virtualTime))
	j := a.startAttempt(parent, st, result.reserved)
	if err := s.Write(&wirepb.Piece{Body: &wirepb.Piece_Admitted{Admitted: &wirepb.Admitted{}}}); err != nil {
		return
	}
	a.streamResponse(ctx, s, j, 0, false)
}

func (a *Agent) recordStart(k explain.Kind, st *wirepb.Start, text string) {
	a.record(explain.Event{Kind: k, Request: st.Request, Account: st.Account, Attempt: st.Attempt, Text: text})
}

// serveDuplicate answers a caller's retry with the same idempotency key by the
// response to the request that used the key first.
func (a *Agent) serveDuplicate(ctx context.Context, s *wire.Stream, st *wirepb.Start, r *attempt.Duplicate) {
	a.recordStart(explain.Refuse, st, "the idempotency key was used by request "+r.Request)
	j := a.jobs.get(attempt.ID{Request: r.Request, Attempt: r.Attempt})
	if r.Unknown || j == nil || !j.retainsStart() {
		reason := "request " + r.Request + " used this idempotency key; its answer is no longer kept"
		if r.Unknown {
			reason = "request " + r.Request + " used this idempotency key; its outcome is unknown"
		}
		_ = s.Write(&wirepb.Piece{Body: &wirepb.Piece_Unknown{Unknown: &wirepb.Unknown{Reason: reason}}})
		return
	}
	if err := s.Write(&wirepb.Piece{Body: &wirepb.Piece_Admitted{Admitted: &wirepb.Admitted{}}}); err != nil {
		return
	}
	a.streamResponse(ctx, s, j, 0, false)
}

// retainsStart reports whether the response is retained from its first chunk on.
func (j *job) retainsStart() bool {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return j.firstChunk == 0
}

// serveResume streams the rest of a response after a lost connection.
func (a *Agent) serveResume(ctx context.Context, s *wire.Stream, r *wirepb.Resume) {
	j := a.jobs.get(attempt.ID{Request: r.Request, Attempt: r.Attempt})
	if j == nil {
		_ = s.Write(&wirepb.Piece{Body: &wirepb.Piece_Unknown{Unknown: &wirepb.Unknown{Reason: "the attempt is not known here"}}})
		return
	}
	a.record(explain.Event{Kind: explain.Resume, Request: r.Request, Attempt: r.Attempt, Text: fmt.Sprintf("resumed from chunk %d", r.Next)})
	a.streamResponse(ctx, s, j, r.Next, r.Next > 0)
}

// streamResponse writes a job's response to a stream, starting with chunk next. A
// cancel from the router stops the job; after a lost stream it can be resumed.
func (a *Agent) streamResponse(ctx context.Context, s *wire.Stream, j *job, next uint64, headSeen bool) {
	j.attach()
	defer j.detach()
	lost := make(chan struct{})
	a.goroutines.Go(ctx, "cancel watch", func(context.Context) { watchCancel(s, j, lost) })
	for {
		p := j.nextPiece(headSeen, next)
		var err error
		switch {
		case p.dropped:
			_ = s.Write(&wirepb.Piece{Body: &wirepb.Piece_Unknown{Unknown: &wirepb.Unknown{Reason: "that part of the answer is no longer kept"}}})
			return
		case p.head != nil:
			headSeen = true
			err = s.Write(&wirepb.Piece{Body: &wirepb.Piece_Head{Head: p.head}})
		case p.chunk != nil:
			err = s.Write(&wirepb.Piece{Body: &wirepb.Piece_Chunk{Chunk: &wirepb.Chunk{Number: next, Content: p.chunk}}})
			next++
			j.markDelivered(next)
		case p.last != nil:
			_ = s.Write(p.last)
			return
		default:
			select {
			case <-p.waiting:
			case <-lost:
				return
			case <-ctx.Done():
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// watchCancel waits for a cancel from the router, or for the end of the stream, and
// closes lost.
func watchCancel(s *wire.Stream, j *job, lost chan<- struct{}) {
	defer close(lost)
	var c wirepb.Call
	if err := s.Read(&c); err == nil && c.GetCancel() != nil {
		j.cancel(errCallerDisconnected)
	}
}

// startAttempt starts the goroutine that runs an admitted attempt.
func (a *Agent) startAttempt(parent context.Context, st *wirepb.Start, reserved float64) *job {
	ctx := trace.ContextWithSpanContext(a.lifetime, trace.SpanContextFromContext(parent))
	ctx, cancel := context.WithCancelCause(ctx)
	j := newJob(attempt.ID{Request: st.Request, Attempt: st.Attempt}, cancel)
	a.jobs.put(j)
	r := &attemptRun{agent: a, start: st, job: j, reserved: reserved}
	a.goroutines.Go(ctx, "attempt", func(ctx context.Context) {
		defer cancel(nil)
		budget, stop := context.WithTimeoutCause(ctx, time.Duration(st.BudgetMs)*time.Millisecond, errDeadline)
		defer stop()
		r.run(budget)
	})
	return j
}

// attemptRun executes one admitted attempt.
type attemptRun struct {
	agent      *Agent
	start      *wirepb.Start
	job        *job
	reserved   float64 // remaining reservation
	meter      *engine.Meter
	charged    float64
	lastCharge time.Time
	responded  bool // the server has sent its status and headers
}

func (r *attemptRun) run(ctx context.Context) {
	ctx, span := r.agent.options.Tracer.Start(ctx, "agent.serve", trace.WithAttributes(attribute.String("request", r.start.Request)))
	defer span.End()
	r.meter = engine.NewMeter(r.agent.weights(), r.start.Content)
	response, err := r.callEngine(ctx)
	if err != nil {
		r.finishWithoutResponse(ctx, err)
		return
	}
	defer response.Body.Close()
	r.responded = true
	r.job.setHead(&wirepb.Head{Status: uint32(response.Status), Headers: headers(response.Header)})
	err = r.copyBody(ctx, response.Body)
	cost := r.totalCost(response.Status)
	r.charge(cost, true)
	if err != nil {
		r.finishTruncated(ctx, err, cost)
		return
	}
	signal := served
	if response.Status >= http.StatusInternalServerError {
		signal = failed
	}
	r.finish(&wirepb.Piece{Body: &wirepb.Piece_End{End: &wirepb.End{Chunks: r.job.chunkCount(), Complete: true, Cost: cost}}},
		attempt.Executed{Complete: true}, signal, fmt.Sprintf("the whole answer, status %d, %.0f weighted tokens", response.Status, cost))
}

// callEngine calls the server, in a span of its own.
func (r *attemptRun) callEngine(ctx context.Context) (*engine.Response, error) {
	_, span := r.agent.options.Tracer.Start(ctx, "engine.call", trace.WithAttributes(attribute.String("request", r.start.Request)))
	defer span.End()
	return r.agent.options.Engine.Do(ctx, r.newCall(trace.ContextWithSpan(ctx, span)))
}

func (j *job) chunkCount() uint64 {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return j.nextChunk
}

func (r *attemptRun) newCall(ctx context.Context) *engine.Call {
	h := http.Header{}
	for _, f := range r.start.Headers {
		h.Add(f.Name, f.Value)
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(h))
	return &engine.Call{
		RequestID: r.start.Request,
		Method:    r.start.Method,
		Path:      r.start.Path,
		Header:    h,
		Body:      r.start.Content,
		Urgent:    r.start.Urgent,
	}
}

// weights returns the configured prices of tokens and calls.
func (a *Agent) weights() engine.Weights {
	const thousand = 1000
	l := a.holder.Current().Limits.WithDefaults()
	return engine.Weights{
		Input:  float64(l.InputWeight) / thousand,
		Output: float64(l.OutputWeight) / thousand,
		Cached: float64(l.CachedWeight) / thousand,
		Call:   float64(l.CallCost),
	}
}

func headers(h http.Header) []*wirepb.Header {
	var list []*wirepb.Header
	for name, values := range h {
		for _, v := range values {
			list = append(list, &wirepb.Header{Name: name, Value: v})
		}
	}
	return list
}

// copyBody reads the response body into the job and charges the account as it
// arrives.
func (r *attemptRun) copyBody(ctx context.Context, body io.Reader) error {
	buffer := make([]byte, readBufferSize)
	for {
		if err := r.job.waitForReadAhead(ctx); err != nil {
			return err
		}
		n, err := body.Read(buffer)
		if n > 0 {
			_, _ = r.meter.Write(buffer[:n])
			r.job.addChunk(buffer[:n])
			r.charge(r.meter.Cost(), false)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// totalCost returns the total cost of the attempt: the configured price for a call of
// a plain service, the metered cost for a model's response.
func (r *attemptRun) totalCost(status int) float64 {
	if p := r.agent.holder.Current().Pool(r.start.Pool); p != nil && p.Kind == "service" {
		return r.agent.weights().Call
	}
	if status >= http.StatusBadRequest {
		return r.charged
	}
	return max(r.meter.Finish(), r.charged)
}

// charge charges the account for the cost since the last charge, and releases the
// same amount of the reservation.
func (r *attemptRun) charge(cost float64, last bool) {
	if p := r.agent.holder.Current().Pool(r.start.Pool); !last && p != nil && p.Kind == "service" {
		return
	}
	if !last && now().Sub(r.lastCharge) < minChargeInterval {
		return
	}
	delta := cost - r.charged
	if delta <= 0 {
		return
	}
	released := min(delta, r.reserved)
	r.charged = cost
	r.reserved -= released
	r.lastCharge = now()
	r.agent.send(chargeEvent{account: fair.Account(r.start.AccountId), cost: delta, reserved: released})
}

// finishWithoutResponse ends an attempt that got no response from the server.
func (r *attemptRun) finishWithoutResponse(ctx context.Context, err error) {
	if errors.Is(err, engine.ErrNotSent) {
		r.finish(&wirepb.Piece{Body: &wirepb.Piece_NotRun{NotRun: &wirepb.NotRun{Reason: "the server cannot be reached", Busy: true}}},
			attempt.NotExecuted{Reason: err.Error()}, failed, "not run: "+err.Error())
		return
	}
	if ctx.Err() != nil {
		r.finishTruncated(ctx, context.Cause(ctx), 0)
		return
	}
	r.finish(&wirepb.Piece{Body: &wirepb.Piece_Unknown{Unknown: &wirepb.Unknown{Reason: "the server broke off before it answered"}}},
		attempt.Unknown{Reason: err.Error()}, failed, "unknown: "+err.Error())
}

// finishTruncated ends an attempt whose response was truncated or canceled.
func (r *attemptRun) finishTruncated(ctx context.Context, err error, cost float64) {
	signal := failed
	reason := "the server broke off its answer"
	if ctx.Err() != nil {
		signal = noSignal
		reason = context.Cause(ctx).Error()
		if errors.Is(context.Cause(ctx), errDeadline) && !r.responded {
			signal = failed
		}
	}
	r.finish(&wirepb.Piece{Body: &wirepb.Piece_End{End: &wirepb.End{Chunks: r.job.chunkCount(), Reason: reason, Cost: cost}}},
		attempt.Executed{Reason: reason}, signal, "cut: "+reason+": "+err.Error())
}

// finish records the outcome and ends the response with its last piece.
func (r *attemptRun) finish(last *wirepb.Piece, o attempt.Outcome, signal healthSignal, text string) {
	r.agent.recordStart(explain.Outcome, r.start, text)
	r.agent.send(doneEvent{start: r.start, reserved: r.reserved, outcome: o, healthSignal: signal})
	r.job.end(last)
}
