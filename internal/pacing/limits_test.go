package pacing

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/store"
)

// fixture is one router before one server, with a clock and a rank that the test sets.
type fixture struct {
	*qt.C
	now     time.Time
	place   SenderRank
	server  *fleet.Server
	limits  *Limits
	limiter *Limiter
	written store.Revision
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{C: qt.New(t), now: time.Unix(1000, 0), place: SenderRank{Total: 9, Valid: true}, server: fleet.NewServer(fleet.Entry{ID: "s"})}
	clock := func() time.Time { return f.now }
	f.limits = NewLimits(event.Discard(), clock)
	f.limiter = &Limiter{ColdRate: func(string) float64 { return 0 }, Limits: f.limits, Now: clock, SenderRank: f.rank}
	return f
}

func (f *fixture) rank(string) SenderRank { return f.place }

// rankAt gives the router another rank, and the time to notice it.
func (f *fixture) rankAt(ahead int) {
	f.place.Position = ahead
	f.pass(rankCacheTTL)
}

// answer is an answer to a request that was sent some time before.
func (f *fixture) answer(said fleet.RateLimit, took time.Duration) {
	f.limits.ObserveResponse(f.server, said, f.now.Add(-took))
}

func (f *fixture) hear(perSecond float64) {
	f.answer(fleet.RateLimit{State: fleet.LimitPresent, PerSecond: perSecond}, time.Millisecond)
}

func (f *fixture) pass(d time.Duration) { f.now = f.now.Add(d) }

// record lets the router learn a record.
func (f *fixture) record(r Record) {
	r.Incarnation = f.server.Incarnation
	value, err := r.Encode()
	f.Assert(err, qt.IsNil)
	f.written++
	f.Assert(f.limits.ApplyRecord(store.Item{Key: r.Key(), Value: value, Revision: f.written}), qt.IsTrue)
}

// Guards against senders whose turns count from different moments, since each has heard of the limit at its own.
func TestNobodySendsBeforeTheLimitIsRecorded(t *testing.T) {
	f := newFixture(t)
	f.hear(1.2)
	f.pass(time.Minute)
	f.Assert(f.limiter.Paced(f.server), qt.IsTrue)
	for ahead := range f.place.Total {
		f.rankAt(ahead)
		f.limiter.CanAcquire(f.server)
		f.pass(20 * time.Second)
		f.Assert(f.limiter.CanAcquire(f.server), qt.IsFalse)
	}
	f.rankAt(0)
	f.record(Record{PerSecond: 1.2})
	f.limiter.CanAcquire(f.server)
	f.pass(10 * time.Second)
	f.Assert(f.limiter.CanAcquire(f.server), qt.IsTrue)
}

// Guards against a limit that ends by an answer that is older than its begin, or by one answer that lacks it.
func TestOlderAnswerDoesNotEndALimit(t *testing.T) {
	f := newFixture(t)
	f.hear(1.2)
	f.pass(5 * time.Second)
	f.answer(fleet.RateLimit{}, 5*time.Second+time.Millisecond)
	f.Assert(f.limits.Count(), qt.Equals, 1)
	f.answer(fleet.RateLimit{}, 5*time.Second-endGracePeriod/2)
	f.Assert(f.limits.Count(), qt.Equals, 1)
	f.answer(fleet.RateLimit{State: fleet.LimitInvalid}, time.Millisecond)
	f.Assert(f.limits.Count(), qt.Equals, 1)
	f.answer(fleet.RateLimit{}, time.Millisecond)
	f.Assert(f.limits.Count(), qt.Equals, 0)
}

// Guards against a series of new senders that each have a request saved up.
func TestNewSenderHasNothingSavedUp(t *testing.T) {
	f := newFixture(t)
	f.place.Position = 8
	f.record(Record{PerSecond: 1.2})
	f.pass(time.Second)
	f.Assert(f.limiter.TryAcquire(f.server), qt.IsFalse)
	f.rankAt(0)
	f.Assert(f.limiter.TryAcquire(f.server), qt.IsFalse)
	f.pass(10 * time.Second)
	f.Assert(f.limiter.TryAcquire(f.server), qt.IsTrue)
	f.Assert(f.limiter.TryAcquire(f.server), qt.IsFalse)
	f.pass(10 * time.Second)

	f.rankAt(8)
	f.Assert(f.limiter.TryAcquire(f.server), qt.IsFalse)
	f.rankAt(0)
	f.Assert(f.limiter.TryAcquire(f.server), qt.IsFalse)
}

// Guards against a server that takes nothing being left out for good, or flooded.
func TestServerThatTakesNothingIsAskedNowAndThen(t *testing.T) {
	f := newFixture(t)
	f.record(Record{PerSecond: 0})
	taken := 0
	for range 60 {
		f.pass(time.Second)
		if f.limiter.TryAcquire(f.server) {
			taken++
		}
	}
	f.Assert(taken > 0 && taken <= 3, qt.IsTrue, qt.Commentf("%d in a minute", taken))
}

// Guards against limits of a server that was replaced under its id.
func TestRestartedServerHasNoLimit(t *testing.T) {
	f := newFixture(t)
	f.hear(1.2)
	f.record(Record{PerSecond: 1.2})
	again := fleet.NewServer(fleet.Entry{ID: "s", StartUnixMilli: 7})
	f.Assert(f.limiter.Paced(f.server), qt.IsTrue)
	f.Assert(f.limiter.Paced(again), qt.IsFalse)
}

// Guards against a record of the end that is older than what the server has said since.
func TestEndIsNotTakenAgainstTheServersOwnWord(t *testing.T) {
	f := newFixture(t)
	f.record(Record{PerSecond: 1.2})
	f.hear(1.2)
	f.pass(time.Second)
	f.record(Record{Ended: true})
	f.Assert(f.limits.Count(), qt.Equals, 1)
	f.Assert(f.limiter.CanAcquire(f.server), qt.IsFalse)
	next, _ := f.limits.NextWrite(f.rank)
	f.Assert(next, qt.IsNotNil)
	f.Assert(next.Ended, qt.IsFalse)

	f.pass(maxRecordLag)
	f.record(Record{PerSecond: 1.2})
	f.record(Record{Ended: true})
	f.Assert(f.limits.Count(), qt.Equals, 0)
}

// Guards against records that are spoiled, foreign or old, and change what is believed of a server.
func TestSpoiledRecordsChangeNothing(t *testing.T) {
	f := newFixture(t)
	f.record(Record{PerSecond: 1.2})
	key := Record{Incarnation: f.server.Incarnation}.Key()
	for _, value := range []string{"", "{", `{"server":"another","per_second":1}`, `{"server":"` + f.server.Incarnation + `","per_second":-1}`, `[]`} {
		f.Assert(f.limits.ApplyRecord(store.Item{Key: key, Value: []byte(value), Revision: 99}), qt.IsTrue)
	}
	f.Assert(f.limits.ApplyRecord(store.Item{Key: key, Value: []byte(`{"server":"` + f.server.Incarnation + `","over":true}`), Revision: 1}), qt.IsTrue)
	f.Assert(f.limits.ApplyRecord(store.Item{Key: "chicory/router/vm-1", Value: []byte("{}"), Revision: 99}), qt.IsFalse)
	limit, limited := f.limits.Lookup(f.server.Incarnation)
	f.Assert(limited, qt.IsTrue)
	f.Assert(limit.PerSecond, qt.Equals, 1.2)
}

// Guards against memory that is kept for servers that are gone.
func TestLimitsOfGoneServersAreForgotten(t *testing.T) {
	f := newFixture(t)
	f.hear(1.2)
	registered := false
	sweep := func() { f.limits.Prune(func(string) bool { return registered }) }
	sweep()
	f.Assert(f.limits.Count(), qt.Equals, 1)
	f.pass(unregisteredTTL + time.Second)
	registered = true
	sweep()
	f.Assert(f.limits.Count(), qt.Equals, 1)
	registered = false
	sweep()
	f.Assert(f.limits.Count(), qt.Equals, 0)
	f.Assert(f.limits.limits, qt.HasLen, 0)
}

// Guards against waits that name no time, or another than the next place's.
func TestWaitIsTheTimeOfTheNextPlace(t *testing.T) {
	f := newFixture(t)
	f.record(Record{PerSecond: 0.5})
	f.Assert(f.limiter.Delay(f.server), qt.Equals, 2*time.Second)
	f.record(Record{PerSecond: 0})
	f.Assert(f.limiter.Delay(f.server), qt.Equals, maxDelay)
	f.record(Record{PerSecond: 100})
	f.pass(time.Second)
	f.Assert(f.limiter.CanAcquire(f.server), qt.IsTrue)
	f.Assert(f.limiter.Delay(f.server), qt.Equals, time.Duration(0))
}

// Guards against few places that go to whoever asks most often.
func TestPlacesAreLeftToUrgentRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	y := &PriorityGate{Now: func() time.Time { return now }}
	qt.Assert(t, y.ShouldYield("engines", 9), qt.IsFalse)
	y.RecordRefusal("engines", 3)
	qt.Assert(t, y.ShouldYield("engines", 9), qt.IsTrue)
	qt.Assert(t, y.ShouldYield("engines", 3), qt.IsFalse)
	qt.Assert(t, y.ShouldYield("engines", 0), qt.IsFalse)
	qt.Assert(t, y.ShouldYield("others", 9), qt.IsFalse)
	now = now.Add(yieldDuration)
	qt.Assert(t, y.ShouldYield("engines", 9), qt.IsFalse)
}
