package surplus

import (
	"maps"
	"math"
	"time"
)

// Demand is unmet demand of an account: requests that were refused or are waiting.
type Demand struct {
	Account      string
	Priority     int       // of the most urgent of these requests
	FirstAttempt time.Time // of the caller that has tried for longest
	Tokens       float64
	Need         float64   // of the request that needs least, see [Need]; 0: it is within its account's share and takes any server that is idle
	Recent       time.Time // when the latest of these requests was refused or was waiting
}

// Need returns what a request needs of a server: its nominal prefill time over the time that it may
// take for the first event to be within ObjectiveFraction of the objective. A server whose slowness
// times the need is over 1 is too slow for the request.
func Need(prefill, firstEventDelay, objective time.Duration) float64 {
	available := fraction(objective, ObjectiveFraction) - firstEventDelay
	if available <= 0 {
		return math.Inf(1)
	}
	return float64(prefill) / float64(available)
}

// Table holds the unmet demand that is known at one gateway, and the times at which refused
// requests should return.
type Table struct {
	shareRatio func(account string) float64
	entries    map[entryKey]*entry
	due        map[string]time.Time // when the next request falls due, by account
	lateness   map[string]*lateness // by service
}

type entryKey struct {
	account  string
	priority int
}

// entry is the unmet demand of an account's requests of one priority.
type entry struct {
	since  time.Time // when it began, after at least minPause without
	recent time.Time // when it was last known
	own    claim     // of this gateway
	remote claim     // of other gateways
}

// claim is unmet demand in the last half second, in two periods of half of that. Other gateways
// report at the same interval.
type claim struct {
	recent        time.Time
	began         time.Time // of the current period
	current, last period
}

type period struct {
	tokens       float64
	need         float64   // the least
	firstAttempt time.Time // the earliest; zero: no demand
}

// NewTable returns an empty Table. shareRatio returns the current share ratio of an account.
func NewTable(shareRatio func(account string) float64) *Table {
	return &Table{shareRatio: shareRatio, entries: map[entryKey]*entry{}, due: map[string]time.Time{}, lateness: map[string]*lateness{}}
}

// isRecent reports whether demand at a time is still protected.
func isRecent(now, at time.Time) bool { return now.Sub(at) < protection }

func (c *claim) advance(now time.Time) {
	switch age := now.Sub(c.began); {
	case age >= protection:
		c.began, c.current, c.last = now, period{}, period{}
	case age >= protection/2:
		c.began, c.current, c.last = c.began.Add(protection/2), period{}, c.current
	}
}

func (c *claim) add(now, recent time.Time, d Demand) {
	c.advance(now)
	p := &c.current
	p.tokens += d.Tokens
	if p.firstAttempt.IsZero() {
		p.firstAttempt, p.need = d.FirstAttempt, d.Need
	}
	if d.FirstAttempt.Before(p.firstAttempt) {
		p.firstAttempt = d.FirstAttempt
	}
	p.need = min(p.need, d.Need)
	if recent.After(c.recent) {
		c.recent = recent
	}
}

// summary returns what is known of the claim. ok is false if there is none that is recent.
func (c *claim) summary(now time.Time) (p period, ok bool) {
	if !isRecent(now, c.recent) {
		return period{}, false
	}
	c.advance(now)
	if c.last.firstAttempt.IsZero() {
		return c.current, !c.current.firstAttempt.IsZero()
	}
	p = c.last
	if c.current.firstAttempt.IsZero() {
		return p, true
	}
	p.tokens += c.current.tokens
	p.need = min(p.need, c.current.need)
	if c.current.firstAttempt.Before(p.firstAttempt) {
		p.firstAttempt = c.current.firstAttempt
	}
	return p, true
}

// RecordUnmet records that a request of this gateway was refused or is waiting. While a request
// waits, it is recorded again with Tokens of 0.
func (t *Table) RecordUnmet(now time.Time, d Demand) {
	if e := t.entry(now, now, d); e != nil {
		e.own.add(now, now, d)
	}
}

// RecordServed records that a request of this gateway that was recorded as unmet is served.
func (t *Table) RecordServed(now time.Time, account string, priority int, tokens float64) {
	e := t.entries[entryKey{account, priority}]
	if e == nil {
		return
	}
	e.own.advance(now)
	e.own.current.tokens -= tokens
	if e.own.current.tokens+e.own.last.tokens <= 0 {
		e.own = claim{}
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
		if e := t.entry(now, recent, d); e != nil {
			d.Tokens /= 2 // a gateway reports the last half second twice in it
			e.remote.add(now, recent, d)
		}
	}
}

// entry returns the entry for a demand, adding it if it is new; nil if there are too many.
func (t *Table) entry(now, recent time.Time, d Demand) *entry {
	key := entryKey{d.Account, d.Priority}
	e := t.entries[key]
	if e == nil {
		if len(t.entries) >= maxEntries {
			t.sweepEntries(now)
		}
		if len(t.entries) >= maxEntries {
			return nil
		}
		e = &entry{}
		t.entries[key] = e
	}
	if recent.Sub(e.recent) >= minPause {
		e.since = recent
	}
	if recent.After(e.recent) {
		e.recent = recent
	}
	return e
}

// OwnDemands returns this gateway's recent unmet demand by account, for other gateways.
func (t *Table) OwnDemands(now time.Time) map[string]Demand {
	var demands map[string]Demand
	for k, e := range t.entries {
		p, ok := e.own.summary(now)
		if !ok {
			continue
		}
		if demands == nil {
			demands = map[string]Demand{}
		}
		d, known := demands[k.account]
		if !known {
			d = Demand{Account: k.account, Priority: k.priority, FirstAttempt: p.firstAttempt, Need: p.need}
		}
		if p.firstAttempt.Before(d.FirstAttempt) {
			d.FirstAttempt = p.firstAttempt
		}
		if e.own.recent.After(d.Recent) {
			d.Recent = e.own.recent
		}
		d.Priority = min(d.Priority, k.priority)
		d.Need = min(d.Need, p.need)
		d.Tokens += max(p.tokens, 0)
		demands[k.account] = d
	}
	return demands
}

// ahead returns the first account in order that is ahead of a request and has unmet demand that a
// server could serve, and the tokens of all such accounts that are to be left to them: all tokens of
// requests within their share, and what is expected of others while the request occupies the
// server. Demand that needs a faster server counts too when it has just begun. An account is never ahead of
// itself.
func (t *Table) ahead(now time.Time, r Request, s Server) (account string, tokens float64) {
	occupied := min(s.Predicted.Seconds()/protection.Seconds(), 1)
	first := r.Position
	for k, e := range t.entries {
		if k.account == r.Account || k.priority > r.Priority || !isRecent(now, e.recent) {
			continue
		}
		own, hasOwn := e.own.summary(now)
		remote, hasRemote := e.remote.summary(now)
		if !hasOwn {
			own = remote
		} else if hasRemote {
			own.tokens += remote.tokens
			own.need = min(own.need, remote.need)
			if remote.firstAttempt.Before(own.firstAttempt) {
				own.firstAttempt = remote.firstAttempt
			}
		}
		if !hasOwn && !hasRemote || own.need*s.Slowness > 1 && !isRecent(now, e.since) {
			continue
		}
		p := Position{Priority: k.priority, ShareRatio: t.shareRatio(k.account), FirstAttempt: own.firstAttempt}
		if p.Compare(r.Position) >= 0 {
			continue
		}
		if own.need > 0 {
			own.tokens *= occupied // what is expected while the request occupies the server
		}
		tokens += max(own.tokens, 0)
		if c := p.Compare(first); c < 0 || c == 0 && k.account < account {
			first, account = p, k.account
		}
	}
	return account, tokens
}

// Sweep removes what no longer affects a decision.
func (t *Table) Sweep(now time.Time) {
	t.sweepEntries(now)
	maps.DeleteFunc(t.due, func(_ string, due time.Time) bool { return !due.After(now) })
}

func (t *Table) sweepEntries(now time.Time) {
	maps.DeleteFunc(t.entries, func(_ entryKey, e *entry) bool { return now.Sub(e.recent) >= minPause })
}
