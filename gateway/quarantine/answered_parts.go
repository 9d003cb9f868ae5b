package quarantine

import (
	"hash/maphash"
	"time"
)

const (
	// answeredPartTTL is how long an answer counts as evidence that servers did not crash on a part
	// at that time.
	answeredPartTTL = 5 * time.Minute
	// maxAnsweredParts bounds the parts remembered; beyond it, those added first are evicted, and one
	// that many requests share is added again by the next answer. At 46 answers per second, each with
	// a part of its conversation, this covers three minutes and takes 1 MB.
	maxAnsweredParts = 8192
)

// AnsweredParts remembers which parts of prompts were in requests that were answered completely.
// The zero value is empty and ready to use.
type AnsweredParts struct {
	seed   maphash.Seed
	byHash map[uint64]int // index in ring, by a hash that is cheaper than the key
	byKey  map[Key]int
	ring   []answeredPart // in order of insertion
	oldest int            // index of the oldest entry in ring once it is full
}

// answeredPart is a part of prompts and its latest answer.
type answeredPart struct {
	hash       uint64
	key        Key
	answeredAt time.Time
}

// Add records that a request with a part was answered, and returns the part's key.
func (a *AnsweredParts) Add(now time.Time, p Part) Key {
	if a.byHash == nil {
		a.seed = maphash.MakeSeed()
		a.byHash = map[uint64]int{}
		a.byKey = map[Key]int{}
	}
	hash := maphash.Comparable(a.seed, p)
	if i, known := a.byHash[hash]; known {
		a.ring[i].answeredAt = now
		return a.ring[i].key
	}
	entry := answeredPart{hash: hash, key: KeyOfPart(p), answeredAt: now}
	i := len(a.ring)
	if i < maxAnsweredParts {
		a.ring = append(a.ring, entry)
	} else {
		i = a.oldest
		delete(a.byHash, a.ring[i].hash)
		delete(a.byKey, a.ring[i].key)
		a.ring[i] = entry
		a.oldest = (a.oldest + 1) % maxAnsweredParts
	}
	a.byHash[hash] = i
	a.byKey[entry.key] = i
	return entry.key
}

// Contains reports whether a request with a part was answered within the last answeredPartTTL.
func (a *AnsweredParts) Contains(now time.Time, k Key) bool {
	i, known := a.byKey[k]
	return known && now.Sub(a.ring[i].answeredAt) < answeredPartTTL
}
