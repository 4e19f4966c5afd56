package escrow

import (
	"context"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"
)

// mixedSize returns the size of the i-th request of a mix of many sizes, from 100 to some 13,000
// tokens.
func mixedSize(i int) int64 {
	const sizes = 32
	step := (i * 13) % sizes // visits all sizes, small and large ones by turns
	return int64(100 * math.Pow(1.17, float64(step)))
}

// observeMixedDemand lets a low budget observe mixed requests, a hundred a second for a second, at
// one priority. It returns the time of the last one.
func observeMixedDemand(l *lowBudget, priority int, start time.Duration) time.Duration {
	now := start
	for i := range 100 {
		now = start + time.Duration(i)*10*time.Millisecond
		l.observe(priority, mixedSize(i), now)
	}
	return now
}

// Guards against a last large request that takes the tokens of many small ones.
func TestLowBudgetAdmitsSmallRequestsFirst(t *testing.T) {
	const rest = 40_000
	l := newLowBudget(0)
	now := observeMixedDemand(l, 0, 0)
	demanded := int64(0) // by smaller requests within a second
	for size := int64(100); size < 13_000; size = size * 5 / 4 {
		smaller := int64(0)
		for i := range 100 {
			if mixedSize(i) < size*4/5 {
				smaller += mixedSize(i)
			}
		}
		demanded = max(demanded, smaller)
		fits := demanded*int64(lowBudgetHorizon.Seconds())+size <= rest
		if l.admits(0, size, size, rest, now) {
			qt.Check(t, fits, qt.IsTrue, qt.Commentf("%d tokens are admitted, smaller requests ask for %d a second", size, smaller))
		}
	}
	qt.Check(t, l.admits(0, 100, 100, rest, now), qt.IsTrue)
	qt.Check(t, l.admits(0, 13_000, 13_000, rest, now), qt.IsFalse)
}

// Guards against refusing requests for the sake of others that are not smaller: an account whose
// requests are all alike gets its last token.
func TestLowBudgetAdmitsEqualRequests(t *testing.T) {
	l := newLowBudget(0)
	for now := time.Duration(0); now < time.Second; now += 10 * time.Millisecond {
		l.observe(3, 9_000, now)
	}
	qt.Assert(t, l.admits(3, 9_000, 9_000, 9_000, time.Second), qt.IsTrue)
}

// Guards against refusing a large request because of small ones that came long ago.
func TestLowBudgetForgetsDemand(t *testing.T) {
	l := newLowBudget(0)
	now := observeMixedDemand(l, 0, 0)
	l.observe(0, 12_000, now)
	qt.Assert(t, l.admits(0, 12_000, 12_000, 40_000, now), qt.IsFalse)
	now += time.Minute
	l.observe(0, 12_000, now)
	qt.Assert(t, l.admits(0, 12_000, 12_000, 40_000, now), qt.IsTrue)
}

// Guards against less urgent requests that use up what more urgent ones need.
func TestLowBudgetKeepsTokensForUrgentRequests(t *testing.T) {
	l := newLowBudget(0)
	now := time.Duration(0)
	for ; now < time.Second; now += 10 * time.Millisecond {
		l.observe(0, 9_000, now)
		l.observe(2, 1_000, now)
	}
	qt.Assert(t, l.admits(0, 9_000, 9_000, 9_500, now), qt.IsTrue)
	qt.Assert(t, l.admits(2, 1_000, 1_000, 9_500, now), qt.IsFalse)
	qt.Assert(t, l.admits(2, 1_000, 1_000, 11_000, now), qt.IsTrue)
}

// Guards against rationing a budget of which another router holds a large part that can be
// gathered.
func TestBudgetHeldElsewhereIsNotLow(t *testing.T) {
	c := qt.New(t)
	_, m, g := startTestbed()
	g.spent = g.granted
	g.record.Entries["other"] = map[string]GrantEntry{"p": {Seq: 1, Granted: 1_000_000 - g.granted, Spent: 10_000}}
	m.updateLowBudget(g, 1_000_000)
	c.Assert(g.isRationed(), qt.IsFalse)
	g.record.Entries["other"] = map[string]GrantEntry{"p": {Seq: 1, Granted: 1_000_000 - g.granted, Spent: 1_000_000 - g.granted - 10_000}}
	m.updateLowBudget(g, 1_000_000)
	c.Assert(g.isRationed(), qt.IsTrue)
}

// Guards against a crash that strands the rest of a low budget below the ceiling.
func TestCrashStrandsLittleOfLowBudget(t *testing.T) {
	c := qt.New(t)
	b, m, g := startTestbed()
	m.Lend(LoanRequest{Account: "boatyard", Tokens: 1, WaiterID: "waiter"})
	g.rate, g.rateWeight, g.waitingTokens = 100_000, 1, 1_000_000-g.used()-15_000
	m.syncStore(context.Background(), true)
	g.spent, g.waitingTokens = 985_000-1, 0
	c.Assert(m.admit("boatyard", 100, 100, 0), qt.Equals, admitted)
	b.steady += ledgerInterval
	m.syncStore(context.Background(), true)

	b.steady += time.Second
	b.newManager("p2", noPeers{}).syncStore(context.Background(), true)
	stranded := b.accountRecord(c).Closed - 985_000
	c.Assert(stranded <= 1_500, qt.IsTrue, qt.Commentf("%d of 15000 tokens", stranded))
}

// Guards against a request that the rest of a low budget doesn't cover, and that takes all of it while it
// is being refused.
func TestRequestBeyondLowBudgetTakesNothing(t *testing.T) {
	c := qt.New(t)
	_, m, g := startTestbed()
	g.rate, g.rateWeight, g.waitingTokens = 100_000, 1, 1_000_000-g.used()
	m.syncStore(context.Background(), true)
	g.spent, g.waitingTokens = 985_000, 0
	c.Assert(m.admit("boatyard", 100, 100, 0), qt.Equals, admitted)
	rest := g.remaining(1_000_000)
	c.Assert(rest, qt.Equals, int64(15_000))
	loan := m.Lend(LoanRequest{Account: "boatyard", Tokens: rest + 1, WaiterID: "large"})
	c.Assert(loan.Tokens, qt.Equals, int64(0))
	c.Assert(loan.Short, qt.Not(qt.Equals), NoShortage)
	c.Assert(g.remaining(1_000_000), qt.Equals, rest)
}

// mixedTraffic sends a hundred requests of mixed sizes a second, to all routers of a fleet by turns.
type mixedTraffic struct {
	mu     sync.Mutex
	served int
	tokens int64 // used by the requests that were served
}

func (m *mixedTraffic) send(ctx context.Context, f *testFleet, until func() bool) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	for i := 0; ctx.Err() == nil && !until(); i++ {
		manager := f.managers[fmt.Sprintf("r%d", i%len(f.managers))]
		tasks.Go(func() { m.request(ctx, manager, mixedSize(i)) })
		time.Sleep(10 * time.Millisecond)
	}
}

func (m *mixedTraffic) request(ctx context.Context, manager *GrantManager, size int64) {
	reservation, err := manager.Reserve(ctx, "boatyard", size, 0)
	if err != nil {
		return
	}
	time.Sleep(150 * time.Millisecond) // until it is answered
	if ctx.Err() != nil {
		return // the router is dead
	}
	reservation.Settle(size)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.served++
	m.tokens += size
}

func (m *mixedTraffic) usedTokens() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tokens
}

// Guards against an account that gets no answers at all after all routers lose power while its
// budget is nearly used up.
func TestLowBudgetOutlastsLossOfPower(t *testing.T) {
	const size, paid = 5, 4_000_000
	synctest.Test(t, func(t *testing.T) {
		alive, losePower := context.WithCancel(t.Context())
		var tasks conc.WaitGroup
		f := newTestFleet(alive, &tasks, size, 0, paid)
		time.Sleep(2 * time.Second)
		before := &mixedTraffic{}
		before.send(alive, f, func() bool { return before.usedTokens() > paid*98/100 })
		losePower()
		tasks.Wait()

		time.Sleep(1600 * time.Millisecond)
		alive, stop := context.WithCancel(t.Context())
		for _, name := range routerNames(0, size) {
			f.create(name, name+"-again")
		}
		f.run(alive, &tasks)
		returned := time.Now()
		(&mixedTraffic{}).send(alive, f, func() bool { return time.Since(returned) > 12*time.Second })
		late := &mixedTraffic{}
		late.send(alive, f, func() bool { return time.Since(returned) > 15*time.Second })
		stop()
		tasks.Wait()
		qt.Check(t, late.served > 0, qt.IsTrue, qt.Commentf("%d requests served from 12 to 15 s after the return", late.served))
	})
}
