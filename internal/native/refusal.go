package native

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/forward"
	"chicorytiller.example/chicorytiller/internal/request"
)

// refusalOf tells a caller why its body isn't accepted.
func refusalOf(err error) *forward.Refusal {
	fault := &parseError{}
	if errors.As(err, &fault) {
		return &forward.Refusal{Cause: fault.cause, Detail: fault.detail}
	}
	return &forward.Refusal{Cause: forward.Malformed, Detail: err.Error()}
}

func writeRefusal(w http.ResponseWriter, status int, refusal forward.Refusal) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(refusalBody(refusal, nil)) // as above
}

// Outcomes that a refusal tells.
const (
	outcomeNotRun  = "not_run" // it has not run and never will
	outcomeUnknown = "unknown"
)

// refusalBody is a refusal in OpenAI's shape, with a typed cause and what is known of
// the request.
func refusalBody(refusal forward.Refusal, r *request.Request) []byte {
	body := struct {
		Message      string        `json:"message"`
		Type         string        `json:"type"`
		Code         forward.Cause `json:"code"`
		Cause        forward.Cause `json:"cause"`
		Outcome      string        `json:"outcome"`
		Request      string        `json:"request_id,omitempty"`
		RetryAfterMS int64         `json:"retry_after_ms,omitempty"`
	}{Message: refusal.Detail, Type: "router_error", Code: refusal.Cause, Cause: refusal.Cause, Outcome: outcomeUnknown,
		RetryAfterMS: refusal.RetryAfter.Milliseconds()}
	if body.Message == "" {
		body.Message = string(refusal.Cause)
	}
	if refusal.Cause.NotRun() {
		body.Outcome = outcomeNotRun
	}
	if r != nil {
		body.Request = r.ID
	}
	data, err := json.Marshal(struct {
		Error any `json:"error"`
	}{body})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return data
}
