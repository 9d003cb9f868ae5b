package gateway

import (
	"time"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/quarantine"
	"opalbridge.dev/gateway/rollout"
)

// This file takes over a store that has come back from an older copy. Its revisions are of a
// later era (see [catalog.Revision]), so a view of it replaces any view of before, and each
// gateway that hears of the era lists anew or takes such a view from another one.
//
// But for a moment the copy is older than what is known: operators and servers write again what
// it lacks. Until then (settleTime) a view of the new era is put together from both:
//
//   - the configuration is the one of the highest version;
//   - a lifetime that has said that it leaves does so, until it writes something else;
//   - a server, an evacuated hall or a suspect that the copy lacks is kept, and gone after that
//     time if nobody has written it again;
//   - a server of which another lifetime is known, or whose entry had gone, gets nothing until it
//     writes again, or until that time is over and its entry is still there.
//
// What the gateways themselves had written, nobody else writes again: see suspects.rewrite.
// Claims of cold servers are not written again, see [warmup.Episode]: who holds one goes on, and
// nobody else can claim it.

const (
	// Operators and servers have written again by then what a copy lacks: they take about two
	// seconds.
	reconcilePeriod = reregistrationGrace
	// Servers and suspects that are gone are remembered for so long: copies are some seconds
	// old, and an outage lasts some more.
	goneKept = time.Minute
	// And so many of each at most; a fleet of 10,000 that is replaced at once fits.
	mostGone = 1 << 14
)

// memory is what a gateway remembers of the store's past, in case it comes back from a copy.
type tombstones struct {
	servers  map[string]ended             // servers whose entry has gone, by name
	suspects map[quarantine.Key]time.Time // suspects that are kept no more, and since when
}

// ended is the last that was known of a server.
type ended struct {
	at       time.Time
	lifetime string
	leaving  bool
}

func newTombstones() tombstones {
	return tombstones{servers: map[string]ended{}, suspects: map[quarantine.Key]time.Time{}}
}

// dropped notes that a server is gone.
func (m *tombstones) addServer(now time.Time, s catalog.Server) {
	if len(m.servers) < mostGone {
		m.servers[s.Name()] = ended{at: now, lifetime: s.ID, leaving: s.Leaving}
	}
}

// lift notes that a suspect is kept no more.
func (m *tombstones) addSuspect(now time.Time, k quarantine.Key) {
	if len(m.suspects) < mostGone {
		m.suspects[k] = now
	}
}

// forget drops what is too old to matter.
func (m *tombstones) expire(now time.Time) {
	for name, e := range m.servers {
		if now.Sub(e.at) > goneKept {
			delete(m.servers, name)
		}
	}
	for k, at := range m.suspects {
		if now.Sub(at) > goneKept {
			delete(m.suspects, k)
		}
	}
}

// reconciling tells whether the store may lack what it had: it has come back from a copy.
func (f *storeWatcher) reconciling(now time.Time) bool { return now.Before(f.reconcileUntil) }

// enter takes over that the store is in a later era than the one that was known, whose views
// may lack what they had until a moment.
func (f *storeWatcher) enterEra(revision catalog.Revision, settled time.Time) {
	before := f.gateway.view.Load()
	f.reconcileUntil = settled
	if before.Configuration == nil {
		return // nothing is known of before
	}
	f.gateway.log.Warn().Str("event", "store.returned").EmbedObject(revisionFields(revision)).Stringer("before", before.Revision).
		Int("servers", len(f.servers)).Int("gone", len(f.tombstones.servers)).
		Int("halls", len(f.evacuations)).Int("suspects", len(f.suspects)).
		Msg("it has come back from a copy: what it lacks is kept for a moment")
}

// revives tells whether a view of a new era names a server whose entry had gone before, or another
// lifetime than is known of it. Which of two is the later one nobody knows until the
// server writes again, so neither gets anything: the copy may lack a start that the other
// gateways know of, or this one may have missed it.
func (f *storeWatcher) withholdUnverified(s catalog.Server) bool {
	before, gone := f.tombstones.servers[s.Name()]
	current, known := f.currentIDs[s.Name()]
	_, held := f.unverified[s.Name()]
	if !f.reconciling(f.applyTime) || !gone && !held && (!known || current == s.ID) {
		return false
	}
	s.Leaving = s.Leaving || before.leaving && before.lifetime == s.ID
	f.withhold(s)
	return true
}

// hold keeps back a server that a copy has revived, and the lifetime that is known of it.
func (f *storeWatcher) withhold(s catalog.Server) {
	current, known := f.currentIDs[s.Name()]
	f.gateway.log.Info().Str("event", "server.revived").Str("server", s.ID).Str("known", current).Msg("more is known of it than the copy says: nothing until it writes again")
	f.unverified[s.Name()] = s
	c, cold := f.cold[s.ID]
	if known {
		f.dropServer(current)
	}
	if cold {
		f.cold[s.ID] = c // it may still be when it is believed
	}
}

// leaves tells whether a server that a whole view names leaves: one that had said so does, also if
// a copy does not have that.
func (f *storeWatcher) isLeaving(s catalog.Server) bool {
	return s.Leaving || f.reconciling(f.applyTime) && f.servers[s.ID].Leaving
}

// lack takes over that a whole view does not name a server. One that a copy lacks is kept until
// the view has settled.
func (f *storeWatcher) handleAbsent(id string, drop func(id string)) {
	if !f.reconciling(f.applyTime) {
		drop(id)
		return
	}
	until, already := f.missingUntil[id]
	f.missingUntil[id] = latest(until, f.reconcileUntil)
	if !already {
		f.gateway.log.Info().Str("event", "server.missing").Str("server", id).Msg("kept for a moment: the copy may lack it")
	}
}

// settle ends what was kept for a moment only. It returns whether that may have changed the view.
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
	f.gateway.log.Info().Str("event", "store.settled").EmbedObject(revisionFields(f.gateway.view.Load().Revision)).Msg("it has what had been written before it came back")
	return true
}

// takeBackLost takes evacuations and orders of roll-outs back of which the store has told nothing since it came back from
// a copy, also one that a gateway for which the view had not settled has told later. It returns
// whether there was one.
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

// mergeSuspects returns what is kept of suspects, by what a view of a new era says and what was
// known, and lets what the store lacks or should not have any more be written again.
func (f *storeWatcher) mergeSuspects(told map[quarantine.Key]quarantine.StoredRecord) map[quarantine.Key]quarantine.StoredRecord {
	merged := make(map[quarantine.Key]quarantine.StoredRecord, len(told))
	var differ []quarantine.Key
	for k, is := range told {
		if _, lifted := f.tombstones.suspects[k]; lifted {
			differ = append(differ, k)
			continue
		}
		merged[k] = is.Merge(f.suspects[k])
		if !merged[k].Equal(is) {
			differ = append(differ, k)
		}
	}
	for k, was := range f.suspects {
		if _, there := told[k]; !there {
			merged[k] = was
			differ = append(differ, k)
		}
	}
	f.gateway.suspects.scheduleRewrites(f.applyTime, differ, f.gateway.watchesStore.Load())
	return merged
}
