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
)

// leavingRunsRetention is how long a leaving server is remembered that is in no view.
const leavingRunsRetention = time.Minute

// errMoved is the cause with which an attempt ends whose run was stopped and whose stream was not
// closed by the server.
var errMoved = errors.New("transfer: the run has moved")

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
	copyErr     error              // of the latest copy while it went on; nil: it was answered
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

// CopyError returns why the latest copy of the run while it went on failed; nil: it did not.
func (r *Run) CopyError() error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.copyErr
}

// MoveBegun reports whether it was begun to move the run.
func (r *Run) MoveBegun() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.outcome != nil
}
