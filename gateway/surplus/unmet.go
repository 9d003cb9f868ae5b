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
	ownTokens    tokenWindow // of this gateway
	remoteTokens tokenWindow // of other gateways
	ownRecent    time.Time   // latest demand at this gateway
	ownFit       time.Time   // latest demand at this gateway that a server could serve if others were not first, or if one were idle
	remoteFit    time.Time   // the same, at other gateways
	unfitSince   time.Time   // when unfit demand at any gateway began
	unfitRecent  time.Time   // latest unfit demand at any gateway
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
	e.ownTokens.add(now, d.Tokens)
	e.ownRecent = now
	if d.Unfit {
		e.addUnfit(now)
		return
	}
	e.ownFit = now
}

// RecordServed records that a request of this gateway that was recorded as unmet is served.
func (t *Table) RecordServed(now time.Time, account string, priority int, tokens float64) {
	e := t.entries[entryKey{account, priority}]
	if e == nil {
		return
	}
	e.ownTokens.add(now, -tokens)
	if e.ownTokens.sum(now) <= 0 {
		e.ownTokens, e.ownRecent, e.ownFit = tokenWindow{}, time.Time{}, time.Time{}
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
		if e == nil {
			continue
		}
		e.remoteTokens.add(now, d.Tokens)
		switch {
		case d.Unfit:
			e.addUnfit(recent)
		case recent.After(e.remoteFit):
			e.remoteFit = recent
		}
	}
}

// tokenWindow counts tokens in two periods of half of the protection each, which is also the
// interval at which other gateways report.
type tokenWindow struct {
	began         time.Time // of the current period
	current, last float64
}

func (w *tokenWindow) advance(now time.Time) {
	switch age := now.Sub(w.began); {
	case age >= protection:
		*w = tokenWindow{began: now}
	case age >= protection/2:
		*w = tokenWindow{began: w.began.Add(protection / 2), last: w.current}
	}
}

func (w *tokenWindow) add(now time.Time, tokens float64) {
	w.advance(now)
	w.current += tokens
}

// sum returns the tokens of both periods.
func (w *tokenWindow) sum(now time.Time) float64 {
	w.advance(now)
	return max(w.current+w.last, 0)
}

// largest returns the tokens of the period with more: each gateway has reported once in it.
func (w *tokenWindow) largest(now time.Time) float64 {
	w.advance(now)
	return max(w.current, w.last, 0)
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
		d.Tokens += e.ownTokens.sum(now)
		d.Unfit = d.Unfit && !isRecent(now, e.ownFit)
		demands[k.account] = d
	}
	return demands
}

// ahead returns the first account in order that is ahead of a request and has unmet demand, and the
// tokens of all such accounts. An account is never ahead of itself.
func (t *Table) ahead(now time.Time, r Request) (account string, tokens float64) {
	first := r.Position
	for k, e := range t.entries {
		if k.account == r.Account || k.priority > r.Priority || !e.isProtected(now) {
			continue
		}
		p := Position{Priority: k.priority, ShareRatio: t.shareRatio(k.account), FirstAttempt: e.firstAttempt}
		if p.Compare(r.Position) >= 0 {
			continue
		}
		tokens += e.ownTokens.sum(now) + e.remoteTokens.largest(now)
		if c := p.Compare(first); c < 0 || c == 0 && k.account < account {
			first, account = p, k.account
		}
	}
	return account, tokens
}

// Sweep removes what no longer affects a decision.
func (t *Table) Sweep(now time.Time) {
	maps.DeleteFunc(t.entries, func(_ entryKey, e *entry) bool { return e.isForgettable(now) })
	maps.DeleteFunc(t.due, func(_ string, due time.Time) bool { return !due.After(now) })
}
