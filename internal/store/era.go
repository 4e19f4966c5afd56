package store

import (
	"log/slog"
	"strconv"
)

// Era counts how often the store has lost writes that it had acknowledged, because it was restored
// from a copy. In a new era revisions and lease IDs are those of the copy, and are given out again.
type Era int64

// Revision identifies a state of the whole store by the era and the number of changes made to it.
// Revisions are ordered by era first: what is known of an older era is older, whatever its number.
// Zero means that a key does not exist.
type Revision int64

// numberBits is the number of bits that hold a revision's number. It leaves room for 2^19 eras.
const numberBits = 44

// NewRevision returns the revision with a number in an era.
func NewRevision(era Era, number int64) Revision {
	return Revision(int64(era)<<numberBits | number)
}

// Era returns the era in which the revision was read.
func (r Revision) Era() Era {
	return Era(r >> numberBits)
}

// Number returns the revision's number, which is the store's own name for it.
func (r Revision) Number() int64 {
	return int64(r) & (1<<numberBits - 1)
}

// String returns the revision as ERA/NUMBER, or only the number in era 0.
func (r Revision) String() string {
	number := strconv.FormatInt(r.Number(), 10)
	if r.Era() == 0 {
		return number
	}
	return strconv.FormatInt(int64(r.Era()), 10) + "/" + number
}

// Attr returns the revision as an attribute of a log line.
func (r Revision) Attr() slog.Attr {
	return slog.String("revision", r.String())
}

// LeaseID identifies a lease. The zero value means no lease.
type LeaseID struct {
	// Era is the era in which the lease was granted. In a later one its number may be another
	// owner's.
	Era    Era
	Number int64
}

// IsNone reports whether there is no lease.
func (l LeaseID) IsNone() bool {
	return l.Number == 0
}
