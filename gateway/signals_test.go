package gateway

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/placement"
	"opalbridge.dev/gateway/upstream"
)

// leavingIDs returns the IDs of the servers that get no new work because they are leaving.
func (g *Gateway) leavingIDs() []string {
	var list []string
	for _, s := range g.view.Load().Servers {
		if s.Leaving {
			list = append(list, s.ID)
		}
	}
	return list
}

// TestLeavingPersists checks that a server that has announced that it is leaving stays so,
// whatever the store or another gateway reports later, until its entry has gone for good or
// another lifetime of it starts.
func TestLeavingPersists(t *testing.T) {
	one, two := lifetime("i-1", 5000), lifetime("i-2", 1)
	plain := lifetime("i-1", 0)
	all := func(list ...catalog.Server) sourceResult {
		return sourceResult{listed: true, snapshot: Snapshot{Configuration: configurationVersion(1), Servers: list, Revision: 9}}
	}
	tests := []struct {
		name string
		then func(g *simGateway, now time.Time)
		want []string
	}{
		{"no further report", func(*simGateway, time.Time) {}, []string{one.ID}},
		{"entry says ready", func(g *simGateway, now time.Time) {
			g.storeWatcher.applyResult(now, sourceResult{since: 3, revision: 4, changes: []Change{ServerChanged{Server: one}}})
		}, []string{one.ID}},
		{"list says ready", func(g *simGateway, now time.Time) { g.storeWatcher.applyResult(now, all(one, two)) }, []string{one.ID}},
		{"full view from a peer says ready", func(g *simGateway, now time.Time) {
			g.storeWatcher.applyPeerView(now, peerView{from: "b", snapshot: all(one, two).snapshot})
		}, []string{one.ID}},
		{"partial view from a peer says ready", func(g *simGateway, now time.Time) {
			g.storeWatcher.applyPeerView(now, peerView{from: "b", partial: true, snapshot: Snapshot{Servers: []catalog.Server{one}, Revision: 9}})
		}, []string{one.ID}},
		{"entry lapses and comes back", func(g *simGateway, now time.Time) {
			g.storeWatcher.applyResult(now, sourceResult{since: 3, revision: 4, changes: []Change{ServerRemoved{"i-1"}}})
			g.storeWatcher.applyResult(now, sourceResult{since: 4, revision: 5, changes: []Change{ServerChanged{Server: one}}})
		}, []string{one.ID}},
		{"entry is missing in a list and comes back", func(g *simGateway, now time.Time) {
			g.storeWatcher.recordFailure(now, true, http.ErrHandlerTimeout)
			g.storeWatcher.applyResult(now, all(two))
			g.storeWatcher.applyResult(now, sourceResult{since: 9, revision: 10, changes: []Change{ServerChanged{Server: one}}})
		}, []string{one.ID}},
		{"server restarts", func(g *simGateway, now time.Time) {
			g.storeWatcher.applyResult(now, sourceResult{since: 3, revision: 4, changes: []Change{ServerChanged{Server: lifetime("i-1", 6000)}}})
		}, nil},
		{"server restarts without a start time", func(g *simGateway, now time.Time) {
			g.storeWatcher.applyResult(now, sourceResult{since: 3, revision: 4, changes: []Change{ServerChanged{Server: plain}}})
		}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newSimWorld(t, newPeerNode(t))
			g, now := w.newGateway(), time.Now()
			g.storeWatcher.applyResult(now, sourceResult{listed: true, snapshot: Snapshot{Configuration: configurationVersion(1), Servers: []catalog.Server{one, two}, Revision: 3}})
			g.handleSignal(one, upstream.Signal{Status: 200, Leaving: true})
			g.handleMessages(now)
			place := func() placement.Decision {
				return g.dispatcher.balancer.Place(now, &placement.Request{Service: "s", Exclude: []string{two.ID}, TieBreak: 1})
			}
			require.Equal(t, placement.NoServer{}, place(), "at once")
			require.ErrorIs(t, g.signals.checkAvailable(now, one.ID), errServerLeaving)
			require.Len(t, g.storeWatcher.leavingSignal, 1)
			g.storeWatcher.republish()
			require.Equal(t, []string{one.ID}, g.leavingIDs())
			test.then(g, now)
			g.handleMessages(now)
			require.Equal(t, test.want, g.leavingIDs())
			if test.want != nil {
				require.Equal(t, placement.NoServer{}, place())
			}
		})
	}
}

// TestLeavingExpires checks that a leaving server is forgotten only after its entry has
// gone for good.
func TestLeavingExpires(t *testing.T) {
	signals, now := newServerSignals(), time.Now()
	s := lifetime("i-1", 0)
	require.True(t, signals.addLeaving(now, s.ID))
	require.False(t, signals.addLeaving(now, s.ID), "already known")
	present := func(at time.Time) []string { return signals.applyTo(at, []catalog.Server{s}) }
	absent := func(at time.Time) []string { return signals.applyTo(at, nil) }
	require.Equal(t, []string{s.ID}, present(now.Add(time.Hour)))
	require.Equal(t, []string{s.ID}, absent(now.Add(time.Hour+leavingRetention)))
	require.Empty(t, absent(now.Add(time.Hour+leavingRetention+time.Second)))
	require.NoError(t, signals.checkAvailable(now, s.ID))
	for n := range maxLeaving + 10 {
		signals.addLeaving(now, catalog.LifetimeID("x", int64(n)))
	}
	require.Len(t, signals.leaving, maxLeaving, "bounded")
}

// TestLeavingHandover checks that leaving servers are handed over to a gateway that starts
// and to one that knows of later changes in the store.
func TestLeavingHandover(t *testing.T) {
	one := lifetime("i-1", 5000)
	for _, partial := range []bool{false, true} {
		w := newSimWorld(t, newPeerNode(t))
		from, to, now := w.newGateway(), w.newGateway(), time.Now()
		from.storeWatcher.applyResult(now, sourceResult{listed: true, snapshot: Snapshot{Configuration: configurationVersion(1), Servers: []catalog.Server{one}, Revision: 3}})
		from.handleSignal(one, upstream.Signal{Leaving: true})
		from.storeWatcher.republish()
		d := from.view.Load().document(now)
		if partial {
			var ok bool
			d, ok = from.view.Load().changes(now, 3, 1)
			require.True(t, ok)
			to.storeWatcher.applyResult(now, sourceResult{listed: true, snapshot: Snapshot{Configuration: configurationVersion(1), Servers: []catalog.Server{one}, Revision: 5}})
		}
		raw, err := json.Marshal(d)
		require.NoError(t, err)
		var got viewDocument
		require.NoError(t, json.Unmarshal(raw, &got))
		to.storeWatcher.applyPeerView(now, peerView{from: "a", snapshot: got.decodeSnapshot(now), partial: got.Partial, leaving: got.Leaving})
		to.storeWatcher.republish()
		require.Equal(t, []string{one.ID}, to.leavingIDs())
	}
}

// TestBackoffBlocksSends checks that a request that was placed before its server asked for
// backoff is not sent during the backoff.
func TestBackoffBlocksSends(t *testing.T) {
	w := newSimWorld(t, newPeerNode(t))
	g, s := w.newGateway(), lifetime("i-1", 5000)
	g.handleSignal(s, upstream.Signal{Status: http.StatusServiceUnavailable, Backoff: 2 * time.Second})
	now := time.Now()
	require.ErrorIs(t, g.signals.checkAvailable(now, s.ID), errServerBackoff)
	require.ErrorIs(t, g.signals.checkAvailable(now.Add(1900*time.Millisecond), s.ID), errServerBackoff)
	require.NoError(t, g.signals.checkAvailable(now.Add(2*time.Second), s.ID))
	require.NoError(t, g.signals.checkAvailable(now, lifetime("i-1", 6000).ID), "another lifetime")
	require.Equal(t, 1, g.Status().BackingOff)
	g.handleSignal(s, upstream.Signal{Status: http.StatusServiceUnavailable, Backoff: time.Second})
	require.ErrorIs(t, g.signals.checkAvailable(now.Add(1900*time.Millisecond), s.ID), errServerBackoff, "the latest end applies")
	g.signals.applyTo(now.Add(3*time.Second), nil)
	require.Empty(t, g.signals.backoffs)
}

// TestBackoffSurvivesEntryLapse checks that a server's backoff still applies after its
// entry lapses and comes back. Otherwise requests are placed there and taken back
// repeatedly until the backoff is over.
func TestBackoffSurvivesEntryLapse(t *testing.T) {
	w := newSimWorld(t, newPeerNode(t))
	g, s, now := w.newGateway(), lifetime("i-1", 5000), time.Now()
	g.storeWatcher.applyResult(now, sourceResult{listed: true, snapshot: Snapshot{Configuration: configurationVersion(1), Servers: []catalog.Server{s}, Revision: 3}})
	g.handleSignal(s, upstream.Signal{Status: http.StatusServiceUnavailable, Backoff: 10 * time.Second})
	g.storeWatcher.applyResult(now, sourceResult{since: 3, revision: 4, changes: []Change{ServerRemoved{"i-1"}}})
	g.storeWatcher.applyResult(now, sourceResult{since: 4, revision: 5, changes: []Change{ServerChanged{Server: s}}})
	g.handleMessages(now)
	request := &placement.Request{Service: "s", TieBreak: 1}
	require.IsType(t, placement.Refuse{}, g.dispatcher.balancer.Place(now, request))
	later := now.Add(11 * time.Second)
	g.dispatcher.setView(later, g.view.Load())
	require.IsType(t, placement.Assign{}, g.dispatcher.balancer.Place(later, request))
	require.Empty(t, g.dispatcher.backoffUntil)
}

// TestBackoffAskedBeforeStartIsKnown has a server ask for backoff, and start again before or after
// it did, as far as the gateway can tell.
func TestBackoffAskedBeforeStartIsKnown(t *testing.T) {
	tests := []struct {
		name  string
		asked time.Duration // before the gateway hears of the start
		rest  time.Duration
		want  time.Duration // from then on; 0: none
	}{
		{"a moment before", 500 * time.Millisecond, 2 * time.Second, 1500 * time.Millisecond},
		{"for long", 500 * time.Millisecond, time.Minute, maxInheritedBackoff},
		{"long before", 10 * time.Second, time.Minute, 0},
		{"over", 2 * time.Second, time.Second, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			s := newServerSignals()
			s.addBackoff(now.Add(-test.asked), "i-1@1", now.Add(test.rest-test.asked))
			until, ok := s.inheritBackoff(now, "i-1@1", "i-1@2")
			require.Equal(t, test.want > 0, ok)
			if !ok {
				require.NoError(t, s.checkAvailable(now, "i-1@2"))
				return
			}
			require.Equal(t, now.Add(test.want), until)
			require.ErrorIs(t, s.checkAvailable(until.Add(-1), "i-1@2"), errServerBackoff)
			require.NoError(t, s.checkAvailable(until, "i-1@2"))
		})
	}
}
