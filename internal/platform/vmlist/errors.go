package vmlist

import (
	"fmt"

	"github.com/pkg/errors"
)

// Errors of List, found by errors.Is.
var (
	// ErrUnavailable: the platform can't be reached or refuses to answer.
	ErrUnavailable = errors.New("VM list unavailable")
	// ErrInvalid: the platform's answer is no list of VMs. It is refused whole,
	// since a list without one VM looks as if that VM were gone.
	ErrInvalid = errors.New("VM list invalid")
)

// ListError tells why there is no list. errors.Is finds both Kind and Cause.
type ListError struct {
	Kind  error
	Cause error
}

// Error implements error.
func (e *ListError) Error() string {
	return fmt.Sprintf("vmlist: %v: %v", e.Kind, e.Cause)
}

// Unwrap gives errors.Is and errors.As both reasons.
func (e *ListError) Unwrap() []error {
	return []error{e.Kind, e.Cause}
}
