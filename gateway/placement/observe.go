package placement

import (
	"math"
	"time"
)

// RecordSent tells that a gateway has sent a request; own tells whether it was this one. It
// returns the request's position: all the work that was sent to the server so far.
// Loads on servers that are not known are passed over.
func (b *Balancer) RecordSent(now time.Time, l Load, own bool) (position time.Duration) {
	s := b.servers[l.Server]
	if s == nil {
		return 0
	}
	if own {
		s.running++
		s.pause.send(now)
	}
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	s.sent += l.Work
	s.busyUntil = s.busyUntil.Add(s.atPace(now, l.Work))
	s.cache.use(l.Parts, l.CacheTokens, s.busyUntil)
	return s.sent
}

// RecordCached tells which parts of prompts a server has in its cache, beside those that were
// sent there. When they were used last is not known, so they count as old by half.
func (b *Balancer) RecordCached(now time.Time, server string, parts []uint64) {
	s := b.servers[server]
	if s == nil {
		return
	}
	s.cache.hold(parts, now)
}

// RecordFirstEvent tells that a server has made the first event of an own request. Servers read
// prompts in order of arrival, so what was sent after it is what they have still to
// read. It returns that, and by how much the model was wrong.
func (b *Balancer) RecordFirstEvent(now time.Time, server string, position time.Duration) (left, miss time.Duration) {
	s := b.servers[server]
	if s == nil {
		return 0, 0
	}
	left = max(s.sent-position, 0)
	return left, b.RecordBacklog(now, server, left)
}

// RecordBacklog tells how much work a server has still to do, as an event there has shown. It
// returns by how much the model was wrong.
func (b *Balancer) RecordBacklog(now time.Time, server string, left time.Duration) (miss time.Duration) {
	s := b.servers[server]
	if s == nil {
		return 0
	}
	if s.learnPace(now, left) {
		b.learnUsual(now, s.Service)
	}
	until := now.Add(s.atPace(now, left) - s.speed.first())
	miss = until.Sub(latest(s.busyUntil, now))
	s.busyUntil = until
	return miss
}

// RecordOverdue tells that an own request at a position should have had its first event and
// did not, so the server is at least so far behind. It returns as [Balancer.RecordFirstEvent] does.
func (b *Balancer) RecordOverdue(now time.Time, server string, position time.Duration) (left, miss time.Duration) {
	s := b.servers[server]
	if s == nil {
		return 0, 0
	}
	left = max(s.sent-position, 0)
	until := now.Add(s.atPace(now, left))
	miss = until.Sub(latest(s.busyUntil, now))
	if miss <= 0 {
		return left, 0
	}
	s.busyUntil = until
	return left, miss
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// atPace returns the time that the server takes for work.
func (s *server) atPace(now time.Time, work time.Duration) time.Duration {
	return scale(work, s.pace(now))
}

// pace is how much longer than the policy says this server takes. What was learned of it
// fades to what its service's servers take, so that a server that was slow is tried again.
func (s *server) pace(now time.Time) float64 {
	return s.speed.reading.value * s.progressPace(now) / s.speed.usual
}

// progressPace is the pace by the server's progress alone.
func (s *server) progressPace(now time.Time) float64 {
	keep := s.paceKept(now)
	usual := s.speed.usual
	prior := pacePrior.Seconds() / usual // work that takes pacePrior
	ratio := (s.paceTook*keep + pacePrior.Seconds()) / (s.paceWork*keep + prior)
	return min(max(ratio, fastestPace*usual), slowestPace*usual)
}

// paceKept is the weight that is left of what was learned of the pace.
func (s *server) paceKept(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(s.progress.at)) / float64(paceHalfLife))
}

// learnPace compares two moments at which it was known how far the server had got. If
// all the work that it did between them was there at the first one, it has worked all
// the time between. It returns whether that told something.
func (s *server) learnPace(now time.Time, left time.Duration) bool {
	done := s.sent - left
	last := s.progress
	if done-last.done < leastPaceWork {
		return false
	}
	keep := s.paceKept(now)
	s.paceTook *= keep
	s.paceWork *= keep
	s.progress = progress{at: now, done: done, sent: s.sent}
	if last.at.IsZero() || done > last.sent {
		return false
	}
	s.paceTook += now.Sub(last.at).Seconds()
	s.paceWork += (done - last.done).Seconds()
	return true
}

// progress is how far a server had got at a moment.
type progress struct {
	at   time.Time
	done time.Duration // of the work sent to it
	sent time.Duration // at that moment
}

// Outcome says how a request ended at its server.
type Outcome int

// The ends of requests.
const (
	Served      Outcome = iota
	Failed              // an error of the server's own, a broken or wrong answer
	Unreachable         // no connection came up
	Rejected            // the server turned it away
	Abandoned           // the caller left or the gateway gave up; it tells nothing of the server
	NotSent             // the gateway did not send it after all
)

// RecordEnd tells that an own request has left its server.
func (b *Balancer) RecordEnd(now time.Time, server string, sent bool, e Outcome) {
	s := b.servers[server]
	if s == nil {
		return
	}
	if sent {
		s.running = max(s.running-1, 0)
	}
	s.fade(now)
	switch e {
	case Served:
		s.successes++
		s.rest = 0
	case Failed:
		s.failures++
	case Unreachable:
		s.letRest(now)
	case Rejected:
		s.pause.refuse(now)
	case Abandoned, NotSent:
	}
}

// RecordSilence tells that a server owes a first event for long and gives no sign of life.
func (b *Balancer) RecordSilence(now time.Time, server string) {
	if s := b.servers[server]; s != nil && now.After(s.resting) {
		s.fade(now)
		s.letRest(now)
	}
}

// letRest keeps work from a server for a while, longer each time.
func (s *server) letRest(now time.Time) {
	s.failures++
	s.rest = min(max(2*s.rest, firstRest), longestRest)
	s.resting = now.Add(s.rest)
}

// SetRemoteRunning tells how many requests of other gateways are at a server.
func (b *Balancer) SetRemoteRunning(server string, running int) {
	if s := b.servers[server]; s != nil {
		s.others = running
	}
}

// AddRemoteRunning tells that other gateways have so many requests more at a server, or fewer.
func (b *Balancer) AddRemoteRunning(server string, more int) {
	if s := b.servers[server]; s != nil {
		s.others = max(s.others+more, 0)
	}
}

// PruneCaches drops the parts that no server holds any more, to bound memory.
func (b *Balancer) PruneCaches() {
	for _, s := range b.servers {
		s.cache.forget()
	}
}
