package native

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/forward"
	"chicorytiller.example/chicorytiller/internal/request"
)

// refusalFromError returns the refusal for an error of parseChat.
func refusalFromError(err error) *forward.Refusal {
	parseErr := &parseError{}
	if errors.As(err, &parseErr) {
		return &forward.Refusal{Cause: parseErr.cause, Detail: parseErr.detail}
	}
	return &forward.Refusal{Cause: forward.Malformed, Detail: err.Error()}
}

func writeRefusal(w http.ResponseWriter, status int, refusal forward.Refusal) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(refusalBody(refusal, nil)) // fails only if the caller has disconnected
}

// Values of the field outcome.
const (
	outcomeNotRun  = "not_run" // the request has not run and never will
	outcomeUnknown = "unknown"
)

// refusalBody returns a refusal in the error format of the OpenAI API, extended with a cause
// and whether the request may have run. r may be nil.
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
		RetryAfterMS: refusal.RetryAfterMilliseconds()}
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
