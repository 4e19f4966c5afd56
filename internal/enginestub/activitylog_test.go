package enginestub

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/native"
)

// Guards against a check that sees only the activity since the last restart of a killed engine.
func TestActivityLogOfTwoProcesses(t *testing.T) {
	c := qt.New(t)
	var activityLog bytes.Buffer
	for _, requestID := range []string{"first", "second"} {
		runOneRequest(c, &activityLog, requestID)
	}
	activity, err := ReadActivityLog(&activityLog)
	c.Assert(err, qt.IsNil)
	c.Assert(activity.Runs, qt.DeepEquals, map[string]int{"first": 1, "second": 1})
	c.Assert(activity.Processes, qt.HasLen, 2)
	for i, requestID := range []string{"first", "second"} {
		process := activity.Processes[i]
		c.Assert(process.RateLimits, qt.HasLen, 1)
		c.Assert(process.RateLimits[0].Limit, qt.Equals, "1.2")
		c.Assert(process.Arrivals, qt.HasLen, 1)
		c.Assert(process.Arrivals[0].Request, qt.Equals, requestID)
		c.Assert(process.Arrivals[0].Limit, qt.Equals, "1.2")
		c.Assert(process.Arrivals[0].Answered.Before(process.Arrivals[0].At), qt.IsFalse)
	}
}

// runOneRequest sends a request to a new engine that advertises a rate limit, and closes it.
func runOneRequest(c *qt.C, activityLog *bytes.Buffer, requestID string) {
	server := New(Config{ActivityLog: activityLog})
	defer server.Close()
	server.rateLimit.set("1.2")
	req, err := http.NewRequest(http.MethodPost, "http://engine/v1/chat/completions",
		strings.NewReader(`{"model":"m","messages":[{"role":"user","content":"len=3"}]}`))
	c.Assert(err, qt.IsNil)
	req.Header.Set(native.HeaderRequestID, requestID)
	response, err := server.app.Test(req)
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	c.Assert(response.Header.Get(native.HeaderRateLimit), qt.Equals, "1.2")
}

// Guards against a soak test that treats a malformed activity log as an empty one.
func TestReadMalformedActivityLog(t *testing.T) {
	for _, text := range []string{"not a line\n", `{"kind":"run_began","request":"r"}` + "\n"} {
		_, err := ReadActivityLog(strings.NewReader(text))
		qt.Assert(t, err, qt.ErrorIs, ErrMalformedLog, qt.Commentf("%q", text))
	}
}
