package main

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Entries that can't be read are told in the log up to this often, so that thousands of them
// cost little; all are counted.
const (
	unreadableLogWindow = time.Minute
	maxUnreadableLines  = 10
)

// unreadableEntries hears of entries in the platform's store that can't be read. It is safe for use
// by several goroutines.
type unreadableEntries struct {
	log   zerolog.Logger
	mutex sync.Mutex
	since time.Time // when the lines were counted from
	lines int
	count int64
}

// record counts an entry, and tells of it if that was not done often lately.
func (u *unreadableEntries) record(err error) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.count++
	now := time.Now()
	if u.since.IsZero() || now.Sub(u.since) >= unreadableLogWindow {
		u.since, u.lines = now, 0
	}
	if u.lines++; u.lines > maxUnreadableLines {
		return
	}
	u.log.Error().Str("event", "store.unreadable").Err(err).Int64("count", u.count).Msg("names no server to use")
}

// total returns how many were heard of since the start.
func (u *unreadableEntries) total() int64 {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.count
}
