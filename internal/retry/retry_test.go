package retry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"chicorytiller.example/chicorytiller/internal/fixedseed"
)

func TestMain(m *testing.M) {
	fixedseed.Main(m, nil)
}

var limits = Limits{Window: 10 * time.Second, Ratio: 0.2, Extra: 54}

// Guards against retries beyond the fleet's budget, whatever their timing and distribution over
// routers.
func TestRetriesOfAllRoutersStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		routers := rapid.IntRange(1, 9).Draw(t, "routers")
		budgets := make([]*Budget, routers)
		for i := range budgets {
			budgets[i] = NewBudget(limits, routers, func() time.Time { return now })
		}
		var requests, retries []time.Time
		for step := 0; step < 300; step++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, routers-1).Draw(t, "router")]
			for i := rapid.IntRange(0, 5).Draw(t, "requests"); i > 0; i-- {
				b.RecordRequest("engines")
				requests = append(requests, now)
			}
			for b.TryAcquire("engines") {
				retries = append(retries, now)
			}
			retried := count(retries, now.Add(-limits.Window), now)
			maxRequests := max(count(requests, now.Add(-limits.Window), now), count(requests, now.Add(-2*limits.Window), now.Add(-limits.Window)))
			if float64(retried) > limits.Ratio*float64(maxRequests)+limits.Extra {
				t.Fatalf("%d retries for %d requests", retried, maxRequests)
			}
		}
	})
}

func count(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && !at.After(to) {
			n++
		}
	}
	return n
}

// Guards against a request that crashes one server after another.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	now := time.Unix(1000, 0)
	q := NewQuarantine(func() time.Time { return now })
	qt.Assert(t, StartsQuarantine(q.RecordCrash(7)), qt.IsFalse)
	qt.Assert(t, q.Contains(7), qt.IsFalse, qt.Commentf("a single crash may be a network fault"))
	qt.Assert(t, StartsQuarantine(q.RecordCrash(7)), qt.IsTrue)
	qt.Assert(t, q.Contains(7), qt.IsTrue)
	qt.Assert(t, q.Contains(8), qt.IsFalse)
	now = now.Add(suspectTTL)
	qt.Assert(t, q.Contains(7), qt.IsFalse)

	q.Insert(9)
	qt.Assert(t, q.Contains(9), qt.IsTrue)
}

// Guards against unbounded memory when many connections break at once and many harmless requests
// become suspects.
func TestSuspectsAreBounded(t *testing.T) {
	q := NewQuarantine(nil)
	for hash := uint64(0); hash < 2*maxSuspects; hash++ {
		q.RecordCrash(hash)
	}
	qt.Assert(t, len(q.suspects) <= maxSuspects, qt.IsTrue)
}
