package escrow

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/event"
)

// Reserve sets tokens aside: out of what is here, else from the account's home,
// else by a draw of its own. Where the store can't give either, it asks all other
// routers: while it is away, and at the end of a budget, what one router lacks lies
// unused at another.
func (k *Keeper) Reserve(ctx context.Context, account string, tokens int64) (*Reservation, error) {
	home := k.o.Home(account)
	h := k.begin(account, tokens, home == "", "")
	drew := home != "" && k.borrowFromHome(ctx, h, home)
	if h.missing == 0 {
		k.noteIsolated(false)
		return h.reservation(), nil
	}
	err := ErrContended // where the home has tried to draw
	if !drew {
		err = k.draw(ctx, h)
	}
	if err != nil && ctx.Err() == nil {
		err = k.borrow(ctx, h, err)
	}
	for errors.Is(err, ErrUnreachable) && k.opensSoon() && pause(ctx, openPoll) {
		err = k.again(ctx, h)
	}
	k.noteIsolated(errors.Is(err, ErrUnreachable))
	if err != nil {
		h.release()
		return nil, err
	}
	return h.reservation(), nil
}

// borrowFromHome gets what is missing from the account's home, or from its standby if the
// home can't be reached. It says whether one of them could have drawn more if there were
// more.
func (k *Keeper) borrowFromHome(ctx context.Context, h *hold, home string) (drew bool) {
	for _, address := range []string{home, k.o.Standby(h.grant.account)} {
		if h.missing == 0 || drew || address == "" || address != home && k.isAway() {
			break
		}
		var got int64
		got, drew = k.o.Peers.BorrowFrom(ctx, address, h.grant.account, h.missing, h.waiterID)
		h.got(got)
	}
	return drew
}

// openPoll is how often a reservation that waits for the opening tries again, and
// opensWithin the time after which waiting is left to the caller.
const (
	openPoll    = 120 * time.Millisecond
	opensWithin = 1500 * time.Millisecond
)

// opensSoon says whether the store has been away for so short a time that what is
// held beyond the ceilings opens while a caller waits. Ceilings are low, so that
// little is lost with a router that dies; the first seconds of an outage are
// bridged by waiting.
func (k *Keeper) opensSoon() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.away && k.age() < openAfter+opensWithin
}

// pause waits; false if ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// again tries to fill a hold from here and from its home.
func (k *Keeper) again(ctx context.Context, h *hold) error {
	k.mu.Lock()
	h.fill()
	k.mu.Unlock()
	if home := k.o.Home(h.grant.account); h.missing > 0 && home != "" {
		got, _ := k.o.Peers.BorrowFrom(ctx, home, h.grant.account, h.missing, h.waiterID)
		h.got(got)
	}
	if h.missing > 0 {
		return ErrUnreachable
	}
	return nil
}

// isolatedMost is how many reservations in a row find neither the store nor tokens
// at other routers before this router counts as isolated.
const isolatedMost = 3

// noteIsolated counts reservations that found nobody.
func (k *Keeper) noteIsolated(isolated bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !isolated {
		k.isolated = 0
		return
	}
	k.isolated++
}

// Isolated says whether this router can't pay for requests while others may: it is
// cut off from the store and from them. Callers are better served elsewhere.
func (k *Keeper) Isolated() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.away && k.isolated >= isolatedMost
}

// hold is a reservation that is being put together. What it has is set aside at
// once: else requests that come meanwhile take it, and all of them come up short.
type hold struct {
	keeper  *Keeper
	grant   *grant
	tokens  int64
	missing int64
	// queued: while the store is away it is served whole and in its turn.
	queued   bool
	waiterID string // its name in a queue
}

// begin puts a hold together out of what is here. Without a name it gets one.
func (k *Keeper) begin(account string, tokens int64, queued bool, waiterID string) *hold {
	k.mu.Lock()
	defer k.mu.Unlock()
	if waiterID == "" {
		k.waiters++
		waiterID = k.o.Incarnation + "/" + strconv.FormatInt(k.waiters, 10)
	}
	h := &hold{keeper: k, grant: k.grant(account), tokens: tokens, missing: tokens, queued: queued, waiterID: waiterID}
	h.fill()
	if _, short := h.grant.raised(h.grant.granted, k.o.Budgets()[account], k.o.Home(account) == "", k.roundTrip); short {
		k.wakeUp()
	}
	return h
}

// fill takes from the grant what it can. The keeper is locked.
func (h *hold) fill() {
	available := h.grant.available(h.keeper.age())
	if h.keeper.away {
		available = h.share(available)
	}
	here := max(0, min(h.missing, available))
	h.grant.reserved += here
	h.missing -= here
}

// share is what the hold may take of what is available while the store is away: all it
// needs once it is its turn, or, without a place in the queue, what nobody waits for.
func (h *hold) share(available int64) int64 {
	now := h.keeper.o.Clock().Steady
	if !h.queued {
		return available - h.grant.queue.wanted(now)
	}
	if h.missing == 0 || !h.grant.queue.admits(h.waiterID, h.missing, available, now) {
		return 0
	}
	return h.missing
}

// got adds what another router gave.
func (h *hold) got(tokens int64) {
	h.keeper.mu.Lock()
	defer h.keeper.mu.Unlock()
	h.grant.borrowed += tokens
	h.grant.reserved += min(tokens, h.missing)
	h.missing -= min(tokens, h.missing)
}

func (h *hold) release() {
	h.keeper.mu.Lock()
	defer h.keeper.mu.Unlock()
	h.grant.reserved -= h.tokens - h.missing
}

func (h *hold) reservation() *Reservation {
	return &Reservation{keeper: h.keeper, grant: h.grant, tokens: h.tokens}
}

// drawPatience is how long a reservation waits for a draw at least before it asks other
// routers: some times what a store in good health takes. That the store is away shows
// only after callTimeout.
const drawPatience = 60 * time.Millisecond

// patience is how long a reservation waits for a draw: for one that is under way and the
// one that follows it.
func (k *Keeper) patience() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return max(drawPatience, slowWrites*k.roundTrip)
}

// draw waits until the hold is filled by a draw, or says why it can't be.
func (k *Keeper) draw(ctx context.Context, h *hold) error {
	patience := time.NewTimer(k.patience())
	defer patience.Stop()
	for round := 0; ; round++ {
		changed, err := k.await(h, round > 0)
		if changed == nil {
			return err
		}
		select {
		case <-ctx.Done():
			err = ErrUnreachable
		case <-patience.C:
			err = ErrUnreachable
		case <-changed:
		}
		k.stopWaiting(h)
		if err != nil {
			return err
		}
	}
}

// await fills the hold if it can, and returns nothing. Else it returns the channel
// that closes after the next round with the store, or why waiting doesn't help.
func (k *Keeper) await(h *hold, waited bool) (<-chan struct{}, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	h.fill()
	switch {
	case h.missing == 0:
		return nil, nil
	case k.away:
		return nil, ErrUnreachable
	case waited && h.grant.decided && k.lacks(h):
		return nil, ErrContended
	}
	h.grant.waiting += h.missing
	k.wakeUp()
	return k.changed, nil
}

// lacks says whether the record can't give what is missing.
func (k *Keeper) lacks(h *hold) bool {
	p := h.grant
	return p.free(k.o.Budgets()[p.account])+p.granted-p.used() < h.missing
}

func (k *Keeper) stopWaiting(h *hold) {
	k.mu.Lock()
	defer k.mu.Unlock()
	h.grant.waiting -= h.missing
}

// borrow gets what is missing from any other routers.
func (k *Keeper) borrow(ctx context.Context, h *hold, short error) error {
	missing := h.missing
	got, used := k.o.Peers.Borrow(ctx, h.grant.account, missing)
	h.got(got)
	k.mu.Lock()
	defer k.mu.Unlock()
	record := h.grant.record
	prepaid := k.o.Budgets()[h.grant.account]
	if got > 0 || h.grant.lackLog.due(k.o.Clock().Steady) {
		k.o.Log.Emit(event.TokensBorrowed, slog.String(event.KeyBudget, h.grant.account), slog.Int64("missing", missing),
			slog.Int64(event.KeyTokens, got), slog.Int64("prepaid", prepaid), slog.Int64("given", record.Given()),
			slog.Int64("closed", record.Closed), slog.Int64("used", used), slog.Any(event.KeyCause, short),
			slog.Int("unlogged", h.grant.lackLog.take()))
	}
	if h.missing == 0 {
		return nil
	}
	// All that is surely used, with reservations at their most. What nobody could
	// tell of may still come back, so that is no reason to say exhausted.
	used += h.grant.used() - (h.tokens - h.missing)
	switch {
	case prepaid-used-record.ClosedSpent < h.tokens:
		return ErrExhausted
	case errors.Is(short, ErrContended) && prepaid-used-record.Closed < h.tokens:
		return ErrInDoubt
	}
	return short
}

// lendPatience is how long a router that is asked waits for a draw of its own.
const lendPatience = 100 * time.Millisecond

// Lend gives tokens to another router, as many as it can get hold of without asking
// others, and tells how many are used here and whether the store is away. What it
// gives counts as used from then on. The name keeps the borrower's place in the queue
// while the store is away; without one, it gets what nobody waits for.
func (k *Keeper) Lend(account string, tokens int64, waiterID string) (given, used int64, away bool) {
	h := k.begin(account, tokens, waiterID != "", waiterID)
	if h.missing > 0 {
		ctx, cancel := context.WithTimeout(context.Background(), lendPatience)
		defer cancel()
		if err := k.draw(ctx, h); err != nil {
			k.o.Log.Emit(event.LoanShort, slog.String(event.KeyBudget, account), slog.Int64("missing", h.missing), slog.Any(event.KeyCause, err))
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	given = h.tokens - h.missing
	h.grant.reserved -= given
	used = h.grant.used()
	h.grant.lent += given
	h.grant.use += given
	return given, used, k.away
}

// TakeBack undoes a loan that its borrower never got.
func (k *Keeper) TakeBack(account string, tokens int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	p := k.grant(account)
	p.lent -= tokens
	p.use -= tokens
}

const (
	// sweepEvery bounds how long tokens lie unused: a request reserves its most,
	// and leaves about half of it.
	sweepEvery = 400 * time.Millisecond
	// sweepTime bounds the handing back of tokens to their accounts' homes.
	sweepTime = 300 * time.Millisecond
)

// sweep hands what is left here to the accounts' homes, so that it is not lost in
// small parts with every router, and not missing where it is needed.
func (k *Keeper) sweep(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sweepTime)
	defer cancel()
	for home, left := range k.strays() {
		k.give(ctx, home, left)
	}
}

// strays takes what is left here of accounts whose home is another router, by home.
func (k *Keeper) strays() map[string]map[string]int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	byHome := make(map[string]map[string]int64)
	for account, p := range k.grants {
		home := k.o.Home(account)
		tokens := p.available(k.age())
		if home == "" || tokens <= 0 {
			continue
		}
		if byHome[home] == nil {
			byHome[home] = make(map[string]int64)
		}
		byHome[home][account] = tokens
		p.lent += tokens
	}
	return byHome
}

// give hands tokens to a router. They were counted as lent before.
func (k *Keeper) give(ctx context.Context, address string, tokens map[string]int64) {
	if k.o.Peers.HandOver(ctx, address, tokens) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for account, n := range tokens {
		k.grant(account).lent -= n
	}
}

// HandOver gives all unspent tokens to another router, where they can't be
// returned: at a stop while the store is away.
func (k *Keeper) HandOver(ctx context.Context, address string) {
	k.mu.Lock()
	left := make(map[string]int64)
	for account, p := range k.grants {
		if tokens := p.available(k.age()); tokens > 0 {
			left[account] = tokens
			p.lent += tokens
		}
	}
	k.mu.Unlock()
	k.o.Log.Emit(event.TokensHandedOver, slog.String(event.KeyRouter, address), slog.Int("accounts", len(left)))
	k.give(ctx, address, left)
}

// Leave says that this router is about to stop: it takes no tokens of others any more.
// Where several stop at once, each may hold another one for the new home; what they hand
// to each other then is lost, since only what a router was granted itself is returned.
func (k *Keeper) Leave() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaving = true
}

// Accept takes tokens that another router hands over; false: none of them.
func (k *Keeper) Accept(tokens map[string]int64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leaving {
		return false
	}
	for account, n := range tokens {
		p := k.grant(account)
		p.borrowed += max(0, n)
		p.use -= max(0, n)
	}
	return true
}
