package config

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"chicorytiller.example/chicorytiller/internal/contract"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/platform/memkv"
)

// BenchmarkStateBytes gives the live bytes of a router's configuration at the
// planned size, while it is kept and while a change makes the next one.
func BenchmarkStateBytes(b *testing.B) {
	for b.Loop() {
		before := liveHeap()
		state := plannedState(b)
		b.ReportMetric(float64(liveHeap()-before)/(1<<20), "heap-MB")
		runtime.KeepAlive(state)
	}
}

// BenchmarkHead gives the size of the configuration's head, which each watching
// router gets at each change, where the changes are of contracts with 91 budgets.
func BenchmarkHead(b *testing.B) {
	kv := memkv.New(nil)
	store := NewStore(kv, testNow)
	model := Change{Kind: KindModel, Name: "listing", Body: json.RawMessage(`{"name":"listing","bytes_per_token":4,"context_tokens":32768}`), Author: "a", ChangeID: "model"}
	if _, err := store.Apply(context.Background(), model); err != nil {
		b.Fatal(err)
	}
	largest, sum, n := 0, 0, 0
	for b.Loop() {
		name := id.ClientAccount(fmt.Sprintf("account-%d", n%100))
		c := contract.Contract{Account: name, Keys: []contract.KeyHash{contract.HashKey(string(name))}, Models: []id.Model{"listing"},
			RequestsPerSecond: float64(n + 1), Burst: 1, Concurrency: 1, MaxTokens: 1, DeadlineMS: 1000}
		for i := range 91 {
			c.Budgets = append(c.Budgets, contract.Budget{ID: id.Budget(fmt.Sprintf("budget-%s-%d", name, i))})
		}
		body, err := json.Marshal(c)
		if err != nil {
			b.Fatal(err)
		}
		n++
		change := Change{Kind: KindContract, Name: string(name), IfMatch: AnyRevision, Body: body, Author: "a", ChangeID: fmt.Sprint(n)}
		if _, err := store.Apply(context.Background(), change); err != nil {
			b.Fatal(err)
		}
		largest = max(largest, len(store.Head()))
		sum += len(store.Head())
	}
	counts := kv.Counts()
	b.ReportMetric(float64(sum)/float64(n), "mean-head-B")
	b.ReportMetric(float64(largest), "largest-head-B")
	b.ReportMetric(float64(counts.CASes)/float64(n), "writes/change")
	b.ReportMetric(float64(counts.Gets)/float64(n), "reads/change")
}

func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
