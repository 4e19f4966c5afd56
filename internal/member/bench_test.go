package member

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"chicorytiller.example/chicorytiller/internal/id"
)

// BenchmarkPeriod is what one period takes at one router: a tick, the heartbeats
// that come in meanwhile, and the answers to its own.
func BenchmarkPeriod(b *testing.B) {
	for _, n := range []int{3, 9, 30, 100, 440} {
		b.Run(fmt.Sprintf("routers=%d", n), func(b *testing.B) {
			f := newFleetWith(n, 1, 2*time.Second, time.Minute)
			f.run(3 * time.Minute)
			b.ReportAllocs()
			for b.Loop() {
				f.run(f.period)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/router")
		})
	}
}

// BenchmarkViewBytes gives the live bytes that a view keeps of each peer.
func BenchmarkViewBytes(b *testing.B) {
	const peers = 439
	for b.Loop() {
		before := liveHeap()
		self := Info{Router: id.Router{VM: "entry-000", Incarnation: 1}}
		view := New(Config{Self: self, Period: period, SuspectAfter: suspectAfter}, start, rand.New(rand.NewPCG(1, 1)))
		for i := range peers {
			info := Info{Router: id.Router{VM: id.VM(fmt.Sprintf("entry-%03d", i+1)), Incarnation: 1}, CallerAddress: fmt.Sprintf("10.0.0.%d:8080", i),
				LinkAddress: fmt.Sprintf("10.0.0.%d:8082", i), FailureDomain: id.FailureDomain(fmt.Sprintf("domain-%d", i%9)), State: Serving}
			view.Step(start, Received{Heartbeat: Heartbeat{Sender: info, Count: 1}})
		}
		fleet := view.Fleet()
		b.ReportMetric(float64(liveHeap()-before)/peers, "heap-B/peer")
		runtime.KeepAlive(view)
		runtime.KeepAlive(fleet)
	}
}

func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
