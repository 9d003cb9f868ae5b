package fair

import "math"

// This file charges service: what is reserved at a start, corrected and released.

// Reserve counts a place given to the account, with the expected cost in
// weighted tokens.
func (b *Book) Reserve(a Account, estimate float64) {
	s := b.at(a)
	s.pending += estimate / s.share
}

// Charge counts service of the given cost and takes the given part of a
// reservation back. Both are in weighted tokens.
func (b *Book) Charge(a Account, cost, reserved float64) {
	s := b.at(a)
	s.own += cost / s.share
	b.unreserve(s, reserved)
}

// Release takes the rest of a reservation back.
func (b *Book) Release(a Account, reserved float64) { b.unreserve(b.at(a), reserved) }

func (b *Book) unreserve(s *standing, reserved float64) {
	s.pending = math.Max(0, s.pending-reserved/s.share)
}
