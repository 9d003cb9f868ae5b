package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/continuation"
	"opalbridge.dev/gateway/placement"
)

// This file moves the runs of this gateway off servers that leave. Each run at such a server has a
// goroutine that asks the dispatcher whether and where to, and has the source copy the run's memory
// twice: while it runs, and, once it is stopped, what is new since. The call's own goroutine then
// sends the request to the target, see call_continue.go.

const (
	// drainTime is how long a server serves after it has announced that it leaves: the platform's
	// drain_ms.
	drainTime = 3 * time.Second
	// finalCopyTime is the time before its server's end at which a run must have been copied while it goes
	// on. Tens of milliseconds are usual, but all gateways copy from that server at once.
	finalCopyTime = 500 * time.Millisecond
	// stopTimeout bounds the copy of what is new once the run has stopped, for which its caller waits. It
	// takes milliseconds, unless the server's link is busy with the copies of other runs.
	stopTimeout = time.Second
	// closeTimeout is how long a stopped run's stream may stay open. The server closes it at once.
	closeTimeout = 100 * time.Millisecond
	// busyInterval is the time between two calls to a source that is handling another one for the run.
	busyInterval = 20 * time.Millisecond
	// notBegunInterval is the time until a source that does not know a run yet is asked again.
	notBegunInterval = 250 * time.Millisecond
	// maxMoveTargets limits the targets that are tried for a move.
	maxMoveTargets = 3
	// maxMoves limits how often a request moves.
	maxMoves = 4
	// leavingRunsRetention is how long a leaving server is remembered that is in no view.
	leavingRunsRetention = time.Minute
)

// errRunMoved is the cause with which an attempt ends whose run was stopped and whose stream was not
// closed by the server.
var errRunMoved = errors.New("gateway: the run has moved")

// Reasons why a run does not move, in addition to those of package continuation.
const (
	reasonEnded       continuation.Reason = "it has ended"
	reasonNoIDs       continuation.Reason = "its event IDs are not ascending numbers"
	reasonSharedID    continuation.Reason = "another request has its ID"
	reasonNoVersion   continuation.Reason = "its server's version is not certain"
	reasonNotBegun    continuation.Reason = "its server has not begun it"
	reasonBusy        continuation.Reason = "its server is handling another call for it"
	reasonSourceFails continuation.Reason = "its server does not answer"
)

// moveOutcome is what became of a run that was to move.
type moveOutcome interface{ moveOutcome() }

// stayed means that the run was not stopped.
type stayed struct{ reason continuation.Reason }

// moved means that the source has stopped the run and the target has its memory.
type moved struct {
	target catalog.Server
	handle string
}

// stopped means that the source has stopped the run and only the source has its memory.
type stopped struct{ handle string }

// unanswered means that it is unknown whether the source has stopped the run. The handle is that of
// the copy before.
type unanswered struct {
	handle string
	err    error
}

func (stayed) moveOutcome()     {}
func (moved) moveOutcome()      {}
func (stopped) moveOutcome()    {}
func (unanswered) moveOutcome() {}

// streamRuns holds the streams of this gateway that can move or are backed up. It is safe for concurrent use; nil holds
// none.
type streamRuns struct {
	gateway *Gateway
	mutex   sync.Mutex
	byID    map[string]*idUse                  // of requests at servers, by request ID
	runs    map[string]map[*streamRun]struct{} // by server
	leaving map[string]time.Time               // when it was first known, by server
	slots   chan struct{}                      // held by runs that ask to move now or are moving, so that the others ask the dispatcher seldom
}

func newStreamRuns(g *Gateway) *streamRuns {
	return &streamRuns{gateway: g, byID: map[string]*idUse{}, runs: map[string]map[*streamRun]struct{}{}, leaving: map[string]time.Time{},
		slots: make(chan struct{}, continuation.DefaultLimits().MaxMoves)}
}

// streamRun is a run that can move or is backed up.
type streamRun struct {
	movable  bool
	gateway  *Gateway
	id       string // the ID of its request
	server   catalog.Server
	service  string
	engine   *catalog.Engine
	sent     time.Time
	first    time.Duration // predicted time from then to the first event
	deadline time.Time
	request  placement.Request // for the choice of a target
	events   int               // that the caller had before this attempt
	stream   context.Context   // ends with the attempt
	cancel   context.CancelCauseFunc
	outcome  chan moveOutcome // of the move, has room for it; nil: none was begun

	mutex       sync.Mutex
	progress    runProgress
	phase       movePhase
	stopMove    context.CancelFunc // ends the move before its phase is moveStopping
	confirmed   bool               // the stream's connection leads to the believed lifetime of the server
	finalResult moveOutcome        // used by the call's goroutine only; nil: not known yet
}

// movePhase is how far a move is.
type movePhase int

const (
	moveNone     movePhase = iota // the source has not been asked to stop the run
	moveStopping                  // it may have been
	moveClosed                    // the stream has ended, so that no move may stop the run
)

// runProgress is what a run has answered.
type runProgress struct {
	events     int
	firstEvent time.Time
	lastEvent  time.Time
	unjoinable bool // events of the run from another server could not be joined to those that the caller has
}

// begin adds a run, and moves it if its server is leaving already.
func (s *streamRuns) begin(r *streamRun) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.runs[r.server.ID] == nil {
		s.runs[r.server.ID] = map[*streamRun]struct{}{}
	}
	s.runs[r.server.ID][r] = struct{}{}
	if since, leaving := s.leaving[r.server.ID]; leaving && r.movable {
		r.startMove(since.Add(drainTime))
	}
}

// end removes a run.
func (s *streamRuns) end(r *streamRun) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.runs[r.server.ID], r)
	if len(s.runs[r.server.ID]) == 0 {
		delete(s.runs, r.server.ID)
	}
}

// idUse is the use of an ID by requests at servers.
type idUse struct {
	requests int
	shared   bool // several had it at once
}

// addID records that a request with an ID is at a server. The returned function records that it is
// not any more.
func (s *streamRuns) addID(id string) (remove func()) {
	if s == nil {
		return func() {}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	u := s.byID[id]
	if u == nil {
		u = &idUse{}
		s.byID[id] = u
	}
	u.requests++
	u.shared = u.shared || u.requests > 1
	return func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if u.requests--; u.requests == 0 {
			delete(s.byID, id)
		}
	}
}

// usesID reports whether a request with an ID is at a server.
func (s *streamRuns) usesID(id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.byID[id] != nil
}

// sharedID reports whether several requests with an ID have been at servers at once. Servers cannot
// tell their runs and copies apart.
func (s *streamRuns) sharedID(id string) bool {
	if s == nil {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	u := s.byID[id]
	return u != nil && u.shared
}

// serverLeaving moves the runs off a server that leaves.
func (s *streamRuns) serverLeaving(now time.Time, server string) {
	if s == nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.setLeaving(now, server)
}

func (s *streamRuns) setLeaving(now time.Time, server string) {
	if _, known := s.leaving[server]; known {
		return
	}
	s.leaving[server] = now
	for r := range s.runs[server] {
		if r.movable {
			r.startMove(now.Add(drainTime))
		}
	}
}

// viewChanged moves the runs off servers that leave or are evacuated by a new view.
func (s *streamRuns) viewChanged(now time.Time, servers []catalog.Server) {
	if s == nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, server := range servers {
		if server.Leaving || server.Evacuated {
			s.setLeaving(now, server.ID)
			continue
		}
		delete(s.leaving, server.ID) // its evacuation has ended
	}
	for id, since := range s.leaving {
		if now.Sub(since) > leavingRunsRetention && len(s.runs[id]) == 0 {
			delete(s.leaving, id)
		}
	}
}

// eventRelayed records an event that the caller got.
func (r *streamRun) eventRelayed(now time.Time, joinable, confirmed bool) {
	if r == nil {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	p := &r.progress
	if p.events++; p.events == 1 {
		p.firstEvent = now
	}
	p.lastEvent, p.unjoinable = now, !joinable
	r.confirmed = r.confirmed || confirmed
}

// startMove begins to move the run off its server, which ends at a time, unless that was begun before.
func (r *streamRun) startMove(end time.Time) {
	ctx, stop := context.WithCancel(r.stream)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.phase == moveClosed || r.outcome != nil {
		stop()
		return
	}
	r.stopMove, r.outcome = stop, make(chan moveOutcome, 1)
	go func() {
		defer stop()
		r.outcome <- r.move(ctx, end)
	}()
}

// finish returns what became of the run after its stream has ended or has broken off. After that no
// move stops it. The caller waits for a stop in progress, for stopTimeout at most. It is called by the
// call's goroutine only.
func (r *streamRun) finish() moveOutcome {
	if r.finalResult != nil {
		return r.finalResult
	}
	r.mutex.Lock()
	if r.phase == moveNone {
		r.phase = moveClosed
		if r.stopMove != nil {
			r.stopMove()
		}
	}
	outcome := r.outcome
	r.mutex.Unlock()
	r.finalResult = stayed{reasonEnded}
	if outcome != nil {
		r.finalResult = <-outcome
	}
	return r.finalResult
}

// beginStop reports whether the source may be asked to stop the run now.
func (r *streamRun) beginStop() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.phase != moveNone {
		return false
	}
	r.phase = moveStopping
	return true
}

// move moves the run and returns what became of it. Until it has asked the source to stop the run, it
// ends with ctx.
func (r *streamRun) move(ctx context.Context, end time.Time) moveOutcome {
	request := r.request
	var reason continuation.Reason
	for tried := 0; tried < maxMoveTargets; {
		target, why := r.awaitTarget(ctx, &request, end)
		if why != "" {
			return stayed{why}
		}
		outcome, why := r.moveTo(ctx, target, end)
		r.gateway.dispatcher.send(moveEnded{target: target.ID})
		<-r.gateway.runs.slots
		if outcome != nil {
			return outcome
		}
		reason = why
		if why == reasonNotBegun {
			select {
			case <-ctx.Done():
				return stayed{reasonEnded}
			case <-time.After(notBegunInterval):
			}
			continue
		}
		tried++
		request.Exclude = append(request.Exclude[:len(request.Exclude):len(request.Exclude)], target.ID)
	}
	return stayed{reason}
}

// awaitTarget returns the server that the run moves to, and holds a slot for the move, or the reason why
// it stays.
func (r *streamRun) awaitTarget(ctx context.Context, request *placement.Request, end time.Time) (catalog.Server, continuation.Reason) {
	holding := false
	waited := continuation.NoTime // why there was no target before
	for {
		if !holding {
			select {
			case <-ctx.Done():
				return catalog.Server{}, reasonEnded
			case r.gateway.runs.slots <- struct{}{}:
				holding = true
			}
		}
		target, wait, why := r.askTarget(ctx, request, end)
		if why == "" {
			return target, ""
		}
		if wait == 0 || why == continuation.EndsInTime || why == continuation.NoTarget {
			<-r.gateway.runs.slots
			holding = false
		}
		switch {
		case wait == 0 && why == continuation.NoTime:
			return catalog.Server{}, waited
		case wait == 0:
			return catalog.Server{}, why
		case why != continuation.EndsInTime:
			waited = why
		}
		select {
		case <-ctx.Done():
			if holding {
				<-r.gateway.runs.slots
			}
			return catalog.Server{}, reasonEnded
		case <-time.After(wait):
		}
	}
}

// askTarget asks the dispatcher for the server that the run moves to. If there is none now, it returns
// why, and how long to wait until it asks again; 0: the run stays.
func (r *streamRun) askTarget(ctx context.Context, request *placement.Request, end time.Time) (target catalog.Server, wait time.Duration, why continuation.Reason) {
	if why := r.checkMovable(ctx); why != "" {
		return catalog.Server{}, 0, why
	}
	now := time.Now()
	m, ok := r.gateway.dispatcher.requestMove(moveRequested{run: r.describe(now), request: request, left: end.Sub(now)})
	if !ok {
		return catalog.Server{}, 0, reasonEnded
	}
	switch d := m.decision.(type) {
	case continuation.Move:
		return m.target, 0, ""
	case continuation.Wait:
		return catalog.Server{}, d.For, d.Reason
	case continuation.Stay:
		return catalog.Server{}, 0, d.Reason
	default:
		panic(errors.AssertionFailedf("gateway: decision %T", d))
	}
}

// checkMovable returns why the run cannot move, or "". Events of two versions, or of two requests,
// must not be joined, and events that the caller has must be recognized.
func (r *streamRun) checkMovable(ctx context.Context) continuation.Reason {
	r.mutex.Lock()
	p, confirmed := r.progress, r.confirmed
	r.mutex.Unlock()
	if p.unjoinable {
		return reasonNoIDs
	}
	if r.gateway.runs.sharedID(r.id) {
		return reasonSharedID
	}
	if confirmed || !r.gateway.lifetimeInDoubt(r.server) {
		return ""
	}
	switch err := r.gateway.confirmLifetime(ctx, r.server); {
	case ctx.Err() != nil:
		return reasonEnded
	case err != nil:
		return reasonNoVersion
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.confirmed = true
	return ""
}

// describe describes the run for the planner.
func (r *streamRun) describe(now time.Time) continuation.Run {
	r.mutex.Lock()
	p := r.progress
	r.mutex.Unlock()
	run := continuation.Run{
		Service: r.service, Hall: r.server.Hall, PromptTokens: r.request.PromptTokens, OutputTokens: r.request.OutputTokens,
		EventTokens: r.engine.MaxEventTokens, Events: r.events + p.events, Remaining: r.deadline.Sub(now),
		BytesPerToken: r.engine.BytesPerToken, LinkMbps: r.engine.LinkMbps, TieBreak: r.request.TieBreak,
	}
	const minEvents = 3 // fewer say little of the pace
	if p.events >= minEvents {
		run.EventInterval = p.lastEvent.Sub(p.firstEvent) / time.Duration(p.events-1)
	}
	if p.events == 0 {
		run.FirstEvent = max(r.sent.Add(r.first).Sub(now), 0)
	}
	return run
}

// moveTo moves the run to a target. It returns no outcome, and the reason, if another target may be
// tried.
func (r *streamRun) moveTo(ctx context.Context, target catalog.Server, end time.Time) (moveOutcome, continuation.Reason) {
	handle, why := r.copyRunning(ctx, target, end.Add(-finalCopyTime))
	switch {
	case why == continuation.NoTarget, why == reasonSourceFails, why == reasonNotBegun:
		return nil, why
	case why != "":
		return stayed{why}, ""
	case !r.beginStop():
		r.gateway.freeCopy(r.server, handle)
		return stayed{reasonEnded}, ""
	}
	return r.stopAndCopy(target, handle), ""
}

// copyRunning copies the run's memory while it goes on, until a time at most, and returns the copy's
// handle or the reason why there is none.
func (r *streamRun) copyRunning(ctx context.Context, target catalog.Server, until time.Time) (handle string, why continuation.Reason) {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	result, err := r.copyTo(ctx, target, false)
	if err != nil {
		return "", reasonSourceFails
	}
	switch result := result.(type) {
	case RunCopied:
		return result.Handle, ""
	case RunNotCopied:
		return "", continuation.NoTarget
	case RunBusy:
		return "", reasonBusy
	default:
		if r.answers() {
			return "", reasonEnded
		}
		return "", reasonNotBegun // its request is on the way or waits at the server
	}
}

// stopAndCopy has the source stop the run and copy what is new since the copy with the given handle.
// The call ends neither with the attempt nor with the caller's connection: the source may have
// stopped the run.
func (r *streamRun) stopAndCopy(target catalog.Server, handle string) moveOutcome {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.stream), stopTimeout)
	defer cancel()
	result, err := r.copyTo(ctx, target, true)
	if err != nil {
		return unanswered{handle, err}
	}
	switch result := result.(type) {
	case RunCopied:
		r.closeSoon()
		return moved{target, result.Handle}
	case RunNotCopied:
		r.closeSoon()
		return stopped{result.Handle}
	case RunBusy:
		r.gateway.freeCopy(r.server, handle)
		return stayed{reasonBusy}
	default:
		r.gateway.freeCopy(r.server, handle)
		return stayed{reasonEnded}
	}
}

// answers reports whether the run has made an event.
func (r *streamRun) answers() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.progress.events > 0
}

// closeSoon closes the stream of the stopped run if the server does not.
func (r *streamRun) closeSoon() {
	time.AfterFunc(closeTimeout, func() { r.cancel(errRunMoved) })
}

// copyTo asks the source for a copy, again while it is handling another call for the run.
func (r *streamRun) copyTo(ctx context.Context, target catalog.Server, stop bool) (RunCopyResult, error) {
	for {
		result, err := r.gateway.options.Copies.Copy(ctx, RunCopyRequest{Source: r.server, RunID: r.id, Target: target.Address, Stop: stop})
		if _, busy := result.(RunBusy); err != nil || !busy {
			return result, err
		}
		select {
		case <-ctx.Done():
			return result, nil
		case <-time.After(busyInterval):
		}
	}
}
