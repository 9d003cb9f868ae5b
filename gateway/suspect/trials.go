package suspect

import (
	"context"
	"time"

	"opalbridge.dev/gateway/idhash"
	"opalbridge.dev/gateway/quarantine"
)

// This file sends a quarantined request all the same, a few times over the fleet, where something
// else may be the cause of the crashes.

const (
	// trialInterval is the time without another crash or trial before an ambiguous request is tried;
	// by then all gateways have heard of the last one. The fleet may send a quarantined request
	// three more times, which leaves room for maxTrials.
	trialInterval = 3 * time.Second
	maxTrials     = 2
	// trialStagger delays the gateways one after the other, so that mostly one of them asks the
	// store. Those from rank maxTrialRank on come together.
	trialStagger = 300 * time.Millisecond
	maxTrialRank = 10
	// trialTimeout bounds the store's answer: it takes milliseconds, and a caller waits for it.
	trialTimeout = 500 * time.Millisecond
)

// trialState counts, over the fleet, how often a quarantined request was sent.
type trialState struct {
	count    int
	lastAt   time.Time // when this gateway heard of the last trial, or failed to claim one
	claiming bool      // a trial is being claimed from the store
}

// SetPeerLive records whether a peer is alive.
func (s *Tracker) SetPeerLive(address string, alive bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if alive {
		s.livePeers[address] = true
		return
	}
	delete(s.livePeers, address)
}

// TrialDue reports whether this gateway may send a quarantined request once now: for all that
// quarantines it, something else may be the cause of the crashes. Gateways take turns in an order by
// rendezvous hashing, which is the same for nearly all of them, including those that have
// started since and know of the crashes from the store alone.
func (s *Tracker) TrialDue(now time.Time, r Subjects) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	barring := s.barringLocked(r)
	for _, key := range barring {
		if !s.trialDueLocked(now, key, r) {
			return false
		}
	}
	return len(barring) > 0
}

// doubtful reports whether something else than what has this key may be the cause of the crashes,
// and if so how long ago the latest crash was.
func (s *Tracker) doubtful(now time.Time, key quarantine.Key, r Subjects) (quiet time.Duration, ok bool) {
	if quiet, ok := s.registry.Ambiguous(now, key); ok {
		return quiet, true
	}
	return s.registry.PartInDoubt(now, key, r.partKeys())
}

// trialDueLocked is trialDue for one key, with the mutex held.
func (s *Tracker) trialDueLocked(now time.Time, key quarantine.Key, r Subjects) bool {
	quiet, doubtful := s.doubtful(now, key, r)
	known := s.trials[key]
	if !doubtful || s.Store == nil || known.claiming || known.count >= maxTrials {
		return false
	}
	rank := 0
	own := idhash.Unit(s.address + "/" + key.String())
	for address := range s.livePeers {
		if idhash.Unit(address+"/"+key.String()) > own {
			rank++
		}
	}
	return min(quiet, now.Sub(known.lastAt)) >= trialInterval+time.Duration(min(rank, maxTrialRank))*trialStagger
}

// Trials returns how many trials of a suspect this gateway knows of.
func (s *Tracker) Trials(key quarantine.Key) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.trials[key].count
}

// ClaimTrial claims a trial of a quarantined request, by the first key that quarantines it. The
// store counts the trials, which bounds them over the fleet, whichever gateways have started since.
func (s *Tracker) ClaimTrial(ctx context.Context, r Subjects) bool {
	if !s.TrialDue(time.Now(), r) {
		return false
	}
	s.mutex.Lock()
	barring := s.barringLocked(r)
	if len(barring) == 0 || !s.trialDueLocked(time.Now(), barring[0], r) {
		s.mutex.Unlock()
		return false
	}
	key := barring[0]
	known := s.trials[key]
	s.trials[key] = trialState{count: known.count, lastAt: known.lastAt, claiming: true}
	s.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	counted, err := s.Store.CountTrial(ctx, key, known.count)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	state := s.trials[key]
	state.claiming, state.lastAt = false, time.Now()
	if counted {
		state.count = max(state.count, known.count+1)
	}
	s.trials[key] = state
	if err != nil || !counted {
		s.log.Info().Str("event", s.kindOf(key)+".not_tried").Str("key", key.String()).Err(err).Msg("trial not claimed; another gateway may have sent it")
		return false
	}
	s.log.Warn().Str("event", s.kindOf(key)+".tried").Str("key", key.String()).Str("asks", s.summaries[key]).Int("tries", known.count+1).Msg("trial of a barred request: something else may be the cause of the crashes")
	return true
}
