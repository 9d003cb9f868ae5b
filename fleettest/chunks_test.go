package fleettest_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/attempt"
	"opalbridge.dev/bubbletest"
	"opalbridge.dev/fleettest"
	"opalbridge.dev/wire"
	"opalbridge.dev/wire/wirepb"
)

// chunk returns a chunk piece of a fake agent's answer.
func chunk(n uint64, text string) *wirepb.Piece {
	return &wirepb.Piece{Body: &wirepb.Piece_Chunk{Chunk: &wirepb.Chunk{Number: n, Content: []byte(text)}}}
}

// endOf returns the end piece of a complete answer with the given number of chunks.
func endOf(chunks uint64) *wirepb.Piece {
	return &wirepb.Piece{Body: &wirepb.Piece_End{End: &wirepb.End{Chunks: chunks, Complete: true}}}
}

// fakeAgent replaces the first agent with one that answers every attempt with the
// given pieces.
func fakeAgent(t *testing.T, f *fleettest.Fleet, pieces []*wirepb.Piece) {
	f.CrashAgent(f.Agents[0])
	l := f.Network.Listen(f.Agents[0].Name)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveFake(c, pieces)
		}
	}()
}

func serveFake(c net.Conn, pieces []*wirepb.Piece) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p, err := wire.Accept(ctx, c, &wirepb.Hello{Node: "model-000", Incarnation: "false", Hall: "hall-1"})
	if err != nil {
		return
	}
	defer p.Close(nil)
	p.Send(wire.NewControl(1, &wirepb.Control_Load{Load: &wirepb.Load{Limit: 8}}))
	go func() {
		for range p.Control() { // discard the router's control messages
		}
	}()
	for {
		s, err := p.Accept(ctx)
		if err != nil {
			return
		}
		var call wirepb.Call
		if s.Read(&call) != nil || call.GetStart() == nil {
			s.Close()
			continue
		}
		_ = s.Write(&wirepb.Piece{Body: &wirepb.Piece_Admitted{Admitted: &wirepb.Admitted{}}})
		_ = s.Write(&wirepb.Piece{Body: &wirepb.Piece_Head{Head: &wirepb.Head{Status: 200}}})
		for _, m := range pieces {
			_ = s.Write(m)
		}
	}
}

// answerOf sends one request to a fake agent that answers with the given pieces.
func answerOf(t *testing.T, pieces ...*wirepb.Piece) (a fleettest.Answer) {
	bubbletest.Run(t, func(t *testing.T) {
		f := fleettest.Start(t, fleettest.Options{Routers: 1, Models: 1, Halls: 1})
		fakeAgent(t, f, pieces)
		time.Sleep(10 * time.Second)
		a = f.Do(context.Background(), fleettest.Call{Account: "solo", Tokens: 1, NonRepeatable: true, Deadline: 20 * time.Second})
		f.Network.Crash("router-00")
	})
	return a
}

func TestWholeChunksPass(t *testing.T) {
	a := answerOf(t, chunk(0, "one "), chunk(1, "two"), endOf(2))
	require.Equal(t, attempt.Executed{Complete: true}, a.Outcome)
	require.Equal(t, "one two", string(a.Body))
}

func TestDroppedChunkIsNotAWholeAnswer(t *testing.T) {
	a := answerOf(t, chunk(0, "one "), endOf(2))
	require.NotEqual(t, attempt.Executed{Complete: true}, a.Outcome)
}

func TestRepeatedChunkDoesNotPass(t *testing.T) {
	a := answerOf(t, chunk(0, "one "), chunk(0, "one "), endOf(2))
	require.NotEqual(t, attempt.Executed{Complete: true}, a.Outcome)
	require.Equal(t, "one ", string(a.Body))
}
