package gateway

import (
	"context"
	"time"

	"opalbridge.dev/gateway/peer/peerpb"
	"opalbridge.dev/gateway/placement"
	"opalbridge.dev/gateway/rollout"
)

// This file is the dispatcher's part in rollouts (see package rollout) and writes their
// status for the operators.

// RolloutStore holds the statuses of rollouts for the operators.
type RolloutStore interface {
	// UpdateStatus replaces a service's status if the stored one still has revision
	// s.Revision (0: there is none). It returns the status that is stored then. After an
	// error the outcome is unknown.
	UpdateStatus(ctx context.Context, service string, s rollout.Status) (rollout.Status, error)
}

const (
	// statusRankDelay staggers the gateways that write a status: the gateway that ranks
	// first writes at once, the next one after this time, and so on, which is long enough
	// to hear of an earlier write.
	statusRankDelay = 300 * time.Millisecond
	// statusRetryInterval is the time until a status that was not written is tried again.
	statusRetryInterval = 500 * time.Millisecond
	statusWriteTimeout  = time.Second
	// statusQueueSize limits the statuses that wait to be written, one per service.
	statusQueueSize = 16
	// minBaselineIdle is how long no gateway must have requests at the servers of the
	// earlier version before the rollout is reported as complete. Gateways announce their
	// requests four times a second.
	minBaselineIdle = time.Second
	// reportTicks is the number of share intervals between two reports of answers. A change
	// of the stage or of the number of bad answers is reported at once.
	reportTicks = 4
	// completedHold is how long servers of the earlier version get no requests after the
	// rollout is complete. After that they are treated like all others: another rollout
	// would say which version is wanted.
	completedHold = 30 * time.Second
)

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

// pendingAnswer is a request in flight whose answer will be evaluated.
type pendingAnswer struct {
	server     string
	sentAt     time.Time
	nominal    time.Duration // time to the first event at a server of usual speed, without waiting; 0: unknown
	queueTime  time.Duration // predicted time until the server starts on it
	firstEvent time.Duration // time to the first event; 0: none yet
}

// rolloutStatusWritten reports the result of a status write.
type rolloutStatusWritten struct {
	service string
	status  rollout.Status
	err     error
}

// rolloutStatusWrite is a status to write.
type rolloutStatusWrite struct {
	service string
	status  rollout.Status
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

// updateIdleSince tracks since when no gateway has requests at servers of the earlier
// version.
func (d *dispatcher) updateIdleSince(now time.Time, s *serviceRollout) {
	if s.rollout.FullSince().IsZero() {
		s.idleSince = time.Time{}
		return
	}
	for _, id := range s.baseline {
		if d.balancer.InFlight(id) > 0 {
			s.idleSince = time.Time{}
			return
		}
	}
	if s.idleSince.IsZero() {
		s.idleSince = now
	}
}

// queueStatus queues a write of the rollout's status if it has changed.
func (d *dispatcher) queueStatus(now time.Time, service string, s *serviceRollout) {
	want := rollout.InProgress
	switch {
	case s.rollout.Stage() == rollout.Reverted:
		want = rollout.RolledBack
	case !s.idleSince.IsZero() && now.Sub(s.idleSince) >= minBaselineIdle && now.Sub(s.rollout.FullSince()) >= minBaselineIdle:
		want = rollout.Complete
	}
	if want == s.state || s.state == rollout.RolledBack {
		return
	}
	if want != s.wantedState || s.statusDue.IsZero() {
		s.wantedState = want
		s.statusDue = now.Add(time.Duration(d.rolloutRank(service)) * statusRankDelay)
	}
	if now.Before(s.statusDue) {
		return
	}
	s.statusDue = now.Add(statusRetryInterval)
	select {
	case d.statusWrites <- rolloutStatusWrite{service, rollout.Status{State: want, Target: s.rollout.Target, Revision: s.record.Status.Revision}}:
	default: // tried again later
	}
}

// rolloutRank returns how many live gateways rank before this one for a service.
func (d *dispatcher) rolloutRank(service string) (before int) {
	own := unitHash(d.settings.Address + "/" + service)
	for address := range d.peerRunning {
		if unitHash(address+"/"+service) < own {
			before++
		}
	}
	return before
}

// applyStatusWritten takes over the result of a status write.
func (d *dispatcher) applyStatusWritten(now time.Time, m rolloutStatusWritten) {
	s := d.rollouts[m.service]
	if s == nil || m.err != nil || m.status.Revision < s.record.Status.Revision {
		return
	}
	s.record.Status = m.status
	s.applyStatus(now, true)
	s.updateWithheld()
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
		return s.rollout.Stage() == rollout.Full && (decision.Reason == placement.OverShare || decision.Reason == placement.TooLate)
	default:
		return false
	}
}

// recordRolloutSend records a request that was sent.
func (d *dispatcher) recordRolloutSend(now time.Time, s *serviceRollout, a placement.Assign) {
	if s.rollout == nil || s.state == rollout.Complete {
		return
	}
	s.rollout.RecordSent(s.withheldFromOthers[a.Server.ID])
	s.pending[a.ID] = &pendingAnswer{server: a.Server.ID, sentAt: now, nominal: a.NominalLatency, queueTime: a.QueueTime}
}

// recordRolloutAnswer records the end of a request.
func (d *dispatcher) recordRolloutAnswer(now time.Time, m attemptEnded) {
	for _, s := range d.rollouts {
		if p := s.pending[m.attemptID]; p != nil {
			delete(s.pending, m.attemptID)
			s.recordAnswer(now, p, m)
		}
	}
}

// recordAnswer evaluates the answer to a request.
func (s *serviceRollout) recordAnswer(now time.Time, p *pendingAnswer, m attemptEnded) {
	if m.status == 0 || s.rollout == nil {
		return
	}
	a := rollout.Answer{Failed: m.status >= minFailureStatus, EventInterval: m.eventInterval, RelativeLatency: now.Sub(p.sentAt).Seconds()}
	if p.nominal > 0 {
		a.RelativeLatency = 0
		if p.firstEvent > 0 {
			a.RelativeLatency = max(p.firstEvent-p.queueTime, 0).Seconds() / p.nominal.Seconds()
		}
	}
	s.rollout.RecordAnswer(uint32(hashString(m.route)), uint32(hashString(p.server)), s.withheldFromOthers[p.server], a)
}

// minFailureStatus is the lowest status by which a server reports a failure of its own.
const minFailureStatus = 500

// recordRolloutFirstEvent records the first event of a request.
func (d *dispatcher) recordRolloutFirstEvent(now time.Time, attemptID uint64) {
	for _, s := range d.rollouts {
		if p := s.pending[attemptID]; p != nil {
			p.firstEvent = now.Sub(p.sentAt)
		}
	}
}

// rolloutReports returns the reports that the next beacons carry.
func (d *dispatcher) rolloutReports(now time.Time) []*peerpb.Rollout {
	var list []*peerpb.Rollout
	for _, s := range d.rollouts {
		if s.rollout == nil || s.state == rollout.Complete || s.state == rollout.RolledBack {
			continue
		}
		r, bad := encodeReport(now, s.rollout)
		if bad == s.reportedBad && s.rollout.Stage() == s.reportedStage && d.shareUpdates%reportTicks != 0 {
			continue
		}
		s.reportedBad, s.reportedStage = bad, s.rollout.Stage()
		list = append(list, r)
	}
	return list
}

// encodeReport encodes what this gateway has seen of a rollout; bad is the number of bad
// answers of the target version.
func encodeReport(now time.Time, ro *rollout.Rollout) (r *peerpb.Rollout, bad uint32) {
	r = &peerpb.Rollout{Order: uint64(ro.Revision), Stage: uint32(ro.Stage()), AgeMs: uint32(max(now.Sub(ro.OrderedAt), 0).Milliseconds())}
	for key, n := range ro.Report() {
		r.Answers = append(r.Answers, &peerpb.Answers{
			Route: key.Route, Server: key.Server, Target: key.Target, Answers: n.Answers, Failed: n.Failed, Slow: n.Slow,
		})
		if key.Target {
			bad += n.Failed + n.Slow
		}
	}
	return r, bad
}

// applyRolloutReports takes over what another gateway has seen of rollouts.
func (d *dispatcher) applyRolloutReports(now time.Time, from string, list []*peerpb.Rollout) {
	for _, r := range list {
		for _, s := range d.rollouts {
			if s.rollout == nil || uint64(s.rollout.Revision) != r.Order {
				continue
			}
			report := make(rollout.Report, len(r.Answers))
			for _, a := range r.Answers {
				report[rollout.CountKey{Target: a.Target, Route: a.Route, Server: a.Server}] = rollout.Count{Answers: a.Answers, Failed: a.Failed, Slow: a.Slow}
			}
			s.rollout.MergeReport(from, report, min(rollout.Stage(r.Stage), rollout.Reverted), timeAgo(now, int64(r.AgeMs)))
		}
	}
}

// writeRolloutStatuses writes queued statuses until ctx ends.
func (g *Gateway) writeRolloutStatuses(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-g.statusWrites:
			if g.options.Rollouts == nil || g.stopping.Load() {
				continue
			}
			g.dispatcher.send(g.writeRolloutStatus(ctx, s))
		}
	}
}

// writeRolloutStatus writes a status and returns the result.
func (g *Gateway) writeRolloutStatus(ctx context.Context, s rolloutStatusWrite) rolloutStatusWritten {
	ctx, cancel := context.WithTimeout(ctx, statusWriteTimeout)
	defer cancel()
	now, err := g.options.Rollouts.UpdateStatus(ctx, s.service, s.status)
	e := g.log.Info().Str("event", "rollout.stated").Str("service", s.service).Str("target", s.status.Target).Stringer("state", s.status.State)
	switch {
	case err != nil:
		e.Err(err).Msg("rollout status may not have been written: trying again")
	case now.State != s.status.State || now.Target != s.status.Target:
		e.Stringer("stands", now.State).Str("stands_target", now.Target).Msg("another gateway wrote the status first")
	default:
		e.Msg("rollout status written")
	}
	return rolloutStatusWritten{service: s.service, status: now, err: err}
}
