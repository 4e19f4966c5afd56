package core

import (
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/budget"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/member"
	"chicorytiller.example/chicorytiller/internal/platform"
	"chicorytiller.example/chicorytiller/internal/settle"
)

// Pacing of settlements.
const (
	settleTick      = 100 * time.Millisecond
	settleOthersDue = 3 // times SettleAfter, when the router chosen to settle doesn't
	settleAgain     = time.Minute
	confirmAgain    = time.Second
	sweepAfter      = 30 * time.Second // longer than a draw may be under way
)

// settling is the settlements of dead routers that this router does.
type settling struct {
	running map[id.Router]*settle.Settlement
	done    map[id.Router]time.Time // ended here; not to be begun again before then
	lost    map[id.Router]time.Time // since when they are suspected or gone
	ended   map[id.Router]time.Time // since when they can bill no more: settled, left, or in doubt for good
	sweepAt map[id.Router]time.Time // settled here; to be swept once more then
	tickAt  time.Time
}

func newSettling() settling {
	return settling{
		running: make(map[id.Router]*settle.Settlement),
		done:    make(map[id.Router]time.Time),
		lost:    make(map[id.Router]time.Time),
		ended:   make(map[id.Router]time.Time),
		sweepAt: make(map[id.Router]time.Time),
	}
}

// tickSettling starts the settlement of routers not heard of for long. A router
// that is alive after all finds itself sealed and starts anew, so that a wrong
// suspicion costs requests in flight, but never money.
func (c *Core) tickSettling() {
	if c.now.Before(c.settling.tickAt) || !c.tenure.active() || c.stage == stageFenced {
		return
	}
	c.settling.tickAt = c.after(settleTick)
	for _, target := range sortedRouters(c.settling.lost) {
		if c.settles(target, c.now.Sub(c.settling.lost[target])) {
			c.confirmLost(target)
		}
	}
	c.sweepLateDraws()
	c.forgetLost()
	c.pull()
	for _, target := range sortedRouters(c.settling.running) {
		if s, running := c.settling.running[target]; running {
			c.settleActions(target, s.Step(c.now, settle.Tick{}))
		}
	}
}

// sweepLateDraws retires a settled router a second time.
//
// Failure: the router was paused when it was settled, and its first draw on some
// other budget lands afterwards: there it had no holder, so that no tombstone keeps
// it out, and its grant is lost to the client account. It can't have billed that
// budget, since it was sealed before, so its holder is retired with nothing spent.
func (c *Core) sweepLateDraws() {
	for _, target := range sortedRouters(c.settling.sweepAt) {
		if c.now.Before(c.settling.sweepAt[target]) {
			continue
		}
		delete(c.settling.sweepAt, target)
		c.retireEverywhere(target, func(failed bool) {
			if failed {
				c.settling.sweepAt[target] = c.after(sweepAfter)
			}
		})
	}
}

// retireEverywhere retires a router in all shards where it has nothing billed that
// is not closed yet.
func (c *Core) retireEverywhere(target id.Router, then func(failed bool)) {
	open := c.config.BudgetShards
	failed := false
	for shard := range c.config.BudgetShards {
		call := c.newCall(func(_ any, err error) {
			open--
			failed = failed || err != nil
			if open == 0 {
				then(failed)
			}
		})
		c.do(RetireHolder{Call: call, Shard: budget.ShardIndex(shard), Holder: target})
	}
}

// noteLost keeps since when a router is suspected or gone.
func (c *Core) noteLost(change member.Change) {
	target := change.Peer.Router
	switch change.Kind {
	case member.Suspected, member.Left:
		if _, known := c.settling.lost[target]; !known {
			c.settling.lost[target] = c.now
		}
	case member.Recovered, member.Joined:
		delete(c.settling.lost, target)
	}
	if change.Kind == member.Left {
		c.noteGhost(change.Peer)
	}
}

// unsettled tells whether some router was lost of late that may still bill: not
// settled, and not in doubt for good. One that has been silent for longer than the
// setting DoubtWait is taken to be behind a partition, with callers of its own.
func (c *Core) unsettled() bool {
	for target, since := range c.settling.lost {
		if !c.hasEnded(target) && c.now.Sub(since) < c.config.DoubtWait {
			return true
		}
	}
	for vm, g := range c.ghosts {
		_, known := c.view.Peer(vm)
		if !known && g.Peer.Router.Incarnation == 0 && c.now.Sub(g.At) < c.config.DoubtWait {
			return true // on the roster, and never heard of since this router started
		}
	}
	return false
}

// lostBeside tells whether any router but those of one VM was lost within the
// retention of keys.
func (c *Core) lostBeside(vm id.VM) bool {
	for target := range c.settling.lost {
		if target.VM != vm {
			return true
		}
	}
	for ghost := range c.ghosts {
		if _, alive := c.view.Peer(ghost); !alive && ghost != vm {
			return true
		}
	}
	return false
}

// forgetLost drops what became of routers that were lost longer than the retention
// of keys ago: no retry asks for them any more.
func (c *Core) forgetLost() {
	for target, since := range c.settling.ended {
		if c.now.Sub(since) >= c.config.KeyRetention {
			delete(c.settling.lost, target)
			delete(c.settling.ended, target)
		}
	}
	for target, until := range c.settling.done {
		if c.now.After(until) {
			delete(c.settling.done, target)
		}
	}
}

// hasEnded tells whether a router can bill no more.
func (c *Core) hasEnded(target id.Router) bool {
	_, ended := c.settling.ended[target]
	return ended
}

// restored notes that a VM's new router has taken in the keys that its earlier ones
// were homes of: their loss leaves no gap any more.
func (c *Core) restored(by id.Router) {
	for target := range c.settling.lost {
		if target.VM == by.VM && target.Incarnation < by.Incarnation && c.hasEnded(target) {
			delete(c.settling.lost, target)
		}
	}
	delete(c.ghosts, by.VM)
}

// settledNow notes that a lost router can bill no more.
func (c *Core) settledNow(target id.Router) {
	if _, known := c.settling.ended[target]; !known {
		c.settling.ended[target] = c.now
	}
}

// tellSettled tells the others that a router can bill no more. Who doesn't hear it
// finds out from the durable record.
func (c *Core) tellSettled(target id.Router) {
	for _, p := range c.view.Alive() {
		callPeer(c, p, SettledMsg{Router: target}, func(SettledReply, error) {})
	}
}

// settles tells whether it is on this router to settle another: the one chosen by
// rendezvous hashing does it, and any other when that one doesn't for long. Two
// that settle the same router do no harm, the record's CAS decides each step.
func (c *Core) settles(target id.Router, lostFor time.Duration) bool {
	if lostFor < c.config.SettleAfter || c.hasEnded(target) || c.now.Before(c.settling.done[target]) {
		return false
	}
	if lostFor > settleOthersDue*c.config.SettleAfter {
		return true
	}
	chosen := c.view.Rendezvous(xxhash.Sum64String(target.String()), 1, nil)
	return len(chosen) == 1 && chosen[0].Router == c.self
}

// confirmLost starts the settlement of a silent router once its witness confirms
// that it is silent there, too.
//
// Failure: the links between two halves of the fleet are cut, each half settles the
// other's living routers, and when the links are mended all of them find themselves
// sealed and drop their requests. A living router that has lost its witness takes
// another within a second or two; so a router whose present witness can be asked,
// and has not heard of it either, can bill nothing and loses little by being sealed.
func (c *Core) confirmLost(target id.Router) {
	c.settling.done[target] = c.after(confirmAgain)
	c.readRecord(target.VM, func(record *settle.RouterRecord, _ platform.Revision, err error) {
		if err != nil {
			return
		}
		t := record.Tenure(target.Incarnation)
		switch {
		case t == nil || t.State != settle.StateActive:
			c.startSettling(target)
		case t.Witness == c.self:
			if _, lost := c.settling.lost[target]; lost {
				c.startSettling(target)
			}
		default:
			c.askWitness(target, t.Witness)
		}
	})
}

func (c *Core) askWitness(target, witness id.Router) {
	peer, known := c.view.Peer(witness.VM)
	if !known {
		return
	}
	if peer.Router.Incarnation > witness.Incarnation {
		// The witness has lost its memory; the settlement will find that out.
		c.startSettling(target)
		return
	}
	callPeer(c, peer, SilentMsg{Router: target}, func(reply SilentReply, err error) {
		if err == nil && reply.Silent {
			c.startSettling(target)
		}
	})
}

// silent tells whether this router has not heard of another for long enough to
// suspect it.
func (c *Core) silent(target id.Router) bool {
	_, alive := c.alivePeer(target)
	return !alive
}

// settleOwnPast settles earlier incarnations of this VM: this process holds the
// VM's addresses, so it knows of them before anyone else.
func (c *Core) settleOwnPast() {
	c.readRecord(c.self.VM, func(record *settle.RouterRecord, _ platform.Revision, err error) {
		if err != nil {
			return
		}
		for _, t := range record.Tenures {
			past := id.Router{VM: c.self.VM, Incarnation: t.Incarnation}
			switch {
			case past == c.self:
			case t.State == settle.StateRetired:
				c.settling.sweepAt[past] = c.now
			default:
				c.startSettling(past)
			}
		}
	})
}

func (c *Core) startSettling(target id.Router) {
	if _, running := c.settling.running[target]; running {
		return
	}
	c.emit(event.SettlementStarted, slog.String(event.KeyRouter, target.String()))
	s := settle.New(target, c.now, c.config.BudgetShards)
	c.settling.running[target] = s
	c.settleActions(target, s.Step(c.now, settle.Tick{}))
}

// settleStep feeds the outcome of an action back.
func (c *Core) settleStep(target id.Router, ev settle.Event) {
	s, running := c.settling.running[target]
	if running {
		c.settleActions(target, s.Step(c.now, ev))
	}
}

func (c *Core) settleActions(target id.Router, actions []settle.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case settle.ReadRecord:
			c.settleRead(target, action)
		case settle.CASRecord:
			c.settleWrite(target, action)
		case settle.SealAt:
			c.settleSeal(target, action)
		case settle.RetireInShard:
			c.settleShard(target, action)
		case settle.Done:
			c.settleEnded(target, "done", true)
			c.settling.sweepAt[target] = c.after(sweepAfter)
		case settle.GaveUp:
			c.settleEnded(target, string(action.Reason), action.Reason == settle.ReasonWitnessLost)
		}
	}
}

func (c *Core) settleRead(target id.Router, action settle.ReadRecord) {
	c.readRecord(target.VM, func(record *settle.RouterRecord, revision platform.Revision, err error) {
		if err != nil {
			c.settleStep(target, settle.Failed{Op: action.Op})
			return
		}
		c.settleStep(target, settle.RecordRead{Op: action.Op, Record: record, Revision: revision})
	})
}

func (c *Core) settleWrite(target id.Router, action settle.CASRecord) {
	data, err := action.Record.Encode()
	if err != nil {
		c.settleStep(target, settle.Failed{Op: action.Op})
		return
	}
	call := c.newCall(func(value any, err error) {
		written, _ := value.(platform.Value)
		switch {
		case err == nil:
			c.settleStep(target, settle.RecordWritten{Op: action.Op, Revision: written.Revision})
		case errors.Is(err, platform.ErrConflict):
			c.settleStep(target, settle.Conflict{Op: action.Op})
		case errors.Is(err, platform.ErrOutcomeUnknown):
			c.settleStep(target, settle.Unknown{Op: action.Op})
		default:
			c.settleStep(target, settle.Failed{Op: action.Op})
		}
	})
	c.do(WriteKey{Call: call, Key: action.Key, Expect: action.Expect, Data: data})
}

func (c *Core) settleSeal(target id.Router, action settle.SealAt) {
	msg := SealMsg{Router: action.Target, Epoch: action.Epoch}
	if action.Witness == c.self {
		reply := c.seal(msg)
		c.settleStep(target, settle.Sealed{Op: action.Op, Sums: reply.Sums, Known: reply.Known})
		return
	}
	witness, found := c.view.Peer(action.Witness.VM)
	if !found || witness.Router != action.Witness {
		// Another incarnation at the witness's VM: its memory is gone for good.
		gone := found && witness.Router.Incarnation > action.Witness.Incarnation
		c.settleStep(target, settle.SealFailed{Op: action.Op, Gone: gone})
		return
	}
	callPeer(c, witness, msg, func(reply SealReply, err error) {
		if err != nil {
			c.settleStep(target, settle.SealFailed{Op: action.Op})
			return
		}
		c.settleStep(target, settle.Sealed{Op: action.Op, Sums: reply.Sums, Known: reply.Known})
	})
}

func (c *Core) settleShard(target id.Router, action settle.RetireInShard) {
	call := c.newCall(func(_ any, err error) {
		if err != nil {
			c.settleStep(target, settle.ShardFailed{Op: action.Op, Shard: action.Shard})
			return
		}
		c.settleStep(target, settle.ShardRetired{Op: action.Op, Shard: action.Shard})
	})
	c.do(RetireHolder{Call: call, Shard: budget.ShardIndex(action.Shard), Holder: action.Holder, Sums: action.Sums})
}

// settleEnded ends a settlement. Final says that the target can bill no more; then
// the other routers are told, which keep retries of its requests waiting till then.
func (c *Core) settleEnded(target id.Router, result string, final bool) {
	delete(c.settling.running, target)
	if final {
		c.settledNow(target)
		c.witness.Settled(c.now, target)
		c.tellSettled(target)
	}
	c.settling.done[target] = c.after(settleAgain)
	c.emit(event.SettlementDone, slog.String(event.KeyRouter, target.String()), slog.String("result", result))
}
