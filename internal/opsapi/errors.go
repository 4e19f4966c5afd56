package opsapi

import (
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/config"
	"chicorytiller.example/chicorytiller/internal/contract"
	"chicorytiller.example/chicorytiller/internal/id"
)

// Code is a stable name of an error, for programs.
type Code string

// Codes of errors.
const (
	CodeUnauthorized     Code = "unauthorized"
	CodeNotFound         Code = "not_found"
	CodeConflict         Code = "conflict"
	CodeInvalid          Code = "invalid"
	CodePrecondition     Code = "precondition_required"
	CodeChangeIDReused   Code = "change_id_reused"
	CodeTopUpReused      Code = "top_up_reused"
	CodeNotDone          Code = "not_done"      // no effect, try again
	CodeNotYetKnown      Code = "not_yet_known" // try again under the same id to find out
	CodeMethodNotAllowed Code = "method_not_allowed"
	CodeTooLarge         Code = "too_large"
	CodeInternal         Code = "internal"
)

// ErrorBody is the JSON of an answer that is not a success.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says what went wrong.
type ErrorDetail struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// CurrentRevision and Other are set with CodeConflict. Revision zero: the
	// object does not exist.
	CurrentRevision *id.Revision `json:"current_revision,omitempty"`
	Other           *OtherChange `json:"other,omitempty"`
	// Faults is set with CodeInvalid when fields are wrong.
	Faults []contract.Fault `json:"faults,omitempty"`
	// ChangeID names the change whose outcome is not yet known.
	ChangeID string `json:"change_id,omitempty"`
}

// OtherChange is the change that came between.
type OtherChange struct {
	Author   string      `json:"author"`
	Revision id.Revision `json:"revision"`
	At       time.Time   `json:"at"`
	Deleted  bool        `json:"deleted"`
}

// Error lets a client return the detail as an error.
func (d *ErrorDetail) Error() string {
	return "opsapi: " + string(d.Code) + ": " + d.Message
}

// requestError is an error of this layer itself.
type requestError struct {
	status int
	detail ErrorDetail
}

func (e *requestError) Error() string { return e.detail.Error() }

func fail(status int, code Code, message string) error {
	return &requestError{status: status, detail: ErrorDetail{Code: code, Message: message}}
}

// answerError is the fiber error handler.
func answerError(c *fiber.Ctx, err error) error {
	status, detail := describe(err)
	if status == fiber.StatusServiceUnavailable || status == fiber.StatusAccepted {
		c.Set(fiber.HeaderRetryAfter, "1")
	}
	return c.Status(status).JSON(ErrorBody{Error: detail})
}

// describe turns an error of the layers below into a status and a body.
func describe(err error) (int, ErrorDetail) {
	var request *requestError
	if errors.As(err, &request) {
		return request.status, request.detail
	}
	detail := ErrorDetail{Message: err.Error()}
	status := describeConfig(err, &detail)
	if status == 0 {
		status = describeFleet(err, &detail)
	}
	return status, detail
}

func describeConfig(err error, detail *ErrorDetail) int {
	var (
		unknown  *config.NotYetKnownError
		conflict *config.Conflict
		invalid  *config.Invalid
		reused   *config.ChangeIDReused
		refused  *config.NotAcceptedError
	)
	switch {
	case errors.As(err, &unknown): // first: it may wrap a conflict
		detail.Code, detail.ChangeID = CodeNotYetKnown, unknown.ChangeID
		return fiber.StatusGatewayTimeout
	case errors.Is(err, config.ErrNotFound):
		detail.Code = CodeNotFound
		return fiber.StatusNotFound
	case errors.As(err, &conflict):
		detail.Code, detail.CurrentRevision = CodeConflict, &conflict.Current
		detail.Other = otherChange(conflict)
		return fiber.StatusPreconditionFailed
	case errors.As(err, &invalid):
		detail.Code, detail.Faults = CodeInvalid, faultsOf(err)
		return fiber.StatusUnprocessableEntity
	case errors.As(err, &reused):
		detail.Code, detail.ChangeID = CodeChangeIDReused, reused.ChangeID
		return fiber.StatusConflict
	case errors.As(err, &refused):
		detail.Code, detail.ChangeID = CodeNotDone, refused.ChangeID
		return fiber.StatusServiceUnavailable
	}
	return 0
}

func otherChange(conflict *config.Conflict) *OtherChange {
	if conflict.Other == nil {
		return nil
	}
	return &OtherChange{Author: conflict.Other.Author, Revision: conflict.Other.Revision,
		At: conflict.Other.At, Deleted: conflict.OtherDeleted}
}

func faultsOf(err error) []contract.Fault {
	var validation *contract.ValidationError
	if errors.As(err, &validation) {
		return validation.Faults
	}
	return nil
}

func describeFleet(err error, detail *ErrorDetail) int {
	var fiberError *fiber.Error
	switch {
	case errors.Is(err, ErrUnknownBudget):
		detail.Code = CodeNotFound
		return fiber.StatusNotFound
	case errors.Is(err, ErrTopUpReused):
		detail.Code = CodeTopUpReused
		return fiber.StatusConflict
	case errors.Is(err, ErrNotDone):
		detail.Code = CodeNotDone
		return fiber.StatusServiceUnavailable
	case errors.Is(err, ErrNotYetKnown):
		detail.Code = CodeNotYetKnown
		return fiber.StatusGatewayTimeout
	case errors.As(err, &fiberError):
		detail.Code = codeOfStatus(fiberError.Code)
		return fiberError.Code
	}
	detail.Code = CodeInternal
	return fiber.StatusInternalServerError
}

func codeOfStatus(status int) Code {
	switch status {
	case fiber.StatusNotFound:
		return CodeNotFound
	case fiber.StatusMethodNotAllowed:
		return CodeMethodNotAllowed
	case fiber.StatusRequestEntityTooLarge:
		return CodeTooLarge
	}
	return CodeInvalid
}
