package agent

import (
	"opalbridge.dev/dispatch"
	"opalbridge.dev/wire"
	"opalbridge.dev/wire/wirepb"
)

// report sends the service counters to the summing routers.
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
	sequence, totals := d.tracker.Report(d.ticks%fullReportTicks == 0)
	r := &wirepb.Report{Sequence: sequence, Counters: wire.EncodeTotals(totals)}
	for _, p := range to {
		p.Send(d.message(&wirepb.Control_Report{Report: r}))
	}
}

func (d *admission) currentLoad() *wirepb.Load {
	return &wirepb.Load{
		Running: uint32(d.scheduler.Running() + d.scheduler.Granted()),
		Limit:   uint32(d.scheduler.Limit()),
		Leaving: d.leaving,
		Sick:    d.limit.Health() != dispatch.Healthy,
		Waiting: uint32(d.scheduler.Waiting()),
	}
}

// sendLoad sends the load to all routers when the server becomes available or full,
// or when its limit or state changes. In between, routers keep their own count.
func (d *admission) sendLoad() {
	l := d.currentLoad()
	available := func(l *wirepb.Load) bool { return l.Running < l.Limit && l.Waiting == 0 }
	same := available(l) == available(&d.sentLoad) && l.Limit == d.sentLoad.Limit && l.Leaving == d.sentLoad.Leaving && l.Sick == d.sentLoad.Sick
	if same {
		return
	}
	d.sentLoad.Running, d.sentLoad.Limit, d.sentLoad.Leaving = l.Running, l.Limit, l.Leaving
	d.sentLoad.Sick, d.sentLoad.Waiting = l.Sick, l.Waiting
	for _, s := range d.peers {
		s.peer.Send(d.message(&wirepb.Control_Load{Load: l}))
	}
}

func (d *admission) message(body any) *wirepb.Control {
	return wire.NewControl(d.agent.holder.Revision(), body)
}
