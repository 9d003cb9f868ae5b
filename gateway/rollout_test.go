package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/peer"
	"opalbridge.dev/gateway/peer/peerpb"
	"opalbridge.dev/gateway/placement"
	"opalbridge.dev/gateway/rollout"
)

// orderOf is an order of the tests' service, as it stands at a revision.
func orderOf(revision catalog.Revision) rollout.Order {
	return rollout.Order{Service: "s", Target: "v2", Duration: 10 * time.Second, Revision: revision}
}

// TestRolloutsAreKnown: a gateway knows of a roll-out and its age however it hears of it, and an
// order that is taken back, or that a copy of the store has lost, is one no more.
func TestRolloutsAreKnown(t *testing.T) {
	now := time.Now()
	old, later := catalog.NewRevision(1, 9), catalog.NewRevision(2, 4)
	first := listResult(old, 1, readyServer("i-1"))
	first.snapshot.RolloutOrders = map[string]rollout.Order{"s": orderOf(old)}
	within := func(revision catalog.Revision) sourceResult {
		a := listResult(revision, 1, readyServer("i-1"))
		a.snapshot.RolloutOrders = map[string]rollout.Order{"s": orderOf(revision)}
		return a
	}
	tests := []struct {
		name  string
		hear  func(g *Gateway)
		want  rollout.Order
		since time.Time
	}{
		{"by a list", func(g *Gateway) {}, orderOf(old), now},
		{"once more", func(g *Gateway) {
			g.storeWatcher.applyResult(now.Add(time.Second), sourceResult{since: old, revision: old + 1, changes: []Change{RolloutOrdered{orderOf(old)}}})
		}, orderOf(old), now},
		{"another one", func(g *Gateway) {
			g.storeWatcher.applyResult(now.Add(time.Second), sourceResult{since: old, revision: old + 1, changes: []Change{RolloutOrdered{orderOf(old + 1)}}})
		}, orderOf(old + 1), now.Add(time.Second)},
		{"taken back", func(g *Gateway) {
			g.storeWatcher.applyResult(now, sourceResult{since: old, revision: old + 1, changes: []Change{RolloutWithdrawn{"s"}}})
		}, rollout.Order{}, time.Time{}},
		{"the list does not have it any more", func(g *Gateway) {
			g.storeWatcher.applyResult(now.Add(reconcilePeriod+time.Second), listResult(old+5, 1, readyServer("i-1")))
		}, rollout.Order{}, time.Time{}},
		{"the store has come back from a copy that has it", func(g *Gateway) {
			g.storeWatcher.applyResult(now.Add(time.Second), within(later))
		}, orderOf(later), now},
		{"from one that lacks it, and operators have not written it again", func(g *Gateway) {
			g.storeWatcher.applyResult(now, listResult(later, 1, readyServer("i-1")))
			require.Equal(t, orderOf(old), g.view.Load().Rollouts["s"].Order, "kept for a moment")
			g.storeWatcher.expireMissing(now.Add(reconcilePeriod + time.Second))
		}, rollout.Order{}, time.Time{}},
		{"from one that lacks it, and operators have", func(g *Gateway) {
			g.storeWatcher.applyResult(now, listResult(later, 1, readyServer("i-1")))
			g.storeWatcher.applyResult(now.Add(time.Second), sourceResult{since: later, revision: later + 1, changes: []Change{RolloutOrdered{orderOf(later + 1)}}})
			g.storeWatcher.expireMissing(now.Add(reconcilePeriod + time.Second))
		}, orderOf(later + 1), now.Add(time.Second)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := newIdleGateway(t)
			g.storeWatcher.applyResult(now, first)
			test.hear(g)
			known := g.view.Load().Rollouts["s"]
			require.Equal(t, test.want, known.Order)
			if test.want != (rollout.Order{}) {
				require.Equal(t, test.since, known.Since)
			}
		})
	}
}

// TestRolloutsAreHandedOver with their age and what the operators were told.
func TestRolloutsAreHandedOver(t *testing.T) {
	now := time.Now()
	from, to := newIdleGateway(t), newIdleGateway(t)
	a := listResult(9, 1, readyServer("i-1"))
	a.snapshot.RolloutOrders = map[string]rollout.Order{"s": orderOf(7)}
	a.snapshot.RolloutStatuses = map[string]rollout.Status{"s": {State: rollout.InProgress, Target: "v2", Revision: 8}}
	from.storeWatcher.applyResult(now, a)
	later := now.Add(3 * time.Second)
	d := from.view.Load().document(later)
	to.storeWatcher.applyPeerView(later, d.peerView(later))
	known := to.view.Load().Rollouts["s"]
	require.Equal(t, orderOf(7), known.Order)
	require.WithinDuration(t, now, known.Since, time.Millisecond)
	require.Equal(t, rollout.InProgress, known.Status.StateFor(known.Order))
	from.storeWatcher.applyResult(later, sourceResult{since: 9, revision: 10, changes: []Change{RolloutWithdrawn{"s"}, RolloutStatusChanged{Service: "s"}}})
	d, ok := from.view.Load().changes(later, 9, 1)
	require.True(t, ok)
	to.storeWatcher.applyPeerView(later, d.peerView(later))
	require.Empty(t, to.view.Load().Rollouts)
}

// versionDesk is a desk with five servers of each version and a roll-out.
func versionDesk(t *testing.T, now time.Time, o rolloutRecord) *dispatcher {
	d := newTestDispatcher(t, now, 10)
	d.viewFresh = func(time.Time) bool { return true }
	v := *d.view
	v.Servers = append([]catalog.Server(nil), v.Servers...)
	for i := range v.Servers {
		v.Servers[i].Version = fmt.Sprintf("v%d", 1+i/5)
	}
	v.Rollouts = map[string]rolloutRecord{"s": o}
	d.setView(now, &v)
	d.lookRollouts(now)
	return d
}

// got counts which versions requests go to.
func (d *dispatcher) got(now time.Time, requests int) (old, new int) {
	for range requests {
		reply, _ := d.placeRequest(now, "", func(a *placement.Request) { a.PromptTokens, a.Objective = 10, 0 })
		assign := (<-reply).(placement.Assign)
		if assign.Server.Version == "v2" {
			new++
		} else {
			old++
		}
		d.recordEnd(now, attemptEnded{ticket: assign.ID, server: assign.Server.ID, end: placement.Served, status: 200})
	}
	return old, new
}

// TestWhichVersionGetsRequests, by how far the roll-out is.
func TestWhichVersionGetsRequests(t *testing.T) {
	now := time.Now()
	status := func(s rollout.State) rollout.Status {
		return rollout.Status{State: s, Target: "v2", Revision: 8}
	}
	tests := []struct {
		name     string
		known    rolloutRecord
		change   func(d *dispatcher)
		old, new int // of 1,000
	}{
		{"ordered", rolloutRecord{Order: orderOf(7), Since: now}, nil, 950, 50},
		{"in progress", rolloutRecord{Order: orderOf(7), Since: now, Status: status(rollout.InProgress)}, nil, 950, 50},
		{"rolled back", rolloutRecord{Order: orderOf(7), Since: now, Status: status(rollout.RolledBack)}, nil, 1000, 0},
		{"rolled back, and the order withdrawn", rolloutRecord{Status: status(rollout.RolledBack)}, nil, 1000, 0},
		{"an earlier order was rolled back", rolloutRecord{Order: orderOf(9), Since: now, Status: status(rollout.RolledBack)}, nil, 950, 50},
		{"no fresh news", rolloutRecord{Order: orderOf(7), Since: now}, func(d *dispatcher) { d.viewFresh = func(time.Time) bool { return false } }, 1000, 0},
		{"another gateway has taken it back", rolloutRecord{Order: orderOf(7), Since: now}, func(d *dispatcher) {
			r := rollout.New(orderOf(7), now)
			r.TakeBack()
			told, _ := reportOf(now, r)
			d.applyUpdate(now, peer.Update{From: "b", Alive: true, Rollouts: []*peerpb.Rollout{told}})
		}, 1000, 0},
		{"complete", rolloutRecord{Order: orderOf(7), Since: now, Status: status(rollout.InProgress)}, func(d *dispatcher) {
			d.stated(now, statedMessage{service: "s", status: rollout.Status{State: rollout.Complete, Target: "v2", Revision: 9}})
		}, 0, 1000},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := versionDesk(t, now, test.known)
			if test.change != nil {
				test.change(d)
			}
			d.lookRollouts(now)
			old, new := d.got(now, 1000)
			require.Equal(t, [2]int{test.old, test.new}, [2]int{old, new})
		})
	}
}

// TestCompleteWaitsForOtherGateways: as long as any gateway has something at a server of the old
// version, the operators are not told that these may end.
func TestCompleteWaitsForOtherGateways(t *testing.T) {
	now := time.Now()
	statements := make(chan rolloutStatusWrite, statusQueueSize)
	d := versionDesk(t, now, rolloutRecord{Order: orderOf(7), Since: now, Status: rollout.Status{State: rollout.InProgress, Target: "v2", Revision: 8}})
	d.statusWrites = statements
	d.applyUpdate(now, peer.Update{From: "b", Alive: true, Full: true, Running: map[uint64]int{hashString("i-0"): 1}})
	step := func(until time.Duration) {
		for end := now.Add(until); now.Before(end); now = now.Add(50 * time.Millisecond) {
			d.got(now, 20)
			d.lookRollouts(now)
		}
	}
	step(9 * time.Second)
	require.Equal(t, rollout.Full, d.rollouts["s"].work.Stage())
	require.Empty(t, statements)
	d.applyUpdate(now, peer.Update{From: "b", Alive: true, Full: true, Running: map[uint64]int{}})
	step(3 * idleBeforeEnd)
	require.Equal(t, rolloutStatusWrite{"s", rollout.Status{State: rollout.Complete, Target: "v2", Revision: 8}}, <-statements)
}
