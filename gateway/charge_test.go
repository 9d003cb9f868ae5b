package gateway

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/placement"
	"opalbridge.dev/gateway/share"
)

// hasUsage reports whether an account is charged for a request.
func hasUsage(d *dispatcher, now time.Time) bool {
	return slices.ContainsFunc(d.shares.LocalDemands(now), func(o share.Demand) bool { return o.Admitted > 0 })
}

// TestLostNotCharged checks that an account is not charged for requests that were lost with
// their servers before they began. Charging them put accounts beyond their share for four
// seconds without anything having run: 3.5 million tokens were sent to 13 servers in the
// second in which they crashed.
func TestLostNotCharged(t *testing.T) {
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
			require.True(t, hasUsage(d, now))
			now = now.Add(300 * time.Millisecond)
			if test.begins {
				d.recordFirstEvent(now, firstEventReceived{attemptID: assign.ID, server: assign.Server.ID})
			}
			d.recordEnd(now, attemptEnded{attemptID: assign.ID, server: assign.Server.ID, end: test.end})
			require.Equal(t, test.counts, hasUsage(d, now))
		})
	}
}
