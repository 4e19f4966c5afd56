package core_test

import (
	"container/heap"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"chicorytiller.example/chicorytiller/internal/budget"
	"chicorytiller.example/chicorytiller/internal/config"
	"chicorytiller.example/chicorytiller/internal/contract"
	"chicorytiller.example/chicorytiller/internal/core"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/member"
	"chicorytiller.example/chicorytiller/internal/platform"
	"chicorytiller.example/chicorytiller/internal/platform/memkv"
	"chicorytiller.example/chicorytiller/internal/route"
)

// world is several cores behind small fakes in virtual time: links, the platform's
// service, engines and callers. All chance comes from one seed.
type world struct {
	t     *rapid.T
	rng   *rand.Rand
	now   time.Time
	queue schedule
	seq   int
	steps int

	kv     *memkv.Store
	kvDown bool
	vms    []*vm
	cut    map[[2]int]bool
	state  *config.State
	policy budget.Policy
	lossy  bool // messages and answers of writes get lost
	oracle *oracle
}

// vm is one entry VM and the router process on it, if any.
type vm struct {
	w       *world
	index   int
	core    *core.Core
	gen     int // of the process; 0: none runs
	lastGen int
	started time.Time
	paused  bool
	held    []func()
	kvCut   bool
	io      *ports
	tickets map[core.Ticket]func(core.Action)
	ticket  core.Ticket
}

const (
	shardsInTest = 2
	tickInTest   = 50 * time.Millisecond
)

var startOfTest = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

func newWorld(t *rapid.T, seed uint64, routers int) *world {
	return newWorldWith(t, seed, routers, policyInTest())
}

func newWorldWith(t *rapid.T, seed uint64, routers int, policy budget.Policy) *world {
	w := &world{t: t, policy: policy, rng: rand.New(rand.NewPCG(seed, 1)), now: startOfTest, cut: map[[2]int]bool{}}
	w.kv = memkv.New(func() time.Time { return w.now })
	w.oracle = newOracle(w)
	w.state = stateForTest(w)
	for i := range routers {
		v := &vm{w: w, index: i}
		w.vms = append(w.vms, v)
		v.start()
	}
	return w
}

// stateForTest is a configuration with two models' engines, one plain service and
// two client accounts.
func stateForTest(w *world) *config.State {
	store := config.NewStore(w.kv, func() time.Time { return w.now })
	put := func(kind config.Kind, name string, object any) {
		body, err := json.Marshal(object)
		must(w.t, err)
		_, err = store.Apply(context.Background(), config.Change{Kind: kind, Name: name, Body: body, Author: "test", ChangeID: name})
		must(w.t, err)
	}
	put(config.KindModel, "m", contract.Model{Name: "m", BytesPerToken: 1, ContextTokens: 1000})
	put(config.KindService, "s", contract.Service{Name: "s", NonIdempotent: []string{"POST /"}, PricePerCall: 7, TimeoutMS: 1000})
	for i := range 3 {
		put(config.KindBackend, fmt.Sprintf("e%d", i), contract.BackendServer{ID: id.Backend(fmt.Sprintf("e%d", i)), VM: "x",
			Kind: contract.KindEngine, Address: "127.0.0.1:1", FailureDomain: "d", Models: []id.Model{"m"}})
	}
	put(config.KindBackend, "p0", contract.BackendServer{ID: "p0", VM: "x", Kind: contract.KindService, Address: "127.0.0.1:1", FailureDomain: "d", Service: "s"})
	for _, a := range accountsInTest {
		put(config.KindContract, string(a), contract.Contract{Account: a, Keys: []contract.KeyHash{contract.HashKey(string(a))},
			Budgets: []contract.Budget{{ID: budgetOf(a)}}, RequestsPerSecond: 10_000, Burst: 10_000, Concurrency: 10_000,
			Models: []id.Model{"m"}, Services: []id.Service{"s"}, MaxTokens: 500, DeadlineMS: 20_000})
	}
	put(config.KindContract, string(tightAccount), contract.Contract{Account: tightAccount, Keys: []contract.KeyHash{contract.HashKey("tight")},
		Budgets: []contract.Budget{{ID: budgetOf(tightAccount)}}, RequestsPerSecond: 1, Burst: 1, Concurrency: 100,
		Models: []id.Model{"m"}, MaxTokens: 500, DeadlineMS: 20_000})
	return store.State()
}

// tightAccount may send one request a second. Random callers don't use it.
const tightAccount id.ClientAccount = "tight"

var accountsInTest = []id.ClientAccount{"large", "small"}

func budgetOf(a id.ClientAccount) id.Budget { return id.Budget(a) + "-b" }

// policyInTest keeps grants small against the budgets, so that every path of the
// wallet is taken within seconds.
func policyInTest() budget.Policy {
	p := budget.DefaultPolicy()
	p.MinGrant, p.MinShare, p.MaxGrant = 300, 100, 5000
	p.Checkpoint, p.IdleReturn, p.Horizon = 2*time.Second, 3*time.Second, 2*time.Second
	return p
}

func (v *vm) name() id.VM { return id.VM(fmt.Sprintf("vm%d", v.index)) }

func (v *vm) address() string { return fmt.Sprintf("10.0.0.%d:1", v.index) }

// start runs a new router process on the VM.
func (v *vm) start() {
	v.lastGen++
	v.gen = v.lastGen
	v.started = v.w.now
	v.paused = false
	v.held = nil
	v.tickets = map[core.Ticket]func(core.Action){}
	v.io = newPorts(v)
	var seeds []string
	for _, other := range v.w.vms {
		seeds = append(seeds, other.address())
	}
	v.core = core.New(core.Config{
		Self: v.self(),
		Member: member.Config{
			Self: member.Info{Router: v.self(), FailureDomain: id.FailureDomain(fmt.Sprintf("d%d", v.index%3)),
				LinkAddress: v.address(), CallerAddress: v.address(), State: member.Draining},
			Period: 200 * time.Millisecond, SuspectAfter: time.Second, Seeds: seeds,
		},
		BudgetShards: shardsInTest, ClaimShards: 1, Budget: v.w.policy, Route: route.DefaultConfig(),
		KeyRetention: 10 * time.Minute, MaxKeys: 10_000, KeptAnswersBytes: 2000,
		BillRetention: 30 * time.Minute, MaxBills: 10_000, SettleAfter: 2 * time.Second, DoubtWait: time.Hour,
		MaxAttempts: 3, ParkLimit: 100, Random: v.w.rng,
	}, v.w.now)
	v.step(core.StateChanged{State: v.w.state})
	v.tickLater(v.gen)
}

func (v *vm) self() id.Router {
	return id.Router{VM: v.name(), Incarnation: id.Incarnation(v.gen)}
}

func (v *vm) tickLater(gen int) {
	v.w.after(tickInTest, func() {
		if v.gen == gen {
			v.run(gen, func() { v.step(core.Tick{}) })
			v.tickLater(gen)
		}
	})
}

// kill ends the process without a word.
func (v *vm) kill() { v.gen = 0 }

func (v *vm) pause() { v.paused = v.gen != 0 }

// wake lets a paused process go on with all that arrived meanwhile.
func (v *vm) wake() {
	held := v.held
	v.paused, v.held = false, nil
	for _, f := range held {
		f()
	}
}

// run does f in the process of the given generation, now or when it wakes.
func (v *vm) run(gen int, f func()) {
	switch {
	case v.gen != gen:
	case v.paused:
		v.held = append(v.held, func() {
			if v.gen == gen {
				f()
			}
		})
	default:
		f()
	}
}

func (v *vm) step(ev core.Event) {
	v.w.steps++
	gen := v.gen
	for _, action := range v.core.Step(v.w.now, ev) {
		v.carryOut(gen, action)
	}
}

// ask steps an event that carries a ticket; then gets the answering action.
func (v *vm) ask(event func(core.Ticket) core.Event, then func(core.Action)) {
	v.ticket++
	v.tickets[v.ticket] = then
	v.step(event(v.ticket))
}

func (v *vm) answer(t core.Ticket, a core.Action) {
	if then, found := v.tickets[t]; found {
		delete(v.tickets, t)
		then(a)
	}
}

func (v *vm) carryOut(gen int, action core.Action) {
	switch a := action.(type) {
	case core.AdmitReply:
		v.answer(a.Ticket, a)
	case core.DispatchReply:
		v.answer(a.Ticket, a)
	case core.FinishReply:
		v.answer(a.Ticket, a)
	case core.PeerReply:
		v.answer(a.Ticket, a)
	case core.CallPeer:
		v.w.callPeer(v, gen, a)
	case core.Emit:
		v.w.oracle.event(v, a)
	case core.Fence:
		v.w.after(0, func() {
			if v.gen == gen {
				v.start()
			}
		})
	default:
		v.io.do(gen, action)
	}
}

func (v *vm) reply(gen int, call core.CallID, value any, err error) {
	v.run(gen, func() { v.step(core.Reply{Call: call, Value: value, Err: err}) })
}

var errLost = errors.New("test: no answer")

// callPeer carries a message and its answer over the link, or loses either.
func (w *world) callPeer(from *vm, gen int, a core.CallPeer) {
	open := true
	finish := func(value any, err error) {
		if open {
			open = false
			from.reply(gen, a.Call, value, err)
		}
	}
	w.after(time.Second, func() { finish(nil, errLost) })
	to := w.at(a.Address)
	if to == nil || w.loses(from, to) {
		return
	}
	sender := from.self()
	deliver := func() {
		target := to.gen
		if target == 0 {
			return
		}
		to.run(target, func() {
			to.ask(func(t core.Ticket) core.Event { return core.PeerCall{Ticket: t, From: sender, To: a.To, Msg: a.Msg} }, func(action core.Action) {
				reply := action.(core.PeerReply)
				w.oracle.peerReply(to, sender, a.Msg, reply)
				if !w.loses(to, from) {
					w.after(w.delay(), func() { finish(reply.Msg, reply.Err) })
				}
			})
		})
	}
	w.after(w.delay(), deliver)
	if w.lossy && w.rng.IntN(50) == 0 {
		w.after(w.delay()*20, deliver) // the network delivers it twice, late
	}
}

func (w *world) at(address string) *vm {
	for _, v := range w.vms {
		if v.address() == address && v.gen != 0 {
			return v
		}
	}
	return nil
}

func (w *world) loses(from, to *vm) bool {
	return w.cut[[2]int{from.index, to.index}] || w.lossy && w.rng.IntN(40) == 0
}

func (w *world) delay() time.Duration {
	d := time.Duration(w.rng.IntN(3000)) * time.Microsecond
	if w.lossy && w.rng.IntN(20) == 0 {
		d += time.Duration(w.rng.IntN(400)) * time.Millisecond
	}
	return d
}

func (w *world) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, timed{at: w.now.Add(d), seq: w.seq, f: f})
}

// pass lets virtual time go on.
func (w *world) pass(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := heap.Pop(&w.queue).(timed)
		w.now = next.at
		next.f()
	}
	w.now = end
}

type timed struct {
	at  time.Time
	seq int
	f   func()
}

type schedule []timed

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	return s[i].at.Before(s[j].at) || s[i].at.Equal(s[j].at) && s[i].seq < s[j].seq
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(timed)) }
func (s *schedule) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

func must(t *rapid.T, err error) {
	if err != nil {
		t.Fatalf("%v", err)
	}
}

var _ platform.KV = (*faultyKV)(nil)
