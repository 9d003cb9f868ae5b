package gateway

import (
	"time"

	"opalbridge.dev/gateway/placement"
	"opalbridge.dev/gateway/rollout"
)

// This file is the dispatcher's part in rollouts (see package rollout).

// completedHold is how long servers of the earlier version get no requests after the
// rollout is complete. After that they are treated like all others: another rollout
// would say which version is wanted.
const completedHold = 30 * time.Second

// serviceRollout is the dispatcher's state of a service's rollout.
type serviceRollout struct {
	record      rolloutRecord
	rollout     *rollout.Rollout // nil: there is no order
	state       rollout.State    // as stored for the operators
	loggedStage rollout.Stage    // as last logged
	completedAt time.Time        // when the status became complete; zero: it is not
	// The service's servers, by version.
	baseline, target []string
	// Servers withheld from requests that try the target version, and from all others.
	withheldFromTarget, withheldFromOthers map[string]bool
	activeTargets                          int // servers of the target version that take requests
	idleSince                              time.Time
	statusDue                              time.Time // when to write the status
	wantedState                            rollout.State
	reportedBad                            uint32
	reportedStage                          rollout.Stage
	pending                                map[uint64]*pendingAnswer // requests in flight, by attempt ID
}

// setRollouts takes over the rollouts of a view.
func (d *dispatcher) setRollouts(now time.Time, v *View) {
	for service := range d.rollouts {
		if _, still := v.Rollouts[service]; !still {
			delete(d.rollouts, service)
		}
	}
	for service, o := range v.Rollouts {
		s, seen := d.rollouts[service], true
		if s == nil {
			s, seen = &serviceRollout{pending: map[uint64]*pendingAnswer{}}, false
			d.rollouts[service] = s
		}
		if o.Status.Revision < s.record.Status.Revision {
			o.Status = s.record.Status // this gateway's own write is newer than its view
		}
		if o.Order != s.record.Order || s.rollout == nil && o.Order != (rollout.Order{}) {
			s.rollout, s.loggedStage, s.completedAt, s.idleSince = nil, rollout.Canary, time.Time{}, time.Time{}
			clear(s.pending)
			if o.Order != (rollout.Order{}) {
				s.rollout = rollout.New(o.Order, o.Since)
			}
		}
		s.record = o
		s.applyStatus(now, seen)
	}
	d.groupByVersion()
}

// applyStatus takes over the stored status. seen says whether this dispatcher knew the
// rollout before: one that learns of it only when it is complete does not know which
// servers were there before.
func (s *serviceRollout) applyStatus(now time.Time, seen bool) {
	s.state = s.record.Status.State
	if s.rollout != nil {
		s.state = s.record.Status.StateFor(s.rollout.Order)
	}
	switch {
	case s.state == rollout.RolledBack && s.rollout != nil:
		s.rollout.Revert()
	case s.state == rollout.Complete && s.completedAt.IsZero() && seen:
		s.completedAt = now
	}
}

// groupByVersion groups the servers by version.
func (d *dispatcher) groupByVersion() {
	for _, s := range d.rollouts {
		s.baseline, s.target = s.baseline[:0], s.target[:0]
	}
	for _, server := range d.view.Servers {
		s := d.rollouts[server.Service]
		if s == nil {
			continue
		}
		if server.Version == s.targetVersion() {
			s.target = append(s.target, server.ID)
		} else {
			s.baseline = append(s.baseline, server.ID)
		}
	}
	for _, s := range d.rollouts {
		s.updateWithheld()
	}
}

// targetVersion returns the version that the rollout moves to.
func (s *serviceRollout) targetVersion() string {
	if s.rollout != nil {
		return s.rollout.Target
	}
	return s.record.Status.Target
}

// updateWithheld computes which servers are withheld from which requests.
func (s *serviceRollout) updateWithheld() {
	s.activeTargets = len(s.target)
	if s.rollout != nil {
		s.activeTargets = s.rollout.TargetServers(len(s.target))
	}
	s.withheldFromTarget, s.withheldFromOthers = map[string]bool{}, map[string]bool{}
	for _, id := range s.baseline {
		s.withheldFromTarget[id] = true
	}
	// RendezvousOrder returns the same order at each gateway, whatever the order of its input.
	for i, id := range placement.RendezvousOrder(uint64(s.record.Order.Revision), s.target) {
		if i >= s.activeTargets {
			s.withheldFromTarget[id] = true
		}
		s.withheldFromOthers[id] = true
	}
}

// advanceRollouts takes the next step of each rollout.
func (d *dispatcher) advanceRollouts(now time.Time) {
	fresh := len(d.rollouts) > 0 && d.viewFresh(now)
	for service, s := range d.rollouts {
		if s.rollout == nil || s.state == rollout.Complete {
			continue
		}
		s.rollout.Advance(now, fresh)
		if s.activeTargets != s.rollout.TargetServers(len(s.target)) {
			s.updateWithheld()
		}
		d.logStage(now, service, s)
		d.updateIdleSince(now, s)
		d.queueStatus(now, service, s)
	}
}

// logStage logs a change of the stage.
func (d *dispatcher) logStage(now time.Time, service string, s *serviceRollout) {
	stage := s.rollout.Stage()
	if stage == s.loggedStage {
		return
	}
	s.loggedStage = stage
	e := d.log.Info().Str("event", "rollout.stage").Str("service", service).Str("target", s.rollout.Target).Stringer("stage", stage).
		Dur("age", now.Sub(s.rollout.OrderedAt)).Float64("share", s.rollout.TargetShare()).Int("servers", len(s.target))
	if b := s.rollout.Evidence(); b != nil {
		e = e.Bool("slow", b.Slow).Uint32("route", b.Route).Dur("window", b.Window).Int("of_servers", b.Servers).
			Uint32("answers", b.Target.Answers).Uint32("failed", b.Target.Failed).Uint32("slow_answers", b.Target.Slow).
			Uint32("usual_answers", b.Baseline.Answers).Uint32("usual_failed", b.Baseline.Failed).Uint32("usual_slow", b.Baseline.Slow)
	}
	e.Msg("rollout stage changed")
}

// placeByVersion decides on a request of a service with a rollout.
func (d *dispatcher) placeByVersion(now time.Time, s *serviceRollout, a *placement.Request) placement.Decision {
	defer func() { a.Withheld = nil }()
	if a.Pinned {
		a.Withheld = s.withheldFromPinned(now, a.Version)
		return d.balancer.Place(now, a)
	}
	switch {
	case s.state == rollout.Complete:
		if now.Sub(s.completedAt) < completedHold && len(s.target) > 0 {
			a.Withheld = s.withheldFromTarget
		}
		return d.balancer.Place(now, a)
	case s.state == rollout.RolledBack || s.rollout != nil && s.rollout.Stage() == rollout.Reverted:
		a.Withheld = s.withheldFromOthers
		return d.balancer.Place(now, a)
	case s.rollout == nil || len(s.target) == 0:
		return d.balancer.Place(now, a)
	}
	if s.rollout.TryTarget() {
		a.Withheld = s.withheldFromTarget
		if decision := d.balancer.Place(now, a); s.targetAccepts(decision) {
			return decision
		}
	}
	if len(s.baseline) == 0 && s.rollout.TargetShare() > 0 {
		a.Withheld = nil // there is no other version, so the target serves all requests
		return d.balancer.Place(now, a)
	}
	a.Withheld = s.withheldFromOthers
	return d.balancer.Place(now, a)
}

// withheldFromPinned returns the servers withheld from a stream that only servers of a version
// may continue. While the rollout is in progress it goes on at its version, whatever the share of
// new requests there. A version that was rolled back, or replaced, continues none; nor does the
// target as long as this gateway may not have heard that it was rolled back.
func (s *serviceRollout) withheldFromPinned(now time.Time, version string) map[string]bool {
	switch {
	case s.state == rollout.Complete:
		if now.Sub(s.completedAt) < completedHold && len(s.target) > 0 {
			return s.withheldFromTarget
		}
		return nil
	case s.state == rollout.RolledBack || s.rollout != nil && s.rollout.Stage() == rollout.Reverted:
		return s.withheldFromOthers
	case s.rollout == nil || len(s.target) == 0:
		return nil
	case version == s.targetVersion() && s.rollout.TargetShare() > 0:
		return s.withheldFromTarget
	default:
		return s.withheldFromOthers
	}
}

// targetAccepts reports whether a decision made for the target version is used. While the
// target gets only a part of the requests, one that it cannot serve at once goes to the
// others. When all requests go to the target, one goes to the others only if none of its
// servers takes work.
func (s *serviceRollout) targetAccepts(decision placement.Decision) bool {
	switch decision := decision.(type) {
	case placement.Assign:
		return true
	case placement.Hold:
		return s.rollout.Stage() == rollout.Full
	case placement.Refuse:
		return s.rollout.Stage() == rollout.Full && (decision.Reason == placement.OverShare || decision.Reason == placement.TooLate || decision.Reason == placement.NoSlot)
	default:
		return false
	}
}
