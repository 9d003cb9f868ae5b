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

// askTime bounds a call to another node for operators.
const askTime = 2 * time.Second

// NodeView is one node as seen from here; Status is nil when it did not answer.
type NodeView struct {
	Host   kv.Host
	Status *wirepb.NodeStatus
}

// AccountView is one account's standing as seen from here.
type AccountView struct {
	Name       string
	Share      uint32
	Service    float64 // weighted tokens divided by share, over the fleet
	Backlogged bool
	Waiting    int // at this router
}

// Nodes asks every node of the live list how it is.
func (r *Router) Nodes(ctx context.Context) []NodeView {
	hosts := r.members.list(func(kv.Host) bool { return true })
	views := make([]NodeView, len(hosts))
	var asked sync.WaitGroup
	for i, h := range hosts {
		views[i].Host = h
		asked.Go(func() {
			if list := r.askNode(ctx, h, &wirepb.Records{Status: true}); list != nil {
				views[i].Status = list.Status
			}
		})
	}
	asked.Wait()
	return views
}

// Explain gathers what the whole fleet recorded about a request or an account, in
// order, and names the nodes that did not answer.
func (r *Router) Explain(ctx context.Context, request, account string) (events []explain.Event, unreached []string) {
	hosts := r.members.list(func(kv.Host) bool { return true })
	lists := make([]*wirepb.RecordList, len(hosts))
	var asked sync.WaitGroup
	for i, h := range hosts {
		asked.Go(func() {
			lists[i] = r.askNode(ctx, h, &wirepb.Records{Request: request, Account: account})
		})
	}
	asked.Wait()
	for i, l := range lists {
		if l == nil {
			unreached = append(unreached, hosts[i].Name)
			continue
		}
		events = append(events, wire.Events(l.Records)...)
	}
	slices.SortStableFunc(events, func(a, b explain.Event) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	return events, unreached
}

// askNode asks one node for its records; it returns nil when it does not answer.
func (r *Router) askNode(ctx context.Context, h kv.Host, q *wirepb.Records) *wirepb.RecordList {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	if h.Name == r.options.Name {
		return r.ownRecords(ctx, q)
	}
	p, done := r.reach(ctx, h)
	if p == nil {
		return nil
	}
	defer done()
	s, err := p.Open()
	if err != nil {
		return nil
	}
	defer s.Close()
	release := s.Shut(ctx)
	defer release()
	if err := s.Write(&wirepb.Call{Body: &wirepb.Call_Records{Records: q}}); err != nil {
		return nil
	}
	var answer wirepb.Piece
	if err := s.Read(&answer); err != nil {
		return nil
	}
	return answer.GetRecordList()
}

// reach returns a connection to a node: the one that is kept, or a new one that
// ends with the call to done.
func (r *Router) reach(ctx context.Context, h kv.Host) (p *wire.Peer, done func()) {
	if p := r.kept(h.Name); p != nil {
		return p, func() {}
	}
	p, err := r.connect(ctx, h)
	if err != nil {
		return nil, nil
	}
	return p, func() { p.Close(nil) }
}

func (r *Router) kept(name string) *wire.Peer {
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

// ownRecords answers for this router.
func (r *Router) ownRecords(ctx context.Context, q *wirepb.Records) *wirepb.RecordList {
	switch {
	case q.Status:
		return &wirepb.RecordList{Status: r.ownStatus(ctx)}
	case q.Request != "":
		return &wirepb.RecordList{Records: wire.Records(r.options.Records.Request(q.Request))}
	default:
		return &wirepb.RecordList{Records: wire.Records(r.options.Records.Account(q.Account))}
	}
}

func (r *Router) ownStatus(ctx context.Context) *wirepb.NodeStatus {
	s := &wirepb.NodeStatus{
		Node:         r.options.Name,
		Role:         string(kv.Router),
		Hall:         r.options.Hall,
		Incarnation:  r.incarnation,
		Revision:     r.holder.Revision(),
		Running:      uint32(r.Open()),
		ControlBytes: r.ControlBytes(),
		UpMs:         time.Since(r.begun).Milliseconds(),
		Degraded:     r.degraded(),
	}
	if r.summing.isSumming() {
		s.Counters = wire.Counters(r.totals(ctx))
	}
	s.Waiting = uint32(r.dispatcherView(ctx).queued)
	return s
}

func (r *Router) degraded() []string {
	var list []string
	if ready, why := r.Ready(); !ready {
		list = append(list, why)
	}
	if r.members.degraded() {
		list = append(list, "the live list cannot be read")
	}
	r.fresh.mutex.Lock()
	defer r.fresh.mutex.Unlock()
	if at := r.fresh.outage; !at.IsZero() {
		list = append(list, "the platform's service cannot be read since "+at.UTC().Format(time.RFC3339))
	}
	return list
}

func (r *Router) dispatcherView(ctx context.Context) view {
	reply := make(chan view, 1)
	if !r.dispatcher.tell(viewEvent{reply: reply}) {
		return view{}
	}
	select {
	case v := <-reply:
		return v
	case <-ctx.Done():
		return view{}
	}
}

// Accounts returns every account's standing as seen from here.
func (r *Router) Accounts(ctx context.Context) []AccountView {
	totals := map[fair.Account]fair.Total{}
	for _, t := range r.totals(ctx) {
		totals[t.Account] = t
	}
	waiting := r.dispatcherView(ctx).waiting
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

// totals returns the fleet's totals: those summed here, or a summing router's.
func (r *Router) totals(ctx context.Context) []fair.Total {
	if r.summing.isSumming() {
		reply := make(chan []fair.Total, 1)
		t, _ := query(ctx, r.summing, totalsQuery{reply: reply}, reply)
		return t
	}
	for _, h := range r.members.summers(r.options.Hall) {
		if list := r.askNode(ctx, h, &wirepb.Records{Status: true}); list != nil {
			return wire.Totals(list.Status.GetCounters())
		}
	}
	return nil
}
