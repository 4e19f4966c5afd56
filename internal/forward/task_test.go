package forward

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/policy"
	"chicorytiller.example/chicorytiller/internal/request"
	"chicorytiller.example/chicorytiller/internal/upstream"
)

// paid is what a request of 100 prompt and at most 50 output tokens is charged, in a
// service whose events hold 4 tokens.
func paid(mayHaveRun bool, events, output int) int64 {
	t := &task{
		policy:     policy.New(policy.Definition{Services: []policy.Service{{Name: "s", TokensPerEvent: 4}}}),
		r:          &request.Request{PromptTokens: 100, OutputTokens: 50, Service: "s"},
		mayHaveRun: mayHaveRun,
		events:     events,
	}
	t.countOutput(output)
	return t.used()
}

func TestRequestsAreChargedForWhatTheyUsed(t *testing.T) {
	c := qt.New(t)
	c.Assert(paid(false, 0, 0), qt.Equals, int64(0), qt.Commentf("not run"))
	c.Assert(paid(true, 0, 0), qt.Equals, int64(100), qt.Commentf("the prompt at least"))
	c.Assert(paid(true, 3, 0), qt.Equals, int64(112), qt.Commentf("a stream"))
	c.Assert(paid(true, 13, 0), qt.Equals, int64(150), qt.Commentf("at most what was set aside"))
	c.Assert(paid(true, 0, 20), qt.Equals, int64(120), qt.Commentf("a whole answer"))
	c.Assert(paid(true, 0, upstream.OutputUnknown), qt.Equals, int64(150), qt.Commentf("a server that should have told and didn't"))
}
