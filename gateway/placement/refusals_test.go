package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/placement"
)

// TestRefusedOnlyForLateStreams guards against a request that is refused, or held, beside a server that is in
// time for it and where it makes no stream late and fits into the memory; and against one that is sent
// there although it does.
func TestRefusedOnlyForLateStreams(t *testing.T) {
	tests := []struct {
		name    string
		streams int // at the server that is idle
		held    int // tokens there
		sent    bool
	}{
		{"no streams", 0, 0, true},
		{"streams that become late", 20, 0, false},
		{"half of the memory", 0, roomyMemory / 2, true},
		{"no free memory", 0, roomyMemory, false},
	}
	for _, test := range tests {
		for _, callerTimeout := range []time.Duration{2 * time.Second, 8 * time.Second} {
			t.Run(fmt.Sprintf("%s, caller waits %s", test.name, callerTimeout), func(t *testing.T) {
				now := start.Add(time.Minute)
				place := func(limit time.Duration) placement.Decision {
					b := memoryBalancer(2, roomyMemory, limit)
					b.SetRemoteRunning("i-00", test.streams)
					b.RecordSent(now, placement.Load{Server: "i-00", HeldTokens: test.held}, true)
					b.RecordSent(now, placement.Load{Server: "i-01", Work: 700 * time.Millisecond}, false)
					return b.Place(now, &placement.Request{Service: "m", Hall: "h", PromptTokens: 45_000, OutputTokens: 100, Objective: 2 * time.Second, CallerTimeout: callerTimeout, Remaining: 10 * time.Second})
				}
				require.IsType(t, placement.Assign{}, place(0), "pauses and memory are not regarded")
				_, sent := place(longestPause).(placement.Assign)
				require.Equal(t, test.sent, sent)
			})
		}
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
