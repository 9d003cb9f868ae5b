package router

import (
	"context"
	"fmt"

	"opalbridge.dev/attempt"
	"opalbridge.dev/explain"
	"opalbridge.dev/wire"
	"opalbridge.dev/wire/wirepb"
)

// revoke asks the same incarnation of the agent to ensure that the attempt never
// runs.
func (f *flight) revoke(ctx context.Context, p placement) attempt.Action {
	reply, reason := f.callAgent(ctx, p, &wirepb.Call{Body: &wirepb.Call_Revoke{Revoke: &wirepb.Revoke{
		Request: f.request.ID, Attempt: f.life.Attempts(), Incarnation: p.peer.Hello.Incarnation,
	}}})
	text := reason
	var next attempt.Action
	switch reply.GetBody().(type) {
	case *wirepb.Piece_Revoked:
		next, text = f.life.Fire(attempt.ConfirmRevoked), "it was revoked and never ran"
	case *wirepb.Piece_Started:
		next, text = f.life.Fire(attempt.ConfirmStarted), "it has begun there"
	default:
		if ctx.Err() != nil {
			return f.abandon(ctx)
		}
		next = f.life.Fire(attempt.AgentGone)
	}
	f.router.record(explain.Event{Kind: explain.Revoke, Request: f.request.ID, Account: f.request.Account, Attempt: f.life.Attempts(),
		Text: fmt.Sprintf("asked %s to revoke the attempt: %s", p.peer.Hello.Node, text)})
	return next
}

// callAgent makes a short call to the incarnation that had the attempt, over a new
// connection if the old one is closed. If there is no answer it returns the reason.
func (f *flight) callAgent(ctx context.Context, p placement, c *wirepb.Call) (*wirepb.Piece, string) {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	s, reason := f.sendToAgent(ctx, p, c)
	if s == nil {
		return nil, reason
	}
	defer s.Close()
	release := s.CloseWhenDone(ctx)
	defer release()
	var reply wirepb.Piece
	if err := s.Read(&reply); err != nil {
		return nil, err.Error()
	}
	return &reply, ""
}

// sendToAgent opens a stream to the incarnation that had the attempt and sends it a
// call. It returns the reason if the agent cannot be reached or was restarted.
func (f *flight) sendToAgent(ctx context.Context, p placement, c *wirepb.Call) (*wire.Stream, string) {
	broken := p.peer
	for {
		peer := p.peer
		if peer.Reason() != nil || isClosed(peer) {
			peer = f.router.agents.waitForPeer(ctx, p.peer.Hello.Node, broken)
		}
		switch {
		case peer == nil:
			return nil, "the agent cannot be reached"
		case peer.Hello.Incarnation != p.peer.Hello.Incarnation:
			return nil, "the agent was restarted"
		}
		s, err := peer.Open()
		if err == nil {
			err = s.Write(c)
		}
		if err == nil {
			return s, ""
		}
		broken = peer
		peer.Close(err)
		if ctx.Err() != nil {
			return nil, "the agent cannot be reached"
		}
	}
}

func isClosed(p *wire.Peer) bool {
	select {
	case <-p.Closed():
		return true
	default:
		return false
	}
}

// resume continues reading the answer from the next chunk, over a new stream.
func (f *flight) resume(ctx context.Context, p placement) attempt.Action {
	findCtx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	s, reason := f.sendToAgent(findCtx, p, &wirepb.Call{Body: &wirepb.Call_Resume{Resume: &wirepb.Resume{
		Request: f.request.ID, Attempt: f.life.Attempts(), Next: f.nextChunk,
	}}})
	f.router.record(explain.Event{Kind: explain.Resume, Request: f.request.ID, Account: f.request.Account, Attempt: f.life.Attempts(),
		Text: fmt.Sprintf("asked %s for the answer from chunk %d on %s", p.peer.Hello.Node, f.nextChunk, reason)})
	if s == nil {
		if ctx.Err() != nil {
			return f.abandon(ctx)
		}
		return f.life.Fire(attempt.AgentGone)
	}
	defer s.Close()
	f.life.Fire(attempt.Resume)
	return f.readAnswer(ctx, p, s)
}
