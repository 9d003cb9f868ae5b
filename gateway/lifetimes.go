package gateway

import (
	"time"

	"opalbridge.dev/gateway/catalog"
)

// This file maintains the set of servers, each as one lifetime from a start to its end.

// upsertServer adds or replaces a server by its entry.
func (f *storeWatcher) upsertServer(s catalog.Server) {
	delete(f.missingUntil, s.ID)
	s.Evacuated = false // set by publish
	f.dropPreviousLifetime(s)
	delete(f.tombstones.servers, s.Name())
	f.serverChanges.add(f.changeRevision, s.ID)
	if old, known := f.servers[s.ID]; !known || old != s {
		f.gateway.log.Info().Str("event", "server.changed").Str("server", s.ID).Str("service", s.Service).
			Str("address", s.Address).Str("hall", s.Hall).Bool("leaving", s.Leaving).Bool("new", !known).Msg("server entry changed")
	}
	f.putServer(s)
}

// putServer stores a server as its current lifetime.
func (f *storeWatcher) putServer(s catalog.Server) {
	if _, known := f.servers[s.ID]; !known {
		f.sortedIDs = nil
	}
	f.servers[s.ID] = s
	f.currentIDs[s.Name()] = s.ID
}

// dropPreviousLifetime drops the lifetime that a server had before a restart. Updates
// come in the order of the store's revisions, so s is the later one whatever the host's clock
// said at the two starts.
func (f *storeWatcher) dropPreviousLifetime(s catalog.Server) {
	previous, known := f.currentIDs[s.Name()]
	if !known || previous == s.ID {
		return
	}
	f.gateway.log.Info().Str("event", "server.started_again").Str("server", s.Name()).
		Int64("born", s.Born).Int64("before", f.servers[previous].Born).EmbedObject(revisionFields(f.changeRevision)).
		Msg("server has restarted; its former state is discarded")
	f.dropServer(previous)
}

// dropServerByName drops a server at once, by its name.
func (f *storeWatcher) dropServerByName(name string) {
	if id, known := f.currentIDs[name]; known {
		f.dropServer(id)
	}
}

// removeServer drops a server whose entry is gone, after a grace period if the store was
// unreachable a moment ago.
func (f *storeWatcher) removeServer(now time.Time, id string) {
	s, known := f.servers[id]
	if !known {
		return
	}
	if f.withinGrace(now) && !s.Leaving {
		if _, already := f.missingUntil[id]; !already {
			f.missingUntil[id] = f.lastFailure.Add(reregistrationGrace)
			f.gateway.log.Info().Str("event", "server.missing").Str("server", id).Msg("entry expired while the store was unreachable; server is kept for a grace period")
		}
		return
	}
	f.dropServer(id)
}

// dropServer drops a server at once, without a grace period.
func (f *storeWatcher) dropServer(id string) {
	if s, known := f.servers[id]; known {
		f.tombstones.addServer(f.applyTime, s)
	}
	f.serverChanges.add(f.changeRevision, id)
	delete(f.servers, id)
	if name := catalog.ServerName(id); f.currentIDs[name] == id {
		delete(f.currentIDs, name)
	}
	f.sortedIDs = nil
	delete(f.missingUntil, id)
	delete(f.cold, id)
	f.gateway.log.Info().Str("event", "server.gone").Str("server", id).Msg("server is gone; it gets no new work")
}

// expireMissing drops servers whose entry has not been written again within the grace period,
// and ends the reconciliation after a restore of the store when its time is over.
func (f *storeWatcher) expireMissing(now time.Time) {
	f.applyTime = now
	dropped := false
	f.changeRevision = f.gateway.view.Load().Revision + 1 // the store has no revision for this change
	for id, until := range f.missingUntil {
		if now.After(until) {
			f.dropServer(id)
			dropped = true
		}
	}
	reconciled, reverted := f.finishReconciliation(now), f.revertLostOrders(now)
	if dropped || reconciled || reverted {
		f.republish()
	}
	if now.Sub(f.gateway.confirmedAt()) < confirmationTimeout {
		f.tombstones.expire(now) // not while the store is unreachable: it may come back restored from an older copy
	}
}
