package settle_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"chicorytiller.example/chicorytiller/internal/bill"
	"chicorytiller.example/chicorytiller/internal/dedup"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/platform"
	"chicorytiller.example/chicorytiller/internal/settle"
)

// Request n is billed 4^n tokens, so that a digit of a sum in base 4 tells how
// often that request was counted.
const (
	modelVMs      = 3
	modelShards   = 2 // one budget a shard
	modelRequests = 30
	modelKeep     = 40 * time.Second
)

// process is one router incarnation of the model.
type process struct {
	vm         int
	self       id.Router
	book       *bill.Book
	witness    *bill.Witness
	begun      bool
	dead       bool
	fenced     bool
	adopted    id.Router // by which witness, at adoptedAt
	adoptedAt  uint64
	sealedHere map[id.Router]bool // by the test's own note
}

type world struct {
	t        *rapid.T
	now      time.Time
	live     []*process // by VM
	all      map[id.Router]*process
	values   map[string]platform.Value
	network  []func() // calls under way, delivered in order
	late     []func() // calls delayed, and copies: delivered at any time
	settlers []*settle.Settlement
	requests int
	serving  map[int]*process
	addedAt  map[int]time.Time
	ended    map[int]*process
	closed   map[id.Router]map[int]id.Tokens // by holder and shard
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: time.Unix(1_000_000, 0),
		all: map[id.Router]*process{}, values: map[string]platform.Value{},
		serving: map[int]*process{}, addedAt: map[int]time.Time{}, ended: map[int]*process{},
		closed: map[id.Router]map[int]id.Tokens{},
	}
	w.live = make([]*process, modelVMs)
	for vm := range modelVMs {
		w.restart(vm)
	}
	return w
}

func vmName(vm int) id.VM             { return id.VM(fmt.Sprintf("vm-%d", vm)) }
func requestID(n int) id.Request      { return id.Request(fmt.Sprintf("req-%d", n)) }
func budgetOf(n int) id.Budget        { return id.Budget(fmt.Sprintf("budget-%d", n%modelShards)) }
func tokensOf(n int) id.Tokens        { return 1 << (2 * n) }
func keyOf(n int) dedup.Key           { return dedup.Hash("account", fmt.Sprint(n)) }
func count(sum id.Tokens, n int) int  { return int(sum>>(2*n)) & 3 }
func keyed(n int) bool                { return n%3 != 0 }
func shardBudget(shard int) id.Budget { return budgetOf(shard) }

func (w *world) send(deliver func()) {
	w.network = append(w.network, deliver)
}

// at is the process that answers calls to a router: if it is gone, the VM's
// present process, which knows nothing of it.
func (w *world) at(r id.Router) *process {
	p, found := w.all[r]
	if found && p.dead {
		return w.live[p.vm]
	}
	return p
}

func (w *world) record(vm id.VM) (*settle.RouterRecord, platform.Revision) {
	value := w.values[settle.RecordKey(vm)]
	record, err := settle.Decode(vm, value.Data)
	if err != nil {
		w.t.Fatalf("decode: %v", err)
	}
	return record, value.Revision
}

// cas applies a write when it is delivered, which may be long after its sender
// has given it up, or twice.
func (w *world) cas(record *settle.RouterRecord, expect platform.Revision, reply func(ok bool, revision platform.Revision)) {
	data, err := record.Encode()
	if err != nil {
		w.t.Fatalf("encode: %v", err)
	}
	key := settle.RecordKey(record.VM)
	w.send(func() {
		value := w.values[key]
		ok := value.Revision == expect
		if ok {
			value = platform.Value{Key: key, Data: data, Revision: expect + 1}
			w.values[key] = value
		}
		w.send(func() { reply(ok, value.Revision) })
	})
}

func (w *world) pickVM() int { return rapid.IntRange(0, modelVMs-1).Draw(w.t, "vm") }

func (w *world) pickLive() *process { return w.live[w.pickVM()] }

// restart kills the VM's process, with its book and all it holds as a witness.
func (w *world) restart(vm int) {
	incarnation := id.Incarnation(1)
	if old := w.live[vm]; old != nil {
		old.dead = true
		incarnation = old.self.Incarnation + 1
	}
	self := id.Router{VM: vmName(vm), Incarnation: incarnation}
	p := &process{
		vm: vm, self: self, book: bill.NewBook(self, modelKeep, 100), witness: bill.NewWitness(modelKeep, 100),
		sealedHere: map[id.Router]bool{},
	}
	w.live[vm] = p
	w.all[self] = p
	if w.live[modelVMs-1] != nil && rapid.Bool().Draw(w.t, "begins at once") {
		w.startChange(p)
		w.deliver(len(w.network))
	}
}

// startChange gives up what change went on before and adopts a witness anew.
func (w *world) startChange(p *process) {
	to := w.pickLive()
	if p.fenced || to.self.VM == p.self.VM {
		return
	}
	epoch, sums, recent := p.book.BeginChange(w.now)
	w.send(func() {
		if to.dead || to.witness.Adopt(w.now, p.self, epoch, sums, recent) != nil {
			return
		}
		w.send(func() {
			p.adopted, p.adoptedAt = to.self, epoch
			w.nameWitness(p)
		})
	})
}

// nameWitness writes the record; it may be repeated when the answer is lost.
func (w *world) nameWitness(p *process) {
	epoch, witness := p.adoptedAt, p.adopted
	if p.dead || p.fenced || epoch == 0 || epoch != p.book.Epoch() {
		return
	}
	record, revision := w.record(p.self.VM)
	change := record.ChangeWitness
	if !p.begun {
		change = record.Begin
	}
	if err := change(p.self, witness, epoch); err != nil {
		p.fenced = errors.Is(err, settle.ErrRetiring) || errors.Is(err, settle.ErrSuperseded)
		return
	}
	w.cas(record, revision, func(ok bool, _ platform.Revision) {
		if ok && !p.dead {
			p.begun = true
			p.book.FinishChange(epoch)
		}
	})
}

func (w *world) sendBills(p *process) {
	pending := p.book.Pending()
	if len(pending) == 0 || p.dead || p.fenced {
		return
	}
	witness := p.adopted
	w.send(func() {
		to := w.at(witness)
		results := to.witness.Hold(w.now, p.self, pending)
		if to.sealedHere[p.self] && slices.Contains(results, bill.Held) {
			w.t.Fatalf("%s held a bill of %s after the seal", to.self, p.self)
		}
		w.send(func() { w.onHeld(p, pending, results) })
	})
}

func (w *world) onHeld(p *process, bills []bill.Bill, results []bill.HoldResult) {
	if p.dead || p.fenced {
		return
	}
	for i, result := range results {
		switch {
		case result.Accepted():
			for _, request := range p.book.Held(bills[i].Mark.Epoch, bills[i].Request) {
				w.end(p, request)
			}
		case result == bill.RefusedMoved:
			p.book.Withdraw(bills[i].Request)
		case result == bill.RefusedSealed:
			p.fenced = true
		}
	}
}

func (w *world) end(p *process, request id.Request) {
	for n := range w.requests {
		if requestID(n) == request {
			w.ended[n] = p
		}
	}
}

func (w *world) addBill(p *process, n int) {
	if _, found := w.addedAt[n]; !found {
		w.addedAt[n] = w.now
	}
	b := bill.Bill{Request: requestID(n), Budget: budgetOf(n), Tokens: tokensOf(n), At: w.now}
	if keyed(n) {
		b.Key = keyOf(n)
	}
	w.serving[n] = p
	p.book.Add(w.now, b)
}

// takeOver is a retry at another router, which may be billed only on a claim
// that is final.
func (w *world) takeOver(n int, to *process) {
	from := w.serving[n]
	record, _ := w.record(from.self.VM)
	tenure := record.Tenure(from.self.Incarnation)
	if from == to || tenure == nil || !to.begun {
		return
	}
	w.send(func() {
		witness := w.at(tenure.Witness)
		if w.now.Sub(w.addedAt[n]) >= modelKeep {
			return
		}
		claim := witness.witness.ClaimKey(w.now, from.self, keyOf(n))
		w.send(func() {
			if claim.Final && claim.Outcome == bill.ClaimMoved && w.serving[n] == from && !to.dead && !to.fenced {
				w.addBill(to, n)
			}
		})
	})
}

func (w *world) step(s *settle.Settlement, event settle.Event) {
	for _, action := range s.Step(w.now, event) {
		w.act(s, action)
	}
}

func (w *world) act(s *settle.Settlement, action settle.Action) {
	answer := func(event settle.Event) {
		w.send(func() { w.step(s, event) })
	}
	switch a := action.(type) {
	case settle.ReadRecord:
		w.send(func() {
			record, revision := w.record(s.Target().VM)
			answer(settle.RecordRead{Op: a.Op, Record: record, Revision: revision})
		})
	case settle.CASRecord:
		w.cas(a.Record, a.Expect, func(ok bool, revision platform.Revision) {
			if ok {
				w.step(s, settle.RecordWritten{Op: a.Op, Revision: revision})
				return
			}
			w.step(s, settle.Conflict{Op: a.Op})
		})
	case settle.SealAt:
		w.send(func() {
			to := w.at(a.Witness)
			if to.self != a.Witness && rapid.Bool().Draw(w.t, "incarnation checked") {
				answer(settle.SealFailed{Op: a.Op, Gone: true})
				return
			}
			sums, known := to.witness.Seal(a.Target, a.Epoch)
			to.sealedHere[a.Target] = true
			answer(settle.Sealed{Op: a.Op, Sums: sums, Known: known})
		})
	case settle.RetireInShard:
		w.send(func() {
			w.close(a.Holder, a.Shard, a.Sums[shardBudget(a.Shard)])
			answer(settle.ShardRetired{Op: a.Op, Shard: a.Shard})
		})
	case settle.Done:
		if to, found := w.all[a.Witness]; found {
			to.witness.Settled(w.now, a.Target)
		}
	}
}

func (w *world) close(holder id.Router, shard int, spent id.Tokens) {
	if w.closed[holder] == nil {
		w.closed[holder] = map[int]id.Tokens{}
	}
	before, found := w.closed[holder][shard]
	if found && before != spent {
		w.t.Fatalf("%s closed twice in shard %d: %x and %x", holder, shard, before, spent)
	}
	w.closed[holder][shard] = spent
}

// counted is what the customers pay in the end for request n: by the closed
// grants of settled routers and by the books of the others.
func (w *world) counted(p *process, n int) int {
	shard := n % modelShards
	if spent, settled := w.closed[p.self][shard]; settled {
		return count(spent, n)
	}
	return count(p.book.Sums()[budgetOf(n)], n)
}

func (w *world) check() {
	for n := range w.requests {
		total := 0
		for _, p := range w.all {
			total += w.counted(p, n)
		}
		if total > 1 {
			w.t.Fatalf("request %d is billed %d times", n, total)
		}
		if p := w.ended[n]; p != nil && w.counted(p, n) != 1 {
			w.t.Fatalf("request %d was answered by %s and is not billed", n, p.self)
		}
	}
	for _, p := range w.all {
		if err := p.witness.Check(); err != nil {
			w.t.Fatalf("%s: %v", p.self, err)
		}
	}
}

func (w *world) deliver(calls int) {
	for ; calls > 0 && len(w.network) > 0; calls-- {
		call := w.network[0]
		w.network = w.network[1:]
		call()
	}
}

// What callers and customers see: each answer whose end was sent is paid for
// once, whatever happens. Routers bill through witnesses, change them, crash and
// restart; calls are lost, doubled and come late in any order, so that each
// router is also a paused one that wakes; two settlers may settle any router at
// any time, dead or not. The ledger reads the count of each request out of sums.
func TestBillsCountOnceAcrossSettlement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(w.actions())
	})
}

func (w *world) actions() map[string]func(*rapid.T) {
	deliver := func(*rapid.T) { w.deliver(rapid.IntRange(1, 12).Draw(w.t, "calls")) }
	return map[string]func(*rapid.T){
		"":         func(t *rapid.T) { w.t = t; w.check() },
		"deliver1": deliver, "deliver2": deliver, "deliver3": deliver, "deliver4": deliver,
		"deliver late": func(*rapid.T) {
			if len(w.late) > 0 {
				i := rapid.IntRange(0, len(w.late)-1).Draw(w.t, "late")
				call := w.late[i]
				w.late = slices.Delete(w.late, i, i+1)
				call()
			}
		},
		"duplicate": func(*rapid.T) {
			if len(w.network) > 0 {
				w.late = append(w.late, w.network[0])
			}
		},
		"delay or lose": func(*rapid.T) {
			if len(w.network) > 0 {
				w.late = append(w.late, w.network[0])
				w.network = w.network[1:]
			}
		},
		"bill": func(*rapid.T) {
			if p := w.pickLive(); p.begun && !p.fenced && w.requests < modelRequests {
				w.requests++
				w.addBill(p, w.requests-1)
			}
		},
		"send":       func(*rapid.T) { w.sendBills(w.pickLive()) },
		"change":     func(*rapid.T) { w.startChange(w.pickLive()) },
		"name again": func(*rapid.T) { w.nameWitness(w.pickLive()) },
		"take over": func(*rapid.T) {
			if n := rapid.IntRange(0, modelRequests).Draw(w.t, "request"); n < w.requests && keyed(n) {
				w.takeOver(n, w.pickLive())
			}
		},
		"restart": func(*rapid.T) {
			vm := w.pickVM()
			if w.live[vm].fenced || rapid.IntRange(0, 9).Draw(w.t, "crash") == 0 {
				w.restart(vm)
			}
		},
		"settle": func(*rapid.T) {
			vm := w.pickVM()
			oldest := w.live[vm].self.Incarnation - 1
			incarnation := id.Incarnation(rapid.Uint64Range(max(1, uint64(oldest)), uint64(oldest)+1).Draw(w.t, "incarnation"))
			s := settle.New(id.Router{VM: vmName(vm), Incarnation: incarnation}, w.now, modelShards)
			w.settlers = append(w.settlers, s)
			w.step(s, settle.Tick{})
		},
		"tick": func(*rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(w.t, "seconds")) * time.Second)
			for _, s := range w.settlers {
				w.step(s, settle.Tick{})
			}
			for _, p := range w.all {
				p.witness.Forget(w.now)
			}
		},
	}
}
