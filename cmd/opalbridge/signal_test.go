package main

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSecondSignalCutsNothingAtGateway guards against a stop of a gateway that a repeated SIGTERM cuts short.
func TestSecondSignalCutsNothingAtGateway(t *testing.T) {
	f := startGatewayFleet(t, []gatewayHost{{"a", 0.8}}, "")
	p := f.gateways[0].command.Process
	began := time.Now()
	require.NoError(t, p.Signal(syscall.SIGTERM))
	time.Sleep(100 * time.Millisecond)
	require.NoError(t, p.Signal(syscall.SIGTERM))
	require.Regexp(t, `"shutdown requested"`, <-f.logs[0])
	require.Greater(t, time.Since(began), 400*time.Millisecond, "connections are accepted for half of stop_timeout")
}
