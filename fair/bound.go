package fair

// Bound is what the largest difference in standing between two backlogged
// accounts rests on.
//
// Whoever was picked was least by its agent's estimate. The estimate errs by what
// the rest of the fleet served since the totals were made (Rate times Age), and by
// what is in flight and not yet charged (Largest times Slots); the one ahead and
// the one behind may both err; urgent work may borrow its credit on top.
type GapBound struct {
	MaxCost      float64 // weighted tokens of the largest request
	Slots        float64 // requests the fleet runs at once for the accounts compared
	ServiceRate  float64 // weighted tokens a second that the fleet serves
	TotalsAge    float64 // seconds, of the totals in use
	UrgentCredit float64 // weighted tokens an account may borrow
	MinShare     float64 // the smallest share among the accounts compared
}

// Value returns the bound, in service: weighted tokens divided by share.
func (b GapBound) Value() float64 {
	share := b.MinShare
	if share <= 0 {
		share = 1
	}
	return (2*(b.ServiceRate*b.TotalsAge+b.MaxCost*b.Slots) + b.UrgentCredit) / share
}

// Waits returns the largest reach and the smallest share among the accounts that
// wait here.
func (b *Tracker) BoundInputs() (reach, leastShare float64) {
	reach = b.options.Slots
	for i := range b.accounts {
		s := &b.accounts[i]
		if !s.waiting {
			continue
		}
		reach = max(reach, s.slots)
		if leastShare == 0 || s.share < leastShare {
			leastShare = s.share
		}
	}
	return reach, leastShare
}

// Served returns the weighted tokens served over the fleet, as far as is known
// here.
func (b *Tracker) TotalServed() float64 {
	sum := 0.0
	for i := range b.accounts {
		s := &b.accounts[i]
		sum += (s.local + s.remote) * s.share
	}
	return sum
}
