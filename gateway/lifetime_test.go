package gateway

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/placement"
)

// lifetime returns a lifetime of a server.
func lifetime(name string, born int64) catalog.Server {
	return catalog.Server{ID: catalog.LifetimeID(name, born), Born: born, Service: "s", Address: "10.0.0.1:80", Capacity: 4}
}

// serverIDs returns the lifetimes in a gateway's view.
func (g *Gateway) serverIDs() []string {
	var list []string
	for _, s := range g.view.Load().Servers {
		list = append(list, s.ID)
	}
	return list
}

// TestServerRestart: the later entry of a server replaces the earlier lifetime, whichever start
// time is larger and however the gateway learns of it.
func TestServerRestart(t *testing.T) {
	now := time.Now()
	first := sourceResult{listed: true, snapshot: Snapshot{Configuration: configurationVersion(1), Servers: []catalog.Server{lifetime("i-1", 5000), lifetime("i-2", 1)}, Revision: 3}}
	tests := []struct {
		name   string
		update func(w *storeWatcher)
		want   []string
	}{
		{"watch", func(w *storeWatcher) {
			w.applyResult(now, sourceResult{since: 3, revision: 4, changes: []Change{ServerChanged{Server: lifetime("i-1", 6000)}}})
		}, []string{"i-1@6000", "i-2@1"}},
		{"host's clock was set back", func(w *storeWatcher) {
			w.applyResult(now, sourceResult{since: 3, revision: 4, changes: []Change{ServerChanged{Server: lifetime("i-1", 400)}}})
		}, []string{"i-1@400", "i-2@1"}},
		{"two restarts in one watch", func(w *storeWatcher) {
			w.applyResult(now, sourceResult{since: 3, revision: 5, changes: []Change{
				ServerChanged{Server: lifetime("i-1", 6000)}, ServerChanged{Server: lifetime("i-1", 7000)},
			}})
		}, []string{"i-1@7000", "i-2@1"}},
		{"entry was removed in between", func(w *storeWatcher) {
			w.applyResult(now, sourceResult{since: 3, revision: 5, changes: []Change{ServerRemoved{"i-1"}, ServerChanged{Server: lifetime("i-1", 6000)}}})
		}, []string{"i-1@6000", "i-2@1"}},
		{"entry was removed in between, in the grace period", func(w *storeWatcher) {
			w.lastOutage = now
			w.applyResult(now, sourceResult{since: 3, revision: 4, changes: []Change{ServerRemoved{"i-1"}}})
			w.applyResult(now, sourceResult{since: 4, revision: 5, changes: []Change{ServerChanged{Server: lifetime("i-1", 6000)}}})
			w.expireMissing(now.Add(time.Minute))
		}, []string{"i-1@6000", "i-2@1"}},
		{"list", func(w *storeWatcher) {
			w.applyResult(now, sourceResult{listed: true, snapshot: Snapshot{Configuration: configurationVersion(1), Servers: []catalog.Server{lifetime("i-1", 6000)}, Revision: 9}})
		}, []string{"i-1@6000"}},
		{"late list of an earlier revision", func(w *storeWatcher) {
			w.applyResult(now, sourceResult{since: 3, revision: 8, changes: []Change{ServerChanged{Server: lifetime("i-1", 6000)}}})
			w.applyResult(now, first)
		}, []string{"i-1@6000", "i-2@1"}},
		{"start time is no longer reported", func(w *storeWatcher) {
			w.applyResult(now, sourceResult{since: 3, revision: 4, changes: []Change{ServerChanged{Server: lifetime("i-1", 0)}}})
		}, []string{"i-1", "i-2@1"}},
		{"entry becomes unreadable", func(w *storeWatcher) {
			w.lastOutage = now // no grace period for unreadable entries
			w.applyResult(now, sourceResult{since: 3, revision: 4, changes: []Change{ServerUnreadable{"i-1"}}})
		}, []string{"i-2@1"}},
		{"list with an unreadable entry", func(w *storeWatcher) {
			w.lastOutage = now
			w.applyResult(now, sourceResult{listed: true, snapshot: Snapshot{Configuration: configurationVersion(1), Servers: []catalog.Server{lifetime("i-2", 1)}, Unreadable: []string{"i-1"}, Revision: 9}})
		}, []string{"i-2@1"}},
		{"entry becomes unreadable and readable again", func(w *storeWatcher) {
			w.applyResult(now, sourceResult{since: 3, revision: 5, changes: []Change{ServerUnreadable{"i-1"}, ServerChanged{Server: lifetime("i-1", 5000)}}})
		}, []string{"i-1@5000", "i-2@1"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := newIdleGateway(t)
			g.storeWatcher.applyResult(now, first)
			test.update(g.storeWatcher)
			require.Equal(t, test.want, g.serverIDs())
		})
	}
}

// TestServerRestartInPeerView: a gateway that applies a partial view drops the earlier lifetime
// too, and a gateway that knows a later one keeps it.
func TestServerRestartInPeerView(t *testing.T) {
	now := time.Now()
	first := sourceResult{listed: true, snapshot: Snapshot{Configuration: configurationVersion(1), Servers: []catalog.Server{lifetime("i-1", 5000)}, Revision: 3}}
	from, to := newIdleGateway(t), newIdleGateway(t)
	for _, g := range []*Gateway{from, to} {
		g.storeWatcher.applyResult(now, first)
	}
	transfer := func(from, to *Gateway) {
		raw, err := from.encodedView(now, to.viewQuery())
		require.NoError(t, err)
		var d viewDocument
		require.NoError(t, json.Unmarshal(raw, &d))
		p := peerView{from: "x", snapshot: d.decodeSnapshot(now), partial: d.Partial, removedServers: d.RemovedServers}
		p.evacuations, p.cold = d.decodeCold(now)
		to.storeWatcher.applyPeerView(now, p)
	}
	from.storeWatcher.applyResult(now, sourceResult{since: 3, revision: 4, changes: []Change{ServerChanged{Server: lifetime("i-1", 400), Cold: time.Second}}})
	transfer(from, to)
	require.Equal(t, []string{"i-1@400"}, to.serverIDs())
	require.True(t, to.view.Load().Cold["i-1@400"].StartObserved)
	to.storeWatcher.applyResult(now, sourceResult{since: 4, revision: 5, changes: []Change{ServerChanged{Server: lifetime("i-1", 6000)}}})
	transfer(from, to)
	require.Equal(t, []string{"i-1@6000"}, to.serverIDs(), "an older view is ignored")
}

// TestLifetimesAreSeparate: what was learned of an earlier lifetime, and what arrives late of
// it, does not apply to the later one.
func TestLifetimesAreSeparate(t *testing.T) {
	now := time.Now()
	d := newTestDispatcher(t, now, 1)
	server := func(born int64) catalog.Server {
		s := d.view.Servers[0]
		s.ID, s.Born = catalog.LifetimeID(s.Name(), born), born
		return s
	}
	setLifetime := func(born int64) {
		v := *d.view
		v.Servers = []catalog.Server{server(born)}
		d.setView(now, &v)
	}
	setLifetime(1)
	place := func() placement.Assign {
		reply, _ := d.placeRequest(now, "a", func(a *placement.Request) {
			a.PromptTokens, a.Objective, a.CallerTimeout, a.Exclude = 50000, 10*time.Second, 30*time.Second, nil
			a.Parts = []placement.Part{{Hash: 7, Tokens: 49000}, {Hash: 8, Tokens: 1000}}
		})
		assign, ok := (<-reply).(placement.Assign)
		require.True(t, ok)
		return assign
	}
	before := place()
	again := place()
	require.Less(t, again.Load.Work, before.Load.Work, "the first part is cached")
	for range 20 {
		d.recordEnd(now, attemptEnded{server: server(1).ID, end: placement.Failed})
	}
	setLifetime(2)
	after := place()
	require.Equal(t, "i", after.Server.Name()[:1])
	require.Equal(t, server(2).ID, after.Server.ID)
	require.Equal(t, before.Load.Work, after.Load.Work, "the new lifetime's cache is empty")
	require.Zero(t, after.QueueTime, "nothing was sent to the new lifetime")
	// Late reports of the earlier lifetime.
	d.recordFirstEvent(now, firstEventReceived{attemptID: before.ID, server: before.Server.ID})
	d.recordEnd(now, attemptEnded{attemptID: before.ID, server: before.Server.ID, end: placement.Unreachable})
	d.handle(now, cacheReported{server: before.Server.ID, parts: []uint64{7, 8}})
	require.Equal(t, 1, d.running[after.Server.ID])
	d.recordEnd(now, attemptEnded{attemptID: after.ID, server: after.Server.ID, end: placement.Served})
	require.Equal(t, server(2).ID, place().Server.ID, "the new lifetime is not in backoff")
}

// TestCacheOfOtherLifetime: a cache report is not applied to another lifetime.
func TestCacheOfOtherLifetime(t *testing.T) {
	tests := []struct {
		name         string
		answer, self int64
		of           bool
	}{
		{"same", 5, 5, true},
		{"different", 6, 5, false},
		{"unknown in the answer", 0, 5, true},
		{"unknown in the entry", 5, 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.of, CacheContent{Born: test.answer}.isFrom(lifetime("i-1", test.self)))
		})
	}
}
