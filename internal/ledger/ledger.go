// Package ledger commits operations on budgets to the platform's key-value
// service. The operations themselves are pure and idempotent (package budget).
package ledger

import (
	"context"
	"time"

	"chicorytiller.example/chicorytiller/internal/bill"
	"chicorytiller.example/chicorytiller/internal/budget"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/platform"
	"chicorytiller.example/chicorytiller/internal/shardkv"
)

// Errors of commits. Test with errors.Is.
var (
	// ErrNotWritten: nothing of the commit was written.
	ErrNotWritten = shardkv.ErrNotWritten
	// ErrUnknown: the commit may have been written. Operations are idempotent:
	// committing the same ones again finds out.
	ErrUnknown = shardkv.ErrUnknown
)

// Result is a commit that is durable.
type Result struct {
	// Errs has one entry an operation, nil where it took effect (now or earlier).
	Errs []error
	// Records are the durable records of the budgets that the operations name,
	// as of this commit. They are the caller's own copies.
	Records map[id.Budget]*budget.Record
}

// Ledger commits to all shards of budgets. It is safe for concurrent use.
type Ledger struct {
	store  *shardkv.Store[*budget.Shard]
	policy budget.Policy
}

// New makes a ledger of the given number of shards, which is fixed for a fleet.
func New(kv platform.KV, shards int, policy budget.Policy) *Ledger {
	key := func(index int) string { return budget.ShardKey(budget.ShardIndex(index)) }
	return &Ledger{store: shardkv.New(kv, shards, key, budget.Decode), policy: policy}
}

// Shards is the number of shards.
func (l *Ledger) Shards() int {
	return l.store.Count()
}

// ShardOf tells which shard holds a budget.
func (l *Ledger) ShardOf(b id.Budget) budget.ShardIndex {
	return budget.ShardOf(b, l.Shards())
}

// Read reads one shard from the service.
func (l *Ledger) Read(ctx context.Context, index budget.ShardIndex) (*budget.Shard, error) {
	return l.store.Read(ctx, int(index))
}

// Commit applies ops to one shard and returns once they are durable.
func (l *Ledger) Commit(ctx context.Context, index budget.ShardIndex, ops []budget.Op) (Result, error) {
	var result Result
	err := l.store.Update(ctx, int(index), func(content *budget.Shard) bool {
		var changed bool
		result, changed = l.apply(content, ops)
		return changed
	})
	return result, err
}

// RetireHolder closes the grants of a settled router in all budgets of one shard:
// a budget that sums names was spent by that many tokens, any other by none.
func (l *Ledger) RetireHolder(ctx context.Context, index budget.ShardIndex, holder id.Router, sums bill.Sums, at time.Time) error {
	var failed error
	err := l.store.Update(ctx, int(index), func(content *budget.Shard) bool {
		var result Result
		var changed bool
		result, changed = l.apply(content, retirements(content, holder, sums, at))
		failed = firstError(result.Errs)
		return changed
	})
	if err != nil {
		return err
	}
	return failed
}

func retirements(content *budget.Shard, holder id.Router, sums bill.Sums, at time.Time) []budget.Op {
	var ops []budget.Op
	for b, record := range content.Budgets {
		if _, holds := record.Holders[holder.String()]; holds {
			ops = append(ops, budget.Retire{Budget: b, Holder: holder, Spent: sums[b], At: at})
		}
	}
	return ops
}

func (l *Ledger) apply(content *budget.Shard, ops []budget.Op) (Result, bool) {
	result := Result{Errs: make([]error, len(ops)), Records: make(map[id.Budget]*budget.Record, len(ops))}
	anyChanged := false
	for i, op := range ops {
		changed, err := content.Apply(op, l.policy)
		result.Errs[i] = err
		anyChanged = anyChanged || changed
	}
	for _, op := range ops {
		b := op.BudgetID()
		if record, found := content.Budgets[b]; found {
			result.Records[b] = record
		}
	}
	return result, anyChanged
}

func firstError(errs []error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
