package core

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"chicorytiller.example/chicorytiller/internal/dedup"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/member"
)

// A key's home routers are the first two living ones beside the serving router, in
// the key's rank over all routers that were there within the retention. They
// remember which router serves the key.
const (
	homesOfKey = 2
	// passedOverProof is how many routers may be passed over (dead, suspected or not
	// answering) for two homes' 'not found' to prove that a key is new. With one
	// passed over, the two homes of any earlier registration and the two asked now
	// have at least one in common.
	passedOverProof = 1
)

// ghost is a router that left the view less than the retention ago.
type ghost struct {
	Peer member.Peer
	At   time.Time
}

// rank lists all routers that were there within the retention in the order of a
// key's rank, this one included; those that are not alive are marked suspected.
func (c *Core) rank(key dedup.Key) []member.Peer {
	known := append(c.view.Fleet().Known(), c.Self())
	present := make(map[id.VM]bool, len(known))
	for _, p := range known {
		present[p.Router.VM] = true
	}
	for vm, g := range c.ghosts {
		if !present[vm] {
			lost := g.Peer
			lost.Suspected = true
			known = append(known, lost)
		}
	}
	return member.Rank(xxhash.Sum64String(string(key)), known)
}

// noteGhost remembers a router that left the view.
func (c *Core) noteGhost(p member.Peer) {
	c.ghosts[p.Router.VM] = ghost{Peer: p, At: c.now}
}

func (c *Core) expireGhosts() {
	for vm, g := range c.ghosts {
		if c.now.Sub(g.At) >= c.config.KeyRetention {
			delete(c.ghosts, vm)
		}
	}
}

// homePoll asks a key's homes at once, and further routers in the order of the rank
// in place of those that can't be asked.
type homePoll struct {
	rest       []member.Peer // other routers not asked yet, in the order of the rank
	open       int           // asked, without an answer so far
	answers    int
	warm       int // answers of homes that would know of an earlier registration
	passedOver int
	stopped    bool
	selfWarm   bool
	// ask puts the question to one home; answered takes the answer.
	ask func(home member.Peer, answered homeAnswered)
	// done ends the poll. Proved: no earlier registration can have been missed.
	done func(proved bool)
}

// homeAnswered takes one home's answer and tells whether it is the one that ends
// the poll: goOn was false, and no answer before it was.
type homeAnswered func(warm, goOn bool, err error) (ends bool)

// pollHomes asks this router itself first. It doesn't count as one of the homes: a
// key shall be known to two routers beside the one that serves it.
func (c *Core) pollHomes(key dedup.Key, p *homePoll) {
	p.selfWarm = c.homeWarm()
	for _, home := range c.rank(key) {
		if home.Router != c.self {
			p.rest = append(p.rest, home)
		}
	}
	p.ask(c.Self(), func(_, goOn bool, _ error) bool {
		p.stopped = !goOn
		p.next()
		return !goOn
	})
}

// next asks as many routers as answers are missing.
func (p *homePoll) next() {
	for p.open+p.answers < homesOfKey && len(p.rest) > 0 && !p.stopped {
		home := p.rest[0]
		p.rest = p.rest[1:]
		if home.Suspected {
			p.passedOver++
			continue
		}
		p.open++
		p.ask(home, p.answered)
	}
	if p.open > 0 || p.stopped {
		return
	}
	p.stopped = true
	p.done(p.proved())
}

func (p *homePoll) answered(warm, goOn bool, err error) (ends bool) {
	p.open--
	switch {
	case p.stopped:
		return false
	case err != nil:
		p.passedOver++
	case !goOn:
		p.stopped = true
		return true
	default:
		p.answers++
		if warm {
			p.warm++
		}
	}
	p.next()
	return false
}

// proved tells whether an earlier registration would have been found: the homes of
// it and those asked have one in common, unless two routers were passed over. In a
// fleet so small that all living routers were asked, fewer answers do.
func (p *homePoll) proved() bool {
	if p.passedOver > passedOverProof || p.warm < p.answers {
		return false
	}
	return p.answers == homesOfKey || p.selfWarm
}

// registerKey tells the key's homes that this router serves it, and asks whether
// another one did before.
func (c *Core) registerKey(r *request) {
	var own *dedup.Entry // an earlier admission here, which the table has forgotten
	c.pollHomes(r.key, &homePoll{
		ask: func(home member.Peer, answered homeAnswered) {
			c.registerAt(home, r, func(reply RegisterKeyReply, err error) {
				elsewhere := err == nil && (reply.Billed != nil || reply.Found && reply.Existing.Serving != c.self)
				if err == nil && reply.Found && !elsewhere && reply.Existing.Owner() != r.owner {
					own = &reply.Existing
				}
				if answered(reply.Warm, !elsewhere, err) {
					c.ranElsewhere(r, reply)
				}
			})
		},
		done: func(proved bool) {
			switch {
			case own != nil:
				c.supersede(r, *own)
			case proved:
				r.fresh = true
				c.enter(r)
			default:
				c.askAll(r)
			}
		},
	})
}

// ranElsewhere deals with a key that was billed by a router that left, or that
// another one serves or served.
func (c *Core) ranElsewhere(r *request, reply RegisterKeyReply) {
	switch {
	case reply.Billed == nil:
		c.servedElsewhere(r, reply.Existing)
	case reply.Billed.BodyHash != r.req.BodyHash:
		c.endKeyed(r, &Refusal{Cause: CauseKeyReused, Outcome: OutcomeNotRun, Detail: "the idempotency key was used with another body"})
	default:
		c.repeatFor(r, *reply.Billed)
	}
}

func (c *Core) registerAt(home member.Peer, r *request, then func(RegisterKeyReply, error)) {
	msg := RegisterKeyMsg{Entry: c.ownEntry(r)}
	if home.Router == c.self {
		then(c.registerHere(msg), nil)
		return
	}
	callPeer(c, home, msg, then)
}

// registerHere registers a key in this router's directory, and tells all that this
// router knows of an earlier run: as home, as witness or as serving router.
func (c *Core) registerHere(msg RegisterKeyMsg) RegisterKeyReply {
	reply := RegisterKeyReply{Warm: c.homeWarm(), Unsettled: c.unsettled()}
	if msg.Entry.Serving != c.self && c.hasEnded(msg.Entry.Serving) {
		// The asker was settled and doesn't know it yet. Whoever comes after it may
		// take its place at once, so it must not believe that the key is its own.
		reply.Warm, reply.Unsettled = false, true
	}
	if b, found := c.archive.FindKey(msg.Entry.Key); found {
		reply.Billed = &b
		return reply
	}
	if entry, found := c.runElsewhere(msg.Entry.Key, msg.Entry.Serving); found {
		reply.Existing, reply.Found = entry, true
		return reply
	}
	reply.Existing, reply.Found = c.home.Register(c.now, msg.Entry)
	return reply
}

// runElsewhere is what this router knows, as witness or as serving router, of runs
// of a key by others than asker.
func (c *Core) runElsewhere(key dedup.Key, asker id.Router) (dedup.Entry, bool) {
	if b, found := c.witness.FindKey(key); found && b.Router != asker {
		return dedup.Entry{Key: key, Request: b.Request, Serving: b.Router, BodyHash: b.BodyHash, At: b.At, Done: true}, true
	}
	status, found := c.table.Lookup(key)
	if !found || asker == c.self {
		return dedup.Entry{}, false
	}
	return dedup.Entry{Key: key, Request: status.Request, Serving: c.self, BodyHash: status.BodyHash, At: c.now}, true
}

// homeWarm tells whether a key that this directory doesn't have was not registered
// here within the retention: it has been up for so long, or has taken in what the
// other routers knew when it started.
func (c *Core) homeWarm() bool {
	return c.pulled || c.home.Warm(c.now)
}

func (c *Core) ownEntry(r *request) dedup.Entry {
	return dedup.Entry{Key: r.key, Request: r.id, Serving: c.self, Serial: r.owner.Serial, BodyHash: r.req.BodyHash, At: c.now}
}

// maxSuperseded bounds the ended admissions that one request takes over from.
const maxSuperseded = 8

// supersede runs a request in place of an earlier admission that surely does not
// run it any more, if the key's homes agree.
func (c *Core) supersede(r *request, ended dedup.Entry) {
	r.ended = append(r.ended, ended.Owner())
	if len(r.ended) > maxSuperseded {
		c.endKeyed(r, inProgress("the request was taken over too often"))
		return
	}
	c.pollHomes(r.key, &homePoll{
		ask: func(home member.Peer, answered homeAnswered) {
			c.replaceAt(home, r, func(reply ReplaceKeyReply, err error) {
				refused := err == nil && !reply.OK
				if answered(reply.Warm, !refused, err) {
					c.servedElsewhere(r, reply.Now)
				}
			})
		},
		done: func(proved bool) {
			if proved {
				c.enter(r)
				return
			}
			c.replaceAll(r)
		},
	})
}

func (c *Core) replaceAt(home member.Peer, r *request, then func(ReplaceKeyReply, error)) {
	msg := ReplaceKeyMsg{Entry: c.ownEntry(r), Ended: r.ended}
	if home.Router == c.self {
		then(c.replaceHere(msg), nil)
		return
	}
	callPeer(c, home, msg, then)
}

// replaceHere moves a key in this router's directory.
func (c *Core) replaceHere(msg ReplaceKeyMsg) ReplaceKeyReply {
	entry, ok := c.home.Replace(c.now, msg.Entry, msg.Ended)
	return ReplaceKeyReply{Now: entry, OK: ok, Warm: c.homeWarm(), Unsettled: c.unsettled()}
}

// replaceAll moves a key at every living router, when its homes alone don't prove
// that nobody else has moved it.
func (c *Core) replaceAll(r *request) {
	all := append([]member.Peer{c.Self()}, c.view.Alive()...)
	open := len(all)
	failed := false
	for _, p := range all {
		c.replaceAt(p, r, func(reply ReplaceKeyReply, err error) {
			open--
			failed = failed || err != nil || !reply.OK || reply.Unsettled
			if open > 0 {
				return
			}
			if failed {
				c.endKeyed(r, inProgress("another router may have taken the request over"))
				return
			}
			c.enter(r)
		})
	}
}

// survey gathers what all living routers know of a key.
type survey struct {
	request *request
	open    int
	ended   bool
	gap     bool // someone did not answer, or knows of a router that isn't settled
}

// askAll asks every living router for a key when its homes' 'not found' proves
// nothing. Failure: the homes were replaced, the caller sends its request again,
// it would run and be billed twice.
func (c *Core) askAll(r *request) {
	all := append([]member.Peer{c.Self()}, c.view.Alive()...)
	s := &survey{request: r, open: len(all)}
	for _, p := range all {
		c.registerAt(p, r, func(reply RegisterKeyReply, err error) { c.surveyed(s, reply, err) })
	}
}

func (c *Core) surveyed(s *survey, reply RegisterKeyReply, err error) {
	s.open--
	if s.ended {
		return
	}
	if err == nil && (reply.Billed != nil || reply.Found && reply.Existing.Serving != c.self) {
		s.ended = true
		c.ranElsewhere(s.request, reply)
		return
	}
	s.gap = s.gap || err != nil || reply.Unsettled
	if s.open > 0 {
		return
	}
	s.ended = true
	if s.gap {
		// A router that can't be asked may run this very request and bill it. Once
		// it is settled it can't bill any more, and its witness knows what it billed.
		c.endKeyed(s.request, inProgress("some router can't be asked whether it runs this request; it is being settled"))
		return
	}
	c.enter(s.request)
}

// Waits between the tries of a starting router to take in the others' keys.
const (
	pullEvery  = time.Second
	pullAtLast = 30 * time.Second
)

// pull asks the other routers for the keys that this one is a home of, so that its
// 'not found' counts from now on. It is tried again until no router is missing.
func (c *Core) pull() {
	if c.homeWarm() || !c.tenure.active() || c.now.Before(c.pullAt) || c.lostBeside(c.self.VM) {
		return
	}
	c.pullWait = min(max(2*c.pullWait, pullEvery), pullAtLast)
	c.pullAt = c.after(c.pullWait)
	peers := c.view.Alive()
	open := len(peers)
	failed := false
	for _, p := range peers {
		callPeer(c, p, PullKeysMsg{}, func(reply PullKeysReply, err error) {
			open--
			failed = failed || err != nil || reply.Gap
			for _, entry := range reply.Entries {
				c.home.Register(c.now, entry)
			}
			if open == 0 && !failed {
				c.pulled = true
				c.tellRestored()
			}
		})
	}
}

func (c *Core) tellRestored() {
	for _, p := range c.view.Alive() {
		callPeer(c, p, RestoredMsg{}, func(RestoredReply, error) {})
	}
}

// pullKeys gives a starting router the keys that it is a home of.
func (c *Core) pullKeys(from id.Router) PullKeysReply {
	// Failure: both homes of a key are lost, and start again one after the other.
	// Each would take in what the other knows, which is nothing, and then vouch
	// that the key is new. So only a router that vouches itself, or that is the
	// first of its VM in a fleet that has lost none, can make another one vouch.
	vouches := c.firstborn || c.homeWarm()
	reply := PullKeysReply{Gap: !vouches || c.lostBeside(from.VM)}
	if reply.Gap {
		return reply // it will ask again, so that sending the keys now is in vain
	}
	for _, entry := range c.home.Entries() {
		if isHome(from.VM, c.rank(entry.Key)) {
			reply.Entries = append(reply.Entries, entry)
		}
	}
	return reply
}

// isHome tells whether a VM's router may be asked for a key: it is among the first
// in the rank, or becomes so when others are passed over.
func isHome(vm id.VM, ranked []member.Peer) bool {
	for i, p := range ranked {
		if i <= homesOfKey+passedOverProof && p.Router.VM == vm {
			return true
		}
	}
	return false
}
