package agent

import (
	"fmt"
	"math"
	"time"

	"opalbridge.dev/attempt"
	"opalbridge.dev/fair"
	"opalbridge.dev/wire/wirepb"
)

// start decides whether an attempt may run, and reserves a slot for it.
func (d *admission) start(e startEvent) startResult {
	s := e.start
	id := attempt.ID{Request: s.Request, Attempt: s.Attempt}
	if s.Incarnation != d.agent.incarnation {
		return refuse("the attempt is meant for another start of this agent", true)
	}
	if !d.pools[s.Pool] {
		d.cancel(s.Grant)
		return refuse("this server is not in the pool", true)
	}
	if d.leaving {
		d.cancel(s.Grant)
		return refuse("this server is leaving", true)
	}
	switch b := d.registry.Begin(id, now()).(type) {
	case attempt.Started:
	case attempt.Revoked:
		return refuse("the attempt was revoked", false)
	case attempt.AlreadyBegun:
		return startResult{unknownReason: "the attempt was sent twice"}
	case attempt.RegistryFull:
		return refuse("this agent remembers too many attempts", true)
	default:
		panic(fmt.Sprintf("agent: unknown answer %T", b))
	}
	reserved, ok := d.reserveSlot(s)
	if !ok {
		d.registry.MarkNotExecuted(id, now())
		return refuse("this server is full", true)
	}
	if a, stop := d.claimKey(s); stop {
		d.scheduler.Done()
		d.tracker.Release(fair.Account(s.AccountId), reserved)
		d.registry.MarkNotExecuted(id, now())
		return a
	}
	d.largestReservation = math.Max(d.largestReservation, reserved)
	return startResult{reserved: reserved, virtualTime: d.tracker.VirtualTime(fair.Account(s.AccountId))}
}

func refuse(reason string, busy bool) startResult {
	return startResult{refused: &wirepb.NotRun{Reason: reason, Busy: busy}}
}

// reserveSlot takes the granted slot, or a free one if no request waits, and reserves
// the estimated cost.
func (d *admission) reserveSlot(s *wirepb.Start) (reserved float64, ok bool) {
	delete(d.grantedAt, s.Grant)
	if g, granted := d.scheduler.StartGranted(s.Grant); granted {
		d.tracker.Release(g.Class.Account, g.Estimate)
		d.tracker.Reserve(fair.Account(s.AccountId), float64(s.Estimate))
		return float64(s.Estimate), true
	}
	if !d.scheduler.TryStart() {
		return 0, false
	}
	d.tracker.Reserve(fair.Account(s.AccountId), float64(s.Estimate))
	return float64(s.Estimate), true
}

// claimKey claims the caller's idempotency key, if there is one. It reports true if
// the attempt must not run, with the result to return.
func (d *admission) claimKey(s *wirepb.Start) (startResult, bool) {
	if s.IdempotencyKey == "" {
		return startResult{}, false
	}
	id := attempt.KeyID{Account: s.AccountId, Key: s.IdempotencyKey}
	switch c := d.keys.Claim(id, s.Request, s.Attempt, now()).(type) {
	case attempt.NewKey:
		return startResult{}, false
	case attempt.Duplicate:
		return startResult{duplicate: &c}, true
	case attempt.Indeterminate:
		a := refuse("it cannot be told whether this idempotency key was used before", false)
		a.refused.RetryAfterMs = max(c.RetryAfter, time.Second).Milliseconds()
		return a, true
	default:
		panic(fmt.Sprintf("agent: unknown claim %T", c))
	}
}

// done releases the slot and the remaining reservation of an attempt, and records its
// outcome.
func (d *admission) done(e doneEvent) {
	d.scheduler.Done()
	s := e.start
	id := attempt.ID{Request: s.Request, Attempt: s.Attempt}
	key := attempt.KeyID{Account: s.AccountId, Key: s.IdempotencyKey}
	d.tracker.Release(fair.Account(s.AccountId), e.reserved)
	switch o := e.outcome.(type) {
	case attempt.NotExecuted:
		d.registry.MarkNotExecuted(id, now())
		d.keys.Release(key, s.Request)
	case attempt.Executed:
		d.registry.End(id, now())
		d.keys.RecordOutcome(key, s.Request, false)
	case attempt.Unknown:
		d.registry.End(id, now())
		d.keys.RecordOutcome(key, s.Request, true)
	default:
		panic(fmt.Sprintf("agent: unknown outcome %T", o))
	}
	before := d.limit.Health()
	switch e.healthSignal {
	case served:
		d.limit.Success()
	case failed:
		d.limit.Failure()
	case noSignal:
	}
	d.reportHealthChange(before)
	d.applyLimit()
	d.checkDrained()
}
