package escrow

import (
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Look is what a reservation would find now.
type Look struct {
	// Available is what this router's own grant could give.
	Available int64
	Covered   bool
	// Err is why the reservation would be refused; nil if it would not, or if that depends on other routers.
	Err error
}

// Look returns what Reserve would find, and changes nothing. It asks no other router and not the store.
func (m *GrantManager) Look(account string, tokens int64, priority int) Look {
	prepaid, budgetKnown := m.opts.Budgets()[account]
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.grants[account]
	if g == nil {
		g = newGrant(account) // not kept
	}
	isHome, now := m.role(g) == home, m.opts.Clock().Steady
	available := g.available(m.contactAge())
	if m.storeDown {
		waiting := queue{waiters: slices.Clone(g.queue.waiters)}
		available -= waiting.queuedTokens(now)
	}
	look := Look{Available: max(0, available), Covered: available >= tokens}
	if isHome && budgetKnown && g.recordKnown {
		switch m.lookRationing(g, prepaid, tokens, priority, now) {
		case rationedOut:
			look.Err = ErrRationed
			return look
		case tooLarge:
			look.Covered = false
		}
	}
	if look.Covered || !isHome || m.storeDown || m.isSettling() || !g.recordKnown || !m.recordsFresh() || !m.exceedsRecord(g, tokens) {
		return look
	}
	copied := *g // the count of recent loans forgets as it is read
	if _, _, err := m.shortageCause(&copied, prepaid, tokens, tokens); !errors.Is(err, ErrContended) {
		look.Err = err // contended tokens may still be gathered
	}
	return look
}

// lookRationing returns what the rationing of a low budget would say of a request, whether or not a reservation
// found before that the budget is low. The caller holds m.mu.
func (m *GrantManager) lookRationing(g *grant, prepaid, tokens int64, priority int, now time.Duration) admission {
	observed, rationed := m.rationing(g, prepaid)
	if !observed {
		return admitted
	}
	low := newLowBudget(now)
	if g.low != nil {
		low = g.low.clone()
	}
	low.rationed = rationed
	return low.decide(g.remaining(prepaid), tokens, tokens, priority, now)
}

func (l *lowBudget) clone() *lowBudget {
	c := *l
	c.demands = maps.Clone(l.demands)
	for priority, d := range c.demands {
		copied := *d
		c.demands[priority] = &copied
	}
	return &c
}
