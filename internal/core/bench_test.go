package core_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/backend"
	"chicorytiller.example/chicorytiller/internal/bill"
	"chicorytiller.example/chicorytiller/internal/budget"
	"chicorytiller.example/chicorytiller/internal/config"
	"chicorytiller.example/chicorytiller/internal/contract"
	"chicorytiller.example/chicorytiller/internal/core"
	"chicorytiller.example/chicorytiller/internal/dedup"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/ledger"
	"chicorytiller.example/chicorytiller/internal/member"
	"chicorytiller.example/chicorytiller/internal/platform"
	"chicorytiller.example/chicorytiller/internal/platform/memkv"
	"chicorytiller.example/chicorytiller/internal/route"
)

// size is what the cost of a core's step may depend on.
type size struct {
	budgets int // held by the router
	engines int
	peers   int
}

func (s size) String() string {
	return fmt.Sprintf("budgets=%d/engines=%d/peers=%d", s.budgets, s.engines, s.peers)
}

const (
	modelsEach  = 100 // budgets of one client account, one for each model
	slopeTopUp  = id.Tokens(1) << 50
	slopeTokens = 100
)

// bench is one core whose calls are answered at once by fakes, so that what is
// measured is the core alone.
type bench struct {
	b       *testing.B
	size    size
	core    *core.Core
	now     time.Time
	shards  map[budget.ShardIndex]*budget.Shard
	values  map[string]platform.Value
	peers   map[string]*member.Heartbeat // by link address
	pending []core.Event
	answers []core.Action
	serial  int

	steps int
	calls map[string]int // by kind
}

func newBench(b *testing.B, s size) *bench {
	r := &bench{b: b, size: s, now: time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC), shards: map[budget.ShardIndex]*budget.Shard{},
		values: map[string]platform.Value{}, peers: map[string]*member.Heartbeat{}, calls: map[string]int{}}
	self := id.Router{VM: "entry-000", Incarnation: 1}
	policy := budget.DefaultPolicy()
	policy.MinGrant = 1 << 30
	policy.MaxGrant = 1 << 31
	r.core = core.New(core.Config{
		Self: self,
		Member: member.Config{Self: member.Info{Router: self, FailureDomain: "d0", LinkAddress: "self", CallerAddress: "10.0.0.1:8080", State: member.Draining},
			Period: 2 * time.Second, SuspectAfter: time.Minute},
		BudgetShards: 512, ClaimShards: 16, Budget: policy, Route: route.DefaultConfig(),
		KeyRetention: core.DefaultKeyRetention, MaxKeys: core.DefaultMaxKeys, KeptAnswersBytes: core.DefaultKeptAnswersBytes,
		BillRetention: core.DefaultBillRetention, MaxBills: core.DefaultMaxBills, SettleAfter: time.Minute, DoubtWait: time.Minute,
		MaxAttempts: 3, ParkLimit: core.DefaultParkLimit, Random: rand.New(rand.NewPCG(1, 1)),
	}, r.now)
	r.step(core.StateChanged{State: r.state()})
	for i := range s.peers {
		r.join(i + 1)
	}
	r.step(core.Tick{})
	r.now = r.now.Add(time.Second)
	r.step(core.Tick{})
	for i := range s.budgets {
		r.end(r.begin(i, ""))
	}
	r.now = r.now.Add(time.Millisecond)
	r.step(core.Tick{})
	r.steps = 0
	clear(r.calls)
	return r
}

// state has accounts of modelsEach budgets, and engines that all serve all models.
func (r *bench) state() *config.State {
	store := config.NewStore(memkv.New(nil), time.Now)
	put := func(kind config.Kind, name string, object any) {
		body, err := json.Marshal(object)
		if err != nil {
			r.b.Fatal(err)
		}
		change := config.Change{Kind: kind, Name: name, Body: body, Author: "bench", ChangeID: name}
		if _, err := store.Apply(context.Background(), change); err != nil {
			r.b.Fatal(err)
		}
	}
	var models []id.Model
	for i := range min(modelsEach, max(5, r.size.budgets)) {
		model := id.Model(fmt.Sprintf("m%d", i))
		models = append(models, model)
		put(config.KindModel, string(model), contract.Model{Name: model, BytesPerToken: 1, ContextTokens: 32_768})
	}
	for i := range r.size.engines {
		name := id.Backend(fmt.Sprintf("engine-%04d", i))
		put(config.KindBackend, string(name), contract.BackendServer{ID: name, VM: "x", Kind: contract.KindEngine,
			Address: "127.0.0.1:1", FailureDomain: "d0", Models: models})
	}
	for a := 0; a*modelsEach < r.size.budgets; a++ {
		account := contract.Contract{Account: accountAt(a), Keys: []contract.KeyHash{contract.HashKey(fmt.Sprint(a))},
			RequestsPerSecond: 1e6, Burst: 1e6, Concurrency: 1e6, Models: models, MaxTokens: 4096, DeadlineMS: 20_000}
		for _, m := range models {
			account.Budgets = append(account.Budgets, contract.Budget{ID: id.Budget(fmt.Sprintf("budget-%d-%s", a, m)), Models: []id.Model{m}})
		}
		put(config.KindContract, string(account.Account), account)
	}
	return store.State()
}

func accountAt(a int) id.ClientAccount { return id.ClientAccount(fmt.Sprintf("account-%d", a)) }

// join makes a peer known.
func (r *bench) join(i int) {
	address := fmt.Sprintf("10.0.%d.%d:8082", i/250, i%250)
	hb := &member.Heartbeat{Count: 1, Sender: member.Info{
		Router: id.Router{VM: id.VM(fmt.Sprintf("entry-%03d", i)), Incarnation: 1}, FailureDomain: id.FailureDomain(fmt.Sprintf("d%d", i%9)),
		CallerAddress: "10.0.0.2:8080", LinkAddress: address, State: member.Serving, Witness: id.Router{VM: "entry-001", Incarnation: 1},
	}}
	r.peers[address] = hb
	r.step(core.PeerCall{From: hb.Sender.Router, Msg: core.HeartbeatMsg{Heartbeat: *hb}})
}

// step steps the core and all that follows from it.
func (r *bench) step(ev core.Event) {
	r.pending = append(r.pending, ev)
	for len(r.pending) > 0 {
		next := r.pending[0]
		r.pending = r.pending[1:]
		r.steps++
		for _, action := range r.core.Step(r.now, next) {
			r.carryOut(action)
		}
	}
}

func (r *bench) carryOut(action core.Action) {
	switch a := action.(type) {
	case core.AdmitReply, core.FinishReply:
		r.answers = append(r.answers, a)
	case core.CallPeer:
		r.calls[fmt.Sprintf("%T", a.Msg)]++
		value, err := r.peer(a)
		r.reply(a.Call, value, err)
	case core.ReadKey:
		r.calls["ReadKey"]++
		r.reply(a.Call, r.values[a.Key], nil)
	case core.WriteKey:
		r.calls["WriteKey"]++
		value := platform.Value{Data: a.Data, Revision: a.Expect + 1}
		r.values[a.Key] = value
		r.reply(a.Call, value, nil)
	case core.Commit:
		r.calls["Commit"]++
		r.reply(a.Call, r.commit(a), nil)
	}
}

func (r *bench) reply(call core.CallID, value any, err error) {
	r.pending = append(r.pending, core.Reply{Call: call, Value: value, Err: err})
}

func (r *bench) peer(call core.CallPeer) (any, error) {
	switch msg := call.Msg.(type) {
	case core.HeartbeatMsg:
		if hb, found := r.peers[call.Address]; found {
			hb.Count++
			return core.HeartbeatReply{Heartbeat: *hb}, nil
		}
	case core.AdoptMsg:
		return core.AdoptReply{}, nil
	case core.PullKeysMsg:
		return core.PullKeysReply{}, nil
	case core.RegisterKeyMsg:
		return core.RegisterKeyReply{Warm: true}, nil
	case core.HoldBillsMsg:
		results := make([]bill.HoldResult, len(msg.Bills))
		for i := range results {
			results[i] = bill.Held
		}
		return core.HoldBillsReply{Results: results}, nil
	}
	return nil, errors.New("no answer")
}

func (r *bench) commit(a core.Commit) ledger.Result {
	shard, found := r.shards[a.Shard]
	if !found {
		shard = budget.NewShard()
		r.shards[a.Shard] = shard
	}
	result := ledger.Result{Errs: make([]error, len(a.Ops)), Records: map[id.Budget]*budget.Record{}}
	for i, op := range a.Ops {
		b := op.BudgetID()
		if shard.Budgets[b] == nil {
			_, _ = shard.Apply(budget.TopUp{Budget: b, Account: "a", ID: "t", Amount: slopeTopUp, At: r.now}, budget.DefaultPolicy())
		}
		_, result.Errs[i] = shard.Apply(op, budget.DefaultPolicy())
		result.Records[b] = shard.Budgets[b]
	}
	return result
}

// begin admits a request on the i-th budget.
func (r *bench) begin(i int, key string) core.Admission {
	r.answers = r.answers[:0]
	r.step(core.Admit{Ticket: 1, Req: core.AdmitRequest{
		Account: accountAt(i / modelsEach), Model: id.Model(fmt.Sprintf("m%d", i%modelsEach)), IdempotencyKey: key,
		PromptTokens: slopeTokens, MaxTokens: slopeTokens, Deadline: r.now.Add(time.Minute),
	}})
	if len(r.answers) != 1 {
		r.b.Fatalf("%d answers to an admit", len(r.answers))
	}
	reply := r.answers[0].(core.AdmitReply)
	if reply.Refusal != nil {
		r.b.Fatal(reply.Refusal)
	}
	return reply.Admission
}

// end finishes a request whose bill the witness holds.
func (r *bench) end(a core.Admission) {
	r.answers = r.answers[:0]
	r.step(core.Finish{Ticket: 2, Request: a.Request, Done: core.Completion{Attempt: a.Dispatch.Attempt, Backend: a.Dispatch.Backend.ID,
		Usage: backend.Usage{PromptTokens: slopeTokens, CompletionTokens: slopeTokens}, Answer: core.Answer{Status: 200, Content: "word"}}})
	if len(r.answers) != 1 || r.answers[0].(core.FinishReply).Refusal != nil {
		r.b.Fatal("the request did not finish")
	}
}

func (r *bench) nextKey() string {
	r.serial++
	return fmt.Sprintf("key-%08d", r.serial)
}

// BenchmarkTick is one tick, with nothing due, by what the router holds.
func BenchmarkTick(b *testing.B) {
	for _, s := range []size{
		{1, 3, 2}, {100, 3, 2}, {1000, 3, 2}, {5000, 3, 2}, {1, 3000, 2}, {1, 3, 30}, {1, 3, 100}, {1, 3, 439},
	} {
		b.Run(s.String(), func(b *testing.B) {
			r := newBench(b, s)
			b.ReportAllocs()
			for b.Loop() {
				r.step(core.Tick{})
			}
		})
	}
}

// BenchmarkTickHolding is one tick, with nothing due, by the requests that run and
// by the keys and bills that are kept.
func BenchmarkTickHolding(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("running=%d", n), func(b *testing.B) {
			r := newBench(b, size{1, 3, 2})
			before := liveHeap()
			for range n {
				r.begin(0, "")
			}
			each := float64(liveHeap()-before) / float64(n)
			for b.Loop() {
				r.step(core.Tick{})
			}
			b.ReportMetric(each, "heap-B/request")
		})
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			r := newBench(b, size{1, 3, 2})
			before := liveHeap()
			for range n {
				r.end(r.begin(0, r.nextKey()))
			}
			each := float64(liveHeap()-before) / float64(n)
			for b.Loop() {
				r.step(core.Tick{})
			}
			b.ReportMetric(each, "heap-B/key")
		})
	}
}

// BenchmarkRequest is one whole request: admitted, finished, billed, with all the
// steps that its calls' answers take.
func BenchmarkRequest(b *testing.B) {
	for _, s := range []size{
		{1, 20, 2}, {1, 300, 2}, {1, 3000, 2}, {1000, 20, 2}, {5000, 20, 2}, {1, 20, 30}, {1, 20, 439}, {1000, 3000, 439},
	} {
		for _, keyed := range []bool{false, true} {
			b.Run(fmt.Sprintf("%s/keyed=%v", s, keyed), func(b *testing.B) {
				r := newBench(b, s)
				b.ReportAllocs()
				for b.Loop() {
					key := ""
					if keyed {
						key = r.nextKey()
					}
					r.end(r.begin(0, key))
				}
				n := float64(b.N)
				b.ReportMetric(float64(r.steps)/n, "steps/op")
				b.ReportMetric(float64(r.calls["core.HoldBillsMsg"])/n, "hold-calls/op")
				b.ReportMetric(float64(r.calls["core.RegisterKeyMsg"])/n, "register-calls/op")
			})
		}
	}
}

// BenchmarkPullKeys is the answer of one router to another that has just started and
// asks for its keys, by the keys that the answering one is a home of.
func BenchmarkPullKeys(b *testing.B) {
	for _, keys := range []int{100, 1000} {
		b.Run(fmt.Sprintf("keys=%d/peers=439", keys), func(b *testing.B) {
			r := newBench(b, size{1, 3, 439})
			starting := id.Router{VM: "entry-001", Incarnation: 1}
			for i := range keys {
				key := dedup.Hash("account-0", fmt.Sprint(i))
				entry := dedup.Entry{Key: key, Request: id.Request("req-" + string(key)), Serving: starting, Serial: uint64(i), At: r.now}
				r.step(core.PeerCall{From: starting, Msg: core.RegisterKeyMsg{Entry: entry}})
			}
			for b.Loop() {
				r.step(core.PeerCall{From: starting, Msg: core.PullKeysMsg{}})
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(keys), "ns/key")
		})
	}
}

func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
