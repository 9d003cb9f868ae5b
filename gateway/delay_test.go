package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/placement"
)

// TestOwnDelayNotBlamedOnServers checks that a gateway whose scheduling is delayed measures
// servers' speeds within a tenth, and reports no server as silent or unreachable.
func TestOwnDelayNotBlamedOnServers(t *testing.T) {
	tests := []struct {
		name  string
		delay time.Duration // delay with which the process observes first events
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
			d.lateness = func(_, _ time.Time) time.Duration { return test.delay }
			before := d.balancer.Speed("s")
			promptTime := time.Duration(0) // time of a prompt; the first prediction is right
			for range 300 {
				reply, _ := d.placeRequest(now, "a", func(a *placement.Request) { a.PromptTokens = 20000; a.Objective = 3 * time.Second })
				assign, ok := (<-reply).(placement.Assign)
				require.True(t, ok)
				if promptTime == 0 {
					promptTime = assign.Predicted
				}
				observed := now.Add(promptTime + test.delay)
				d.detectOverdue(observed)
				d.detectSilent(observed)
				for attemptID, p := range d.pending {
					require.False(t, p.reportedSilent, "server of request %d is reported as silent", attemptID)
				}
				d.recordFirstEvent(observed, firstEventReceived{attemptID: assign.ID, server: assign.Server.ID})
				d.recordEnd(observed, attemptEnded{attemptID: assign.ID, server: assign.Server.ID, end: placement.Served})
				now = observed.Add(100 * time.Millisecond)
			}
			require.InEpsilon(t, before.PrefillSlowdown, d.balancer.Speed("s").PrefillSlowdown, 0.1)
			reply, _ := d.placeRequest(now, "a", nil)
			assign, ok := (<-reply).(placement.Assign)
			require.True(t, ok)
			d.recordEnd(now, attemptEnded{attemptID: assign.ID, server: assign.Server.ID, end: placement.Unreachable})
			again, _ := d.placeRequest(now, "a", func(a *placement.Request) { a.Exclude = nil })
			require.IsType(t, placement.Assign{}, <-again)
		})
	}
}

// TestDelayHistory checks the maximum delay since a time, including the sample that is
// overdue.
func TestDelayHistory(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var h delayHistory
	require.Zero(t, h.max(start, at(100)), "there are no samples yet")
	for i, late := range []time.Duration{1, 30, 2, 3} {
		now := at(25 * (i + 1))
		h.add(now, late*time.Millisecond, now.Add(delaySampleInterval))
	}
	require.Equal(t, 30*time.Millisecond, h.max(at(0), at(101)))
	require.Equal(t, 3*time.Millisecond, h.max(at(60), at(101)))
	require.Equal(t, 75*time.Millisecond, h.max(at(60), at(200)), "the next sample was due at 125 ms")
	for i := range 2 * historySize {
		now := at(100 + 25*(i+1))
		h.add(now, 0, now.Add(delaySampleInterval))
	}
	require.Zero(t, h.max(at(0), at(100+25*2*historySize)), "old samples are dropped")
}
