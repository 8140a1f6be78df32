package platform

import (
	"log/slog"
	"strconv"
)

// Revision identifies a state of the store by its era and, within the era, by a number
// that grows with every write. A store that is restored from a copy begins a new era, in
// which it gives out some numbers again. Revisions of a later era are larger, so that
// comparing two revisions compares the pairs.
type Revision int64

const (
	// numberBits is the size of a number: at 1,200 writes a second it lasts for 29 years.
	numberBits = 40
	maxNumber  = 1<<numberBits - 1
)

// Conditions on the revision of a key for Put and Delete.
const (
	AnyRevision Revision = -1 // write unconditionally
	Absent      Revision = 0  // write only if the key does not exist
)

// NewRevision returns the revision with a number within an era.
func NewRevision(era, number int64) Revision {
	return Revision(era<<numberBits | number&maxNumber)
}

// Era returns the era of the revision: how often the store was restored before. A store
// without eras is always in era 0.
func (r Revision) Era() int64 { return int64(max(r, 0)) >> numberBits }

// Number returns the number within the era, or the value of a condition unchanged.
func (r Revision) Number() int64 {
	if r < 0 {
		return int64(r)
	}
	return int64(r) & maxNumber
}

// InEra returns the revision with the same number in another era.
func (r Revision) InEra(era int64) Revision { return NewRevision(era, r.Number()) }

// LogValue implements slog.LogValuer: a number as long as the store was never restored,
// otherwise the era and the number.
func (r Revision) LogValue() slog.Value {
	if r.Era() > 0 {
		return slog.StringValue(r.String())
	}
	return slog.Int64Value(int64(r))
}

// String returns the number and, unless it is 0, the era before it.
func (r Revision) String() string {
	number := strconv.FormatInt(r.Number(), 10)
	if era := r.Era(); era > 0 {
		return strconv.FormatInt(era, 10) + "." + number
	}
	return number
}
