package attempt

import "time"

// ID identifies one attempt of a request.
type ID struct {
	Request string
	Attempt uint32
}

// BeginResult is the result of [Registry.Begin]: [Started], [Revoked],
// [AlreadyBegun] or [RegistryFull].
type BeginResult interface{ beginResult() }

// Started means that the attempt may run.
type Started struct{}

// Revoked means that the attempt was revoked and must not run.
type Revoked struct{}

// AlreadyBegun means that the attempt has begun before and must not run again.
type AlreadyBegun struct{}

// RegistryFull means that the registry cannot record another attempt; this one must
// not run.
type RegistryFull struct{}

func (Started) beginResult()      {}
func (Revoked) beginResult()      {}
func (AlreadyBegun) beginResult() {}
func (RegistryFull) beginResult() {}

// Registry records the attempts of one agent incarnation for as long as a router may
// ask about them. It is not safe for concurrent use.
type Registry struct {
	window     time.Duration
	maxEntries int
	entries    map[ID]entry
	order      []expiry // by end time, oldest first
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

// NewRegistry returns a registry that keeps an attempt for the duration window after
// its end, and holds at most maxEntries attempts.
func NewRegistry(window time.Duration, maxEntries int) *Registry {
	return &Registry{window: window, maxEntries: maxEntries, entries: map[ID]entry{}}
}

// Begin determines whether an attempt may run, and if so records that it runs.
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

// MarkNotExecuted records that an attempt for which Begin returned Started did not
// run. It is kept as revoked, so that it never runs later.
func (r *Registry) MarkNotExecuted(id ID, now time.Time) {
	r.entries[id] = entry{revoked: true, ended: now}
	r.order = append(r.order, expiry{id: id, ended: now})
}

// End records that an attempt has ended.
func (r *Registry) End(id ID, now time.Time) {
	r.entries[id] = entry{ended: now}
	r.order = append(r.order, expiry{id: id, ended: now})
}

// Revoke prevents an attempt that has not begun from ever running, and reports
// whether it did; false means that the attempt has begun.
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

// Len returns the number of recorded attempts.
func (r *Registry) Len() int { return len(r.entries) }

// expire removes the attempts that ended before the window.
func (r *Registry) expire(now time.Time) {
	for len(r.order) > 0 && now.Sub(r.order[0].ended) > r.window {
		x := r.order[0]
		r.order = r.order[1:]
		if e := r.entries[x.id]; !e.running && e.ended.Equal(x.ended) {
			delete(r.entries, x.id)
		}
	}
}
