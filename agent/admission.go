package agent

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"opalbridge.dev/attempt"
	"opalbridge.dev/config"
	"opalbridge.dev/dispatch"
	"opalbridge.dev/explain"
	"opalbridge.dev/fair"
	"opalbridge.dev/wire"
	"opalbridge.dev/wire/wirepb"
)

// admission is the duty that owns the agent's places, counters and memory of
// attempts. Only its goroutine touches them.
type admission struct {
	agent    *Agent
	book     *fair.Book
	desk     *dispatch.Desk
	limit    *dispatch.Limit
	registry *attempt.Registry
	keys     *attempt.Keys
	peers    map[string]*peerState // by router
	granted  map[uint64]time.Time
	pools    map[string]bool
	siblings string // the servers of this server's pools, to notice that keys moved
	largest  float64
	leaving  bool
	told     wirepb.Load
	ticks    int

	since  map[string]time.Time // what is degraded, and since when
	pace   pace
	merged time.Time // when the totals in use came
}

type peerState struct {
	peer    *wire.Peer
	summing bool
	leaving bool // it reads in the live list that this host is leaving
}

const (
	// grantTime is after how long an unused grant is taken back.
	grantTime = 500 * time.Millisecond
	secondsOf = time.Second
	grantTick = 250 * time.Millisecond
	// fullReportTicks is how often a report names every account again.
	fullReportTicks = 30
)

func newAdmission(a *Agent) *admission {
	return &admission{
		agent:    a,
		book:     fair.NewBook(fair.Options{Slots: float64(a.options.Slots), Policy: a.options.Policy}),
		desk:     dispatch.NewDesk(0),
		limit:    dispatch.NewLimit(a.options.Slots),
		registry: attempt.NewRegistry(attemptWindow, attemptsKept),
		keys:     attempt.NewKeys(KeyWindow, keysKept, now()),
		peers:    map[string]*peerState{},
		granted:  map[uint64]time.Time{},
		pools:    map[string]bool{},
		since:    map[string]time.Time{},
	}
}

func (d *admission) run(ctx context.Context) {
	defer close(d.agent.stopped)
	report := time.NewTicker(d.agent.options.Interval)
	defer report.Stop()
	second := time.NewTicker(secondsOf)
	defer second.Stop()
	grants := time.NewTicker(grantTick)
	defer grants.Stop()
	for {
		select {
		case e := <-d.agent.events:
			d.handle(e)
		case <-report.C:
			d.report()
		case <-second.C:
			d.tick()
		case <-grants.C:
			d.expireGrants()
		case <-ctx.Done():
			return
		}
		d.grant()
		d.assertBusy()
		d.tell()
	}
}

// assertBusy holds that no place is free while a request that could have it waits:
// whatever happened, places were granted before anything else is looked at.
func (d *admission) assertBusy() {
	if !d.leaving && d.desk.Room() && d.desk.Waiting() > 0 {
		panic(errors.AssertionFailedf("agent: %d of %d places taken while %d requests wait",
			d.desk.Running()+d.desk.Granted(), d.desk.Limit(), d.desk.Waiting()))
	}
}

func (d *admission) handle(e event) {
	switch e := e.(type) {
	case peerUp:
		d.peerUp(e.peer)
	case peerDown:
		d.peerDown(e.peer)
	case summingEvent:
		if s := d.peers[e.peer.Hello.Node]; s != nil && s.peer == e.peer {
			s.summing = e.on
		}
	case wantEvent:
		d.heard(e.peer.Hello.Node)
		d.want(e)
	case declineEvent:
		d.heard(e.peer.Hello.Node)
		d.cancel(e.grant)
	case listEvent:
		if s := d.peers[e.peer.Hello.Node]; s != nil && s.peer == e.peer {
			s.leaving = e.leaving
			d.settleLeaving()
		}
	case heardEvent:
		d.heard(e.peer.Hello.Node)
	case startEvent:
		d.heard(e.peer.Hello.Node)
		e.reply <- d.start(e)
	case revokeEvent:
		e.reply <- d.registry.Revoke(e.id, now())
	case chargeEvent:
		d.book.Charge(e.account, e.cost, e.reserved)
	case doneEvent:
		d.done(e)
	case totalsEvent:
		if d.book.Merge(e.sequence, e.totals) {
			d.merged = now()
			d.book.Forgive()
		}
	case loadEvent:
		d.load(e)
	case configEvent:
		d.configure(d.agent.holder.Current())
	case drainEvent:
		d.drain()
	case statusEvent:
		e.reply <- d.status()
	}
}

func (d *admission) peerUp(p *wire.Peer) {
	if old := d.peers[p.Hello.Node]; old != nil {
		d.desk.DropRouter(p.Hello.Node)
	}
	d.peers[p.Hello.Node] = &peerState{peer: p}
	p.Send(d.message(&wirepb.Control_Load{Load: d.loadNow()}))
}

func (d *admission) peerDown(p *wire.Peer) {
	s := d.peers[p.Hello.Node]
	if s == nil || s.peer != p {
		return
	}
	delete(d.peers, p.Hello.Node)
	d.settleLeaving()
	for _, g := range d.desk.DropRouter(p.Hello.Node) {
		delete(d.granted, g.ID)
		d.book.Release(g.Key.Account, g.Estimate)
	}
	d.settleWaits()
}

// settleWaits tells the book which accounts wait here no more.
func (d *admission) settleWaits() {
	for _, a := range d.agent.holder.Current().Accounts {
		if id := fair.Account(a.ID); !d.desk.WaitsFor(id) {
			d.book.Leave(id)
		}
	}
}

func (d *admission) want(e wantEvent) {
	s := d.peers[e.peer.Hello.Node]
	if s == nil || s.peer != e.peer || !d.pools[e.key.Pool] {
		return
	}
	before := d.desk.WaitsFor(e.key.Account)
	d.desk.SetWant(e.peer.Hello.Node, e.key, e.count, e.estimate)
	after := d.desk.WaitsFor(e.key.Account)
	switch {
	case after && !before:
		d.book.Arrive(e.key.Account)
	case before && !after:
		d.book.Leave(e.key.Account)
	}
}

// grant hands out every free place that somebody wants.
func (d *admission) grant() {
	if d.leaving {
		return
	}
	for {
		g, ok := d.desk.Grant(d.book)
		if !ok {
			return
		}
		if !d.desk.WaitsFor(g.Key.Account) {
			d.book.Leave(g.Key.Account)
		}
		d.granted[g.ID] = now()
		d.peers[g.Router].peer.Send(d.message(&wirepb.Control_Grant{Grant: &wirepb.Grant{
			Id: g.ID, Account: uint32(g.Key.Account), Pool: g.Key.Pool, Urgent: g.Key.Urgent, Pinned: g.Key.Server != "",
		}}))
	}
}

func (d *admission) cancel(id uint64) {
	g, ok := d.desk.Cancel(id)
	delete(d.granted, id)
	if ok {
		d.book.Release(g.Key.Account, g.Estimate)
	}
}

// start decides whether an attempt may run.
func (d *admission) start(e startEvent) admitted {
	s := e.start
	id := attempt.ID{Request: s.Request, Attempt: s.Attempt}
	if s.Incarnation != d.agent.incarnation {
		return refuse("the attempt is meant for another start of this agent", true)
	}
	if !d.pools[s.Pool] {
		d.cancel(s.Grant)
		return refuse("this server is not in the pool", true)
	}
	if d.leaving {
		d.cancel(s.Grant)
		return refuse("this server is leaving", true)
	}
	switch b := d.registry.Begin(id, now()).(type) {
	case attempt.Fresh:
	case attempt.Revoked:
		return refuse("the attempt was revoked", false)
	case attempt.Seen:
		return admitted{unknown: "the attempt was sent twice"}
	case attempt.Full:
		return refuse("this agent remembers too many attempts", true)
	default:
		panic(fmt.Sprintf("agent: unknown answer %T", b))
	}
	reserved, ok := d.place(s)
	if !ok {
		d.registry.NotRun(id, now())
		return refuse("this server is full", true)
	}
	if a, stop := d.claim(s); stop {
		d.desk.Done()
		d.book.Release(fair.Account(s.AccountId), reserved)
		d.registry.NotRun(id, now())
		return a
	}
	d.largest = math.Max(d.largest, reserved)
	return admitted{reserved: reserved, standing: d.book.Standing(fair.Account(s.AccountId))}
}

func refuse(reason string, busy bool) admitted {
	return admitted{refused: &wirepb.NotRun{Reason: reason, Busy: busy}}
}

// place takes the granted place, or a free one when nobody waits.
func (d *admission) place(s *wirepb.Start) (reserved float64, ok bool) {
	delete(d.granted, s.Grant)
	if g, granted := d.desk.Use(s.Grant); granted {
		d.book.Release(g.Key.Account, g.Estimate)
		d.book.Reserve(fair.Account(s.AccountId), float64(s.Estimate))
		return float64(s.Estimate), true
	}
	if !d.desk.Take() {
		return 0, false
	}
	d.book.Reserve(fair.Account(s.AccountId), float64(s.Estimate))
	return float64(s.Estimate), true
}

// claim settles the caller's idempotency key, if there is one.
func (d *admission) claim(s *wirepb.Start) (admitted, bool) {
	if s.IdempotencyKey == "" {
		return admitted{}, false
	}
	id := attempt.KeyID{Account: s.AccountId, Key: s.IdempotencyKey}
	switch c := d.keys.Claim(id, s.Request, s.Attempt, now()).(type) {
	case attempt.First:
		return admitted{}, false
	case attempt.Repeat:
		return admitted{repeat: &c}, true
	case attempt.CannotTell:
		a := refuse("it cannot be told whether this idempotency key was used before", false)
		a.refused.RetryAfterMs = max(c.RetryAfter, time.Second).Milliseconds()
		return a, true
	default:
		panic(fmt.Sprintf("agent: unknown claim %T", c))
	}
}

func (d *admission) done(e doneEvent) {
	d.desk.Done()
	s := e.start
	id := attempt.ID{Request: s.Request, Attempt: s.Attempt}
	key := attempt.KeyID{Account: s.AccountId, Key: s.IdempotencyKey}
	d.book.Release(fair.Account(s.AccountId), e.reserved)
	switch o := e.outcome.(type) {
	case attempt.NotRun:
		d.registry.NotRun(id, now())
		d.keys.Release(key, s.Request)
	case attempt.Ran:
		d.registry.End(id, now())
		d.keys.Settle(key, s.Request, false)
	case attempt.Unknown:
		d.registry.End(id, now())
		d.keys.Settle(key, s.Request, true)
	default:
		panic(fmt.Sprintf("agent: unknown outcome %T", o))
	}
	before := d.limit.Health()
	switch e.verdict {
	case served:
		d.limit.Success()
	case failed:
		d.limit.Failure()
	case noVerdict:
	}
	d.healthChanged(before)
	d.applyLimit()
	d.checkDrained()
}

func (d *admission) healthChanged(before dispatch.Health) {
	after := d.limit.Health()
	if after == before {
		return
	}
	kind := explain.Degrade
	if after == dispatch.Healthy {
		kind = explain.Repair
		delete(d.since, "server")
	} else {
		d.since["server"] = now()
	}
	d.agent.record(explain.Event{Kind: kind, Text: fmt.Sprintf("server went from %s to %s", before, after)})
	d.agent.options.Log.Warn().Str("from", string(before)).Str("to", string(after)).Msg("server health changed")
}

func (d *admission) applyLimit() {
	d.desk.SetLimit(d.limit.Now())
	if d.leaving {
		d.desk.SetLimit(0)
	}
	if d.limit.Now() > 0 {
		d.book.SetSlots(float64(d.limit.Now()))
	}
}

func (d *admission) load(e loadEvent) {
	if e.slots > 0 {
		d.limit.SetMost(min(e.slots, d.agent.options.Slots))
	}
	if e.waiting > 0 {
		d.limit.Queued()
	}
	d.applyLimit()
}

func (d *admission) configure(c *config.Document) {
	limits := c.Limits.WithDefaults()
	d.book.SetLimits(float64(limits.UrgentCredit), float64(limits.DebtCap))
	for _, a := range c.Accounts {
		d.book.SetShare(fair.Account(a.ID), float64(a.Share))
	}
	d.pools = map[string]bool{}
	s := c.Server(d.agent.options.Name)
	if s != nil {
		for _, p := range s.Pools {
			d.pools[p] = true
		}
	}
	if siblings := d.siblingsIn(c); siblings != d.siblings {
		if d.siblings != "" {
			d.keys.Moved(now())
		}
		d.siblings = siblings
	}
	d.settleLeaving()
}

// siblingsIn names the servers among which the keys of this server's pools are
// divided.
func (d *admission) siblingsIn(c *config.Document) string {
	names := ""
	for _, s := range c.Servers {
		for _, p := range s.Pools {
			if d.pools[p] {
				names += p + "/" + s.Name + " "
			}
		}
	}
	return names
}

func (d *admission) drain() {
	d.settleLeaving()
	d.checkDrained()
}

// settleLeaving decides whether the server takes new work: not when its agent is
// stopping, when the configuration says so or lacks it, or when a router reads so
// in the live list.
func (d *admission) settleLeaving() {
	s := d.agent.holder.Current().Server(d.agent.options.Name)
	leaving := d.agent.draining.Load() || s == nil || s.Leaving
	for _, p := range d.peers {
		leaving = leaving || p.leaving
	}
	d.setLeaving(leaving)
	d.applyLimit()
}

func (d *admission) setLeaving(leaving bool) {
	if d.leaving == leaving {
		return
	}
	d.leaving = leaving
	kind, text := explain.Repair, "takes new work again"
	if leaving {
		kind, text = explain.Degrade, "takes no new work: leaving"
		for id := range d.granted {
			d.cancel(id)
		}
	}
	d.agent.record(explain.Event{Kind: kind, Text: text})
}

func (d *admission) checkDrained() {
	if !d.agent.draining.Load() || d.desk.Running() > 0 {
		return
	}
	select {
	case <-d.agent.drained:
	default:
		close(d.agent.drained)
	}
}

func (d *admission) tick() {
	d.ticks++
	before := d.limit.Health()
	d.limit.Tick()
	d.healthChanged(before)
	d.applyLimit()
	d.agent.jobs.expire(now())
	d.checkBound()
}

// expireGrants takes unused grants back. A router that left one unused gets no
// more until it is heard again.
func (d *admission) expireGrants() {
	for id, at := range d.granted {
		if now().Sub(at) <= grantTime {
			continue
		}
		if g, ok := d.desk.Grantee(id); ok && d.desk.SetSilent(g, true) {
			d.agent.record(explain.Event{Kind: explain.Degrade, Text: g + " left a grant unused: no more until it is heard"})
			d.settleWaits()
			d.peers[g].peer.Send(d.message(&wirepb.Control_Ping{Ping: &wirepb.Ping{Sent: now().UnixNano()}}))
		}
		d.cancel(id)
	}
}

// heard notes that a router spoke.
func (d *admission) heard(router string) {
	if !d.desk.SetSilent(router, false) {
		return
	}
	d.agent.record(explain.Event{Kind: explain.Repair, Text: router + " is heard again"})
	for _, a := range d.agent.holder.Current().Accounts {
		if id := fair.Account(a.ID); d.desk.WaitsFor(id) {
			d.book.Arrive(id)
		}
	}
}

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
	r := &wirepb.Report{Sequence: sequence, Counters: wire.Counters(totals)}
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
	return wire.Control(d.agent.holder.Revision(), body)
}
