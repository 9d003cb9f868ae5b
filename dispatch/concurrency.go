package dispatch

// Health is the state of a server as seen from the results of its calls.
type Health string

// The health states.
const (
	Healthy   Health = "healthy"
	Unhealthy Health = "sick"    // failed several times in a row; no requests are sent
	Probing   Health = "probing" // one request is sent to test it
)

// ConcurrencyLimit is the adaptive limit of concurrent requests to a server. It starts
// low, rises with each success, falls when the server queues requests itself, and is
// zero while the server keeps failing, after which one request is sent as a probe.
// The server's reports of its queue lag behind, so each lowers the limit only by one;
// successes raise it again. A ConcurrencyLimit is not safe for concurrent use.
type ConcurrencyLimit struct {
	max          int
	current      int
	health       Health
	failures     int
	ticksToProbe int  // ticks until the next probe
	backoff      int  // ticks to wait after the next failure
	slowStart    bool // a new server's limit also grows with time
}

const (
	unhealthyThreshold   = 3  // consecutive failures
	minBackoff           = 1  // ticks
	maxBackoff           = 30 // ticks
	slowStartDivisor     = 4  // a new server starts with max/4
	slowStartStepDivisor = 8  // and grows by max/8 each tick
)

// NewConcurrencyLimit returns the limit of a new server that accepts at most
// maxRequests concurrent requests.
func NewConcurrencyLimit(maxRequests int) *ConcurrencyLimit {
	return &ConcurrencyLimit{max: maxRequests, current: max(1, maxRequests/slowStartDivisor), health: Healthy, backoff: minBackoff, slowStart: true}
}

// Current returns the current limit.
func (l *ConcurrencyLimit) Current() int { return l.current }

// Health returns the health of the server.
func (l *ConcurrencyLimit) Health() Health { return l.health }

// SetMax changes the maximum of the limit.
func (l *ConcurrencyLimit) SetMax(maxRequests int) {
	l.max = max(1, maxRequests)
	l.current = min(l.current, l.max)
}

// Success records that a call succeeded.
func (l *ConcurrencyLimit) Success() {
	l.failures = 0
	l.backoff = minBackoff
	if l.health != Healthy {
		l.health = Healthy
		l.current = 1
	}
	l.current = min(l.current+1, l.max)
}

// Failure records that a call failed through the server's fault.
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

// OnServerQueueing records that the server reported requests in its own queue.
func (l *ConcurrencyLimit) OnServerQueueing() {
	l.slowStart = false
	if l.health == Healthy {
		l.current = max(1, l.current-1)
	}
}

// Tick records that one second has passed. A new server's limit grows with time until
// it reaches the maximum, or the server queues requests or fails. If it grew with
// successes only, long responses would keep it low for as long as they last.
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
