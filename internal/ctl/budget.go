package ctl

import (
	"context"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/operate"
	"chicorytiller.example/chicorytiller/internal/store"
)

func (a *app) budgetCommands(parent *kingpin.CmdClause) {
	a.setAction(parent.Command("list", "Lists what was paid, granted and spent."), a.listBudgets)
	show := parent.Command("show", "Shows one account's budget: what is used, free, in doubt, and who holds the rest.")
	showAccount := show.Arg("account", "The client account.").Required().String()
	a.setAction(show, func(ctx context.Context, s store.Store) error {
		return a.showBudget(ctx, s, id.ClientAccount(*showAccount))
	})
	topUp := parent.Command("topup", "Adds prepaid tokens.")
	topUpAccount := topUp.Arg("account", "The client account.").Required().String()
	tokens := topUp.Arg("tokens", "How many.").Required().Int64()
	payment := topUp.Flag("id", "Id of the payment; the same id counts once however often it is sent. Default: a random one.").
		Default(uuid.NewString()).String()
	a.setAction(topUp, func(ctx context.Context, s store.Store) error {
		prepaid, err := operate.TopUp(ctx, s, id.ClientAccount(*topUpAccount), id.Tokens(*tokens), *payment)
		if err != nil {
			return errors.Wrapf(err, "payment %s", *payment)
		}
		return a.printf("%s has paid for %d tokens in all (payment %s)\n", *topUpAccount, prepaid, *payment)
	})
}

func (a *app) listBudgets(ctx context.Context, s store.Store) error {
	budgets, err := operate.Budgets(ctx, s)
	if err != nil {
		return err
	}
	t := table{{"ACCOUNT", "PREPAID", "SPENT", "GRANTED", "HOLDERS"}}
	for _, b := range budgets {
		t = append(t, []string{b.Account, formatInt(b.Prepaid), formatInt(b.Spent), formatInt(b.Granted), strconv.Itoa(b.Holders)})
	}
	return a.print(budgets, t)
}

func (a *app) showBudget(ctx context.Context, s store.Store, account id.ClientAccount) error {
	statement, err := operate.BudgetStatement(ctx, s, account)
	if err != nil {
		return err
	}
	if a.jsonOutput {
		return a.printJSON(statement)
	}
	amounts := table{
		{"PREPAID", "SPENT", "FREE", "IN DOUBT"},
		{formatInt(statement.Prepaid), formatInt(statement.Spent), formatInt(statement.Free), formatInt(statement.InDoubt)},
	}
	if err := a.print(statement, amounts); err != nil {
		return err
	}
	holders := table{{"VM", "STATE", "GRANTED", "SPENT", "CEILING", "LAST CONTACT", "INCARNATION"}}
	for _, h := range statement.Holdings {
		contact := "unknown"
		if !h.LastContact.IsZero() {
			contact = h.LastContact.UTC().Format(time.RFC3339)
		}
		holders = append(holders, []string{h.VM, string(h.State), formatInt(h.Granted), formatInt(h.Spent), formatInt(h.Ceiling), contact, h.Incarnation})
	}
	return a.print(statement, holders)
}
