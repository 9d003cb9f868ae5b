package placement

import (
	"slices"
	"time"

	"opalbridge.dev/gateway/slots"
)

// This file places requests to plain services whose servers report how many slots they have:
// package slots.

// QueuePlainWork makes requests to plain servers wait for slots. The model that is returned decides
// on them; it has to be told what is sent to the servers and how that ends.
func (b *Balancer) QueuePlainWork() *slots.Model {
	b.slots = slots.NewModel()
	return b.slots
}

// SetSlotServices sets the plain services whose requests wait for slots; nil: all.
func (b *Balancer) SetSlotServices(services map[string]bool) { b.slotServices = services }

// WaitsForSlots reports whether requests to a server wait for slots.
func (b *Balancer) WaitsForSlots(server string) bool {
	s := b.servers[server]
	return s != nil && b.slots != nil && s.engine == nil && b.queuesFor(s.Service)
}

// queuesFor reports whether requests to a plain service wait for slots: all of its servers report
// how many they have.
func (b *Balancer) queuesFor(service string) bool {
	return (b.slotServices == nil || b.slotServices[service]) &&
		!slices.ContainsFunc(b.services[service], func(s *server) bool { return s.Capacity <= 0 })
}

// placeInSlots decides on a request to a plain service by the slots of its servers. ok is false if
// they are not known.
func (b *Balancer) placeInSlots(now time.Time, req *Request, servers []*server) (d Decision, ok bool) {
	if !b.queuesFor(req.Service) {
		return nil, false
	}
	list := b.slotServers[:0]
	for _, s := range servers {
		list = append(list, slots.Server{ID: s.ID, Capacity: s.Capacity, Local: s.localRunning, Remote: s.remoteRunning, Cost: b.plainCost(now, req, s)})
	}
	b.slotServers = list
	decision := b.slots.Decide(now, slots.Request{
		Service: req.Service, Objective: req.Objective, Full: req.FullObjective, Remaining: req.Remaining, Ahead: req.Ahead, Behind: req.Behind, Held: req.HoldReason == NoSlot,
	}, list)
	switch d := decision.(type) {
	case slots.Send:
		i := slices.IndexFunc(servers, func(s *server) bool { return s.ID == d.Server })
		return Assign{Server: servers[i].Server, Load: Load{Server: d.Server}}, true
	case slots.Wait:
		return Hold{Predicted: d.Predicted, Reason: NoSlot}, true
	case slots.Refuse:
		return Refuse{RetryAfter: d.RetryAfter, Predicted: d.Predicted, Reason: NoSlot}, true
	default:
		return nil, false
	}
}
