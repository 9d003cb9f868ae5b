package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestThrottle: a process that is late admits less until it is on time, and soon all
// again; a short pause changes little.
func TestThrottle(t *testing.T) {
	// The process is late by what it has too much to do.
	const capacity = 0.3 // of what is asked
	late := time.Duration(0)
	s := throttle{share: 1, passed: 1, least: admitLeast}
	admitted := 0.0
	const steps = 400
	for range steps {
		late += time.Duration((s.share - capacity) * float64(latenessEvery))
		late = max(late, 0)
		s.measure(late)
		admitted += s.share
	}
	require.InDelta(t, capacity, admitted/steps, 0.1)
	require.Less(t, late, 300*time.Millisecond)
	for range 60 {
		s.measure(0)
	}
	require.Equal(t, 1.0, s.share)
	s.measure(100 * time.Millisecond)
	require.Greater(t, s.share, 0.8)
	for range 1000 {
		s.measure(100 * time.Millisecond)
	}
	require.Equal(t, admitLeast, s.share)
	s.measure(2 * time.Second)
	require.Zero(t, s.share, "what it believes is old")
	s.measure(20 * time.Millisecond)
	require.Equal(t, admitLeast, s.share)
}

func TestOverloadAdmits(t *testing.T) {
	var o overload
	require.True(t, o.admits(), "its zero value admits everything")
	o.turnedAway.Store(partsOfShare / 2)
	admitted := 0
	for range 1000 {
		if o.admits() {
			admitted++
		}
	}
	require.InDelta(t, 500, admitted, 100)
}
