package ledger_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"chicorytiller.example/chicorytiller/internal/bill"
	"chicorytiller.example/chicorytiller/internal/budget"
	"chicorytiller.example/chicorytiller/internal/claim"
	"chicorytiller.example/chicorytiller/internal/dedup"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/ledger"
	"chicorytiller.example/chicorytiller/internal/platform/memkv"
)

const benchBudgets = 1250 // of one shard: 640,000 in 512

var benchStart = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

func benchRouter(i int) id.Router {
	return id.Router{VM: id.VM(fmt.Sprintf("karlin-entry-%03d", i)), Incarnation: id.Incarnation(benchStart.UnixNano())}
}

// benchLedger has one shard of benchBudgets with some holders each.
func benchLedger(b *testing.B, holders int) (*ledger.Ledger, *memkv.Store) {
	kv := memkv.New(nil)
	l := ledger.New(kv, 1, budget.DefaultPolicy())
	var ops []budget.Op
	for i := range benchBudgets {
		name := id.Budget(fmt.Sprintf("budget-%06d", i))
		ops = append(ops, budget.TopUp{Budget: name, Account: "account-0001", ID: "0f8fad5b-d9cb-469f-a165-70867728950e", Amount: 1 << 40, At: benchStart})
		for h := range holders {
			ops = append(ops, budget.Draw{Budget: name, Holder: benchRouter(h), Seq: 1, Target: 1_000_000, At: benchStart})
		}
	}
	if _, err := l.Commit(context.Background(), 0, ops); err != nil {
		b.Fatal(err)
	}
	return l, kv
}

func valueSize(b *testing.B, kv *memkv.Store, key string) float64 {
	value, err := kv.Get(context.Background(), key)
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(value.Data))
}

// BenchmarkDraw is one commit of one draw: what a router spends on it, and the
// bytes of the value that travels.
func BenchmarkDraw(b *testing.B) {
	for _, holders := range []int{0, 1, 3} {
		b.Run(fmt.Sprintf("holders=%d", holders), func(b *testing.B) {
			l, kv := benchLedger(b, holders)
			before := kv.Counts()
			seq := uint64(min(holders, 1))
			b.ReportAllocs()
			for b.Loop() {
				seq++
				op := budget.Draw{Budget: "budget-000007", Holder: benchRouter(0), Seq: seq, Target: id.Tokens(seq), At: benchStart}
				if _, err := l.Commit(context.Background(), 0, []budget.Op{op}); err != nil {
					b.Fatal(err)
				}
			}
			after := kv.Counts()
			b.ReportMetric(float64(after.CASes-before.CASes)/float64(b.N), "writes/op")
			b.ReportMetric(float64(after.Gets-before.Gets)/float64(b.N), "reads/op")
			b.ReportMetric(valueSize(b, kv, budget.ShardKey(0)), "value-B")
		})
	}
}

// BenchmarkRetire is the settlement of one router in one shard, where it holds
// some of each ten budgets.
func BenchmarkRetire(b *testing.B) {
	for _, held := range []int{0, 12, 125} {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			l, kv := benchLedger(b, 1)
			before := kv.Counts()
			n := 0
			for b.Loop() {
				n++
				b.StopTimer()
				var ops []budget.Op
				for i := range held {
					ops = append(ops, budget.Draw{Budget: id.Budget(fmt.Sprintf("budget-%06d", i)), Holder: benchRouter(n), Seq: 1, Target: 1000, At: benchStart})
				}
				if _, err := l.Commit(context.Background(), 0, ops); err != nil {
					b.Fatal(err)
				}
				// The settler is another router, which has not read the shard yet.
				settler := ledger.New(kv, 1, budget.DefaultPolicy())
				before = kv.Counts()
				b.StartTimer()
				if err := settler.RetireHolder(context.Background(), 0, benchRouter(n), bill.Sums{}, benchStart); err != nil {
					b.Fatal(err)
				}
			}
			after := kv.Counts()
			b.ReportMetric(float64(after.CASes-before.CASes), "writes/op")
			b.ReportMetric(float64(after.Gets-before.Gets), "reads/op")
		})
	}
}

// BenchmarkClaim is one commit of one claim on a value that has some already.
func BenchmarkClaim(b *testing.B) {
	for _, kept := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("kept=%d", kept), func(b *testing.B) {
			kv := memkv.New(nil)
			now := func() time.Time { return benchStart }
			claims := ledger.NewClaims(kv, 1, claim.DefaultRetention, now)
			commit := func(from, count int) {
				ops := make([]claim.Op, count)
				for i := range ops {
					ops[i] = claim.Claim{Key: dedup.Hash("a", fmt.Sprint(from+i)), Owner: dedup.Owner{Router: benchRouter(0), Serial: uint64(from + i)}, At: benchStart}
				}
				if _, err := claims.Commit(context.Background(), 0, ops); err != nil {
					b.Fatal(err)
				}
			}
			commit(0, kept)
			size := valueSize(b, kv, claim.ShardKey(0))
			next := kept
			for b.Loop() {
				commit(next, 1)
				next++
			}
			b.ReportMetric(size/float64(kept), "value-B/claim")
		})
	}
}
