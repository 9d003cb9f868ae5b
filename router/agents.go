package router

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"opalbridge.dev/config"
	"opalbridge.dev/duty"
	"opalbridge.dev/kv"
	"opalbridge.dev/wire"
	"opalbridge.dev/wire/wirepb"
)

// agents is the duty that keeps connections to the router's agents.
type agents struct {
	router *Router
	mutex  sync.Mutex
	links  map[string]*link
}

func (s *agents) run(ctx context.Context) {
	connections := duty.NewGroup()
	connections.Go(ctx, "choose", func(ctx context.Context) {
		t := time.NewTicker(s.router.options.Interval)
		defer t.Stop()
		for {
			changed := s.router.members.changed()
			s.choose(ctx, connections)
			select {
			case <-t.C: // summing may have begun or ended
			case <-changed:
			case <-s.router.holder.Changed():
			case <-ctx.Done():
				return
			}
		}
	})
	connections.Wait(ctx)
}

// choose keeps the links that are wanted, ends the others and starts new ones.
func (s *agents) choose(ctx context.Context, connections *duty.Group) {
	wanted := map[string]kv.Host{}
	for _, h := range s.router.members.wantedAgents() {
		wanted[h.Name] = h
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for name, l := range s.links {
		h, keep := wanted[name]
		l.setListed(keep)
		s.tellLeaving(l, h.Leaving)
		if l.given() || (keep && h.Address != l.host.Address) {
			l.cancel()
			delete(s.links, name)
		}
	}
	for name, h := range wanted {
		if s.links[name] != nil {
			continue
		}
		alive, cancel := context.WithCancel(ctx)
		l := newLink(h, cancel)
		s.links[name] = l
		connections.Go(alive, "agent "+name, func(ctx context.Context) {
			s.router.keep(ctx, l, s.use)
		})
	}
}

// tellLeaving passes on to an agent what the live list says of its host.
func (s *agents) tellLeaving(l *link, leaving bool) {
	if p := l.news(leaving); p != nil {
		p.Send(s.router.message(&wirepb.Control_Leaving{Leaving: &wirepb.Leaving{On: leaving}}))
	}
}

func (s *agents) use(_ context.Context, p *wire.Peer) {
	r := s.router
	r.dispatcher.tell(upEvent{peer: p})
	r.sendDocumentIfNewer(p, p.Hello.Revision)
	for m := range p.Control() {
		s.take(p, m)
	}
	r.dispatcher.tell(downEvent{peer: p})
	r.summing.lost(p)
}

var errUnexpected = errors.New("router: message that an agent does not send")

func (s *agents) take(p *wire.Peer, m *wirepb.Control) {
	r := s.router
	r.noteRevision(p, m)
	switch b := m.Body.(type) {
	case *wirepb.Control_Grant:
		r.dispatcher.tell(grantEvent{peer: p, grant: b.Grant})
	case *wirepb.Control_Load:
		r.dispatcher.tell(loadEvent{peer: p, load: b.Load})
	case *wirepb.Control_Report:
		r.summing.tell(reportEvent{peer: p, report: b.Report})
	case *wirepb.Control_Document:
		r.offerContent(p, b.Document.Content)
	case *wirepb.Control_DocumentRequest:
		r.sendDocument(p)
	case *wirepb.Control_Ping:
		p.Send(r.message(&wirepb.Control_Pong{Pong: &wirepb.Pong{Sent: b.Ping.Sent}}))
	case *wirepb.Control_Pong:
	default:
		p.Close(errUnexpected)
	}
}

// connected returns how many agents are connected.
func (s *agents) connected() int { return len(s.peers()) }

// peers returns the present connections.
func (s *agents) peers() []*wire.Peer {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var list []*wire.Peer
	for _, l := range s.links {
		if p, _ := l.current(); p != nil {
			list = append(list, p)
		}
	}
	return list
}

// find returns the connection to an agent, waiting for it until ctx ends. It
// returns nil when there is none.
func (s *agents) find(ctx context.Context, name string, not *wire.Peer) *wire.Peer {
	for {
		s.mutex.Lock()
		l := s.links[name]
		s.mutex.Unlock()
		if l == nil {
			return nil
		}
		p, up := l.current()
		if p != nil && p != not {
			return p
		}
		if p != nil {
			select { // the broken connection is about to be taken off
			case <-p.Closed():
				if !sleep(ctx, firstRedial) {
					return nil
				}
				continue
			case <-ctx.Done():
				return nil
			}
		}
		select {
		case <-up:
		case <-ctx.Done():
			return nil
		}
	}
}

// broadcast sends a message to every connected agent.
func (s *agents) broadcast(m *wirepb.Control) {
	for _, p := range s.peers() {
		p.Send(m)
	}
}

// offerContent offers a document that a peer has sent.
func (r *Router) offerContent(p *wire.Peer, content []byte) {
	d, err := config.Decode(content)
	if err != nil {
		p.Close(err)
		return
	}
	r.offer(d, "peer "+p.Hello.Node)
}
