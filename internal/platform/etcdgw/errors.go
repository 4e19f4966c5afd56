package etcdgw

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"chicorytiller.example/chicorytiller/internal/platform"
	"chicorytiller.example/chicorytiller/internal/platform/etcdgw/wire"
)

// CallError tells of a call to the gateway that failed. errors.Is finds both
// Kind and Cause.
type CallError struct {
	Path  string // the gateway's path, for instance /v3/kv/txn
	Kind  error  // one of package platform's errors
	Cause error  // what was seen on the connection or in the answer
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("etcdgw: %s: %v: %v", e.Path, e.Kind, e.Cause)
}

// Unwrap gives errors.Is and errors.As both reasons.
func (e *CallError) Unwrap() []error {
	return []error{e.Kind, e.Cause}
}

// dialError marks that no connection came about, so that nothing was sent.
type dialError struct {
	cause error
}

func (e *dialError) Error() string { return "dial: " + e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

// access tells whether a call can change the service's state.
type access int

const (
	reads access = iota
	writes
)

// unclear is the error for a call of which the effect can't be told. A read has
// none, so that its error is the plain one.
func (a access) unclear() error {
	if a == writes {
		return platform.ErrOutcomeUnknown
	}
	return platform.ErrUnavailable
}

// kindOfTransportError maps an error of the HTTP client.
//
// A write whose request may have left this process may have taken effect. To
// call that "unavailable" would let the writer take it for not written; so
// only errors from before the first byte count as ErrUnavailable.
func kindOfTransportError(a access, err error) error {
	var dial *dialError
	if errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return platform.ErrUnavailable
	}
	return a.unclear()
}

// kindOfStatus maps an answer with an error status. Status 4xx means that the
// gateway refused the request. Status 5xx is not as clear: etcd also sends 503
// ("request timed out", "leader changed") for writes that are committed later,
// so only the one text that it sends before it proposes a write is trusted.
func kindOfStatus(a access, status int, message string) error {
	switch {
	case isTooLarge(status, message):
		return platform.ErrValueTooLarge
	case status == fasthttp.StatusTooManyRequests:
		return platform.ErrRateLimited
	case message == wire.TextLeaseNotFound:
		return platform.ErrLeaseNotFound
	case message == wire.TextNoLeader:
		return platform.ErrUnavailable
	case status >= 400 && status < 500:
		return platform.ErrUnavailable
	}
	return a.unclear()
}

func isTooLarge(status int, message string) bool {
	if status == fasthttp.StatusRequestEntityTooLarge || message == wire.TextTooLarge {
		return true
	}
	// gRPC's own limit on a message, which the gateway turns into status 429.
	return strings.Contains(message, "message larger than max")
}

// kindOfStreamError maps an error that came inside a stream.
func kindOfStreamError(a access, e wire.StreamError) error {
	if code := max(e.Code, e.GRPCCode); code == wire.CodeResourceExhausted {
		return platform.ErrRateLimited
	}
	if e.Message == wire.TextLeaseNotFound {
		return platform.ErrLeaseNotFound
	}
	return a.unclear()
}
