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
	// gossipTicks is in how many intervals a router speaks to each neighbour with
	// whom it has no counters to exchange.
	gossipTicks = 2
)

// neighbours is the duty that keeps connections to some other routers: those at
// distances of powers of two in the sorted live list, so that news cross any
// fleet in a logarithm of its size, and the summing routers if this one sums.
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
			n.choose(ctx, connections)
			select {
			case <-t.C:
			case <-ctx.Done():
				return
			}
		}
	})
	connections.Wait(ctx)
}

func (n *neighbours) choose(ctx context.Context, connections *duty.Group) {
	wanted := n.wanted()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for name, l := range n.links {
		if h, keep := wanted[name]; !keep || h.Address != l.host.Address {
			l.cancel()
			delete(n.links, name)
		}
	}
	for name, h := range wanted {
		if n.links[name] != nil {
			continue
		}
		alive, cancel := context.WithCancel(ctx)
		l := newLink(h, cancel)
		n.links[name] = l
		connections.Go(alive, "router "+name, func(ctx context.Context) {
			n.router.keep(ctx, l, n.use)
		})
	}
}

func (n *neighbours) wanted() map[string]kv.Host {
	m := n.router.members
	wanted := map[string]kv.Host{}
	all := m.routers()
	self := slices.IndexFunc(all, func(h kv.Host) bool { return h.Name == n.router.options.Name })
	for step := 1; step < len(all); step *= 2 {
		h := all[(max(self, 0)+step)%len(all)]
		wanted[h.Name] = h
	}
	if n.router.summing.isSumming() {
		for _, hall := range m.halls() {
			for _, h := range m.summers(hall) {
				wanted[h.Name] = h
			}
		}
	}
	delete(wanted, n.router.options.Name)
	return wanted
}

// use exchanges news with a router until the connection ends.
func (n *neighbours) use(ctx context.Context, p *wire.Peer) {
	t := time.NewTicker(n.router.options.Interval)
	defer t.Stop()
	for i := 0; ; i++ {
		sums := n.exchangesSums(p, i)
		if sums || i%gossipTicks == 0 {
			if err := n.exchange(ctx, p, sums); err != nil {
				p.Close(err)
				return
			}
		}
		select {
		case <-t.C:
		case <-n.router.holder.Changed():
		case <-p.Control(): // routers send none to each other; it closes at the end
			return
		case <-ctx.Done():
			p.Close(ctx.Err())
			return
		}
	}
}

// exchangesSums reports whether counters go to that router this time: with one
// summing router of each hall at a time, in turn.
func (n *neighbours) exchangesSums(p *wire.Peer, turn int) bool {
	// An exchange tells both sides; of two that dial each other one is enough.
	if !n.router.summing.isSumming() || n.router.options.Name > p.Hello.Node {
		return false
	}
	summers := n.router.members.summers(p.Hello.Hall)
	at := slices.IndexFunc(summers, func(h kv.Host) bool { return h.Name == p.Hello.Node })
	return at >= 0 && turn%len(summers) == at
}

// exchange tells a router the revision and counters known here, and hears its.
func (n *neighbours) exchange(ctx context.Context, p *wire.Peer, sums bool) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	s, err := p.Open()
	if err != nil {
		return err
	}
	defer s.Close()
	release := s.Shut(ctx)
	defer release()
	ours := n.router.news(ctx, sums)
	n.router.counted.add(ours)
	if err := s.Write(&wirepb.Call{Body: &wirepb.Call_Exchange{Exchange: ours}}); err != nil {
		return err
	}
	var answer wirepb.Piece
	if err := s.Read(&answer); err != nil {
		return err
	}
	theirs := answer.GetExchange()
	n.router.counted.add(theirs)
	n.router.hear(p, theirs)
	return nil
}

// news is what this router tells another.
func (r *Router) news(ctx context.Context, sums bool) *wirepb.Exchange {
	e := &wirepb.Exchange{
		Node:        r.options.Name,
		Hall:        r.options.Hall,
		Incarnation: r.incarnation,
		Revision:    r.holder.Revision(),
		ConfirmedMs: r.confirmedAge().Milliseconds(),
	}
	if !sums {
		return e
	}
	reply := make(chan []*wirepb.HallTotals, 1)
	e.Halls, _ = query(ctx, r.summing, sumsQuery{reply: reply}, reply)
	return e
}

// hear takes in what another router told.
func (r *Router) hear(p *wire.Peer, e *wirepb.Exchange) {
	if e == nil {
		return
	}
	r.confirm(time.Duration(e.ConfirmedMs)*time.Millisecond, e.Revision)
	if len(e.Document) > 0 {
		r.offerContent(p, e.Document)
	}
	if len(e.Halls) > 0 && r.summing.isSumming() {
		r.summing.tell(sumsEvent{halls: e.Halls})
	}
}

// accept serves connections of other routers.
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
		r.options.Log.Warn().Err(err).Str("from", conn.RemoteAddr().String()).Msg("connection refused")
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
	release := s.Shut(ctx)
	defer release()
	var c wirepb.Call
	if err := s.Read(&c); err != nil {
		return
	}
	switch b := c.Body.(type) {
	case *wirepb.Call_Exchange:
		r.serveExchange(ctx, p, s, b.Exchange)
	case *wirepb.Call_Records:
		_ = s.Write(&wirepb.Piece{Body: &wirepb.Piece_RecordList{RecordList: r.ownRecords(ctx, b.Records)}})
	default:
		p.Close(errUnexpected)
	}
}

func (r *Router) serveExchange(ctx context.Context, p *wire.Peer, s *wire.Stream, theirs *wirepb.Exchange) {
	ours := r.news(ctx, len(theirs.Halls) > 0)
	if d := r.holder.Current(); d.Revision > theirs.Revision {
		if content, err := d.Encode(); err == nil {
			ours.Document = content
		}
	}
	r.counted.add(theirs)
	r.counted.add(ours)
	_ = s.Write(&wirepb.Piece{Body: &wirepb.Piece_Exchange{Exchange: ours}})
	r.hear(p, theirs)
}
