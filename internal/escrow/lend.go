package escrow

import (
	"context"
	"log/slog"
	"time"

	"chicorytiller.example/chicorytiller/internal/event"
)

// LoanRequest asks another router for tokens.
type LoanRequest struct {
	Account string
	Tokens  int64
	// Size is how many tokens the request needs in all. Some of them may be there already.
	Size int64
	// WaiterID identifies the request that needs the tokens in the lender's queue; noWaiter if
	// there is none.
	WaiterID string
	// Priority is that of the request that needs the tokens; 0 is the most urgent.
	Priority int
}

// Loan is the result of a request to borrow tokens from another router.
type Loan struct {
	Tokens int64
	// Used is the number of tokens that the lender has spent, reserved or lent before, less those
	// that it borrowed.
	Used int64
	// Spent is the number of tokens that the lender has spent or lent, including this loan, less
	// those that it borrowed and those that it lent shortly before, which may be returned unused.
	Spent int64
	// Short is the reason why Tokens is less than was asked for.
	Short Shortage
}

// lendDrawTimeout bounds the wait for a draw in Lend. It is less than the time that the borrower
// waits for the answer.
const lendDrawTimeout = 150 * time.Millisecond

// Lend gives tokens to another router; they count as used from then on. A WaiterID names a
// request that asks this router as a holder of the account: Lend draws tokens for it if needed,
// and during an outage the request has a place in the account's queue. Without a WaiterID, Lend
// gives only tokens that no queued request waits for, and doesn't draw.
func (m *GrantManager) Lend(request LoanRequest) Loan {
	isHolder := request.WaiterID != noWaiter
	verdict := admitted
	if isHolder {
		m.refreshStandby(request.Account)
		verdict = m.admit(request.Account, request.Tokens, max(request.Size, request.Tokens), request.Priority)
	}
	if verdict == rationedOut {
		return Loan{Short: Rationed}
	}
	r := m.newPendingReservation(request.Account, request.Tokens, isHolder, request.WaiterID, verdict)
	loan := Loan{}
	if isHolder {
		loan.Short = m.drawForLoan(r)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	loan.Tokens = r.tokens - r.missing
	r.grant.reserved -= loan.Tokens
	loan.Used = r.grant.used()
	r.grant.lent += loan.Tokens
	loan.Spent = r.grant.netSpent() - r.grant.recentlyLent.sum(m.opts.Clock().Steady)
	r.grant.usedSinceRateUpdate += loan.Tokens
	r.grant.recentlyLent.add(loan.Tokens, m.opts.Clock().Steady)
	return loan
}

// refreshStandby makes this router a standby for the account for the next standbyTimeout, unless
// it is the home.
func (m *GrantManager) refreshStandby(account string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.grant(account).lastAskedAt = m.opts.Clock().Steady
}

// drawForLoan draws the missing tokens of a loan, and returns the reason if it can't.
func (m *GrantManager) drawForLoan(r *pendingReservation) Shortage {
	if r.missing == 0 {
		return NoShortage
	}
	if _, known := m.opts.Budgets()[r.grant.account]; !known {
		return StoreUnreachable // just started: no configuration yet, so the budget is unknown
	}
	ctx, cancel := context.WithTimeout(context.Background(), lendDrawTimeout)
	defer cancel()
	err := m.awaitDraw(ctx, r)
	if err == nil {
		return NoShortage
	}
	m.opts.Log.Emit(event.LoanShortfall, slog.String(event.KeyBudget, r.grant.account), slog.Int64("missing", r.missing), slog.Any(event.KeyCause, err))
	short := shortageOf(err)
	if short == StoreUnreachable && !m.isStoreDown() {
		return DrawPending
	}
	return short
}

// VoidLoan cancels a loan that did not reach its borrower: its tokens are available again.
func (m *GrantManager) VoidLoan(account string, tokens int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.grant(account)
	g.lent -= tokens
	g.usedSinceRateUpdate -= tokens
}

const (
	// sweepInterval bounds how long borrowed tokens stay unused: a request reserves the most that
	// it can use, and on average leaves about half of that.
	sweepInterval = 400 * time.Millisecond
	// sweepTimeout bounds one sweep.
	sweepTimeout = 300 * time.Millisecond
)

// sweepLoop runs sweeps until ctx ends.
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

// sweep returns unused tokens to the accounts' homes. Otherwise every router would keep a small
// part of the budget, which no other router could use and which would be lost if it died.
func (m *GrantManager) sweep(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	for home, tokens := range m.takeSurplus() {
		m.sendTokens(ctx, home, tokens)
	}
}

// takeSurplus takes the unused tokens of all accounts for which this router is neither home nor
// standby, and counts them as lent. The result is keyed by address of the home, then by account.
func (m *GrantManager) takeSurplus() map[string]map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	byHome := make(map[string]map[string]int64)
	for account, g := range m.grants {
		address := m.opts.Home(account)
		tokens := g.available(m.contactAge())
		if m.role(g) != borrower || tokens <= 0 {
			continue
		}
		if byHome[address] == nil {
			byHome[address] = make(map[string]int64)
		}
		byHome[address][account] = tokens
		g.lent += tokens
	}
	return byHome
}

// sendTokens transfers tokens, which the caller has counted as lent, to another router. If the
// transfer fails they are available again.
func (m *GrantManager) sendTokens(ctx context.Context, address string, tokens map[string]int64) {
	if m.opts.Peers.HandOver(ctx, address, tokens) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for account, n := range tokens {
		m.grant(account).lent -= n
	}
}

// HandOver transfers all unspent tokens to another router. It is for a planned stop during an
// outage of the store, when grants can't be returned.
func (m *GrantManager) HandOver(ctx context.Context, address string) {
	m.mu.Lock()
	tokensByAccount := make(map[string]int64)
	for account, g := range m.grants {
		if tokens := g.available(m.contactAge()); tokens > 0 {
			tokensByAccount[account] = tokens
			g.lent += tokens
		}
	}
	m.mu.Unlock()
	m.opts.Log.Emit(event.TokensHandedOver, slog.String(event.KeyRouter, address), slog.Int("accounts", len(tokensByAccount)))
	m.sendTokens(ctx, address, tokensByAccount)
}

// StopAccepting makes Accept refuse all tokens from now on, since this router is about to stop.
// If several routers stop at once, each may take another for the new home. Tokens that they sent
// each other would be lost: a router that stops returns only what it was granted itself.
func (m *GrantManager) StopAccepting() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
}

// Accept takes tokens that another router hands over. It returns false if it took none of them.
func (m *GrantManager) Accept(tokens map[string]int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaving {
		return false
	}
	for account, n := range tokens {
		g := m.grant(account)
		g.borrowed += max(0, n)
		g.usedSinceRateUpdate -= max(0, n)
	}
	return true
}
