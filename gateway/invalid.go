package gateway

import (
	"context"

	"github.com/cockroachdb/errors"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/continuation/transfer"
	"opalbridge.dev/gateway/upstream"
)

// This file records bytes of servers that are no answers. Those in the place of an answer to a request
// fail this request, or this attempt of it, alone; the end of the attempt counts against the server. All
// others count against it here.

// recordInvalid records that a server has answered the request with bytes that are no answer. It reports
// whether the error says so.
func (c *call) recordInvalid(s catalog.Server, err error) bool {
	var invalid *upstream.InvalidError
	if !errors.As(err, &invalid) {
		return false
	}
	c.gateway.logInvalid(s.ID, s.Service, c.meta.ID, invalid)
	return true
}

// recordInvalidCall records that a server has answered a call of the gateway's own with bytes that are no
// answer. Other errors say nothing of the server here.
func (g *Gateway) recordInvalidCall(s catalog.Server, err error) {
	var invalid *upstream.InvalidError
	if !errors.As(err, &invalid) {
		return
	}
	g.logInvalid(s.ID, s.Service, "", invalid)
	g.dispatcher.send(invalidReceived{server: s.ID})
}

// recordSurplus records that a server has sent bytes after a whole answer.
func (g *Gateway) recordSurplus(server string) {
	s, _ := g.view.Load().server(server) // one that is gone has no service
	g.logInvalid(server, s.Service, "", &upstream.InvalidError{Kind: upstream.InvalidSurplus, Detail: "bytes after a whole answer"})
	g.dispatcher.send(invalidReceived{server: server})
}

// recordedCopies records calls for copies of runs whose answers are none.
type recordedCopies struct {
	transfer.Copies
	gateway *Gateway
}

// Copy implements transfer.Copies.
func (c recordedCopies) Copy(ctx context.Context, r transfer.Request) (transfer.Result, error) {
	result, err := c.Copies.Copy(ctx, r)
	c.gateway.recordInvalidCall(r.Source, err)
	return result, err
}

// Free implements transfer.Copies.
func (c recordedCopies) Free(ctx context.Context, s catalog.Server, handle string) error {
	err := c.Copies.Free(ctx, s, handle)
	c.gateway.recordInvalidCall(s, err)
	return err
}

func (g *Gateway) logInvalid(server, service, request string, e *upstream.InvalidError) {
	g.log.Warn().Str("event", "answer.invalid").Str("server", server).Str("service", service).Str("request", request).
		Str("kind", string(e.Kind)).Str("detail", e.Detail).Msg("server has sent bytes that are no answer")
	g.options.Metrics.InvalidReceived(service, e.Kind)
}
