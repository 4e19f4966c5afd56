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

// Budgets of the world. The first is small beside one request, the second roomy.
var prepaidBudgets = map[string]int64{"boatyard": 60_000, "depot": 150_000}

// cluster is some routers on one store, under any schedule of failures. Nothing runs
// by itself: each action is one step, and time moves only by the action tick.
type cluster struct {
	t       *rapid.T
	store   *memstore.Store
	steady  time.Duration
	wall    time.Time
	routers []*simRouter
	born    int
	// consumed is what backend servers have delivered, by account: the truth that
	// must never pass what was paid.
	consumed map[string]int64
}

// simRouter is one VM with its present process.
type simRouter struct {
	vm     string
	keeper *GrantManager
	open   []*Reservation
	boot   int
	// skew is how far this VM's steady clock is off: it begins anew at each boot.
	skew time.Duration
}

func newWorld(t *rapid.T, vms int) *cluster {
	w := &cluster{t: t, wall: time.Unix(1_800_000_000, 0), consumed: make(map[string]int64)}
	w.store = memstore.New(func() time.Time { return time.Unix(0, 0).Add(w.steady) })
	for i := 0; i < vms; i++ {
		w.routers = append(w.routers, &simRouter{vm: fmt.Sprintf("vm-%d", i)})
		w.start(w.routers[i])
	}
	return w
}

// start begins a new process on a VM; the one before is dead.
func (w *cluster) start(r *simRouter) {
	w.born++
	boot := fmt.Sprintf("%s-boot-%d", r.vm, r.boot)
	skew := r.skew
	r.open = nil
	r.keeper = New(Options{
		Store: w.store, Prefix: "budget/", VM: r.vm, Address: r.vm, Incarnation: fmt.Sprintf("p%d", w.born),
		Budgets: func() map[string]int64 { return prepaidBudgets },
		Log:     event.Discard(),
		Clock: func() ClockReading {
			return ClockReading{Boot: boot, Steady: w.steady + skew, Wall: w.wall.Add(w.steady)}
		},
		Home:    func(account string) string { return w.homeOf(r, account) },
		Holders: func(account string) []string { return []string{w.homeOf(r, account)} },
		Peers:   noPeers{},
	})
}

// homeOf spreads the accounts over the routers.
func (w *cluster) homeOf(r *simRouter, account string) string {
	home := w.routers[len(account)%len(w.routers)]
	if home == r {
		return ""
	}
	return home.vm
}

// noPeers: in these schedules loans are actions of their own.
type noPeers struct{}

func (noPeers) BorrowFrom(context.Context, string, string, int64, string) Loan {
	return Loan{Short: PeerUnreachable}
}
func (noPeers) Borrow(context.Context, string, int64) (int64, int64)    { return 0, 0 }
func (noPeers) HandOver(context.Context, string, map[string]int64) bool { return false }

func (w *cluster) router(name string) *simRouter {
	return w.routers[rapid.IntRange(0, len(w.routers)-1).Draw(w.t, name)]
}

func (w *cluster) account() string {
	return rapid.SampledFrom([]string{"boatyard", "depot"}).Draw(w.t, "account")
}

// reserve sets tokens aside, if the router has them at hand.
func (w *cluster) reserve(*rapid.T) {
	r, account := w.router("router"), w.account()
	tokens := rapid.Int64Range(1, 15_000).Draw(w.t, "tokens")
	h := r.keeper.newPendingReservation(account, tokens, true, "")
	if h.missing > 0 {
		h.release()
		// A reservation that waits makes the next round draw for it.
		if rapid.Bool().Draw(w.t, "waits") {
			if changed, _ := r.keeper.fillOrWait(h, false); changed != nil {
				r.keeper.syncStore(context.Background(), false)
				r.keeper.stopWaiting(h)
			}
		}
		return
	}
	r.open = append(r.open, h.reservation())
}

// work is some seconds of steady use at one router: it draws, and delivers all that
// it gets.
func (w *cluster) work(*rapid.T) {
	r, account := w.router("router"), w.account()
	for i := rapid.IntRange(1, 12).Draw(w.t, "requests"); i > 0; i-- {
		h := r.keeper.newPendingReservation(account, rapid.Int64Range(1, 15_000).Draw(w.t, "tokens"), true, "")
		if changed, _ := r.keeper.fillOrWait(h, false); changed != nil {
			r.keeper.syncStore(context.Background(), rapid.Bool().Draw(w.t, "refresh"))
			r.keeper.stopWaiting(h)
		}
		if changed, _ := r.keeper.fillOrWait(h, true); changed != nil {
			r.keeper.stopWaiting(h)
		}
		w.deliver(account, h)
		w.steady += 100 * time.Millisecond
	}
}

// deliver ends a request that got its tokens; one that didn't is refused after a while.
func (w *cluster) deliver(account string, h *pendingReservation) {
	if h.missing > 0 {
		h.release()
		w.steady += 200 * time.Millisecond
		return
	}
	w.consumed[account] += h.tokens
	h.reservation().Settle(h.tokens)
}

// settle ends a request that delivered some of what was reserved.
func (w *cluster) settle(*rapid.T) {
	r := w.router("router")
	if len(r.open) == 0 {
		return
	}
	last := len(r.open) - 1
	reservation := r.open[last]
	r.open = r.open[:last]
	used := rapid.Int64Range(0, reservation.tokens).Draw(w.t, "used")
	w.consumed[reservation.grant.account] += used
	reservation.Settle(used)
}

func (w *cluster) syncStore(*rapid.T) {
	r := w.router("router")
	r.keeper.syncStore(context.Background(), rapid.Bool().Draw(w.t, "refresh"))
}

// lend moves tokens between two routers; the answer may be lost and the loan
// voided, or lost for good.
func (w *cluster) lend(*rapid.T) {
	from, to, account := w.router("from"), w.router("to"), w.account()
	from.keeper.mu.Lock()
	available := from.keeper.grant(account).available(from.keeper.contactAge())
	from.keeper.mu.Unlock()
	if from == to || available <= 0 {
		return
	}
	given := from.keeper.Lend(account, rapid.Int64Range(1, available).Draw(w.t, "tokens"), "").Tokens
	w.answer(from, to, account, given)
}

// answer ends a loan: its answer arrives, or is lost and the loan voided, or lost for good.
func (w *cluster) answer(from, to *simRouter, account string, given int64) {
	switch rapid.SampledFrom([]string{"arrives", "voided", "lost"}).Draw(w.t, "answer") {
	case "arrives":
		to.keeper.Accept(map[string]int64{account: given})
	case "voided":
		from.keeper.TakeBack(account, given)
	}
}

// ask lends to a request that asks a router as a holder, which holds ahead of need from then
// on, whoever the account's home is. The answer may be lost, as with any loan.
func (w *cluster) ask(*rapid.T) {
	from, to, account := w.router("holder"), w.router("borrower"), w.account()
	from.keeper.mu.Lock()
	available := from.keeper.grant(account).available(from.keeper.contactAge())
	from.keeper.mu.Unlock()
	from.keeper.refreshStandby(from.keeper.grant(account))
	if from == to || available <= 0 {
		return
	}
	given := from.keeper.Lend(account, rapid.Int64Range(1, available).Draw(w.t, "tokens"), "waiter").Tokens
	w.answer(from, to, account, given)
}

// handBack is a sweep whose gifts arrive, or are lost.
func (w *cluster) handBack(*rapid.T) {
	from := w.router("borrower")
	for address, tokens := range from.keeper.takeSurplus() {
		if !rapid.Bool().Draw(w.t, "arrives") {
			continue
		}
		for _, to := range w.routers {
			if to.vm == address {
				to.keeper.Accept(tokens)
			}
		}
	}
}

// die ends a process; what it had reserved may have been delivered whole.
func (w *cluster) die(r *simRouter) {
	for _, reservation := range r.open {
		w.consumed[reservation.grant.account] += rapid.Int64Range(0, reservation.tokens).Draw(w.t, "delivered")
	}
}

func (w *cluster) kill(*rapid.T) {
	r := w.router("router")
	w.die(r)
	w.tickBy("down")
	w.start(r)
}

// losePower is a kill after which the steady clock shows anything.
func (w *cluster) losePower(*rapid.T) {
	r := w.router("router")
	w.die(r)
	w.tickBy("down")
	r.boot++
	r.skew = time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(w.t, "skew"))
	w.start(r)
}

func (w *cluster) stop(*rapid.T) {
	r := w.router("router")
	for len(r.open) > 0 {
		reservation := r.open[0]
		r.open = r.open[1:]
		w.consumed[reservation.grant.account] += reservation.tokens
		reservation.Settle(reservation.tokens)
	}
	_ = r.keeper.ReturnGrants(context.Background()) // an outage keeps it from returning
	w.start(r)
}

func (w *cluster) tickBy(name string) {
	w.steady += time.Duration(rapid.Int64Range(0, 4000).Draw(w.t, name)) * time.Millisecond
}

func (w *cluster) tick(*rapid.T) {
	w.tickBy("ms")
}

func (w *cluster) outage(*rapid.T) {
	w.store.SetDown(rapid.IntRange(0, 3).Draw(w.t, "down") == 0)
}

// fates makes the store lose answers, or do writes late.
func (w *cluster) fates(*rapid.T) {
	fate := rapid.SampledFrom([]memstore.Outcome{memstore.Answered, memstore.Answered, memstore.Answered, memstore.ResponseLost, memstore.Delayed, memstore.Dropped}).Draw(w.t, "fate")
	w.store.SetOutcome(func(store.Txn) memstore.Outcome { return fate })
}

func (w *cluster) settleLate(*rapid.T) {
	w.store.ApplyDelayed()
}

// check is the promise: nobody consumes more than was paid, also if all that is
// reserved now gets delivered whole.
func (w *cluster) check(t *rapid.T) {
	most := make(map[string]int64)
	for account, n := range w.consumed {
		most[account] = n
	}
	for _, r := range w.routers {
		for _, reservation := range r.open {
			most[reservation.grant.account] += reservation.tokens
		}
	}
	for account, n := range most {
		if n > prepaidBudgets[account] {
			t.Fatalf("%s: %d tokens of %d paid", account, n, prepaidBudgets[account])
		}
	}
}

// Guards against overspending under any order of kills, outages, lost and late writes, loans and stops.
func TestNoScheduleSpendsMoreThanWasPaid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(1, 4).Draw(t, "vms"))
		t.Repeat(map[string]func(*rapid.T){
			"reserve": w.reserve, "work": w.work, "work more": w.work, "work on": w.work, "settle": w.settle, "round": w.syncStore, "round again": w.syncStore,
			"lend": w.lend, "kill": w.kill, "lose power": w.losePower, "stop": w.stop, "tick": w.tick,
			"outage": w.outage, "fates": w.fates, "settle late": w.settleLate, "": w.check,
		})
	})
}

// worldPeers lends between the routers of the world; an answer may be lost.
type worldPeers struct {
	noPeers
	w   *cluster
	own *simRouter
}

func (p worldPeers) BorrowFrom(_ context.Context, address, account string, tokens int64, waiter string) Loan {
	for _, from := range p.w.routers {
		if from.vm != address || from == p.own || !rapid.Bool().Draw(p.w.t, "reached") {
			continue
		}
		loan := from.keeper.Lend(account, tokens, waiter)
		switch rapid.SampledFrom([]string{"arrives", "arrives", "voided", "lost"}).Draw(p.w.t, "loan") {
		case "arrives":
			return loan
		case "voided":
			from.keeper.TakeBack(account, loan.Tokens)
		}
	}
	return Loan{Short: PeerUnreachable}
}

// useUp is use at one router until all is granted, and what it gathers then from others.
func (w *cluster) useUp(*rapid.T) {
	r, account := w.router("router"), w.account()
	r.keeper.opts.Peers = worldPeers{w: w, own: r}
	for range rapid.IntRange(1, 20).Draw(w.t, "requests") {
		h := r.keeper.newPendingReservation(account, rapid.Int64Range(1, 15_000).Draw(w.t, "tokens"), true, "")
		for range 3 {
			if changed, _ := r.keeper.fillOrWait(h, true); changed != nil {
				r.keeper.syncStore(context.Background(), true)
				for _, g := range r.keeper.takeGatherings() {
					r.keeper.runGathering(context.Background(), g)
				}
				r.keeper.stopWaiting(h)
			}
		}
		w.deliver(account, h)
	}
}

// Guards against overspending where a router that holds for all takes in what others hold.
func TestNoScheduleWithGatheringSpendsMoreThanWasPaid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(2, 4).Draw(t, "vms"))
		t.Repeat(map[string]func(*rapid.T){
			"use up": w.useUp, "use up more": w.useUp, "work": w.work, "reserve": w.reserve, "settle": w.settle, "round": w.syncStore,
			"kill": w.kill, "lose power": w.losePower, "stop": w.stop, "tick": w.tick,
			"outage": w.outage, "fates": w.fates, "settle late": w.settleLate, "": w.check,
		})
	})
}

// Guards against overspending where several routers hold for others at any time.
func TestNoScheduleWithStandbysSpendsMoreThanWasPaid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(2, 5).Draw(t, "vms"))
		t.Repeat(map[string]func(*rapid.T){
			"reserve": w.reserve, "work": w.work, "work more": w.work, "settle": w.settle, "round": w.syncStore, "round again": w.syncStore,
			"ask": w.ask, "ask again": w.ask, "hand back": w.handBack, "lend": w.lend, "kill": w.kill, "lose power": w.losePower,
			"stop": w.stop, "tick": w.tick, "outage": w.outage, "fates": w.fates, "settle late": w.settleLate, "": w.check,
		})
	})
}
