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
	h := m.newPendingReservation(account, tokens, m.roleOf(account) == home, "")
	err := m.acquire(ctx, h)
	for errors.Is(err, ErrUnreachable) && m.allowanceGrowsSoon() && sleep(ctx, outageRetryInterval) {
		err = m.retry(ctx, h)
	}
	m.trackIsolation(errors.Is(err, ErrUnreachable))
	if err != nil {
		h.release()
		return nil, err
	}
	return h.reservation(), nil
}

// acquire fills a hold, or says why it can't be.
func (m *GrantManager) acquire(ctx context.Context, h *pendingReservation) error {
	if h.missing == 0 {
		return nil
	}
	short, canDraw := m.borrowFromHolders(ctx, h)
	if h.missing == 0 {
		return nil
	}
	if canDraw {
		return short.err() // one that can draw has no more: nobody has
	}
	if m.mayDraw(h.grant) {
		if err := m.awaitDraw(ctx, h); !errors.Is(err, ErrUnreachable) {
			return err
		}
	}
	if ctx.Err() != nil {
		return ErrUnreachable
	}
	return m.borrowFromPeers(ctx, h)
}

// outageRetryInterval is how often a reservation that waits for the opening tries again, and
// outageRetryWindow the time after which waiting is left to the caller.
const (
	outageRetryInterval = 120 * time.Millisecond
	outageRetryWindow   = 1500 * time.Millisecond
)

// allowanceGrowsSoon says whether the store has been away for so short a time that what is
// held beyond the ceilings opens while a caller waits. Ceilings are low, so that
// little is lost with a router that dies; the first seconds of an outage are
// bridged by waiting.
func (m *GrantManager) allowanceGrowsSoon() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.storeDown && m.contactAge() < outageGrace+outageRetryWindow
}

// sleep waits; false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// retry tries to fill a hold from here and from the account's holders.
func (m *GrantManager) retry(ctx context.Context, h *pendingReservation) error {
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

// isolationThreshold is how many reservations in a row find neither the store nor tokens
// at other routers before this router counts as isolated.
const isolationThreshold = 3

// trackIsolation counts reservations that found nobody.
func (m *GrantManager) trackIsolation(isolated bool) {
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
	return m.storeDown && m.isolated >= isolationThreshold
}

// pendingReservation is a reservation that is being put together. What it has is set aside at
// once: else requests that come meanwhile take it, and all of them come up short.
type pendingReservation struct {
	keeper  *GrantManager
	grant   *grant
	tokens  int64
	missing int64
	// queued: while the store is away it is served whole and in its turn.
	queued   bool
	waiterID string // its name in a queue
}

// newPendingReservation puts a hold together out of what is here. Without a name it gets one.
func (m *GrantManager) newPendingReservation(account string, tokens int64, queued bool, waiterID string) *pendingReservation {
	m.mu.Lock()
	defer m.mu.Unlock()
	if waiterID == "" {
		m.lastWaiterID++
		waiterID = m.o.Incarnation + "/" + strconv.FormatInt(m.lastWaiterID, 10)
	}
	h := &pendingReservation{keeper: m, grant: m.grant(account), tokens: tokens, missing: tokens, queued: queued, waiterID: waiterID}
	h.fill()
	if _, short := h.grant.nextCeiling(h.grant.granted, m.o.Budgets()[account], m.role(h.grant), m.roundTrip); short {
		m.wakeUp()
	}
	return h
}

// fill takes from the grant what it can. The keeper is locked.
func (h *pendingReservation) fill() {
	available := h.grant.available(h.keeper.contactAge())
	if h.keeper.storeDown {
		available = h.outageShare(available)
	}
	taken := max(0, min(h.missing, available))
	h.grant.reserved += taken
	h.missing -= taken
}

// outageShare is what the hold may take of what is available while the store is away: all it
// needs once it is its turn, or, without a place in the queue, what nobody waits for.
func (h *pendingReservation) outageShare(available int64) int64 {
	now := h.keeper.o.Clock().Steady
	if !h.queued {
		return available - h.grant.queue.waitingTokens(now)
	}
	if h.missing == 0 || !h.grant.queue.admit(h.waiterID, h.missing, available, now) {
		return 0
	}
	return h.missing
}

// received adds what another router gave.
func (h *pendingReservation) received(tokens int64) {
	h.keeper.mu.Lock()
	defer h.keeper.mu.Unlock()
	h.grant.borrowed += tokens
	h.grant.reserved += min(tokens, h.missing)
	h.missing -= min(tokens, h.missing)
}

func (h *pendingReservation) release() {
	h.keeper.mu.Lock()
	defer h.keeper.mu.Unlock()
	h.grant.reserved -= h.tokens - h.missing
}

func (h *pendingReservation) reservation() *Reservation {
	return &Reservation{keeper: h.keeper, grant: h.grant, tokens: h.tokens}
}

// minDrawTimeout is how long a reservation waits for a draw at least before it asks other
// routers: two rounds with a store in good health, with their pauses. That the store is away
// shows only after callTimeout.
const minDrawTimeout = 100 * time.Millisecond

// drawTimeout is how long a reservation waits for a draw: for one that is under way and the
// one that follows it, with the pauses between them.
func (m *GrantManager) drawTimeout() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(minDrawTimeout, writesInFlight*(m.roundTrip+syncPause))
}

// awaitDraw waits until the hold is filled by a draw, or says why it can't be.
func (m *GrantManager) awaitDraw(ctx context.Context, h *pendingReservation) error {
	drawTimeout := time.NewTimer(m.drawTimeout())
	defer drawTimeout.Stop()
	for round := 0; ; round++ {
		changed, err := m.fillOrWait(h, round > 0)
		if changed == nil {
			return err
		}
		select {
		case <-ctx.Done():
			err = ErrUnreachable
		case <-drawTimeout.C:
			err = m.drawTimeoutError(h)
		case <-changed:
		}
		m.stopWaiting(h)
		if err != nil {
			return err
		}
	}
}

// drawTimeoutError is what a reservation that has waited long enough ends with. While tokens are
// gathered all is granted, and nothing more comes of asking further routers.
func (m *GrantManager) drawTimeoutError(h *pendingReservation) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.grant.gathering {
		return ErrContended
	}
	return ErrUnreachable
}

// fillOrWait fills the hold if it can, and returns nothing. Else it returns the channel
// that closes after the next round with the store, or why waiting doesn't help.
func (m *GrantManager) fillOrWait(h *pendingReservation, waited bool) (<-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h.fill()
	switch {
	case h.missing == 0:
		return nil, nil
	case m.storeDown:
		return nil, ErrUnreachable
	case h.grant.recordKnown && (waited || m.recordsFresh()) && m.exceedsRecord(h):
		err := m.shortageError(h)
		if !errors.Is(err, ErrContended) || !m.requestGather(h) {
			return nil, err
		}
	}
	h.grant.waitingTokens += h.missing
	m.wakeUp()
	return m.changed, nil
}

// recordsFresh says whether the records are known as they were a moment ago. Then a request that
// can't be served is refused at once, and not after a round with the store that only says
// the same.
func (m *GrantManager) recordsFresh() bool {
	return m.recordsReadAt > 0 && m.o.Clock().Steady-m.recordsReadAt < readInterval
}

// exceedsRecord says whether the record can't give what is missing.
func (m *GrantManager) exceedsRecord(h *pendingReservation) bool {
	p := h.grant
	return p.ungranted(m.o.Budgets()[p.account])+p.granted-p.used() < h.missing
}

func (m *GrantManager) stopWaiting(h *pendingReservation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h.grant.waitingTokens -= h.missing
}
