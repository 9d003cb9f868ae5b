package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSpareCPU: other halls must be told what CPU time the process does not use, within half a second, and nothing
// once the configuration does not call for it any more.
func TestSpareCPU(t *testing.T) {
	now, used, called := time.Unix(1000, 0), time.Duration(0), false
	s := &spareCPU{milliCPU: 800, calledFor: func() bool { return called }, used: func() time.Duration { return used }}
	run := func(cores float64, length time.Duration) (spare int, tells bool) {
		for end := now.Add(length); now.Before(end); {
			now = now.Add(delaySampleInterval)
			used += time.Duration(cores * float64(delaySampleInterval))
			require.False(t, s.sample(now, false))
		}
		return s.told()
	}
	_, tells := run(0, time.Second)
	require.False(t, tells, "the configuration has not called for it yet")
	called = true
	spare, tells := run(0, time.Second)
	require.True(t, tells)
	require.Equal(t, 800, spare)
	spare, _ = run(0.6, 250*time.Millisecond)
	require.InDelta(t, 500, spare, 5, "half of the change")
	spare, _ = run(0.6, 2*time.Second)
	require.InDelta(t, 200, spare, 5)
	spare, _ = run(3, 2*time.Second)
	require.Zero(t, spare, "it uses more than its share")
	run(0, 2*time.Second)
	called = false
	spare, tells = run(0, 100*time.Millisecond)
	require.True(t, tells, "the others must not keep what was told before")
	require.Zero(t, spare)
}

// TestShortReportedAtOnce: the others must hear at once that a gateway has become short of CPU time, but one that is
// short by turns must not send more than four beacons a second for it.
func TestShortReportedAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &spareCPU{milliCPU: 800, calledFor: func() bool { return true }, used: func() time.Duration { return 0 }}
	reports := 0
	sample := func(short bool) bool {
		now = now.Add(delaySampleInterval)
		soon := s.sample(now, short)
		if soon {
			reports++
		}
		return soon
	}
	require.False(t, sample(false))
	require.True(t, sample(true))
	require.False(t, sample(true))
	for range 40 { // a second
		sample(true)
		sample(false)
	}
	require.LessOrEqual(t, reports, 1+8)
	require.GreaterOrEqual(t, reports, 1+6)
}

// TestProcessCPUTime: the measurement must count what the process uses.
func TestProcessCPUTime(t *testing.T) {
	before := processCPUTime()
	for began := time.Now(); time.Since(began) < 50*time.Millisecond; {
	}
	require.Greater(t, processCPUTime()-before, 5*time.Millisecond)
}
