package callers

import (
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/forward"
	"chicorytiller.example/chicorytiller/internal/request"
)

// caller writes one answer; it implements forward.Caller.
type caller struct {
	w       http.ResponseWriter
	dialect Protocol
	request *request.Request
	head    bool
	// aborted: the answer must not look complete.
	aborted bool
}

var _ forward.Caller = (*caller)(nil)

// statuses are the statuses of the router's own answers. Those of 429 and 503
// promise that the request has not run and never will.
var statuses = map[forward.Cause]int{
	forward.NotReady:           http.StatusServiceUnavailable,
	forward.Malformed:          http.StatusBadRequest,
	forward.UnknownRoute:       http.StatusNotFound,
	forward.UnknownKey:         http.StatusUnauthorized,
	forward.NotInContract:      http.StatusForbidden,
	forward.BodyTooLarge:       http.StatusRequestEntityTooLarge,
	forward.OverLimit:          http.StatusTooManyRequests,
	forward.KeyRequired:        http.StatusBadRequest,
	forward.KeyReused:          http.StatusUnprocessableEntity,
	forward.KeyInUse:           http.StatusConflict,
	forward.KeyUnclaimed:       http.StatusServiceUnavailable,
	forward.BudgetExhausted:    http.StatusPaymentRequired,
	forward.BudgetHeld:         http.StatusTooManyRequests,
	forward.BudgetInDoubt:      http.StatusTooManyRequests,
	forward.BudgetUnreachable:  http.StatusServiceUnavailable,
	forward.NoBackend:          http.StatusServiceUnavailable,
	forward.BackendsEvacuated:  http.StatusServiceUnavailable,
	forward.BackendsCold:       http.StatusServiceUnavailable,
	forward.BackendsLimited:    http.StatusServiceUnavailable,
	forward.BackendRejected:    http.StatusServiceUnavailable,
	forward.RouterStopping:     http.StatusServiceUnavailable,
	forward.RequestQuarantined: http.StatusBadGateway,
	forward.OverdueUnsent:      http.StatusServiceUnavailable,
	forward.TimedOut:           http.StatusGatewayTimeout,
	forward.BackendFailed:      http.StatusBadGateway,
}

// StatusCode is the status of the router's own answer for a cause.
func StatusCode(cause forward.Cause) int {
	return statuses[cause]
}

// Refuse implements forward.Caller.
func (c *caller) Refuse(refusal forward.Refusal) {
	header := c.w.Header()
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', -1, 64))
	}
	if refusal.Cause == forward.RouterStopping {
		header.Set("Connection", "close")
	}
	header.Set("Content-Type", "application/json")
	body := c.dialect.RefusalBody(refusal, c.request)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(statuses[refusal.Cause])
	_, _ = c.w.Write(body) // a caller that has left needs no refusal
}

// Answer implements forward.Caller.
func (c *caller) Answer(status int, header http.Header, body []byte) error {
	c.copyHeaders(header)
	if !c.head {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	c.w.WriteHeader(status)
	_, err := c.w.Write(body)
	if errors.Is(err, http.ErrBodyNotAllowed) {
		return nil
	}
	return err
}

// Begin implements forward.Caller.
func (c *caller) Begin(status int, header http.Header, length int64) {
	c.copyHeaders(header)
	if length >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.w.WriteHeader(status)
}

// Write implements forward.Caller.
func (c *caller) Write(part []byte) error {
	if _, err := c.w.Write(part); err != nil {
		return err
	}
	return http.NewResponseController(c.w).Flush()
}

// Abort implements forward.Caller.
func (c *caller) Abort() {
	c.aborted = true
}

// finish ends the answer. An aborted one ends with its connection, before its
// stated length or last chunk, so that no caller takes it for whole.
func (c *caller) finish() {
	if c.aborted {
		panic(http.ErrAbortHandler)
	}
}

func (c *caller) copyHeaders(header http.Header) {
	own := c.w.Header()
	for name, values := range header {
		if !oneConnection[name] && !c.dialect.StrippedHeaders[name] {
			own[name] = values
		}
	}
	if _, found := header["Content-Type"]; !found {
		own["Content-Type"] = nil // the library would guess one from the body
	}
}
