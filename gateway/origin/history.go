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
		at := slices.IndexFunc(h.seen, func(v sighting) bool { return v.service == s.Service && v.version == s.Version })
		if at < 0 {
			h.seen = append(h.seen, sighting{service: s.Service, version: s.Version, at: now})
			continue
		}
		h.seen[at].at = now
	}
	h.seen = slices.DeleteFunc(h.seen, func(v sighting) bool { return now.Sub(v.at) > MaxRetention })
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
