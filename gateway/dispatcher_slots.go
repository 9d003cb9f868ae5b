package gateway

import (
	"time"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/placement"
	"opalbridge.dev/gateway/slots"
)

// This file calls package slots, which keeps the queue for plain services and decides. A request
// that waits has not been sent yet, so the queue repeats nothing.

// SlotDecision is what becomes of a request to a plain service whose slots are taken.
type SlotDecision string

// Decisions on requests to plain services.
const (
	SlotHeld    SlotDecision = "held"
	SlotRefused SlotDecision = "refused"
)

// setSlotServices sets the services whose requests wait for slots, if that depends on the
// configuration. What a gateway knows of the others' requests may be 250 ms old; with a shorter
// objective, a request would be decided on by what was there before its caller sent it.
func (d *dispatcher) setSlotServices(c *catalog.Configuration) {
	if d.slots == nil || d.settings.Features.QueuePlainWork != Auto || c == nil {
		return
	}
	services := map[string]bool{}
	for service, objective := range shortestObjectives(c, func(r *catalog.Route) bool { return r.Kind != catalog.Stream }) {
		services[service] = objective >= shareInterval
	}
	d.balancer.SetSlotServices(services)
}

// setSlotServers takes over the servers of a new view.
func (d *dispatcher) setSlotServers() {
	if d.slots == nil {
		return
	}
	d.slots.Retain(d.balancer.WaitsForSlots)
	servers := map[string][]uint64{}
	for h, id := range d.serverIDs {
		if d.balancer.WaitsForSlots(id) {
			service := d.balancer.ServiceOf(id)
			servers[service] = append(servers[service], h)
		}
	}
	d.slots.SetServers(servers)
}

// recordReport records that another gateway has told its running requests.
func (d *dispatcher) recordReport(now time.Time, from string) {
	if d.slots == nil {
		return
	}
	if last, known := d.reportedAt[from]; known {
		d.slots.RecordReport(now, now.Sub(last))
	}
	d.reportedAt[from] = now
}

// setSlotStatus fills in what a request to a plain service has to know of others that wait.
func (d *dispatcher) setSlotStatus(now time.Time, a *placement.Request) {
	if d.slots == nil || !d.slots.HasServers(a.Service) {
		return
	}
	if d.unreliable(now, now.Add(-catchUpTime)) {
		d.slots.ResetSilence(now) // answers may have arrived and not been read yet
	}
	d.slots.CountActive(now, d.peerRunning)
	if a.HoldReason != placement.NoSlot {
		a.Ahead, a.Behind = d.queue.slots.Ahead(a.Service, a.Priority)
	}
}

// resetSlotHold forgets that a request has waited for a slot before its latest attempt.
func resetSlotHold(a *placement.Request) {
	if a.HoldReason == placement.NoSlot {
		a.HoldReason, a.Waited = placement.InTime, 0
	}
}

// recordSlotSend records a request to a plain server.
func (d *dispatcher) recordSlotSend(now time.Time, service string, a placement.Assign) {
	if d.slots != nil && d.balancer.WaitsForSlots(a.Server.ID) {
		d.slots.RecordSent(now, a.ID, service, a.Server.ID)
	}
}

// recordSlotFirst records that a plain server has begun to answer.
func (d *dispatcher) recordSlotFirst(now time.Time, attemptID uint64) {
	if d.slots != nil {
		d.slots.RecordFirst(now, attemptID, !d.unreliable(now, now.Add(-catchUpTime)))
	}
}

// recordSlotEnd records the end of an attempt, which may free a slot.
func (d *dispatcher) recordSlotEnd(now time.Time, m attemptEnded) {
	if d.slots == nil {
		return
	}
	d.slots.RecordEnd(now, m.attemptID, slotOutcome(m), !d.unreliable(now, now.Add(-catchUpTime)))
	if d.balancer.WaitsForSlots(m.server) {
		d.scanSlots(now, false)
	}
}

// slotOutcome returns what the end of an attempt says about its server.
func slotOutcome(m attemptEnded) slots.Outcome {
	switch {
	case m.end == placement.Served:
		return slots.Answered
	case m.end == placement.Rejected:
		return slots.Rejected
	case m.end == placement.Failed && m.status != 0:
		return slots.Failed
	default:
		return slots.NoSign
	}
}

// holdForSlot queues a request to a plain service. If the queue is full, the request that would be
// sent last is refused.
func (d *dispatcher) holdForSlot(now time.Time, w *waiter) {
	d.metrics.SlotDecided(w.original.Service, SlotHeld)
	if d.queue.length() >= maxWaiting {
		last, ok := d.queue.slots.ReplaceLast(w.original.Priority)
		if !ok {
			d.refuseSlot(now, w)
			return
		}
		d.refuseSlot(now, last)
	}
	d.queue.addForSlot(w)
}

// moveToSlots queues a request for a slot that has waited for servers to end their backoff.
func (d *dispatcher) moveToSlots(w *waiter, h placement.Hold) {
	d.queue.prefillTime -= w.hold.PrefillTime
	w.hold = h
	d.metrics.SlotDecided(w.original.Service, SlotHeld)
	d.queue.addForSlot(w)
}

func (d *dispatcher) refuseSlot(now time.Time, w *waiter) {
	d.metrics.SlotDecided(w.original.Service, SlotRefused)
	d.refuse(now, w)
}

// countRefusedForSlot counts a refusal for want of a slot.
func (d *dispatcher) countRefusedForSlot(service string, decision placement.Decision) {
	if r, ok := decision.(placement.Refuse); ok && r.Reason == placement.NoSlot {
		d.metrics.SlotDecided(service, SlotRefused)
	}
}

// length returns the number of all waiting requests.
func (q *waitQueue) length() int { return len(q.waiters) + q.slots.Len() }

// addForSlot queues a request for a slot.
func (q *waitQueue) addForSlot(w *waiter) {
	if q.length() == 0 {
		q.timer.Reset(waitScanInterval)
	}
	q.slots.Add(slots.Position{Service: w.original.Service, Priority: w.original.Priority, Retry: w.message.retry, Since: w.since}, w)
}

// scanSlots sends waiting requests to plain servers that have free slots, in order of priority and
// age, and refuses those that cannot start in time. Unless all is set, those far behind are refused
// only once they are late.
func (d *dispatcher) scanSlots(now time.Time, all bool) {
	if d.queue.slots.Len() == 0 {
		return
	}
	d.queue.slots.Scan(func(w *waiter, t slots.Turn) slots.Result {
		if w.cancelled() {
			w.message.reply <- placement.NoServer{} // the reply is not read
			return slots.Done
		}
		w.refresh(now)
		a := w.message.request
		late := w.original.Objective > 0 && a.Objective < 0 || a.Remaining <= 0
		if t.Blocked && !all && !late {
			return slots.Skipped
		}
		a.Ahead, a.Behind = t.Ahead, t.Behind
		decision := d.decide(now, w.message)
		if h, ok := decision.(placement.Hold); !ok {
			d.countRefusedForSlot(w.original.Service, decision)
		} else if h.Reason == placement.NoSlot || h.Reason == placement.BackingOff {
			return slots.Held
		}
		w.message.reply <- decision
		return slots.Done
	})
}

// checkSlots finds plain servers that have stalled and waiting requests that are late.
func (d *dispatcher) checkSlots(now time.Time) {
	if d.slots == nil {
		return
	}
	defer d.logStalls()
	if d.unreliable(now, now.Add(-catchUpTime)) {
		d.slots.ResetSilence(now)
		return
	}
	d.slots.DetectStalls(now)
	d.scanSlots(now, true)
}

// logStalls logs servers that have stalled or answer again.
func (d *dispatcher) logStalls() {
	for _, c := range d.slots.TakeChanges() {
		event, text := "server.answers_again", "server answers again"
		if c.Stalled {
			event, text = "server.stalled", "server has stalled: no requests until it answers, but probes"
		}
		d.log.Info().Str("event", event).Str("server", c.Server).Dur("silent", c.Silent).Dur("usual", c.Usual).
			Int("requests", c.Waiting).Msg(text)
	}
}
