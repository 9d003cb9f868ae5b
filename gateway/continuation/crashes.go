package continuation

import (
	"math"
	"slices"
	"time"
)

// Figures of the estimate of how often servers crash.
const (
	// crashMemory is the time constant with which earlier crashes lose weight. A fleet's machines and
	// software hardly change within it.
	crashMemory = time.Hour
	// priorTime is how long a fleet is taken to have served without a crash before this planner was
	// made, so that the first crash does not look like the usual rate.
	priorTime = 30 * time.Minute
	// sameCause is the time within which crashes count as simultaneous: entries of crashed servers go
	// after 3 to 6 s.
	sameCause = 6 * time.Second
	// Before crashes were seen, one in twenty is taken to follow others; this has the weight of ten
	// crashes. With one in ten, three single crashes in a quarter of an hour had twice as many runs backed up.
	priorFollowed = 0.5
	priorCrashes  = 10
)

// crashHistory estimates how often servers crash. The rate is the sum of two: the rate in the long run,
// and a momentary one, since a cause that has ended servers, such as a request or a host, may end more. The latter
// is the rate within the window times the share of crashes that followed others. A single crash
// therefore says little, and simultaneous ones, or crashes that were followed by others, say much.
type crashHistory struct {
	window   time.Duration
	servers  int
	at       time.Time // of exposure and the counts
	exposure float64   // server-seconds
	count    float64
	followed float64 // of these, crashes that followed others within the window
	recent   []crash // within the window, oldest first
}

type crash struct {
	server  string
	at      time.Time
	follows bool // others came before it, though not simultaneously
}

// advance moves the history to a time, from which on the fleet has so many servers.
func (h *crashHistory) advance(now time.Time, servers int) {
	if passed := now.Sub(h.at); !h.at.IsZero() && passed > 0 {
		kept := math.Exp(-passed.Seconds() / crashMemory.Seconds())
		h.exposure = h.exposure*kept + float64(h.servers)*passed.Seconds()
		h.count, h.followed = h.count*kept, h.followed*kept
	}
	h.at, h.servers = now, servers
	for len(h.recent) > 0 && now.Sub(h.recent[0].at) > h.window {
		h.recent = h.recent[1:]
	}
}

// add records a crash; further reports of the same one are ignored.
func (h *crashHistory) add(now time.Time, server string) {
	h.advance(now, h.servers)
	if slices.ContainsFunc(h.recent, func(c crash) bool { return c.server == server }) {
		return
	}
	c := crash{server, now, len(h.recent) > 0 && now.Sub(h.recent[0].at) > sameCause}
	h.recent = append(h.recent, c)
	h.count++
	if c.follows {
		h.followed++
	}
}

// remove takes back the crash of a server that is there again in the same lifetime.
func (h *crashHistory) remove(server string) {
	i := slices.IndexFunc(h.recent, func(c crash) bool { return c.server == server })
	if i < 0 {
		return
	}
	h.count = max(h.count-1, 0)
	if h.recent[i].follows {
		h.followed = max(h.followed-1, 0)
	}
	h.recent = slices.Delete(h.recent, i, i+1)
}

// rate returns the expected crashes of a server in a second.
func (h *crashHistory) rate(now time.Time) float64 {
	h.advance(now, h.servers)
	servers := float64(max(h.servers, 1))
	lasting := h.count / (h.exposure + servers*priorTime.Seconds())
	momentary := float64(len(h.recent)) / (servers * h.window.Seconds())
	return lasting + momentary*(priorFollowed+h.followed)/(priorCrashes+h.count)
}

// together returns the share of servers that crashed within the window, a bound on the chance that a
// server crashes together with another.
func (h *crashHistory) together() float64 {
	n := float64(len(h.recent))
	return n / max(n+float64(h.servers), 1)
}
