package router

import (
	"fmt"

	"opalbridge.dev/dispatch"
	"opalbridge.dev/fair"
	"opalbridge.dev/wire/wirepb"
)

// This file tells agents how many requests wait, and takes their grants and loads.

// granted binds the best waiting request to a place that an agent offers.
func (d *dispatcher) granted(e grantEvent) {
	v := d.agents[e.peer.Hello.Node]
	if v == nil || v.peer != e.peer {
		return
	}
	k := dispatch.Class{Account: fair.Account(e.grant.Account), Pool: e.grant.Pool, Urgent: e.grant.Urgent}
	if e.grant.Pinned {
		k.Server = e.peer.Hello.Node
	}
	v.told[k]--
	d.dirty[k] = true
	request := d.queue.Dequeue(k, v.seen)
	if request == nil {
		e.peer.Send(d.router.message(&wirepb.Control_Decline{Decline: &wirepb.Decline{Grant: e.grant.Id}}))
		return
	}
	t := d.tickets[request]
	delete(d.tickets, request)
	d.bind(t, v, e.grant.Id, fmt.Sprintf("%s granted a place: the account stood furthest behind among those waiting there", e.peer.Hello.Node))
}

func (d *dispatcher) load(e loadEvent) {
	v := d.agents[e.peer.Hello.Node]
	if v == nil || v.peer != e.peer {
		return
	}
	hadRoom := v.limit > 0
	v.limit = int(e.load.Limit)
	v.running = int(e.load.Running)
	v.waiting = int(e.load.Waiting)
	v.sick = e.load.Sick
	if e.load.Leaving != v.leaving || !hadRoom {
		v.leaving = e.load.Leaving
		for _, k := range d.queue.Classes() {
			d.dirty[k] = true
		}
	}
}

// flush tells agents how many requests wait, where what they believe is too far
// off.
func (d *dispatcher) flush() {
	if d.router.options.Queueing != LateBinding {
		return
	}
	for k := range d.dirty {
		delete(d.dirty, k)
		count := d.queue.Count(k)
		for _, v := range d.agents {
			d.want(v, k, count)
		}
	}
}

// understated is by which factor an agent may believe too little before it is
// told. Believing too much costs nothing as long as one waits.
const understated = 4

func (d *dispatcher) want(v *agentView, k dispatch.Class, count int) {
	if !v.serves(k.Pool) || (k.Server != "" && k.Server != v.peer.Hello.Node) {
		count = 0
	}
	told := v.told[k]
	withdrawn := count == 0 && told > 0
	unknown := count > 0 && told <= 0
	if !withdrawn && !unknown && count < told*understated {
		return
	}
	if count == told {
		return
	}
	v.told[k] = count
	if count == 0 {
		delete(v.told, k)
	}
	v.peer.Send(d.router.message(&wirepb.Control_Want{Want: &wirepb.Want{
		Account:  uint32(k.Account),
		Pool:     k.Pool,
		Urgent:   k.Urgent,
		Count:    uint32(count),
		Estimate: uint64(d.costs[k]),
		Pinned:   k.Server != "",
	}}))
}

// estimate returns what a request of the line is expected to cost: what others of
// the account cost of late, or the hint when none is known.
func (d *dispatcher) estimate(k dispatch.Class, hint float64) float64 {
	if c, known := d.costs[k]; known {
		return c
	}
	return hint
}
