// Package slots decides when a request to a plain backend server is sent, held at the gateway or
// refused, from the slots of the servers, what runs there and how long answers take.
//
// # Usage
//
//	m := slots.NewModel()
//	m.RecordSent(now, attempt, service, server)
//	m.RecordEnd(now, attempt, slots.Answered, true)
//	switch d := m.Decide(now, request, servers).(type) {
//	case slots.Send:   // send it to d.Server
//	case slots.Wait:   // ask again soon
//	case slots.Refuse: // tell the caller to retry after d.RetryAfter
//	}
//	m.TakeChanges() // servers that stalled, or answer again
//
//	var q slots.Queue[*request]
//	q.Add(position, request)
//	q.Scan(func(r *request, t slots.Turn) slots.Result { … }) // decide on those that wait, in order
//
// A server gets as many requests as it has slots, and a short queue that covers the time between an
// answer and the next request. What other gateways have there is known from their reports, which
// may be late or lost. So each gateway also limits its own requests at a server by what that
// server's answers show (a window that grows with answers in the usual time and shrinks with slow
// answers and rejections), and may always use its even part of the slots. While reports are late, it
// also uses the slots that its own ended requests have left: no other gateway knows yet that they
// are free.
//
// The package does no locking and no I/O and does not read the clock. A Model must be used by one
// goroutine only.
package slots

import (
	"math"
	"time"
)

// Limits of what a server gets.
const (
	// Part of the objective that a request may wait in a server's own queue. There it can no longer
	// be overtaken by more urgent ones.
	queueFraction = 0.05
	// Length of that queue in parts of the slots. A third covers a pause between an answer and the
	// next request of a third of the answer time; requests that need longer belong in the gateway.
	maxQueueRatio = 1.0 / 3
	// Least window at the beginning: one request, and one to follow it.
	minInitialWindow = 2.0
	// A window that has not been used for this long starts again: others may have the slots by now.
	windowRetention = time.Second
	// Factors of the window after slow answers and after rejections, which show that the server's
	// queue is full.
	slowDecrease      = 0.7
	rejectionDecrease = 0.5
	// A server whose latest answers take this much longer than usual has a queue of that length.
	slowAnswerFactor = 2.0
	// Weight of an answer among the latest ones.
	recentWeight = 0.25
	// Cost, in units of full load, by which a free server may exceed a full one. A server that
	// fails most of its requests costs more and is free because it fails them.
	maxCostExcess = 0.5
)

const (
	maxReportInterval = time.Second // a gateway that is silent for longer counts as dead
	reportWeight      = 32          // reports over which their interval is averaged
	// Interval at which gateways decide again on requests that wait.
	askInterval = 10 * time.Millisecond
	// Excess that a server's own queue holds, in parts of its slots.
	maxExcess = 0.5
	// Age of reports, in answer times, up to which they are believed of a server that is far beyond
	// its limit.
	recentReportAge = 0.5
	// Time, in answer times, in which a gateway may use a slot that its own request has left, and the
	// number of such slots. In a longer time, a new request of another gateway takes it too.
	freedRetention = 0.3
	maxFreed       = 2
	// Requests behind one from which on it does not use such a slot: where many wait at each gateway,
	// even parts keep the slots busy, and slots have to go to the most urgent requests of the fleet.
	maxBehindFreed = 1
)

// Limits of silence.
const (
	// Answer times without an answer after which a server counts as stalled, and the least and most
	// such time by the slowest tenth of answers. Servers that are slow for a moment take 2.5 times
	// as long.
	stallFactor    = 4
	maxStallFactor = 8
	slowFactor     = 2
	minStall       = 20 * time.Millisecond // shorter pauses are the network's and this process's
	// Interval between probes of a stalled server, in answer times. It doubles with each.
	probeFactor      = 8
	minProbeInterval = 50 * time.Millisecond
	maxProbeInterval = 2 * time.Second
)

// Limits of refusals.
const (
	// A request that waits is refused when it would be late even if the estimate of its start were
	// this many times too long. At its arrival the estimate itself decides.
	waitingTolerance = 2
	minRetryAfter    = 20 * time.Millisecond
)

// Request describes a request to a plain service.
type Request struct {
	Service   string
	Objective time.Duration // time left until its answer is late; negative: already late; 0: no objective
	Full      time.Duration // Objective at its caller's first attempt; 0: unknown
	Remaining time.Duration // time left until an answer is of no use
	Ahead     int           // requests that wait at this gateway and go first
	Behind    int           // requests that wait at this gateway and go later
	Held      bool          // it has waited before and is next in turn
}

// Server is a server that takes work.
type Server struct {
	ID       string
	Capacity int     // slots; above 0
	Local    int     // requests of this gateway in flight there
	Remote   int     // requests of other gateways there, as last reported
	Cost     float64 // orders servers with a free slot, in units of full load
}

// Decision is the result of [Model.Decide].
type Decision interface{ decision() }

// Send sends the request to a server.
type Send struct {
	Server string
	Probe  bool // the server is stalled
}

// Wait holds the request at the gateway.
type Wait struct {
	Predicted time.Duration // time until the first event of its answer
}

// Refuse means that the request cannot be answered in time.
type Refuse struct {
	Predicted  time.Duration // time until the first event of its answer, if it waited
	RetryAfter time.Duration
}

func (Send) decision()   {}
func (Wait) decision()   {}
func (Refuse) decision() {}

// Outcome says how an attempt ended.
type Outcome int

// Outcomes of attempts.
const (
	Answered Outcome = iota // with an answer that shows how long answers take
	Failed                  // with an answer that does not
	Rejected                // the server has not run it
	NoSign                  // without a sign of the server
)

// Change reports that a server stalled or answers again.
type Change struct {
	Server  string
	Stalled bool
	Silent  time.Duration // time without a sign of the server
	Usual   time.Duration // its usual answer time
	Waiting int           // requests of this gateway there
}

// Model is what a gateway knows of the servers of plain services.
type Model struct {
	reportInterval time.Duration // mean interval between two reports of a gateway
	reportedAt     time.Time     // when a gateway has reported last
	services       map[string]*service
	servers        map[string]*server
	attempts       map[uint64]attempt
	changes        []Change

	serverHashes    map[string][]uint64 // by service
	activeCountedAt time.Time

	states []*server // of the servers of the latest decision
}

// service is the state of a service.
type service struct {
	answers estimate // time until the end of an answer, for which it takes a slot
	first   estimate // time until its first event
	active  int      // gateways that have requests at its servers, including this one
}

// attempt is a request of this gateway in flight.
type attempt struct {
	server string
	sentAt time.Time
	begun  bool // its answer has begun
}

// NewModel returns a Model without servers.
func NewModel() *Model {
	return &Model{services: map[string]*service{}, servers: map[string]*server{}, attempts: map[uint64]attempt{}}
}

// RecordReport records a report of another gateway, by the time since the one before.
func (m *Model) RecordReport(now time.Time, interval time.Duration) {
	m.reportedAt = now
	m.reportInterval += (min(interval, maxReportInterval) - m.reportInterval) / reportWeight
}

// SetActive sets how many gateways have requests at a service's servers, not counting this one.
func (m *Model) SetActive(name string, others int) { m.service(name).active = max(others, 0) + 1 }

// Retain removes the servers for which known returns false.
func (m *Model) Retain(known func(server string) bool) {
	for id := range m.servers {
		if !known(id) {
			delete(m.servers, id)
		}
	}
}

func (m *Model) service(name string) *service {
	s := m.services[name]
	if s == nil {
		s = &service{active: 1}
		m.services[name] = s
	}
	return s
}

func (m *Model) server(serviceName, id string) *server {
	s := m.servers[id]
	if s == nil {
		s = &server{service: m.service(serviceName)}
		m.servers[id] = s
	}
	return s
}

// RecordSent records that an attempt of this gateway was sent to a server.
func (m *Model) RecordSent(now time.Time, id uint64, serviceName, serverID string) {
	s := m.server(serviceName, serverID)
	if whole, _ := s.evenPart(); float64(s.outstanding) >= whole {
		s.extraAt = now
	}
	if s.outstanding++; s.outstanding == 1 {
		s.silentSince = now
	}
	s.usedAt, s.freed = now, max(s.freed-1, 0)
	if s.stalled {
		s.probe = id
		s.probeDelay = min(2*s.probeDelay, maxProbeInterval)
		s.probeAt = now.Add(s.probeDelay)
	}
	m.attempts[id] = attempt{server: serverID, sentAt: now}
}

// RecordFirst records that a server has begun to answer an attempt. The time is learned only if
// reliable is set: a process that runs late sees answers late.
func (m *Model) RecordFirst(now time.Time, id uint64, reliable bool) {
	a, known := m.attempts[id]
	s := m.servers[a.server]
	if !known || s == nil {
		return
	}
	m.heard(now, a.server, s)
	a.begun = true
	m.attempts[id] = a
	if reliable && !a.sentAt.Before(s.resumedAt) {
		s.service.first.add(now.Sub(a.sentAt))
	}
}

// RecordEnd records the end of an attempt; reliable is as for [Model.RecordFirst].
func (m *Model) RecordEnd(now time.Time, id uint64, o Outcome, reliable bool) {
	a, known := m.attempts[id]
	delete(m.attempts, id)
	s := m.servers[a.server]
	if !known || s == nil {
		return
	}
	full := s.window > 0 && float64(s.outstanding) >= s.window
	s.outstanding = max(s.outstanding-1, 0)
	s.usedAt = now
	if o == Answered || o == Failed {
		s.recordFreed(now)
	}
	if s.probe == id {
		s.probe = 0
	}
	if o == NoSign {
		return
	}
	m.heard(now, a.server, s)
	switch {
	case o == Rejected:
		s.rejectedAt = now
		s.shrink(now, rejectionDecrease)
	case o == Answered && reliable && !a.sentAt.Before(s.resumedAt):
		if !a.begun {
			s.service.first.add(now.Sub(a.sentAt))
		}
		s.learn(now, now.Sub(a.sentAt), full)
	}
}

// heard records a sign of a server.
func (m *Model) heard(now time.Time, id string, s *server) {
	if s.stalled {
		m.changes = append(m.changes, Change{Server: id, Silent: now.Sub(s.silentSince), Usual: s.usual(), Waiting: s.outstanding})
		s.stalled, s.probe, s.resumedAt = false, 0, now
	}
	s.silentSince = now
}

// ResetSilence forgets how long servers have been silent, since this process ran late and may not
// have read their answers yet.
func (m *Model) ResetSilence(now time.Time) {
	for _, s := range m.servers {
		if !s.stalled {
			s.silentSince = now
		}
	}
}

// DetectStalls finds the servers that have stalled.
func (m *Model) DetectStalls(now time.Time) {
	for id, s := range m.servers {
		m.detectStall(now, id, s)
	}
}

func (m *Model) detectStall(now time.Time, id string, s *server) {
	if s.stalled || s.outstanding == 0 {
		return
	}
	usual := s.usual()
	if usual == 0 || now.Sub(s.silentSince) <= s.stallAfter() {
		return
	}
	s.stalled = true
	s.probeDelay = min(max(probeFactor*usual, minProbeInterval), maxProbeInterval)
	s.probeAt = now.Add(s.probeDelay)
	m.changes = append(m.changes, Change{Server: id, Stalled: true, Silent: now.Sub(s.silentSince), Usual: usual, Waiting: s.outstanding})
}

// TakeChanges returns the servers that stalled or answered again since the last call.
func (m *Model) TakeChanges() []Change {
	c := m.changes
	m.changes = nil
	return c
}

// Decide decides on a request. It finds servers that have stalled, but records nothing of the
// request; call [Model.RecordSent] when it is sent.
func (m *Model) Decide(now time.Time, req Request, servers []Server) Decision {
	m.states = m.states[:0]
	for i := range servers {
		m.states = append(m.states, m.server(req.Service, servers[i].ID))
	}
	first := m.service(req.Service).first.median
	late := req.Held && req.Objective != 0 && req.Objective < first // others that wait can still be in time
	if !late && (req.Held || req.Ahead == 0) {
		if send, ok := m.choose(now, req, servers); ok {
			return send
		}
	}
	start := m.predictStart(now, req, servers)
	tolerated := start
	if req.Held {
		tolerated /= waitingTolerance
	}
	limit := req.Objective
	if limit == 0 {
		limit = req.Remaining
	}
	if limit > 0 && tolerated+first <= limit {
		return Wait{Predicted: start + first}
	}
	// By then what waits is fewer by half, and by as many as are too many for the objective.
	after := max(start/2, start+first-max(limit, 0), minRetryAfter)
	if req.Remaining > 0 {
		after = max(min(after, req.Remaining/4), minRetryAfter)
	}
	return Refuse{Predicted: start + first, RetryAfter: after}
}

// choose returns the server that gets the request now: the cheapest one with a free slot, one that
// has just answered this gateway, one at which this gateway has less than its even part, or a
// stalled one that is due for a probe.
func (m *Model) choose(now time.Time, req Request, servers []Server) (Send, bool) {
	cheapest := math.Inf(1)
	var free, freed, even, probe *Server
	reportAge := max(m.reportInterval, now.Sub(m.reportedAt))
	for i := range servers {
		s := &servers[i]
		state := m.states[i]
		m.detectStall(now, s.ID, state)
		if state.stalled {
			if state.probe == 0 && !now.Before(state.probeAt) && (probe == nil || s.Cost < probe.Cost) {
				probe = s
			}
			continue
		}
		cheapest = min(cheapest, s.Cost)
		state.active = float64(max(state.service.active, 1+min(s.Remote, 1)))
		late := state.reportsLate(reportAge, s.Capacity)
		state.limit = float64(limitOf(req, s, state.usual()))
		overfull := state.overfull(reportAge, s, late)
		switch {
		case float64(s.Local) >= state.windowAt(now, s):
		case state.mayTake(now, state.limit-float64(s.Local+s.Remote), late):
			if free == nil || s.Cost < free.Cost {
				free = s
			}
		case overfull:
		case late && req.Behind < maxBehindFreed && state.hasFreed(now):
			if freed == nil || occupancy(s) < occupancy(freed) {
				freed = s
			}
		case state.hasEvenPart(now, s):
			if even == nil || occupancy(s) < occupancy(even) {
				even = s
			}
		}
	}
	switch {
	case probe != nil && probe.Local == 0 && (free == nil || probe.Cost <= free.Cost):
		return Send{Server: probe.ID, Probe: true}, true // no request there shows when it answers again
	case free != nil && free.Cost <= cheapest+maxCostExcess:
		return Send{Server: free.ID}, true
	case freed != nil:
		return Send{Server: freed.ID}, true
	case even != nil:
		return Send{Server: even.ID}, true
	case probe != nil:
		return Send{Server: probe.ID, Probe: true}, true
	}
	return Send{}, false
}

// limitOf returns how many requests the fleet may have at a server: its slots and a queue in which
// a request waits for a small part of its objective.
func limitOf(req Request, s *Server, usual time.Duration) int {
	queue := maxQueueRatio * float64(s.Capacity)
	if objective := max(req.Objective, req.Full); objective > 0 && usual > 0 {
		queue = min(queue, queueFraction*float64(objective)*float64(s.Capacity)/float64(usual))
	}
	return s.Capacity + int(queue)
}

// occupancy returns the requests at a server in units of its slots.
func occupancy(s *Server) float64 { return float64(s.Local+s.Remote) / float64(s.Capacity) }

// predictStart returns the predicted time until a request is sent. It assumes that the other
// gateways that have requests at the service hold as many as this one.
func (m *Model) predictStart(now time.Time, req Request, servers []Server) time.Duration {
	slots, stalledSlots := 0, 0
	probe := time.Duration(math.MaxInt64)
	for i := range servers {
		state := m.states[i]
		if !state.stalled {
			slots += servers[i].Capacity
			continue
		}
		stalledSlots += servers[i].Capacity
		probe = min(probe, max(state.probeAt.Sub(now), 0))
	}
	delay := time.Duration(0)
	if slots == 0 && stalledSlots > 0 {
		slots, delay = stalledSlots, probe
	}
	s := m.service(req.Service)
	ahead := float64(req.Ahead+1) * float64(s.active)
	return delay + time.Duration(ahead*s.answers.mean.Seconds()/float64(max(slots, 1))*float64(time.Second))
}
