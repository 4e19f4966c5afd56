package config

import (
	"fmt"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/id"
)

// Errors of this package besides the typed ones; test with errors.Is.
var (
	// ErrNeedsLoad: a head does not reach back to the state; older changes have
	// been folded, so that the snapshot shards must be read.
	ErrNeedsLoad = errors.New("config: state is too old for this head, the snapshot shards are needed")
	// ErrMalformed: bytes are not what this package writes.
	ErrMalformed = errors.New("config: malformed value")
	// ErrSteppedBack: the key-value service holds an older configuration than
	// was already in force (it lost data).
	ErrSteppedBack = errors.New("config: the key-value service holds an older revision than is in force")
	// ErrNotFound: there is no such object to delete.
	ErrNotFound = errors.New("config: there is no such object")
	// ErrFull: the head or a snapshot shard would pass the service's value size.
	ErrFull = errors.New("config: the configuration does not fit its shards")
)

// Conflict: the object was changed since the operator read it.
type Conflict struct {
	Key     Key
	IfMatch id.Revision // what the operator expected
	Current id.Revision // zero: the object does not exist
	// Other is the change that came between. It is nil when that change was a
	// deletion which is no longer in the log, or when there never was an object.
	Other *Meta
	// OtherDeleted tells that Other deleted the object.
	OtherDeleted bool
}

// Error implements error.
func (c *Conflict) Error() string {
	text := fmt.Sprintf("config: %s %q is at revision %d, not %d", c.Key.Kind, c.Key.Name, c.Current, c.IfMatch)
	if c.Other == nil {
		return text
	}
	verb := "changed"
	if c.OtherDeleted {
		verb = "deleted"
	}
	return fmt.Sprintf("%s: %s by %q at %s (revision %d)", text, verb, c.Other.Author,
		c.Other.At.UTC().Format("2006-01-02T15:04:05Z"), c.Other.Revision)
}

// Invalid: the change would make the configuration wrong. Reason tells why; it
// is a *contract.ValidationError when a single object is at fault.
type Invalid struct {
	Key    Key
	Reason error
}

// Error implements error.
func (e *Invalid) Error() string {
	return fmt.Sprintf("config: %s %q rejected: %s", e.Key.Kind, e.Key.Name, e.Reason)
}

// Unwrap gives the reason.
func (e *Invalid) Unwrap() error { return e.Reason }

// NotAcceptedError: the change did not take effect, for a cause outside it.
type NotAcceptedError struct {
	ChangeID string
	Cause    error
}

// Error implements error.
func (e *NotAcceptedError) Error() string {
	return fmt.Sprintf("config: change %s was not accepted: %s", e.ChangeID, e.Cause)
}

// Unwrap gives the cause.
func (e *NotAcceptedError) Unwrap() error { return e.Cause }

// NotYetKnownError: the change may have taken effect or may yet do so. Sending
// it again under the same ChangeID is safe and finds out.
type NotYetKnownError struct {
	ChangeID string
	Cause    error
}

// Error implements error.
func (e *NotYetKnownError) Error() string {
	return fmt.Sprintf("config: outcome of change %s is not yet known: %s", e.ChangeID, e.Cause)
}

// Unwrap gives the cause.
func (e *NotYetKnownError) Unwrap() error { return e.Cause }

// ChangeIDReused: a different change was already accepted under the ChangeID.
type ChangeIDReused struct {
	ChangeID string
	Revision id.Revision // of the change accepted under it
}

// Error implements error.
func (e *ChangeIDReused) Error() string {
	return fmt.Sprintf("config: change id %s was used for another change, accepted at revision %d", e.ChangeID, e.Revision)
}
