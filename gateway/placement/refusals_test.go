package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/placement"
)

// TestNothingIsRefusedForPauses guards against a request that is refused, or held until it is late,
// because the server that has time for it has streams that would pause or no free memory.
func TestNothingIsRefusedForPauses(t *testing.T) {
	tests := []struct {
		name          string
		streams       int // at the server that is idle
		held          int // tokens there
		callerTimeout time.Duration
	}{
		{"pauses, caller comes back", 20, 0, 2 * time.Second},
		{"pauses, caller waits", 20, 0, 8 * time.Second},
		{"no free memory, caller comes back", 0, roomyMemory, 2 * time.Second},
		{"no free memory, caller waits", 0, roomyMemory, 8 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := start.Add(time.Minute)
			place := func(limit time.Duration) placement.Decision {
				b := memoryBalancer(2, roomyMemory, limit)
				b.SetRemoteRunning("i-00", test.streams)
				b.RecordSent(now, placement.Load{Server: "i-00", HeldTokens: test.held}, true)
				b.RecordSent(now, placement.Load{Server: "i-01", Work: 700 * time.Millisecond}, false)
				return b.Place(now, &placement.Request{Service: "m", Hall: "h", PromptTokens: 45_000, OutputTokens: 100, Objective: 2 * time.Second, CallerTimeout: test.callerTimeout, Remaining: 10 * time.Second})
			}
			require.IsType(t, placement.Assign{}, place(0))
			require.IsType(t, placement.Assign{}, place(longestPause))
		})
	}
}

// TestIdleServerWithoutSlots guards against an idle server of whose slots nothing is known and that
// counts as crowded: an account slightly beyond its share got nothing there.
func TestIdleServerWithoutSlots(t *testing.T) {
	b := placement.NewBalancer(placement.DefaultPolicy())
	b.SetServers(start, []catalog.Server{{ID: "i-1", Service: "m", Hall: "h"}}, func(string) *catalog.Engine { return &catalog.Engine{KVTokens: 500_000} })
	r := &placement.Request{Service: "m", Hall: "h", PromptTokens: 1000, Objective: time.Second, Remaining: time.Minute, OverShare: true, ShareRatio: 0.9}
	require.IsType(t, placement.Assign{}, b.Place(start, r))
}
