package gateway

import (
	"time"

	"opalbridge.dev/gateway/catalog"
)

// This file maintains the set of servers, each as one lifetime from a start to its end.

// upsertServer adds or replaces a server by its entry.
func (w *storeWatcher) upsertServer(s catalog.Server) {
	delete(w.missingUntil, s.ID)
	w.gateway.origins.observeServer(time.Now(), s)
	s.Evacuated = false // set by publish
	w.dropPreviousLifetime(s)
	delete(w.tombstones.servers, s.Name())
	w.serverChanges.add(w.changeRevision, s.ID)
	if old, known := w.servers[s.ID]; !known || old != s {
		w.gateway.log.Info().Str("event", "server.changed").Str("server", s.ID).Str("service", s.Service).
			Str("address", s.Address).Str("hall", s.Hall).Bool("leaving", s.Leaving).Bool("new", !known).Msg("server entry changed")
	}
	w.putServer(s)
}

// putServer stores a server as its current lifetime.
func (w *storeWatcher) putServer(s catalog.Server) {
	if _, known := w.servers[s.ID]; !known {
		w.sortedIDs = nil
	}
	w.servers[s.ID] = s
	w.currentIDs[s.Name()] = s.ID
}

// dropPreviousLifetime drops the lifetime that a server had before a restart. Updates
// come in the order of the store's revisions, so s is the later one whatever the host's clock
// said at the two starts.
func (w *storeWatcher) dropPreviousLifetime(s catalog.Server) {
	previous, known := w.currentIDs[s.Name()]
	if !known || previous == s.ID {
		return
	}
	w.gateway.log.Info().Str("event", "server.started_again").Str("server", s.Name()).
		Int64("born", s.Born).Int64("before", w.servers[previous].Born).EmbedObject(revisionFields(w.changeRevision)).
		Msg("server has restarted; its former state is discarded")
	w.gateway.inheritBackoff(time.Now(), previous, s.ID)
	w.dropServer(previous)
}

// dropServerByName drops a server at once, by its name.
func (w *storeWatcher) dropServerByName(name string) {
	if id, known := w.currentIDs[name]; known {
		w.dropServer(id)
	}
}

// removeServer drops a server whose entry is gone, after a grace period if the store was away a
// moment ago.
func (w *storeWatcher) removeServer(now time.Time, id string) {
	s, known := w.servers[id]
	if !known {
		return
	}
	if w.withinGrace(now) && !s.Leaving {
		if _, already := w.missingUntil[id]; !already {
			w.missingUntil[id] = w.lastOutage.Add(reregistrationGrace)
			w.gateway.log.Info().Str("event", "server.missing").Str("server", id).Msg("entry expired while the store was away; server is kept for a grace period")
		}
		return
	}
	w.dropServer(id)
}

// dropServer drops a server at once, without a grace period.
func (w *storeWatcher) dropServer(id string) {
	if s, known := w.servers[id]; known {
		w.tombstones.addServer(w.applyTime, s)
	}
	w.serverChanges.add(w.changeRevision, id)
	delete(w.servers, id)
	if name := catalog.ServerName(id); w.currentIDs[name] == id {
		delete(w.currentIDs, name)
	}
	w.sortedIDs = nil
	delete(w.missingUntil, id)
	delete(w.cold, id)
	w.gateway.log.Info().Str("event", "server.gone").Str("server", id).Msg("server is gone; it gets no new work")
}

// expireMissing drops servers whose entry has not been written again within the grace period,
// and ends the reconciliation after a restore of the store when its time is over.
func (w *storeWatcher) expireMissing(now time.Time) {
	w.applyTime = now
	dropped := false
	w.changeRevision = w.gateway.view.Load().Revision + 1 // the store has no revision for this change
	for id, until := range w.missingUntil {
		if now.After(until) {
			w.dropServer(id)
			dropped = true
		}
	}
	reconciled, reverted := w.finishReconciliation(now), w.revertLostOrders(now)
	if dropped || reconciled || reverted {
		w.republish()
	}
	if now.Sub(w.gateway.confirmedAt()) < confirmationTimeout {
		w.tombstones.expire(now) // not while the store is unreachable: it may come back restored from an older backup
	}
}
