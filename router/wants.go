package router

import (
	"fmt"

	"opalbridge.dev/dispatch"
	"opalbridge.dev/fair"
	"opalbridge.dev/wire/wirepb"
)

// This file reports queue lengths to agents and handles their grants and loads.

// handleGrant binds the best waiting request to a slot granted by an agent.
func (d *dispatcher) handleGrant(e grantEvent) {
	v := d.agents[e.peer.Hello.Node]
	if v == nil || v.peer != e.peer {
		return
	}
	k := dispatch.Class{Account: fair.Account(e.grant.Account), Pool: e.grant.Pool, Urgent: e.grant.Urgent}
	if e.grant.Pinned {
		k.Server = e.peer.Hello.Node
	}
	v.sentWants[k]--
	d.dirty[k] = true
	request := d.queue.Dequeue(k, v.hasPrefix)
	if request == nil {
		e.peer.Send(d.router.controlMessage(&wirepb.Control_Decline{Decline: &wirepb.Decline{Grant: e.grant.Id}}))
		return
	}
	t := d.tickets[request]
	delete(d.tickets, request)
	d.bind(t, v, e.grant.Id, fmt.Sprintf("%s granted a place: the account stood furthest behind among those waiting there", e.peer.Hello.Node))
}

func (d *dispatcher) handleLoad(e loadEvent) {
	v := d.agents[e.peer.Hello.Node]
	if v == nil || v.peer != e.peer {
		return
	}
	hadCapacity := v.limit > 0
	v.limit = int(e.load.Limit)
	v.running = int(e.load.Running)
	v.waiting = int(e.load.Waiting)
	v.unhealthy = e.load.Sick
	if e.load.Leaving != v.leaving || !hadCapacity {
		v.leaving = e.load.Leaving
		for _, k := range d.queue.Classes() {
			d.dirty[k] = true
		}
	}
}

// sendWants sends the queue lengths that changed to the agents. sendWant skips
// changes too small to matter.
func (d *dispatcher) sendWants() {
	if d.router.options.Queueing != LateBinding {
		return
	}
	for k := range d.dirty {
		delete(d.dirty, k)
		count := d.queue.Count(k)
		for _, v := range d.agents {
			d.sendWant(v, k, count)
		}
	}
}

// wantUpdateFactor is the factor by which a queue must exceed the length last sent
// before it is sent again. Too high a length at the agent does no harm while at least
// one request waits.
const wantUpdateFactor = 4

func (d *dispatcher) sendWant(v *agentState, k dispatch.Class, count int) {
	if !v.serves(k.Pool) || (k.Server != "" && k.Server != v.peer.Hello.Node) {
		count = 0
	}
	sent := v.sentWants[k]
	withdrawn := count == 0 && sent > 0
	unsent := count > 0 && sent <= 0
	if !withdrawn && !unsent && count < sent*wantUpdateFactor {
		return
	}
	if count == sent {
		return
	}
	v.sentWants[k] = count
	if count == 0 {
		delete(v.sentWants, k)
	}
	v.peer.Send(d.router.controlMessage(&wirepb.Control_Want{Want: &wirepb.Want{
		Account:  uint32(k.Account),
		Pool:     k.Pool,
		Urgent:   k.Urgent,
		Count:    uint32(count),
		Estimate: uint64(d.averageCosts[k]),
		Pinned:   k.Server != "",
	}}))
}

// expectedCost returns the expected cost of a request with the key: the moving
// average of recent requests with the same key, or the hint if there is none.
func (d *dispatcher) expectedCost(k dispatch.Class, hint float64) float64 {
	if c, known := d.averageCosts[k]; known {
		return c
	}
	return hint
}
