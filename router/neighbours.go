package router

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"opalbridge.dev/duty"
	"opalbridge.dev/kv"
	"opalbridge.dev/wire"
	"opalbridge.dev/wire/wirepb"
)

const (
	exchangeTimeout = 2 * time.Second
	// gossipPeriodTicks is the number of intervals between exchanges with a
	// neighbour when there are no counters to exchange.
	gossipPeriodTicks = 2
)

// neighbours maintains connections to other routers: those at power-of-two
// distances in the sorted live list, so that updates reach every router in a
// logarithmic number of hops, and the aggregating routers if this one aggregates.
type neighbours struct {
	router *Router
	mutex  sync.Mutex
	links  map[string]*link
}

func (n *neighbours) run(ctx context.Context) {
	connections := duty.NewGroup()
	connections.Go(ctx, "choose", func(ctx context.Context) {
		t := time.NewTicker(n.router.options.Interval)
		defer t.Stop()
		for {
			n.updateLinks(ctx, connections)
			select {
			case <-t.C:
			case <-ctx.Done():
				return
			}
		}
	})
	connections.Wait(ctx)
}

func (n *neighbours) updateLinks(ctx context.Context, connections *duty.Group) {
	desired := n.desired()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for name, l := range n.links {
		if h, keep := desired[name]; !keep || h.Address != l.host.Address {
			l.cancel()
			delete(n.links, name)
		}
	}
	for name, h := range desired {
		if n.links[name] != nil {
			continue
		}
		alive, cancel := context.WithCancel(ctx)
		l := newLink(h, cancel)
		n.links[name] = l
		connections.Go(alive, "router "+name, func(ctx context.Context) {
			n.router.maintain(ctx, l, n.serve)
		})
	}
}

func (n *neighbours) desired() map[string]kv.Host {
	m := n.router.members
	desired := map[string]kv.Host{}
	all := m.routers()
	self := slices.IndexFunc(all, func(h kv.Host) bool { return h.Name == n.router.options.Name })
	for step := 1; step < len(all); step *= 2 {
		h := all[(max(self, 0)+step)%len(all)]
		desired[h.Name] = h
	}
	if n.router.aggregator.isActive() {
		for _, hall := range m.routerHalls() {
			for _, h := range m.aggregators(hall) {
				desired[h.Name] = h
			}
		}
	}
	delete(desired, n.router.options.Name)
	return desired
}

// serve exchanges state with a router periodically until the connection ends.
func (n *neighbours) serve(ctx context.Context, p *wire.Peer) {
	t := time.NewTicker(n.router.options.Interval)
	defer t.Stop()
	for i := 0; ; i++ {
		withTotals := n.shouldExchangeTotals(p, i)
		if withTotals || i%gossipPeriodTicks == 0 {
			if err := n.exchange(ctx, p, withTotals); err != nil {
				p.Close(err)
				return
			}
		}
		select {
		case <-t.C:
		case <-n.router.holder.Changed():
		case <-p.Control(): // routers send each other no control messages; closed with the connection
			return
		case <-ctx.Done():
			p.Close(ctx.Err())
			return
		}
	}
}

// shouldExchangeTotals reports whether to exchange counters with the router in this
// turn. The aggregating routers of a hall take turns.
func (n *neighbours) shouldExchangeTotals(p *wire.Peer, turn int) bool {
	// An exchange updates both sides; of two routers that dial each other, one
	// suffices.
	if !n.router.aggregator.isActive() || n.router.options.Name > p.Hello.Node {
		return false
	}
	replicas := n.router.members.aggregators(p.Hello.Hall)
	index := slices.IndexFunc(replicas, func(h kv.Host) bool { return h.Name == p.Hello.Node })
	return index >= 0 && turn%len(replicas) == index
}

// exchange sends the revision and counters known here to a router and applies those
// it returns.
func (n *neighbours) exchange(ctx context.Context, p *wire.Peer, withTotals bool) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	s, err := p.Open()
	if err != nil {
		return err
	}
	defer s.Close()
	release := s.CloseWhenDone(ctx)
	defer release()
	ours := n.router.exchangeMessage(ctx, withTotals)
	n.router.exchangeBytes.add(ours)
	if err := s.Write(&wirepb.Call{Body: &wirepb.Call_Exchange{Exchange: ours}}); err != nil {
		return err
	}
	var reply wirepb.Piece
	if err := s.Read(&reply); err != nil {
		return err
	}
	theirs := reply.GetExchange()
	n.router.exchangeBytes.add(theirs)
	n.router.applyExchange(p, theirs)
	return nil
}

// exchangeMessage returns the state that this router sends to another.
func (r *Router) exchangeMessage(ctx context.Context, withTotals bool) *wirepb.Exchange {
	e := &wirepb.Exchange{
		Node:        r.options.Name,
		Hall:        r.options.Hall,
		Incarnation: r.incarnation,
		Revision:    r.holder.Revision(),
		ConfirmedMs: r.confirmationAge().Milliseconds(),
	}
	if !withTotals {
		return e
	}
	reply := make(chan []*wirepb.HallTotals, 1)
	e.Halls, _ = query(ctx, r.aggregator, hallTotalsQuery{reply: reply}, reply)
	return e
}

// applyExchange applies the state received from another router.
func (r *Router) applyExchange(p *wire.Peer, e *wirepb.Exchange) {
	if e == nil {
		return
	}
	r.recordConfirmation(time.Duration(e.ConfirmedMs)*time.Millisecond, e.Revision)
	if len(e.Document) > 0 {
		r.applyEncodedDocument(p, e.Document)
	}
	if len(e.Halls) > 0 && r.aggregator.isActive() {
		r.aggregator.send(hallTotalsEvent{halls: e.Halls})
	}
}

// accept accepts and serves connections from other routers.
func (r *Router) accept(ctx context.Context) {
	for {
		conn, err := r.options.Listener.Accept()
		if err != nil {
			if ctx.Err() == nil {
				r.options.Log.Error().Err(err).Msg("listener closed")
			}
			return
		}
		r.duties.Go(ctx, "connection", func(ctx context.Context) { r.servePeer(ctx, conn) })
	}
}

func (r *Router) servePeer(ctx context.Context, conn net.Conn) {
	p, err := wire.Accept(ctx, conn, r.hello())
	if err != nil {
		r.options.Log.Warn().Err(err).Str("from", conn.RemoteAddr().String()).Msg("handshake with peer failed")
		return
	}
	defer p.Close(nil)
	streams := duty.NewGroup()
	alive, end := context.WithCancel(ctx)
	streams.Go(alive, "accept", func(ctx context.Context) {
		defer end()
		for {
			s, err := p.Accept(ctx)
			if err != nil {
				p.Close(err)
				return
			}
			streams.Go(ctx, "stream", func(ctx context.Context) { r.serveCall(ctx, p, s) })
		}
	})
	streams.Wait(alive)
}

func (r *Router) serveCall(ctx context.Context, p *wire.Peer, s *wire.Stream) {
	defer s.Close()
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	release := s.CloseWhenDone(ctx)
	defer release()
	var c wirepb.Call
	if err := s.Read(&c); err != nil {
		return
	}
	switch b := c.Body.(type) {
	case *wirepb.Call_Exchange:
		r.serveExchange(ctx, p, s, b.Exchange)
	case *wirepb.Call_Records:
		_ = s.Write(&wirepb.Piece{Body: &wirepb.Piece_RecordList{RecordList: r.localRecords(ctx, b.Records)}})
	default:
		p.Close(errUnexpected)
	}
}

func (r *Router) serveExchange(ctx context.Context, p *wire.Peer, s *wire.Stream, theirs *wirepb.Exchange) {
	ours := r.exchangeMessage(ctx, len(theirs.Halls) > 0)
	if d := r.holder.Current(); d.Revision > theirs.Revision {
		if content, err := d.Encode(); err == nil {
			ours.Document = content
		}
	}
	r.exchangeBytes.add(theirs)
	r.exchangeBytes.add(ours)
	_ = s.Write(&wirepb.Piece{Body: &wirepb.Piece_Exchange{Exchange: ours}})
	r.applyExchange(p, theirs)
}
