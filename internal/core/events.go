package core

import (
	"chicorytiller.example/chicorytiller/internal/backend"
	"chicorytiller.example/chicorytiller/internal/config"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/platform"
)

// Ticket names a question from outside that an action will answer.
type Ticket uint64

// CallID names a question of the core to the outside; a Reply carries it back.
type CallID uint64

// Event is one input of the state machine.
type Event interface{ isEvent() }

// Admit asks to admit a caller's request; answered by AdmitReply.
type Admit struct {
	Ticket Ticket
	Req    AdmitRequest
}

// Redispatch asks for the next attempt; answered by DispatchReply.
type Redispatch struct {
	Ticket  Ticket
	Request id.Request
	Failed  FailedAttempt
}

// Finish tells of a whole answer; answered by FinishReply once its bill is held.
type Finish struct {
	Ticket  Ticket
	Request id.Request
	Done    Completion
}

// Abandon tells that a request will not be answered.
type Abandon struct {
	Request id.Request
	Used    backend.Usage
	Cause   Cause
}

// PeerCall is a message from another router; answered by PeerReply.
type PeerCall struct {
	Ticket Ticket
	From   id.Router
	To     id.Router // the incarnation that is meant; zero: whichever there is
	Msg    any       // one of the messages of messages.go
}

// Reply brings the result of a call that the core made.
type Reply struct {
	Call  CallID
	Value any // by the kind of the call: see the actions
	Err   error
}

// Tick tells that time has passed.
type Tick struct{}

// StateChanged brings a newer configuration.
type StateChanged struct{ State *config.State }

// VMsListed brings the platform's list of VMs.
type VMsListed struct{ VMs []platform.VMEntry }

// LoadReported brings a backend server's load report.
type LoadReported struct {
	Backend id.Backend
	Report  backend.LoadReport
}

// DrainRequested starts the planned stop of this router.
type DrainRequested struct{}

// StopAdmitting ends the time in which a draining router still serves new requests.
type StopAdmitting struct{}

// GrantsReturnRequested asks to give back all grants: no request is in flight any more.
type GrantsReturnRequested struct{}

// LeaveRequested asks to end this router's tenure: all grants are given back.
type LeaveRequested struct{}

func (Admit) isEvent()                 {}
func (Redispatch) isEvent()            {}
func (Finish) isEvent()                {}
func (Abandon) isEvent()               {}
func (PeerCall) isEvent()              {}
func (Reply) isEvent()                 {}
func (Tick) isEvent()                  {}
func (StateChanged) isEvent()          {}
func (VMsListed) isEvent()             {}
func (LoadReported) isEvent()          {}
func (DrainRequested) isEvent()        {}
func (StopAdmitting) isEvent()         {}
func (GrantsReturnRequested) isEvent() {}
func (LeaveRequested) isEvent()        {}
