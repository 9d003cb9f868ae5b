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
	Refused    Cause = "refused"     // by the agent, for good
	TooMany    Cause = "too many"    // the account has its full number waiting
	Deadline   Cause = "deadline"    // it passed, or would
	CallerLeft Cause = "caller left" // while it waited
	Stopping   Cause = "stopping"    // the router is
	Failing    Cause = "failing"     // several attempts did not run
	Untold     Cause = "untold"      // an idempotency key cannot be told to be new
	Broken     Cause = "broken"      // a server, agent or connection broke
)

// NotRun says that the request did not run and will not.
type NotRun struct {
	Cause      Cause
	Reason     string
	RetryAfter time.Duration
}

// Ran says that the request ran, and whether its whole answer arrived.
type Ran struct {
	Complete bool
	Cause    Cause // of an answer that is not complete
	Reason   string
}

// Unknown says that it cannot be known whether the request ran.
type Unknown struct {
	Cause  Cause
	Reason string
}

func (NotRun) outcome()  {}
func (Ran) outcome()     {}
func (Unknown) outcome() {}

// State is where a request is in its life at the router.
type State string

// The states.
const (
	Waiting   State = "waiting"   // no attempt is under way
	Sent      State = "sent"      // an attempt is on its way, its fate open
	Admitted  State = "admitted"  // the agent has begun it
	Answering State = "answering" // a part of its answer went to the caller
	Lost      State = "lost"      // the connection broke before the agent's word
	Severed   State = "severed"   // the connection broke after the agent began it
	Ended     State = "ended"
)

// Event is what happened to a request.
type Event string

// The events.
const (
	Send    Event = "send"    // an attempt is sent
	Admit   Event = "admit"   // the agent says it has begun
	Decline Event = "decline" // the agent says not run
	Answer  Event = "answer"  // a part of the answer goes to the caller
	Lose    Event = "lose"    // the connection broke
	Revoke  Event = "revoke"  // the agent says revoked, will never run
	Found   Event = "found"   // the agent says started
	Vanish  Event = "vanish"  // that incarnation is gone or cannot tell
	Resume  Event = "resume"  // the answer goes on over another connection
	Finish  Event = "finish"  // the whole answer has passed
	Cut     Event = "cut"     // the answer ended before its end
	GiveUp  Event = "give up" // deadline or caller gone while nothing runs
)

// Next is what the router may do after an event: [Proceed], [Ask], [Again],
// [Rejoin] or [Stop].
type Next interface{ next() }

// Proceed says to go on as before.
type Proceed struct{}

// Ask says to ask the same incarnation to revoke the attempt.
type Ask struct{}

// Again says that another attempt may be made.
type Again struct{}

// Rejoin says to resume the answer from the same incarnation.
type Rejoin struct{}

// Stop says that the request has ended.
type Stop struct{ Outcome Outcome }

func (Proceed) next() {}
func (Ask) next()     {}
func (Again) next()   {}
func (Rejoin) next()  {}
func (Stop) next()    {}

// Life follows one request at a router. It is for one goroutine.
type Life struct {
	state      State
	attempts   uint32
	repeatable bool
	passed     bool // a part of an answer went to the caller
	uncertain  bool // an earlier attempt may have run
	next       Next
}

// NewLife returns the life of a request that waits.
func NewLife(repeatable bool) *Life {
	return &Life{state: Waiting, repeatable: repeatable}
}

// State returns where the request is.
func (l *Life) State() State { return l.state }

// Attempts returns how many attempts were sent.
func (l *Life) Attempts() uint32 { return l.attempts }

// Fire tells the life of an event and returns what may be done next. An event
// that cannot happen in the present state is a broken invariant.
func (l *Life) Fire(e Event) Next {
	l.next = Proceed{}
	ctx := context.WithValue(context.Background(), lifeKey{}, l)
	if err := machine.FireCtx(ctx, e); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "attempt: %s while %s", e, l.state))
	}
	return l.next
}

type lifeKey struct{}

func lifeOf(ctx context.Context) *Life { return ctx.Value(lifeKey{}).(*Life) }

// machine holds the transitions for all lives; each life's state is kept in the
// life itself, which travels in the context.
var machine = newMachine()

func newMachine() *stateless.StateMachine {
	m := stateless.NewStateMachineWithExternalStorage(readState, writeState, stateless.FiringImmediate)
	m.Configure(Waiting).
		OnEntryFrom(Decline, decide(Again{})).
		OnEntryFrom(Revoke, decide(Again{})).
		OnEntryFrom(Vanish, doubt).
		Permit(Send, Sent).
		Permit(GiveUp, Ended)
	m.Configure(Sent).
		OnEntryFrom(Send, count).
		Permit(Admit, Admitted).
		Permit(Decline, Waiting).
		Permit(Lose, Lost)
	m.Configure(Lost).
		OnEntry(decide(Ask{})).
		Permit(Revoke, Waiting).
		Permit(Found, Severed).
		Permit(Vanish, Waiting, mayRepeat).
		Permit(Vanish, Ended, mayNotRepeat)
	m.Configure(Admitted).
		Permit(Decline, Waiting, nothingPassed).
		Permit(Answer, Answering).
		Permit(Lose, Severed).
		Permit(Vanish, Waiting, mayRepeat).
		Permit(Vanish, Ended, mayNotRepeat).
		Permit(Finish, Ended).
		Permit(Cut, Ended)
	m.Configure(Answering).
		OnEntryFrom(Answer, pass).
		PermitReentry(Answer).
		Permit(Lose, Severed).
		Permit(Vanish, Ended).
		Permit(Finish, Ended).
		Permit(Cut, Ended)
	m.Configure(Severed).
		OnEntry(decide(Rejoin{})).
		Permit(Resume, Answering, somethingPassed).
		Permit(Resume, Admitted, nothingPassed).
		Permit(Decline, Waiting, nothingPassed).
		Permit(Vanish, Waiting, mayRepeat).
		Permit(Vanish, Ended, mayNotRepeat).
		Permit(Cut, Ended)
	m.Configure(Ended).
		OnEntryFrom(Finish, decide(Stop{Outcome: Ran{Complete: true}})).
		OnEntryFrom(Cut, decide(Stop{Outcome: Ran{Cause: Broken, Reason: "the answer was cut"}})).
		OnEntryFrom(GiveUp, gaveUp).
		OnEntryFrom(Vanish, vanished)
	return m
}

func readState(ctx context.Context) (stateless.State, error) { return lifeOf(ctx).state, nil }

func writeState(ctx context.Context, s stateless.State) error {
	lifeOf(ctx).state = s.(State)
	return nil
}

func decide(n Next) stateless.ActionFunc {
	return func(ctx context.Context, _ ...any) error {
		lifeOf(ctx).next = n
		return nil
	}
}

func count(ctx context.Context, _ ...any) error {
	lifeOf(ctx).attempts++
	return nil
}

func pass(ctx context.Context, _ ...any) error {
	lifeOf(ctx).passed = true
	return nil
}

// doubt lets a repeatable request be tried again, and remembers that it may have
// run: it can never be called not run any more.
func doubt(ctx context.Context, _ ...any) error {
	l := lifeOf(ctx)
	l.uncertain = true
	l.next = Again{}
	return nil
}

func gaveUp(ctx context.Context, _ ...any) error {
	l := lifeOf(ctx)
	if l.uncertain {
		l.next = Stop{Outcome: Unknown{Cause: Broken, Reason: "an earlier attempt may have run"}}
		return nil
	}
	l.next = Stop{Outcome: NotRun{}}
	return nil
}

// vanished ends a request whose agent incarnation is gone. What has partly been
// passed on did run; what has not may have.
func vanished(ctx context.Context, _ ...any) error {
	l := lifeOf(ctx)
	if l.passed {
		l.next = Stop{Outcome: Ran{Cause: Broken, Reason: "the answer was cut: its agent is gone"}}
		return nil
	}
	l.next = Stop{Outcome: Unknown{Cause: Broken, Reason: "the agent that had it is gone"}}
	return nil
}

func mayRepeat(ctx context.Context, _ ...any) bool {
	l := lifeOf(ctx)
	return l.repeatable && !l.passed
}

func mayNotRepeat(ctx context.Context, a ...any) bool { return !mayRepeat(ctx, a...) }

func nothingPassed(ctx context.Context, _ ...any) bool { return !lifeOf(ctx).passed }

func somethingPassed(ctx context.Context, _ ...any) bool { return lifeOf(ctx).passed }
