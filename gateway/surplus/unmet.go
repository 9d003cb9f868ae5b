package surplus

import (
	"maps"
	"time"
)

// Demand is unmet demand of an account: requests that were refused or are waiting.
type Demand struct {
	Account      string
	Priority     int       // of the most urgent of these requests
	FirstAttempt time.Time // of the caller that has tried for longest
	Tokens       float64
	Recent       time.Time // when the latest of these requests was refused or was waiting
	Unfit        bool      // no server that was idle could have served these requests
}

// Table holds the unmet demand that is known at one gateway, and the times at which refused
// requests should return.
type Table struct {
	shareRatio func(account string) float64
	entries    map[entryKey]*entry
	due        map[string]time.Time // when the next request falls due, by account
}

type entryKey struct {
	account  string
	priority int
}

// entry is the unmet demand of an account's requests of one priority.
type entry struct {
	firstAttempt time.Time
	ownTokens    float64   // of this gateway
	ownRecent    time.Time // latest demand at this gateway
	ownFit       time.Time // latest demand at this gateway that a server could serve if others were not first, or if one were idle
	remoteFit    time.Time // the same, at other gateways
	unfitSince   time.Time // when unfit demand at any gateway began
	unfitRecent  time.Time // latest unfit demand at any gateway
}

// NewTable returns an empty Table. shareRatio returns the current share ratio of an account.
func NewTable(shareRatio func(account string) float64) *Table {
	return &Table{shareRatio: shareRatio, entries: map[entryKey]*entry{}, due: map[string]time.Time{}}
}

// isRecent reports whether demand at a time is still protected.
func isRecent(now, at time.Time) bool { return now.Sub(at) < protection }

// isProtected reports whether the demand keeps capacity from accounts behind it.
func (e *entry) isProtected(now time.Time) bool {
	return isRecent(now, e.ownFit) || isRecent(now, e.remoteFit) ||
		isRecent(now, e.unfitRecent) && isRecent(now, e.unfitSince)
}

// isForgettable reports whether the entry no longer affects a decision.
func (e *entry) isForgettable(now time.Time) bool {
	return !e.isProtected(now) && !isRecent(now, e.ownRecent) && now.Sub(e.unfitRecent) >= unfitRest
}

// RecordUnmet records that a request of this gateway was refused or is waiting. While a request
// waits, it is recorded again with Tokens of 0.
func (t *Table) RecordUnmet(now time.Time, d Demand) {
	e := t.entry(now, d)
	if e == nil {
		return
	}
	if !isRecent(now, e.ownRecent) {
		e.ownTokens = 0
	}
	e.ownTokens += d.Tokens
	e.ownRecent = now
	if d.Unfit {
		e.addUnfit(now)
		return
	}
	e.ownFit = now
}

// RecordServed records that a request of this gateway that was recorded as unmet is served.
func (t *Table) RecordServed(account string, priority int, tokens float64) {
	e := t.entries[entryKey{account, priority}]
	if e == nil {
		return
	}
	if e.ownTokens -= tokens; e.ownTokens <= 0 {
		e.ownTokens, e.ownRecent, e.ownFit = 0, time.Time{}, time.Time{}
	}
}

// RecordRemote records unmet demand that another gateway has reported.
func (t *Table) RecordRemote(now time.Time, list []Demand) {
	for _, d := range list {
		recent := d.Recent
		if recent.After(now) {
			recent = now
		}
		if !isRecent(now, recent) {
			continue
		}
		e := t.entry(now, d)
		switch {
		case e == nil:
		case d.Unfit:
			e.addUnfit(recent)
		case recent.After(e.remoteFit):
			e.remoteFit = recent
		}
	}
}

// addUnfit records unfit demand, which is protected only when it begins.
func (e *entry) addUnfit(at time.Time) {
	if at.Sub(e.unfitRecent) >= unfitRest {
		e.unfitSince = at
	}
	if at.After(e.unfitRecent) {
		e.unfitRecent = at
	}
}

// entry returns the entry for a demand, adding it if it is new; nil if there are too many.
func (t *Table) entry(now time.Time, d Demand) *entry {
	key := entryKey{d.Account, d.Priority}
	e := t.entries[key]
	if e == nil {
		if len(t.entries) >= maxEntries {
			t.Sweep(now)
		}
		if len(t.entries) >= maxEntries {
			return nil
		}
		e = &entry{firstAttempt: d.FirstAttempt}
		t.entries[key] = e
	}
	if d.FirstAttempt.Before(e.firstAttempt) || !e.isProtected(now) && !isRecent(now, e.ownRecent) {
		e.firstAttempt = d.FirstAttempt
	}
	return e
}

// OwnDemands returns this gateway's recent unmet demand by account, for other gateways.
func (t *Table) OwnDemands(now time.Time) map[string]Demand {
	var demands map[string]Demand
	for k, e := range t.entries {
		if !isRecent(now, e.ownRecent) {
			continue
		}
		if demands == nil {
			demands = map[string]Demand{}
		}
		d, known := demands[k.account]
		if !known {
			d = Demand{Account: k.account, Priority: k.priority, FirstAttempt: e.firstAttempt, Unfit: true}
		}
		if e.firstAttempt.Before(d.FirstAttempt) {
			d.FirstAttempt = e.firstAttempt
		}
		if e.ownRecent.After(d.Recent) {
			d.Recent = e.ownRecent
		}
		d.Priority = min(d.Priority, k.priority)
		d.Tokens += e.ownTokens
		d.Unfit = d.Unfit && !isRecent(now, e.ownFit)
		demands[k.account] = d
	}
	return demands
}

// ahead returns the first account in order that is ahead of a request and has unmet demand, or an
// empty string. An account is never ahead of itself.
func (t *Table) ahead(now time.Time, r Request) string {
	first, account := r.Position, ""
	for k, e := range t.entries {
		if k.account == r.Account || k.priority > first.Priority || !e.isProtected(now) {
			continue
		}
		p := Position{Priority: k.priority, ShareRatio: t.shareRatio(k.account), FirstAttempt: e.firstAttempt}
		if c := p.Compare(first); c < 0 || c == 0 && account != "" && k.account < account {
			first, account = p, k.account
		}
	}
	return account
}

// Sweep removes what no longer affects a decision.
func (t *Table) Sweep(now time.Time) {
	maps.DeleteFunc(t.entries, func(_ entryKey, e *entry) bool { return e.isForgettable(now) })
	maps.DeleteFunc(t.due, func(_ string, due time.Time) bool { return !due.After(now) })
}
