package gateway

import (
	"context"
	"time"

	"opalbridge.dev/gateway/peer/peerpb"
	"opalbridge.dev/gateway/placement"
	"opalbridge.dev/gateway/rollout"
)

// This file is the desk's part in roll-outs (package rollout), and the duty that tells the
// operators how far they are.

// RolloutStore tells operators how far roll-outs are.
type RolloutStore interface {
	// UpdateStatus says so for a service if s.Revision is still that of what was said last (0: nothing
	// was). It returns what stands now. After an error nobody knows.
	UpdateStatus(ctx context.Context, service string, s rollout.Status) (rollout.Status, error)
}

const (
	// Who comes first among the gateways tells the operators at once, the next one after this
	// time, and so on: long enough to hear that it was told.
	stateDelay = 300 * time.Millisecond
	// What was not told is tried again after this time.
	stateRetry   = 500 * time.Millisecond
	stateTimeout = time.Second
	// States that wait to be told: one a service.
	statusQueueSize = 16
	// Servers of the earlier version have nothing of any gateway for so long before they are
	// said to be done with: gateways tell what they have four times a second.
	idleBeforeEnd = time.Second
	// What was seen of new versions is told once in so many settlings, or at once if more
	// answers were bad or its stage is another.
	reportEvery = 4
	// Servers of the earlier version that stay after its end get nothing for so long. Then they
	// are servers like all others: another roll-out would say which version is wanted.
	endedFor = 30 * time.Second
)

// serviceRollout is a service's roll-out at this desk.
type serviceRollout struct {
	known rolloutRecord
	work  *rollout.Rollout // nil: there is no order
	state rollout.State    // as the operators were told
	stage rollout.Stage    // as the log was told
	ended time.Time        // when it was told that it is complete; zero: it was not
	// The service's servers, by what they are.
	baseline, target []string
	// Servers withheld from requests that try the target, and from all others.
	fromTarget, fromOthers map[string]bool
	chosen                 int // servers of the target that take requests
	idle                   time.Time
	due                    time.Time // when to tell the operators
	wanted                 rollout.State
	toldBad                uint32
	toldStage              rollout.Stage
	answers                map[uint64]*judged // of requests under way, by ticket
}

// judged is a request under way whose answer counts.
type judged struct {
	server  string
	sent    time.Time
	usual   time.Duration // until its first event, if its server is as fast as its service's usually are; 0: unknown
	waiting time.Duration // predicted, until its server comes to it
	first   time.Duration // until its first event; 0: it has none yet
}

// statedMessage tells what operators have been told of a roll-out.
type statedMessage struct {
	service string
	status  rollout.Status
	err     error
}

// rolloutStatusWrite is what is to be told of a roll-out.
type rolloutStatusWrite struct {
	service string
	status  rollout.Status
}

// setRollouts takes over what the view tells of roll-outs.
func (d *dispatcher) setRollouts(now time.Time, v *View) {
	for service := range d.rollouts {
		if _, still := v.Rollouts[service]; !still {
			delete(d.rollouts, service)
		}
	}
	for service, o := range v.Rollouts {
		s, seen := d.rollouts[service], true
		if s == nil {
			s, seen = &serviceRollout{answers: map[uint64]*judged{}}, false
			d.rollouts[service] = s
		}
		if o.Status.Revision < s.known.Status.Revision {
			o.Status = s.known.Status // what this gateway has told is newer than its view
		}
		if o.Order != s.known.Order || s.work == nil && o.Order != (rollout.Order{}) {
			s.work, s.stage, s.ended, s.idle = nil, rollout.Canary, time.Time{}, time.Time{}
			clear(s.answers)
			if o.Order != (rollout.Order{}) {
				s.work = rollout.New(o.Order, o.Since)
			}
		}
		s.known = o
		s.settle(now, seen)
	}
	d.versions()
}

// settle takes over how far the roll-out is said to be; seen tells that this desk has had a part
// in it. One that learns of its end later does not know which servers were there before.
func (s *serviceRollout) settle(now time.Time, seen bool) {
	s.state = s.known.Status.State
	if s.work != nil {
		s.state = s.known.Status.StateFor(s.work.Order)
	}
	switch {
	case s.state == rollout.RolledBack && s.work != nil:
		s.work.Revert()
	case s.state == rollout.Complete && s.ended.IsZero() && seen:
		s.ended = now
	}
}

// versions finds out which servers are of which version.
func (d *dispatcher) versions() {
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
		s.withhold()
	}
}

func (s *serviceRollout) targetVersion() string {
	if s.work != nil {
		return s.work.Target
	}
	return s.known.Status.Target
}

// withhold works out which servers get which requests.
func (s *serviceRollout) withhold() {
	s.chosen = len(s.target)
	if s.work != nil {
		s.chosen = s.work.TargetServers(len(s.target))
	}
	s.fromTarget, s.fromOthers = map[string]bool{}, map[string]bool{}
	for _, id := range s.baseline {
		s.fromTarget[id] = true
	}
	// The same ones at each gateway, whatever order they are in.
	for i, id := range placement.RendezvousOrder(uint64(s.known.Order.Revision), s.target) {
		if i >= s.chosen {
			s.fromTarget[id] = true
		}
		s.fromOthers[id] = true
	}
}

// lookRollouts takes the next steps of roll-outs.
func (d *dispatcher) lookRollouts(now time.Time) {
	fresh := len(d.rollouts) > 0 && d.viewFresh(now)
	for service, s := range d.rollouts {
		if s.work == nil || s.state == rollout.Complete {
			continue
		}
		s.work.Advance(now, fresh)
		if s.chosen != s.work.TargetServers(len(s.target)) {
			s.withhold()
		}
		d.tellStage(now, service, s)
		d.findIdle(now, s)
		d.state(now, service, s)
	}
}

// tellStage writes a new stage to the log.
func (d *dispatcher) tellStage(now time.Time, service string, s *serviceRollout) {
	stage := s.work.Stage()
	if stage == s.stage {
		return
	}
	s.stage = stage
	e := d.log.Info().Str("event", "rollout.stage").Str("service", service).Str("target", s.work.Target).Stringer("stage", stage).
		Dur("age", now.Sub(s.work.OrderedAt)).Float64("share", s.work.TargetShare()).Int("servers", len(s.target))
	if b := s.work.Evidence(); b != nil {
		e = e.Bool("slow", b.Slow).Uint32("route", b.Route).Dur("window", b.Window).Int("of_servers", b.Servers).
			Uint32("answers", b.Target.Answers).Uint32("failed", b.Target.Failed).Uint32("slow_answers", b.Target.Slow).
			Uint32("usual_answers", b.Baseline.Answers).Uint32("usual_failed", b.Baseline.Failed).Uint32("usual_slow", b.Baseline.Slow)
	}
	e.Msg("of the new version")
}

// findIdle finds out since when no gateway has anything at the servers of the earlier version.
func (d *dispatcher) findIdle(now time.Time, s *serviceRollout) {
	if s.work.FullSince().IsZero() {
		s.idle = time.Time{}
		return
	}
	for _, id := range s.baseline {
		if d.balancer.InFlight(id) > 0 {
			s.idle = time.Time{}
			return
		}
	}
	if s.idle.IsZero() {
		s.idle = now
	}
}

// state lets the operators be told how far a roll-out is, if that is news.
func (d *dispatcher) state(now time.Time, service string, s *serviceRollout) {
	want := rollout.InProgress
	switch {
	case s.work.Stage() == rollout.Reverted:
		want = rollout.RolledBack
	case !s.idle.IsZero() && now.Sub(s.idle) >= idleBeforeEnd && now.Sub(s.work.FullSince()) >= idleBeforeEnd:
		want = rollout.Complete
	}
	if want == s.state || s.state == rollout.RolledBack {
		return
	}
	if want != s.wanted || s.due.IsZero() {
		s.wanted = want
		s.due = now.Add(time.Duration(d.rankFor(service)) * stateDelay)
	}
	if now.Before(s.due) {
		return
	}
	s.due = now.Add(stateRetry)
	select {
	case d.statusWrites <- rolloutStatusWrite{service, rollout.Status{State: want, Target: s.work.Target, Revision: s.known.Status.Revision}}:
	default: // tried again
	}
}

// rankFor tells how many live gateways come before this one for a service.
func (d *dispatcher) rankFor(service string) (before int) {
	own := unitHash(d.settings.Address + "/" + service)
	for address := range d.peerRunning {
		if unitHash(address+"/"+service) < own {
			before++
		}
	}
	return before
}

// stated takes over what the operators have been told.
func (d *dispatcher) stated(now time.Time, m statedMessage) {
	s := d.rollouts[m.service]
	if s == nil || m.err != nil || m.status.Revision < s.known.Status.Revision {
		return
	}
	s.known.Status = m.status
	s.settle(now, true)
	s.withhold()
}

// placeVersion decides on a request of a service with a roll-out.
func (d *dispatcher) placeVersion(now time.Time, s *serviceRollout, a *placement.Request) placement.Decision {
	defer func() { a.Withheld = nil }()
	switch {
	case s.state == rollout.Complete:
		if now.Sub(s.ended) < endedFor && len(s.target) > 0 {
			a.Withheld = s.fromTarget
		}
		return d.balancer.Place(now, a)
	case s.state == rollout.RolledBack || s.work != nil && s.work.Stage() == rollout.Reverted:
		a.Withheld = s.fromOthers
		return d.balancer.Place(now, a)
	case s.work == nil || len(s.target) == 0:
		return d.balancer.Place(now, a)
	}
	if s.work.TryTarget() {
		a.Withheld = s.fromTarget
		if decision := d.balancer.Place(now, a); s.takes(decision) {
			return decision
		}
	}
	if len(s.baseline) == 0 && s.work.TargetShare() > 0 {
		a.Withheld = nil // there is no other version: what it gets is all that can be had
		return d.balancer.Place(now, a)
	}
	a.Withheld = s.fromOthers
	return d.balancer.Place(now, a)
}

// takes tells whether the target's servers take what was decided for them. While few requests
// go there, one that they can't serve at once goes to the others; when all go there, one does so
// only if none of them takes work.
func (s *serviceRollout) takes(decision placement.Decision) bool {
	switch decision := decision.(type) {
	case placement.Assign:
		return true
	case placement.Hold:
		return s.work.Stage() == rollout.Full
	case placement.Refuse:
		return s.work.Stage() == rollout.Full && (decision.Reason == placement.OverShare || decision.Reason == placement.TooLate)
	default:
		return false
	}
}

// sentVersion notes that a request of a service with a roll-out was sent.
func (d *dispatcher) sentVersion(now time.Time, s *serviceRollout, a placement.Assign) {
	if s.work == nil || s.state == rollout.Complete {
		return
	}
	s.work.RecordSent(s.fromOthers[a.Server.ID])
	s.answers[a.ID] = &judged{server: a.Server.ID, sent: now, usual: a.NominalLatency, waiting: a.QueueTime}
}

// recordRolloutAnswer counts how a server has recordRolloutAnswer.
func (d *dispatcher) recordRolloutAnswer(now time.Time, m attemptEnded) {
	for _, s := range d.rollouts {
		if j := s.answers[m.ticket]; j != nil {
			delete(s.answers, m.ticket)
			s.judge(now, j, m)
		}
	}
}

// judge counts how a server has answered a request.
func (s *serviceRollout) judge(now time.Time, j *judged, m attemptEnded) {
	if m.status == 0 || s.work == nil {
		return
	}
	a := rollout.Answer{Failed: m.status >= minFailureStatus, EventInterval: m.pause, RelativeLatency: now.Sub(j.sent).Seconds()}
	if j.usual > 0 {
		a.RelativeLatency = 0
		if j.first > 0 {
			a.RelativeLatency = max(j.first-j.waiting, 0).Seconds() / j.usual.Seconds()
		}
	}
	s.work.RecordAnswer(uint32(hashString(m.route)), uint32(hashString(j.server)), s.fromOthers[j.server], a)
}

// The least status of an answer by which a server says that it has failed.
const minFailureStatus = 500

// startedVersion notes when a request had its first event.
func (d *dispatcher) startedVersion(now time.Time, ticket uint64) {
	for _, s := range d.rollouts {
		if j := s.answers[ticket]; j != nil {
			j.first = now.Sub(j.sent)
		}
	}
}

// rolloutNews is what the next beacons tell of roll-outs.
func (d *dispatcher) rolloutNews(now time.Time) []*peerpb.Rollout {
	var list []*peerpb.Rollout
	for _, s := range d.rollouts {
		if s.work == nil || s.state == rollout.Complete || s.state == rollout.RolledBack {
			continue
		}
		r, bad := reportOf(now, s.work)
		if bad == s.toldBad && s.work.Stage() == s.toldStage && d.settled%reportEvery != 0 {
			continue
		}
		s.toldBad, s.toldStage = bad, s.work.Stage()
		list = append(list, r)
	}
	return list
}

// reportOf encodes what this gateway has seen of a roll-out; bad is how many answers were.
func reportOf(now time.Time, w *rollout.Rollout) (r *peerpb.Rollout, bad uint32) {
	r = &peerpb.Rollout{Order: uint64(w.Revision), Stage: uint32(w.Stage()), AgeMs: uint32(max(now.Sub(w.OrderedAt), 0).Milliseconds())}
	for cell, n := range w.Report() {
		r.Answers = append(r.Answers, &peerpb.Answers{
			Route: cell.Route, Server: cell.Server, Target: cell.Target, Answers: n.Answers, Failed: n.Failed, Slow: n.Slow,
		})
		if cell.Target {
			bad += n.Failed + n.Slow
		}
	}
	return r, bad
}

// hearRollouts takes over what another gateway has seen of roll-outs.
func (d *dispatcher) hearRollouts(now time.Time, from string, list []*peerpb.Rollout) {
	for _, r := range list {
		for _, s := range d.rollouts {
			if s.work == nil || uint64(s.work.Revision) != r.Order {
				continue
			}
			report := make(rollout.Report, len(r.Answers))
			for _, a := range r.Answers {
				report[rollout.CountKey{Target: a.Target, Route: a.Route, Server: a.Server}] = rollout.Count{Answers: a.Answers, Failed: a.Failed, Slow: a.Slow}
			}
			s.work.MergeReport(from, report, min(rollout.Stage(r.Stage), rollout.Reverted), timeAgo(now, int64(r.AgeMs)))
		}
	}
}

// writeRolloutStatuses tells the operators how far roll-outs are, until ctx ends.
func (g *Gateway) writeRolloutStatuses(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-g.statusWrites:
			if g.options.Rollouts == nil || g.stopping.Load() {
				continue
			}
			g.dispatcher.send(g.writeStatement(ctx, s))
		}
	}
}

func (g *Gateway) writeStatement(ctx context.Context, s rolloutStatusWrite) statedMessage {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	now, err := g.options.Rollouts.UpdateStatus(ctx, s.service, s.status)
	e := g.log.Info().Str("event", "rollout.stated").Str("service", s.service).Str("target", s.status.Target).Stringer("state", s.status.State)
	switch {
	case err != nil:
		e.Err(err).Msg("nobody knows whether the operators were told: try again")
	case now.State != s.status.State || now.Target != s.status.Target:
		e.Stringer("stands", now.State).Str("stands_target", now.Target).Msg("another gateway was first")
	default:
		e.Msg("the operators were told")
	}
	return statedMessage{service: s.service, status: now, err: err}
}
