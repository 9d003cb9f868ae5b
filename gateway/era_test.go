package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/peer"
)

// listResult returns the result of a list call.
func listResult(revision catalog.Revision, configuration uint64, servers ...catalog.Server) sourceResult {
	return sourceResult{listed: true, snapshot: Snapshot{Configuration: configurationVersion(configuration), Servers: servers, Revision: revision}}
}

// TestEras: after a restore of the store, reports of the earlier era are ignored and reports of
// the later one are applied, whatever their revision numbers are.
func TestEras(t *testing.T) {
	now := time.Now()
	old, current := catalog.NewRevision(1, 90), catalog.NewRevision(2, 20)
	first := listResult(old, 1, lifetime("i-1", 5))
	tests := []struct {
		name   string
		update func(g *Gateway)
		want   catalog.Revision
		ids    []string
	}{
		{"list with a lower number", func(g *Gateway) {
			g.storeWatcher.applyResult(now, listResult(current, 1, lifetime("i-1", 5), lifetime("i-2", 1)))
		}, current, []string{"i-1@5", "i-2@1"}},
		{"list with the same number", func(g *Gateway) {
			g.storeWatcher.applyResult(now, listResult(catalog.NewRevision(2, 90), 1, lifetime("i-1", 5), lifetime("i-2", 1)))
		}, catalog.NewRevision(2, 90), []string{"i-1@5", "i-2@1"}},
		{"late list of the earlier era", func(g *Gateway) {
			g.storeWatcher.applyResult(now, listResult(current, 1, lifetime("i-1", 5), lifetime("i-2", 1)))
			list, wait := g.storeWatcher.applyResult(now, listResult(catalog.NewRevision(1, 95), 1, lifetime("i-3", 1)))
			require.True(t, list && wait)
		}, current, []string{"i-1@5", "i-2@1"}},
		{"late watch of the earlier era", func(g *Gateway) {
			g.storeWatcher.applyResult(now, listResult(current, 1, lifetime("i-1", 5), lifetime("i-2", 1)))
			g.storeWatcher.applyResult(now, sourceResult{since: old, revision: old + 1, changes: []Change{ServerRemoved{"i-1"}}})
		}, current, []string{"i-1@5", "i-2@1"}},
		{"peer view of the earlier era", func(g *Gateway) {
			g.storeWatcher.applyResult(now, listResult(current, 1, lifetime("i-1", 5), lifetime("i-2", 1)))
			peerGateway := newIdleGateway(t)
			peerGateway.storeWatcher.applyResult(now, listResult(catalog.NewRevision(1, 95), 1, lifetime("i-3", 1)))
			transferView(t, now, peerGateway, g, unchanged)
		}, current, []string{"i-1@5", "i-2@1"}},
		{"peer view of the later era", func(g *Gateway) {
			peerGateway := newIdleGateway(t)
			peerGateway.storeWatcher.applyResult(now, first)
			peerGateway.storeWatcher.applyResult(now, listResult(current, 1, lifetime("i-1", 5)))
			peerGateway.storeWatcher.applyResult(now, sourceResult{since: current, revision: current + 1, changes: []Change{ServerChanged{Server: lifetime("i-2", 1)}}})
			transferView(t, now, peerGateway, g, unchanged)
		}, current + 1, []string{"i-1@5", "i-2@1"}},
		{"peer view of the later era, beyond the earlier number", func(g *Gateway) {
			peerGateway := newIdleGateway(t)
			peerGateway.storeWatcher.applyResult(now, first)
			at := catalog.NewRevision(2, 89)
			peerGateway.storeWatcher.applyResult(now, listResult(at, 1, lifetime("i-1", 5)))
			peerGateway.storeWatcher.applyResult(now, sourceResult{since: at, revision: at + 1, changes: []Change{ServerChanged{Server: lifetime("i-2", 1)}}})
			peerGateway.storeWatcher.applyResult(now, sourceResult{since: at + 1, revision: at + 2, changes: []Change{ServerChanged{Server: lifetime("i-1", 5)}}})
			transferView(t, now, peerGateway, g, unchanged)
		}, catalog.NewRevision(2, 91), []string{"i-1@5", "i-2@1"}},
		{"two restores, one of them missed", func(g *Gateway) {
			g.storeWatcher.applyResult(now, listResult(catalog.NewRevision(3, 2), 1, lifetime("i-1", 5)))
		}, catalog.NewRevision(3, 2), []string{"i-1@5"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := newIdleGateway(t)
			g.storeWatcher.applyResult(now, first)
			test.update(g)
			require.Equal(t, test.want, g.view.Load().Revision)
			require.Equal(t, test.ids, g.serverIDs())
		})
	}
}

// TestNoQueryForEarlierEra: a peer with a higher number of an earlier era is not asked for its
// view and confirms nothing; a peer of a later era is asked.
func TestNoQueryForEarlierEra(t *testing.T) {
	g := newIdleGateway(t)
	g.storeWatcher.publish(configurationVersion(1), nil, catalog.NewRevision(2, 20))
	r := updateReceiver{gateway: g, halls: map[string]string{}, withoutStore: map[string]bool{}, fetched: make(chan struct{}, 1)}
	now := time.Now()
	before := g.confirmedAt()
	for range 8 {
		now = now.Add(100 * time.Millisecond)
		r.handle(t.Context(), now, peer.Update{From: "127.0.0.2", Hall: "other", Alive: true, StoreRevision: catalog.NewRevision(1, 99), ConfirmedAt: now})
	}
	require.False(t, r.fetching)
	require.Equal(t, before, g.confirmedAt())
	r.handle(t.Context(), now, peer.Update{From: "127.0.0.3", Hall: "other", Alive: true, StoreRevision: catalog.NewRevision(3, 1)})
	r.handle(t.Context(), now.Add(handoverDelay), peer.Update{From: "127.0.0.3", Hall: "other", Alive: true, StoreRevision: catalog.NewRevision(3, 1)})
	require.True(t, r.fetching)
	<-r.fetched
}
