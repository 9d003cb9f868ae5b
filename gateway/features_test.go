package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/placement"
)

// TestFeaturesByConfiguration: with automatic modes, deployments whose configuration does not call for
// an optional decision must be served as without it.
func TestFeaturesByConfiguration(t *testing.T) {
	stream := func(objective, gap time.Duration) catalog.Route {
		return catalog.Route{Kind: catalog.Stream, Targets: []catalog.Target{{Service: "s", Weight: 1}}, Objective: objective, MaxEventGap: gap}
	}
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
	}{
		{"all called for", Features{}, 6, []catalog.Route{stream(800*time.Millisecond, gap), plain(300 * time.Millisecond)}, true, true},
		{"a route without objective", Features{}, 6, []catalog.Route{stream(800*time.Millisecond, gap), stream(0, gap), plain(300 * time.Millisecond), plain(0)}, true, true},
		{"one objective too short", Features{}, 6, []catalog.Route{stream(800*time.Millisecond, gap), stream(300*time.Millisecond, gap), plain(300 * time.Millisecond), plain(120 * time.Millisecond)}, false, false},
		{"prefill delays no stream", Features{}, 3, []catalog.Route{stream(800*time.Millisecond, gap), plain(300 * time.Millisecond)}, false, true},
		{"no longest pause", Features{}, 6, []catalog.Route{stream(800*time.Millisecond, 0)}, false, false},
		{"no routes", Features{}, 6, nil, false, false},
		{"always on", Features{IdleSurplus: true, QueuePlainWork: true}, 3, []catalog.Route{stream(300*time.Millisecond, gap), plain(120 * time.Millisecond)}, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			f := test.features
			if !f.IdleSurplus {
				f = Features{IdleSurplus: true, SurplusAuto: true, QueuePlainWork: true, PlainQueueAuto: true}
			}
			f.AvoidPauses = true
			d := newDispatcher(newTestDispatcher(t, now, 1).log, DispatcherOptions{ShareWindow: 4 * time.Second, Policy: placement.DefaultPolicy(), Features: f}, now)
			d.peers = newTestDispatcher(t, now, 1).peers
			c, err := catalog.NewConfiguration(catalog.Document{
				Version: 1, Routes: test.routes, Limits: catalog.Limits{TokensPerSecond: 1000},
				Services: []catalog.Service{{Name: "s", Engine: &catalog.Engine{Slots: 64, KVTokens: 500_000, MaxEventTokens: test.eventTokens}}, {Name: "p"}},
			})
			require.NoError(t, err)
			servers := []catalog.Server{{ID: "i-1", Service: "s", Address: "10.0.0.1:80", Capacity: 64}, {ID: "i-2", Service: "p", Address: "10.0.0.2:80", Capacity: 6}}
			d.setView(now, &View{Configuration: c, Servers: servers})
			require.Equal(t, test.surplus, d.surplus != nil)
			require.Equal(t, test.slots, d.balancer.WaitsForSlots("i-2"))
		})
	}
}
