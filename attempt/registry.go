package attempt

import "time"

// ID names one attempt of a request.
type ID struct {
	Request string
	Attempt uint32
}

// Begun is what an agent's registry says to an attempt that wants to start:
// [Fresh], [Revoked], [Seen] or [Full].
type BeginResult interface{ beginResult() }

// Fresh says that the attempt may run.
type Started struct{}

// Revoked says that the attempt was revoked and must not run.
type Revoked struct{}

// Seen says that the attempt began before.
type AlreadyBegun struct{}

// Full says that the registry can remember no more; the attempt must not run.
type RegistryFull struct{}

func (Started) beginResult()      {}
func (Revoked) beginResult()      {}
func (AlreadyBegun) beginResult() {}
func (RegistryFull) beginResult() {}

// Registry remembers the attempts of one agent incarnation, for as long as a
// router may ask about them. It is for one goroutine.
type Registry struct {
	window     time.Duration
	maxEntries int
	entries    map[ID]entry
	order      []expiry // by time of end, oldest first
}

type entry struct {
	revoked bool
	running bool
	ended   time.Time
}

type expiry struct {
	id    ID
	ended time.Time
}

// NewRegistry returns a registry that remembers an attempt for the given time
// after it ended, and at most so many.
func NewRegistry(window time.Duration, most int) *Registry {
	return &Registry{window: window, maxEntries: most, entries: map[ID]entry{}}
}

// Begin asks whether an attempt may run and remembers that it does.
func (r *Registry) Begin(id ID, now time.Time) BeginResult {
	r.expire(now)
	e, known := r.entries[id]
	switch {
	case known && e.revoked:
		return Revoked{}
	case known:
		return AlreadyBegun{}
	case len(r.entries) >= r.maxEntries:
		return RegistryFull{}
	}
	r.entries[id] = entry{running: true}
	return Started{}
}

// NotRun tells that an attempt that Begin let through did not run after all. It
// is remembered as revoked: it must never run later.
func (r *Registry) MarkNotExecuted(id ID, now time.Time) {
	r.entries[id] = entry{revoked: true, ended: now}
	r.order = append(r.order, expiry{id: id, ended: now})
}

// End tells that an attempt has ended.
func (r *Registry) End(id ID, now time.Time) {
	r.entries[id] = entry{ended: now}
	r.order = append(r.order, expiry{id: id, ended: now})
}

// Revoke makes sure that an attempt which has not begun never will, and reports
// whether that is so; false means that it has begun.
func (r *Registry) Revoke(id ID, now time.Time) bool {
	r.expire(now)
	e, known := r.entries[id]
	if known {
		return e.revoked
	}
	r.entries[id] = entry{revoked: true, ended: now}
	r.order = append(r.order, expiry{id: id, ended: now})
	return true
}

// Len returns how many attempts are remembered.
func (r *Registry) Len() int { return len(r.entries) }

func (r *Registry) expire(now time.Time) {
	for len(r.order) > 0 && now.Sub(r.order[0].ended) > r.window {
		x := r.order[0]
		r.order = r.order[1:]
		if e := r.entries[x.id]; !e.running && e.ended.Equal(x.ended) {
			delete(r.entries, x.id)
		}
	}
}
