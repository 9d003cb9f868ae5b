package gateway

import (
	"time"

	"opalbridge.dev/gateway/peer/peerpb"
	"opalbridge.dev/gateway/placement"
	"opalbridge.dev/gateway/rollout"
)

// This file counts the answers of both versions of a rollout and exchanges the counts with other
// gateways.

// reportTicks is the number of share intervals between two reports of answers. A change
// of the stage or of the number of bad answers is reported at once.
const reportTicks = 4

// pendingAnswer is a request in flight whose answer will be evaluated.
type pendingAnswer struct {
	server     string
	sentAt     time.Time
	nominal    time.Duration // time to the first event at a server of usual speed, without waiting; 0: unknown
	queueTime  time.Duration // predicted time until the server starts on it
	firstEvent time.Duration // time to the first event; 0: none yet
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
