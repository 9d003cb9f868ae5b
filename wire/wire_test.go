package wire_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"opalbridge.dev/bubbletest"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protodelim"

	"opalbridge.dev/wire"
	"opalbridge.dev/wire/wirepb"
)

func connect(t *testing.T) (router, agent *wire.Peer) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	a, b := net.Pipe()
	accepted := make(chan *wire.Peer, 1)
	go func() {
		p, _ := wire.Accept(ctx, b, &wirepb.Hello{Node: "agent", Incarnation: "x"})
		accepted <- p
	}()
	router, err := wire.Connect(ctx, a, &wirepb.Hello{Node: "router"})
	require.NoError(t, err)
	agent = <-accepted
	t.Cleanup(func() {
		cancel()
		router.Close(nil)
		agent.Close(nil)
	})
	return router, agent
}

func TestHelloAndCall(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		router, agent := connect(t)
		require.Equal(t, "x", router.Hello.Incarnation)
		require.Equal(t, "router", agent.Hello.Node)
		router.Send(&wirepb.Control{Revision: 7, Body: &wirepb.Control_Ping{Ping: &wirepb.Ping{}}})
		require.Equal(t, uint64(7), (<-agent.Control()).Revision)
		s, err := router.Open()
		require.NoError(t, err)
		require.NoError(t, s.Write(&wirepb.Call{Body: &wirepb.Call_Revoke{Revoke: &wirepb.Revoke{Request: "r"}}}))
		accepted, err := agent.Accept(context.Background())
		require.NoError(t, err)
		var c wirepb.Call
		require.NoError(t, accepted.Read(&c))
		require.Equal(t, "r", c.GetRevoke().Request)
	})
}

// TestStalledPeerIsClosed checks that the connection to a peer that reads nothing is
// closed, so that queued messages don't fill memory.
func TestStalledPeerIsClosed(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		router, agent := connect(t)
		for range 20_000 { // the agent never reads its control channel
			router.Send(&wirepb.Control{Body: &wirepb.Control_Ping{Ping: &wirepb.Ping{}}})
		}
		<-router.Closed()
		require.ErrorIs(t, router.Reason(), wire.ErrStalled)
		agent.Close(nil)
	})
}

func TestAcceptRejectsMalformedInput(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		a, b := net.Pipe()
		go func() {
			_, _ = a.Write(bytes.Repeat([]byte("rubbish "), 100))
		}()
		go func() { _, _ = io.Copy(io.Discard, a) }() // net.Pipe is unbuffered: writes block until they are read
		_, err := wire.Accept(context.Background(), b, &wirepb.Hello{})
		require.Error(t, err)
		a.Close()
	})
}

func FuzzDecode(f *testing.F) {
	var b bytes.Buffer
	_, err := protodelim.MarshalTo(&b, &wirepb.Call{Body: &wirepb.Call_Start{Start: &wirepb.Start{Request: "r", Content: []byte("x")}}})
	require.NoError(f, err)
	f.Add(b.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, content []byte) {
		var c wirepb.Call
		const maxSize = 1 << 16
		_ = wire.Decode(bufio.NewReader(bytes.NewReader(content)), &c, maxSize)
	})
}
