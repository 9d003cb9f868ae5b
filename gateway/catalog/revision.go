package catalog

import "strconv"

// Revision is a state of the store in which operators and servers announce. Its number rises
// with each change; but a store that comes back from an older copy gives numbers out again, and
// counts in its era how often it has. A later era comes after all numbers of the ones before, so
// revisions are compared as integers: what is told of an earlier era never counts as news, and
// equal numbers of two eras are not taken for the same state. The zero value comes before all.
type Revision uint64

// Bits of the number. A store that changes 400 times a second reaches them in 87 years.
const numberBits = 40

// MaxEra is the highest era that a Revision holds.
const MaxEra = 1<<(64-numberBits) - 1

// NewRevision returns the revision of that number in an era.
func NewRevision(era, number uint64) Revision {
	return Revision(era<<numberBits | number&(1<<numberBits-1))
}

// Era returns how often the store had come back from a copy, as it counts itself.
func (r Revision) Era() uint64 { return uint64(r) >> numberBits }

// Number returns what the store calls the revision within its era.
func (r Revision) Number() uint64 { return uint64(r) & (1<<numberBits - 1) }

// String returns era and number, as 2.117.
func (r Revision) String() string {
	return strconv.FormatUint(r.Era(), 10) + "." + strconv.FormatUint(r.Number(), 10)
}
