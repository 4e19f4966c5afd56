package member

import (
	"slices"
	"time"

	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/platform"
)

// Bounds of one period. A heartbeat takes about 330 bytes with its envelope and
// headers, and 6 for each entry of its sample; each is answered by one alike. So
// the fixed part of a router's traffic, sent and received, is
// 4 * fanout * (330 + 6*sampleSize) bytes a period: 1.8 KB/s at a period of 2 s.
// Probes of 330 bytes come on top as far as the samples leave out live peers.
// TestPlannedSize -routers 440 gives the sum.
const (
	fanout        = 1              // heartbeats to random live peers
	smallFanout   = 2              // the same in a fleet of up to smallFleet peers, where samples are short
	smallFleet    = 16             // peers
	maxStale      = 6              // probes of live peers not heard of for long
	sampleSize    = 96             // entries of Heard
	sampleDraw    = 3 * sampleSize // drawn at random to choose the sample from
	maxWanted     = 8
	maxReports    = 8
	seedEvery     = 10 // periods between heartbeats to a random seed
	suspectEvery  = 5  // periods between heartbeats to a random suspected peer
	pauseFactor   = 4  // periods without a Tick after which this router was paused itself
	maxTombstones = 4096

	// The share of SuspectAfter after which a silent peer is asked directly.
	staleNumerator   = 2
	staleDenominator = 3
)

// DefaultForgetAfter is how long a suspected peer is kept that the VM list does
// not tell to be gone: longer than regions lose each other.
const DefaultForgetAfter = 2 * time.Hour

// Random is the source of random choices; *rand.Rand of math/rand/v2 is one.
type Random interface {
	IntN(n int) int
}

// Config holds what a View needs to start.
type Config struct {
	Self         Info
	Period       time.Duration // between Ticks
	SuspectAfter time.Duration
	ForgetAfter  time.Duration // zero: DefaultForgetAfter
	Seeds        []string      // link addresses
}

// View is one router's view of the fleet. One goroutine owns it; others use the
// Fleet that it gives.
type View struct {
	cfg      Config
	random   Random
	self     Info
	revision id.Revision
	usage    []byte
	count    uint64

	members  map[id.VM]*member
	order    []*member // the members in a fixed order, for random choices
	byDigest map[Digest]*member
	gone     map[id.VM]id.Incarnation // highest incarnation of a VM that left
	listed   map[id.VM]platform.VMState
	listRead bool
	seeds    []string
	wanted   []Digest

	ticks     uint64
	lastTick  time.Time
	observing time.Time // since when this router has been running without a pause
	fleet     *Fleet    // nil: to be made again
}

// member is what the view knows of one peer.
type member struct {
	peer    Peer
	heard   time.Time // last evidence of life, direct or relayed
	probed  time.Time // last heartbeat sent because of silence
	count   uint64    // of its last heartbeat that came directly
	digests []Digest  // of its Info now and before
}

// New makes a view that knows no peers.
func New(cfg Config, now time.Time, random Random) *View {
	if cfg.ForgetAfter == 0 {
		cfg.ForgetAfter = DefaultForgetAfter
	}
	v := &View{
		cfg:       cfg,
		random:    random,
		self:      cfg.Self,
		members:   make(map[id.VM]*member),
		byDigest:  make(map[Digest]*member),
		gone:      make(map[id.VM]id.Incarnation),
		listed:    make(map[id.VM]platform.VMState),
		lastTick:  now,
		observing: now,
	}
	v.addSeeds(cfg.Seeds)
	return v
}

// Step takes one event at time now.
func (v *View) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Tick:
		return v.tick(now)
	case Received:
		actions := v.learn(now, e.Heartbeat)
		return append(actions, Reply{Heartbeat: v.reply(now, e.Heartbeat)})
	case Answered:
		return v.learn(now, e.Heartbeat)
	case ListRead:
		v.readList(e.Entries)
	case SeedsFound:
		v.addSeeds(e.Addresses)
	case SelfChanged:
		v.changeSelf(e)
	}
	return nil
}

// Fleet gives the present picture. It is the same one until something changes.
func (v *View) Fleet() *Fleet {
	if v.fleet == nil {
		v.fleet = v.picture()
	}
	return v.fleet
}

// Alive gives the peers that are not suspected; see Fleet.
func (v *View) Alive() []Peer { return v.Fleet().Alive() }

// Peer gives a VM's router; see Fleet.
func (v *View) Peer(vm id.VM) (Peer, bool) { return v.Fleet().Peer(vm) }

// HeardAt gives the last evidence of life of a VM's router, direct or relayed, by
// this router's clock; zero for an unknown one and for this router itself. It isn't
// in Fleet, whose picture stays the same while nothing but this time changes.
func (v *View) HeardAt(vm id.VM) time.Time {
	m := v.members[vm]
	if m == nil {
		return time.Time{}
	}
	return m.heard
}

// Rendezvous ranks the living for a key; see Fleet.
func (v *View) Rendezvous(key uint64, n int, filter func(Peer) bool) []Peer {
	return v.Fleet().Rendezvous(key, n, filter)
}

// PickWitness chooses a router to hold self's bills; see Fleet.
func (v *View) PickWitness(self id.Router, exclude ...id.VM) (Peer, bool) {
	return v.Fleet().PickWitness(self, exclude...)
}

func (v *View) picture() *Fleet {
	own := Peer{Info: v.self, Revision: v.revision, hash: hashVM(v.self.Router.VM)}
	f := &Fleet{self: own, byVM: map[id.VM]Peer{own.Router.VM: own}}
	for _, m := range v.order {
		f.byVM[m.peer.Router.VM] = m.peer
		if !m.peer.Suspected {
			f.alive = append(f.alive, m.peer)
		}
	}
	slices.SortFunc(f.alive, byVM)
	return f
}

func (v *View) readList(entries []platform.VMEntry) {
	v.listRead = true
	v.listed = make(map[id.VM]platform.VMState, len(entries))
	for _, entry := range entries {
		v.listed[entry.ID] = entry.State
	}
}

func (v *View) addSeeds(addresses []string) {
	for _, address := range addresses {
		if address != v.self.LinkAddress && !slices.Contains(v.seeds, address) {
			v.seeds = append(v.seeds, address)
		}
	}
}

func (v *View) changeSelf(e SelfChanged) {
	v.revision = max(v.revision, e.Revision)
	v.usage = e.Usage
	v.fleet = nil
	changed := v.self
	if e.Router.Incarnation > changed.Router.Incarnation {
		changed.Router.Incarnation = e.Router.Incarnation
		changed.Seq = 0
		v.count = 0
	}
	changed.State = e.State
	changed.Witness = e.Witness
	if changed != v.self {
		changed.Seq++
		v.self = changed
	}
}

func byVM(a, b Peer) int {
	if a.Router.VM < b.Router.VM {
		return -1
	}
	return 1
}
