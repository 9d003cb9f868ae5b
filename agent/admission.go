package agent

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"opalbridge.dev/attempt"
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
	book     *fair.Tracker
	desk     *dispatch.Scheduler
	limit    *dispatch.ConcurrencyLimit
	registry *attempt.Registry
	keys     *attempt.KeyStore
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
		book:     fair.NewTracker(fair.Options{Slots: float64(a.options.Slots), Policy: a.options.Policy}),
		desk:     dispatch.NewScheduler(0),
		limit:    dispatch.NewConcurrencyLimit(a.options.Slots),
		registry: attempt.NewRegistry(attemptWindow, attemptsKept),
		keys:     attempt.NewKeyStore(KeyWindow, keysKept, now()),
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
	if !d.leaving && d.desk.HasFreeSlot() && d.desk.Waiting() > 0 {
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
			d.book.CapDebts()
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
		d.book.Release(g.Class.Account, g.Estimate)
	}
	d.settleWaits()
}

// settleWaits tells the book which accounts wait here no more.
func (d *admission) settleWaits() {
	for _, a := range d.agent.holder.Current().Accounts {
		if id := fair.Account(a.ID); !d.desk.HasWaiting(id) {
			d.book.StopWaiting(id)
		}
	}
}

func (d *admission) want(e wantEvent) {
	s := d.peers[e.peer.Hello.Node]
	if s == nil || s.peer != e.peer || !d.pools[e.key.Pool] {
		return
	}
	before := d.desk.HasWaiting(e.key.Account)
	d.desk.SetDemand(e.peer.Hello.Node, e.key, e.count, e.estimate)
	after := d.desk.HasWaiting(e.key.Account)
	switch {
	case after && !before:
		d.book.StartWaiting(e.key.Account)
	case before && !after:
		d.book.StopWaiting(e.key.Account)
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
		if !d.desk.HasWaiting(g.Class.Account) {
			d.book.StopWaiting(g.Class.Account)
		}
		d.granted[g.ID] = now()
		d.peers[g.Router].peer.Send(d.message(&wirepb.Control_Grant{Grant: &wirepb.Grant{
			Id: g.ID, Account: uint32(g.Class.Account), Pool: g.Class.Pool, Urgent: g.Class.Urgent, Pinned: g.Class.Server != "",
		}}))
	}
}

func (d *admission) cancel(id uint64) {
	g, ok := d.desk.Cancel(id)
	delete(d.granted, id)
	if ok {
		d.book.Release(g.Class.Account, g.Estimate)
	}
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
	d.desk.SetLimit(d.limit.Current())
	if d.leaving {
		d.desk.SetLimit(0)
	}
	if d.limit.Current() > 0 {
		d.book.SetSlots(float64(d.limit.Current()))
	}
}

func (d *admission) load(e loadEvent) {
	if e.slots > 0 {
		d.limit.SetMax(min(e.slots, d.agent.options.Slots))
	}
	if e.waiting > 0 {
		d.limit.OnServerQueueing()
	}
	d.applyLimit()
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
		if g, ok := d.desk.GrantHolder(id); ok && d.desk.SetUnresponsive(g, true) {
			d.agent.record(explain.Event{Kind: explain.Degrade, Text: g + " left a grant unused: no more until it is heard"})
			d.settleWaits()
			d.peers[g].peer.Send(d.message(&wirepb.Control_Ping{Ping: &wirepb.Ping{Sent: now().UnixNano()}}))
		}
		d.cancel(id)
	}
}

// heard notes that a router spoke.
func (d *admission) heard(router string) {
	if !d.desk.SetUnresponsive(router, false) {
		return
	}
	d.agent.record(explain.Event{Kind: explain.Repair, Text: router + " is heard again"})
	for _, a := range d.agent.holder.Current().Accounts {
		if id := fair.Account(a.ID); d.desk.HasWaiting(id) {
			d.book.StartWaiting(id)
		}
	}
}
