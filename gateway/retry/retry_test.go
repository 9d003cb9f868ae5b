package retry_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/retry"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestFirst(t *testing.T) {
	const patience = 10 * time.Second
	refused := retry.Refusal{Key: 1, Deadline: start.Add(patience), FirstAttempt: start}
	tests := []struct {
		name  string
		after time.Duration // since start
		key   retry.Key
		ends  time.Time
		back  bool
	}{
		{"it has come back", time.Second, 1, refused.Deadline, true},
		{"a busy gateway looked at it late", time.Second, 1, refused.Deadline.Add(80 * time.Millisecond), true},
		{"another caller asks the same", time.Second, 1, refused.Deadline.Add(time.Second), false},
		{"another request with as much time", time.Second, 2, refused.Deadline, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := retry.NewHistory()
			m.Add(start, refused)
			m.Add(start, refused) // told twice
			first, back := m.First(start.Add(test.after), test.key, test.ends)
			require.Equal(t, test.back, back)
			if back {
				require.Equal(t, start, first)
				require.Zero(t, m.Len(), "a caller comes back once for each refusal")
			}
		})
	}
}

// TestMemoryIsBounded: callers that have given up make room; without any, new ones get none.
func TestMemoryIsBounded(t *testing.T) {
	const most = 4096
	m := retry.NewHistory()
	for n := range 2 * most {
		m.Add(start, retry.Refusal{Key: retry.Key(n), Deadline: start.Add(time.Second), FirstAttempt: start})
	}
	require.Equal(t, most, m.Len())
	later := start.Add(2 * time.Second)
	m.Add(later, retry.Refusal{Key: 1, Deadline: later.Add(time.Second), FirstAttempt: later})
	require.Equal(t, 1, m.Len())
}

// try is a request as a gateway sees it.
type try struct {
	at       time.Time
	key      retry.Key
	patience time.Duration // that the caller names
	first    time.Time
	refused  bool
}

// play returns the tries of callers whose patience differs by a share of it. A third is
// refused, and comes back after up to a third of what is left. One key in five is shared by
// many callers.
func play(spread float64, outliers bool) []try {
	r := rand.New(rand.NewPCG(1, 2))
	var list []try
	for n := range 5000 {
		at := start.Add(time.Duration(n) * 5 * time.Millisecond)
		key := retry.Key(n + 100)
		if n%5 == 0 {
			key = retry.Key(r.IntN(50))
		}
		patience := time.Duration(float64(10*time.Second) * (1 + spread*(2*r.Float64()-1)))
		if outliers && n%100 == 0 {
			patience *= 3
		}
		refused := r.IntN(3) == 0
		list = append(list, try{at: at, key: key, patience: patience, first: at, refused: refused})
		if refused {
			wait := 200*time.Millisecond + time.Duration(r.Float64()*float64(patience)/3)
			way := time.Duration(r.IntN(10)) * time.Millisecond // there and back
			list = append(list, try{at: at.Add(wait + way), key: key, patience: patience - wait, first: at})
		}
	}
	slices.SortStableFunc(list, func(x, y try) int { return cmp.Compare(x.at.UnixNano(), y.at.UnixNano()) })
	return list
}

// TestPrecisionAndRecall plays callers with patience of any spread, beside a guess by the
// longest patience seen, which takes callers with less of it for ones that have come back.
func TestPrecisionAndRecall(t *testing.T) {
	tests := []struct {
		spread   float64
		outliers bool
	}{{0, false}, {0.05, false}, {0.15, false}, {0.5, false}, {0.15, true}}
	for _, test := range tests {
		name := fmt.Sprintf("spread %.2f outliers %v", test.spread, test.outliers)
		t.Run(name, func(t *testing.T) {
			m := retry.NewHistory()
			var memory, longest counts
			most := time.Duration(0)
			for _, x := range play(test.spread, test.outliers) {
				most = max(most, x.patience)
				longest.add(x, most-x.patience > 50*time.Millisecond)
				first, back := m.First(x.at, x.key, x.at.Add(x.patience))
				memory.add(x, back && first.Equal(x.first))
				if x.refused {
					m.Add(x.at, retry.Refusal{Key: x.key, Deadline: x.at.Add(x.patience), FirstAttempt: x.first})
				}
			}
			fmt.Printf("figure precision-%.2f-%v %.3f share (longest patience: %.3f)\n", test.spread, test.outliers, memory.precision(), longest.precision())
			fmt.Printf("figure recall-%.2f-%v %.3f share (longest patience: %.3f)\n", test.spread, test.outliers, memory.recall(), longest.recall())
			require.Greater(t, memory.precision(), 0.97)
			require.Greater(t, memory.recall(), 0.97)
		})
	}
}

// counts are of tries that are said to have come back.
type counts struct{ right, wrong, missed int }

func (c *counts) add(x try, said bool) {
	back := x.first != x.at
	switch {
	case said && back:
		c.right++
	case said:
		c.wrong++
	case back:
		c.missed++
	}
}

func (c counts) precision() float64 { return float64(c.right) / float64(max(c.right+c.wrong, 1)) }

func (c counts) recall() float64 { return float64(c.right) / float64(max(c.right+c.missed, 1)) }
