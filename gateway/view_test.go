package gateway

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/peer"
)

// quiet is a gateway whose duties do not run.
func quiet(t *testing.T) *Gateway {
	t.Helper()
	g, err := New(Options{
		Peer: peer.Options{Address: "127.0.0.1:0"}, Log: zerolog.Nop(), Desk: DeskSettings{Shares: time.Second, Hall: "h"},
	})
	require.NoError(t, err)
	return g
}

func ready(id string) catalog.Server { return catalog.Server{ID: id, Service: "s"} }

func leaving(id string) catalog.Server { return catalog.Server{ID: id, Service: "s", Leaving: true} }

func version(n uint64) *catalog.Configuration {
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

// TestLateAnswersDoNotTurnBack: a call to the store was under way when another gateway
// handed over a newer view; its answer is older than what is known.
func TestLateAnswersDoNotTurnBack(t *testing.T) {
	tests := []struct {
		name string
		late answer
	}{
		{"watch", answer{since: 3, revision: 5, changes: []Change{ServerChanged{Server: ready("i-1")}, ServerGone{"i-2"}}}},
		{"list", answer{listed: true, snapshot: Snapshot{Configuration: version(1), Servers: []catalog.Server{ready("i-1")}, Revision: 5}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := quiet(t)
			f := g.follower
			now := time.Now()
			f.take(now, answer{listed: true, snapshot: Snapshot{Configuration: version(1), Servers: []catalog.Server{ready("i-1")}, Revision: 3}})
			f.takeHandover(now, handover{snapshot: Snapshot{Configuration: version(2), Servers: []catalog.Server{leaving("i-1"), ready("i-2")}, Revision: 9}})
			f.take(now, test.late)
			require.Equal(t, []string{"i-1"}, g.leavingServers(), "a leaving server must not seem ready again")
			require.Len(t, g.view.Load().Servers, 2)
			require.Equal(t, catalog.Revision(9), g.view.Load().Revision)
			require.Equal(t, uint64(2), g.view.Load().Configuration.Version)
		})
	}
}

// TestMissingServers: what happens to a server whose entry has gone.
func TestMissingServers(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name   string
		failed time.Duration // before now the store last failed; 0: never
		server catalog.Server
		kept   bool
	}{
		{"calm", 0, ready("i-1"), false},
		{"store failed a moment ago", time.Second, ready("i-1"), true},
		{"store failed long ago", time.Minute, ready("i-1"), false},
		{"it was leaving", time.Second, leaving("i-1"), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := quiet(t)
			f := g.follower
			f.take(now, answer{listed: true, snapshot: Snapshot{Configuration: version(1), Servers: []catalog.Server{test.server}, Revision: 3}})
			if test.failed > 0 {
				f.failed = now.Add(-test.failed) // and has answered since
			}
			f.take(now, answer{since: 3, revision: 4, changes: []Change{ServerGone{"i-1"}}})
			require.Equal(t, test.kept, len(g.view.Load().Servers) == 1)
			f.dropMissing(now.Add(returnGrace + time.Millisecond))
			require.Empty(t, g.view.Load().Servers, "an entry that does not come back is gone")
		})
	}
}

// TestMissingServerReturns in time and stays.
func TestMissingServerReturns(t *testing.T) {
	now := time.Now()
	g := quiet(t)
	f := g.follower
	f.take(now, answer{listed: true, snapshot: Snapshot{Configuration: version(1), Servers: []catalog.Server{ready("i-1")}, Revision: 3}})
	f.failed = now
	f.take(now, answer{since: 3, revision: 4, changes: []Change{ServerGone{"i-1"}}})
	f.take(now, answer{since: 4, revision: 5, changes: []Change{ServerChanged{Server: ready("i-1")}}})
	f.dropMissing(now.Add(time.Minute))
	require.Len(t, g.view.Load().Servers, 1)
}

// TestHandedOverMissingServers: a gateway that keeps a server for a moment hands it
// over as such; who takes the view over drops it as well if it does not come back.
func TestHandedOverMissingServers(t *testing.T) {
	now := time.Now()
	from, to := quiet(t), quiet(t)
	f := from.follower
	f.take(now, answer{listed: true, snapshot: Snapshot{Configuration: version(1), Servers: []catalog.Server{ready("i-1"), ready("i-2")}, Revision: 3}})
	f.fail(now, ErrHistoryGone)
	f.take(now, answer{since: 3, revision: 4, changes: []Change{ServerGone{"i-1"}}})
	s := from.view.Load().document(now).snapshot(now)
	s.Configuration = version(1)
	to.follower.takeHandover(now, handover{snapshot: s})
	require.Len(t, to.view.Load().Servers, 2)
	later := now.Add(returnGrace + time.Millisecond)
	to.follower.dropMissing(later)
	require.Equal(t, []catalog.Server{ready("i-2")}, to.view.Load().Servers)
}
