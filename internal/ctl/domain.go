package ctl

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"chicorytiller.example/chicorytiller/internal/operate"
	"chicorytiller.example/chicorytiller/internal/store"
)

func (a *app) domainCommands(parent *kingpin.CmdClause) {
	a.setAction(parent.Command("list", "Lists the evacuated failure domains."), a.listEvacuated)
	for _, action := range []struct {
		name, help string
		do         func(context.Context, store.Store, string) error
	}{
		{"evacuate", "Sends a failure domain's backend servers nothing new, until it is restored.", operate.Evacuate},
		{"restore", "Takes back that a failure domain is evacuated.", operate.Restore},
	} {
		command := parent.Command(action.name, action.help)
		domain := command.Arg("domain", "The failure domain's name.").Required().String()
		a.setAction(command, func(ctx context.Context, s store.Store) error { return action.do(ctx, s, *domain) })
	}
}

func (a *app) listEvacuated(ctx context.Context, s store.Store) error {
	domains, err := operate.EvacuatedDomains(ctx, s)
	if err != nil {
		return err
	}
	t := table{{"EVACUATED"}}
	for _, domain := range domains {
		t = append(t, []string{domain})
	}
	return a.print(domains, t)
}
