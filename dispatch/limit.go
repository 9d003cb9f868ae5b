package dispatch

// Health is what a server seems to be in.
type Health string

// The healths.
const (
	Healthy Health = "healthy"
	Sick    Health = "sick"    // it failed several times in a row; nothing is sent
	Probing Health = "probing" // one call is let through to find out
)

// Limit decides how many requests an agent lets its server hold: few at first,
// more with each success, fewer when the server queues by itself, none when it
// keeps failing, then one as a probe. The server's own reports lag, so they only
// ever lower the limit by one; successes raise it again.
type Limit struct {
	most     int
	now      int
	health   Health
	failures int
	pause    int  // ticks until the next probe
	backoff  int  // ticks the next pause lasts
	starting bool // a new server's limit grows with time too
}

const (
	sickAfter     = 3  // failures in a row
	firstBackoff  = 1  // ticks
	longestPause  = 30 // ticks
	slowStartPart = 4  // a new server starts with one part in so many
	startingPart  = 8  // and gets one part in so many more each tick
)

// NewLimit returns the limit of a server that has just come.
func NewLimit(most int) *Limit {
	return &Limit{most: most, now: max(1, most/slowStartPart), health: Healthy, backoff: firstBackoff, starting: true}
}

// Now returns how many requests the server may hold.
func (l *Limit) Now() int { return l.now }

// Health returns what the server seems to be in.
func (l *Limit) Health() Health { return l.health }

// SetMost changes the most that the server takes.
func (l *Limit) SetMost(most int) {
	l.most = max(1, most)
	l.now = min(l.now, l.most)
}

// Success tells that a call ended well.
func (l *Limit) Success() {
	l.failures = 0
	l.backoff = firstBackoff
	if l.health != Healthy {
		l.health = Healthy
		l.now = 1
	}
	l.now = min(l.now+1, l.most)
}

// Failure tells that a call failed by the server's fault.
func (l *Limit) Failure() {
	l.failures++
	l.starting = false
	if l.health == Healthy && l.failures < sickAfter {
		return
	}
	l.health = Sick
	l.now = 0
	l.pause = l.backoff
	l.backoff = min(l.backoff*2, longestPause)
}

// Queued tells that the server reported calls waiting inside it.
func (l *Limit) Queued() {
	l.starting = false
	if l.health == Healthy {
		l.now = max(1, l.now-1)
	}
}

// Tick tells that a second has passed. A new server's limit grows with time until
// it is full, queues or fails: long answers would keep it small for as long as they
// last.
func (l *Limit) Tick() {
	if l.starting {
		l.now = min(l.now+max(1, l.most/startingPart), l.most)
		l.starting = l.now < l.most
	}
	if l.health != Sick {
		return
	}
	l.pause--
	if l.pause <= 0 {
		l.health = Probing
		l.now = 1
	}
}
