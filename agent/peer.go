package agent

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"opalbridge.dev/attempt"
	"opalbridge.dev/config"
	"opalbridge.dev/dispatch"
	"opalbridge.dev/duty"
	"opalbridge.dev/explain"
	"opalbridge.dev/fair"
	"opalbridge.dev/wire"
	"opalbridge.dev/wire/wirepb"
)

// serveConn serves a router's connection until it ends.
func (a *Agent) serveConn(ctx context.Context, conn net.Conn) {
	p, err := wire.Accept(ctx, conn, a.hello())
	if err != nil {
		a.options.Log.Warn().Err(err).Str("from", conn.RemoteAddr().String()).Msg("connection refused")
		return
	}
	a.control.Add(p)
	a.send(peerConnected{peer: p})
	streams := duty.NewGroup()
	alive, end := context.WithCancel(ctx)
	streams.Go(alive, "accept", func(ctx context.Context) { a.acceptStreams(ctx, p, streams) })
	streams.Go(alive, "control", func(context.Context) {
		defer end()
		for m := range p.Control() {
			a.handleControl(p, m)
		}
	})
	streams.Wait(alive)
	a.send(peerDisconnected{peer: p})
	a.control.Remove(p)
	a.options.Log.Info().Str("router", p.Hello.Node).AnErr("reason", p.Reason()).Msg("router disconnected")
}

// handleControl handles a control message from a router.
func (a *Agent) handleControl(p *wire.Peer, m *wirepb.Control) {
	if m.Revision > a.holder.Revision() && m.GetDocument() == nil {
		p.Send(wire.NewControl(a.holder.Revision(), &wirepb.Control_DocumentRequest{DocumentRequest: &wirepb.DocumentRequest{}}))
	}
	switch b := m.Body.(type) {
	case *wirepb.Control_Want:
		a.send(demandEvent{peer: p, class: a.classOf(b.Want), count: int(b.Want.Count), estimate: float64(b.Want.Estimate)})
	case *wirepb.Control_Decline:
		a.send(declineEvent{peer: p, grant: b.Decline.Grant})
	case *wirepb.Control_Summing:
		a.send(summingEvent{peer: p, on: b.Summing.On})
	case *wirepb.Control_Totals:
		a.send(totalsEvent{sequence: b.Totals.Sequence, totals: wire.DecodeTotals(b.Totals.Counters)})
	case *wirepb.Control_Document:
		a.offerDocument(p, b.Document.Content)
	case *wirepb.Control_DocumentRequest:
		a.sendDocument(p)
	case *wirepb.Control_Ping:
		p.Send(wire.NewControl(a.holder.Revision(), &wirepb.Control_Pong{Pong: &wirepb.Pong{Sent: b.Ping.Sent}}))
	case *wirepb.Control_Leaving:
		a.send(leavingEvent{peer: p, leaving: b.Leaving.On})
	case *wirepb.Control_Pong:
		a.send(pongEvent{peer: p})
	default:
		p.Close(errUnexpected)
	}
}

var errUnexpected = errors.New("agent: unexpected message from router")

func (a *Agent) classOf(w *wirepb.Want) dispatch.Class {
	k := dispatch.Class{Account: fair.Account(w.Account), Pool: w.Pool, Urgent: w.Urgent}
	if w.Pinned {
		k.Server = a.options.Name
	}
	return k
}

// offerDocument applies a configuration received from a router if it is newer than
// the one in use.
func (a *Agent) offerDocument(p *wire.Peer, content []byte) {
	d, err := config.Decode(content)
	if err != nil {
		p.Close(err)
		return
	}
	if !a.holder.Offer(d) {
		return
	}
	a.options.Log.Info().Uint64("revision", d.Revision).Msg("configuration in force")
	a.send(configEvent{})
}

func (a *Agent) sendDocument(p *wire.Peer) {
	d := a.holder.Current()
	if d.Revision == 0 {
		return
	}
	content, err := d.Encode()
	if err != nil {
		a.options.Log.Error().Err(err).Msg("configuration not sent")
		return
	}
	p.Send(wire.NewControl(d.Revision, &wirepb.Control_Document{Document: &wirepb.Document{Content: content}}))
}

func (a *Agent) acceptStreams(ctx context.Context, p *wire.Peer, streams *duty.Group) {
	for {
		s, err := p.Accept(ctx)
		if err != nil {
			p.Close(err)
			return
		}
		streams.Go(ctx, "stream", func(ctx context.Context) { a.serveStream(ctx, p, s) })
	}
}

// firstMessageTimeout is how long a new stream may stay without a call.
const firstMessageTimeout = 10 * time.Second

func (a *Agent) serveStream(ctx context.Context, p *wire.Peer, s *wire.Stream) {
	a.calls.begin()
	defer a.calls.end()
	defer s.Close()
	readCtx, cancel := context.WithTimeout(ctx, firstMessageTimeout)
	release := s.CloseWhenDone(readCtx)
	var c wirepb.Call
	err := s.Read(&c)
	release()
	cancel()
	if err != nil {
		if !errors.Is(err, io.EOF) {
			p.Close(err)
		}
		return
	}
	switch b := c.Body.(type) {
	case *wirepb.Call_Start:
		a.serveStart(ctx, p, s, b.Start)
	case *wirepb.Call_Resume:
		a.serveResume(ctx, s, b.Resume)
	case *wirepb.Call_Revoke:
		a.serveRevoke(s, b.Revoke)
	case *wirepb.Call_Records:
		a.serveRecords(s, b.Records)
	default:
		p.Close(errUnexpected)
	}
}

func (a *Agent) serveRevoke(s *wire.Stream, r *wirepb.Revoke) {
	if r.Incarnation != a.incarnation {
		_ = s.Write(&wirepb.Piece{Body: &wirepb.Piece_Unknown{Unknown: &wirepb.Unknown{Reason: "another start of this agent had it"}}})
		return
	}
	reply := make(chan bool, 1)
	if !a.send(revokeEvent{id: attempt.ID{Request: r.Request, Attempt: r.Attempt}, reply: reply}) {
		return
	}
	revoked, ok := await(a, reply)
	if !ok {
		return
	}
	a.record(explain.Event{Kind: explain.Revoke, Request: r.Request, Attempt: r.Attempt, Text: revokeText(revoked)})
	if revoked {
		_ = s.Write(&wirepb.Piece{Body: &wirepb.Piece_Revoked{Revoked: &wirepb.Revoked{}}})
		return
	}
	_ = s.Write(&wirepb.Piece{Body: &wirepb.Piece_Started{Started: &wirepb.Started{}}})
}

// await waits for a reply of the admission loop. It reports false if the loop has
// ended.
func await[T any](a *Agent, reply <-chan T) (T, bool) {
	select {
	case v := <-reply:
		return v, true
	case <-a.stopped:
		var zero T
		return zero, false
	}
}

func revokeText(revoked bool) string {
	if revoked {
		return "revoked: the attempt will never run here"
	}
	return "not revoked: the attempt has begun here"
}

func (a *Agent) serveRecords(s *wire.Stream, r *wirepb.Records) {
	list := &wirepb.RecordList{}
	switch {
	case r.Status:
		reply := make(chan *wirepb.NodeStatus, 1)
		a.send(statusEvent{reply: reply})
		list.Status, _ = await(a, reply)
	case r.Request != "":
		list.Records = wire.EncodeEvents(a.options.Records.Request(r.Request))
	default:
		list.Records = wire.EncodeEvents(a.options.Records.Account(r.Account))
	}
	_ = s.Write(&wirepb.Piece{Body: &wirepb.Piece_RecordList{RecordList: list}})
}
