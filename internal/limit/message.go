package limit

import (
	"cmp"
	"slices"
	"time"

	"chicorytiller.example/chicorytiller/internal/codec"
	"chicorytiller.example/chicorytiller/internal/id"
)

const (
	// maxTold bounds the accounts that a heartbeat tells of, and with them its size.
	maxTold = 16
	// maxMessageBytes is more than maxTold accounts take, for later versions.
	maxMessageBytes = 4096
	// freshFor is for how many rounds a router's word counts; then it counts again
	// as one of which nothing is known. Less than remembered.
	freshFor = 60
)

// message is what a router tells of its accounts. It goes with heartbeats.
type message struct {
	Round   Round     `msgpack:"r"` // of its sender
	Serving bool      `msgpack:"s"` // it admits requests
	Uses    []toldUse `msgpack:"u"`
	More    bool      `msgpack:"m"` // there are accounts with demand that are not in Uses
}

type toldUse struct {
	Account uint64 `msgpack:"a"` // xxhash64 of its name
	Demand  uint32 `msgpack:"d"` // thousandths of a request a second
	Running uint32 `msgpack:"r"`
}

// peer is what another router told, and what it knows of this one.
type peer struct {
	router   id.Router
	serving  bool
	told     Round // its own
	uses     map[uint64]use
	since    map[uint64]Round // in which it first told of an account, and ever since
	more     bool
	heard    Round // when it told
	answered Round // the last heartbeat that it answered was sent in; 0: none
}

// Tick begins a round and gives the message that goes with all its heartbeats. It is
// called once in each period, before they are sent. Serving: this router admits
// requests. In a fleet of more than maxRouters there is no message.
func (l *Limits) Tick(now time.Time, serving bool, equal float64) []byte {
	lasted := now.Sub(l.roundAt)
	l.round++
	l.roundAt = now
	told := make([]*account, 0, len(l.accounts))
	for name, a := range l.accounts {
		a.endRound(lasted)
		switch {
		case a.use(now, a.running).Demand == 0:
			a.tell(use{}, l.round)
			l.forgetIdle(now, name, a)
		case a.rate > 0 || a.slots > 0:
			told = append(told, a)
		}
	}
	l.forgetSilent()
	if !follows(equal) {
		for _, a := range told {
			a.tell(use{}, l.round)
		}
		return nil
	}
	return l.tell(now, told, serving)
}

// tell makes the message and notes what it says.
func (l *Limits) tell(now time.Time, accounts []*account, serving bool) []byte {
	slices.SortFunc(accounts, func(a, b *account) int {
		if order := cmp.Compare(b.pressure(b.running), a.pressure(a.running)); order != 0 {
			return order
		}
		return cmp.Compare(a.hash, b.hash)
	})
	m := message{Round: l.round, Serving: serving, More: len(accounts) > maxTold}
	for i, a := range accounts {
		if i >= maxTold {
			a.tell(use{}, l.round)
			continue
		}
		told := a.use(now, a.running)
		a.tell(told, l.round)
		m.Uses = append(m.Uses, toldUse{Account: a.hash, Demand: told.Demand, Running: told.Running})
	}
	data, err := codec.Marshal(&m)
	if err != nil {
		return nil // numbers can't fail to be encoded; without a message nobody gives up a share
	}
	return data
}

// forgetIdle drops an account that has not been used for long, unless its bucket is
// still filling: a new one would be full.
func (l *Limits) forgetIdle(now time.Time, name id.ClientAccount, a *account) {
	if a.limiter == nil || a.limiter.TokensAt(now) >= float64(a.limiter.Burst()) {
		delete(l.accounts, name)
	}
}

func (l *Limits) forgetSilent() {
	for vm, p := range l.peers {
		if l.round-p.heard > freshFor {
			delete(l.peers, vm)
			continue
		}
		if p.answered > 0 && l.round-p.answered > freshFor {
			p.answered = 0
		}
	}
}

// Round is the present round, to be given back with the answers to its heartbeats.
func (l *Limits) Round() Round { return l.round }

// Heard takes in the message of another router's heartbeat.
func (l *Limits) Heard(from id.Router, data []byte) {
	var m message
	if err := codec.Unmarshal(data, &m, maxMessageBytes); err != nil {
		// A router of an earlier version, or damage: nothing is known of it, so that
		// it keeps its equal share.
		l.Forget(from.VM)
		return
	}
	p := l.peers[from.VM]
	switch {
	case p == nil || p.router.Incarnation < from.Incarnation:
		p = &peer{router: from} // a new incarnation knows nothing of what was told
		l.peers[from.VM] = p
	case p.router != from || m.Round < p.told:
		return // late
	}
	p.heard = l.round
	p.told = m.Round
	p.serving = m.Serving
	p.more = m.More
	since := p.since
	p.uses = make(map[uint64]use, len(m.Uses))
	p.since = make(map[uint64]Round, len(m.Uses))
	for _, u := range m.Uses {
		p.uses[u.Account] = use{Demand: u.Demand, Running: u.Running}
		p.since[u.Account] = l.round
		if before, found := since[u.Account]; found {
			p.since[u.Account] = before
		}
	}
}

// Forget drops what a router told that has left or is suspected: it is no part of N.
func (l *Limits) Forget(vm id.VM) { delete(l.peers, vm) }

// Answered takes in the message of the answer to a heartbeat that was sent in the
// round sent: the router that answers knows what was told then.
func (l *Limits) Answered(from id.Router, data []byte, sent Round) {
	l.Heard(from, data)
	if p := l.peers[from.VM]; p != nil && p.router == from {
		p.answered = max(p.answered, sent)
	}
}
