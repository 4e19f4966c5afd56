package load

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestReconcileFindsContradictions(t *testing.T) {
	answered := Outcome{Key: "k", RequestID: "r", Status: StatusOK, Usage: Usage{PromptTokens: 3, CompletionTokens: 5}}
	notRun := Outcome{Key: "k", RequestID: "r", Status: StatusRefused, Outcome: "not_run"}
	unknown := Outcome{Key: "k", RequestID: "r", Status: StatusRefused, Outcome: "unknown"}
	confirmed := Outcome{Key: "k", RequestID: "r", Kind: KindConfirm, Status: StatusOK}
	confirmNotRun := Outcome{Key: "k", RequestID: "r", Kind: KindConfirm, Status: StatusRefused, Outcome: "not_run"}
	refusedAfterIndeterminateTry := Outcome{Key: "k", Status: StatusRefused, Outcome: "not_run", IndeterminateTries: 1}
	refusedForBudget := Outcome{Key: "k", Status: StatusRefused, Outcome: "not_run", Cause: "budget_exhausted", MaxUsage: 5}
	ran := func(times int) map[string]int { return map[string]int{"r": times} }
	calls := func(times int) map[string]int { return map[string]int{"k": times} }

	tests := []struct {
		name     string
		outcome  Outcome
		evidence Evidence
		want     Reconciliation
	}{
		{"repeated by a router", answered, Evidence{EngineRuns: ran(2)}, Reconciliation{}},
		{"refused truly", notRun, Evidence{EngineRuns: ran(0)}, Reconciliation{}},
		{"refused untruly", notRun, Evidence{EngineRuns: ran(1)}, Reconciliation{FalseNotRun: 1}},
		{"unknown may have run", unknown, Evidence{EngineRuns: ran(1)}, Reconciliation{}},
		{"confirmed once", confirmed, Evidence{ServiceRuns: calls(1)}, Reconciliation{}},
		{"confirmed, never ran", confirmed, Evidence{ServiceRuns: calls(0)}, Reconciliation{ConfirmedWithoutRun: 1}},
		{"confirmed, ran three times", confirmed, Evidence{ServiceRuns: calls(3)}, Reconciliation{DuplicateRuns: 2}},
		{"confirm refused untruly", confirmNotRun, Evidence{ServiceRuns: calls(1)}, Reconciliation{FalseNotRun: 1}},
		{"spent all", answered, Evidence{Budgets: []Budget{{"a", 10, 10}}}, Reconciliation{}},
		{"overspent", answered, Evidence{Budgets: []Budget{{"a", 10, 12}, {"b", 10, 1}}}, Reconciliation{OverspentTokens: 2}},
		{"answered more than granted", answered, Evidence{Budgets: []Budget{{"a", 10, 5}, {"b", 10, 1}}}, Reconciliation{UngrantedTokens: 2}},
		{"ran without a known id, and nothing broke", refusedForBudget, Evidence{EngineRuns: ran(1)}, Reconciliation{UnexplainedRuns: 1}},
		{"ran without a known id, a try broke", refusedAfterIndeterminateTry, Evidence{EngineRuns: ran(1)}, Reconciliation{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			got := Reconcile([]Outcome{test.outcome}, nil, test.evidence)
			c.Check(got.Examples, qt.HasLen, min(1, test.want.violations()))
			got.Examples, got.CheckedAgainst = nil, nil
			c.Assert(*got, qt.DeepEquals, test.want)
		})
	}
}

// Guards against counting a refusal as false if the remaining tokens were granted to
// other routers.
func TestBudgetRefusalIsFalseIfEnoughTokensRemain(t *testing.T) {
	c := qt.New(t)
	outcomes := []Outcome{
		{RequestID: "r", Status: StatusOK, Usage: Usage{PromptTokens: 3, CompletionTokens: 5}},
		{Status: StatusRefused, Cause: "budget_exhausted", MaxUsage: 2}, // 2 are left: false
		{Status: StatusRefused, Cause: "budget_exhausted", MaxUsage: 3}, // true
		{Status: StatusRefused, Cause: "overload", MaxUsage: 1},         // another cause
	}
	got := Reconcile(outcomes, nil, Evidence{Budgets: []Budget{{"a", 10, 8}, {"b", 99, 0}}})
	c.Assert(got.FalseBudgetRefusals, qt.Equals, 1)
	c.Assert(got.violations(), qt.Equals, 0)
}
