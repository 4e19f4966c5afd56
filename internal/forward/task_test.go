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
func paid(t task, output int) int64 {
	t.policy = policy.New(policy.Definition{Services: []policy.Service{{Name: "s", TokensPerEvent: 4}}})
	t.r = &request.Request{PromptTokens: 100, OutputTokens: 50, Service: "s"}
	t.countOutput(output)
	return t.used()
}

// Guards against charges for answers of which nothing reached anybody.
func TestRequestsAreChargedForWhatCame(t *testing.T) {
	c := qt.New(t)
	c.Assert(paid(task{}, 0), qt.Equals, int64(0), qt.Commentf("not run"))
	c.Assert(paid(task{mayHaveRun: true}, 0), qt.Equals, int64(0), qt.Commentf("run, and nothing came"))
	c.Assert(paid(task{mayHaveRun: true, begun: true}, 0), qt.Equals, int64(100), qt.Commentf("a stream without events"))
	c.Assert(paid(task{mayHaveRun: true, begun: true, events: 3}, 0), qt.Equals, int64(112), qt.Commentf("a stream"))
	c.Assert(paid(task{mayHaveRun: true, begun: true, events: 13}, 0), qt.Equals, int64(150), qt.Commentf("at most what was set aside"))
	c.Assert(paid(task{mayHaveRun: true, answered: true}, 20), qt.Equals, int64(120), qt.Commentf("a whole answer"))
	c.Assert(paid(task{mayHaveRun: true, answered: true}, upstream.OutputUnknown), qt.Equals, int64(150), qt.Commentf("a server that should have told and didn't"))
}
