package core

import (
	"log/slog"

	"chicorytiller.example/chicorytiller/internal/backend"
	"chicorytiller.example/chicorytiller/internal/bill"
	"chicorytiller.example/chicorytiller/internal/budget"
	"chicorytiller.example/chicorytiller/internal/claim"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/platform"
)

// Action is one output of the state machine, to be carried out by its driver.
type Action interface{ isAction() }

// AdmitReply answers an Admit: an Admission or a Refusal.
type AdmitReply struct {
	Ticket    Ticket
	Admission Admission
	Refusal   *Refusal
}

// DispatchReply answers a Redispatch.
type DispatchReply struct {
	Ticket   Ticket
	Dispatch Dispatch
	Refusal  *Refusal
}

// FinishReply answers a Finish.
type FinishReply struct {
	Ticket  Ticket
	Refusal *Refusal // nil: the end of the answer may be sent
}

// PeerReply answers a PeerCall.
type PeerReply struct {
	Ticket Ticket
	Msg    any
	Err    error
}

// CallPeer sends a message to another router; the Reply's Value is its answer.
type CallPeer struct {
	Call    CallID
	Address string    // "IP:port" of the peer's link listener
	To      id.Router // the incarnation that is meant; zero: whichever there is
	Msg     any
}

// ReadKey reads a key of the key-value service; the Reply's Value is a platform.Value.
type ReadKey struct {
	Call CallID
	Key  string
}

// WriteKey compares and swaps a key; the Reply's Value is a platform.Value.
type WriteKey struct {
	Call   CallID
	Key    string
	Expect platform.Revision
	Data   []byte
}

// Commit applies operations on budgets; the Reply's Value is a ledger.Result.
type Commit struct {
	Call  CallID
	Shard budget.ShardIndex
	Ops   []budget.Op
}

// CommitClaims applies operations on claims; the Reply's Value is a
// map[dedup.Key]claim.Entry of the durable entries.
type CommitClaims struct {
	Call  CallID
	Shard int
	Ops   []claim.Op
}

// RetireHolder ends a holder in all budgets of one shard; the Reply's Value is nil.
type RetireHolder struct {
	Call   CallID
	Shard  budget.ShardIndex
	Holder id.Router
	Sums   bill.Sums
}

// CancelStream stops an attempt at a backend server.
type CancelStream struct {
	Backend backend.Ref
	Attempt id.Attempt
}

// Publish makes a new snapshot visible to the traffic goroutines.
type Publish struct{ Snapshot *Snapshot }

// Emit writes a numbered event.
type Emit struct {
	Number event.Number
	Attrs  []slog.Attr
}

// Fence tells the driver that this router was sealed by others and must start
// again as a new incarnation.
type Fence struct{ Reason string }

func (AdmitReply) isAction()    {}
func (DispatchReply) isAction() {}
func (FinishReply) isAction()   {}
func (PeerReply) isAction()     {}
func (CallPeer) isAction()      {}
func (ReadKey) isAction()       {}
func (WriteKey) isAction()      {}
func (Commit) isAction()        {}
func (CommitClaims) isAction()  {}
func (RetireHolder) isAction()  {}
func (CancelStream) isAction()  {}
func (Publish) isAction()       {}
func (Emit) isAction()          {}
func (Fence) isAction()         {}
