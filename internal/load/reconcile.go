package load

import (
	"fmt"
)

// Evidence is what engines, services and the store report about a load run. A nil field was
// not read and is not checked.
type Evidence struct {
	EngineRuns  map[string]int // runs started by engines, by request ID
	ServiceRuns map[string]int // runs of confirm calls, by idempotency key
	Budgets     []Budget
}

// Budget is the token budget of a client account as recorded in the store.
type Budget struct {
	Account string
	Prepaid int64
	Granted int64 // upper bound of the tokens spent
}

// Reconciliation counts contradictions between the answers and the evidence.
type Reconciliation struct {
	CheckedAgainst      []string `json:"checked_against"`
	FalseNotRun         int      `json:"untrue_refusals"`   // refused as not_run, but ran
	UnexplainedRuns     int      `json:"unexplained_runs"`  // runs with unknown request IDs beyond the indeterminate tries
	DuplicateRuns       int      `json:"duplicate_runs"`    // runs of a non-idempotent call after its first
	ConfirmedWithoutRun int      `json:"confirmed_not_run"` // confirm calls answered without a run
	UngrantedTokens     int64    `json:"ungranted"`         // tokens answered beyond those granted
	OverspentTokens     int64    `json:"overspend"`         // tokens granted beyond those prepaid
	FalseBudgetRefusals int      `json:"false_refusals"`    // refused for lack of budget, though enough tokens were left
	Examples            []string `json:"examples"`
}

// maxExamples limits the examples in a report.
const maxExamples = 20

// violations returns the number of violated guarantees. It leaves out
// FalseBudgetRefusals, because routers do not guarantee that there are none.
func (r *Reconciliation) violations() int {
	return r.FalseNotRun + r.UnexplainedRuns + r.DuplicateRuns + r.ConfirmedWithoutRun +
		int(r.UngrantedTokens+r.OverspentTokens)
}

func (r *Reconciliation) addExample(format string, args ...any) {
	if len(r.Examples) < maxExamples {
		r.Examples = append(r.Examples, fmt.Sprintf(format, args...))
	}
}

// Reconcile checks the outcomes of a load run against the evidence. direct holds the outcomes
// of requests sent to an engine without a router, whose runs engines report as well.
func Reconcile(outcomes, direct []Outcome, evidence Evidence) *Reconciliation {
	r := &Reconciliation{}
	if evidence.EngineRuns != nil {
		r.addSource(len(evidence.EngineRuns), "engines")
		r.checkEngineRuns(outcomes, evidence.EngineRuns)
		r.checkUnexplainedRuns(outcomes, direct, evidence.EngineRuns)
	}
	if evidence.ServiceRuns != nil {
		r.addSource(len(evidence.ServiceRuns), "services")
		r.checkServiceRuns(outcomes, evidence.ServiceRuns)
	}
	if evidence.Budgets != nil {
		r.addSource(len(evidence.Budgets), "budgets")
		r.checkBudgets(outcomes, evidence.Budgets)
	}
	return r
}

// addSource lists a source in the report with its number of records, because a check
// against no records cannot find anything.
func (r *Reconciliation) addSource(records int, source string) {
	r.CheckedAgainst = append(r.CheckedAgainst, fmt.Sprintf("%s (%d)", source, records))
}

func (o *Outcome) refusedNotRun() bool {
	return o.Status == StatusRefused && o.Outcome == outcomeNotRun
}

func (r *Reconciliation) checkEngineRuns(outcomes []Outcome, runs map[string]int) {
	for i := range outcomes {
		outcome := &outcomes[i]
		if outcome.Kind == KindCompletion && outcome.refusedNotRun() && runs[outcome.RequestID] > 0 {
			r.FalseNotRun++
			r.addExample("request %s was refused as not run, but an engine ran it", outcome.RequestID)
		}
	}
}

// checkUnexplainedRuns finds false not_run refusals that name no request ID. Each run
// whose request ID no caller learned must belong to an indeterminate try. If there are
// more such runs than indeterminate tries, the excess was refused as not_run.
func (r *Reconciliation) checkUnexplainedRuns(outcomes, direct []Outcome, runs map[string]int) {
	knownIDs := map[string]bool{}
	indeterminate := 0
	for _, group := range [][]Outcome{outcomes, direct} {
		for i := range group {
			knownIDs[group[i].RequestID] = true
			indeterminate += group[i].IndeterminateTries
		}
	}
	unknownRuns := 0
	for request := range runs {
		if !knownIDs[request] {
			unknownRuns++
		}
	}
	if unknownRuns > indeterminate {
		r.UnexplainedRuns = unknownRuns - indeterminate
		r.addExample("engines ran %d requests with ids that no answer named; only %d tries may have run unanswered", unknownRuns, indeterminate)
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
			r.addExample("the confirm call with key %s ran %d times", outcome.Key, count)
		}
		if outcome.refusedNotRun() && count > 0 {
			r.FalseNotRun++
			r.addExample("the confirm call with key %s was refused as not run, but it ran", outcome.Key)
		}
		if outcome.Status == StatusOK && count == 0 {
			r.ConfirmedWithoutRun++
			r.addExample("the confirm call with key %s was answered, but it never ran", outcome.Key)
		}
	}
}
