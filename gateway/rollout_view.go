package gateway

import (
	"maps"
	"time"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/rollout"
)

// This file keeps the rollouts of a view. Package rollout decides how they proceed.

// rolloutRecord is the order and the status of a service's rollout.
type rolloutRecord struct {
	Order  rollout.Order // zero: none, or withdrawn
	Since  time.Time     // when the first gateway that passed it on heard of the order
	Status rollout.Status
}

// applyOrder takes over an order of the operators.
func (w *storeWatcher) applyOrder(now time.Time, o rollout.Order) {
	known := w.rollouts[o.Service]
	if known.Order == o {
		return
	}
	known.Order, known.Since = o, now
	w.setRollout(o.Service, known)
	w.gateway.log.Info().Str("event", "rollout.ordered").Str("service", o.Service).Str("target", o.Target).
		Dur("within", o.Duration).EmbedObject(revisionFields(o.Revision)).Msg("new version gets a small share of requests first")
}

// withdrawOrder removes an order that the operators have withdrawn. Its status stays in
// force: a version that was rolled back gets no requests.
func (w *storeWatcher) withdrawOrder(service string) {
	known := w.rollouts[service]
	if known.Order == (rollout.Order{}) {
		return
	}
	known.Order = rollout.Order{}
	w.setRollout(service, known)
	w.gateway.log.Info().Str("event", "rollout.withdrawn").Str("service", service).Msg("rollout order withdrawn")
}

// applyRolloutStatus takes over the stored status of a service's rollout.
func (w *storeWatcher) applyRolloutStatus(service string, s rollout.Status) {
	known := w.rollouts[service]
	if s != (rollout.Status{}) && s.Revision < known.Status.Revision {
		return
	}
	known.Status = s
	w.setRollout(service, known)
}

// setRollout replaces a rollout. Views share the map, so it is copied.
func (w *storeWatcher) setRollout(service string, o rolloutRecord) {
	changed := make(map[string]rolloutRecord, len(w.rollouts)+1)
	maps.Copy(changed, w.rollouts)
	changed[service] = o
	if o.Order == (rollout.Order{}) && o.Status == (rollout.Status{}) {
		delete(changed, service)
	}
	w.rollouts = changed
}

// applyListedRollouts takes over the rollouts of a list from the store. While the store may
// lack recent writes, rollouts that the list does not name are kept.
func (w *storeWatcher) applyListedRollouts(now time.Time, s Snapshot) {
	for service, o := range s.RolloutOrders {
		if known := w.rollouts[service]; known.Order.Target == o.Target && known.Order.Duration == o.Duration && w.reconciling(now) {
			known.Order = o // the same order under the revision of the restored store; its age stays
			w.setRollout(service, known)
			continue
		}
		w.applyOrder(now, o)
	}
	for service := range w.rollouts {
		if _, still := s.RolloutOrders[service]; !still && !w.reconciling(now) {
			w.withdrawOrder(service)
		}
	}
	for service, status := range s.RolloutStatuses {
		w.applyRolloutStatus(service, status)
	}
}

// applyPeerRollouts takes over the rollouts of a gateway whose view is newer.
func (w *storeWatcher) applyPeerRollouts(now time.Time, received map[string]rolloutRecord) {
	for service, o := range received {
		if known := w.rollouts[service]; known.Order == o.Order && known.Since.Before(o.Since) {
			o.Since = known.Since
		}
		w.setRollout(service, o)
	}
	for service := range w.rollouts {
		if _, still := received[service]; !still && !w.reconciling(now) {
			w.setRollout(service, rolloutRecord{})
		}
	}
}

// rolloutDocument is the encoding of a rollout in a view document.
type rolloutDocument struct {
	Target         string           `json:"target,omitempty"`
	DurationMS     int64            `json:"duration_ms,omitempty"`
	Revision       catalog.Revision `json:"revision,omitempty"`
	AgeMS          int64            `json:"age_ms,omitempty"`
	State          rollout.State    `json:"state,omitempty"`
	StateTarget    string           `json:"state_target,omitempty"`
	StatusRevision catalog.Revision `json:"status_revision,omitempty"`
}

// addRollouts adds the rollouts of a view.
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

// decodeRollouts returns the rollouts of a received view document.
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
