package load

import (
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fastjson"
)

// Usage is the token usage that an answer reports.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

// Total returns the number of billed tokens.
func (u Usage) Total() int64 {
	return u.PromptTokens + u.CompletionTokens
}

// tryResult holds what one try received.
type tryResult struct {
	status          int
	requestID       string
	finishReason    string
	usage           Usage
	hasUsage        bool
	firstContent    time.Time // arrival of the first content
	lastContent     time.Time // arrival of the latest content
	interTokenTimes []time.Duration
}

// recordContent updates the timings with the arrival of content.
func (r *tryResult) recordContent(now time.Time) {
	if r.firstContent.IsZero() {
		r.firstContent = now
	} else {
		r.interTokenTimes = append(r.interTokenTimes, now.Sub(r.lastContent))
	}
	r.lastContent = now
}

func (r *tryResult) parseUsage(value *fastjson.Value) {
	usage := value.Get("usage")
	if usage == nil || usage.Type() != fastjson.TypeObject {
		return
	}
	r.hasUsage = true
	r.usage = Usage{
		PromptTokens:     usage.GetInt64("prompt_tokens"),
		CompletionTokens: usage.GetInt64("completion_tokens"),
	}
}

// checkUsage compares the reported usage with the expected one. Its error wraps
// ErrMismatch.
func (r *tryResult) checkUsage(want Expected) error {
	if !r.hasUsage {
		return errors.Wrap(ErrMismatch, "no usage")
	}
	if r.usage.CompletionTokens != int64(want.Tokens) {
		return errors.Wrapf(ErrMismatch, "usage says %d completion tokens instead of %d", r.usage.CompletionTokens, want.Tokens)
	}
	return nil
}

// readJSON parses and checks a completion that was not streamed.
func (r *tryResult) readJSON(body []byte, checker *answerChecker) error {
	value, err := fastjson.ParseBytes(body)
	if err != nil {
		return errors.Wrap(ErrMismatch, "the answer is not JSON")
	}
	if id := value.GetStringBytes("id"); len(id) > 0 {
		r.requestID = string(id)
	}
	r.parseUsage(value)
	if err := checker.add(value.GetStringBytes("choices", "0", "message", "content")); err != nil {
		return err
	}
	return checker.finish(string(value.GetStringBytes("choices", "0", "finish_reason")))
}

// checkConfirm checks that the answer to a confirm call has the id of that call. Its
// error wraps ErrMismatch.
func checkConfirm(body []byte, id string) error {
	value, err := fastjson.ParseBytes(body)
	if err != nil {
		return errors.Wrap(ErrMismatch, "the answer is not JSON")
	}
	if got := string(value.GetStringBytes("id")); got != id {
		return errors.Wrapf(ErrMismatch, "the answer confirms %q instead of %q", got, id)
	}
	return nil
}

// parseRefusal parses an error response in the OpenAI format. retryAfter is the value of
// the Retry-After header in seconds.
func parseRefusal(body []byte, status int, retryAfter string) *Refusal {
	seconds, _ := strconv.Atoi(retryAfter) // a missing or invalid header counts as 0
	delay := time.Duration(max(seconds, 0)) * time.Second
	value, err := fastjson.ParseBytes(body)
	if err != nil {
		return &Refusal{Status: status, RetryAfter: delay, Message: "the error response is not JSON"}
	}
	return newRefusal(value, status, delay)
}

func newRefusal(value *fastjson.Value, status int, retryAfter time.Duration) *Refusal {
	errorValue := value.Get("error")
	refusal := &Refusal{
		Status:     status,
		Cause:      string(errorValue.GetStringBytes("cause")),
		Outcome:    string(errorValue.GetStringBytes("outcome")),
		RequestID:  string(errorValue.GetStringBytes("request_id")),
		Message:    string(errorValue.GetStringBytes("message")),
		RetryAfter: retryAfter,
	}
	if milliseconds := errorValue.GetInt64("retry_after_ms"); milliseconds > 0 {
		refusal.RetryAfter = time.Duration(milliseconds) * time.Millisecond
	}
	return refusal
}
