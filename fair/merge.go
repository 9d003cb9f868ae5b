package fair

import "math"

// This file exchanges service totals with the rest of the fleet.

// Report returns a sequence number and the totals that changed since the last
// report, or all totals: the service at this server, its slots where the account
// waits, and the adjustment if it changed. The slice is valid until the next call.
func (tr *Tracker) Report(all bool) (uint64, []Total) {
	tr.sequence++
	tr.reportBuf = tr.reportBuf[:0]
	for i := range tr.accounts {
		s := &tr.accounts[i]
		if !all && s.local == s.lastReported && s.pending == 0 && !s.adjusted && !s.waiting {
			continue
		}
		t := Total{Account: s.account, Service: s.local, Pending: s.pending}
		if s.adjusted || all {
			t.Adjustment = s.adjustment
		}
		if s.waiting {
			t.Slots = tr.options.Slots
		}
		s.lastReported = s.local
		s.adjusted = false
		tr.reportBuf = append(tr.reportBuf, t)
	}
	return tr.sequence, tr.reportBuf
}

// Snapshot returns the virtual time of every account as its service, and the slot
// count of the accounts that wait at this server.
func (tr *Tracker) Snapshot() (uint64, []Total) {
	totals := make([]Total, len(tr.accounts))
	for i := range tr.accounts {
		s := &tr.accounts[i]
		totals[i] = Total{Account: s.account, Service: tr.virtualTime(s), Adjustment: s.adjustment}
		if s.waiting {
			totals[i].Slots = math.Max(s.slots, tr.options.Slots)
		}
	}
	return tr.sequence, totals
}

// Merge applies the totals of the rest of the fleet, computed after the report with
// that sequence number was counted. Accounts that are not listed keep their service
// and count as waiting nowhere else. Merge ignores totals for a report that was not
// made or is too old, and reports whether it applied them.
func (tr *Tracker) Merge(sequence uint64, totals []Total) bool {
	if sequence+maxReportLag <= tr.sequence || sequence > tr.sequence {
		return false
	}
	for i := range tr.accounts {
		tr.accounts[i].slots = 0
	}
	for _, t := range totals {
		s := tr.state(t.Account)
		s.remote = t.Service + t.Pending
		s.slots = t.Slots
		tr.maxSlots = max(tr.maxSlots, t.Slots)
		if t.Adjustment.Supersedes(s.adjustment) {
			s.adjustment = t.Adjustment
		}
	}
	if sequence > tr.correctedSequence {
		tr.correctedSequence = sequence
		tr.applyCorrection()
	}
	return true
}

// applyCorrection moves the scheduling keys of the accounts that wait at this server
// towards their targets. The target's distance from the mean key is this server's
// fraction of the account's distance from the mean virtual time over the fleet. A
// correction that was applied and not yet used up by a pick is part of the key, so
// it is not applied again.
func (tr *Tracker) applyCorrection() {
	meanTime, meanKey, n := 0.0, 0.0, 0.0
	for i := range tr.accounts {
		if s := &tr.accounts[i]; s.waiting {
			meanTime += tr.virtualTime(s)
			meanKey += tr.schedulingKey(s)
			n++
		}
	}
	if n < 2 {
		return
	}
	meanTime /= n
	meanKey /= n
	for i := range tr.accounts {
		s := &tr.accounts[i]
		if !s.waiting {
			continue
		}
		target := meanKey + (tr.virtualTime(s)-meanTime)*tr.serverFraction(s)
		s.correction += correctionGain * (tr.schedulingKey(s) - target)
		tr.clampCorrection(s)
	}
}

// clampCorrection keeps an account's scheduling key within this server's fraction of
// the debt cap around the key picked last. A lasting difference, which arises when
// accounts can use different servers, must not accumulate.
func (tr *Tracker) clampCorrection(s *accountState) {
	limit := tr.options.DebtCap * tr.serverFraction(s)
	if limit <= 0 {
		return
	}
	k := tr.schedulingKey(s)
	switch {
	case k > tr.lastKey+limit:
		s.correction += k - tr.lastKey - limit
	case k < tr.lastKey-limit:
		s.correction -= tr.lastKey - limit - k
	}
}
