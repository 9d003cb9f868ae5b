package gateway

import (
	"slices"
	"time"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/placement"
	"opalbridge.dev/gateway/slots"
)

// This file is the dispatcher's part in the queue for plain services (see package slots). A request
// that waits has not been sent yet, so the queue repeats nothing.

const (
	// maxHeldPerScan is how many waiting requests of a service are tried in vain in a scan: more
	// than one, since a request that was tried at the free server already must not block the rest.
	maxHeldPerScan = 4
	// activeInterval is the minimum time between two counts of the gateways that have requests at
	// plain servers: with 2,400 gateways and 4 servers a count takes 0.2 ms.
	activeInterval = 20 * time.Millisecond
)

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
	if d.slots == nil || !d.settings.Features.PlainQueueAuto || c == nil {
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
	d.slotServers = map[string][]uint64{}
	for h, id := range d.serverIDs {
		if d.balancer.WaitsForSlots(id) {
			service := d.balancer.ServiceOf(id)
			d.slotServers[service] = append(d.slotServers[service], h)
		}
	}
	d.activeCountedAt = time.Time{}
}

// countActive counts the other gateways that have requests at the servers of each plain service.
func (d *dispatcher) countActive(now time.Time) {
	if now.Sub(d.activeCountedAt) < activeInterval {
		return
	}
	d.activeCountedAt = now
	for service, servers := range d.slotServers {
		active := 0
		for _, running := range d.peerRunning {
			if slices.ContainsFunc(servers, func(h uint64) bool { return running[h] > 0 }) {
				active++
			}
		}
		d.slots.SetActive(service, active)
	}
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
	if d.slots == nil || len(d.slotServers[a.Service]) == 0 {
		return
	}
	if d.unreliable(now, now.Add(-catchUpTime)) {
		d.slots.ResetSilence(now) // answers may have arrived and not been read yet
	}
	d.countActive(now)
	if a.HoldReason != placement.NoSlot {
		a.Ahead = d.queue.ahead(a)
		a.Behind = d.queue.waitingForSlots(a.Service) - a.Ahead
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
		last := d.queue.lastForSlots()
		if last == nil || last.original.Priority <= w.original.Priority {
			d.refuseSlot(now, w)
			return
		}
		d.queue.slots = slices.DeleteFunc(d.queue.slots, func(x *waiter) bool { return x == last })
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

// ahead returns how many requests to the service go before a new one.
func (q *waitQueue) ahead(a *placement.Request) int {
	n := 0
	for _, w := range q.slots {
		if w.original.Priority > a.Priority {
			break
		}
		if w.original.Service == a.Service {
			n++
		}
	}
	return n
}

// waitingForSlots returns how many requests to a service wait for slots.
func (q *waitQueue) waitingForSlots(service string) int {
	n := 0
	for _, w := range q.slots {
		if w.original.Service == service {
			n++
		}
	}
	return n
}

// length returns the number of all waiting requests.
func (q *waitQueue) length() int { return len(q.waiters) + len(q.slots) }

// lastForSlots returns the request that would get a slot last; nil if there is none.
func (q *waitQueue) lastForSlots() *waiter {
	if len(q.slots) == 0 {
		return nil
	}
	return q.slots[len(q.slots)-1]
}

// addForSlot queues a request in order of priority and age.
func (q *waitQueue) addForSlot(w *waiter) {
	if q.length() == 0 {
		q.timer.Reset(waitScanInterval)
	}
	i := len(q.slots)
	for i > 0 && w.goesBefore(q.slots[i-1]) {
		i--
	}
	q.slots = slices.Insert(q.slots, i, w)
}

// goesBefore reports whether a request gets a slot before another one. One that a server has
// rejected has waited before.
func (w *waiter) goesBefore(x *waiter) bool {
	switch {
	case w.original.Priority != x.original.Priority:
		return w.original.Priority < x.original.Priority
	case w.message.retry != x.message.retry:
		return w.message.retry
	default:
		return w.since.Before(x.since)
	}
}

// scanSlots sends waiting requests to plain servers that have free slots, in order of priority and
// age, and refuses those that cannot start in time. Unless all is set, those far behind are refused
// only once they are late.
func (d *dispatcher) scanSlots(now time.Time, all bool) {
	if len(d.queue.slots) == 0 {
		return
	}
	held, ahead := map[string]int{}, map[string]int{}
	behind := map[string]int{}
	for _, w := range d.queue.slots {
		behind[w.original.Service]++
	}
	remaining := d.queue.slots[:0]
	for _, w := range d.queue.slots {
		behind[w.original.Service]--
		if w.cancelled() {
			w.message.reply <- placement.NoServer{} // the reply is not read
			continue
		}
		service := w.original.Service
		w.refresh(now)
		a := w.message.request
		if late := w.original.Objective > 0 && a.Objective < 0 || a.Remaining <= 0; held[service] >= maxHeldPerScan && !all && !late {
			remaining = append(remaining, w)
			ahead[service]++
			continue
		}
		a.Ahead = ahead[service]
		a.Behind = behind[service]
		decision := d.decide(now, w.message)
		switch decision := decision.(type) {
		case placement.Hold:
			if decision.Reason == placement.NoSlot || decision.Reason == placement.BackingOff {
				held[service]++
				ahead[service]++
				remaining = append(remaining, w)
				continue
			}
		default:
			d.countRefusedForSlot(service, decision)
		}
		w.message.reply <- decision
	}
	clear(d.queue.slots[len(remaining):])
	d.queue.slots = remaining
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
