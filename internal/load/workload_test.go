package load

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestWorkloadIsDeterminedByItsSeed(t *testing.T) {
	c := qt.New(t)
	cfg := WorkloadConfig{
		Seed: 7, RunID: "a", Accounts: 3, Model: "m", PromptBytes: 80, MinOutputTokens: 4, MaxOutputTokens: 9,
		Stream: true, Service: "register", ServiceShare: 0.25, Answer: testAnswer,
	}
	first, err := NewWorkload(cfg)
	c.Assert(err, qt.IsNil)
	second, err := NewWorkload(cfg)
	c.Assert(err, qt.IsNil)
	cfg.Seed = 8
	other, err := NewWorkload(cfg)
	c.Assert(err, qt.IsNil)

	const requests = 1000
	keys, confirmCalls, equalBodies := map[string]bool{}, 0, 0
	for i := requests - 1; i >= 0; i-- {
		request := first.Request(i)
		c.Assert(request, qt.DeepEquals, second.Request(i))
		keys[request.Key] = true
		if request.Kind == KindConfirm {
			confirmCalls++
		}
		if string(request.Body) == string(other.Request(i).Body) && request.Kind == KindCompletion {
			equalBodies++
		}
	}
	c.Assert(keys, qt.HasLen, requests)
	c.Assert(confirmCalls > 200 && confirmCalls < 300, qt.IsTrue, qt.Commentf("%d confirm calls", confirmCalls))
	c.Assert(equalBodies, qt.Equals, 0)
}
