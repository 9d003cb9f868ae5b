package gateway

import (
	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/upstream"
)

// This file takes over what servers say of themselves in their answers.

// says takes over what an answer says of its server. It is called by any goroutine.
func (g *Gateway) says(s catalog.Server, w upstream.Word) {
	if w.Leaving {
		g.log.Info().Str("event", "server.says_leaving").Str("server", s.ID).Int("status", w.Status).Msg("an answer of it says so")
	}
	if w.Rest > 0 {
		g.log.Info().Str("event", "server.asks_rest").Str("server", s.ID).Int("status", w.Status).Dur("rest", w.Rest).Msg("an answer of it says so")
	}
}
