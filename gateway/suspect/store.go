package suspect

import (
	"context"
	"maps"
	"slices"
	"time"

	"opalbridge.dev/gateway/idhash"
	"opalbridge.dev/gateway/quarantine"
)

// This file writes suspects to the store and applies what the store holds of them.

const (
	// storeWriteTimeout bounds a write to the store.
	storeWriteTimeout = time.Second
	// Backoff of failed writes, which doubles up to the maximum.
	minStoreWriteBackoff = 250 * time.Millisecond
	maxStoreWriteBackoff = 2 * time.Second
)

// ApplyStored applies the stored suspects; old is their former state. Those that this gateway
// knows to have been answered since are deleted by one gateway of each hall, the one that watches.
func (s *Tracker) ApplyStored(now time.Time, old, stored map[quarantine.Key]quarantine.StoredRecord, watches bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for k, record := range stored {
		changed := s.registry.Merge(now, k, record)
		if s.answeredParts.Contains(now, k) {
			s.registry.MarkAnsweredBefore(k)
			if watches && record.Part != nil && !record.Part.AnsweredBefore && !old[k].Equal(record) {
				s.queueWrite(k)
			}
		}
		if known := s.trials[k]; record.Trials != known.count {
			known.count, known.lastAt = record.Trials, now // fewer: it was deleted and stored again
			s.trials[k] = known
		}
		if s.recentAnswers.Contains(now, k) {
			s.clearCrashes(k)
			continue
		}
		if changed {
			s.reportChanged([]quarantine.Key{k}, "")
		}
		if watches && s.registry.IsCleared(k, record.Servers) && !old[k].Equal(record) {
			s.removeStored(k)
		}
	}
	for k := range old {
		if _, still := stored[k]; !still && !s.pendingWrites[k] && s.rewriteAt[k].IsZero() {
			s.registry.Release(k)
			delete(s.summaries, k)
			delete(s.ownWrites, k)
			delete(s.trials, k)
			s.log.Info().Str("event", s.kindOf(k)+".lifted").Str("key", k.String()).Msg("suspect was deleted from the store")
		}
	}
}

// RewriteJitter spreads the rewrites of lost suspects over the gateways, so that mostly the first
// one writes and the others see the result.
const RewriteJitter = time.Second

// ScheduleRewrites has suspects written again to a restored store that has lost some of them or
// holds deleted ones again. Only a gateway that watches for its hall, or that has written them
// before, does so.
func (s *Tracker) ScheduleRewrites(now time.Time, keys []quarantine.Key, watches bool) {
	if s.Store == nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, k := range keys {
		if _, already := s.rewriteAt[k]; already || !watches && !s.ownWrites[k] {
			continue
		}
		s.rewriteAt[k] = now.Add(time.Duration(idhash.Unit(s.address+"/"+k.String()) * float64(RewriteJitter)))
	}
}

// QueueDueRewrites queues the rewrites that are due.
func (s *Tracker) QueueDueRewrites(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for k, at := range s.rewriteAt {
		if now.Before(at) {
			continue
		}
		delete(s.rewriteAt, k)
		s.queueWrite(k)
	}
}

// CancelRewriteIfStored cancels the rewrite of a suspect if the store already holds all that is
// known of it.
func (s *Tracker) CancelRewriteIfStored(key quarantine.Key, stored quarantine.StoredRecord) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, due := s.rewriteAt[key]; !due {
		return
	}
	r, _ := s.registry.Record(key)
	known := quarantine.StoredRecord{Servers: r.Servers, Simultaneous: r.Simultaneous, Trials: s.trials[key].count, Part: r.Part}
	if len(stored.Merge(known).Servers) == len(stored.Servers) && known.Trials <= stored.Trials {
		delete(s.rewriteAt, key)
	}
}

// queueWrite has a suspect written to the store, or deleted there if it is not worth a record. The
// mutex must be held.
func (s *Tracker) queueWrite(k quarantine.Key) {
	s.pendingWrites[k] = true
	s.wakeWriter()
}

func (s *Tracker) wakeWriter() {
	select {
	case s.writerWake <- struct{}{}:
	default: // the writer takes all pending writes
	}
}

// RunWriter writes pending suspects to the store until ctx is done.
func (s *Tracker) RunWriter(ctx context.Context) {
	if s.Store == nil {
		return
	}
	retry := time.NewTimer(time.Hour)
	defer retry.Stop()
	wait := minStoreWriteBackoff
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.writerWake:
		case <-retry.C:
		}
		if s.Flush(ctx) {
			wait = minStoreWriteBackoff
			continue
		}
		retry.Reset(wait)
		wait = min(2*wait, maxStoreWriteBackoff)
	}
}

// Flush writes all pending suspects and reports whether all writes succeeded.
func (s *Tracker) Flush(ctx context.Context) bool {
	s.mutex.Lock()
	list := slices.Collect(maps.Keys(s.pendingWrites))
	clear(s.pendingWrites)
	s.mutex.Unlock()
	ok := true
	for _, k := range list {
		if err := s.writeSuspect(ctx, k); err != nil {
			s.log.Warn().Str("event", "suspect.not_kept").Str("key", k.String()).Err(err).Msg("cannot write suspect; will retry")
			s.mutex.Lock()
			s.pendingWrites[k] = true
			s.mutex.Unlock()
			ok = false
		}
	}
	return ok
}

func (s *Tracker) writeSuspect(ctx context.Context, k quarantine.Key) error {
	ctx, cancel := context.WithTimeout(ctx, storeWriteTimeout)
	defer cancel()
	s.mutex.Lock()
	r, repeated := s.registry.Record(k)
	summary, trials := s.summaries[k], s.trials[k].count
	s.ownWrites[k] = repeated
	if !repeated {
		delete(s.ownWrites, k)
	}
	s.mutex.Unlock()
	if !repeated {
		return s.Store.Delete(ctx, k)
	}
	return s.Store.Save(ctx, k, Suspect{Summary: summary, Servers: r.Servers, Simultaneous: r.Simultaneous, Trials: trials, Part: r.Part})
}
