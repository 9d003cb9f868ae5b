package fair

// GapBound holds the quantities that bound the difference in virtual time between
// two backlogged accounts.
//
// Each agent picks the account with the least virtual time by its own estimate.
// The estimate is off by what the rest of the fleet has served since the totals
// were computed (ServiceRate times TotalsAge) and by what is in flight and not yet
// charged (MaxCost times Slots). The error can apply to both accounts compared, and
// urgent requests may borrow UrgentCredit on top.
type GapBound struct {
	MaxCost      float64 // weighted tokens of the most expensive request
	Slots        float64 // concurrent requests of the accounts compared, over the fleet
	ServiceRate  float64 // weighted tokens that the fleet serves per second
	TotalsAge    float64 // seconds since the totals in use were computed
	UrgentCredit float64 // weighted tokens that an account may borrow
	MinShare     float64 // the smallest share among the accounts compared
}

// Value returns the bound as normalized service: weighted tokens divided by share.
func (b GapBound) Value() float64 {
	share := b.MinShare
	if share <= 0 {
		share = 1
	}
	return (2*(b.ServiceRate*b.TotalsAge+b.MaxCost*b.Slots) + b.UrgentCredit) / share
}

// BoundInputs returns the largest slot count and the smallest share among the
// accounts that wait at this server, for use in a [GapBound].
func (tr *Tracker) BoundInputs() (slots, minShare float64) {
	slots = tr.options.Slots
	for i := range tr.accounts {
		s := &tr.accounts[i]
		if !s.waiting {
			continue
		}
		slots = max(slots, s.slots)
		if minShare == 0 || s.share < minShare {
			minShare = s.share
		}
	}
	return slots, minShare
}

// TotalServed returns the weighted tokens served by the whole fleet, as far as this
// agent knows.
func (tr *Tracker) TotalServed() float64 {
	sum := 0.0
	for i := range tr.accounts {
		s := &tr.accounts[i]
		sum += (s.local + s.remote) * s.share
	}
	return sum
}
