package config

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/platform"
	"chicorytiller.example/chicorytiller/internal/platform/memkv"
)

type platformValue = platform.Value

const keyHash = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"

const testContract = `{"account":"register","keys":["` + keyHash + `"],
"budgets":[{"id":"register-1","models":[],"services":[]}],"requests_per_second":10,"burst":5,
"concurrency":3,"priority":2,"models":["listing"],"services":[],"max_tokens":100,"deadline_ms":1000}`

const testModel = `{"name":"listing","bytes_per_token":1,"context_tokens":1000}`

func change(kind Kind, name, body string) Change {
	return Change{Kind: kind, Name: name, IfMatch: AnyRevision, Body: json.RawMessage(body),
		Author: "jana", ChangeID: string(kind) + name}
}

func TestChangesAreCheckedWhole(t *testing.T) {
	store := NewStore(memkv.New(nil), testNow)
	mustApply(t, store, change(KindModel, "listing", testModel))
	mustApply(t, store, change(KindContract, "register", testContract))
	other := strings.Replace(testContract, `"register"`, `"kilimo"`, 1)
	cases := []struct {
		change Change
		want   string
	}{
		{change(KindContract, "kilimo", other), `keys\[0\] must be a key of no other account`},
		{change(KindContract, "kilimo", strings.Replace(other, keyHash, strings.Repeat("a", 64), 1)),
			`budgets\[0\]\.id must be unique over all accounts`},
		{change(KindContract, "kilimo", strings.ReplaceAll(other, "listing", "plans")),
			`models must be configured already, not "plans"`},
		{change(KindContract, "elsewhere", other), `body names "kilimo", the change is about "elsewhere"`},
		{change(KindContract, "register", strings.Replace(testContract, "burst", "bursts", 1)), `unknown field "bursts"`},
		{change(KindContract, "register", testContract+"{}"), `more than one JSON value`},
		{change(KindBackend, "e1", `{"id":"e1","vm":"v1","kind":"service","address":"10.0.0.1:80",
			"failure_domain":"karlin","service":"register-app"}`), `service must be configured already`},
		{Change{Kind: KindModel, Name: "listing", IfMatch: AnyRevision, Delete: true, ChangeID: "d"},
			`still named by \[contract register\]`},
		{change(KindSetting, "a", `{`), `not valid JSON`},
		{change(KindSetting, "a/b", `1`), `name "a/b" must be`},
		{change("vm", "a", `1`), `kind must be one of`},
		{change(KindSetting, "big", `"`+strings.Repeat("x", MaxBodyBytes)+`"`), `at most 131072`},
		{Change{Kind: KindSetting, Name: "a", Body: json.RawMessage(`1`)}, `change id must be`},
		{Change{Kind: KindSetting, Name: "none", IfMatch: AnyRevision, Delete: true, ChangeID: "n"}, `no such object`},
	}
	before := store.State().Revision
	for i, test := range cases {
		if test.change.ChangeID != "" {
			test.change.ChangeID = fmt.Sprintf("case-%d", i)
		}
		result, err := store.Apply(context.Background(), test.change)
		var invalid *Invalid
		qt.Check(t, errors.As(err, &invalid), qt.IsTrue, qt.Commentf("%v", test.want))
		qt.Check(t, err, qt.ErrorMatches, `(?s).*`+test.want+`.*`)
		qt.Check(t, result.Outcome, qt.Equals, NotAccepted)
	}
	qt.Assert(t, store.State().Revision, qt.Equals, before)
}

// A contract gives up a key and a budget; another account may then take them,
// and the indexes follow.
func TestIndexesFollowChanges(t *testing.T) {
	store := NewStore(memkv.New(nil), testNow)
	mustApply(t, store, change(KindModel, "listing", testModel))
	mustApply(t, store, change(KindContract, "register", testContract))
	moved := strings.Replace(testContract, keyHash, strings.Repeat("b", 64), 1)
	moved = strings.Replace(moved, "register-1", "register-2", 1)
	second := change(KindContract, "register", moved)
	second.ChangeID = "second"
	mustApply(t, store, second)
	mustApply(t, store, change(KindContract, "kilimo", strings.Replace(testContract, `"register"`, `"kilimo"`, 1)))

	state := store.State()
	qt.Assert(t, state.ByKey[keyHash].Account, qt.Equals, id.ClientAccount("kilimo"))
	owner, _ := state.Owner("register-1")
	qt.Assert(t, owner, qt.Equals, id.ClientAccount("kilimo"))
	owner, _ = state.Owner("register-2")
	qt.Assert(t, owner, qt.Equals, id.ClientAccount("register"))
	qt.Assert(t, state.Names(KindContract), qt.DeepEquals, []string{"kilimo", "register"})

	gone := Change{Kind: KindContract, Name: "kilimo", IfMatch: 4, Delete: true, ChangeID: "gone"}
	mustApply(t, store, gone)
	_, found := store.State().ByKey[keyHash]
	qt.Assert(t, found, qt.IsFalse)
	_, found = state.ByKey[keyHash]
	qt.Assert(t, found, qt.IsTrue, qt.Commentf("the older state must not change"))
}

func TestConflictNamesTheOtherChange(t *testing.T) {
	store := NewStore(memkv.New(nil), testNow)
	mustApply(t, store, setting("a", 1, 0, "1"))
	other := setting("a", 2, 1, "2")
	other.Author = "amani"
	mustApply(t, store, other)
	_, err := store.Apply(context.Background(), setting("a", 3, 1, "3"))
	qt.Assert(t, err, qt.ErrorMatches,
		`config: setting "a" is at revision 2, not 1: changed by "amani" at 2026-12-02T10:00:00Z \(revision 2\)`)
	_, err = store.Apply(context.Background(), setting("a", 3, 0, "4"))
	qt.Assert(t, err, qt.ErrorMatches, `.*is at revision 2, not 0.*`)
}
