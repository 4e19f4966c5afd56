package enginestub

import (
	"github.com/gofiber/fiber/v2"
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/native"
)

// errorBody is the OpenAI form of an error answer.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    int    `json:"code"`
}

// answerError turns this package's errors into answers. 503 and 429 promise
// that nothing ran.
func answerError(c *fiber.Ctx, err error) error {
	status := statusOf(err)
	if status == fiber.StatusServiceUnavailable || status == fiber.StatusTooManyRequests || status == fiber.StatusMisdirectedRequest {
		c.Set(native.HeaderNotExecuted, "1")
	}
	detail := errorDetail{Message: err.Error(), Type: "engine_error", Code: status}
	return c.Status(status).JSON(errorBody{Error: detail})
}

func statusOf(err error) int {
	var known *fiber.Error
	switch {
	case errors.Is(err, ErrUnavailable), errors.Is(err, ErrModelNotLoaded):
		return fiber.StatusServiceUnavailable
	case errors.Is(err, ErrQueueFull):
		return fiber.StatusTooManyRequests
	case errors.Is(err, ErrMisdirected):
		return fiber.StatusMisdirectedRequest
	case errors.Is(err, ErrDuplicateAttempt):
		return fiber.StatusConflict
	case errors.Is(err, ErrBadRequest):
		return fiber.StatusBadRequest
	case errors.As(err, &known):
		return known.Code
	default:
		return fiber.StatusInternalServerError
	}
}
