package escrow

import (
	"context"
	"log/slog"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/store"
)

// draw is one transaction with the store: new grant entries of some accounts, and the
// ledger.
type draw struct {
	grants  []*grant
	entries []GrantEntry
	records []Record
	// pendingRevisions holds each grant's pendingRevision before this transaction.
	pendingRevisions []store.Revision
	// closedGrants are the grants of this VM's dead incarnations that it closes.
	closedGrants  []closedGrant
	ledger        Ledger
	writesContact bool       // it writes the contact key
	marker        *eraMarker // that it writes; nil: none
	txn           store.Txn
}

// plan returns the transaction that is due now, if any. With refreshLedger one is due
// whenever the router holds tokens or can't reach the store.
func (m *GrantManager) plan(refreshLedger bool) (draw, bool) {
	budgets := m.opts.Budgets()
	now := m.opts.Clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	accounts := m.accountsToSync(budgets)
	if m.stopped || len(accounts) == 0 {
		return draw{}, false
	}
	lastContact := m.lastContact
	if !m.storeDown {
		lastContact = now
	}
	era := m.era
	d := draw{ledger: Ledger{Format: ledgerFormat, Era: &era, Incarnation: m.opts.Incarnation, Address: m.opts.Address, Contact: lastContact,
		Allowances: make(map[string]Allowance, len(accounts))}}
	holdsTokens := m.holdsTokens(budgets)
	m.idle = !holdsTokens
	due := refreshLedger && (m.storeDown || holdsTokens)
	threshold := refillThreshold
	if refreshLedger {
		threshold = topUpThreshold
	}
	for _, account := range accounts {
		g := m.grant(account)
		if _, listed := budgets[account]; !listed {
			due = m.planUnlisted(&d, g) || due
			continue
		}
		g.updateRate(now.Steady)
		m.updateLowBudget(g, budgets[account])
		as := m.role(g)
		granted, wanted := g.plan(budgets[account], as, threshold)
		if m.isSettling() {
			granted, wanted = g.granted, false
		}
		// An unanswered write must be followed by another write of the same record: it
		// raises the revision, after which the first one can't take effect any more.
		// The grant of a predecessor on this VM is closed at once, also if another
		// router is the home now.
		wanted = wanted || g.record.HasOtherEntries(m.opts.VM, m.opts.Incarnation) && !m.isSettling()
		wanted = wanted || refreshLedger && !m.storeDown && g.needsReport(g.record.GrantEntry(m.opts.VM, m.opts.Incarnation), budgets[account])
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
		if headroom := g.lowCeilingHeadroom(budgets[account]); as == home && !g.isRationed() && headroom < math.MaxInt64 {
			next.Max = max(1, g.used()+headroom)
		}
		if m.storeDown {
			// Requests that wait or are refused during an outage lower the rate of use.
			// A lower allowance would only lead to more refusals.
			next = Allowance{max(next.Ceiling, g.allowance.Ceiling), max(next.OutageRate, g.allowance.OutageRate), g.allowance.OutageReserve, g.allowance.Max}
		}
		d.ledger.Allowances[account] = next
		due = due || short
	}
	if !due {
		return draw{}, false
	}
	m.lastContact = lastContact
	m.lowerAllowances(d.ledger)
	key := m.opts.Prefix + ledgerKeyPrefix + m.opts.VM
	d.txn.Conditions = append(d.txn.Conditions, store.Condition{Key: key, Revision: m.ledgerRevision})
	d.txn.Puts = append(d.txn.Puts, store.Put{Key: key, Value: d.ledger.Encode()})
	m.bindToEra(&d)
	if !m.contactLease.IsNone() && !m.contactWritten {
		contact := store.Put{Key: m.opts.Prefix + contactKeyPrefix + m.opts.VM, Value: []byte(m.opts.Incarnation), Lease: m.contactLease}
		d.txn.Puts = append(d.txn.Puts, contact)
		d.writesContact = true
	}
	return d, true
}

// accountsToSync returns the accounts for which this router has to write to the store: those that the configuration
// lists, then others of which it may hold a grant, or its predecessors on this VM. None are returned while no
// configuration is known (budgets is nil). The caller holds m.mu.
func (m *GrantManager) accountsToSync(budgets map[string]int64) []string {
	if budgets == nil {
		return nil
	}
	var unlisted []string
	for account, g := range m.grants {
		if _, listed := budgets[account]; !listed && g.isOnVM(m.opts.VM, m.opts.Incarnation) {
			unlisted = append(unlisted, account)
		}
	}
	slices.Sort(unlisted)
	return append(slices.Sorted(maps.Keys(budgets)), unlisted...)
}

// planUnlisted adds to the transaction what is due for an account that the configuration doesn't list, and reports
// whether anything is. The grant and its allowance stay as they are, since a later configuration may list the account
// again: the ledger must not say that nothing of the grant was used. The caller holds m.mu.
func (m *GrantManager) planUnlisted(d *draw, g *grant) (due bool) {
	due = g.pendingRevision != noPendingWrite || g.record.HasOtherEntries(m.opts.VM, m.opts.Incarnation) && !m.isSettling()
	due = due && g.recordKnown && len(d.grants) < maxTxnAccounts
	if due {
		m.addGrant(d, g, g.granted)
	}
	next := g.allowance
	next.Ceiling = max(next.Ceiling, min(g.granted, g.used()))
	d.ledger.Allowances[g.account] = next
	return due
}

// lowerAllowances lowers the allowances to those of a ledger that is about to be written,
// where these are lower. The ledger may be stored even if the response is lost; higher
// allowances take effect only once they are known to be stored.
func (m *GrantManager) lowerAllowances(ledger Ledger) {
	for account, next := range ledger.Allowances {
		g := m.grant(account)
		g.allowance = g.allowance.elementwiseMin(next)
	}
}

// minFreeableShare is the fraction of a budget above which a grant is worth a ledger, so
// that a successor can free it. A borrower repeatedly holds less than that between the end
// of a request and the next sweep. Ledgers for it would take more calls than those of all
// homes together.
const minFreeableShare = 0.005

// holdsTokens reports whether this router has unused tokens of its own grants or an unanswered
// write, or draws for other routers. A router that only borrows, or has used up its grants,
// needs no ledger: its successor has nothing to free.
func (m *GrantManager) holdsTokens(budgets map[string]int64) bool {
	for account, g := range m.grants {
		unused := float64(g.granted - g.used())
		if m.role(g) != borrower || g.pendingRevision != noPendingWrite || g.granted > 0 && unused > minFreeableShare*float64(budgets[account]) {
			return true
		}
	}
	return false
}

// addGrant adds one account's new grant to the transaction. A smaller grant takes effect
// now, before it is stored; a larger one only once it is stored.
func (m *GrantManager) addGrant(d *draw, g *grant, granted int64) {
	g.seq++
	entry := GrantEntry{Seq: g.seq, Granted: granted, Spent: g.netSpent()}
	next := g.record.WithEntry(m.opts.VM, m.opts.Incarnation, entry, m.maxSpent(d, g))
	g.granted = min(g.granted, granted)
	d.pendingRevisions = append(d.pendingRevisions, g.pendingRevision)
	g.pendingRevision = g.revision
	d.grants = append(d.grants, g)
	d.entries = append(d.entries, entry)
	next.Era = int64(m.era)
	d.putRecord(m.accountKey(g), g.revision, next)
}

// putRecord adds the write of a record on condition that its revision is unchanged.
func (d *draw) putRecord(key string, revision store.Revision, next Record) {
	d.records = append(d.records, next)
	d.txn.Conditions = append(d.txn.Conditions, store.Condition{Key: key, Revision: revision})
	d.txn.Puts = append(d.txn.Puts, store.Put{Key: key, Value: next.Encode()})
}

func (m *GrantManager) accountKey(g *grant) string {
	return m.opts.Prefix + AccountKeyPrefix + g.account
}

// closedGrant describes how one account's grant of a dead incarnation was closed.
type closedGrant struct {
	account, incarnation string
	entry                GrantEntry
	bound                SpendingBound
}

// maxSpent returns a function that bounds the spending of this VM's dead incarnations by
// the predecessor's ledger, and adds them to d.closedGrants.
func (m *GrantManager) maxSpent(d *draw, g *grant) MaxSpentFunc {
	return func(incarnation string, entry GrantEntry) int64 {
		bound := m.predecessorLedger.BoundSpending(g.account, incarnation, m.opts.Address, entry.Granted, m.startClock, m.leaseHolder == incarnation)
		d.closedGrants = append(d.closedGrants, closedGrant{g.account, incarnation, entry, bound})
		return bound.Max
	}
}

// logClosedGrants logs the grants that a committed transaction closed.
func (m *GrantManager) logClosedGrants(d draw) {
	for _, c := range d.closedGrants {
		m.opts.Log.Emit(event.GrantClosed, slog.String(event.KeyBudget, c.account), slog.String("holder", c.incarnation),
			slog.Int64("granted", c.entry.Granted), slog.Int64("spent", c.entry.Spent), slog.Int64("judged", c.bound.Max),
			slog.Int64("ceiling", c.bound.Ceiling), slog.Int64("age_ms", c.bound.Age.Milliseconds()),
			slog.String("by", string(c.bound.Basis)))
	}
}

// commit runs the transaction and reports whether it is known to be committed.
func (m *GrantManager) commit(ctx context.Context, d draw) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := m.opts.Clock().Steady
	result, err := m.opts.Store.Commit(ctx, d.txn)
	m.updateStoreDown(err)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil || errors.Is(err, store.ErrConflict) {
		m.updateRoundTrip(m.opts.Clock().Steady - sent)
	}
	isOtherEra := err == nil && result.Revision.Era() != m.era
	if err == nil {
		m.observeEra(result.Revision.Era())
	}
	switch {
	case isOtherEra: // written on records of the store's copy: they are read again
		m.ledgerKnown = false
	case err == nil:
		m.applyCommit(d, result)
	case errors.Is(err, store.ErrConflict):
		m.applyConflict(d, result)
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrLeaseGone):
		// Nothing was written: the records are unchanged.
		if errors.Is(err, store.ErrLeaseGone) {
			m.contactLease, m.contactWritten = store.LeaseID{}, false
		}
		for i, g := range d.grants {
			g.pendingRevision = d.pendingRevisions[i]
			g.applyRecord(g.record, g.revision, g.record.GrantEntry(m.opts.VM, m.opts.Incarnation))
		}
	default:
		m.ledgerKnown = false
		for _, g := range d.grants {
			g.recordKnown = false
		}
		m.opts.Log.Emit(event.DrawOutcomeUnknown, slog.Int("accounts", len(d.grants)), slog.Any(event.KeyCause, err))
	}
	return err == nil && !isOtherEra
}

// updateRoundTrip updates roundTrip by the duration of an answered write. The store may be
// slow for seconds. Ceilings are then raised by what is used during a write, and
// reservations wait longer. Calls that timed out are not counted: they would raise ceilings
// by about a second of use after each outage, and that would be lost if all routers crashed
// then.
func (m *GrantManager) updateRoundTrip(duration time.Duration) {
	const decay = 0.8 // per write
	m.roundTrip = max(duration, time.Duration(decay*float64(m.roundTrip)))
}

func (m *GrantManager) applyCommit(d draw, result store.Result) {
	m.ledgerRevision, m.conflicts = result.Revision, 0
	m.contactWritten = m.contactWritten || d.writesContact
	m.applyMarkerWrite(d, result)
	m.queueTelling(d, result.Revision)
	m.logClosedGrants(d)
	for account, allowance := range d.ledger.Allowances {
		m.grant(account).allowance = allowance
	}
	for i, g := range d.grants {
		g.applyRecord(d.records[i], result.Revision, d.entries[i])
		if g.earlier != nil {
			m.logRestored(g)
			g.earlier = nil
		}
		m.opts.Log.Emit(event.DrawCommitted, slog.String(event.KeyBudget, g.account), slog.Int64("granted", g.granted),
			slog.Int64("spent", g.spent), slog.Int64("reserved", g.reserved), g.revision.Attr())
	}
}

// applyConflict takes over the stored records and lets the next round try again.
func (m *GrantManager) applyConflict(d draw, result store.Result) {
	m.conflicts++
	current := make(map[string]store.Item, len(result.Current))
	for _, item := range result.Current {
		current[item.Key] = item
	}
	m.observeConflict(current)
	if item, found := current[m.opts.Prefix+ledgerKeyPrefix+m.opts.VM]; found {
		m.applyLedgerItem(item)
	} else if m.ledgerRevision.Number() > 0 {
		m.ledgerKnown = false
	}
	for i, g := range d.grants {
		g.pendingRevision = d.pendingRevisions[i] // this transaction will never take effect
		item, found := current[m.accountKey(g)]
		switch {
		case found:
			m.applyRecordItem(g, item)
		case g.revision.Number() == 0 && g.revision.Era() == m.era:
			g.applyRecord(g.record, g.revision, g.record.GrantEntry(m.opts.VM, m.opts.Incarnation))
		default:
			g.recordKnown = false
		}
	}
	m.wakeUp()
}

// updateStoreDown updates storeDown after a call to the store.
func (m *GrantManager) updateStoreDown(err error) {
	reached := err == nil || errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrLeaseGone)
	m.mu.Lock()
	defer m.mu.Unlock()
	if reached == !m.storeDown {
		return
	}
	m.storeDown = !reached
	if reached {
		m.opts.Log.Emit(event.StoreReachable, slog.String("follows", "budgets"))
		return
	}
	m.opts.Log.Emit(event.StoreUnreachable, slog.String("follows", "budgets"), slog.Any(event.KeyCause, err))
}
