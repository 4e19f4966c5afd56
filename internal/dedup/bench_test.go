package dedup_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"chicorytiller.example/chicorytiller/internal/dedup"
	"chicorytiller.example/chicorytiller/internal/id"
)

// BenchmarkBytesKept gives the live bytes that a home keeps for a key, and those
// that the serving router keeps for one whose answer was dropped.
func BenchmarkBytesKept(b *testing.B) {
	const keys = 100_000
	now := time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	for b.Loop() {
		before := liveHeap()
		directory := dedup.NewDirectory(now, time.Hour, keys)
		for i := range keys {
			directory.Register(now, benchEntry(now, i))
		}
		b.ReportMetric(float64(liveHeap()-before)/keys, "home-B/key")
		runtime.KeepAlive(directory)

		before = liveHeap()
		table := dedup.NewTable[string](time.Hour, 0)
		for i := range keys {
			e := benchEntry(now, i)
			_, _ = table.Begin(now, e.Key, e.Request, e.BodyHash)
			table.Finish(now, e.Key, e.Request, "", 1)
		}
		b.ReportMetric(float64(liveHeap()-before)/keys, "table-B/key")
		runtime.KeepAlive(table)
	}
}

// benchEntry has strings of its own, as those of a decoded message are.
func benchEntry(now time.Time, i int) dedup.Entry {
	key := dedup.Hash("boatyard", fmt.Sprint(i))
	return dedup.Entry{Key: key, Request: id.Request("req-" + string(key)), At: now, Serial: uint64(i),
		Serving: id.Router{VM: id.VM(fmt.Sprintf("karlin-entry-%d", i%440)), Incarnation: 1}}
}

func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
