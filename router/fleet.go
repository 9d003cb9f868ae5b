package router

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"opalbridge.dev/explain"
	"opalbridge.dev/fair"
	"opalbridge.dev/kv"
	"opalbridge.dev/wire"
	"opalbridge.dev/wire/wirepb"
)

// queryTimeout bounds a call to another node on behalf of an operator.
const queryTimeout = 2 * time.Second

// NodeView is a node as seen by this router. Status is nil if the node did not
// respond.
type NodeView struct {
	Host   kv.Host
	Status *wirepb.NodeStatus
}

// AccountView is an account's service and backlog as seen by this router.
type AccountView struct {
	Name       string
	Share      uint32
	Service    float64 // weighted tokens divided by share, fleet-wide
	Backlogged bool
	Waiting    int // at this router
}

// Nodes queries the status of every node of the live list.
func (r *Router) Nodes(ctx context.Context) []NodeView {
	hosts := r.members.list(func(kv.Host) bool { return true })
	views := make([]NodeView, len(hosts))
	var pending sync.WaitGroup
	for i, h := range hosts {
		views[i].Host = h
		pending.Go(func() {
			if list := r.queryNode(ctx, h, &wirepb.Records{Status: true}); list != nil {
				views[i].Status = list.Status
			}
		})
	}
	pending.Wait()
	return views
}

// Explain collects the events that every node recorded about a request or an
// account, ordered by time, and the names of the nodes that did not respond.
func (r *Router) Explain(ctx context.Context, request, account string) (events []explain.Event, unreachable []string) {
	hosts := r.members.list(func(kv.Host) bool { return true })
	lists := make([]*wirepb.RecordList, len(hosts))
	var pending sync.WaitGroup
	for i, h := range hosts {
		pending.Go(func() {
			lists[i] = r.queryNode(ctx, h, &wirepb.Records{Request: request, Account: account})
		})
	}
	pending.Wait()
	for i, l := range lists {
		if l == nil {
			unreachable = append(unreachable, hosts[i].Name)
			continue
		}
		events = append(events, wire.DecodeEvents(l.Records)...)
	}
	slices.SortStableFunc(events, func(a, b explain.Event) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	return events, unreachable
}

// queryNode queries one node for its records or status. It returns nil if the node
// does not respond.
func (r *Router) queryNode(ctx context.Context, h kv.Host, q *wirepb.Records) *wirepb.RecordList {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	if h.Name == r.options.Name {
		return r.localRecords(ctx, q)
	}
	p, done := r.acquirePeer(ctx, h)
	if p == nil {
		return nil
	}
	defer done()
	s, err := p.Open()
	if err != nil {
		return nil
	}
	defer s.Close()
	release := s.CloseWhenDone(ctx)
	defer release()
	if err := s.Write(&wirepb.Call{Body: &wirepb.Call_Records{Records: q}}); err != nil {
		return nil
	}
	var reply wirepb.Piece
	if err := s.Read(&reply); err != nil {
		return nil
	}
	return reply.GetRecordList()
}

// acquirePeer returns a connection to a node: an established one, or a new one that
// done closes.
func (r *Router) acquirePeer(ctx context.Context, h kv.Host) (p *wire.Peer, done func()) {
	if p := r.connectedPeer(h.Name); p != nil {
		return p, func() {}
	}
	p, err := r.connect(ctx, h)
	if err != nil {
		return nil, nil
	}
	return p, func() { p.Close(nil) }
}

func (r *Router) connectedPeer(name string) *wire.Peer {
	r.agents.mutex.Lock()
	l := r.agents.links[name]
	r.agents.mutex.Unlock()
	if l == nil {
		r.neighbours.mutex.Lock()
		l = r.neighbours.links[name]
		r.neighbours.mutex.Unlock()
	}
	if l == nil {
		return nil
	}
	p, _ := l.current()
	return p
}

// localRecords returns the records or the status of this router.
func (r *Router) localRecords(ctx context.Context, q *wirepb.Records) *wirepb.RecordList {
	switch {
	case q.Status:
		return &wirepb.RecordList{Status: r.localStatus(ctx)}
	case q.Request != "":
		return &wirepb.RecordList{Records: wire.EncodeEvents(r.options.Records.Request(q.Request))}
	default:
		return &wirepb.RecordList{Records: wire.EncodeEvents(r.options.Records.Account(q.Account))}
	}
}

func (r *Router) localStatus(ctx context.Context) *wirepb.NodeStatus {
	s := &wirepb.NodeStatus{
		Node:         r.options.Name,
		Role:         string(kv.Router),
		Hall:         r.options.Hall,
		Incarnation:  r.incarnation,
		Revision:     r.holder.Revision(),
		Running:      uint32(r.OpenRequests()),
		ControlBytes: r.ControlBytes(),
		UpMs:         time.Since(r.startedAt).Milliseconds(),
		Degraded:     r.degraded(),
	}
	if r.aggregator.isActive() {
		s.Counters = wire.EncodeTotals(r.fleetTotals(ctx))
	}
	s.Waiting = uint32(r.dispatcherSnapshot(ctx).queued)
	return s
}

func (r *Router) degraded() []string {
	var list []string
	if ready, reason := r.Ready(); !ready {
		list = append(list, reason)
	}
	if r.members.degraded() {
		list = append(list, "the live list cannot be read")
	}
	r.freshness.mutex.Lock()
	defer r.freshness.mutex.Unlock()
	if at := r.freshness.outageSince; !at.IsZero() {
		list = append(list, "the platform's service cannot be read since "+at.UTC().Format(time.RFC3339))
	}
	return list
}

func (r *Router) dispatcherSnapshot(ctx context.Context) snapshot {
	reply := make(chan snapshot, 1)
	if !r.dispatcher.send(snapshotEvent{reply: reply}) {
		return snapshot{}
	}
	select {
	case v := <-reply:
		return v
	case <-ctx.Done():
		return snapshot{}
	}
}

// Accounts returns the service and backlog of every account as seen by this router.
func (r *Router) Accounts(ctx context.Context) []AccountView {
	totals := map[fair.Account]fair.Total{}
	for _, t := range r.fleetTotals(ctx) {
		totals[t.Account] = t
	}
	waiting := r.dispatcherSnapshot(ctx).waiting
	var views []AccountView
	for _, a := range r.holder.Current().Accounts {
		id := fair.Account(a.ID)
		views = append(views, AccountView{
			Name:       a.Name,
			Share:      a.Share,
			Service:    totals[id].Service,
			Backlogged: totals[id].Slots > 0 || waiting[id] > 0,
			Waiting:    waiting[id],
		})
	}
	return views
}

// fleetTotals returns the fleet's totals: those aggregated here, or those of a
// router of this hall that aggregates.
func (r *Router) fleetTotals(ctx context.Context) []fair.Total {
	if r.aggregator.isActive() {
		reply := make(chan []fair.Total, 1)
		t, _ := query(ctx, r.aggregator, totalsQuery{reply: reply}, reply)
		return t
	}
	for _, h := range r.members.aggregators(r.options.Hall) {
		if list := r.queryNode(ctx, h, &wirepb.Records{Status: true}); list != nil {
			return wire.DecodeTotals(list.Status.GetCounters())
		}
	}
	return nil
}
