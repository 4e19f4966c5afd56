package dev

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/ctl"
	"chicorytiller.example/chicorytiller/internal/explain"
	"chicorytiller.example/chicorytiller/internal/store"
)

// Guards against a caller's key of this interface that explain, unlike a request, does not find in the policy.
func TestExplainKnowsCallersKeys(t *testing.T) {
	c := qt.New(t)
	f := startFleet(t, nil)
	for key, code := range map[string]int{f.Accounts[0].Key: ctl.ExitSent, "no": ctl.ExitRefused} {
		var out bytes.Buffer
		streams := ctl.Streams{In: strings.NewReader(key + "\n"), Out: &out, Err: &out}
		got := ctl.Run("test", []string{"explain", "--host", "chicorytiller", "--path", "/model/" + string(Model) + "/stream/", "--key-file", "-"}, streams,
			func(string) store.Store { return f.Store })
		c.Check(got, qt.Equals, code, qt.Commentf("%s", out.String()))
		c.Check(strings.Contains(out.String(), f.Accounts[0].Key), qt.IsFalse)
	}
}

// Guards against a request of this interface that is explained as one without a deadline: its contract states it, and
// a request that would be refused as late would be explained as one that is sent.
func TestExplainKnowsDeadlineOfContract(t *testing.T) {
	c := qt.New(t)
	f := startFleet(t, nil)
	var out bytes.Buffer
	streams := ctl.Streams{In: strings.NewReader(f.Accounts[0].Key), Out: &out, Err: &out}
	code := ctl.Run("test", []string{"explain", "--json", "--router", f.Routers[0].Settings().PeerAddr, "--host", "chicorytiller", "--path", "/model/" + string(Model) + "/stream/", "--key-file", "-"}, streams,
		func(string) store.Store { return f.Store })
	c.Assert(code, qt.Equals, ctl.ExitSent, qt.Commentf("%s", out.String()))
	var answers []struct {
		Report explain.Report `json:"report"`
	}
	c.Assert(json.Unmarshal(out.Bytes(), &answers), qt.IsNil)
	left := answers[0].Report.DeadlineMS
	c.Check(left > 25_000 && left <= 30_000, qt.IsTrue, qt.Commentf("%v ms", left))
}
