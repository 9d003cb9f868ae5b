package placement

import (
	"time"

	"opalbridge.dev/gateway/catalog"
)

// Target is a server that may take over a run.
type Target struct {
	Server  catalog.Server
	Running int // requests that all gateways have there
}

// Targets returns the servers that may get a request now, without those that cannot be reached.
func (b *Balancer) Targets(now time.Time, req *Request) []Target {
	servers, _ := b.available(now, req)
	list := make([]Target, 0, len(servers))
	for _, s := range servers {
		if !now.Before(s.ejectedUntil) {
			list = append(list, Target{Server: s.Server, Running: s.localRunning + s.remoteRunning})
		}
	}
	return list
}
