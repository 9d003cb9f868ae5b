package gateway

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/url"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
)

// TestPartialViewsAreComplete: a gateway that is handed only changes ends up with the same view as
// the peer that follows the store.
func TestPartialViewsAreComplete(t *testing.T) {
	isOfStore := func(a simAction) bool {
		return strings.HasPrefix(a.name, "server") || strings.HasPrefix(a.name, "hall")
	}
	node := newPeerNode(t)
	var actions []simAction
	for _, a := range simActions() {
		if isOfStore(a) {
			actions = append(actions, a)
		}
	}
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		w := newSimWorld(t, node)
		for range 40 {
			actions[r.IntN(len(actions))].do(w)
			if r.IntN(3) == 0 {
				id := r.IntN(simServers)
				w.present[id] = false
				w.write(ServerRemoved{Name: w.servers[id].ID})
			}
			if r.IntN(2) == 0 {
				w.watchStore(0)
				w.handOver(0, 1)
				require.True(t, w.gateways[1].view.Load().Revision >= w.gateways[0].view.Load().Revision)
			}
			w.now = w.now.Add(simStep)
		}
		w.watchStore(0)
		w.handOver(0, 1)
		of, to := w.gateways[0].view.Load(), w.gateways[1].view.Load()
		require.Equal(t, of.Servers, to.Servers, "seed %d", seed)
		for hall := range of.Evacuated {
			require.Contains(t, to.Evacuated, hall)
		}
		require.Len(t, to.Evacuated, len(of.Evacuated))
		for _, s := range of.Servers {
			if left := of.Cold[s.ID].until().Sub(w.now); left > 0 {
				require.GreaterOrEqual(t, to.Cold[s.ID].until().Sub(w.now), left-time.Millisecond, "seed %d", seed)
			}
			require.Equal(t, of.Cold[s.ID].Episode, to.Cold[s.ID].Episode, "seed %d", seed)
		}
	}
}

// TestPartialViewSize measures what a gateway is sent after one change among many servers.
func TestPartialViewSize(t *testing.T) {
	const servers = 3000
	w := newSimWorld(t, newPeerNode(t))
	w.watchStore(0)
	list := make([]Change, servers)
	for i := range list {
		list[i] = ServerChanged{Server: catalog.Server{ID: fmt.Sprintf("i-%04d", i), Service: "s", Hall: "h0", Address: "10.0.0.1:80"}}
	}
	g := w.gateways[0]
	known := g.view.Load().Revision
	g.storeWatcher.applyChanges(w.now, list, known+servers)
	asking := url.Values{sinceKey: {fmt.Sprint(uint64(known + servers))}, versionKey: {"1"}}
	g.storeWatcher.applyChanges(w.now, list[:1], known+servers+1)
	whole, err := g.encodedView(w.now, url.Values{})
	require.NoError(t, err)
	part, err := g.encodedView(w.now, asking)
	require.NoError(t, err)
	fmt.Printf("figure handover-one-change-of-3000 %d bytes (whole view %d)\n", len(part), len(whole))
	require.Less(t, len(part), 1000)
}

// TestChangeLog tests how far back the log reaches.
func TestChangeLog(t *testing.T) {
	l := changeLog{}
	l.reset(10)
	l.add(11, "a")
	l.add(12, "b")
	l.add(12, "a")
	tests := []struct {
		since catalog.Revision
		want  []string
		ok    bool
	}{{9, nil, false}, {10, []string{"a", "b"}, true}, {11, []string{"a", "b"}, true}, {12, nil, true}}
	for _, test := range tests {
		servers, ok := l.since(test.since)
		require.Equal(t, test.ok, ok, test.since)
		require.Equal(t, test.want, slices.Sorted(maps.Keys(servers)), test.since)
	}
	kept := l // as a view does
	for n := range catalog.Revision(2 * maxLogEntries) {
		l.add(13+n, "c")
	}
	_, ok := l.since(12)
	require.False(t, ok, "dropped entries are not reported")
	_, ok = l.since(12 + 2*maxLogEntries - 1)
	require.True(t, ok)
	servers, _ := kept.since(10)
	require.Len(t, servers, 2, "a copy does not change")
}
