package decode

import "math"

const (
	// maxOutputTokens bounds an expected length, whatever the caller says.
	maxOutputTokens = 1 << 20
	// Bounds of the correction of the callers' guesses.
	minLengthFactor = 0.1
	maxLengthFactor = 10.0
	// An answer changes a route's factor by this fraction of the difference.
	lengthStep = 0.05
)

// Lengths estimates the lengths of answers from the callers' guesses, by route.
type Lengths struct {
	factors map[string]float64 // logarithm of the mean ratio of actual to guessed length
}

// NewLengths returns Lengths that take guesses as they are.
func NewLengths() *Lengths { return &Lengths{factors: map[string]float64{}} }

// Record records how many tokens an answer had for which a length was guessed.
func (l *Lengths) Record(route string, guess, actual int) {
	if guess <= 0 || actual <= 0 {
		return
	}
	ratio := min(max(float64(actual)/float64(guess), minLengthFactor), maxLengthFactor)
	l.factors[route] += lengthStep * (math.Log(ratio) - l.factors[route])
}

// Expect returns the expected length of an answer for which a length was guessed. It is between 0
// and some million tokens.
func (l *Lengths) Expect(route string, guess int) int {
	guess = min(max(guess, 0), maxOutputTokens)
	return min(int(float64(guess)*math.Exp(l.factors[route])), maxOutputTokens)
}
