package router

import (
	"context"
	"fmt"
	"math"
	"slices"
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
	dirty    map[dispatch.Key]bool
	drain    map[fair.Account]*drainRate
	costs    map[dispatch.Key]float64
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
	told     map[dispatch.Key]int
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
		dirty:   map[dispatch.Key]bool{},
		drain:   map[fair.Account]*drainRate{},
		costs:   map[dispatch.Key]float64{},
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
	k := t.request.Key
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
	switch o := d.queue.Offer(t.request, t.most, rate.expect(1)).(type) {
	case dispatch.Waiting:
		d.tickets[t.request] = t
		d.dirty[k] = true
		d.router.record(explain.Event{Kind: explain.Wait, Request: t.request.ID, Account: t.account,
			Text: fmt.Sprintf("no room at %d agents of pool %s; %d requests of the account ahead of it here", d.serving(k.Pool), k.Pool, o.Ahead)})
	case dispatch.Refused:
		t.answer <- refusal{cause: attempt.TooMany, reason: o.Reason, retryAfter: o.RetryAfter}
	}
}

func (d *dispatcher) tooLate(t *ticket, wait time.Duration) bool {
	return wait > 0 && time.Now().Add(wait).After(t.request.Deadline)
}

// free returns the agent with room that suits the request best: one that has seen
// its beginning, then one of the own hall, then the one with most room.
func (d *dispatcher) free(t *ticket) (*agentView, string) {
	var best *agentView
	most := math.Inf(-1)
	for name, v := range d.agents {
		if !v.serves(t.request.Key.Pool) || v.waiting > 0 || v.running >= v.limit {
			continue
		}
		if only := t.request.Key.Server; only != "" && only != name {
			continue
		}
		s := d.suits(v, t.request.Prefix)
		if slices.Contains(t.failed, name) {
			s -= failedWorth
		}
		if s > most || (s == most && name < best.peer.Hello.Node) {
			best, most = v, s
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, fmt.Sprintf("%s has room: it runs %d of %d%s", best.peer.Hello.Node, best.running, best.limit, d.because(best, t.request.Prefix))
}

// Weights of what speaks for an agent, against its share of free places.
const (
	prefixWorth = 0.5
	hallWorth   = 0.25
	failedWorth = 10 // an agent where the request failed before is the last choice
)

func (d *dispatcher) suits(v *agentView, prefix uint64) float64 {
	s := float64(v.limit-v.running) / float64(max(v.limit, 1))
	if v.seen(prefix) {
		s += prefixWorth
	}
	if v.peer.Hello.Hall == d.router.options.Hall {
		s += hallWorth
	}
	return s
}

func (d *dispatcher) because(v *agentView, prefix uint64) string {
	text := ""
	if v.seen(prefix) {
		text += ", and has seen this prompt's beginning"
	}
	if v.peer.Hello.Hall == d.router.options.Hall {
		text += ", in this hall"
	}
	return text
}

func (v *agentView) serves(pool string) bool {
	return !v.leaving && slices.Contains(v.pools, pool)
}

func (v *agentView) seen(prefix uint64) bool {
	return prefix != 0 && slices.Contains(v.prefixes, prefix)
}

func (v *agentView) remember(prefix uint64) {
	if prefix == 0 {
		return
	}
	if at := slices.Index(v.prefixes, prefix); at >= 0 {
		v.prefixes = slices.Delete(v.prefixes, at, at+1)
	}
	v.prefixes = append(v.prefixes, prefix)
	if len(v.prefixes) > prefixesKept {
		v.prefixes = slices.Delete(v.prefixes, 0, 1)
	}
}

func (d *dispatcher) bind(t *ticket, v *agentView, grant uint64, why string) {
	v.running++
	v.remember(t.request.Prefix)
	t.estimate = d.estimate(t.request.Key, t.request.Estimate)
	t.waited = time.Since(t.request.Arrived)
	d.rate(t.request.Key.Account).left(time.Now())
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
	d.queue.PutBack(e.ticket.request)
	d.tickets[e.ticket.request] = e.ticket
	d.dirty[e.ticket.request.Key] = true
}

func (d *dispatcher) leave(t *ticket) bool {
	delete(d.tickets, t.request)
	d.dirty[t.request.Key] = true
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
	k := e.ticket.request.Key
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
	v := &agentView{peer: p, pools: p.Hello.Pools, limit: 0, told: map[dispatch.Key]int{}}
	if s := d.router.holder.Current().Server(p.Hello.Node); s != nil {
		v.pools = s.Pools
		v.leaving = s.Leaving
	}
	d.agents[p.Hello.Node] = v
	for _, k := range d.queue.Keys() {
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
	for _, k := range d.queue.Keys() {
		d.dirty[k] = true
	}
}

// granted binds the best waiting request to a place that an agent offers.
func (d *dispatcher) granted(e grantEvent) {
	v := d.agents[e.peer.Hello.Node]
	if v == nil || v.peer != e.peer {
		return
	}
	k := dispatch.Key{Account: fair.Account(e.grant.Account), Pool: e.grant.Pool, Urgent: e.grant.Urgent}
	if e.grant.Pinned {
		k.Server = e.peer.Hello.Node
	}
	v.told[k]--
	d.dirty[k] = true
	request := d.queue.Bind(k, v.seen)
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
		for _, k := range d.queue.Keys() {
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

func (d *dispatcher) want(v *agentView, k dispatch.Key, count int) {
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
func (d *dispatcher) estimate(k dispatch.Key, hint float64) float64 {
	if c, known := d.costs[k]; known {
		return c
	}
	return hint
}

func (d *dispatcher) rate(a fair.Account) *drainRate {
	r := d.drain[a]
	if r == nil {
		r = &drainRate{}
		d.drain[a] = r
	}
	return r
}

// drainRate measures how fast an account's requests leave the queue.
type drainRate struct {
	last     time.Time
	interval time.Duration
}

// longestInterval is the longest time between two departures that counts; after
// a longer one the account was idle, not slow.
const longestInterval = 30 * time.Second

func (r *drainRate) left(at time.Time) {
	since := at.Sub(r.last)
	r.last = at
	if since > longestInterval {
		return
	}
	const part = 8
	r.interval += (since - r.interval) / part
}

// expect returns how long so many requests take to leave.
func (r *drainRate) expect(n int) time.Duration { return r.interval * time.Duration(n) }

// view is what the dispatcher shows of itself.
type view struct {
	waiting map[fair.Account]int
	agents  int
	queued  int
}

func (d *dispatcher) view() view {
	v := view{waiting: map[fair.Account]int{}, agents: len(d.agents), queued: d.queue.Len()}
	for _, k := range d.queue.Keys() {
		v.waiting[k.Account] = d.queue.Waiting(k.Account)
	}
	return v
}
