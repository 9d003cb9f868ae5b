package main

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Entries that can't be read are told in the log up to this often, so that thousands of them
// cost little; all are counted.
const (
	unreadableEvery = time.Minute
	unreadableLines = 10
)

// unreadable hears of entries in the platform's store that can't be read. It is safe for use
// by several goroutines.
type unreadable struct {
	log   zerolog.Logger
	mutex sync.Mutex
	since time.Time // when the lines were counted from
	lines int
	count int64
}

// hear counts an entry, and tells of it if that was not done often lately.
func (u *unreadable) hear(err error) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.count++
	now := time.Now()
	if u.since.IsZero() || now.Sub(u.since) >= unreadableEvery {
		u.since, u.lines = now, 0
	}
	if u.lines++; u.lines > unreadableLines {
		return
	}
	u.log.Error().Str("event", "store.unreadable").Err(err).Int64("count", u.count).Msg("names no server to use")
}

// total returns how many were heard of since the start.
func (u *unreadable) total() int64 {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.count
}
