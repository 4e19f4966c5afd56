package escrow

import (
	"context"
	"log/slog"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

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
	Clock       func() Stamp
	// Home is the address of the router that holds an account's grant for all, by
	// this router's view; empty if it is this one. Views may differ for a while:
	// that costs some draws more, nothing else.
	Home  func(account string) string
	Peers Peers
}

// Peers are the other routers.
type Peers interface {
	// BorrowFrom asks one router for tokens. It returns how many it gave, and whether
	// it could have drawn more if there were more.
	BorrowFrom(ctx context.Context, address, account string, tokens int64) (got int64, drew bool)
	// Borrow asks one after the other. It returns how many tokens it got, and how
	// many those that answered have used.
	Borrow(ctx context.Context, account string, tokens int64) (got, used int64)
	// HandOver gives tokens by account to a router; sent is false if it surely got
	// none of them.
	HandOver(ctx context.Context, address string, tokens map[string]int64) (sent bool)
}

// Keys below the prefix.
const (
	accountKeys = "account/" // a Record each
	ledgerKeys  = "router/"  // a Ledger each
	contactKeys = "contact/" // the incarnation, under its contact lease
)

// Keeper holds this router's grants. Reservations come from any goroutine; one
// goroutine (Run) speaks with the store.
type Keeper struct {
	o Options

	mu      sync.Mutex
	purses  map[string]*purse
	changed chan struct{} // closed and replaced after each round with the store
	wake    chan struct{}
	away    bool // the last call to the store failed
	stopped bool
	// stranded counts reservations in a row that found nobody to give tokens.
	stranded int

	// predecessor is the ledger that an earlier process on this VM left, and born a
	// moment at which that process was surely dead.
	predecessor Ledger
	born        Stamp
	// vouched is the incarnation whose contact lease had not run out at the first
	// read.
	vouched        string
	contactLease   store.LeaseID // 0: none yet
	contactPut     bool          // the contact key is bound to it
	ledgerRevision int64
	ledgerKnown    bool
	readAt         time.Duration // of the last read of all records
	// stamped is when the last write was sent that was sent in contact; it may have
	// landed whatever became of its answer. Out of contact all spending beyond the
	// ceilings is counted from there, and so are all ledgers written meanwhile.
	stamped Stamp
}

// New makes a keeper without grants. Run fetches the first ones.
func New(o Options) *Keeper {
	return &Keeper{o: o, purses: make(map[string]*purse), changed: make(chan struct{}), wake: make(chan struct{}, 1), born: o.Clock()}
}

// age is how old the last stamp is; zero in contact, where the ceilings hold.
func (k *Keeper) age() time.Duration {
	if !k.away {
		return 0
	}
	return k.o.Clock().Steady - k.stamped.Steady
}

// Reservation sets tokens aside for one request.
type Reservation struct {
	keeper *Keeper
	purse  *purse
	tokens int64
	once   sync.Once
}

// Settle books what the request used and frees the rest. Only the first call counts.
func (r *Reservation) Settle(used int64) {
	if r == nil {
		return
	}
	r.once.Do(func() {
		r.keeper.mu.Lock()
		defer r.keeper.mu.Unlock()
		// What was delivered beyond the reservation can't be unspent; it is booked
		// whole, and the available rest goes below zero until the next draw.
		r.purse.settle(r.tokens, used)
	})
}

func (k *Keeper) purse(account string) *purse {
	p := k.purses[account]
	if p == nil {
		p = newPurse(account)
		k.purses[account] = p
	}
	return p
}

func (k *Keeper) nudge() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Pace of the talks with the store.
const (
	// stampEvery bounds the age of the stamp: what a router's successor can't free
	// grows with it.
	stampEvery = 1 * time.Second
	// readEvery bounds the reads of the records while a budget is short.
	readEvery = 1500 * time.Millisecond
	// roundPause keeps a router with many small draws from calling without pause.
	roundPause = 40 * time.Millisecond
	// awayPause is the pause while the store is away.
	awayPause = 250 * time.Millisecond
	// callTimeout is far above the store's usual few milliseconds, and short
	// beside the time a caller waits.
	callTimeout = 600 * time.Millisecond
	// txnAccounts keeps a transaction, two rows an account and two for the ledger,
	// within the store's 32.
	txnAccounts = 14
)

// Run talks with the store until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(stampEvery)
	defer ticker.Stop()
	sweeps := time.NewTicker(sweepEvery)
	defer sweeps.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sweeps.C:
			k.sweep(ctx)
			continue
		case <-ticker.C:
			k.round(ctx, true)
		case <-k.wake:
			k.round(ctx, k.isAway())
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(k.pause()):
		}
	}
}

func (k *Keeper) isAway() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.away
}

// pause is the wait until the next round may begin. While the store is away the
// next round is due by itself, so that its return is noticed soon.
func (k *Keeper) pause() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.away {
		return roundPause
	}
	k.nudge()
	return awayPause
}

// round brings records, grants and reservations in line once. stamp says that the
// ledger is to be written in any case.
func (k *Keeper) round(ctx context.Context, stamp bool) {
	defer k.broadcast()
	if (k.mustRead() || k.scarce()) && !k.read(ctx) {
		return
	}
	if d, due := k.plan(stamp); due && k.commit(ctx, d) {
		k.keepContact(ctx)
	}
}

// keepContact renews the contact lease, or gets one, right after a write landed.
func (k *Keeper) keepContact(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if k.contactLease != 0 {
		err := k.o.Store.Renew(ctx, k.contactLease)
		if !errors.Is(err, store.ErrLeaseGone) {
			return // another failure is met by the next write
		}
		k.contactLease, k.contactPut = 0, false
	}
	lease, err := k.o.Store.Grant(ctx, contactLease)
	if err != nil {
		k.o.Log.Emit(event.LeaseLost, slog.String("lease_of", "contact"), slog.Any(event.KeyCause, err))
		return
	}
	k.contactLease = lease
}

func (k *Keeper) broadcast() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.changed)
	k.changed = make(chan struct{})
}

// mustRead says whether a record is not known as it is: never read, or a write
// of it was not answered.
func (k *Keeper) mustRead() bool {
	budgets := k.o.Budgets()
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.ledgerKnown {
		return true
	}
	for account := range budgets {
		if !k.purse(account).decided {
			return true
		}
	}
	return false
}

// scarce says whether a router lacks more than a record can give, as it was last
// seen. Others may have returned or freed tokens since, which nothing but another
// read shows: without it a home that found all granted elsewhere at its start
// never draws again.
func (k *Keeper) scarce() bool {
	budgets := k.o.Budgets()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.o.Clock().Steady-k.readAt < readEvery {
		return false
	}
	for account, prepaid := range budgets {
		p := k.purse(account)
		left := p.granted - p.used()
		wanted := max(p.waiting, int64(refillBelow*float64(p.ahead(Horizon, firstShare, prepaid, k.o.Home(account) == ""))))
		if left < wanted && p.free(prepaid) < wanted-left {
			return true
		}
	}
	return false
}

func (k *Keeper) read(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	budgets := k.o.Budgets()
	snapshot, err := k.o.Store.Read(ctx, k.o.Prefix)
	k.contact(err)
	if err != nil {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.readAt = k.o.Clock().Steady
	found := make(map[string]bool, len(snapshot.Items))
	k.ledgerKnown, k.ledgerRevision = true, 0
	for _, item := range snapshot.Items {
		key := strings.TrimPrefix(item.Key, k.o.Prefix)
		if account, isRecord := strings.CutPrefix(key, accountKeys); isRecord {
			found[account] = true
			k.learn(k.purse(account), item)
		}
		if key == ledgerKeys+k.o.VM {
			k.learnLedger(item)
		}
		if key == contactKeys+k.o.VM {
			k.vouched = string(item.Value)
		}
	}
	for account := range budgets {
		if p := k.purse(account); !found[account] && !p.decided {
			p.learned(newRecord(), 0, Figure{})
		}
	}
	return true
}

// learn takes a record as the store has it.
func (k *Keeper) learn(p *purse, item store.Item) {
	if int64(item.Revision) < p.revision {
		return
	}
	record, err := DecodeRecord(item.Value)
	if err != nil {
		k.o.Log.Emit(event.InvariantBroken, slog.String(event.KeyBudget, p.account), slog.Any(event.KeyCause, err))
		return
	}
	p.learned(record, int64(item.Revision), record.Figure(k.o.VM, k.o.Incarnation))
}

// learnLedger takes this VM's ledger as the store has it. Ceilings only rise, so
// one that is stored may be used whatever else is under way.
func (k *Keeper) learnLedger(item store.Item) {
	k.ledgerRevision = int64(item.Revision)
	ledger, err := DecodeLedger(item.Value)
	if err != nil {
		k.o.Log.Emit(event.InvariantBroken, slog.String("key", item.Key), slog.Any(event.KeyCause, err))
		return
	}
	if ledger.Incarnation != k.o.Incarnation {
		k.predecessor = ledger
		return
	}
	for account, ceiling := range ledger.Ceilings {
		k.purse(account).ceiling = max(k.purse(account).ceiling, ceiling)
	}
}

// draw is one transaction: new figures of some accounts, and the ledger.
type draw struct {
	purses  []*purse
	figures []Figure
	records []Record
	// pendingAt is what each purse had before this transaction.
	pendingAt []int64
	ledger    Ledger
	contact   bool // the contact key is written
	txn       store.Txn
}

// plan works out the write that is due now, if any.
func (k *Keeper) plan(stamp bool) (draw, bool) {
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
	stamped := k.stamped
	if !k.away {
		stamped = now
	}
	d := draw{ledger: Ledger{Format: recordFormat, Incarnation: k.o.Incarnation, Address: k.o.Address, Stamp: stamped,
		Ceilings: make(map[string]int64, len(accounts)), Paces: make(map[string]int64, len(accounts))}}
	due := stamp && (k.away || k.holds())
	topUp := refillBelow
	if stamp {
		topUp = topUpBelow
	}
	for _, account := range accounts {
		p := k.purse(account)
		p.updateRate(now.Steady)
		home := k.o.Home(account) == ""
		granted, wanted := p.plan(budgets[account], home, topUp)
		// An unanswered write must be followed by another of the same record: that
		// moves the revision, after which the first one can't land any more.
		// What a predecessor on this VM left is freed at once, whoever is home now.
		wanted = wanted || p.record.Left(k.o.VM, k.o.Incarnation)
		if (wanted || p.pendingAt != noWrite) && p.decided && len(d.purses) < txnAccounts {
			k.add(&d, p, granted)
			due = true
		} else {
			granted = p.granted
		}
		ceiling, short := p.raised(granted, budgets[account], home)
		d.ledger.Ceilings[account] = ceiling
		pace := p.newPace(budgets[account])
		d.ledger.Paces[account] = pace
		p.pace = min(p.pace, pace)
		due = due || short
	}
	if !due {
		return draw{}, false
	}
	k.stamped = stamped
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

// holds says whether this router was granted anything. One that only borrows needs
// no ledger: its successor has nothing to free.
func (k *Keeper) holds() bool {
	for account, p := range k.purses {
		if p.granted > 0 || p.pendingAt != noWrite || k.o.Home(account) == "" {
			return true
		}
	}
	return false
}

// add puts one account's new figure into a transaction. A smaller grant counts
// from now on, before it is stored; a larger one only once it is stored.
func (k *Keeper) add(d *draw, p *purse, granted int64) {
	p.seq++
	figure := Figure{Seq: p.seq, Granted: granted, Spent: p.spent + p.lent - p.borrowed}
	next := p.record.With(k.o.VM, k.o.Incarnation, figure, k.mostSpent(p.account))
	p.granted = min(p.granted, granted)
	d.pendingAt = append(d.pendingAt, p.pendingAt)
	p.pendingAt = p.revision
	d.purses = append(d.purses, p)
	d.figures = append(d.figures, figure)
	d.put(k.accountKey(p), p.revision, next)
}

// put adds the write of a record under the condition that it is at a revision.
func (d *draw) put(key string, revision int64, next Record) {
	d.records = append(d.records, next)
	d.txn.Expect = append(d.txn.Expect, store.Expect{Key: key, Revision: store.Revision(revision)})
	d.txn.Puts = append(d.txn.Puts, store.Put{Key: key, Value: next.Encode()})
}

func (k *Keeper) accountKey(p *purse) string {
	return k.o.Prefix + accountKeys + p.account
}

// mostSpent judges this VM's dead incarnations by the ledger that the last left.
func (k *Keeper) mostSpent(account string) MostSpent {
	return func(incarnation string, granted int64) int64 {
		return k.predecessor.MostSpent(account, incarnation, k.o.Address, granted, k.born, k.vouched == incarnation)
	}
}

// commit runs the transaction and says whether it landed.
func (k *Keeper) commit(ctx context.Context, d draw) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, err := k.o.Store.Commit(ctx, d.txn)
	k.contact(err)
	k.mu.Lock()
	defer k.mu.Unlock()
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
		for i, p := range d.purses {
			p.pendingAt = d.pendingAt[i]
			p.learned(p.record, p.revision, p.record.Figure(k.o.VM, k.o.Incarnation))
		}
	default:
		k.ledgerKnown = false
		for _, p := range d.purses {
			p.decided = false
		}
		k.o.Log.Emit(event.DrawUnknown, slog.Int("accounts", len(d.purses)), slog.Any(event.KeyCause, err))
	}
	return err == nil
}

func (k *Keeper) landed(d draw, result store.Result) {
	k.ledgerRevision = int64(result.Revision)
	k.contactPut = k.contactPut || d.contact
	for account, ceiling := range d.ledger.Ceilings {
		k.purse(account).ceiling = max(k.purse(account).ceiling, ceiling)
		k.purse(account).pace = d.ledger.Paces[account]
	}
	for i, p := range d.purses {
		p.learned(d.records[i], int64(result.Revision), d.figures[i])
		k.o.Log.Emit(event.DrawLanded, slog.String(event.KeyBudget, p.account), slog.Int64("granted", p.granted),
			slog.Int64("spent", p.spent), slog.Int64("reserved", p.reserved), slog.Int64("revision", p.revision))
	}
}

// conflicted takes the records as they are and tries again in the next round.
func (k *Keeper) conflicted(d draw, result store.Result) {
	current := make(map[string]store.Item, len(result.Current))
	for _, item := range result.Current {
		current[item.Key] = item
	}
	if item, found := current[k.o.Prefix+ledgerKeys+k.o.VM]; found {
		k.learnLedger(item)
	}
	for i, p := range d.purses {
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
	k.nudge()
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
