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

// dispatcher is the duty that owns the queue of waiting requests and the view of
// the agents. Only its goroutine touches them.
type dispatcher struct {
	router   *Router
	events   chan event // full: senders wait; the dispatcher never waits for them
	stopped  chan struct{}
	queue    dispatch.Queue
	tickets  map[*dispatch.Request]*ticket
	agents   map[string]*agentView
	dirty    map[dispatch.Class]bool
	drain    map[fair.Account]*drainRate
	costs    map[dispatch.Class]float64
	baseline baseline
}

// agentView is what the router believes of one agent.
type agentView struct {
	peer     *wire.Peer
	pools    []string
	limit    int
	running  int
	waiting  int
	leaving  bool
	sick     bool
	told     map[dispatch.Class]int
	prefixes []uint64 // prompt beginnings it has served, latest last
}

// prefixesKept is how many prompt beginnings are remembered of each agent.
const prefixesKept = 64

func newDispatcher(r *Router) *dispatcher {
	return &dispatcher{
		router:  r,
		events:  make(chan event, eventQueue),
		stopped: make(chan struct{}),
		tickets: map[*dispatch.Request]*ticket{},
		agents:  map[string]*agentView{},
		dirty:   map[dispatch.Class]bool{},
		drain:   map[fair.Account]*drainRate{},
		costs:   map[dispatch.Class]float64{},
	}
}

// tell passes an event to the dispatcher; it reports false when that has ended.
func (d *dispatcher) tell(e event) bool {
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
		d.baselineDispatch()
		if len(d.events) == 0 {
			d.flush()
		}
	}
}

func (d *dispatcher) handle(e event) {
	switch e := e.(type) {
	case offerEvent:
		d.offer(e.ticket)
	case againEvent:
		d.again(e)
	case leaveEvent:
		e.reply <- d.leave(e.ticket)
	case endEvent:
		d.end(e)
	case declineEvent:
		d.decline(e.placement)
	case upEvent:
		d.up(e.peer)
	case downEvent:
		if v := d.agents[e.peer.Hello.Node]; v != nil && v.peer == e.peer {
			delete(d.agents, e.peer.Hello.Node)
		}
	case grantEvent:
		d.granted(e)
	case loadEvent:
		d.load(e)
	case configEvent:
		d.configure(d.router.holder.Current())
	case viewEvent:
		e.reply <- d.view()
	}
}

// offer places a request at once where there is room, or lets it wait.
func (d *dispatcher) offer(t *ticket) {
	k := t.request.Class
	if d.router.options.Queueing == LateBinding && d.queue.Count(k) == 0 {
		if v, why := d.free(t); v != nil {
			d.bind(t, v, 0, why)
			return
		}
	}
	rate := d.rate(k.Account)
	if wait := rate.expect(d.queue.Waiting(k.Account)); d.tooLate(t, wait) {
		t.answer <- refusal{cause: attempt.Deadline, reason: "the deadline would pass while it waits", retryAfter: wait}
		return
	}
	switch o := d.queue.Enqueue(t.request, t.most, rate.expect(1)).(type) {
	case dispatch.Queued:
		d.tickets[t.request] = t
		d.dirty[k] = true
		d.router.record(explain.Event{Kind: explain.Wait, Request: t.request.ID, Account: t.account,
			Text: fmt.Sprintf("no room at %d agents of pool %s; %d requests of the account ahead of it here", d.serving(k.Pool), k.Pool, o.Ahead)})
	case dispatch.Rejected:
		t.answer <- refusal{cause: attempt.QueueFull, reason: o.Reason, retryAfter: o.RetryAfter}
	}
}

func (d *dispatcher) tooLate(t *ticket, wait time.Duration) bool {
	return wait > 0 && time.Now().Add(wait).After(t.request.Deadline)
}

func (d *dispatcher) bind(t *ticket, v *agentView, grant uint64, why string) {
	v.running++
	v.remember(t.request.Prefix)
	t.estimate = d.estimate(t.request.Class, t.request.Estimate)
	t.waited = time.Since(t.request.Arrived)
	d.rate(t.request.Class.Account).left(time.Now())
	t.answer <- placement{peer: v.peer, grant: grant, why: why}
}

func (d *dispatcher) serving(pool string) int {
	n := 0
	for _, v := range d.agents {
		if v.serves(pool) {
			n++
		}
	}
	return n
}

// again puts a request back that was bound and not run.
func (d *dispatcher) again(e againEvent) {
	v := d.agents[e.agent]
	if v != nil && e.full {
		v.running = max(v.running-1, v.limit)
	} else if v != nil {
		v.running = max(0, v.running-1)
		e.ticket.failed = append(e.ticket.failed, e.agent)
		if other, why := d.free(e.ticket); other != nil && other != v {
			d.bind(e.ticket, other, 0, why)
			return
		}
	}
	d.queue.Requeue(e.ticket.request)
	d.tickets[e.ticket.request] = e.ticket
	d.dirty[e.ticket.request.Class] = true
}

func (d *dispatcher) leave(t *ticket) bool {
	delete(d.tickets, t.request)
	d.dirty[t.request.Class] = true
	return d.queue.Remove(t.request)
}

// costPart is the weight of the latest cost in an account's expected cost.
const costPart = 0.2

func (d *dispatcher) end(e endEvent) {
	if v := d.agents[e.agent]; v != nil {
		v.running = max(0, v.running-1)
	}
	if e.cost <= 0 {
		return
	}
	k := e.ticket.request.Class
	if c, known := d.costs[k]; known {
		d.costs[k] = c + costPart*(e.cost-c)
	} else {
		d.costs[k] = e.cost
	}
}

func (d *dispatcher) decline(p placement) {
	if v := d.agents[p.peer.Hello.Node]; v != nil && v.peer == p.peer {
		v.running = max(0, v.running-1)
	}
	if p.grant != 0 {
		p.peer.Send(d.router.message(&wirepb.Control_Decline{Decline: &wirepb.Decline{Grant: p.grant}}))
	}
}

func (d *dispatcher) up(p *wire.Peer) {
	v := &agentView{peer: p, pools: p.Hello.Pools, limit: 0, told: map[dispatch.Class]int{}}
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

// view is what the dispatcher shows of itself.
type view struct {
	waiting map[fair.Account]int
	agents  int
	queued  int
}

func (d *dispatcher) view() view {
	v := view{waiting: map[fair.Account]int{}, agents: len(d.agents), queued: d.queue.Len()}
	for _, k := range d.queue.Classes() {
		v.waiting[k.Account] = d.queue.Waiting(k.Account)
	}
	return v
}
