package gateway

import (
	"context"
	"time"

	"opalbridge.dev/gateway/idhash"
	"opalbridge.dev/gateway/rollout"
)

// This file reports the progress of rollouts to the operators.

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
)

// RolloutStore holds the statuses of rollouts for the operators.
type RolloutStore interface {
	// UpdateStatus replaces a service's status if the stored one still has revision
	// s.Revision (0: there is none). It returns the status that is stored then. After an
	// error the outcome is unknown.
	UpdateStatus(ctx context.Context, service string, s rollout.Status) (rollout.Status, error)
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
	own := idhash.Unit(d.settings.Address + "/" + service)
	for address := range d.peerRunning {
		if idhash.Unit(address+"/"+service) < own {
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
