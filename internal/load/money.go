package load

// checkBills compares the answers' usage with the bills by request id.
func (r *Reconciliation) checkBills(outcomes []Outcome, bills []Bill) {
	byRequest := make(map[string][]Bill, len(bills))
	for _, bill := range bills {
		byRequest[bill.Request] = append(byRequest[bill.Request], bill)
	}
	for request, all := range byRequest {
		if len(all) > 1 {
			r.BillsDouble += len(all) - 1
			r.example("request %s has %d bills", request, len(all))
		}
	}
	for i := range outcomes {
		r.checkBill(&outcomes[i], byRequest[outcomes[i].RequestID])
	}
}

func (r *Reconciliation) checkBill(outcome *Outcome, bills []Bill) {
	switch {
	case outcome.saidNotRun() && len(bills) > 0:
		r.BillsOfNotRun++
		r.example("request %s was refused as not run, and it has a bill", outcome.RequestID)
	case outcome.Status != StatusOK:
	case len(bills) == 0:
		r.BillsMissing++
		r.example("request %s (key %s) was answered and has no bill", outcome.RequestID, outcome.Key)
	case outcome.Kind == KindCompletion && bills[0].Tokens != outcome.Usage.Total():
		r.BillsDiffering++
		r.example("request %s used %d tokens and is billed %d", outcome.RequestID, outcome.Usage.Total(), bills[0].Tokens)
	}
}

// checkBudgets finds budgets spent past their top-ups, by what routers reported
// or, where that is more (reports lag), by the sum of the bills.
func (r *Reconciliation) checkBudgets(outcomes []Outcome, budgets []Budget, bills []Bill) {
	billed := map[string]int64{}
	for _, bill := range bills {
		billed[bill.Budget] += bill.Tokens
	}
	left := map[string]int64{} // by account, over all its budgets
	for _, budget := range budgets {
		spent := max(budget.Spent, billed[budget.ID])
		left[budget.Account] += max(budget.TopUps-spent, 0)
		if past := spent - budget.TopUps; past > 0 {
			r.Overspend += past
			r.example("budget %s: %d spent of %d", budget.ID, spent, budget.TopUps)
		}
	}
	r.checkBudgetRefusals(outcomes, accountNames(outcomes, bills), left)
}

const causeBudget = "budget_exhausted"

// checkBudgetRefusals counts refusals for lack of budget that were certainly
// false: as nothing is topped up during a run, what is left at its end was left
// at the refusal. It assumes that an account has one budget for the workload;
// tokens that other requests held in reserve at that moment count as left.
func (r *Reconciliation) checkBudgetRefusals(outcomes []Outcome, names map[int]string, left map[string]int64) {
	for i := range outcomes {
		outcome := &outcomes[i]
		name, known := names[outcome.Account]
		if known && outcome.Cause == causeBudget && left[name] >= outcome.Need {
			r.FalseRefusals++
		}
	}
}

// accountNames learns from the bills which client account each key belongs to.
func accountNames(outcomes []Outcome, bills []Bill) map[int]string {
	accounts := make(map[string]string, len(bills)) // by request
	for _, bill := range bills {
		accounts[bill.Request] = bill.Account
	}
	names := map[int]string{}
	for i := range outcomes {
		if name, found := accounts[outcomes[i].RequestID]; found {
			names[outcomes[i].Account] = name
		}
	}
	return names
}
