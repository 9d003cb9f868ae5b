package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"opalbridge.dev/gateway/catalog"
)

// Lifetimes asks servers in which of their lifetimes they are. A server may start again under its
// ID, at another software version, and its entry tells so only later.
type Lifetimes interface {
	// Born returns the start time that the server at an address reports; 0: it reports none.
	Born(ctx context.Context, address string) (int64, error)
}

// lifetimeQueryTimeout bounds a question to a server, which takes milliseconds. A caller whose
// stream goes on waits for it.
const lifetimeQueryTimeout = 250 * time.Millisecond

// errOtherLifetime is the error of a request that may go to one lifetime of a server only.
var errOtherLifetime = errors.New("gateway: the server has started again")

// confirmLifetime returns nil if the server at the address is in the lifetime that is believed. A
// connection that was opened before leads there then, since the lifetime was known earlier still.
func (g *Gateway) confirmLifetime(ctx context.Context, s catalog.Server) error {
	if !g.lifetimeInDoubt(s) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, lifetimeQueryTimeout)
	defer cancel()
	born, err := g.options.Lifetimes.Born(ctx, s.Address)
	if err != nil {
		g.recordInvalidCall(s, err)
		return err
	}
	if born != s.Born {
		return errors.Wrapf(errOtherLifetime, "server %s, born %d", s.ID, born)
	}
	return nil
}

// lifetimeInDoubt reports whether a connection may lead to another lifetime of a server than the
// believed one. A server that tells no start time has another ID after each start.
func (g *Gateway) lifetimeInDoubt(s catalog.Server) bool {
	return s.Born != 0 && g.options.Lifetimes != nil
}
