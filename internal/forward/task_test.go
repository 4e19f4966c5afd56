package forward

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/policy"
	"chicorytiller.example/chicorytiller/internal/request"
	"chicorytiller.example/chicorytiller/internal/upstream"
)

// charge returns the tokens charged for a request of 100 prompt and at most 50 output tokens, in
// a service whose events hold 4 tokens.
func charge(t task, output int) int64 {
	t.policy = policy.New(policy.Definition{Services: []policy.Service{{Name: "s", TokensPerEvent: 4}}})
	t.r = &request.Request{PromptTokens: 100, MaxOutputTokens: 50, Service: "s"}
	t.setOutput(output)
	return t.used()
}

// Guards against charging for answers of which nothing was relayed to the caller.
func TestOnlyDeliveredAnswersAreCharged(t *testing.T) {
	c := qt.New(t)
	c.Assert(charge(task{}, 0), qt.Equals, int64(0), qt.Commentf("not run"))
	c.Assert(charge(task{mayHaveRun: true}, 0), qt.Equals, int64(0), qt.Commentf("run, but nothing relayed"))
	c.Assert(charge(task{mayHaveRun: true, headSent: true}, 0), qt.Equals, int64(100), qt.Commentf("a stream without events"))
	c.Assert(charge(task{mayHaveRun: true, headSent: true, events: 3}, 0), qt.Equals, int64(112), qt.Commentf("a stream"))
	c.Assert(charge(task{mayHaveRun: true, headSent: true, events: 13}, 0), qt.Equals, int64(150), qt.Commentf("at most the reserved tokens"))
	c.Assert(charge(task{mayHaveRun: true, succeeded: true}, 20), qt.Equals, int64(120), qt.Commentf("a whole answer"))
	c.Assert(charge(task{mayHaveRun: true, succeeded: true}, upstream.OutputUnknown), qt.Equals, int64(150), qt.Commentf("the server did not report its output"))
}
