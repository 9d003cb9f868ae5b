package fair

import "math"

// This file charges service: what is reserved at a start, corrected and released.

// Reserve counts a place given to the account, with the expected cost in
// weighted tokens.
func (b *Tracker) Reserve(a Account, estimate float64) {
	s := b.state(a)
	s.pending += estimate / s.share
}

// Charge counts service of the given cost and takes the given part of a
// reservation back. Both are in weighted tokens.
func (b *Tracker) Charge(a Account, cost, reserved float64) {
	s := b.state(a)
	s.local += cost / s.share
	b.unreserve(s, reserved)
}

// Release takes the rest of a reservation back.
func (b *Tracker) Release(a Account, reserved float64) { b.unreserve(b.state(a), reserved) }

func (b *Tracker) unreserve(s *accountState, reserved float64) {
	s.pending = math.Max(0, s.pending-reserved/s.share)
}
