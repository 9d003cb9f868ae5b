package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/placement"
)

// TestOwnShortageTellsNothingOfServers: a gateway that is late with everything finds
// servers' figures within a tenth, calls none silent, and none unreachable.
func TestOwnShortageTellsNothingOfServers(t *testing.T) {
	tests := []struct {
		name string
		late time.Duration // with which the process hears of first events
	}{
		{"on time", 0},
		{"a little late", 5 * time.Millisecond},
		{"late", 60 * time.Millisecond},
		{"very late", time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			d := newTestDispatcher(t, now, 3)
			d.lateness = func(_, _ time.Time) time.Duration { return test.late }
			before := d.balancer.Speed("s")
			takes := time.Duration(0) // what a prompt takes; the first prediction is right
			for range 300 {
				reply, _ := d.placeRequest(now, "a", func(a *placement.Request) { a.PromptTokens = 20000; a.Objective = 3 * time.Second })
				assign, ok := (<-reply).(placement.Assign)
				require.True(t, ok)
				if takes == 0 {
					takes = assign.Predicted
				}
				heard := now.Add(takes + test.late)
				d.detectOverdue(heard)
				d.detectSilent(heard)
				for ticket, p := range d.pending {
					require.False(t, p.reportedSilent, "server of request %d counts as silent", ticket)
				}
				d.recordFirstEvent(heard, firstEventReceived{ticket: assign.ID, server: assign.Server.ID})
				d.recordEnd(heard, attemptEnded{ticket: assign.ID, server: assign.Server.ID, end: placement.Served})
				now = heard.Add(100 * time.Millisecond)
			}
			require.InEpsilon(t, before.PrefillSlowdown, d.balancer.Speed("s").PrefillSlowdown, 0.1)
			reply, _ := d.placeRequest(now, "a", nil)
			assign, ok := (<-reply).(placement.Assign)
			require.True(t, ok)
			d.recordEnd(now, attemptEnded{ticket: assign.ID, server: assign.Server.ID, end: placement.Unreachable})
			again, _ := d.placeRequest(now, "a", func(a *placement.Request) { a.Exclude = nil })
			require.IsType(t, placement.Assign{}, <-again)
		})
	}
}

// TestHistory: the worst lateness since a time, and the measurement that is overdue.
func TestHistory(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var h history
	require.Zero(t, h.worst(start, at(100)), "nothing is known yet")
	for i, late := range []time.Duration{1, 30, 2, 3} {
		now := at(25 * (i + 1))
		h.note(now, late*time.Millisecond, now.Add(latenessEvery))
	}
	require.Equal(t, 30*time.Millisecond, h.worst(at(0), at(101)))
	require.Equal(t, 3*time.Millisecond, h.worst(at(60), at(101)))
	require.Equal(t, 75*time.Millisecond, h.worst(at(60), at(200)), "the next measurement was due at 125 ms")
	for i := range 2 * historySize {
		now := at(100 + 25*(i+1))
		h.note(now, 0, now.Add(latenessEvery))
	}
	require.Zero(t, h.worst(at(0), at(100+25*2*historySize)), "what is long past is forgotten")
}
