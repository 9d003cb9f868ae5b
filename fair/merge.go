package fair

import "math"

// This file tells service to the fleet and takes the fleet's totals over.

// Report returns a sequence number and the totals that changed since the last
// report, or all: this server's own service, its slots where the account waits,
// and the lift if it moved. The slice is valid until the next call.
func (b *Tracker) Report(all bool) (uint64, []Total) {
	b.sequence++
	b.reportBuf = b.reportBuf[:0]
	for i := range b.accounts {
		s := &b.accounts[i]
		if !all && s.local == s.lastReported && s.pending == 0 && !s.adjusted && !s.waiting {
			continue
		}
		t := Total{Account: s.account, Service: s.local, Pending: s.pending}
		if s.adjusted || all {
			t.Adjustment = s.adjustment
		}
		if s.waiting {
			t.Slots = b.options.Slots
		}
		s.lastReported = s.local
		s.adjusted = false
		b.reportBuf = append(b.reportBuf, t)
	}
	return b.sequence, b.reportBuf
}

// Peek returns the standing of every account: fleet service as known here, and
// where the account waits here its reach.
func (b *Tracker) Snapshot() (uint64, []Total) {
	totals := make([]Total, len(b.accounts))
	for i := range b.accounts {
		s := &b.accounts[i]
		totals[i] = Total{Account: s.account, Service: b.virtualTime(s), Adjustment: s.adjustment}
		if s.waiting {
			totals[i].Slots = math.Max(s.slots, b.options.Slots)
		}
	}
	return b.sequence, totals
}

// Merge takes in the rest of the fleet's totals, as they were when the report of
// that sequence number had been counted. Accounts that are not named keep their
// service and count as waiting nowhere else. Answers that are too late are
// dropped, and Merge reports false.
func (b *Tracker) Merge(sequence uint64, totals []Total) bool {
	if sequence+maxReportLag <= b.sequence || sequence > b.sequence {
		return false
	}
	for i := range b.accounts {
		b.accounts[i].slots = 0
	}
	for _, t := range totals {
		s := b.state(t.Account)
		s.remote = t.Service + t.Pending
		s.slots = t.Slots
		b.maxSlots = max(b.maxSlots, t.Slots)
		if t.Adjustment.Supersedes(s.adjustment) {
			s.adjustment = t.Adjustment
		}
	}
	if sequence > b.correctedSequence {
		b.correctedSequence = sequence
		b.applyCorrection()
	}
	return true
}

// steer moves the turns of the accounts that wait here towards where the fleet's
// totals put them: as far from the mean turn as this server's part of what they
// are ahead of the mean over the fleet. A turn already moved and not yet taken is
// not moved again.
func (b *Tracker) applyCorrection() {
	meanStanding, meanKey, n := 0.0, 0.0, 0.0
	for i := range b.accounts {
		if s := &b.accounts[i]; s.waiting {
			meanStanding += b.virtualTime(s)
			meanKey += b.schedulingKey(s)
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
		if !s.waiting {
			continue
		}
		target := meanKey + (b.virtualTime(s)-meanStanding)*b.serverFraction(s)
		s.correction += correctionGain * (b.schedulingKey(s) - target)
		b.clampCorrection(s)
	}
}

// holdNear keeps an account's turn here within this server's part of the debt cap
// of the present one: a difference that lasts, because the servers an account can
// use differ, must not pile up.
func (b *Tracker) clampCorrection(s *accountState) {
	limit := b.options.DebtCap * b.serverFraction(s)
	if limit <= 0 {
		return
	}
	k := b.schedulingKey(s)
	switch {
	case k > b.lastKey+limit:
		s.correction += k - b.lastKey - limit
	case k < b.lastKey-limit:
		s.correction -= b.lastKey - limit - k
	}
}
