package fair

import "math"

// This file tells service to the fleet and takes the fleet's totals over.

// Report returns a sequence number and the totals that changed since the last
// report, or all: this server's own service, its slots where the account waits,
// and the lift if it moved. The slice is valid until the next call.
func (b *Book) Report(all bool) (uint64, []Total) {
	b.sequence++
	b.spare = b.spare[:0]
	for i := range b.accounts {
		s := &b.accounts[i]
		if !all && s.own == s.reported && s.pending == 0 && !s.lifted && !s.waits {
			continue
		}
		t := Total{Account: s.account, Service: s.own, Pending: s.pending}
		if s.lifted || all {
			t.Lift = s.lift
		}
		if s.waits {
			t.Reach = b.options.Slots
		}
		s.reported = s.own
		s.lifted = false
		b.spare = append(b.spare, t)
	}
	return b.sequence, b.spare
}

// Peek returns the standing of every account: fleet service as known here, and
// where the account waits here its reach.
func (b *Book) Peek() (uint64, []Total) {
	totals := make([]Total, len(b.accounts))
	for i := range b.accounts {
		s := &b.accounts[i]
		totals[i] = Total{Account: s.account, Service: b.standing(s), Lift: s.lift}
		if s.waits {
			totals[i].Reach = math.Max(s.reach, b.options.Slots)
		}
	}
	return b.sequence, totals
}

// Merge takes in the rest of the fleet's totals, as they were when the report of
// that sequence number had been counted. Accounts that are not named keep their
// service and count as waiting nowhere else. Answers that are too late are
// dropped, and Merge reports false.
func (b *Book) Merge(sequence uint64, totals []Total) bool {
	if sequence+lateReports <= b.sequence || sequence > b.sequence {
		return false
	}
	for i := range b.accounts {
		b.accounts[i].reach = 0
	}
	for _, t := range totals {
		s := b.at(t.Account)
		s.others = t.Service + t.Pending
		s.reach = t.Reach
		b.widest = max(b.widest, t.Reach)
		if t.Lift.After(s.lift) {
			s.lift = t.Lift
		}
	}
	if sequence > b.steered {
		b.steered = sequence
		b.steer()
	}
	return true
}

// steer moves the turns of the accounts that wait here towards where the fleet's
// totals put them: as far from the mean turn as this server's part of what they
// are ahead of the mean over the fleet. A turn already moved and not yet taken is
// not moved again.
func (b *Book) steer() {
	meanStanding, meanKey, n := 0.0, 0.0, 0.0
	for i := range b.accounts {
		if s := &b.accounts[i]; s.waits {
			meanStanding += b.standing(s)
			meanKey += b.key(s)
			n++
		}
	}
	if n < 2 {
		return
	}
	meanStanding /= n
	meanKey /= n
	for i := range b.accounts {
		s := &b.accounts[i]
		if !s.waits {
			continue
		}
		target := meanKey + (b.standing(s)-meanStanding)*b.part(s)
		s.credit += gain * (b.key(s) - target)
		b.holdNear(s)
	}
}

// holdNear keeps an account's turn here within this server's part of the debt cap
// of the present one: a difference that lasts, because the servers an account can
// use differ, must not pile up.
func (b *Book) holdNear(s *standing) {
	limit := b.options.DebtCap * b.part(s)
	if limit <= 0 {
		return
	}
	k := b.key(s)
	switch {
	case k > b.turn+limit:
		s.credit += k - b.turn - limit
	case k < b.turn-limit:
		s.credit -= b.turn - limit - k
	}
}
