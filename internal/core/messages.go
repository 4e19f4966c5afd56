package core

import (
	"chicorytiller.example/chicorytiller/internal/bill"
	"chicorytiller.example/chicorytiller/internal/dedup"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/member"
)

// Messages between routers. Each has a reply type of the same name with Reply.
// Package peer carries them over net/rpc.

// HeartbeatMsg carries a member.Heartbeat.
type HeartbeatMsg struct {
	Heartbeat member.Heartbeat `msgpack:"h"`
}

// HeartbeatReply carries the receiver's own heartbeat, so that one call informs both.
type HeartbeatReply struct {
	Heartbeat member.Heartbeat `msgpack:"h"`
}

// HoldBillsMsg asks the witness to hold bills.
type HoldBillsMsg struct {
	Bills []bill.Bill `msgpack:"b"`
}

// HoldBillsReply has one result a bill, in their order.
type HoldBillsReply struct {
	Results []bill.HoldResult `msgpack:"r"`
}

// AdoptMsg asks a router to become the sender's witness.
type AdoptMsg struct {
	Epoch  uint64      `msgpack:"e"`
	Sums   bill.Sums   `msgpack:"s"`
	Recent []bill.Bill `msgpack:"r"`
}

// AdoptReply is empty: an error says that the router refuses.
type AdoptReply struct{}

// SealMsg asks a witness to accept no further bill of a router.
type SealMsg struct {
	Router id.Router `msgpack:"r"`
	Epoch  uint64    `msgpack:"e"` // of the router's durable record
}

// SealReply tells what the witness holds of the sealed router.
type SealReply struct {
	Sums  bill.Sums `msgpack:"s"`
	Known bool      `msgpack:"k"`
}

// ClaimKeyMsg asks the witness of a router that is being retired for the bill of a key.
type ClaimKeyMsg struct {
	Router id.Router `msgpack:"r"`
	Key    dedup.Key `msgpack:"k"`
}

// ClaimKeyReply tells whether the key was billed.
type ClaimKeyReply struct {
	Claim bill.KeyClaim `msgpack:"c"`
}

// RegisterKeyMsg registers a key at one of its home routers.
type RegisterKeyMsg struct {
	Entry dedup.Entry `msgpack:"e"`
}

// RegisterKeyReply tells of an earlier registration.
type RegisterKeyReply struct {
	Existing dedup.Entry `msgpack:"e"`
	Found    bool        `msgpack:"f"`
	// Billed is the bill of the key that a router handed on as it left.
	Billed *bill.Bill `msgpack:"b,omitempty"`
	Warm   bool       `msgpack:"w"` // 'not found' proves something
	// Unsettled: the router knows of one that was lost and may still bill.
	Unsettled bool `msgpack:"u"`
}

// SilentMsg asks a witness whether it, too, has not heard of a router.
type SilentMsg struct {
	Router id.Router `msgpack:"r"`
}

// SilentReply has the witness's answer.
type SilentReply struct {
	Silent bool `msgpack:"s"`
}

// SettledMsg tells that a lost router can bill no more.
type SettledMsg struct {
	Router id.Router `msgpack:"r"`
}

// SettledReply is empty.
type SettledReply struct{}

// CallBackMsg tells a router that the sender starves of a budget of which it holds
// a grant.
type CallBackMsg struct {
	Budget id.Budget `msgpack:"b"`
}

// CallBackReply is empty.
type CallBackReply struct{}

// HandOverMsg gives a living router the bills that the sender, which leaves, made or
// keeps of routers that have gone.
type HandOverMsg struct {
	Bills []bill.Bill `msgpack:"b"`
}

// HandOverReply is empty.
type HandOverReply struct{}

// RestoredMsg tells that the sender holds the keys that its VM's earlier routers
// were homes of.
type RestoredMsg struct{}

// RestoredReply is empty.
type RestoredReply struct{}

// PullKeysMsg asks a router for the keys that the sender, which has just started,
// is a home of.
type PullKeysMsg struct{}

// PullKeysReply has them.
type PullKeysReply struct {
	Entries []dedup.Entry `msgpack:"e"`
	// Gap: some key may have been known only to routers that were lost.
	Gap bool `msgpack:"u"`
}

// ReplaceKeyMsg moves a key from admissions that have ended to the sender's.
type ReplaceKeyMsg struct {
	Entry dedup.Entry   `msgpack:"e"` // the sender's own
	Ended []dedup.Owner `msgpack:"o"`
}

// ReplaceKeyReply tells who has the key now.
type ReplaceKeyReply struct {
	Now       dedup.Entry `msgpack:"n"`
	OK        bool        `msgpack:"k"`
	Warm      bool        `msgpack:"w"`
	Unsettled bool        `msgpack:"u"` // as in RegisterKeyReply
}

// AwaitAnswerMsg asks the serving router for the answer of a key.
type AwaitAnswerMsg struct {
	Key dedup.Key `msgpack:"k"`
	// Claim is the claim that is asked about, of a non-idempotent call.
	Claim dedup.Owner `msgpack:"c"`
}

// ListBillsMsg asks a router for the bills it made or holds for others.
type ListBillsMsg struct {
	Filter bill.Filter `msgpack:"f"`
}

// ListBillsReply has them, latest first.
type ListBillsReply struct {
	Bills []bill.Bill `msgpack:"b"`
}

// AnswerState says how far a key's request has come at its serving router.
type AnswerState int

// States of a key's request.
const (
	AnswerInProgress AnswerState = iota // still running after the longest wait
	AnswerDone                          // finished, the answer is in the reply
	AnswerBilled                        // finished, its text is no longer kept
	AnswerNone                          // not known here, or ended without a bill
)

// AwaitAnswerReply brings the answer of a key.
type AwaitAnswerReply struct {
	State  AnswerState `msgpack:"s"`
	Answer Answer      `msgpack:"a"`
	Bill   bill.Bill   `msgpack:"b"`
	// Unrun: with AnswerNone, the call was surely never dispatched under the claim
	// asked about.
	Unrun bool `msgpack:"u"`
}
