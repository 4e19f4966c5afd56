package escrow

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/store"
	"chicorytiller.example/chicorytiller/internal/store/memstore"
)

// gatedStore is a router's way to the store, which may refuse it while it serves others. It
// counts the router's writes of records.
type gatedStore struct {
	store.Store
	refuses bool
	writes  atomic.Int64
}

func (s *gatedStore) Read(ctx context.Context, prefix string) (store.Snapshot, error) {
	if s.refuses {
		return store.Snapshot{}, store.ErrUnavailable
	}
	return s.Store.Read(ctx, prefix)
}

func (s *gatedStore) Commit(ctx context.Context, txn store.Txn) (store.Result, error) {
	if s.refuses {
		return store.Result{}, store.ErrUnavailable
	}
	for _, put := range txn.Puts {
		if strings.Contains(put.Key, AccountKeyPrefix) {
			s.writes.Add(1)
			break
		}
	}
	time.Sleep(4 * time.Millisecond) // what the store takes
	return s.Store.Commit(ctx, txn)
}

// members is a fleet of keepers on one store that reach each other, in virtual time.
type members struct {
	keepers map[string]*GrantManager
	stores  map[string]*gatedStore
	asks    atomic.Int64 // calls of routers to others that are no holders
	// unlisted are those that the others don't know any more.
	unlisted sync.Map
	// dead are those that answer nothing.
	dead     sync.Map
	deadAsks atomic.Int64 // calls to those
}

// fleetOf starts so many keepers, r0 to rN, of which the first six hold the account. The
// store refuses the first refused of them.
func fleetOf(ctx context.Context, tasks *conc.WaitGroup, size, refused int, paid int64) *members {
	m := &members{keepers: make(map[string]*GrantManager), stores: make(map[string]*gatedStore)}
	began := time.Now()
	shared := memstore.New(time.Now)
	for i := range size {
		name := fmt.Sprintf("r%d", i)
		m.stores[name] = &gatedStore{Store: shared, refuses: i < refused}
		k := New(Options{
			Store: m.stores[name], Prefix: "budget/", VM: name, Address: name, Incarnation: name,
			Budgets: func() map[string]int64 { return map[string]int64{"boatyard": paid} }, Log: event.Discard(),
			Clock: func() ClockReading {
				return ClockReading{Boot: "boot", Steady: time.Minute + time.Since(began), Wall: time.Now()}
			},
			Home:    func(string) string { return m.holdersFor(name)[0] },
			Holders: func(string) []string { return m.holdersFor(name) },
			Peers:   &memberPeers{members: m, own: name},
		})
		m.keepers[name] = k
		tasks.Go(func() { k.Run(ctx) })
	}
	return m
}

// holdersFor are the account's holders as one router addresses them.
func (m *members) holdersFor(router string) []string {
	var addresses []string
	for i := range MaxHolders {
		name := fmt.Sprintf("r%d", i)
		if _, gone := m.unlisted.Load(name); gone && name != router {
			continue
		}
		if name == router {
			name = ""
		}
		addresses = append(addresses, name)
	}
	return addresses
}

// unlist takes a router out of the list that the others know.
func (m *members) unlist(router string) {
	m.unlisted.Store(router, true)
}

// memberPeers are the other routers as one of them reaches them, a millisecond away.
type memberPeers struct {
	members *members
	own     string
}

func (p *memberPeers) BorrowFrom(_ context.Context, address, account string, tokens int64, waiter string) Loan {
	if _, dead := p.members.dead.Load(address); dead {
		p.members.deadAsks.Add(1)
		time.Sleep(200 * time.Millisecond) // what opening a connection may take
		return Loan{Short: PeerUnreachable}
	}
	time.Sleep(time.Millisecond)
	return p.members.keepers[address].Lend(account, tokens, waiter)
}

func (p *memberPeers) Borrow(_ context.Context, account string, tokens int64) (got, used int64) {
	for name, k := range p.members.keepers {
		if name != p.own && got < tokens {
			p.members.asks.Add(1)
			loan := k.Lend(account, tokens-got, "")
			got, used = got+loan.Tokens, used+loan.Used
		}
	}
	return got, used
}

func (p *memberPeers) HandOver(_ context.Context, address string, tokens map[string]int64) bool {
	return p.members.keepers[address].Accept(tokens)
}

// outcome is how the requests of a time ended.
type outcome struct {
	mu      sync.Mutex
	served  int
	refused map[error]int
	longest time.Duration // until a refusal
}

// writesBy is how often some routers wrote the account's record.
func (m *members) writesBy(routers []string) int64 {
	sum := int64(0)
	for _, name := range routers {
		sum += m.stores[name].writes.Load()
	}
	return sum
}

// use sends requests of 1,000 tokens to each of the routers, ten a second, for a time.
func (m *members) use(ctx context.Context, routers []string, long time.Duration) *outcome {
	o := &outcome{refused: make(map[error]int)}
	var tasks conc.WaitGroup
	for i, name := range routers {
		tasks.Go(func() {
			time.Sleep(time.Duration(i) * 7 * time.Millisecond) // not all at once
			for began := time.Now(); time.Since(began) < long; time.Sleep(100 * time.Millisecond) {
				o.request(ctx, m.keepers[name])
			}
		})
	}
	tasks.Wait()
	return o
}

func (o *outcome) request(ctx context.Context, k *GrantManager) {
	began := time.Now()
	reservation, err := k.Reserve(ctx, "boatyard", 1000)
	took := time.Since(began)
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.refused[err]++
		o.longest = max(o.longest, took)
		return
	}
	reservation.Settle(1000)
	o.served++
}

func names(from, to int) []string {
	var list []string
	for i := from; i < to; i++ {
		list = append(list, fmt.Sprintf("r%d", i))
	}
	return list
}

// play runs a fleet in virtual time.
func play(t *testing.T, size, refused int, paid int64, scene func(ctx context.Context, m *members)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var tasks conc.WaitGroup
		m := fleetOf(ctx, &tasks, size, refused, paid)
		time.Sleep(2 * time.Second) // who can has its first grant
		scene(ctx, m)
		cancel()
		tasks.Wait()
	})
}

// Guards against a draw by each router where the store refuses an account's first holders.
func TestStoreThatRefusesTheHomeFindsOneWriter(t *testing.T) {
	for _, size := range []int{24, 96} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			play(t, size, 3, 1_000_000_000, func(ctx context.Context, m *members) {
				c := qt.New(t)
				const long = 4 * time.Second
				o := m.use(ctx, names(MaxHolders, size), long)
				c.Assert(o.refused, qt.HasLen, 0)
				c.Assert(o.served > (size-MaxHolders)*30, qt.IsTrue, qt.Commentf("%d served", o.served))
				c.Assert(m.writesBy(names(4, size)), qt.Equals, int64(0), qt.Commentf("others than the third standby write"))
				// One that holds two seconds of use writes some times a second while it
				// learns how much that is.
				writes := m.writesBy(names(0, size))
				c.Assert(writes <= 8*int64(long.Seconds()), qt.IsTrue, qt.Commentf("%d writes by %d routers in %v", writes, size, long))
			})
		})
	}
}

// Guards against slow refusals, and reads by all routers, for a budget that is used up.
func TestUsedUpBudgetIsRefusedAtOnce(t *testing.T) {
	const size, paid = 24, 50_000
	play(t, size, 0, paid, func(ctx context.Context, m *members) {
		c := qt.New(t)
		first := m.use(ctx, names(0, size), time.Second)
		c.Assert(first.served <= paid/1000, qt.IsTrue)
		time.Sleep(2 * recentLoanWindow) // what was lent came back or is used
		later := m.use(ctx, names(MaxHolders, size), 2*time.Second)
		c.Assert(later.served, qt.Equals, paid/1000-first.served)
		c.Assert(later.refused[ErrExhausted] > 100, qt.IsTrue, qt.Commentf("%v", later.refused))
		c.Assert(later.longest < 60*time.Millisecond, qt.IsTrue, qt.Commentf("a refusal after %v", later.longest))
		c.Assert(m.asks.Load(), qt.Equals, int64(0))
	})
}

// Guards against a false, final refusal by a home that has just started.
func TestHomeWithoutConfigurationSaysNothingOfBudgets(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(1_000_000)
	b.steady = time.Minute
	k := b.newManager("p1", noPeers{})
	k.syncStore(context.Background(), true)
	k.recordsReadAt = b.steady
	k.o.Budgets = func() map[string]int64 { return nil }
	c.Assert(k.Lend("harbour", 1_000, "waiter").Short, qt.Equals, StoreUnreachable)
}

// Guards against a draw a request where the store refuses all holders of an account.
func TestLastResortIsBounded(t *testing.T) {
	const size = 48
	play(t, size, MaxHolders, 1_000_000_000, func(ctx context.Context, m *members) {
		c := qt.New(t)
		const long = 4 * time.Second
		m.use(ctx, names(MaxHolders, size), long)
		// Draws are half a second apart at the least; each may lose a race and be followed by
		// the return of its rest.
		most := 3 * int64(long/(lastResortInterval/2))
		for _, name := range names(MaxHolders, size) {
			writes := m.stores[name].writes.Load()
			c.Assert(writes <= most, qt.IsTrue, qt.Commentf("%d writes by %s", writes, name))
		}
	})
}

// Guards against refusals at a home that the store refuses and whose standbys can draw.
func TestRefusedHomeAsksItsStandbys(t *testing.T) {
	play(t, 8, 1, 1_000_000_000, func(ctx context.Context, m *members) {
		o := m.use(ctx, names(0, 1), time.Second)
		qt.Assert(t, o.refused, qt.HasLen, 0)
		qt.Assert(t, o.served > 0, qt.IsTrue)
	})
}

// Guards against refusals while a home that the store refuses, and that left the list of routers, holds most of the budget.
func TestGrantOfAHomeThatLeftTheListIsUsed(t *testing.T) {
	const paid = 2_000_000
	play(t, 8, 0, paid, func(ctx context.Context, m *members) {
		c := qt.New(t)
		first := m.use(ctx, names(1, 8), 6*time.Second)
		c.Assert(first.refused, qt.HasLen, 0)
		c.Assert(m.keepers["r0"].grants["boatyard"].granted > paid*3/4, qt.IsTrue, qt.Commentf("the home holds most"))
		m.stores["r0"].refuses = true
		m.unlist("r0")
		time.Sleep(3 * time.Second)
		o := m.use(ctx, names(1, 8), 10*time.Second)
		left := int64(paid) - int64(first.served+o.served)*1000
		c.Assert(o.refused[ErrContended]*20 < o.served, qt.IsTrue, qt.Commentf("%d served, %v refused, %d tokens left", o.served, o.refused, left))
	})
}

// Guards against slow refusals, and calls to all routers, where a dead home holds most of the budget.
func TestGrantOfADeadHomeHoldsNobodyUp(t *testing.T) {
	const paid = 2_000_000
	play(t, 8, 0, paid, func(ctx context.Context, m *members) {
		c := qt.New(t)
		m.use(ctx, names(1, 8), 6*time.Second)
		m.stores["r0"].refuses = true
		m.unlist("r0")
		m.dead.Store("r0", true)
		time.Sleep(3 * time.Second)
		m.use(ctx, names(1, 8), 6*time.Second)
		later := m.use(ctx, names(1, 8), 5*time.Second)
		c.Assert(later.refused[ErrContended] > 50, qt.IsTrue, qt.Commentf("%d served, %v", later.served, later.refused))
		c.Assert(later.refused, qt.HasLen, 1)
		c.Assert(m.deadAsks.Load() <= 3, qt.IsTrue, qt.Commentf("%d calls to a dead router", m.deadAsks.Load()))
		c.Assert(later.longest < 200*time.Millisecond, qt.IsTrue, qt.Commentf("a refusal after %v", later.longest))
		c.Assert(m.asks.Load(), qt.Equals, int64(0))
	})
}

// Guards against callers who are sent back, again and again, for tokens that a former home has used up.
func TestUseOfAFormerHomeIsKnown(t *testing.T) {
	const paid = 200_000
	play(t, 8, 0, paid, func(ctx context.Context, m *members) {
		c := qt.New(t)
		first := m.use(ctx, names(1, 8), 6*time.Second)
		c.Assert(first.served, qt.Equals, paid/1000)
		m.unlist("r0")
		time.Sleep(3 * time.Second)
		later := m.use(ctx, names(1, 8), 3*time.Second)
		c.Assert(later.refused[ErrExhausted] > 100, qt.IsTrue, qt.Commentf("%v", later.refused))
		c.Assert(later.refused[ErrContended], qt.Equals, 0)
	})
}
