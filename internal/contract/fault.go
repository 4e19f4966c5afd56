package contract

import (
	"fmt"
	"strings"
)

// FieldError is one wrong field of an object that an operator configured.
type FieldError struct {
	Field string `json:"field"` // JSON name, with index: "budgets[1].id"
	Want  string `json:"want"`  // what would be right
	Got   string `json:"got"`
}

// ValidationError lists every fault of one object.
type ValidationError struct {
	Object      string       `json:"object"` // kind and name: "contract \"register\""
	FieldErrors []FieldError `json:"faults"`
}

// Error implements error.
func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.FieldErrors))
	for _, fault := range e.FieldErrors {
		lines = append(lines, fmt.Sprintf("%s must be %s, not %s", fault.Field, fault.Want, fault.Got))
	}
	return fmt.Sprintf("contract: %s is invalid: %s", e.Object, strings.Join(lines, "; "))
}

// faults collects the faults of one object while it is checked.
type faults []FieldError

func (f *faults) require(ok bool, field, want string, got any) {
	if ok {
		return
	}
	*f = append(*f, FieldError{Field: field, Want: want, Got: fmt.Sprintf("%#v", got)})
}

func (f faults) asError(kind, name string) error {
	if len(f) == 0 {
		return nil
	}
	return &ValidationError{Object: fmt.Sprintf("%s %q", kind, name), FieldErrors: f}
}
