package fleettest_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/attempt"
	"opalbridge.dev/bubbletest"
	"opalbridge.dev/config"
	"opalbridge.dev/fleettest"
)

// TestPlannedStopCutsOffNothing begins a planned stop at every step of a request, which
// must still complete.
func TestPlannedStopCutsOffNothing(t *testing.T) {
	stops := []struct {
		name string
		stop func(*fleettest.Fleet) <-chan struct{}
	}{
		{"agent", func(f *fleettest.Fleet) <-chan struct{} { return f.Agents[0].Node.Drain() }},
		{"router", func(f *fleettest.Fleet) <-chan struct{} { return f.Routers[0].Node.Drain() }},
		{"server marked leaving", func(f *fleettest.Fleet) <-chan struct{} {
			f.Propose(func(d *config.Document) error {
				d.Servers[0].Leaving = true
				return nil
			})
			return nil
		}},
	}
	for _, stop := range stops {
		for _, s := range steps[1:] {
			t.Run(stop.name+"/"+s.name, func(t *testing.T) {
				bubbletest.Run(t, func(t *testing.T) {
					f := matrixFleet(t)
					stopping := make(chan (<-chan struct{}), 1)
					go func() {
						time.Sleep(s.at)
						stopping <- stop.stop(f)
					}()
					a := f.Do(context.Background(), call(true))
					require.Equal(t, attempt.Executed{Complete: true}, a.Outcome, "a planned stop cut off the request")
					checkGuarantees(t, f, call(true), a)
					if drained := <-stopping; drained != nil {
						<-drained
					}
				})
			})
		}
	}
}

// TestStoppedAgentHasAnswered guards against an agent that ends after its drain with calls of routers unanswered.
func TestStoppedAgentHasAnswered(t *testing.T) {
	for at := time.Duration(0); at < 1400*time.Millisecond; at += 10 * time.Millisecond {
		bubbletest.Run(t, func(t *testing.T) {
			f := matrixFleet(t)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				time.Sleep(at)
				<-f.Agents[0].Node.Drain()
				f.EndAgent(f.Agents[0])
			}()
			a := f.Do(context.Background(), call(true))
			<-ended
			require.Equal(t, attempt.Executed{Complete: true}, a.Outcome, "stopped at %s", at)
		})
	}
}

// newWorkBound is the time after an accepted change within which a leaving server may
// still get new work. The change itself may take 18 s to reach a node that was
// disconnected (docs/operators/stops.md).
const newWorkBound = 3 * time.Second

// TestLeavingServerGetsNoNewWork marks a server of a busy fleet as leaving, or drains its
// agent, and checks how long it still gets new work.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	methods := []struct {
		name  string
		leave func(*fleettest.Fleet)
	}{
		{"by an operator", func(f *fleettest.Fleet) {
			f.Propose(func(d *config.Document) error {
				d.Servers[0].Leaving = true
				return nil
			})
		}},
		{"by its agent", func(f *fleettest.Fleet) { f.Agents[0].Node.Drain() }},
		{"by the live list", func(f *fleettest.Fleet) { f.SetHostLeaving(f.Agents[0]) }},
	}
	for _, method := range methods {
		t.Run(method.name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				f := matrixFleet(t)
				ctx, cancel := context.WithCancel(context.Background())
				for range 40 {
					go func() {
						for ctx.Err() == nil {
							f.Do(ctx, call(false))
							time.Sleep(10 * time.Millisecond)
						}
					}()
				}
				time.Sleep(5 * time.Second)
				method.leave(f)
				start := time.Now()
				last := time.Duration(0)
				for runs := len(f.Agents[0].Model.Runs()); time.Since(start) < 20*time.Second; time.Sleep(50 * time.Millisecond) {
					if now := len(f.Agents[0].Model.Runs()); now > runs {
						runs, last = now, time.Since(start)
					}
				}
				t.Logf("figure last-new-work-after-leaving %q %.2f s", method.name, last.Seconds())
				cancel()
				time.Sleep(time.Minute)
				require.LessOrEqual(t, last, newWorkBound)
			})
		})
	}
}
