package gateway

import (
	"time"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/origin"
	"opalbridge.dev/gateway/quarantine"
)

// This file applies the views that peers hand over.

// peerView is a view, or a part of one, that a peer has handed over.
type peerView struct {
	from            string
	snapshot        Snapshot
	evacuations     map[string]evacuation    // by hall
	cold            map[string]coldState     // by server
	rollouts        map[string]rolloutRecord // by service; complete also if partial
	unverified      []catalog.Server         // withheld servers that the restored store lists
	reconcileUntil  time.Time                // until then the restored store may lack earlier writes
	partial         bool                     // holds only what has changed since a revision that this gateway has reached
	removedServers  []string                 // only if partial
	removedSuspects []quarantine.Key         // only if partial
	leaving         []string                 // servers that have reported that they are leaving
	versions        origin.Record            // which software versions have served
	// Whether the peer's version knows of suspects; if not, a full view leaves the known
	// suspects as they are.
	hasSuspects bool
	confirmed   time.Time // when the view was the store's latest
}

// applyPeerView applies a peer's view if it is newer than this gateway's own.
func (w *storeWatcher) applyPeerView(now time.Time, p peerView) {
	w.applyTime = now
	// Before the view is published, for a call that waits for it; and after it, since the view's age decides
	// whether the history is complete.
	w.gateway.origins.mergeVersions(now, p.versions)
	defer w.gateway.origins.mergeVersions(now, p.versions)
	w.gateway.applyPeerLeaving(now, p.from, p.leaving)
	v := w.gateway.view.Load()
	if p.snapshot.Revision <= v.Revision {
		w.applyPeerConfiguration(v, p)
		return
	}
	w.gateway.log.Info().Str("event", "view.handed_over").Str("peer", p.from).
		EmbedObject(revisionFields(p.snapshot.Revision)).Stringer("before", v.Revision).Bool("partial", p.partial).Msg("applying a peer's newer view")
	if p.snapshot.Revision.Era() > v.Revision.Era() {
		w.enterEra(p.snapshot.Revision, p.reconcileUntil)
	}
	w.changeRevision = p.snapshot.Revision
	w.applyPeerCold(now, p)
	w.applyPeerRollouts(now, p.rollouts)
	if p.partial {
		w.applyPartialView(p)
	} else {
		w.applyFullView(p)
	}
	w.gateway.confirm(p.confirmed)
}

// applyPeerConfiguration applies a newer configuration of a peer whose view is not newer. After
// a restore of the store, this gateway may have started with an older configuration.
func (w *storeWatcher) applyPeerConfiguration(v *View, p peerView) {
	c := p.snapshot.Configuration
	if c == nil || v.Configuration == nil || c.Version <= v.Configuration.Version {
		return
	}
	w.gateway.log.Info().Str("event", "configuration.handed_over").Str("peer", p.from).Uint64("version", c.Version).Msg("applying a peer's newer configuration")
	w.publish(c, p.snapshot.RawConfiguration, v.Revision)
}

// applyFullView replaces the state by a peer's full view.
func (w *storeWatcher) applyFullView(p peerView) {
	w.serverChanges.reset(p.snapshot.Revision)
	w.suspectChanges.reset(p.snapshot.Revision)
	if !p.hasSuspects {
		p.snapshot.Suspects = w.suspects
	}
	if !w.reconciling(w.applyTime) {
		clear(w.missingUntil)
	}
	for id, until := range p.snapshot.MissingUntil {
		w.missingUntil[id] = until
	}
	for _, s := range p.unverified {
		if w.reconciling(w.applyTime) {
			w.withhold(s)
		}
	}
	w.applySnapshot(p.snapshot, w.dropServer)
}

// applyPartialView applies what has changed at a peer. Expiry times are taken only for servers
// known here: the peer may have dropped the others since.
func (w *storeWatcher) applyPartialView(p peerView) {
	for _, server := range p.snapshot.Servers {
		delete(w.unverified, server.Name())
		w.upsertServer(server)
	}
	for _, id := range p.removedServers {
		delete(w.unverified, catalog.ServerName(id))
		w.dropServer(id)
	}
	for id, until := range p.snapshot.MissingUntil {
		if _, known := w.servers[id]; known {
			w.missingUntil[id] = until
		}
	}
	for key, kept := range p.snapshot.Suspects {
		w.setSuspect(key, kept)
	}
	for _, key := range p.removedSuspects {
		w.removeSuspect(key)
	}
	w.publish(p.snapshot.Configuration, p.snapshot.RawConfiguration, p.snapshot.Revision)
}
