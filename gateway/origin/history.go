package origin

import (
	"slices"
	"time"
)

// History records which versions of which services have served. Its zero value knows nothing. It
// must be used by one goroutine at a time.
type History struct {
	since time.Time // from when on it is complete; zero: it is not
	seen  []sighting
}

// sighting is a version of a service and when it last had a server.
type sighting struct {
	service, version string
	at               time.Time
}

// Serving is a server, as far as a History needs it.
type Serving struct{ Service, Version string }

// Observe records the servers that there are at a time. complete says whether none can be missing:
// otherwise nothing before now can be vouched for any more.
func (h *History) Observe(now time.Time, servers []Serving, complete bool) {
	switch {
	case !complete:
		h.since = time.Time{}
	case h.since.IsZero():
		h.since = now
	}
	for _, s := range servers {
		h.sight(s, now)
	}
	h.seen = slices.DeleteFunc(h.seen, func(v sighting) bool { return now.Sub(v.at) > MaxRetention })
}

// Sight records a server that there is at a time, perhaps for less time than there is between two
// observations.
func (h *History) Sight(now time.Time, s Serving) { h.sight(s, now) }

// Record is a History as it is handed over to a gateway that has started. Times are in milliseconds
// before it was made.
type Record struct {
	CompleteMS int64            `json:"complete_ms"` // for so long no server can have been missed
	Versions   []ServingVersion `json:"versions,omitempty"`
}

// ServingVersion is a version of a service and when it last had a server.
type ServingVersion struct {
	Service string `json:"service"`
	Version string `json:"version"`
	AgoMS   int64  `json:"ago_ms,omitempty"`
}

// Record returns what is known.
func (h *History) Record(now time.Time) Record {
	var r Record
	if h.since.IsZero() {
		return r
	}
	r.CompleteMS = now.Sub(h.since).Milliseconds()
	for _, v := range h.seen {
		r.Versions = append(r.Versions, ServingVersion{Service: v.service, Version: v.version, AgoMS: now.Sub(v.at).Milliseconds()})
	}
	return r
}

// Merge takes over what another gateway knows, which has to reach up to now.
func (h *History) Merge(now time.Time, r Record) {
	if r.CompleteMS <= 0 {
		return
	}
	if since := now.Add(-time.Duration(r.CompleteMS) * time.Millisecond); h.since.IsZero() || since.Before(h.since) {
		h.since = since
	}
	for _, v := range r.Versions {
		at := now.Add(-time.Duration(max(v.AgoMS, 0)) * time.Millisecond)
		h.sight(Serving{Service: v.Service, Version: v.Version}, at)
	}
}

// sight records that a version had a server at a time.
func (h *History) sight(s Serving, at time.Time) {
	i := slices.IndexFunc(h.seen, func(v sighting) bool { return v.service == s.Service && v.version == s.Version })
	if i < 0 {
		h.seen = append(h.seen, sighting{service: s.Service, version: s.Version, at: at})
		return
	}
	if at.After(h.seen[i].at) {
		h.seen[i].at = at
	}
}

// Only returns the version of a service that has been the only one for the given time; ok is false
// if there were several, or none, or if that is not known for so long.
func (h *History) Only(now time.Time, service string, span time.Duration) (version string, ok bool) {
	from := now.Add(-span)
	if h.since.IsZero() || h.since.After(from) {
		return "", false
	}
	for _, v := range h.seen {
		if v.service != service || v.at.Before(from) {
			continue
		}
		if ok || v.version == "" {
			return "", false
		}
		version, ok = v.version, true
	}
	return version, ok
}
