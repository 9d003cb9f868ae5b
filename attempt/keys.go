package attempt

import (
	"time"

	"github.com/google/uuid"
)

// ClaimResult is the result of claiming a caller's idempotency key: [NewKey],
// [Duplicate] or [Indeterminate].
type ClaimResult interface{ claimResult() }

// NewKey means that the key was not used within the window; the request may run.
type NewKey struct{}

// Duplicate means that an earlier request used the key, and holds its status.
type Duplicate struct {
	Request string // ID of the earlier request
	Attempt uint32
	Running bool
	Unknown bool // its outcome cannot be determined
}

// Indeterminate means that a request with this key may have run unrecorded, for
// example at an earlier owner of the key. It is also the result when the store is
// full.
type Indeterminate struct{ RetryAfter time.Duration }

func (NewKey) claimResult()        {}
func (Duplicate) claimResult()     {}
func (Indeterminate) claimResult() {}

// MaxClockSkew is the largest difference between the clocks of callers and hosts that
// is tolerated, and the longest time that a change of the configuration may take to
// reach every agent.
const MaxClockSkew = 2 * time.Minute

// KeyID identifies a caller's idempotency key. Equal keys of different accounts are
// different.
type KeyID struct {
	Account uint32
	Key     string
}

// KeyStore records callers' idempotency keys at the agent that owns them. A key that
// contains its creation time (a version 7 UUID) can be proven new if it was created
// after the owner began to watch; any other key only after the owner has watched
// for a whole window. A KeyStore is not safe for concurrent use.
type KeyStore struct {
	window       time.Duration
	maxEntries   int
	watchedSince time.Time // every use of an owned key since then is recorded
	entries      map[KeyID]*claim
	order        []KeyID // oldest first
}

// claim is the recorded use of a key.
type claim struct {
	request string
	attempt uint32
	claimed time.Time
	running bool
	unknown bool
}

// NewKeyStore returns an empty store that watches from now on.
func NewKeyStore(window time.Duration, maxEntries int, now time.Time) *KeyStore {
	return &KeyStore{window: window, maxEntries: maxEntries, watchedSince: now, entries: map[KeyID]*claim{}}
}

// OwnershipChanged records that keys which other agents owned may be owned by this
// agent from now on.
func (k *KeyStore) OwnershipChanged(now time.Time) { k.watchedSince = now }

// Claim determines whether a request with this key may run, and if so records it.
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
	k.entries[id] = &claim{request: request, attempt: attempt, claimed: now, running: true}
	k.order = append(k.order, id)
	return NewKey{}
}

// isProvablyNew reports whether a key that is not recorded was certainly not used
// within the window.
func (k *KeyStore) isProvablyNew(key string, now time.Time) bool {
	created, ok := keyTime(key)
	if ok {
		inWindow := created.After(now.Add(-k.window+MaxClockSkew)) && created.Before(now.Add(MaxClockSkew))
		return inWindow && created.After(k.watchedSince.Add(MaxClockSkew))
	}
	return now.Sub(k.watchedSince) > k.window
}

// keyTime returns the creation time of a version 7 UUID, and false for any other key.
func keyTime(key string) (time.Time, bool) {
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != 7 {
		return time.Time{}, false
	}
	seconds, nanos := u.Time().UnixTime()
	return time.Unix(seconds, nanos), true
}

// Release removes a key whose request did not run.
func (k *KeyStore) Release(id KeyID, request string) {
	if c, known := k.entries[id]; known && c.request == request {
		delete(k.entries, id)
	}
}

// RecordOutcome records that the request of a key has ended, and whether its outcome
// is unknown.
func (k *KeyStore) RecordOutcome(id KeyID, request string, unknown bool) {
	if c, known := k.entries[id]; known && c.request == request {
		c.running = false
		c.unknown = unknown
	}
}

// expire removes the keys older than the window, up to the oldest that is still
// running.
func (k *KeyStore) expire(now time.Time) {
	for len(k.order) > 0 {
		id := k.order[0]
		c, known := k.entries[id]
		if known && (c.running || now.Sub(c.claimed) <= k.window) {
			return
		}
		delete(k.entries, id)
		k.order = k.order[1:]
	}
}
