// Package quarantine decides which requests are kept away from backend servers because servers
// crash while running them.
//
// A server that crashes takes all its requests with it, and nothing shows which of them was the
// cause. But the cause recurs: the same request of the same account is present at the next
// crash, and it is never answered. The package therefore counts, for each request that was
// running on a server when it crashed, the number of such servers. At [CrashThreshold] the
// request is quarantined ("barred" in logs and metrics). A request that is answered completely
// was not the cause, and its count starts over. A request that was answered recently
// ([RecentAnswers]) is not counted at all, because many copies of a frequent request are in
// flight when several servers crash at once.
//
// The cause may also be one part of a prompt, which recurs in requests that are otherwise all
// different. The parts of a prompt are therefore counted beside the request, each by a key of its
// own ([KeyOfPart]). A part is quarantined only once different requests with it were at crashes,
// and one that had been answered before ([AnsweredParts]) only after more crashes, since it is
// shared by many requests that are not the cause. It is quarantined for the account whose requests
// with it were at crashes, and for all accounts once those of two were.
//
// A [Registry] holds only sets that grow: pairs of a suspect (a request or a part of a prompt) and
// a crashed server, and pairs that no longer count. A report that arrives twice, late or out of order therefore makes no
// difference, and gateways that have received the same reports quarantine the same requests.
//
// # Usage
//
//	r := quarantine.NewRegistry()
//	key := quarantine.KeyOf(quarantine.Request{Account: "quito", Method: "POST", …})
//	part := quarantine.KeyOfPart(quarantine.Part{Service: "chat", Model: "m", ID: "5c1e07a2"})
//	changed := r.AddCrash(now, "i-7f3a@1760000000000", keys, parts…) // a server crashed while running these
//	if r.IsQuarantined(key) || r.Bars(part, account) { … }          // must not be sent to a server
//	cleared := r.MarkAnswered(key)                           // was not the cause
//
// The package takes no locks, does no I/O and does not read the clock.
package quarantine

import (
	"slices"
	"time"
)

const (
	// CrashThreshold is the number of servers that may crash under a request before it is
	// quarantined. A threshold of two would spare servers but quarantine innocent requests
	// (TestThresholds).
	CrashThreshold = 3
	// From this number of crashes on, a suspect is worth a record. A request that was present at
	// a single crash is one of about fifty.
	recordThreshold = 2
	// maxPairs bounds the pairs of a request and a server that are remembered: 250 crashed
	// servers with 64 requests each. Beyond it, requests that were present at only one crash are
	// evicted, oldest first.
	maxPairs = 16384
	// maxRepeatSuspects bounds the requests with two crashes or more. Beyond it, those that are
	// not quarantined are evicted first, then those quarantined longest ago, so an attacker
	// would have to crash 12,000 servers to have a request forgotten.
	maxRepeatSuspects = 4096
	// maxCrashesPerRequest bounds the crashes remembered per request; more would not change how
	// the request is treated.
	maxCrashesPerRequest = 8
	// Crashes within this time of a request's first one may have a cause other than the request:
	// many servers crash at once, and copies of the request are running on several of them.
	simultaneousWindow = time.Second
	// A request that is quarantined only by simultaneous crashes may be given a trial. This many
	// later crashes settle the matter; a single one may have happened during a trial by chance.
	conclusiveLaterCrashes = 2
)

// Registry records which requests were running on servers that crashed. The zero value is not
// usable; see [NewRegistry].
type Registry struct {
	threshold      int
	suspects       map[Key]*suspect
	repeatSuspects map[Key]bool // suspects with at least recordThreshold crashes
	crashes        []crash      // in the order in which they became known
	pairs          int          // sum of len(keys) over crashes
}

// crash is the crash of a server, and the requests that were running there.
type crash struct {
	server string
	keys   []Key
}

// suspect is a request that was running on a server when it crashed.
type suspect struct {
	crashedServers []string  // crashes that count, in the order in which they became known
	clearedServers []string  // crashes that do not count because they had another cause
	quarantinedAt  time.Time // zero: not quarantined
	firstCrash     time.Time // when the first crash that counts became known
	lastCrash      time.Time
	firstTimed     time.Time // like firstCrash and lastCrash, of crashes under a part whose time is known
	lastTimed      time.Time
	laterCrashes   int           // number of crashes more than simultaneousWindow after the first
	timesUnknown   bool          // some crashes have an unknown time and are not known to be simultaneous
	part           *PartEvidence // nil: the suspect is a request
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{threshold: CrashThreshold, suspects: map[Key]*suspect{}, repeatSuspects: map[Key]bool{}}
}

// AddCrash records that a server crashed at a time while it was running these requests, with these
// parts of their prompts. It returns the keys whose [Registry.Record] has changed.
func (r *Registry) AddCrash(at time.Time, server string, requests []Key, parts ...PartSuspect) (changed []Key) {
	var added []Key
	add := func(k Key, evidence *PartEvidence) {
		wasQuarantined := r.IsQuarantined(k)
		isNew := r.addPair(at, true, server, k, evidence)
		if isNew {
			added = append(added, k)
		}
		if isNew && r.repeatSuspects[k] || wasQuarantined != r.IsQuarantined(k) {
			changed = append(changed, k)
		}
	}
	for _, k := range requests {
		add(k, nil)
	}
	for _, p := range parts {
		add(p.Key, &PartEvidence{Accounts: []string{p.Account}, Requests: []Key{p.Request}, AnsweredBefore: p.AnsweredBefore})
	}
	r.appendCrash(crash{server, added})
	return changed
}

// Merge adds the stored record of a request. It reports whether that changed anything.
func (r *Registry) Merge(now time.Time, k Key, stored StoredRecord) (changed bool) {
	wasQuarantined := r.IsQuarantined(k)
	for _, server := range stored.Servers {
		if !r.addPair(now, false, server, k, stored.Part) {
			continue
		}
		s := r.suspects[k]
		s.timesUnknown = s.timesUnknown || !stored.Simultaneous
		r.appendCrash(crash{server, []Key{k}})
		changed = true
	}
	return changed || wasQuarantined != r.IsQuarantined(k)
}

// addPair adds the pair of a suspect and a server; evidence is nil for a request. The server crashed
// at a time, or at an unknown time and that is when it became known. It reports whether the pair is
// new and was added.
func (r *Registry) addPair(at time.Time, timeKnown bool, server string, k Key, evidence *PartEvidence) bool {
	s := r.suspects[k]
	if s == nil {
		s = &suspect{}
		r.suspects[k] = s
	}
	if slices.Contains(s.clearedServers, server) {
		return false
	}
	s.addEvidence(evidence)
	if slices.Contains(s.crashedServers, server) {
		r.updateRepeat(k, s) // another gateway's requests were there too
		r.updateQuarantine(at, s)
		return false
	}
	s.addTime(at, timeKnown)
	if len(s.crashedServers) >= s.maxCrashes() {
		r.updateQuarantine(at, s)
		return false
	}
	s.crashedServers = append(s.crashedServers, server)
	r.updateRepeat(k, s)
	r.updateQuarantine(at, s)
	return true
}

// maxCrashes returns how many crashes are remembered for the suspect.
func (s *suspect) maxCrashes() int {
	if s.part != nil {
		return maxCrashesPerPart
	}
	return maxCrashesPerRequest
}

// addTime adds the time of a crash, or if that is unknown, when the crash became known.
func (s *suspect) addTime(at time.Time, timeKnown bool) {
	if s.firstCrash.IsZero() || at.Before(s.firstCrash) {
		s.firstCrash = at
	}
	if at.After(s.lastCrash) {
		s.lastCrash = at
	}
	if !timeKnown {
		return
	}
	if at.Sub(s.firstCrash) > simultaneousWindow {
		s.laterCrashes++
	}
	if s.part == nil {
		return
	}
	if s.firstTimed.IsZero() || at.Before(s.firstTimed) {
		s.firstTimed = at
	}
	if at.After(s.lastTimed) {
		s.lastTimed = at
	}
	s.part.SpanMs = max(s.part.SpanMs, s.lastTimed.Sub(s.firstTimed).Milliseconds())
}

// addEvidence adds what is known of a part; evidence is nil for a request.
func (s *suspect) addEvidence(evidence *PartEvidence) {
	if evidence == nil {
		return
	}
	if s.part == nil {
		s.part = &PartEvidence{}
	}
	s.part.Merge(evidence)
}

// conclusive reports whether a suspect is to be quarantined.
func (r *Registry) conclusive(s *suspect) bool {
	if s.part != nil {
		return s.part.conclusive(len(s.crashedServers), r.threshold)
	}
	return len(s.crashedServers) >= r.threshold
}

// updateRepeat records whether a suspect is worth a record.
func (r *Registry) updateRepeat(k Key, s *suspect) {
	threshold := recordThreshold
	if s.part != nil && s.part.AnsweredBefore {
		threshold = answeredRecordThreshold
	}
	if len(s.crashedServers) >= threshold {
		r.repeatSuspects[k] = true
		return
	}
	delete(r.repeatSuspects, k)
}

// updateQuarantine quarantines a suspect, or ends its quarantine.
func (r *Registry) updateQuarantine(now time.Time, s *suspect) {
	switch quarantined := r.conclusive(s); {
	case !quarantined:
		s.quarantinedAt = time.Time{}
	case s.quarantinedAt.IsZero():
		s.quarantinedAt = now
	}
}

// MarkAnswered records that a request was answered completely, so it caused none of the crashes
// so far. It returns the servers whose crashes no longer count.
func (r *Registry) MarkAnswered(k Key) (cleared []string) {
	s := r.suspects[k]
	if s == nil || len(s.crashedServers) == 0 {
		return nil
	}
	cleared = slices.Clone(s.crashedServers)
	r.Clear(k, cleared)
	return cleared
}

// Release stops counting all crashes recorded for a request.
func (r *Registry) Release(k Key) {
	if s := r.suspects[k]; s != nil {
		r.Clear(k, slices.Clone(s.crashedServers))
	}
}

// Clear stops counting the crashes of these servers for a request, as another gateway found that
// it did not cause them. Later reports of the same crashes are ignored too.
func (r *Registry) Clear(k Key, servers []string) {
	s := r.suspects[k]
	if s == nil {
		return // a request without a known crash is not worth the memory
	}
	for _, server := range servers {
		if !slices.Contains(s.clearedServers, server) {
			s.clearedServers = append(s.clearedServers, server)
		}
		if i := slices.Index(s.crashedServers, server); i >= 0 {
			s.crashedServers = slices.Delete(s.crashedServers, i, i+1)
		}
	}
	s.clearedServers = s.clearedServers[max(0, len(s.clearedServers)-s.maxCrashes()):]
	if len(s.crashedServers) == 0 {
		s.firstCrash, s.lastCrash, s.laterCrashes, s.timesUnknown = time.Time{}, time.Time{}, 0, false
		s.firstTimed, s.lastTimed = time.Time{}, time.Time{}
		if s.part != nil {
			s.part = &PartEvidence{}
		}
	}
	r.updateRepeat(k, s)
	r.updateQuarantine(s.quarantinedAt, s)
}

// IsCleared reports whether none of these servers' crashes counts for a request any more.
func (r *Registry) IsCleared(k Key, servers []string) bool {
	s := r.suspects[k]
	return s != nil && !slices.ContainsFunc(servers, func(server string) bool { return !slices.Contains(s.clearedServers, server) })
}

// CrashCount returns the number of servers whose crashes count for a request.
func (r *Registry) CrashCount(k Key) int {
	if s := r.suspects[k]; s != nil {
		return len(s.crashedServers)
	}
	return 0
}

// IsQuarantined reports whether a request must not be sent to servers.
func (r *Registry) IsQuarantined(k Key) bool {
	s := r.suspects[k]
	return s != nil && !s.quarantinedAt.IsZero()
}

// Ambiguous reports whether a request is quarantined by crashes that all came at the same time,
// but for at most one, and if so how long ago the latest crash was.
func (r *Registry) Ambiguous(now time.Time, k Key) (quiet time.Duration, ok bool) {
	s := r.suspects[k]
	if s == nil || s.part != nil || s.timesUnknown || len(s.crashedServers)-s.laterCrashes < r.threshold || s.laterCrashes >= conclusiveLaterCrashes {
		return 0, false
	}
	return now.Sub(s.lastCrash), true
}

// Record returns what is known of a request; ok is false if it has fewer than two crashes.
func (r *Registry) Record(k Key) (known Record, ok bool) {
	if !r.repeatSuspects[k] {
		return Record{}, false
	}
	s := r.suspects[k]
	return Record{
		Servers:       slices.Clone(s.crashedServers),
		QuarantinedAt: s.quarantinedAt,
		Simultaneous:  s.part == nil && !s.timesUnknown && s.laterCrashes < conclusiveLaterCrashes,
		Part:          s.part.clone(),
	}, true
}

// CountQuarantined returns the number of quarantined suspects, and how many of them are parts of
// prompts.
func (r *Registry) CountQuarantined() (all, parts int) {
	for k := range r.repeatSuspects {
		if !r.IsQuarantined(k) {
			continue
		}
		all++
		if r.IsPart(k) {
			parts++
		}
	}
	return all, parts
}

// Len returns the number of known requests.
func (r *Registry) Len() int { return len(r.suspects) }

// appendCrash stores a crash and evicts what exceeds the bounds.
func (r *Registry) appendCrash(c crash) {
	if len(c.keys) == 0 {
		return
	}
	r.crashes = append(r.crashes, c)
	r.pairs += len(c.keys)
	for r.pairs > maxPairs {
		r.evictCrash(r.crashes[0])
		r.crashes = r.crashes[1:]
	}
	for len(r.repeatSuspects) > maxRepeatSuspects {
		k := r.evictionCandidate()
		delete(r.repeatSuspects, k)
		delete(r.suspects, k)
	}
}

// evictCrash forgets this crash, unless a suspect is worth a record, and drops the suspects that were
// present at no other.
func (r *Registry) evictCrash(c crash) {
	r.pairs -= len(c.keys)
	for _, k := range c.keys {
		s := r.suspects[k]
		if s == nil || r.repeatSuspects[k] {
			continue
		}
		if i := slices.Index(s.crashedServers, c.server); i >= 0 {
			s.crashedServers = slices.Delete(s.crashedServers, i, i+1)
		}
		if len(s.crashedServers) == 0 {
			delete(r.suspects, k)
		}
	}
}

// evictionCandidate returns a request that is not quarantined, or else the one quarantined
// first.
func (r *Registry) evictionCandidate() (candidate Key) {
	first := true
	for k := range r.repeatSuspects {
		if first || r.suspects[k].quarantinedAt.Before(r.suspects[candidate].quarantinedAt) {
			candidate, first = k, false
		}
	}
	return candidate
}
