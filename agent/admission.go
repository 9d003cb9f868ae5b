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

// admission is the agent's admission controller. It owns the slots, the service
// counters and the registry of attempts; only the goroutine of run accesses them.
type admission struct {
	agent              *Agent
	tracker            *fair.Tracker
	scheduler          *dispatch.Scheduler
	limit              *dispatch.ConcurrencyLimit
	registry           *attempt.Registry
	keys               *attempt.KeyStore
	peers              map[string]*peerState // by router name
	grantedAt          map[uint64]time.Time  // when each unused grant was issued
	pools              map[string]bool       // pools of this server
	poolMembers        string                // all servers of these pools; a change may move idempotency keys
	largestReservation float64
	leaving            bool
	sentLoad           wirepb.Load // the last load sent to the routers
	ticks              int         // seconds since the start

	degradedSince  map[string]time.Time // by degraded component
	serviceRate    rateEstimator
	totalsMergedAt time.Time // when the totals in use were received
}

// peerState is what the agent knows about a connected router.
type peerState struct {
	peer    *wire.Peer
	summing bool // the router sums the service counters of the agents
	leaving bool // its live list says that this host is leaving
}

const (
	// grantTimeout is how long a grant may stay unused before it is canceled.
	grantTimeout       = 500 * time.Millisecond
	tickInterval       = time.Second
	grantCheckInterval = 250 * time.Millisecond
	// A report lists every account, not only the changed ones, when ticks is a
	// multiple of fullReportTicks.
	fullReportTicks = 30
)

func newAdmission(a *Agent) *admission {
	return &admission{
		agent:         a,
		tracker:       fair.NewTracker(fair.Options{Slots: float64(a.options.Slots), Policy: a.options.Policy}),
		scheduler:     dispatch.NewScheduler(0),
		limit:         dispatch.NewConcurrencyLimit(a.options.Slots),
		registry:      attempt.NewRegistry(attemptWindow, maxAttempts),
		keys:          attempt.NewKeyStore(KeyWindow, maxKeys, now()),
		peers:         map[string]*peerState{},
		grantedAt:     map[uint64]time.Time{},
		pools:         map[string]bool{},
		degradedSince: map[string]time.Time{},
	}
}

func (d *admission) run(ctx context.Context) {
	defer close(d.agent.stopped)
	report := time.NewTicker(d.agent.options.Interval)
	defer report.Stop()
	second := time.NewTicker(tickInterval)
	defer second.Stop()
	grants := time.NewTicker(grantCheckInterval)
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
		d.issueGrants()
		d.assertWorkConserving()
		d.sendLoad()
	}
}

// assertWorkConserving panics if a slot is free while a request waits that could
// use it. It holds after every event, because grants are issued before the next
// event is handled.
func (d *admission) assertWorkConserving() {
	if !d.leaving && d.scheduler.HasFreeSlot() && d.scheduler.Waiting() > 0 {
		panic(errors.AssertionFailedf("agent: not work conserving: %d of %d slots in use while %d requests wait",
			d.scheduler.Running()+d.scheduler.Granted(), d.scheduler.Limit(), d.scheduler.Waiting()))
	}
}

func (d *admission) handle(e event) {
	switch e := e.(type) {
	case peerConnected:
		d.peerConnected(e.peer)
	case peerDisconnected:
		d.peerDisconnected(e.peer)
	case summingEvent:
		if s := d.peers[e.peer.Hello.Node]; s != nil && s.peer == e.peer {
			s.summing = e.on
		}
	case demandEvent:
		d.markResponsive(e.peer.Hello.Node)
		d.setDemand(e)
	case declineEvent:
		d.markResponsive(e.peer.Hello.Node)
		d.cancel(e.grant)
	case leavingEvent:
		if s := d.peers[e.peer.Hello.Node]; s != nil && s.peer == e.peer {
			s.leaving = e.leaving
			d.updateLeaving()
		}
	case pongEvent:
		d.markResponsive(e.peer.Hello.Node)
	case startEvent:
		d.markResponsive(e.peer.Hello.Node)
		e.reply <- d.start(e)
	case revokeEvent:
		e.reply <- d.registry.Revoke(e.id, now())
	case chargeEvent:
		d.tracker.Charge(e.account, e.cost, e.reserved)
	case doneEvent:
		d.done(e)
	case totalsEvent:
		if d.tracker.Merge(e.sequence, e.totals) {
			d.totalsMergedAt = now()
			d.tracker.CapDebts()
		}
	case loadEvent:
		d.applyServerLoad(e)
	case configEvent:
		d.configure(d.agent.holder.Current())
	case drainEvent:
		d.drain()
	case statusEvent:
		e.reply <- d.status()
	}
}

func (d *admission) peerConnected(p *wire.Peer) {
	if old := d.peers[p.Hello.Node]; old != nil {
		d.scheduler.DropRouter(p.Hello.Node)
	}
	d.peers[p.Hello.Node] = &peerState{peer: p}
	p.Send(d.message(&wirepb.Control_Load{Load: d.currentLoad()}))
}

func (d *admission) peerDisconnected(p *wire.Peer) {
	s := d.peers[p.Hello.Node]
	if s == nil || s.peer != p {
		return
	}
	delete(d.peers, p.Hello.Node)
	d.updateLeaving()
	for _, g := range d.scheduler.DropRouter(p.Hello.Node) {
		delete(d.grantedAt, g.ID)
		d.tracker.Release(g.Class.Account, g.Estimate)
	}
	d.updateWaiting()
}

// updateWaiting removes the accounts without waiting requests here from the
// tracker's set of waiting accounts.
func (d *admission) updateWaiting() {
	for _, a := range d.agent.holder.Current().Accounts {
		if id := fair.Account(a.ID); !d.scheduler.HasWaiting(id) {
			d.tracker.StopWaiting(id)
		}
	}
}

func (d *admission) setDemand(e demandEvent) {
	s := d.peers[e.peer.Hello.Node]
	if s == nil || s.peer != e.peer || !d.pools[e.class.Pool] {
		return
	}
	before := d.scheduler.HasWaiting(e.class.Account)
	d.scheduler.SetDemand(e.peer.Hello.Node, e.class, e.count, e.estimate)
	after := d.scheduler.HasWaiting(e.class.Account)
	switch {
	case after && !before:
		d.tracker.StartWaiting(e.class.Account)
	case before && !after:
		d.tracker.StopWaiting(e.class.Account)
	}
}

// issueGrants grants every free slot for which a request waits.
func (d *admission) issueGrants() {
	if d.leaving {
		return
	}
	for {
		g, ok := d.scheduler.Grant(d.tracker)
		if !ok {
			return
		}
		if !d.scheduler.HasWaiting(g.Class.Account) {
			d.tracker.StopWaiting(g.Class.Account)
		}
		d.grantedAt[g.ID] = now()
		d.peers[g.Router].peer.Send(d.message(&wirepb.Control_Grant{Grant: &wirepb.Grant{
			Id: g.ID, Account: uint32(g.Class.Account), Pool: g.Class.Pool, Urgent: g.Class.Urgent, Pinned: g.Class.Server != "",
		}}))
	}
}

func (d *admission) cancel(id uint64) {
	g, ok := d.scheduler.Cancel(id)
	delete(d.grantedAt, id)
	if ok {
		d.tracker.Release(g.Class.Account, g.Estimate)
	}
}

func (d *admission) reportHealthChange(before dispatch.Health) {
	after := d.limit.Health()
	if after == before {
		return
	}
	kind := explain.Degrade
	if after == dispatch.Healthy {
		kind = explain.Repair
		delete(d.degradedSince, "server")
	} else {
		d.degradedSince["server"] = now()
	}
	d.agent.record(explain.Event{Kind: kind, Text: fmt.Sprintf("server went from %s to %s", before, after)})
	d.agent.options.Log.Warn().Str("from", string(before)).Str("to", string(after)).Msg("server health changed")
}

func (d *admission) applyLimit() {
	d.scheduler.SetLimit(d.limit.Current())
	if d.leaving {
		d.scheduler.SetLimit(0)
	}
	if d.limit.Current() > 0 {
		d.tracker.SetSlots(float64(d.limit.Current()))
	}
}

func (d *admission) applyServerLoad(e loadEvent) {
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
	d.reportHealthChange(before)
	d.applyLimit()
	d.agent.jobs.expire(now())
	d.checkBound()
}

// expireGrants cancels grants that were not used in time. A router that let one
// expire gets no more grants until it sends a message.
func (d *admission) expireGrants() {
	for id, at := range d.grantedAt {
		if now().Sub(at) <= grantTimeout {
			continue
		}
		if g, ok := d.scheduler.GrantHolder(id); ok && d.scheduler.SetUnresponsive(g, true) {
			d.agent.record(explain.Event{Kind: explain.Degrade, Text: g + " left a grant unused: no more until it is heard"})
			d.updateWaiting()
			d.peers[g].peer.Send(d.message(&wirepb.Control_Ping{Ping: &wirepb.Ping{Sent: now().UnixNano()}}))
		}
		d.cancel(id)
	}
}

// markResponsive records a message from a router, which makes the router eligible
// for grants again if one of its grants had expired.
func (d *admission) markResponsive(router string) {
	if !d.scheduler.SetUnresponsive(router, false) {
		return
	}
	d.agent.record(explain.Event{Kind: explain.Repair, Text: router + " is heard again"})
	for _, a := range d.agent.holder.Current().Accounts {
		if id := fair.Account(a.ID); d.scheduler.HasWaiting(id) {
			d.tracker.StartWaiting(id)
		}
	}
}
