package callers

import (
	"net/http/httptest"
	"os"
	"regexp"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/forward"
	"chicorytiller.example/chicorytiller/internal/request"
)

// A cause without a status code would break the caller's connection instead of refusing the request.
func TestEveryCauseHasStatusCode(t *testing.T) {
	source, err := os.ReadFile("../forward/refusal.go")
	qt.Assert(t, err, qt.IsNil)
	causes := regexp.MustCompile(`Cause = "([a-z_]+)"`).FindAllSubmatch(source, -1)
	qt.Assert(t, len(causes) > 20, qt.IsTrue, qt.Commentf("%d causes found", len(causes)))
	for _, cause := range causes {
		qt.Check(t, StatusCode(forward.Cause(cause[1])) >= 400, qt.IsTrue, qt.Commentf("%s", cause[1]))
	}
}

// Guards against callers that return before the time at which there is capacity for them, since a fraction of a
// millisecond was cut off.
func TestRetryAfterIsRoundedUp(t *testing.T) {
	for after, header := range map[time.Duration]string{
		250 * time.Millisecond: "0.25", 250*time.Millisecond + 1: "0.251", 1999999 * time.Microsecond: "2", 1: "0.001", 0: "",
	} {
		recorder := httptest.NewRecorder()
		body := int64(0)
		protocol := Protocol{RefusalBody: func(refusal forward.Refusal, _ *request.Request) []byte {
			body = refusal.RetryAfterMilliseconds()
			return nil
		}}
		(&httpCaller{w: recorder, protocol: protocol}).Refuse(forward.Refusal{Cause: forward.BackendsBusy, RetryAfter: after})
		qt.Check(t, recorder.Header().Get("Retry-After"), qt.Equals, header)
		qt.Check(t, time.Duration(body)*time.Millisecond >= after, qt.IsTrue)
	}
}
