package limit

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/contract"
	"chicorytiller.example/chicorytiller/internal/id"
)

var start = time.Unix(1_800_000_000, 0)

// admitted is how many of n requests at one moment are let in.
func admitted(l *Limits, now time.Time, c *contract.Contract, n int, equal float64) int {
	in := 0
	for range n {
		if verdict, _ := l.Enter(now, c, equal); verdict == Allowed {
			in++
		}
	}
	return in
}

// A router that has heard of nobody, or is one of too many, keeps to its equal share.
func TestEqualShareWithoutMessages(t *testing.T) {
	for routers, want := range map[int]int{1: 100, 4: 25, 30: 4, 440: 1} {
		c := qt.New(t)
		l := New()
		l.Tick(start, true, 1/float64(routers))
		contract := &contract.Contract{Account: "a", RequestsPerSecond: 10, Burst: 1000, Concurrency: 100}
		c.Check(admitted(l, start, contract, 200, 1/float64(routers)), qt.Equals, want)
		verdict, wait := l.Enter(start, contract, 1/float64(routers))
		c.Check(verdict, qt.Equals, OverConcurrency)
		c.Check(wait > 0, qt.IsTrue)
		l.Leave("a")
		c.Check(admitted(l, start, contract, 200, 1/float64(routers)), qt.Equals, 1)
	}
}

func TestRefusalTellsWhenARequestFits(t *testing.T) {
	c := qt.New(t)
	l := New()
	contract := &contract.Contract{Account: "a", RequestsPerSecond: 2, Burst: 3}
	c.Assert(admitted(l, start, contract, 10, 1), qt.Equals, 3)
	verdict, wait := l.Enter(start, contract, 1)
	c.Assert(verdict, qt.Equals, OverRate)
	c.Assert(wait, qt.Equals, 500*time.Millisecond)
	c.Assert(admitted(l, start.Add(wait), contract, 10, 1), qt.Equals, 1)
}

// pair is two routers of two, which have met while account "a" had demand at the first.
func pair(c *qt.C, spare int) (first, second *Limits, busy *contract.Contract) {
	first, second = New(), New()
	busy = &contract.Contract{Account: "a", RequestsPerSecond: 1000, Burst: 1000}
	for i := range spare {
		other := &contract.Contract{Account: id.ClientAccount(fmt.Sprint(i)), RequestsPerSecond: 1, Burst: 1}
		_, _ = second.Enter(start, other, 0.5)
	}
	c.Assert(admitted(first, start, busy, 1, 0.5), qt.Equals, 1)
	meet(first, second, start.Add(time.Second))
	return first, second, busy
}

func meet(first, second *Limits, now time.Time) {
	ones, twos := first.Tick(now, true, 0.5), second.Tick(now, true, 0.5)
	second.Heard(id.Router{VM: "1", Incarnation: 1}, ones)
	first.Answered(id.Router{VM: "2", Incarnation: 1}, twos, first.Round())
}

func shareAt(l *Limits, c *contract.Contract) float64 {
	return l.planFor(l.account(c.Account), c, 0.5).share
}

// What makes a router give a share back that it took, or not take it: each would else
// let two routers use the same part of the contract.
func TestShareIsNotTaken(t *testing.T) {
	second := id.Router{VM: "2", Incarnation: 1}
	for name, test := range map[string]struct {
		spare  int
		change func(first, second *Limits)
		want   float64
	}{
		"it is taken":             {0, func(_, _ *Limits) {}, 1},
		"no place in the message": {maxTold + 1, func(_, _ *Limits) {}, 0.5},
		"all fit the message":     {maxTold, func(_, _ *Limits) {}, 1},
		"the other left":          {0, func(first, _ *Limits) { first.Forget("2") }, 0.5},
		"the other started anew": {0, func(first, other *Limits) {
			first.Heard(id.Router{VM: "2", Incarnation: 2}, other.Tick(start, true, 0.5))
		}, 0.5},
		"a late message before that": {0, func(first, _ *Limits) { first.Heard(id.Router{VM: "2"}, New().Tick(start, true, 0.5)) }, 1},
		"an earlier version":         {0, func(first, _ *Limits) { first.Heard(second, nil) }, 0.5},
		"a damaged message":          {0, func(first, _ *Limits) { first.Heard(second, []byte{0x81, 0xa1, 'u', 0xdd, 0xff, 0xff, 0xff, 0xff}) }, 0.5},
		"the other is leaving":       {0, func(first, other *Limits) { first.Heard(second, other.Tick(start, false, 0.5)) }, 0.5},
		"nothing heard for long": {0, func(first, _ *Limits) {
			for i := range freshFor + 1 {
				now := start.Add(time.Duration(i+2) * time.Second)
				_, _ = first.Enter(now, &contract.Contract{Account: "a", RequestsPerSecond: 1000, Burst: 1000}, 0.5)
				first.Tick(now, true, 0.5)
			}
		}, 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			first, other, busy := pair(c, test.spare)
			test.change(first, other)
			c.Assert(shareAt(first, busy), qt.Equals, test.want)
		})
	}
}

// An account is dropped when it is idle, but not while its bucket fills: a new bucket
// would be full, and an account with a low rate could begin anew every ten seconds.
func TestIdleAccountsAreDropped(t *testing.T) {
	c := qt.New(t)
	l := New()
	slow := &contract.Contract{Account: "a", RequestsPerSecond: 0.1, Burst: 5}
	c.Assert(admitted(l, start, slow, 10, 1), qt.Equals, 5)
	for range 5 {
		l.Leave("a")
	}
	l.Tick(start.Add(20*time.Second), true, 1)
	c.Assert(admitted(l, start.Add(20*time.Second), slow, 10, 1), qt.Equals, 2)
	l.Leave("a")
	l.Leave("a")
	l.Tick(start.Add(2*time.Minute), true, 1)
	c.Assert(l.accounts, qt.HasLen, 0)
}

func BenchmarkEnter(b *testing.B) {
	l := New()
	c := &contract.Contract{Account: "a", RequestsPerSecond: 1e6, Burst: 1e6, Concurrency: 1 << 30}
	b.ReportAllocs()
	for b.Loop() {
		l.Enter(start, c, 0.25)
	}
}

// BenchmarkTick is a period's work at a router of 9 with 10,000 busy accounts: the
// message, and afterwards each account's plan.
func BenchmarkTick(b *testing.B) {
	const accounts = 10_000
	f := newFleet(9, 1, &contract.Contract{})
	contracts := make([]*contract.Contract, accounts)
	for i := range contracts {
		contracts[i] = &contract.Contract{Account: id.ClientAccount(fmt.Sprint(i)), RequestsPerSecond: 1e6, Burst: 1e6}
	}
	enter := func(l *Limits) {
		for _, c := range contracts {
			l.Enter(f.now, c, f.equal())
		}
	}
	for i, l := range f.limits {
		enter(l)
		f.messages[i] = l.Tick(f.now, true, f.equal())
		f.limits[0].Answered(f.router(i), f.messages[i], f.limits[0].Round())
	}
	b.ReportAllocs()
	for b.Loop() {
		f.limits[0].Tick(f.now, true, f.equal())
		enter(f.limits[0])
	}
	b.ReportMetric(float64(len(f.messages[0])), "message-bytes")
}
