package attempt

import (
	"time"

	"github.com/google/uuid"
)

// Claimed is what an agent says to a caller's idempotency key: [First], [Repeat]
// or [CannotTell].
type ClaimResult interface{ claimResult() }

// First says that the key was not used in the window; the request may run.
type NewKey struct{}

// Repeat says that an earlier request used the key, and where it stands.
type Duplicate struct {
	Request string // id of the earlier request
	Attempt uint32
	Running bool
	Unknown bool // its outcome cannot be known
}

// CannotTell says that an earlier owner of the key may have run it.
type Indeterminate struct{ RetryAfter time.Duration }

func (NewKey) claimResult()        {}
func (Duplicate) claimResult()     {}
func (Indeterminate) claimResult() {}

// Skew is how far the clocks of callers and hosts may be apart, and how long a
// change of configuration may take to be in force at every agent.
const MaxClockSkew = 2 * time.Minute

// KeyID names a caller's idempotency key; accounts cannot meet in one.
type KeyID struct {
	Account uint32
	Key     string
}

// Keys remembers callers' idempotency keys at the one agent that owns them. A key
// that carries its own time (a version 7 UUID) can be told to be new from its
// first moment; any other only when the owner has watched for a whole window. It
// is for one goroutine.
type KeyStore struct {
	window       time.Duration
	maxEntries   int
	watchedSince time.Time // from when on every use of a key was seen here
	entries      map[KeyID]*claim
	order        []KeyID // oldest first
}

type claim struct {
	request string
	attempt uint32
	at      time.Time
	running bool
	unknown bool
}

// NewKeys returns an empty memory that has watched since now.
func NewKeyStore(window time.Duration, most int, now time.Time) *KeyStore {
	return &KeyStore{window: window, maxEntries: most, watchedSince: now, entries: map[KeyID]*claim{}}
}

// Moved tells that keys owned by others until now may be owned here from now on.
func (k *KeyStore) OwnershipChanged(now time.Time) { k.watchedSince = now }

// Claim asks whether a request with this key may run, and if so remembers it.
func (k *KeyStore) Claim(id KeyID, request string, attempt uint32, now time.Time) ClaimResult {
	k.expire(now)
	if c, known := k.entries[id]; known {
		return Duplicate{Request: c.request, Attempt: c.attempt, Running: c.running, Unknown: c.unknown}
	}
	if !k.isProvablyNew(id.Key, now) {
		return Indeterminate{RetryAfter: k.watchedSince.Add(k.window).Sub(now)}
	}
	if len(k.entries) >= k.maxEntries {
		return Indeterminate{RetryAfter: k.window}
	}
	k.entries[id] = &claim{request: request, attempt: attempt, at: now, running: true}
	k.order = append(k.order, id)
	return NewKey{}
}

// canTell reports whether a key not remembered here was never used in the window.
func (k *KeyStore) isProvablyNew(key string, now time.Time) bool {
	made, timed := keyTime(key)
	if timed {
		inTime := made.After(now.Add(-k.window+MaxClockSkew)) && made.Before(now.Add(MaxClockSkew))
		return inTime && made.After(k.watchedSince.Add(MaxClockSkew))
	}
	return now.Sub(k.watchedSince) > k.window
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
func (k *KeyStore) Release(id KeyID, request string) {
	if c, known := k.entries[id]; known && c.request == request {
		delete(k.entries, id)
	}
}

// Settle tells how the request of a key ended.
func (k *KeyStore) RecordOutcome(id KeyID, request string, unknown bool) {
	if c, known := k.entries[id]; known && c.request == request {
		c.running = false
		c.unknown = unknown
	}
}

func (k *KeyStore) expire(now time.Time) {
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
