package permits

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// fixture is a grantor with a clock set by the test.
type fixture struct {
	*qt.C
	now        time.Time
	grantor    *Grantor
	server     Server
	takeover   bool
	changes    []Change
	lastPermit uint64
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{C: qt.New(t), now: time.Unix(1000, 0), server: Server{Incarnation: "s@1", Service: "plain", Slots: 4, Tolerated: 1}}
	f.grantor = &Grantor{
		Takeover: func(string) bool { return f.takeover },
		OnChange: func(c Change) { f.changes = append(f.changes, c) },
		Now:      func() time.Time { return f.now },
	}
	return f
}

// testAnswer is the answer to a request, once there is one.
type testAnswer struct {
	*Answer
	permit uint64
	cancel func()
}

func (f *fixture) request(r Request) *testAnswer {
	f.lastPermit++
	r.Server, r.Permit = f.server, f.lastPermit
	result := &testAnswer{permit: r.Permit}
	result.cancel = f.grantor.request(r, func(a Answer) { result.Answer = &a })
	return result
}

// acquire asks for a permit without waiting and reports whether it is granted.
func (f *fixture) acquire(holder string) *testAnswer {
	answer := f.request(Request{Holder: holder})
	f.Assert(answer.Answer, qt.IsNotNil)
	return answer
}

// acquireAll acquires permits until one is denied, and returns those granted.
func (f *fixture) acquireAll(holder string) []uint64 {
	var granted []uint64
	for {
		answer := f.acquire(holder)
		if !answer.Granted {
			return granted
		}
		granted = append(granted, answer.permit)
	}
}

func (f *fixture) release(holder string, permit uint64, outcome Outcome) {
	f.grantor.Release(Release{Holder: holder, Permit: permit, Server: f.server, Outcome: outcome})
}

func (f *fixture) report(holder string, others int, permits ...uint64) {
	f.grantor.Report(Report{Holder: holder, Usages: []Usage{{Server: f.server, Permits: permits, Others: others}}})
}

func (f *fixture) advance(d time.Duration) { f.now = f.now.Add(d) }

// Guards against more requests in progress than a fragile server has slots, from whichever routers.
func TestPermitsAreAsManyAsSlots(t *testing.T) {
	f := newFixture(t)
	granted := f.acquireAll("r1")
	f.Assert(granted, qt.HasLen, 4)
	f.Assert(f.acquire("r2").Granted, qt.IsFalse)
	f.release("r1", granted[0], Served)
	f.release("r1", granted[0], Served) // twice
	f.Assert(f.acquireAll("r2"), qt.HasLen, 1)
}

// Guards against a server that gets its usual load on top of requests which began before it was known to
// be fragile.
func TestRequestsWithoutPermitCount(t *testing.T) {
	f := newFixture(t)
	f.report("r1", 3)
	f.Assert(f.acquireAll("r2"), qt.HasLen, 1)
	f.report("r1", 0)
	f.Assert(f.acquireAll("r2"), qt.HasLen, 3)
}

// Guards against slots that stay taken by a router that ended.
func TestPermitsOfEndedRouterExpire(t *testing.T) {
	f := newFixture(t)
	f.acquireAll("r1")
	f.advance(holderTTL - time.Millisecond)
	f.Assert(f.acquireAll("r2"), qt.HasLen, 0)
	f.advance(time.Millisecond)
	f.Assert(f.acquireAll("r2"), qt.HasLen, 4)
}

// Guards against slots that stay taken since the answer that granted them was lost.
func TestLostPermitIsFreedByReport(t *testing.T) {
	f := newFixture(t)
	granted := f.acquireAll("r1")
	f.report("r1", 0, granted[:2]...)
	f.Assert(f.acquireAll("r2"), qt.HasLen, 0, qt.Commentf("the permits may be on their way"))
	f.advance(lostAfter)
	f.report("r1", 0, granted[:2]...)
	f.Assert(f.acquireAll("r2"), qt.HasLen, 2)
}

// Guards against a late report that brings back a permit which was returned meanwhile.
func TestLateReportTakesNoSlot(t *testing.T) {
	f := newFixture(t)
	granted := f.acquireAll("r1")
	f.release("r1", granted[0], Served)
	f.report("r1", 0, granted...)
	f.Assert(f.acquireAll("r2"), qt.HasLen, 1)
}

// Guards against twice as many requests as a server has slots when another router becomes its grantor.
func TestNewGrantorCountsPermitsOfFormerOne(t *testing.T) {
	f := newFixture(t)
	f.takeover = true
	f.Assert(f.acquireAll("r1"), qt.HasLen, 0)
	f.report("r2", 0, 101)
	f.advance(ReportInterval)
	f.Assert(f.acquireAll("r1"), qt.HasLen, 1, qt.Commentf("half of the slots are left to the former grantor"))
	f.report("r2", 0, 101, 102)
	f.Assert(f.acquireAll("r1"), qt.HasLen, 0)
	f.advance(takeoverTime)
	f.Assert(f.acquireAll("r1"), qt.HasLen, 4)
}

// Guards against a server that crashes under a second rejection because its capacity is less than its
// slots.
func TestRejectionPausesGrants(t *testing.T) {
	f := newFixture(t)
	granted := f.acquireAll("r1")
	f.release("r1", granted[3], Rejected)
	f.release("r1", granted[2], Served)
	denied := f.acquire("r2")
	f.Assert(denied.Granted, qt.IsFalse)
	f.Assert(denied.HoldOff, qt.Equals, rejectionWindow)
	f.Assert(denied.RetryAfter >= rejectionWindow, qt.IsTrue)
	f.advance(rejectionWindow)
	f.Assert(f.acquireAll("r2"), qt.HasLen, 1, qt.Commentf("three at once were not rejected, two are in progress"))
	f.Assert(f.changes, qt.DeepEquals, []Change{{Server: f.server, Limit: 3, InProgress: 3, Rejections: 1}})
}

// Guards against a server that is used less than it could be for good, after a rejection that had another
// cause.
func TestLimitRisesAgain(t *testing.T) {
	f := newFixture(t)
	granted := f.acquireAll("r1")
	f.release("r1", granted[3], Rejected)
	granted = f.serve(granted[:3], 4)
	f.Assert(granted, qt.HasLen, 3, qt.Commentf("four at once were rejected a moment ago"))
	f.Assert(f.serve(granted, 20), qt.HasLen, 4)
}

// serve lets the server answer a request, as often as told, and acquires all permits that there are. It
// returns those in use.
func (f *fixture) serve(granted []uint64, times int) []uint64 {
	for range times {
		f.advance(raiseInterval)
		f.release("r1", granted[0], Served)
		granted = append(granted[1:len(granted):len(granted)], f.acquireAll("r1")...)
	}
	return granted
}

// Guards against a limit that falls to nothing because a rejecting server had requests that the grantor
// doesn't know of.
func TestRejectionByUnknownRequestsKeepsSlots(t *testing.T) {
	f := newFixture(t)
	first := f.acquire("r1")
	f.grantor.Release(Release{Holder: "r1", Permit: first.permit, Server: f.server, Outcome: Rejected, Load: 9})
	f.advance(rejectionWindow)
	f.Assert(f.acquireAll("r1"), qt.HasLen, 4)
}

// Guards against urgent requests that find the places taken by others which came a moment before.
func TestUrgentRequestsGoFirst(t *testing.T) {
	f := newFixture(t)
	granted := f.acquireAll("r1")
	var later []*testAnswer
	for range 4 {
		later = append(later, f.request(Request{Holder: "r2", Priority: 2, Wait: MaxWait}))
	}
	urgent := f.request(Request{Holder: "r3", Priority: 0, Wait: MaxWait})
	f.Assert(urgent.Answer, qt.IsNil)
	f.Assert(later[3].Answer, qt.IsNotNil, qt.Commentf("the queue is full: the last one gives way"))
	f.Assert(later[3].Granted, qt.IsFalse)
	f.release("r1", granted[0], Served)
	f.Assert(urgent.Granted, qt.IsTrue)
	f.Assert(later[0].Answer, qt.IsNil)
	later[0].cancel()
	f.Assert(later[0].Granted, qt.IsFalse)
	f.release("r1", granted[1], Served)
	f.Assert(later[1].Granted, qt.IsTrue)
}

// Guards against calls to a grantor that grow with the number of routers whose requests find no place.
func TestHoldOffGrowsWithDenials(t *testing.T) {
	f := newFixture(t)
	f.acquireAll("r1")
	for range 4 {
		f.request(Request{Holder: "r2", Wait: MaxWait})
	}
	first := f.acquire("r3")
	f.Assert(first.HoldOff, qt.Equals, minHoldOff)
	for range 300 {
		f.acquire("r3")
	}
	f.Assert(f.acquire("r3").HoldOff > 10*minHoldOff, qt.IsTrue)
}

// Guards against a server without stated slots that crashes under as many requests as another could take.
func TestUnknownSlotsAreLearned(t *testing.T) {
	f := newFixture(t)
	f.server.Slots = 0
	granted := f.acquireAll("r1")
	f.Assert(granted, qt.HasLen, unknownSlots)
	f.Assert(f.serve(granted, 4), qt.HasLen, unknownSlots+4)
}

// Guards against a request that waits forever, or for longer than its router does.
func TestAcquireAnswersInTime(t *testing.T) {
	f := newFixture(t)
	f.acquireAll("r1")
	started := time.Now()
	answer := f.grantor.Acquire(Request{Holder: "r2", Permit: 99, Server: f.server, Wait: time.Hour})
	f.Assert(answer.Granted, qt.IsFalse)
	f.Assert(time.Since(started) >= MaxWait, qt.IsTrue)
}

// Guards against slots that stay taken for seconds by a router that ended, and against those of one that is only
// slow being given away for good.
func TestPermitsOfDisconnectedRouterCountWhileServerWorks(t *testing.T) {
	f := newFixture(t)
	first := f.acquire("r1")
	f.advance(300 * time.Millisecond)
	f.release("r1", first.permit, Served) // exchanges take 300 ms
	granted := f.acquireAll("r1")
	f.grantor.Disconnected("r1")
	f.advance(299 * time.Millisecond)
	f.Assert(f.acquireAll("r2"), qt.HasLen, 0)
	f.report("r1", 0, granted...)
	f.advance(time.Millisecond)
	f.Assert(f.acquireAll("r2"), qt.HasLen, 0, qt.Commentf("r1 was heard of again"))
	f.grantor.Disconnected("r1")
	f.advance(300 * time.Millisecond)
	f.Assert(f.acquireAll("r2"), qt.HasLen, 4)
}

// Guards against slots that a router that has started grants twice or holds back, although it has passed on all
// permits in use.
func TestRelayedPermitsAreKnown(t *testing.T) {
	f := newFixture(t)
	f.takeover = true
	f.grantor.Record(Request{Holder: "r1", Permit: 901, Server: f.server})
	f.grantor.Record(Request{Holder: "r1", Permit: 902, Server: f.server})
	f.release("r1", 901, Served)
	f.Assert(f.acquireAll("r2"), qt.HasLen, 3)
}

// Guards against slots granted on what a router knew before another one granted them for a while.
func TestStandbyForgetsWhatIsOld(t *testing.T) {
	f := newFixture(t)
	granted := f.acquireAll("r1")
	for _, permit := range granted {
		f.release("r1", permit, Served)
	}
	f.advance(staleAfter)
	f.grantor.Report(Report{Holder: "r2", Standby: true, Interval: ReportInterval, Usages: []Usage{{Server: f.server, Permits: []uint64{801}}}})
	f.Assert(f.acquireAll("r1"), qt.HasLen, 0)
	f.advance(ReportInterval)
	f.Assert(f.acquireAll("r1"), qt.HasLen, 3, qt.Commentf("the former grantor has ended and needs no slots"))
}

// Guards against a grantor that takes over before routers of older builds have reported, which do so less often.
func TestTakeoverWaitsForReportsOfOlderBuilds(t *testing.T) {
	f := newFixture(t)
	f.takeover = true
	f.report("r2", 0, 101) // without an interval
	f.advance(oldReportInterval - time.Millisecond)
	f.Assert(f.acquireAll("r1"), qt.HasLen, 0)
	f.advance(time.Millisecond)
	f.Assert(f.acquireAll("r1"), qt.HasLen, 1)
}
