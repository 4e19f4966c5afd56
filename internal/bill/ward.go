package bill

import (
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/dedup"
	"chicorytiller.example/chicorytiller/internal/id"
)

// ErrSumsBroken: the sums are not base + held bills. It is an invariant of the
// program; a witness that finds it broken must not vouch for its sums.
var ErrSumsBroken = errors.New("bill: sums differ from base and held bills")

// ward is what a witness holds for one router incarnation.
type ward struct {
	epoch     uint64 // zero: never adopted, only sealed
	sealed    bool
	vouched   bool // sealed while this was the witness that the record named
	settled   bool
	settledAt time.Time
	floor     uint64 // bills with a lower Seq will not be sent again
	sums      Sums
	bills     map[id.Request]entry
	keys      map[dedup.Key]id.Request
	moved     map[dedup.Key]time.Time
	keyed     []id.Request // with a key, by time held
	plain     []id.Request // without a key, by time held

	baseTotal id.Tokens
	heldTotal id.Tokens // of all bills held in this epoch, forgotten ones too
	sumTotal  id.Tokens
}

type entry struct {
	bill Bill
	at   time.Time
}

func newWard(epoch uint64, base Sums) *ward {
	total := base.Total()
	return &ward{
		epoch:     epoch,
		sums:      base.Clone(),
		bills:     make(map[id.Request]entry),
		keys:      make(map[dedup.Key]id.Request),
		moved:     make(map[dedup.Key]time.Time),
		baseTotal: total,
		sumTotal:  total,
	}
}

func (w *ward) hold(now time.Time, bill Bill, keep time.Duration, limit int) HoldResult {
	// Failure: the router was paused, others settled its budgets from the sums
	// told at the seal, and its bill would now come on top. Refused, it can't
	// end the answer, so nobody got an answer that was not billed.
	if w.sealed {
		return RefusedSealed
	}
	// Failure: a bill sent in an earlier epoch is in the base sums already and
	// comes late: it would count twice.
	if bill.Mark.Epoch != w.epoch {
		return RefusedNotAdopted
	}
	w.floor = max(w.floor, bill.Mark.Floor)
	if _, found := w.bills[bill.Request]; found {
		return AlreadyHeld
	}
	// Failure: a copy of a bill arrives after the details were forgotten and
	// would count twice. Only bills below the floor are forgotten.
	if bill.Mark.Seq < w.floor {
		return RefusedStale
	}
	if _, moved := w.moved[bill.Key]; moved && bill.Key != "" {
		return RefusedMoved
	}
	if len(w.bills) >= limit && !w.makeRoom(now, keep) {
		return RefusedFull
	}
	w.keepDetails(now, bill)
	w.count(bill)
	return Held
}

func (w *ward) keepDetails(now time.Time, bill Bill) {
	w.bills[bill.Request] = entry{bill: bill, at: now}
	if bill.Key == "" {
		w.plain = append(w.plain, bill.Request)
		return
	}
	w.keys[bill.Key] = bill.Request
	w.keyed = append(w.keyed, bill.Request)
}

func (w *ward) count(bill Bill) {
	w.sums[bill.Budget] += bill.Tokens
	w.sumTotal += bill.Tokens
	w.heldTotal += bill.Tokens
}

// forget drops details older than keep that the router will not send again.
func (w *ward) forget(now time.Time, keep time.Duration) {
	w.keyed = w.dropWhile(w.keyed, func(e entry) bool { return now.Sub(e.at) >= keep })
	w.plain = w.dropWhile(w.plain, func(e entry) bool { return now.Sub(e.at) >= keep })
	for key, at := range w.moved {
		if !w.sealed && now.Sub(at) >= keep {
			delete(w.moved, key)
		}
	}
}

// makeRoom drops one bill before its time, but never one with a key: ClaimKey
// would take the key for unbilled, and its retry would be billed again.
func (w *ward) makeRoom(now time.Time, keep time.Duration) bool {
	before := len(w.bills)
	w.forget(now, keep)
	if len(w.bills) < before {
		return true
	}
	first := true
	w.plain = w.dropWhile(w.plain, func(entry) bool {
		drop := first
		first = false
		return drop
	})
	return len(w.bills) < before
}

// dropWhile drops bills from the front of a queue while the condition holds and
// they are below the floor.
func (w *ward) dropWhile(queue []id.Request, condition func(entry) bool) []id.Request {
	drop := 0
	for drop < len(queue) {
		e := w.bills[queue[drop]]
		if e.bill.Mark.Seq >= w.floor || !condition(e) {
			break
		}
		delete(w.bills, queue[drop])
		if e.bill.Key != "" && w.keys[e.bill.Key] == e.bill.Request {
			delete(w.keys, e.bill.Key)
		}
		drop++
	}
	return dropFront(queue, drop)
}

// check compares running totals, which costs nothing a bill. The tests compare
// each budget's sum with a ledger.
func (w *ward) check() error {
	if w.sumTotal != w.baseTotal+w.heldTotal {
		return errors.Wrapf(ErrSumsBroken, "sums %d, base %d, held %d", w.sumTotal, w.baseTotal, w.heldTotal)
	}
	return nil
}
