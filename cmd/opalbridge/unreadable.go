package main

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// At most maxUnreadableLines unreadable entries are logged in each unreadableLogWindow, so
// that thousands of them cost little. All are counted.
const (
	unreadableLogWindow = time.Minute
	maxUnreadableLines  = 10
)

// unreadableEntries counts and logs entries in the platform's store that cannot be read. It
// is safe for concurrent use.
type unreadableEntries struct {
	log         zerolog.Logger
	mutex       sync.Mutex
	windowStart time.Time
	lines       int
	count       int64
}

// record counts an entry and logs it unless the current window has reached its limit.
func (u *unreadableEntries) record(err error) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.count++
	now := time.Now()
	if u.windowStart.IsZero() || now.Sub(u.windowStart) >= unreadableLogWindow {
		u.windowStart, u.lines = now, 0
	}
	if u.lines++; u.lines > maxUnreadableLines {
		return
	}
	u.log.Error().Str("event", "store.unreadable").Err(err).Int64("count", u.count).Msg("store entry is unreadable and ignored")
}

// total returns the number of entries recorded since the start.
func (u *unreadableEntries) total() int64 {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.count
}
