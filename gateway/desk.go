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

// desk is the duty that owns all decisions on placing: the board, the shares of
// accounts and the budget of repeats. Others ask it through its channel.
type desk struct {
	log      zerolog.Logger
	peers    *peer.Node
	asks     chan any // one of the messages below
	done     chan struct{}
	telling  atomic.Pointer[peer.State]
	settings DeskSettings
	late     func(since, now time.Time) time.Duration // how late this process was at worst
	claims   chan<- warmup.Claim                      // to be written; one that finds it full is tried again
	// To be told to the operators; one that finds it full is tried again.
	statements chan<- statement
	fresh      func(now time.Time) bool // the view is known to be the store's latest

	peersAlive atomic.Int64 // live gateways besides this one

	// Owned by run.
	tickets     uint64                     // the last one given
	settled     int                        // times that shares were computed
	pending     map[uint64]*awaited        // own requests without a first event, by ticket
	heard       map[string]time.Time       // last sign of life, by server
	speeds      map[string]placement.Speed // last written to the log, by service
	board       *placement.Board
	book        *share.Book
	budget      *budget.Budget
	guard       *warmup.Guard
	rollouts    map[string]*serviceRollout // by service
	wanted      map[string]time.Time       // when a request last came, by service
	halls       map[string]string          // of live gateways, by address
	view        *View
	waits       waitQueue
	published   time.Time                 // when the state that beacons tell was made
	unpublished bool                      // it has changed since
	running     map[string]int            // own requests by server
	ids         map[uint64]string         // server by hash of its ID
	rests       map[string]time.Time      // ends of those that servers have asked for
	gateways    map[string]map[uint64]int // running requests at servers, by live gateway
	asked       map[string]float64        // tokens in the window of fair shares, by gateway, this one included
}

// DeskSettings are the bounds that the desk keeps.
type DeskSettings struct {
	Repeats budget.Limits
	Shares  time.Duration // window of accounts' fair shares
	Policy  placement.Policy
	Hall    string
	Regions map[string]string // by hall
	Cold    warmup.Limits     // of a cold server, but for what it bears
	Address string            // IP address of this gateway
}

// awaited is a request whose server has not made its first event yet.
type awaited struct {
	server   string
	due      time.Time     // by the prediction
	told     bool          // that it is overdue
	position time.Duration // work sent to the server up to this request
	copies   bool          // it takes cached parts from another server first
	sent     time.Time
	waiting  time.Duration // predicted, until the server comes to it
	reading  time.Duration // predicted, of its own prompt
	account  string
	tokens   float64 // that count as got by the account
}

// Messages to the desk.
type (
	// placeMessage asks for a decision; if it is to send, all is booked as sent.
	placeMessage struct {
		ask    *placement.Ask
		repeat bool            // the request has been at a server before
		ended  <-chan struct{} // closed when nobody waits for a decision any more
		tokens float64
		reply  chan<- placement.Decision
	}
	// arrivedMessage tells of a caller's request.
	arrivedMessage struct {
		service string
		account string
		tokens  float64
	}
	startedMessage struct {
		ticket uint64
		server string
	}
	endedMessage struct {
		ticket uint64
		server string
		end    placement.End
		route  string
		status int           // of the server's answer; 0: there was none, or not all of it
		pause  time.Duration // mean between a stream's events; 0: not known
	}
	cacheMessage struct {
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
	viewMessage   struct{ view *View }
	updateMessage struct{ updates []peer.Update }
)

func newDesk(log zerolog.Logger, s DeskSettings, now time.Time) *desk {
	d := &desk{
		log: log, settings: s, late: func(_, _ time.Time) time.Duration { return 0 }, asks: make(chan any, deskQueue), done: make(chan struct{}),
		board: placement.NewBoard(s.Policy), book: share.NewBook(s.Shares), budget: budget.New(s.Repeats, now),
		pending: map[uint64]*awaited{}, heard: map[string]time.Time{}, speeds: map[string]placement.Speed{},
		view: &View{}, running: map[string]int{}, ids: map[uint64]string{}, rests: map[string]time.Time{},
		gateways: map[string]map[uint64]int{}, asked: map[string]float64{},
		rollouts: map[string]*serviceRollout{}, fresh: func(time.Time) bool { return true },
		guard: warmup.NewGuard(), wanted: map[string]time.Time{}, halls: map[string]string{},
	}
	d.board.SetRegions(s.Regions)
	d.telling.Store(&peer.State{})
	return d
}

// tell passes a message to the desk; once the desk has ended, messages are dropped.
func (d *desk) tell(m any) {
	select {
	case d.asks <- m:
	case <-d.done:
	}
}

func (d *desk) viewChanged(v *View) { d.tell(viewMessage{v}) }

// decision asks for a decision, which may wait. ok is false when ctx has ended first.
func (d *desk) decision(ctx context.Context, a *placement.Ask, repeat bool, tokens float64) (placement.Decision, bool) {
	reply := make(chan placement.Decision, 1)
	asked := *a // the desk may be slower than the caller is patient
	d.tell(placeMessage{ask: &asked, repeat: repeat, tokens: tokens, ended: ctx.Done(), reply: reply})
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
func (d *desk) undo(reply <-chan placement.Decision) {
	select {
	case decision := <-reply:
		if a, ok := decision.(placement.Assign); ok {
			d.tell(endedMessage{ticket: a.Ticket, server: a.Server.ID, end: placement.Abandoned})
		}
	case <-d.done:
	}
}

// run answers until ctx ends.
func (d *desk) run(ctx context.Context) {
	defer close(d.done)
	settle := time.NewTicker(settleEvery)
	defer settle.Stop()
	late := time.NewTicker(lateEvery)
	defer late.Stop()
	d.waits.timer = time.NewTimer(waitEvery)
	defer d.waits.timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-d.asks:
			d.handle(time.Now(), m)
		case now := <-settle.C:
			d.settle(now)
		case now := <-d.waits.timer.C:
			d.look(now)
		case now := <-late.C:
			d.findLate(now)
			d.claim(now)
			d.lookRollouts(now)
			if d.unpublished {
				d.publish()
			}
		}
	}
}

func (d *desk) handle(now time.Time, m any) {
	switch m := m.(type) {
	case placeMessage:
		d.place(now, m)
	case arrivedMessage:
		d.budget.Request(now, m.service)
		d.wanted[m.service] = now
		if m.account != "" {
			d.book.Ask(now, m.account, m.tokens)
		}
	case startedMessage:
		d.start(now, m)
	case endedMessage:
		d.end(now, m)
	case cacheMessage:
		d.board.Holds(now, m.server, m.parts)
	case statedMessage:
		d.stated(now, m)
	case claimMessage:
		d.settleClaim(now, m)
	case leavesMessage:
		d.board.Leave(m.server)
	case restMessage:
		d.rests[m.server] = latest(d.rests[m.server], m.until)
		d.board.Rest(now, m.server, m.until)
	case viewMessage:
		d.setView(now, m.view)
	case updateMessage:
		for _, u := range m.updates {
			d.update(now, u)
		}
	}
}

// repeatsSpent is the reason for a refusal when the fleet's budget of repeats is used.
const repeatsSpent placement.Reason = "budget of repeats spent"

func (d *desk) decide(now time.Time, m placeMessage) placement.Decision {
	if m.repeat && d.budget.Left(now, m.ask.Service, d.fleetSize()) < 1 {
		return placement.Refuse{RetryAfter: d.settings.Policy.LeastRetryAfter, Reason: repeatsSpent}
	}
	d.stand(m.ask)
	var decision placement.Decision
	moving := d.rollouts[m.ask.Service]
	if moving == nil {
		decision = d.board.Place(now, m.ask)
	} else {
		decision = d.placeVersion(now, moving, m.ask)
	}
	assign, ok := decision.(placement.Assign)
	if !ok {
		return decision
	}
	if m.repeat {
		d.budget.Take(now, m.ask.Service, d.fleetSize())
	}
	if m.ask.Account != "" {
		d.book.Admit(now, m.ask.Account, m.tokens)
	}
	position := d.board.Sent(now, assign.Load, true)
	d.tickets++
	assign.Ticket = d.tickets
	d.pending[assign.Ticket] = &awaited{
		server: assign.Server.ID, due: now.Add(assign.Predicted), position: position, copies: assign.CopyFrom != "",
		sent: now, waiting: assign.Waiting, reading: assign.Reading, account: m.ask.Account, tokens: m.tokens,
	}
	d.running[assign.Server.ID]++
	if moving != nil {
		d.sentVersion(now, moving, assign)
	}
	if d.guard.Cold(now, assign.Server.ID) {
		assign.Before = now.Add(warmup.SendWithin)
		d.sentCold(now, assign.Server.ID)
	}
	d.changed(now)
	if assign.Load.Work > 0 {
		d.peers.Tell(peer.Load{Server: hash(assign.Server.ID), Work: assign.Load.Work, Parts: assign.Load.Parts, Tokens: assign.Load.Tokens})
	}
	return assign
}

// stand fills in where the request's account stands against its share.
func (d *desk) stand(a *placement.Ask) {
	if a.Account == "" {
		return
	}
	standing := d.book.Standing(a.Account)
	a.OverShare, a.Stop, a.Ahead = standing.Over, standing.Stop, standing.Ahead
}

func (d *desk) end(now time.Time, m endedMessage) {
	d.takeBack(now, m)
	d.answered(now, m)
	delete(d.pending, m.ticket)
	if m.end == placement.Served || m.end == placement.Full {
		d.heard[m.server] = now
	}
	if m.end == placement.Unreachable && d.unsure(now, now.Add(-dialLimit)) {
		m.end = placement.Abandoned // the connection may have come up unnoticed
	}
	d.board.Ended(now, m.server, true, m.end)
	d.running[m.server]--
	if d.running[m.server] <= 0 {
		delete(d.running, m.server)
	}
	d.changed(now)
}

// takeBack lets a request count as got by its account no more if it did not begin to run, for
// no doing of its caller: a server took 0.27 million tokens in the second in which it ended,
// and accounts that had got nothing of it were held to be beyond their share for four seconds.
func (d *desk) takeBack(now time.Time, m endedMessage) {
	p := d.pending[m.ticket]
	if p == nil || p.account == "" {
		return
	}
	switch m.end {
	case placement.Failed, placement.Unreachable, placement.Full, placement.NotSent:
		d.book.TakeBack(now, p.sent, p.account, p.tokens)
	}
}

// The state that beacons tell is made at most this often: it takes some microseconds for
// each server.
const publishEvery = 5 * time.Millisecond

// changed makes the state that beacons tell, now or with the next look for late ones.
func (d *desk) changed(now time.Time) {
	if now.Sub(d.published) < publishEvery {
		d.unpublished = true
		return
	}
	d.published = now
	d.publish()
}

// publish makes the state that the next beacon tells.
func (d *desk) publish() {
	d.unpublished = false
	old := d.telling.Load()
	s := &peer.State{Running: make(map[uint64]int, len(d.running)), Demands: old.Demands, Speeds: old.Speeds}
	for id, n := range d.running {
		s.Running[hash(id)] = n
	}
	d.telling.Store(s)
}

func (d *desk) setView(now time.Time, v *View) {
	d.view = v
	d.board.SetServers(now, v.Servers, func(service string) *catalog.Engine {
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
	clear(d.ids)
	for _, s := range v.Servers {
		h := hash(s.ID)
		d.ids[h] = s.ID
		d.board.SetOthers(s.ID, others[h]) // a server that is new here may have been told of before
	}
	d.setCold(now, v)
	d.setRollouts(now, v)
	d.publish()
}

// keepRests tells the board of rests again: a server whose entry lapsed for a moment is new to
// it. Those that are over are forgotten.
func (d *desk) keepRests(now time.Time) {
	for id, until := range d.rests {
		if !now.Before(until) {
			delete(d.rests, id)
			continue
		}
		d.board.Rest(now, id, until)
	}
}

// runningElsewhere returns the other gateways' requests by server. It goes through what runs,
// not through all gateways for each server, which grows with both.
func (d *desk) runningElsewhere() map[uint64]int {
	sums := map[uint64]int{}
	for _, running := range d.gateways {
		for h, n := range running {
			sums[h] += n
		}
	}
	return sums
}

func (d *desk) settle(now time.Time) {
	rate := 0.0
	if d.view.Configuration != nil {
		rate = d.view.Configuration.Limits.TokensPerSecond
	}
	d.book.Settle(now, rate)
	if d.settled++; d.settled%forgetEvery == 0 {
		d.board.Forget()
	}
	d.findSilent(now)
	d.tellSpeeds()
	own := d.book.Own(now)
	asked := 0.0
	for _, o := range own {
		asked += o.Asked
	}
	d.asked[d.settings.Address] = asked
	list := make([]*peerpb.Demand, 0, min(len(own), mostDemands))
	for _, o := range own[:min(len(own), mostDemands)] {
		list = append(list, &peerpb.Demand{Account: o.Account, Asked: uint32(o.Asked), Admitted: uint32(o.Admitted)})
	}
	s := *d.telling.Load()
	s.Demands, s.Speeds, s.Rollouts = list, d.learned(), d.rolloutNews(now)
	d.telling.Store(&s)
}

// fleetSize is the number of gateways that are known to live, this one included.
func (d *desk) fleetSize() int { return len(d.gateways) + 1 }

// hash names an ID in few bytes.
func hash(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}
