package fair

import (
	"math"
	"slices"
)

// This file moves standings without service: of accounts that come back, and of those too
// far behind.

// Arrive tells that the account's first request waits here. It takes its turn here
// with the account picked last, not before; an account that waited nowhere in the
// fleet is also lifted to the account furthest behind among those that wait, so
// that idling saves nothing up.
func (b *Book) Arrive(a Account) {
	s := b.at(a)
	if s.waits || b.options.Policy == Unordered {
		s.waits = true
		return
	}
	least, found := b.leastWaiting()
	s.waits = true
	if early := b.turn - b.key(s); early > 0 && b.options.Policy == Fleet {
		s.credit -= early
	}
	if s.reach > 0 {
		return
	}
	if !found {
		least = b.floor
	}
	if v := b.standing(s); v < least {
		b.raise(s, least-v)
	}
}

func (b *Book) leastWaiting() (float64, bool) {
	least, found := math.Inf(1), false
	for i := range b.accounts {
		if s := &b.accounts[i]; s.waits {
			least = math.Min(least, b.standing(s))
			found = true
		}
	}
	return least, found
}

func (b *Book) raise(s *standing, by float64) {
	s.lift.Value += by
	s.lifted = true
}

// Leave tells that no request of the account waits here any more.
func (b *Book) Leave(a Account) { b.at(a).waits = false }

// Forgive caps what accounts that wait here owe and are owed: each is brought to
// within half the debt cap of their median, so that no two are further apart than
// the cap. An account that only a few servers can serve stays behind without
// piling up a claim on the others, and a healed partition is not paid back at the
// cost of starving anyone. It returns how many standings it changed.
func (b *Book) Forgive() int {
	half := b.options.DebtCap / 2
	if half <= 0 || b.options.Policy == Unordered {
		return 0
	}
	b.sorted = b.sorted[:0]
	for i := range b.accounts {
		if s := &b.accounts[i]; s.waits {
			b.sorted = append(b.sorted, b.standing(s))
		}
	}
	if len(b.sorted) < 2 {
		return 0
	}
	slices.Sort(b.sorted)
	n := len(b.sorted)
	median := (b.sorted[(n-1)/2] + b.sorted[n/2]) / 2
	changed := 0
	for i := range b.accounts {
		s := &b.accounts[i]
		if s.waits && b.clamp(s, median-half, median+half) {
			changed++
		}
	}
	return changed
}

func (b *Book) clamp(s *standing, low, high float64) bool {
	v := b.standing(s)
	switch {
	case v < low:
		b.raise(s, low-v)
	case v > high:
		s.lift.Version++
		b.raise(s, high-v)
	default:
		return false
	}
	return true
}
