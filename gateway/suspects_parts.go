package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"opalbridge.dev/gateway/peer"
	"opalbridge.dev/gateway/protocol"
	"opalbridge.dev/gateway/quarantine"
)

// This file counts crashes under parts of prompts, beside those under whole requests. The cause of
// crashes may be one part, in requests of which no two are alike (platform:
// TestPromptPartThatCrashesServers).

// promptPart is a part of a prompt that other requests may share.
type promptPart struct {
	quarantine.Part
	key quarantine.Key
}

// summary describes the part for operators.
func (p promptPart) summary() string {
	text := "part " + p.ID + " of prompts for model " + p.Model + " at service " + p.Service
	return text[:min(len(text), maxSummaryLength)]
}

// promptParts returns the parts of a prompt, each once, without the last, which belongs to its
// request alone.
func promptParts(service, model string, parts []protocol.Part) []promptPart {
	list := make([]promptPart, 0, len(parts))
	seen := make(map[string]bool, len(parts))
	for _, p := range parts[:max(len(parts)-1, 0)] {
		if p.ID == "" || seen[p.ID] {
			continue
		}
		seen[p.ID] = true
		part := quarantine.Part{Service: service, Model: model, ID: p.ID}
		list = append(list, promptPart{part, quarantine.KeyOfPart(part)})
	}
	return list
}

// maxLoggedParts limits the parts of a prompt in a log line.
const maxLoggedParts = 16

// joinPartIDs returns the IDs of parts.
func joinPartIDs(parts []promptPart) string {
	ids := make([]string, 0, maxLoggedParts)
	for _, p := range parts[:min(len(parts), maxLoggedParts)] {
		ids = append(ids, p.ID)
	}
	return strings.Join(ids, ",")
}

// subjects are what can be quarantined of a request: the request itself, and parts of its prompt.
type subjects struct {
	request quarantine.Key
	account string
	parts   []promptPart
}

// partKeys returns the keys of the parts.
func (r subjects) partKeys() []quarantine.Key {
	keys := make([]quarantine.Key, len(r.parts))
	for i, p := range r.parts {
		keys[i] = p.key
	}
	return keys
}

// quarantineError returns the error of a request that is quarantined because of these keys.
func (r subjects) quarantineError(barring []quarantine.Key) error {
	for _, p := range r.parts {
		if slices.Contains(barring, p.key) {
			return errors.Wrapf(errQuarantined, "%s (%s)", p.summary(), p.key)
		}
	}
	return errQuarantined
}

// examine returns the largest number of servers that have crashed under a request or under a part of
// its prompt that had not been answered before, and the keys that quarantine the request.
func (s *suspectTracker) examine(r subjects) (crashes int, barring []quarantine.Key) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	crashes = s.registry.CrashCount(r.request)
	for _, p := range r.parts {
		crashes = max(crashes, s.registry.UnansweredCrashCount(p.key))
	}
	return crashes, s.barringLocked(r)
}

// bars reports whether a request is quarantined.
func (s *suspectTracker) bars(r subjects) bool {
	_, barring := s.examine(r)
	return len(barring) > 0
}

// barringLocked returns the keys that quarantine a request: its own first. The mutex must be held.
func (s *suspectTracker) barringLocked(r subjects) []quarantine.Key {
	var list []quarantine.Key
	if s.registry.IsQuarantined(r.request) {
		list = append(list, r.request)
	}
	for _, p := range r.parts {
		if s.registry.Bars(p.key, r.account) {
			list = append(list, p.key)
		}
	}
	return list
}

// kindOf returns the kind of a suspect, for events in the log.
func (s *suspectTracker) kindOf(k quarantine.Key) string {
	if s.registry.IsPart(k) {
		return "part"
	}
	return "request"
}

// suspectParts returns the parts of requests that were at a server when it crashed, each once, those
// first that are more likely to be the cause. The mutex must be held.
func (s *suspectTracker) suspectParts(now time.Time, requests []suspect) []quarantine.PartSuspect {
	var fresh, answered []quarantine.PartSuspect
	seen := map[quarantine.Key]bool{}
	for _, t := range requests {
		for _, p := range t.parts {
			if seen[p.key] {
				continue
			}
			seen[p.key] = true
			part := quarantine.PartSuspect{Key: p.key, Account: t.account, Request: t.key}
			if part.AnsweredBefore = s.answeredParts.Contains(now, p.key); part.AnsweredBefore {
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
func (s *suspectTracker) reportedParts(now time.Time, reported []peer.Part) []quarantine.PartSuspect {
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
func (s *suspectTracker) vouch(now time.Time, reported []peer.Part) {
	for _, p := range reported {
		k := quarantine.Key(p.Key)
		if p.AnsweredBefore || s.registry.CrashCount(k) < vouchCrashes || !s.answeredParts.Contains(now, k) {
			continue
		}
		s.peers.PublishPartAnswered(p.Key)
	}
}

// applyPartsAnswered applies a peer's report that parts had been answered before they were present
// at crashes.
func (s *suspectTracker) applyPartsAnswered(keys []peer.Key) {
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

// partsAnswered records that a request with these parts was answered completely, so servers do not
// crash on any of them.
func (s *suspectTracker) partsAnswered(now time.Time, service, model string, parts []protocol.Part) {
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
