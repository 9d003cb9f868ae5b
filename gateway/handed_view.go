package gateway

import (
	"time"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/quarantine"
)

// This file takes over what other gateways tell of their views.

// peerView is a view that another gateway has told.
type peerView struct {
	from            string
	snapshot        Snapshot
	evacuations     map[string]evacuation    // that are evacuated
	cold            map[string]coldState     // by server
	rollouts        map[string]rolloutRecord // by service; all of them
	unverified      []catalog.Server         // that a copy names and that are kept back
	reconcileUntil  time.Time                // until then the store may lack what it had
	partial         bool                     // only what has changed since a revision that this gateway has passed
	removedServers  []string                 // servers that are no more; only if partial
	removedSuspects []quarantine.Key         // requests that are no suspects any more; only if partial
	leaving         []string                 // servers that have said that they leave
	// Without it a whole view leaves what is known of suspects.
	hasSuspects bool
	confirmed   time.Time // when it was the store's latest
}

// applyPeerView takes over the view of another gateway if it is newer than the own one.
func (f *storeWatcher) applyPeerView(now time.Time, h peerView) {
	f.applyTime = now
	f.gateway.applyPeerLeaving(now, h.from, h.leaving)
	v := f.gateway.view.Load()
	if h.snapshot.Revision <= v.Revision {
		f.takeConfiguration(v, h)
		return
	}
	f.gateway.log.Info().Str("event", "view.handed_over").Str("peer", h.from).
		EmbedObject(revisionFields(h.snapshot.Revision)).Stringer("before", v.Revision).Bool("partial", h.partial).Msg("a gateway knows more than the store tells")
	if h.snapshot.Revision.Era() > v.Revision.Era() {
		f.enterEra(h.snapshot.Revision, h.reconcileUntil)
	}
	f.changeRevision = h.snapshot.Revision
	f.applyPeerCold(now, h)
	f.applyPeerRollouts(now, h.rollouts)
	if h.partial {
		f.takePart(h)
	} else {
		f.takeWhole(h)
	}
	f.gateway.confirm(h.confirmed)
}

// takeConfiguration takes over a later configuration of a gateway that knows no more of the
// store: a copy may be older than the one that this gateway has started with.
func (f *storeWatcher) takeConfiguration(v *View, h peerView) {
	c := h.snapshot.Configuration
	if c == nil || v.Configuration == nil || c.Version <= v.Configuration.Version {
		return
	}
	f.gateway.log.Info().Str("event", "configuration.handed_over").Str("peer", h.from).Uint64("version", c.Version).Msg("later than what the store tells")
	f.publish(c, h.snapshot.RawConfiguration, v.Revision)
}

// takeWhole takes over the whole view of another gateway.
func (f *storeWatcher) takeWhole(h peerView) {
	f.serverChanges.reset(h.snapshot.Revision)
	f.suspectChanges.reset(h.snapshot.Revision)
	if !h.hasSuspects {
		h.snapshot.Suspects = f.suspects
	}
	if !f.reconciling(f.applyTime) {
		clear(f.missingUntil)
	}
	for id, until := range h.snapshot.MissingUntil {
		f.missingUntil[id] = until
	}
	for _, s := range h.unverified {
		if f.reconciling(f.applyTime) {
			f.withhold(s)
		}
	}
	f.applySnapshot(h.snapshot, f.dropServer)
}

// takePart takes over what has changed at another gateway. Servers that are missing here
// only stay so: the other one may have dropped them before.
func (f *storeWatcher) takePart(h peerView) {
	for _, server := range h.snapshot.Servers {
		delete(f.unverified, server.Name())
		f.upsertServer(server)
	}
	for _, id := range h.removedServers {
		delete(f.unverified, catalog.ServerName(id))
		f.dropServer(id)
	}
	for id, until := range h.snapshot.MissingUntil {
		if _, known := f.servers[id]; known {
			f.missingUntil[id] = until
		}
	}
	for key, kept := range h.snapshot.Suspects {
		f.setSuspect(key, kept)
	}
	for _, key := range h.removedSuspects {
		f.removeSuspect(key)
	}
	f.publish(h.snapshot.Configuration, h.snapshot.RawConfiguration, h.snapshot.Revision)
}
