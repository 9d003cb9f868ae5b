package quarantine

import (
	"slices"
	"time"
)

// Record is what is known of a request that was present at two crashes or more.
type Record struct {
	Servers       []string      // that crashed, in the order in which this became known
	QuarantinedAt time.Time     // zero: not quarantined
	Simultaneous  bool          // all crashes but at most one came at the same time
	Part          *PartEvidence // nil: it is a request
}

// StoredRecord is the part of a record that is kept in the store shared by all gateways.
type StoredRecord struct {
	Servers      []string      `json:"servers"`           // that crashed
	Simultaneous bool          `json:"at_once,omitempty"` // all crashes but at most one came at the same time
	Trials       int           `json:"tries,omitempty"`   // number of times it was sent although quarantined
	Part         *PartEvidence `json:"part,omitempty"`    // nil: it is a request
}

// Equal reports whether both records hold the same values.
func (r StoredRecord) Equal(o StoredRecord) bool {
	return r.Simultaneous == o.Simultaneous && r.Trials == o.Trials && slices.Equal(r.Servers, o.Servers) && r.Part.equal(o.Part)
}

// Merge returns the union of both records. The crashes count as simultaneous only if both
// records say so.
func (r StoredRecord) Merge(o StoredRecord) StoredRecord {
	if len(o.Servers) == 0 {
		return r
	}
	merged := StoredRecord{
		Servers:      slices.Clone(r.Servers),
		Simultaneous: r.Simultaneous && o.Simultaneous,
		Trials:       max(r.Trials, o.Trials),
		Part:         mergeEvidence(r.Part, o.Part),
	}
	for _, server := range o.Servers {
		if !slices.Contains(merged.Servers, server) {
			merged.Servers = append(merged.Servers, server)
		}
	}
	return merged
}

// Quarantined reports whether a suspect with this record is quarantined.
func (r StoredRecord) Quarantined() bool {
	if r.Part != nil {
		return r.Part.conclusive(len(r.Servers), CrashThreshold)
	}
	return len(r.Servers) >= CrashThreshold
}
