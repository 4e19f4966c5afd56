package load

import (
	"fmt"
)

// Evidence is what engines, services and the operators' API say of a run. A nil
// part was not asked for and is not checked.
type Evidence struct {
	EngineRuns  map[string]int // request id -> runs begun at engines
	ServiceRuns map[string]int // id in the confirm body, which is the key -> runs
	Budgets     []Budget
}

// Budget is what the store says of one account's tokens.
type Budget struct {
	Account string
	Prepaid int64
	Granted int64 // bounds what was spent
}

// Reconciliation counts contradictions between the answers and the evidence.
type Reconciliation struct {
	CheckedAgainst      []string `json:"checked_against"`
	FalseNotRun         int      `json:"untrue_refusals"`   // not_run said of what ran
	UnexplainedRuns     int      `json:"unexplained_runs"`  // runs beyond all tries that may have run
	DuplicateRuns       int      `json:"duplicate_runs"`    // non-idempotent runs past the first
	ConfirmedWithoutRun int      `json:"confirmed_not_run"` // a service answer without a run
	UngrantedTokens     int64    `json:"ungranted"`         // tokens answered beyond all that was granted
	OverspentTokens     int64    `json:"overspend"`         // tokens
	FalseBudgetRefusals int      `json:"false_refusals"`    // for lack of budget, with enough left at the end
	Examples            []string `json:"examples"`
}

// maxExamples bounds the examples that a report lists.
const maxExamples = 20

// broken counts what must be zero. False refusals are measured, not promised away.
func (r *Reconciliation) broken() int {
	return r.FalseNotRun + r.UnexplainedRuns + r.DuplicateRuns + r.ConfirmedWithoutRun +
		int(r.UngrantedTokens+r.OverspentTokens)
}

func (r *Reconciliation) example(format string, args ...any) {
	if len(r.Examples) < maxExamples {
		r.Examples = append(r.Examples, fmt.Sprintf(format, args...))
	}
}

// Reconcile holds the outcomes of a run against the evidence. Direct are the
// requests that were made without a router, whose runs engines report as well.
func Reconcile(outcomes, direct []Outcome, evidence Evidence) *Reconciliation {
	r := &Reconciliation{}
	if evidence.EngineRuns != nil {
		r.checked(len(evidence.EngineRuns), "engines")
		r.checkEngineRuns(outcomes, evidence.EngineRuns)
		r.checkUnexplained(outcomes, direct, evidence.EngineRuns)
	}
	if evidence.ServiceRuns != nil {
		r.checked(len(evidence.ServiceRuns), "services")
		r.checkServiceRuns(outcomes, evidence.ServiceRuns)
	}
	if evidence.Budgets != nil {
		r.checked(len(evidence.Budgets), "budgets")
		r.checkBudgets(outcomes, evidence.Budgets)
	}
	return r
}

// checked notes what was compared, and how many records it held: a check against
// nothing finds nothing.
func (r *Reconciliation) checked(records int, what string) {
	r.CheckedAgainst = append(r.CheckedAgainst, fmt.Sprintf("%s (%d)", what, records))
}

func (o *Outcome) saidNotRun() bool {
	return o.Status == StatusRefused && o.Outcome == outcomeNotRun
}

func (r *Reconciliation) checkEngineRuns(outcomes []Outcome, runs map[string]int) {
	for i := range outcomes {
		outcome := &outcomes[i]
		if outcome.Kind == KindCompletion && outcome.saidNotRun() && runs[outcome.RequestID] > 0 {
			r.FalseNotRun++
			r.example("request %s was refused as not run, and an engine ran it", outcome.RequestID)
		}
	}
}

// checkUnexplained finds untrue refusals that name no request id. A request that
// ran under an id which its caller never learned must be one of the tries that
// broke off or ended as unknown. Runs beyond their number were told as not_run.
func (r *Reconciliation) checkUnexplained(outcomes, direct []Outcome, runs map[string]int) {
	known := map[string]bool{}
	doubtful := 0
	for _, all := range [][]Outcome{outcomes, direct} {
		for i := range all {
			known[all[i].RequestID] = true
			doubtful += all[i].IndeterminateTries
		}
	}
	unknown := 0
	for request := range runs {
		if !known[request] {
			unknown++
		}
	}
	if unknown > doubtful {
		r.UnexplainedRuns = unknown - doubtful
		r.example("engines ran %d requests with ids that no answer named; only %d tries may have run unanswered", unknown, doubtful)
	}
}

func (r *Reconciliation) checkServiceRuns(outcomes []Outcome, runs map[string]int) {
	for i := range outcomes {
		outcome := &outcomes[i]
		if outcome.Kind != KindConfirm {
			continue
		}
		count := runs[outcome.Key]
		if count > 1 {
			r.DuplicateRuns += count - 1
			r.example("the confirm call with key %s ran %d times", outcome.Key, count)
		}
		if outcome.saidNotRun() && count > 0 {
			r.FalseNotRun++
			r.example("the confirm call with key %s was refused as not run, and it ran", outcome.Key)
		}
		if outcome.Status == StatusOK && count == 0 {
			r.ConfirmedWithoutRun++
			r.example("the confirm call with key %s was answered, and it never ran", outcome.Key)
		}
	}
}
