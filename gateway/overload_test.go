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
