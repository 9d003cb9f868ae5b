package suspect

import (
	"slices"
	"strings"
	"time"

	"opalbridge.dev/gateway/peer"
	"opalbridge.dev/gateway/protocol"
	"opalbridge.dev/gateway/quarantine"
)

// This file counts crashes under parts of prompts, beside those under whole requests. The cause of
// crashes may be one part, in requests of which no two are alike (platform:
// TestPromptPartThatCrashesServers).

// Part is a part of a prompt that other requests may share.
type Part struct {
	quarantine.Part
	Key quarantine.Key
}

// Summary describes the part for operators.
func (p Part) Summary() string {
	text := "part " + p.ID + " of prompts for model " + p.Model + " at service " + p.Service
	return text[:min(len(text), MaxSummaryLength)]
}

// PromptParts returns the parts of a prompt, each once, without the last, which belongs to its
// request alone.
func PromptParts(service, model string, parts []protocol.Part) []Part {
	list := make([]Part, 0, len(parts))
	seen := make(map[string]bool, len(parts))
	for _, p := range parts[:max(len(parts)-1, 0)] {
		if p.ID == "" || seen[p.ID] {
			continue
		}
		seen[p.ID] = true
		part := quarantine.Part{Service: service, Model: model, ID: p.ID}
		list = append(list, Part{part, quarantine.KeyOfPart(part)})
	}
	return list
}

// maxLoggedParts limits the parts of a prompt in a log line.
const maxLoggedParts = 16

// PartIDs returns the IDs of the parts of the request's prompt for a log line.
func (r Request) PartIDs() string {
	ids := make([]string, 0, maxLoggedParts)
	for _, p := range r.Parts[:min(len(r.Parts), maxLoggedParts)] {
		ids = append(ids, p.ID)
	}
	return strings.Join(ids, ",")
}

// Subjects are what can be quarantined of a request: the request itself, and parts of its prompt.
type Subjects struct {
	Request quarantine.Key
	Account string
	Parts   []Part
}

// partKeys returns the keys of the parts.
func (r Subjects) partKeys() []quarantine.Key {
	keys := make([]quarantine.Key, len(r.Parts))
	for i, p := range r.Parts {
		keys[i] = p.Key
	}
	return keys
}

// Examine returns the largest number of servers that have crashed under a request or under a part of
// its prompt that had not been answered before, and the keys that quarantine the request.
func (s *Tracker) Examine(r Subjects) (crashes int, barring []quarantine.Key) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	crashes = s.registry.CrashCount(r.Request)
	for _, p := range r.Parts {
		crashes = max(crashes, s.registry.UnansweredCrashCount(p.Key))
	}
	return crashes, s.barringLocked(r)
}

// Bars reports whether a request is quarantined.
func (s *Tracker) Bars(r Subjects) bool {
	_, barring := s.Examine(r)
	return len(barring) > 0
}

// barringLocked returns the keys that quarantine a request: its own first. The mutex must be held.
func (s *Tracker) barringLocked(r Subjects) []quarantine.Key {
	var list []quarantine.Key
	if s.registry.IsQuarantined(r.Request) {
		list = append(list, r.Request)
	}
	for _, p := range r.Parts {
		if s.registry.Bars(p.Key, r.Account) {
			list = append(list, p.Key)
		}
	}
	return list
}

// kindOf returns the kind of a suspect, for events in the log.
func (s *Tracker) kindOf(k quarantine.Key) string {
	if s.registry.IsPart(k) {
		return "part"
	}
	return "request"
}

// suspectParts returns the parts of requests that were at a server when it crashed, each once, those
// first that are more likely to be the cause. The mutex must be held.
func (s *Tracker) suspectParts(now time.Time, requests []Request) []quarantine.PartSuspect {
	var fresh, answered []quarantine.PartSuspect
	seen := map[quarantine.Key]bool{}
	for _, t := range requests {
		for _, p := range t.Parts {
			if seen[p.Key] {
				continue
			}
			seen[p.Key] = true
			part := quarantine.PartSuspect{Key: p.Key, Account: t.Account, Request: t.Key}
			if part.AnsweredBefore = s.answeredParts.Contains(now, p.Key); part.AnsweredBefore {
				answered = append(answered, part)
				continue
			}
			fresh = append(fresh, part)
		}
	}
	return append(fresh, answered...)
}

// partsToReport returns the parts to report to the peers: those with an earlier crash, and of the
// rest those that are admitted.
func partsToReport(parts []quarantine.PartSuspect, repeated []quarantine.Key, admit func() bool) []peer.Part {
	var first, rest []peer.Part
	for _, p := range parts {
		reported := peer.Part{Key: peer.Key(p.Key), Request: peer.Key(p.Request), Account: p.Account, AnsweredBefore: p.AnsweredBefore}
		if slices.Contains(repeated, p.Key) {
			first = append(first, reported)
			continue
		}
		if admit() {
			rest = append(rest, reported)
		}
	}
	return append(first, rest...)
}

// reportedParts returns the parts that a peer reports, with what this gateway knows of them. The
// mutex must be held.
func (s *Tracker) reportedParts(now time.Time, reported []peer.Part) []quarantine.PartSuspect {
	parts := make([]quarantine.PartSuspect, len(reported))
	for i, p := range reported {
		parts[i] = quarantine.PartSuspect{
			Key:            quarantine.Key(p.Key),
			Request:        quarantine.Key(p.Request),
			Account:        p.Account,
			AnsweredBefore: p.AnsweredBefore || s.answeredParts.Contains(now, quarantine.Key(p.Key)),
		}
	}
	return parts
}

// vouchCrashes is the number of crashes under a part from which on a gateway tells the others that
// the part had been answered before. With fewer, many gateways would tell it at each crash.
const vouchCrashes = 2

// vouch tells the peers of reported parts that this gateway has had answered, if they may not know
// it; who has stored such a part stores it anew. The mutex must be held.
func (s *Tracker) vouch(now time.Time, reported []peer.Part) {
	for _, p := range reported {
		k := quarantine.Key(p.Key)
		if p.AnsweredBefore || s.registry.CrashCount(k) < vouchCrashes || !s.answeredParts.Contains(now, k) {
			continue
		}
		s.Peers.PublishPartAnswered(p.Key)
	}
}

// ApplyPartsAnswered applies a peer's report that parts had been answered before they were present
// at crashes.
func (s *Tracker) ApplyPartsAnswered(keys []peer.Key) {
	if len(keys) == 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, key := range keys {
		k := quarantine.Key(key)
		if s.registry.MarkAnsweredBefore(k) {
			s.log.Info().Str("event", "part.released").Str("key", k.String()).Msg("part had been answered before; more crashes are needed to bar it")
		}
		if s.ownWrites[k] {
			s.queueWrite(k) // the store has it as one that was never answered
		}
	}
}

// PartsAnswered records that a request with these parts was answered completely, so servers do not
// crash on any of them.
func (s *Tracker) PartsAnswered(now time.Time, service, model string, parts []protocol.Part) {
	if len(parts) < 2 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	suspects := s.suspectCount.Load() > 0
	for _, p := range parts[:len(parts)-1] {
		key := s.answeredParts.Add(now, quarantine.Part{Service: service, Model: model, ID: p.ID})
		if suspects {
			s.clearCrashes(key)
		}
	}
}
