package budget

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/id"
)

// ShardIndex numbers the shards from 0.
type ShardIndex int

// ShardOf tells which of the given number of shards holds a budget. The number
// is fixed for the life of a fleet: another one would look in other shards.
func ShardOf(b id.Budget, shards int) ShardIndex {
	if shards < 1 {
		return 0
	}
	return ShardIndex(xxhash.Sum64String(string(b)) % uint64(shards))
}

// ShardKey is the shard's key in the key-value service.
func ShardKey(i ShardIndex) string {
	return fmt.Sprintf("budget/%03d", int(i))
}

// Format is the version of a shard's encoding that this program writes.
const Format = 1

// Shard is the durable state of many budgets, kept in one value.
type Shard struct {
	Format  int
	Budgets map[id.Budget]*Record
}

// NewShard returns a shard without budgets.
func NewShard() *Shard {
	return &Shard{Format: Format, Budgets: map[id.Budget]*Record{}}
}

// Op is one change of a shard: a TopUp, a Draw or a Retire.
type Op interface {
	// BudgetID is the budget that the change is about.
	BudgetID() id.Budget
	// apply changes r, which is a copy. It may be nil: no record yet.
	apply(r *Record, policy Policy) (result *Record, changed bool, err error)
}

// Apply makes one change. A repeat of a change already made succeeds with
// changed false. On an error the shard is as it was.
func (s *Shard) Apply(op Op, policy Policy) (changed bool, err error) {
	b := op.BudgetID()
	result, changed, err := op.apply(s.Budgets[b].clone(), policy)
	if err != nil {
		return false, errors.Wrapf(err, "%T on %s", op, b)
	}
	if !changed {
		return false, nil
	}
	// Without this check a fault in an operation would become durable and let
	// routers spend money nobody paid. The shard keeps the old record instead.
	if err := result.check(); err != nil {
		return false, errors.Wrapf(err, "%T on %s", op, b)
	}
	s.Budgets[b] = result
	return true, nil
}

// Check tells whether each record keeps the invariants.
func (s *Shard) Check() error {
	for b, record := range s.Budgets {
		if b == "" || record == nil {
			return errors.Wrap(ErrInvariant, "budget without an id or a record")
		}
		if err := record.check(); err != nil {
			return errors.Wrapf(err, "budget %s", b)
		}
	}
	return nil
}

// BudgetsOf lists the budgets in which a router holds a grant, in order: those
// that its settlement has to retire it in.
func (s *Shard) BudgetsOf(router id.Router) []id.Budget {
	var found []id.Budget
	name := router.String()
	for _, b := range sortedKeys(s.Budgets) {
		if _, holds := s.Budgets[b].Holders[name]; holds {
			found = append(found, b)
		}
	}
	return found
}

// durableTime is t as a record keeps it, so that it is the same once decoded.
func durableTime(t time.Time) time.Time {
	return time.UnixMilli(t.UnixMilli()).UTC()
}
