package gateway

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/placement"
)

// lifetime is a server's start.
func lifetime(name string, born int64) catalog.Server {
	return catalog.Server{ID: catalog.LifetimeID(name, born), Born: born, Service: "s", Address: "10.0.0.1:80", Capacity: 4}
}

// ids returns the lifetimes that a gateway believes in.
func (g *Gateway) serverIDs() []string {
	var list []string
	for _, s := range g.view.Load().Servers {
		list = append(list, s.ID)
	}
	return list
}

// TestStartedAgain: the later entry of a server ends the lifetime before, whichever start has
// the larger figure, and however the gateway hears of it.
func TestStartedAgain(t *testing.T) {
	now := time.Now()
	first := sourceResult{listed: true, snapshot: Snapshot{Configuration: configurationVersion(1), Servers: []catalog.Server{lifetime("i-1", 5000), lifetime("i-2", 1)}, Revision: 3}}
	tests := []struct {
		name string
		hear func(f *storeWatcher)
		want []string
	}{
		{"by the watch", func(f *storeWatcher) {
			f.applyResult(now, sourceResult{since: 3, revision: 4, changes: []Change{ServerChanged{Server: lifetime("i-1", 6000)}}})
		}, []string{"i-1@6000", "i-2@1"}},
		{"its host's clock was set back", func(f *storeWatcher) {
			f.applyResult(now, sourceResult{since: 3, revision: 4, changes: []Change{ServerChanged{Server: lifetime("i-1", 400)}}})
		}, []string{"i-1@400", "i-2@1"}},
		{"twice at once", func(f *storeWatcher) {
			f.applyResult(now, sourceResult{since: 3, revision: 5, changes: []Change{
				ServerChanged{Server: lifetime("i-1", 6000)}, ServerChanged{Server: lifetime("i-1", 7000)},
			}})
		}, []string{"i-1@7000", "i-2@1"}},
		{"its entry had gone meanwhile", func(f *storeWatcher) {
			f.applyResult(now, sourceResult{since: 3, revision: 5, changes: []Change{ServerRemoved{"i-1"}, ServerChanged{Server: lifetime("i-1", 6000)}}})
		}, []string{"i-1@6000", "i-2@1"}},
		{"and is kept for a moment, since the store was away", func(f *storeWatcher) {
			f.lastFailure = now
			f.applyResult(now, sourceResult{since: 3, revision: 4, changes: []Change{ServerRemoved{"i-1"}}})
			f.applyResult(now, sourceResult{since: 4, revision: 5, changes: []Change{ServerChanged{Server: lifetime("i-1", 6000)}}})
			f.expireMissing(now.Add(time.Minute))
		}, []string{"i-1@6000", "i-2@1"}},
		{"by a list", func(f *storeWatcher) {
			f.applyResult(now, sourceResult{listed: true, snapshot: Snapshot{Configuration: configurationVersion(1), Servers: []catalog.Server{lifetime("i-1", 6000)}, Revision: 9}})
		}, []string{"i-1@6000"}},
		{"an older list comes late", func(f *storeWatcher) {
			f.applyResult(now, sourceResult{since: 3, revision: 8, changes: []Change{ServerChanged{Server: lifetime("i-1", 6000)}}})
			f.applyResult(now, first)
		}, []string{"i-1@6000", "i-2@1"}},
		{"its start is not told any more", func(f *storeWatcher) {
			f.applyResult(now, sourceResult{since: 3, revision: 4, changes: []Change{ServerChanged{Server: lifetime("i-1", 0)}}})
		}, []string{"i-1", "i-2@1"}},
		{"its entry becomes unreadable", func(f *storeWatcher) {
			f.lastFailure = now // what is unreadable is not kept
			f.applyResult(now, sourceResult{since: 3, revision: 4, changes: []Change{ServerUnreadable{"i-1"}}})
		}, []string{"i-2@1"}},
		{"by a list in which it is unreadable", func(f *storeWatcher) {
			f.lastFailure = now
			f.applyResult(now, sourceResult{listed: true, snapshot: Snapshot{Configuration: configurationVersion(1), Servers: []catalog.Server{lifetime("i-2", 1)}, Unreadable: []string{"i-1"}, Revision: 9}})
		}, []string{"i-2@1"}},
		{"and sound again", func(f *storeWatcher) {
			f.applyResult(now, sourceResult{since: 3, revision: 5, changes: []Change{ServerUnreadable{"i-1"}, ServerChanged{Server: lifetime("i-1", 5000)}}})
		}, []string{"i-1@5000", "i-2@1"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := newIdleGateway(t)
			g.storeWatcher.applyResult(now, first)
			test.hear(g.storeWatcher)
			require.Equal(t, test.want, g.serverIDs())
		})
	}
}

// TestStartedAgainIsHandedOver: a gateway that takes over what has changed at another one
// ends the lifetime before as well, and one that knows more is not turned back.
func TestStartedAgainIsHandedOver(t *testing.T) {
	now := time.Now()
	first := sourceResult{listed: true, snapshot: Snapshot{Configuration: configurationVersion(1), Servers: []catalog.Server{lifetime("i-1", 5000)}, Revision: 3}}
	from, to := newIdleGateway(t), newIdleGateway(t)
	for _, g := range []*Gateway{from, to} {
		g.storeWatcher.applyResult(now, first)
	}
	hand := func(from, to *Gateway) {
		raw, err := from.encodedView(now, to.viewQuery())
		require.NoError(t, err)
		var d viewDocument
		require.NoError(t, json.Unmarshal(raw, &d))
		h := peerView{from: "x", snapshot: d.decodeSnapshot(now), partial: d.Partial, removedServers: d.RemovedServers}
		h.evacuations, h.cold = d.decodeCold(now)
		to.storeWatcher.applyPeerView(now, h)
	}
	from.storeWatcher.applyResult(now, sourceResult{since: 3, revision: 4, changes: []Change{ServerChanged{Server: lifetime("i-1", 400), Cold: time.Second}}})
	hand(from, to)
	require.Equal(t, []string{"i-1@400"}, to.serverIDs())
	require.True(t, to.view.Load().Cold["i-1@400"].Witnessed)
	to.storeWatcher.applyResult(now, sourceResult{since: 4, revision: 5, changes: []Change{ServerChanged{Server: lifetime("i-1", 6000)}}})
	hand(from, to)
	require.Equal(t, []string{"i-1@6000"}, to.serverIDs(), "what is older is passed over")
}

// TestLifetimesAreApart: what was learned of the lifetime before, and what comes late of it,
// does not count for the later one.
func TestLifetimesAreApart(t *testing.T) {
	now := time.Now()
	d := newTestDispatcher(t, now, 1)
	server := func(born int64) catalog.Server {
		s := d.view.Servers[0]
		s.ID, s.Born = catalog.LifetimeID(s.Name(), born), born
		return s
	}
	see := func(born int64) {
		v := *d.view
		v.Servers = []catalog.Server{server(born)}
		d.setView(now, &v)
	}
	see(1)
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
	require.Less(t, again.Load.Work, before.Load.Work, "the first part is cached by then")
	for range 20 {
		d.recordEnd(now, attemptEnded{server: server(1).ID, end: placement.Failed})
	}
	see(2)
	after := place()
	require.Equal(t, "i", after.Server.Name()[:1])
	require.Equal(t, server(2).ID, after.Server.ID)
	require.Equal(t, before.Load.Work, after.Load.Work, "its cache is empty")
	require.Zero(t, after.QueueTime, "nothing was sent to it")
	// News of the lifetime before come late.
	d.recordFirstEvent(now, firstEventReceived{ticket: before.ID, server: before.Server.ID})
	d.recordEnd(now, attemptEnded{ticket: before.ID, server: before.Server.ID, end: placement.Unreachable})
	d.handle(now, cacheReported{server: before.Server.ID, parts: []uint64{7, 8}})
	require.Equal(t, 1, d.running[after.Server.ID])
	d.recordEnd(now, attemptEnded{ticket: after.ID, server: after.Server.ID, end: placement.Served})
	require.Equal(t, server(2).ID, place().Server.ID, "it does not rest")
}

// TestCacheOfAnotherLifetime is not taken for that of the one that was asked.
func TestCacheOfAnotherLifetime(t *testing.T) {
	tests := []struct {
		name         string
		answer, self int64
		of           bool
	}{
		{"the same", 5, 5, true},
		{"another", 6, 5, false},
		{"the answer tells none", 0, 5, true},
		{"the entry tells none", 5, 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.of, CacheContent{Born: test.answer}.isFrom(lifetime("i-1", test.self)))
		})
	}
}
