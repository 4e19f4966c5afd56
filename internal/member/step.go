package member

import (
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/platform"
)

// Event is what a View reacts to: Tick, Received, Answered, ListRead, SeedsFound
// or SelfChanged.
type Event interface{ event() }

// Tick comes once in each period.
type Tick struct{}

// Received is another router's heartbeat. Step returns a Reply to it.
type Received struct{ Heartbeat Heartbeat }

// Answered is the reply to a heartbeat of this router.
type Answered struct{ Heartbeat Heartbeat }

// ListRead is the platform's VM list, which lags.
type ListRead struct{ Entries []platform.VMEntry }

// SeedsFound adds link addresses at which routers may be found.
type SeedsFound struct{ Addresses []string }

// SelfChanged is what this router says of itself from now on. Router is set when
// it goes on under a new incarnation.
type SelfChanged struct {
	Router   id.Router
	State    State
	Witness  id.Router
	Revision id.Revision
	Usage    []byte // see Heartbeat; nil: nothing is told
}

func (Tick) event()        {}
func (Received) event()    {}
func (Answered) event()    {}
func (ListRead) event()    {}
func (SeedsFound) event()  {}
func (SelfChanged) event() {}

// Action is what is to be done after a step: Send, Reply or Change.
type Action interface{ action() }

// Send asks to send a heartbeat to a link address. Its answer comes back as
// Answered; a failure is not told.
type Send struct {
	Address   string
	Heartbeat Heartbeat
}

// Reply is the answer to the heartbeat just received.
type Reply struct{ Heartbeat Heartbeat }

// ChangeKind is what happened to a peer.
type ChangeKind string

// Kinds of changes.
const (
	Joined    ChangeKind = "joined"    // first heard of this router (VM and incarnation)
	Updated   ChangeKind = "updated"   // it says something else of itself
	Suspected ChangeKind = "suspected" // nothing heard of it for SuspectAfter
	Recovered ChangeKind = "recovered" // heard of again
	Left      ChangeKind = "left"      // gone from the view, or replaced by a higher incarnation
)

// Change tells of one peer's change.
type Change struct {
	Kind ChangeKind
	Peer Peer
}

func (Send) action()   {}
func (Reply) action()  {}
func (Change) action() {}
