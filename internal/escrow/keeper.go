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
	Prefix      string // of the records' keys
	VM          string
	Incarnation string // of this process; no other process ever has it
	Budgets     Budgets
	Routers     func() int // living routers, at least 1
	Log         *event.Log
	Now         func() time.Time
	// Borrow asks other routers for tokens and returns how many it got.
	Borrow func(ctx context.Context, account string, tokens int64) int64
}

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
}

// New makes a keeper without grants. Run fetches the first ones.
func New(o Options) *Keeper {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Keeper{o: o, purses: make(map[string]*purse), changed: make(chan struct{}), wake: make(chan struct{}, 1)}
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
		if r.purse.available() < r.purse.largest {
			r.keeper.nudge()
		}
	})
}

// Reserve sets tokens aside. If the grant is too small it waits for a draw, and
// asks other routers where the store can't give: while it is away, and at the end
// of a budget, what one router lacks lies unused at another.
func (k *Keeper) Reserve(ctx context.Context, account string, tokens int64) (*Reservation, error) {
	waited := false
	for {
		reservation, changed, err := k.try(account, tokens, waited)
		if reservation != nil {
			return reservation, nil
		}
		if errors.Is(err, ErrExhausted) {
			return nil, err
		}
		if err != nil {
			return k.borrow(ctx, account, tokens, err)
		}
		waited = true
		select {
		case <-ctx.Done():
			k.stopWaiting(account, tokens)
			return nil, ErrUnreachable
		case <-changed:
			k.stopWaiting(account, tokens)
		case <-time.After(drawPatience):
			k.stopWaiting(account, tokens)
			reservation, err := k.borrow(ctx, account, tokens, ErrUnreachable)
			if err == nil {
				return reservation, nil
			}
		}
	}
}

// drawPatience is how long a reservation waits for a draw before it asks other
// routers: some times what a store in good health takes. That the store is away
// shows only after callTimeout.
const drawPatience = 60 * time.Millisecond

// borrow sets aside what is here and gets the rest from other routers. What is
// here is set aside first: else requests that come meanwhile take it, and each of
// them comes up short after it has borrowed.
func (k *Keeper) borrow(ctx context.Context, account string, tokens int64, short error) (*Reservation, error) {
	k.mu.Lock()
	p := k.purse(account)
	here := max(0, min(tokens, p.available()))
	p.reserved += here
	free := p.free(k.o.Budgets()[account])
	k.mu.Unlock()

	missing := tokens - here
	got := k.o.Borrow(ctx, account, missing)
	k.o.Log.Emit(event.TokensBorrowed, slog.String(event.KeyBudget, account), slog.Int64("missing", missing),
		slog.Int64(event.KeyTokens, got), slog.Int64("free", free), slog.Any(event.KeyCause, short))

	k.mu.Lock()
	defer k.mu.Unlock()
	p.borrowed += got
	if got < missing {
		p.reserved -= here
		return nil, short
	}
	p.reserved += missing
	return &Reservation{keeper: k, purse: p, tokens: tokens}, nil
}

// Lend gives available tokens to another router. They count as used here from now
// on: an answer that is lost loses them, and never gives them twice.
func (k *Keeper) Lend(account string, tokens int64) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	p := k.purse(account)
	given := max(0, min(tokens, p.available()))
	p.lent += given
	return given
}

// try reserves if it can. Else it returns the channel that closes after the next
// round with the store, or the reason why waiting doesn't help.
func (k *Keeper) try(account string, tokens int64, waited bool) (*Reservation, <-chan struct{}, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	p := k.purse(account)
	p.largest = max(p.largest, tokens)
	if p.available() >= tokens {
		p.reserved += tokens
		if float64(p.available()) < refillBelow*float64(p.largest) {
			k.nudge()
		}
		return &Reservation{keeper: k, purse: p, tokens: tokens}, nil, nil
	}
	if k.away {
		return nil, nil, ErrUnreachable
	}
	if waited && p.decided {
		if err := k.lack(p, tokens); err != nil {
			return nil, nil, err
		}
	}
	p.waiting += tokens
	k.nudge()
	return nil, k.changed, nil
}

// lack tells why the record can't give what is missing; nil if it can.
func (k *Keeper) lack(p *purse, tokens int64) error {
	prepaid := k.o.Budgets()[p.account]
	if p.free(prepaid) >= tokens-p.available() {
		return nil
	}
	// Own figures are newer than the record's.
	spent := p.record.SpentAtLeast() - p.record.Figure(k.o.VM, k.o.Incarnation).Spent + p.spent + p.lent - p.borrowed
	if prepaid-spent < tokens {
		return ErrExhausted
	}
	return ErrContended
}

func (k *Keeper) stopWaiting(account string, tokens int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	p := k.purse(account)
	p.waiting -= tokens
}

func (k *Keeper) purse(account string) *purse {
	p := k.purses[account]
	if p == nil {
		p = &purse{account: account, pendingAt: noWrite, record: Record{Holders: map[string]map[string]Figure{}}}
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
	// roundEvery bounds the age of grants that nobody asked for.
	roundEvery = 500 * time.Millisecond
	// roundPause keeps a router with many small draws from calling without pause.
	roundPause = 40 * time.Millisecond
	// callTimeout is far above the store's usual few milliseconds, and short
	// beside the time a caller waits.
	callTimeout = 900 * time.Millisecond
	// txnAccounts keeps a transaction, two rows an account, below the store's 32.
	txnAccounts = 14
)

// Run talks with the store until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(roundEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-k.wake:
		}
		k.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(roundPause):
		}
	}
}

// round brings records, grants and reservations in line once.
func (k *Keeper) round(ctx context.Context) {
	defer k.broadcast()
	if k.mustRead() {
		if !k.read(ctx) {
			return
		}
	}
	for _, draw := range k.plan() {
		k.commit(ctx, draw)
	}
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
	for account := range budgets {
		if !k.purse(account).decided {
			return true
		}
	}
	return false
}

func (k *Keeper) read(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	snapshot, err := k.o.Store.Read(ctx, k.o.Prefix)
	k.contact(err)
	if err != nil {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	found := make(map[string]bool, len(snapshot.Items))
	for _, item := range snapshot.Items {
		account := strings.TrimPrefix(item.Key, k.o.Prefix)
		found[account] = true
		k.learn(k.purse(account), item)
	}
	for account, p := range k.purses {
		if !found[account] && !p.decided {
			p.record, p.revision, p.decided = Record{Holders: map[string]map[string]Figure{}}, 0, true
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

// draw is one transaction: the new figures of some accounts.
type draw struct {
	purses  []*purse
	figures []Figure
	records []Record
	// pendingAt is what each purse had before this transaction.
	pendingAt []int64
	txn       store.Txn
}

// plan works out the writes that are due now.
func (k *Keeper) plan() []draw {
	budgets := k.o.Budgets()
	routers := max(1, k.o.Routers())
	now := k.o.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopped {
		return nil
	}
	accounts := make([]string, 0, len(budgets))
	for account := range budgets {
		accounts = append(accounts, account)
	}
	sort.Strings(accounts)
	var draws []draw
	current := draw{}
	for _, account := range accounts {
		p := k.purse(account)
		p.updateRate(now)
		granted, due := p.plan(budgets[account], routers)
		// An undecided write must be followed by another of the same record:
		// that moves the revision, after which the lost one can't land any more.
		if !due && p.pendingAt == noWrite || !p.decided {
			continue
		}
		k.add(&current, p, granted)
		if len(current.purses) == txnAccounts {
			draws = append(draws, current)
			current = draw{}
		}
	}
	if len(current.purses) > 0 {
		draws = append(draws, current)
	}
	return draws
}

// add puts one account's new figure into a transaction. A smaller grant counts
// from now on, before it is stored; a larger one only once it is stored.
func (k *Keeper) add(d *draw, p *purse, granted int64) {
	p.seq++
	figure := Figure{Seq: p.seq, Granted: granted, Spent: p.spent + p.lent - p.borrowed}
	next := p.record.With(k.o.VM, k.o.Incarnation, figure)
	p.granted = min(p.granted, granted)
	d.pendingAt = append(d.pendingAt, p.pendingAt)
	p.pendingAt = p.revision
	key := k.o.Prefix + p.account
	d.purses = append(d.purses, p)
	d.figures = append(d.figures, figure)
	d.records = append(d.records, next)
	d.txn.Expect = append(d.txn.Expect, store.Expect{Key: key, Revision: store.Revision(p.revision)})
	d.txn.Puts = append(d.txn.Puts, store.Put{Key: key, Value: next.Encode()})
}

func (k *Keeper) commit(ctx context.Context, d draw) {
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
	case errors.Is(err, store.ErrUnavailable):
		// Nothing was done: the records are still as known.
		for i, p := range d.purses {
			p.pendingAt = d.pendingAt[i]
			p.learned(p.record, p.revision, p.record.Figure(k.o.VM, k.o.Incarnation))
		}
	default:
		for _, p := range d.purses {
			p.decided = false
		}
		k.o.Log.Emit(event.DrawUnknown, slog.Int("accounts", len(d.purses)), slog.Any(event.KeyCause, err))
	}
}

func (k *Keeper) landed(d draw, result store.Result) {
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
	for i, p := range d.purses {
		if len(d.pendingAt) > 0 {
			p.pendingAt = d.pendingAt[i] // this transaction is answered: it never lands
		}
		item, found := current[k.o.Prefix+p.account]
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
	reached := err == nil || errors.Is(err, store.ErrConflict)
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

// Return gives all unspent grants back, at a planned stop. Requests that still
// run keep their reservations out of it; they count as spent.
func (k *Keeper) Return(ctx context.Context) error {
	k.mu.Lock()
	k.stopped = true
	k.mu.Unlock()
	const rounds = 8 // each conflict means that another router's write landed
	var err error
	for i := 0; i < rounds; i++ {
		d, any := k.closing()
		if !any {
			return nil
		}
		if err = k.close(ctx, d); err == nil {
			continue
		}
		if errors.Is(err, store.ErrConflict) {
			continue
		}
		return err
	}
	return err
}

func (k *Keeper) closing() (draw, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	d := draw{}
	for _, p := range k.purses {
		if !p.decided || p.record.Figure(k.o.VM, k.o.Incarnation).Seq == 0 || len(d.purses) == txnAccounts {
			continue
		}
		spent := max(0, min(p.granted, p.used()))
		next := p.record.Without(k.o.VM, k.o.Incarnation, spent)
		key := k.o.Prefix + p.account
		p.granted = min(p.granted, spent)
		d.purses = append(d.purses, p)
		d.records = append(d.records, next)
		d.txn.Expect = append(d.txn.Expect, store.Expect{Key: key, Revision: store.Revision(p.revision)})
		d.txn.Puts = append(d.txn.Puts, store.Put{Key: key, Value: next.Encode()})
	}
	return d, len(d.purses) > 0
}

func (k *Keeper) close(ctx context.Context, d draw) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, err := k.o.Store.Commit(ctx, d.txn)
	k.mu.Lock()
	defer k.mu.Unlock()
	if errors.Is(err, store.ErrConflict) {
		k.conflicted(d, result)
		return err
	}
	if err != nil {
		return errors.Wrap(err, "return of grants")
	}
	for i, p := range d.purses {
		p.record, p.revision = d.records[i], int64(result.Revision)
		k.o.Log.Emit(event.GrantsReturned, slog.String(event.KeyBudget, p.account), slog.Int64("spent", p.spent))
	}
	return nil
}
