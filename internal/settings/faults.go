package settings

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// ErrInvalid is what every error of Load and Parse matches with errors.Is.
var ErrInvalid = errors.New("settings: invalid")

// Fault is one thing wrong in the settings.
type Fault struct {
	Section string
	Key     string // empty: the section itself is wrong
	Value   string // empty: missing, or not to be shown
	Problem string // what is wrong and what would be right
}

// String gives the fault as one line.
func (f Fault) String() string {
	switch {
	case f.Section == "":
		return f.Problem
	case f.Key == "":
		return fmt.Sprintf("[%s]: %s", f.Section, f.Problem)
	case f.Value == "":
		return fmt.Sprintf("[%s] %s: %s", f.Section, f.Key, f.Problem)
	default:
		return fmt.Sprintf("[%s] %s = %q: %s", f.Section, f.Key, f.Value, f.Problem)
	}
}

// Faults is the error of Load and Parse: all faults of the file.
type Faults []Fault

// Error gives one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Is makes errors.Is(err, ErrInvalid) hold.
func (f Faults) Is(target error) bool {
	return target == ErrInvalid
}

// has tells whether one of the keys, given as "section.key", has a fault.
func (f Faults) has(keys ...string) bool {
	for _, fault := range f {
		for _, key := range keys {
			if fault.Section+"."+fault.Key == key {
				return true
			}
		}
	}
	return false
}
