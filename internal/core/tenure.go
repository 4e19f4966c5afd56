package core

import (
	"log/slog"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/bill"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/member"
	"chicorytiller.example/chicorytiller/internal/platform"
	"chicorytiller.example/chicorytiller/internal/settle"
)

// Pacing of the witness.
const (
	witnessRetry    = 200 * time.Millisecond // between tries to find a witness
	holdRetry       = 50 * time.Millisecond  // between calls to a witness that fails
	witnessFailures = 3                      // failed calls in a row before another is sought
	witnessAvoid    = 10 * time.Second       // how long a failed witness isn't chosen again
)

// tenure is this router's standing: its durable record and its witness.
type tenure struct {
	began    bool // the record names this incarnation and a witness
	changing bool
	// unheld: a change of witness was begun and none has been finished since, so
	// that no witness takes bills.
	unheld  bool
	holding bool // a call to the witness is under way
	left    bool // ended as planned
	witness member.Peer
	// uncertain: the record may name another witness than the one in force, for the
	// answer to a write was lost.
	uncertain bool
	failures  int
	holdAt    time.Time // not before then
	retryAt   time.Time // of the next try to find a witness
	avoid     map[id.Router]time.Time
}

// active tells whether this router may admit requests: bills can be held.
func (t *tenure) active() bool {
	return t.began && !t.left
}

// tickTenure looks for a witness when there is none, or when the one there is
// has gone or is leaving.
func (c *Core) tickTenure() {
	if c.tenure.changing || c.tenure.left || c.stage == stageFenced || c.now.Before(c.tenure.retryAt) {
		return
	}
	if !c.tenure.began {
		c.changeWitness()
		return
	}
	peer, alive := c.alivePeer(c.tenure.witness.Router)
	if c.tenure.unheld || !alive || peer.State != member.Serving || c.nearWitness(peer) {
		c.changeWitness()
	}
}

// nearWitness tells whether the witness stands in this router's own failure domain
// although another domain has one to offer: both would be lost together.
func (c *Core) nearWitness(witness member.Peer) bool {
	if witness.FailureDomain != c.config.Member.Self.FailureDomain {
		return false
	}
	_, better := c.view.PickWitness(c.self, c.avoided()...)
	return better
}

// witnessFailed counts a failed call to the witness.
func (c *Core) witnessFailed(err error) {
	c.tenure.failures++
	c.tenure.holdAt = c.after(holdRetry)
	c.emit(event.WitnessUnreachable, slog.String("witness", c.tenure.witness.Router.String()), slog.Any("error", err))
	if c.tenure.failures >= witnessFailures {
		c.avoidWitness(c.tenure.witness.Router)
		c.changeWitness()
	}
}

// avoidWitness keeps a router from being chosen for a while. It is that process
// which is avoided: a new one on the same VM may be the only router there is.
func (c *Core) avoidWitness(r id.Router) {
	if c.tenure.avoid == nil {
		c.tenure.avoid = make(map[id.Router]time.Time)
	}
	c.tenure.avoid[r] = c.after(witnessAvoid)
}

// changeWitness takes a new witness: it adopts the sums so far, then the durable
// record names it, then bills go to it. Until then no bill is sent, so that those
// who settle this router by the record's witness miss none.
func (c *Core) changeWitness() {
	if c.tenure.changing {
		return
	}
	next, found := c.pickWitness()
	if !found {
		c.tenure.retryAt = c.after(witnessRetry)
		return
	}
	c.tenure.changing = true
	c.adoptAt(next, func(epoch uint64, err error) {
		if err != nil {
			c.emit(event.WitnessUnreachable, slog.String("witness", next.Router.String()), slog.Any("error", err))
			c.avoidWitness(next.Router)
			c.changeFailed()
			c.checkOwnRecord()
			return
		}
		c.recordWitness(next, epoch)
	})
}

// checkOwnRecord fences this router when others have begun to settle it. Failure:
// it is sealed at every router that might hold its bills, so that no change of
// witness comes as far as the record, and its requests would wait for ever.
func (c *Core) checkOwnRecord() {
	if !c.tenure.began {
		return
	}
	c.readRecord(c.self.VM, func(record *settle.RouterRecord, _ platform.Revision, err error) {
		if err != nil {
			return
		}
		if t := record.Tenure(c.self.Incarnation); t == nil || t.State != settle.StateActive {
			c.fence("the durable record says that this router is retired")
		}
	})
}

// pickWitness takes a router of another failure domain, or else any other: a
// witness that may fail together with this router is better than none.
func (c *Core) pickWitness() (member.Peer, bool) {
	avoid := c.avoided()
	if p, found := c.view.PickWitness(c.self, avoid...); found {
		return p, true
	}
	others := c.view.Rendezvous(xxhash.Sum64String(string(c.self.VM)), 1, func(p member.Peer) bool {
		return p.Router.VM != c.self.VM && !slices.Contains(avoid, p.Router.VM) && c.mayWitness(p)
	})
	if len(others) == 0 {
		return member.Peer{}, false
	}
	return others[0], true
}

// avoided lists the VMs whose routers failed as witness of late.
func (c *Core) avoided() []id.VM {
	var avoid []id.VM
	for _, r := range sortedRouters(c.tenure.avoid) {
		present, _ := c.view.Peer(r.VM)
		if present.Router == r && c.now.Before(c.tenure.avoid[r]) {
			avoid = append(avoid, r.VM)
		}
	}
	return avoid
}

// mayWitness: at the start of a fleet no router serves yet, since none has a
// witness; a router that is not yet serving may be a witness all the same.
func (c *Core) mayWitness(p member.Peer) bool {
	return p.State == member.Serving || !c.tenure.began
}

func (c *Core) adoptAt(witness member.Peer, then func(epoch uint64, err error)) {
	epoch, sums, recent := c.book.BeginChange(c.now)
	c.tenure.unheld = true
	msg := AdoptMsg{Epoch: epoch, Sums: sums, Recent: c.billsForRetries(recent)}
	callPeer(c, witness, msg, func(_ AdoptReply, err error) {
		then(epoch, err)
	})
}

// billsForRetries are those that a retry may still ask for: the sums tell of all
// others. All bills of half an hour would be more than one message may hold.
func (c *Core) billsForRetries(bills []bill.Bill) []bill.Bill {
	return slices.DeleteFunc(bills, func(b bill.Bill) bool {
		return b.Key == "" || c.now.Sub(b.At) >= c.config.KeyRetention
	})
}

// recordWitness names the witness in the durable record.
func (c *Core) recordWitness(next member.Peer, epoch uint64) {
	c.readRecord(c.self.VM, func(record *settle.RouterRecord, revision platform.Revision, err error) {
		if err != nil {
			c.keepWitness()
			return
		}
		if err := c.enterRecord(record, next.Router, epoch); err != nil {
			c.recordRefused(err)
			return
		}
		c.writeRecord(record, revision, func(err error) { c.recordWritten(next, epoch, err) })
	})
}

func (c *Core) enterRecord(record *settle.RouterRecord, witness id.Router, epoch uint64) error {
	if !c.tenure.began {
		c.firstborn = c.firstborn || record.Latest == 0
		return record.Begin(c.self, witness, epoch)
	}
	return record.ChangeWitness(c.self, witness, epoch)
}

func (c *Core) recordWritten(next member.Peer, epoch uint64, err error) {
	switch {
	case err == nil:
		c.witnessInForce(next, epoch)
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrOutcomeUnknown):
		// Read again: either the write landed, which Begin and ChangeWitness
		// take as done, or another one did, which they judge.
		c.tenure.uncertain = c.tenure.uncertain || errors.Is(err, platform.ErrOutcomeUnknown)
		c.recordWitness(next, epoch)
	default:
		c.keepWitness()
	}
}

func (c *Core) witnessInForce(next member.Peer, epoch uint64) {
	c.tenure.changing = false
	c.tenure.failures = 0
	c.tenure.witness = next
	c.tenure.unheld = false
	c.tenure.uncertain = false
	c.book.FinishChange(epoch)
	c.emit(event.WitnessChosen, slog.String("witness", next.Router.String()), slog.Uint64("epoch", epoch))
	if !c.tenure.began {
		c.begin()
	}
}

// begin lets this router serve once it is on the roster and knows the others'.
func (c *Core) begin() {
	c.tenure.changing = true
	c.enterRoster(func(err error) {
		c.tenure.changing = false
		if err != nil {
			c.tenure.retryAt = c.after(witnessRetry)
			return
		}
		c.tenure.began = true
		c.stale = true
		c.settleOwnPast()
	})
}

// keepWitness goes back to the witness in force when the record can't be written:
// it adopts the new epoch, and a settlement that goes by the older record finds
// it there all the same.
//
// Failure: the write that names the new witness has landed, its answer was lost,
// and the service can't be reached to find out. Bills held by the old witness would
// be missed by a settlement. So the way back is open only when no write may have
// landed; else the router goes on trying to name a witness.
func (c *Core) keepWitness() {
	if !c.tenure.began || c.tenure.uncertain {
		c.changeFailed()
		return
	}
	c.adoptAt(c.tenure.witness, func(epoch uint64, err error) {
		if err == nil {
			c.tenure.unheld = false
			c.book.FinishChange(epoch)
			c.tenure.failures = 0
		}
		c.changeFailed()
	})
}

func (c *Core) changeFailed() {
	c.tenure.changing = false
	c.tenure.retryAt = c.after(witnessRetry)
}

func (c *Core) recordRefused(err error) {
	if errors.Is(err, settle.ErrRetiring) || errors.Is(err, settle.ErrSuperseded) {
		c.fence(err.Error())
		return
	}
	c.emit(event.WitnessUnreachable, slog.Any("error", err))
	c.changeFailed()
}

// fence stops this incarnation for good. Others have begun to settle it: what it
// has not billed by now it may not bill, so it must not end any answer, and its
// grants may be granted to others.
func (c *Core) fence(reason string) {
	if c.stage == stageFenced {
		return
	}
	c.stage = stageFenced
	c.stale = true
	c.emit(event.SelfFenced, slog.String(event.KeyCause, reason))
	for _, request := range sortedKeys(c.requests) {
		c.failFenced(c.requests[request])
	}
	c.do(Fence{Reason: reason})
}

// failFenced answers what waits inside the core; a running request is answered
// when its Finish or Redispatch comes.
func (c *Core) failFenced(r *request) {
	refusal := &Refusal{Cause: CauseFenced, Outcome: OutcomeUnknown, RetryAfter: retrySoon, Detail: "this router was declared dead by others; use another address"}
	switch {
	case r.phase == phaseBilling && r.answered:
		c.do(FinishReply{Ticket: r.ticket, Refusal: refusal})
	case r.phase == phaseParked || r.phase == phaseKey || r.phase == phaseClaiming:
		refusal.Outcome = OutcomeNotRun
		if r.key != "" {
			refusal.Outcome = OutcomeUnknown
		}
		c.do(AdmitReply{Ticket: r.ticket, Refusal: refusal})
	}
}

// readRecord reads a VM's durable record.
func (c *Core) readRecord(vm id.VM, then func(*settle.RouterRecord, platform.Revision, error)) {
	call := c.newCall(func(value any, err error) {
		read, _ := value.(platform.Value)
		if err != nil {
			then(nil, 0, err)
			return
		}
		record, err := settle.Decode(vm, read.Data)
		then(record, read.Revision, err)
	})
	c.do(ReadKey{Call: call, Key: settle.RecordKey(vm)})
}

// writeRecord compares and swaps a VM's durable record.
func (c *Core) writeRecord(record *settle.RouterRecord, expect platform.Revision, then func(error)) {
	data, err := record.Encode()
	if err != nil {
		then(err)
		return
	}
	call := c.newCall(func(_ any, err error) { then(err) })
	c.do(WriteKey{Call: call, Key: settle.RecordKey(record.VM), Expect: expect, Data: data})
}

// adopt, hold, seal and claimKey serve other routers as their witness.

func (c *Core) adopt(from id.Router, msg AdoptMsg) (AdoptReply, error) {
	if c.stage != stageServing {
		return AdoptReply{}, ErrNotServing
	}
	return AdoptReply{}, c.witness.Adopt(c.now, from, msg.Epoch, msg.Sums, msg.Recent)
}

func (c *Core) hold(from id.Router, msg HoldBillsMsg) HoldBillsReply {
	results := c.witness.Hold(c.now, from, msg.Bills)
	return HoldBillsReply{Results: results}
}

func (c *Core) seal(msg SealMsg) SealReply {
	sums, known := c.witness.Seal(msg.Router, msg.Epoch)
	c.emit(event.RouterSealed, slog.String(event.KeyRouter, msg.Router.String()), slog.Bool("known", known))
	return SealReply{Sums: sums, Known: known}
}

// Bills lists the recent bills of this router and those it holds for others, so
// that the bills of a dead router are still listed by its witness.
func (c *Core) Bills(filter bill.Filter) []bill.Bill {
	bills := append(c.book.Recent(filter), c.witness.Recent(filter)...)
	return append(bills, c.archive.Recent(filter)...)
}
