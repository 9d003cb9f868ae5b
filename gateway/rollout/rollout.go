// Package rollout moves a service's traffic to servers of a new version, or takes it back.
// A few requests go to the new version first (the canary). Their answers are compared with
// those that the version in use (the baseline) gives in the same seconds. If the new version
// is worse, it gets nothing more; if not, it gets a larger part, and then all.
//
// # Usage
//
//	r := rollout.New(order, since)
//	if r.Turn() { … }                    // the next request should try the new version
//	r.Sent(toTarget)                     // where it went
//	r.Answer(route, server, toTarget, a) // what came of it
//	r.Hear(from, report, stage, since)   // what another gateway has seen
//	r.Look(now, fresh)                   // takes the next step; then see r.Stage and r.Bad
//
// # The bound on what a bad version gets
//
// Nothing is agreed between gateways. Each sends to the new version at most a part of its own
// requests for the service, and the part is the same for all, so the sum over any number of
// gateways is at most that part of all requests: also when some start, stop, are cut off or
// know nothing of each other. What all have seen of answers is summed from reports, which hold
// totals, so that a lost or repeated one does no harm. Who has no fresh news sends nothing to a
// version that is not in full use yet.
//
// # Verdicts
//
// The versions are compared by answers of the same seconds, so that what troubles all servers is
// held against neither.
//
// An answer is bad if it is a server's failure or takes several times as long as usual for its
// route. A version is worse if, on some route or on all together, its answers are bad more
// often by a margin, and by far more than chance would have it. A server that fails for a
// reason of its own is no fault of its version: the better half of the servers has to be worse
// as well.
//
// The package takes no lock, does no input or output and reads no clock. A Rollout belongs to
// one goroutine.
package rollout

import (
	"time"

	"opalbridge.dev/gateway/catalog"
)

// Order is what the operators want.
type Order struct {
	Service  string
	Target   string // version to which the traffic is to move
	Duration time.Duration
	Revision catalog.Revision // of the store; names the order
}

// State is how far a roll-out is, as the operators are told.
type State int

// The states.
const (
	Unknown    State = iota // nobody has said yet
	InProgress              // both versions serve
	Complete                // only the target serves; the other servers may end
	RolledBack              // the target serves nothing
)

// String implements fmt.Stringer.
func (s State) String() string {
	return [...]string{"unknown", "in progress", "complete", "rolled back"}[s]
}

// Status is what the operators are told of an order.
type Status struct {
	State    State
	Target   string
	Revision catalog.Revision // of the store, at which it was written; 0: it was not
}

// StateFor returns the state if the status is of an order, else Unknown: it is of an earlier one.
func (s Status) StateFor(o Order) State {
	if s.Target != o.Target || s.Revision < o.Revision {
		return Unknown
	}
	return s.State
}

// Stage is a step of a roll-out.
type Stage int

// The stages.
const (
	Canary   Stage = iota // few requests go to the target
	Expand                // a larger part
	Full                  // all
	Reverted              // none: the target is worse
)

// String implements fmt.Stringer.
func (s Stage) String() string { return [...]string{"canary", "expand", "move", "back"}[s] }

// The stages' parts of requests, and when they begin, in parts of the order's duration. A
// version that turns bad with the last moment before Move has got 5 in 100 of all that is asked
// in the duration; the platform's bound is 10. What is left of the time is for streams that run
// at the old servers.
const (
	canaryShare = 0.05
	expandShare = 0.3
	expandFrom  = 0.55
	moveFrom    = 0.62
)

// A stage is left only with this much evidence: so many answers of the target, some of them so
// long ago, in parts of the duration, or many.
const (
	leastAnswers = 30
	leastProof   = 0.2
	manyAnswers  = 200
)

// The target's servers that take requests have all answered some by this time after the first.
const earlyFor = 2 * time.Second

// Rollout is an order at work.
type Rollout struct {
	Order
	OrderedAt time.Time // when it was given, as far as is known
	stage     Stage
	// The furthest that another gateway is.
	furthest Stage
	bad      *Evidence
	fresh    bool
	// Requests that the target may still get, below 2; grows by the stage's part with each
	// request.
	credit float64
	seen   *counter
	judge  judge
	proven time.Time // when the target's first answer was known; zero: there is none
	moved  time.Time // since when all goes to the target; zero: not yet
}

// New returns an order's roll-out; since is when it was given.
func New(o Order, since time.Time) *Rollout {
	return &Rollout{Order: o, OrderedAt: since, seen: newCounter(), judge: newJudge()}
}

// Stage returns the present stage.
func (r *Rollout) Stage() Stage { return r.stage }

// FullSince returns since when all requests go to the target; zero: they do not.
func (r *Rollout) FullSince() time.Time { return r.moved }

// Evidence returns what has shown this gateway that the target is worse; nil: nothing has.
func (r *Rollout) Evidence() *Evidence { return r.bad }

// TargetShare returns the part of requests that goes to the target.
func (r *Rollout) TargetShare() float64 {
	switch {
	case r.stage == Full:
		return 1
	case r.stage == Reverted, !r.fresh:
		return 0
	case r.stage == Expand:
		return expandShare
	default:
		return canaryShare
	}
}

// TargetServers returns how many of the target's servers take requests, so that each gets as many as
// it will at the end: some versions are bad only under load.
func (r *Rollout) TargetServers(all int) int {
	const least = 4 // so that one that fails by itself is told from its version
	n := int(float64(all)*r.TargetShare() + 0.999)
	return min(max(n, least), all)
}

// TryTarget tells whether the next request should try the target.
func (r *Rollout) TryTarget() bool {
	share := r.TargetShare()
	return share > 0 && r.credit+share >= 1
}

// RecordSent notes where a request went.
func (r *Rollout) RecordSent(toTarget bool) {
	r.credit += r.TargetShare()
	if toTarget {
		r.credit--
	}
	r.credit = min(max(r.credit, -1), 1)
}

// Advance takes the next step; fresh tells whether this gateway has fresh news of the others and
// of the operators.
func (r *Rollout) Advance(now time.Time, fresh bool) {
	r.fresh = fresh
	if r.stage == Reverted {
		return
	}
	if !r.judge.due(now) {
		return
	}
	r.judge.hear(own, r.Report())
	r.judge.look(now)
	answers := r.judge.answers
	if answers > 0 && r.proven.IsZero() {
		r.proven = now
	}
	if r.bad = r.judge.verdict(r.stage, now.Sub(r.proven) < earlyFor); r.bad != nil {
		r.Revert()
		return
	}
	enough := r.furthest > r.stage || answers >= manyAnswers || answers >= leastAnswers && now.Sub(r.proven) >= r.part(leastProof)
	age := now.Sub(r.OrderedAt)
	switch {
	case !enough || !fresh:
	case r.stage == Canary && age >= r.part(expandFrom):
		r.stage = Expand
	case r.stage == Expand && age >= r.part(moveFrom):
		r.stage, r.moved = Full, now
	}
}

// Revert lets the target get nothing more, since another gateway or the operators say so.
func (r *Rollout) Revert() { r.stage, r.moved = Reverted, time.Time{} }

// part returns a part of the order's duration.
func (r *Rollout) part(of float64) time.Duration {
	return time.Duration(of * float64(r.Duration))
}
