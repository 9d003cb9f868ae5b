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

func TestFirstAttempt(t *testing.T) {
	const timeout = 10 * time.Second
	refused := retry.Refusal{Key: 1, Deadline: start.Add(timeout), FirstAttempt: start}
	tests := []struct {
		name    string
		after   time.Duration // since start
		key     retry.Key
		ends    time.Time
		isRetry bool
	}{
		{"retry", time.Second, 1, refused.Deadline, true},
		{"read late by a busy gateway", time.Second, 1, refused.Deadline.Add(80 * time.Millisecond), true},
		{"same request of another caller", time.Second, 1, refused.Deadline.Add(time.Second), false},
		{"another request with the same deadline", time.Second, 2, refused.Deadline, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := retry.NewHistory()
			h.Record(start, refused)
			h.Record(start, refused) // reported twice
			first, isRetry := h.FirstAttempt(start.Add(test.after), test.key, test.ends)
			require.Equal(t, test.isRetry, isRetry)
			if isRetry {
				require.Equal(t, start, first)
				require.Zero(t, h.Len(), "a caller retries once for each refusal")
			}
		})
	}
}

// TestHistoryIsBounded: expired refusals make room; while there are none, new ones are not recorded.
func TestHistoryIsBounded(t *testing.T) {
	const maxRefusals = 4096
	h := retry.NewHistory()
	for n := range 2 * maxRefusals {
		h.Record(start, retry.Refusal{Key: retry.Key(n), Deadline: start.Add(time.Second), FirstAttempt: start})
	}
	require.Equal(t, maxRefusals, h.Len())
	later := start.Add(2 * time.Second)
	h.Record(later, retry.Refusal{Key: 1, Deadline: later.Add(time.Second), FirstAttempt: later})
	require.Equal(t, 1, h.Len())
}

// attempt is a request as a gateway receives it.
type attempt struct {
	at      time.Time
	key     retry.Key
	timeout time.Duration // timeout that the caller names
	first   time.Time
	refused bool
}

// simulate returns the attempts of callers whose timeouts vary by the given share. A third of them is
// refused and retried after up to a third of the remaining time. One key in five is shared by many
// callers.
func simulate(spread float64, outliers bool) []attempt {
	r := rand.New(rand.NewPCG(1, 2))
	var list []attempt
	for n := range 5000 {
		at := start.Add(time.Duration(n) * 5 * time.Millisecond)
		key := retry.Key(n + 100)
		if n%5 == 0 {
			key = retry.Key(r.IntN(50))
		}
		timeout := time.Duration(float64(10*time.Second) * (1 + spread*(2*r.Float64()-1)))
		if outliers && n%100 == 0 {
			timeout *= 3
		}
		refused := r.IntN(3) == 0
		list = append(list, attempt{at: at, key: key, timeout: timeout, first: at, refused: refused})
		if refused {
			wait := 200*time.Millisecond + time.Duration(r.Float64()*float64(timeout)/3)
			roundTrip := time.Duration(r.IntN(10)) * time.Millisecond // round trip
			list = append(list, attempt{at: at.Add(wait + roundTrip), key: key, timeout: timeout - wait, first: at})
		}
	}
	slices.SortStableFunc(list, func(x, y attempt) int { return cmp.Compare(x.at.UnixNano(), y.at.UnixNano()) })
	return list
}

// TestPrecisionAndRecall simulates callers with varying timeouts. The baseline takes each request with
// less than the longest timeout seen for a retry, and so misjudges callers with shorter timeouts.
func TestPrecisionAndRecall(t *testing.T) {
	tests := []struct {
		spread   float64
		outliers bool
	}{{0, false}, {0.05, false}, {0.15, false}, {0.5, false}, {0.15, true}}
	for _, test := range tests {
		name := fmt.Sprintf("spread %.2f outliers %v", test.spread, test.outliers)
		t.Run(name, func(t *testing.T) {
			h := retry.NewHistory()
			var history, baseline counts
			longest := time.Duration(0)
			for _, x := range simulate(test.spread, test.outliers) {
				longest = max(longest, x.timeout)
				baseline.add(x, longest-x.timeout > 50*time.Millisecond)
				first, isRetry := h.FirstAttempt(x.at, x.key, x.at.Add(x.timeout))
				history.add(x, isRetry && first.Equal(x.first))
				if x.refused {
					h.Record(x.at, retry.Refusal{Key: x.key, Deadline: x.at.Add(x.timeout), FirstAttempt: x.first})
				}
			}
			fmt.Printf("figure precision-%.2f-%v %.3f share (longest patience: %.3f)\n", test.spread, test.outliers, history.precision(), baseline.precision())
			fmt.Printf("figure recall-%.2f-%v %.3f share (longest patience: %.3f)\n", test.spread, test.outliers, history.recall(), baseline.recall())
			require.Greater(t, history.precision(), 0.97)
			require.Greater(t, history.recall(), 0.97)
		})
	}
}

// counts counts the requests taken for retries, rightly or wrongly, and the retries missed.
type counts struct{ right, wrong, missed int }

func (c *counts) add(x attempt, reported bool) {
	isRetry := x.first != x.at
	switch {
	case reported && isRetry:
		c.right++
	case reported:
		c.wrong++
	case isRetry:
		c.missed++
	}
}

func (c counts) precision() float64 { return float64(c.right) / float64(max(c.right+c.wrong, 1)) }

func (c counts) recall() float64 { return float64(c.right) / float64(max(c.right+c.missed, 1)) }
