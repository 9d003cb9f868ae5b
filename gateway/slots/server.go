package slots

import (
	"math"
	"time"
)

// server is the state of one server.
type server struct {
	service     *service
	answers     estimate
	recent      float64   // moving average of answer times, in seconds
	window      float64   // requests that this gateway may have there; 0: not set
	shrunkAt    time.Time // when the window shrank
	usedAt      time.Time // of the latest send or end
	limit       float64   // requests that the fleet may have there, as of the latest decision
	active      float64   // gateways that share them
	rejectedAt  time.Time // of the latest rejection
	freed       int       // slots that ended requests of this gateway have left, not used since
	freedAt     time.Time // when the latest one was left
	extraAt     time.Time // of the latest send beyond the whole slots of this gateway's even part
	outstanding int
	silentSince time.Time // latest sign of the server, or the send that ended a time without requests
	stalled     bool
	probeAt     time.Time // when the next probe may be sent
	probeDelay  time.Duration
	probe       uint64    // attempt that is the latest probe; 0: it has ended
	resumedAt   time.Time // end of the latest stall
}

// usual returns the usual answer time of a server, or of its service until enough of its own
// answers were seen; 0: unknown.
func (s *server) usual() time.Duration {
	if s.answers.known() {
		return s.answers.median
	}
	return s.service.answers.median
}

// learn takes the time of an answer into account; full says whether the window was used up.
func (s *server) learn(now time.Time, took time.Duration, full bool) {
	s.answers.add(took)
	s.service.answers.add(took)
	usual := s.usual().Seconds()
	s.recent += recentWeight * (min(took.Seconds(), 2*slowAnswerFactor*usual) - s.recent)
	switch {
	case s.recent > slowAnswerFactor*usual:
		s.shrink(now, slowDecrease)
	case full && now.Sub(s.shrunkAt) < windowRetention:
		s.window += 1 / s.window
	case full:
		s.window++
	}
}

// shrink reduces the window, at most once in an answer time: answers of one queue are slow
// together.
func (s *server) shrink(now time.Time, factor float64) {
	if now.Sub(s.shrunkAt) < s.usual() {
		return
	}
	s.window, s.shrunkAt = max(factor*s.window, 1), now
}

// stallAfter returns the time without an answer after which the server counts as stalled.
func (s *server) stallAfter() time.Duration {
	usual, slow := s.usual(), s.service.answers.slow
	if s.answers.known() {
		slow = s.answers.slow
	}
	return max(min(max(stallFactor*usual, slowFactor*slow), maxStallFactor*usual), minStall)
}

// windowAt returns how many requests this gateway may have at the server. It begins with the even
// part: if no other gateway has requests there, a burst at this one takes all slots at once.
func (s *server) windowAt(now time.Time, state *Server) float64 {
	if s.window == 0 || s.outstanding == 0 && now.Sub(s.usedAt) > windowRetention {
		s.window = max(minInitialWindow, s.limit/s.active)
		s.recent = s.usual().Seconds()
	}
	s.window = min(s.window, float64(state.Capacity)*(1+maxQueueRatio))
	return s.window
}

// reportsLate reports whether the reports of other gateways are late: between two of them, so many
// gateways could send to the same free slot that the server's own queue does not hold the excess.
func (s *server) reportsLate(age time.Duration, capacity int) bool {
	return s.active > 1 && s.active*float64(age) > maxExcess*float64(capacity)*float64(askInterval)
}

// mayTake reports whether this gateway may send to a server that has so much room by the reports.
// Late reports show the same room to all gateways, so each takes its part of it in an answer time.
func (s *server) mayTake(now time.Time, room float64, late bool) bool {
	if room <= 0 {
		return false
	}
	part := room / s.active
	return part >= 1 || !late || s.sinceExtra(now)*part >= 1
}

// recordFreed records that a request of this gateway has left a slot.
func (s *server) recordFreed(now time.Time) {
	if !s.hasFreed(now) {
		s.freed = 0
	}
	s.freed, s.freedAt = min(s.freed+1, maxFreed), now
}

// hasFreed reports whether this gateway may use a slot that a request of its own has left. After a
// while, others may have taken it, and the server's own queue takes it if that is full.
func (s *server) hasFreed(now time.Time) bool {
	return s.freed > 0 && now.Sub(s.rejectedAt) > windowRetention && float64(now.Sub(s.freedAt)) <= freedRetention*float64(s.usual())
}

// overfull reports whether a server is far beyond its limit by recent reports. It gets nothing then:
// gateways with more than their part will get nothing either until it is below the limit. Reports
// that are older than an answer time say nothing of this moment, and all gateways that believe them
// stop and go on together.
func (s *server) overfull(age time.Duration, state *Server, late bool) bool {
	recent := !late || float64(age) <= recentReportAge*float64(s.usual())
	return recent && float64(state.Local+state.Remote) >= s.limit+maxQueueRatio*float64(state.Capacity)
}

// hasEvenPart reports whether this gateway has less than its even part of a full server. A fraction
// of a slot is one request in several answer times.
func (s *server) hasEvenPart(now time.Time, state *Server) bool {
	whole, rest := s.evenPart()
	local := float64(state.Local)
	return local < whole || local == whole && rest > 0 && s.sinceExtra(now)*rest >= 1
}

// evenPart returns this gateway's part of the requests that a server may have, if all gateways that
// have requests there get the same.
func (s *server) evenPart() (whole, rest float64) {
	return math.Modf(s.limit / s.active)
}

// sinceExtra returns the time since the latest send beyond the even part, in answer times.
func (s *server) sinceExtra(now time.Time) float64 {
	if s.extraAt.IsZero() {
		return math.Inf(1)
	}
	return float64(now.Sub(s.extraAt)) / float64(max(s.usual(), 1))
}
