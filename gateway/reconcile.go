package gateway

import (
	"time"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/quarantine"
	"opalbridge.dev/gateway/rollout"
)

// This file handles a store that was restored from an older backup. Its revisions are of a later
// era (see [catalog.Revision]), so a view of it replaces any earlier view, and each gateway that
// hears of the era lists again or fetches such a view from a peer.
//
// At first the backup is older than what the gateways know: operators and servers write again what
// it lacks. During that time (reconcilePeriod) a view of the new era is merged from both:
//
//   - the configuration is the one of the highest version;
//   - a lifetime that has reported that it is leaving stays leaving until its entry is
//     written again;
//   - a server, an evacuated hall or a suspect that the backup lacks is kept, and removed after
//     the period if nobody has written it again;
//   - a server of which another lifetime is known, or whose entry was gone, gets no work until
//     its entry is written again, or until the period is over and the entry is still there.
//
// What the gateways themselves wrote, nobody else writes again: see
// suspect.Tracker.ScheduleRewrites. Claims of cold servers are not written again, see
// [warmup.Episode]: the holder of one goes on, and nobody else can claim the server.

const (
	// reconcilePeriod is the time in which operators and servers have written again what a backup
	// lacks: they take about two seconds.
	reconcilePeriod = reregistrationGrace
	// tombstoneTTL is how long removed servers and suspects are remembered: backups are some
	// seconds old, and an outage adds some more.
	tombstoneTTL = time.Minute
	// maxTombstones bounds each kind; a fleet of 10,000 that is replaced at once fits.
	maxTombstones = 1 << 14
)

// tombstones remembers what was removed from the store, in case it is restored from a backup.
type tombstones struct {
	servers  map[string]serverTombstone   // removed servers, by name
	suspects map[quarantine.Key]time.Time // removed suspects, by the time of removal
}

// serverTombstone is the last state of a removed server.
type serverTombstone struct {
	removedAt time.Time
	id        string
	leaving   bool
}

func newTombstones() tombstones {
	return tombstones{servers: map[string]serverTombstone{}, suspects: map[quarantine.Key]time.Time{}}
}

// addServer records that a server was removed.
func (t *tombstones) addServer(now time.Time, s catalog.Server) {
	if len(t.servers) < maxTombstones {
		t.servers[s.Name()] = serverTombstone{removedAt: now, id: s.ID, leaving: s.Leaving}
	}
}

// addSuspect records that a suspect was removed.
func (t *tombstones) addSuspect(now time.Time, k quarantine.Key) {
	if len(t.suspects) < maxTombstones {
		t.suspects[k] = now
	}
}

// expire drops tombstones older than tombstoneTTL.
func (t *tombstones) expire(now time.Time) {
	for name, e := range t.servers {
		if now.Sub(e.removedAt) > tombstoneTTL {
			delete(t.servers, name)
		}
	}
	for k, at := range t.suspects {
		if now.Sub(at) > tombstoneTTL {
			delete(t.suspects, k)
		}
	}
}

// reconciling reports whether the store was restored and may still lack earlier writes.
func (w *storeWatcher) reconciling(now time.Time) bool { return now.Before(w.reconcileUntil) }

// enterEra starts the reconciliation with a restored store, whose views may lack earlier writes
// until the given time.
func (w *storeWatcher) enterEra(revision catalog.Revision, settled time.Time) {
	before := w.gateway.view.Load()
	w.reconcileUntil = settled
	if before.Configuration == nil {
		return // there is nothing to reconcile
	}
	w.gateway.log.Warn().Str("event", "store.returned").EmbedObject(revisionFields(revision)).Stringer("before", before.Revision).
		Int("servers", len(w.servers)).Int("gone", len(w.tombstones.servers)).
		Int("halls", len(w.evacuations)).Int("suspects", len(w.suspects)).
		Msg("store was restored from a backup; what the backup lacks is kept for a grace period")
}

// withholdUnverified withholds a server of a restored store's view if its entry was removed
// before, or another lifetime of it is known, and reports whether it did. Which of the two is
// the later one is unknown until the server writes its entry again, so neither gets work: the
// backup may lack a restart that the gateways know of, or this gateway may have missed one.
func (w *storeWatcher) withholdUnverified(s catalog.Server) bool {
	before, gone := w.tombstones.servers[s.Name()]
	current, known := w.currentIDs[s.Name()]
	_, held := w.unverified[s.Name()]
	if !w.reconciling(w.applyTime) || !gone && !held && (!known || current == s.ID) {
		return false
	}
	s.Leaving = s.Leaving || before.leaving && before.id == s.ID
	w.withhold(s)
	return true
}

// withhold excludes from the view a server that a restored store lists, and its known lifetime.
func (w *storeWatcher) withhold(s catalog.Server) {
	current, known := w.currentIDs[s.Name()]
	w.gateway.log.Info().Str("event", "server.revived").Str("server", s.ID).Str("known", current).Msg("restored entry contradicts what is known; no work until the server writes its entry again")
	w.unverified[s.Name()] = s
	c, cold := w.cold[s.ID]
	if known {
		w.dropServer(current)
	}
	if cold {
		w.cold[s.ID] = c // still holds if the server turns out to be live
	}
}

// isLeaving reports whether a server of a full view is leaving. One that was leaving before
// the restore still is, even if the backup does not say so.
func (w *storeWatcher) isLeaving(s catalog.Server) bool {
	return s.Leaving || w.reconciling(w.applyTime) && w.servers[s.ID].Leaving
}

// handleAbsent handles a server that a full view lacks. During reconciliation it is kept until
// the period is over.
func (w *storeWatcher) handleAbsent(id string, drop func(id string)) {
	if !w.reconciling(w.applyTime) {
		drop(id)
		return
	}
	until, already := w.missingUntil[id]
	w.missingUntil[id] = latest(until, w.reconcileUntil)
	if !already {
		w.gateway.log.Info().Str("event", "server.missing").Str("server", id).Msg("not in the restored store; server is kept for a grace period")
	}
}

// finishReconciliation ends the reconciliation when its time is over. It reports whether the
// view may have changed.
func (w *storeWatcher) finishReconciliation(now time.Time) bool {
	if w.reconcileUntil.IsZero() || w.reconciling(now) {
		return false
	}
	w.reconcileUntil = time.Time{}
	for _, s := range w.unverified {
		if _, another := w.currentIDs[s.Name()]; !another {
			w.upsertServer(s)
		}
	}
	clear(w.unverified)
	for id := range w.cold {
		if _, known := w.servers[id]; !known {
			delete(w.cold, id)
		}
	}
	w.gateway.log.Info().Str("event", "store.settled").EmbedObject(revisionFields(w.gateway.view.Load().Revision)).Msg("reconciliation with the restored store is complete")
	return true
}

// revertLostOrders reverts evacuations and rollout orders that nobody has written again since the
// store was restored, including those handed over later by a peer that was still reconciling. It
// reports whether there were any.
func (w *storeWatcher) revertLostOrders(now time.Time) (found bool) {
	if w.reconciling(now) {
		return false
	}
	era := w.gateway.view.Load().Revision.Era()
	for hall, e := range w.evacuations {
		if e.Revision.Era() != era {
			w.endEvacuation(now, hall)
			found = true
		}
	}
	for service, o := range w.rollouts {
		if o.Order != (rollout.Order{}) && o.Order.Revision.Era() != era {
			w.withdrawOrder(service)
			found = true
		}
	}
	return found
}

// mergeSuspects merges the suspects of a restored store's view with the known ones, and schedules
// a rewrite of those that the store lacks or should no longer have.
func (w *storeWatcher) mergeSuspects(stored map[quarantine.Key]quarantine.StoredRecord) map[quarantine.Key]quarantine.StoredRecord {
	merged := make(map[quarantine.Key]quarantine.StoredRecord, len(stored))
	var changed []quarantine.Key
	for k, record := range stored {
		if _, removed := w.tombstones.suspects[k]; removed {
			changed = append(changed, k)
			continue
		}
		merged[k] = record.Merge(w.suspects[k])
		if !merged[k].Equal(record) {
			changed = append(changed, k)
		}
	}
	for k, known := range w.suspects {
		if _, found := stored[k]; !found {
			merged[k] = known
			changed = append(changed, k)
		}
	}
	w.gateway.suspects.ScheduleRewrites(w.applyTime, changed, w.gateway.watchesStore.Load())
	return merged
}
