package gateway

import (
	"maps"
	"time"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/rollout"
)

// This file keeps what the view tells of roll-outs. package rollout decides on them.

// rolloutRecord is what is known of a service's roll-out.
type rolloutRecord struct {
	Order  rollout.Order // zero: there is none, or it has been withdrawn
	Since  time.Time     // when this gateway, or the one that told it, heard of the order
	Status rollout.Status
}

// applyOrder takes over what operators want of a service.
func (f *storeWatcher) applyOrder(now time.Time, o rollout.Order) {
	known := f.rollouts[o.Service]
	if known.Order == o {
		return
	}
	known.Order, known.Since = o, now
	f.setRollout(o.Service, known)
	f.gateway.log.Info().Str("event", "rollout.ordered").Str("service", o.Service).Str("target", o.Target).
		Dur("within", o.Duration).EmbedObject(revisionFields(o.Revision)).Msg("a new version gets a few requests first")
}

// withdrawOrder takes over that operators have taken an order back. What was said of it still holds:
// a version that was taken back gets nothing.
func (f *storeWatcher) withdrawOrder(service string) {
	known := f.rollouts[service]
	if known.Order == (rollout.Order{}) {
		return
	}
	known.Order = rollout.Order{}
	f.setRollout(service, known)
	f.gateway.log.Info().Str("event", "rollout.withdrawn").Str("service", service).Msg("no order any more")
}

// applyRolloutStatus takes over what was said of a service's roll-out.
func (f *storeWatcher) applyRolloutStatus(service string, s rollout.Status) {
	known := f.rollouts[service]
	if s != (rollout.Status{}) && s.Revision < known.Status.Revision {
		return
	}
	known.Status = s
	f.setRollout(service, known)
}

// setRollout replaces what is known of a roll-out; views share the map.
func (f *storeWatcher) setRollout(service string, o rolloutRecord) {
	changed := make(map[string]rolloutRecord, len(f.rollouts)+1)
	maps.Copy(changed, f.rollouts)
	changed[service] = o
	if o.Order == (rollout.Order{}) && o.Status == (rollout.Status{}) {
		delete(changed, service)
	}
	f.rollouts = changed
}

// applyListedRollouts takes over what a list of the store tells. While the store may lack what it
// had, nothing is taken from it that it does not name.
func (f *storeWatcher) applyListedRollouts(now time.Time, s Snapshot) {
	for service, o := range s.RolloutOrders {
		if known := f.rollouts[service]; known.Order.Target == o.Target && known.Order.Duration == o.Duration && f.reconciling(now) {
			known.Order = o // as it stands in the copy: the same order, and as old
			f.setRollout(service, known)
			continue
		}
		f.applyOrder(now, o)
	}
	for service := range f.rollouts {
		if _, still := s.RolloutOrders[service]; !still && !f.reconciling(now) {
			f.withdrawOrder(service)
		}
	}
	for service, status := range s.RolloutStatuses {
		f.applyRolloutStatus(service, status)
	}
}

// applyPeerRollouts takes over what another gateway knows that knows more of the store.
func (f *storeWatcher) applyPeerRollouts(now time.Time, told map[string]rolloutRecord) {
	for service, o := range told {
		if known := f.rollouts[service]; known.Order == o.Order && known.Since.Before(o.Since) {
			o.Since = known.Since
		}
		f.setRollout(service, o)
	}
	for service := range f.rollouts {
		if _, still := told[service]; !still && !f.reconciling(now) {
			f.setRollout(service, rolloutRecord{})
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

// decodeRollouts returns what a view document that has arrived tells.
func (d viewDocument) decodeRollouts(now time.Time) map[string]rolloutRecord {
	list := make(map[string]rolloutRecord, len(d.Rollouts))
	for service, r := range d.Rollouts {
		o := rolloutRecord{Status: rollout.Status{State: r.State, Target: r.StateTarget, Revision: r.StatusRevision}}
		if r.Target != "" {
			o.Order = rollout.Order{Service: service, Target: r.Target, Duration: time.Duration(r.DurationMS) * time.Millisecond, Revision: r.Revision}
			o.Since = timeAgo(now, r.AgeMS)
		}
		list[service] = o
	}
	return list
}
