package load

// checkBudgets checks that no account was granted more tokens than it prepaid, and that
// all answers together used no more tokens than were granted.
func (r *Reconciliation) checkBudgets(outcomes []Outcome, budgets []Budget) {
	grantedTokens := int64(0)
	for _, budget := range budgets {
		grantedTokens += budget.Granted
		if excess := budget.Granted - budget.Prepaid; excess > 0 {
			r.OverspentTokens += excess
			r.addExample("account %s: %d granted of %d", budget.Account, budget.Granted, budget.Prepaid)
		}
	}
	answeredTokens := int64(0)
	for i := range outcomes {
		if outcomes[i].Status == StatusOK {
			answeredTokens += outcomes[i].Usage.Total()
		}
	}
	if excess := answeredTokens - grantedTokens; excess > 0 {
		r.UngrantedTokens = excess
		r.addExample("%d tokens answered, %d granted", answeredTokens, grantedTokens)
	}
	r.checkBudgetRefusals(outcomes, budgets)
}

const causeBudgetExhausted = "budget_exhausted"

// checkBudgetRefusals counts refusals for lack of budget that were certainly false.
// Budgets are not topped up during a load run, so tokens that are not granted at its end
// were available at the refusal. It is not known here which account an API key belongs to,
// so a refusal counts only if every account had enough tokens left.
func (r *Reconciliation) checkBudgetRefusals(outcomes []Outcome, budgets []Budget) {
	if len(budgets) == 0 {
		return
	}
	minRemaining := budgets[0].Prepaid - budgets[0].Granted
	for _, budget := range budgets {
		minRemaining = min(minRemaining, budget.Prepaid-budget.Granted)
	}
	for i := range outcomes {
		if outcomes[i].Cause == causeBudgetExhausted && outcomes[i].MaxUsage <= minRemaining {
			r.FalseBudgetRefusals++
		}
	}
}
