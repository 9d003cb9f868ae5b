package fleettest_test

import (
	"fmt"
	"testing"
	"time"

	"opalbridge.dev/attempt"
	"opalbridge.dev/bubbletest"
	"opalbridge.dev/fleettest"
)

// secondFaultDelay is the time between the two faults of a pair.
const secondFaultDelay = 200 * time.Millisecond

// TestPairsOfFaults injects every pair of faults, including a fault paired with itself,
// at the steps at which both can affect one request.
func TestPairsOfFaults(t *testing.T) {
	overlapping := []step{steps[1], steps[4], steps[5]}
	n := 0
	for i, x := range fleettest.Faults {
		for _, y := range fleettest.Faults[i:] {
			for _, s := range overlapping {
				n++
				noRepeat := n%2 == 0
				t.Run(fmt.Sprintf("%s + %s/%s", x.Name, y.Name, s.name), func(t *testing.T) {
					bubbletest.Run(t, func(t *testing.T) {
						f := matrixFleet(t)
						c := call(noRepeat)
						a := runWithFaults(t, f, c, map[time.Duration]fleettest.Fault{s.at: x, s.at + secondFaultDelay: y})
						if _, notRun := a.Outcome.(attempt.NotExecuted); notRun && (x.HitsCallerRouter || y.HitsCallerRouter) {
							a.Outcome = attempt.Unknown{} // the caller's connection broke, so it got no answer
						}
						checkGuarantees(t, f, c, a)
						requireRecovery(t, f)
					})
				})
			}
		}
	}
	t.Logf("figure fault-pairs %d runs", n)
}
