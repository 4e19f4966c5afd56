package callers

import (
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/callerconn"
	"chicorytiller.example/chicorytiller/internal/forward"
	"chicorytiller.example/chicorytiller/internal/request"
)

// httpCaller writes the answer of one request; it implements forward.Caller.
type httpCaller struct {
	w        http.ResponseWriter
	protocol Protocol
	request  *request.Request
	isHead   bool
	// aborted means that the answer must not look complete.
	aborted bool
}

var _ forward.Caller = (*httpCaller)(nil)

// statusCodes are the HTTP status codes of refusals. Codes 429 and 503 guarantee that the
// request has not run and never will.
var statusCodes = map[forward.Cause]int{
	forward.NotReady:             http.StatusServiceUnavailable,
	forward.Malformed:            http.StatusBadRequest,
	forward.UnknownRoute:         http.StatusNotFound,
	forward.UnknownKey:           http.StatusUnauthorized,
	forward.NotInContract:        http.StatusForbidden,
	forward.BodyTooLarge:         http.StatusRequestEntityTooLarge,
	forward.OverLimit:            http.StatusTooManyRequests,
	forward.KeyRequired:          http.StatusBadRequest,
	forward.KeyReused:            http.StatusUnprocessableEntity,
	forward.KeyInUse:             http.StatusConflict,
	forward.KeyUnclaimed:         http.StatusServiceUnavailable,
	forward.BudgetExhausted:      http.StatusPaymentRequired,
	forward.BudgetHeld:           http.StatusTooManyRequests,
	forward.BudgetInDoubt:        http.StatusTooManyRequests,
	forward.BudgetLow:            http.StatusTooManyRequests,
	forward.BudgetUnreachable:    http.StatusServiceUnavailable,
	forward.NoBackend:            http.StatusServiceUnavailable,
	forward.BackendsEvacuated:    http.StatusServiceUnavailable,
	forward.BackendsCold:         http.StatusServiceUnavailable,
	forward.BackendsLimited:      http.StatusServiceUnavailable,
	forward.BackendsUnavailable:  http.StatusServiceUnavailable,
	forward.BackendsBusy:         http.StatusServiceUnavailable,
	forward.BackendsOutdated:     http.StatusServiceUnavailable,
	forward.StreamVersionUnknown: http.StatusServiceUnavailable,
	forward.StreamVersionGone:    http.StatusServiceUnavailable,
	forward.VersionNotAdmitted:   http.StatusServiceUnavailable,
	forward.BackendRejected:      http.StatusServiceUnavailable,
	forward.RouterStopping:       http.StatusServiceUnavailable,
	forward.RequestQuarantined:   http.StatusBadGateway,
	forward.RouterFull:           http.StatusServiceUnavailable,
	forward.OverdueUnsent:        http.StatusServiceUnavailable,
	forward.TimedOut:             http.StatusGatewayTimeout,
	forward.BackendFailed:        http.StatusBadGateway,
}

// StatusCode returns the HTTP status code of refusals with this cause.
func StatusCode(cause forward.Cause) int {
	return statusCodes[cause]
}

// Refuse implements forward.Caller.
func (c *httpCaller) Refuse(refusal forward.Refusal) {
	header := c.w.Header()
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(float64(refusal.RetryAfterMilliseconds())/1000, 'f', -1, 64))
	}
	if refusal.Cause == forward.RouterStopping {
		header.Set("Connection", "close")
	}
	header.Set("Content-Type", "application/json")
	body := c.protocol.RefusalBody(refusal, c.request)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	c.w.WriteHeader(statusCodes[refusal.Cause])
	_, _ = c.w.Write(body) // fails only if the caller has disconnected
}

// Answer implements forward.Caller.
func (c *httpCaller) Answer(status int, header http.Header, body []byte) error {
	c.copyHeaders(header)
	if !c.isHead {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	c.w.WriteHeader(status)
	_, err := c.w.Write(body)
	if errors.Is(err, http.ErrBodyNotAllowed) {
		return nil
	}
	return writeError(err)
}

// writeError returns the error to report for one of a write to the caller's connection.
func writeError(err error) error {
	if errors.Is(err, callerconn.ErrStalled) {
		return forward.ErrCallerStalled
	}
	return err
}

// Begin implements forward.Caller.
func (c *httpCaller) Begin(status int, header http.Header, length int64) {
	c.copyHeaders(header)
	if length >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.w.WriteHeader(status)
}

// Write implements forward.Caller.
func (c *httpCaller) Write(part []byte) error {
	if _, err := c.w.Write(part); err != nil {
		return writeError(err)
	}
	return writeError(http.NewResponseController(c.w).Flush())
}

// Abort implements forward.Caller.
func (c *httpCaller) Abort() {
	c.aborted = true
}

// endConnection lets finish close the connection at once after an answer.
func (c *httpCaller) endConnection() {
	_ = http.NewResponseController(c.w).Flush() // fails only if the caller has disconnected
	c.aborted = true
}

// finish ends the answer. If it was aborted, the connection is closed before the declared
// content length or the last chunk is sent, so that callers notice that it is incomplete.
func (c *httpCaller) finish() {
	if c.aborted {
		panic(http.ErrAbortHandler)
	}
}

func (c *httpCaller) copyHeaders(header http.Header) {
	dst := c.w.Header()
	for name, values := range header {
		if !hopByHopHeaders[name] && !c.protocol.StrippedHeaders[name] {
			dst[name] = values
		}
	}
	if _, found := header["Content-Type"]; !found {
		dst["Content-Type"] = nil // otherwise net/http sets one that it detects from the body
	}
}
