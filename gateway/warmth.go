package gateway

import (
	"time"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/warmup"
)

// This file keeps what the view tells of halls that are evacuated and of servers that are
// cold. package warmup decides what cold servers get.

// evacuation is a hall whose servers shall get no new work.
type evacuation struct {
	Revision catalog.Revision // of the store, at which the operators said so
	Since    time.Time        // when this gateway, or the one that told it, heard of it
}

// coldState is what is known of a server that is cold, was, or may become so.
type coldState struct {
	Told      time.Time // it is cold until then, as it says itself; zero: it has not said so
	Assumed   time.Time // it is taken to be cold until then, since its hall has come back
	Episode   warmup.Episode
	Clear     time.Time // see warmup.Server
	Witnessed bool
	Claimed   bool
}

// until returns when the server will be warm.
func (c coldState) until() time.Time { return latest(c.Told, c.Assumed) }

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// updateColdState takes over what a server's entry, as the store's watch has told it, says of its
// coldness.
func (f *storeWatcher) updateColdState(now time.Time, s ServerChanged) {
	id := s.Server.ID
	c, told := f.cold[id]
	_, known := f.servers[id]
	hall, evacuated := f.evacuations[s.Server.Hall]
	if !known && !told {
		// What appears while the store settles may have been there before it came back.
		c = coldState{Witnessed: !f.reconciling(now), Episode: startEpisode(f.changeRevision)}
		if evacuated {
			c.Episode = hall.Revision
		}
		if _, again := f.currentIDs[s.Server.Name()]; again && !evacuated {
			c.Clear = now // the lifetime before got work until now, and the bound holds over both
		}
	}
	if s.Cold <= 0 {
		c.Told = time.Time{}
		if told || !known {
			f.cold[id] = c
		}
		return
	}
	if known && !evacuated && !now.Before(c.until()) {
		c.Clear = now // it got work until now
	}
	if !now.Before(c.until()) {
		f.gateway.log.Info().Str("event", "server.cold").Str("server", id).Dur("for", s.Cold).
			Stringer("episode", c.Episode).Bool("new", !known).Msg("it gets what it bears, from the gateway that holds it")
	}
	c.Told = now.Add(s.Cold)
	f.cold[id] = c
}

// startEpisode returns the episode of a server that starts.
func startEpisode(r catalog.Revision) warmup.Episode { return catalog.NewRevision(r.Era(), 0) }

// evacuate takes over that a hall is evacuated. A new episode begins for its servers.
func (f *storeWatcher) evacuate(now time.Time, e HallEvacuated) {
	since := now
	if old, already := f.evacuations[e.Hall]; already {
		since = old.Since
	}
	f.evacuations[e.Hall] = evacuation{Revision: e.Revision, Since: since}
	for id, s := range f.servers {
		if s.Hall != e.Hall {
			continue
		}
		c := f.cold[id]
		c.Episode, c.Clear, c.Witnessed, c.Claimed = e.Revision, since, true, false
		f.cold[id] = c
		f.serverChanges.add(f.changeRevision, id)
	}
	f.gateway.log.Info().Str("event", "hall.evacuated").Str("hall", e.Hall).EmbedObject(revisionFields(e.Revision)).Msg("no new work for its servers")
}

// endEvacuation takes over that a hall's evacuation has ended. Its servers may have become cold
// a moment before and not have said so, so they count as cold for as long as servers that
// have just started, whatever they said last.
func (f *storeWatcher) endEvacuation(now time.Time, hall string) {
	e, evacuated := f.evacuations[hall]
	if !evacuated {
		return
	}
	delete(f.evacuations, hall)
	for id, s := range f.servers {
		if s.Hall != hall {
			continue
		}
		c := f.cold[id]
		c.Assumed = latest(c.Assumed, now.Add(f.coldFor(s.Service)))
		f.cold[id] = c
		f.serverChanges.add(f.changeRevision, id)
	}
	f.gateway.log.Info().Str("event", "hall.returned").Str("hall", hall).Dur("after", now.Sub(e.Since)).Msg("its servers get work as their warmth allows")
}

// coldFor returns how long servers of a service are cold after their start.
func (f *storeWatcher) coldFor(service string) time.Duration {
	v := f.gateway.view.Load()
	if v.Configuration == nil {
		return 0
	}
	if s, ok := v.Configuration.Service(service); ok {
		return s.ColdFor
	}
	return 0
}

// markClaimed takes over that some gateway holds a server.
func (f *storeWatcher) markClaimed(claim warmup.Claim) {
	if c, known := f.cold[claim.Server]; known && c.Episode == claim.Episode {
		c.Claimed = true
		f.cold[claim.Server] = c
		f.serverChanges.add(f.changeRevision, claim.Server)
	}
}

// applyListedCold takes over what a list of the store tells. A list tells what there is, not what
// has been, so nothing of it was witnessed.
func (f *storeWatcher) applyListedCold(now time.Time, s Snapshot) {
	for id, c := range f.cold {
		c.Witnessed = false
		f.cold[id] = c
	}
	for _, server := range s.Servers {
		id := server.ID
		if cold := s.ColdFor[id]; cold > 0 {
			c := f.cold[id]
			if known := !c.until().IsZero(); !known || !now.Before(c.until()) {
				c.Clear = now
			}
			told := now.Add(cold)
			if f.reconciling(now) {
				told = latest(told, c.Told) // it may have become cold again since the copy
			}
			c.Told = told
			f.cold[id] = c
		}
	}
	for hall, revision := range s.Evacuated {
		if e, already := f.evacuations[hall]; !already || e.Revision != revision {
			f.evacuate(now, HallEvacuated{Hall: hall, Revision: revision})
		}
	}
	for hall := range f.evacuations {
		if _, still := s.Evacuated[hall]; !still && !f.reconciling(now) {
			f.endEvacuation(now, hall)
		}
	}
}

// applyPeerCold takes over what another gateway knows. It is of a later revision, so it
// replaces what was known here; only a longer coldness stays.
func (f *storeWatcher) applyPeerCold(now time.Time, h peerView) {
	told := map[string]bool{}
	for _, s := range h.snapshot.Servers {
		told[s.ID] = true
	}
	for id, c := range f.cold {
		if _, cold := h.cold[id]; !cold && (told[id] || !h.partial) {
			c.Witnessed = false
			f.cold[id] = c
		}
	}
	for id, c := range h.cold {
		c.Assumed = latest(c.Assumed, f.cold[id].Assumed)
		if f.reconciling(now) {
			c.Told = latest(c.Told, f.cold[id].Told)
		}
		f.cold[id] = c
	}
	for hall := range f.evacuations {
		if _, still := h.evacuations[hall]; !still && !f.reconciling(now) {
			f.endEvacuation(now, hall)
		}
	}
	for hall, e := range h.evacuations {
		if old, already := f.evacuations[hall]; already && old.Since.Before(e.Since) {
			e.Since = old.Since
		}
		f.evacuations[hall] = e
	}
}

// evacuationDocument is an evacuation on its way to another gateway.
type evacuationDocument struct {
	Revision catalog.Revision `json:"revision"`
	AgeMS    int64            `json:"age_ms"`
}

// coldDocument is a server's coldness on its way to another gateway. Times are told as
// spans, since clocks differ.
type coldDocument struct {
	ToldMS    int64          `json:"told_ms,omitempty"`    // from now
	AssumedMS int64          `json:"assumed_ms,omitempty"` // from now
	ClearMS   *int64         `json:"clear_age_ms,omitempty"`
	Episode   warmup.Episode `json:"episode,omitempty"`
	Witnessed bool           `json:"witnessed,omitempty"`
	Claimed   bool           `json:"claimed,omitempty"`
}

// addCold adds what a view tells of halls and of servers that are cold, or whose episode
// others can't know.
func (d *viewDocument) addCold(now time.Time, v *View, told func(server string) bool) {
	for hall, e := range v.Evacuated {
		if d.Evacuated == nil {
			d.Evacuated = map[string]evacuationDocument{}
		}
		d.Evacuated[hall] = evacuationDocument{Revision: e.Revision, AgeMS: now.Sub(e.Since).Milliseconds()}
	}
	for id, c := range v.Cold {
		if !told(id) || !now.Before(c.until()) && c.Episode.Number() == 0 {
			continue
		}
		if d.Cold == nil {
			d.Cold = map[string]coldDocument{}
		}
		d.Cold[id] = coldDocument{
			ToldMS: millisUntil(now, c.Told), AssumedMS: millisUntil(now, c.Assumed), ClearMS: millisSince(now, c.Clear),
			Episode: c.Episode, Witnessed: c.Witnessed, Claimed: c.Claimed,
		}
	}
}

// decodeCold returns what a view document that has arrived tells.
func (d viewDocument) decodeCold(now time.Time) (halls map[string]evacuation, cold map[string]coldState) {
	halls, cold = map[string]evacuation{}, map[string]coldState{}
	for hall, e := range d.Evacuated {
		halls[hall] = evacuation{Revision: e.Revision, Since: timeAgo(now, e.AgeMS)}
	}
	for id, c := range d.Cold {
		k := coldState{Episode: c.Episode, Witnessed: c.Witnessed, Claimed: c.Claimed}
		if c.ToldMS > 0 {
			k.Told = now.Add(time.Duration(c.ToldMS) * time.Millisecond)
		}
		if c.AssumedMS > 0 {
			k.Assumed = now.Add(time.Duration(c.AssumedMS) * time.Millisecond)
		}
		if c.ClearMS != nil {
			k.Clear = timeAgo(now, *c.ClearMS)
		}
		cold[id] = k
	}
	return halls, cold
}

// millisUntil returns how far a time lies millisUntil, in milliseconds, rounded up.
func millisUntil(now, at time.Time) int64 {
	return max((at.Sub(now) + time.Millisecond - 1).Milliseconds(), 0)
}

// millisSince returns how long ago a time was, in milliseconds; nil: there is no such time.
func millisSince(now, at time.Time) *int64 {
	if at.IsZero() {
		return nil
	}
	ms := now.Sub(at).Milliseconds()
	return &ms
}

func timeAgo(now time.Time, ageMS int64) time.Time {
	return now.Add(-time.Duration(ageMS) * time.Millisecond)
}
