// Package decode predicts how long running streams pause when a backend server prefills prompts, and
// how long answers are.
//
// # Usage
//
//	e := decode.Engine{EventTokens: 6, Step: 6 * time.Millisecond, Chunk: 90 * time.Millisecond}
//	pause := e.Pause(prefill, slowness)
//	share := decode.LateShare(pause, longest)
//
// Load: prompts that arrive so fast, or are so long, that a server prefills without a break while
// streams run there. Engines prefill in chunks, one between two decoding steps, and an event takes as
// many steps as it has tokens.
//
// The package does no I/O and does not read the clock.
package decode

import "time"

// Engine describes how the engines of a service generate the events of streams.
type Engine struct {
	EventTokens int           // tokens in one event; 0: unknown
	Step        time.Duration // of one decoding step
	Chunk       time.Duration // prefill of one chunk at a server of nominal speed
}

// Known reports whether pauses can be predicted.
func (e Engine) Known() bool { return e.EventTokens > 0 && e.Step > 0 && e.Chunk > 0 }

// Quiet returns the interval between two events while a server only decodes.
func (e Engine) Quiet() time.Duration { return time.Duration(e.EventTokens) * e.Step }

// Busy returns how much longer than Quiet the interval between two events is at most while a server
// prefills without a break; slowness is the time that it takes over that of nominal speed.
func (e Engine) Busy(slowness float64) time.Duration {
	chunk := time.Duration(float64(e.Chunk) * slowness)
	return time.Duration(e.EventTokens) * (chunk + e.Step)
}

// Pause predicts the longest interval between two events of the streams on a server that prefills
// without a break for the given time. It is 0 if pauses cannot be predicted.
func (e Engine) Pause(prefill time.Duration, slowness float64) time.Duration {
	if !e.Known() {
		return 0
	}
	return e.Quiet() + min(max(prefill, 0), e.Busy(slowness))
}

// CanDelay reports whether prefill can make streams late at a server of nominal speed: decoding alone
// is not too slow, and prefill without a break would be.
func (e Engine) CanDelay(longest time.Duration) bool {
	return e.Known() && e.Quiet() < longest && e.Quiet()+e.Busy(1) > longest
}

// Parameters of the share of streams that is late.
const (
	// Servers that share their hosts are slow for moments, two to three times as slow as a moment
	// before. A pause that such a moment would make too long is late for this share of streams.
	momentShare = 0.2
	momentFrom  = 0.3 // predicted pauses from this fraction of the longest one on
	momentTo    = 0.5
	// The prediction is off by some tenths.
	lateFrom = 0.8
	lateTo   = 1.1
)

// LateShare returns the share of streams that is expected to pause for longer than the longest pause
// in time if a pause is predicted.
func LateShare(pause, longest time.Duration) float64 {
	if pause <= 0 || longest <= 0 {
		return 0
	}
	x := float64(pause) / float64(longest)
	return momentShare*ramp(x, momentFrom, momentTo) + (1-momentShare)*ramp(x, lateFrom, lateTo)
}

// ramp rises from 0 to 1 between two values of x.
func ramp(x, from, to float64) float64 { return min(max((x-from)/(to-from), 0), 1) }
