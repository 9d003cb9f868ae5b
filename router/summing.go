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

// summing is the duty that adds up the counters of its hall's agents, exchanges
// the halls' sums with other summing routers, and tells the agents the fleet's
// totals. Two routers of a hall hold it at once.
type summing struct {
	router   *Router
	events   chan summingEvent // full: the sender drops it; reports are repeated
	on       atomic.Bool
	hall     *ledger.Hall
	fleet    *ledger.Fleet
	sequence uint64
	ticks    int
	adopted  bool
	told     map[string]map[fair.Account]fair.Total // by agent: what it was told last
	peers    map[string]*wire.Peer
	asked    map[*wire.Peer]bool // agents that were asked for reports
}

// summingEvent is what the summing duty is told: one of the types below.
type summingEvent interface{ summingEvent() }

type reportEvent struct {
	peer   *wire.Peer
	report *wirepb.Report
}

type lostEvent struct{ peer *wire.Peer }

type sumsEvent struct{ halls []*wirepb.HallTotals }

// sumsQuery asks for what is to be told to a router of some hall.
type sumsQuery struct {
	reply chan []*wirepb.HallTotals // capacity one
}

type totalsQuery struct{ reply chan []fair.Total } // capacity one

func (reportEvent) summingEvent() {}
func (lostEvent) summingEvent()   {}
func (sumsEvent) summingEvent()   {}
func (sumsQuery) summingEvent()   {}
func (totalsQuery) summingEvent() {}

const (
	summingQueue = 1024
	// adoptTicks is after how many ticks a router that began to sum takes over
	// what others know of its hall.
	adoptTicks = 3
)

func newSumming(r *Router) *summing {
	return &summing{
		router: r,
		events: make(chan summingEvent, summingQueue),
		hall:   ledger.NewHall(),
		fleet:  ledger.NewFleet(),
		told:   map[string]map[fair.Account]fair.Total{},
		peers:  map[string]*wire.Peer{},
		asked:  map[*wire.Peer]bool{},
	}
}

func (s *summing) isSumming() bool { return s.on.Load() }

func (s *summing) tell(e summingEvent) {
	select {
	case s.events <- e:
	default:
	}
}

func (s *summing) lost(p *wire.Peer) { s.tell(lostEvent{peer: p}) }

func (s *summing) run(ctx context.Context) {
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

func (s *summing) handle(e summingEvent) {
	switch e := e.(type) {
	case reportEvent:
		s.report(e)
	case lostEvent:
		if s.peers[e.peer.Hello.Node] == e.peer {
			delete(s.peers, e.peer.Hello.Node)
			delete(s.told, e.peer.Hello.Node)
		}
	case sumsEvent:
		for _, h := range e.halls {
			s.fleet.Merge(ledger.HallSum{Hall: h.Hall, Source: h.Source, Sequence: h.Sequence, Totals: wire.Totals(h.Counters)})
		}
	case sumsQuery:
		e.reply <- s.sums()
	case totalsQuery:
		e.reply <- s.fleet.Sum()
	}
}

func (s *summing) report(e reportEvent) {
	agent := e.peer.Hello.Node
	if s.peers[agent] != e.peer {
		s.peers[agent] = e.peer
		s.told[agent] = map[fair.Account]fair.Total{}
	}
	if !s.hall.Report(agent, e.peer.Hello.Incarnation, e.report.Sequence, wire.Totals(e.report.Counters)) {
		return
	}
	s.sequence++
	s.fleet.Update(ledger.HallSum{Hall: s.router.options.Hall, Source: s.source(), Sequence: s.sequence, Totals: s.hall.Changed()})
	if !s.answers(agent, e.report.Sequence) {
		return
	}
	e.peer.Send(s.router.message(&wirepb.Control_Totals{Totals: &wirepb.Totals{
		Sequence: e.report.Sequence,
		Counters: wire.Counters(s.news(agent)),
	}}))
}

// answerTurn is how many reports one router answers before the next one does: the
// holders' totals are of different age, and changing between them with every report
// would look like service that comes and goes.
const answerTurn = 16

// answers reports whether it is this router's turn to answer an agent: of the
// holders one does, and another after a while, lest the first be gone.
func (s *summing) answers(agent string, sequence uint64) bool {
	summers := s.router.members.summers(s.router.options.Hall)
	at := slices.IndexFunc(summers, func(h kv.Host) bool { return h.Name == s.router.options.Name })
	turn := sequence/answerTurn + rendezvous(agent, "answers")
	return at < 0 || turn%uint64(len(summers)) == uint64(at)
}

// news returns the totals the agent has not been told, and all that it needs to
// know are backlogged.
func (s *summing) news(agent string) []fair.Total {
	told := s.told[agent]
	var news []fair.Total
	for _, t := range s.fleet.Excluding(s.hall.LastReport(agent)) {
		last, known := told[t.Account]
		moved := t.Adjustment.Supersedes(last.Adjustment)
		if known && last.Service == t.Service && t.Slots == 0 && t.Pending == 0 && !moved {
			continue
		}
		told[t.Account] = t
		if !moved {
			t.Adjustment = fair.Adjustment{}
		}
		news = append(news, t)
	}
	return news
}

func (s *summing) mergeOwn() {
	s.sequence++
	s.fleet.Merge(ledger.HallSum{
		Hall:     s.router.options.Hall,
		Source:   s.source(),
		Sequence: s.sequence,
		Totals:   s.hall.Sum(),
	})
}

func (s *summing) source() string { return s.router.options.Name + "/" + s.router.incarnation[:8] }

// sums returns the halls' totals for another router: of the own hall in full, of
// the others what is known here.
func (s *summing) sums() []*wirepb.HallTotals {
	if !s.on.Load() {
		return nil
	}
	own := &wirepb.HallTotals{Hall: s.router.options.Hall, Source: s.source(), Sequence: s.sequence}
	own.Counters = wire.Counters(s.fleet.HallTotals(s.router.options.Hall))
	return []*wirepb.HallTotals{own}
}

// tick settles who sums, and lets old reach go.
func (s *summing) tick() {
	s.hall.Tick()
	s.fleet.Tick()
	if s.on.Load() {
		s.mergeOwn()
	}
	s.decide()
	s.ask()
	if !s.on.Load() || s.adopted {
		return
	}
	s.ticks++
	if s.ticks >= adoptTicks {
		s.hall.RaiseTo(s.fleet.HallTotals(s.router.options.Hall))
		s.adopted = true
	}
}

func (s *summing) decide() {
	on := s.router.members.holds("summing")
	if on == s.on.Load() {
		return
	}
	s.on.Store(on)
	if on {
		s.hall = ledger.NewHall()
		s.ticks, s.adopted = 0, false
	}
}

// ask asks the agents whose counters are summed here for reports, and the others
// for none.
func (s *summing) ask() {
	present := map[*wire.Peer]bool{}
	for _, p := range s.router.agents.peers() {
		present[p] = true
		on := s.on.Load() && s.router.members.summingHall(p.Hello.Hall) == s.router.options.Hall
		if on == s.asked[p] {
			continue
		}
		s.asked[p] = on
		p.Send(s.router.message(&wirepb.Control_Summing{Summing: &wirepb.Summing{On: on}}))
	}
	for p := range s.asked {
		if !present[p] {
			delete(s.asked, p)
		}
	}
}

// query sends a query and waits for its answer.
func query[T any](ctx context.Context, s *summing, e summingEvent, reply <-chan T) (T, bool) {
	var none T
	select {
	case s.events <- e:
	case <-ctx.Done():
		return none, false
	}
	select {
	case v := <-reply:
		return v, true
	case <-ctx.Done():
		return none, false
	}
}
