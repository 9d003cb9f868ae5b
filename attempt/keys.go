package attempt

import (
	"time"

	"github.com/google/uuid"
)

// Claimed is what an agent says to a caller's idempotency key: [First], [Repeat]
// or [CannotTell].
type Claimed interface{ claimed() }

// First says that the key was not used in the window; the request may run.
type First struct{}

// Repeat says that an earlier request used the key, and where it stands.
type Repeat struct {
	Request string // id of the earlier request
	Attempt uint32
	Running bool
	Unknown bool // its outcome cannot be known
}

// CannotTell says that an earlier owner of the key may have run it.
type CannotTell struct{ RetryAfter time.Duration }

func (First) claimed()      {}
func (Repeat) claimed()     {}
func (CannotTell) claimed() {}

// Skew is how far the clocks of callers and hosts may be apart, and how long a
// change of configuration may take to be in force at every agent.
const Skew = 2 * time.Minute

// KeyID names a caller's idempotency key; accounts cannot meet in one.
type KeyID struct {
	Account uint32
	Key     string
}

// Keys remembers callers' idempotency keys at the one agent that owns them. A key
// that carries its own time (a version 7 UUID) can be told to be new from its
// first moment; any other only when the owner has watched for a whole window. It
// is for one goroutine.
type Keys struct {
	window  time.Duration
	most    int
	since   time.Time // from when on every use of a key was seen here
	entries map[KeyID]*claim
	order   []KeyID // oldest first
}

type claim struct {
	request string
	attempt uint32
	at      time.Time
	running bool
	unknown bool
}

// NewKeys returns an empty memory that has watched since now.
func NewKeys(window time.Duration, most int, now time.Time) *Keys {
	return &Keys{window: window, most: most, since: now, entries: map[KeyID]*claim{}}
}

// Moved tells that keys owned by others until now may be owned here from now on.
func (k *Keys) Moved(now time.Time) { k.since = now }

// Claim asks whether a request with this key may run, and if so remembers it.
func (k *Keys) Claim(id KeyID, request string, attempt uint32, now time.Time) Claimed {
	k.expire(now)
	if c, known := k.entries[id]; known {
		return Repeat{Request: c.request, Attempt: c.attempt, Running: c.running, Unknown: c.unknown}
	}
	if !k.canTell(id.Key, now) {
		return CannotTell{RetryAfter: k.since.Add(k.window).Sub(now)}
	}
	if len(k.entries) >= k.most {
		return CannotTell{RetryAfter: k.window}
	}
	k.entries[id] = &claim{request: request, attempt: attempt, at: now, running: true}
	k.order = append(k.order, id)
	return First{}
}

// canTell reports whether a key not remembered here was never used in the window.
func (k *Keys) canTell(key string, now time.Time) bool {
	made, timed := keyTime(key)
	if timed {
		inTime := made.After(now.Add(-k.window+Skew)) && made.Before(now.Add(Skew))
		return inTime && made.After(k.since.Add(Skew))
	}
	return now.Sub(k.since) > k.window
}

func keyTime(key string) (time.Time, bool) {
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != 7 {
		return time.Time{}, false
	}
	seconds, nanos := u.Time().UnixTime()
	return time.Unix(seconds, nanos), true
}

// Release forgets a key whose request did not run.
func (k *Keys) Release(id KeyID, request string) {
	if c, known := k.entries[id]; known && c.request == request {
		delete(k.entries, id)
	}
}

// Settle tells how the request of a key ended.
func (k *Keys) Settle(id KeyID, request string, unknown bool) {
	if c, known := k.entries[id]; known && c.request == request {
		c.running = false
		c.unknown = unknown
	}
}

func (k *Keys) expire(now time.Time) {
	for len(k.order) > 0 {
		id := k.order[0]
		c, known := k.entries[id]
		if known && (c.running || now.Sub(c.at) <= k.window) {
			return
		}
		delete(k.entries, id)
		k.order = k.order[1:]
	}
}
