package gateway

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"opalbridge.dev/gateway/budget"
	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/peer"
	"opalbridge.dev/gateway/placement"
)

// slotWorld simulates gateways before plain servers with few slots, in virtual time.
type slotWorld struct {
	options  slotWorldOptions
	random   *rand.Rand
	arrivals *rand.Rand // apart, so that the same requests arrive whatever is decided
	start    time.Time
	now      time.Duration
	events   worldEvents
	sequence int
	gateways []*slotGateway
	servers  []*slotServer
	result   slotWorldResult
	runs     map[int]int // by request
	samples  int
	crowded  int // samples while more requests waited than there are slots
	waiting  int // samples while requests waited
}

// slotSite describes the plain servers of a world, their work and their callers.
type slotSite struct {
	servers     int
	slots       int
	serverQueue int // a server rejects what is beyond
	answer      time.Duration
	work        func(r *rand.Rand) time.Duration // time that a server takes for a request
	hop         func(r *rand.Rand) time.Duration // from a gateway to a server, or back
	load        func(o *slotWorldOptions, now time.Duration) float64
	end         time.Duration // no more requests arrive
	returns     int           // how often a refused caller comes back; 0: as long as its answer is of use
	urgent      int           // one in so many requests is urgent; 0: none
	repeatable  int           // one in so many requests is repeatable; 0: none
}

// burstSite has short answers and, for two seconds, three times its capacity in requests.
var burstSite = slotSite{
	servers: 3, slots: 6, serverQueue: 6, answer: 15 * time.Millisecond, end: 4 * time.Second, urgent: 4,
	// One in ten takes several times as long.
	work: func(r *rand.Rand) time.Duration {
		if r.IntN(10) == 0 {
			return time.Duration(float64(15*time.Millisecond) * (2 + 2*r.ExpFloat64()))
		}
		return time.Duration(float64(15*time.Millisecond) * (0.6 + 0.4*r.Float64()))
	},
	hop: func(*rand.Rand) time.Duration { return 500 * time.Microsecond },
	load: func(o *slotWorldOptions, now time.Duration) float64 {
		if o.burst && now >= burstStart && now < burstEnd {
			return 3
		}
		return o.load
	},
}

const (
	shrinkAt  = 3 * time.Second // half of the servers of shrinkingSite end
	shrinkEnd = 21 * time.Second
)

// shrinkingSite loses two of four servers. What is left gets about as many requests as it can serve
// for 18 s.
var shrinkingSite = slotSite{
	servers: 4, slots: 6, serverQueue: 24, answer: 60 * time.Millisecond, end: shrinkEnd, returns: 1, repeatable: 6,
	work: func(r *rand.Rand) time.Duration {
		answer := time.Duration(float64(60*time.Millisecond) * (0.5 + r.Float64()))
		if r.IntN(100) == 0 {
			answer *= 5
		}
		return answer
	},
	hop: func(r *rand.Rand) time.Duration {
		return 500*time.Microsecond + time.Duration(r.Int64N(int64(1500*time.Microsecond)))
	},
	load: func(o *slotWorldOptions, now time.Duration) float64 {
		load := 1.055 + 0.125*math.Sin(2*math.Pi*(now-shrinkAt).Seconds()/11)
		return load / 2 // of the four servers
	},
}

type slotWorldOptions struct {
	site        *slotSite // nil: burstSite
	queue       Mode      // plain_queue
	gateways    int
	reportDelay time.Duration // interval of what gateways tell each other, and its mean age
	reportsEnd  time.Duration // reports are lost from then on; 0: never
	load        float64       // in parts of the capacity, with bursts of three times it if burst is set
	burst       bool
	stall       bool          // server 0 answers nothing from the middle of the burst for a second
	diesAt      time.Duration // when the first servers die; 0: never
	dying       int           // how many of them
	uneven      bool          // two thirds of the requests reach a third of the gateways first
}

// slotWorldResult counts what callers got.
type slotWorldResult struct {
	requests, inTime, late, refused, failed int
	urgent, urgentInTime                    int
	refusals, rejections                    int // of callers' attempts by gateways, and of gateways' by servers
	repeated                                int // requests that ran more than once and are not repeatable
	queue, idle                             float64
	longestQueue                            int
	idleWaiting                             float64 // part of the slots that is free while requests wait at gateways
	lateUsual                               int     // late ones whose answer takes the usual time
}

func (r slotWorldResult) String() string {
	return fmt.Sprintf("%d requests: %d in time (%.2f of urgent ones), %d late (%d with usual answers), %d refused (%d refusals), %d failed; servers: %d rejections, queue of %.1f, at most %d, %.3f of slots idle while many requests waited, %.3f while any did",
		r.requests, r.inTime, float64(r.urgentInTime)/float64(max(r.urgent, 1)), r.late, r.lateUsual, r.refused, r.refusals, r.failed, r.rejections, r.queue, r.longestQueue, r.idle, r.idleWaiting)
}

type worldEvent struct {
	at       time.Duration
	sequence int
	do       func()
}

type worldEvents []worldEvent

func (e worldEvents) Len() int { return len(e) }
func (e worldEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e worldEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *worldEvents) Push(x any)   { *e = append(*e, x.(worldEvent)) }
func (e *worldEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	worldObjective = 300 * time.Millisecond
	worldDrain     = 2 * time.Second // gateways go on for this long
	burstStart     = time.Second
	burstEnd       = 3 * time.Second
	stallStart     = 1500 * time.Millisecond
	stallEnd       = 2500 * time.Millisecond
)

type slotGateway struct {
	*dispatcher
	index   int
	waiting []*slotAttempt
}

// slotRequest is a caller's request.
type slotRequest struct {
	id         int
	arrived    time.Duration
	priority   int
	work       time.Duration // time that a server takes for it
	repeatable bool
	refusals   int
}

// slotAttempt is a request at a gateway.
type slotAttempt struct {
	*slotRequest
	request placement.Request
	reply   chan placement.Decision
	assign  placement.Assign
	retry   bool
}

type slotServer struct {
	id      string
	index   int
	queue   []*slotJob
	running map[*slotJob]bool
	dead    bool
}

type slotJob struct {
	attempt *slotAttempt
	gateway *slotGateway
}

func (w *slotWorld) at(t time.Duration, do func()) {
	w.sequence++
	heap.Push(&w.events, worldEvent{at: t, sequence: w.sequence, do: do})
}

func (w *slotWorld) clock() time.Time { return w.start.Add(w.now) }

// every calls do at an interval until some time after the last request has arrived.
func (w *slotWorld) every(first, interval time.Duration, do func()) {
	w.at(first, func() {
		do()
		if w.now < w.options.site.end+worldDrain {
			w.every(w.now+interval, interval, do)
		}
	})
}

func runSlotWorld(o slotWorldOptions, seed uint64) slotWorldResult {
	if o.site == nil {
		o.site = &burstSite
	}
	w := &slotWorld{options: o, random: rand.New(rand.NewPCG(seed, 1)), arrivals: rand.New(rand.NewPCG(seed, 2)), start: time.Now(), runs: map[int]int{}}
	v := &View{}
	for i := range o.site.servers {
		w.servers = append(w.servers, &slotServer{id: fmt.Sprintf("i-%d", i), index: i, running: map[*slotJob]bool{}})
		v.Servers = append(v.Servers, catalog.Server{ID: fmt.Sprintf("i-%d", i), Service: "s", Hall: "h", Capacity: o.site.slots})
	}
	for i := range o.gateways {
		g := &slotGateway{index: i, dispatcher: newDispatcher(zerolog.Nop(), DispatcherOptions{
			ShareWindow: 4 * time.Second, Hall: "h", Policy: placement.DefaultPolicy(), Features: Features{QueuePlainWork: o.queue},
			Retries: budget.Limits{Ratio: 0.2, FixedRetries: 50, Window: 10 * time.Second},
		}, w.start)}
		g.queue.timer = time.NewTimer(time.Hour)
		g.setView(w.start, v)
		w.gateways = append(w.gateways, g)
	}
	for i, g := range w.gateways {
		offset := time.Duration(i) * time.Millisecond
		w.every(offset, waitScanInterval, func() { w.act(g, func() { g.scanWaiting(w.clock()) }) })
		w.every(offset, overdueInterval, func() { w.act(g, func() { g.checkSlots(w.clock()) }) })
		w.every(offset, shareInterval, func() { w.act(g, func() { g.detectSilent(w.clock()) }) })
		if o.reportDelay > 0 {
			w.every(time.Duration(w.random.Int64N(int64(o.reportDelay))), o.reportDelay, func() { w.report(g) })
		}
	}
	if o.reportsEnd > 0 {
		w.at(o.reportsEnd+time.Second, w.loseReports) // package peer takes a silent gateway for dead then
	}
	if o.diesAt > 0 {
		for _, s := range w.servers[:o.dying] {
			w.at(o.diesAt, func() { w.die(s) })
		}
		w.at(o.diesAt+time.Second, func() { // their entries lapse
			for _, g := range w.gateways {
				w.act(g, func() { g.setView(w.clock(), &View{Servers: v.Servers[o.dying:]}) })
			}
		})
	}
	w.arrive()
	w.every(0, time.Millisecond, w.sample)
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(worldEvent)
		w.now = e.at
		e.do()
	}
	for _, n := range w.runs {
		if n > 1 {
			w.result.repeated++
		}
	}
	w.result.queue /= float64(max(w.samples, 1))
	w.result.idle /= float64(max(w.crowded, 1))
	w.result.idleWaiting /= float64(max(w.waiting, 1))
	return w.result
}

// sample records the servers' queues, and slots that are free while requests wait.
func (w *slotWorld) sample() {
	if w.now >= w.options.site.end {
		return
	}
	held := 0
	for _, g := range w.gateways {
		held += len(g.waiting)
	}
	free, slots, live := 0, 0, 0
	for _, s := range w.servers {
		if !s.dead {
			live++
		}
	}
	for _, s := range w.servers {
		w.result.longestQueue = max(w.result.longestQueue, len(s.queue))
		w.result.queue += float64(len(s.queue)) / float64(live)
		if !s.dead && !w.stalls(s) {
			free += w.options.site.slots - len(s.running)
			slots += w.options.site.slots
		}
	}
	w.samples++
	if held > 0 {
		w.waiting++
		w.result.idleWaiting += float64(free) / float64(max(slots, 1))
	}
	if held >= slots {
		w.crowded++
		w.result.idle += float64(free) / float64(max(slots, 1))
	}
}

// report tells the other gateways of one's running requests. The age of what they know is between
// half of the delay and one and a half.
func (w *slotWorld) report(g *slotGateway) {
	if w.options.reportsEnd > 0 && w.now >= w.options.reportsEnd {
		return
	}
	running := map[uint64]int{}
	for id, n := range g.running {
		running[hashString(id)] = n
	}
	w.at(w.now+w.options.reportDelay/2, func() {
		for _, other := range w.gateways {
			if other != g {
				w.act(other, func() {
					other.applyUpdate(w.clock(), peer.Update{From: fmt.Sprint(g.index), Alive: true, Full: true, Running: maps.Clone(running)})
				})
			}
		}
	})
}

// loseReports has all gateways take the others for dead.
func (w *slotWorld) loseReports() {
	for _, g := range w.gateways {
		for _, other := range w.gateways {
			w.act(g, func() { g.applyUpdate(w.clock(), peer.Update{From: fmt.Sprint(other.index)}) })
		}
	}
}

// arrive lets callers send requests.
func (w *slotWorld) arrive() {
	site := w.options.site
	if w.now >= site.end {
		return
	}
	rate := site.load(&w.options, w.now) * float64(site.servers*site.slots) / site.answer.Seconds()
	w.at(w.now+time.Duration(w.arrivals.ExpFloat64()/rate*float64(time.Second)), func() {
		w.result.requests++
		r := &slotRequest{id: w.result.requests, arrived: w.now, work: site.work(w.arrivals)}
		if site.urgent > 0 && w.arrivals.IntN(site.urgent) > 0 {
			r.priority = 1
		}
		if site.urgent > 0 && r.priority == 0 {
			w.result.urgent++
		}
		r.repeatable = site.repeatable > 0 && w.arrivals.IntN(site.repeatable) == 0
		w.ask(r)
		w.arrive()
	})
}

// ask sends a caller's request to a gateway.
func (w *slotWorld) ask(r *slotRequest) {
	n := len(w.gateways)
	if w.options.uneven && w.random.IntN(3) > 0 {
		n /= 3
	}
	g := w.gateways[w.random.IntN(n)]
	a := &slotAttempt{slotRequest: r, request: placement.Request{Service: "s", Hall: "h", Priority: r.priority, FullObjective: worldObjective}}
	w.place(g, a)
}

// place has a gateway decide on a request.
func (w *slotWorld) place(g *slotGateway, a *slotAttempt) {
	spent := w.now - a.arrived
	a.request.Objective = remainingObjective(worldObjective, spent)
	a.request.Remaining, a.request.CallerTimeout = 3*time.Second-spent, 3*time.Second-spent
	a.reply = make(chan placement.Decision, 1)
	g.waiting = append(g.waiting, a)
	w.act(g, func() {
		if !a.retry {
			g.handle(w.clock(), requestArrived{service: "s"})
		}
		g.handle(w.clock(), placementRequest{request: &a.request, retry: a.retry, done: make(chan struct{}), reply: a.reply})
	})
}

// act lets a gateway do something and carries out what it has decided.
func (w *slotWorld) act(g *slotGateway, do func()) {
	do()
	g.waiting = slices.DeleteFunc(g.waiting, func(a *slotAttempt) bool {
		select {
		case d := <-a.reply:
			w.at(w.now, func() { w.carryOut(g, a, d) })
			return true
		default:
			return false
		}
	})
}

func (w *slotWorld) carryOut(g *slotGateway, a *slotAttempt, d placement.Decision) {
	switch d := d.(type) {
	case placement.Assign:
		a.assign = d
		a.request.Exclude = append(a.request.Exclude, d.Server.ID)
		s := w.servers[slices.IndexFunc(w.servers, func(s *slotServer) bool { return s.id == d.Server.ID })]
		w.at(w.now+w.options.site.hop(w.random), func() { w.receive(s, &slotJob{attempt: a, gateway: g}) })
	case placement.Refuse:
		w.refused(a, d.RetryAfter)
	default:
		w.refused(a, unknownRetryAfter)
	}
}

// refused has the caller come back unless its answer would be of no use.
func (w *slotWorld) refused(a *slotAttempt, after time.Duration) {
	w.result.refusals++
	a.refusals++
	returns := w.options.site.returns
	if returns > 0 && a.refusals > returns || returns == 0 && w.now+after-a.arrived > worldObjective {
		w.result.refused++
		return
	}
	w.at(w.now+after, func() { w.ask(a.slotRequest) })
}

// receive handles a request at a server.
func (w *slotWorld) receive(s *slotServer, j *slotJob) {
	switch {
	case s.dead:
		w.ended(j, placement.Unreachable)
	case len(s.queue) >= w.options.site.serverQueue:
		w.result.rejections++
		w.at(w.now+w.options.site.hop(w.random), func() { w.ended(j, placement.Rejected) })
	default:
		s.queue = append(s.queue, j)
		w.serve(s)
	}
}

// serve begins what the server has slots for.
func (w *slotWorld) serve(s *slotServer) {
	for len(s.running) < w.options.site.slots && len(s.queue) > 0 {
		j := s.queue[0]
		s.queue = s.queue[1:]
		s.running[j] = true
		if !j.attempt.repeatable {
			w.runs[j.attempt.id]++
		}
		w.at(w.now+j.attempt.work, func() { w.answer(s, j) })
	}
}

// answer ends a request at a server, after the server's stall if there is one.
func (w *slotWorld) answer(s *slotServer, j *slotJob) {
	if s.dead {
		return
	}
	if w.stalls(s) {
		w.at(stallEnd+time.Duration(w.random.Int64N(int64(time.Millisecond))), func() { w.answer(s, j) })
		return
	}
	delete(s.running, j)
	w.at(w.now+w.options.site.hop(w.random), func() { w.ended(j, placement.Served) })
	w.serve(s)
}

// stalls reports whether a server answers nothing now.
func (w *slotWorld) stalls(s *slotServer) bool {
	return w.options.stall && s.index == 0 && w.now >= stallStart && w.now < stallEnd
}

// die ends a server. Its connections break.
func (w *slotWorld) die(s *slotServer) {
	s.dead = true
	for j := range s.running {
		w.ended(j, placement.Failed)
	}
	for _, j := range s.queue {
		w.ended(j, placement.Failed)
	}
	s.queue, s.running = nil, nil
}

// ended handles the end of an attempt at its gateway.
func (w *slotWorld) ended(j *slotJob, o placement.Outcome) {
	g, a := j.gateway, j.attempt
	m := attemptEnded{attemptID: a.assign.ID, server: a.assign.Server.ID, end: o}
	if o == placement.Served {
		m.status = 200
	}
	w.act(g, func() { g.handle(w.clock(), m) })
	switch o {
	case placement.Served:
		switch {
		case w.now-a.arrived > worldObjective:
			w.result.late++
			if a.work < 2*w.options.site.answer {
				w.result.lateUsual++
			}
		case a.priority == 0 && w.options.site.urgent > 0:
			w.result.urgentInTime++
			fallthrough
		default:
			w.result.inTime++
		}
	case placement.Rejected, placement.Unreachable, placement.Failed:
		if o == placement.Failed && !a.repeatable {
			w.result.failed++ // it may have run and is not sent again
			return
		}
		a.retry = o != placement.Unreachable || a.retry
		w.place(g, a)
	}
}

// beforeAndAfter returns the results without a queue for slots, after with one; both of the same requests.
func beforeAndAfter(t *testing.T, o slotWorldOptions) (before, after slotWorldResult) {
	t.Helper()
	const seed = 1
	before = runSlotWorld(o, seed)
	o.queue = On
	after = runSlotWorld(o, seed)
	t.Logf("before: %v", before)
	t.Logf("after:  %v", after)
	for _, r := range []slotWorldResult{before, after} {
		require.Equal(t, r.requests, r.inTime+r.late+r.refused+r.failed, "each request has ended once")
		require.Zero(t, r.repeated)
	}
	require.Equal(t, before.requests, after.requests)
	return before, after
}

// TestPlainBurst: without a queue at the gateways, a burst fills the servers' own queues, these
// reject most of what is sent, and urgent requests are served no more often than others.
func TestPlainBurst(t *testing.T) {
	t.Parallel()
	for _, gateways := range []int{6, 27} {
		for _, delay := range []time.Duration{5 * time.Millisecond, 50 * time.Millisecond, 250 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d gateways, reports of %v", gateways, delay), func(t *testing.T) {
				before, after := beforeAndAfter(t, slotWorldOptions{gateways: gateways, reportDelay: delay, load: 0.5, burst: true})
				require.Greater(t, float64(after.inTime), 0.97*float64(before.inTime))
				require.Greater(t, float64(after.urgentInTime), 0.8*float64(after.urgent))
				require.Less(t, float64(before.urgentInTime), 0.6*float64(before.urgent))
				require.Less(t, after.rejections, before.rejections/4)
				require.Less(t, after.queue, before.queue)
				require.Less(t, after.idle, 0.03)
				require.Less(t, float64(after.late), 0.02*float64(after.inTime))
			})
		}
	}
}

// TestPlainStall: requests pile up at a server that answers nothing for a second, and are late.
func TestPlainStall(t *testing.T) {
	t.Parallel()
	for _, gateways := range []int{1, 6, 27} {
		for _, delay := range []time.Duration{5 * time.Millisecond, 250 * time.Millisecond} {
			if gateways == 1 && delay > 5*time.Millisecond {
				continue // it gets no reports
			}
			t.Run(fmt.Sprintf("%d gateways, reports of %v", gateways, delay), func(t *testing.T) {
				before, after := beforeAndAfter(t, slotWorldOptions{gateways: gateways, reportDelay: delay, load: 0.5, stall: true})
				require.Greater(t, after.inTime, before.inTime-burstSite.slots)
				require.Less(t, after.late+after.refused, 3*burstSite.slots+after.requests/100)
			})
			t.Run(fmt.Sprintf("%d gateways, reports of %v, in a burst", gateways, delay), func(t *testing.T) {
				before, after := beforeAndAfter(t, slotWorldOptions{gateways: gateways, reportDelay: delay, load: 0.5, burst: true, stall: true})
				require.Greater(t, float64(after.inTime), 0.97*float64(before.inTime))
				require.Greater(t, after.urgentInTime, before.urgentInTime)
				require.Less(t, after.rejections, before.rejections/4)
			})
		}
	}
}

// TestPlainReportsLost: when gateways hear no more of each other in a burst, servers reject the
// excess, which has not run, and gateways send less because of that.
func TestPlainReportsLost(t *testing.T) {
	before, after := beforeAndAfter(t, slotWorldOptions{gateways: 6, reportDelay: 50 * time.Millisecond, reportsEnd: 1200 * time.Millisecond, load: 0.5, burst: true})
	require.Positive(t, after.rejections)
	require.Less(t, after.rejections, before.rejections)
	require.Greater(t, float64(after.inTime), 0.9*float64(before.inTime))
	require.Zero(t, after.failed)
}

// TestPlainServerDies: of the requests that wait when a server dies, none is lost. Those that were
// at the server may have run and are not sent again.
func TestPlainServerDies(t *testing.T) {
	for _, delay := range []time.Duration{5 * time.Millisecond, 250 * time.Millisecond} {
		before, after := beforeAndAfter(t, slotWorldOptions{gateways: 6, reportDelay: delay, load: 0.5, burst: true, diesAt: 2 * time.Second, dying: 1})
		require.Positive(t, after.failed)
		require.LessOrEqual(t, after.failed, burstSite.slots+burstSite.serverQueue)
		require.Greater(t, float64(after.inTime), 0.9*float64(before.inTime))
		require.Greater(t, after.urgentInTime, before.urgentInTime)
	}
}

// TestPlainShrunk: a service that has lost half of its servers gets about as many requests as it can
// serve, for long. Slots that idle while requests wait, and requests that are sent when they are
// nearly late, cost answers.
func TestPlainShrunk(t *testing.T) {
	t.Parallel()
	for _, uneven := range []bool{false, true} {
		for _, delay := range []time.Duration{5 * time.Millisecond, 250 * time.Millisecond} {
			t.Run(fmt.Sprintf("reports of %v, uneven gateways %v", delay, uneven), func(t *testing.T) {
				before, after := beforeAndAfter(t, slotWorldOptions{site: &shrinkingSite, gateways: 27, reportDelay: delay, diesAt: shrinkAt, dying: 2, uneven: uneven})
				require.Less(t, after.idleWaiting, 0.05)
				require.Less(t, float64(after.lateUsual), 0.03*float64(after.inTime))
				require.Greater(t, float64(after.inTime), 1.3*float64(before.inTime))
			})
		}
	}
}
