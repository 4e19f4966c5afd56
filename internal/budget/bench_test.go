package budget_test

import (
	"fmt"
	"testing"
	"time"

	"chicorytiller.example/chicorytiller/internal/budget"
	"chicorytiller.example/chicorytiller/internal/id"
)

const benchBudgets = 1000

// benchShard has 1,000 budgets with one top-up and the given holders each.
func benchShard(b *testing.B, holders int) *budget.Shard {
	shard := budget.NewShard()
	policy := budget.DefaultPolicy()
	for i := range benchBudgets {
		name := id.Budget(fmt.Sprintf("budget-%06d", i))
		ops := []budget.Op{budget.TopUp{
			Budget: name, Account: "account-0001", ID: "0f8fad5b-d9cb-469f-a165-70867728950e",
			Amount: 1_000_000_000, At: start,
		}}
		for h := range holders {
			ops = append(ops, budget.Draw{Budget: name, Holder: benchRouter(h), Seq: 1, Target: 1_000_000, At: start})
		}
		for _, op := range ops {
			if _, err := shard.Apply(op, policy); err != nil {
				b.Fatal(err)
			}
		}
	}
	return shard
}

func benchRouter(i int) id.Router {
	return id.Router{VM: id.VM(fmt.Sprintf("karlin-entry-%03d", i)), Incarnation: id.Incarnation(start.UnixNano())}
}

func BenchmarkShard(b *testing.B) {
	for _, holders := range []int{0, 1, 4, 16} {
		shard := benchShard(b, holders)
		data, err := shard.Encode()
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("encode/holders=%d", holders), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = shard.Encode()
			}
			b.ReportMetric(float64(len(data))/benchBudgets, "bytes/budget")
		})
		b.Run(fmt.Sprintf("decode/holders=%d", holders), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = budget.Decode(data)
			}
		})
		b.Run(fmt.Sprintf("apply/holders=%d", holders), func(b *testing.B) {
			policy := budget.DefaultPolicy()
			b.ReportAllocs()
			seq := uint64(0)
			for b.Loop() {
				seq++
				draw := budget.Draw{Budget: "budget-000007", Holder: benchRouter(99), Seq: seq, Target: 1_000_000, At: start}
				if _, err := shard.Apply(draw, policy); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// benchWallet holds tokens of as many budgets.
func benchWallet(budgets int) *budget.Wallet {
	w := budget.NewWallet(routerA, budget.DefaultPolicy())
	for i := range budgets {
		name := id.Budget(fmt.Sprintf("budget-%06d", i))
		_ = w.Reserve(start, name, "first", 1)
		w.Due(start)
		w.Landed(start, name, budget.Holder{Seq: 1, Granted: 1 << 50}, true, 1<<50, false)
		w.Release(start, "first")
	}
	return w
}

func BenchmarkReserveSettle(b *testing.B) {
	w := benchWallet(1)
	b.ReportAllocs()
	for b.Loop() {
		if err := w.Reserve(start, "budget-000000", "r", 400); err != nil {
			b.Fatal(err)
		}
		if _, err := w.Settle(start, "r", 300); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkDue is one tick with nothing due.
func BenchmarkDue(b *testing.B) {
	w := benchWallet(5000)
	now := start.Add(time.Millisecond)
	b.ReportAllocs()
	for b.Loop() {
		w.Due(now)
	}
}
