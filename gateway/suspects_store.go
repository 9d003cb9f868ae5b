package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"opalbridge.dev/gateway/quarantine"
)

// This file brings suspects to the store, and takes over what the store keeps of them.

// kept takes over what the store keeps: old is what it kept before. What this gateway knows
// to have been answered since is dropped by one gateway of each hall, the one that watches.
func (s *suspectTracker) applyStored(now time.Time, old, kept map[quarantine.Key]quarantine.StoredRecord, watches bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for k, is := range kept {
		news := s.registry.Merge(now, k, is)
		if known := s.trials[k]; is.Probes != known.counted {
			known.counted, known.at = is.Probes, now // fewer: it was dropped, and is kept again
			s.trials[k] = known
		}
		if s.recentAnswers.Contains(now, k) {
			s.clearCrashes(k)
			continue
		}
		if news {
			s.reportChanged([]quarantine.Key{k}, "")
		}
		if watches && s.registry.IsCleared(k, is.Servers) && !old[k].Equal(is) {
			s.removeStored(k)
		}
	}
	for k := range old {
		if _, still := kept[k]; !still && !s.pendingWrites[k] && s.rewriteAt[k].IsZero() {
			s.registry.Release(k)
			delete(s.summaries, k)
			delete(s.ownWrites, k)
			delete(s.trials, k)
			s.log.Info().Str("event", "request.lifted").Str("key", k.String()).Msg("the store keeps it no more")
		}
	}
}

// rewriteSpread is the time in which gateways write again what the store has lost: each at
// another moment, so that mostly the first one writes and the others hear of it.
const rewriteJitter = time.Second

// rewrite lets what is known of suspects be written to a store that has come back from a copy
// and has lost some of it, or keeps again what was dropped. Gateways do so that watch for their
// hall, or had written it before.
func (s *suspectTracker) scheduleRewrites(now time.Time, keys []quarantine.Key, watches bool) {
	if s.store == nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, k := range keys {
		if _, already := s.rewriteAt[k]; already || !watches && !s.ownWrites[k] {
			continue
		}
		s.rewriteAt[k] = now.Add(time.Duration(unitHash(s.address+"/"+k.String()) * float64(rewriteJitter)))
	}
}

// writeDue hands to the writer what is to be written again by now.
func (s *suspectTracker) queueDueRewrites(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for k, at := range s.rewriteAt {
		if now.Before(at) {
			continue
		}
		delete(s.rewriteAt, k)
		s.pendingWrites[k] = true
		s.wakeWriter()
	}
}

// rewritten takes over that the store keeps so much of a suspect: if that is all that is known,
// it need not be written again.
func (s *suspectTracker) cancelRewriteIfStored(key quarantine.Key, kept quarantine.StoredRecord) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, due := s.rewriteAt[key]; !due {
		return
	}
	r, _ := s.registry.Record(key)
	known := quarantine.StoredRecord{Servers: r.Servers, Simultaneous: r.Simultaneous, Probes: s.trials[key].counted}
	if len(kept.Merge(known).Servers) == len(kept.Servers) && known.Probes <= kept.Probes {
		delete(s.rewriteAt, key)
	}
}

// setSuspect takes over what is kept of a suspect.
func (f *storeWatcher) setSuspect(key quarantine.Key, kept quarantine.StoredRecord) {
	delete(f.tombstones.suspects, key)
	f.gateway.suspects.cancelRewriteIfStored(key, kept)
	f.suspectChanges.add(f.changeRevision, key.String())
	changed := make(map[quarantine.Key]quarantine.StoredRecord, len(f.suspects)+1)
	maps.Copy(changed, f.suspects)
	changed[key] = kept
	f.suspects, f.suspectsChanged = changed, true
}

// dropSuspect takes over that nothing is kept of a suspect any more.
func (f *storeWatcher) removeSuspect(key quarantine.Key) {
	f.tombstones.addSuspect(f.applyTime, key)
	f.gateway.suspects.cancelRewriteIfStored(key, quarantine.StoredRecord{})
	f.suspectChanges.add(f.changeRevision, key.String())
	changed := maps.Clone(f.suspects)
	delete(changed, key)
	f.suspects, f.suspectsChanged = changed, true
}

func (s *suspectTracker) wakeWriter() {
	select {
	case s.wake <- struct{}{}:
	default: // it looks at all that there is
	}
}

// write writes to the store what is to be written, until ctx ends.
func (s *suspectTracker) runWriter(ctx context.Context) {
	if s.store == nil {
		return
	}
	retry := time.NewTimer(time.Hour)
	defer retry.Stop()
	wait := minStoreWriteBackoff
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-retry.C:
		}
		if s.writeAll(ctx) {
			wait = minStoreWriteBackoff
			continue
		}
		retry.Reset(wait)
		wait = min(2*wait, maxStoreWriteBackoff)
	}
}

// writeAll writes what is to be written; it returns whether all of that was.
func (s *suspectTracker) writeAll(ctx context.Context) bool {
	s.mutex.Lock()
	list := slices.Collect(maps.Keys(s.pendingWrites))
	clear(s.pendingWrites)
	s.mutex.Unlock()
	whole := true
	for _, k := range list {
		if err := s.writeOne(ctx, k); err != nil {
			s.log.Warn().Str("event", "suspect.not_kept").Str("key", k.String()).Err(err).Msg("try again")
			s.mutex.Lock()
			s.pendingWrites[k] = true
			s.mutex.Unlock()
			whole = false
		}
	}
	return whole
}

func (s *suspectTracker) writeOne(ctx context.Context, k quarantine.Key) error {
	ctx, cancel := context.WithTimeout(ctx, storeWriteTimeout)
	defer cancel()
	s.mutex.Lock()
	r, repeated := s.registry.Record(k)
	asks, tries := s.summaries[k], s.trials[k].counted
	s.ownWrites[k] = repeated
	if !repeated {
		delete(s.ownWrites, k)
	}
	s.mutex.Unlock()
	if !repeated {
		return s.store.Drop(ctx, k)
	}
	return s.store.Keep(ctx, k, Suspect{Summary: asks, Servers: r.Servers, Simultaneous: r.Simultaneous, Trials: tries})
}
