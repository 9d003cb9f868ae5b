package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/peer"
)

// TestHelpers: only gateways of the own hall that have processor left get connections,
// in the measure of what they have.
func TestHelpers(t *testing.T) {
	h := &helpers{hall: "a", list: map[string]int{}}
	require.Empty(t, h.choose())
	told := func(from, hall string, weight int) {
		h.update(peer.Update{From: from, Hall: hall, Alive: true, Full: true, Weight: weight})
	}
	told("1", "a", 144)
	told("2", "a", 800)
	told("3", "b", 800)
	told("4", "a", 0)
	chosen := map[string]int{}
	const many = 2000
	for range many {
		chosen[h.choose()]++
	}
	require.Len(t, chosen, 2)
	require.InDelta(t, many*800/944, chosen["2"], 120)
	h.update(peer.Update{From: "2", Hall: "a", Alive: true})
	require.Contains(t, []string{"1", "2"}, h.choose(), "what is no whole beacon tells no weight")
	told("2", "a", 0) // short of processor
	for range 10 {
		require.Equal(t, "1", h.choose())
	}
	h.update(peer.Update{From: "1"}) // gone
	require.Empty(t, h.choose())
}

// TestThrottlePassesOnFirst: what is not admitted is passed on while that can be borne,
// and comes back in the other order.
func TestThrottlePassesOnFirst(t *testing.T) {
	s := throttle{share: 1, passed: 1, least: admitLeast}
	for range 18 {
		s.measure(latenessPass - 1)
	}
	require.InDelta(t, admitLeast, s.share, 0.02)
	require.Equal(t, 1.0, s.passed)
	for range 10 {
		s.measure(latenessPass + 1)
	}
	require.Equal(t, admitLeast, s.share)
	require.Less(t, s.passed, 0.5)
	for s.passed < 1 {
		s.measure(0)
		require.Equal(t, admitLeast, s.share)
	}
	s.measure(0)
	require.Greater(t, s.share, admitLeast)
}
