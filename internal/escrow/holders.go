package escrow

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/event"
)

// An account's grant is held by few routers for all: its home, and while that has no contact
// with the store, the first of its standbys that has. All others ask those and don't write
// the record: the writes of a record don't grow with the routers, nor race for it.

// MaxHolders is how many routers are ranked for an account. That the store refuses all of
// them and not the others is rare.
const MaxHolders = 6

// role is what a router is for an account.
type role int

const (
	// borrower: it asks the account's holders.
	borrower role = iota
	// standby: it was asked of late to hold for those who find no home in contact.
	standby
	// home holds the account's grant for all.
	home
)

const (
	// standbyTimeout is how long a router goes on holding after it was last asked.
	standbyTimeout = 2 * time.Second
	// standbyHorizon is how much of the use seen there a standby holds: it writes once in
	// that time, and what it holds would be out of reach if it were lost as well.
	standbyHorizon = 2 * time.Second
)

// Shortage says why a router could not give all the tokens that it was asked for.
type Shortage int

const (
	// NoShortage: it gave all.
	NoShortage Shortage = iota
	// PeerUnreachable: it didn't answer.
	PeerUnreachable
	// DrawPending: it waits for a draw longer than the borrower's call may take.
	DrawPending
	// StoreUnreachable: it has no contact with the store and could not draw.
	StoreUnreachable
	// HeldElsewhere: all is granted, and some of it may come back.
	HeldElsewhere
	// InDoubt: the rest may have been spent by routers that died.
	InDoubt
	// Exhausted: the rest surely doesn't cover the request.
	Exhausted
)

// err is what a reservation ends with for want of tokens.
func (s Shortage) err() error {
	switch s {
	case DrawPending, HeldElsewhere:
		return ErrContended
	case InDoubt:
		return ErrInDoubt
	case Exhausted:
		return ErrExhausted
	}
	return ErrUnreachable
}

// canDraw says whether the router could have drawn if there were more to draw.
func (s Shortage) canDraw() bool {
	return s == DrawPending || s == HeldElsewhere || s == InDoubt || s == Exhausted
}

// shortageOf is what a lender tells of an error.
func shortageOf(err error) Shortage {
	switch {
	case err == nil:
		return NoShortage
	case errors.Is(err, ErrContended):
		return HeldElsewhere
	case errors.Is(err, ErrInDoubt):
		return InDoubt
	case errors.Is(err, ErrExhausted):
		return Exhausted
	}
	return StoreUnreachable
}

// roleOf is this router's role for an account.
func (m *GrantManager) roleOf(account string) role {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.role(m.grant(account))
}

// role is the same; the keeper is locked.
func (m *GrantManager) role(p *grant) role {
	switch {
	case m.o.Home(p.account) == "":
		return home
	case p.lastAskedAt > 0 && m.o.Clock().Steady-p.lastAskedAt < standbyTimeout:
		return standby
	}
	return borrower
}

// maxDrawPendingTries is how often one that is drawing is asked for a request: a store that takes
// half a second for a write is waited for, and no second router draws beside it.
const maxDrawPendingTries = 5

// holderBackoff is how long a holder that had no contact with the store is left out.
const holderBackoff = time.Second

// borrowFromHolders gets what is missing from the account's holders, in their order, up to
// the first that can draw. It says what that one lacked; inContact is false if none can.
func (m *GrantManager) borrowFromHolders(ctx context.Context, h *pendingReservation) (short Shortage, canDraw bool) {
	addresses, unavailableHome := m.holdersToAsk(h.grant.account)
	for _, address := range addresses {
		short = m.borrowFrom(ctx, h, address)
		for tries := 1; short == DrawPending && tries < maxDrawPendingTries && ctx.Err() == nil; tries++ {
			short = m.borrowFrom(ctx, h, address)
		}
		if canDraw = short.canDraw(); canDraw || h.missing == 0 {
			break
		}
	}
	if h.missing > 0 && unavailableHome != "" {
		m.borrowFrom(ctx, h, unavailableHome)
	}
	return short, canDraw
}

// borrowFrom asks one holder.
func (m *GrantManager) borrowFrom(ctx context.Context, h *pendingReservation, address string) Shortage {
	loan := m.o.Peers.BorrowFrom(ctx, address, h.grant.account, h.missing, h.waiterID)
	h.received(loan.Tokens)
	// A request whose time is over tells nothing of whom it asked.
	if ctx.Err() == nil && (loan.Short == PeerUnreachable || loan.Short == StoreUnreachable) {
		m.markUnavailable(address)
	}
	return loan.Short
}

// holdersToAsk are the addresses of the account's holders that this router asks: those that
// rank before it, and all others too while it can't draw itself. One that lately had no
// contact with the store is left out, but for the home, which still holds a grant: it is
// asked after the others.
func (m *GrantManager) holdersToAsk(account string) (addresses []string, unavailableHome string) {
	for i, address := range m.o.Holders(account) {
		switch {
		case address == "" && !m.isStoreDown():
			return addresses, unavailableHome
		case address == "":
		case !m.isUnavailable(address):
			addresses = append(addresses, address)
		case i == 0:
			unavailableHome = address
		}
	}
	return addresses, unavailableHome
}

func (m *GrantManager) isUnavailable(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, found := m.holderDownAt[address]
	return found && m.o.Clock().Steady-at < holderBackoff
}

func (m *GrantManager) markUnavailable(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.holderDownAt[address] = m.o.Clock().Steady
}

// lastResortInterval is the mean time between two draws of a router that ranks nowhere, when none of
// the account's holders can draw. All routers are in that case at once, so each waits for a
// random time around it, and who is refused meanwhile is told to come back.
const lastResortInterval = time.Second

// mayDraw says whether this router may draw for a request: as one of the account's holders,
// or once in a while as a last resort.
func (m *GrantManager) mayDraw(p *grant) bool {
	isHolder := slices.Contains(m.o.Holders(p.account), "")
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.o.Clock().Steady
	if m.storeDown {
		return false
	}
	if isHolder {
		p.lastAskedAt = now // it holds from now on for those who rank behind
		return true
	}
	if now < p.nextLastResortDraw {
		return false
	}
	p.nextLastResortDraw = now + lastResortInterval/2 + rand.N(lastResortInterval)
	return true
}

// recentLoanWindow is how long tokens that were lent count as possibly unused, up to twice: the
// borrower hands back with its next sweep what a request has left. With seconds of it, small
// requests of a used up budget were told to come back soon, again and again.
const recentLoanWindow = sweepInterval

// shortageError says why the record can't give what is missing, as far as that is known here. The
// keeper is locked.
func (m *GrantManager) shortageError(h *pendingReservation) error {
	p := h.grant
	prepaid := m.o.Budgets()[p.account]
	// What others drew themselves counts as far as they or the record tell.
	used := p.used() - (h.tokens - h.missing) + m.spentElsewhere(p)
	left := prepaid - used + p.recentlyLent.sum(m.o.Clock().Steady)
	inDoubt := p.record.Closed - p.record.ClosedSpent
	err := ErrContended
	switch {
	case left < h.tokens:
		err = ErrExhausted
	case left-inDoubt < h.tokens:
		err = ErrInDoubt
	}
	m.logShortage(p, prepaid, used, left, err)
	return err
}

// logShortage tells of a budget that can't give what is asked for, once a second. The keeper
// is locked.
func (m *GrantManager) logShortage(p *grant, prepaid, used, left int64, cause error) {
	if !p.shortageLog.due(m.o.Clock().Steady) {
		return
	}
	m.o.Log.Emit(event.BudgetShort, slog.String(event.KeyBudget, p.account), slog.Int64("prepaid", prepaid),
		slog.Int64("given", p.record.TotalGranted()), slog.Int64("closed", p.record.Closed),
		slog.Int64("closed_spent", p.record.ClosedSpent), slog.Int64("used", used), slog.Int64("left", left),
		slog.Int64("revision", p.revision), slog.Any(event.KeyCause, cause), slog.Int("unlogged", p.shortageLog.take()))
}

// recentLoans sums up the tokens lent in the present recentLoanWindow and the one before it.
type recentLoans struct {
	windowStart   time.Duration
	now, previous int64
}

func (r *recentLoans) add(tokens int64, now time.Duration) {
	r.rotate(now)
	r.now += tokens
}

func (r *recentLoans) sum(now time.Duration) int64 {
	r.rotate(now)
	return r.now + r.previous
}

func (r *recentLoans) rotate(now time.Duration) {
	switch passed := now - r.windowStart; {
	case passed >= 2*recentLoanWindow:
		r.now, r.previous, r.windowStart = 0, 0, now
	case passed >= recentLoanWindow:
		r.previous, r.now, r.windowStart = r.now, 0, now
	}
}

// emptyBorrowBackoff is how long other routers are not asked again for an account of which they
// had nothing. Each request of an outage asked up to twelve of them.
const emptyBorrowBackoff = 250 * time.Millisecond

// borrowFromPeers gets what is missing from any other routers, where no holder has contact with the
// store.
func (m *GrantManager) borrowFromPeers(ctx context.Context, h *pendingReservation) error {
	if !m.mayBorrow(h.grant) {
		return ErrUnreachable
	}
	missing := h.missing
	received, used := m.o.Peers.Borrow(ctx, h.grant.account, missing)
	h.received(received)
	m.mu.Lock()
	defer m.mu.Unlock()
	record := h.grant.record
	prepaid := m.o.Budgets()[h.grant.account]
	if received > 0 || h.grant.shortageLog.due(m.o.Clock().Steady) {
		m.o.Log.Emit(event.TokensBorrowed, slog.String(event.KeyBudget, h.grant.account), slog.Int64("missing", missing),
			slog.Int64(event.KeyTokens, received), slog.Int64("prepaid", prepaid), slog.Int64("given", record.TotalGranted()),
			slog.Int64("closed", record.Closed), slog.Int64("used", used), slog.Any(event.KeyCause, ErrUnreachable),
			slog.Int("unlogged", h.grant.shortageLog.take()))
	}
	if h.missing == 0 {
		return nil
	}
	if received == 0 {
		h.grant.emptyBorrowAt = m.o.Clock().Steady
	}
	// All that is surely used, with reservations at their most. What nobody could
	// tell of may still come back, so that is no reason to say exhausted.
	used += h.grant.used() - (h.tokens - h.missing)
	if prepaid-used-record.ClosedSpent < h.tokens {
		return ErrExhausted
	}
	return ErrUnreachable
}

// mayBorrow says whether other routers may have something.
func (m *GrantManager) mayBorrow(p *grant) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return p.emptyBorrowAt == 0 || m.o.Clock().Steady-p.emptyBorrowAt >= emptyBorrowBackoff
}
