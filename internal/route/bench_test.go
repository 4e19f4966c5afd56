package route_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"chicorytiller.example/chicorytiller/internal/backend"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/route"
)

const benchModels = 5

// benchTargets gives engines of one model each in 9 failure domains.
func benchTargets(engines int) []route.Target {
	targets := make([]route.Target, engines)
	for i := range targets {
		targets[i] = route.Target{
			Ref: backend.Ref{ID: id.Backend(fmt.Sprintf("engine-%04d", i)), Address: "10.0.0.1:8000",
				FailureDomain: id.FailureDomain(fmt.Sprintf("d%d", i%9))},
			Models: []id.Model{id.Model(fmt.Sprintf("m%d", i%benchModels))},
		}
	}
	return targets
}

// BenchmarkChoose is one choice with its end, by the engines that the router has.
func BenchmarkChoose(b *testing.B) {
	now := time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	for _, engines := range []int{20, 300, 3000} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			targets := benchTargets(engines)
			before := liveHeap()
			chooser := route.NewChooser(route.DefaultConfig(), "d0")
			chooser.SetTargets(targets)
			each := float64(liveHeap()-before) / float64(engines)
			for _, t := range targets {
				chooser.Report(now, t.Ref.ID, backend.LoadReport{At: now, OutstandingTk: 100})
			}
			b.ReportAllocs()
			for b.Loop() {
				ref, _ := chooser.Choose(now, route.Wanted{Model: "m1", Tokens: 400})
				chooser.Done(now, ref.ID, 400, true)
			}
			b.ReportMetric(each, "heap-B/engine")
		})
	}
}

func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
