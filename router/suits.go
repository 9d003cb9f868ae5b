package router

import (
	"fmt"
	"math"
	"slices"
)

// This file chooses an agent for a request.

// free returns the agent with room that suits the request best: one that has seen
// its beginning, then one of the own hall, then the one with most room.
func (d *dispatcher) free(t *ticket) (*agentView, string) {
	var best *agentView
	most := math.Inf(-1)
	for name, v := range d.agents {
		if !v.serves(t.request.Class.Pool) || v.waiting > 0 || v.running >= v.limit {
			continue
		}
		if only := t.request.Class.Server; only != "" && only != name {
			continue
		}
		s := d.suits(v, t.request.Prefix)
		if slices.Contains(t.failed, name) {
			s -= failedWorth
		}
		if s > most || (s == most && name < best.peer.Hello.Node) {
			best, most = v, s
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, fmt.Sprintf("%s has room: it runs %d of %d%s", best.peer.Hello.Node, best.running, best.limit, d.because(best, t.request.Prefix))
}

// Weights of what speaks for an agent, against its share of free places.
const (
	prefixWorth = 0.5
	hallWorth   = 0.25
	failedWorth = 10 // an agent where the request failed before is the last choice
)

func (d *dispatcher) suits(v *agentView, prefix uint64) float64 {
	s := float64(v.limit-v.running) / float64(max(v.limit, 1))
	if v.seen(prefix) {
		s += prefixWorth
	}
	if v.peer.Hello.Hall == d.router.options.Hall {
		s += hallWorth
	}
	return s
}

func (d *dispatcher) because(v *agentView, prefix uint64) string {
	text := ""
	if v.seen(prefix) {
		text += ", and has seen this prompt's beginning"
	}
	if v.peer.Hello.Hall == d.router.options.Hall {
		text += ", in this hall"
	}
	return text
}

func (v *agentView) serves(pool string) bool {
	return !v.leaving && slices.Contains(v.pools, pool)
}

func (v *agentView) seen(prefix uint64) bool {
	return prefix != 0 && slices.Contains(v.prefixes, prefix)
}

func (v *agentView) remember(prefix uint64) {
	if prefix == 0 {
		return
	}
	if at := slices.Index(v.prefixes, prefix); at >= 0 {
		v.prefixes = slices.Delete(v.prefixes, at, at+1)
	}
	v.prefixes = append(v.prefixes, prefix)
	if len(v.prefixes) > prefixesKept {
		v.prefixes = slices.Delete(v.prefixes, 0, 1)
	}
}
