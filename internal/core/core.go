package core

import (
	"log/slog"
	"time"

	"chicorytiller.example/chicorytiller/internal/bill"
	"chicorytiller.example/chicorytiller/internal/budget"
	"chicorytiller.example/chicorytiller/internal/config"
	"chicorytiller.example/chicorytiller/internal/contract"
	"chicorytiller.example/chicorytiller/internal/dedup"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/ledger"
	"chicorytiller.example/chicorytiller/internal/limit"
	"chicorytiller.example/chicorytiller/internal/member"
	"chicorytiller.example/chicorytiller/internal/route"
)

// Core is the state machine of one router. It isn't safe for concurrent use:
// one control goroutine steps it.
type Core struct {
	config Config
	self   id.Router
	state  *config.State
	// models and services are the state's, as snapshots give them.
	models   map[id.Model]contract.Model
	services map[id.Service]contract.Service

	view     *member.View
	viewAt   time.Time // of the next round of heartbeats
	wallet   *budget.Wallet
	book     *bill.Book
	witness  *bill.Witness
	archive  *bill.Archive
	table    *dedup.Table[Answer]
	home     *dedup.Directory
	chooser  *route.Chooser
	limits   *limit.Limits
	ghosts   map[id.VM]ghost
	pulled   bool // the directory holds what the others knew at the start
	pullAt   time.Time
	pullWait time.Duration
	// firstborn: no router ran on this VM before.
	firstborn bool

	requests    map[id.Request]*request
	parked      map[id.Budget][]*request
	parkedCount int
	keyWaiters  map[dedup.Key][]waiter
	repeats     map[dedup.Key]repeat
	money       money
	claims      claims
	tenure      tenure
	settling    settling
	stage       stage

	now      time.Time
	out      []Action
	calls    map[CallID]func(value any, err error)
	lastCall CallID
	serial   uint64
	// admissions numbers the keyed admissions of this router.
	admissions uint64
	leaving    map[id.VM]bool // VMs that the platform says are leaving
	listed     map[id.VM]bool // VMs that the platform lists
	pauses     int            // noticed so far
	stale      bool           // the snapshot must be published again
}

// stage is how far a router is between its start and its planned stop.
type stage int

const (
	stageServing  stage = iota
	stageLeaving        // out of the entry answers, still serves who comes
	stageRefusing       // admits nothing new
	stageFenced         // sealed by others: nothing may be spent or ended any more
)

// New makes the core of a router that has no configuration yet.
func New(cfg Config, now time.Time) *Core {
	c := &Core{
		config:     cfg,
		self:       cfg.Self,
		state:      config.Empty(),
		wallet:     budget.NewWallet(cfg.Self, cfg.Budget),
		book:       bill.NewBook(cfg.Self, cfg.BillRetention, cfg.MaxBills),
		witness:    bill.NewWitness(cfg.BillRetention, cfg.MaxBills),
		archive:    bill.NewArchive(cfg.BillRetention, cfg.MaxBills),
		table:      dedup.NewTable[Answer](cfg.KeyRetention, cfg.KeptAnswersBytes),
		home:       dedup.NewDirectory(now, cfg.KeyRetention, cfg.MaxKeys),
		chooser:    route.NewChooser(cfg.Route, cfg.Member.Self.FailureDomain),
		limits:     limit.New(),
		ghosts:     make(map[id.VM]ghost),
		requests:   make(map[id.Request]*request),
		parked:     make(map[id.Budget][]*request),
		keyWaiters: make(map[dedup.Key][]waiter),
		repeats:    make(map[dedup.Key]repeat),
		calls:      make(map[CallID]func(any, error)),
		now:        now,
		stale:      true,
	}
	c.view = member.New(cfg.Member, now, cfg.Random)
	c.money = newMoney()
	c.claims = newClaims()
	c.settling = newSettling()
	return c
}

// Step takes in one event and returns what is to be done about it, in order.
func (c *Core) Step(now time.Time, ev Event) []Action {
	c.notePause(now)
	c.now = now
	c.out = nil
	c.handle(ev)
	c.pumpMoney()
	c.pumpClaims()
	c.pumpBills()
	if c.stale {
		c.stale = false
		c.do(Publish{Snapshot: c.snapshot()})
	}
	return c.out
}

// pauseGap is longer than any time between two steps of a process that runs: ticks
// come far more often.
const pauseGap = 500 * time.Millisecond

// notePause counts the times that this process did not run for long. What it had
// found out before may have ceased to be true meanwhile.
func (c *Core) notePause(now time.Time) {
	if now.Sub(c.now) > pauseGap {
		c.pauses++
	}
}

func (c *Core) handle(ev Event) {
	switch ev := ev.(type) {
	case Admit:
		c.admit(ev)
	case Redispatch:
		c.redispatch(ev)
	case Finish:
		c.finish(ev)
	case Abandon:
		c.abandon(ev)
	case PeerCall:
		c.peerCall(ev)
	case Reply:
		c.reply(ev)
	case Tick:
		c.tick()
	case StateChanged:
		c.stateChanged(ev.State)
	case VMsListed:
		c.vmsListed(ev.VMs)
	case LoadReported:
		c.loadReported(ev)
	case DrainRequested:
		c.startDrain()
	case StopAdmitting:
		c.stopAdmitting()
	case GrantsReturnRequested:
		c.wallet.ReturnAll(c.now)
	case LeaveRequested:
		c.leave()
	}
}

func (c *Core) tick() {
	c.tickView()
	c.tickTenure()
	c.tickSettling()
	c.tickRequests()
	c.table.Expire(c.now)
	c.home.Expire(c.now)
	c.expireGhosts()
	c.witness.Forget(c.now)
	c.archive.Forget(c.now)
	c.forgetUnrun()
}

// do appends an action.
func (c *Core) do(a Action) {
	c.out = append(c.out, a)
}

// emit appends a numbered event.
func (c *Core) emit(n event.Number, attrs ...slog.Attr) {
	c.do(Emit{Number: n, Attrs: attrs})
}

// newCall keeps what is to be done with the Reply of a call.
func (c *Core) newCall(then func(value any, err error)) CallID {
	c.lastCall++
	c.calls[c.lastCall] = then
	return c.lastCall
}

func (c *Core) reply(ev Reply) {
	then, found := c.calls[ev.Call]
	if !found {
		return
	}
	delete(c.calls, ev.Call)
	then(ev.Value, ev.Err)
}

// callPeer sends msg to a peer; then gets its typed reply.
func callPeer[T any](c *Core, to member.Peer, msg any, then func(reply T, err error)) {
	call := c.newCall(func(value any, err error) {
		reply, _ := value.(T)
		then(reply, err)
	})
	c.do(CallPeer{Call: call, Address: to.LinkAddress, To: to.Router, Msg: msg})
}

// commit applies operations on budgets of one shard.
func (c *Core) commit(shard budget.ShardIndex, ops []budget.Op, then func(ledger.Result, error)) {
	call := c.newCall(func(value any, err error) {
		result, _ := value.(ledger.Result)
		then(result, err)
	})
	c.do(Commit{Call: call, Shard: shard, Ops: ops})
}

// broken reports an invariant that does not hold. The caller then takes the safe way.
func (c *Core) broken(what string, attrs ...slog.Attr) {
	c.emit(event.InvariantBroken, append(attrs, slog.String("invariant", what))...)
}
