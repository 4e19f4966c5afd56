package load

import (
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// billLimit is the most bills that the operators' API lists at once.
const billLimit = 100_000

// operatorBill is one bill of the operators' API's answer to GET /v1/bills.
type operatorBill struct {
	Request string    `json:"request"`
	Account string    `json:"account"`
	Budget  string    `json:"budget"`
	Total   int64     `json:"total"`
	At      time.Time `json:"at"`
	Router  struct {
		VM          string `json:"vm"`
		Incarnation uint64 `json:"incarnation"`
	} `json:"router"`
}

type operatorBills struct {
	Bills []operatorBill `json:"bills"`
}

// gatherBills reads the bills since the run's start at each operators' listener.
// Routers may list the same bill; only bills that differ count as two.
func (c *Client) gatherBills(sources Sources) ([]Bill, error) {
	bills := []Bill{}
	seen := map[operatorBill]bool{}
	query := url.Values{"limit": {strconv.Itoa(billLimit)}, "since": {sources.Since.UTC().Format(time.RFC3339)}}
	for _, listener := range sources.OperatorURLs {
		var answer operatorBills
		if err := c.getJSON(listener+"/v1/bills?"+query.Encode(), sources.OperatorCredential, &answer); err != nil {
			return nil, err
		}
		if len(answer.Bills) >= billLimit {
			return nil, errors.Errorf("load: %s lists %d bills, which may not be all", listener, len(answer.Bills))
		}
		for _, bill := range answer.Bills {
			bill.At = bill.At.UTC()
			if !seen[bill] {
				seen[bill] = true
				bills = append(bills, Bill{Request: bill.Request, Account: bill.Account, Budget: bill.Budget, Tokens: bill.Total})
			}
		}
	}
	return bills, nil
}

// operatorBudgets is the operators' API's answer to GET /v1/budgets.
type operatorBudgets struct {
	Budgets []struct {
		Budget   string `json:"budget"`
		Account  string `json:"account"`
		ToppedUp int64  `json:"topped_up"`
		Spent    int64  `json:"spent"`
	} `json:"budgets"`
}

// gatherBudgets reads the budgets at the first operators' listener: they come
// from the platform's service, so that each router tells the same.
func (c *Client) gatherBudgets(sources Sources) ([]Budget, error) {
	var answer operatorBudgets
	if err := c.getJSON(sources.OperatorURLs[0]+"/v1/budgets", sources.OperatorCredential, &answer); err != nil {
		return nil, err
	}
	budgets := make([]Budget, 0, len(answer.Budgets))
	for _, budget := range answer.Budgets {
		budgets = append(budgets, Budget{ID: budget.Budget, Account: budget.Account, TopUps: budget.ToppedUp, Spent: budget.Spent})
	}
	return budgets, nil
}
