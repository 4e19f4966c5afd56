package pacing

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/fleet"
)

const testRate = 11.0

// routers are the limiters of a fleet on one clock; senders are those that take themselves
// for the sender of each server.
func routers(n int, now *time.Time, senders map[int]bool) []*Limiter {
	list := make([]*Limiter, n)
	for i := range list {
		ahead := 1
		if senders[i] {
			ahead = 0
		}
		clock := func() time.Time { return *now }
		list[i] = &Limiter{ColdRate: func(string) float64 { return testRate }, Limits: NewLimits(event.Discard(), clock), Now: clock,
			SenderRank: func(string) SenderRank { return SenderRank{Position: ahead, Total: n, Valid: true} }}
	}
	return list
}

func cold(now time.Time, cold time.Duration) *fleet.Server {
	s := fleet.NewServer(fleet.Entry{ID: "s", Service: "engines"})
	s.MarkCold(now, cold)
	return s
}

// most is the largest number of times within any second.
func most(times []time.Time) int {
	highest := 0
	for i, first := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(first) < time.Second {
				n++
			}
		}
		highest = max(highest, n)
	}
	return highest
}

// Guards against cold servers that get more than they bear from all routers together.
func TestColdServerGetsNoMoreThanItBearsOverAllRouters(t *testing.T) {
	for _, fleetSize := range []int{8, 80, 195} {
		for _, senders := range []map[int]bool{{3: true}, {3: true, 5: true}} {
			t.Run(fmt.Sprint(fleetSize, " routers, ", len(senders), " senders"), func(t *testing.T) {
				now := time.Unix(1000, 0)
				server := cold(now, time.Minute)
				list := routers(fleetSize, &now, senders)
				var sent []time.Time
				for range 500 {
					now = now.Add(7 * time.Millisecond)
					for _, l := range list {
						if l.Paced(server) && l.TryAcquire(server) {
							sent = append(sent, now)
						}
					}
				}
				allowed := testRate * []float64{0, 1, 1.5}[len(senders)]
				qt.Assert(t, float64(most(sent)) <= allowed, qt.IsTrue, qt.Commentf("%d in a second", most(sent)))
				qt.Assert(t, len(sent) > 0, qt.IsTrue)
			})
		}
	}
}

// Guards against bounds on servers that are warm or bear a warm one's load.
func TestOnlyColdServersAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	l := routers(1, &now, nil)[0]
	server := cold(now, time.Second)
	qt.Assert(t, l.Paced(server), qt.IsTrue)
	qt.Assert(t, l.CanAcquire(server), qt.IsFalse)
	now = now.Add(time.Second)
	qt.Assert(t, l.Paced(server), qt.IsFalse)
	l.ColdRate = func(string) float64 { return 0 }
	qt.Assert(t, l.Paced(cold(now, time.Second)), qt.IsFalse)
}

// Room asks without counting, Take counts, and nothing is kept of servers that get nothing.
func TestRoomComesBackWithTime(t *testing.T) {
	now := time.Unix(1000, 0)
	l := routers(1, &now, map[int]bool{0: true})[0]
	server := cold(now, time.Minute)
	taken := 0
	for l.CanAcquire(server) && l.TryAcquire(server) {
		taken++
	}
	qt.Assert(t, taken, qt.Equals, 7)
	qt.Assert(t, l.TryAcquire(server), qt.IsFalse)
	now = now.Add(coldWindow)
	qt.Assert(t, l.CanAcquire(server), qt.IsTrue)
	qt.Assert(t, l.coldSends, qt.HasLen, 0)
}
