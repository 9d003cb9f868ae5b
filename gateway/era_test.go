package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/peer"
)

// listOf is a list of the store.
func listResult(revision catalog.Revision, configuration uint64, servers ...catalog.Server) sourceResult {
	return sourceResult{listed: true, snapshot: Snapshot{Configuration: configurationVersion(configuration), Servers: servers, Revision: revision}}
}

// TestEras: the store came back from a copy; what is told of the era before turns nobody back,
// and what is told of the later one is taken over, whatever the numbers are.
func TestEras(t *testing.T) {
	now := time.Now()
	old, current := catalog.NewRevision(1, 90), catalog.NewRevision(2, 20)
	first := listResult(old, 1, lifetime("i-1", 5))
	tests := []struct {
		name string
		hear func(g *Gateway)
		want catalog.Revision
		ids  []string
	}{
		{"a list with a lower number", func(g *Gateway) {
			g.storeWatcher.applyResult(now, listResult(current, 1, lifetime("i-1", 5), lifetime("i-2", 1)))
		}, current, []string{"i-1@5", "i-2@1"}},
		{"a list with the same number", func(g *Gateway) {
			g.storeWatcher.applyResult(now, listResult(catalog.NewRevision(2, 90), 1, lifetime("i-1", 5), lifetime("i-2", 1)))
		}, catalog.NewRevision(2, 90), []string{"i-1@5", "i-2@1"}},
		{"then a list of the era before comes late", func(g *Gateway) {
			g.storeWatcher.applyResult(now, listResult(current, 1, lifetime("i-1", 5), lifetime("i-2", 1)))
			list, wait := g.storeWatcher.applyResult(now, listResult(catalog.NewRevision(1, 95), 1, lifetime("i-3", 1)))
			require.True(t, list && wait)
		}, current, []string{"i-1@5", "i-2@1"}},
		{"then a watch of the era before ends", func(g *Gateway) {
			g.storeWatcher.applyResult(now, listResult(current, 1, lifetime("i-1", 5), lifetime("i-2", 1)))
			g.storeWatcher.applyResult(now, sourceResult{since: old, revision: old + 1, changes: []Change{ServerRemoved{"i-1"}}})
		}, current, []string{"i-1@5", "i-2@1"}},
		{"then a gateway of the era before hands its view over", func(g *Gateway) {
			g.storeWatcher.applyResult(now, listResult(current, 1, lifetime("i-1", 5), lifetime("i-2", 1)))
			late := newIdleGateway(t)
			late.storeWatcher.applyResult(now, listResult(catalog.NewRevision(1, 95), 1, lifetime("i-3", 1)))
			transferView(t, now, late, g, unchanged)
		}, current, []string{"i-1@5", "i-2@1"}},
		{"a gateway hands over the view of the later era", func(g *Gateway) {
			of := newIdleGateway(t)
			of.storeWatcher.applyResult(now, first)
			of.storeWatcher.applyResult(now, listResult(current, 1, lifetime("i-1", 5)))
			of.storeWatcher.applyResult(now, sourceResult{since: current, revision: current + 1, changes: []Change{ServerChanged{Server: lifetime("i-2", 1)}}})
			transferView(t, now, of, g, unchanged)
		}, current + 1, []string{"i-1@5", "i-2@1"}},
		{"one that has passed the old number", func(g *Gateway) {
			of := newIdleGateway(t)
			of.storeWatcher.applyResult(now, first)
			at := catalog.NewRevision(2, 89)
			of.storeWatcher.applyResult(now, listResult(at, 1, lifetime("i-1", 5)))
			of.storeWatcher.applyResult(now, sourceResult{since: at, revision: at + 1, changes: []Change{ServerChanged{Server: lifetime("i-2", 1)}}})
			of.storeWatcher.applyResult(now, sourceResult{since: at + 1, revision: at + 2, changes: []Change{ServerChanged{Server: lifetime("i-1", 5)}}})
			transferView(t, now, of, g, unchanged)
		}, catalog.NewRevision(2, 91), []string{"i-1@5", "i-2@1"}},
		{"two returns, of which one was missed", func(g *Gateway) {
			g.storeWatcher.applyResult(now, listResult(catalog.NewRevision(3, 2), 1, lifetime("i-1", 5)))
		}, catalog.NewRevision(3, 2), []string{"i-1@5"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := newIdleGateway(t)
			g.storeWatcher.applyResult(now, first)
			test.hear(g)
			require.Equal(t, test.want, g.view.Load().Revision)
			require.Equal(t, test.ids, g.serverIDs())
		})
	}
}

// TestNobodyAsksForAnEarlierEra: a gateway that knows a higher number of the era before is not
// asked for its view, and confirms nothing; one of the later era is asked.
func TestNobodyAsksForAnEarlierEra(t *testing.T) {
	g := newIdleGateway(t)
	g.storeWatcher.publish(configurationVersion(1), nil, catalog.NewRevision(2, 20))
	h := updateReceiver{gateway: g, halls: map[string]string{}, withoutStore: map[string]bool{}, fetched: make(chan struct{}, 1)}
	now := time.Now()
	before := g.confirmedAt()
	for range 8 {
		now = now.Add(100 * time.Millisecond)
		h.handle(t.Context(), now, peer.Update{From: "127.0.0.2", Hall: "other", Alive: true, StoreRevision: catalog.NewRevision(1, 99), ConfirmedAt: now})
	}
	require.False(t, h.fetching)
	require.Equal(t, before, g.confirmedAt())
	h.handle(t.Context(), now, peer.Update{From: "127.0.0.3", Hall: "other", Alive: true, StoreRevision: catalog.NewRevision(3, 1)})
	h.handle(t.Context(), now.Add(handoverDelay), peer.Update{From: "127.0.0.3", Hall: "other", Alive: true, StoreRevision: catalog.NewRevision(3, 1)})
	require.True(t, h.fetching)
	<-h.fetched
}
