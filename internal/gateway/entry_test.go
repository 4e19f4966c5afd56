package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/backend"
	"chicorytiller.example/chicorytiller/internal/core"
	"chicorytiller.example/chicorytiller/internal/id"
)

func router(vm id.VM) id.Router { return id.Router{VM: vm, Incarnation: 1} }

// endless is a long answer, well past what the connection's buffers take.
func endless() []step {
	var all []step
	for i := range int64(100) {
		all = append(all, word(i, "w"))
		all[i].chunk.Raw = append(all[i].chunk.Raw, fmt.Sprintf("%16384s", "")...)
	}
	return append(all, finish(100))
}

func fleet(n int) *core.Snapshot {
	snapshot := &core.Snapshot{Self: router("vm0")}
	for i := range n {
		snapshot.Routers = append(snapshot.Routers, core.RouterView{
			ID:            router(id.VM(fmt.Sprintf("vm%d", i))),
			CallerAddress: fmt.Sprintf("10.0.0.%d:80", i),
			FailureDomain: id.FailureDomain(fmt.Sprintf("fd%d", i%3)),
			Serving:       true,
		})
	}
	return snapshot
}

func TestEntryOrder(t *testing.T) {
	c := qt.New(t)
	snapshot := fleet(9)
	all := entryAddresses(snapshot, "acct", "")
	c.Assert(all, qt.HasLen, 9)

	// The preferred failure domain comes first, and each part keeps its order.
	preferred := entryAddresses(snapshot, "acct", "fd1")
	isFD1 := func(address string) bool {
		return slices.Contains([]string{"10.0.0.1:80", "10.0.0.4:80", "10.0.0.7:80"}, address)
	}
	var want []string
	for _, address := range all {
		if isFD1(address) {
			want = append(want, address)
		}
	}
	for _, address := range all {
		if !isFD1(address) {
			want = append(want, address)
		}
	}
	c.Assert(preferred, qt.DeepEquals, want)

	// A lost router moves no other.
	snapshot.Routers[4].Serving = false
	rest := slices.DeleteFunc(slices.Clone(all), func(a string) bool { return a == "10.0.0.4:80" })
	c.Assert(entryAddresses(snapshot, "acct", ""), qt.DeepEquals, rest)
}

func TestEntryWhenNoneServes(t *testing.T) {
	c := qt.New(t)
	snapshot := fleet(2)
	snapshot.Routers[0].Serving = false
	snapshot.Routers[1].Serving = false
	c.Assert(entryAddresses(snapshot, "acct", ""), qt.DeepEquals, []string{"10.0.0.0:80"})
	snapshot.Draining = true
	c.Assert(entryAddresses(snapshot, "acct", ""), qt.HasLen, 0)
}

func TestEntryAndModelsOverHTTP(t *testing.T) {
	c := qt.New(t)
	r := newRig(t)
	var entry entryAnswer
	c.Assert(json.Unmarshal([]byte(r.do("GET", pathEntry, "").body), &entry), qt.IsNil)
	c.Assert(entry, qt.DeepEquals, entryAnswer{Addresses: []string{"10.0.0.1:80"}, TTLMS: DefaultEntryTTL.Milliseconds()})
	var models modelsAnswer
	c.Assert(json.Unmarshal([]byte(r.do("GET", pathModels, "").body), &models), qt.IsNil)
	c.Assert(models.Data, qt.HasLen, 1)
	c.Assert(models.Data[0].ID, qt.Equals, id.Model("m"))
	c.Assert(r.do("GET", pathEntry, "", "Authorization", "").status, qt.Equals, http.StatusUnauthorized)
	c.Assert(r.do("GET", "/nowhere", "").status, qt.Equals, http.StatusNotFound)
}

// The connection breaks after a call was sent. One that must run at most once
// (by the operators' word or the caller's) is never sent again, and its caller
// learns at once that the outcome is unknown; any other is repeated elsewhere.
func TestServiceCalls(t *testing.T) {
	brokenThenFine := []error{backend.ErrBroken, nil}
	notRunThenFine := []error{backend.ErrNotRun, nil}
	key := []string{headerIdempotencyKey, "k"}
	for name, tc := range map[string]struct {
		path    string
		headers []string
		results []error
		calls   int
		cause   core.Cause // "": answered
		outcome core.Outcome
	}{
		"answered":                  {"/valuation?x=1", nil, []error{nil}, 1, "", ""},
		"idempotent, broken":        {"/valuation", nil, brokenThenFine, 2, "", ""},
		"marked, broken":            {"/confirm/7", key, brokenThenFine, 1, core.CauseBackendFailed, core.OutcomeUnknown},
		"marked by caller, broken":  {"/x", append(key, headerIdempotent, "false"), brokenThenFine, 1, core.CauseBackendFailed, core.OutcomeUnknown},
		"marked, other spelling":    {"//confirm", key, brokenThenFine, 1, core.CauseBackendFailed, core.OutcomeUnknown},
		"marked, not run":           {"/confirm", key, notRunThenFine, 2, "", ""},
		"marked, without a key":     {"/confirm", nil, nil, 0, core.CauseKeyRequired, core.OutcomeNotRun},
		"rejected":                  {"/x", nil, []error{backend.ErrRejected}, 1, core.CauseBadRequest, core.OutcomeNotRun},
		"no backend server is left": {"/x", nil, []error{backend.ErrNotRun, backend.ErrNotRun}, 2, core.CauseNoBackend, core.OutcomeNotRun},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			r := newRig(t)
			r.service.results = tc.results
			r.gate.redispatches = []core.Dispatch{{Attempt: "a2"}}
			got := r.do(http.MethodPost, pathServices+"register"+tc.path, "body", tc.headers...)
			c.Assert(r.service.calls, qt.HasLen, tc.calls)
			r.checkSettled(c)
			if tc.cause == "" {
				c.Assert(got.status, qt.Equals, 201)
				c.Assert(got.body, qt.Equals, "confirmed")
				c.Assert(r.service.calls[0].Path, qt.Equals, tc.path)
				c.Assert(r.gate.finished[0].Answer, qt.DeepEquals, core.Answer{Status: 201, ContentType: "text/plain", Content: "confirmed"})
				return
			}
			failure := errorIn(c, got.body)
			c.Assert(failure.Cause, qt.Equals, tc.cause)
			c.Assert(failure.Outcome, qt.Equals, tc.outcome)
		})
	}
}

func TestServiceFinishFails(t *testing.T) {
	c := qt.New(t)
	r := newRig(t)
	r.service.results = []error{nil}
	r.gate.finishErr = errors.New("no witness")
	got := r.do(http.MethodGet, pathServices+"register/x", "")
	c.Assert(got.body, qt.Not(qt.Contains), "confirmed")
	c.Assert(errorIn(c, got.body).Outcome, qt.Equals, core.OutcomeUnknown)
	r.checkSettled(c)
}

func TestUnknownService(t *testing.T) {
	c := qt.New(t)
	r := newRig(t)
	got := r.do(http.MethodGet, pathServices+"nope/x", "")
	c.Assert(got.status, qt.Equals, http.StatusNotFound)
	c.Assert(errorIn(c, got.body).Cause, qt.Equals, core.CauseUnknownService)
}
