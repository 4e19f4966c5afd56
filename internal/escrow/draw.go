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
	figures []GrantEntry
	records []Record
	// pendingRevision is what each grant had before this transaction.
	pendingRevision []int64
	// closedGrants are of this VM's dead incarnations that the transaction closes.
	closedGrants []closedGrant
	ledger       Ledger
	contact      bool // the contact key is written
	txn          store.Txn
}

// plan works out the write that is due now, if any.
func (m *GrantManager) plan(refreshLedger bool) (draw, bool) {
	budgets := m.o.Budgets()
	now := m.o.Clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped || len(budgets) == 0 {
		return draw{}, false
	}
	accounts := make([]string, 0, len(budgets))
	for account := range budgets {
		accounts = append(accounts, account)
	}
	sort.Strings(accounts)
	lastContact := m.lastContact
	if !m.storeDown {
		lastContact = now
	}
	d := draw{ledger: Ledger{Format: ledgerFormat, Incarnation: m.o.Incarnation, Address: m.o.Address, Contact: lastContact,
		Allowances: make(map[string]Allowance, len(accounts))}}
	holdsTokens := m.holdsTokens(budgets)
	m.idle = !holdsTokens
	due := refreshLedger && (m.storeDown || holdsTokens)
	topUp := refillThreshold
	if refreshLedger {
		topUp = topUpThreshold
	}
	for _, account := range accounts {
		g := m.grant(account)
		g.updateRate(now.Steady)
		as := m.role(g)
		granted, wanted := g.plan(budgets[account], as, topUp)
		// An unanswered write must be followed by another of the same record: that
		// moves the revision, after which the first one can't land any more.
		// What a predecessor on this VM left is freed at once, whoever is home now.
		wanted = wanted || g.record.HasOtherEntries(m.o.VM, m.o.Incarnation)
		wanted = wanted || refreshLedger && !m.storeDown && g.needsReport(g.record.GrantEntry(m.o.VM, m.o.Incarnation), budgets[account])
		if (wanted || g.pendingRevision != noPendingWrite) && g.recordKnown && len(d.grants) < maxTxnAccounts {
			m.addGrant(&d, g, granted)
			due = true
		} else {
			granted = g.granted
		}
		ceiling, short := g.nextCeiling(granted, budgets[account], as, m.roundTrip)
		next := Allowance{Ceiling: ceiling, OutageRate: g.nextOutageRate(budgets[account])}
		if as == home {
			next.OutageReserve = int64(outageReserveShare * float64(g.remaining(budgets[account])))
		}
		if m.storeDown {
			// What waits or is refused in an outage lowers the rate, and with it what
			// may be spent; nothing is gained by stating less.
			next = Allowance{max(next.Ceiling, g.allowance.Ceiling), max(next.OutageRate, g.allowance.OutageRate), g.allowance.OutageReserve}
		}
		d.ledger.Allowances[account] = next
		due = due || short
	}
	if !due {
		return draw{}, false
	}
	m.lastContact = lastContact
	m.lowerAllowances(d.ledger)
	key := m.o.Prefix + ledgerKeyPrefix + m.o.VM
	d.txn.Expect = append(d.txn.Expect, store.Expect{Key: key, Revision: store.Revision(m.ledgerRevision)})
	d.txn.Puts = append(d.txn.Puts, store.Put{Key: key, Value: d.ledger.Encode()})
	if m.contactLease != 0 && !m.contactWritten {
		contact := store.Put{Key: m.o.Prefix + contactKeyPrefix + m.o.VM, Value: []byte(m.o.Incarnation), Lease: m.contactLease}
		d.txn.Puts = append(d.txn.Puts, contact)
		d.contact = true
	}
	return d, true
}

// lowerAllowances holds this router to the allowances of a ledger that is about to be written, where
// they are lowerAllowances than the present ones. The ledger may land whatever becomes of its
// answer; higher allowances count only once they are stored.
func (m *GrantManager) lowerAllowances(ledger Ledger) {
	for account, next := range ledger.Allowances {
		g := m.grant(account)
		g.allowance = g.allowance.elementwiseMin(next)
	}
}

// minFreeableShare is the part of a budget that a successor should be able to free. A router
// that is no home holds less than that for the moment between the end of a request and the
// next sweep, on and on; a write for it every time would cost more calls than all homes'.
const minFreeableShare = 0.005

// holdsTokens says whether this router was granted anything that it has not used, or holdsTokens for
// others. One that only borrows, or has used up what it once drew, needs no ledger: its
// successor has nothing to free.
func (m *GrantManager) holdsTokens(budgets map[string]int64) bool {
	for account, g := range m.grants {
		unused := float64(g.granted - g.used())
		if m.role(g) != borrower || g.pendingRevision != noPendingWrite || g.granted > 0 && unused > minFreeableShare*float64(budgets[account]) {
			return true
		}
	}
	return false
}

// addGrant puts one account's new figure into a transaction. A smaller grant counts
// from now on, before it is stored; a larger one only once it is stored.
func (m *GrantManager) addGrant(d *draw, g *grant, granted int64) {
	g.seq++
	figure := GrantEntry{Seq: g.seq, Granted: granted, Spent: g.netSpent()}
	next := g.record.WithEntry(m.o.VM, m.o.Incarnation, figure, m.maxSpent(d, g))
	g.granted = min(g.granted, granted)
	d.pendingRevision = append(d.pendingRevision, g.pendingRevision)
	g.pendingRevision = g.revision
	d.grants = append(d.grants, g)
	d.figures = append(d.figures, figure)
	d.putRecord(m.accountKey(g), g.revision, next)
}

// putRecord adds the write of a record under the condition that it is at a revision.
func (d *draw) putRecord(key string, revision int64, next Record) {
	d.records = append(d.records, next)
	d.txn.Expect = append(d.txn.Expect, store.Expect{Key: key, Revision: store.Revision(revision)})
	d.txn.Puts = append(d.txn.Puts, store.Put{Key: key, Value: next.Encode()})
}

func (m *GrantManager) accountKey(g *grant) string {
	return m.o.Prefix + AccountKeyPrefix + g.account
}

// closedGrant is how one account's grant of a dead incarnation was closed.
type closedGrant struct {
	account, incarnation string
	figure               GrantEntry
	bound                SpendingBound
}

// maxSpent judges this VM's dead incarnations by the ledger that the last left, and notes
// in the draw what came of it.
func (m *GrantManager) maxSpent(d *draw, g *grant) MaxSpentFunc {
	return func(incarnation string, figure GrantEntry) int64 {
		judged := m.predecessorLedger.BoundSpending(g.account, incarnation, m.o.Address, figure.Granted, m.startClock, m.leaseHolder == incarnation)
		d.closedGrants = append(d.closedGrants, closedGrant{g.account, incarnation, figure, judged})
		return judged.Max
	}
}

// logClosedGrants tells what became of the grants of dead incarnations, once that is stored.
func (m *GrantManager) logClosedGrants(d draw) {
	for _, e := range d.closedGrants {
		m.o.Log.Emit(event.GrantClosed, slog.String(event.KeyBudget, e.account), slog.String("holder", e.incarnation),
			slog.Int64("granted", e.figure.Granted), slog.Int64("spent", e.figure.Spent), slog.Int64("judged", e.bound.Max),
			slog.Int64("ceiling", e.bound.Ceiling), slog.Int64("age_ms", e.bound.Age.Milliseconds()),
			slog.String("by", string(e.bound.Basis)))
	}
}

// commit runs the transaction and says whether it landed.
func (m *GrantManager) commit(ctx context.Context, d draw) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := m.o.Clock().Steady
	result, err := m.o.Store.Commit(ctx, d.txn)
	m.noteContact(err)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil || errors.Is(err, store.ErrConflict) {
		m.noteRoundTrip(m.o.Clock().Steady - sent)
	}
	switch {
	case err == nil:
		m.applyCommit(d, result)
	case errors.Is(err, store.ErrConflict):
		m.applyConflict(d, result)
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrLeaseGone):
		// Nothing was done: the records are still as known.
		if errors.Is(err, store.ErrLeaseGone) {
			m.contactLease, m.contactWritten = 0, false
		}
		for i, g := range d.grants {
			g.pendingRevision = d.pendingRevision[i]
			g.applyRecord(g.record, g.revision, g.record.GrantEntry(m.o.VM, m.o.Incarnation))
		}
	default:
		m.ledgerKnown = false
		for _, g := range d.grants {
			g.recordKnown = false
		}
		m.o.Log.Emit(event.DrawUnknown, slog.Int("accounts", len(d.grants)), slog.Any(event.KeyCause, err))
	}
	return err == nil
}

// noteRoundTrip follows how long a write takes that is answered. A store may be slow for
// seconds: ceilings are then higher by what is used during a write, and reservations wait
// for it. A call that ran out tells nothing of that: counted, it held ceilings up by a second
// of use after each outage, and that was lost where all routers died then.
func (m *GrantManager) noteRoundTrip(took time.Duration) {
	const fall = 0.8 // a write's part in what is remembered after it
	m.roundTrip = max(took, time.Duration(fall*float64(m.roundTrip)))
}

func (m *GrantManager) applyCommit(d draw, result store.Result) {
	m.ledgerRevision, m.conflicts = int64(result.Revision), 0
	m.contactWritten = m.contactWritten || d.contact
	m.logClosedGrants(d)
	for account, allowance := range d.ledger.Allowances {
		m.grant(account).allowance = allowance
	}
	for i, g := range d.grants {
		g.applyRecord(d.records[i], int64(result.Revision), d.figures[i])
		m.o.Log.Emit(event.DrawLanded, slog.String(event.KeyBudget, g.account), slog.Int64("granted", g.granted),
			slog.Int64("spent", g.spent), slog.Int64("reserved", g.reserved), slog.Int64("revision", g.revision))
	}
}

// applyConflict takes the records as they are and tries again in the next round.
func (m *GrantManager) applyConflict(d draw, result store.Result) {
	m.conflicts++
	current := make(map[string]store.Item, len(result.Current))
	for _, item := range result.Current {
		current[item.Key] = item
	}
	if item, found := current[m.o.Prefix+ledgerKeyPrefix+m.o.VM]; found {
		m.applyLedgerItem(item)
	}
	for i, g := range d.grants {
		g.pendingRevision = d.pendingRevision[i] // this transaction is answered: it never lands
		item, found := current[m.accountKey(g)]
		switch {
		case found:
			m.applyRecordItem(g, item)
		case g.revision == 0:
			g.applyRecord(g.record, 0, GrantEntry{})
		default:
			g.recordKnown = false
		}
	}
	m.wakeUp()
}

// noteContact notes whether the store answered.
func (m *GrantManager) noteContact(err error) {
	reached := err == nil || errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrLeaseGone)
	m.mu.Lock()
	defer m.mu.Unlock()
	if reached == !m.storeDown {
		return
	}
	m.storeDown = !reached
	if reached {
		m.o.Log.Emit(event.StoreReachable, slog.String("follows", "budgets"))
		return
	}
	m.o.Log.Emit(event.StoreUnreachable, slog.String("follows", "budgets"), slog.Any(event.KeyCause, err))
}
