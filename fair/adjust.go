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
func (b *Tracker) StartWaiting(a Account) {
	s := b.state(a)
	if s.waiting || b.options.Policy == Unordered {
		s.waiting = true
		return
	}
	least, found := b.minWaiting()
	s.waiting = true
	if early := b.lastKey - b.schedulingKey(s); early > 0 && b.options.Policy == Corrected {
		s.correction -= early
	}
	if s.slots > 0 {
		return
	}
	if !found {
		least = b.lastVirtualTime
	}
	if v := b.virtualTime(s); v < least {
		b.adjust(s, least-v)
	}
}

func (b *Tracker) minWaiting() (float64, bool) {
	least, found := math.Inf(1), false
	for i := range b.accounts {
		if s := &b.accounts[i]; s.waiting {
			least = math.Min(least, b.virtualTime(s))
			found = true
		}
	}
	return least, found
}

func (b *Tracker) adjust(s *accountState, by float64) {
	s.adjustment.Value += by
	s.adjusted = true
}

// Leave tells that no request of the account waits here any more.
func (b *Tracker) StopWaiting(a Account) { b.state(a).waiting = false }

// Forgive caps what accounts that wait here owe and are owed: each is brought to
// within half the debt cap of their median, so that no two are further apart than
// the cap. An account that only a few servers can serve stays behind without
// piling up a claim on the others, and a healed partition is not paid back at the
// cost of starving anyone. It returns how many standings it changed.
func (b *Tracker) CapDebts() int {
	half := b.options.DebtCap / 2
	if half <= 0 || b.options.Policy == Unordered {
		return 0
	}
	b.sortBuf = b.sortBuf[:0]
	for i := range b.accounts {
		if s := &b.accounts[i]; s.waiting {
			b.sortBuf = append(b.sortBuf, b.virtualTime(s))
		}
	}
	if len(b.sortBuf) < 2 {
		return 0
	}
	slices.Sort(b.sortBuf)
	n := len(b.sortBuf)
	median := (b.sortBuf[(n-1)/2] + b.sortBuf[n/2]) / 2
	changed := 0
	for i := range b.accounts {
		s := &b.accounts[i]
		if s.waiting && b.clamp(s, median-half, median+half) {
			changed++
		}
	}
	return changed
}

func (b *Tracker) clamp(s *accountState, low, high float64) bool {
	v := b.virtualTime(s)
	switch {
	case v < low:
		b.adjust(s, low-v)
	case v > high:
		s.adjustment.Version++
		b.adjust(s, high-v)
	default:
		return false
	}
	return true
}
