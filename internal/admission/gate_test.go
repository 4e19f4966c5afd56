package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/fleet"
)

var (
	allServers = []string{"a", "b", "c", "d"}
	fullLoad   = fleet.Load{Running: 8, Waiting: 8, Slots: 8}
	testTime   = time.Unix(1_700_000_000, 0)
)

// observeFor lets each server send a signal every 50 ms and returns when it ends.
func observeFor(g *Gate, from time.Time, length time.Duration, signal func(server string, i int) Signal) time.Time {
	now := from
	for i := 0; now.Sub(from) < length; i++ {
		for _, server := range allServers {
			s := signal(server, i)
			s.Incarnation = server
			g.Observe(s, now)
		}
		g.Evaluate(allServers, now)
		now = now.Add(50 * ms)
	}
	return now
}

// Guards against services that are limited although they are not short of capacity, and against shortages that
// go unnoticed where servers tell nothing of their slots or lack memory.
func TestOnlyShortagesLimit(t *testing.T) {
	idle := fleet.Load{Running: 1, Slots: 8}
	for name, test := range map[string]struct {
		signal  func(server string, i int) Signal
		limited bool
	}{
		"all full": {func(string, int) Signal { return Signal{Load: fullLoad, HasLoad: true} }, true},
		"one full": {func(s string, _ int) Signal {
			if s == "a" {
				return Signal{Load: fullLoad, HasLoad: true, Rejected: true}
			}
			return Signal{Load: idle, HasLoad: true}
		}, false},
		"slots taken, none waits":      {func(string, int) Signal { return Signal{Load: fleet.Load{Running: 8, Slots: 8}, HasLoad: true} }, false},
		"a rejection here and there":   {func(s string, i int) Signal { return Signal{Rejected: s == "b" && i%8 == 0} }, false},
		"rejections without reports":   {func(_ string, i int) Signal { return Signal{Rejected: i%2 == 0} }, true},
		"rejections, slots are free":   {func(_ string, i int) Signal { return Signal{Load: idle, HasLoad: true, Rejected: i%2 == 0} }, true},
		"no reports and no rejections": {func(string, int) Signal { return Signal{} }, false},
	} {
		g := NewGate(ByPriority)
		observeFor(g, testTime, 2*time.Second, test.signal)
		qt.Check(t, g.Limited(), qt.Equals, test.limited, qt.Commentf(name))
	}
}

// Guards against a shortage that goes unnoticed for seconds because a router gets only few responses.
func TestFewResponsesBeginTheLimit(t *testing.T) {
	g := NewGate(ByPriority)
	began := time.Duration(0)
	for at := time.Duration(0); at < 3*time.Second && !g.Limited(); at += 50 * ms {
		now := testTime.Add(at)
		if at%(200*ms) == 0 {
			g.Observe(Signal{Incarnation: allServers[at/(200*ms)%4], Load: fullLoad, HasLoad: true}, now)
		}
		if g.Due(now) && !g.Rest(now) {
			g.Evaluate(allServers, now)
		}
		began = at
	}
	qt.Check(t, began, qt.Equals, 400*ms+closeAfter) // three servers must have reported
}

// limitedGate returns a gate with a small limit a second after a time.
func limitedGate(from time.Time) (*Gate, time.Time) {
	g := NewGate(ByPriority)
	now := observeFor(g, from, time.Second, func(string, int) Signal { return Signal{Load: fullLoad, HasLoad: true} })
	g.limiter.limit = 1
	return g, now
}

// Guards against a limit that outlasts the reports that it rests on, as after a router was frozen.
func TestStaleReportsEndTheLimit(t *testing.T) {
	g, now := limitedGate(testTime)
	g.unmet = true
	qt.Check(t, g.Evaluate(allServers, now.Add(reportTTL+50*ms)), qt.IsTrue)
	qt.Check(t, g.Limited(), qt.IsFalse)
}

// Guards against a queue that grows without bound, and against requests for which it holds back more urgent ones.
func TestFullQueueRefusesTheLeastUrgent(t *testing.T) {
	g, now := limitedGate(testTime)
	g.inProgress = 100
	waiters := make(map[*Waiter]int)
	for i := range maxWaiting {
		w := g.Offer(Request{Priority: 1, Account: fmt.Sprint(i), Goal: time.Hour}, now)
		qt.Assert(t, w.Settled, qt.IsFalse)
		waiters[w] = i
	}
	urgent := g.Offer(Request{Priority: 0, Goal: time.Hour}, now)
	settled := g.Next(now)
	qt.Assert(t, settled, qt.HasLen, 1)
	qt.Check(t, waiters[settled[0]], qt.Equals, maxWaiting-1)
	qt.Check(t, settled[0].Refusal, qt.IsNotNil)
	qt.Check(t, urgent.Settled, qt.IsFalse)
}

// Guards against requests that are sent, or wait, although they would be answered after their deadline, and
// against estimates that refuse requests for good because none is sent that corrects them.
func TestLateRequestsAreRefusedWhileEstimateIsRecent(t *testing.T) {
	g, now := limitedGate(testTime)
	for range minSamples {
		g.Done(&Waiter{}, Outcome{Served: true, Took: 200 * ms}, now)
	}
	request := Request{Priority: 0, Goal: time.Second, Deadline: now.Add(150 * ms)}
	qt.Check(t, g.Offer(request, now).Refusal.Cause, qt.Equals, Late)
	request.Deadline = now.Add(250 * ms)
	qt.Check(t, g.Offer(request, now).Refusal, qt.IsNil)
	now = now.Add(window + 50*ms)
	request.Deadline = now.Add(150 * ms)
	qt.Check(t, g.Offer(request, now).Refusal, qt.IsNil)
}

// offerShortAndLong offers a short request (50 ms, a deadline of 1 s) and a long one (4 s, 15 s) of equal work each
// 20 ms for 20 s, and returns how many short ones were offered and how many of them were refused as late, and the
// longest time without one that was admitted.
func offerShortAndLong(g *Gate, now time.Time, shortRoute, longRoute string) (offered, late int, gap time.Duration) {
	g.limiter.limit = 1e6
	type end struct {
		at     time.Time
		waiter *Waiter
		took   time.Duration
	}
	var ends []end
	admittedAt := now
	for stop := now.Add(20 * time.Second); now.Before(stop); now = now.Add(20 * ms) {
		ends = slices.DeleteFunc(ends, func(e end) bool {
			if e.at.After(now) {
				return false
			}
			g.Done(e.waiter, Outcome{Served: true, Took: e.took}, now)
			return true
		})
		for _, short := range []bool{true, false} {
			r, took := Request{Route: longRoute, Work: 100, Goal: time.Second, Deadline: now.Add(15 * time.Second)}, 4*time.Second
			if short {
				r.Route, r.Deadline, took = shortRoute, now.Add(time.Second), 50*ms
				offered++
			}
			w := g.Offer(r, now)
			if w.Refusal == nil && w.Settled {
				ends = append(ends, end{now.Add(took), w, took})
			}
			switch {
			case !short:
			case w.Refusal != nil && w.Refusal.Cause == Late:
				late++
				gap = max(gap, now.Sub(admittedAt))
			default:
				admittedAt = now
			}
		}
	}
	return offered, late, gap
}

// Guards against a route whose requests are all refused as late because another route's requests of equal work
// take longer than its deadline.
func TestRoutesOfEqualWorkHaveTheirOwnDurations(t *testing.T) {
	g, now := limitedGate(testTime)
	offered, late, _ := offerShortAndLong(g, now, "short", "long")
	qt.Check(t, offered, qt.Equals, 1000)
	qt.Check(t, late, qt.Equals, 0)
}

// Guards against requests with a short deadline that are shut out for good by the durations of others of the same
// route and work.
func TestLateRequestsAreProbed(t *testing.T) {
	g, now := limitedGate(testTime)
	_, late, gap := offerShortAndLong(g, now, "r", "r")
	qt.Check(t, late > 0, qt.IsTrue) // else the test shows nothing
	qt.Check(t, gap <= probeInterval, qt.IsTrue, qt.Commentf("none was admitted for %v", gap))
}

// Guards against requests that wait until they can no longer be answered before their deadline.
func TestWaitsEndBeforeTheDeadline(t *testing.T) {
	g, now := limitedGate(testTime)
	g.inProgress = 100
	request := Request{Goal: time.Hour, Deadline: now.Add(time.Minute)}
	w := g.Offer(request, now)
	qt.Check(t, w.Settled, qt.IsFalse)
	qt.Check(t, w.Until.Equal(request.Deadline), qt.IsTrue)
	for range minSamples {
		g.Done(&Waiter{}, Outcome{Served: true, Took: 200 * ms}, now)
	}
	g.inProgress = 100
	w = g.Offer(request, now)
	qt.Check(t, w.Settled, qt.IsFalse)
	qt.Check(t, w.Until.Equal(request.Deadline.Add(-200*ms)), qt.IsTrue)
	g.Next(w.Until)
	qt.Check(t, w.Refusal, qt.IsNotNil)
}

// Guards against refusals later than 100 ms after the request's arrival, where its goal allows a longer wait or the
// router has kept it for some time before.
func TestWaitsLeaveTimeForTheRefusal(t *testing.T) {
	g, now := limitedGate(testTime)
	g.inProgress = 100
	w := g.Offer(Request{Arrived: now.Add(-70 * ms), Goal: time.Hour}, now)
	qt.Assert(t, w.Settled, qt.IsFalse)
	g.Next(now.Add(5 * ms))
	qt.Check(t, w.Refusal, qt.IsNotNil)
	w = g.Offer(Request{Arrived: now.Add(-80 * ms), Goal: time.Hour}, now)
	qt.Check(t, w.Refusal, qt.IsNotNil)
}

// Guards against requests that use up a part of their class's share although they were never sent.
func TestUnsentRequestsReturnTheirShare(t *testing.T) {
	g, now := limitedGate(testTime)
	sent, unsent := g.Offer(Request{}, now), g.Offer(Request{}, now.Add(100*ms))
	qt.Assert(t, sent.Refusal == nil && unsent.Refusal == nil, qt.IsTrue)
	now = now.Add(300 * ms)
	used := g.admitted(unsent.class, now)
	g.Done(sent, Outcome{}, now)
	qt.Check(t, g.admitted(unsent.class, now), qt.Equals, used)
	g.Done(unsent, Outcome{Unsent: true}, now)
	left := average{sent.weight, sent.admittedAt}.value(now) * g.correction(now)
	qt.Check(t, math.Abs(g.admitted(unsent.class, now)-left) < 1e-9, qt.IsTrue)
	qt.Check(t, g.inProgress, qt.Equals, 0)
}

// Guards against shares of all classes that are computed for each new account, of which there may be thousands in
// an overload, and against new accounts that are held to no share meanwhile.
func TestNewAccountsDoNotComputeAllShares(t *testing.T) {
	g, now := limitedGate(testTime)
	for range 100 {
		g.Offer(Request{Account: "first"}, now)
		now = now.Add(5 * ms)
	}
	g.computeShares(now)
	at, first := g.sharesAt, g.share(class{account: "first"})
	qt.Assert(t, first < unlimited, qt.IsTrue)
	now = now.Add(ms)
	for i := range 1000 {
		account := fmt.Sprint(i)
		g.Offer(Request{Account: account}, now)
		qt.Assert(t, g.share(class{account: account}), qt.Equals, first)
	}
	qt.Check(t, g.sharesAt.Equal(at), qt.IsTrue)
	g.Offer(Request{Account: "last"}, at.Add(sharesInterval))
	qt.Check(t, g.sharesAt.Equal(at.Add(sharesInterval)), qt.IsTrue)
	qt.Check(t, len(g.shares), qt.Equals, 1003) // one is of all small accounts together
}

// Guards against less urgent requests that get as much as urgent ones because each of many accounts sends only few.
func TestSmallAccountsKeepThePriority(t *testing.T) {
	for _, accounts := range []int{1, 10, 100, 1000} {
		g, now := limitedGate(testTime) // for ten requests a second, of 100 ms each
		rng := rand.New(rand.NewPCG(5, 0))
		var offered, served [2]float64
		var running []*Waiter
		for end := now.Add(2 * time.Minute); now.Before(end); now = now.Add(time.Duration(rng.ExpFloat64() * float64(50*ms))) {
			running = slices.DeleteFunc(running, func(w *Waiter) bool {
				ended := !w.admittedAt.Add(100 * ms).After(now)
				if ended {
					g.Done(w, Outcome{Served: true, Took: 100 * ms}, now)
				}
				return ended
			})
			i := rng.IntN(2)
			w := g.Offer(Request{Priority: 2 * i, Account: fmt.Sprint(rng.IntN(accounts))}, now)
			g.Next(now)
			offered[i]++
			if w.Refusal == nil {
				served[i]++
				running = append(running, w)
			}
		}
		t.Logf("%d accounts: urgent %.2f, others %.2f", accounts, served[0]/offered[0], served[1]/offered[1])
		qt.Check(t, served[0] >= 0.75*offered[0], qt.IsTrue)
		qt.Check(t, served[1] >= 0.05*offered[1] && served[1] <= 0.2*offered[1], qt.IsTrue)
	}
}

// Guards against classes that are shut out because their requests take far longer than their share.
func TestSmallSharesAdmitLongRequests(t *testing.T) {
	for _, share := range []float64{0, 1e-12, 1e-3, 1} {
		for _, weight := range []float64{1e-4, 1, 60, 3600} {
			qt.Check(t, threshold(share, weight) > 0, qt.IsTrue, qt.Commentf("share %v, weight %v", share, weight))
		}
	}
	g, now := limitedGate(testTime)
	for range minSamples {
		g.Done(&Waiter{}, Outcome{Served: true, Took: time.Minute}, now)
	}
	g.inProgress = 0
	g.Offer(Request{Account: "a"}, now)
	b := class{account: "b"}
	g.classes[b], g.shares[b] = &usage{}, 0.05 // the exponential overflows from 60/710 on
	w := g.Offer(Request{Account: "b"}, now)
	qt.Assert(t, g.share(w.class), qt.Equals, 0.05)
	qt.Check(t, w.Settled && w.Refusal == nil, qt.IsTrue)
	qt.Check(t, g.Offer(Request{Account: "b"}, now).Refusal, qt.IsNotNil)
}

// Guards against a priority that is served less than a quarter as often as all while more urgent ones could use all
// capacity.
func TestNoPriorityIsServedLessThanPartOfDemand(t *testing.T) {
	for name, amounts := range map[string][]float64{"two": {10, 10}, "three": {10, 10, 10}, "few urgent": {6, 60}, "many urgent": {60, 6}, "one": {30}} {
		const capacity = 10.0
		var demands []demand
		total := 0.0
		for level, amount := range amounts {
			demands = append(demands, demand{class: class{level: level, account: "a"}, amount: amount})
			total += amount
		}
		given := 0.0
		for c, share := range divide(demands, capacity) {
			got := min(share, amounts[c.level])
			given += got
			qt.Check(t, got/amounts[c.level] >= leastServedShare*capacity/total-1e-9, qt.IsTrue, qt.Commentf("%s: level %d got %v", name, c.level, got))
		}
		qt.Check(t, given <= capacity+1e-9, qt.IsTrue, qt.Commentf(name))
	}
}

// Guards against a router that is shut out because it has no request in progress at the moment at which the limit begins.
func TestLimitBeginsAtUsualNumberOfRequests(t *testing.T) {
	const perSecond, took = 27, 50 * ms
	g, now := NewGate(ByPriority), testTime
	for i := range 2 * perSecond {
		now = now.Add(time.Second / perSecond)
		w := &Waiter{}
		g.admit(w, now)
		g.Done(w, Outcome{Served: true, Took: took}, now)
		g.Observe(Signal{Incarnation: allServers[i%len(allServers)], Load: fullLoad, HasLoad: true}, now)
		if g.Evaluate(allServers, now); g.Limited() {
			break
		}
	}
	qt.Assert(t, g.Limited(), qt.IsTrue)
	qt.Check(t, g.limiter.limit >= maxShrink*0.25*perSecond*took.Seconds(), qt.IsTrue, qt.Commentf("limit %v", g.limiter.limit))
}
