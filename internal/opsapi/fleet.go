// Package opsapi is the operators' listener: JSON over HTTP with Bearer
// credentials. Configured objects carry their revision as ETag, and are changed
// under If-Match. Spending state, bills and the list of routers come from the
// Fleet that the daemon passes in.
package opsapi

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/id"
)

// Fleet is what this package asks of the router it runs in. Implementations are
// safe for concurrent use.
type Fleet interface {
	// TopUp adds prepaid tokens to a budget. A top-up whose ID landed already is
	// no error and has no second effect. Errors: ErrTopUpReused, ErrNotDone,
	// ErrNotYetKnown.
	TopUp(ctx context.Context, topUp TopUp) (BudgetStatus, error)
	// Budgets lists budgets; an empty account means those of every account.
	Budgets(ctx context.Context, account id.ClientAccount) ([]BudgetStatus, error)
	// Budget gives one budget. Errors: ErrUnknownBudget, ErrNotDone.
	Budget(ctx context.Context, budget id.Budget) (BudgetStatus, error)
	// Routers lists the routers that this one knows, itself included.
	Routers(ctx context.Context) ([]RouterStatus, error)
	// Bills lists bills, oldest first.
	Bills(ctx context.Context, filter BillFilter) ([]BillStatus, error)
	// Ready tells whether this router serves, or the reason why not.
	Ready() (ready bool, reason string)
}

// Errors that a Fleet wraps; test with errors.Is.
var (
	// ErrUnknownBudget: no contract has the budget.
	ErrUnknownBudget = errors.New("opsapi: unknown budget")
	// ErrTopUpReused: another amount was added under the same top-up id.
	ErrTopUpReused = errors.New("opsapi: top-up id was used for another amount")
	// ErrNotDone: it had no effect, because the platform's service can't be reached.
	ErrNotDone = errors.New("opsapi: not done")
	// ErrNotYetKnown: it may have had its effect; asking again under the same id
	// is safe and finds out.
	ErrNotYetKnown = errors.New("opsapi: outcome not yet known")
)

// TopUp is one payment into a budget.
type TopUp struct {
	ID     string    `json:"id"` // unique for each payment
	Budget id.Budget `json:"budget"`
	Amount id.Tokens `json:"amount"` // above zero
	Author string    `json:"author"`
}

// BudgetStatus is a budget as its durable record has it.
type BudgetStatus struct {
	Budget   id.Budget        `json:"budget"`
	Account  id.ClientAccount `json:"account"`
	ToppedUp id.Tokens        `json:"topped_up"` // sum of the top-ups
	Granted  id.Tokens        `json:"granted"`   // held by routers, spent or not
	Spent    id.Tokens        `json:"spent"`     // reported or billed
	InDoubt  id.Tokens        `json:"in_doubt"`  // held by routers that are being settled
	Free     id.Tokens        `json:"free"`      // not held by any router
	Holders  []HolderStatus   `json:"holders,omitempty"`
}

// HolderStatus is one router's share of a budget.
type HolderStatus struct {
	Router  id.Router `json:"router"`
	Granted id.Tokens `json:"granted"`
	Spent   id.Tokens `json:"spent"` // as last reported
	State   string    `json:"state"` // "live", "retiring", "retired"
}

// RouterStatus is one router as the answering one knows it.
type RouterStatus struct {
	Router        id.Router        `json:"router"`
	FailureDomain id.FailureDomain `json:"failure_domain"`
	CallerAddress string           `json:"caller_address"`
	State         string           `json:"state"`    // "serving", "draining", "suspected", "retiring"
	Revision      id.Revision      `json:"revision"` // of the configuration in force there, as last heard
	HeardAt       time.Time        `json:"heard_at"`
}

// BillFilter chooses bills.
type BillFilter struct {
	Account id.ClientAccount // empty: every account
	Since   time.Time        // zero: from the start
	Limit   int              // at most so many; always above zero
}

// BillStatus is the bill of one request.
type BillStatus struct {
	Request          id.Request       `json:"request"`
	Account          id.ClientAccount `json:"account"`
	Budget           id.Budget        `json:"budget"`
	Router           id.Router        `json:"router"`
	Model            id.Model         `json:"model,omitempty"`
	Service          id.Service       `json:"service,omitempty"`
	PromptTokens     id.Tokens        `json:"prompt_tokens"`
	CompletionTokens id.Tokens        `json:"completion_tokens"`
	Total            id.Tokens        `json:"total"`
	At               time.Time        `json:"at"`
}
