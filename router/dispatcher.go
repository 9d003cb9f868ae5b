package router

import (
	"context"
	"fmt"
	"time"

	"opalbridge.dev/attempt"
	"opalbridge.dev/config"
	"opalbridge.dev/dispatch"
	"opalbridge.dev/explain"
	"opalbridge.dev/fair"
	"opalbridge.dev/wire"
	"opalbridge.dev/wire/wirepb"
)

// dispatcher owns the queue of waiting requests and the state of the agents. Only
// its goroutine accesses them.
type dispatcher struct {
	router       *Router
	events       chan event // senders block when it is full; the dispatcher never blocks on them
	stopped      chan struct{}
	queue        dispatch.Queue
	tickets      map[*dispatch.Request]*ticket
	agents       map[string]*agentState
	dirty        map[dispatch.Class]bool // keys whose queue length may have to be sent to agents
	drainRates   map[fair.Account]*drainRate
	averageCosts map[dispatch.Class]float64
	baseline     baseline
}

// agentState is the state of one agent as last reported to this router, with the
// requests sent since.
type agentState struct {
	peer      *wire.Peer
	pools     []string
	limit     int
	running   int
	waiting   int
	leaving   bool
	unhealthy bool
	sentWants map[dispatch.Class]int // queue lengths as the agent knows them
	prefixes  []uint64               // hashes of prompt prefixes it has served, latest last
}

// maxPrefixes bounds the prompt prefixes remembered for each agent.
const maxPrefixes = 64

func newDispatcher(r *Router) *dispatcher {
	return &dispatcher{
		router:       r,
		events:       make(chan event, eventQueueSize),
		stopped:      make(chan struct{}),
		tickets:      map[*dispatch.Request]*ticket{},
		agents:       map[string]*agentState{},
		dirty:        map[dispatch.Class]bool{},
		drainRates:   map[fair.Account]*drainRate{},
		averageCosts: map[dispatch.Class]float64{},
	}
}

// send passes an event to the dispatcher and reports false if that has stopped.
func (d *dispatcher) send(e event) bool {
	select {
	case d.events <- e:
		return true
	case <-d.stopped:
		return false
	}
}

func (d *dispatcher) run(ctx context.Context) {
	defer close(d.stopped)
	for {
		select {
		case e := <-d.events:
			d.handle(e)
		case <-ctx.Done():
			return
		}
		d.dispatchBaseline()
		if len(d.events) == 0 {
			d.sendWants()
		}
	}
}

func (d *dispatcher) handle(e event) {
	switch e := e.(type) {
	case submitEvent:
		d.submit(e.ticket)
	case requeueEvent:
		d.requeue(e)
	case cancelEvent:
		e.reply <- d.cancel(e.ticket)
	case endEvent:
		d.recordEnd(e)
	case declineEvent:
		d.decline(e.placement)
	case agentConnectedEvent:
		d.agentConnected(e.peer)
	case agentDisconnectedEvent:
		if v := d.agents[e.peer.Hello.Node]; v != nil && v.peer == e.peer {
			delete(d.agents, e.peer.Hello.Node)
		}
	case grantEvent:
		d.handleGrant(e)
	case loadEvent:
		d.handleLoad(e)
	case configEvent:
		d.configure(d.router.holder.Current())
	case snapshotEvent:
		e.reply <- d.snapshot()
	}
}

// submit binds a request at once if an agent has capacity, and queues or rejects it
// otherwise.
func (d *dispatcher) submit(t *ticket) {
	k := t.request.Class
	if d.router.options.Queueing == LateBinding && d.queue.Count(k) == 0 {
		if v, reason := d.pickAgent(t); v != nil {
			d.bind(t, v, 0, reason)
			return
		}
	}
	rate := d.drainRate(k.Account)
	if wait := rate.estimateWait(d.queue.Waiting(k.Account)); d.missesDeadline(t, wait) {
		t.result <- rejection{cause: attempt.Deadline, reason: "the deadline would pass while it waits", retryAfter: wait}
		return
	}
	switch o := d.queue.Enqueue(t.request, t.maxWaiting, rate.estimateWait(1)).(type) {
	case dispatch.Queued:
		d.tickets[t.request] = t
		d.dirty[k] = true
		d.router.record(explain.Event{Kind: explain.Wait, Request: t.request.ID, Account: t.account,
			Text: fmt.Sprintf("no room at %d agents of pool %s; %d requests of the account ahead of it here", d.countServing(k.Pool), k.Pool, o.Ahead)})
	case dispatch.Rejected:
		t.result <- rejection{cause: attempt.QueueFull, reason: o.Reason, retryAfter: o.RetryAfter}
	}
}

func (d *dispatcher) missesDeadline(t *ticket, wait time.Duration) bool {
	return wait > 0 && time.Now().Add(wait).After(t.request.Deadline)
}

func (d *dispatcher) bind(t *ticket, v *agentState, grant uint64, reason string) {
	v.running++
	v.recordPrefix(t.request.Prefix)
	t.expectedCost = d.expectedCost(t.request.Class, t.request.Estimate)
	t.waitTime = time.Since(t.request.Arrived)
	d.drainRate(t.request.Class.Account).recordDeparture(time.Now())
	t.result <- placement{peer: v.peer, grant: grant, reason: reason}
}

func (d *dispatcher) countServing(pool string) int {
	n := 0
	for _, v := range d.agents {
		if v.serves(pool) {
			n++
		}
	}
	return n
}

// requeue returns a request that was bound and did not run to the queue, or binds
// it to another agent.
func (d *dispatcher) requeue(e requeueEvent) {
	v := d.agents[e.agent]
	if v != nil && e.full {
		v.running = max(v.running-1, v.limit)
	} else if v != nil {
		v.running = max(0, v.running-1)
		e.ticket.failedAgents = append(e.ticket.failedAgents, e.agent)
		if other, reason := d.pickAgent(e.ticket); other != nil && other != v {
			d.bind(e.ticket, other, 0, reason)
			return
		}
	}
	d.queue.Requeue(e.ticket.request)
	d.tickets[e.ticket.request] = e.ticket
	d.dirty[e.ticket.request.Class] = true
}

func (d *dispatcher) cancel(t *ticket) bool {
	delete(d.tickets, t.request)
	d.dirty[t.request.Class] = true
	return d.queue.Remove(t.request)
}

// costSmoothing is the weight of the latest cost in the moving average of the costs
// of a key.
const costSmoothing = 0.2

func (d *dispatcher) recordEnd(e endEvent) {
	if v := d.agents[e.agent]; v != nil {
		v.running = max(0, v.running-1)
	}
	if e.cost <= 0 {
		return
	}
	k := e.ticket.request.Class
	if c, known := d.averageCosts[k]; known {
		d.averageCosts[k] = c + costSmoothing*(e.cost-c)
	} else {
		d.averageCosts[k] = e.cost
	}
}

func (d *dispatcher) decline(p placement) {
	if v := d.agents[p.peer.Hello.Node]; v != nil && v.peer == p.peer {
		v.running = max(0, v.running-1)
	}
	if p.grant != 0 {
		p.peer.Send(d.router.controlMessage(&wirepb.Control_Decline{Decline: &wirepb.Decline{Grant: p.grant}}))
	}
}

func (d *dispatcher) agentConnected(p *wire.Peer) {
	v := &agentState{peer: p, pools: p.Hello.Pools, limit: 0, sentWants: map[dispatch.Class]int{}}
	if s := d.router.holder.Current().Server(p.Hello.Node); s != nil {
		v.pools = s.Pools
		v.leaving = s.Leaving
	}
	d.agents[p.Hello.Node] = v
	for _, k := range d.queue.Classes() {
		d.dirty[k] = true
	}
}

func (d *dispatcher) configure(c *config.Document) {
	for name, v := range d.agents {
		s := c.Server(name)
		if s == nil {
			v.leaving = true
			continue
		}
		v.pools = s.Pools
		v.leaving = s.Leaving
	}
	for _, k := range d.queue.Classes() {
		d.dirty[k] = true
	}
}

// snapshot is a copy of the dispatcher's state for status reports.
type snapshot struct {
	waiting map[fair.Account]int
	agents  int
	queued  int
}

func (d *dispatcher) snapshot() snapshot {
	v := snapshot{waiting: map[fair.Account]int{}, agents: len(d.agents), queued: d.queue.Len()}
	for _, k := range d.queue.Classes() {
		v.waiting[k.Account] = d.queue.Waiting(k.Account)
	}
	return v
}
