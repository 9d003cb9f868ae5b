package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"opalbridge.dev/gateway/budget"
	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/continuation"
	"opalbridge.dev/gateway/decode"
	"opalbridge.dev/gateway/idhash"
	"opalbridge.dev/gateway/peer"
	"opalbridge.dev/gateway/placement"
	"opalbridge.dev/gateway/share"
	"opalbridge.dev/gateway/slots"
	"opalbridge.dev/gateway/surplus"
	"opalbridge.dev/gateway/warmup"
)

// Intervals and sizes of the dispatcher.
const (
	// shareInterval is how often account shares are recomputed. The other gateways' demands
	// arrive at the same rate.
	shareInterval = 250 * time.Millisecond
	// cacheSweepTicks is the number of share intervals between two sweeps of parts that
	// servers no longer cache.
	cacheSweepTicks = 8
	// maxDemands limits the accounts, largest demand first, that are announced to the other
	// gateways.
	maxDemands = 48
	// overdueInterval is how often requests without a first event are checked for overdue
	// ones. A server reads 2,500 prompt tokens in this time.
	overdueInterval = 50 * time.Millisecond
	// backlogErrorThreshold is how far a server's observed backlog must differ from the
	// prediction for the other gateways to be notified at once. Smaller differences go out with
	// the next load, some 50 ms later.
	backlogErrorThreshold = 100 * time.Millisecond
	// messageQueueSize limits the messages that wait for the dispatcher. A sender blocks
	// while the queue is full. The dispatcher never blocks on a request, so this cannot
	// deadlock.
	messageQueueSize = 256
)

// dispatcher owns all placement decisions: the balancer, the accounts' shares and the retry
// budget. It runs in one goroutine, and other goroutines reach it through its channel.
type dispatcher struct {
	log       zerolog.Logger
	peers     *peer.Node
	messages  chan dispatcherMessage
	done      chan struct{}
	peerState atomic.Pointer[peer.State]
	settings  DispatcherOptions
	lateness  func(since, now time.Time) time.Duration // worst scheduling delay of this process in a period
	claims    chan<- warmup.Claim                      // claims to write; one that finds the channel full is queued again later
	// Rollout statuses to write. One that finds the channel full is queued again later.
	statusWrites chan<- rolloutStatusWrite
	viewFresh    func(now time.Time) bool // whether the view is known to match the store

	livePeers       atomic.Int64 // live gateways other than this one
	tolerantStreams atomic.Bool  // see allStreamsTolerant
	pausesPredicted atomic.Int64 // requests sent although running streams were expected to be late because of them
	avoided         avoidedCounts
	metrics         Metrics
	started         time.Time

	// The fields below are owned by run.
	lastAttemptID        uint64                     // last attempt ID issued
	shareUpdates         int                        // number of times shares were recomputed
	pending              map[uint64]*pendingAttempt // own requests without a first event, by attempt ID
	lastHeard            map[string]time.Time       // last sign of life, by server
	loggedSpeeds         map[string]placement.Speed // as last logged, by service
	balancer             *placement.Balancer
	shares               *share.Tracker
	surplus              *surplus.Table // nil: not used
	retryBudget          *budget.Budget
	lateAcknowledgements []lateAcknowledgement // by due time
	budgetLoggedAt       map[string]time.Time  // when the use of the retry budget was last logged, by service
	coldLimiter          *warmup.Limiter
	planner              *continuation.Planner
	copyServers          int                        // servers that copy runs
	backups              map[uint64]string          // server at which the run is backed up, by attempt ID
	rollouts             map[string]*serviceRollout // by service
	lastRequested        map[string]time.Time       // time of the last request, by service
	halls                map[string]string          // of live gateways, by address
	view                 *View
	queue                waitQueue
	publishedAt          time.Time                 // when peerState was last built
	publishPending       bool                      // state has changed since then
	running              map[string]int            // own requests, by server
	serverIDs            map[uint64]string         // by hash of the ID
	backoffUntil         map[string]time.Time      // end of the backoff that a server has asked for, by server
	peerRunning          map[string]map[uint64]int // running requests by server hash, by live gateway
	demandByGateway      map[string]float64        // tokens asked for in the share window, by gateway, including this one
	slots                *slots.Model              // of plain services; nil: their requests do not wait for slots
	lengths              *decode.Lengths           // of answers
	answers              map[uint64]answer         // of attempts in flight whose memory is counted, by attempt ID
	reportedAt           map[string]time.Time      // latest report of running requests, by live gateway
}

// DispatcherOptions configures placement, shares and retries.
type DispatcherOptions struct {
	Retries     budget.Limits
	ShareWindow time.Duration // sliding window of account shares
	Policy      placement.Policy
	Hall        string
	Regions     map[string]string // by hall
	ColdLimits  warmup.Limits     // of a cold server; PerSecond comes from its service
	Address     string            // IP address of this gateway
	Features    Features
}

// pendingAttempt is a request that was sent and has no first event yet.
type pendingAttempt struct {
	server         string
	due            time.Time     // when the first event was predicted
	reportedSilent bool          // its server was already reported as silent
	position       time.Duration // total work sent to the server, including this request
	copiesCache    bool          // it first copies cached parts from another server
	sentAt         time.Time
	queueTime      time.Duration // predicted time until the server starts on it
	prefillTime    time.Duration // predicted time to read its prompt
	account        string
	tokens         float64 // charged to the account
	service        string
	retry          bool // the request had reached another server before
}

// newDispatcher returns a dispatcher that does not run yet.
func newDispatcher(log zerolog.Logger, s DispatcherOptions, now time.Time) *dispatcher {
	d := &dispatcher{
		log: log, settings: s, lateness: func(_, _ time.Time) time.Duration { return 0 }, messages: make(chan dispatcherMessage, messageQueueSize), done: make(chan struct{}),
		balancer: placement.NewBalancer(s.Policy), shares: share.NewTracker(s.ShareWindow), retryBudget: budget.New(s.Retries, now),
		pending: map[uint64]*pendingAttempt{}, lastHeard: map[string]time.Time{}, loggedSpeeds: map[string]placement.Speed{},
		view: &View{}, running: map[string]int{}, serverIDs: map[uint64]string{}, backoffUntil: map[string]time.Time{},
		peerRunning: map[string]map[uint64]int{}, demandByGateway: map[string]float64{},
		rollouts: map[string]*serviceRollout{}, viewFresh: func(time.Time) bool { return true },
		metrics: discardMetrics{}, started: now, budgetLoggedAt: map[string]time.Time{},
		backups: map[uint64]string{},
		lengths: decode.NewLengths(), answers: map[uint64]answer{},
		planner:     continuation.NewPlanner(continuation.DefaultLimits()),
		coldLimiter: warmup.NewLimiter(), lastRequested: map[string]time.Time{}, halls: map[string]string{},
	}
	d.balancer.SetRegions(s.Regions)
	if s.Features.QueuePlainWork != Off {
		d.slots, d.reportedAt = d.balancer.QueuePlainWork(), map[string]time.Time{}
	}
	d.peerState.Store(&peer.State{})
	return d
}

// send passes a message to the dispatcher. Once the dispatcher has stopped, messages are
// dropped.
func (d *dispatcher) send(m dispatcherMessage) {
	select {
	case d.messages <- m:
	case <-d.done:
	}
}

// viewChanged passes a new view to the dispatcher.
func (d *dispatcher) viewChanged(v *View) { d.send(viewReplaced{v}) }

// requestPlacement returns the decision for a request, which may take until the request
// leaves the wait queue. ok is false if ctx ends first.
func (d *dispatcher) requestPlacement(ctx context.Context, a *placement.Request, retry bool, tokens float64) (placement.Decision, bool) {
	reply := make(chan placement.Decision, 1)
	request := *a // the dispatcher may still use it after ctx has ended
	d.send(placementRequest{request: &request, retry: retry, tokens: tokens, done: ctx.Done(), reply: reply})
	select {
	case decision := <-reply:
		*a = request // the dispatcher has filled in the account's share status
		return decision, true
	case <-d.done:
		return nil, false
	case <-ctx.Done():
		go d.releasePlacement(reply)
		return nil, false
	}
}

// releasePlacement undoes a decision that nobody waits for any more.
func (d *dispatcher) releasePlacement(reply <-chan placement.Decision) {
	select {
	case decision := <-reply:
		if a, ok := decision.(placement.Assign); ok {
			d.send(attemptEnded{attemptID: a.ID, server: a.Server.ID, end: placement.Abandoned})
		}
	case <-d.done:
	}
}

// run handles messages until ctx ends.
func (d *dispatcher) run(ctx context.Context) {
	defer close(d.done)
	shareTicker := time.NewTicker(shareInterval)
	defer shareTicker.Stop()
	overdueTicker := time.NewTicker(overdueInterval)
	defer overdueTicker.Stop()
	d.queue.timer = time.NewTimer(waitScanInterval)
	defer d.queue.timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-d.messages:
			d.handle(time.Now(), m)
		case now := <-shareTicker.C:
			d.updateShares(now)
		case now := <-d.queue.timer.C:
			d.scanWaiting(now)
		case now := <-overdueTicker.C:
			d.detectOverdue(now)
			d.acknowledgeLate(now)
			d.queueClaims(now)
			d.advanceRollouts(now)
			d.checkSlots(now)
			if d.publishPending {
				d.publish()
			}
		}
	}
}

// handle handles a message.
func (d *dispatcher) handle(now time.Time, m dispatcherMessage) {
	switch m := m.(type) {
	case placementRequest:
		d.place(now, m)
	case requestArrived:
		d.earnRetries(now, m.service)
		d.lastRequested[m.service] = now
		if m.account != "" {
			d.shares.RecordAsked(now, m.account, m.tokens)
		}
	case firstEventReceived:
		d.recordFirstEvent(now, m)
	case attemptEnded:
		d.recordEnd(now, m)
	case cacheReported:
		d.balancer.RecordCached(now, m.server, m.parts)
	case rolloutStatusWritten:
		d.applyStatusWritten(now, m)
	case claimWritten:
		d.applyClaimOutcome(now, m)
	case invalidReceived:
		d.balancer.RecordInvalid(now, m.server)
	case leavingAnnounced:
		d.balancer.MarkLeaving(m.server)
	case backoffRequested:
		d.backoffUntil[m.server] = latest(d.backoffUntil[m.server], m.until)
		d.balancer.BackoffUntil(now, m.server, m.until)
	case moveRequested:
		m.reply <- d.decideMove(now, m)
	case moveEnded:
		d.planner.MoveEnded(m.target)
	case runContinued:
		m.reply <- d.recordContinued(now, m)
	case viewReplaced:
		d.setView(now, m.view)
	case peersUpdated:
		for _, u := range m.updates {
			d.applyUpdate(now, u)
		}
	}
}

// decide places a request and records it as sent if the decision is to send it.
func (d *dispatcher) decide(now time.Time, m placementRequest) placement.Decision {
	if m.retry && !d.mayRetry(now, m.request.Service) {
		return placement.Refuse{RetryAfter: d.settings.Policy.MinRetryAfter, Reason: retryBudgetSpent}
	}
	d.setShareStatus(m.request)
	d.setSlotStatus(now, m.request)
	d.setExpectedOutput(m.request)
	var decision placement.Decision
	ro := d.rollouts[m.request.Service]
	if ro == nil {
		decision = d.balancer.Place(now, m.request)
	} else {
		decision = d.placeByVersion(now, ro, m.request)
	}
	assign, ok := decision.(placement.Assign)
	if !ok {
		return decision
	}
	if m.retry {
		d.takeRetry(now, m.request.Service)
	}
	if m.request.Account != "" {
		d.shares.RecordAdmitted(now, m.request.Account, m.tokens)
	}
	position := d.balancer.RecordSent(now, assign.Load, true)
	d.lastAttemptID++
	assign.ID = d.lastAttemptID
	d.pending[assign.ID] = &pendingAttempt{
		server: assign.Server.ID, due: now.Add(assign.Predicted), position: position, copiesCache: assign.CopyFrom != "",
		sentAt: now, queueTime: assign.QueueTime, prefillTime: assign.PrefillTime, account: m.request.Account, tokens: m.tokens,
		service: m.request.Service, retry: m.retry,
	}
	d.running[assign.Server.ID]++
	d.recordSlotSend(now, m.request.Service, assign)
	d.recordAnswerExpected(m.request, assign)
	assign.Backup = d.chooseBackup(now, m.request, assign)
	if ro != nil {
		d.recordRolloutSend(now, ro, assign)
	}
	if d.coldLimiter.IsCold(now, assign.Server.ID) {
		assign.SendBefore = now.Add(warmup.MaxSendDelay)
		d.recordColdSend(now, assign.Server.ID)
	}
	d.schedulePublish(now)
	if assign.Load.Work > 0 {
		d.peers.PublishLoad(peer.Load{Server: hashString(assign.Server.ID), Work: assign.Load.Work, Parts: assign.Load.Parts, Tokens: assign.Load.CacheTokens})
	}
	return assign
}

// setShareStatus fills in the status of the request's account.
func (d *dispatcher) setShareStatus(a *placement.Request) {
	if a.Account == "" {
		return
	}
	status := d.shares.Status(a.Account)
	a.OverShare, a.Capped, a.ShareRatio = status.OverShare, status.Capped, status.ShareRatio
}

// recordEnd handles the end of an attempt.
func (d *dispatcher) recordEnd(now time.Time, m attemptEnded) {
	d.refundTokens(now, m)
	d.recordRolloutAnswer(now, m)
	d.planner.RecordPace(m.service, m.eventInterval)
	d.endBackup(m.attemptID)
	d.recordAnswerEnd(m)
	d.recordStreamEnd(now, m)
	d.endRetry(now, d.pending[m.attemptID], m)
	delete(d.pending, m.attemptID)
	if m.end == placement.Served || m.end == placement.Rejected {
		d.lastHeard[m.server] = now
	}
	if m.end == placement.Unreachable && d.unreliable(now, now.Add(-dialTimeout)) {
		m.end = placement.Abandoned // the connection may have been established without this process noticing
	}
	d.balancer.RecordEnd(now, m.server, true, m.end)
	d.running[m.server]--
	if d.running[m.server] <= 0 {
		delete(d.running, m.server)
	}
	d.recordSlotEnd(now, m)
	d.schedulePublish(now)
}

// refundTokens stops counting a request against its account's share if it never began to
// run through no fault of its caller. Otherwise a crash makes accounts look served: one
// server was sent 0.27 million tokens in the second in which it ended, and accounts that
// had received nothing counted as over their share for four seconds.
func (d *dispatcher) refundTokens(now time.Time, m attemptEnded) {
	p := d.pending[m.attemptID]
	if p == nil || p.account == "" {
		return
	}
	switch m.end {
	case placement.Failed, placement.Unreachable, placement.Rejected, placement.NotSent:
		d.shares.RevertAdmitted(now, p.sentAt, p.account, p.tokens)
	}
}

// setView takes over the configuration and the servers of a new view.
func (d *dispatcher) setView(now time.Time, v *View) {
	d.setPlannerFleet(now, d.view, v)
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
	d.setPauseLimits(v.Configuration)
	d.setSurplus()
	d.setSlotServices(v.Configuration)
	d.reapplyBackoffs(now)
	peerRunning := d.peerRunningByServer()
	clear(d.serverIDs)
	for _, s := range v.Servers {
		h := hashString(s.ID)
		d.serverIDs[h] = s.ID
		d.balancer.SetRemoteRunning(s.ID, peerRunning[h]) // peers may have reported it before this gateway knew the server
	}
	d.setSlotServers()
	d.setColdServers(now, v)
	d.setRollouts(now, v)
	d.publish()
}

// reapplyBackoffs restores backoffs after the servers were replaced: a server whose entry
// lapsed for a moment is new to the balancer. Expired backoffs are removed.
func (d *dispatcher) reapplyBackoffs(now time.Time) {
	for id, until := range d.backoffUntil {
		if !now.Before(until) {
			delete(d.backoffUntil, id)
			continue
		}
		d.balancer.BackoffUntil(now, id, until)
	}
}

// peerRunningByServer returns the other gateways' requests by server hash. It iterates over
// the running requests: iterating over all gateways for each server grows with the product
// of both.
func (d *dispatcher) peerRunningByServer() map[uint64]int {
	sums := map[uint64]int{}
	for _, running := range d.peerRunning {
		for h, n := range running {
			sums[h] += n
		}
	}
	return sums
}

// updateShares recomputes the account shares and runs the periodic checks that need no shorter
// interval.
func (d *dispatcher) updateShares(now time.Time) {
	rate := 0.0
	if d.view.Configuration != nil {
		rate = d.view.Configuration.Limits.TokensPerSecond
	}
	d.shares.Recompute(now, rate)
	if d.surplus != nil {
		d.surplus.Sweep(now)
	}
	d.planner.SetFleet(now, d.copyServers, d.fleetSize())
	if d.shareUpdates++; d.shareUpdates%cacheSweepTicks == 0 {
		d.balancer.PruneCaches()
	}
	d.detectSilent(now)
	d.logSpeeds()
	d.publishDemands(now)
}

// fleetSize returns the number of live gateways, including this one.
func (d *dispatcher) fleetSize() int { return len(d.peerRunning) + 1 }

// hashString returns a short identifier for an ID.
func hashString(id string) uint64 { return idhash.Sum(id) }
