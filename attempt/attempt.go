// Package attempt keeps the promise that a request marked not repeatable runs at
// most once, and that one called not run did not run.
//
// Every try of a request is an attempt, sent to one incarnation of one agent. The
// router follows it with a [Life]; the agent remembers it in a [Registry], so that
// an attempt that the router lost sight of can be revoked or found.
//
// # Usage
//
//	l := attempt.NewLife(repeatable)
//	l.Fire(attempt.Send)
//	next := l.Fire(attempt.Lose)       // Ask: revoke it before anything else
//	next = l.Fire(attempt.Revoke)      // Again: it never ran
//	next = l.Fire(attempt.Vanish)      // Finish{Unknown}, or Again if repeatable
//
// The package does no I/O; it says what may be done next.
package attempt

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/qmuntal/stateless"
)

// Outcome is what became of a request: [NotRun], [Ran] or [Unknown].
type Outcome interface{ outcome() }

// Cause tells apart why a request did not get its whole answer.
type Cause string

// The causes.
const (
	Refused          Cause = "refused"     // by the agent, for good
	QueueFull        Cause = "too many"    // the account has its full number waiting
	Deadline         Cause = "deadline"    // it passed, or would
	CallerClosed     Cause = "caller left" // while it waited
	ShuttingDown     Cause = "stopping"    // the router is
	AttemptsFailed   Cause = "failing"     // several attempts did not run
	KeyIndeterminate Cause = "untold"      // an idempotency key cannot be told to be new
	Interrupted      Cause = "broken"      // a server, agent or connection broke
)

// NotRun says that the request did not run and will not.
type NotExecuted struct {
	Cause      Cause
	Reason     string
	RetryAfter time.Duration
}

// Ran says that the request ran, and whether its whole answer arrived.
type Executed struct {
	Complete bool
	Cause    Cause // of an answer that is not complete
	Reason   string
}

// Unknown says that it cannot be known whether the request ran.
type Unknown struct {
	Cause  Cause
	Reason string
}

func (NotExecuted) outcome() {}
func (Executed) outcome()    {}
func (Unknown) outcome()     {}

// State is where a request is in its life at the router.
type State string

// The states.
const (
	Waiting             State = "waiting"   // no attempt is under way
	Sent                State = "sent"      // an attempt is on its way, its fate open
	Admitted            State = "admitted"  // the agent has begun it
	Responding          State = "answering" // a part of its answer went to the caller
	SentDisconnected    State = "lost"      // the connection broke before the agent's word
	StartedDisconnected State = "severed"   // the connection broke after the agent began it
	Ended               State = "ended"
)

// Event is what happened to a request.
type Event string

// The events.
const (
	Send           Event = "send"    // an attempt is sent
	Admit          Event = "admit"   // the agent says it has begun
	Decline        Event = "decline" // the agent says not run
	Respond        Event = "answer"  // a part of the answer goes to the caller
	Disconnect     Event = "lose"    // the connection broke
	ConfirmRevoked Event = "revoke"  // the agent says revoked, will never run
	ConfirmStarted Event = "found"   // the agent says started
	AgentGone      Event = "vanish"  // that incarnation is gone or cannot tell
	Resume         Event = "resume"  // the answer goes on over another connection
	Finish         Event = "finish"  // the whole answer has passed
	Truncate       Event = "cut"     // the answer ended before its end
	Abandon        Event = "give up" // deadline or caller gone while nothing runs
)

// Next is what the router may do after an event: [Proceed], [Ask], [Again],
// [Rejoin] or [Stop].
type Action interface{ action() }

// Proceed says to go on as before.
type Continue struct{}

// Ask says to ask the same incarnation to revoke the attempt.
type RequestRevoke struct{}

// Again says that another attempt may be made.
type Retry struct{}

// Rejoin says to resume the answer from the same incarnation.
type Reattach struct{}

// Stop says that the request has ended.
type Done struct{ Outcome Outcome }

func (Continue) action()      {}
func (RequestRevoke) action() {}
func (Retry) action()         {}
func (Reattach) action()      {}
func (Done) action()          {}

// Life follows one request at a router. It is for one goroutine.
type Lifecycle struct {
	state      State
	attempts   uint32
	retryable  bool
	responded  bool // a part of an answer went to the caller
	mayHaveRun bool // an earlier attempt may have run
	action     Action
}

// NewLife returns the life of a request that waits.
func NewLifecycle(repeatable bool) *Lifecycle {
	return &Lifecycle{state: Waiting, retryable: repeatable}
}

// State returns where the request is.
func (l *Lifecycle) State() State { return l.state }

// Attempts returns how many attempts were sent.
func (l *Lifecycle) Attempts() uint32 { return l.attempts }

// Fire tells the life of an event and returns what may be done next. An event
// that cannot happen in the present state is a broken invariant.
func (l *Lifecycle) Fire(e Event) Action {
	l.action = Continue{}
	ctx := context.WithValue(context.Background(), lifecycleKey{}, l)
	if err := machine.FireCtx(ctx, e); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "attempt: %s while %s", e, l.state))
	}
	return l.action
}

type lifecycleKey struct{}

func lifecycleFrom(ctx context.Context) *Lifecycle { return ctx.Value(lifecycleKey{}).(*Lifecycle) }

// machine holds the transitions for all lives; each life's state is kept in the
// life itself, which travels in the context.
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

func readState(ctx context.Context) (stateless.State, error) { return lifecycleFrom(ctx).state, nil }

func writeState(ctx context.Context, s stateless.State) error {
	lifecycleFrom(ctx).state = s.(State)
	return nil
}

func setAction(n Action) stateless.ActionFunc {
	return func(ctx context.Context, _ ...any) error {
		lifecycleFrom(ctx).action = n
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

// doubt lets a repeatable request be tried again, and remembers that it may have
// run: it can never be called not run any more.
func retryUncertain(ctx context.Context, _ ...any) error {
	l := lifecycleFrom(ctx)
	l.mayHaveRun = true
	l.action = Retry{}
	return nil
}

func abandonRequest(ctx context.Context, _ ...any) error {
	l := lifecycleFrom(ctx)
	if l.mayHaveRun {
		l.action = Done{Outcome: Unknown{Cause: Interrupted, Reason: "an earlier attempt may have run"}}
		return nil
	}
	l.action = Done{Outcome: NotExecuted{}}
	return nil
}

// vanished ends a request whose agent incarnation is gone. What has partly been
// passed on did run; what has not may have.
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

func cannotRetry(ctx context.Context, a ...any) bool { return !canRetry(ctx, a...) }

func notResponded(ctx context.Context, _ ...any) bool { return !lifecycleFrom(ctx).responded }

func hasResponded(ctx context.Context, _ ...any) bool { return lifecycleFrom(ctx).responded }
