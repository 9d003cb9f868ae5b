package router

import (
	"fmt"
	"math"
	"slices"
)

// This file picks an agent for a request.

// pickAgent returns the agent with free slots that has the highest score for the
// request, and the reason for the choice.
func (d *dispatcher) pickAgent(t *ticket) (*agentState, string) {
	var best *agentState
	bestScore := math.Inf(-1)
	for name, v := range d.agents {
		if !v.serves(t.request.Class.Pool) || v.waiting > 0 || v.running >= v.limit {
			continue
		}
		if only := t.request.Class.Server; only != "" && only != name {
			continue
		}
		s := d.score(v, t.request.Prefix)
		if slices.Contains(t.failedAgents, name) {
			s -= failedPenalty
		}
		if s > bestScore || (s == bestScore && name < best.peer.Hello.Node) {
			best, bestScore = v, s
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, fmt.Sprintf("%s has room: it runs %d of %d%s", best.peer.Hello.Node, best.running, best.limit, d.describeMatch(best, t.request.Prefix))
}

// Weights of the parts of an agent's score, relative to its share of free slots.
const (
	prefixWeight  = 0.5
	hallWeight    = 0.25
	failedPenalty = 10 // makes an agent where the request failed before the last choice
)

// score returns the share of free slots of an agent, plus weights for having served
// the prompt prefix and for being in the same hall.
func (d *dispatcher) score(v *agentState, prefix uint64) float64 {
	s := float64(v.limit-v.running) / float64(max(v.limit, 1))
	if v.hasPrefix(prefix) {
		s += prefixWeight
	}
	if v.peer.Hello.Hall == d.router.options.Hall {
		s += hallWeight
	}
	return s
}

func (d *dispatcher) describeMatch(v *agentState, prefix uint64) string {
	text := ""
	if v.hasPrefix(prefix) {
		text += ", and has seen this prompt's beginning"
	}
	if v.peer.Hello.Hall == d.router.options.Hall {
		text += ", in this hall"
	}
	return text
}

func (v *agentState) serves(pool string) bool {
	return !v.leaving && slices.Contains(v.pools, pool)
}

func (v *agentState) hasPrefix(prefix uint64) bool {
	return prefix != 0 && slices.Contains(v.prefixes, prefix)
}

func (v *agentState) recordPrefix(prefix uint64) {
	if prefix == 0 {
		return
	}
	if at := slices.Index(v.prefixes, prefix); at >= 0 {
		v.prefixes = slices.Delete(v.prefixes, at, at+1)
	}
	v.prefixes = append(v.prefixes, prefix)
	if len(v.prefixes) > maxPrefixes {
		v.prefixes = slices.Delete(v.prefixes, 0, 1)
	}
}
