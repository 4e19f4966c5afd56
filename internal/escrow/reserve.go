package escrow

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Reserve sets tokens aside: from this router's own grant if it suffices, else borrowed from the
// account's holders, else by a draw of its own. While no holder can reach the store, it borrows
// from any other router that has unused tokens. Of a low budget the most urgent requests get
// tokens first; 0 is the most urgent priority.
func (m *GrantManager) Reserve(ctx context.Context, account string, tokens int64, priority int) (*Reservation, error) {
	isHome := m.roleOf(account) == home
	verdict := admitted
	if isHome {
		verdict = m.admit(account, tokens, tokens, priority)
	}
	if verdict == rationedOut {
		return nil, ErrRationed
	}
	r := m.newPendingReservation(account, tokens, isHome, "", verdict)
	r.priority = priority
	err := m.acquire(ctx, r)
	for errors.Is(err, ErrUnreachable) && m.allowanceGrowsSoon() && sleep(ctx, outageRetryInterval) {
		err = m.retry(ctx, r)
	}
	m.trackIsolation(errors.Is(err, ErrUnreachable))
	if err != nil {
		r.release()
		return nil, err
	}
	return r.reservation(), nil
}

// acquire gets the missing tokens of a reservation, or returns why it can't.
func (m *GrantManager) acquire(ctx context.Context, r *pendingReservation) error {
	if r.missing == 0 {
		return nil
	}
	short, canDraw := m.borrowFromHolders(ctx, r)
	if r.missing == 0 {
		return nil
	}
	if canDraw {
		return short.err() // a holder that can draw got no more, so this router would not either
	}
	if m.mayDraw(r.grant) {
		if m.roleOf(r.grant.account) == standby && m.admit(r.grant.account, r.missing, r.tokens, r.priority) == rationedOut {
			return ErrRationed
		}
		if err := m.awaitDraw(ctx, r); !errors.Is(err, ErrUnreachable) {
			return err
		}
	}
	if ctx.Err() != nil {
		return ErrUnreachable
	}
	return m.borrowFromPeers(ctx, r)
}

// outageRetryInterval is the time between retries of a reservation at the start of an outage.
// Retries stop outageRetryWindow after outageGrace; waiting longer is up to the caller.
const (
	outageRetryInterval = 120 * time.Millisecond
	outageRetryWindow   = 1500 * time.Millisecond
)

// allowanceGrowsSoon reports whether the outage of the store is so recent that routers may soon
// spend beyond their ceilings. Ceilings are low, so that little is lost when a router dies;
// in the first seconds of an outage reservations wait instead.
func (m *GrantManager) allowanceGrowsSoon() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.storeDown && m.contactAge() < outageGrace+outageRetryWindow
}

// sleep pauses for d. It returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// retry tries again to get the missing tokens, from this router's own grant and from the
// account's holders.
func (m *GrantManager) retry(ctx context.Context, r *pendingReservation) error {
	m.mu.Lock()
	r.fill()
	m.mu.Unlock()
	if r.missing > 0 {
		m.borrowFromHolders(ctx, r)
	}
	if r.missing > 0 {
		return ErrUnreachable
	}
	return nil
}

// isolationThreshold is the number of consecutive reservations that must fail with
// ErrUnreachable before this router counts as isolated.
const isolationThreshold = 3

// trackIsolation counts the consecutive reservations that failed with ErrUnreachable.
func (m *GrantManager) trackIsolation(unreachable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !unreachable {
		m.isolatedCount = 0
		return
	}
	m.isolatedCount++
}

// Isolated reports whether this router is cut off from the store and from tokens of other
// routers. Other routers may still be able to serve its callers.
func (m *GrantManager) Isolated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.storeDown && m.isolatedCount >= isolationThreshold
}

// pendingReservation is a reservation that may still lack tokens. The tokens that it has are
// reserved at once: otherwise concurrent requests would take them, and none would get enough.
type pendingReservation struct {
	manager *GrantManager
	grant   *grant
	tokens  int64
	missing int64
	// queued means that during an outage the reservation takes a place in the account's queue.
	queued   bool
	waiterID string // identifies it in the queue
	priority int    // 0 is the most urgent
	// tooLarge is set if the reservation must get no tokens from this router; see admission.
	tooLarge bool
}

// newPendingReservation starts a reservation with what this router's own grant can give. It
// generates a waiter ID if waiterID is empty.
func (m *GrantManager) newPendingReservation(account string, tokens int64, queued bool, waiterID string, verdict admission) *pendingReservation {
	m.mu.Lock()
	defer m.mu.Unlock()
	if waiterID == "" {
		m.lastWaiterID++
		waiterID = m.opts.Incarnation + "/" + strconv.FormatInt(m.lastWaiterID, 10)
	}
	r := &pendingReservation{manager: m, grant: m.grant(account), tokens: tokens, missing: tokens, queued: queued, waiterID: waiterID,
		tooLarge: verdict == tooLarge}
	r.fill()
	if _, short := r.grant.nextCeiling(r.grant.granted, m.opts.Budgets()[account], m.role(r.grant), m.roundTrip); short {
		m.wakeUp()
	}
	return r
}

// fill reserves as many of the missing tokens as the grant can give. The caller holds the
// manager's mu.
func (r *pendingReservation) fill() {
	if r.tooLarge {
		return
	}
	available := r.grant.available(r.manager.contactAge())
	if r.manager.storeDown {
		available = r.outageShare(available)
	}
	taken := max(0, min(r.missing, available))
	r.grant.reserved += taken
	r.missing -= taken
}

// outageShare returns how many of the available tokens the reservation may take during an
// outage: a queued one takes all that it needs once it is admitted, any other only what the
// queue doesn't wait for.
func (r *pendingReservation) outageShare(available int64) int64 {
	now := r.manager.opts.Clock().Steady
	if !r.queued {
		return available - r.grant.queue.queuedTokens(now)
	}
	if r.missing == 0 || !r.grant.queue.admit(r.waiterID, r.missing, available, now) {
		return 0
	}
	return r.missing
}

// received adds tokens that another router lent. Those beyond the missing ones become available
// to other requests.
func (r *pendingReservation) received(tokens int64) {
	r.manager.mu.Lock()
	defer r.manager.mu.Unlock()
	r.grant.borrowed += tokens
	r.grant.reserved += min(tokens, r.missing)
	r.missing -= min(tokens, r.missing)
}

func (r *pendingReservation) release() {
	r.manager.mu.Lock()
	defer r.manager.mu.Unlock()
	r.grant.reserved -= r.tokens - r.missing
}

func (r *pendingReservation) reservation() *Reservation {
	return &Reservation{manager: r.manager, grant: r.grant, tokens: r.tokens}
}

// minDrawTimeout is the shortest time that a reservation waits for a draw before it asks other
// routers. It covers two rounds with a healthy store and their pauses. An outage of the store
// is detected only after callTimeout, which is longer.
const minDrawTimeout = 100 * time.Millisecond

// drawTimeout returns how long a reservation waits for a draw: for one that is in flight and the
// one that follows it, with the pauses between them.
func (m *GrantManager) drawTimeout() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(minDrawTimeout, writesInFlight*(m.roundTrip+syncPause))
}

// awaitDraw waits until draws have covered the missing tokens, or returns why they can't.
func (m *GrantManager) awaitDraw(ctx context.Context, r *pendingReservation) error {
	timer := time.NewTimer(m.drawTimeout())
	defer timer.Stop()
	for round := 0; ; round++ {
		changed, err := m.fillOrWait(r, round > 0)
		if changed == nil {
			return err
		}
		select {
		case <-ctx.Done():
			err = ErrUnreachable
		case <-timer.C:
			err = m.drawTimeoutError(r)
		case <-changed:
		}
		m.stopWaiting(r)
		if err != nil {
			return err
		}
	}
}

// drawTimeoutError returns the error of a reservation whose wait for a draw timed out. Tokens are
// gathered only once the whole budget is granted; asking further routers won't help then.
func (m *GrantManager) drawTimeoutError(r *pendingReservation) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.grant.gathering {
		return ErrContended
	}
	return ErrUnreachable
}

// fillOrWait fills the reservation if it can, and returns a nil channel and error. Otherwise it
// returns a channel that is closed after the next round with the store, or an error that says
// why waiting won't help. waited means that the reservation has waited for a round before.
func (m *GrantManager) fillOrWait(r *pendingReservation, waited bool) (<-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r.fill()
	switch {
	case r.missing == 0:
		return nil, nil
	case m.storeDown || m.isSettling():
		return nil, ErrUnreachable
	case r.grant.recordKnown && (waited || m.recordsFresh()) && m.exceedsRecord(r.grant, r.missing):
		err := m.shortageError(r)
		if !errors.Is(err, ErrContended) || !m.requestGathering(r) {
			return nil, err
		}
	}
	r.grant.waitingTokens += r.missing
	m.wakeUp()
	return m.changed, nil
}

// recordsFresh reports whether the records were read recently enough to refuse a request at
// once, without another round with the store that would show the same.
func (m *GrantManager) recordsFresh() bool {
	return m.recordsReadAt > 0 && m.opts.Clock().Steady-m.recordsReadAt < readInterval
}

// exceedsRecord reports whether the missing tokens exceed the rest of this router's grant and
// what the record has left to grant.
func (m *GrantManager) exceedsRecord(g *grant, missing int64) bool {
	return g.ungranted(m.opts.Budgets()[g.account])+g.granted-g.used() < missing
}

func (m *GrantManager) stopWaiting(r *pendingReservation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r.grant.waitingTokens -= r.missing
}
