// Package attempt implements at-most-once execution. A request that is not
// retryable runs at most once, and a request reported as not executed has not run
// and will not run.
//
// Every try of a request is an attempt, sent to one incarnation of one agent. The
// router tracks the request with a [Lifecycle]. The agent records the attempt in a
// [Registry], so that a router which lost the connection can revoke the attempt or
// learn that it has begun. A [KeyStore] detects repeated idempotency keys.
//
// # Usage
//
//	l := attempt.NewLifecycle(retryable)
//	l.Fire(attempt.Send)
//	action := l.Fire(attempt.Disconnect)    // RequestRevoke: before anything else
//	action = l.Fire(attempt.ConfirmRevoked) // Retry: it never ran
//
// If the agent's incarnation is gone instead of confirming:
//
//	action = l.Fire(attempt.AgentGone) // Done with Unknown, or Retry if retryable
//
// The package does no I/O; it decides what may be done next.
package attempt

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/qmuntal/stateless"
)

// Outcome is the result of a request: [NotExecuted], [Executed] or [Unknown].
type Outcome interface{ outcome() }

// Cause classifies why a request did not get a complete response.
type Cause string

// The causes.
const (
	Refused          Cause = "refused"     // rejected by the agent; not to be retried
	QueueFull        Cause = "too many"    // the account has reached its limit of waiting requests
	Deadline         Cause = "deadline"    // it passed or would pass before the request ends
	CallerClosed     Cause = "caller left" // the caller closed the connection
	ShuttingDown     Cause = "stopping"    // the router is shutting down
	AttemptsFailed   Cause = "failing"     // several attempts were not executed
	KeyIndeterminate Cause = "untold"      // an idempotency key cannot be proven to be new
	Interrupted      Cause = "broken"      // a server, an agent or a connection failed
)

// NotExecuted means that the request did not run and will not run.
type NotExecuted struct {
	Cause      Cause
	Reason     string
	RetryAfter time.Duration
}

// Executed means that the request ran; Complete reports whether its whole response
// arrived.
type Executed struct {
	Complete bool
	Cause    Cause // of an incomplete response
	Reason   string
}

// Unknown means that it cannot be determined whether the request ran.
type Unknown struct {
	Cause  Cause
	Reason string
}

func (NotExecuted) outcome() {}
func (Executed) outcome()    {}
func (Unknown) outcome()     {}

// State is the state of a request at the router.
type State string

// The states.
const (
	Waiting             State = "waiting"   // no attempt is in progress
	Sent                State = "sent"      // an attempt was sent; whether it has begun is not known
	Admitted            State = "admitted"  // the agent has begun the attempt
	Responding          State = "answering" // part of the response went to the caller
	SentDisconnected    State = "lost"      // the connection broke before the agent replied
	StartedDisconnected State = "severed"   // the connection broke after the agent had begun the attempt
	Ended               State = "ended"
)

// Event is an input to the state machine of a request.
type Event string

// The events.
const (
	Send           Event = "send"    // an attempt is sent
	Admit          Event = "admit"   // the agent has begun the attempt
	Decline        Event = "decline" // the agent has not executed the attempt
	Respond        Event = "answer"  // part of the response goes to the caller
	Disconnect     Event = "lose"    // the connection to the agent broke
	ConfirmRevoked Event = "revoke"  // the agent has revoked the attempt: it will never run
	ConfirmStarted Event = "found"   // the agent has already begun the attempt
	AgentGone      Event = "vanish"  // that incarnation of the agent is gone or does not know the attempt
	Resume         Event = "resume"  // the response continues over another connection
	Finish         Event = "finish"  // the whole response was forwarded
	Truncate       Event = "cut"     // the response ended early
	Abandon        Event = "give up" // the deadline passed or the caller left while no attempt runs
)

// Action is what the router may do after an event: [Continue], [RequestRevoke],
// [Retry], [Reattach] or [Done].
type Action interface{ action() }

// Continue means that nothing changes.
type Continue struct{}

// RequestRevoke means that the same incarnation must be asked to revoke the attempt.
type RequestRevoke struct{}

// Retry means that another attempt may be made.
type Retry struct{}

// Reattach means that the response must be resumed from the same incarnation.
type Reattach struct{}

// Done means that the request has ended.
type Done struct{ Outcome Outcome }

func (Continue) action()      {}
func (RequestRevoke) action() {}
func (Retry) action()         {}
func (Reattach) action()      {}
func (Done) action()          {}

// Lifecycle is the state machine of one request at a router. It is not safe for
// concurrent use.
type Lifecycle struct {
	state      State
	attempts   uint32
	retryable  bool
	responded  bool // part of a response went to the caller
	mayHaveRun bool // an earlier attempt may have run
	action     Action
}

// NewLifecycle returns the lifecycle of a request in state Waiting.
func NewLifecycle(retryable bool) *Lifecycle {
	return &Lifecycle{state: Waiting, retryable: retryable}
}

// State returns the state of the request.
func (l *Lifecycle) State() State { return l.state }

// Attempts returns the number of attempts sent.
func (l *Lifecycle) Attempts() uint32 { return l.attempts }

// Fire applies an event and returns what may be done next. It panics if the event is
// not possible in the current state, which is a violated invariant.
func (l *Lifecycle) Fire(e Event) Action {
	l.action = Continue{}
	ctx := context.WithValue(context.Background(), lifecycleKey{}, l)
	if err := machine.FireCtx(ctx, e); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "attempt: event %q is not possible in state %q", e, l.state))
	}
	return l.action
}

type lifecycleKey struct{}

func lifecycleFrom(ctx context.Context) *Lifecycle { return ctx.Value(lifecycleKey{}).(*Lifecycle) }

// machine holds the transitions of all lifecycles. The state is kept in the
// Lifecycle, which is passed in the context.
var machine = newMachine()

func newMachine() *stateless.StateMachine {
	m := stateless.NewStateMachineWithExternalStorage(readState, writeState, stateless.FiringImmediate)
	m.Configure(Waiting).
		OnEntryFrom(Decline, setAction(Retry{})).
		OnEntryFrom(ConfirmRevoked, setAction(Retry{})).
		OnEntryFrom(AgentGone, retryUncertain).
		Permit(Send, Sent).
		Permit(Abandon, Ended)
	m.Configure(Sent).
		OnEntryFrom(Send, countAttempt).
		Permit(Admit, Admitted).
		Permit(Decline, Waiting).
		Permit(Disconnect, SentDisconnected)
	m.Configure(SentDisconnected).
		OnEntry(setAction(RequestRevoke{})).
		Permit(ConfirmRevoked, Waiting).
		Permit(ConfirmStarted, StartedDisconnected).
		Permit(AgentGone, Waiting, canRetry).
		Permit(AgentGone, Ended, cannotRetry)
	m.Configure(Admitted).
		Permit(Decline, Waiting, notResponded).
		Permit(Respond, Responding).
		Permit(Disconnect, StartedDisconnected).
		Permit(AgentGone, Waiting, canRetry).
		Permit(AgentGone, Ended, cannotRetry).
		Permit(Finish, Ended).
		Permit(Truncate, Ended)
	m.Configure(Responding).
		OnEntryFrom(Respond, markResponded).
		PermitReentry(Respond).
		Permit(Disconnect, StartedDisconnected).
		Permit(AgentGone, Ended).
		Permit(Finish, Ended).
		Permit(Truncate, Ended)
	m.Configure(StartedDisconnected).
		OnEntry(setAction(Reattach{})).
		Permit(Resume, Responding, hasResponded).
		Permit(Resume, Admitted, notResponded).
		Permit(Decline, Waiting, notResponded).
		Permit(AgentGone, Waiting, canRetry).
		Permit(AgentGone, Ended, cannotRetry).
		Permit(Truncate, Ended)
	m.Configure(Ended).
		OnEntryFrom(Finish, setAction(Done{Outcome: Executed{Complete: true}})).
		OnEntryFrom(Truncate, setAction(Done{Outcome: Executed{Cause: Interrupted, Reason: "the answer was cut"}})).
		OnEntryFrom(Abandon, abandonRequest).
		OnEntryFrom(AgentGone, handleAgentGone)
	return m
}

// readState and writeState store the state of the machine in the Lifecycle.
func readState(ctx context.Context) (stateless.State, error) { return lifecycleFrom(ctx).state, nil }

func writeState(ctx context.Context, s stateless.State) error {
	lifecycleFrom(ctx).state = s.(State)
	return nil
}

func setAction(a Action) stateless.ActionFunc {
	return func(ctx context.Context, _ ...any) error {
		lifecycleFrom(ctx).action = a
		return nil
	}
}

func countAttempt(ctx context.Context, _ ...any) error {
	lifecycleFrom(ctx).attempts++
	return nil
}

func markResponded(ctx context.Context, _ ...any) error {
	lifecycleFrom(ctx).responded = true
	return nil
}

// retryUncertain allows a retry and records that an earlier attempt may have run, so
// that the request is never reported as not executed.
func retryUncertain(ctx context.Context, _ ...any) error {
	l := lifecycleFrom(ctx)
	l.mayHaveRun = true
	l.action = Retry{}
	return nil
}

// abandonRequest ends a request for which no attempt runs.
func abandonRequest(ctx context.Context, _ ...any) error {
	l := lifecycleFrom(ctx)
	if l.mayHaveRun {
		l.action = Done{Outcome: Unknown{Cause: Interrupted, Reason: "an earlier attempt may have run"}}
		return nil
	}
	l.action = Done{Outcome: NotExecuted{}}
	return nil
}

// handleAgentGone ends a request whose agent incarnation is gone. If part of the
// response was forwarded, the request did run; otherwise it may have run.
func handleAgentGone(ctx context.Context, _ ...any) error {
	l := lifecycleFrom(ctx)
	if l.responded {
		l.action = Done{Outcome: Executed{Cause: Interrupted, Reason: "the answer was cut: its agent is gone"}}
		return nil
	}
	l.action = Done{Outcome: Unknown{Cause: Interrupted, Reason: "the agent that had it is gone"}}
	return nil
}

func canRetry(ctx context.Context, _ ...any) bool {
	l := lifecycleFrom(ctx)
	return l.retryable && !l.responded
}

func cannotRetry(ctx context.Context, args ...any) bool { return !canRetry(ctx, args...) }

func notResponded(ctx context.Context, _ ...any) bool { return !lifecycleFrom(ctx).responded }

func hasResponded(ctx context.Context, _ ...any) bool { return lifecycleFrom(ctx).responded }
