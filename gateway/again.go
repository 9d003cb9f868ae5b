package gateway

import (
	"sync"
	"time"

	"opalbridge.dev/gateway/protocol"
)

const (
	// A caller whose deadline is so much shorter than the longest one of its route
	// has spent time on it before: it was refused and has come back.
	spentBefore = 50 * time.Millisecond
	// Routes remembered; a configuration holds some hundred.
	mostStarts = 4096
)

// starts remembers with how long a deadline callers of each route begin, which tells
// how long ago those that come back tried first. It is safe for use by several
// goroutines. Its zero value is ready.
type starts struct {
	mutex   sync.Mutex
	longest map[string]time.Duration // by route
}

// spent returns how long ago a caller tried first, if its request looks like one that has
// come back; 0: it is the first try.
func (s *starts) spent(route string, told protocol.Request) time.Duration {
	if !told.HasDeadline {
		return 0
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.longest == nil || len(s.longest) > mostStarts {
		s.longest = map[string]time.Duration{}
	}
	longest := s.longest[route]
	if told.Deadline > longest {
		s.longest[route] = told.Deadline
		return 0
	}
	spent := longest - told.Deadline
	if spent <= spentBefore {
		return 0
	}
	return spent
}
