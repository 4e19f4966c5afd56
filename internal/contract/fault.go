package contract

import (
	"fmt"
	"strings"
)

// FieldError is an invalid field of a configured object.
type FieldError struct {
	Field string `json:"field"` // JSON name with index, such as "keys[1]"
	Want  string `json:"want"`  // description of valid values
	Got   string `json:"got"`
}

// ValidationError lists all invalid fields of an object.
type ValidationError struct {
	Object      string       `json:"object"` // kind and name, such as `contract "register"`
	FieldErrors []FieldError `json:"faults"`
}

func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.FieldErrors))
	for _, fieldErr := range e.FieldErrors {
		lines = append(lines, fmt.Sprintf("%s must be %s, not %s", fieldErr.Field, fieldErr.Want, fieldErr.Got))
	}
	return fmt.Sprintf("contract: %s is invalid: %s", e.Object, strings.Join(lines, "; "))
}

// fieldErrors collects the invalid fields of an object during validation.
type fieldErrors []FieldError

func (e *fieldErrors) require(ok bool, field, want string, got any) {
	if ok {
		return
	}
	*e = append(*e, FieldError{Field: field, Want: want, Got: fmt.Sprintf("%#v", got)})
}

func (e fieldErrors) errorOrNil(kind, name string) error {
	if len(e) == 0 {
		return nil
	}
	return &ValidationError{Object: fmt.Sprintf("%s %q", kind, name), FieldErrors: e}
}
