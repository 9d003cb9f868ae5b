package agent

import (
	"opalbridge.dev/config"
	"opalbridge.dev/explain"
	"opalbridge.dev/fair"
)

// configure applies a new configuration.
func (d *admission) configure(c *config.Document) {
	limits := c.Limits.WithDefaults()
	d.tracker.SetLimits(float64(limits.UrgentCredit), float64(limits.DebtCap))
	for _, a := range c.Accounts {
		d.tracker.SetShare(fair.Account(a.ID), float64(a.Share))
	}
	d.pools = map[string]bool{}
	s := c.Server(d.agent.options.Name)
	if s != nil {
		for _, p := range s.Pools {
			d.pools[p] = true
		}
	}
	if members := d.poolMembersIn(c); members != d.poolMembers {
		if d.poolMembers != "" {
			d.keys.OwnershipChanged(now())
		}
		d.poolMembers = members
	}
	d.updateLeaving()
}

// poolMembersIn returns the names of all servers of this server's pools. Idempotency
// keys are partitioned among them.
func (d *admission) poolMembersIn(c *config.Document) string {
	names := ""
	for _, s := range c.Servers {
		for _, p := range s.Pools {
			if d.pools[p] {
				names += p + "/" + s.Name + " "
			}
		}
	}
	return names
}

func (d *admission) drain() {
	d.updateLeaving()
	d.checkDrained()
}

// updateLeaving updates whether the server is leaving and takes no new attempts: its
// agent is draining, the configuration says so or does not list the server, or the
// live list of a router says so.
func (d *admission) updateLeaving() {
	s := d.agent.holder.Current().Server(d.agent.options.Name)
	leaving := d.agent.draining.Load() || s == nil || s.Leaving
	for _, p := range d.peers {
		leaving = leaving || p.leaving
	}
	d.setLeaving(leaving)
	d.applyLimit()
}

// setLeaving starts or ends leaving; the start cancels all unused grants.
func (d *admission) setLeaving(leaving bool) {
	if d.leaving == leaving {
		return
	}
	d.leaving = leaving
	kind, text := explain.Repair, "takes new work again"
	if leaving {
		kind, text = explain.Degrade, "takes no new work: leaving"
		for id := range d.grantedAt {
			d.cancel(id)
		}
	}
	d.agent.record(explain.Event{Kind: kind, Text: text})
}

// checkDrained closes the idle channel once a draining agent runs no attempt.
func (d *admission) checkDrained() {
	if !d.agent.draining.Load() || d.scheduler.Running() > 0 {
		return
	}
	select {
	case <-d.agent.idle:
	default:
		close(d.agent.idle)
	}
}
