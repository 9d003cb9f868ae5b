package fleettest_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"opalbridge.dev/attempt"
	"opalbridge.dev/bubbletest"
	"opalbridge.dev/config"
	"opalbridge.dev/engine/enginetest"
	"opalbridge.dev/fleettest"
)

var (
	firstSeed = flag.Uint64("seed", 1, "first seed of the randomised runs")
	seeds     = flag.Uint64("seeds", 3, "how many seeds to run")
	simulated = flag.Duration("simulated", 10*time.Minute, "virtual time of each seed")
)

// regressionSeeds are seeds that have found violations; they are always run.
var regressionSeeds = []uint64{}

// tally counts the outcomes of a randomised run.
type tally struct {
	mutex        sync.Mutex
	outcomes     map[string]int
	faults       int
	keyedRetries int // retries of callers with an idempotency key
}

// TestRandomised runs random callers under random, overlapping faults.
func TestRandomised(t *testing.T) {
	for i := range *seeds {
		seed := *firstSeed + i
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { randomRun(t, seed) })
	}
	for _, seed := range regressionSeeds {
		t.Run(fmt.Sprintf("kept seed %d", seed), func(t *testing.T) { randomRun(t, seed) })
	}
}

func randomRun(t *testing.T, seed uint64) {
	bubbletest.Run(t, func(t *testing.T) {
		f := fleettest.Start(t, fleettest.Options{
			Routers: 3, Models: 3, Halls: 3, Services: 1, Latency: 5 * time.Millisecond,
			Accounts: []config.Account{{Name: "solo", Share: 1}, {Name: "other", Share: 2}},
			Model:    enginetest.ModelOptions{TagTokens: true, DecodeStep: 50 * time.Millisecond},
		})
		stop := watchRevisions(t, f)
		ctx, cancel := context.WithTimeout(context.Background(), *simulated)
		defer cancel()
		sum := &tally{outcomes: map[string]int{}}
		var workers sync.WaitGroup
		for i := range uint64(10) {
			random := rand.New(rand.NewPCG(seed, i))
			workers.Go(func() { randomCaller(ctx, t, f, random, sum) })
		}
		random := rand.New(rand.NewPCG(seed, 1000))
		workers.Go(func() { randomFaults(ctx, f, random, sum) })
		workers.Wait()
		stop()
		f.Network.Heal()
		requireRecovery(t, f)
		t.Logf("figure randomised seed %d: %s virtual, %d faults, outcomes %v, retries under a key %d", seed, *simulated, sum.faults, sum.outcomes, sum.keyedRetries)
	})
}

// newKey returns a version 7 UUID with the time of the bubble's clock. The generator of
// the uuid package is monotonic for the whole process, so it would keep the time of an
// earlier bubble.
func newKey(random *rand.Rand) string {
	var u uuid.UUID
	for i := range u {
		u[i] = byte(random.Uint32())
	}
	ms := time.Now().UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (8 * (5 - i)))
	}
	u[6] = u[6]&0x0f | 0x70
	u[8] = u[8]&0x3f | 0x80
	return u.String()
}

// randomFaults injects faults until ctx ends, also while earlier faults are active.
func randomFaults(ctx context.Context, f *fleettest.Fleet, random *rand.Rand, sum *tally) {
	var running sync.WaitGroup
	for ctx.Err() == nil {
		wait := time.Duration(random.Int64N(int64(40 * time.Second)))
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			continue
		}
		x := fleettest.Faults[random.IntN(len(fleettest.Faults))]
		sum.faults++
		if x.HitsCallerRouter {
			x.Run(ctx, f) // a router must not be crashed twice at once
			continue
		}
		running.Go(func() { x.Run(ctx, f) })
	}
	running.Wait()
}

func randomCaller(ctx context.Context, t *testing.T, f *fleettest.Fleet, random *rand.Rand, sum *tally) {
	for ctx.Err() == nil {
		c := call(random.IntN(2) == 0)
		c.Router = 1 + random.IntN(2) // the first router crashes, so its callers may get no answer
		c.Account = []string{"solo", "other"}[random.IntN(2)]
		c.Urgent = random.IntN(4) == 0
		if random.IntN(3) == 0 {
			c.Pool, c.NonRepeatable = fleettest.ServicePool, true
		}
		if c.NonRepeatable && random.IntN(2) == 0 {
			c.IdempotencyKey = newKey(random)
		}
		first := f.Do(context.Background(), c)
		checkGuarantees(t, f, c, first)
		sum.count(first)
		if c.IdempotencyKey != "" {
			retryUnderKey(t, f, c, first, random, sum)
		}
		time.Sleep(time.Duration(random.Int64N(int64(2 * time.Second))))
	}
}

// retryUnderKey retries a request with its idempotency key, as a caller does, possibly
// at another router. Both together must run at most once.
func retryUnderKey(t *testing.T, f *fleettest.Fleet, c fleettest.Call, first fleettest.Answer, random *rand.Rand, sum *tally) {
	c.Router = 1 + random.IntN(2)
	second := f.Do(context.Background(), c)
	checkGuarantees(t, f, c, fleettest.Answer{ID: first.ID, Outcome: attempt.Unknown{}})
	runs := 0
	for _, g := range f.Agents {
		var counts map[string]int
		if g.Model != nil {
			counts = g.Model.Runs()
		} else {
			counts = g.Service.Runs()
		}
		runs += counts[first.ID] + counts[second.ID]
	}
	require.LessOrEqual(t, runs, 1, "a retry with the same idempotency key ran again")
	sum.mutex.Lock()
	defer sum.mutex.Unlock()
	sum.keyedRetries++
}

func (s *tally) count(a fleettest.Answer) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	text := outcomeText(a)
	if o, notRun := a.Outcome.(attempt.NotExecuted); notRun {
		text += " (" + string(o.Cause) + ")"
	}
	s.outcomes[text]++
}
