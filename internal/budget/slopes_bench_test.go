package budget_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkDueByBudgets is one look for draws that are due, by the budgets that
// the router holds. The core looks at each of its steps.
func BenchmarkDueByBudgets(b *testing.B) {
	for _, budgets := range []int{10, 100, 1000, 5000} {
		b.Run(fmt.Sprintf("budgets=%d", budgets), func(b *testing.B) {
			before := liveHeap()
			w := benchWallet(budgets)
			each := float64(liveHeap()-before) / float64(budgets)
			now := start.Add(time.Millisecond)
			for b.Loop() {
				w.Due(now)
			}
			b.ReportMetric(each, "heap-B/budget")
		})
	}
}

func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
