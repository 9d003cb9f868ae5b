package placement

import "time"

// AvoidReason says why a request did not go to a server.
type AvoidReason string

// Reasons for going past a server.
const (
	AvoidPauses AvoidReason = "pauses of its streams"
	AvoidMemory AvoidReason = "no free memory"
)

// Avoided says how regard to pauses and memory changed a decision, for operators. The zero value means
// that it did not.
type Avoided struct {
	Server      string      // the server that would have been best otherwise; empty: the same one
	Reason      AvoidReason // why it is not
	LateShare   float64     // share of the streams there that would have been late, if they are the reason
	FullServers int         // servers into whose memory the request does not fit
	FitsNowhere bool        // all of them, so that memory was ignored
}

// cheapestWithPauses returns the candidate with the lowest cost. If another one would have it if pauses
// cost nothing, that one is avoided.
func cheapestWithPauses(candidates []candidate) (best candidate, avoided Avoided) {
	with, without := &candidates[0], &candidates[0]
	for i := range candidates {
		c := &candidates[i]
		if c.cost < with.cost {
			with = c
		}
		if c.cost-c.pauseCost < without.cost-without.pauseCost {
			without = c
		}
	}
	if with != without {
		avoided = Avoided{Server: without.server.ID, Reason: AvoidPauses, LateShare: without.lateShare}
	}
	return *with, avoided
}

// avoidedFull returns the cheapest of the servers that have no free memory for a request as avoided, if it
// costs less than the best of the others.
func (b *Balancer) avoidedFull(now time.Time, req *Request, servers []*server, best candidate, avoided Avoided) Avoided {
	least := best.cost
	targets, holders := b.targets(now, req, servers)
	for _, s := range targets {
		if s.fits(req) {
			continue
		}
		if c := b.evaluate(now, req, s, holders[s.Version]); c.cost < least {
			avoided, least = Avoided{Server: s.ID, Reason: AvoidMemory}, c.cost
		}
	}
	return avoided
}
