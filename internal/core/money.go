package core

import (
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/budget"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/ledger"
)

// money is the state of the draws on budgets: at most one commit for each shard
// is under way, the rest waits and goes with the next one.
type money struct {
	waiting map[budget.ShardIndex][]budget.Draw
	busy    map[budget.ShardIndex]bool
	holdAt  map[budget.ShardIndex]time.Time // no commit before then
	// failed are the budgets whose last draw could not be committed, and why.
	failed map[id.Budget]error
}

// commitRetry is the pause before a commit of unknown outcome is sent again.
const commitRetry = 200 * time.Millisecond

func newMoney() money {
	return money{
		waiting: make(map[budget.ShardIndex][]budget.Draw),
		busy:    make(map[budget.ShardIndex]bool),
		holdAt:  make(map[budget.ShardIndex]time.Time),
		failed:  make(map[id.Budget]error),
	}
}

// pumpMoney sends the draws that are due.
func (c *Core) pumpMoney() {
	if c.stage == stageFenced {
		return
	}
	for _, draw := range c.wallet.Due(c.now) {
		shard := budget.ShardOf(draw.Budget, c.config.BudgetShards)
		c.money.waiting[shard] = append(c.money.waiting[shard], draw)
		c.emit(event.DrawIssued,
			slog.String(event.KeyBudget, string(draw.Budget)),
			slog.Uint64("draw", draw.Seq),
			slog.Int64("target", int64(draw.Target)))
	}
	for _, b := range c.wallet.Coverable() {
		// Requests that ended below their reservations freed enough.
		c.unpark(b)
	}
	for _, shard := range sortedKeys(c.money.waiting) {
		if c.money.busy[shard] || c.now.Before(c.money.holdAt[shard]) {
			continue
		}
		draws := c.money.waiting[shard]
		delete(c.money.waiting, shard)
		c.commitDraws(shard, draws)
	}
}

func (c *Core) commitDraws(shard budget.ShardIndex, draws []budget.Draw) {
	c.money.busy[shard] = true
	ops := make([]budget.Op, len(draws))
	for i, draw := range draws {
		ops[i] = draw
	}
	c.commit(shard, ops, func(result ledger.Result, err error) {
		delete(c.money.busy, shard)
		c.drawsCommitted(shard, draws, result, err)
	})
}

// drawsCommitted takes in the outcome of a commit of draws.
func (c *Core) drawsCommitted(shard budget.ShardIndex, draws []budget.Draw, result ledger.Result, err error) {
	switch {
	case err == nil:
		for i, draw := range draws {
			c.drawDone(draw, result.Errs[i], result.Records[draw.Budget])
		}
	case errors.Is(err, ledger.ErrUnknown):
		// The same draws again: they are idempotent, so that sending them twice
		// counts once, and the second answer tells what became of the first.
		c.money.waiting[shard] = append(draws, c.money.waiting[shard]...)
		c.money.holdAt[shard] = c.after(commitRetry)
		c.parkedGiveUp(draws, err)
	default:
		for _, draw := range draws {
			c.wallet.Failed(c.now, draw.Budget, err)
		}
		c.parkedGiveUp(draws, err)
	}
}

// parkedGiveUp refuses what waits for draws that could not be committed.
func (c *Core) parkedGiveUp(draws []budget.Draw, err error) {
	for _, draw := range draws {
		c.money.failed[draw.Budget] = err
		c.emit(event.DrawFailed, slog.String(event.KeyBudget, string(draw.Budget)), slog.Any("error", err))
		c.refuseParked(draw.Budget, err)
	}
}

func (c *Core) drawDone(draw budget.Draw, err error, record *budget.Record) {
	b := draw.Budget
	delete(c.money.failed, b)
	c.wallet.Release(c.now, id.Request("probe-"+b))
	if errors.Is(err, budget.ErrRetired) {
		c.wallet.Retired(b)
		c.fence("a budget's record says that this router is retired")
		return
	}
	if errors.Is(err, budget.ErrUnknownBudget) {
		// Never topped up: the wallet now knows that it is empty and says so.
		c.wallet.Failed(c.now, b, err)
		c.unpark(b)
		return
	}
	if err != nil || record == nil {
		c.wallet.Failed(c.now, b, err)
		c.refuseParked(b, errors.WithMessage(orMissing(err), string(b)))
		return
	}
	view := record.ViewFor(c.self, c.now, c.config.Budget)
	c.wallet.LandedView(c.now, b, view)
	c.emit(event.DrawLanded,
		slog.String(event.KeyBudget, string(b)),
		slog.Uint64("draw", draw.Seq),
		slog.Int64("granted", int64(view.Holder.Granted)),
		slog.Int64("spent", int64(view.Holder.Spent)),
		slog.Int64("available", int64(view.Available)))
	c.unpark(b)
	if len(c.parked[b]) > 0 {
		c.callBack(b, record)
	}
}

// callBack asks the routers that hold grants of a budget to give back what they
// don't need. Failure: the last of a budget lies idle at one router, which looks at
// the record once a minute, while another refuses for lack of it.
func (c *Core) callBack(b id.Budget, record *budget.Record) {
	for _, holder := range record.OtherHolders(c.self) {
		peer, alive := c.alivePeer(holder)
		if alive {
			callPeer(c, peer, CallBackMsg{Budget: b}, func(CallBackReply, error) {})
		}
	}
}

func orMissing(err error) error {
	if err != nil {
		return err
	}
	return budget.ErrUnknownBudget
}

// Balances is this router's view of its grants, for operators.
func (c *Core) Balances(budgets []id.Budget) map[id.Budget]budget.Balance {
	balances := make(map[id.Budget]budget.Balance, len(budgets))
	for _, b := range budgets {
		balances[b] = c.wallet.Balance(b)
	}
	return balances
}
