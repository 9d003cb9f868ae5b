package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/placement"
)

// placeRetry has a request that has reached a server before sent to another one.
func placeRetry(t *testing.T, d *dispatcher, now time.Time) placement.Assign {
	t.Helper()
	reply := make(chan placement.Decision, 1)
	a := &placement.Request{Service: "s", Account: "a", Hall: "h", PromptTokens: 1000, Objective: time.Second, CallerTimeout: 5 * time.Second, Remaining: 10 * time.Second}
	d.place(now, placementRequest{request: a, retry: true, tokens: 1000, done: make(chan struct{}), reply: reply})
	decision := <-reply
	require.IsType(t, placement.Assign{}, decision)
	return decision.(placement.Assign)
}

// TestGivenUpRetriesArriveLater: a retry that is given up without a sign of its server may still
// reach it, and counts as on its way until it can't.
func TestGivenUpRetriesArriveLater(t *testing.T) {
	tests := []struct {
		name     string
		end      placement.Outcome
		status   int
		inFlight int // just after the end
	}{
		{"served", placement.Served, 200, 0},
		{"rejected", placement.Rejected, 0, 0},
		{"failed with an answer", placement.Failed, 500, 0},
		{"never sent", placement.NotSent, 0, 0},
		{"no connection", placement.Unreachable, 0, 0},
		{"connection broke", placement.Failed, 0, 1},
		{"caller left", placement.Abandoned, 0, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			started := time.Now()
			d := newTestDispatcher(t, started, 2)
			now := started.Add(time.Minute)
			inFlight := func() int { return d.retryBudget.Usage(now, "s", d.fleetSize()).InFlight }
			assign := placeRetry(t, d, now)
			require.Equal(t, 1, inFlight())
			d.recordEnd(now, attemptEnded{attemptID: assign.ID, server: assign.Server.ID, end: test.end, status: test.status})
			require.Equal(t, test.inFlight, inFlight())
			now = now.Add(arrivalTimeout)
			d.acknowledgeLate(now)
			require.Zero(t, inFlight())
		})
	}
}

// TestFirstEventAcknowledgesRetry checks that a retry is on its way until its first event, and
// acknowledged once.
func TestFirstEventAcknowledgesRetry(t *testing.T) {
	started := time.Now()
	d := newTestDispatcher(t, started, 2)
	now := started.Add(time.Minute)
	assign := placeRetry(t, d, now)
	d.recordFirstEvent(now, firstEventReceived{attemptID: assign.ID, server: assign.Server.ID})
	require.Zero(t, d.retryBudget.Usage(now, "s", d.fleetSize()).InFlight)
	d.recordEnd(now, attemptEnded{attemptID: assign.ID, server: assign.Server.ID, end: placement.Failed})
	d.acknowledgeLate(now.Add(arrivalTimeout))
	require.Zero(t, d.retryBudget.Usage(now, "s", d.fleetSize()).InFlight)
}
