package fleettest_test

import (
	"fmt"
	"testing"
	"time"

	"opalbridge.dev/attempt"
	"opalbridge.dev/bubbletest"
	"opalbridge.dev/fleettest"
)

// secondAfter is how long after the first fault of a pair the second strikes.
const secondFaultDelay = 200 * time.Millisecond

// TestPairsOfFaults strikes with every pair of faults, one of them twice included,
// where they can meet in one request.
func TestPairsOfFaults(t *testing.T) {
	meeting := []step{steps[1], steps[4], steps[5]}
	n := 0
	for i, x := range fleettest.Faults {
		for _, y := range fleettest.Faults[i:] {
			for _, s := range meeting {
				n++
				noRepeat := n%2 == 0
				t.Run(fmt.Sprintf("%s + %s/%s", x.Name, y.Name, s.name), func(t *testing.T) {
					bubbletest.Run(t, func(t *testing.T) {
						f := matrixFleet(t)
						c := call(noRepeat)
						a := runWithFaults(t, f, c, map[time.Duration]fleettest.Fault{s.at: x, s.at + secondFaultDelay: y})
						if _, notRun := a.Outcome.(attempt.NotExecuted); notRun && (x.HitsCallerRouter || y.HitsCallerRouter) {
							a.Outcome = attempt.Unknown{} // the caller's connection broke: it saw nothing
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
