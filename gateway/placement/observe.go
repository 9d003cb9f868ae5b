package placement

import (
	"time"
)

// Sent tells that a gateway has sent a request; own tells whether it was this one.
// Loads on servers that are not known are passed over.
func (b *Board) Sent(now time.Time, l Load, own bool) {
	s := b.servers[l.Server]
	if s == nil {
		return
	}
	if own {
		s.running++
	}
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	s.busyUntil = s.busyUntil.Add(l.Work)
	for _, h := range l.Parts {
		s.parts[h] = now
	}
}

// Started tells that a server has made the first event of an own request, predicted
// from the time it was sent. What the prediction missed moves the model half-way.
func (b *Board) Started(now time.Time, server string, predicted, took time.Duration) {
	s := b.servers[server]
	if s == nil {
		return
	}
	miss := took - predicted
	until := s.busyUntil.Add(miss / 2)
	s.busyUntil = until
}

// End says how a request ended at its server.
type End int

// The ends of requests.
const (
	Served      End = iota
	Failed          // an error of the server's own, a broken or wrong answer
	Unreachable     // no connection came up
	Full            // the server turned it away
	Abandoned       // the caller left or the gateway gave up; it tells nothing of the server
)

// Ended tells that an own request has left its server.
func (b *Board) Ended(now time.Time, server string, sent bool, e End) {
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
	case Full, Abandoned:
	}
}

// Silent tells that a server owes a first event for long and gives no sign of life.
func (b *Board) Silent(now time.Time, server string) {
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

// SetOthers tells how many requests of other gateways are at a server.
func (b *Board) SetOthers(server string, running int) {
	if s := b.servers[server]; s != nil {
		s.others = running
	}
}

// Forget drops the parts that no server holds any more, to bound memory.
func (b *Board) Forget(now time.Time) {
	for _, s := range b.servers {
		for h, used := range s.parts {
			if now.Sub(used) > b.policy.CacheLife {
				delete(s.parts, h)
			}
		}
	}
}
