package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/peer"
)

// These tests guard against a restored store that lacks recent writes. If a list of it is taken as
// complete, a server that has reported that it is leaving becomes ready again in all views until it
// writes its entry again, about two seconds later, and gets new requests in the meantime.

// testServer is a lifetime that takes work; testServerLeaving is the same one, leaving.
func testServer() catalog.Server { return lifetime("i-1", 5) }

func testServerLeaving() catalog.Server {
	s := testServer()
	s.Leaving = true
	return s
}

func (g *Gateway) availableServers() []string {
	var list []string
	for _, s := range g.view.Load().Servers {
		if !s.Leaving {
			list = append(list, s.ID)
		}
	}
	return list
}

// TestRestoredStoreIsOlder tests the view after a restore of the store: at once, after a write, and
// after the reconciliation.
func TestRestoredStoreIsOlder(t *testing.T) {
	before, after := catalog.NewRevision(1, 90), catalog.NewRevision(2, 80)
	other := lifetime("i-2", 6)
	removed := sourceResult{since: before - 1, revision: before, changes: []Change{ServerRemoved{"i-1"}}}
	write := func(c Change) []sourceResult {
		return []sourceResult{{since: after, revision: after + 1, changes: []Change{c}}}
	}
	tests := []struct {
		name               string
		known              []sourceResult // in the era before; the last one has revision before
		restored           sourceResult
		then               []sourceResult
		atOnce, later, end []string // servers that take work: after the restore, after the writes in then, and after the reconciliation
	}{
		{"leaving server is listed as ready", []sourceResult{listResult(before, 1, testServerLeaving(), other)}, listResult(after, 1, testServer(), other),
			nil, []string{"i-2@6"}, nil, []string{"i-2@6"}},
		{"leaving server is listed as ready twice", []sourceResult{listResult(before, 1, testServerLeaving(), other)}, listResult(after, 1, testServer(), other),
			[]sourceResult{listResult(after+1, 1, testServer(), other)}, []string{"i-2@6"}, []string{"i-2@6"}, []string{"i-2@6"}},
		{"leaving server is not listed", []sourceResult{listResult(before, 1, testServerLeaving(), other)}, listResult(after, 1, other),
			write(ServerChanged{Server: testServerLeaving()}), []string{"i-2@6"}, []string{"i-2@6"}, []string{"i-2@6"}},
		{"leaving server becomes ready", []sourceResult{listResult(before, 1, testServerLeaving(), other)}, listResult(after, 1, testServer(), other),
			write(ServerChanged{Server: testServer()}), []string{"i-2@6"}, []string{"i-1@5", "i-2@6"}, []string{"i-1@5", "i-2@6"}},
		{"removed leaving server is listed as ready", []sourceResult{listResult(before-1, 1, testServerLeaving(), other), removed}, listResult(after, 1, testServer(), other),
			nil, []string{"i-2@6"}, nil, []string{"i-2@6"}},
		{"server is not listed", []sourceResult{listResult(before, 1, testServer(), other)}, listResult(after, 1, other),
			nil, []string{"i-1@5", "i-2@6"}, nil, []string{"i-2@6"}},
		{"server is not listed and writes again", []sourceResult{listResult(before, 1, testServer(), other)}, listResult(after, 1, other),
			write(ServerChanged{Server: testServer()}), []string{"i-1@5", "i-2@6"}, []string{"i-1@5", "i-2@6"}, []string{"i-1@5", "i-2@6"}},
		{"removed server is listed", []sourceResult{listResult(before-1, 1, testServer(), other), removed}, listResult(after, 1, testServer(), other),
			nil, []string{"i-2@6"}, nil, []string{"i-1@5", "i-2@6"}},
		{"removed server is listed and removed again", []sourceResult{listResult(before-1, 1, testServer(), other), removed}, listResult(after, 1, testServer(), other),
			write(ServerRemoved{"i-1"}), []string{"i-2@6"}, []string{"i-2@6"}, []string{"i-2@6"}},
		{"removed server is listed and writes again", []sourceResult{listResult(before-1, 1, testServer(), other), removed}, listResult(after, 1, testServer(), other),
			write(ServerChanged{Server: testServer()}), []string{"i-2@6"}, []string{"i-1@5", "i-2@6"}, []string{"i-1@5", "i-2@6"}},
		{"previous lifetime is listed", []sourceResult{listResult(before-1, 1, testServer()), {since: before - 1, revision: before, changes: []Change{ServerChanged{Server: lifetime("i-1", 3)}}}},
			listResult(after, 1, testServer()), write(ServerChanged{Server: lifetime("i-1", 3)}), []string{}, []string{"i-1@3"}, []string{"i-1@3"}},
		{"lifetime before the first known one is listed", []sourceResult{listResult(before, 1, lifetime("i-1", 3))}, listResult(after, 1, testServer()),
			write(ServerChanged{Server: lifetime("i-1", 3)}), []string{}, []string{"i-1@3"}, []string{"i-1@3"}},
		{"later lifetime is listed", []sourceResult{listResult(before, 1, testServer())}, listResult(after, 1, lifetime("i-1", 9)),
			nil, []string{}, nil, []string{"i-1@9"}},
		{"server starts during the reconciliation", []sourceResult{listResult(before, 1, testServer())}, listResult(after, 1, testServer()),
			write(ServerChanged{Server: other}), []string{"i-1@5"}, []string{"i-1@5", "i-2@6"}, []string{"i-1@5", "i-2@6"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g, now := newIdleGateway(t), time.Now()
			requireAvailable := func(want []string) {
				t.Helper()
				if want != nil {
					require.ElementsMatch(t, want, g.availableServers())
				}
			}
			for _, a := range test.known {
				g.storeWatcher.applyResult(now, a)
			}
			g.storeWatcher.applyResult(now, test.restored)
			requireAvailable(test.atOnce)
			now = now.Add(time.Second)
			for _, a := range test.then {
				g.storeWatcher.applyResult(now, a)
			}
			requireAvailable(test.later)
			now = now.Add(reconcilePeriod)
			g.storeWatcher.expireMissing(now)
			requireAvailable(test.end)
			require.True(t, g.view.Load().ReconcileUntil.IsZero())
		})
	}
}

// TestRestoreKeepsNewerConfiguration: an older configuration, from the store or a peer, does not
// replace a newer one, and a gateway with an older configuration takes the newer one of a peer that
// knows no later revision.
func TestRestoreKeepsNewerConfiguration(t *testing.T) {
	now := time.Now()
	before, after := catalog.NewRevision(1, 90), catalog.NewRevision(2, 80)
	longRunning, started := newIdleGateway(t), newIdleGateway(t)
	longRunning.storeWatcher.applyResult(now, listResult(before, 7, testServer()))
	started.storeWatcher.applyResult(now, listResult(after+1, 5, testServer()))
	require.Equal(t, uint64(5), started.view.Load().Configuration.Version)
	longRunning.storeWatcher.applyResult(now, listResult(after, 5, testServer()))
	require.Equal(t, uint64(7), longRunning.view.Load().Configuration.Version)
	transferView(t, now, started, longRunning, unchanged)
	require.Equal(t, uint64(7), longRunning.view.Load().Configuration.Version)

	r := updateReceiver{gateway: started, halls: map[string]string{}, withoutStore: map[string]bool{}, fetched: make(chan struct{}, 1)}
	for range 4 {
		now = now.Add(handoverDelay / 2)
		r.handle(t.Context(), now, peer.Update{From: "127.0.0.9", Hall: "other", Alive: true, StoreRevision: after, ConfigurationVersion: 7})
	}
	require.True(t, r.fetching, "the peer knows a newer configuration")
	<-r.fetched
	transferView(t, now, longRunning, started, func(d *viewDocument) { require.True(t, d.Partial, "only the configuration is sent") })
	require.Equal(t, uint64(7), started.view.Load().Configuration.Version)
	require.Equal(t, after+1, started.view.Load().Revision)
}

// TestPeerViewOfRestoredStore: a gateway that has started after a restore hands over the view of
// the older backup.
func TestPeerViewOfRestoredStore(t *testing.T) {
	before, after := catalog.NewRevision(1, 90), catalog.NewRevision(2, 80)
	other := lifetime("i-2", 6)
	for _, known := range []catalog.Revision{before, after} { // revision known to the receiving gateway
		now := time.Now()
		longRunning, started := newIdleGateway(t), newIdleGateway(t)
		longRunning.storeWatcher.applyResult(now, listResult(before, 7, testServerLeaving(), other))
		if known == after {
			longRunning.storeWatcher.applyResult(now, listResult(after, 5, testServer()))
		}
		started.storeWatcher.applyResult(now, listResult(after+1, 5, testServer()))
		transferView(t, now, started, longRunning, unchanged)
		require.Equal(t, after+1, longRunning.view.Load().Revision)
		require.Equal(t, []string{"i-2@6"}, longRunning.availableServers(), "i-1 is leaving, i-2 is not in the backup")
		longRunning.storeWatcher.expireMissing(now.Add(reconcilePeriod + time.Millisecond))
		require.Empty(t, longRunning.availableServers(), "i-2 was not written again")
	}
}

// TestReconciledViewReplacesOlder: a gateway that was cut off takes the view of a peer that has
// finished the reconciliation, and drops what that view lacks.
func TestReconciledViewReplacesOlder(t *testing.T) {
	now := time.Now()
	partitioned, longRunning := newIdleGateway(t), newIdleGateway(t)
	for _, g := range []*Gateway{partitioned, longRunning} {
		g.storeWatcher.applyResult(now, listResult(catalog.NewRevision(1, 90), 1, testServer(), lifetime("i-2", 6)))
	}
	longRunning.storeWatcher.applyResult(now, listResult(catalog.NewRevision(3, 9), 1, testServer()))
	now = now.Add(reconcilePeriod + time.Millisecond)
	longRunning.storeWatcher.expireMissing(now)
	transferView(t, now, longRunning, partitioned, unchanged)
	require.Equal(t, []string{"i-1@5"}, partitioned.availableServers())
}

// TestEvacuationAfterRestore: a hall whose evacuation the backup lacks stays evacuated until the
// end of the reconciliation, and after that only if the operators have ordered it again.
func TestEvacuationAfterRestore(t *testing.T) {
	before, after := catalog.NewRevision(1, 90), catalog.NewRevision(2, 80)
	for _, rewritten := range []bool{true, false} {
		now := time.Now()
		g := newIdleGateway(t)
		first := listResult(before, 1, testServer())
		first.snapshot.Evacuated = map[string]catalog.Revision{"": before - 4}
		g.storeWatcher.applyResult(now, first)
		g.storeWatcher.applyResult(now, listResult(after, 1, testServer()))
		require.True(t, g.view.Load().Servers[0].Evacuated)
		if rewritten {
			g.storeWatcher.applyResult(now, sourceResult{since: after, revision: after + 1, changes: []Change{HallEvacuated{Revision: after + 1}}})
		}
		g.storeWatcher.expireMissing(now.Add(reconcilePeriod + time.Millisecond))
		require.Equal(t, rewritten, g.view.Load().Servers[0].Evacuated)
	}
}

// TestLateReportOfLostEvacuation: a gateway that has finished the reconciliation hears of a lost
// evacuation from a peer that has not, and reverts it as well.
func TestLateReportOfLostEvacuation(t *testing.T) {
	before, after := catalog.NewRevision(1, 90), catalog.NewRevision(2, 80)
	now := time.Now()
	early, late := newIdleGateway(t), newIdleGateway(t)
	early.storeWatcher.applyResult(now, listResult(before, 1, testServer()))
	early.storeWatcher.applyResult(now, listResult(after, 1, testServer()))
	first := listResult(before, 1, testServer())
	first.snapshot.Evacuated = map[string]catalog.Revision{"": before - 4}
	late.storeWatcher.applyResult(now, first)
	now = now.Add(reconcilePeriod + time.Millisecond)
	early.storeWatcher.expireMissing(now)
	late.storeWatcher.applyResult(now, listResult(after, 1, testServer()))
	late.storeWatcher.applyResult(now, sourceResult{since: after, revision: after + 1, changes: []Change{ServerChanged{Server: testServer()}}})
	transferView(t, now, late, early, unchanged)
	early.storeWatcher.expireMissing(now)
	require.False(t, early.view.Load().Servers[0].Evacuated)
}

// TestNoClaimsWhileReconciling: a server that appears during reconciliation may have been there, and
// been claimed, before the restore.
func TestNoClaimsWhileReconciling(t *testing.T) {
	before, after := catalog.NewRevision(1, 90), catalog.NewRevision(2, 80)
	now := time.Now()
	g := newIdleGateway(t)
	g.storeWatcher.applyResult(now, listResult(before, 1))
	g.storeWatcher.applyResult(now, listResult(after, 1))
	appears := func(id string, at catalog.Revision) coldState {
		g.storeWatcher.applyResult(now, sourceResult{since: at - 1, revision: at, changes: []Change{ServerChanged{Server: lifetime(id, 1), Cold: time.Second}}})
		return g.view.Load().Cold[id+"@1"]
	}
	require.False(t, appears("i-1", after+1).StartObserved)
	now = now.Add(reconcilePeriod + time.Millisecond)
	g.storeWatcher.expireMissing(now)
	later := appears("i-2", after+2)
	require.True(t, later.StartObserved)
	require.Equal(t, uint64(2), later.Episode.Era())
}
