package soak

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"opalbridge.dev/platform/platformtest"
)

// This file generates planned work instead of faults, in series and overlapping: gateways are stopped and
// restarted, get SIGHUP, the configuration changes, and servers leave and return. A stopping gateway is
// suspended for a moment when it ends connections, as a process that is short of processor time. Each request
// that has arrived must get an answer all the same (stop_callers.go).

const (
	stopGateways  = 4
	stopCallers   = 50 // for each gateway
	stopHangups   = 6  // at most, during a stop
	startHangups  = 40
	hangupsFor    = 100 * time.Millisecond // from the start of a gateway
	minSuspension = 150 * time.Millisecond
	maxSuspension = 400 * time.Millisecond
	// A gateway ends connections this long after a SIGTERM, or after half of its grace period if that is
	// shorter.
	stopDelay = 2500 * time.Millisecond
	// A gateway has exited this long after its grace period, or later by as much as this process ran late: the
	// gateway's time begins when it gets to receive the signal.
	exitSlack = time.Second
	startTime = 10 * time.Second // a gateway is ready by then
	// Longest time of the requests of a server that leaves.
	leavingRuns = 6 * time.Second
	// What a server that leaves has answered has been passed on by then.
	leavingLinger = time.Second
)

// stopGraces are the grace periods of the gateways, in turn.
var stopGraces = []time.Duration{4 * time.Second, 6 * time.Second, 3 * time.Second, 8 * time.Second}

// stopIntervals are the intervals between events of the servers' streams, in turn. The longest streams
// outlast the shorter grace periods.
var stopIntervals = []time.Duration{10 * time.Millisecond, 60 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond}

// defaultGrace is the grace period of gateways outside of planned work.
const defaultGrace = 6 * time.Second

// grace returns the grace period of a gateway.
func (o Options) grace(i int) time.Duration {
	if o.Stops {
		return stopGraces[i%len(stopGraces)]
	}
	return defaultGrace
}

// stopDelayOf returns how long after a SIGTERM a gateway ends connections.
func stopDelayOf(grace time.Duration) time.Duration { return min(stopDelay, grace/2) }

// plannedWork is what is planned and done in a run.
type plannedWork struct {
	mutex   sync.Mutex
	busy    map[string]bool // gateways that are stopped, and servers that leave
	stops   []gatewayStop
	configs []plannedConfig
	log     *os.File
	count   struct{ suspensions, hangups, leavings int }
}

// gatewayStop is a SIGTERM of a gateway.
type gatewayStop struct {
	gateway string
	at      time.Time
	grace   time.Duration
}

// plannedConfig is what a version of the configuration allows.
type plannedConfig struct {
	written time.Time
	idle    time.Duration
	moved   bool // the route "moved" goes to the service p
	extra   bool // the route "extra" exists
	key     bool // the key "passing" exists
}

// idleTimeouts are the values of idle_timeout_ms.
var idleTimeouts = []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 1500 * time.Millisecond, 15 * time.Second}

// document returns the changing parts of the configuration document.
func (c plannedConfig) document() (routes, keys string) {
	service := "s"
	if c.moved {
		service = "p"
	}
	routes = fmt.Sprintf(",\n"+` {"name":"moved","host":"h","prefix":"/moved/","kind":"non_idempotent","timeout_ms":1500,"goal_ms":300,"service":%q,"max_attempts":1}`, service)
	if c.extra {
		routes += `,{"name":"extra","host":"h","prefix":"/extra/","kind":"idempotent","timeout_ms":1500,"goal_ms":300,"service":"s","max_attempts":2}`
	}
	if c.key {
		keys = `,"passing"`
	}
	return routes, keys
}

// startPlannedWork prepares planned work.
func (r *Run) startPlannedWork() (err error) {
	w := &plannedWork{busy: map[string]bool{}}
	w.log, err = os.Create(filepath.Join(r.options.Dir, "planned.log"))
	w.configs = []plannedConfig{{written: time.Now(), idle: idleTimeouts[3], extra: true, key: true}}
	r.planned = w
	return err
}

func (w *plannedWork) logf(format string, a ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	fmt.Fprintf(w.log, "%s %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, a...))
}

// claim reserves a gateway or server for a piece of work; false: it has one.
func (w *plannedWork) claim(name string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.busy[name] {
		return false
	}
	w.busy[name] = true
	return true
}

func (w *plannedWork) release(name string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.busy, name)
}

// current returns the latest configuration.
func (w *plannedWork) current() plannedConfig {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.configs[len(w.configs)-1]
}

// inForce returns the configurations that may be in force at some moment of a time.
func (w *plannedWork) inForce(from, to time.Time) []plannedConfig {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var list []plannedConfig
	for i, c := range w.configs {
		replaced := i+1 < len(w.configs) && w.configs[i+1].written.Before(from.Add(-configPropagation-maxSuspension))
		if !replaced && c.written.Before(to) {
			list = append(list, c)
		}
	}
	return list
}

// mayCut reports whether a stop may cut a stream of a gateway: late in the grace period, and only if the
// stream was requested soon after the SIGTERM.
func (w *plannedWork) mayCut(gateway string, sent, cut time.Time) bool {
	const soon = 3 * time.Second
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.ContainsFunc(w.stops, func(s gatewayStop) bool {
		return s.gateway == gateway && cut.After(s.at.Add(s.grace*5/6)) && cut.Before(s.at.Add(s.grace+exitSlack)) && sent.Before(s.at.Add(soon))
	})
}

// mayCutForwarded reports whether a stop may cut a stream that a gateway serves for another one: as its own, but
// only if the stream was requested before the SIGTERM.
func (w *plannedWork) mayCutForwarded(gateway string, sent, cut time.Time) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.ContainsFunc(w.stops, func(s gatewayStop) bool {
		return s.gateway == gateway && cut.After(s.at.Add(s.grace*5/6)) && cut.Before(s.at.Add(s.grace+exitSlack)) && sent.Before(s.at)
	})
}

// sinceStop tells when a gateway got its latest SIGTERM, as seen from a time.
func (w *plannedWork) sinceStop(gateway string, now time.Time) string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, s := range slices.Backward(w.stops) {
		if s.gateway == gateway && s.at.Before(now) {
			return fmt.Sprintf("%s after SIGTERM", now.Sub(s.at).Round(time.Millisecond))
		}
	}
	return "no SIGTERM before"
}

// doPlannedWork does random pieces of planned work, which overlap, for the duration d, and returns once all
// of them have ended.
func (r *Run) doPlannedWork(d time.Duration) {
	var active sync.WaitGroup
	defer active.Wait()
	work := []struct {
		name   string
		weight int
		begin  func(active *sync.WaitGroup)
	}{
		{"stop of a gateway", 4, r.stopOne},
		{"stop of several gateways", 2, r.stopSeveral},
		{"stop of all gateways in turn", 1, r.stopInTurn},
		{"SIGHUP", 4, r.hangUpOne},
		{"change of the configuration", 5, r.changeConfiguration},
		{"server leaves", 3, r.leaveOne},
	}
	var drawn []int
	for i, k := range work {
		drawn = append(drawn, slices.Repeat([]int{i}, k.weight)...)
	}
	for end := time.Now().Add(d); time.Now().Before(end); {
		k := work[drawn[r.random.IntN(len(drawn))]]
		r.injected = append(r.injected, k.name)
		k.begin(&active)
		time.Sleep(r.drawTime(50*time.Millisecond, time.Second))
	}
}

// drawTime draws a duration.
func (r *Run) drawTime(from, to time.Duration) time.Duration {
	return from + time.Duration(r.random.Int64N(int64(to-from)))
}

// stopPlan is how a gateway is stopped and restarted.
type stopPlan struct {
	after        time.Duration
	hangups      []time.Duration // after the SIGTERM
	suspendAt    time.Duration   // after the SIGTERM
	suspendFor   time.Duration   // 0: it is not suspended
	down         time.Duration
	startHangups bool
}

// drawStop draws how a gateway is stopped. It is suspended around the time at which it ends connections.
func (r *Run) drawStop(p *process, after time.Duration) stopPlan {
	s := stopPlan{after: after, down: r.drawTime(0, time.Second), startHangups: r.random.IntN(2) == 0}
	if r.random.IntN(2) == 0 {
		for range r.random.IntN(stopHangups) {
			s.hangups = append(s.hangups, r.drawTime(0, p.grace))
		}
		slices.Sort(s.hangups)
	}
	if r.random.IntN(6) > 0 {
		s.suspendFor = r.drawTime(minSuspension, maxSuspension)
		s.suspendAt = stopDelayOf(p.grace) - s.suspendFor + r.drawTime(-20*time.Millisecond, s.suspendFor*3/4)
	}
	return s
}

func (r *Run) stopOne(active *sync.WaitGroup) {
	r.stopGateway(active, r.randomGateway(r.random), 0)
}

func (r *Run) stopSeveral(active *sync.WaitGroup) {
	count := 2 + r.random.IntN(max(len(r.gateways)-1, 1))
	for _, i := range r.random.Perm(len(r.gateways))[:min(count, len(r.gateways))] {
		r.stopGateway(active, r.gateways[i], 0)
	}
}

func (r *Run) stopInTurn(active *sync.WaitGroup) {
	interval := r.drawTime(100*time.Millisecond, time.Second)
	for i, p := range r.gateways {
		r.stopGateway(active, p, time.Duration(i)*interval)
	}
}

// stopGateway stops and restarts a gateway, unless that is under way.
func (r *Run) stopGateway(active *sync.WaitGroup, p *process, after time.Duration) {
	plan := r.drawStop(p, after)
	if !r.planned.claim(p.name) {
		return
	}
	active.Go(func() {
		defer r.planned.release(p.name)
		time.Sleep(plan.after)
		r.stopPlanned(p, plan)
		time.Sleep(plan.down)
		r.startPlanned(p, plan)
	})
}

// stopPlanned stops a gateway and checks that it exits as planned.
func (r *Run) stopPlanned(p *process, plan stopPlan) {
	if ended, err := p.result(); ended {
		r.recorder.violationf("gateway %s has ended by itself: %v", p.name, err)
		return
	}
	at := time.Now()
	r.planned.mutex.Lock()
	r.planned.stops = append(r.planned.stops, gatewayStop{p.name, at, p.grace})
	r.planned.mutex.Unlock()
	r.planned.logf("%s: SIGTERM (grace period %s), suspended after %s for %s", p.name, p.grace, plan.suspendAt, plan.suspendFor)
	p.signal(syscall.SIGTERM)
	var signals sync.WaitGroup
	signals.Go(func() {
		for _, d := range plan.hangups {
			time.Sleep(time.Until(at.Add(d)))
			r.hangUp(p)
		}
	})
	signals.Go(func() {
		if plan.suspendFor > 0 {
			time.Sleep(time.Until(at.Add(plan.suspendAt)))
			r.suspend(p, plan.suspendFor)
		}
	})
	end := at.Add(p.grace + exitSlack)
	if !p.waitUntil(end) && !p.waitUntil(end.Add(r.lateness.most(at, time.Now()))) {
		r.recorder.violationf("gateway %s still runs %s after its SIGTERM", p.name, time.Since(at))
		p.kill()
	} else if _, err := p.result(); err != nil {
		r.recorder.violationf("gateway %s failed in a planned stop: %v", p.name, err)
	}
	r.planned.logf("%s: exited %s after its SIGTERM", p.name, time.Since(at).Round(time.Millisecond))
	signals.Wait()
}

// startPlanned starts a gateway and checks that it becomes ready.
func (r *Run) startPlanned(p *process, plan stopPlan) {
	r.restartGateway(p)
	began := time.Now()
	r.planned.logf("%s: started", p.name)
	if plan.startHangups && p.setsHangup() {
		for range startHangups {
			r.hangUp(p)
			time.Sleep(hangupsFor / startHangups)
		}
	}
	for !p.ready() {
		if ended, err := p.result(); ended {
			r.recorder.violationf("gateway %s has ended by itself: %v", p.name, err)
			return
		}
		if time.Since(began) > startTime {
			r.recorder.violationf("gateway %s is not ready %s after its start: %s", p.name, startTime, p.notReady())
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	r.planned.logf("%s: ready after %s", p.name, time.Since(began).Round(time.Millisecond))
}

// suspend stands for a process that gets no processor time for a moment.
func (r *Run) suspend(p *process, d time.Duration) {
	r.planned.mutex.Lock()
	r.planned.count.suspensions++
	r.planned.mutex.Unlock()
	r.planned.logf("%s: suspended", p.name)
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
	r.planned.logf("%s: resumed", p.name)
}

func (r *Run) hangUp(p *process) {
	r.planned.mutex.Lock()
	r.planned.count.hangups++
	r.planned.mutex.Unlock()
	p.signal(syscall.SIGHUP)
}

func (r *Run) hangUpOne(*sync.WaitGroup) {
	p := r.randomGateway(r.random)
	if !p.setsHangup() {
		return
	}
	r.planned.logf("%s: SIGHUP", p.name)
	r.hangUp(p)
}

// changeConfiguration writes a configuration of which some parts are drawn anew. At times a gateway is
// suspended soon after, when it may close idle connections.
func (r *Run) changeConfiguration(active *sync.WaitGroup) {
	c := r.planned.current()
	switch r.random.IntN(4) {
	case 0:
		c.moved = !c.moved
	case 1:
		c.extra = !c.extra
	case 2:
		c.key = !c.key
	}
	c.idle = idleTimeouts[r.random.IntN(len(idleTimeouts))]
	c.written = time.Now()
	r.planned.mutex.Lock()
	r.planned.configs = append(r.planned.configs, c)
	r.planned.mutex.Unlock()
	r.planned.logf("configuration: idle timeout %s, moved %t, extra %t, passing %t", c.idle, c.moved, c.extra, c.key)
	r.configure()
	p, after, length := r.randomGateway(r.random), r.drawTime(0, 2*time.Second), r.drawTime(minSuspension, maxSuspension)
	if r.random.IntN(2) == 0 || !r.planned.claim(p.name) {
		return
	}
	active.Go(func() {
		defer r.planned.release(p.name)
		time.Sleep(after)
		r.suspend(p, length)
	})
}

// leaveOne has a server leave as planned and return, unless too many others are away.
func (r *Run) leaveOne(active *sync.WaitGroup) {
	s, away := r.randomServer(r.random), r.drawTime(100*time.Millisecond, time.Second)
	others := 0
	for _, o := range slices.Concat(r.servers, r.plain) {
		if o != s && o.Service == s.Service && !r.planned.isBusy(o.ID) {
			others++
		}
	}
	if others == 0 || !r.planned.claim(s.ID) {
		return
	}
	active.Go(func() {
		defer r.planned.release(s.ID)
		r.leaveAndReturn(s, away)
	})
}

func (w *plannedWork) isBusy(name string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.busy[name]
}

// leaveAndReturn has a server announce that it leaves, end its requests, be away, and start again.
func (r *Run) leaveAndReturn(s *backend, away time.Duration) {
	r.planned.mutex.Lock()
	r.planned.count.leavings++
	r.planned.mutex.Unlock()
	r.planned.logf("%s: leaves", s.ID)
	at := time.Now()
	r.announce(s, "draining")
	drained := at.Add(drainPropagation + maxSuspension)
	time.Sleep(time.Until(drained))
	for began := time.Now(); running(s) > 0 && time.Since(began) < leavingRuns; {
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(leavingLinger)
	for _, run := range s.Runs() {
		if run.Began.After(drained) {
			r.recorder.violationf("server %s got request %s %s after it announced that it leaves", s.ID, run.ID, run.Began.Sub(at))
		}
	}
	r.remove("servers/" + s.ID)
	s.proxy.Refuse()
	s.proxy.Reset()
	r.planned.logf("%s: gone", s.ID)
	time.Sleep(away)
	if err := s.proxy.Reopen(); err != nil {
		r.recorder.violationf("server %s cannot return: %v", s.ID, err)
		return
	}
	s.Restart(time.Now().UnixMilli())
	r.announce(s, "ready")
	r.planned.logf("%s: returned", s.ID)
}

// running returns how many requests a server runs.
func running(s *backend) int {
	n := 0
	for _, run := range s.Runs() {
		if run.Ended.IsZero() {
			n++
		}
	}
	return n
}

// addMovedServers starts the servers of the service p, to which a route moves.
func (r *Run) addMovedServers() error {
	for i := range plainServers {
		s := &platformtest.Server{ID: fmt.Sprintf("p-%d", i), Service: "p", Hall: "hall"}
		b, err := r.listen(s, platformtest.Behaviour{ServiceTime: plainServiceTime, EchoID: true})
		if err != nil {
			return err
		}
		r.plain = append(r.plain, b)
	}
	return nil
}

// setsHangup waits until the process has replaced the default action of SIGHUP, which is the system's until
// its first instructions have run. It reports false if the process has ended. Until the process has loaded the C
// library, its masks may still be those of this one.
func (p *process) setsHangup() bool {
	p.mutex.Lock()
	pid := p.command.Process.Pid
	p.mutex.Unlock()
	for began := time.Now(); time.Since(began) < time.Second; time.Sleep(50 * time.Microsecond) {
		maps, err := os.ReadFile(fmt.Sprintf("/proc/%d/maps", pid))
		if err != nil {
			return false
		}
		if !bytes.Contains(maps, []byte("libc.so")) {
			continue
		}
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		if err != nil {
			return false
		}
		for _, m := range hangupMasks.FindAllSubmatch(status, -1) {
			if mask, err := strconv.ParseUint(string(bytes.TrimSpace(m[1])), 16, 64); err == nil && mask&1 != 0 {
				return true
			}
		}
	}
	return false
}

// hangupMasks matches the signals that a process ignores or catches.
var hangupMasks = regexp.MustCompile(`(?m)^Sig(?:Ign|Cgt):\s+([0-9a-f]+)$`)
