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

// Each account has a few holders, ranked: routers that draw tokens from its budget record on
// behalf of all routers. The first is the account's home. While the home can't reach the
// store, the first of the others (its standbys) that can reach it draws instead. All other
// routers borrow from the holders and don't write the record, so the number of writes doesn't
// grow with the number of routers, and writes rarely conflict.

// MaxHolders is the number of routers ranked as holders of an account. It is rare that none of
// them can reach the store while other routers can.
const MaxHolders = 6

// role is the part that a router plays for an account.
type role int

const (
	// borrower borrows tokens from the account's holders.
	borrower role = iota
	// standby was recently asked for tokens by routers whose home is unavailable, and draws
	// on their behalf.
	standby
	// home draws on behalf of all routers.
	home
)

const (
	// standbyTimeout is how long a router stays a standby after it was last asked for tokens.
	standbyTimeout = 2 * time.Second
	// standbyHorizon is how long a standby's grant should last at its current rate of use. It
	// writes the record once in that time. The horizon is short because the grant becomes
	// unavailable if the standby fails too.
	standbyHorizon = 2 * time.Second
)

// Shortage is the reason why a router lent fewer tokens than it was asked for.
type Shortage int

const (
	// NoShortage: it lent all tokens.
	NoShortage Shortage = iota
	// PeerUnreachable: it did not answer.
	PeerUnreachable
	// DrawPending: its draw takes longer than the borrower's call may last.
	DrawPending
	// StoreUnreachable: it can't reach the store and could not draw.
	StoreUnreachable
	// HeldElsewhere: the whole budget is granted; some of it may be returned unused.
	HeldElsewhere
	// InDoubt: the rest of the budget may have been spent by routers that died.
	InDoubt
	// Exhausted: the budget does not cover the request even if all unspent tokens are returned.
	Exhausted
	// Rationed: little of the budget is left, and it is kept for more urgent or smaller requests.
	Rationed
)

// err returns the error of a reservation that fails for this reason.
func (s Shortage) err() error {
	switch s {
	case DrawPending, HeldElsewhere:
		return ErrContended
	case InDoubt:
		return ErrInDoubt
	case Exhausted:
		return ErrExhausted
	case Rationed:
		return ErrRationed
	}
	return ErrUnreachable
}

// canDraw reports whether the router could have drawn tokens if the budget had any left.
func (s Shortage) canDraw() bool {
	return s == DrawPending || s == HeldElsewhere || s == InDoubt || s == Exhausted || s == Rationed
}

// shortageOf returns the reason that a lender reports for an error.
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

// roleOf returns this router's role for an account.
func (m *GrantManager) roleOf(account string) role {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.role(m.grant(account))
}

// role is roleOf for callers that hold m.mu.
func (m *GrantManager) role(g *grant) role {
	switch {
	case m.opts.Home(g.account) == "":
		return home
	case g.lastAskedAt > 0 && m.opts.Clock().Steady-g.lastAskedAt < standbyTimeout:
		return standby
	}
	return borrower
}

// maxDrawPendingTries is how often a request asks a holder whose draw is pending. It is enough
// to wait for a store that takes half a second for a write, instead of having a second router
// draw at the same time.
const maxDrawPendingTries = 5

// holderBackoff is how long a holder is skipped after it was unreachable or could not reach
// the store.
const holderBackoff = time.Second

// borrowFromHolders borrows the missing tokens from the account's holders, by rank, up to the
// first that can draw. It returns the shortage of the last holder asked; canDraw is false if
// no holder can draw.
func (m *GrantManager) borrowFromHolders(ctx context.Context, r *pendingReservation) (short Shortage, canDraw bool) {
	addresses, unavailableHome := m.holdersToAsk(r.grant.account)
	for _, address := range addresses {
		short = m.borrowFrom(ctx, r, address)
		for tries := 1; short == DrawPending && tries < maxDrawPendingTries && ctx.Err() == nil; tries++ {
			short = m.borrowFrom(ctx, r, address)
		}
		if canDraw = short.canDraw(); canDraw || r.missing == 0 {
			break
		}
	}
	if r.missing > 0 && unavailableHome != "" {
		m.borrowFrom(ctx, r, unavailableHome)
	}
	return short, canDraw
}

// borrowFrom borrows the missing tokens from one holder.
func (m *GrantManager) borrowFrom(ctx context.Context, r *pendingReservation, address string) Shortage {
	loan := m.opts.Peers.BorrowFrom(ctx, address, LoanRequest{Account: r.grant.account, Tokens: r.missing, Size: r.tokens, WaiterID: r.waiterID, Priority: r.priority})
	r.received(loan.Tokens)
	// If the request was cancelled or timed out, the failure says nothing about the holder.
	if ctx.Err() == nil && (loan.Short == PeerUnreachable || loan.Short == StoreUnreachable) {
		m.markUnavailable(address)
	}
	return loan.Short
}

// holdersToAsk returns the addresses of the account's holders to borrow from: those that rank
// above this router, and also those below it while it can't draw itself. Holders that were
// recently unavailable are left out. If the home is among them it is returned separately: it
// still holds a grant and is asked last.
func (m *GrantManager) holdersToAsk(account string) (addresses []string, unavailableHome string) {
	for i, address := range m.opts.Holders(account) {
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
	at, found := m.holderUnavailableAt[address]
	return found && m.opts.Clock().Steady-at < holderBackoff
}

func (m *GrantManager) markUnavailable(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.holderUnavailableAt[address] = m.opts.Clock().Steady
}

// lastResortInterval is the mean time between two draws of a router that is not a holder, while
// no holder can draw. All routers are in that state at once, so the time is randomized; requests
// refused in between are told to retry.
const lastResortInterval = time.Second

// mayDraw reports whether this router may draw for a request: either it is one of the account's
// holders, or a draw of last resort is due.
func (m *GrantManager) mayDraw(g *grant) bool {
	isHolder := slices.Contains(m.opts.Holders(g.account), "")
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opts.Clock().Steady
	if m.storeDown {
		return false
	}
	if isHolder {
		g.lastAskedAt = now // acts as a standby from now on
		return true
	}
	if now < g.nextLastResortDraw {
		return false
	}
	g.nextLastResortDraw = now + lastResortInterval/2 + rand.N(lastResortInterval)
	return true
}

// recentLoanWindow is the length of a window of recentLoans. Tokens lent in the current or
// previous window may still be unused: the borrower returns what a request leaves with its next
// sweep. With a window of seconds, small requests on an exhausted budget were told to retry
// again and again.
const recentLoanWindow = sweepInterval

// shortageError returns why the record can't cover the missing tokens, as far as this router
// knows. The caller holds m.mu.
func (m *GrantManager) shortageError(r *pendingReservation) error {
	g := r.grant
	prepaid := m.opts.Budgets()[g.account]
	used, left, err := m.shortageCause(g, prepaid, r.tokens, r.missing)
	m.logShortage(g, prepaid, used, left, err)
	return err
}

// shortageCause returns what is used and left of the budget, and why that can't cover a reservation. The
// caller holds m.mu.
func (m *GrantManager) shortageCause(g *grant, prepaid, tokens, missing int64) (used, left int64, err error) {
	// Tokens spent by other routers count as far as their reports or the record show them.
	used = g.used() - (tokens - missing) + m.spentElsewhere(g)
	left = prepaid - used + g.recentlyLent.sum(m.opts.Clock().Steady)
	inDoubt := g.record.Closed - g.record.ClosedSpent
	err = ErrContended
	switch {
	case left < tokens:
		err = ErrExhausted
	case left-inDoubt < tokens:
		err = ErrInDoubt
	}
	return used, left, err
}

// logShortage logs that a budget can't cover a request, at most once a second. The caller
// holds m.mu.
func (m *GrantManager) logShortage(g *grant, prepaid, used, left int64, cause error) {
	if !g.shortageLog.due(m.opts.Clock().Steady) {
		return
	}
	m.opts.Log.Emit(event.BudgetShortage, slog.String(event.KeyBudget, g.account), slog.Int64("prepaid", prepaid),
		slog.Int64("given", g.record.TotalGranted()), slog.Int64("closed", g.record.Closed),
		slog.Int64("closed_spent", g.record.ClosedSpent), slog.Int64("used", used), slog.Int64("left", left),
		g.revision.Attr(), slog.Any(event.KeyCause, cause), slog.Int("unlogged", g.shortageLog.takeSuppressed()))
}

// recentLoans counts the tokens lent in the current recentLoanWindow and the one before it.
type recentLoans struct {
	windowStart       time.Duration
	current, previous int64
}

func (r *recentLoans) add(tokens int64, now time.Duration) {
	r.rotate(now)
	r.current += tokens
}

func (r *recentLoans) sum(now time.Duration) int64 {
	r.rotate(now)
	return r.current + r.previous
}

func (r *recentLoans) rotate(now time.Duration) {
	switch passed := now - r.windowStart; {
	case passed >= 2*recentLoanWindow:
		r.current, r.previous, r.windowStart = 0, 0, now
	case passed >= recentLoanWindow:
		r.previous, r.current, r.windowStart = r.current, 0, now
	}
}

// emptyBorrowBackoff is how long borrowFromPeers is not repeated for an account after no router
// had tokens of it. Without it, each request during an outage asked up to twelve routers.
const emptyBorrowBackoff = 250 * time.Millisecond

// borrowFromPeers borrows the missing tokens from any other routers, for use while no holder can
// reach the store.
func (m *GrantManager) borrowFromPeers(ctx context.Context, r *pendingReservation) error {
	if !m.mayBorrow(r.grant) {
		return ErrUnreachable
	}
	missing := r.missing
	received, used := m.opts.Peers.Borrow(ctx, r.grant.account, missing)
	r.received(received)
	m.mu.Lock()
	defer m.mu.Unlock()
	record := r.grant.record
	prepaid := m.opts.Budgets()[r.grant.account]
	if received > 0 || r.grant.shortageLog.due(m.opts.Clock().Steady) {
		m.opts.Log.Emit(event.TokensBorrowed, slog.String(event.KeyBudget, r.grant.account), slog.Int64("missing", missing),
			slog.Int64(event.KeyTokens, received), slog.Int64("prepaid", prepaid), slog.Int64("given", record.TotalGranted()),
			slog.Int64("closed", record.Closed), slog.Int64("used", used), slog.Any(event.KeyCause, ErrUnreachable),
			slog.Int("unlogged", r.grant.shortageLog.takeSuppressed()))
	}
	if r.missing == 0 {
		return nil
	}
	if received == 0 {
		r.grant.emptyBorrowAt = m.opts.Clock().Steady
	}
	// Counts only confirmed use, with reservations in full. Tokens that no router accounted
	// for may still be returned, so they are no reason to report the budget as exhausted.
	used += r.grant.used() - (r.tokens - r.missing)
	if prepaid-used-record.ClosedSpent < r.tokens {
		return ErrExhausted
	}
	return ErrUnreachable
}

// mayBorrow reports whether emptyBorrowBackoff has passed.
func (m *GrantManager) mayBorrow(g *grant) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return g.emptyBorrowAt == 0 || m.opts.Clock().Steady-g.emptyBorrowAt >= emptyBorrowBackoff
}
