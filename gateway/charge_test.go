package gateway

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/placement"
	"opalbridge.dev/gateway/share"
)

// counts tells whether an account counts as having got something.
func counts(d *dispatcher, now time.Time) bool {
	return slices.ContainsFunc(d.shares.LocalDemands(now), func(o share.Demand) bool { return o.Admitted > 0 })
}

// TestLostDoesNotCount: an account whose requests were lost with their servers before they
// began got nothing. Counted as got, they put accounts beyond their share for four seconds of
// which nothing had run: 3.5 million tokens were sent to 13 servers in a second of which they
// ended.
func TestLostDoesNotCount(t *testing.T) {
	tests := []struct {
		name   string
		begins bool
		end    placement.Outcome
		counts bool
	}{
		{"served", true, placement.Served, true},
		{"lost before it began", false, placement.Failed, false},
		{"lost later", true, placement.Failed, true},
		{"never reached", false, placement.Unreachable, false},
		{"full", false, placement.Rejected, false},
		{"its caller left", false, placement.Abandoned, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			d := newTestDispatcher(t, now, 2)
			reply, _ := d.placeRequest(now, "a", func(a *placement.Request) { a.PromptTokens = 1000 })
			assign, ok := (<-reply).(placement.Assign)
			require.True(t, ok)
			require.True(t, counts(d, now))
			now = now.Add(300 * time.Millisecond)
			if test.begins {
				d.recordFirstEvent(now, firstEventReceived{ticket: assign.ID, server: assign.Server.ID})
			}
			d.recordEnd(now, attemptEnded{ticket: assign.ID, server: assign.Server.ID, end: test.end})
			require.Equal(t, test.counts, counts(d, now))
		})
	}
}
