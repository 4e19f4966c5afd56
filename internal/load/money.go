package load

// checkBudgets holds what was answered against what was granted, and that against what
// was paid.
func (r *Reconciliation) checkBudgets(outcomes []Outcome, budgets []Budget) {
	granted := int64(0)
	for _, budget := range budgets {
		granted += budget.Granted
		if past := budget.Granted - budget.Prepaid; past > 0 {
			r.OverspentTokens += past
			r.example("account %s: %d granted of %d", budget.Account, budget.Granted, budget.Prepaid)
		}
	}
	answered := int64(0)
	for i := range outcomes {
		if outcomes[i].Status == StatusOK {
			answered += outcomes[i].Usage.Total()
		}
	}
	if past := answered - granted; past > 0 {
		r.UngrantedTokens = past
		r.example("%d tokens answered, %d granted", answered, granted)
	}
	r.checkBudgetRefusals(outcomes, budgets)
}

const causeBudget = "budget_exhausted"

// checkBudgetRefusals counts refusals for lack of budget that were certainly false: as
// nothing is topped up during a run, what no router was granted at its end was free at
// the refusal. Which account a key belongs to isn't known here, so all must have enough.
func (r *Reconciliation) checkBudgetRefusals(outcomes []Outcome, budgets []Budget) {
	if len(budgets) == 0 {
		return
	}
	least := budgets[0].Prepaid - budgets[0].Granted
	for _, budget := range budgets {
		least = min(least, budget.Prepaid-budget.Granted)
	}
	for i := range outcomes {
		if outcomes[i].Cause == causeBudget && outcomes[i].MaxUsage <= least {
			r.FalseBudgetRefusals++
		}
	}
}
