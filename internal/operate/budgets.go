package operate

import (
	"context"
	"sort"
	"strings"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/escrow"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/node"
	"chicorytiller.example/chicorytiller/internal/store"
)

// Statement is an account's budget statement together with its prepaid tokens.
type Statement struct {
	Prepaid int64 `json:"prepaid"`
	escrow.Statement
}

// BudgetStatement returns how many of an account's prepaid tokens are spent, free or in
// doubt, and which routers hold the rest.
func BudgetStatement(ctx context.Context, s store.Store, account id.ClientAccount) (Statement, error) {
	d, _, err := Document(ctx, s)
	if err != nil {
		return Statement{}, err
	}
	c := findContract(d, account)
	if c == nil {
		return Statement{}, errors.Wrapf(ErrNotFound, "account %q", account)
	}
	snapshot, err := s.Read(ctx, node.BudgetPrefix)
	if err != nil {
		return Statement{}, err
	}
	statement, err := escrow.StatementOf(snapshot.Items, node.BudgetPrefix, string(account), int64(c.Prepaid))
	return Statement{Prepaid: int64(c.Prepaid), Statement: statement}, errors.Wrapf(err, "budget of account %q", account)
}

// Budget summarizes an account's tokens. Spent lags a few seconds behind the actual use.
// Granted is up to date, and the actual use never exceeds it.
type Budget struct {
	Account string `json:"account"`
	Prepaid int64  `json:"prepaid"`
	Spent   int64  `json:"spent"`   // lower bound
	Granted int64  `json:"granted"` // granted to routers, including all spent tokens
	Holders int    `json:"holders"` // number of VMs whose routers hold grants
}

// Budgets returns the budgets of all accounts, sorted by account name.
func Budgets(ctx context.Context, s store.Store) ([]Budget, error) {
	d, _, err := Document(ctx, s)
	if err != nil {
		return nil, err
	}
	prefix := node.BudgetPrefix + escrow.AccountKeyPrefix
	snapshot, err := s.Read(ctx, prefix)
	if err != nil {
		return nil, err
	}
	records := map[string]escrow.Record{}
	for _, item := range snapshot.Items {
		record, err := escrow.DecodeRecord(item.Value)
		if err != nil {
			return nil, errors.Wrap(err, item.Key)
		}
		records[strings.TrimPrefix(item.Key, prefix)] = record
	}
	budgets := make([]Budget, 0, len(d.Contracts))
	for i := range d.Contracts {
		name := string(d.Contracts[i].Account)
		record := records[name]
		budgets = append(budgets, Budget{Account: name, Prepaid: int64(d.Contracts[i].Prepaid),
			Spent: record.MinSpent(), Granted: record.TotalGranted(), Holders: len(record.Entries)})
	}
	sort.Slice(budgets, func(i, j int) bool { return budgets[i].Account < budgets[j].Account })
	return budgets, nil
}
