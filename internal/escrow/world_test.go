package escrow

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/fixedseed"
	"chicorytiller.example/chicorytiller/internal/store"
	"chicorytiller.example/chicorytiller/internal/store/memstore"
)

func TestMain(m *testing.M) {
	fixedseed.Main(m, map[string]string{"rapid.steps": "120", "rapid.checks": "300"})
}

// prepaidBudgets has a budget that is small compared with a request, and a larger one.
var prepaidBudgets = map[string]int64{"boatyard": 60_000, "depot": 150_000}

// cluster simulates several routers on one store under any schedule of failures. Nothing
// runs in the background: each action is one step, and only actions advance the clock.
type cluster struct {
	t            *rapid.T
	store        *memstore.Store
	steady       time.Duration
	wall         time.Time
	routers      []*simRouter
	incarnations int
	// tellsAll is set if each router tells all others of the records that it writes.
	tellsAll bool
	// copied is what the store is restored from.
	copied memstore.Copy
	// restartedSinceCopy holds the VMs whose process has ended since the copy.
	restartedSinceCopy map[string]bool
	// noticesAt is when a router notices that the store was restored.
	noticesAt map[*simRouter]time.Duration
	// consumed is what backend servers have delivered, by account. It must never exceed
	// what was paid.
	consumed map[string]int64
}

// simRouter is one VM with its current router process.
type simRouter struct {
	vm           string
	manager      *GrantManager
	reservations []*Reservation
	boots        int
	cutOff       bool             // from the store
	budgets      map[string]int64 // of the configuration that it knows
	// clockSkew is the offset of this VM's monotonic clock, which each boot resets.
	clockSkew time.Duration
}

func newCluster(t *rapid.T, vms int) *cluster {
	c := &cluster{t: t, wall: time.Unix(1_800_000_000, 0), consumed: make(map[string]int64)}
	c.store = memstore.New(func() time.Time { return time.Unix(0, 0).Add(c.steady) })
	for i := 0; i < vms; i++ {
		c.routers = append(c.routers, &simRouter{vm: fmt.Sprintf("vm-%d", i), budgets: prepaidBudgets})
		c.start(c.routers[i])
	}
	c.copyStore(nil)
	return c
}

// start starts a new process on a VM; the previous one is dead.
func (c *cluster) start(r *simRouter) {
	c.incarnations++
	if c.restartedSinceCopy != nil {
		c.restartedSinceCopy[r.vm] = true
	}
	boot := fmt.Sprintf("%s-boot-%d", r.vm, r.boots)
	skew, budgets := r.clockSkew, r.budgets
	r.reservations = nil
	r.manager = New(Options{
		Store: routerStore{Store: c.store, router: r}, Prefix: "budget/", VM: r.vm, Address: r.vm, Incarnation: fmt.Sprintf("p%d", c.incarnations),
		Budgets: func() map[string]int64 { return budgets },
		Log:     event.Discard(),
		Clock: func() ClockReading {
			return ClockReading{Boot: boot, Steady: c.steady + skew, Wall: c.wall.Add(c.steady)}
		},
		Home:    func(account string) string { return c.home(r, account) },
		Holders: func(account string) []string { return c.holders(r, account) },
		Peers:   recordPeers{cluster: c},
	})
}

// holders returns the addresses of the account's home and, if routers tell each other of records, of the
// other routers.
func (c *cluster) holders(r *simRouter, account string) []string {
	holders := []string{c.home(r, account)}
	for _, other := range c.routers {
		if c.tellsAll && other != r && other.vm != holders[0] {
			holders = append(holders, other.vm)
		}
	}
	return holders
}

// recordPeers tell the routers of a cluster of written records, and are unreachable otherwise.
type recordPeers struct {
	noPeers
	cluster *cluster
}

func (p recordPeers) KeepRecords(_ context.Context, address string, records []StoredRecord) error {
	for _, r := range p.cluster.routers {
		if r.vm == address && p.cluster.tellsAll {
			r.manager.KeepRecords(records)
		}
	}
	return nil
}

// home returns the address of the account's home, or "" if it is r. Accounts are spread
// over the routers.
func (c *cluster) home(r *simRouter, account string) string {
	home := c.routers[len(account)%len(c.routers)]
	if home == r {
		return ""
	}
	return home.vm
}

// noPeers are unreachable. Schedules that use them lend in separate actions.
type noPeers struct{}

func (noPeers) BorrowFrom(context.Context, string, LoanRequest) Loan {
	return Loan{Short: PeerUnreachable}
}
func (noPeers) Borrow(context.Context, string, int64) (int64, int64)      { return 0, 0 }
func (noPeers) HandOver(context.Context, string, map[string]int64) bool   { return false }
func (noPeers) KeepRecords(context.Context, string, []StoredRecord) error { return nil }

func (c *cluster) router(name string) *simRouter {
	return c.routers[rapid.IntRange(0, len(c.routers)-1).Draw(c.t, name)]
}

func (c *cluster) account() string {
	return rapid.SampledFrom([]string{"boatyard", "depot"}).Draw(c.t, "account")
}

// reserve makes a reservation if the router has the tokens available.
func (c *cluster) reserve(*rapid.T) {
	r, account := c.router("router"), c.account()
	tokens := rapid.Int64Range(1, 15_000).Draw(c.t, "tokens")
	pending := r.manager.newPendingReservation(account, tokens, true, "", admitted)
	if pending.missing > 0 {
		pending.release()
		// While a reservation waits, the next round draws for it.
		if rapid.Bool().Draw(c.t, "waits") {
			if changed, _ := r.manager.fillOrWait(pending, false); changed != nil {
				r.manager.syncStore(context.Background(), false)
				r.manager.stopWaiting(pending)
			}
		}
		return
	}
	r.reservations = append(r.reservations, pending.reservation())
}

// serveRequests simulates up to a few seconds of steady use of one router, which draws
// tokens and uses all that it gets.
func (c *cluster) serveRequests(*rapid.T) {
	r, account := c.router("router"), c.account()
	for i := rapid.IntRange(1, 12).Draw(c.t, "requests"); i > 0; i-- {
		pending := r.manager.newPendingReservation(account, rapid.Int64Range(1, 15_000).Draw(c.t, "tokens"), true, "", admitted)
		if changed, _ := r.manager.fillOrWait(pending, false); changed != nil {
			r.manager.syncStore(context.Background(), rapid.Bool().Draw(c.t, "refresh"))
			r.manager.stopWaiting(pending)
		}
		if changed, _ := r.manager.fillOrWait(pending, true); changed != nil {
			r.manager.stopWaiting(pending)
		}
		c.finishRequest(account, pending)
		c.steady += 100 * time.Millisecond
		c.noticeRestored()
	}
}

// finishRequest completes a request that got its tokens; one that did not is refused after
// a while.
func (c *cluster) finishRequest(account string, pending *pendingReservation) {
	if pending.missing > 0 {
		pending.release()
		c.steady += 200 * time.Millisecond
		return
	}
	c.consumed[account] += pending.tokens
	pending.reservation().Settle(pending.tokens)
}

// settle completes a request that used some of its reservation.
func (c *cluster) settle(*rapid.T) {
	r := c.router("router")
	if len(r.reservations) == 0 {
		return
	}
	last := len(r.reservations) - 1
	reservation := r.reservations[last]
	r.reservations = r.reservations[:last]
	used := rapid.Int64Range(0, reservation.tokens).Draw(c.t, "used")
	c.consumed[reservation.grant.account] += used
	reservation.Settle(used)
}

func (c *cluster) syncStore(*rapid.T) {
	r := c.router("router")
	r.manager.syncStore(context.Background(), rapid.Bool().Draw(c.t, "refresh"))
}

// lend moves tokens between two routers. The response may be lost; then the loan is voided
// or its tokens are lost.
func (c *cluster) lend(*rapid.T) {
	from, to, account := c.router("from"), c.router("to"), c.account()
	from.manager.mu.Lock()
	available := from.manager.grant(account).available(from.manager.contactAge())
	from.manager.mu.Unlock()
	if from == to || available <= 0 {
		return
	}
	lent := from.manager.Lend(LoanRequest{Account: account, Tokens: rapid.Int64Range(1, available).Draw(c.t, "tokens")}).Tokens
	c.deliverLoan(from, to, account, lent)
}

// deliverLoan completes a loan: the response arrives, the loan is voided, or its tokens are
// lost.
func (c *cluster) deliverLoan(from, to *simRouter, account string, tokens int64) {
	switch rapid.SampledFrom([]string{"arrives", "voided", "lost"}).Draw(c.t, "answer") {
	case "arrives":
		to.manager.Accept(map[string]int64{account: tokens})
	case "voided":
		from.manager.VoidLoan(account, tokens)
	}
}

// lendAsHolder lends to a request that asks a router as a holder, which from then on draws
// ahead of need, whichever router is the account's home. The response may be lost.
func (c *cluster) lendAsHolder(*rapid.T) {
	from, to, account := c.router("holder"), c.router("borrower"), c.account()
	from.manager.mu.Lock()
	available := from.manager.grant(account).available(from.manager.contactAge())
	from.manager.mu.Unlock()
	from.manager.refreshStandby(account)
	if from == to || available <= 0 {
		return
	}
	lent := from.manager.Lend(LoanRequest{Account: account, Tokens: rapid.Int64Range(1, available).Draw(c.t, "tokens"), WaiterID: "waiter"}).Tokens
	c.deliverLoan(from, to, account, lent)
}

// sweep returns a router's unused tokens to the accounts' homes. They arrive or are lost.
func (c *cluster) sweep(*rapid.T) {
	from := c.router("borrower")
	for address, tokens := range from.manager.takeSurplus() {
		if !rapid.Bool().Draw(c.t, "arrives") {
			continue
		}
		for _, to := range c.routers {
			if to.vm == address {
				to.manager.Accept(tokens)
			}
		}
	}
}

// consumeReservations uses up to all of a dying process's reservations.
func (c *cluster) consumeReservations(r *simRouter) {
	for _, reservation := range r.reservations {
		c.consumed[reservation.grant.account] += rapid.Int64Range(0, reservation.tokens).Draw(c.t, "delivered")
	}
}

func (c *cluster) kill(*rapid.T) {
	r := c.router("router")
	c.consumeReservations(r)
	c.advanceClock("down")
	c.start(r)
}

// losePower is a kill after which the monotonic clock may show any value.
func (c *cluster) losePower(*rapid.T) {
	r := c.router("router")
	c.consumeReservations(r)
	c.advanceClock("down")
	r.boots++
	r.clockSkew = time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(c.t, "skew"))
	c.start(r)
}

func (c *cluster) stop(*rapid.T) {
	r := c.router("router")
	for len(r.reservations) > 0 {
		reservation := r.reservations[0]
		r.reservations = r.reservations[1:]
		c.consumed[reservation.grant.account] += reservation.tokens
		reservation.Settle(reservation.tokens)
	}
	_ = r.manager.ReturnGrants(context.Background()) // fails in an outage
	c.start(r)
}

func (c *cluster) advanceClock(name string) {
	c.steady += time.Duration(rapid.Int64Range(0, 4000).Draw(c.t, name)) * time.Millisecond
	c.noticeRestored()
}

func (c *cluster) advance(*rapid.T) {
	c.advanceClock("ms")
}

func (c *cluster) setOutage(*rapid.T) {
	c.store.SetDown(rapid.IntRange(0, 3).Draw(c.t, "down") == 0)
}

// setOutcome makes the store lose responses or apply writes late.
func (c *cluster) setOutcome(*rapid.T) {
	outcome := rapid.SampledFrom([]memstore.Outcome{memstore.Answered, memstore.Answered, memstore.Answered, memstore.ResponseLost, memstore.Delayed, memstore.Dropped}).Draw(c.t, "fate")
	c.store.SetOutcome(func(store.Txn) memstore.Outcome { return outcome })
}

func (c *cluster) applyLateWrites(*rapid.T) {
	c.store.ApplyDelayed()
}

// checkConsumed checks that no more was consumed than was paid, even if all present
// reservations are used in full.
func (c *cluster) checkConsumed(t *rapid.T) {
	maxConsumed := make(map[string]int64)
	for account, tokens := range c.consumed {
		maxConsumed[account] = tokens
	}
	for _, r := range c.routers {
		for _, reservation := range r.reservations {
			maxConsumed[reservation.grant.account] += reservation.tokens
		}
	}
	for account, tokens := range maxConsumed {
		if tokens > prepaidBudgets[account] {
			t.Fatalf("%s: %d tokens of %d paid", account, tokens, prepaidBudgets[account])
		}
	}
}

// Guards against overspending under any order of kills, outages, lost and late writes,
// loans and stops.
func TestNoScheduleSpendsMoreThanWasPaid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.IntRange(1, 4).Draw(t, "vms"))
		t.Repeat(map[string]func(*rapid.T){
			"reserve": c.reserve, "work": c.serveRequests, "work more": c.serveRequests, "work on": c.serveRequests, "settle": c.settle, "round": c.syncStore, "round again": c.syncStore,
			"lend": c.lend, "kill": c.kill, "lose power": c.losePower, "stop": c.stop, "tick": c.advance,
			"outage": c.setOutage, "fates": c.setOutcome, "settle late": c.applyLateWrites, "": c.checkConsumed,
		})
	})
}

// clusterPeers lends between the routers of a cluster; a response may be lost.
type clusterPeers struct {
	noPeers
	cluster *cluster
	self    *simRouter
}

func (p clusterPeers) BorrowFrom(_ context.Context, address string, request LoanRequest) Loan {
	for _, from := range p.cluster.routers {
		if from.vm != address || from == p.self || !rapid.Bool().Draw(p.cluster.t, "reached") {
			continue
		}
		loan := from.manager.Lend(request)
		switch rapid.SampledFrom([]string{"arrives", "arrives", "voided", "lost"}).Draw(p.cluster.t, "loan") {
		case "arrives":
			return loan
		case "voided":
			from.manager.VoidLoan(request.Account, loan.Tokens)
		}
	}
	return Loan{Short: PeerUnreachable}
}

// exhaust uses tokens at one router until the whole budget is granted, and then gathers
// tokens from others.
func (c *cluster) exhaust(*rapid.T) {
	r, account := c.router("router"), c.account()
	r.manager.opts.Peers = clusterPeers{cluster: c, self: r}
	for range rapid.IntRange(1, 20).Draw(c.t, "requests") {
		pending := r.manager.newPendingReservation(account, rapid.Int64Range(1, 15_000).Draw(c.t, "tokens"), true, "", admitted)
		for range 3 {
			if changed, _ := r.manager.fillOrWait(pending, true); changed != nil {
				r.manager.syncStore(context.Background(), true)
				for _, g := range r.manager.takeGatherings() {
					r.manager.runGathering(context.Background(), g)
				}
				r.manager.stopWaiting(pending)
			}
		}
		c.finishRequest(account, pending)
	}
}

// Guards against overspending when a router gathers tokens from others.
func TestNoScheduleWithGatheringSpendsMoreThanWasPaid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.IntRange(2, 4).Draw(t, "vms"))
		t.Repeat(map[string]func(*rapid.T){
			"use up": c.exhaust, "use up more": c.exhaust, "work": c.serveRequests, "reserve": c.reserve, "settle": c.settle, "round": c.syncStore,
			"kill": c.kill, "lose power": c.losePower, "stop": c.stop, "tick": c.advance,
			"outage": c.setOutage, "fates": c.setOutcome, "settle late": c.applyLateWrites, "": c.checkConsumed,
		})
	})
}

// Guards against overspending when several routers draw on behalf of others.
func TestNoScheduleWithStandbysSpendsMoreThanWasPaid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.IntRange(2, 5).Draw(t, "vms"))
		t.Repeat(map[string]func(*rapid.T){
			"reserve": c.reserve, "work": c.serveRequests, "work more": c.serveRequests, "settle": c.settle, "round": c.syncStore, "round again": c.syncStore,
			"ask": c.lendAsHolder, "ask again": c.lendAsHolder, "hand back": c.sweep, "lend": c.lend, "kill": c.kill, "lose power": c.losePower,
			"stop": c.stop, "tick": c.advance, "outage": c.setOutage, "fates": c.setOutcome, "settle late": c.applyLateWrites, "": c.checkConsumed,
		})
	})
}
