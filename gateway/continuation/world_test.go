package continuation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Figures of the world, which is a fleet under load without network.
const (
	worldGateways  = 20
	worldServers   = 40
	worldSlots     = 64
	worldStep      = 10 * time.Millisecond
	worldDrain     = 3 * time.Second
	worldNotice    = 3500 * time.Millisecond // until gateways know of a crash
	worldTokens    = 5                       // in an event
	worldPerSecond = 140                     // runs that begin
)

// worldRun is a run with its true length.
type worldRun struct {
	Run
	gateway   int
	began     time.Time
	server    *worldServer
	interval  time.Duration
	length    int // events in all
	nextEvent time.Time
	backup    *worldServer
	worth     bool // a backup was worth its cost when it began
	askAt     time.Time
	target    *worldServer // of a move in progress
	movedAt   time.Time
}

type worldServer struct {
	Server
	leavesAt time.Time // announced; zero: it stays
	gone     bool
	runs     []*worldRun
}

func (s *worldServer) remove(r *worldRun) {
	s.runs = slices.DeleteFunc(s.runs, func(o *worldRun) bool { return o == r })
}

// world moves and backs up runs by the planners' decisions.
type world struct {
	t        *testing.T
	random   *rand.Rand
	now      time.Time
	planners []*Planner
	servers  []*worldServer
	noticed  []func() // crashes that gateways will know of, with their times
	dueAt    []time.Time
	made     int

	leavingRuns, leavingKept int // that would not end in time at servers that leave; that went on
	crashRuns, crashKept     int // at servers that crash, worth a backup; that went on
	backups                  int
	lost, saved              time.Duration // by callers of runs at servers that crash, without copies; of this, by copies
	linkTime                 time.Duration
	began                    int
}

func (w *world) addServer() {
	w.made++
	w.servers = append(w.servers, &worldServer{
		Server: Server{ID: fmt.Sprintf("s%03d", w.made), Hall: fmt.Sprint("h", w.made%3), Slots: worldSlots},
	})
}

// list returns the servers that take work, except one.
func (w *world) list(except *worldServer) []Server {
	var list []Server
	for _, s := range w.servers {
		if s != except && !s.gone && s.leavesAt.IsZero() {
			s.Running = len(s.runs)
			list = append(list, s.Server)
		}
	}
	return list
}

func (w *world) server(id string) *worldServer {
	for _, s := range w.servers {
		if s.ID == id {
			return s
		}
	}
	return nil
}

// begin begins a run at the least loaded server.
func (w *world) begin() {
	var at *worldServer
	for _, s := range w.servers {
		if !s.gone && s.leavesAt.IsZero() && (at == nil || len(s.runs) < len(at.runs)) {
			at = s
		}
	}
	r := &worldRun{began: w.now, gateway: w.random.IntN(worldGateways), server: at, interval: time.Duration(60+w.random.IntN(80)) * time.Millisecond, length: 10 + w.random.IntN(120)}
	guess := float64(r.length) * (0.5 + 1.5*w.random.Float64())
	r.Run = Run{
		Service: "s", Hall: at.Hall, PromptTokens: 500 + w.random.IntN(12_000), OutputTokens: int(guess * worldTokens), EventTokens: worldTokens,
		FirstEvent: 300 * time.Millisecond, Remaining: time.Minute, BytesPerToken: 163_840, LinkMbps: 550_000,
	}
	r.nextEvent = w.now.Add(r.FirstEvent)
	p := w.planners[r.gateway]
	p.fill(w.now)
	linkTime := p.linkTime
	p.linkTime = p.maxLinkTime() // whether it is worth its cost does not depend on others
	r.worth = p.WorthBackup(w.now, r.Run)
	p.linkTime = linkTime
	if p.WorthBackup(w.now, r.Run) {
		if id, ok := p.Backup(r.Run, w.list(at)); ok {
			r.backup = w.server(id)
			w.linkTime += p.backupTime(r.Run)
			w.backups++
		}
	}
	at.runs = append(at.runs, r)
	w.began++
}

func (w *world) end(r *worldRun) {
	r.server.remove(r)
	p := w.planners[r.gateway]
	if r.backup != nil {
		p.BackupEnded(r.backup.ID)
		r.backup = nil
	}
	if r.target != nil {
		p.MoveEnded(r.target.ID)
		r.target = nil
	}
}

// advance lets a run make its events and move.
func (w *world) advance(r *worldRun) {
	for !w.now.Before(r.nextEvent) {
		r.Events++
		r.EventInterval, r.FirstEvent = r.interval, 0
		r.nextEvent = r.nextEvent.Add(r.interval)
		if r.Events >= r.length {
			w.planners[r.gateway].RecordPace("s", r.interval)
			w.end(r)
			return
		}
	}
	switch {
	case r.server.leavesAt.IsZero():
	case r.target != nil && !w.now.Before(r.movedAt):
		w.arrive(r)
	case r.target == nil && !w.now.Before(r.askAt):
		w.ask(r)
	}
}

// ask asks the planner about a run at a leaving server.
func (w *world) ask(r *worldRun) {
	switch d := w.planners[r.gateway].Leaving(w.now, r.Run, r.server.leavesAt.Sub(w.now), w.list(r.server)).(type) {
	case Move:
		r.target = w.server(d.Target)
		copying := r.copyTime(r.PromptTokens+r.answered(), r.target.Hall)
		w.linkTime += copying
		r.movedAt = w.now.Add(copying + 50*time.Millisecond)
	case Wait:
		r.askAt = w.now.Add(d.For)
	case Stay:
		r.askAt = w.now.Add(time.Hour)
	}
}

// arrive ends a move: the run goes on at its target if that still takes it.
func (w *world) arrive(r *worldRun) {
	target := r.target
	r.target = nil
	w.planners[r.gateway].MoveEnded(target.ID)
	if target.gone || !target.leavesAt.IsZero() || len(target.runs) >= worldSlots {
		return // its source goes on, and another target is asked for
	}
	if r.remaining() > r.server.leavesAt.Sub(w.now) {
		w.leavingKept++
	}
	r.server.remove(r)
	r.server, r.Hall, r.askAt = target, target.Hall, time.Time{}
	target.runs = append(target.runs, r)
	if r.backup != nil {
		w.planners[r.gateway].BackupEnded(r.backup.ID)
		r.backup = nil
	}
}

// remaining returns the time that a run still takes in truth.
func (r *worldRun) remaining() time.Duration { return time.Duration(r.length-r.Events) * r.interval }

// leave has a server announce that it leaves.
func (w *world) leave(s *worldServer) {
	s.leavesAt = w.now.Add(worldDrain)
	for _, r := range slices.Clone(s.runs) {
		if r.remaining() > worldDrain {
			w.leavingRuns++
		}
	}
}

// crash has a server crash. Its runs go on where their copies are.
func (w *world) crash(s *worldServer) {
	s.gone = true
	for _, r := range slices.Clone(s.runs) {
		backup := r.backup
		kept := backup != nil && !backup.gone && backup.leavesAt.IsZero()
		w.lost += w.now.Sub(r.began)
		if kept {
			w.saved += w.now.Sub(r.began)
		}
		if r.worth {
			w.crashRuns++
			if kept {
				w.crashKept++
			}
		}
		w.end(r)
		if kept {
			r.server = backup
			backup.runs = append(backup.runs, r)
		}
	}
	w.dueAt = append(w.dueAt, w.now.Add(worldNotice))
	w.noticed = append(w.noticed, func() {
		for _, p := range w.planners {
			p.RecordCrash(w.now, s.ID)
		}
	})
}

// pick returns a server that takes work.
func (w *world) pick() *worldServer {
	for {
		if s := w.servers[w.random.IntN(len(w.servers))]; !s.gone && s.leavesAt.IsZero() {
			return s
		}
	}
}

// step advances the world.
func (w *world) step() {
	w.now = w.now.Add(worldStep)
	for len(w.dueAt) > 0 && !w.now.Before(w.dueAt[0]) {
		w.noticed[0]()
		w.noticed, w.dueAt = w.noticed[1:], w.dueAt[1:]
	}
	kept := w.servers[:0]
	for _, s := range w.servers {
		for _, r := range slices.Clone(s.runs) {
			w.advance(r)
		}
		if !s.leavesAt.IsZero() && !w.now.Before(s.leavesAt) {
			s.gone = true
			for _, r := range slices.Clone(s.runs) {
				w.end(r)
			}
		}
		if !s.gone {
			kept = append(kept, s)
		}
	}
	w.servers = kept
	for len(w.servers) < worldServers {
		w.addServer()
	}
	for _, p := range w.planners {
		require.LessOrEqual(w.t, p.moves, p.limits.MaxMoves, "moves in progress")
	}
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, random: rand.New(rand.NewPCG(5, 5)), now: time.Unix(1e9, 0)}
	for range worldServers {
		w.addServer()
	}
	for range worldGateways {
		p := NewPlanner(DefaultLimits())
		p.SetFleet(w.now, worldServers, worldGateways)
		w.planners = append(w.planners, p)
	}
	return w
}

// TestBackupsPay: single rare crashes make hardly any run worth a copy. Where a fifth of the servers
// crashes at once, and again, copies save their callers more time than they take on the links.
func TestBackupsPay(t *testing.T) {
	const perSecond = 40
	tests := []struct {
		name    string
		seconds int
		crashes func(second int) int
		check   func(t *testing.T, w *world)
	}{
		{"no crash", 60, func(int) int { return 0 }, func(t *testing.T, w *world) { require.Zero(t, w.backups) }},
		{"single rare crashes", 900, func(s int) int {
			if s%300 == 150 {
				return 1
			}
			return 0
		}, func(t *testing.T, w *world) {
			require.Less(t, w.backups, w.began/100)
			require.Less(t, w.linkTime, w.lost/50)
		}},
		{"a fifth at once, and again", 120, func(s int) int {
			if s == 30 || s == 50 || s == 70 {
				return worldServers / 5
			}
			return 0
		}, func(t *testing.T, w *world) {
			require.Greater(t, w.saved, w.lost/3) // the first time comes without warning
			require.Greater(t, w.saved, 4*w.linkTime)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t)
			stepsPerSecond := int(time.Second / worldStep)
			for i := range test.seconds * stepsPerSecond {
				if w.random.Float64() < perSecond*worldStep.Seconds() {
					w.begin()
				}
				if i%stepsPerSecond == 0 {
					for range test.crashes(i / stepsPerSecond) {
						w.crash(w.pick())
					}
				}
				w.step()
			}
			t.Logf("%d of %d runs were backed up; %v of %v were saved with %v on the links", w.backups, w.began,
				w.saved.Round(time.Millisecond), w.lost.Round(time.Millisecond), w.linkTime.Round(time.Millisecond))
			test.check(t, w)
		})
	}
}

// TestFleetUnderLoad: servers leave and crash under a thousand runs. Nine in ten runs that would be cut
// by a leaving server go on, and so do nine in ten at a crashed server for which a copy was worth its
// cost, within the bounds on moves and on the links' time.
func TestFleetUnderLoad(t *testing.T) {
	const seconds = 120
	w := newWorld(t)
	for i := range int(seconds * time.Second / worldStep) {
		for range 2 {
			if w.random.Float64() < worldPerSecond*worldStep.Seconds()/2 {
				w.begin()
			}
		}
		if i%600 == 599 {
			w.leave(w.pick())
		}
		if i%1000 == 999 {
			w.crash(w.pick())
		}
		w.step()
	}
	limit := time.Duration(0.1 * worldServers * (seconds + 5) * float64(time.Second))
	t.Logf("%d runs; %d of %d at leaving servers and %d of %d at crashed servers went on; link time %v of %v",
		w.began, w.leavingKept, w.leavingRuns, w.crashKept, w.crashRuns, w.linkTime.Round(time.Millisecond), limit)
	require.Greater(t, w.leavingRuns, 250)
	require.Greater(t, w.crashRuns, 30)
	require.GreaterOrEqual(t, w.leavingKept, w.leavingRuns*9/10)
	require.GreaterOrEqual(t, w.crashKept, w.crashRuns*9/10)
	require.LessOrEqual(t, w.linkTime, limit)
}
