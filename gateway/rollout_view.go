package gateway

import (
	"maps"
	"time"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/rollout"
)

// This file keeps what the view tells of roll-outs. package rollout decides on them.

// ordered is what is known of a service's roll-out.
type ordered struct {
	Order  rollout.Order // zero: there is none, or it has been withdrawn
	Since  time.Time     // when this gateway, or the one that told it, heard of the order
	Status rollout.Status
}

// takeOrder takes over what operators want of a service.
func (f *follower) takeOrder(now time.Time, o rollout.Order) {
	known := f.rollouts[o.Service]
	if known.Order == o {
		return
	}
	known.Order, known.Since = o, now
	f.setRollout(o.Service, known)
	f.gateway.log.Info().Str("event", "rollout.ordered").Str("service", o.Service).Str("target", o.Target).
		Dur("within", o.Duration).EmbedObject(atRevision(o.Revision)).Msg("a new version gets a few requests first")
}

// withdraw takes over that operators have taken an order back. What was said of it still holds:
// a version that was taken back gets nothing.
func (f *follower) withdraw(service string) {
	known := f.rollouts[service]
	if known.Order == (rollout.Order{}) {
		return
	}
	known.Order = rollout.Order{}
	f.setRollout(service, known)
	f.gateway.log.Info().Str("event", "rollout.withdrawn").Str("service", service).Msg("no order any more")
}

// stated takes over what was said of a service's roll-out.
func (f *follower) stated(service string, s rollout.Status) {
	known := f.rollouts[service]
	if s != (rollout.Status{}) && s.Revision < known.Status.Revision {
		return
	}
	known.Status = s
	f.setRollout(service, known)
}

// setRollout replaces what is known of a roll-out; views share the map.
func (f *follower) setRollout(service string, o ordered) {
	changed := make(map[string]ordered, len(f.rollouts)+1)
	maps.Copy(changed, f.rollouts)
	changed[service] = o
	if o.Order == (rollout.Order{}) && o.Status == (rollout.Status{}) {
		delete(changed, service)
	}
	f.rollouts = changed
}

// listedRollouts takes over what a list of the store tells. While the store may lack what it
// had, nothing is taken from it that it does not name.
func (f *follower) listedRollouts(now time.Time, s Snapshot) {
	for service, o := range s.Orders {
		if known := f.rollouts[service]; known.Order.Target == o.Target && known.Order.Duration == o.Duration && f.settling(now) {
			known.Order = o // as it stands in the copy: the same order, and as old
			f.setRollout(service, known)
			continue
		}
		f.takeOrder(now, o)
	}
	for service := range f.rollouts {
		if _, still := s.Orders[service]; !still && !f.settling(now) {
			f.withdraw(service)
		}
	}
	for service, status := range s.Statuses {
		f.stated(service, status)
	}
}

// takeRollouts takes over what another gateway knows that knows more of the store.
func (f *follower) takeRollouts(now time.Time, told map[string]ordered) {
	for service, o := range told {
		if known := f.rollouts[service]; known.Order == o.Order && known.Since.Before(o.Since) {
			o.Since = known.Since
		}
		f.setRollout(service, o)
	}
	for service := range f.rollouts {
		if _, still := told[service]; !still && !f.settling(now) {
			f.setRollout(service, ordered{})
		}
	}
}

// rolloutDocument is a roll-out on its way to another gateway.
type rolloutDocument struct {
	Target         string           `json:"target,omitempty"`
	DurationMS     int64            `json:"duration_ms,omitempty"`
	Revision       catalog.Revision `json:"revision,omitempty"`
	AgeMS          int64            `json:"age_ms,omitempty"`
	State          rollout.State    `json:"state,omitempty"`
	StateTarget    string           `json:"state_target,omitempty"`
	StatusRevision catalog.Revision `json:"status_revision,omitempty"`
}

// addRollouts adds what a view tells of roll-outs.
func (d *viewDocument) addRollouts(now time.Time, v *View) {
	for service, o := range v.Rollouts {
		if d.Rollouts == nil {
			d.Rollouts = map[string]rolloutDocument{}
		}
		r := rolloutDocument{State: o.Status.State, StateTarget: o.Status.Target, StatusRevision: o.Status.Revision}
		if o.Order != (rollout.Order{}) {
			r.Target, r.DurationMS, r.Revision = o.Order.Target, o.Order.Duration.Milliseconds(), o.Order.Revision
			r.AgeMS = now.Sub(o.Since).Milliseconds()
		}
		d.Rollouts[service] = r
	}
}

// rollouts returns what a view document that has arrived tells.
func (d viewDocument) rollouts(now time.Time) map[string]ordered {
	list := make(map[string]ordered, len(d.Rollouts))
	for service, r := range d.Rollouts {
		o := ordered{Status: rollout.Status{State: r.State, Target: r.StateTarget, Revision: r.StatusRevision}}
		if r.Target != "" {
			o.Order = rollout.Order{Service: service, Target: r.Target, Duration: time.Duration(r.DurationMS) * time.Millisecond, Revision: r.Revision}
			o.Since = before(now, r.AgeMS)
		}
		list[service] = o
	}
	return list
}
