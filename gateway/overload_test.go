package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestThrottle checks that a delayed process admits less until it keeps up, and soon all
// again, and that a short pause changes little.
func TestThrottle(t *testing.T) {
	// The process falls behind by the work beyond its capacity.
	const capacity = 0.3 // share of the offered load
	delay := time.Duration(0)
	th := throttle{admitted: 1, offloaded: 1, minAdmitted: minAdmittedShare}
	admitted := 0.0
	const steps = 400
	for range steps {
		delay += time.Duration((th.admitted - capacity) * float64(delaySampleInterval))
		delay = max(delay, 0)
		th.adjust(delay)
		admitted += th.admitted
	}
	require.InDelta(t, capacity, admitted/steps, 0.1)
	require.Less(t, delay, 300*time.Millisecond)
	for range 60 {
		th.adjust(0)
	}
	require.Equal(t, 1.0, th.admitted)
	th.adjust(100 * time.Millisecond)
	require.Greater(t, th.admitted, 0.8)
	for range 1000 {
		th.adjust(100 * time.Millisecond)
	}
	require.Equal(t, minAdmittedShare, th.admitted)
	th.adjust(2 * time.Second)
	require.Zero(t, th.admitted, "its state is stale")
	th.adjust(20 * time.Millisecond)
	require.Equal(t, minAdmittedShare, th.admitted)
}

func TestOverloadAdmits(t *testing.T) {
	var o overload
	require.True(t, o.admits(), "its zero value admits everything")
	o.notAdmitted.Store(shareScale / 2)
	admitted := 0
	for range 1000 {
		if o.admits() {
			admitted++
		}
	}
	require.InDelta(t, 500, admitted, 100)
}

// TestNotAdmittedPercent: a gateway that admits all must send nothing, and one that is short of processor time
// must not look like one of an earlier release, which sends nothing either.
func TestNotAdmittedPercent(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		admitted float64
		delay    time.Duration
		want     int
	}{
		{1, 0, 0}, {1, highDelay + 1, 1}, {0.999, 0, 1}, {0.75, 0, 25}, {0.11, 0, 89}, {0, 0, 100}, {0, severeDelay, 100},
	}
	for _, test := range tests {
		o := &overload{}
		o.notAdmitted.Store(uint64((1 - test.admitted) * shareScale))
		o.delay.Store(int64(test.delay))
		require.Equal(t, test.want, o.notAdmittedPercent(now), "admitted %g, delay %s", test.admitted, test.delay)
	}
}
