package slots

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestEstimate checks that outliers and impossible times do not move the estimate, and that it
// follows a lasting change.
func TestEstimate(t *testing.T) {
	const usual = 15 * time.Millisecond
	tests := []struct {
		name    string
		samples func(i int) time.Duration
		median  time.Duration
		maxMean time.Duration
	}{
		{"constant", func(int) time.Duration { return usual }, usual, usual},
		{"one in ten takes a minute", func(i int) time.Duration {
			if i%10 == 0 {
				return time.Minute
			}
			return usual
		}, usual, 2 * usual},
		{"it has become slower", func(i int) time.Duration {
			if i < 80 {
				return usual
			}
			return 3 * usual
		}, 3 * usual, 3 * usual},
		{"negative", func(int) time.Duration { return -time.Second }, minAnswerTime, minAnswerTime},
		{"never ends", func(int) time.Duration { return time.Hour }, maxAnswerTime, maxAnswerTime},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var e estimate
			require.False(t, e.known())
			for i := range 120 {
				e.add(test.samples(i))
			}
			require.True(t, e.known())
			require.Equal(t, test.median, e.median)
			require.LessOrEqual(t, e.mean, test.maxMean)
			require.LessOrEqual(t, e.median, e.slow)
		})
	}
}
