package ctl

import (
	"fmt"
	"regexp"
	"testing"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/rollout"
)

func TestVersionsAreListedWithTheirServers(t *testing.T) {
	o := newOperator(t)
	for i, version := range []string{"v1", "v2", "v2"} {
		server := fmt.Sprintf(`{"id": "e%d", "kind": "engine", "address": "10.0.0.%d:1", "failure_domain": "d", "models": ["m"], "version": %q}`, i, i+1, version)
		code, out := o.run(server, "backend", "put", "-")
		o.Assert(code, qt.Equals, ExitOK, qt.Commentf(out))
	}
	code, out := o.run("", "backend", "drain", "e2")
	o.Assert(code, qt.Equals, ExitOK, qt.Commentf(out))
	service := regexp.MustCompile(`(?m)^e0 +(\S+ \S+|\S+) +10`).FindStringSubmatch(o.output("backend", "list"))[1]
	record := rollout.Record{Service: service, Versions: []string{"v1"}, Changes: 1}
	o.store.Put(record.Key(), record.Encode())
	listed := o.output("backend", "versions")
	o.Check(listed, qt.Matches, `(?s).*v1 +1 +0 +true\n.*`)
	o.Check(listed, qt.Matches, `(?s).*v2 +1 +1 +false\n.*`)
}

// output runs a command that succeeds and returns what it prints.
func (o *operator) output(args ...string) string {
	code, out := o.run("", args...)
	o.Assert(code, qt.Equals, ExitOK, qt.Commentf(out))
	return out
}
