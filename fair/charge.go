package fair

import "math"

// This file accounts for service: reservations at the start of a request, charges
// as it runs, and the release of what is left at its end.

// Reserve records that the account got a slot, with the expected cost of its
// request in weighted tokens.
func (tr *Tracker) Reserve(a Account, estimate float64) {
	s := tr.state(a)
	s.pending += estimate / s.share
}

// Charge adds the cost of completed service to the account and releases the given
// part of its reservation. Both are in weighted tokens.
func (tr *Tracker) Charge(a Account, cost, reserved float64) {
	s := tr.state(a)
	s.local += cost / s.share
	tr.unreserve(s, reserved)
}

// Release drops what is left of a reservation.
func (tr *Tracker) Release(a Account, reserved float64) { tr.unreserve(tr.state(a), reserved) }

func (tr *Tracker) unreserve(s *accountState, reserved float64) {
	s.pending = math.Max(0, s.pending-reserved/s.share)
}
