package gateway

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/peer"
)

// newIdleGateway returns a gateway whose background tasks do not run.
func newIdleGateway(t *testing.T) *Gateway {
	t.Helper()
	g, err := New(Options{
		Codec: idCodec{}, Peer: peer.Options{Address: "127.0.0.1:0"}, Log: zerolog.Nop(), Dispatcher: DispatcherOptions{ShareWindow: time.Second, Hall: "h"},
	})
	require.NoError(t, err)
	return g
}

func readyServer(id string) catalog.Server { return catalog.Server{ID: id, Service: "s"} }

func leavingServer(id string) catalog.Server {
	return catalog.Server{ID: id, Service: "s", Leaving: true}
}

func configurationVersion(n uint64) *catalog.Configuration {
	return &catalog.Configuration{Document: catalog.Document{Version: n}}
}

func (g *Gateway) leavingServers() []string {
	var list []string
	for _, s := range g.view.Load().Servers {
		if s.Leaving {
			list = append(list, s.ID)
		}
	}
	return list
}

// TestDispatcherLearnsViewFirst: a gateway that was ready before its dispatcher knew the servers
// refused requests for want of a server.
func TestDispatcherLearnsViewFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newIdleGateway(t)
		for range messageQueueSize {
			g.dispatcher.send(leavingAnnounced{})
		}
		now := time.Now()
		go g.storeWatcher.applyResult(now, sourceResult{listed: true, snapshot: Snapshot{Configuration: configurationVersion(1), Servers: []catalog.Server{readyServer("i-1")}, Revision: 3}})
		synctest.Wait() // until it waits for room in the dispatcher's queue
		readyEarly := g.Ready()
		for range messageQueueSize {
			<-g.dispatcher.messages
		}
		synctest.Wait()
		require.False(t, readyEarly)
		require.True(t, g.Ready())
		require.IsType(t, viewReplaced{}, <-g.dispatcher.messages)
	})
}

// TestLateResultsKeepNewerView: the result of a call to the store arrives after a peer has handed
// over a newer view, and must not replace it.
func TestLateResultsKeepNewerView(t *testing.T) {
	tests := []struct {
		name string
		late sourceResult
	}{
		{"watch", sourceResult{since: 3, revision: 5, changes: []Change{ServerChanged{Server: readyServer("i-1")}, ServerRemoved{"i-2"}}}},
		{"list", sourceResult{listed: true, snapshot: Snapshot{Configuration: configurationVersion(1), Servers: []catalog.Server{readyServer("i-1")}, Revision: 5}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := newIdleGateway(t)
			w := g.storeWatcher
			now := time.Now()
			w.applyResult(now, sourceResult{listed: true, snapshot: Snapshot{Configuration: configurationVersion(1), Servers: []catalog.Server{readyServer("i-1")}, Revision: 3}})
			w.applyPeerView(now, peerView{snapshot: Snapshot{Configuration: configurationVersion(2), Servers: []catalog.Server{leavingServer("i-1"), readyServer("i-2")}, Revision: 9}})
			w.applyResult(now, test.late)
			require.Equal(t, []string{"i-1"}, g.leavingServers(), "a leaving server must not become ready again")
			require.Len(t, g.view.Load().Servers, 2)
			require.Equal(t, catalog.Revision(9), g.view.Load().Revision)
			require.Equal(t, uint64(2), g.view.Load().Configuration.Version)
		})
	}
}

// TestMissingServers tests when a server whose entry is gone is kept for a grace period.
func TestMissingServers(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name   string
		failed time.Duration // time since the store's last failure; 0: never
		server catalog.Server
		kept   bool
	}{
		{"calm", 0, readyServer("i-1"), false},
		{"store failed recently", time.Second, readyServer("i-1"), true},
		{"store failed long ago", time.Minute, readyServer("i-1"), false},
		{"server was leaving", time.Second, leavingServer("i-1"), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := newIdleGateway(t)
			w := g.storeWatcher
			w.applyResult(now, sourceResult{listed: true, snapshot: Snapshot{Configuration: configurationVersion(1), Servers: []catalog.Server{test.server}, Revision: 3}})
			if test.failed > 0 {
				w.lastOutage = now.Add(-test.failed) // and has answered since
			}
			w.applyResult(now, sourceResult{since: 3, revision: 4, changes: []Change{ServerRemoved{"i-1"}}})
			require.Equal(t, test.kept, len(g.view.Load().Servers) == 1)
			w.expireMissing(now.Add(reregistrationGrace + time.Millisecond))
			require.Empty(t, g.view.Load().Servers, "a server whose entry is not written again is dropped")
		})
	}
}

// TestCutWatchIsNoOutage: while the store cut waiting watches, a server whose entry had gone kept
// getting requests.
func TestCutWatchIsNoOutage(t *testing.T) {
	const round = watchWait // from one cut to the next
	with := func(revision catalog.Revision, servers ...catalog.Server) sourceResult {
		return sourceResult{listed: true, snapshot: Snapshot{Configuration: configurationVersion(1), Servers: servers, Revision: revision}}
	}
	both, one := with(3, readyServer("i-1"), readyServer("i-2")), with(4, readyServer("i-2"))
	cut, failedList := sourceResult{since: 3, err: io.EOF}, sourceResult{listed: true, err: io.EOF}
	removed := sourceResult{since: 3, revision: 4, changes: []Change{ServerRemoved{"i-1"}}}
	tests := []struct {
		name    string
		results []sourceResult // each a moment after the one before
		kept    bool           // the server whose entry is gone is kept for a grace period
	}{
		{"cut, then gone in the list", []sourceResult{cut, one}, false},
		{"cut, then removed in the next watch", []sourceResult{cut, both, removed}, false},
		{"cut twice, then gone", []sourceResult{cut, both, cut, one}, false},
		{"list fails too", []sourceResult{cut, failedList, one}, true},
		{"list fails too, then removed in the next watch", []sourceResult{cut, failedList, both, removed}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g, now := newIdleGateway(t), time.Now()
			w := g.storeWatcher
			w.applyResult(now, both)
			for _, r := range test.results {
				now = now.Add(sourceRetryInterval)
				w.applyResult(now, r)
			}
			require.Equal(t, test.kept, len(g.view.Load().Servers) == 2)
			end := now.Add(reregistrationGrace + time.Millisecond)
			for now.Before(end) {
				now = now.Add(round)
				w.applyResult(now, cut)
				w.applyResult(now, one)
			}
			w.expireMissing(now)
			require.Equal(t, []catalog.Server{readyServer("i-2")}, g.view.Load().Servers, "cuts of watches must not prolong the grace period")
		})
	}
}

// TestCutWatchesEndReconciliation: while a restored store cut waiting watches, what its backup lacked
// was kept without end.
func TestCutWatchesEndReconciliation(t *testing.T) {
	tests := []struct {
		name    string
		listed  bool // the call that fails is a list
		settled bool // in the time that servers and operators need to write again
	}{
		{"watch is cut", false, true},
		{"list fails", true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g, now := newIdleGateway(t), time.Now()
			w := g.storeWatcher
			w.applyResult(now, sourceResult{listed: true, snapshot: Snapshot{Configuration: configurationVersion(1), Servers: []catalog.Server{readyServer("i-1"), readyServer("i-2")}, Revision: catalog.NewRevision(1, 3)}})
			restored := sourceResult{listed: true, snapshot: Snapshot{Configuration: configurationVersion(1), Servers: []catalog.Server{readyServer("i-2")}, Revision: catalog.NewRevision(2, 2)}}
			w.applyResult(now, restored)
			end := now.Add(reconcilePeriod + time.Millisecond)
			for now.Before(end) {
				now = now.Add(watchWait / 2)
				w.applyResult(now, sourceResult{listed: test.listed, err: io.EOF})
				w.applyResult(now, restored)
			}
			w.expireMissing(now)
			require.Equal(t, test.settled, len(g.view.Load().Servers) == 1)
			require.Equal(t, test.settled, !w.reconciling(now))
		})
	}
}

// TestMissingServerReregisters: a server that writes its entry again in time is kept.
func TestMissingServerReregisters(t *testing.T) {
	now := time.Now()
	g := newIdleGateway(t)
	w := g.storeWatcher
	w.applyResult(now, sourceResult{listed: true, snapshot: Snapshot{Configuration: configurationVersion(1), Servers: []catalog.Server{readyServer("i-1")}, Revision: 3}})
	w.lastOutage = now
	w.applyResult(now, sourceResult{since: 3, revision: 4, changes: []Change{ServerRemoved{"i-1"}}})
	w.applyResult(now, sourceResult{since: 4, revision: 5, changes: []Change{ServerChanged{Server: readyServer("i-1")}}})
	w.expireMissing(now.Add(time.Minute))
	require.Len(t, g.view.Load().Servers, 1)
}

// TestMissingServersInPeerView: a server in its grace period is handed over as such, and the
// receiving gateway drops it too if its entry is not written again.
func TestMissingServersInPeerView(t *testing.T) {
	now := time.Now()
	from, to := newIdleGateway(t), newIdleGateway(t)
	w := from.storeWatcher
	w.applyResult(now, sourceResult{listed: true, snapshot: Snapshot{Configuration: configurationVersion(1), Servers: []catalog.Server{readyServer("i-1"), readyServer("i-2")}, Revision: 3}})
	w.recordFailure(now, true, ErrHistoryGone)
	w.applyResult(now, sourceResult{since: 3, revision: 4, changes: []Change{ServerRemoved{"i-1"}}})
	s := from.view.Load().document(now).decodeSnapshot(now)
	s.Configuration = configurationVersion(1)
	to.storeWatcher.applyPeerView(now, peerView{snapshot: s})
	require.Len(t, to.view.Load().Servers, 2)
	later := now.Add(reregistrationGrace + time.Millisecond)
	to.storeWatcher.expireMissing(later)
	require.Equal(t, []catalog.Server{readyServer("i-2")}, to.view.Load().Servers)
}
