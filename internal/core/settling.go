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
)

// settling is the settlements of dead routers that this router does.
type settling struct {
	running map[id.Router]*settle.Settlement
	done    map[id.Router]time.Time // ended here; not to be begun again before then
	lost    map[id.Router]time.Time // since when they are suspected or gone
	tickAt  time.Time
}

func newSettling() settling {
	return settling{
		running: make(map[id.Router]*settle.Settlement),
		done:    make(map[id.Router]time.Time),
		lost:    make(map[id.Router]time.Time),
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
	for target, since := range c.settling.lost {
		if c.settles(target, c.now.Sub(since)) {
			c.startSettling(target)
		}
	}
	for target, s := range c.settling.running {
		c.settleActions(target, s.Step(c.now, settle.Tick{}))
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
}

// settles tells whether it is on this router to settle another: the one chosen by
// rendezvous hashing does it, and any other when that one doesn't for long. Two
// that settle the same router do no harm, the record's CAS decides each step.
func (c *Core) settles(target id.Router, lostFor time.Duration) bool {
	if lostFor < c.config.SettleAfter || c.now.Before(c.settling.done[target]) {
		return false
	}
	if lostFor > settleOthersDue*c.config.SettleAfter {
		return true
	}
	chosen := c.view.Rendezvous(xxhash.Sum64String(target.String()), 1, nil)
	return len(chosen) == 1 && chosen[0].Router == c.self
}

// settleOwnPast settles earlier incarnations of this VM: this process holds the
// VM's addresses, so it knows of them before anyone else.
func (c *Core) settleOwnPast() {
	c.readRecord(c.self.VM, func(record *settle.RouterRecord, _ platform.Revision, err error) {
		if err != nil {
			return
		}
		for _, t := range record.Unsettled() {
			if t.Incarnation != c.self.Incarnation {
				c.startSettling(id.Router{VM: c.self.VM, Incarnation: t.Incarnation})
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
			c.settleEnded(target, "done")
		case settle.GaveUp:
			c.settleEnded(target, string(action.Reason))
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

func (c *Core) settleEnded(target id.Router, result string) {
	delete(c.settling.running, target)
	c.settling.done[target] = c.after(settleAgain)
	c.emit(event.SettlementDone, slog.String(event.KeyRouter, target.String()), slog.String("result", result))
}
