// Package ctl is the logic of chicoryctl, the operators' command line.
package ctl

import (
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/opsapi"
)

// Exit codes of chicoryctl. They are part of its interface.
const (
	ExitOK            = 0
	ExitFailed        = 1 // anything not listed below
	ExitUsage         = 2 // wrong command line or unreadable file
	ExitNotFound      = 3
	ExitConflict      = 4 // another operator's change came first, or an id was used before
	ExitInvalid       = 5 // rejected as invalid; nothing changed
	ExitNotYetKnown   = 6 // may have taken effect; repeat with the same --change-id or --id
	ExitUnreachable   = 7 // no router answered, or none could do it now; nothing changed
	ExitNotEverywhere = 8 // accepted, but not in force on every router within --wait-timeout
	ExitUnauthorized  = 9
)

// exitHelp documents the exit codes in the program's help.
const exitHelp = `Exit codes: 0 done; 1 failed otherwise; 2 wrong usage; 3 not found; 4 conflict with another change; ` +
	`5 rejected as invalid; 6 outcome not yet known (repeat with the same --change-id or --id); ` +
	`7 no router could be reached or do it now, nothing changed; 8 accepted, but not in force on every router in time; ` +
	`9 credential refused.`

// usageError is a fault in what the operator gave.
type usageError struct{ cause error }

func (e *usageError) Error() string { return e.cause.Error() }

// unreachableError: no router gave an answer to act on, and nothing changed.
type unreachableError struct{ cause error }

func (e *unreachableError) Error() string { return "no router could do it: " + e.cause.Error() }

// notYetKnownError: the call may have had its effect.
type notYetKnownError struct {
	repeat string // what to repeat it with
	cause  error
}

func (e *notYetKnownError) Error() string {
	return "not yet known whether it took effect (" + e.cause.Error() + "); to find out, repeat the command with " + e.repeat
}

// notEverywhereError: some routers don't have the revision yet.
type notEverywhereError struct{ text string }

func (e *notEverywhereError) Error() string { return e.text }

var exitOfCode = map[opsapi.Code]int{
	opsapi.CodeUnauthorized:   ExitUnauthorized,
	opsapi.CodeNotFound:       ExitNotFound,
	opsapi.CodeConflict:       ExitConflict,
	opsapi.CodeChangeIDReused: ExitConflict,
	opsapi.CodeTopUpReused:    ExitConflict,
	opsapi.CodeInvalid:        ExitInvalid,
	opsapi.CodeTooLarge:       ExitInvalid,
	opsapi.CodePrecondition:   ExitUsage,
	opsapi.CodeNotDone:        ExitUnreachable,
	opsapi.CodeNotYetKnown:    ExitNotYetKnown,
}

// exitCode gives the exit code of an error.
func exitCode(err error) int {
	var (
		usage         *usageError
		unreachable   *unreachableError
		notYetKnown   *notYetKnownError
		notEverywhere *notEverywhereError
		detail        *opsapi.ErrorDetail
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &notYetKnown):
		return ExitNotYetKnown
	case errors.As(err, &unreachable):
		return ExitUnreachable
	case errors.As(err, &notEverywhere):
		return ExitNotEverywhere
	case errors.As(err, &detail):
		if code, found := exitOfCode[detail.Code]; found {
			return code
		}
	}
	return ExitFailed
}
