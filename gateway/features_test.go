package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/offload"
	"opalbridge.dev/gateway/peer"
	"opalbridge.dev/gateway/placement"
)

// TestFeaturesByConfiguration: with automatic modes, deployments whose configuration does not call for
// an optional decision must be served as without it.
func TestFeaturesByConfiguration(t *testing.T) {
	streamTo := func(service string, objective, gap time.Duration) catalog.Route {
		return catalog.Route{Kind: catalog.Stream, Targets: []catalog.Target{{Service: service, Weight: 1}}, Objective: objective, MaxEventGap: gap}
	}
	stream := func(objective, gap time.Duration) catalog.Route { return streamTo("s", objective, gap) }
	plain := func(objective time.Duration) catalog.Route {
		return catalog.Route{Kind: catalog.OneShot, Targets: []catalog.Target{{Service: "p", Weight: 1}}, Objective: objective}
	}
	const gap = 500 * time.Millisecond
	tests := []struct {
		name           string
		features       Features
		eventTokens    int
		routes         []catalog.Route
		surplus, slots bool
		withdraw       bool
	}{
		{"all called for", Features{}, 6, []catalog.Route{stream(800*time.Millisecond, gap), plain(300 * time.Millisecond)}, true, true, true},
		{"a route without objective", Features{}, 6, []catalog.Route{stream(800*time.Millisecond, gap), stream(0, gap), plain(300 * time.Millisecond), plain(0)}, true, true, true},
		{"one objective too short", Features{}, 6, []catalog.Route{stream(800*time.Millisecond, gap), stream(300*time.Millisecond, gap), plain(300 * time.Millisecond), plain(120 * time.Millisecond)}, false, false, false},
		{"prefill delays no stream", Features{}, 3, []catalog.Route{stream(800*time.Millisecond, gap), plain(300 * time.Millisecond)}, false, true, false},
		{"no longest pause", Features{}, 6, []catalog.Route{stream(800*time.Millisecond, 0)}, false, false, false},
		{"one service with streams is not called for", Features{}, 6, []catalog.Route{stream(800*time.Millisecond, gap), streamTo("q", 300*time.Millisecond, gap)}, true, false, false},
		{"streams of one service have no objective", Features{}, 6, []catalog.Route{stream(800*time.Millisecond, gap), streamTo("q", 0, gap)}, true, false, false},
		{"all services with streams are called for", Features{}, 6, []catalog.Route{stream(800*time.Millisecond, gap), streamTo("q", 450*time.Millisecond, gap)}, true, false, true},
		{"no routes", Features{}, 6, nil, false, false, false},
		{"always on", Features{IdleSurplus: On, QueuePlainWork: On, Withdraw: On, MoveStreams: On, BackUpStreams: On, Offload: On}, 3, []catalog.Route{stream(300*time.Millisecond, gap), plain(120 * time.Millisecond)}, true, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			f := test.features
			if f.IdleSurplus == Off {
				f = Features{IdleSurplus: Auto, QueuePlainWork: Auto, Withdraw: Auto, MoveStreams: Auto, BackUpStreams: Auto, Offload: Auto}
			}
			f.AvoidPauses = true
			d := newDispatcher(newTestDispatcher(t, now, 1).log, DispatcherOptions{ShareWindow: 4 * time.Second, Policy: placement.DefaultPolicy(), Features: f}, now)
			d.peers = newTestDispatcher(t, now, 1).peers
			c, err := catalog.NewConfiguration(catalog.Document{
				Version: 1, Routes: test.routes, Limits: catalog.Limits{TokensPerSecond: 1000},
				Services: []catalog.Service{
					{Name: "s", Engine: &catalog.Engine{Slots: 64, KVTokens: 500_000, MaxEventTokens: test.eventTokens}}, {Name: "p"},
					{Name: "q", Engine: &catalog.Engine{Slots: 64, KVTokens: 500_000, MaxEventTokens: test.eventTokens}},
				},
			})
			require.NoError(t, err)
			servers := []catalog.Server{{ID: "i-1", Service: "s", Address: "10.0.0.1:80", Capacity: 64}, {ID: "i-2", Service: "p", Address: "10.0.0.2:80", Capacity: 6}, {ID: "i-3", Service: "q", Address: "10.0.0.3:80", Capacity: 64}}
			d.setView(now, &View{Configuration: c, Servers: servers})
			require.Equal(t, test.surplus, d.surplus != nil)
			require.Equal(t, test.slots, d.balancer.WaitsForSlots("i-2"))
			w := newWithdrawal(&Gateway{dispatcher: d, options: Options{Dispatcher: d.settings, MilliCPU: 144}})
			require.Equal(t, test.withdraw, withdrawsWhenOverloaded(w, now))
			require.Equal(t, test.withdraw, d.movesStreams(), "the same rule")
			require.Equal(t, test.withdraw, d.backsUpStreams(), "the same rule")
			g := &Gateway{dispatcher: d, options: Options{Dispatcher: d.settings, MilliCPU: 144}}
			require.Equal(t, test.withdraw, g.offloadsToOtherHalls(), "the same rule")
			s := newSpareCPU(g)
			s.sample(now, false)
			_, tells := s.told()
			require.Equal(t, test.withdraw, tells, "spare CPU is told to other halls")
		})
	}
}

// withdrawsWhenOverloaded overloads a gateway in a hall of larger ones.
func withdrawsWhenOverloaded(w *withdrawal, now time.Time) bool {
	for _, from := range []string{"1", "2", "3"} {
		w.update(now, peer.Update{From: from, Alive: true, Full: true, Weight: 800})
	}
	for range 140 { // it observes its hall for three seconds first
		now = now.Add(delaySampleInterval)
		w.sample(now, 0)
	}
	return w.isWithdrawn()
}

// TestWithdrawOff: a gateway whose settings do not say that it may withdraw must stay ready.
func TestWithdrawOff(t *testing.T) {
	now := time.Now()
	w := newWithdrawal(&Gateway{dispatcher: newTestDispatcher(t, now, 1), options: Options{MilliCPU: 144}})
	require.False(t, withdrawsWhenOverloaded(w, now))
	w = newWithdrawal(&Gateway{dispatcher: newTestDispatcher(t, now, 1), options: Options{MilliCPU: 144, Dispatcher: DispatcherOptions{Features: Features{Withdraw: On}}}})
	require.True(t, withdrawsWhenOverloaded(w, now))
}

// TestOffloadInHall: a gateway whose settings keep connections in its hall, or whose configuration does not call for
// more, must choose as before: by CPU share among the gateways of its hall, whatever they have to spare. It must
// not tell its spare CPU, so that no other hall hands connections off to it.
func TestOffloadInHall(t *testing.T) {
	for _, mode := range []Mode{Off, Auto} {
		g, err := New(Options{Peer: peer.Options{Address: "127.0.0.1:0"}, MilliCPU: 144, Dispatcher: DispatcherOptions{
			ShareWindow: time.Second, Hall: "a", Regions: map[string]string{"a": "r", "b": "r"}, Features: Features{Offload: mode},
		}})
		require.NoError(t, err)
		now := time.Now()
		g.offloadTargets.update(now, peer.Update{From: "3", Hall: "b", Alive: true, Full: true, Weight: 800, TellsSpare: true, Spare: 800})
		require.False(t, g.canOffload())
		require.Equal(t, offload.None, g.offloadTargets.choose(now, "").Outcome)
		g.offloadTargets.update(now, peer.Update{From: "1", Hall: "a", Alive: true, Full: true, Weight: 200, TellsSpare: true})
		g.offloadTargets.update(now, peer.Update{From: "2", Hall: "a", Alive: true, Full: true, Weight: 600, TellsSpare: true})
		require.True(t, g.canOffload())
		chosen := map[string]int{}
		const many = 2000
		for range many {
			chosen[g.offloadTargets.choose(now.Add(time.Hour), "1").Address]++
		}
		require.Len(t, chosen, 2)
		require.InDelta(t, many*3/4, chosen["2"], 120)
		require.False(t, g.spare.sample(now, true))
		s := g.peerState()
		require.False(t, s.TellsSpare)
		require.Zero(t, s.Spare)
	}
}

// onIf returns the mode of a decision that is made, or is not.
func onIf(on bool) Mode {
	if on {
		return On
	}
	return Off
}
