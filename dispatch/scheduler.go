package dispatch

import (
	"slices"

	"github.com/cockroachdb/errors"

	"opalbridge.dev/fair"
)

// Grant is a slot reserved for a request of one class that waits at a router.
type Grant struct {
	ID       uint64
	Router   string
	Class    Class
	Estimate float64
}

// Scheduler holds the demands that routers sent to an agent, and allocates the slots
// of the agent's server. It is not safe for concurrent use.
type Scheduler struct {
	limit            int
	running          int
	unresponsive     map[string]bool // routers that left a grant unused
	grants           map[uint64]Grant
	classes          []classDemand
	lastGrantID      uint64
	candidates       []fair.Candidate
	candidateClasses []int
}

// classDemand holds the demands of all routers for one class. The routers are served
// round-robin.
type classDemand struct {
	class      Class
	demands    []demand
	lastServed int
	waiting    int
	estimate   float64
}

// demand is the number of requests of one class that wait at a router.
type demand struct {
	router       string
	count        int
	unresponsive bool // its count is not included in classDemand.waiting
}

// NewScheduler returns a scheduler with limit slots.
func NewScheduler(limit int) *Scheduler {
	return &Scheduler{limit: limit, grants: map[uint64]Grant{}, unresponsive: map[string]bool{}}
}

// SetLimit changes the number of slots. Running attempts are not affected.
func (s *Scheduler) SetLimit(limit int) { s.limit = limit }

// Limit returns the number of slots.
func (s *Scheduler) Limit() int { return s.limit }

// Running returns the number of running attempts.
func (s *Scheduler) Running() int { return s.running }

// Granted returns the number of slots that are reserved and not yet used.
func (s *Scheduler) Granted() int { return len(s.grants) }

// Waiting returns the number of waiting requests, without those of unresponsive
// routers.
func (s *Scheduler) Waiting() int {
	n := 0
	for i := range s.classes {
		n += s.classes[i].waiting
	}
	return n
}

// HasWaiting reports whether the account has a waiting request in any class.
func (s *Scheduler) HasWaiting(a fair.Account) bool {
	for i := range s.classes {
		if s.classes[i].class.Account == a && s.classes[i].waiting > 0 {
			return true
		}
	}
	return false
}

// HasFreeSlot reports whether a slot is free.
func (s *Scheduler) HasFreeSlot() bool { return s.running+len(s.grants) < s.limit }

// SetDemand replaces the demand of a router for one class. An estimate of zero keeps
// the earlier one.
func (s *Scheduler) SetDemand(router string, class Class, count int, estimate float64) {
	i := slices.IndexFunc(s.classes, func(c classDemand) bool { return c.class == class })
	if i < 0 {
		if count == 0 {
			return
		}
		i = len(s.classes)
		s.classes = append(s.classes, classDemand{class: class})
	}
	c := &s.classes[i]
	if estimate > 0 {
		c.estimate = estimate
	}
	j := slices.IndexFunc(c.demands, func(d demand) bool { return d.router == router })
	switch {
	case j >= 0 && c.demands[j].unresponsive:
		c.demands[j].count = count
	case j >= 0:
		c.waiting += count - c.demands[j].count
		c.demands[j].count = count
	case count > 0:
		c.demands = append(c.demands, demand{router: router, count: count})
		c.waiting += count
	}
}

// DropRouter removes a router's demands and unused grants, and returns these grants.
func (s *Scheduler) DropRouter(router string) []Grant {
	delete(s.unresponsive, router)
	for i := range s.classes {
		c := &s.classes[i]
		for j := range c.demands {
			if c.demands[j].router == router {
				c.setUnresponsive(j, false)
				c.waiting -= c.demands[j].count
				c.demands[j].count = 0
			}
		}
	}
	var dropped []Grant
	for id, g := range s.grants {
		if g.Router == router {
			dropped = append(dropped, g)
			delete(s.grants, id)
		}
	}
	return dropped
}

// SetUnresponsive sets whether a router leaves its grants unused. An unresponsive
// router gets no grants until it is heard again, so that no slots are reserved for a
// router that is cut off. SetUnresponsive reports whether the state changed.
func (s *Scheduler) SetUnresponsive(router string, unresponsive bool) bool {
	if s.unresponsive[router] == unresponsive {
		return false
	}
	s.unresponsive[router] = unresponsive
	if !unresponsive {
		delete(s.unresponsive, router)
	}
	for i := range s.classes {
		c := &s.classes[i]
		for j := range c.demands {
			if c.demands[j].router == router {
				c.setUnresponsive(j, unresponsive)
			}
		}
	}
	return true
}

// setUnresponsive marks the demand with index i, and excludes it from or includes it
// in the count of waiting requests.
func (c *classDemand) setUnresponsive(i int, unresponsive bool) {
	if c.demands[i].unresponsive == unresponsive {
		return
	}
	c.demands[i].unresponsive = unresponsive
	if unresponsive {
		c.waiting -= c.demands[i].count
		return
	}
	c.waiting += c.demands[i].count
}

// Grant reserves a free slot for the account that the tracker picks, and reserves the
// estimated cost in the tracker. It returns false if no slot is free or no request
// waits. If the grant is not used, the caller must release the cost in the tracker;
// otherwise the attempt charges or releases it.
func (s *Scheduler) Grant(tr *fair.Tracker) (Grant, bool) {
	if !s.HasFreeSlot() {
		return Grant{}, false
	}
	s.candidates, s.candidateClasses = s.candidates[:0], s.candidateClasses[:0]
	for i := range s.classes {
		if c := &s.classes[i]; c.waiting > 0 {
			s.candidates = append(s.candidates, fair.Candidate{Account: c.class.Account, Urgent: c.class.Urgent})
			s.candidateClasses = append(s.candidateClasses, i)
		}
	}
	picked := tr.Pick(s.candidates)
	if picked < 0 {
		return Grant{}, false
	}
	c := &s.classes[s.candidateClasses[picked]]
	s.lastGrantID++
	g := Grant{ID: s.lastGrantID, Router: c.takeNext(), Class: c.class, Estimate: c.estimate}
	s.grants[g.ID] = g
	tr.Reserve(g.Class.Account, g.Estimate)
	return g, true
}

// takeNext returns the next router in round-robin order that has a waiting request,
// and subtracts one from its demand.
func (c *classDemand) takeNext() string {
	for range c.demands {
		c.lastServed = (c.lastServed + 1) % len(c.demands)
		if d := &c.demands[c.lastServed]; d.count > 0 && !d.unresponsive {
			d.count--
			c.waiting--
			return d.router
		}
	}
	panic(errors.AssertionFailedf("dispatch: class %v counts %d waiting requests but no router has one", c.class, c.waiting))
}

// StartGranted turns a grant into a running attempt and returns the grant. It returns
// false if there is no such grant: it was declined, dropped or never made.
func (s *Scheduler) StartGranted(id uint64) (Grant, bool) {
	g, ok := s.grants[id]
	if !ok {
		return Grant{}, false
	}
	delete(s.grants, id)
	s.running++
	return g, true
}

// GrantHolder returns the router that holds a grant.
func (s *Scheduler) GrantHolder(id uint64) (router string, ok bool) {
	g, ok := s.grants[id]
	return g.Router, ok
}

// Cancel frees the slot of a grant.
func (s *Scheduler) Cancel(id uint64) (Grant, bool) {
	g, ok := s.grants[id]
	delete(s.grants, id)
	return g, ok
}

// TryStart starts an attempt that arrived without a grant. It returns false if no slot
// is free or other requests wait, which go first.
func (s *Scheduler) TryStart() bool {
	if !s.HasFreeSlot() || s.Waiting() > 0 {
		return false
	}
	s.running++
	return true
}

// Done records the end of a running attempt.
func (s *Scheduler) Done() {
	if s.running == 0 {
		panic(errors.AssertionFailedf("dispatch: Done called with no running attempt"))
	}
	s.running--
}
