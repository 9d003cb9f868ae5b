package fleettest_test

import (
	"context"
	"opalbridge.dev/bubbletest"
	"testing"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/attempt"
	"opalbridge.dev/fleettest"
)

// TestWholePath sends a streamed model request and a service request through real
// routers and agents.
func TestWholePath(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		f := fleettest.Start(t, fleettest.Options{Services: 1})
		a := f.Do(context.Background(), fleettest.Call{Account: "solo", Tokens: 20})
		require.Equal(t, attempt.Executed{Complete: true}, a.Outcome)
		require.Contains(t, string(a.Body), "t19 ")
		require.Contains(t, string(a.Body), "[DONE]")

		b := f.Do(context.Background(), fleettest.Call{Account: "solo", Pool: fleettest.ServicePool, NonRepeatable: true})
		require.Equal(t, attempt.Executed{Complete: true}, b.Outcome)
		require.Equal(t, 1, f.Agents[3].Service.Runs()[b.ID])
	})
}
