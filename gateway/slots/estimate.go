package slots

import (
	"slices"
	"time"
)

const (
	// Answers from which the answer time is estimated: enough for the slowest tenth, few enough
	// to follow a change of the work within seconds.
	sampleCount = 32
	// Answers of a server before its own estimate replaces that of its service.
	minSamples = 8
	// Part of answers that the slow answer time exceeds.
	slowPart = 10
	// An answer counts in the mean with at most this many times the median.
	maxOutlierFactor = 8
	// Bounds of an answer time.
	minAnswerTime = 100 * time.Microsecond
	maxAnswerTime = 10 * time.Second
)

// estimate is the answer time by the latest answers. The median and the slow answer time are not
// moved by single outliers, and outliers are clipped in the mean. The zero value knows none.
type estimate struct {
	samples [sampleCount]time.Duration
	count   int           // of all samples
	median  time.Duration // 0: unknown
	slow    time.Duration // exceeded by a tenth of answers
	mean    time.Duration // of clipped answer times
}

// known reports whether the estimate is based on enough answers.
func (e *estimate) known() bool { return e.count >= minSamples }

// add takes an answer into account.
func (e *estimate) add(took time.Duration) {
	e.samples[e.count%sampleCount] = min(max(took, minAnswerTime), maxAnswerTime)
	e.count++
	n := min(e.count, sampleCount)
	sorted := e.samples
	slices.Sort(sorted[:n])
	e.median, e.slow = sorted[(n-1)/2], sorted[n-1-n/slowPart]
	sum := time.Duration(0)
	for _, d := range sorted[:n] {
		sum += min(d, maxOutlierFactor*e.median)
	}
	e.mean = sum / time.Duration(n)
}
