package gateway

import (
	"time"

	"opalbridge.dev/gateway/catalog"
	"opalbridge.dev/gateway/origin"
	"opalbridge.dev/gateway/quarantine"
)

// This file encodes views for other gateways, whole or as what has changed, and decodes them.

// viewDocument is the encoding of a view for another gateway.
type viewDocument struct {
	Configuration []byte           `json:"configuration"` // as published
	Servers       []catalog.Server `json:"servers"`
	Revision      catalog.Revision `json:"revision"`
	// Missing is the remaining time, in milliseconds, for which servers without an entry are
	// kept.
	Missing map[string]int64 `json:"missing,omitempty"`
	// Evacuated holds the evacuated halls.
	Evacuated map[string]evacuationDocument `json:"evacuated,omitempty"`
	Cold      map[string]coldDocument       `json:"cold,omitempty"`     // by server
	Rollouts  map[string]rolloutDocument    `json:"rollouts,omitempty"` // by service
	// Suspects holds the servers that crashed under a request, by the text of its key.
	Suspects map[string][]string `json:"suspects,omitempty"`
	// Trials holds the number of trials of requests whose servers crashed at the same time. It
	// is a separate field for compatibility with gateways of a version that lacks it.
	Trials map[string]int `json:"doubts,omitempty"`
	// SuspectParts holds what else is known of those suspects that are parts of prompts, by the text
	// of their keys.
	SuspectParts map[string]*quarantine.PartEvidence `json:"suspect_parts,omitempty"`
	// HasSuspects is true in a full view, unless the sender is of a version without Suspects.
	HasSuspects bool `json:"suspects_told,omitempty"`
	// Partial reports that Servers, RemovedServers, Cold, Suspects and RemovedSuspects hold
	// only the changes since the requested revision, and that Configuration is set only if it
	// is later.
	Partial         bool     `json:"partial,omitempty"`
	RemovedServers  []string `json:"gone,omitempty"`
	RemovedSuspects []string `json:"cleared,omitempty"` // keys of requests that are no longer suspects
	// Unverified holds servers that a restored backup lists and that are not used yet; empty
	// if Partial.
	Unverified []catalog.Server `json:"revived,omitempty"`
	// ReconcileMS is the remaining time, in milliseconds, for which the store may lack entries
	// that it had.
	ReconcileMS int64 `json:"settle_ms,omitempty"`
	// Versions holds which software versions have served, also if Partial.
	Versions origin.Record `json:"versions,omitzero"`
	// Leaving holds all lifetimes of servers that have announced that they are leaving, also
	// if Partial.
	Leaving []string `json:"left,omitempty"`
}

// changes returns what has changed since a revision, for a gateway that has that revision and
// a version of the configuration; ok is false if the change log does not reach back that far.
func (v *View) changes(now time.Time, revision catalog.Revision, version uint64) (d viewDocument, ok bool) {
	d = viewDocument{Revision: v.Revision, Partial: true, Leaving: v.ReportedLeaving, ReconcileMS: millisUntil(now, v.ReconcileUntil)}
	if v.Configuration != nil && v.Configuration.Version > version {
		d.Configuration = v.RawConfiguration
	}
	if revision > v.Revision {
		return d, true // the asking gateway has a later revision of the store
	}
	ids, ok := v.serverChanges.since(revision)
	keys, suspectsKnown := v.suspectChanges.since(revision)
	if !ok || !suspectsKnown {
		return d, false
	}
	for id := range ids {
		if s, known := v.server(id); known {
			d.Servers = append(d.Servers, s)
		} else {
			d.RemovedServers = append(d.RemovedServers, id)
		}
	}
	d.addMissing(now, v)
	d.addRollouts(now, v)
	d.addCold(now, v, func(server string) bool { return ids[server] })
	d.addSuspects(v, func(key string) bool { return keys[key] })
	for key := range keys {
		if _, kept := d.Suspects[key]; !kept {
			d.RemovedSuspects = append(d.RemovedSuspects, key)
		}
	}
	return d, true
}

// document returns the full view for another gateway.
func (v *View) document(now time.Time) viewDocument {
	d := viewDocument{Configuration: v.RawConfiguration, Servers: v.Servers, Revision: v.Revision, Leaving: v.ReportedLeaving, Unverified: v.Unverified, ReconcileMS: millisUntil(now, v.ReconcileUntil)}
	d.addMissing(now, v)
	d.addRollouts(now, v)
	d.addCold(now, v, func(string) bool { return true })
	d.addSuspects(v, func(string) bool { return true })
	d.HasSuspects = true
	return d
}

func (d *viewDocument) addSuspects(v *View, include func(key string) bool) {
	for key, record := range v.Suspects {
		text := key.String()
		if !include(text) {
			continue
		}
		if d.Suspects == nil {
			d.Suspects, d.Trials = map[string][]string{}, map[string]int{}
			d.SuspectParts = map[string]*quarantine.PartEvidence{}
		}
		d.Suspects[text] = record.Servers
		if record.Simultaneous || record.Part != nil {
			d.Trials[text] = record.Trials
		}
		if record.Part != nil {
			d.SuspectParts[text] = record.Part
		}
	}
}

// decodeSuspects decodes the suspects of a view document. Keys that cannot be parsed are
// skipped: other gateways write only valid ones.
func (d viewDocument) decodeSuspects() (suspects map[quarantine.Key]quarantine.StoredRecord, removed []quarantine.Key) {
	suspects = map[quarantine.Key]quarantine.StoredRecord{}
	for text, servers := range d.Suspects {
		if key, err := quarantine.ParseKey(text); err == nil {
			trials, simultaneous := d.Trials[text]
			part := d.SuspectParts[text]
			suspects[key] = quarantine.StoredRecord{Servers: servers, Simultaneous: simultaneous && part == nil, Trials: trials, Part: part}
		}
	}
	for _, text := range d.RemovedSuspects {
		if key, err := quarantine.ParseKey(text); err == nil {
			removed = append(removed, key)
		}
	}
	return suspects, removed
}

func (d *viewDocument) addMissing(now time.Time, v *View) {
	for id, until := range v.MissingUntil {
		if d.Missing == nil {
			d.Missing = map[string]int64{}
		}
		d.Missing[id] = max(until.Sub(now).Milliseconds(), 0)
	}
}

// decodeSnapshot decodes the view document, but for the configuration.
func (d viewDocument) decodeSnapshot(now time.Time) Snapshot {
	s := Snapshot{RawConfiguration: d.Configuration, Servers: d.Servers, Revision: d.Revision, MissingUntil: map[string]time.Time{}}
	for id, ms := range d.Missing {
		s.MissingUntil[id] = now.Add(time.Duration(ms) * time.Millisecond)
	}
	return s
}

// peerView decodes the view document, but for the configuration and the sender.
func (d viewDocument) peerView(now time.Time) peerView {
	p := peerView{snapshot: d.decodeSnapshot(now), partial: d.Partial, removedServers: d.RemovedServers, leaving: d.Leaving, unverified: d.Unverified, hasSuspects: d.HasSuspects}
	p.reconcileUntil = now.Add(time.Duration(d.ReconcileMS) * time.Millisecond)
	p.evacuations, p.cold = d.decodeCold(now)
	p.rollouts = d.decodeRollouts(now)
	p.snapshot.Suspects, p.removedSuspects = d.decodeSuspects()
	p.versions = d.Versions
	return p
}
