package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/peer"
)

// What users saw: a server said that it leaves, the store came back from a copy that did not
// have that, and the server got new requests again, more than two seconds after it had said so.
//
// The order of events: (1) the entry says that it leaves, at all gateways; (2) the copy says
// ready, and whoever lists it believes the copy, which is older than what was known; (3) two
// seconds later the server has written again.
//
// The cause: a list of the store was taken for all there is. The evidence: of two writes lost and
// six others made before anybody asked, views went back at the first list, in our own worlds (169
// late requests at three gateways).

// staying is a lifetime that takes work, and parting the same one that has said that it leaves.
func staying() catalog.Server { return lifetime("i-1", 5) }

func parting() catalog.Server {
	s := staying()
	s.Leaving = true
	return s
}

func (g *Gateway) takesWork() []string {
	var list []string
	for _, s := range g.view.Load().Servers {
		if !s.Leaving {
			list = append(list, s.ID)
		}
	}
	return list
}

// TestCopyIsOlder: what a gateway believes after the store has come back from a copy, at once,
// when something is written again, and when all has been.
func TestCopyIsOlder(t *testing.T) {
	before, after := catalog.NewRevision(1, 90), catalog.NewRevision(2, 80)
	other := lifetime("i-2", 6)
	gone := sourceResult{since: before - 1, revision: before, changes: []Change{ServerRemoved{"i-1"}}}
	again := func(c Change) []sourceResult {
		return []sourceResult{{since: after, revision: after + 1, changes: []Change{c}}}
	}
	tests := []struct {
		name               string
		known              []sourceResult // of the era before; the last one is of revision before
		copy               sourceResult
		then               []sourceResult
		atOnce, later, end []string // that take work: after the copy, after what was written then, and when settled
	}{
		{"it says that a leaving server is ready", []sourceResult{listResult(before, 1, parting(), other)}, listResult(after, 1, staying(), other),
			nil, []string{"i-2@6"}, nil, []string{"i-2@6"}},
		{"and another list does", []sourceResult{listResult(before, 1, parting(), other)}, listResult(after, 1, staying(), other),
			[]sourceResult{listResult(after+1, 1, staying(), other)}, []string{"i-2@6"}, []string{"i-2@6"}, []string{"i-2@6"}},
		{"it lacks a leaving server", []sourceResult{listResult(before, 1, parting(), other)}, listResult(after, 1, other),
			again(ServerChanged{Server: parting()}), []string{"i-2@6"}, []string{"i-2@6"}, []string{"i-2@6"}},
		{"which has changed its mind", []sourceResult{listResult(before, 1, parting(), other)}, listResult(after, 1, staying(), other),
			again(ServerChanged{Server: staying()}), []string{"i-2@6"}, []string{"i-1@5", "i-2@6"}, []string{"i-1@5", "i-2@6"}},
		{"it has a leaving server that had gone as ready", []sourceResult{listResult(before-1, 1, parting(), other), gone}, listResult(after, 1, staying(), other),
			nil, []string{"i-2@6"}, nil, []string{"i-2@6"}},
		{"it lacks a server", []sourceResult{listResult(before, 1, staying(), other)}, listResult(after, 1, other),
			nil, []string{"i-1@5", "i-2@6"}, nil, []string{"i-2@6"}},
		{"that writes again", []sourceResult{listResult(before, 1, staying(), other)}, listResult(after, 1, other),
			again(ServerChanged{Server: staying()}), []string{"i-1@5", "i-2@6"}, []string{"i-1@5", "i-2@6"}, []string{"i-1@5", "i-2@6"}},
		{"it has a server that had gone", []sourceResult{listResult(before-1, 1, staying(), other), gone}, listResult(after, 1, staying(), other),
			nil, []string{"i-2@6"}, nil, []string{"i-1@5", "i-2@6"}},
		{"whose entry goes again", []sourceResult{listResult(before-1, 1, staying(), other), gone}, listResult(after, 1, staying(), other),
			again(ServerRemoved{"i-1"}), []string{"i-2@6"}, []string{"i-2@6"}, []string{"i-2@6"}},
		{"or which writes again", []sourceResult{listResult(before-1, 1, staying(), other), gone}, listResult(after, 1, staying(), other),
			again(ServerChanged{Server: staying()}), []string{"i-2@6"}, []string{"i-1@5", "i-2@6"}, []string{"i-1@5", "i-2@6"}},
		{"it has the lifetime before", []sourceResult{listResult(before-1, 1, staying()), {since: before - 1, revision: before, changes: []Change{ServerChanged{Server: lifetime("i-1", 3)}}}},
			listResult(after, 1, staying()), again(ServerChanged{Server: lifetime("i-1", 3)}), []string{}, []string{"i-1@3"}, []string{"i-1@3"}},
		{"it has one before the first that is known", []sourceResult{listResult(before, 1, lifetime("i-1", 3))}, listResult(after, 1, staying()),
			again(ServerChanged{Server: lifetime("i-1", 3)}), []string{}, []string{"i-1@3"}, []string{"i-1@3"}},
		{"it has a later one", []sourceResult{listResult(before, 1, staying())}, listResult(after, 1, lifetime("i-1", 9)),
			nil, []string{}, nil, []string{"i-1@9"}},
		{"a server starts meanwhile", []sourceResult{listResult(before, 1, staying())}, listResult(after, 1, staying()),
			again(ServerChanged{Server: other}), []string{"i-1@5"}, []string{"i-1@5", "i-2@6"}, []string{"i-1@5", "i-2@6"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g, now := newIdleGateway(t), time.Now()
			believes := func(want []string) {
				t.Helper()
				if want != nil {
					require.ElementsMatch(t, want, g.takesWork())
				}
			}
			for _, a := range test.known {
				g.storeWatcher.applyResult(now, a)
			}
			g.storeWatcher.applyResult(now, test.copy)
			believes(test.atOnce)
			now = now.Add(time.Second)
			for _, a := range test.then {
				g.storeWatcher.applyResult(now, a)
			}
			believes(test.later)
			now = now.Add(reconcilePeriod)
			g.storeWatcher.expireMissing(now)
			believes(test.end)
			require.True(t, g.view.Load().ReconcileUntil.IsZero())
		})
	}
}

// TestCopyTurnsNoConfigurationBack, whoever tells the older one; and a gateway that knows the
// store as well as another one, but an older configuration, takes the later one over.
func TestCopyTurnsNoConfigurationBack(t *testing.T) {
	now := time.Now()
	before, after := catalog.NewRevision(1, 90), catalog.NewRevision(2, 80)
	lived, started := newIdleGateway(t), newIdleGateway(t)
	lived.storeWatcher.applyResult(now, listResult(before, 7, staying()))
	started.storeWatcher.applyResult(now, listResult(after+1, 5, staying()))
	require.Equal(t, uint64(5), started.view.Load().Configuration.Version)
	lived.storeWatcher.applyResult(now, listResult(after, 5, staying()))
	require.Equal(t, uint64(7), lived.view.Load().Configuration.Version)
	transferView(t, now, started, lived, unchanged)
	require.Equal(t, uint64(7), lived.view.Load().Configuration.Version)

	h := updateReceiver{gateway: started, halls: map[string]string{}, withoutStore: map[string]bool{}, fetched: make(chan struct{}, 1)}
	for range 4 {
		now = now.Add(handoverDelay / 2)
		h.handle(t.Context(), now, peer.Update{From: "127.0.0.9", Hall: "other", Alive: true, StoreRevision: after, ConfigurationVersion: 7})
	}
	require.True(t, h.fetching, "it knows a later configuration")
	<-h.fetched
	transferView(t, now, lived, started, func(d *viewDocument) { require.True(t, d.Partial, "no more than that is told") })
	require.Equal(t, uint64(7), started.view.Load().Configuration.Version)
	require.Equal(t, after+1, started.view.Load().Revision)
}

// TestStartedGatewayTurnsNobodyBack: it knows the copy only, and hands it over.
func TestStartedGatewayTurnsNobodyBack(t *testing.T) {
	before, after := catalog.NewRevision(1, 90), catalog.NewRevision(2, 80)
	other := lifetime("i-2", 6)
	for _, known := range []catalog.Revision{before, after} { // of the one that it is handed to
		now := time.Now()
		lived, started := newIdleGateway(t), newIdleGateway(t)
		lived.storeWatcher.applyResult(now, listResult(before, 7, parting(), other))
		if known == after {
			lived.storeWatcher.applyResult(now, listResult(after, 5, staying()))
		}
		started.storeWatcher.applyResult(now, listResult(after+1, 5, staying()))
		transferView(t, now, started, lived, unchanged)
		require.Equal(t, after+1, lived.view.Load().Revision)
		require.Equal(t, []string{"i-2@6"}, lived.takesWork(), "one leaves, the other one the copy lacks")
		lived.storeWatcher.expireMissing(now.Add(reconcilePeriod + time.Millisecond))
		require.Empty(t, lived.takesWork(), "nobody has written it again")
	}
}

// TestSettledViewIsTheStore: a gateway that was cut off takes over the view of one for which all
// has been written again long ago; what that one lacks is gone.
func TestSettledViewIsTheStore(t *testing.T) {
	now := time.Now()
	cut, lived := newIdleGateway(t), newIdleGateway(t)
	for _, g := range []*Gateway{cut, lived} {
		g.storeWatcher.applyResult(now, listResult(catalog.NewRevision(1, 90), 1, staying(), lifetime("i-2", 6)))
	}
	lived.storeWatcher.applyResult(now, listResult(catalog.NewRevision(3, 9), 1, staying()))
	now = now.Add(reconcilePeriod + time.Millisecond)
	lived.storeWatcher.expireMissing(now)
	transferView(t, now, lived, cut, unchanged)
	require.Equal(t, []string{"i-1@5"}, cut.takesWork())
}

// TestHallsOverAReturn: a hall whose evacuation the copy lacks stays evacuated until operators
// have written again, and no longer.
func TestHallsOverAReturn(t *testing.T) {
	before, after := catalog.NewRevision(1, 90), catalog.NewRevision(2, 80)
	for _, written := range []bool{true, false} {
		now := time.Now()
		g := newIdleGateway(t)
		first := listResult(before, 1, staying())
		first.snapshot.Evacuated = map[string]catalog.Revision{"": before - 4}
		g.storeWatcher.applyResult(now, first)
		g.storeWatcher.applyResult(now, listResult(after, 1, staying()))
		require.True(t, g.view.Load().Servers[0].Evacuated)
		if written {
			g.storeWatcher.applyResult(now, sourceResult{since: after, revision: after + 1, changes: []Change{HallEvacuated{Revision: after + 1}}})
		}
		g.storeWatcher.expireMissing(now.Add(reconcilePeriod + time.Millisecond))
		require.Equal(t, written, g.view.Load().Servers[0].Evacuated)
	}
}

// TestLostEvacuationIsToldLate: a gateway for which the view has settled hears of an evacuation of
// the era before from one for which it has not, and takes it back as well.
func TestLostEvacuationIsToldLate(t *testing.T) {
	before, after := catalog.NewRevision(1, 90), catalog.NewRevision(2, 80)
	now := time.Now()
	early, late := newIdleGateway(t), newIdleGateway(t)
	early.storeWatcher.applyResult(now, listResult(before, 1, staying()))
	early.storeWatcher.applyResult(now, listResult(after, 1, staying()))
	first := listResult(before, 1, staying())
	first.snapshot.Evacuated = map[string]catalog.Revision{"": before - 4}
	late.storeWatcher.applyResult(now, first)
	now = now.Add(reconcilePeriod + time.Millisecond)
	early.storeWatcher.expireMissing(now)
	late.storeWatcher.applyResult(now, listResult(after, 1, staying()))
	late.storeWatcher.applyResult(now, sourceResult{since: after, revision: after + 1, changes: []Change{ServerChanged{Server: staying()}}})
	transferView(t, now, late, early, unchanged)
	early.storeWatcher.expireMissing(now)
	require.False(t, early.view.Load().Servers[0].Evacuated)
}

// TestNoClaimsWhileSettling: a server that appears may have been there before, and held.
func TestNoClaimsWhileSettling(t *testing.T) {
	before, after := catalog.NewRevision(1, 90), catalog.NewRevision(2, 80)
	now := time.Now()
	g := newIdleGateway(t)
	g.storeWatcher.applyResult(now, listResult(before, 1))
	g.storeWatcher.applyResult(now, listResult(after, 1))
	appears := func(id string, at catalog.Revision) coldState {
		g.storeWatcher.applyResult(now, sourceResult{since: at - 1, revision: at, changes: []Change{ServerChanged{Server: lifetime(id, 1), Cold: time.Second}}})
		return g.view.Load().Cold[id+"@1"]
	}
	require.False(t, appears("i-1", after+1).Witnessed)
	now = now.Add(reconcilePeriod + time.Millisecond)
	g.storeWatcher.expireMissing(now)
	later := appears("i-2", after+2)
	require.True(t, later.Witnessed)
	require.Equal(t, uint64(2), later.Episode.Era())
}
