package enginestub

import (
	"github.com/gofiber/fiber/v2"
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/native"
)

// errorBody is an error response in the format of the OpenAI API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    int    `json:"code"`
}

// handleError is the fiber.ErrorHandler of this package. The statuses 503, 429 and 421 carry a
// header which states that the request was not executed.
func handleError(c *fiber.Ctx, err error) error {
	code := statusCode(err)
	if code == fiber.StatusServiceUnavailable || code == fiber.StatusTooManyRequests || code == fiber.StatusMisdirectedRequest {
		c.Set(native.HeaderNotExecuted, "1")
	}
	detail := errorDetail{Message: err.Error(), Type: "engine_error", Code: code}
	return c.Status(code).JSON(errorBody{Error: detail})
}

func statusCode(err error) int {
	var fiberErr *fiber.Error
	switch {
	case errors.Is(err, ErrUnavailable), errors.Is(err, ErrModelNotLoaded):
		return fiber.StatusServiceUnavailable
	case errors.Is(err, ErrQueueFull), errors.Is(err, ErrTooLarge):
		return fiber.StatusTooManyRequests
	case errors.Is(err, ErrMisdirected):
		return fiber.StatusMisdirectedRequest
	case errors.Is(err, ErrDuplicateAttempt):
		return fiber.StatusConflict
	case errors.Is(err, ErrBadRequest):
		return fiber.StatusBadRequest
	case errors.As(err, &fiberErr):
		return fiberErr.Code
	default:
		return fiber.StatusInternalServerError
	}
}
