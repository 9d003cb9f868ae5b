// Package origin remembers at which software version of a service streams have begun, so that a
// stream that breaks goes on only there: events that two versions write must not be joined, and
// servers do not check that.
//
// # Usage
//
//	r := origin.NewRegistry()
//	r.Add(now, origin.Origin{Attempt: origin.AttemptOf(account, id), Version: origin.VersionOf(service, version), Expires: at})
//	switch f := r.Find(now, origin.AttemptOf(account, id)).(type) {
//	case origin.Known:     // only servers of f.Version may go on with it
//	case origin.Ambiguous: // reports contradict each other: no server may
//	case origin.Unknown:   // nothing was reported, or it was forgotten
//	}
//
// What was reported of an attempt is a fact that does not change, so reports may be lost, repeated
// and reordered. A registry is bounded: at most [MaxOrigins] attempts, some 6 MB, each until it
// expires. It does no locking and no I/O and does not read the clock.
//
// [Replicas] chooses the gateways that remember an attempt besides the one that began it.
// [History] tells which versions have served, for callers that do not name an attempt.
package origin

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// MaxOrigins is the number of attempts that a registry remembers; of more, those added first are
// forgotten.
const MaxOrigins = 1 << 16

// MaxRetention bounds how long an attempt is remembered. It is longer than callers wait.
const MaxRetention = 10 * time.Minute

// Attempt identifies a caller's attempt: a hash of its account and its ID. The hash resists
// collisions, so that no account can bar the streams of another one.
type Attempt uint64

// AttemptOf returns the identity of an attempt. The account is empty for public requests.
func AttemptOf(account, id string) Attempt { return Attempt(hash(account, id)) }

// Version identifies a software version of a service; 0: unknown.
type Version uint64

// VersionOf returns the identity of a service's version; 0 if the version is empty, which means
// that the server has not said it.
func VersionOf(service, version string) Version {
	if version == "" {
		return 0
	}
	return Version(hash(service, version))
}

// hash returns 64 bits of a hash of two texts.
func hash(first, second string) uint64 {
	text := make([]byte, 0, 128)
	text = binary.AppendUvarint(text, uint64(len(first)))
	text = append(text, first...)
	text = append(text, second...)
	sum := sha256.Sum256(text)
	return binary.BigEndian.Uint64(sum[:])
}

// Origin reports the version at which an attempt's stream began.
type Origin struct {
	Attempt Attempt
	Version Version
	Expires time.Time // when it may be forgotten: its caller has given up
}

// Finding is what a registry knows of an attempt.
type Finding interface{ finding() }

// Known is an attempt whose stream began at Version.
type Known struct {
	Version Version
	Expires time.Time
}

// Ambiguous is an attempt whose stream was reported at two versions: its caller has used the same
// ID twice.
type Ambiguous struct {
	Versions [2]Version
	Expires  time.Time
}

// Unknown is an attempt of which nothing is known.
type Unknown struct{}

func (Known) finding()     {}
func (Ambiguous) finding() {}
func (Unknown) finding()   {}

// Registry remembers origins. It must be used by one goroutine at a time.
type Registry struct {
	entries map[Attempt]entry
	order   []Attempt // of entries, by when they were added
}

// entry is what is known of an attempt.
type entry struct {
	version Version
	other   Version // another version that was reported as well; 0: none
	expires time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{entries: map[Attempt]entry{}} }

// Add takes over a report. A report of an unknown version is ignored.
func (r *Registry) Add(now time.Time, o Origin) {
	if o.Version == 0 || !now.Before(o.Expires) {
		return
	}
	e, known := r.entries[o.Attempt]
	if !known {
		r.forget(now)
		r.order = append(r.order, o.Attempt)
		e.version = o.Version
	}
	if o.Version != e.version && e.other == 0 {
		e.other = o.Version
	}
	if o.Expires.After(e.expires) {
		e.expires = o.Expires
	}
	r.entries[o.Attempt] = e
}

// forget makes room for one more attempt.
func (r *Registry) forget(now time.Time) {
	for len(r.order) > 0 {
		oldest := r.order[0]
		if len(r.order) < MaxOrigins && now.Before(r.entries[oldest].expires) {
			return
		}
		delete(r.entries, oldest)
		r.order = r.order[1:]
	}
}

// Find returns what is known of an attempt.
func (r *Registry) Find(now time.Time, a Attempt) Finding {
	e, known := r.entries[a]
	switch {
	case !known, !now.Before(e.expires):
		return Unknown{}
	case e.other != 0:
		return Ambiguous{Versions: [2]Version{e.version, e.other}, Expires: e.expires}
	default:
		return Known{Version: e.version, Expires: e.expires}
	}
}

// Len returns the number of attempts remembered.
func (r *Registry) Len() int { return len(r.entries) }
