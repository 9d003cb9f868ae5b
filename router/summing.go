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

func (a *aggregator) isActive() bool { return a.active.Load() }

func (a *aggregator) send(e aggregatorEvent) {
	select {
	case a.events <- e:
	default:
	}
}

func (a *aggregator) agentLost(p *wire.Peer) { a.send(agentLostEvent{peer: p}) }

func (a *aggregator) run(ctx context.Context) {
	t := time.NewTicker(a.router.options.Interval)
	defer t.Stop()
	for {
		select {
		case e := <-a.events:
			a.handle(e)
		case <-t.C:
			a.tick()
		case <-ctx.Done():
			return
		}
	}
}

func (a *aggregator) handle(e aggregatorEvent) {
	switch e := e.(type) {
	case reportEvent:
		a.report(e)
	case agentLostEvent:
		if a.peers[e.peer.Hello.Node] == e.peer {
			delete(a.peers, e.peer.Hello.Node)
			delete(a.sentTotals, e.peer.Hello.Node)
		}
	case hallTotalsEvent:
		for _, h := range e.halls {
			a.fleet.Merge(ledger.HallSum{Hall: h.Hall, Source: h.Source, Sequence: h.Sequence, Totals: wire.DecodeTotals(h.Counters)})
		}
	case hallTotalsQuery:
		e.reply <- a.hallTotals()
	case totalsQuery:
		e.reply <- a.fleet.Sum()
	}
}

func (a *aggregator) report(e reportEvent) {
	agent := e.peer.Hello.Node
	if a.peers[agent] != e.peer {
		a.peers[agent] = e.peer
		a.sentTotals[agent] = map[fair.Account]fair.Total{}
	}
	if !a.hall.Report(agent, e.peer.Hello.Incarnation, e.report.Sequence, wire.DecodeTotals(e.report.Counters)) {
		return
	}
	a.sequence++
	a.fleet.Update(ledger.HallSum{Hall: a.router.options.Hall, Source: a.source(), Sequence: a.sequence, Totals: a.hall.Changed()})
	if !a.shouldReply(agent, e.report.Sequence) {
		return
	}
	e.peer.Send(a.router.controlMessage(&wirepb.Control_Totals{Totals: &wirepb.Totals{
		Sequence: e.report.Sequence,
		Counters: wire.EncodeTotals(a.changedTotals(agent)),
	}}))
}

// reportsPerTurn is how many consecutive reports of an agent one router answers
// before the next one does. The routers' totals differ in age; alternating with every
// report would make the totals appear to go up and down.
const reportsPerTurn = 16

// shouldReply reports whether it is this router's turn to answer an agent. One of
// the hall's aggregators replies at a time; they take turns because one may be down.
func (a *aggregator) shouldReply(agent string, sequence uint64) bool {
	replicas := a.router.members.aggregators(a.router.options.Hall)
	index := slices.IndexFunc(replicas, func(h kv.Host) bool { return h.Name == a.router.options.Name })
	turn := sequence/reportsPerTurn + rendezvous(agent, "answers")
	return index < 0 || turn%uint64(len(replicas)) == uint64(index)
}

// changedTotals returns the totals that changed since they were sent to the agent,
// and those of all accounts with a backlog.
func (a *aggregator) changedTotals(agent string) []fair.Total {
	sent := a.sentTotals[agent]
	var changed []fair.Total
	for _, t := range a.fleet.Excluding(a.hall.LastReport(agent)) {
		last, known := sent[t.Account]
		lifted := t.Adjustment.Supersedes(last.Adjustment)
		if known && last.Service == t.Service && t.Slots == 0 && t.Pending == 0 && !lifted {
			continue
		}
		sent[t.Account] = t
		if !lifted {
			t.Adjustment = fair.Adjustment{}
		}
		changed = append(changed, t)
	}
	return changed
}

func (a *aggregator) mergeLocal() {
	a.sequence++
	a.fleet.Merge(ledger.HallSum{
		Hall:     a.router.options.Hall,
		Source:   a.source(),
		Sequence: a.sequence,
		Totals:   a.hall.Sum(),
	})
}

func (a *aggregator) source() string { return a.router.options.Name + "/" + a.router.incarnation[:8] }

// hallTotals returns the full totals of this router's hall, for another router. It
// returns nil if this router is not active.
func (a *aggregator) hallTotals() []*wirepb.HallTotals {
	if !a.active.Load() {
		return nil
	}
	totals := &wirepb.HallTotals{Hall: a.router.options.Hall, Source: a.source(), Sequence: a.sequence}
	totals.Counters = wire.EncodeTotals(a.fleet.HallTotals(a.router.options.Hall))
	return []*wirepb.HallTotals{totals}
}

// tick expires old state, updates the role of this router, and adopts known totals
// once it has been active for adoptDelayTicks.
func (a *aggregator) tick() {
	a.hall.Tick()
	a.fleet.Tick()
	if a.active.Load() {
		a.mergeLocal()
	}
	a.updateRole()
	a.requestReports()
	if !a.active.Load() || a.adopted {
		return
	}
	a.ticks++
	if a.ticks >= adoptDelayTicks {
		a.hall.RaiseTo(a.fleet.HallTotals(a.router.options.Hall))
		a.adopted = true
	}
}

func (a *aggregator) updateRole() {
	active := a.router.members.holdsDuty("summing")
	if active == a.active.Load() {
		return
	}
	a.active.Store(active)
	if active {
		a.hall = ledger.NewHall()
		a.ticks, a.adopted = 0, false
	}
}

// requestReports tells the agents whose counters are aggregated here to report, and
// the others to stop.
func (a *aggregator) requestReports() {
	present := map[*wire.Peer]bool{}
	for _, p := range a.router.agents.peers() {
		present[p] = true
		wanted := a.active.Load() && a.router.members.aggregationHall(p.Hello.Hall) == a.router.options.Hall
		if wanted == a.reportsRequested[p] {
			continue
		}
		a.reportsRequested[p] = wanted
		p.Send(a.router.controlMessage(&wirepb.Control_Summing{Summing: &wirepb.Summing{On: wanted}}))
	}
	for p := range a.reportsRequested {
		if !present[p] {
			delete(a.reportsRequested, p)
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
