package gateway

import (
	"time"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/quarantine"
	"opalbridge.dev/gateway/rollout"
)

// This file handles a store that was restored from an older copy. Its revisions are of a later
// era (see [catalog.Revision]), so a view of it replaces any earlier view, and each gateway that
// hears of the era lists again or fetches such a view from a peer.
//
// At first the copy is older than what the gateways know: operators and servers write again what
// it lacks. During that time (reconcilePeriod) a view of the new era is merged from both:
//
//   - the configuration is the one of the highest version;
//   - a lifetime that has reported that it is leaving stays leaving until its entry is
//     written again;
//   - a server, an evacuated hall or a suspect that the copy lacks is kept, and removed after
//     the period if nobody has written it again;
//   - a server of which another lifetime is known, or whose entry was gone, gets no work until
//     its entry is written again, or until the period is over and the entry is still there.
//
// What the gateways themselves wrote, nobody else writes again: see
// suspectTracker.scheduleRewrites. Claims of cold servers are not written again, see
// [warmup.Episode]: the holder of one goes on, and nobody else can claim the server.

const (
	// reconcilePeriod is the time in which operators and servers have written again what a copy
	// lacks: they take about two seconds.
	reconcilePeriod = reregistrationGrace
	// tombstoneTTL is how long removed servers and suspects are remembered: copies are some
	// seconds old, and an outage adds some more.
	tombstoneTTL = time.Minute
	// maxTombstones bounds each kind; a fleet of 10,000 that is replaced at once fits.
	maxTombstones = 1 << 14
)

// tombstones remembers what was removed from the store, in case it is restored from a copy.
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
func (m *tombstones) addServer(now time.Time, s catalog.Server) {
	if len(m.servers) < maxTombstones {
		m.servers[s.Name()] = serverTombstone{removedAt: now, id: s.ID, leaving: s.Leaving}
	}
}

// addSuspect records that a suspect was removed.
func (m *tombstones) addSuspect(now time.Time, k quarantine.Key) {
	if len(m.suspects) < maxTombstones {
		m.suspects[k] = now
	}
}

// expire drops tombstones older than tombstoneTTL.
func (m *tombstones) expire(now time.Time) {
	for name, e := range m.servers {
		if now.Sub(e.removedAt) > tombstoneTTL {
			delete(m.servers, name)
		}
	}
	for k, at := range m.suspects {
		if now.Sub(at) > tombstoneTTL {
			delete(m.suspects, k)
		}
	}
}

// reconciling reports whether the store was restored and may still lack earlier writes.
func (f *storeWatcher) reconciling(now time.Time) bool { return now.Before(f.reconcileUntil) }

// enterEra starts the reconciliation with a restored store, whose views may lack earlier writes
// until the given time.
func (f *storeWatcher) enterEra(revision catalog.Revision, settled time.Time) {
	before := f.gateway.view.Load()
	f.reconcileUntil = settled
	if before.Configuration == nil {
		return // there is nothing to reconcile
	}
	f.gateway.log.Warn().Str("event", "store.returned").EmbedObject(revisionFields(revision)).Stringer("before", before.Revision).
		Int("servers", len(f.servers)).Int("gone", len(f.tombstones.servers)).
		Int("halls", len(f.evacuations)).Int("suspects", len(f.suspects)).
		Msg("store was restored from a copy; what the copy lacks is kept for a grace period")
}

// withholdUnverified withholds a server of a restored store's view if its entry was removed
// before, or another lifetime of it is known, and reports whether it did. Which of the two is
// the later one is unknown until the server writes its entry again, so neither gets work: the
// copy may lack a restart that the gateways know of, or this gateway may have missed one.
func (f *storeWatcher) withholdUnverified(s catalog.Server) bool {
	before, gone := f.tombstones.servers[s.Name()]
	current, known := f.currentIDs[s.Name()]
	_, held := f.unverified[s.Name()]
	if !f.reconciling(f.applyTime) || !gone && !held && (!known || current == s.ID) {
		return false
	}
	s.Leaving = s.Leaving || before.leaving && before.id == s.ID
	f.withhold(s)
	return true
}

// withhold excludes from the view a server that a restored store lists, and its known lifetime.
func (f *storeWatcher) withhold(s catalog.Server) {
	current, known := f.currentIDs[s.Name()]
	f.gateway.log.Info().Str("event", "server.revived").Str("server", s.ID).Str("known", current).Msg("restored entry contradicts what is known; no work until the server writes its entry again")
	f.unverified[s.Name()] = s
	c, cold := f.cold[s.ID]
	if known {
		f.dropServer(current)
	}
	if cold {
		f.cold[s.ID] = c // still holds if the server turns out to be live
	}
}

// isLeaving reports whether a server of a whole view is leaving. One that was leaving before
// the restore still is, even if the copy does not say so.
func (f *storeWatcher) isLeaving(s catalog.Server) bool {
	return s.Leaving || f.reconciling(f.applyTime) && f.servers[s.ID].Leaving
}

// handleAbsent handles a server that a whole view lacks. During reconciliation it is kept until
// the period is over.
func (f *storeWatcher) handleAbsent(id string, drop func(id string)) {
	if !f.reconciling(f.applyTime) {
		drop(id)
		return
	}
	until, already := f.missingUntil[id]
	f.missingUntil[id] = latest(until, f.reconcileUntil)
	if !already {
		f.gateway.log.Info().Str("event", "server.missing").Str("server", id).Msg("not in the restored store; server is kept for a grace period")
	}
}

// finishReconciliation ends the reconciliation when its time is over. It reports whether the
// view may have changed.
func (f *storeWatcher) finishReconciliation(now time.Time) bool {
	if f.reconcileUntil.IsZero() || f.reconciling(now) {
		return false
	}
	f.reconcileUntil = time.Time{}
	for _, s := range f.unverified {
		if _, another := f.currentIDs[s.Name()]; !another {
			f.upsertServer(s)
		}
	}
	clear(f.unverified)
	for id := range f.cold {
		if _, known := f.servers[id]; !known {
			delete(f.cold, id)
		}
	}
	f.gateway.log.Info().Str("event", "store.settled").EmbedObject(revisionFields(f.gateway.view.Load().Revision)).Msg("reconciliation with the restored store is complete")
	return true
}

// revertLostOrders reverts evacuations and roll-out orders that nobody has written again since the
// store was restored, including those handed over later by a peer that was still reconciling. It
// reports whether there were any.
func (f *storeWatcher) revertLostOrders(now time.Time) (found bool) {
	if f.reconciling(now) {
		return false
	}
	era := f.gateway.view.Load().Revision.Era()
	for hall, e := range f.evacuations {
		if e.Revision.Era() != era {
			f.endEvacuation(now, hall)
			found = true
		}
	}
	for service, o := range f.rollouts {
		if o.Order != (rollout.Order{}) && o.Order.Revision.Era() != era {
			f.withdrawOrder(service)
			found = true
		}
	}
	return found
}

// mergeSuspects merges the suspects of a restored store's view with the known ones, and schedules
// a rewrite of those that the store lacks or should no longer have.
func (f *storeWatcher) mergeSuspects(stored map[quarantine.Key]quarantine.StoredRecord) map[quarantine.Key]quarantine.StoredRecord {
	merged := make(map[quarantine.Key]quarantine.StoredRecord, len(stored))
	var changed []quarantine.Key
	for k, record := range stored {
		if _, removed := f.tombstones.suspects[k]; removed {
			changed = append(changed, k)
			continue
		}
		merged[k] = record.Merge(f.suspects[k])
		if !merged[k].Equal(record) {
			changed = append(changed, k)
		}
	}
	for k, known := range f.suspects {
		if _, found := stored[k]; !found {
			merged[k] = known
			changed = append(changed, k)
		}
	}
	f.gateway.suspects.scheduleRewrites(f.applyTime, changed, f.gateway.watchesStore.Load())
	return merged
}
