package dispatch

// Health is what a server seems to be in.
type Health string

// The healths.
const (
	Healthy   Health = "healthy"
	Unhealthy Health = "sick"    // it failed several times in a row; nothing is sent
	Probing   Health = "probing" // one call is let through to find out
)

// Limit decides how many requests an agent lets its server hold: few at first,
// more with each success, fewer when the server queues by itself, none when it
// keeps failing, then one as a probe. The server's own reports lag, so they only
// ever lower the limit by one; successes raise it again.
type ConcurrencyLimit struct {
	max          int
	current      int
	health       Health
	failures     int
	ticksToProbe int  // ticks until the next probe
	backoff      int  // ticks the next pause lasts
	slowStart    bool // a new server's limit grows with time too
}

const (
	unhealthyThreshold   = 3  // failures in a row
	minBackoff           = 1  // ticks
	maxBackoff           = 30 // ticks
	slowStartDivisor     = 4  // a new server starts with one part in so many
	slowStartStepDivisor = 8  // and gets one part in so many more each tick
)

// NewLimit returns the limit of a server that has just come.
func NewConcurrencyLimit(most int) *ConcurrencyLimit {
	return &ConcurrencyLimit{max: most, current: max(1, most/slowStartDivisor), health: Healthy, backoff: minBackoff, slowStart: true}
}

// Now returns how many requests the server may hold.
func (l *ConcurrencyLimit) Current() int { return l.current }

// Health returns what the server seems to be in.
func (l *ConcurrencyLimit) Health() Health { return l.health }

// SetMost changes the most that the server takes.
func (l *ConcurrencyLimit) SetMax(most int) {
	l.max = max(1, most)
	l.current = min(l.current, l.max)
}

// Success tells that a call ended well.
func (l *ConcurrencyLimit) Success() {
	l.failures = 0
	l.backoff = minBackoff
	if l.health != Healthy {
		l.health = Healthy
		l.current = 1
	}
	l.current = min(l.current+1, l.max)
}

// Failure tells that a call failed by the server's fault.
func (l *ConcurrencyLimit) Failure() {
	l.failures++
	l.slowStart = false
	if l.health == Healthy && l.failures < unhealthyThreshold {
		return
	}
	l.health = Unhealthy
	l.current = 0
	l.ticksToProbe = l.backoff
	l.backoff = min(l.backoff*2, maxBackoff)
}

// Queued tells that the server reported calls waiting inside it.
func (l *ConcurrencyLimit) OnServerQueueing() {
	l.slowStart = false
	if l.health == Healthy {
		l.current = max(1, l.current-1)
	}
}

// Tick tells that a second has passed. A new server's limit grows with time until
// it is full, queues or fails: long answers would keep it small for as long as they
// last.
func (l *ConcurrencyLimit) Tick() {
	if l.slowStart {
		l.current = min(l.current+max(1, l.max/slowStartStepDivisor), l.max)
		l.slowStart = l.current < l.max
	}
	if l.health != Unhealthy {
		return
	}
	l.ticksToProbe--
	if l.ticksToProbe <= 0 {
		l.health = Probing
		l.current = 1
	}
}
