package router

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"opalbridge.dev/fair"
	"opalbridge.dev/kv"
	"opalbridge.dev/ledger"
	"opalbridge.dev/wire"
	"opalbridge.dev/wire/wirepb"
)

// aggregator aggregates the counters of its hall's agents, exchanges totals with
// the other aggregators, and sends the fleet's totals to the agents. Two
// routers of a hall are active at once.
type aggregator struct {
	router           *Router
	events           chan aggregatorEvent // senders drop events when it is full; reports are repeated
	active           atomic.Bool
	hall             *ledger.Hall
	fleet            *ledger.Fleet
	sequence         uint64
	ticks            int
	adopted          bool
	sentTotals       map[string]map[fair.Account]fair.Total // by agent, the totals it was sent last
	peers            map[string]*wire.Peer
	reportsRequested map[*wire.Peer]bool // agents that were requested to report
}

// aggregatorEvent is an event handled by the aggregator: one of the types below.
type aggregatorEvent interface{ aggregatorEvent() }

type reportEvent struct {
	peer   *wire.Peer
	report *wirepb.Report
}

type agentLostEvent struct{ peer *wire.Peer }

type hallTotalsEvent struct{ halls []*wirepb.HallTotals }

// hallTotalsQuery asks for the totals to send to another router.
type hallTotalsQuery struct {
	reply chan []*wirepb.HallTotals // capacity one
}

type totalsQuery struct{ reply chan []fair.Total } // capacity one

func (reportEvent) aggregatorEvent()     {}
func (agentLostEvent) aggregatorEvent()  {}
func (hallTotalsEvent) aggregatorEvent() {}
func (hallTotalsQuery) aggregatorEvent() {}
func (totalsQuery) aggregatorEvent()     {}

const (
	aggregatorQueueSize = 1024
	// adoptDelayTicks is the number of ticks after which a router that became active
	// adopts the totals that other routers hold for its hall.
	adoptDelayTicks = 3
)

func newAggregator(r *Router) *aggregator {
	return &aggregator{
		router:           r,
		events:           make(chan aggregatorEvent, aggregatorQueueSize),
		hall:             ledger.NewHall(),
		fleet:            ledger.NewFleet(),
		sentTotals:       map[string]map[fair.Account]fair.Total{},
		peers:            map[string]*wire.Peer{},
		reportsRequested: map[*wire.Peer]bool{},
	}
}

func (s *aggregator) isActive() bool { return s.active.Load() }

func (s *aggregator) send(e aggregatorEvent) {
	select {
	case s.events <- e:
	default:
	}
}

func (s *aggregator) agentLost(p *wire.Peer) { s.send(agentLostEvent{peer: p}) }

func (s *aggregator) run(ctx context.Context) {
	t := time.NewTicker(s.router.options.Interval)
	defer t.Stop()
	for {
		select {
		case e := <-s.events:
			s.handle(e)
		case <-t.C:
			s.tick()
		case <-ctx.Done():
			return
		}
	}
}

func (s *aggregator) handle(e aggregatorEvent) {
	switch e := e.(type) {
	case reportEvent:
		s.report(e)
	case agentLostEvent:
		if s.peers[e.peer.Hello.Node] == e.peer {
			delete(s.peers, e.peer.Hello.Node)
			delete(s.sentTotals, e.peer.Hello.Node)
		}
	case hallTotalsEvent:
		for _, h := range e.halls {
			s.fleet.Merge(ledger.HallSum{Hall: h.Hall, Source: h.Source, Sequence: h.Sequence, Totals: wire.Totals(h.Counters)})
		}
	case hallTotalsQuery:
		e.reply <- s.hallTotals()
	case totalsQuery:
		e.reply <- s.fleet.Sum()
	}
}

func (s *aggregator) report(e reportEvent) {
	agent := e.peer.Hello.Node
	if s.peers[agent] != e.peer {
		s.peers[agent] = e.peer
		s.sentTotals[agent] = map[fair.Account]fair.Total{}
	}
	if !s.hall.Report(agent, e.peer.Hello.Incarnation, e.report.Sequence, wire.Totals(e.report.Counters)) {
		return
	}
	s.sequence++
	s.fleet.Update(ledger.HallSum{Hall: s.router.options.Hall, Source: s.source(), Sequence: s.sequence, Totals: s.hall.Touched()})
	if !s.shouldReply(agent, e.report.Sequence) {
		return
	}
	e.peer.Send(s.router.controlMessage(&wirepb.Control_Totals{Totals: &wirepb.Totals{
		Sequence: e.report.Sequence,
		Counters: wire.Counters(s.changed(agent)),
	}}))
}

// reportsPerTurn is how many consecutive reports of an agent one router answers
// before the next one does. The routers' totals differ in age; alternating with every
// report would make the totals appear to go up and down.
const reportsPerTurn = 16

// shouldReply reports whether it is this router's turn to answer an agent. One of
// the hall's aggregators replies at a time; they take turns because one may be down.
func (s *aggregator) shouldReply(agent string, sequence uint64) bool {
	summers := s.router.members.aggregators(s.router.options.Hall)
	index := slices.IndexFunc(summers, func(h kv.Host) bool { return h.Name == s.router.options.Name })
	turn := sequence/reportsPerTurn + rendezvous(agent, "answers")
	return index < 0 || turn%uint64(len(summers)) == uint64(index)
}

// changedTotals returns the totals that changed since they were sent to the agent,
// and those of all accounts with a backlog.
func (s *aggregator) changed(agent string) []fair.Total {
	sent := s.sentTotals[agent]
	var changed []fair.Total
	for _, t := range s.fleet.Without(s.hall.Own(agent)) {
		last, known := sent[t.Account]
		lifted := t.Lift.After(last.Lift)
		if known && last.Service == t.Service && t.Reach == 0 && t.Pending == 0 && !lifted {
			continue
		}
		sent[t.Account] = t
		if !lifted {
			t.Lift = fair.Lift{}
		}
		changed = append(changed, t)
	}
	return changed
}

func (s *aggregator) mergeLocal() {
	s.sequence++
	s.fleet.Merge(ledger.HallSum{
		Hall:     s.router.options.Hall,
		Source:   s.source(),
		Sequence: s.sequence,
		Totals:   s.hall.Sum(),
	})
}

func (s *aggregator) source() string { return s.router.options.Name + "/" + s.router.incarnation[:8] }

// hallTotals returns the full totals of this router's hall, for another router. It
// returns nil if this router is not active.
func (s *aggregator) hallTotals() []*wirepb.HallTotals {
	if !s.active.Load() {
		return nil
	}
	own := &wirepb.HallTotals{Hall: s.router.options.Hall, Source: s.source(), Sequence: s.sequence}
	own.Counters = wire.Counters(s.fleet.Hall(s.router.options.Hall))
	return []*wirepb.HallTotals{own}
}

// tick expires old state, updates the role of this router, and adopts known totals
// once it has been active for adoptDelayTicks.
func (s *aggregator) tick() {
	s.hall.Tick()
	s.fleet.Tick()
	if s.active.Load() {
		s.mergeLocal()
	}
	s.updateRole()
	s.requestReports()
	if !s.active.Load() || s.adopted {
		return
	}
	s.ticks++
	if s.ticks >= adoptDelayTicks {
		s.hall.Adopt(s.fleet.Hall(s.router.options.Hall))
		s.adopted = true
	}
}

func (s *aggregator) updateRole() {
	on := s.router.members.holdsDuty("summing")
	if on == s.active.Load() {
		return
	}
	s.active.Store(on)
	if on {
		s.hall = ledger.NewHall()
		s.ticks, s.adopted = 0, false
	}
}

// requestReports tells the agents whose counters are aggregated here to report, and
// the others to stop.
func (s *aggregator) requestReports() {
	present := map[*wire.Peer]bool{}
	for _, p := range s.router.agents.peers() {
		present[p] = true
		on := s.active.Load() && s.router.members.aggregationHall(p.Hello.Hall) == s.router.options.Hall
		if on == s.reportsRequested[p] {
			continue
		}
		s.reportsRequested[p] = on
		p.Send(s.router.controlMessage(&wirepb.Control_Summing{Summing: &wirepb.Summing{On: on}}))
	}
	for p := range s.reportsRequested {
		if !present[p] {
			delete(s.reportsRequested, p)
		}
	}
}

// query sends a query to the aggregator and waits for the reply.
func query[T any](ctx context.Context, s *aggregator, e aggregatorEvent, reply <-chan T) (T, bool) {
	var zero T
	select {
	case s.events <- e:
	case <-ctx.Done():
		return zero, false
	}
	select {
	case v := <-reply:
		return v, true
	case <-ctx.Done():
		return zero, false
	}
}
