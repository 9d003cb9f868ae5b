package gateway

import (
	"context"
	"hash/fnv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"opalbridge.dev/gateway/budget"
	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/peer"
	"opalbridge.dev/gateway/peer/peerpb"
	"opalbridge.dev/gateway/placement"
	"opalbridge.dev/gateway/share"
	"opalbridge.dev/gateway/warmup"
)

// Times and sizes of the desk.
const (
	// Shares of accounts are computed anew this often, as often as the others' demands
	// arrive.
	settleEvery = 250 * time.Millisecond
	// What servers hold no more is forgotten once in so many of these.
	forgetEvery = 8
	// Accounts told to the others at most: those with the largest demands.
	mostDemands = 48
	// Requests without a first event are looked through this often for late ones; a
	// server reads 2,500 tokens meanwhile.
	lateEvery = 50 * time.Millisecond
	// The others hear at once of a server that is ahead or behind by so much; of less they
	// hear with the next load, some 50 ms later.
	newsMiss = 100 * time.Millisecond
	// Questions to the desk that wait. A request that finds the queue full waits; the
	// desk never waits for a request, so this cannot deadlock.
	deskQueue = 256
)

// dispatcher is the duty that owns all decisions on placing: the board, the shares of
// accounts and the budget of repeats. Others ask it through its channel.
type dispatcher struct {
	log       zerolog.Logger
	peers     *peer.Node
	messages  chan any // one of the messages below
	done      chan struct{}
	peerState atomic.Pointer[peer.State]
	settings  DispatcherOptions
	lateness  func(since, now time.Time) time.Duration // how late this process was at worst
	claims    chan<- warmup.Claim                      // to be written; one that finds it full is tried again
	// To be told to the operators; one that finds it full is tried again.
	statusWrites chan<- rolloutStatusWrite
	viewFresh    func(now time.Time) bool // the view is known to be the store's latest

	livePeers atomic.Int64 // live gateways besides this one

	// Owned by run.
	tickets     uint64                     // the last one given
	settled     int                        // times that shares were computed
	pending     map[uint64]*awaited        // own requests without a first event, by ticket
	heard       map[string]time.Time       // last sign of life, by server
	speeds      map[string]placement.Speed // last written to the log, by service
	balancer    *placement.Balancer
	shares      *share.Tracker
	retryBudget *budget.Budget
	coldLimiter *warmup.Limiter
	rollouts    map[string]*serviceRollout // by service
	wanted      map[string]time.Time       // when a request last came, by service
	halls       map[string]string          // of live gateways, by address
	view        *View
	queue       waitQueue
	published   time.Time                 // when the state that beacons tell was made
	unpublished bool                      // it has changed since
	running     map[string]int            // own requests by server
	serverIDs   map[uint64]string         // server by hash of its ID
	rests       map[string]time.Time      // ends of those that servers have asked for
	peerRunning map[string]map[uint64]int // running requests at servers, by live gateway
	asked       map[string]float64        // tokens in the window of fair shares, by gateway, this one included
}

// DispatcherOptions are the bounds that the desk keeps.
type DispatcherOptions struct {
	Retries     budget.Limits
	ShareWindow time.Duration // window of accounts' fair shares
	Policy      placement.Policy
	Hall        string
	Regions     map[string]string // by hall
	ColdLimits  warmup.Limits     // of a cold server, but for what it bears
	Address     string            // IP address of this gateway
}

// awaited is a request whose server has not made its first event yet.
type awaited struct {
	server         string
	due            time.Time     // by the prediction
	reportedSilent bool          // that it is overdue
	position       time.Duration // work sent to the server up to this request
	copies         bool          // it takes cached parts from another server first
	sent           time.Time
	waiting        time.Duration // predicted, until the server comes to it
	reading        time.Duration // predicted, of its own prompt
	account        string
	tokens         float64 // that count as got by the account
}

// Messages to the desk.
type (
	// placementRequest asks for a decision; if it is to send, all is booked as sent.
	placementRequest struct {
		request *placement.Request
		retry   bool            // the request has been at a server before
		done    <-chan struct{} // closed when nobody waits for a decision any more
		tokens  float64
		reply   chan<- placement.Decision
	}
	// requestArrived tells of a caller's request.
	requestArrived struct {
		service string
		account string
		tokens  float64
	}
	firstEventReceived struct {
		ticket uint64
		server string
	}
	attemptEnded struct {
		ticket uint64
		server string
		end    placement.Outcome
		route  string
		status int           // of the server's answer; 0: there was none, or not all of it
		pause  time.Duration // mean between a stream's events; 0: not known
	}
	cacheReported struct {
		server string
		parts  []uint64 // that its cache holds
	}
	claimMessage struct {
		claim   warmup.Claim
		outcome warmup.Outcome
	}
	leavesMessage struct{ server string } // it has said that it leaves
	restMessage   struct {
		server string
		until  time.Time // it wants nothing before then
	}
	viewMessage  struct{ view *View }
	peersUpdated struct{ updates []peer.Update }
)

func newDispatcher(log zerolog.Logger, s DispatcherOptions, now time.Time) *dispatcher {
	d := &dispatcher{
		log: log, settings: s, lateness: func(_, _ time.Time) time.Duration { return 0 }, messages: make(chan any, deskQueue), done: make(chan struct{}),
		balancer: placement.NewBalancer(s.Policy), shares: share.NewTracker(s.ShareWindow), retryBudget: budget.New(s.Retries, now),
		pending: map[uint64]*awaited{}, heard: map[string]time.Time{}, speeds: map[string]placement.Speed{},
		view: &View{}, running: map[string]int{}, serverIDs: map[uint64]string{}, rests: map[string]time.Time{},
		peerRunning: map[string]map[uint64]int{}, asked: map[string]float64{},
		rollouts: map[string]*serviceRollout{}, viewFresh: func(time.Time) bool { return true },
		coldLimiter: warmup.NewLimiter(), wanted: map[string]time.Time{}, halls: map[string]string{},
	}
	d.balancer.SetRegions(s.Regions)
	d.peerState.Store(&peer.State{})
	return d
}

// send passes a message to the desk; once the desk has ended, messages are dropped.
func (d *dispatcher) send(m any) {
	select {
	case d.messages <- m:
	case <-d.done:
	}
}

func (d *dispatcher) viewChanged(v *View) { d.send(viewMessage{v}) }

// requestPlacement asks for a requestPlacement, which may wait. ok is false when ctx has ended first.
func (d *dispatcher) requestPlacement(ctx context.Context, a *placement.Request, repeat bool, tokens float64) (placement.Decision, bool) {
	reply := make(chan placement.Decision, 1)
	asked := *a // the desk may be slower than the caller is patient
	d.send(placementRequest{request: &asked, retry: repeat, tokens: tokens, done: ctx.Done(), reply: reply})
	select {
	case decision := <-reply:
		*a = asked // the desk has filled in where the account stands
		return decision, true
	case <-d.done:
		return nil, false
	case <-ctx.Done():
		go d.undo(reply)
		return nil, false
	}
}

// undo takes back a decision that nobody waits for any more.
func (d *dispatcher) undo(reply <-chan placement.Decision) {
	select {
	case decision := <-reply:
		if a, ok := decision.(placement.Assign); ok {
			d.send(attemptEnded{ticket: a.ID, server: a.Server.ID, end: placement.Abandoned})
		}
	case <-d.done:
	}
}

// run answers until ctx ends.
func (d *dispatcher) run(ctx context.Context) {
	defer close(d.done)
	settle := time.NewTicker(settleEvery)
	defer settle.Stop()
	late := time.NewTicker(lateEvery)
	defer late.Stop()
	d.queue.timer = time.NewTimer(waitScanInterval)
	defer d.queue.timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-d.messages:
			d.handle(time.Now(), m)
		case now := <-settle.C:
			d.settle(now)
		case now := <-d.queue.timer.C:
			d.scanWaiting(now)
		case now := <-late.C:
			d.detectOverdue(now)
			d.claim(now)
			d.lookRollouts(now)
			if d.unpublished {
				d.publish()
			}
		}
	}
}

func (d *dispatcher) handle(now time.Time, m any) {
	switch m := m.(type) {
	case placementRequest:
		d.place(now, m)
	case requestArrived:
		d.retryBudget.RecordRequest(now, m.service)
		d.wanted[m.service] = now
		if m.account != "" {
			d.shares.RecordAsked(now, m.account, m.tokens)
		}
	case firstEventReceived:
		d.recordFirstEvent(now, m)
	case attemptEnded:
		d.recordEnd(now, m)
	case cacheReported:
		d.balancer.RecordCached(now, m.server, m.parts)
	case statedMessage:
		d.stated(now, m)
	case claimMessage:
		d.settleClaim(now, m)
	case leavesMessage:
		d.balancer.MarkLeaving(m.server)
	case restMessage:
		d.rests[m.server] = latest(d.rests[m.server], m.until)
		d.balancer.BackoffUntil(now, m.server, m.until)
	case viewMessage:
		d.setView(now, m.view)
	case peersUpdated:
		for _, u := range m.updates {
			d.applyUpdate(now, u)
		}
	}
}

// repeatsSpent is the reason for a refusal when the fleet's budget of repeats is used.
const repeatsSpent placement.Reason = "budget of repeats spent"

func (d *dispatcher) decide(now time.Time, m placementRequest) placement.Decision {
	if m.retry && d.retryBudget.Remaining(now, m.request.Service, d.fleetSize()) < 1 {
		return placement.Refuse{RetryAfter: d.settings.Policy.MinRetryAfter, Reason: repeatsSpent}
	}
	d.stand(m.request)
	var decision placement.Decision
	moving := d.rollouts[m.request.Service]
	if moving == nil {
		decision = d.balancer.Place(now, m.request)
	} else {
		decision = d.placeVersion(now, moving, m.request)
	}
	assign, ok := decision.(placement.Assign)
	if !ok {
		return decision
	}
	if m.retry {
		d.retryBudget.Take(now, m.request.Service, d.fleetSize())
	}
	if m.request.Account != "" {
		d.shares.RecordAdmitted(now, m.request.Account, m.tokens)
	}
	position := d.balancer.RecordSent(now, assign.Load, true)
	d.tickets++
	assign.ID = d.tickets
	d.pending[assign.ID] = &awaited{
		server: assign.Server.ID, due: now.Add(assign.Predicted), position: position, copies: assign.CopyFrom != "",
		sent: now, waiting: assign.QueueTime, reading: assign.PrefillTime, account: m.request.Account, tokens: m.tokens,
	}
	d.running[assign.Server.ID]++
	if moving != nil {
		d.sentVersion(now, moving, assign)
	}
	if d.coldLimiter.IsCold(now, assign.Server.ID) {
		assign.SendBefore = now.Add(warmup.MaxSendDelay)
		d.sentCold(now, assign.Server.ID)
	}
	d.changed(now)
	if assign.Load.Work > 0 {
		d.peers.PublishLoad(peer.Load{Server: hashString(assign.Server.ID), Work: assign.Load.Work, Parts: assign.Load.Parts, Tokens: assign.Load.CacheTokens})
	}
	return assign
}

// stand fills in where the request's account stands against its share.
func (d *dispatcher) stand(a *placement.Request) {
	if a.Account == "" {
		return
	}
	standing := d.shares.Status(a.Account)
	a.OverShare, a.Capped, a.ShareRatio = standing.OverShare, standing.Capped, standing.ShareRatio
}

func (d *dispatcher) recordEnd(now time.Time, m attemptEnded) {
	d.takeBack(now, m)
	d.recordRolloutAnswer(now, m)
	delete(d.pending, m.ticket)
	if m.end == placement.Served || m.end == placement.Rejected {
		d.heard[m.server] = now
	}
	if m.end == placement.Unreachable && d.unsure(now, now.Add(-dialLimit)) {
		m.end = placement.Abandoned // the connection may have come up unnoticed
	}
	d.balancer.RecordEnd(now, m.server, true, m.end)
	d.running[m.server]--
	if d.running[m.server] <= 0 {
		delete(d.running, m.server)
	}
	d.changed(now)
}

// takeBack lets a request count as got by its account no more if it did not begin to run, for
// no doing of its caller: a server took 0.27 million tokens in the second in which it ended,
// and accounts that had got nothing of it were held to be beyond their share for four seconds.
func (d *dispatcher) takeBack(now time.Time, m attemptEnded) {
	p := d.pending[m.ticket]
	if p == nil || p.account == "" {
		return
	}
	switch m.end {
	case placement.Failed, placement.Unreachable, placement.Rejected, placement.NotSent:
		d.shares.RevertAdmitted(now, p.sent, p.account, p.tokens)
	}
}

// The state that beacons tell is made at most this often: it takes some microseconds for
// each server.
const publishEvery = 5 * time.Millisecond

// changed makes the state that beacons tell, now or with the next look for late ones.
func (d *dispatcher) changed(now time.Time) {
	if now.Sub(d.published) < publishEvery {
		d.unpublished = true
		return
	}
	d.published = now
	d.publish()
}

// publish makes the state that the next beacon tells.
func (d *dispatcher) publish() {
	d.unpublished = false
	old := d.peerState.Load()
	s := &peer.State{Running: make(map[uint64]int, len(d.running)), Demands: old.Demands, Speeds: old.Speeds}
	for id, n := range d.running {
		s.Running[hashString(id)] = n
	}
	d.peerState.Store(s)
}

func (d *dispatcher) setView(now time.Time, v *View) {
	d.view = v
	d.balancer.SetServers(now, v.Servers, func(service string) *catalog.Engine {
		if v.Configuration == nil {
			return nil
		}
		s, ok := v.Configuration.Service(service)
		if !ok {
			return nil
		}
		return s.Engine
	})
	d.keepRests(now)
	others := d.runningElsewhere()
	clear(d.serverIDs)
	for _, s := range v.Servers {
		h := hashString(s.ID)
		d.serverIDs[h] = s.ID
		d.balancer.SetRemoteRunning(s.ID, others[h]) // a server that is new here may have been told of before
	}
	d.setCold(now, v)
	d.setRollouts(now, v)
	d.publish()
}

// keepRests tells the board of rests again: a server whose entry lapsed for a moment is new to
// it. Those that are over are forgotten.
func (d *dispatcher) keepRests(now time.Time) {
	for id, until := range d.rests {
		if !now.Before(until) {
			delete(d.rests, id)
			continue
		}
		d.balancer.BackoffUntil(now, id, until)
	}
}

// runningElsewhere returns the other gateways' requests by server. It goes through what runs,
// not through all gateways for each server, which grows with both.
func (d *dispatcher) runningElsewhere() map[uint64]int {
	sums := map[uint64]int{}
	for _, running := range d.peerRunning {
		for h, n := range running {
			sums[h] += n
		}
	}
	return sums
}

func (d *dispatcher) settle(now time.Time) {
	rate := 0.0
	if d.view.Configuration != nil {
		rate = d.view.Configuration.Limits.TokensPerSecond
	}
	d.shares.Recompute(now, rate)
	if d.settled++; d.settled%forgetEvery == 0 {
		d.balancer.PruneCaches()
	}
	d.detectSilent(now)
	d.tellSpeeds()
	own := d.shares.LocalDemands(now)
	asked := 0.0
	for _, o := range own {
		asked += o.Asked
	}
	d.asked[d.settings.Address] = asked
	list := make([]*peerpb.Demand, 0, min(len(own), mostDemands))
	for _, o := range own[:min(len(own), mostDemands)] {
		list = append(list, &peerpb.Demand{Account: o.Account, Asked: uint32(o.Asked), Admitted: uint32(o.Admitted)})
	}
	s := *d.peerState.Load()
	s.Demands, s.Speeds, s.Rollouts = list, d.learnedSpeeds(), d.rolloutNews(now)
	d.peerState.Store(&s)
}

// fleetSize is the number of gateways that are known to live, this one included.
func (d *dispatcher) fleetSize() int { return len(d.peerRunning) + 1 }

// hashString names an ID in few bytes.
func hashString(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}
