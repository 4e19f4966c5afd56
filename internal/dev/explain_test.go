package dev

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/ctl"
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
