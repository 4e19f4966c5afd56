package retry

import (
	"testing"
	"time"

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
