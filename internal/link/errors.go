package link

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// Errors of Call; test with errors.Is. ErrUnreachable, ErrAuth and ErrVersion
// mean that the peer has not run the call. After ErrTimeout and ErrBroken it may
// have run it.
var (
	// ErrUnreachable: no connection could be had; the call was not sent.
	ErrUnreachable = errors.New("link: peer unreachable, call not sent")
	// ErrTimeout: the call was sent and its deadline passed; outcome unknown.
	ErrTimeout = errors.New("link: call timed out, outcome unknown")
	// ErrBroken: the connection broke after the call was sent; outcome unknown.
	ErrBroken = errors.New("link: connection broken, outcome unknown")
	// ErrRemote: the peer's receiver answered with an error, see RemoteError.
	ErrRemote = errors.New("link: peer answered with an error")
	// ErrAuth: one of the ends holds no shared key that the other accepts.
	ErrAuth = errors.New("link: peer not authenticated")
	// ErrVersion: the two ends have no protocol version in common.
	ErrVersion = errors.New("link: no common protocol version")
	// ErrMessageTooLarge: a message is over MaxMessageBytes; it was not sent.
	ErrMessageTooLarge = errors.New("link: message too large")
	// ErrClosed: the Server or Pool was closed.
	ErrClosed = errors.New("link: closed")
	// ErrMalformed: a message is no valid encoding of its type.
	ErrMalformed = errors.New("link: malformed message")
)

// OutcomeUnknown tells whether the peer may have run the call that gave err.
func OutcomeUnknown(err error) bool {
	return errors.Is(err, ErrTimeout) || errors.Is(err, ErrBroken)
}

// Code classifies an error that a receiver answers with.
type Code string

// RemoteError is a receiver's error. Receivers return it (see Errorf), and Call
// gives it back to the caller; it matches ErrRemote. Code is empty if the
// receiver returned another kind of error.
type RemoteError struct {
	Code Code
	Text string
}

// Errorf makes the error by which a receiver answers a call with a code.
func Errorf(code Code, format string, args ...any) *RemoteError {
	return &RemoteError{Code: code, Text: fmt.Sprintf(format, args...)}
}

// Error gives "[code] text", the form in which net/rpc carries it.
func (e *RemoteError) Error() string {
	if e.Code == "" {
		return e.Text
	}
	return "[" + string(e.Code) + "] " + e.Text
}

// Is makes errors.Is(err, ErrRemote) hold.
func (e *RemoteError) Is(target error) bool {
	return target == ErrRemote
}

// CodeOf gives the code of a RemoteError within err, or "".
func CodeOf(err error) Code {
	var remote *RemoteError
	if errors.As(err, &remote) {
		return remote.Code
	}
	return ""
}

func parseRemoteError(s string) *RemoteError {
	rest, bracketed := strings.CutPrefix(s, "[")
	code, text, found := strings.Cut(rest, "] ")
	if !bracketed || !found {
		return &RemoteError{Text: s}
	}
	return &RemoteError{Code: Code(code), Text: text}
}

// CodeAnswer: the call ran, but its answer could not be encoded or is too large.
const CodeAnswer Code = "answer_not_encodable"
