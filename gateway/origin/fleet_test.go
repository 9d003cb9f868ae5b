package origin_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/origin"
)

// world is a fleet of gateways whose callers take streams up after some of them have been lost.
type world struct {
	gateways int
	lost     float64 // share that is killed when the stream breaks, and has started again since
	first    bool    // the gateway that began the stream is among them
	loss     float64 // share of datagrams that is lost
	joined   int     // gateways that have started since the stream began
}

// way is a way to keep origins.
type way struct {
	told, asked int // gateways
}

// rounds is the number of times that a gateway asks.
const rounds = 5

// found plays a world and returns the share of streams whose origin the next gateway learns.
func (w world) found(random *rand.Rand, way way) float64 {
	const streams = 1000
	found := 0
	for range streams {
		if w.play(random, way) {
			found++
		}
	}
	return float64(found) / streams
}

func (w world) play(random *rand.Rand, way way) bool {
	attempt := origin.Attempt(random.Uint64())
	gateways := make([]uint32, w.gateways)
	for i := range gateways {
		gateways[i] = random.Uint32()
	}
	knows := map[uint32]bool{gateways[0]: true}
	for _, g := range origin.Replicas(attempt, gateways[1:], way.told) {
		knows[g] = random.Float64() >= w.loss
	}
	for i, g := range gateways {
		if i == 0 && w.first || i > 0 && random.Float64() < w.lost {
			knows[g] = false
		}
	}
	for range w.joined {
		gateways = append(gateways, random.Uint32())
	}
	next := gateways[1+random.IntN(len(gateways)-1)]
	if knows[next] {
		return true
	}
	others := slices.DeleteFunc(slices.Clone(gateways), func(g uint32) bool { return g == next })
	for range rounds {
		for _, g := range origin.Replicas(attempt, others, way.asked) {
			if knows[g] && random.Float64() >= w.loss && random.Float64() >= w.loss {
				return true
			}
		}
	}
	return false
}

// TestOriginsAreFound checks that nine in ten streams that can go on do, which needs someone who
// knows their origin, and prints what other ways would find.
func TestOriginsAreFound(t *testing.T) {
	taken := way{origin.ReplicaCount, origin.AskedCount}
	others := []struct {
		name string
		way  way
	}{
		{"nobody told, 6 asked", way{0, 6}}, {"nobody told, all asked", way{0, 1 << 20}}, {"1 told", way{1, 6}}, {"2 told", way{2, 6}}, {"4 told", way{4, 8}}, {"all told", way{1 << 20, 6}},
	}
	tests := []struct {
		name  string
		world world
		want  float64
	}{
		{"quiet", world{gateways: 5}, 1},
		{"the first one is killed", world{gateways: 5, first: true}, 1},
		{"the first one of 300 is killed", world{gateways: 300, first: true}, 1},
		{"a fifth is lost", world{gateways: 30, lost: 0.2, first: true}, 0.9},
		{"a third is lost", world{gateways: 300, lost: 0.33, first: true}, 0.9},
		{"a tenth of datagrams is lost", world{gateways: 30, loss: 0.1, first: true}, 0.9},
		{"a third has started since", world{gateways: 30, joined: 10, first: true}, 0.9},
		{"all of it", world{gateways: 30, lost: 0.2, loss: 0.05, joined: 5, first: true}, 0.9},
		{"half are lost, not the first one", world{gateways: 5, lost: 0.5}, 0.9},
		{"six in ten are lost", world{gateways: 30, lost: 0.6, first: true}, 0.5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(55, 1))
			for _, o := range others {
				t.Logf("%s: %.3f", o.name, test.world.found(random, o.way))
			}
			got := test.world.found(random, taken)
			t.Logf("taken, %d told, %d asked: %.3f", taken.told, taken.asked, got)
			require.GreaterOrEqual(t, got, test.want)
		})
	}
}
