// Package continuation decides which running requests move to another backend server and which are
// backed up to one.
//
// # Usage
//
//	p := continuation.NewPlanner(continuation.DefaultLimits())
//	p.SetFleet(now, servers, gateways)
//	if p.WorthBackup(now, run) {
//		target, ok := p.Backup(run, servers) // when the request is sent
//	}
//	switch d := p.Leaving(now, run, left, servers).(type) {
//	case continuation.Move: // copy it to d.Target, then call p.MoveEnded(d.Target)
//	case continuation.Wait: // ask again after d.For
//	case continuation.Stay: // leave it where it is
//	}
//
// Load: servers that leave or crash during runs of several seconds. A run moves off a leaving server
// if it would not end in the time that is left there. A run is backed up if the time that this is
// expected to save its caller exceeds the copy's time on the links: its chance of a crash, which is learned from
// those that the fleet has seen, times the time that a crash would cost. The links' time is bounded,
// so that copies of runs never take much from copies of cached prompts.
//
// The package does no locking and no I/O and does not read the clock. A Planner must be used by one
// goroutine only.
package continuation

import (
	"cmp"
	"time"
)

// Limits bounds what a gateway moves and backs up.
type Limits struct {
	MaxMoves      int           // moves in progress
	LinkShare     float64       // share of the links' time that all gateways together may use
	LinkBurst     time.Duration // time for which unused link time accumulates
	BackupReserve float64       // share of the accumulated link time that backups leave for moves
	Margin        time.Duration // a run that ends later than this before its server's end moves
	MoveOverhead  time.Duration // time of a move in addition to the copy
	MinBackup     time.Duration // expected duration from which on a run is backed up
	CrashWindow   time.Duration // time for which crashes make others more likely
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{
		MaxMoves:      8,
		LinkShare:     0.1,
		LinkBurst:     5 * time.Second, // the runs of a gateway at a server that leaves, a dozen, move at once
		BackupReserve: 0.5,
		Margin:        500 * time.Millisecond,
		MoveOverhead:  100 * time.Millisecond, // two calls to the source and one to the target
		MinBackup:     time.Second,
		CrashWindow:   30 * time.Second,
	}
}

// Intervals at which a run at a leaving server is considered again.
const (
	retryInterval   = 25 * time.Millisecond // a move in progress takes about as long
	recheckInterval = 250 * time.Millisecond
)

// overrunShare is the share of what a run has answered that it is assumed to answer yet, if it has
// reached its expected length.
const overrunShare = 0.25

// Run describes a run.
type Run struct {
	Service       string
	Hall          string // of its server
	PromptTokens  int
	OutputTokens  int           // expected length of the answer; 0: unknown
	EventTokens   int           // tokens in an event; 0: unknown
	Events        int           // events so far
	EventInterval time.Duration // mean interval between these; 0: unknown
	FirstEvent    time.Duration // predicted time from now to the first event, if there was none
	Remaining     time.Duration // until its answer is of no use to the caller
	BytesPerToken int           // size of its memory
	LinkMbps      float64       // bandwidth of its server for copies
	TieBreak      uint64        // chooses among servers of similar load, so that gateways choose different ones
}

// Server is a server that may take a run.
type Server struct {
	ID      string
	Hall    string
	Running int // requests there
	Slots   int // 0: unknown
}

// Decision is what becomes of a run at a leaving server.
type Decision interface{ decision() }

// Move copies the run to the target. The move counts as in progress until [Planner.MoveEnded].
type Move struct{ Target string }

// Wait means that the run should be considered again.
type Wait struct {
	For    time.Duration
	Reason Reason
}

// Stay leaves the run where it is.
type Stay struct{ Reason Reason }

func (Move) decision() {}
func (Wait) decision() {}
func (Stay) decision() {}

// Reason says why a run does not move.
type Reason string

// Reasons why a run does not move.
const (
	EndsInTime   Reason = "it ends in time"
	NoTime       Reason = "too little time is left for a copy"
	NoTarget     Reason = "no server can take it"
	TooManyMoves Reason = "too many moves are in progress"
	LinksBusy    Reason = "the links' time is used up"
)

// Planner decides which runs move and which are backed up.
type Planner struct {
	limits   Limits
	linkRate float64 // seconds of link time that this gateway may use in a second
	linkTime float64 // accumulated seconds of link time
	filledAt time.Time
	moves    int            // in progress
	incoming map[string]int // moves in progress, by target
	backups  map[string]int // runs that are backed up, by target
	crashes  crashHistory
	paces    map[string]time.Duration // mean event interval, by service
}

// NewPlanner returns a planner for a fleet that is still unknown.
func NewPlanner(l Limits) *Planner {
	return &Planner{limits: l, crashes: crashHistory{window: l.CrashWindow}, incoming: map[string]int{}, backups: map[string]int{}, paces: map[string]time.Duration{}}
}

// SetFleet sets the number of servers that copy runs, and of gateways that share their links.
func (p *Planner) SetFleet(now time.Time, servers, gateways int) {
	unknown := p.linkRate == 0
	p.fill(now)
	p.crashes.advance(now, servers)
	p.linkRate = p.limits.LinkShare * float64(servers) / float64(max(gateways, 1))
	if unknown {
		p.linkTime = p.maxLinkTime()
	}
	p.linkTime = min(p.linkTime, p.maxLinkTime())
}

func (p *Planner) maxLinkTime() float64 { return p.linkRate * p.limits.LinkBurst.Seconds() }

// fill accumulates link time.
func (p *Planner) fill(now time.Time) {
	if !p.filledAt.IsZero() {
		p.linkTime = min(p.linkTime+p.linkRate*max(now.Sub(p.filledAt), 0).Seconds(), p.maxLinkTime())
	}
	p.filledAt = now
}

// RecordPace records the mean interval between the events of a run that has ended.
func (p *Planner) RecordPace(service string, interval time.Duration) {
	if interval <= 0 {
		return
	}
	const weight = 8 // runs that the mean covers
	if old, known := p.paces[service]; known {
		interval = old + (interval-old)/weight
	}
	p.paces[service] = interval
}

// RecordCrash records the crash of a server; further reports of the same crash are ignored.
func (p *Planner) RecordCrash(now time.Time, server string) { p.crashes.add(now, server) }

// RecordBack takes back the crash of a server whose entry had only lapsed.
func (p *Planner) RecordBack(server string) { p.crashes.remove(server) }

// Leaving decides on a run whose server ends when the given time has passed.
func (p *Planner) Leaving(now time.Time, r Run, left time.Duration, servers []Server) Decision {
	left -= p.limits.Margin
	if p.timeToEnd(r) <= left {
		return Wait{recheckInterval, EndsInTime} // the estimate may be too short, or the run may get slower
	}
	if left < p.limits.MoveOverhead {
		return Stay{NoTime}
	}
	if p.moves >= p.limits.MaxMoves {
		return Wait{retryInterval, TooManyMoves}
	}
	target, ok := p.target(r, servers)
	if !ok {
		return Wait{recheckInterval, NoTarget} // a slot may become free
	}
	copying := r.copyTime(r.PromptTokens+r.answered(), target.Hall)
	if copying+p.limits.MoveOverhead > left {
		return Stay{NoTime}
	}
	p.fill(now)
	if p.linkTime < copying.Seconds() {
		return Wait{retryInterval, LinksBusy}
	}
	p.linkTime -= copying.Seconds()
	p.moves++
	p.incoming[target.ID]++
	return Move{Target: target.ID}
}

// MoveEnded records the end of a move in progress.
func (p *Planner) MoveEnded(target string) {
	p.moves--
	release(p.incoming, target)
}

// target returns the server that a run moves to: one of its hall if there is one, and one of the least
// loaded of these.
func (p *Planner) target(r Run, servers []Server) (Server, bool) {
	return least(servers, func(s Server) bool { return s.hasSlot(p.incoming[s.ID] + p.backups[s.ID]) }, func(x, y Server) int {
		if c := cmp.Compare(hallRank(r, x), hallRank(r, y)); c != 0 {
			return c
		}
		return r.compareLoad(x, y, p.incoming)
	})
}

// WorthBackup reports whether the time that a backup is expected to save the caller of a run that is
// about to be sent exceeds the backup's time on the links, and there is such time. Copies delay others on
// busy links by their own time, and by less on idle ones.
func (p *Planner) WorthBackup(now time.Time, r Run) bool {
	copying := p.backupTime(r)
	if p.savedByBackup(now, r) <= copying {
		return false
	}
	p.fill(now)
	return p.linkTime-copying.Seconds() >= p.limits.BackupReserve*p.maxLinkTime()
}

// savedByBackup returns the time that a backup is expected to save. A caller whose run is lost begins
// anew and loses the time that has passed, half of the run's on average. A run of unknown length has no
// expected time.
func (p *Planner) savedByBackup(now time.Time, r Run) time.Duration {
	duration := p.duration(r)
	if duration <= p.limits.MinBackup {
		return 0
	}
	chance := min(p.crashes.rate(now)*duration.Seconds(), 1) * (1 - p.crashes.together())
	return time.Duration(chance * float64(duration) / 2)
}

// defaultPace is the event interval of a service that is not known yet: five tokens of 10 ms.
const defaultPace = 50 * time.Millisecond

// duration returns the expected time that a run takes that is about to be sent; 0: unknown.
func (p *Planner) duration(r Run) time.Duration {
	if r.OutputTokens == 0 {
		return 0
	}
	events := float64(r.OutputTokens) / float64(max(r.EventTokens, 1))
	return min(r.FirstEvent+time.Duration(events*float64(p.pace(r))), r.Remaining)
}

// pace returns the expected interval between a run's events.
func (p *Planner) pace(r Run) time.Duration {
	return cmp.Or(r.EventInterval, p.paces[r.Service], defaultPace)
}

// backupTime returns the time that a backup of a run that is about to be sent takes on the links, for
// as many tokens as it can answer in its time.
func (p *Planner) backupTime(r Run) time.Duration {
	answered := float64(max(p.duration(r)-r.FirstEvent, 0)) / float64(p.pace(r)) * float64(max(r.EventTokens, 1))
	return r.copyTime(r.PromptTokens+int(answered), r.Hall)
}

// Backup returns the server of the run's hall at which a run that is worth it is backed up. The run
// counts as backed up there until [Planner.BackupEnded].
func (p *Planner) Backup(r Run, servers []Server) (target string, ok bool) {
	best, ok := least(servers, func(s Server) bool { return s.Hall == r.Hall && s.hasSlot(p.incoming[s.ID]+p.backups[s.ID]) }, func(x, y Server) int {
		if c := cmp.Compare(p.backups[x.ID], p.backups[y.ID]); c != 0 {
			return c
		}
		return r.compareLoad(x, y, p.incoming)
	})
	if !ok {
		return "", false
	}
	p.linkTime -= p.backupTime(r).Seconds()
	p.backups[best.ID]++
	return best.ID, true
}

// BackupEnded records the end of a run that was backed up.
func (p *Planner) BackupEnded(target string) { release(p.backups, target) }

func release(counts map[string]int, server string) {
	if counts[server]--; counts[server] <= 0 {
		delete(counts, server)
	}
}

// least returns the first server in the order of compare among those that qualify.
func least(servers []Server, qualifies func(Server) bool, compare func(x, y Server) int) (best Server, ok bool) {
	for _, s := range servers {
		if qualifies(s) && (!ok || compare(s, best) < 0) {
			best, ok = s, true
		}
	}
	return best, ok
}

// hasSlot reports whether a server has a slot for one more run beside those that are coming.
func (s Server) hasSlot(coming int) bool { return s.Slots == 0 || s.Running+coming < s.Slots }

// loadSteps is the number of steps of load within which servers count as equally loaded. All gateways
// that have runs at a leaving server choose targets at the same time.
const loadSteps = 10

// loadStep returns the share of a server's slots that are in use, in steps.
func (s Server) loadStep(coming int) int { return loadSteps * (s.Running + coming) / max(s.Slots, 1) }

// compareLoad orders servers by load, and those of similar load differently for each run.
func (r Run) compareLoad(x, y Server, incoming map[string]int) int {
	if c := cmp.Compare(x.loadStep(incoming[x.ID]), y.loadStep(incoming[y.ID])); c != 0 {
		return c
	}
	return cmp.Compare(r.rank(x), r.rank(y))
}

// rank returns the rank of a server among those of similar load (FNV-1a, mixed since IDs differ in
// their last characters only).
func (r Run) rank(s Server) uint64 {
	h := r.TieBreak ^ 0xcbf29ce484222325
	for i := range len(s.ID) {
		h = (h ^ uint64(s.ID[i])) * 0x100000001b3
	}
	return (h ^ h>>33) * 0xff51afd7ed558ccd
}

func hallRank(r Run, s Server) int {
	if s.Hall == r.Hall {
		return 0
	}
	return 1
}

// answered returns the tokens that a run has answered.
func (r Run) answered() int { return r.Events * max(r.EventTokens, 1) }

// timeToEnd returns the expected time to the end of a run.
func (p *Planner) timeToEnd(r Run) time.Duration {
	pace := r.EventInterval
	if pace == 0 {
		pace = p.paces[r.Service]
	}
	if pace == 0 || r.OutputTokens == 0 {
		return r.Remaining // the longest that it can be
	}
	done := r.answered()
	tokens := max(float64(r.OutputTokens-done), overrunShare*float64(done))
	end := time.Duration(tokens / float64(max(r.EventTokens, 1)) * float64(pace))
	if r.Events == 0 {
		end += r.FirstEvent
	}
	return min(end, r.Remaining)
}

// copyTime returns the time that a copy of so many tokens takes on the links; copies between halls
// take two of them.
func (r Run) copyTime(tokens int, hall string) time.Duration {
	if r.LinkMbps <= 0 {
		return 0
	}
	const bitsPerByte, mega = 8, 1e6
	seconds := float64(tokens) * float64(r.BytesPerToken) * bitsPerByte / (r.LinkMbps * mega)
	if hall != r.Hall {
		seconds *= 2
	}
	return time.Duration(seconds * float64(time.Second))
}
