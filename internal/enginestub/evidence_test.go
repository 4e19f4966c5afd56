package enginestub

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/native"
)

// Guards against promises that are held only against what a killed engine's successor did.
func TestEvidenceTellsOfEachProcess(t *testing.T) {
	c := qt.New(t)
	var written bytes.Buffer
	for _, request := range []string{"first", "second"} {
		askOnce(c, &written, request)
	}
	found, err := ReadActivityLog(&written)
	c.Assert(err, qt.IsNil)
	c.Assert(found.Runs, qt.DeepEquals, map[string]int{"first": 1, "second": 1})
	c.Assert(found.Processes, qt.HasLen, 2)
	for i, request := range []string{"first", "second"} {
		report := found.Processes[i]
		c.Assert(report.RateLimits, qt.HasLen, 1)
		c.Assert(report.RateLimits[0].Limit, qt.Equals, "1.2")
		c.Assert(report.Arrivals, qt.HasLen, 1)
		c.Assert(report.Arrivals[0].Request, qt.Equals, request)
		c.Assert(report.Arrivals[0].Limit, qt.Equals, "1.2")
		c.Assert(report.Arrivals[0].Answered.Before(report.Arrivals[0].At), qt.IsFalse)
	}
}

// askOnce runs an engine that names a limit for one request.
func askOnce(c *qt.C, written *bytes.Buffer, request string) {
	s := New(Config{ActivityLog: written})
	defer s.Close()
	s.rateLimit.set("1.2")
	r, err := http.NewRequest(http.MethodPost, "http://engine/v1/chat/completions",
		strings.NewReader(`{"model":"m","messages":[{"role":"user","content":"len=3"}]}`))
	c.Assert(err, qt.IsNil)
	r.Header.Set(native.HeaderRequestID, request)
	response, err := s.app.Test(r)
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	c.Assert(response.Header.Get(native.HeaderRateLimit), qt.Equals, "1.2")
}

// Guards against a soak that takes spoiled evidence for none.
func TestSpoiledEvidenceIsAnError(t *testing.T) {
	for _, text := range []string{"not a line\n", `{"kind":"run_began","request":"r"}` + "\n"} {
		_, err := ReadActivityLog(strings.NewReader(text))
		qt.Assert(t, err, qt.ErrorIs, ErrMalformedLog, qt.Commentf("%q", text))
	}
}
