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

// coldness is what is known of a server that is cold, was, or may become so.
type coldness struct {
	Told      time.Time // it is cold until then, as it says itself; zero: it has not said so
	Assumed   time.Time // it is taken to be cold until then, since its hall has come back
	Episode   warmup.Episode
	Clear     time.Time // see warmup.Server
	Witnessed bool
	Claimed   bool
}

// until returns when the server will be warm.
func (c coldness) until() time.Time { return latest(c.Told, c.Assumed) }

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// warm takes over what a server's entry, as the store's watch has told it, says of its
// coldness.
func (f *follower) warm(now time.Time, s ServerChanged) {
	id := s.Server.ID
	c, told := f.cold[id]
	_, known := f.servers[id]
	hall, evacuated := f.halls[s.Server.Hall]
	if !known && !told {
		// What appears while the store settles may have been there before it came back.
		c = coldness{Witnessed: !f.settling(now), Episode: startEpisode(f.mark)}
		if evacuated {
			c.Episode = hall.Revision
		}
		if _, again := f.current[s.Server.Name()]; again && !evacuated {
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
func (f *follower) evacuate(now time.Time, e HallEvacuated) {
	since := now
	if old, already := f.halls[e.Hall]; already {
		since = old.Since
	}
	f.halls[e.Hall] = evacuation{Revision: e.Revision, Since: since}
	for id, s := range f.servers {
		if s.Hall != e.Hall {
			continue
		}
		c := f.cold[id]
		c.Episode, c.Clear, c.Witnessed, c.Claimed = e.Revision, since, true, false
		f.cold[id] = c
		f.log.add(f.mark, id)
	}
	f.gateway.log.Info().Str("event", "hall.evacuated").Str("hall", e.Hall).EmbedObject(atRevision(e.Revision)).Msg("no new work for its servers")
}

// takeBack takes over that a hall's evacuation has ended. Its servers may have become cold
// a moment before and not have said so, so they count as cold for as long as servers that
// have just started, whatever they said last.
func (f *follower) takeBack(now time.Time, hall string) {
	e, evacuated := f.halls[hall]
	if !evacuated {
		return
	}
	delete(f.halls, hall)
	for id, s := range f.servers {
		if s.Hall != hall {
			continue
		}
		c := f.cold[id]
		c.Assumed = latest(c.Assumed, now.Add(f.coldFor(s.Service)))
		f.cold[id] = c
		f.log.add(f.mark, id)
	}
	f.gateway.log.Info().Str("event", "hall.returned").Str("hall", hall).Dur("after", now.Sub(e.Since)).Msg("its servers get work as their warmth allows")
}

// coldFor returns how long servers of a service are cold after their start.
func (f *follower) coldFor(service string) time.Duration {
	v := f.gateway.view.Load()
	if v.Configuration == nil {
		return 0
	}
	if s, ok := v.Configuration.Service(service); ok {
		return s.ColdFor
	}
	return 0
}

// claimed takes over that some gateway holds a server.
func (f *follower) claimed(claim warmup.Claim) {
	if c, known := f.cold[claim.Server]; known && c.Episode == claim.Episode {
		c.Claimed = true
		f.cold[claim.Server] = c
		f.log.add(f.mark, claim.Server)
	}
}

// listed takes over what a list of the store tells. A list tells what there is, not what
// has been, so nothing of it was witnessed.
func (f *follower) listed(now time.Time, s Snapshot) {
	for id, c := range f.cold {
		c.Witnessed = false
		f.cold[id] = c
	}
	for _, server := range s.Servers {
		id := server.ID
		if cold := s.Cold[id]; cold > 0 {
			c := f.cold[id]
			if known := !c.until().IsZero(); !known || !now.Before(c.until()) {
				c.Clear = now
			}
			told := now.Add(cold)
			if f.settling(now) {
				told = latest(told, c.Told) // it may have become cold again since the copy
			}
			c.Told = told
			f.cold[id] = c
		}
	}
	for hall, revision := range s.Evacuated {
		if e, already := f.halls[hall]; !already || e.Revision != revision {
			f.evacuate(now, HallEvacuated{Hall: hall, Revision: revision})
		}
	}
	for hall := range f.halls {
		if _, still := s.Evacuated[hall]; !still && !f.settling(now) {
			f.takeBack(now, hall)
		}
	}
}

// takeWarmth takes over what another gateway knows. It is of a later revision, so it
// replaces what was known here; only a longer coldness stays.
func (f *follower) takeWarmth(now time.Time, h handover) {
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
		if f.settling(now) {
			c.Told = latest(c.Told, f.cold[id].Told)
		}
		f.cold[id] = c
	}
	for hall := range f.halls {
		if _, still := h.halls[hall]; !still && !f.settling(now) {
			f.takeBack(now, hall)
		}
	}
	for hall, e := range h.halls {
		if old, already := f.halls[hall]; already && old.Since.Before(e.Since) {
			e.Since = old.Since
		}
		f.halls[hall] = e
	}
}

// evacuatedDocument is an evacuation on its way to another gateway.
type evacuatedDocument struct {
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

// addWarmth adds what a view tells of halls and of servers that are cold, or whose episode
// others can't know.
func (d *viewDocument) addWarmth(now time.Time, v *View, told func(server string) bool) {
	for hall, e := range v.Evacuated {
		if d.Evacuated == nil {
			d.Evacuated = map[string]evacuatedDocument{}
		}
		d.Evacuated[hall] = evacuatedDocument{Revision: e.Revision, AgeMS: now.Sub(e.Since).Milliseconds()}
	}
	for id, c := range v.Cold {
		if !told(id) || !now.Before(c.until()) && c.Episode.Number() == 0 {
			continue
		}
		if d.Cold == nil {
			d.Cold = map[string]coldDocument{}
		}
		d.Cold[id] = coldDocument{
			ToldMS: ahead(now, c.Told), AssumedMS: ahead(now, c.Assumed), ClearMS: age(now, c.Clear),
			Episode: c.Episode, Witnessed: c.Witnessed, Claimed: c.Claimed,
		}
	}
}

// warmth returns what a view document that has arrived tells.
func (d viewDocument) warmth(now time.Time) (halls map[string]evacuation, cold map[string]coldness) {
	halls, cold = map[string]evacuation{}, map[string]coldness{}
	for hall, e := range d.Evacuated {
		halls[hall] = evacuation{Revision: e.Revision, Since: before(now, e.AgeMS)}
	}
	for id, c := range d.Cold {
		k := coldness{Episode: c.Episode, Witnessed: c.Witnessed, Claimed: c.Claimed}
		if c.ToldMS > 0 {
			k.Told = now.Add(time.Duration(c.ToldMS) * time.Millisecond)
		}
		if c.AssumedMS > 0 {
			k.Assumed = now.Add(time.Duration(c.AssumedMS) * time.Millisecond)
		}
		if c.ClearMS != nil {
			k.Clear = before(now, *c.ClearMS)
		}
		cold[id] = k
	}
	return halls, cold
}

// ahead returns how far a time lies ahead, in milliseconds, rounded up.
func ahead(now, at time.Time) int64 {
	return max((at.Sub(now) + time.Millisecond - 1).Milliseconds(), 0)
}

// age returns how long ago a time was, in milliseconds; nil: there is no such time.
func age(now, at time.Time) *int64 {
	if at.IsZero() {
		return nil
	}
	ms := now.Sub(at).Milliseconds()
	return &ms
}

func before(now time.Time, ageMS int64) time.Time {
	return now.Add(-time.Duration(ageMS) * time.Millisecond)
}
