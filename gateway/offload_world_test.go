package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// parts returns the parts of the requests that were in time, of all callers and of those of the other halls.
func (r hallWorldResult) parts() (all, elsewhere float64) {
	return float64(r.inTime) / float64(r.requests), float64(r.elsewhereInTime) / float64(r.elsewhere)
}

// playHalls plays three halls of nine gateways, of which two thirds of the callers reach the first, with connections
// handed off within the hall and to other halls.
func playHalls(name string, o hallWorldOptions) (hall, region hallWorldResult) {
	o.halls, o.burstAt = 3, 30*time.Second
	o.offload = Off
	hall = newHallWorld(o).play()
	o.offload = On
	region = newHallWorld(o).play()
	for _, r := range []hallWorldResult{hall, region} {
		all, elsewhere := r.parts()
		fmt.Printf("%s, seed %d: %.3f in time, %.3f of the other halls' callers, %d to other halls, which are idle for %.2f of the burst; %s\n",
			name, o.seed, all, elsewhere, r.otherHall, r.idleInBurst, r)
	}
	return hall, region
}

// minElsewhere is the part of the other halls' callers that must be served in time: connections of the first hall
// must not cost them anything but by chance.
const minElsewhere = 0.99

// TestBurstInOneHall: when a burst exceeds the CPU time of one hall's gateways, its callers must be served by the
// gateways of the other halls that are idle, and the callers there must not notice.
func TestBurstInOneHall(t *testing.T) {
	t.Parallel()
	tests := []struct {
		rate      float64
		minInTime float64
		minGain   float64 // over connections that stay in their hall
	}{
		{300, 0.99, 0.05},
		{450, 0.9, 0.05},
		// The small hosts of the hall spend their CPU time on rejections then.
		{600, 0.65, 0.05},
	}
	for _, test := range tests {
		for _, seed := range []uint64{0, 1} {
			t.Run(fmt.Sprintf("%.0f a second, seed %d", test.rate, seed), func(t *testing.T) {
				hall, region := playHalls(fmt.Sprintf("%.0f a second", test.rate), hallWorldOptions{rate: test.rate, seed: seed})
				before, _ := hall.parts()
				after, elsewhere := region.parts()
				require.Zero(t, hall.otherHall)
				require.GreaterOrEqual(t, after, test.minInTime)
				require.GreaterOrEqual(t, after, before+test.minGain)
				require.GreaterOrEqual(t, elsewhere, minElsewhere)
				require.Less(t, region.idleInBurst, hall.idleInBurst)
			})
		}
	}
}

// TestHandoffFailuresInWorld: whatever fails, callers must not be served worse than if connections stayed in their hall.
func TestHandoffFailuresInWorld(t *testing.T) {
	t.Parallel()
	hallB := []int{9, 10, 11, 12, 13, 14, 15, 16, 17}
	tests := []struct {
		name    string
		options hallWorldOptions
	}{
		{"beacons are lost for good", hallWorldOptions{reportsFrom: 35 * time.Second, reportsEnd: hallLength}},
		{"beacons are lost for a while", hallWorldOptions{reportsFrom: 35 * time.Second, reportsEnd: 40 * time.Second}},
		{"the large hosts of another hall die", hallWorldOptions{dies: hallB[:2], diesAt: 35 * time.Second}},
		{"another hall is evacuated", hallWorldOptions{dies: hallB, diesAt: 35 * time.Second}},
		{"the gateway with most spare CPU restarts", hallWorldOptions{restarts: 9, diesAt: 35 * time.Second}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := test.options
			o.rate = 450
			hall, region := playHalls(test.name, o)
			before, _ := hall.parts()
			after, _ := region.parts()
			require.GreaterOrEqual(t, after, before-hallTolerance)
			require.GreaterOrEqual(t, region.elsewhereInTime, hall.elsewhereInTime-int(hallTolerance*float64(hall.elsewhere)))
		})
	}
}

// TestNotCalledForStaysInHall: with automatic mode, deployments whose configuration does not call for it must be
// served exactly as with connections that stay in their hall.
func TestNotCalledForStaysInHall(t *testing.T) {
	t.Parallel()
	o := hallWorldOptions{rate: 450, halls: 3, burstAt: 30 * time.Second}
	off := newHallWorld(o).play()
	o.offload = Auto
	require.Equal(t, off, newHallWorld(o).play())
	require.Positive(t, off.offloaded)
	require.Zero(t, off.otherHall)
}
