// Package transfer moves the runs of a gateway off servers that leave.
//
// # Usage
//
//	cleaner := transfer.NewCleaner(copies, log) // cleaner.Run frees copies that were not used
//	runs := transfer.NewRuns(transfer.Options{Copies: copies, Planner: planner, Lifetimes: lifetimes, Cleaner: cleaner})
//	defer runs.AddID(id)()                      // for each request while it is at a server
//	run := &transfer.Run{Movable: true, ID: id, Server: server, …}
//	runs.Begin(run)                             // when the request is sent
//	run.EventRelayed(now, joinable, confirmed)  // for each event
//	runs.End(run)
//	switch o := run.Finish().(type) {           // when the stream has ended or has broken off
//	case transfer.Moved:      // the run goes on at o.Target by o.Handle, or at its server
//	case transfer.Stopped:    // the run goes on at its server by o.Handle
//	case transfer.Unanswered: // its server knows whether it has stopped the run
//	case transfer.Stayed:     // the run was not stopped
//	}
//
// [Runs.ServerLeaving] and [Runs.ViewChanged] tell which servers leave. Each run there has a goroutine
// that asks the planner whether and where to it moves, and has the source copy the run's memory twice:
// while it runs, and, once it is stopped, what is new since. The goroutine ends with the run's stream,
// except within the second copy, and [Run.Finish] waits for it.
//
// The package decides nothing itself; see package continuation.
package transfer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/continuation"
	"opalbridge.dev/gateway/placement"
	"opalbridge.dev/gateway/protocol"
)

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
	// leavingRunsRetention is how long a leaving server is remembered that is in no view.
	leavingRunsRetention = time.Minute
)

// errMoved is the cause with which an attempt ends whose run was stopped and whose stream was not
// closed by the server.
var errMoved = errors.New("transfer: the run has moved")

// Reasons why a run does not move, in addition to those of package continuation.
const (
	reasonEnded       continuation.Reason = "it has ended"
	NoIDs             continuation.Reason = "its event IDs are not ascending numbers"
	reasonSharedID    continuation.Reason = "another request has its ID"
	reasonNoVersion   continuation.Reason = "its server's version is not certain"
	reasonNotBegun    continuation.Reason = "its server has not begun it"
	reasonBusy        continuation.Reason = "its server is handling another call for it"
	reasonSourceFails continuation.Reason = "its server does not answer"
)

// Outcome is what became of a run that was to move.
type Outcome interface{ outcome() }

// Stayed means that the run was not stopped.
type Stayed struct{ Reason continuation.Reason }

// Moved means that the source has stopped the run and the target has its memory.
type Moved struct {
	Target catalog.Server
	Handle string
}

// Stopped means that the source has stopped the run and only the source has its memory.
type Stopped struct{ Handle string }

// Unanswered means that it is unknown whether the source has stopped the run. The handle is that of
// the copy before.
type Unanswered struct {
	Handle string
	Err    error
}

func (Stayed) outcome()     {}
func (Moved) outcome()      {}
func (Stopped) outcome()    {}
func (Unanswered) outcome() {}

// Planner decides which runs move and where to.
type Planner interface {
	// PlanMove decides on a run whose server ends when a time has passed, and returns the server that the run
	// moves to, if it does. The request is restricted to the servers that may take over the run.
	// ok is false if no decision is made any more.
	PlanMove(r continuation.Run, request *placement.Request, left time.Duration) (d continuation.Decision, target catalog.Server, ok bool)
	// MoveEnded records the end of a move to a server that PlanMove has returned.
	MoveEnded(target string)
}

// Lifetimes tells the lifetimes of servers apart.
type Lifetimes interface {
	// InDoubt reports whether a connection may lead to another lifetime of a server than the believed one.
	InDoubt(s catalog.Server) bool
	// Confirm returns nil if a server is in the believed lifetime.
	Confirm(ctx context.Context, s catalog.Server) error
}

// Options configure Runs.
type Options struct {
	Copies    Copies
	Planner   Planner
	Lifetimes Lifetimes
	Cleaner   *Cleaner
}

// Runs holds the streams of a gateway that can move or are backed up. It is safe for concurrent use; nil
// holds none.
type Runs struct {
	options Options
	mutex   sync.Mutex
	byID    map[string]*idUse            // of requests at servers, by request ID
	runs    map[string]map[*Run]struct{} // by server
	leaving map[string]time.Time         // when it was first known, by server
	slots   chan struct{}                // held by runs that ask to move now or are moving, so that the others ask the planner seldom
}

// NewRuns returns Runs that hold none.
func NewRuns(o Options) *Runs {
	return &Runs{options: o, byID: map[string]*idUse{}, runs: map[string]map[*Run]struct{}{}, leaving: map[string]time.Time{},
		slots: make(chan struct{}, continuation.DefaultLimits().MaxMoves)}
}

// Run is a run that can move or is backed up. Its fields must not change once it has begun.
type Run struct {
	Movable    bool
	ID         string // the ID of its request
	Server     catalog.Server
	Service    string
	Engine     *catalog.Engine
	Sent       time.Time
	FirstEvent time.Duration // predicted time from then to the first event
	Deadline   time.Time
	Request    placement.Request // for the choice of a target
	Events     int               // that the caller had before this attempt
	Joinable   bool              // events from another server could be joined to these
	Stream     context.Context   // ends with the attempt
	Cancel     context.CancelCauseFunc

	runs        *Runs
	outcome     chan Outcome // of the move, has room for it; nil: none was begun
	mutex       sync.Mutex
	progress    runProgress
	phase       movePhase
	stopMove    context.CancelFunc // ends the move before its phase is moveStopping
	confirmed   bool               // the stream's connection leads to the believed lifetime of the server
	finalResult Outcome            // used by the call's goroutine only; nil: not known yet
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

// Begin adds a run, and moves it if its server is leaving already.
func (s *Runs) Begin(r *Run) {
	r.runs, r.progress.unjoinable = s, !r.Joinable
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.runs[r.Server.ID] == nil {
		s.runs[r.Server.ID] = map[*Run]struct{}{}
	}
	s.runs[r.Server.ID][r] = struct{}{}
	if since, leaving := s.leaving[r.Server.ID]; leaving && r.Movable {
		r.startMove(since.Add(drainTime))
	}
}

// End removes a run.
func (s *Runs) End(r *Run) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.runs[r.Server.ID], r)
	if len(s.runs[r.Server.ID]) == 0 {
		delete(s.runs, r.Server.ID)
	}
}

// idUse is the use of an ID by requests at servers.
type idUse struct {
	requests int
	shared   bool // several had it at once
}

// AddID records that a request with an ID is at a server. The returned function records that it is
// not any more.
func (s *Runs) AddID(id string) (remove func()) {
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

// UsesID reports whether a request with an ID is at a server.
func (s *Runs) UsesID(id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.byID[id] != nil
}

// SharedID reports whether several requests with an ID have been at servers at once. Servers cannot
// tell their runs and copies apart.
func (s *Runs) SharedID(id string) bool {
	if s == nil {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	u := s.byID[id]
	return u != nil && u.shared
}

// ServerLeaving moves the runs off a server that leaves.
func (s *Runs) ServerLeaving(now time.Time, server string) {
	if s == nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.setLeaving(now, server)
}

func (s *Runs) setLeaving(now time.Time, server string) {
	if _, known := s.leaving[server]; known {
		return
	}
	s.leaving[server] = now
	for r := range s.runs[server] {
		if r.Movable {
			r.startMove(now.Add(drainTime))
		}
	}
}

// ViewChanged moves the runs off servers that leave or are evacuated by a new view.
func (s *Runs) ViewChanged(now time.Time, servers []catalog.Server) {
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

// EventRelayed records an event that the caller got.
func (r *Run) EventRelayed(now time.Time, joinable, confirmed bool) {
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
func (r *Run) startMove(end time.Time) {
	ctx, stop := context.WithCancel(r.Stream)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.phase == moveClosed || r.outcome != nil {
		stop()
		return
	}
	r.stopMove, r.outcome = stop, make(chan Outcome, 1)
	go func() {
		defer stop()
		r.outcome <- r.move(ctx, end)
	}()
}

// Finish returns what became of the run after its stream has ended or has broken off. After that no
// move stops it. The caller waits for a stop in progress, for stopTimeout at most. It is called by the
// call's goroutine only.
func (r *Run) Finish() Outcome {
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
	r.finalResult = Stayed{reasonEnded}
	if outcome != nil {
		r.finalResult = <-outcome
	}
	return r.finalResult
}

// beginStop reports whether the source may be asked to stop the run now.
func (r *Run) beginStop() bool {
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
func (r *Run) move(ctx context.Context, end time.Time) Outcome {
	request := r.Request
	var reason continuation.Reason
	for tried := 0; tried < maxMoveTargets; {
		target, why := r.awaitTarget(ctx, &request, end)
		if why != "" {
			return Stayed{why}
		}
		outcome, why := r.moveTo(ctx, target, end)
		r.runs.options.Planner.MoveEnded(target.ID)
		<-r.runs.slots
		if outcome != nil {
			return outcome
		}
		reason = why
		if why == reasonNotBegun {
			select {
			case <-ctx.Done():
				return Stayed{reasonEnded}
			case <-time.After(notBegunInterval):
			}
			continue
		}
		tried++
		request.Exclude = append(request.Exclude[:len(request.Exclude):len(request.Exclude)], target.ID)
	}
	return Stayed{reason}
}

// awaitTarget returns the server that the run moves to, and holds a slot for the move, or the reason why
// it stays.
func (r *Run) awaitTarget(ctx context.Context, request *placement.Request, end time.Time) (catalog.Server, continuation.Reason) {
	holding := false
	waited := continuation.NoTime // why there was no target before
	for {
		if !holding {
			select {
			case <-ctx.Done():
				return catalog.Server{}, reasonEnded
			case r.runs.slots <- struct{}{}:
				holding = true
			}
		}
		target, wait, why := r.askTarget(ctx, request, end)
		if why == "" {
			return target, ""
		}
		if wait == 0 || why == continuation.EndsInTime || why == continuation.NoTarget {
			<-r.runs.slots
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
				<-r.runs.slots
			}
			return catalog.Server{}, reasonEnded
		case <-time.After(wait):
		}
	}
}

// askTarget asks the planner for the server that the run moves to. If there is none now, it returns
// why, and how long to wait until it asks again; 0: the run stays.
func (r *Run) askTarget(ctx context.Context, request *placement.Request, end time.Time) (target catalog.Server, wait time.Duration, why continuation.Reason) {
	if why := r.checkMovable(ctx); why != "" {
		return catalog.Server{}, 0, why
	}
	now := time.Now()
	decision, target, ok := r.runs.options.Planner.PlanMove(r.describe(now), request, end.Sub(now))
	if !ok {
		return catalog.Server{}, 0, reasonEnded
	}
	switch d := decision.(type) {
	case continuation.Move:
		return target, 0, ""
	case continuation.Wait:
		return catalog.Server{}, d.For, d.Reason
	case continuation.Stay:
		return catalog.Server{}, 0, d.Reason
	default:
		panic(errors.AssertionFailedf("transfer: decision %T", d))
	}
}

// checkMovable returns why the run cannot move, or "". Events of two versions, or of two requests,
// must not be joined, and events that the caller has must be recognized.
func (r *Run) checkMovable(ctx context.Context) continuation.Reason {
	r.mutex.Lock()
	p, confirmed := r.progress, r.confirmed
	r.mutex.Unlock()
	if p.unjoinable {
		return NoIDs
	}
	if r.runs.SharedID(r.ID) {
		return reasonSharedID
	}
	if confirmed || !r.runs.options.Lifetimes.InDoubt(r.Server) {
		return ""
	}
	switch err := r.runs.options.Lifetimes.Confirm(ctx, r.Server); {
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
func (r *Run) describe(now time.Time) continuation.Run {
	r.mutex.Lock()
	p := r.progress
	r.mutex.Unlock()
	run := continuation.Run{
		Service: r.Service, Hall: r.Server.Hall, PromptTokens: r.Request.PromptTokens, OutputTokens: r.Request.OutputTokens,
		EventTokens: r.Engine.MaxEventTokens, Events: r.Events + p.events, Remaining: r.Deadline.Sub(now),
		BytesPerToken: r.Engine.BytesPerToken, LinkMbps: r.Engine.LinkMbps, TieBreak: r.Request.TieBreak,
	}
	const minEvents = 3 // fewer say little of the pace
	if p.events >= minEvents {
		run.EventInterval = p.lastEvent.Sub(p.firstEvent) / time.Duration(p.events-1)
	}
	if p.events == 0 {
		run.FirstEvent = max(r.Sent.Add(r.FirstEvent).Sub(now), 0)
	}
	return run
}

// moveTo moves the run to a target. It returns no outcome, and the reason, if another target may be
// tried.
func (r *Run) moveTo(ctx context.Context, target catalog.Server, end time.Time) (Outcome, continuation.Reason) {
	handle, why := r.copyRunning(ctx, target, end.Add(-finalCopyTime))
	switch {
	case why == continuation.NoTarget, why == reasonSourceFails, why == reasonNotBegun:
		return nil, why
	case why != "":
		return Stayed{why}, ""
	}
	if why := r.checkMovable(ctx); why != "" { // again: it may have changed within the copy
		r.runs.options.Cleaner.Free(r.Server, handle)
		return Stayed{why}, ""
	}
	if !r.beginStop() {
		r.runs.options.Cleaner.Free(r.Server, handle)
		return Stayed{reasonEnded}, ""
	}
	return r.stopAndCopy(target, handle), ""
}

// copyRunning copies the run's memory while it goes on, until a time at most, and returns the copy's
// handle or the reason why there is none.
func (r *Run) copyRunning(ctx context.Context, target catalog.Server, until time.Time) (handle string, why continuation.Reason) {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	result, err := r.copyTo(ctx, target, false)
	if err != nil {
		return "", reasonSourceFails
	}
	switch result := result.(type) {
	case Copied:
		return result.Handle, ""
	case NotCopied:
		return "", continuation.NoTarget
	case Busy:
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
func (r *Run) stopAndCopy(target catalog.Server, handle string) Outcome {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Stream), stopTimeout)
	defer cancel()
	result, err := r.copyTo(ctx, target, true)
	if err != nil {
		return Unanswered{handle, err}
	}
	switch result := result.(type) {
	case Copied:
		r.closeSoon()
		return Moved{target, result.Handle}
	case NotCopied:
		r.closeSoon()
		return Stopped(result)
	case Busy:
		r.runs.options.Cleaner.Free(r.Server, handle)
		return Stayed{reasonBusy}
	default:
		r.runs.options.Cleaner.Free(r.Server, handle)
		return Stayed{reasonEnded}
	}
}

// answers reports whether the run has made an event.
func (r *Run) answers() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.progress.events > 0
}

// closeSoon closes the stream of the stopped run if the server does not.
func (r *Run) closeSoon() {
	time.AfterFunc(closeTimeout, func() { r.Cancel(errMoved) })
}

// copyTo asks the source for a copy, again while it is handling another call for the run.
func (r *Run) copyTo(ctx context.Context, target catalog.Server, stop bool) (Result, error) {
	for {
		result, err := r.runs.options.Copies.Copy(ctx, Request{Source: r.Server, RunID: r.ID, Target: target.Address, Stop: stop})
		if _, busy := result.(Busy); err != nil || !busy {
			return result, err
		}
		select {
		case <-ctx.Done():
			return result, nil
		case <-time.After(busyInterval):
		}
	}
}

// MoveBegun reports whether it was begun to move the run.
func (r *Run) MoveBegun() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.outcome != nil
}

// Point is a server and the copy from which a run can go on there.
type Point struct {
	Server catalog.Server
	Copy   protocol.RunCopy
	Giver  catalog.Server // that gave the handle
	Source bool           // the server has stopped the run, so it goes on with it although it is leaving
}

// Points returns where a run of a server can go on after a move, in the order in which they are to be
// tried; empty: the run was not stopped. complete says that its stream's end cannot be that of a
// stopped run.
func Points(server catalog.Server, o Outcome, complete bool) []Point {
	at := func(s catalog.Server, handle string) Point {
		return Point{Server: s, Copy: protocol.RunCopy{Address: server.Address, Handle: handle}, Giver: server, Source: s.ID == server.ID}
	}
	switch o := o.(type) {
	case Moved:
		return []Point{at(o.Target, o.Handle), at(server, o.Handle)}
	case Stopped:
		return []Point{at(server, o.Handle)}
	case Unanswered:
		if !complete {
			return []Point{at(server, o.Handle)} // the source knows whether it has stopped the run
		}
	case Stayed:
	}
	return nil
}

// Handle returns the handle of the copy that a move has made; empty: none.
func Handle(o Outcome) string {
	switch o := o.(type) {
	case Moved:
		return o.Handle
	case Stopped:
		return o.Handle
	case Unanswered:
		return o.Handle
	default:
		return ""
	}
}
