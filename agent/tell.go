package agent

import (
	"opalbridge.dev/dispatch"
	"opalbridge.dev/wire"
	"opalbridge.dev/wire/wirepb"
)

// report sends the counters to the summing routers.
func (d *admission) report() {
	var to []*wire.Peer
	for _, s := range d.peers {
		if s.summing {
			to = append(to, s.peer)
		}
	}
	if len(to) == 0 {
		return
	}
	sequence, totals := d.book.Report(d.ticks%fullReportTicks == 0)
	r := &wirepb.Report{Sequence: sequence, Counters: wire.EncodeTotals(totals)}
	for _, p := range to {
		p.Send(d.message(&wirepb.Control_Report{Report: r}))
	}
}

func (d *admission) loadNow() *wirepb.Load {
	return &wirepb.Load{
		Running: uint32(d.desk.Running() + d.desk.Granted()),
		Limit:   uint32(d.desk.Limit()),
		Leaving: d.leaving,
		Sick:    d.limit.Health() != dispatch.Healthy,
		Waiting: uint32(d.desk.Waiting()),
	}
}

// tell sends the load to all routers when it begins or ceases to have room, or
// when its limit or state changes; in between routers count for themselves.
func (d *admission) tell() {
	l := d.loadNow()
	room := func(l *wirepb.Load) bool { return l.Running < l.Limit && l.Waiting == 0 }
	same := room(l) == room(&d.told) && l.Limit == d.told.Limit && l.Leaving == d.told.Leaving && l.Sick == d.told.Sick
	if same {
		return
	}
	d.told.Running, d.told.Limit, d.told.Leaving = l.Running, l.Limit, l.Leaving
	d.told.Sick, d.told.Waiting = l.Sick, l.Waiting
	for _, s := range d.peers {
		s.peer.Send(d.message(&wirepb.Control_Load{Load: l}))
	}
}

func (d *admission) message(body any) *wirepb.Control {
	return wire.NewControl(d.agent.holder.Revision(), body)
}
