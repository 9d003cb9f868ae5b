package placement

import (
	"math"
	"time"
)

// RecordSent records that a gateway has sent a request; local reports whether it was this
// gateway. It returns the request's position, which is the total work sent to the server so
// far. Loads of unknown servers are ignored.
func (b *Balancer) RecordSent(now time.Time, l Load, local bool) (position time.Duration) {
	s := b.servers[l.Server]
	if s == nil {
		return 0
	}
	if local {
		s.localRunning++
		s.backoff.recordSent(now)
	}
	s.holdMemory(l, local)
	s.beginPeriod(now)
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	s.sentWork += l.Work
	s.busyUntil = s.busyUntil.Add(s.timeFor(now, l.Work))
	s.cache.add(l.Parts, l.CacheTokens, s.busyUntil)
	return s.sentWork
}

// RecordCached records parts of prompts that a server has reported to be in its cache, in
// addition to those sent there. Their last use is unknown, so they count as halfway to
// eviction.
func (b *Balancer) RecordCached(now time.Time, server string, parts []uint64) {
	s := b.servers[server]
	if s == nil {
		return
	}
	s.cache.addReported(parts, now)
}

// RecordFirstEvent records that a server has sent the first event of a request of this
// gateway. Servers process prompts in order of arrival, so the work sent after the request
// is the remaining backlog. It returns that backlog and the error of the model.
func (b *Balancer) RecordFirstEvent(now time.Time, server string, position time.Duration) (remaining, modelError time.Duration) {
	s := b.servers[server]
	if s == nil {
		return 0, 0
	}
	remaining = max(s.sentWork-position, 0)
	return remaining, b.RecordBacklog(now, server, remaining)
}

// RecordBacklog records the remaining work of a server, as shown by a first event there. It
// returns the error of the model.
func (b *Balancer) RecordBacklog(now time.Time, server string, remaining time.Duration) (modelError time.Duration) {
	s := b.servers[server]
	if s == nil {
		return 0
	}
	if s.updateSlowdown(now, remaining) {
		b.updateMedian(now, s.Service)
	}
	until := now.Add(s.timeFor(now, remaining) - s.speed.firstEventTime())
	modelError = until.Sub(latest(s.busyUntil, now))
	s.busyUntil = until
	return modelError
}

// RecordOverdue records that the first event of a request of this gateway is overdue, so
// that the server's backlog is at least the work sent after it. The results are as for
// [Balancer.RecordFirstEvent].
func (b *Balancer) RecordOverdue(now time.Time, server string, position time.Duration) (remaining, modelError time.Duration) {
	s := b.servers[server]
	if s == nil {
		return 0, 0
	}
	remaining = max(s.sentWork-position, 0)
	until := now.Add(s.timeFor(now, remaining))
	modelError = until.Sub(latest(s.busyUntil, now))
	if modelError <= 0 {
		return remaining, 0
	}
	s.busyUntil = until
	return remaining, modelError
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// timeFor returns the time that the server takes for nominal work.
func (s *server) timeFor(now time.Time, work time.Duration) time.Duration {
	return scale(work, s.slowdown(now))
}

// slowdown returns the server's processing time relative to the policy's. Observations decay
// towards the service's median, so that a server that was slow is tried again.
func (s *server) slowdown(now time.Time) float64 {
	return s.speed.prefillSlowdown.value * s.observedSlowdown(now) / s.speed.medianSlowdown
}

// observedSlowdown returns the slowdown by the server's own progress only.
func (s *server) observedSlowdown(now time.Time) float64 {
	decay := s.observationDecay(now)
	median := s.speed.medianSlowdown
	prior := slowdownPrior.Seconds() / median // work that takes slowdownPrior
	ratio := (s.observedTime*decay + slowdownPrior.Seconds()) / (s.observedWork*decay + prior)
	return min(max(ratio, minRelativeSlowdown*median), maxRelativeSlowdown*median)
}

// observationDecay returns the remaining weight of earlier observations.
func (s *server) observationDecay(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(s.progress.at)) / float64(slowdownHalfLife))
}

// updateSlowdown compares the progress at two moments. If all work done between them was
// already queued at the first one, the server was busy all the time, and the time taken
// shows its slowdown. It reports whether there was such an observation.
func (s *server) updateSlowdown(now time.Time, remaining time.Duration) bool {
	done := s.sentWork - remaining
	last := s.progress
	if done-last.done < minSlowdownWork {
		return false
	}
	decay := s.observationDecay(now)
	s.observedTime *= decay
	s.observedWork *= decay
	s.progress = progress{at: now, done: done, sent: s.sentWork}
	if last.at.IsZero() || done > last.sent {
		return false
	}
	s.observedTime += now.Sub(last.at).Seconds()
	s.observedWork += (done - last.done).Seconds()
	return true
}

// progress is the progress of a server at a moment.
type progress struct {
	at   time.Time
	done time.Duration // total work done
	sent time.Duration // total work sent by then
}

// Outcome says how a request ended at its server.
type Outcome int

// Outcomes of requests.
const (
	Served      Outcome = iota
	Failed              // server error, or a broken or invalid answer
	Unreachable         // no connection could be established
	Rejected            // the server rejected the request
	Abandoned           // the caller disconnected or the gateway gave up; says nothing about the server
	NotSent             // the gateway did not send it after all
)

// RecordEnd records that a request of this gateway has ended at its server.
func (b *Balancer) RecordEnd(now time.Time, server string, sent bool, e Outcome) {
	s := b.servers[server]
	if s == nil {
		return
	}
	if sent {
		s.localRunning = max(s.localRunning-1, 0)
	}
	s.decayFailures(now)
	switch e {
	case Served:
		s.successes++
		s.ejection = 0
	case Failed:
		s.failures++
	case Unreachable:
		s.eject(now)
	case Rejected:
		s.backoff.recordRejected(now)
	case Abandoned, NotSent:
	}
}

// RecordInvalid records that a server has sent bytes that are no answer, apart from the requests that
// ended with them.
func (b *Balancer) RecordInvalid(now time.Time, server string) {
	if s := b.servers[server]; s != nil {
		s.decayFailures(now)
		s.failures++
	}
}

// RecordSilence records that a first event is long overdue at a server that shows no sign of
// life, and ejects the server.
func (b *Balancer) RecordSilence(now time.Time, server string) {
	if s := b.servers[server]; s != nil && now.After(s.ejectedUntil) {
		s.decayFailures(now)
		s.eject(now)
	}
}

// eject keeps work from a server for a while, with exponential backoff.
func (s *server) eject(now time.Time) {
	s.failures++
	s.ejection = min(max(2*s.ejection, minEjection), maxEjection)
	s.ejectedUntil = now.Add(s.ejection)
}

// SetRemoteRunning sets the number of requests that other gateways have at a server.
func (b *Balancer) SetRemoteRunning(server string, running int) {
	if s := b.servers[server]; s != nil {
		s.remoteRunning = running
	}
}

// AddRemoteRunning changes the number of requests that other gateways have at a server.
func (b *Balancer) AddRemoteRunning(server string, delta int) {
	if s := b.servers[server]; s != nil {
		s.remoteRunning = max(s.remoteRunning+delta, 0)
	}
}

// PruneCaches removes evicted parts from the cache models, to bound memory.
func (b *Balancer) PruneCaches() {
	for _, s := range b.servers {
		s.cache.prune()
	}
}
