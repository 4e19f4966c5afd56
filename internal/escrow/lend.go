package escrow

import (
	"context"
	"log/slog"
	"time"

	"chicorytiller.example/chicorytiller/internal/event"
)

// Loan is what a router gives another one out of its grant.
type Loan struct {
	Tokens int64
	// Used is the tokens that the lender has spent or reserved, without the loan.
	Used int64
	// Spent is what the lender has surely spent and lent, with the loan, without what it borrowed and
	// what it lent to others in the last moments: some of that may come back.
	Spent int64
	// Short says why that is not all that was asked for.
	Short Shortage
}

// lendDrawTimeout is how long a router that is asked waits for a draw of its own: less than its
// borrower waits for the answer.
const lendDrawTimeout = 150 * time.Millisecond

// Lend gives tokens to another router. What it gives counts as used from then on. A waiter
// is a request that asks this router as a holder of the account: it gets what can be drawn,
// and keeps its place in the queue while the store is away. Without one, what nobody waits
// for is given, and nothing is drawn.
func (m *GrantManager) Lend(account string, tokens int64, waiterID string) Loan {
	r := m.newPendingReservation(account, tokens, waiterID != "", waiterID)
	loan := Loan{}
	if waiterID != "" {
		m.refreshStandby(r.grant)
		loan.Short = m.drawForLoan(r)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	loan.Tokens = r.tokens - r.missing
	r.grant.reserved -= loan.Tokens
	loan.Used = r.grant.used()
	r.grant.lent += loan.Tokens
	loan.Spent = r.grant.netSpent() - r.grant.recentlyLent.sum(m.o.Clock().Steady)
	r.grant.usedSinceRateUpdate += loan.Tokens
	r.grant.recentlyLent.add(loan.Tokens, m.o.Clock().Steady)
	return loan
}

// refreshStandby makes this router hold for the account, if it is not its home.
func (m *GrantManager) refreshStandby(p *grant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p.lastAskedAt = m.o.Clock().Steady
}

// drawForLoan draws what a loan lacks, and says why it still does.
func (m *GrantManager) drawForLoan(r *pendingReservation) Shortage {
	if r.missing == 0 {
		return NoShortage
	}
	if _, known := m.o.Budgets()[r.grant.account]; !known {
		return StoreUnreachable // started a moment ago, without a configuration: it can't tell
	}
	ctx, cancel := context.WithTimeout(context.Background(), lendDrawTimeout)
	defer cancel()
	err := m.awaitDraw(ctx, r)
	if err == nil {
		return NoShortage
	}
	m.o.Log.Emit(event.LoanShort, slog.String(event.KeyBudget, r.grant.account), slog.Int64("missing", r.missing), slog.Any(event.KeyCause, err))
	short := shortageOf(err)
	if short == StoreUnreachable && !m.isStoreDown() {
		return DrawPending
	}
	return short
}

// TakeBack undoes a loan that its borrower never got.
func (m *GrantManager) TakeBack(account string, tokens int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.grant(account)
	p.lent -= tokens
	p.usedSinceRateUpdate -= tokens
}

const (
	// sweepInterval bounds how long tokens lie unused: a request reserves its most,
	// and leaves about half of it.
	sweepInterval = 400 * time.Millisecond
	// sweepTimeout bounds the handing back of tokens to their accounts' homes.
	sweepTimeout = 300 * time.Millisecond
)

// sweepLoop hands tokens back until ctx ends.
func (m *GrantManager) sweepLoop(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.sweep(ctx)
		}
	}
}

// sweep hands what is left here to the accounts' homes, so that it is not lost in
// small parts with every router, and not missing where it is needed.
func (m *GrantManager) sweep(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	for home, left := range m.takeSurplus() {
		m.sendTokens(ctx, home, left)
	}
}

// takeSurplus takes what is left here of accounts whose home is another router, by home.
func (m *GrantManager) takeSurplus() map[string]map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	byHome := make(map[string]map[string]int64)
	for account, p := range m.grants {
		address := m.o.Home(account)
		tokens := p.available(m.contactAge())
		if m.role(p) != borrower || tokens <= 0 {
			continue
		}
		if byHome[address] == nil {
			byHome[address] = make(map[string]int64)
		}
		byHome[address][account] = tokens
		p.lent += tokens
	}
	return byHome
}

// sendTokens hands tokens to a router. They were counted as lent before.
func (m *GrantManager) sendTokens(ctx context.Context, address string, tokens map[string]int64) {
	if m.o.Peers.HandOver(ctx, address, tokens) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for account, n := range tokens {
		m.grant(account).lent -= n
	}
}

// HandOver gives all unspent tokens to another router, where they can't be
// returned: at a stop while the store is away.
func (m *GrantManager) HandOver(ctx context.Context, address string) {
	m.mu.Lock()
	left := make(map[string]int64)
	for account, p := range m.grants {
		if tokens := p.available(m.contactAge()); tokens > 0 {
			left[account] = tokens
			p.lent += tokens
		}
	}
	m.mu.Unlock()
	m.o.Log.Emit(event.TokensHandedOver, slog.String(event.KeyRouter, address), slog.Int("accounts", len(left)))
	m.sendTokens(ctx, address, left)
}

// StopAccepting says that this router is about to stop: it takes no tokens of others any more.
// Where several stop at once, each may hold another one for the new home; what they hand
// to each other then is lost, since only what a router was granted itself is returned.
func (m *GrantManager) StopAccepting() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
}

// Accept takes tokens that another router hands over; false: none of them.
func (m *GrantManager) Accept(tokens map[string]int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaving {
		return false
	}
	for account, n := range tokens {
		p := m.grant(account)
		p.borrowed += max(0, n)
		p.usedSinceRateUpdate -= max(0, n)
	}
	return true
}
