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
	broke := Outcome{Key: "k", Status: StatusRefused, Outcome: "not_run", Doubtful: 1}
	refusedForBudget := Outcome{Key: "k", Status: StatusRefused, Outcome: "not_run", Cause: "budget_exhausted", Need: 5}
	bill := Bill{Request: "r", Account: "a", Budget: "b", Tokens: 8}
	ran := func(times int) map[string]int { return map[string]int{"r": times} }
	calls := func(times int) map[string]int { return map[string]int{"k": times} }

	tests := []struct {
		name     string
		outcome  Outcome
		evidence Evidence
		want     Reconciliation
	}{
		{"billed once", answered, Evidence{EngineRuns: ran(2), Bills: []Bill{bill}}, Reconciliation{}},
		{"bill missing", answered, Evidence{Bills: []Bill{}}, Reconciliation{BillsMissing: 1}},
		{"bill twice", answered, Evidence{Bills: []Bill{bill, bill}}, Reconciliation{BillsDouble: 1}},
		{"bill differs", answered, Evidence{Bills: []Bill{{Request: "r", Tokens: 9}}}, Reconciliation{BillsDiffering: 1}},
		{"refused truly", notRun, Evidence{EngineRuns: ran(0), Bills: []Bill{}}, Reconciliation{}},
		{"refused untruly", notRun, Evidence{EngineRuns: ran(1)}, Reconciliation{UntrueRefusals: 1}},
		{"refused and billed", notRun, Evidence{Bills: []Bill{bill}}, Reconciliation{BillsOfNotRun: 1}},
		{"unknown may have run", unknown, Evidence{EngineRuns: ran(1), Bills: []Bill{bill}}, Reconciliation{}},
		{"confirmed once", confirmed, Evidence{ServiceRuns: calls(1), Bills: []Bill{{Request: "r", Tokens: 1}}}, Reconciliation{}},
		{"confirmed, never ran", confirmed, Evidence{ServiceRuns: calls(0)}, Reconciliation{ConfirmedNotRun: 1}},
		{"confirmed, ran three times", confirmed, Evidence{ServiceRuns: calls(3)}, Reconciliation{DuplicateRuns: 2}},
		{"confirm refused untruly", confirmNotRun, Evidence{ServiceRuns: calls(1)}, Reconciliation{UntrueRefusals: 1}},
		{"spent all", answered, Evidence{Budgets: []Budget{{"b", "a", 10, 10}}}, Reconciliation{}},
		{"overspent", answered, Evidence{Budgets: []Budget{{"b", "a", 10, 12}, {"c", "a", 10, 1}}}, Reconciliation{Overspend: 2}},
		{"overspent by the bills", answered, Evidence{Bills: []Bill{bill}, Budgets: []Budget{{"b", "a", 7, 6}}}, Reconciliation{Overspend: 1}},
		{"ran without a known id, and nothing broke", refusedForBudget, Evidence{EngineRuns: ran(1)}, Reconciliation{UnexplainedRuns: 1}},
		{"ran without a known id, a try broke", broke, Evidence{EngineRuns: ran(1)}, Reconciliation{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			got := Reconcile([]Outcome{test.outcome}, nil, test.evidence)
			c.Check(got.Examples, qt.HasLen, min(1, test.want.broken()))
			got.Examples, got.CheckedAgainst = nil, nil
			c.Assert(*got, qt.DeepEquals, test.want)
		})
	}
}

func TestFalseRefusalsAreThoseWithEnoughLeftAtTheEnd(t *testing.T) {
	c := qt.New(t)
	outcomes := []Outcome{
		{RequestID: "r", Account: 0, Status: StatusOK, Usage: Usage{PromptTokens: 3, CompletionTokens: 5}},
		{Account: 0, Status: StatusRefused, Cause: "budget_exhausted", Need: 2}, // 2 are left: false
		{Account: 0, Status: StatusRefused, Cause: "budget_exhausted", Need: 3}, // true
		{Account: 0, Status: StatusRefused, Cause: "overload", Need: 1},         // another cause
		{Account: 1, Status: StatusRefused, Cause: "budget_exhausted", Need: 1}, // account not known
	}
	bills := []Bill{{Request: "r", Account: "a", Budget: "b", Tokens: 8}}
	got := Reconcile(outcomes, nil, Evidence{Bills: bills, Budgets: []Budget{{"b", "a", 10, 8}, {"c", "other", 99, 0}}})
	c.Assert(got.FalseRefusals, qt.Equals, 1)
	c.Assert(got.broken(), qt.Equals, 0)
}
