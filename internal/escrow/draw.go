package escrow

import (
	"context"
	"log/slog"
	"sort"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/store"
)

// draw is one transaction: new figures of some accounts, and the ledger.
type draw struct {
	grants  []*grant
	figures []Figure
	records []Record
	// pendingAt is what each grant had before this transaction.
	pendingAt []int64
	// ends are of this VM's dead incarnations that the transaction closes.
	ends    []end
	ledger  Ledger
	contact bool // the contact key is written
	txn     store.Txn
}

// plan works out the write that is due now, if any.
func (k *Keeper) plan(refresh bool) (draw, bool) {
	budgets := k.o.Budgets()
	now := k.o.Clock()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopped || len(budgets) == 0 {
		return draw{}, false
	}
	accounts := make([]string, 0, len(budgets))
	for account := range budgets {
		accounts = append(accounts, account)
	}
	sort.Strings(accounts)
	lastContact := k.lastContact
	if !k.away {
		lastContact = now
	}
	d := draw{ledger: Ledger{Format: ledgerFormat, Incarnation: k.o.Incarnation, Address: k.o.Address, Contact: lastContact,
		Allowances: make(map[string]Allowance, len(accounts))}}
	holds := k.holds(budgets)
	k.idle = !holds
	due := refresh && (k.away || holds)
	topUp := refillBelow
	if refresh {
		topUp = topUpBelow
	}
	for _, account := range accounts {
		p := k.grant(account)
		p.updateRate(now.Steady)
		as := k.role(p)
		granted, wanted := p.plan(budgets[account], as, topUp)
		// An unanswered write must be followed by another of the same record: that
		// moves the revision, after which the first one can't land any more.
		// What a predecessor on this VM left is freed at once, whoever is home now.
		wanted = wanted || p.record.Left(k.o.VM, k.o.Incarnation)
		wanted = wanted || refresh && !k.away && p.isUntold(p.record.Figure(k.o.VM, k.o.Incarnation), budgets[account])
		if (wanted || p.pendingAt != noWrite) && p.decided && len(d.grants) < txnAccounts {
			k.add(&d, p, granted)
			due = true
		} else {
			granted = p.granted
		}
		ceiling, short := p.raised(granted, budgets[account], as, k.roundTrip)
		next := Allowance{Ceiling: ceiling, OutageRate: p.newOutageRate(budgets[account])}
		if as == home {
			next.Reserve = int64(reserveShare * float64(p.left(budgets[account])))
		}
		if k.away {
			// What waits or is refused in an outage lowers the rate, and with it what
			// may be spent; nothing is gained by stating less.
			next = Allowance{max(next.Ceiling, p.allowed.Ceiling), max(next.OutageRate, p.allowed.OutageRate), p.allowed.Reserve}
		}
		d.ledger.Allowances[account] = next
		due = due || short
	}
	if !due {
		return draw{}, false
	}
	k.lastContact = lastContact
	k.lower(d.ledger)
	key := k.o.Prefix + ledgerKeys + k.o.VM
	d.txn.Expect = append(d.txn.Expect, store.Expect{Key: key, Revision: store.Revision(k.ledgerRevision)})
	d.txn.Puts = append(d.txn.Puts, store.Put{Key: key, Value: d.ledger.Encode()})
	if k.contactLease != 0 && !k.contactPut {
		contact := store.Put{Key: k.o.Prefix + contactKeys + k.o.VM, Value: []byte(k.o.Incarnation), Lease: k.contactLease}
		d.txn.Puts = append(d.txn.Puts, contact)
		d.contact = true
	}
	return d, true
}

// lower holds this router to the allowances of a ledger that is about to be written, where
// they are lower than the present ones. The ledger may land whatever becomes of its
// answer; higher allowances count only once they are stored.
func (k *Keeper) lower(ledger Ledger) {
	for account, next := range ledger.Allowances {
		p := k.grant(account)
		p.allowed = p.allowed.least(next)
	}
}

// worthFreeing is the part of a budget that a successor should be able to free. A router
// that is no home holds less than that for the moment between the end of a request and the
// next sweep, on and on; a write for it every time would cost more calls than all homes'.
const worthFreeing = 0.005

// holds says whether this router was granted anything that it has not used, or holds for
// others. One that only borrows, or has used up what it once drew, needs no ledger: its
// successor has nothing to free.
func (k *Keeper) holds(budgets map[string]int64) bool {
	for account, p := range k.grants {
		unused := float64(p.granted - p.used())
		if k.role(p) != borrower || p.pendingAt != noWrite || p.granted > 0 && unused > worthFreeing*float64(budgets[account]) {
			return true
		}
	}
	return false
}

// add puts one account's new figure into a transaction. A smaller grant counts
// from now on, before it is stored; a larger one only once it is stored.
func (k *Keeper) add(d *draw, p *grant, granted int64) {
	p.seq++
	figure := Figure{Seq: p.seq, Granted: granted, Spent: p.netSpent()}
	next := p.record.With(k.o.VM, k.o.Incarnation, figure, k.mostSpent(d, p))
	p.granted = min(p.granted, granted)
	d.pendingAt = append(d.pendingAt, p.pendingAt)
	p.pendingAt = p.revision
	d.grants = append(d.grants, p)
	d.figures = append(d.figures, figure)
	d.put(k.accountKey(p), p.revision, next)
}

// put adds the write of a record under the condition that it is at a revision.
func (d *draw) put(key string, revision int64, next Record) {
	d.records = append(d.records, next)
	d.txn.Expect = append(d.txn.Expect, store.Expect{Key: key, Revision: store.Revision(revision)})
	d.txn.Puts = append(d.txn.Puts, store.Put{Key: key, Value: next.Encode()})
}

func (k *Keeper) accountKey(p *grant) string {
	return k.o.Prefix + AccountKeys + p.account
}

// end is how one account's grant of a dead incarnation was closed.
type end struct {
	account, incarnation string
	figure               Figure
	judged               Judgement
}

// mostSpent judges this VM's dead incarnations by the ledger that the last left, and notes
// in the draw what came of it.
func (k *Keeper) mostSpent(d *draw, p *grant) MostSpent {
	return func(incarnation string, figure Figure) int64 {
		judged := k.predecessor.Judge(p.account, incarnation, k.o.Address, figure.Granted, k.born, k.leasedIncarnation == incarnation)
		d.ends = append(d.ends, end{p.account, incarnation, figure, judged})
		return judged.Most
	}
}

// logEnds tells what became of the grants of dead incarnations, once that is stored.
func (k *Keeper) logEnds(d draw) {
	for _, e := range d.ends {
		k.o.Log.Emit(event.GrantClosed, slog.String(event.KeyBudget, e.account), slog.String("holder", e.incarnation),
			slog.Int64("granted", e.figure.Granted), slog.Int64("spent", e.figure.Spent), slog.Int64("judged", e.judged.Most),
			slog.Int64("ceiling", e.judged.Ceiling), slog.Int64("age_ms", e.judged.Age.Milliseconds()),
			slog.String("by", string(e.judged.By)))
	}
}

// commit runs the transaction and says whether it landed.
func (k *Keeper) commit(ctx context.Context, d draw) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := k.o.Clock().Steady
	result, err := k.o.Store.Commit(ctx, d.txn)
	k.contact(err)
	k.mu.Lock()
	defer k.mu.Unlock()
	if err == nil || errors.Is(err, store.ErrConflict) {
		k.noteRoundTrip(k.o.Clock().Steady - sent)
	}
	switch {
	case err == nil:
		k.landed(d, result)
	case errors.Is(err, store.ErrConflict):
		k.conflicted(d, result)
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrLeaseGone):
		// Nothing was done: the records are still as known.
		if errors.Is(err, store.ErrLeaseGone) {
			k.contactLease, k.contactPut = 0, false
		}
		for i, p := range d.grants {
			p.pendingAt = d.pendingAt[i]
			p.learned(p.record, p.revision, p.record.Figure(k.o.VM, k.o.Incarnation))
		}
	default:
		k.ledgerKnown = false
		for _, p := range d.grants {
			p.decided = false
		}
		k.o.Log.Emit(event.DrawUnknown, slog.Int("accounts", len(d.grants)), slog.Any(event.KeyCause, err))
	}
	return err == nil
}

// noteRoundTrip follows how long a write takes that is answered. A store may be slow for
// seconds: ceilings are then higher by what is used during a write, and reservations wait
// for it. A call that ran out tells nothing of that: counted, it held ceilings up by a second
// of use after each outage, and that was lost where all routers died then.
func (k *Keeper) noteRoundTrip(took time.Duration) {
	const fall = 0.8 // a write's part in what is remembered after it
	k.roundTrip = max(took, time.Duration(fall*float64(k.roundTrip)))
}

func (k *Keeper) landed(d draw, result store.Result) {
	k.ledgerRevision, k.conflicts = int64(result.Revision), 0
	k.contactPut = k.contactPut || d.contact
	k.logEnds(d)
	for account, allowed := range d.ledger.Allowances {
		k.grant(account).allowed = allowed
	}
	for i, p := range d.grants {
		p.learned(d.records[i], int64(result.Revision), d.figures[i])
		k.o.Log.Emit(event.DrawLanded, slog.String(event.KeyBudget, p.account), slog.Int64("granted", p.granted),
			slog.Int64("spent", p.spent), slog.Int64("reserved", p.reserved), slog.Int64("revision", p.revision))
	}
}

// conflicted takes the records as they are and tries again in the next round.
func (k *Keeper) conflicted(d draw, result store.Result) {
	k.conflicts++
	current := make(map[string]store.Item, len(result.Current))
	for _, item := range result.Current {
		current[item.Key] = item
	}
	if item, found := current[k.o.Prefix+ledgerKeys+k.o.VM]; found {
		k.learnLedger(item)
	}
	for i, p := range d.grants {
		p.pendingAt = d.pendingAt[i] // this transaction is answered: it never lands
		item, found := current[k.accountKey(p)]
		switch {
		case found:
			k.learn(p, item)
		case p.revision == 0:
			p.learned(p.record, 0, Figure{})
		default:
			p.decided = false
		}
	}
	k.wakeUp()
}

// contact notes whether the store answered.
func (k *Keeper) contact(err error) {
	reached := err == nil || errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrLeaseGone)
	k.mu.Lock()
	defer k.mu.Unlock()
	if reached == !k.away {
		return
	}
	k.away = !reached
	if reached {
		k.o.Log.Emit(event.StoreReachable, slog.String("follows", "budgets"))
		return
	}
	k.o.Log.Emit(event.StoreUnreachable, slog.String("follows", "budgets"), slog.Any(event.KeyCause, err))
}
