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

// testOrder returns an order for the test service with the given store revision.
func testOrder(revision catalog.Revision) rollout.Order {
	return rollout.Order{Service: "s", Target: "v2", Duration: 10 * time.Second, Revision: revision}
}

// TestRolloutTracking checks that a gateway learns of a rollout and its age from each
// source, and drops an order that was withdrawn or that a restored store has lost.
func TestRolloutTracking(t *testing.T) {
	now := time.Now()
	old, later := catalog.NewRevision(1, 9), catalog.NewRevision(2, 4)
	first := listResult(old, 1, readyServer("i-1"))
	first.snapshot.RolloutOrders = map[string]rollout.Order{"s": testOrder(old)}
	within := func(revision catalog.Revision) sourceResult {
		a := listResult(revision, 1, readyServer("i-1"))
		a.snapshot.RolloutOrders = map[string]rollout.Order{"s": testOrder(revision)}
		return a
	}
	tests := []struct {
		name  string
		apply func(g *Gateway)
		want  rollout.Order
		since time.Time
	}{
		{"list", func(g *Gateway) {}, testOrder(old), now},
		{"order repeated", func(g *Gateway) {
			g.storeWatcher.applyResult(now.Add(time.Second), sourceResult{since: old, revision: old + 1, changes: []Change{RolloutOrdered{testOrder(old)}}})
		}, testOrder(old), now},
		{"new order", func(g *Gateway) {
			g.storeWatcher.applyResult(now.Add(time.Second), sourceResult{since: old, revision: old + 1, changes: []Change{RolloutOrdered{testOrder(old + 1)}}})
		}, testOrder(old + 1), now.Add(time.Second)},
		{"withdrawn", func(g *Gateway) {
			g.storeWatcher.applyResult(now, sourceResult{since: old, revision: old + 1, changes: []Change{RolloutWithdrawn{"s"}}})
		}, rollout.Order{}, time.Time{}},
		{"missing in a later list", func(g *Gateway) {
			g.storeWatcher.applyResult(now.Add(reconcilePeriod+time.Second), listResult(old+5, 1, readyServer("i-1")))
		}, rollout.Order{}, time.Time{}},
		{"store restored from a backup that has it", func(g *Gateway) {
			g.storeWatcher.applyResult(now.Add(time.Second), within(later))
		}, testOrder(later), now},
		{"restored from a backup that lacks it, not written again", func(g *Gateway) {
			g.storeWatcher.applyResult(now, listResult(later, 1, readyServer("i-1")))
			require.Equal(t, testOrder(old), g.view.Load().Rollouts["s"].Order, "kept while the store is reconciled")
			g.storeWatcher.expireMissing(now.Add(reconcilePeriod + time.Second))
		}, rollout.Order{}, time.Time{}},
		{"restored from a backup that lacks it, written again", func(g *Gateway) {
			g.storeWatcher.applyResult(now, listResult(later, 1, readyServer("i-1")))
			g.storeWatcher.applyResult(now.Add(time.Second), sourceResult{since: later, revision: later + 1, changes: []Change{RolloutOrdered{testOrder(later + 1)}}})
			g.storeWatcher.expireMissing(now.Add(reconcilePeriod + time.Second))
		}, testOrder(later + 1), now.Add(time.Second)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := newIdleGateway(t)
			g.storeWatcher.applyResult(now, first)
			test.apply(g)
			known := g.view.Load().Rollouts["s"]
			require.Equal(t, test.want, known.Order)
			if test.want != (rollout.Order{}) {
				require.Equal(t, test.since, known.Since)
			}
		})
	}
}

// TestRolloutHandover checks that rollouts are handed over with their age and status.
func TestRolloutHandover(t *testing.T) {
	now := time.Now()
	from, to := newIdleGateway(t), newIdleGateway(t)
	a := listResult(9, 1, readyServer("i-1"))
	a.snapshot.RolloutOrders = map[string]rollout.Order{"s": testOrder(7)}
	a.snapshot.RolloutStatuses = map[string]rollout.Status{"s": {State: rollout.InProgress, Target: "v2", Revision: 8}}
	from.storeWatcher.applyResult(now, a)
	later := now.Add(3 * time.Second)
	d := from.view.Load().document(later)
	to.storeWatcher.applyPeerView(later, d.peerView(later))
	known := to.view.Load().Rollouts["s"]
	require.Equal(t, testOrder(7), known.Order)
	require.WithinDuration(t, now, known.Since, time.Millisecond)
	require.Equal(t, rollout.InProgress, known.Status.StateFor(known.Order))
	from.storeWatcher.applyResult(later, sourceResult{since: 9, revision: 10, changes: []Change{RolloutWithdrawn{"s"}, RolloutStatusChanged{Service: "s"}}})
	d, ok := from.view.Load().changes(later, 9, 1)
	require.True(t, ok)
	to.storeWatcher.applyPeerView(later, d.peerView(later))
	require.Empty(t, to.view.Load().Rollouts)
}

// newRolloutDispatcher returns a dispatcher with five servers of each version and a
// rollout.
func newRolloutDispatcher(t *testing.T, now time.Time, o rolloutRecord) *dispatcher {
	d := newTestDispatcher(t, now, 10)
	d.viewFresh = func(time.Time) bool { return true }
	v := *d.view
	v.Servers = append([]catalog.Server(nil), v.Servers...)
	for i := range v.Servers {
		v.Servers[i].Version = fmt.Sprintf("v%d", 1+i/5)
	}
	v.Rollouts = map[string]rolloutRecord{"s": o}
	d.setView(now, &v)
	d.advanceRollouts(now)
	return d
}

// countVersions sends requests and counts which versions they go to.
func (d *dispatcher) countVersions(now time.Time, requests int) (baseline, target int) {
	for range requests {
		reply, _ := d.placeRequest(now, "", func(a *placement.Request) { a.PromptTokens, a.Objective = 10, 0 })
		assign := (<-reply).(placement.Assign)
		if assign.Server.Version == "v2" {
			target++
		} else {
			baseline++
		}
		d.recordEnd(now, attemptEnded{attemptID: assign.ID, server: assign.Server.ID, end: placement.Served, status: 200})
	}
	return baseline, target
}

// TestVersionSplit checks which version gets requests in each state of a rollout.
func TestVersionSplit(t *testing.T) {
	now := time.Now()
	status := func(s rollout.State) rollout.Status {
		return rollout.Status{State: s, Target: "v2", Revision: 8}
	}
	tests := []struct {
		name             string
		known            rolloutRecord
		change           func(d *dispatcher)
		baseline, target int // out of 1,000
	}{
		{"ordered", rolloutRecord{Order: testOrder(7), Since: now}, nil, 950, 50},
		{"in progress", rolloutRecord{Order: testOrder(7), Since: now, Status: status(rollout.InProgress)}, nil, 950, 50},
		{"rolled back", rolloutRecord{Order: testOrder(7), Since: now, Status: status(rollout.RolledBack)}, nil, 1000, 0},
		{"rolled back and order withdrawn", rolloutRecord{Status: status(rollout.RolledBack)}, nil, 1000, 0},
		{"earlier order rolled back", rolloutRecord{Order: testOrder(9), Since: now, Status: status(rollout.RolledBack)}, nil, 950, 50},
		{"view is not fresh", rolloutRecord{Order: testOrder(7), Since: now}, func(d *dispatcher) { d.viewFresh = func(time.Time) bool { return false } }, 1000, 0},
		{"reverted by another gateway", rolloutRecord{Order: testOrder(7), Since: now}, func(d *dispatcher) {
			r := rollout.New(testOrder(7), now)
			r.Revert()
			report, _ := encodeReport(now, r)
			d.applyUpdate(now, peer.Update{From: "b", Alive: true, Rollouts: []*peerpb.Rollout{report}})
		}, 1000, 0},
		{"complete", rolloutRecord{Order: testOrder(7), Since: now, Status: status(rollout.InProgress)}, func(d *dispatcher) {
			d.applyStatusWritten(now, rolloutStatusWritten{service: "s", status: rollout.Status{State: rollout.Complete, Target: "v2", Revision: 9}})
		}, 0, 1000},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := newRolloutDispatcher(t, now, test.known)
			if test.change != nil {
				test.change(d)
			}
			d.advanceRollouts(now)
			baseline, target := d.countVersions(now, 1000)
			require.Equal(t, [2]int{test.baseline, test.target}, [2]int{baseline, target})
		})
	}
}

// TestStreamsGoOnDuringRollout checks at which version a stream may go on in each state of a
// rollout.
func TestStreamsGoOnDuringRollout(t *testing.T) {
	now := time.Now()
	status := func(s rollout.State) rollout.Status {
		return rollout.Status{State: s, Target: "v2", Revision: 8}
	}
	inProgress := rolloutRecord{Order: testOrder(7), Since: now, Status: status(rollout.InProgress)}
	tests := []struct {
		name             string
		known            rolloutRecord
		change           func(d *dispatcher)
		baseline, target bool // a stream of that version goes on
	}{
		{"canary", inProgress, nil, true, true},
		{"view is not fresh", inProgress, func(d *dispatcher) { d.viewFresh = func(time.Time) bool { return false } }, true, false},
		{"all requests go to the target", inProgress, func(d *dispatcher) {
			for at := now; at.Before(now.Add(9 * time.Second)); at = at.Add(50 * time.Millisecond) {
				d.countVersions(at, 20)
				d.advanceRollouts(at)
			}
			require.Equal(t, rollout.Full, d.rollouts["s"].rollout.Stage())
		}, true, true},
		{"complete", inProgress, func(d *dispatcher) {
			d.applyStatusWritten(now, rolloutStatusWritten{service: "s", status: rollout.Status{State: rollout.Complete, Target: "v2", Revision: 9}})
		}, false, true},
		{"rolled back", rolloutRecord{Order: testOrder(7), Since: now, Status: status(rollout.RolledBack)}, nil, true, false},
		{"reverted by this gateway", inProgress, func(d *dispatcher) { d.rollouts["s"].rollout.Revert() }, true, false},
		{"no order", rolloutRecord{}, nil, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := newRolloutDispatcher(t, now, test.known)
			if test.change != nil {
				test.change(d)
			}
			d.advanceRollouts(now)
			for _, version := range []string{"v1", "v2"} {
				reply, _ := d.placeRequest(now, "", func(a *placement.Request) {
					a.PromptTokens, a.Objective, a.Pinned, a.Version = 10, 0, true, version
				})
				assign, ok := (<-reply).(placement.Assign)
				require.Equal(t, map[string]bool{"v1": test.baseline, "v2": test.target}[version], ok, version)
				if ok {
					require.Equal(t, version, assign.Server.Version)
				}
			}
		})
	}
}

// TestCompleteWaitsForOtherGateways checks that a rollout is not reported as complete while
// another gateway has a request at a server of the old version: the operators would stop
// that server.
func TestCompleteWaitsForOtherGateways(t *testing.T) {
	now := time.Now()
	writes := make(chan rolloutStatusWrite, statusQueueSize)
	d := newRolloutDispatcher(t, now, rolloutRecord{Order: testOrder(7), Since: now, Status: rollout.Status{State: rollout.InProgress, Target: "v2", Revision: 8}})
	d.statusWrites = writes
	d.applyUpdate(now, peer.Update{From: "b", Alive: true, Full: true, Running: map[uint64]int{hashString("i-0"): 1}})
	step := func(until time.Duration) {
		for end := now.Add(until); now.Before(end); now = now.Add(50 * time.Millisecond) {
			d.countVersions(now, 20)
			d.advanceRollouts(now)
		}
	}
	step(9 * time.Second)
	require.Equal(t, rollout.Full, d.rollouts["s"].rollout.Stage())
	require.Empty(t, writes)
	d.applyUpdate(now, peer.Update{From: "b", Alive: true, Full: true, Running: map[uint64]int{}})
	step(3 * minBaselineIdle)
	require.Equal(t, rolloutStatusWrite{"s", rollout.Status{State: rollout.Complete, Target: "v2", Revision: 8}}, <-writes)
}
