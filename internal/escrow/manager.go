package escrow

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/store"
)

// Errors of Reserve.
var (
	// ErrExhausted: the remaining budget can't cover the request.
	ErrExhausted = errors.New("escrow: budget exhausted")
	// ErrContended: the rest of the budget is granted to other routers; some of it may
	// be returned unused.
	ErrContended = errors.New("escrow: rest of the budget is held elsewhere")
	// ErrInDoubt: the rest of the budget may have been spent by dead routers. Only a
	// top-up helps, or the start of successors that have not started yet.
	ErrInDoubt = errors.New("escrow: rest of the budget may be spent")
	// ErrRationed: little of the budget is left, and it is kept for more urgent or smaller
	// requests.
	ErrRationed = errors.New("escrow: rest of the budget is rationed")
	// ErrUnreachable: this router's grant is used up and the store is unreachable.
	ErrUnreachable = errors.New("escrow: store unreachable")
)

// Budgets returns the prepaid total of each metered account in the newest configuration.
type Budgets func() map[string]int64

// Options configure a GrantManager.
type Options struct {
	Store       store.Store
	Prefix      string // of all keys
	VM          string
	Address     string // of the VM; unique
	Incarnation string // identifies this process; never reused
	Budgets     Budgets
	Log         *event.Log
	Clock       func() ClockReading
	// Home returns the address of an account's home, the router that draws for all
	// others, or "" if it is this router. Routers may disagree for a while, which only
	// costs a few more draws.
	Home func(account string) string
	// Holders returns the addresses of an account's holders by rank, at most
	// MaxHolders: the home, then those that draw in its place while it can't reach the
	// store. This router is "".
	Holders func(account string) []string
	Peers   Peers
}

// Peers gives access to the other routers.
type Peers interface {
	// BorrowFrom asks one router for tokens.
	BorrowFrom(ctx context.Context, address string, request LoanRequest) Loan
	// Borrow asks routers one after the other. It returns how many tokens it got, and
	// how many the routers that answered have used.
	Borrow(ctx context.Context, account string, tokens int64) (got, used int64)
	// HandOver gives tokens, keyed by account, to a router. sent is false only if the
	// router certainly got none of them.
	HandOver(ctx context.Context, address string, tokens map[string]int64) (sent bool)
	// KeepRecords tells a router of records that were written.
	KeepRecords(ctx context.Context, address string, records []StoredRecord) error
}

// Prefixes of keys, below Options.Prefix.
const (
	AccountKeyPrefix = "account/" // followed by the account; a Record
	ledgerKeyPrefix  = "router/"  // followed by the VM; a Ledger
	contactKeyPrefix = "contact/" // followed by the VM; the incarnation, bound to its contact lease
)

// GrantManager manages this router's grants. Reservations may be made from any goroutine;
// one goroutine (Run) talks to the store.
type GrantManager struct {
	opts Options

	mu           sync.Mutex
	grants       map[string]*grant
	changed      chan struct{} // closed and replaced after each round with the store
	wake         chan struct{}
	storeDown    bool  // the last call to the store failed
	idle         bool  // no tokens are held: the ledger needs no writes
	downRounds   int   // rounds since the store became unreachable
	leaving      bool  // a planned stop has begun
	stopped      bool  // the grants are being returned
	lastWaiterID int64 // the last one generated
	// roundTrip is the duration of the slowest recent write: it rises at once and falls
	// slowly.
	roundTrip time.Duration
	// holderUnavailableAt is when a holder was last unreachable or could not reach the store,
	// by address.
	holderUnavailableAt map[string]time.Duration
	// vmAddresses holds the addresses of the VMs that have a ledger, as of the last read.
	vmAddresses map[string]string
	// vmUnreachableAt is when a VM last failed to answer a gathering, by VM.
	vmUnreachableAt map[string]time.Duration
	// pendingGatherings are requested but not started.
	pendingGatherings []gathering
	gatherDue         chan struct{}
	// untold are the written records that other routers have not been told of.
	untold  []StoredRecord
	tellDue chan struct{}
	// conflicts counts consecutive writes that failed with a conflict.
	conflicts int
	// isolatedCount counts consecutive reservations that found neither the store nor tokens.
	isolatedCount int

	// predecessorLedger is the ledger of an earlier process on this VM, and startClock a
	// clock reading from when that process was certainly dead.
	predecessorLedger Ledger
	startClock        ClockReading
	// leaseHolder is the incarnation on this VM whose contact lease had not expired when
	// the store was read.
	leaseHolder    string
	contactLease   store.LeaseID // none yet: zero
	contactWritten bool          // the contact key is bound to it
	ledgerRevision store.Revision
	ledgerKnown    bool
	recordsReadAt  time.Duration // of the last read of all records
	// era is the store's era, known from its first answer.
	era      store.Era
	eraKnown bool
	marker   eraMarker
	// settleUntil is the time before which nobody may draw, since the store has lost writes.
	settleUntil time.Duration
	// lastContact is when the last write was sent while the store was reachable. It may
	// have been stored even if the response was lost. Out of contact, spending above the
	// ceilings is limited by the time since then, also in ledgers written meanwhile.
	lastContact ClockReading
}

// New returns a GrantManager without grants. Run draws the first ones.
func New(opts Options) *GrantManager {
	return &GrantManager{
		opts: opts, startClock: opts.Clock(), grants: make(map[string]*grant), holderUnavailableAt: make(map[string]time.Duration),
		vmAddresses: make(map[string]string), vmUnreachableAt: make(map[string]time.Duration),
		gatherDue: make(chan struct{}, 1), tellDue: make(chan struct{}, 1), changed: make(chan struct{}), wake: make(chan struct{}, 1),
	}
}

// contactAge returns the time since the last contact with the store. It is zero in
// contact, where the ceilings hold.
func (m *GrantManager) contactAge() time.Duration {
	if !m.storeDown {
		return 0
	}
	return m.opts.Clock().Steady - m.lastContact.Steady
}

// Reservation holds tokens for one request.
type Reservation struct {
	manager *GrantManager
	grant   *grant
	tokens  int64
	once    sync.Once
}

// Settle records what the request used and frees the rest. Only the first call counts.
func (r *Reservation) Settle(used int64) {
	if r == nil {
		return
	}
	r.once.Do(func() {
		r.manager.mu.Lock()
		defer r.manager.mu.Unlock()
		// Use beyond the reservation can't be undone. It is recorded in full, and the
		// available tokens may be negative until the next draw.
		r.grant.settle(r.tokens, used)
	})
}

func (m *GrantManager) grant(account string) *grant {
	g := m.grants[account]
	if g == nil {
		g = newGrant(account)
		m.grants[account] = g
	}
	return g
}

func (m *GrantManager) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Intervals and limits of calls to the store.
const (
	// ledgerInterval bounds the time since the last contact. The longer it is, the less of
	// a grant a successor can free.
	ledgerInterval = 700 * time.Millisecond
	// readInterval is the time between reads of the records while tokens are short.
	readInterval = 1500 * time.Millisecond
	// syncPause limits the rate of calls of a router with many small draws.
	syncPause = 40 * time.Millisecond
	// conflictBackoff spreads concurrent writers of a record: each conflict doubles the
	// random part of the pause, up to maxConflictDoublings times.
	conflictBackoff      = 10 * time.Millisecond
	maxConflictDoublings = 5
	// minOutagePause is the first pause while the store is unreachable. It doubles up to
	// maxOutagePause, since calls are paid for also when the store refuses them, and its
	// return is still noticed soon enough.
	minOutagePause = 250 * time.Millisecond
	maxOutagePause = 500 * time.Millisecond
	// idleOutagePause is the pause of a router that holds no tokens: it has nothing to lend,
	// and the accounts' homes draw for it.
	idleOutagePause = time.Second
	// callTimeout is far above the few milliseconds that the store usually takes, and well
	// below the time that callers wait.
	callTimeout = 600 * time.Millisecond
	// maxTxnAccounts keeps a transaction within the store's limit of 32 rows: it has two
	// per account, three for the ledger and the contact, and the rest for the markers of eras.
	maxTxnAccounts = 12
)

// Run keeps the grants up to date with the store until ctx ends.
func (m *GrantManager) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { m.gatherLoop(ctx) })
	tasks.Go(func() { m.tellLoop(ctx) })
	tasks.Go(func() { m.sweepLoop(ctx) }) // separate, since an unresponsive home must not delay the ledger
	ticker := time.NewTicker(ledgerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.syncStore(ctx, true)
		case <-m.wake:
			m.syncStore(ctx, m.isStoreDown())
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(m.nextPause()):
		}
	}
}

func (m *GrantManager) isStoreDown() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.storeDown
}

// nextPause returns the wait before the next round. While the store is unreachable it also
// makes the next round due, so that the store's return is noticed soon.
func (m *GrantManager) nextPause() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.storeDown {
		m.downRounds = 0
		return syncPause + m.conflictPause()
	}
	m.wakeUp()
	m.downRounds++
	if m.idle && m.downRounds > 1 {
		return idleOutagePause
	}
	return min(minOutagePause<<min(m.downRounds-1, 4), maxOutagePause)
}

// conflictPause returns a random wait after conflicts, or zero if there were none.
func (m *GrantManager) conflictPause() time.Duration {
	if m.conflicts == 0 {
		return 0
	}
	return rand.N(conflictBackoff << min(m.conflicts, maxConflictDoublings))
}

// syncStore runs one round: it reads the records if needed and commits a draw if one is
// due. refreshLedger is passed on to plan.
func (m *GrantManager) syncStore(ctx context.Context, refreshLedger bool) {
	defer m.broadcast()
	if (m.needsRead() || m.isShort()) && !m.readRecords(ctx) {
		return
	}
	if d, due := m.plan(refreshLedger); due && m.commit(ctx, d) {
		m.renewContactLease(ctx)
	}
}

// renewContactLease renews the contact lease, or gets one, right after a committed write.
func (m *GrantManager) renewContactLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if !m.contactLease.IsNone() {
		err := m.opts.Store.RenewLease(ctx, m.contactLease)
		if !errors.Is(err, store.ErrLeaseGone) {
			return // the next write will find any other failure
		}
		m.contactLease, m.contactWritten = store.LeaseID{}, false
	}
	lease, err := m.opts.Store.GrantLease(ctx, contactLeaseTTL)
	if err != nil {
		m.opts.Log.Emit(event.LeaseLost, slog.String("lease_of", "contact"), slog.Any(event.KeyCause, err))
		return
	}
	m.contactLease = lease
}

func (m *GrantManager) broadcast() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.changed)
	m.changed = make(chan struct{})
}

// needsRead reports whether the present state of a record or of the ledger is unknown: it
// was never read, or a write was not answered.
func (m *GrantManager) needsRead() bool {
	budgets := m.opts.Budgets()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.ledgerKnown {
		return true
	}
	return slices.ContainsFunc(m.accountsToSync(budgets), func(account string) bool { return !m.grant(account).recordKnown })
}

// isShort reports whether the records were last read at least readInterval ago and this
// router wants more tokens than one of them could give then. Others may have returned or
// freed tokens since, which only another read shows. Without it a home that found the whole
// budget granted at its start would never draw.
func (m *GrantManager) isShort() bool {
	budgets := m.opts.Budgets()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.opts.Clock().Steady-m.recordsReadAt < readInterval {
		return false
	}
	for account, prepaid := range budgets {
		g := m.grant(account)
		unused := g.granted - g.used()
		wantedTokens := max(g.waitingTokens, int64(refillThreshold*float64(g.headroom(grantHorizon, int64(initialGrantShare*float64(prepaid)), m.role(g)))))
		// A router that wants no tokens is not short, even if it has used slightly more
		// than it got. Otherwise all routers of a fleet would read all records every
		// readInterval.
		if wantedTokens > 0 && unused < wantedTokens && g.ungranted(prepaid) < wantedTokens-unused {
			return true
		}
	}
	return false
}

func (m *GrantManager) readRecords(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	budgets := m.opts.Budgets()
	snapshot, err := m.opts.Store.Read(ctx, m.opts.Prefix)
	m.updateStoreDown(err)
	if err != nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observeEra(snapshot.At.Era())
	m.applyMarkers(snapshot.Items)
	m.recordsReadAt = m.opts.Clock().Steady
	found := make(map[string]bool, len(snapshot.Items))
	m.ledgerKnown, m.ledgerRevision = true, 0
	for _, item := range snapshot.Items {
		key := strings.TrimPrefix(item.Key, m.opts.Prefix)
		if account, isRecord := strings.CutPrefix(key, AccountKeyPrefix); isRecord {
			found[account] = true
			m.applyRecordItem(m.grant(account), item)
		}
		if vm, isLedger := strings.CutPrefix(key, ledgerKeyPrefix); isLedger {
			m.vmAddresses[vm] = ledgerAddress(item.Value)
		}
		if key == ledgerKeyPrefix+m.opts.VM {
			m.applyLedgerItem(item)
		}
		if key == contactKeyPrefix+m.opts.VM {
			m.leaseHolder = string(item.Value)
		}
	}
	for account := range budgets {
		m.grant(account) // those that have no record yet
	}
	for account, g := range m.grants {
		if !found[account] && !g.recordKnown {
			m.adopt(g, newRecord(), store.NewRevision(m.era, 0))
		}
	}
	return true
}

// applyRecordItem takes over a stored record.
func (m *GrantManager) applyRecordItem(g *grant, item store.Item) {
	if item.Revision < g.revision {
		return
	}
	record, err := DecodeRecord(item.Value)
	if err != nil {
		m.opts.Log.Emit(event.InvariantBroken, slog.String(event.KeyBudget, g.account), slog.Any(event.KeyCause, err))
		return
	}
	m.adopt(g, record, item.Revision)
}

// keepPredecessorLedger keeps the ledger of a dead process. The store may have lost a later one than it
// has; then an earlier read had it, or the ledger frees nothing.
func (m *GrantManager) keepPredecessorLedger(ledger Ledger) {
	if !ledger.isOutdated(m.era) {
		m.predecessorLedger = ledger
	} else if m.predecessorLedger.Incarnation != ledger.Incarnation {
		m.predecessorLedger = Ledger{}
	}
}

// applyLedgerItem takes over this VM's stored ledger. Allowances are not taken from a
// ledger of this process, since an unanswered write may still take effect and lower them.
func (m *GrantManager) applyLedgerItem(item store.Item) {
	m.ledgerRevision = item.Revision
	ledger, err := DecodeLedger(item.Value)
	if err != nil {
		m.opts.Log.Emit(event.InvariantBroken, slog.String("key", item.Key), slog.Any(event.KeyCause, err))
		return
	}
	if ledger.Incarnation != m.opts.Incarnation {
		m.keepPredecessorLedger(ledger)
	}
}
