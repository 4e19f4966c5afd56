package gateway

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/core"
)

// Headers of error answers.
const (
	headerRetryAfter = "Retry-After"
	// headerEntry names other routers, comma-separated, when this one is
	// draining or fenced.
	headerEntry = "X-Chicory-Entry"
)

// localKind and localAccount are the keys of request values in fiber's Locals.
const (
	localKind    = "kind"
	localAccount = "account"
)

// requestError is a refusal by the gateway itself, before anything ran.
// Param names the field or header at fault in the way of OpenAI's errors.
type requestError struct {
	refusal core.Refusal
	param   string
}

// Error implements error.
func (e *requestError) Error() string {
	return e.refusal.Error()
}

// Unwrap gives the refusal, so that errors.As finds it.
func (e *requestError) Unwrap() error {
	return &e.refusal
}

// refuse makes an error for a request that did not run.
func refuse(cause core.Cause, param, format string, args ...any) error {
	refusal := core.Refusal{Cause: cause, Outcome: core.OutcomeNotRun, Detail: fmt.Sprintf(format, args...)}
	return &requestError{refusal: refusal, param: param}
}

// errorBody is the "error" member of an error answer.
type errorBody struct {
	Message      string       `json:"message"`
	Type         string       `json:"type"`
	Param        *string      `json:"param"`
	Code         string       `json:"code"`
	Cause        core.Cause   `json:"cause"`
	Outcome      core.Outcome `json:"outcome"`             // of the request, all calls under its key together
	ThisCall     core.Outcome `json:"this_call,omitempty"` // of this call alone, where it is known
	RetryAfterMS int64        `json:"retry_after_ms,omitempty"`
}

// errorAnswer is the whole body of an error answer, in OpenAI's shape.
type errorAnswer struct {
	Error errorBody `json:"error"`
}

// causeClass is how a cause is told to callers.
type causeClass struct {
	status int
	kind   string // OpenAI's error.type
}

// OpenAI's error types.
const (
	typeInvalid    = "invalid_request_error"
	typeAuth       = "authentication_error"
	typePermission = "permission_error"
	typeQuota      = "insufficient_quota"
	typeRate       = "rate_limit_error"
	typeServer     = "server_error"
)

// statusCallerGone is the customary status of a request whose caller hung up.
const statusCallerGone = 499

// causeClasses maps each cause. An exhausted budget is 402 and not 429: OpenAI's
// client libraries repeat a 429 on their own, which can't help before a top-up.
var causeClasses = map[core.Cause]causeClass{
	core.CauseBudget:         {http.StatusPaymentRequired, typeQuota},
	core.CauseBudgetUnknown:  {http.StatusServiceUnavailable, typeServer},
	core.CauseRateLimit:      {http.StatusTooManyRequests, typeRate},
	core.CauseConcurrency:    {http.StatusTooManyRequests, typeRate},
	core.CauseOverload:       {http.StatusServiceUnavailable, typeServer},
	core.CauseDeadline:       {http.StatusGatewayTimeout, typeServer},
	core.CauseDraining:       {http.StatusServiceUnavailable, typeServer},
	core.CauseNoBackend:      {http.StatusServiceUnavailable, typeServer},
	core.CauseBackendFailed:  {http.StatusBadGateway, typeServer},
	core.CauseQuarantined:    {http.StatusUnprocessableEntity, typeInvalid},
	core.CauseNotAllowed:     {http.StatusForbidden, typePermission},
	core.CauseUnknownModel:   {http.StatusNotFound, typeInvalid},
	core.CauseUnknownService: {http.StatusNotFound, typeInvalid},
	core.CauseBadKey:         {http.StatusUnauthorized, typeAuth},
	core.CauseBadRequest:     {http.StatusBadRequest, typeInvalid},
	core.CauseTooLarge:       {http.StatusRequestEntityTooLarge, typeInvalid},
	core.CauseKeyReused:      {http.StatusUnprocessableEntity, typeInvalid},
	core.CauseKeyRequired:    {http.StatusBadRequest, typeInvalid},
	core.CauseInProgress:     {http.StatusConflict, typeInvalid},
	core.CauseFenced:         {http.StatusServiceUnavailable, typeServer},
	core.CauseClaimUnknown:   {http.StatusServiceUnavailable, typeServer},
	core.CauseCallerGone:     {statusCallerGone, typeServer},
	core.CauseInternal:       {http.StatusInternalServerError, typeServer},
}

func classOf(cause core.Cause) causeClass {
	class, found := causeClasses[cause]
	if !found {
		return causeClass{http.StatusInternalServerError, typeServer}
	}
	return class
}

// asRefusal turns any error of a handler into a refusal. An error that is
// neither a refusal nor the HTTP library's is a fault of the program, and then
// nothing is claimed about whether the request ran.
func asRefusal(err error) (refusal *core.Refusal, param string) {
	var own *requestError
	if errors.As(err, &own) {
		return &own.refusal, own.param
	}
	var refused *core.Refusal
	if errors.As(err, &refused) {
		return refused, ""
	}
	var library *fiber.Error
	if errors.As(err, &library) {
		return libraryRefusal(library), ""
	}
	return &core.Refusal{Cause: core.CauseInternal, Outcome: core.OutcomeUnknown, Detail: "internal error"}, ""
}

// libraryRefusal turns an error of the HTTP library: it comes up before a
// handler runs (oversize body, broken HTTP, no such path), so nothing ran. Its
// text isn't passed on: it may quote the request's headers, and with them the key.
func libraryRefusal(err *fiber.Error) *core.Refusal {
	cause := core.CauseBadRequest
	if err.Code == http.StatusRequestEntityTooLarge {
		cause = core.CauseTooLarge
	}
	return &core.Refusal{Cause: cause, Outcome: core.OutcomeNotRun, Detail: http.StatusText(err.Code)}
}

// statusOf is the HTTP status of an error. The HTTP library's own errors keep
// theirs (404, 405, 408, 431), which say more than the cause does.
func statusOf(err error, refusal *core.Refusal) int {
	var library *fiber.Error
	if errors.As(err, &library) {
		return library.Code
	}
	return classOf(refusal.Cause).status
}

func newErrorAnswer(refusal *core.Refusal, param string) errorAnswer {
	body := errorBody{
		Message:      refusal.Detail,
		Type:         classOf(refusal.Cause).kind,
		Code:         string(refusal.Cause),
		Cause:        refusal.Cause,
		Outcome:      refusal.Outcome,
		ThisCall:     refusal.ThisCall,
		RetryAfterMS: refusal.RetryAfter.Milliseconds(),
	}
	if body.Message == "" {
		body.Message = string(refusal.Cause)
	}
	if param != "" {
		body.Param = &param
	}
	return errorAnswer{Error: body}
}

// writeError is the error handler of all paths.
func (s *Server) writeError(c *fiber.Ctx, err error) error {
	if errors.Is(err, fiber.ErrRequestEntityTooLarge) && kindIn(c) == kindOther {
		markUnread(c) // refused by the HTTP library, before it had the body
		if _, unknown := authenticate(c, s.gate.Snapshot()); unknown != nil {
			err = unknown // see boundBody
		}
	}
	refusal, param := asRefusal(err)
	s.metrics.refused(kindIn(c), refusal)
	if refusal.RetryAfter > 0 {
		c.Set(headerRetryAfter, retryAfterSeconds(refusal.RetryAfter))
	}
	if refusal.Cause == core.CauseDraining || refusal.Cause == core.CauseFenced {
		s.nameOtherRouters(c)
	}
	c.Status(statusOf(err, refusal))
	return c.JSON(newErrorAnswer(refusal, param))
}

// retryAfterSeconds rounds up, so that a caller that obeys never comes too early.
func retryAfterSeconds(wait time.Duration) string {
	return strconv.FormatInt(int64(math.Ceil(wait.Seconds())), 10)
}

// nameOtherRouters tells a caller that still has this router's address where
// to go, since callers keep the answer of /v1/entry for a while.
func (s *Server) nameOtherRouters(c *fiber.Ctx) {
	snapshot := s.gate.Snapshot()
	addresses := otherAddresses(snapshot, accountIn(c))
	if len(addresses) > 0 {
		c.Set(headerEntry, strings.Join(addresses, ","))
	}
}

func markUnread(c *fiber.Ctx) {
	if conn, ok := c.Context().Conn().(*callerConn); ok {
		conn.unread = true
	}
}

func kindIn(c *fiber.Ctx) requestKind {
	kind, found := c.Locals(localKind).(requestKind)
	if !found {
		return kindOther
	}
	return kind
}

// errorEvent is an error as a server-sent event, for a stream that has begun.
func errorEvent(refusal *core.Refusal) []byte {
	body, err := json.Marshal(newErrorAnswer(refusal, ""))
	if err != nil {
		body = []byte(`{"error":{"message":"internal error"}}`)
	}
	return appendEvent(nil, body)
}
