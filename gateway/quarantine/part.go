package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"
)

const (
	// answeredPartThreshold is the number of servers that may crash under a part which had been
	// answered before, without an answer on it in between. It is higher than CrashThreshold because
	// a part that many requests share is present at nearly every crash.
	answeredPartThreshold = 6
	// answeredRecordThreshold is the number of crashes from which on such a part is worth a record.
	// With recordThreshold, the parts that many requests share would be written to the store, and
	// removed from it, at nearly every second crash.
	answeredRecordThreshold = 4
	// Crashes under a part must be this far apart, the last from the first, before it is
	// quarantined: servers that crash at the same moment have another cause. The time is longer for
	// a part that had been answered before: unless servers crash on it, it is answered again within
	// that time.
	partSpan         = 20 * time.Millisecond
	answeredPartSpan = 1500 * time.Millisecond
	// maxCrashesPerPart bounds the crashes remembered per part. It is higher than that of requests,
	// since all crashes under a part that is the cause explain those under others.
	maxCrashesPerPart = 32
	// distinctRequests is the number of different requests with a part that must have been at
	// crashes before the part is quarantined. Otherwise the request as a whole may be the cause.
	distinctRequests = 2
	// From this number of accounts on, a part is quarantined for all accounts. Below it, an account
	// whose requests crash servers bars the part for itself alone.
	distinctAccounts = 2
)

// Part identifies a part of prompts. Its number of tokens and its position are left out.
type Part struct {
	Service string
	Model   string
	ID      string // as sent by callers
}

// partMarker stands where the key of a request has the length of its first field, and no field is
// that long, so no part has the key of a request.
const partMarker = 1<<64 - 1

// KeyOfPart returns the key of a part of prompts.
func KeyOfPart(p Part) Key {
	buffer := make([]byte, 0, 256)
	buffer = binary.BigEndian.AppendUint64(buffer, partMarker)
	for _, field := range [...]string{p.Service, p.Model, p.ID} {
		buffer = binary.BigEndian.AppendUint64(buffer, uint64(len(field)))
		buffer = append(buffer, field...)
	}
	sum := sha256.Sum256(buffer)
	return Key(sum[:len(Key{})])
}

// PartSuspect is a part of the prompt of a request that was running on a server when it crashed.
type PartSuspect struct {
	Key            Key
	Account        string // of the request
	Request        Key
	AnsweredBefore bool // a request with the part had been answered completely before the crash
}

// PartEvidence is what is known, apart from the crashed servers, of a part that was present at
// crashes. It only grows until the part is answered.
type PartEvidence struct {
	Accounts       []string `json:"accounts"` // whose requests with the part were at crashes; distinctAccounts at most
	Requests       []Key    `json:"requests"` // with the part that were at crashes; distinctRequests at most
	AnsweredBefore bool     `json:"answered_before,omitempty"`
	SpanMs         int64    `json:"span_ms"` // from the first crash to the last one
}

// clone returns a copy that shares no memory; nil for nil.
func (e *PartEvidence) clone() *PartEvidence {
	if e == nil {
		return nil
	}
	c := *e
	c.Accounts, c.Requests = slices.Clone(e.Accounts), slices.Clone(e.Requests)
	return &c
}

// equal reports whether both hold the same evidence.
func (e *PartEvidence) equal(o *PartEvidence) bool {
	if e == nil || o == nil {
		return e == o
	}
	return e.AnsweredBefore == o.AnsweredBefore && e.SpanMs == o.SpanMs &&
		slices.Equal(e.Accounts, o.Accounts) && slices.Equal(e.Requests, o.Requests)
}

// mergeEvidence returns the union of both.
func mergeEvidence(e, o *PartEvidence) *PartEvidence {
	if e == nil {
		return o.clone()
	}
	merged := e.clone()
	if o != nil {
		merged.Merge(o)
	}
	return merged
}

// Merge adds other evidence and reports whether some of it is new.
func (e *PartEvidence) Merge(o *PartEvidence) (changed bool) {
	before := *e
	for _, a := range o.Accounts {
		e.Accounts = appendDistinct(e.Accounts, a, distinctAccounts)
	}
	for _, k := range o.Requests {
		e.Requests = appendDistinct(e.Requests, k, distinctRequests)
	}
	e.AnsweredBefore = e.AnsweredBefore || o.AnsweredBefore
	e.SpanMs = max(e.SpanMs, o.SpanMs)
	return !e.equal(&before)
}

// appendDistinct appends a value that the list lacks, unless the list has limit values.
func appendDistinct[T comparable](list []T, value T, limit int) []T {
	if len(list) >= limit || slices.Contains(list, value) {
		return list
	}
	return append(list, value)
}

// conclusive reports whether these crashes and this evidence show that servers crash on the part.
func (e *PartEvidence) conclusive(crashes, threshold int) bool {
	if len(e.Requests) < distinctRequests {
		return false
	}
	span := time.Duration(e.SpanMs) * time.Millisecond
	if e.AnsweredBefore {
		return crashes >= answeredPartThreshold && span >= answeredPartSpan
	}
	return crashes >= threshold && span >= partSpan
}

// bars reports whether the part, if it is quarantined, is quarantined for an account.
func (e *PartEvidence) bars(account string) bool {
	return e.ForAllAccounts() || slices.Contains(e.Accounts, account)
}

// ForAllAccounts reports whether the part, if it is quarantined, is quarantined for all accounts.
func (e *PartEvidence) ForAllAccounts() bool { return len(e.Accounts) >= distinctAccounts }

// Bars reports whether requests of an account must not be sent to servers because of a request's
// or a part's key.
func (r *Registry) Bars(k Key, account string) bool {
	s := r.suspects[k]
	if s == nil || s.quarantinedAt.IsZero() {
		return false
	}
	return s.part == nil || s.part.bars(account)
}

// UnansweredCrashCount returns the number of servers whose crashes count for a part, if no answer
// before them speaks for it, and 0 otherwise.
func (r *Registry) UnansweredCrashCount(k Key) int {
	s := r.suspects[k]
	if s == nil || s.part == nil || s.part.AnsweredBefore {
		return 0
	}
	return len(s.crashedServers)
}

// IsPart reports whether a key is known to belong to a part of prompts.
func (r *Registry) IsPart(k Key) bool {
	s := r.suspects[k]
	return s != nil && s.part != nil
}

// MarkAnsweredBefore records that a part had been answered before the crashes at which it was
// present. It reports whether that changed whether the part is quarantined.
func (r *Registry) MarkAnsweredBefore(k Key) (changed bool) {
	s := r.suspects[k]
	if s == nil || s.part == nil || s.part.AnsweredBefore {
		return false
	}
	s.part.AnsweredBefore = true
	r.updateRepeat(k, s)
	if s.quarantinedAt.IsZero() || r.conclusive(s) {
		return false
	}
	s.quarantinedAt = time.Time{}
	return true
}

// PartInDoubt reports whether something else than a quarantined part may be the cause of its
// crashes, and if so how long ago the latest one was. That is so if the part had been answered before
// them, or if another quarantined part, which is not among the given ones, was present at all of
// them.
func (r *Registry) PartInDoubt(now time.Time, k Key, present []Key) (quiet time.Duration, ok bool) {
	s := r.suspects[k]
	if s == nil || s.part == nil {
		return 0, false
	}
	if s.part.AnsweredBefore {
		return now.Sub(s.lastCrash), true
	}
	for other := range r.repeatSuspects {
		o := r.suspects[other]
		if other == k || o.part == nil || o.quarantinedAt.IsZero() || slices.Contains(present, other) {
			continue
		}
		if !slices.ContainsFunc(s.crashedServers, func(server string) bool { return !o.presentAt(server) }) {
			return now.Sub(s.lastCrash), true
		}
	}
	return 0, false
}

// presentAt reports whether a suspect was present when a server crashed, whether or not that crash
// counts.
func (s *suspect) presentAt(server string) bool {
	return slices.Contains(s.crashedServers, server) || slices.Contains(s.clearedServers, server)
}
