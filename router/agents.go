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

// agents maintains the connections to the agents that this router uses.
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
			s.updateLinks(ctx, connections)
			select {
			case <-t.C: // the set of desired agents also depends on whether this router aggregates
			case <-changed:
			case <-s.router.holder.Changed():
			case <-ctx.Done():
				return
			}
		}
	})
	connections.Wait(ctx)
}

// updateLinks starts links to newly desired agents, and closes links whose address
// changed or whose host is gone; see link.shouldDrop.
func (s *agents) updateLinks(ctx context.Context, connections *duty.Group) {
	desired := map[string]kv.Host{}
	for _, h := range s.router.members.desiredAgents() {
		desired[h.Name] = h
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for name, l := range s.links {
		h, keep := desired[name]
		l.setListed(keep)
		s.sendLeaving(l, h.Leaving)
		if l.shouldDrop() || (keep && h.Address != l.host.Address) {
			l.cancel()
			delete(s.links, name)
		}
	}
	for name, h := range desired {
		if s.links[name] != nil {
			continue
		}
		alive, cancel := context.WithCancel(ctx)
		l := newLink(h, cancel)
		s.links[name] = l
		connections.Go(alive, "agent "+name, func(ctx context.Context) {
			s.router.maintain(ctx, l, s.serve)
		})
	}
}

// sendLeaving tells an agent whether the live list marks its host as leaving.
func (s *agents) sendLeaving(l *link, leaving bool) {
	if p := l.markLeavingSent(leaving); p != nil {
		p.Send(s.router.controlMessage(&wirepb.Control_Leaving{Leaving: &wirepb.Leaving{On: leaving}}))
	}
}

func (s *agents) serve(_ context.Context, p *wire.Peer) {
	r := s.router
	r.dispatcher.send(agentConnectedEvent{peer: p})
	r.sendDocumentIfNewer(p, p.Hello.Revision)
	for m := range p.Control() {
		s.handle(p, m)
	}
	r.dispatcher.send(agentDisconnectedEvent{peer: p})
	r.aggregator.agentLost(p)
}

var errUnexpected = errors.New("router: unexpected message")

func (s *agents) handle(p *wire.Peer, m *wirepb.Control) {
	r := s.router
	r.requestNewerDocument(p, m)
	switch b := m.Body.(type) {
	case *wirepb.Control_Grant:
		r.dispatcher.send(grantEvent{peer: p, grant: b.Grant})
	case *wirepb.Control_Load:
		r.dispatcher.send(loadEvent{peer: p, load: b.Load})
	case *wirepb.Control_Report:
		r.aggregator.send(reportEvent{peer: p, report: b.Report})
	case *wirepb.Control_Document:
		r.applyEncodedDocument(p, b.Document.Content)
	case *wirepb.Control_DocumentRequest:
		r.sendDocument(p)
	case *wirepb.Control_Ping:
		p.Send(r.controlMessage(&wirepb.Control_Pong{Pong: &wirepb.Pong{Sent: b.Ping.Sent}}))
	case *wirepb.Control_Pong:
	default:
		p.Close(errUnexpected)
	}
}

// connected returns the number of connected agents.
func (s *agents) connected() int { return len(s.peers()) }

// peers returns the open connections.
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

// waitForPeer returns a connection to an agent other than except, and waits for
// one until ctx ends. It returns nil if there is none or the agent is not desired.
func (s *agents) waitForPeer(ctx context.Context, name string, except *wire.Peer) *wire.Peer {
	for {
		s.mutex.Lock()
		l := s.links[name]
		s.mutex.Unlock()
		if l == nil {
			return nil
		}
		p, connected := l.current()
		if p != nil && p != except {
			return p
		}
		if p != nil {
			select { // the link is about to drop the broken connection
			case <-p.Closed():
				if !sleep(ctx, minRedialInterval) {
					return nil
				}
				continue
			case <-ctx.Done():
				return nil
			}
		}
		select {
		case <-connected:
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

// applyEncodedDocument decodes a document sent by a peer and applies it.
func (r *Router) applyEncodedDocument(p *wire.Peer, content []byte) {
	d, err := config.Decode(content)
	if err != nil {
		p.Close(err)
		return
	}
	r.applyDocument(d, "peer "+p.Hello.Node)
}
