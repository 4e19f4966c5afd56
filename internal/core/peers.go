package core

import (
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/bill"
	"chicorytiller.example/chicorytiller/internal/dedup"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/member"
)

// Errors given to peers.
var (
	// ErrNotServing: this router leaves and takes on no new duty.
	ErrNotServing = errors.New("core: router does not take on new duties")
	// ErrUnknownMessage: a message of a later version.
	ErrUnknownMessage = errors.New("core: unknown message")
	// ErrWrongIncarnation: the message was for another router of this VM.
	ErrWrongIncarnation = errors.New("core: message for another incarnation")
)

// peerCall answers a message from another router.
func (c *Core) peerCall(ev PeerCall) {
	// Failure: a router's witness restarts; the router, which doesn't know yet, has
	// the new process adopt it, while its durable record names the old one. What it
	// bills there no settlement finds. So a process answers only what is meant for it.
	if !ev.To.IsZero() && ev.To != c.self {
		c.do(PeerReply{Ticket: ev.Ticket, Err: ErrWrongIncarnation})
		return
	}
	var reply any
	var err error
	switch msg := ev.Msg.(type) {
	case HeartbeatMsg:
		reply = c.heard(msg)
	case HoldBillsMsg:
		reply = c.hold(ev.From, msg)
	case AdoptMsg:
		reply, err = c.adopt(ev.From, msg)
	case SealMsg:
		reply = c.seal(msg)
	case ClaimKeyMsg:
		reply = ClaimKeyReply{Claim: c.witness.ClaimKey(c.now, msg.Router, msg.Key)}
	case RegisterKeyMsg:
		reply = c.registerHere(msg)
	case SilentMsg:
		reply = SilentReply{Silent: c.silent(msg.Router)}
	case SettledMsg:
		c.settledNow(msg.Router)
		c.witness.Settled(c.now, msg.Router)
		reply = SettledReply{}
	case CallBackMsg:
		c.wallet.CallBack(c.now, msg.Budget)
		reply = CallBackReply{}
	case HandOverMsg:
		c.archive.Add(c.now, msg.Bills)
		reply = HandOverReply{}
	case RestoredMsg:
		c.restored(ev.From)
		reply = RestoredReply{}
	case PullKeysMsg:
		reply = c.pullKeys(ev.From)
	case ReplaceKeyMsg:
		reply = c.replaceHere(msg)
	case ListBillsMsg:
		reply = ListBillsReply{Bills: c.Bills(msg.Filter)}
	case AwaitAnswerMsg:
		c.awaitAnswer(ev.Ticket, msg)
		return
	default:
		err = ErrUnknownMessage
	}
	c.do(PeerReply{Ticket: ev.Ticket, Msg: reply, Err: err})
}

// awaitAnswer gives a peer the answer of a key that is served here, at once or
// when it is finished.
func (c *Core) awaitAnswer(ticket Ticket, msg AwaitAnswerMsg) {
	status, found := c.table.Lookup(msg.Key)
	reply := AwaitAnswerReply{State: AnswerNone}
	switch {
	case !found && c.repeats[msg.Key].bill.Request != "":
		reply = AwaitAnswerReply{State: AnswerBilled, Bill: c.repeats[msg.Key].bill}
	case !found:
		// Failure: an admission that was not dispatched leaves its mark, while the
		// claim is of an earlier one that was; only the very claim counts.
		reply.Unrun = c.claims.unrun[msg.Key] == msg.Claim
	case status.State == dedup.StateInProgress:
		c.table.Wait(msg.Key)
		c.keyWaiters[msg.Key] = append(c.keyWaiters[msg.Key], waiter{peer: ticket, until: c.after(awaitAnswerFor)})
		return
	case status.Kept:
		reply = AwaitAnswerReply{State: AnswerDone, Answer: status.Answer}
	default:
		earlier, _, held := c.book.Find(status.Request)
		if !held {
			earlier = bill.Bill{Request: status.Request}
		}
		reply = AwaitAnswerReply{State: AnswerBilled, Bill: earlier}
	}
	c.do(PeerReply{Ticket: ticket, Msg: reply})
}

// heard takes in a heartbeat and answers with this router's own.
func (c *Core) heard(msg HeartbeatMsg) HeartbeatReply {
	c.learnUsage(msg.Heartbeat, 0)
	return HeartbeatReply{Heartbeat: c.viewStep(member.Received{Heartbeat: msg.Heartbeat})}
}

// tickView sends the heartbeats that are due and judges who was not heard of.
func (c *Core) tickView() {
	if c.stage == stageFenced || c.now.Before(c.viewAt) {
		return
	}
	c.viewAt = c.after(c.config.Member.Period)
	c.viewStep(c.selfNow())
	c.viewStep(member.Tick{})
}

// selfNow is what this router says of itself. A router without a witness can't
// serve, so it does not say that it serves. It begins a round of the limits, and so is
// called once in each period.
func (c *Core) selfNow() member.SelfChanged {
	state := member.Serving
	if c.stage != stageServing || !c.tenure.active() {
		state = member.Draining
	}
	return member.SelfChanged{
		Router: c.self, State: state, Witness: c.tenure.witness.Router, Revision: c.state.Revision,
		Usage: c.limits.Tick(c.now, state == member.Serving, c.limitShare()),
	}
}

// viewStep steps the view and does what it asks for. It returns the heartbeat
// that answers a received one.
func (c *Core) viewStep(ev member.Event) (reply member.Heartbeat) {
	for _, action := range c.view.Step(c.now, ev) {
		switch action := action.(type) {
		case member.Send:
			c.sendHeartbeat(action)
		case member.Reply:
			reply = action.Heartbeat
		case member.Change:
			c.viewChanged(action)
		}
	}
	return reply
}

func (c *Core) sendHeartbeat(send member.Send) {
	to := member.Peer{Info: member.Info{LinkAddress: send.Address}}
	sent := c.limits.Round()
	callPeer(c, to, HeartbeatMsg{Heartbeat: send.Heartbeat}, func(reply HeartbeatReply, err error) {
		if err == nil && c.stage != stageFenced {
			c.learnUsage(reply.Heartbeat, sent)
			c.viewStep(member.Answered{Heartbeat: reply.Heartbeat})
		}
	})
}

var changeEvents = map[member.ChangeKind]event.Number{
	member.Joined:    event.PeerJoined,
	member.Suspected: event.PeerSuspected,
	member.Recovered: event.PeerRecovered,
	member.Left:      event.PeerLeft,
}

func (c *Core) viewChanged(change member.Change) {
	c.stale = true
	c.noteLost(change)
	if change.Kind == member.Suspected || change.Kind == member.Left {
		c.limits.Forget(change.Peer.Router.VM)
	}
	if number, found := changeEvents[change.Kind]; found {
		c.emit(number, slog.String(event.KeyRouter, change.Peer.Router.String()))
	}
}

// alivePeer gives a router that is alive as far as this one knows: this very
// incarnation, and not suspected.
func (c *Core) alivePeer(r id.Router) (member.Peer, bool) {
	p, found := c.view.Peer(r.VM)
	return p, found && p.Router == r && !p.Suspected
}

// Self is this router as others see it.
func (c *Core) Self() member.Peer {
	return c.view.Fleet().Self()
}

// HeardAt is when this router last had evidence of life of a VM's router.
func (c *Core) HeardAt(vm id.VM) time.Time {
	if vm == c.self.VM {
		return c.now
	}
	return c.view.HeardAt(vm)
}

// Peers lists the routers that this one knows to be alive, for operators.
func (c *Core) Peers() []member.Peer {
	return c.view.Alive()
}

// Witnessed lists the routers whose bills this router holds.
func (c *Core) Witnessed() []id.Router {
	return c.witness.Routers()
}
