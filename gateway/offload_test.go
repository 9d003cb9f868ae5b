package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/peer"
)

// TestOffloadTargets checks that only gateways of the same hall with processor time to spare
// get connections, in proportion to their weight.
func TestOffloadTargets(t *testing.T) {
	now := time.Now()
	targets := newOffloadTargets("a", nil, func() bool { return false })
	pick := func() string { return targets.choose(now, "").Address }
	require.Empty(t, pick())
	report := func(from, hall string, weight int) {
		targets.update(now, peer.Update{From: from, Hall: hall, Alive: true, Full: true, Weight: weight})
	}
	report("1", "a", 144)
	report("2", "a", 800)
	report("3", "b", 800)
	report("4", "a", 0)
	chosen := map[string]int{}
	const many = 2000
	for range many {
		chosen[pick()]++
	}
	require.Len(t, chosen, 2)
	require.InDelta(t, many*800/944, chosen["2"], 120)
	targets.update(now, peer.Update{From: "2", Hall: "a", Alive: true})
	require.Contains(t, []string{"1", "2"}, pick(), "an incremental heartbeat carries no weight")
	report("2", "a", 0) // overloaded
	for range 10 {
		require.Equal(t, "1", pick())
	}
	targets.update(now, peer.Update{From: "1"}) // gone
	require.Empty(t, pick())
}

// TestThrottleOffloadsFirst checks that requests that are not admitted are offloaded as long
// as the process can bear it, and that shares recover in reverse order.
func TestThrottleOffloadsFirst(t *testing.T) {
	th := throttle{admitted: 1, offloaded: 1, minAdmitted: minAdmittedShare}
	for range 18 {
		th.adjust(offloadMaxDelay - 1)
	}
	require.InDelta(t, minAdmittedShare, th.admitted, 0.02)
	require.Equal(t, 1.0, th.offloaded)
	for range 10 {
		th.adjust(offloadMaxDelay + 1)
	}
	require.Equal(t, minAdmittedShare, th.admitted)
	require.Less(t, th.offloaded, 0.5)
	for th.offloaded < 1 {
		th.adjust(0)
		require.Equal(t, minAdmittedShare, th.admitted)
	}
	th.adjust(0)
	require.Greater(t, th.admitted, minAdmittedShare)
}
