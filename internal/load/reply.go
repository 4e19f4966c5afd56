package load

import (
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fastjson"
)

// Usage is what an answer says that it used, in tokens.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

// Total is the number of tokens to be billed.
func (u Usage) Total() int64 {
	return u.PromptTokens + u.CompletionTokens
}

// reply is what one try got.
type reply struct {
	status    int
	requestID string
	finish    string
	usage     Usage
	hasUsage  bool
	first     time.Time // of the first content
	last      time.Time // of the newest content
	gaps      []time.Duration
}

// mark notes that content arrived.
func (r *reply) mark(now time.Time) {
	if r.first.IsZero() {
		r.first = now
	} else {
		r.gaps = append(r.gaps, now.Sub(r.last))
	}
	r.last = now
}

func (r *reply) takeUsage(value *fastjson.Value) {
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

// checkUsage holds the usage against the answer. Its error wraps ErrDiffers.
func (r *reply) checkUsage(want Expected) error {
	if !r.hasUsage {
		return errors.Wrap(ErrMismatch, "no usage")
	}
	if r.usage.CompletionTokens != int64(want.Tokens) {
		return errors.Wrapf(ErrMismatch, "usage says %d completion tokens instead of %d", r.usage.CompletionTokens, want.Tokens)
	}
	return nil
}

// readJSON reads a completion that was not streamed.
func (r *reply) readJSON(body []byte, check *answerCheck) error {
	value, err := fastjson.ParseBytes(body)
	if err != nil {
		return errors.Wrap(ErrMismatch, "the answer is no JSON")
	}
	if id := value.GetStringBytes("id"); len(id) > 0 {
		r.requestID = string(id)
	}
	r.takeUsage(value)
	if err := check.add(value.GetStringBytes("choices", "0", "message", "content")); err != nil {
		return err
	}
	return check.finish(string(value.GetStringBytes("choices", "0", "finish_reason")))
}

// checkConfirm holds a confirm call's answer against its own id: another call's
// answer would name another one. Its error wraps ErrDiffers.
func checkConfirm(body []byte, id string) error {
	value, err := fastjson.ParseBytes(body)
	if err != nil {
		return errors.Wrap(ErrMismatch, "the answer is no JSON")
	}
	if got := string(value.GetStringBytes("id")); got != id {
		return errors.Wrapf(ErrMismatch, "the answer confirms %q instead of %q", got, id)
	}
	return nil
}

// parseRefusal reads an error answer in the OpenAI shape. retryAfter is the
// header of that name: whole seconds.
func parseRefusal(body []byte, status int, retryAfter string) *Refusal {
	seconds, _ := strconv.Atoi(retryAfter) // a missing or odd header counts as none
	wait := time.Duration(max(seconds, 0)) * time.Second
	value, err := fastjson.ParseBytes(body)
	if err != nil {
		return &Refusal{Status: status, RetryAfter: wait, Message: "the error is no JSON"}
	}
	return refusalOf(value, status, wait)
}

func refusalOf(value *fastjson.Value, status int, retryAfter time.Duration) *Refusal {
	fault := value.Get("error")
	refusal := &Refusal{
		Status:     status,
		Cause:      string(fault.GetStringBytes("cause")),
		Outcome:    string(fault.GetStringBytes("outcome")),
		RequestID:  string(fault.GetStringBytes("request_id")),
		Message:    string(fault.GetStringBytes("message")),
		RetryAfter: retryAfter,
	}
	if milliseconds := fault.GetInt64("retry_after_ms"); milliseconds > 0 {
		refusal.RetryAfter = time.Duration(milliseconds) * time.Millisecond
	}
	return refusal
}
