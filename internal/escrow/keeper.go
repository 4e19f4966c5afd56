package escrow

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/store"
)

// Refusals of a reservation.
var (
	// ErrExhausted: what is left of the budget surely doesn't cover the request.
	ErrExhausted = errors.New("escrow: budget exhausted")
	// ErrContended: the rest of the budget is granted to other routers; some of it
	// may come back.
	ErrContended = errors.New("escrow: rest of the budget is held elsewhere")
	// ErrInDoubt: the rest of the budget may have been spent by routers that died. Only
	// a top-up helps, or their successors, if they have none yet.
	ErrInDoubt = errors.New("escrow: rest of the budget may be spent")
	// ErrUnreachable: this router's grant is used up and the store is away.
	ErrUnreachable = errors.New("escrow: store unreachable")
)

// Budgets tells the paid total of each metered account, by the newest configuration.
type Budgets func() map[string]int64

// Options of a Keeper.
type Options struct {
	Store       store.Store
	Prefix      string // of all keys
	VM          string
	Address     string // of the VM; no other VM has it
	Incarnation string // of this process; no other process ever has it
	Budgets     Budgets
	Log         *event.Log
	Clock       func() ClockReading
	// Home is the address of the router that holds an account's grant for all, by
	// this router's view; empty if it is this one. Views may differ for a while:
	// that costs some draws more, nothing else.
	Home func(account string) string
	// Holders are the home and those that hold instead of it while it has no contact with
	// the store, in their order: MaxHolders at the most, empty for this one.
	Holders func(account string) []string
	Peers   Peers
}

// Peers are the other routers.
type Peers interface {
	// BorrowFrom asks a holder of the account for tokens. waiterID names the request in the
	// queue that may form there.
	BorrowFrom(ctx context.Context, address, account string, tokens int64, waiterID string) Loan
	// Borrow asks one after the other. It returns how many tokens it got, and how
	// many those that answered have used.
	Borrow(ctx context.Context, account string, tokens int64) (got, used int64)
	// HandOver gives tokens by account to a router; sent is false if it surely got
	// none of them.
	HandOver(ctx context.Context, address string, tokens map[string]int64) (sent bool)
}

// Keys below the prefix.
const (
	AccountKeyPrefix = "account/" // a Record each
	ledgerKeyPrefix  = "router/"  // a Ledger each
	contactKeyPrefix = "contact/" // the incarnation, under its contact lease
)

// GrantManager holds this router's grants. Reservations come from any goroutine; one
// goroutine (Run) speaks with the store.
type GrantManager struct {
	o Options

	mu           sync.Mutex
	grants       map[string]*grant
	changed      chan struct{} // closed and replaced after each round with the store
	wake         chan struct{}
	storeDown    bool  // the last call to the store failed
	idle         bool  // nothing is held: the ledger needs no writes
	downRounds   int   // rounds since the store was lost
	leaving      bool  // a planned stop began
	stopped      bool  // the grants are being returned
	lastWaiterID int64 // names given so far
	// roundTrip is what a write takes, by the slowest of late: it rises at once and
	// falls slowly.
	roundTrip time.Duration
	// holderDownAt is when holders, by address, last had no contact with the store.
	holderDownAt map[string]time.Duration
	// vmAddresses are those of the VMs that have a ledger, as of the last read.
	vmAddresses map[string]string
	// unreached is when a VM that was asked for what it holds last gave no answer.
	unreached map[string]time.Duration
	// pendingGatherings are ordered and not begun.
	pendingGatherings []gathering
	gatherDue         chan struct{}
	// conflicts counts writes in a row that lost the race for a record.
	conflicts int
	// isolated counts reservations in a row that found nobody to give tokens.
	isolated int

	// predecessorLedger is the ledger that an earlier process on this VM left, and born a
	// moment at which that process was surely dead.
	predecessorLedger Ledger
	startClock        ClockReading
	// leaseHolder is the process whose contact lease had not run out at the first
	// read.
	leaseHolder    string
	contactLease   store.LeaseID // 0: none yet
	contactWritten bool          // the contact key is bound to it
	ledgerRevision int64
	ledgerKnown    bool
	recordsReadAt  time.Duration // of the last read of all records
	// lastContact is when the last write was sent that was sent in contact; it may have
	// landed whatever became of its answer. Out of contact all spending beyond the
	// ceilings is counted from there, and so are all ledgers written meanwhile.
	lastContact ClockReading
}

// New makes a keeper without grants. Run fetches the first ones.
func New(o Options) *GrantManager {
	return &GrantManager{
		o: o, startClock: o.Clock(), grants: make(map[string]*grant), holderDownAt: make(map[string]time.Duration),
		vmAddresses: make(map[string]string), unreached: make(map[string]time.Duration),
		gatherDue: make(chan struct{}, 1), changed: make(chan struct{}), wake: make(chan struct{}, 1),
	}
}

// contactAge is how old the last contact is; zero in contact, where the ceilings hold.
func (m *GrantManager) contactAge() time.Duration {
	if !m.storeDown {
		return 0
	}
	return m.o.Clock().Steady - m.lastContact.Steady
}

// Reservation sets tokens aside for one request.
type Reservation struct {
	manager *GrantManager
	grant   *grant
	tokens  int64
	once    sync.Once
}

// Settle books what the request used and frees the rest. Only the first call counts.
func (r *Reservation) Settle(used int64) {
	if r == nil {
		return
	}
	r.once.Do(func() {
		r.manager.mu.Lock()
		defer r.manager.mu.Unlock()
		// What was delivered beyond the reservation can't be unspent; it is booked
		// whole, and the available rest goes below zero until the next draw.
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

// Pauses between the talks with the store.
const (
	// ledgerInterval bounds the age of the last contact: what a router's successor can't free
	// grows with it.
	ledgerInterval = 700 * time.Millisecond
	// readInterval bounds the reads of the records while a budget is short.
	readInterval = 1500 * time.Millisecond
	// syncPause keeps a router with many small draws from calling without pause.
	syncPause = 40 * time.Millisecond
	// conflictBackoff spreads the writers of a record that race for it: each race lost doubles the
	// random part of the pause, up to racesMost times.
	conflictBackoff      = 10 * time.Millisecond
	maxConflictDoublings = 5
	// minOutagePause is the first pause while the store is away; it doubles up to awayMost, since
	// a store that refuses is paid for each call, and a return is noticed soon enough.
	minOutagePause = 250 * time.Millisecond
	maxOutagePause = 500 * time.Millisecond
	// idleOutagePause is the pause of a router that holds nothing: it lends nothing and needs the
	// store for draws of its own only, which its accounts' homes make for it.
	idleOutagePause = time.Second
	// callTimeout is far above the store's usual few milliseconds, and short
	// beside the time a caller waits.
	callTimeout = 600 * time.Millisecond
	// maxTxnAccounts keeps a transaction, two rows an account and two for the ledger,
	// within the store's 32.
	maxTxnAccounts = 14
)

// Run talks with the store until ctx ends.
func (m *GrantManager) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { m.gatherLoop(ctx) })
	tasks.Go(func() { m.sweepLoop(ctx) }) // a home that doesn't answer must not hold up the ledger
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

// nextPause is the wait until the next round may begin. While the store is away the
// next round is due by itself, so that its return is noticed soon.
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

// conflictPause is the random part of a pause after lost races for a record; zero without.
func (m *GrantManager) conflictPause() time.Duration {
	if m.conflicts == 0 {
		return 0
	}
	return rand.N(conflictBackoff << min(m.conflicts, maxConflictDoublings))
}

// syncStore brings records, grants and reservations in line once. refresh says that the
// ledger is to be written in any case.
func (m *GrantManager) syncStore(ctx context.Context, refreshLedger bool) {
	defer m.broadcast()
	if (m.needsRead() || m.isShort()) && !m.readRecords(ctx) {
		return
	}
	if d, due := m.plan(refreshLedger); due && m.commit(ctx, d) {
		m.renewContactLease(ctx)
	}
}

// renewContactLease renews the contact lease, or gets one, right after a write landed.
func (m *GrantManager) renewContactLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if m.contactLease != 0 {
		err := m.o.Store.Renew(ctx, m.contactLease)
		if !errors.Is(err, store.ErrLeaseGone) {
			return // another failure is met by the next write
		}
		m.contactLease, m.contactWritten = 0, false
	}
	lease, err := m.o.Store.Grant(ctx, contactLeaseTTL)
	if err != nil {
		m.o.Log.Emit(event.LeaseLost, slog.String("lease_of", "contact"), slog.Any(event.KeyCause, err))
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

// needsRead says whether a record is not known as it is: never read, or a write
// of it was not answered.
func (m *GrantManager) needsRead() bool {
	budgets := m.o.Budgets()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.ledgerKnown {
		return true
	}
	for account := range budgets {
		if !m.grant(account).recordKnown {
			return true
		}
	}
	return false
}

// isShort says whether a router lacks more than a record can give, as it was last
// seen. Others may have returned or freed tokens since, which nothing but another
// read shows: without it a home that found all granted elsewhere at its start
// never draws again.
func (m *GrantManager) isShort() bool {
	budgets := m.o.Budgets()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.o.Clock().Steady-m.recordsReadAt < readInterval {
		return false
	}
	for account, prepaid := range budgets {
		g := m.grant(account)
		left := g.granted - g.used()
		wanted := max(g.waitingTokens, int64(refillThreshold*float64(g.headroom(grantHorizon, int64(initialGrantShare*float64(prepaid)), m.role(g)))))
		// A router that wants nothing is never short, also where it has used a little more
		// than it got: all of a fleet read all records each 1.5 s for that.
		if wanted > 0 && left < wanted && g.ungranted(prepaid) < wanted-left {
			return true
		}
	}
	return false
}

func (m *GrantManager) readRecords(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	budgets := m.o.Budgets()
	snapshot, err := m.o.Store.Read(ctx, m.o.Prefix)
	m.noteContact(err)
	if err != nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordsReadAt = m.o.Clock().Steady
	found := make(map[string]bool, len(snapshot.Items))
	m.ledgerKnown, m.ledgerRevision = true, 0
	for _, item := range snapshot.Items {
		key := strings.TrimPrefix(item.Key, m.o.Prefix)
		if account, isRecord := strings.CutPrefix(key, AccountKeyPrefix); isRecord {
			found[account] = true
			m.applyRecordItem(m.grant(account), item)
		}
		if vm, isLedger := strings.CutPrefix(key, ledgerKeyPrefix); isLedger {
			m.vmAddresses[vm] = ledgerAddress(item.Value)
		}
		if key == ledgerKeyPrefix+m.o.VM {
			m.applyLedgerItem(item)
		}
		if key == contactKeyPrefix+m.o.VM {
			m.leaseHolder = string(item.Value)
		}
	}
	for account := range budgets {
		if g := m.grant(account); !found[account] && !g.recordKnown {
			g.applyRecord(newRecord(), 0, GrantEntry{})
		}
	}
	return true
}

// applyRecordItem takes a record as the store has it.
func (m *GrantManager) applyRecordItem(g *grant, item store.Item) {
	if int64(item.Revision) < g.revision {
		return
	}
	record, err := DecodeRecord(item.Value)
	if err != nil {
		m.o.Log.Emit(event.InvariantBroken, slog.String(event.KeyBudget, g.account), slog.Any(event.KeyCause, err))
		return
	}
	g.applyRecord(record, int64(item.Revision), record.GrantEntry(m.o.VM, m.o.Incarnation))
}

// applyLedgerItem takes this VM's ledger as the store has it. Ceilings of this process's own
// are not taken from it: an unanswered write may still land and lower them.
func (m *GrantManager) applyLedgerItem(item store.Item) {
	m.ledgerRevision = int64(item.Revision)
	ledger, err := DecodeLedger(item.Value)
	if err != nil {
		m.o.Log.Emit(event.InvariantBroken, slog.String("key", item.Key), slog.Any(event.KeyCause, err))
		return
	}
	if ledger.Incarnation != m.o.Incarnation {
		m.predecessorLedger = ledger
	}
}
