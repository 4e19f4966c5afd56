package core

import (
	"chicorytiller.example/chicorytiller/internal/bill"
	"chicorytiller.example/chicorytiller/internal/budget"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/member"
	"chicorytiller.example/chicorytiller/internal/platform"
	"chicorytiller.example/chicorytiller/internal/settle"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// startDrain takes this router out of the entry answers; callers that hold an old
// answer are still served.
func (c *Core) startDrain() {
	if c.stage != stageServing {
		return
	}
	c.stage = stageLeaving
	c.stale = true
	c.emit(event.DrainStarted)
}

// stopAdmitting refuses new requests from now on.
func (c *Core) stopAdmitting() {
	if c.stage != stageFenced {
		c.stage = stageRefusing
		c.stale = true
	}
}

// DrainStatus is how far a planned stop has come.
type DrainStatus struct {
	Requests  int  // still in flight
	Granted   bool // some grant is not given back yet
	Witnessed int  // living routers that still rely on this one as their witness
	Left      bool // the tenure has ended in the durable record
	Fenced    bool
}

// DrainStatus tells how far a planned stop has come.
func (c *Core) DrainStatus() DrainStatus {
	status := DrainStatus{
		Requests: len(c.requests),
		Granted:  c.holdsGrants(),
		Left:     c.tenure.left,
		Fenced:   c.stage == stageFenced,
	}
	for _, p := range c.view.Alive() {
		if p.Witness == c.self {
			status.Witnessed++
		}
	}
	return status
}

// holdsGrants tells whether some budget's grant has not been given back yet.
func (c *Core) holdsGrants() bool {
	for _, k := range c.state.Contracts {
		for _, b := range k.Budgets {
			balance := c.wallet.Balance(b.ID)
			_, drawing := c.wallet.InFlight(b.ID)
			if drawing || balance.Granted > balance.Spent {
				return true
			}
		}
	}
	return false
}

// leave closes this router's part of all budgets and then ends its tenure, so that
// nobody needs to settle it.
func (c *Core) leave() {
	c.handOver(c.others(), c.retireSelf)
}

// others are the living routers that serve, in an order that differs by router.
func (c *Core) others() []member.Peer {
	return c.view.Rendezvous(xxhash.Sum64String(string(c.self.VM)), len(c.view.Alive())+1, func(p member.Peer) bool {
		return p.Router != c.self && p.State == member.Serving
	})
}

// handOver gives the bills that only this router keeps to the first of the others
// that takes them; then goes on. Failure: all routers are replaced one after the
// other, and nobody can list the bills of the time before, or tell a retry of it.
func (c *Core) handOver(others []member.Peer, then func()) {
	bills := append(c.book.Recent(bill.Filter{}), c.witness.Vouched()...)
	bills = append(bills, c.archive.Recent(bill.Filter{})...)
	if len(others) == 0 || len(bills) == 0 {
		then()
		return
	}
	callPeer(c, others[0], HandOverMsg{Bills: bills}, func(_ HandOverReply, err error) {
		if err != nil {
			c.handOver(others[1:], then)
			return
		}
		then()
	})
}

// retireSelf closes this router's part of all budgets.
func (c *Core) retireSelf() {
	open := c.config.BudgetShards
	failed := false
	for shard := range c.config.BudgetShards {
		call := c.newCall(func(_ any, err error) {
			open--
			failed = failed || err != nil
			if open == 0 && !failed {
				c.endTenure()
			}
		})
		c.do(RetireHolder{Call: call, Shard: budget.ShardIndex(shard), Holder: c.self, Sums: c.book.Sums()})
	}
}

// endTenure takes this router out of its VM's durable record.
func (c *Core) endTenure() {
	c.readRecord(c.self.VM, func(record *settle.RouterRecord, revision platform.Revision, err error) {
		if err != nil {
			return
		}
		if err := record.Leave(c.now, c.self); err != nil {
			c.recordRefused(err)
			return
		}
		c.writeRecord(record, revision, func(err error) {
			switch {
			case err == nil:
				c.tenure.left = true
				c.tellSettled(c.self)
			case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrOutcomeUnknown):
				c.endTenure()
			}
		})
	})
}
