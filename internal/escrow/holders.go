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
	// standbyFor is how long a router goes on holding after it was last asked.
	standbyFor = 2 * time.Second
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

// inContact says whether the router could have drawn if there were more to draw.
func (s Shortage) inContact() bool {
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
	case p.askedAt > 0 && m.o.Clock().Steady-p.askedAt < standbyFor:
		return standby
	}
	return borrower
}

// drawingMost is how often one that is drawing is asked for a request: a store that takes
// half a second for a write is waited for, and no second router draws beside it.
const drawingMost = 5

// awayFor is how long a holder that had no contact with the store is left out.
const awayFor = time.Second

// borrowFromHolders gets what is missing from the account's holders, in their order, up to
// the first that can draw. It says what that one lacked; inContact is false if none can.
func (m *GrantManager) borrowFromHolders(ctx context.Context, h *hold) (short Shortage, inContact bool) {
	ranked, awayHome := m.holdersToAsk(h.grant.account)
	for _, address := range ranked {
		short = m.borrowFrom(ctx, h, address)
		for tries := 1; short == DrawPending && tries < drawingMost && ctx.Err() == nil; tries++ {
			short = m.borrowFrom(ctx, h, address)
		}
		if inContact = short.inContact(); inContact || h.missing == 0 {
			break
		}
	}
	if h.missing > 0 && awayHome != "" {
		m.borrowFrom(ctx, h, awayHome)
	}
	return short, inContact
}

// borrowFrom asks one holder.
func (m *GrantManager) borrowFrom(ctx context.Context, h *hold, address string) Shortage {
	loan := m.o.Peers.BorrowFrom(ctx, address, h.grant.account, h.missing, h.waiterID)
	h.got(loan.Tokens)
	// A request whose time is over tells nothing of whom it asked.
	if ctx.Err() == nil && (loan.Short == PeerUnreachable || loan.Short == StoreUnreachable) {
		m.noteAway(address)
	}
	return loan.Short
}

// holdersToAsk are the addresses of the account's holders that this router asks: those that
// rank before it, and all others too while it can't draw itself. One that lately had no
// contact with the store is left out, but for the home, which still holds a grant: it is
// asked after the others.
func (m *GrantManager) holdersToAsk(account string) (ranked []string, awayHome string) {
	for i, address := range m.o.Holders(account) {
		switch {
		case address == "" && !m.isAway():
			return ranked, awayHome
		case address == "":
		case !m.wasAway(address):
			ranked = append(ranked, address)
		case i == 0:
			awayHome = address
		}
	}
	return ranked, awayHome
}

func (m *GrantManager) wasAway(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, found := m.holdersAway[address]
	return found && m.o.Clock().Steady-at < awayFor
}

func (m *GrantManager) noteAway(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.holdersAway[address] = m.o.Clock().Steady
}

// lastResort is the mean time between two draws of a router that ranks nowhere, when none of
// the account's holders can draw. All routers are in that case at once, so each waits for a
// random time around it, and who is refused meanwhile is told to come back.
const lastResort = time.Second

// mayDraw says whether this router may draw for a request: as one of the account's holders,
// or once in a while as a last resort.
func (m *GrantManager) mayDraw(p *grant) bool {
	ranks := slices.Contains(m.o.Holders(p.account), "")
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.o.Clock().Steady
	if m.away {
		return false
	}
	if ranks {
		p.askedAt = now // it holds from now on for those who rank behind
		return true
	}
	if now < p.nextDraw {
		return false
	}
	p.nextDraw = now + lastResort/2 + rand.N(lastResort)
	return true
}

// lentLately is how long tokens that were lent count as possibly unused, up to twice: the
// borrower hands back with its next sweep what a request has left. With seconds of it, small
// requests of a used up budget were told to come back soon, again and again.
const lentLately = sweepEvery

// shortage says why the record can't give what is missing, as far as that is known here. The
// keeper is locked.
func (m *GrantManager) shortage(h *hold) error {
	p := h.grant
	prepaid := m.o.Budgets()[p.account]
	// What others drew themselves counts as far as they or the record tell.
	used := p.used() - (h.tokens - h.missing) + m.spentElsewhere(p)
	left := prepaid - used + p.lately.sum(m.o.Clock().Steady)
	doubtful := p.record.Closed - p.record.ClosedSpent
	why := ErrContended
	switch {
	case left < h.tokens:
		why = ErrExhausted
	case left-doubtful < h.tokens:
		why = ErrInDoubt
	}
	m.logShortage(p, prepaid, used, left, why)
	return why
}

// logShortage tells of a budget that can't give what is asked for, once a second. The keeper
// is locked.
func (m *GrantManager) logShortage(p *grant, prepaid, used, left int64, why error) {
	if !p.lackLog.due(m.o.Clock().Steady) {
		return
	}
	m.o.Log.Emit(event.BudgetShort, slog.String(event.KeyBudget, p.account), slog.Int64("prepaid", prepaid),
		slog.Int64("given", p.record.TotalGranted()), slog.Int64("closed", p.record.Closed),
		slog.Int64("closed_spent", p.record.ClosedSpent), slog.Int64("used", used), slog.Int64("left", left),
		slog.Int64("revision", p.revision), slog.Any(event.KeyCause, why), slog.Int("unlogged", p.lackLog.take()))
}

// recently sums up the tokens lent in the present lentLately and the one before it.
type recently struct {
	since     time.Duration
	now, last int64
}

func (r *recently) add(tokens int64, now time.Duration) {
	r.turn(now)
	r.now += tokens
}

func (r *recently) sum(now time.Duration) int64 {
	r.turn(now)
	return r.now + r.last
}

func (r *recently) turn(now time.Duration) {
	switch passed := now - r.since; {
	case passed >= 2*lentLately:
		r.now, r.last, r.since = 0, 0, now
	case passed >= lentLately:
		r.last, r.now, r.since = r.now, 0, now
	}
}

// fruitlessFor is how long other routers are not asked again for an account of which they
// had nothing. Each request of an outage asked up to twelve of them.
const fruitlessFor = 250 * time.Millisecond

// borrow gets what is missing from any other routers, where no holder has contact with the
// store.
func (m *GrantManager) borrow(ctx context.Context, h *hold) error {
	if !m.mayAsk(h.grant) {
		return ErrUnreachable
	}
	missing := h.missing
	got, used := m.o.Peers.Borrow(ctx, h.grant.account, missing)
	h.got(got)
	m.mu.Lock()
	defer m.mu.Unlock()
	record := h.grant.record
	prepaid := m.o.Budgets()[h.grant.account]
	if got > 0 || h.grant.lackLog.due(m.o.Clock().Steady) {
		m.o.Log.Emit(event.TokensBorrowed, slog.String(event.KeyBudget, h.grant.account), slog.Int64("missing", missing),
			slog.Int64(event.KeyTokens, got), slog.Int64("prepaid", prepaid), slog.Int64("given", record.TotalGranted()),
			slog.Int64("closed", record.Closed), slog.Int64("used", used), slog.Any(event.KeyCause, ErrUnreachable),
			slog.Int("unlogged", h.grant.lackLog.take()))
	}
	if h.missing == 0 {
		return nil
	}
	if got == 0 {
		h.grant.fruitless = m.o.Clock().Steady
	}
	// All that is surely used, with reservations at their most. What nobody could
	// tell of may still come back, so that is no reason to say exhausted.
	used += h.grant.used() - (h.tokens - h.missing)
	if prepaid-used-record.ClosedSpent < h.tokens {
		return ErrExhausted
	}
	return ErrUnreachable
}

// mayAsk says whether other routers may have something.
func (m *GrantManager) mayAsk(p *grant) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return p.fruitless == 0 || m.o.Clock().Steady-p.fruitless >= fruitlessFor
}
