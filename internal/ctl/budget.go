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
	a.command(parent.Command("list", "Lists what was paid, granted and spent."), a.budgets)
	show := parent.Command("show", "Shows one account's budget: what is used, free, in doubt, and who holds the rest.")
	shown := show.Arg("account", "The client account.").Required().String()
	a.command(show, func(ctx context.Context, s store.Store) error { return a.budget(ctx, s, id.ClientAccount(*shown)) })
	topUp := parent.Command("topup", "Adds prepaid tokens.")
	account := topUp.Arg("account", "The client account.").Required().String()
	tokens := topUp.Arg("tokens", "How many.").Required().Int64()
	payment := topUp.Flag("id", "Id of the payment; the same id counts once however often it is sent. Default: a random one.").
		Default(uuid.NewString()).String()
	a.command(topUp, func(ctx context.Context, s store.Store) error {
		prepaid, err := operate.TopUp(ctx, s, id.ClientAccount(*account), id.Tokens(*tokens), *payment)
		if err != nil {
			return errors.Wrapf(err, "payment %s", *payment)
		}
		return a.printf("%s has paid for %d tokens in all (payment %s)\n", *account, prepaid, *payment)
	})
}

func (a *app) budgets(ctx context.Context, s store.Store) error {
	budgets, err := operate.Budgets(ctx, s)
	if err != nil {
		return err
	}
	t := table{{"ACCOUNT", "PREPAID", "SPENT", "GRANTED", "HOLDERS"}}
	for _, b := range budgets {
		t = append(t, []string{b.Account, number(b.Prepaid), number(b.Spent), number(b.Granted), strconv.Itoa(b.Holders)})
	}
	return a.print(budgets, t)
}

func (a *app) budget(ctx context.Context, s store.Store, account id.ClientAccount) error {
	b, err := operate.BudgetStatement(ctx, s, account)
	if err != nil {
		return err
	}
	if a.json {
		return a.printJSON(b)
	}
	amounts := table{
		{"PREPAID", "SPENT", "FREE", "IN DOUBT"},
		{number(b.Prepaid), number(b.Spent), number(b.Free), number(b.InDoubt)},
	}
	if err := a.print(b, amounts); err != nil {
		return err
	}
	holders := table{{"VM", "STATE", "GRANTED", "SPENT", "CEILING", "LAST CONTACT", "INCARNATION"}}
	for _, h := range b.Holdings {
		contact := "unknown"
		if !h.LastContact.IsZero() {
			contact = h.LastContact.UTC().Format(time.RFC3339)
		}
		holders = append(holders, []string{h.VM, string(h.State), number(h.Granted), number(h.Spent), number(h.Ceiling), contact, h.Incarnation})
	}
	return a.print(b, holders)
}
