package fleettest_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/bubbletest"
	"opalbridge.dev/config"
	"opalbridge.dev/fleettest"
	"opalbridge.dev/kv/kvtest"
)

// propagationBound is the required time within which an accepted change is in force at
// every node after the last fault has ended.
const propagationBound = 18 * time.Second

// watchRevisions asserts that no node's revision decreases until stop is called.
func watchRevisions(t testing.TB, f *fleettest.Fleet) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		seen := map[any]uint64{}
		for ctx.Err() == nil {
			for node, revision := range f.Revisions() {
				if revision < seen[node] {
					t.Errorf("revision decreased from %d to %d", seen[node], revision)
				}
				seen[node] = revision
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// TestConfigurationUnderFaults changes the configuration during every fault. An
// accepted change must be in force at every node in time and must not revert.
func TestConfigurationUnderFaults(t *testing.T) {
	delays := []time.Duration{0, 20 * time.Millisecond, time.Second}
	for _, x := range fleettest.Faults {
		for _, delay := range delays {
			t.Run(fmt.Sprintf("%s/%s", x.Name, delay), func(t *testing.T) {
				bubbletest.Run(t, func(t *testing.T) {
					f := matrixFleet(t)
					stop := watchRevisions(t, f)
					done := make(chan struct{})
					go func() {
						defer close(done)
						x.Run(context.Background(), f)
					}()
					time.Sleep(delay)
					o := f.Propose(func(d *config.Document) error {
						d.Accounts[0].Share = 7
						return nil
					})
					<-done
					accepted, ok := o.(config.Accepted)
					if !ok {
						require.IsType(t, config.Indeterminate{}, o)
					} else {
						requireRevision(t, f, accepted.Document.Revision)
					}
					stop()
				})
			})
		}
	}
}

func requireRevision(t testing.TB, f *fleettest.Fleet, revision uint64) {
	end := time.Now().Add(propagationBound)
	for {
		behind := 0
		for _, r := range f.Revisions() {
			if r < revision {
				behind++
			}
		}
		if behind == 0 {
			return
		}
		require.True(t, time.Now().Before(end), "%d nodes are behind revision %d", behind, revision)
		time.Sleep(50 * time.Millisecond)
	}
}

// TestRestartDuringOutage restarts an agent while the platform's service is down. It
// must get the newest revision from several peers, not from an old copy.
func TestRestartDuringOutage(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		f := matrixFleet(t)
		o, ok := f.Propose(func(d *config.Document) error {
			d.Accounts[0].Share = 3
			return nil
		}).(config.Accepted)
		require.True(t, ok)
		requireRevision(t, f, o.Document.Revision)
		f.Platform.SetFaults(kvtest.Faults{Down: true})
		f.CrashAgent(f.Agents[0])
		f.StartAgent(f.Agents[0])
		requireRevision(t, f, o.Document.Revision)
	})
}

// TestServiceRestoredFromOlderCopy restores the platform's service from a copy that lacks an accepted
// change. The change must stay in force and be rewritten, and the next change must follow it.
func TestServiceRestoredFromOlderCopy(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		f := matrixFleet(t)
		stop := watchRevisions(t, f)
		defer stop()
		share := func(n uint32) uint64 {
			o, ok := f.Propose(func(d *config.Document) error {
				d.Accounts[0].Share = n
				return nil
			}).(config.Accepted)
			require.True(t, ok)
			return o.Document.Revision
		}
		share(2)
		older := f.Platform.Snapshot()
		lost := share(3)
		requireRevision(t, f, lost)
		f.Platform.RestoreSnapshot(older)
		time.Sleep(propagationBound)
		store := config.Store{KV: f.Platform}
		d, _, err := store.Load(t.Context())
		require.NoError(t, err)
		require.Equal(t, lost, d.Revision, "the lost revision was not rewritten to the service")
		next := share(4)
		require.Equal(t, lost+1, next)
		requireRevision(t, f, next)
	})
}

// TestServiceLoadIsBounded bounds the call rate of idle routers on the platform's
// service, and of routers that recover from an outage at the same time.
func TestServiceLoadIsBounded(t *testing.T) {
	for _, routers := range []int{10, 50} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				f := fleettest.Start(t, fleettest.Options{Routers: routers, Models: 1, Halls: 2})
				time.Sleep(time.Minute)
				steady := callRate(f, 2*time.Minute)
				f.Platform.SetFaults(kvtest.Faults{Down: true})
				time.Sleep(5 * time.Minute)
				outage := callRate(f, time.Minute)
				f.Platform.SetFaults(kvtest.Faults{})
				peak := 0.0
				for range 20 {
					peak = max(peak, callRate(f, time.Second))
				}
				t.Logf("figure service-calls %d routers: steady %.2f outage %.2f most-after-outage %.2f calls/s", routers, steady, outage, peak)
				require.LessOrEqual(t, steady, float64(routers))
				require.LessOrEqual(t, peak, 2*float64(routers))
			})
		})
	}
}

func callRate(f *fleettest.Fleet, d time.Duration) float64 {
	sum := func() int {
		c := f.Platform.Calls()
		return c.Reads + c.Writes + c.Watches
	}
	before := sum()
	time.Sleep(d)
	return float64(sum()-before) / d.Seconds()
}
