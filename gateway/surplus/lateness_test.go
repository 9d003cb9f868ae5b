package surplus_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/surplus"
)

// TestStreamsLate guards against capacity beyond the shares at services whose streams within them are
// late, and against services that stay closed because of a few late streams, or for long.
func TestStreamsLate(t *testing.T) {
	tests := []struct {
		name        string
		total, late int
		after       time.Duration
		want        bool
	}{
		{"none known", 0, 0, 0, false},
		{"too few known", 9, 9, 0, false},
		{"one in fifty", 100, 2, 0, false},
		{"more than one in fifty", 100, 3, 0, true},
		{"still known", 100, 100, 16 * time.Second, true},
		{"forgotten", 100, 100, 17 * time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := surplus.NewTable(func(string) float64 { return 1 })
			for i := range test.total {
				table.RecordStream(start, "s", i < test.late)
			}
			now := start.Add(test.after)
			require.Equal(t, test.want, table.StreamsLate(now, "s"))
			require.False(t, table.StreamsLate(now, "another service"))
		})
	}
	t.Run("in time again", func(t *testing.T) {
		table := surplus.NewTable(func(string) float64 { return 1 })
		now := start
		for range 100 {
			table.RecordStream(now, "s", true)
		}
		for range 200 { // 20 a second
			now = now.Add(50 * time.Millisecond)
			table.RecordStream(now, "s", false)
		}
		require.True(t, table.StreamsLate(now, "s"))
		for range 400 {
			now = now.Add(50 * time.Millisecond)
			table.RecordStream(now, "s", false)
		}
		require.False(t, table.StreamsLate(now, "s"))
	})
}
