package escrow

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Reserve sets tokens aside: out of what is here, else from the routers that hold the
// account's grant for all, else by a draw of its own. While the store is away for all, it
// asks all other routers: what one lacks lies unused at another.
func (m *GrantManager) Reserve(ctx context.Context, account string, tokens int64) (*Reservation, error) {
	h := m.begin(account, tokens, m.roleOf(account) == home, "")
	err := m.obtain(ctx, h)
	for errors.Is(err, ErrUnreachable) && m.opensSoon() && pause(ctx, openPoll) {
		err = m.again(ctx, h)
	}
	m.noteIsolated(errors.Is(err, ErrUnreachable))
	if err != nil {
		h.release()
		return nil, err
	}
	return h.reservation(), nil
}

// obtain fills a hold, or says why it can't be.
func (m *GrantManager) obtain(ctx context.Context, h *hold) error {
	if h.missing == 0 {
		return nil
	}
	short, inContact := m.borrowFromHolders(ctx, h)
	if h.missing == 0 {
		return nil
	}
	if inContact {
		return short.err() // one that can draw has no more: nobody has
	}
	if m.mayDraw(h.grant) {
		if err := m.draw(ctx, h); !errors.Is(err, ErrUnreachable) {
			return err
		}
	}
	if ctx.Err() != nil {
		return ErrUnreachable
	}
	return m.borrow(ctx, h)
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
func (m *GrantManager) opensSoon() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.away && m.age() < outageGrace+opensWithin
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

// again tries to fill a hold from here and from the account's holders.
func (m *GrantManager) again(ctx context.Context, h *hold) error {
	m.mu.Lock()
	h.fill()
	m.mu.Unlock()
	if h.missing > 0 {
		m.borrowFromHolders(ctx, h)
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
func (m *GrantManager) noteIsolated(isolated bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !isolated {
		m.isolated = 0
		return
	}
	m.isolated++
}

// Isolated says whether this router can't pay for requests while others may: it is
// cut off from the store and from them. Callers are better served elsewhere.
func (m *GrantManager) Isolated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.away && m.isolated >= isolatedMost
}

// hold is a reservation that is being put together. What it has is set aside at
// once: else requests that come meanwhile take it, and all of them come up short.
type hold struct {
	keeper  *GrantManager
	grant   *grant
	tokens  int64
	missing int64
	// queued: while the store is away it is served whole and in its turn.
	queued   bool
	waiterID string // its name in a queue
}

// begin puts a hold together out of what is here. Without a name it gets one.
func (m *GrantManager) begin(account string, tokens int64, queued bool, waiterID string) *hold {
	m.mu.Lock()
	defer m.mu.Unlock()
	if waiterID == "" {
		m.waiters++
		waiterID = m.o.Incarnation + "/" + strconv.FormatInt(m.waiters, 10)
	}
	h := &hold{keeper: m, grant: m.grant(account), tokens: tokens, missing: tokens, queued: queued, waiterID: waiterID}
	h.fill()
	if _, short := h.grant.raised(h.grant.granted, m.o.Budgets()[account], m.role(h.grant), m.roundTrip); short {
		m.wakeUp()
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
// routers: two rounds with a store in good health, with their pauses. That the store is away
// shows only after callTimeout.
const drawPatience = 100 * time.Millisecond

// patience is how long a reservation waits for a draw: for one that is under way and the
// one that follows it, with the pauses between them.
func (m *GrantManager) patience() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(drawPatience, slowWrites*(m.roundTrip+roundPause))
}

// draw waits until the hold is filled by a draw, or says why it can't be.
func (m *GrantManager) draw(ctx context.Context, h *hold) error {
	patience := time.NewTimer(m.patience())
	defer patience.Stop()
	for round := 0; ; round++ {
		changed, err := m.await(h, round > 0)
		if changed == nil {
			return err
		}
		select {
		case <-ctx.Done():
			err = ErrUnreachable
		case <-patience.C:
			err = m.patienceOver(h)
		case <-changed:
		}
		m.stopWaiting(h)
		if err != nil {
			return err
		}
	}
}

// patienceOver is what a reservation that has waited long enough ends with. While tokens are
// gathered all is granted, and nothing more comes of asking further routers.
func (m *GrantManager) patienceOver(h *hold) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.grant.gathering {
		return ErrContended
	}
	return ErrUnreachable
}

// await fills the hold if it can, and returns nothing. Else it returns the channel
// that closes after the next round with the store, or why waiting doesn't help.
func (m *GrantManager) await(h *hold, waited bool) (<-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h.fill()
	switch {
	case h.missing == 0:
		return nil, nil
	case m.away:
		return nil, ErrUnreachable
	case h.grant.decided && (waited || m.isFresh()) && m.lacks(h):
		why := m.shortage(h)
		if !errors.Is(why, ErrContended) || !m.gather(h) {
			return nil, why
		}
	}
	h.grant.waiting += h.missing
	m.wakeUp()
	return m.changed, nil
}

// isFresh says whether the records are known as they were a moment ago. Then a request that
// can't be served is refused at once, and not after a round with the store that only says
// the same.
func (m *GrantManager) isFresh() bool {
	return m.readAt > 0 && m.o.Clock().Steady-m.readAt < readEvery
}

// lacks says whether the record can't give what is missing.
func (m *GrantManager) lacks(h *hold) bool {
	p := h.grant
	return p.free(m.o.Budgets()[p.account])+p.granted-p.used() < h.missing
}

func (m *GrantManager) stopWaiting(h *hold) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h.grant.waiting -= h.missing
}
