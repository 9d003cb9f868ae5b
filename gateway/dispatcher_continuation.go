package gateway

import (
	"cmp"
	"slices"
	"time"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/continuation"
	"opalbridge.dev/gateway/placement"
)

// This file decides with package continuation which runs move off leaving servers and which are
// backed up, and records where they go on.

// Messages about runs that go on at other servers.
type (
	// moveRequested asks what becomes of a run at a leaving server.
	moveRequested struct {
		run     continuation.Run
		request *placement.Request // restricted to the servers that may take over the run
		left    time.Duration      // until its server ends
		reply   chan<- moveDecision
	}
	// moveEnded reports the end of a move in progress.
	moveEnded struct{ target string }
	// runContinued asks for the ID of an attempt that continues a run at a server.
	runContinued struct {
		server catalog.Server
		tokens int // cache space that the run takes
		reply  chan<- uint64
	}
)

func (moveRequested) dispatcherMessage() {}
func (moveEnded) dispatcherMessage()     {}
func (runContinued) dispatcherMessage()  {}

// moveDecision is a decision of package continuation with the target of a move.
type moveDecision struct {
	decision continuation.Decision
	target   catalog.Server
}

// PlanMove implements transfer.Planner.
func (d *dispatcher) PlanMove(run continuation.Run, request *placement.Request, left time.Duration) (decision continuation.Decision, target catalog.Server, ok bool) {
	reply := make(chan moveDecision, 1)
	d.send(moveRequested{run: run, request: request, left: left, reply: reply})
	select {
	case m := <-reply:
		return m.decision, m.target, true
	case <-d.done:
		return nil, catalog.Server{}, false
	}
}

// MoveEnded implements transfer.Planner.
func (d *dispatcher) MoveEnded(target string) { d.send(moveEnded{target: target}) }

// continueAt records that a run continues at a server and returns the ID of the attempt. It draws on
// neither the account's share nor the retry budget: it is the same run.
func (d *dispatcher) continueAt(server catalog.Server, tokens int) uint64 {
	reply := make(chan uint64, 1)
	d.send(runContinued{server: server, tokens: tokens, reply: reply})
	select {
	case id := <-reply:
		return id
	case <-d.done:
		return 0
	}
}

// decideMove decides on a run at a leaving server.
func (d *dispatcher) decideMove(now time.Time, m moveRequested) moveDecision {
	targets := d.balancer.Targets(now, m.request)
	decision := d.planner.Leaving(now, m.run, m.left, d.plannerServers(now, targets))
	result := moveDecision{decision: decision}
	if move, ok := decision.(continuation.Move); ok {
		i := slices.IndexFunc(targets, func(t placement.Target) bool { return t.Server.ID == move.Target })
		result.target = targets[i].Server
	}
	return result
}

// chooseBackup returns the server at which a run is backed up that is about to be sent; zero: none.
func (d *dispatcher) chooseBackup(now time.Time, r *placement.Request, a placement.Assign) catalog.Server {
	e := d.view.engine(r.Service)
	if !d.backsUpStreams() || !r.MayBackUp || !e.CanBackUpRuns() || a.Server.Version == "" {
		return catalog.Server{}
	}
	run := continuation.Run{
		Service: r.Service, Hall: a.Server.Hall, PromptTokens: r.PromptTokens, OutputTokens: cmp.Or(r.ExpectedOutput, r.OutputTokens), EventTokens: e.MaxEventTokens,
		FirstEvent: a.Predicted, Remaining: r.Remaining, BytesPerToken: e.BytesPerToken, LinkMbps: e.LinkMbps, TieBreak: r.TieBreak,
	}
	if !d.planner.WorthBackup(now, run) {
		return catalog.Server{}
	}
	others := *r
	others.Pinned, others.Version = true, a.Server.Version
	others.Exclude = append(slices.Clone(r.Exclude), a.Server.ID)
	targets := d.balancer.Targets(now, &others)
	id, ok := d.planner.Backup(run, d.plannerServers(now, targets))
	if !ok {
		return catalog.Server{}
	}
	d.backups[a.ID] = id
	return targets[slices.IndexFunc(targets, func(t placement.Target) bool { return t.Server.ID == id })].Server
}

// endBackup records the end of an attempt whose run may have been backed up.
func (d *dispatcher) endBackup(attemptID uint64) {
	if id, ok := d.backups[attemptID]; ok {
		delete(d.backups, attemptID)
		d.planner.BackupEnded(id)
	}
}

// plannerServers returns what the planner knows of targets. Cold servers take no runs of others.
func (d *dispatcher) plannerServers(now time.Time, targets []placement.Target) []continuation.Server {
	list := make([]continuation.Server, 0, len(targets))
	for _, t := range targets {
		if !d.coldLimiter.IsCold(now, t.Server.ID) {
			list = append(list, continuation.Server{ID: t.Server.ID, Hall: t.Server.Hall, Running: t.Running, Slots: t.Server.Capacity})
		}
	}
	return list
}

// recordContinued records that a run continues at a server.
func (d *dispatcher) recordContinued(now time.Time, m runContinued) uint64 {
	d.lastAttemptID++
	d.balancer.RecordSent(now, placement.Load{Server: m.server.ID, CacheTokens: m.tokens}, true)
	d.running[m.server.ID]++
	d.schedulePublish(now)
	return d.lastAttemptID
}

// setPlannerFleet tells the planner the servers of the view and which of them have crashed: those
// that are gone although nothing had announced that.
func (d *dispatcher) setPlannerFleet(now time.Time, before, after *View) {
	d.copyServers = 0
	for _, s := range after.Servers {
		if e := after.engine(s.Service); e.CanMoveRuns() || e.CanBackUpRuns() {
			d.copyServers++
		}
	}
	d.planner.SetFleet(now, d.copyServers, d.fleetSize())
	for _, s := range removedServers(before.Servers, after.Servers) {
		if e := after.engine(s.Service); (e.CanMoveRuns() || e.CanBackUpRuns()) && !s.Leaving && !s.Evacuated {
			d.planner.RecordCrash(now, s.ID)
		}
	}
	for _, s := range removedServers(after.Servers, before.Servers) {
		d.planner.RecordBack(s.ID) // its entry had lapsed while the store was unreachable
	}
}

// engine returns the engine of a service; nil if it is unknown or a plain service.
func (v *View) engine(service string) *catalog.Engine {
	if v.Configuration == nil {
		return nil
	}
	s, ok := v.Configuration.Service(service)
	if !ok {
		return nil
	}
	return s.Engine
}
