package gateway

import (
	"time"

	"opalbridge.dev/gateway/catalog"
)

// This file keeps which servers there are, each from one start to its end.

func (f *storeWatcher) upsertServer(s catalog.Server) {
	delete(f.missingUntil, s.ID)
	s.Evacuated = false // publish fills it in
	f.endBefore(s)
	delete(f.tombstones.servers, s.Name())
	f.serverChanges.add(f.changeRevision, s.ID)
	if old, known := f.servers[s.ID]; !known || old != s {
		f.gateway.log.Info().Str("event", "server.changed").Str("server", s.ID).Str("service", s.Service).
			Str("address", s.Address).Str("hall", s.Hall).Bool("leaving", s.Leaving).Bool("new", !known).Msg("server entry")
	}
	f.putServer(s)
}

func (f *storeWatcher) putServer(s catalog.Server) {
	if _, known := f.servers[s.ID]; !known {
		f.sortedIDs = nil
	}
	f.servers[s.ID] = s
	f.currentIDs[s.Name()] = s.ID
}

// endBefore drops the lifetime that a server had before it started again. News come in the
// order of the store's revisions, so what is told now is the later one, whatever the clock of
// the server's host said at the two starts.
func (f *storeWatcher) endBefore(s catalog.Server) {
	before, known := f.currentIDs[s.Name()]
	if !known || before == s.ID {
		return
	}
	f.gateway.log.Info().Str("event", "server.started_again").Str("server", s.Name()).
		Int64("born", s.Born).Int64("before", f.servers[before].Born).EmbedObject(revisionFields(f.changeRevision)).
		Msg("nothing that was learned of it holds")
	f.dropServer(before)
}

// dropNamed drops the server of that name at once.
func (f *storeWatcher) dropServerByName(name string) {
	if id, known := f.currentIDs[name]; known {
		f.dropServer(id)
	}
}

func (f *storeWatcher) removeServer(now time.Time, id string) {
	s, known := f.servers[id]
	if !known {
		return
	}
	if f.grace(now) && !s.Leaving {
		if _, already := f.missingUntil[id]; !already {
			f.missingUntil[id] = f.lastFailure.Add(reregistrationGrace)
			f.gateway.log.Info().Str("event", "server.missing").Str("server", id).Msg("kept for a moment: the store was away")
		}
		return
	}
	f.dropServer(id)
}

// drop forgets a server.
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
	f.gateway.log.Info().Str("event", "server.gone").Str("server", id).Msg("no new work")
}

// expireMissing removes servers whose entry has not come back.
func (f *storeWatcher) expireMissing(now time.Time) {
	f.applyTime = now
	dropped := false
	f.changeRevision = f.gateway.view.Load().Revision + 1 // no change of the store says so
	for id, until := range f.missingUntil {
		if now.After(until) {
			f.dropServer(id)
			dropped = true
		}
	}
	settled, takenBack := f.finishReconciliation(now), f.revertLostOrders(now)
	if dropped || settled || takenBack {
		f.republish()
	}
	if now.Sub(f.gateway.confirmedAt()) < confirmationTimeout {
		f.tombstones.expire(now) // while the store is away, it may come back from a copy of before
	}
}
