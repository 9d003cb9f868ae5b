package gateway

import (
	"time"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/warmup"
)

// This file keeps the evacuated halls and the cold servers of a view. Package warmup
// decides what cold servers get.

// evacuation is a hall whose servers get no new work.
type evacuation struct {
	Revision catalog.Revision // of the store, at which the operators ordered it
	Since    time.Time        // when the first gateway that passed it on heard of it
}

// coldState is what is known about a server that is cold, was cold or may become cold.
type coldState struct {
	ReportedUntil time.Time // end of the cold period that the server has reported; zero: none
	AssumedUntil  time.Time // end of the cold period assumed after the evacuation of its hall has ended
	Episode       warmup.Episode
	IdleSince     time.Time // see warmup.Server
	StartObserved bool
	Claimed       bool
}

// until returns when the server will be warm.
func (c coldState) until() time.Time { return latest(c.ReportedUntil, c.AssumedUntil) }

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// updateColdState applies a server's entry, as received by the watch.
func (w *storeWatcher) updateColdState(now time.Time, s ServerChanged) {
	id := s.Server.ID
	c, tracked := w.cold[id]
	_, known := w.servers[id]
	hall, evacuated := w.evacuations[s.Server.Hall]
	if !known && !tracked {
		// A server that appears while the store is being restored may have been there
		// before.
		c = coldState{StartObserved: !w.reconciling(now), Episode: startEpisode(w.changeRevision)}
		if evacuated {
			c.Episode = hall.Revision
		}
		if _, again := w.currentIDs[s.Server.Name()]; again && !evacuated {
			c.IdleSince = now // its previous lifetime got work until now, and the limit covers both
		}
	}
	if s.Cold <= 0 {
		c.ReportedUntil = time.Time{}
		if tracked || !known {
			w.cold[id] = c
		}
		return
	}
	if known && !evacuated && !now.Before(c.until()) {
		c.IdleSince = now // it got work until now
	}
	if !now.Before(c.until()) {
		w.gateway.log.Info().Str("event", "server.cold").Str("server", id).Dur("for", s.Cold).
			Stringer("episode", c.Episode).Bool("new", !known).Msg("server is cold: only the gateway that holds it sends a limited number of requests")
	}
	c.ReportedUntil = now.Add(s.Cold)
	w.cold[id] = c
}

// startEpisode returns the episode of a server that starts in the revision's era.
func startEpisode(r catalog.Revision) warmup.Episode { return catalog.NewRevision(r.Era(), 0) }

// evacuate marks a hall as evacuated. A new episode begins for its servers.
func (w *storeWatcher) evacuate(now time.Time, e HallEvacuated) {
	since := now
	if old, already := w.evacuations[e.Hall]; already {
		since = old.Since
	}
	w.evacuations[e.Hall] = evacuation{Revision: e.Revision, Since: since}
	for id, s := range w.servers {
		if s.Hall != e.Hall {
			continue
		}
		c := w.cold[id]
		c.Episode, c.IdleSince, c.StartObserved, c.Claimed = e.Revision, since, true, false
		w.cold[id] = c
		w.serverChanges.add(w.changeRevision, id)
	}
	w.gateway.log.Info().Str("event", "hall.evacuated").Str("hall", e.Hall).EmbedObject(revisionFields(e.Revision)).Msg("hall evacuated: no new requests for its servers")
}

// endEvacuation ends a hall's evacuation. Its servers may have become cold just before
// without having reported it, so they are assumed to be cold for as long as servers that
// have just started, whatever they reported last.
func (w *storeWatcher) endEvacuation(now time.Time, hall string) {
	e, evacuated := w.evacuations[hall]
	if !evacuated {
		return
	}
	delete(w.evacuations, hall)
	for id, s := range w.servers {
		if s.Hall != hall {
			continue
		}
		c := w.cold[id]
		c.AssumedUntil = latest(c.AssumedUntil, now.Add(w.coldDuration(s.Service)))
		w.cold[id] = c
		w.serverChanges.add(w.changeRevision, id)
	}
	w.gateway.log.Info().Str("event", "hall.returned").Str("hall", hall).Dur("after", now.Sub(e.Since)).Msg("evacuation ended: servers count as cold at first")
}

// coldDuration returns how long a service's servers are cold after their start.
func (w *storeWatcher) coldDuration(service string) time.Duration {
	v := w.gateway.view.Load()
	if v.Configuration == nil {
		return 0
	}
	if s, ok := v.Configuration.Service(service); ok {
		return s.ColdFor
	}
	return 0
}

// markClaimed records that some gateway holds a server.
func (w *storeWatcher) markClaimed(claim warmup.Claim) {
	if c, known := w.cold[claim.Server]; known && c.Episode == claim.Episode {
		c.Claimed = true
		w.cold[claim.Server] = c
		w.serverChanges.add(w.changeRevision, claim.Server)
	}
}

// applyListedCold takes over the cold servers and evacuated halls of a list from the store.
// A list gives the present state and no history, so the start of an episode was not
// observed.
func (w *storeWatcher) applyListedCold(now time.Time, s Snapshot) {
	for id, c := range w.cold {
		c.StartObserved = false
		w.cold[id] = c
	}
	for _, server := range s.Servers {
		id := server.ID
		if cold := s.ColdFor[id]; cold > 0 {
			c := w.cold[id]
			if known := !c.until().IsZero(); !known || !now.Before(c.until()) {
				c.IdleSince = now
			}
			reported := now.Add(cold)
			if w.reconciling(now) {
				reported = latest(reported, c.ReportedUntil) // it may have become cold again since the backup was made
			}
			c.ReportedUntil = reported
			w.cold[id] = c
		}
	}
	for hall, revision := range s.Evacuated {
		if e, already := w.evacuations[hall]; !already || e.Revision != revision {
			w.evacuate(now, HallEvacuated{Hall: hall, Revision: revision})
		}
	}
	for hall := range w.evacuations {
		if _, still := s.Evacuated[hall]; !still && !w.reconciling(now) {
			w.endEvacuation(now, hall)
		}
	}
}

// applyPeerCold takes over the cold servers and evacuated halls of another gateway's view.
// It is of a later revision, so it replaces what was known, except for cold periods that
// end later here.
func (w *storeWatcher) applyPeerCold(now time.Time, p peerView) {
	listed := map[string]bool{}
	for _, s := range p.snapshot.Servers {
		listed[s.ID] = true
	}
	for id, c := range w.cold {
		if _, cold := p.cold[id]; !cold && (listed[id] || !p.partial) {
			c.StartObserved = false
			w.cold[id] = c
		}
	}
	for id, c := range p.cold {
		c.AssumedUntil = latest(c.AssumedUntil, w.cold[id].AssumedUntil)
		if w.reconciling(now) {
			c.ReportedUntil = latest(c.ReportedUntil, w.cold[id].ReportedUntil)
		}
		w.cold[id] = c
	}
	for hall := range w.evacuations {
		if _, still := p.evacuations[hall]; !still && !w.reconciling(now) {
			w.endEvacuation(now, hall)
		}
	}
	for hall, e := range p.evacuations {
		if old, already := w.evacuations[hall]; already && old.Since.Before(e.Since) {
			e.Since = old.Since
		}
		w.evacuations[hall] = e
	}
}

// evacuationDocument is the encoding of an evacuation in a view document.
type evacuationDocument struct {
	Revision catalog.Revision `json:"revision"`
	AgeMS    int64            `json:"age_ms"`
}

// coldDocument is the encoding of a server's cold state in a view document. Times are
// encoded as durations, since clocks differ.
type coldDocument struct {
	ReportedMS    int64          `json:"told_ms,omitempty"`    // from now
	AssumedMS     int64          `json:"assumed_ms,omitempty"` // from now
	IdleMS        *int64         `json:"clear_age_ms,omitempty"`
	Episode       warmup.Episode `json:"episode,omitempty"`
	StartObserved bool           `json:"witnessed,omitempty"`
	Claimed       bool           `json:"claimed,omitempty"`
}

// addCold adds the evacuated halls of a view, and the servers that are cold or whose
// episode the receiver cannot derive.
func (d *viewDocument) addCold(now time.Time, v *View, include func(server string) bool) {
	for hall, e := range v.Evacuated {
		if d.Evacuated == nil {
			d.Evacuated = map[string]evacuationDocument{}
		}
		d.Evacuated[hall] = evacuationDocument{Revision: e.Revision, AgeMS: now.Sub(e.Since).Milliseconds()}
	}
	for id, c := range v.Cold {
		if !include(id) || !now.Before(c.until()) && c.Episode.Number() == 0 {
			continue
		}
		if d.Cold == nil {
			d.Cold = map[string]coldDocument{}
		}
		d.Cold[id] = coldDocument{
			ReportedMS: millisUntil(now, c.ReportedUntil), AssumedMS: millisUntil(now, c.AssumedUntil), IdleMS: millisSince(now, c.IdleSince),
			Episode: c.Episode, StartObserved: c.StartObserved, Claimed: c.Claimed,
		}
	}
}

// decodeCold returns the evacuated halls and cold servers of a received view document.
func (d viewDocument) decodeCold(now time.Time) (halls map[string]evacuation, cold map[string]coldState) {
	halls, cold = map[string]evacuation{}, map[string]coldState{}
	for hall, e := range d.Evacuated {
		halls[hall] = evacuation{Revision: e.Revision, Since: timeAgo(now, e.AgeMS)}
	}
	for id, c := range d.Cold {
		k := coldState{Episode: c.Episode, StartObserved: c.StartObserved, Claimed: c.Claimed}
		if c.ReportedMS > 0 {
			k.ReportedUntil = now.Add(time.Duration(c.ReportedMS) * time.Millisecond)
		}
		if c.AssumedMS > 0 {
			k.AssumedUntil = now.Add(time.Duration(c.AssumedMS) * time.Millisecond)
		}
		if c.IdleMS != nil {
			k.IdleSince = timeAgo(now, *c.IdleMS)
		}
		cold[id] = k
	}
	return halls, cold
}

// millisUntil returns the time from now until at in milliseconds, rounded up, or 0 if it
// has passed.
func millisUntil(now, at time.Time) int64 {
	return max((at.Sub(now) + time.Millisecond - 1).Milliseconds(), 0)
}

// millisSince returns the time since at in milliseconds, or nil if at is zero.
func millisSince(now, at time.Time) *int64 {
	if at.IsZero() {
		return nil
	}
	ms := now.Sub(at).Milliseconds()
	return &ms
}

// timeAgo returns the time ageMS milliseconds before now.
func timeAgo(now time.Time, ageMS int64) time.Time {
	return now.Add(-time.Duration(ageMS) * time.Millisecond)
}
