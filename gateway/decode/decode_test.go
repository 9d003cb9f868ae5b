package decode_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/decode"
)

const ms = time.Millisecond

var engine = decode.Engine{EventTokens: 6, Step: 6 * ms, Chunk: 90 * ms}

// TestPause: an interval between two events has one chunk for each of the event's tokens at most,
// however long the prompts are.
func TestPause(t *testing.T) {
	tests := []struct {
		name     string
		engine   decode.Engine
		prefill  time.Duration
		slowness float64
		want     time.Duration
	}{
		{"no prefill", engine, 0, 1, 36 * ms},
		{"negative prefill", engine, -time.Second, 1, 36 * ms},
		{"a short prompt", engine, 100 * ms, 1, 136 * ms},
		{"prefill without a break", engine, time.Minute, 1, 36*ms + 6*(90+6)*ms},
		{"a fast server", engine, time.Minute, 0.5, 36*ms + 6*(45+6)*ms},
		{"tokens of an event unknown", decode.Engine{Step: 6 * ms, Chunk: 90 * ms}, time.Second, 1, 0},
		{"negative tokens of an event", decode.Engine{EventTokens: -1, Step: 6 * ms, Chunk: 90 * ms}, time.Second, 1, 0},
		{"time of a step unknown", decode.Engine{EventTokens: 6, Chunk: 90 * ms}, time.Second, 1, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.want, test.engine.Pause(test.prefill, test.slowness))
		})
	}
}

// TestLateShare: pauses that are late in slow moments only cost less than those that are late at
// any time, and impossible values cost nothing.
func TestLateShare(t *testing.T) {
	const longest = 500 * ms
	tests := []struct {
		pause, longest time.Duration
		low, high      float64
	}{
		{0, longest, 0, 0},
		{-time.Second, longest, 0, 0},
		{100 * ms, longest, 0, 0},
		{300 * ms, longest, 0.1, 0.3},
		{500 * ms, longest, 0.5, 0.9},
		{time.Second, longest, 1, 1},
		{time.Second, 0, 0, 0},
		{time.Second, -time.Second, 0, 0},
		{math.MaxInt64, 1, 1, 1},
	}
	previous := 0.0
	for _, test := range tests {
		share := decode.LateShare(test.pause, test.longest)
		require.GreaterOrEqual(t, share, test.low, "%v of %v", test.pause, test.longest)
		require.LessOrEqual(t, share, test.high, "%v of %v", test.pause, test.longest)
		if test.longest == longest && test.pause > 0 {
			require.GreaterOrEqual(t, share, previous, "a longer pause delays no fewer streams")
			previous = share
		}
	}
}

// TestLateShares guards against streams that count as late at other pauses than those that callers and
// slow moments make late: one in five from half of the longest pause on, all of them when it is exceeded
// by more than the prediction is off.
func TestLateShares(t *testing.T) {
	const longest = 500 * ms
	tests := []struct {
		pause time.Duration
		want  float64
	}{
		{150 * ms, 0},
		{200 * ms, 0.1},
		{250 * ms, 0.2},
		{400 * ms, 0.2},
		{475 * ms, 0.6},
		{550 * ms, 1},
	}
	for _, test := range tests {
		require.InDelta(t, test.want, decode.LateShare(test.pause, longest), 1e-9, test.pause)
	}
}

// TestCanDelay: where prefill cannot make streams late, or decoding alone does, placement need not
// regard pauses.
func TestCanDelay(t *testing.T) {
	tests := []struct {
		name    string
		engine  decode.Engine
		longest time.Duration
		want    bool
	}{
		{"prefill takes longer", engine, 500 * ms, true},
		{"prefill never takes so long", engine, 700 * ms, false},
		{"decoding alone is too slow", engine, 30 * ms, false},
		{"no longest pause", engine, 0, false},
		{"negative longest pause", engine, -time.Second, false},
		{"tokens of an event unknown", decode.Engine{}, 500 * ms, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.want, test.engine.CanDelay(test.longest))
		})
	}
}

// TestLengths: callers guess badly, and an absurd guess must not spoil what was learned.
func TestLengths(t *testing.T) {
	l := decode.NewLengths()
	require.Equal(t, 100, l.Expect("r", 100))
	for range 200 {
		l.Record("r", 100, 250)
		l.Record("cut", 1<<20, 1)
	}
	require.InEpsilon(t, 250, l.Expect("r", 100), 0.05)
	require.Equal(t, 100, l.Expect("another", 100))
	require.InEpsilon(t, 100, l.Expect("cut", 1000), 0.05)
	before := l.Expect("r", 100)
	for _, bad := range []int{-1, 0, math.MinInt} {
		l.Record("r", bad, 100)
		l.Record("r", 100, bad)
		require.Zero(t, l.Expect("r", bad))
	}
	require.Equal(t, before, l.Expect("r", 100))
	for _, huge := range []int{1 << 21, math.MaxInt} {
		require.Equal(t, 1<<20, l.Expect("r", huge))
	}
}
