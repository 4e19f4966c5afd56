package escrow

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const listedPrepaid = 1_000_000

// unlist leaves the testbed's account out of the configuration, which lists another one.
func (b *testbed) unlist() {
	b.prepaid = map[string]int64{"depot": listedPrepaid}
}

func (b *testbed) list() {
	b.prepaid = map[string]int64{"boatyard": listedPrepaid, "depot": listedPrepaid}
}

// syncFor runs rounds of a router for some time.
func (b *testbed) syncFor(m *GrantManager, d time.Duration) {
	for end := b.steady + d; b.steady < end; b.steady += ledgerInterval {
		m.syncStore(context.Background(), true)
	}
}

// useAll reserves and settles tokens until there are no more, and returns how many it used.
func (b *testbed) useAll(m *GrantManager) (used int64) {
	const size = 1_000
	for refused := 0; refused < 3; {
		pending := m.newPendingReservation("boatyard", size, true, "", admitted)
		changed, _ := m.fillOrWait(pending, false)
		if changed != nil {
			m.syncStore(context.Background(), true)
			m.stopWaiting(pending)
			m.mu.Lock()
			pending.fill()
			m.mu.Unlock()
		}
		if pending.missing > 0 {
			pending.release()
			refused++
			b.syncFor(m, 2*readInterval)
			continue
		}
		pending.reservation().Settle(size)
		used += size
		b.steady += 10 * time.Millisecond
	}
	return used
}

// startWithUse returns a testbed whose first process has used most of the budget, and how much.
func startWithUse(c *qt.C) (b *testbed, m *GrantManager, used int64) {
	b = newTestbed(listedPrepaid)
	b.list()
	m = b.newManager("p1", noPeers{})
	m.syncStore(context.Background(), true)
	for used < listedPrepaid*7/10 {
		pending := m.newPendingReservation("boatyard", 10_000, true, "", admitted)
		if changed, err := m.fillOrWait(pending, false); changed != nil {
			m.stopWaiting(pending)
			pending.release()
			b.syncFor(m, ledgerInterval)
			continue
		} else {
			c.Assert(err, qt.IsNil)
		}
		pending.reservation().Settle(10_000)
		used += 10_000
	}
	b.syncFor(m, 2*ledgerInterval)
	return b, m, used
}

// Guards against a budget that is spent twice because its account was left out of one configuration, around which the
// router was killed.
func TestUnlistedAccountIsNotSpentTwice(t *testing.T) {
	for _, test := range []struct {
		name string
		// play brings about the death of the first process and returns the last one.
		play func(b *testbed, m *GrantManager) *GrantManager
	}{
		{"killed and started while it is left out", func(b *testbed, m *GrantManager) *GrantManager {
			b.unlist()
			b.syncFor(m, 4*time.Second)
			m = b.newManager("p2", noPeers{})
			b.syncFor(m, 2*time.Second)
			return m
		}},
		{"killed twice while it is left out", func(b *testbed, m *GrantManager) *GrantManager {
			b.unlist()
			b.syncFor(m, 4*time.Second)
			b.syncFor(b.newManager("p2", noPeers{}), 2*time.Second)
			m = b.newManager("p3", noPeers{})
			b.syncFor(m, 2*time.Second)
			return m
		}},
		{"killed before the ledger lists it again", func(b *testbed, m *GrantManager) *GrantManager {
			b.unlist()
			b.syncFor(m, 4*time.Second)
			b.list()
			return b.newManager("p2", noPeers{})
		}},
		{"left out and listed again between two ledgers, then killed", func(b *testbed, m *GrantManager) *GrantManager {
			b.unlist()
			b.list()
			b.syncFor(m, time.Second)
			return b.newManager("p2", noPeers{})
		}},
		{"killed after no account was listed for long", func(b *testbed, m *GrantManager) *GrantManager {
			b.prepaid = map[string]int64{}
			b.syncFor(m, 2*contactLeaseTTL)
			m = b.newManager("p2", noPeers{})
			b.syncFor(m, 2*time.Second)
			return m
		}},
		{"stopped as planned while it is left out", func(b *testbed, m *GrantManager) *GrantManager {
			b.unlist()
			b.syncFor(m, 4*time.Second)
			_ = m.ReturnGrants(context.Background())
			return b.newManager("p2", noPeers{})
		}},
		{"killed after an outage of the store in which it was left out", func(b *testbed, m *GrantManager) *GrantManager {
			b.store.SetDown(true)
			b.syncFor(m, 2*time.Second)
			b.unlist()
			b.syncFor(m, 2*time.Second)
			b.store.SetDown(false)
			b.syncFor(m, time.Second)
			return b.newManager("p2", noPeers{})
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b, m, used := startWithUse(c)
			m = test.play(b, m)
			b.list()
			b.syncFor(m, 2*time.Second)
			used += b.useAll(m)
			c.Assert(used <= listedPrepaid, qt.IsTrue, qt.Commentf("%d of %d tokens used", used, listedPrepaid))
			c.Assert(used >= listedPrepaid*9/10, qt.IsTrue, qt.Commentf("%d of %d tokens could be used", used, listedPrepaid))
		})
	}
}

// Guards against lost grants of an account that is left out of the configuration when the store comes back from a
// copy: they are written again before the router that knows them ends.
func TestLostGrantOfUnlistedAccountIsWrittenAgain(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(listedPrepaid)
	b.list()
	lost := b.store.Copy()
	m := b.newManager("p1", noPeers{})
	m.syncStore(context.Background(), true)
	used := m.grant("boatyard").granted
	m.grant("boatyard").spent = used
	b.syncFor(m, time.Second)
	b.unlist()
	b.syncFor(m, time.Second)
	b.store.Restore(lost)
	m.ObserveEra(b.store.Era())
	b.syncFor(m, 2*restoreSettleTime)

	m = b.newManager("p2", noPeers{})
	b.list()
	b.syncFor(m, 2*restoreSettleTime)
	used += b.useAll(m)
	c.Assert(used <= listedPrepaid, qt.IsTrue, qt.Commentf("%d of %d tokens used", used, listedPrepaid))
}

// Guards against a ledger of an older build, which lists the accounts of one configuration only, that frees what its
// router has used of another account.
func TestLedgerWithoutAccountFreesNothing(t *testing.T) {
	c := qt.New(t)
	ledger := Ledger{Incarnation: "old", Address: "vm", Contact: readingAt("boot", 0, 0), Allowances: map[string]Allowance{"depot": {}}}
	bound := ledger.BoundSpending("boatyard", "old", "vm", 1000, readingAt("boot", 0, 0), true)
	c.Assert(bound.Max, qt.Equals, int64(1000))
	c.Assert(bound.Ceiling, qt.Equals, int64(1000))
}

// relist lists an account at one router or leaves it out. Routers learn of a configuration at different times.
func (c *cluster) relist(*rapid.T) {
	r, account := c.router("router"), c.account()
	budgets := make(map[string]int64)
	for name, prepaid := range prepaidBudgets {
		if _, listed := r.manager.opts.Budgets()[name]; listed != (name == account) {
			budgets[name] = prepaid
		}
	}
	r.budgets = budgets
	r.manager.opts.Budgets = func() map[string]int64 { return budgets }
}

// endWhileUnlisted ends a router some time after a configuration has left out an account that it served.
func (c *cluster) endWhileUnlisted(t *rapid.T) {
	c.serveRequests(t)
	c.relist(t)
	for range rapid.IntRange(0, 3).Draw(t, "rounds") {
		for _, r := range c.routers {
			r.manager.syncStore(context.Background(), true)
		}
		c.advanceClock("between rounds")
	}
	switch rapid.SampledFrom([]string{"kill", "lose power", "stop"}).Draw(t, "end") {
	case "kill":
		c.kill(t)
	case "lose power":
		c.losePower(t)
	case "stop":
		c.stop(t)
	}
}

// Guards against overspending while configurations leave accounts out and list them again, under any order of kills,
// outages, lost and late writes, loans and stops.
func TestNoScheduleWithUnlistedAccountsSpendsMoreThanWasPaid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.IntRange(1, 4).Draw(t, "vms"))
		t.Repeat(map[string]func(*rapid.T){
			"reserve": c.reserve, "work": c.serveRequests, "work more": c.serveRequests, "settle": c.settle, "round": c.syncStore, "round again": c.syncStore,
			"relist": c.relist, "relist again": c.relist, "end unlisted": c.endWhileUnlisted, "end unlisted again": c.endWhileUnlisted, "lend": c.lend, "ask": c.lendAsHolder, "hand back": c.sweep, "kill": c.kill, "kill again": c.kill,
			"lose power": c.losePower, "stop": c.stop, "tick": c.advance, "outage": c.setOutage, "fates": c.setOutcome, "settle late": c.applyLateWrites,
			"": c.checkConsumed,
		})
	})
}
