package router

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sourcegraph/conc/pool"

	"chicorytiller.example/chicorytiller/internal/bill"
	"chicorytiller.example/chicorytiller/internal/budget"
	"chicorytiller.example/chicorytiller/internal/contract"
	"chicorytiller.example/chicorytiller/internal/core"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/ledger"
	"chicorytiller.example/chicorytiller/internal/member"
	"chicorytiller.example/chicorytiller/internal/opsapi"
	"chicorytiller.example/chicorytiller/internal/peer"
)

// fleet answers the operators' listener; it implements opsapi.Fleet.
type fleet struct {
	router *Router
	caller *peer.Caller
}

func (r *Router) newOperators() *opsapi.Server {
	var credentials []opsapi.Credential
	for _, sum := range r.settings.Operators.CredentialSHA256 {
		credentials = append(credentials, opsapi.Credential{Name: "operator", Hash: contract.KeyHash(sum)})
	}
	return opsapi.New(opsapi.Config{
		Store:       r.store,
		Fleet:       &fleet{router: r, caller: peer.NewCaller(r.pool)},
		Credentials: credentials,
		Metrics:     promhttp.HandlerFor(r.registry, promhttp.HandlerOpts{}),
		Events:      r.events,
	})
}

// TopUp implements opsapi.Fleet.
func (f *fleet) TopUp(ctx context.Context, t opsapi.TopUp) (opsapi.BudgetStatus, error) {
	account, known := f.router.store.State().Owner(t.Budget)
	if !known {
		return opsapi.BudgetStatus{}, errors.Wrap(opsapi.ErrUnknownBudget, string(t.Budget))
	}
	op := budget.TopUp{Budget: t.Budget, Account: account, ID: t.ID, Amount: t.Amount, At: time.Now()}
	result, err := f.router.ledger.Commit(ctx, f.router.ledger.ShardOf(t.Budget), []budget.Op{op})
	if err != nil {
		return opsapi.BudgetStatus{}, commitError(err)
	}
	if err := result.Errs[0]; err != nil {
		if errors.Is(err, budget.ErrTopUpConflict) {
			return opsapi.BudgetStatus{}, errors.Wrap(opsapi.ErrTopUpReused, err.Error())
		}
		return opsapi.BudgetStatus{}, errors.Wrap(opsapi.ErrNotDone, err.Error())
	}
	return f.status(t.Budget, result.Records[t.Budget]), nil
}

// commitError turns an error of the ledger into one of the operators' listener.
func commitError(err error) error {
	if errors.Is(err, ledger.ErrUnknown) {
		return errors.Wrap(opsapi.ErrNotYetKnown, err.Error())
	}
	return errors.Wrap(opsapi.ErrNotDone, err.Error())
}

// Budgets implements opsapi.Fleet.
func (f *fleet) Budgets(ctx context.Context, account id.ClientAccount) ([]opsapi.BudgetStatus, error) {
	shards := make(map[budget.ShardIndex]*budget.Shard)
	statuses := []opsapi.BudgetStatus{}
	for name, k := range f.router.store.State().Contracts {
		if account != "" && name != account {
			continue
		}
		for _, b := range k.Budgets {
			record, err := f.record(ctx, b.ID, shards)
			if err != nil {
				return nil, err
			}
			statuses = append(statuses, f.status(b.ID, record))
		}
	}
	slices.SortFunc(statuses, func(a, b opsapi.BudgetStatus) int {
		return strings.Compare(string(a.Budget), string(b.Budget))
	})
	return statuses, nil
}

// Budget implements opsapi.Fleet.
func (f *fleet) Budget(ctx context.Context, b id.Budget) (opsapi.BudgetStatus, error) {
	if _, known := f.router.store.State().Owner(b); !known {
		return opsapi.BudgetStatus{}, errors.Wrap(opsapi.ErrUnknownBudget, string(b))
	}
	record, err := f.record(ctx, b, make(map[budget.ShardIndex]*budget.Shard))
	if err != nil {
		return opsapi.BudgetStatus{}, err
	}
	return f.status(b, record), nil
}

// record reads a budget's record; each shard is read once for all of its budgets.
func (f *fleet) record(ctx context.Context, b id.Budget, shards map[budget.ShardIndex]*budget.Shard) (*budget.Record, error) {
	index := f.router.ledger.ShardOf(b)
	shard, read := shards[index]
	if !read {
		var err error
		if shard, err = f.router.ledger.Read(ctx, index); err != nil {
			return nil, commitError(err)
		}
		shards[index] = shard
	}
	return shard.Budgets[b], nil
}

// status shows a durable record to operators; a budget that was never topped up
// has none.
func (f *fleet) status(b id.Budget, record *budget.Record) opsapi.BudgetStatus {
	account, _ := f.router.store.State().Owner(b)
	status := opsapi.BudgetStatus{Budget: b, Account: account}
	if record == nil {
		return status
	}
	alive := f.alive()
	status.ToppedUp = record.TotalTopUps()
	status.Free = record.Available()
	status.Spent = record.Closed
	for name, holder := range record.Holders {
		router, err := id.ParseRouter(name)
		if err != nil {
			continue
		}
		state := "live"
		if !alive[router] {
			state = "retiring"
			status.InDoubt += holder.InDoubt()
		}
		status.Granted += holder.Granted
		status.Spent += holder.Spent
		status.Holders = append(status.Holders, opsapi.HolderStatus{
			Router: router, Granted: holder.Granted, Spent: holder.Spent, State: state,
		})
	}
	slices.SortFunc(status.Holders, func(a, b opsapi.HolderStatus) int {
		return strings.Compare(a.Router.String(), b.Router.String())
	})
	return status
}

// peers lists the other living routers.
func (f *fleet) peers() []member.Peer {
	var peers []member.Peer
	_ = f.router.loop.Inspect(func(c *core.Core) { peers = c.Peers() })
	return peers
}

func (f *fleet) alive() map[id.Router]bool {
	alive := map[id.Router]bool{f.router.self: true}
	for _, p := range f.peers() {
		alive[p.Router] = true
	}
	return alive
}

// Routers implements opsapi.Fleet.
func (f *fleet) Routers(context.Context) ([]opsapi.RouterStatus, error) {
	var status []opsapi.RouterStatus
	err := f.router.loop.Inspect(func(c *core.Core) {
		for _, p := range append(c.Peers(), c.Self()) {
			status = append(status, opsapi.RouterStatus{
				Router:        p.Router,
				FailureDomain: p.FailureDomain,
				CallerAddress: p.CallerAddress,
				State:         string(p.State),
				Revision:      p.Revision,
				HeardAt:       c.HeardAt(p.Router.VM),
			})
		}
	})
	slices.SortFunc(status, func(a, b opsapi.RouterStatus) int {
		return strings.Compare(a.Router.String(), b.Router.String())
	})
	return status, err
}

// Bills implements opsapi.Fleet: the recent bills that the living routers made or
// hold for others, each once.
func (f *fleet) Bills(ctx context.Context, filter opsapi.BillFilter) ([]opsapi.BillStatus, error) {
	msg := core.ListBillsMsg{Filter: bill.Filter{Account: filter.Account, Since: filter.Since, Limit: filter.Limit}}
	lists := pool.NewWithResults[[]bill.Bill]().WithMaxGoroutines(pollsAtOnce)
	for _, p := range f.peers() {
		lists.Go(func() []bill.Bill {
			reply, err := f.caller.Call(ctx, p.LinkAddress, p.Router, msg)
			if err != nil {
				return nil
			}
			return reply.(core.ListBillsReply).Bills
		})
	}
	var own []bill.Bill
	if err := f.router.loop.Inspect(func(c *core.Core) { own = c.Bills(msg.Filter) }); err != nil {
		return nil, err
	}
	return billStatuses(append(lists.Wait(), own), filter.Limit), nil
}

// billStatuses merges lists of bills; a bill is listed by its router and by the
// witness.
func billStatuses(lists [][]bill.Bill, limit int) []opsapi.BillStatus {
	seen := make(map[id.Request]bool)
	out := []opsapi.BillStatus{}
	for _, list := range lists {
		for _, b := range list {
			if seen[b.Request] {
				continue
			}
			seen[b.Request] = true
			out = append(out, billStatus(b))
		}
	}
	slices.SortFunc(out, func(a, b opsapi.BillStatus) int { return a.At.Compare(b.At) })
	if limit > 0 && len(out) > limit {
		out = out[len(out)-limit:]
	}
	return out
}

func billStatus(b bill.Bill) opsapi.BillStatus {
	return opsapi.BillStatus{
		Request:          b.Request,
		Account:          b.Account,
		Budget:           b.Budget,
		Router:           b.Router,
		PromptTokens:     b.Usage.PromptTokens,
		CompletionTokens: b.Usage.CompletionTokens,
		Total:            b.Tokens,
		At:               b.At,
	}
}

// Ready implements opsapi.Fleet.
func (f *fleet) Ready() (bool, string) {
	s := f.router.loop.Snapshot()
	switch {
	case s.Ready:
		return true, ""
	case s.Draining:
		return false, "draining"
	case s.Revision == 0:
		return false, "no configuration read yet"
	}
	return false, "no witness yet: another router must be reachable, and the key-value service"
}
