package catalog

import "strconv"

// Revision is a state of the store of operators' and servers' entries: an era and a number. The
// number increases with each change. But a store that is restored from an older copy assigns
// numbers again, and its era counts how often it was restored. A later era comes after all numbers
// of the earlier ones, so revisions are compared as integers: a state of an earlier era is never
// newer, and equal numbers in two eras are not the same state. The zero value precedes all others.
type Revision uint64

// numberBits is the width of the number. A store with 400 changes a second exhausts it in 87 years.
const numberBits = 40

// MaxEra is the highest era that a Revision can hold.
const MaxEra = 1<<(64-numberBits) - 1

// NewRevision returns the revision with a number in an era.
func NewRevision(era, number uint64) Revision {
	return Revision(era<<numberBits | number&(1<<numberBits-1))
}

// Era returns the number of restores of the store from a copy, as counted by the store.
func (r Revision) Era() uint64 { return uint64(r) >> numberBits }

// Number returns the store's own revision number within the era.
func (r Revision) Number() uint64 { return uint64(r) & (1<<numberBits - 1) }

// String returns the era and the number, such as 2.117.
func (r Revision) String() string {
	return strconv.FormatUint(r.Era(), 10) + "." + strconv.FormatUint(r.Number(), 10)
}
