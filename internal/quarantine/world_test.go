package quarantine

import (
	"cmp"
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Flags for longer runs, and for the comparison of rules.
var (
	draws       = flag.Int("quarantine.draws", 2, "how often each case of the simulated fleet is played")
	partServers = flag.Int("quarantine.servers", rules[KindPart].servers, "how many servers must have crashed until a part is blamed")
)

// Traffic and servers of the simulated fleet.
const (
	simServers       = 10
	simTemplates     = 4
	simThings        = 20
	simSoundRate     = 50.0 // requests per second
	simTrouble       = 20 * time.Second
	simReturn        = 3 * time.Second        // until another server takes the place of one that ended
	simKnownAfter    = 3 * time.Second        // after the fifth crash, until which all routers must know
	simSurvival      = 300 * time.Millisecond // of an answer, until it counts as begun
	simShareInterval = 300 * time.Millisecond
	simCrashAfter    = 100 * time.Millisecond // how long a server runs a bad request
)

// simCase describes requests and faults.
type simCase struct {
	routers int
	// bad returns the parts of a bad request; nil if there is none.
	bad     func(rng *rand.Rand) []string
	badRate float64
	// crashRate is the rate of servers that end by themselves, resetRate that of resets of all
	// connections between one router and one server.
	crashRate, resetRate float64
	shareDelay           time.Duration // of reports
}

// simResult is the outcome of one draw.
type simResult struct {
	crashes      int // servers that bad requests ended
	lateArrivals int // bad requests that reached servers later than simKnownAfter after the fifth crash
	sound        int // sound requests
	soundRefused int
	soundAfter   int // those sent later than twice simKnownAfter after the fifth crash
	refusedAfter int
	soundHeld    int // sound features that were held back, summed over the routers
}

// simFleet plays one draw in virtual time.
type simFleet struct {
	simCase
	rng       *rand.Rand
	now       time.Time
	events    simEvents
	serial    int
	routers   []*simRouter
	servers   []string // incarnations; empty while one is away
	active    map[*simExchange]bool
	crashedAt []time.Time
	result    simResult
}

type simRouter struct {
	q    *Quarantine
	told uint64 // serial of the last report that was sent
}

type simExchange struct {
	router   *simRouter
	server   string
	features []Feature
	bad      bool
	survived bool
	sentAt   time.Time
	serial   int
}

type simEvent struct {
	at     time.Time
	serial int
	do     func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].serial < e[j].serial
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// play plays a case once.
func play(c simCase, seed uint64) simResult {
	f := &simFleet{simCase: c, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), active: make(map[*simExchange]bool)}
	for range c.routers {
		f.routers = append(f.routers, &simRouter{q: New(func() time.Time { return f.now }, f.countHeld)})
	}
	for range simServers {
		f.servers = append(f.servers, f.newServer())
	}
	f.repeat(simSoundRate, f.sendSound)
	f.repeat(c.badRate, f.sendBad)
	f.shareRegularly()
	f.repeat(c.crashRate, func() { f.end(f.servers[f.rng.IntN(simServers)]) })
	f.repeat(c.resetRate, f.reset)
	for end := f.now.Add(simTrouble); len(f.events) > 0 && f.now.Before(end); {
		next := heap.Pop(&f.events).(simEvent)
		f.now = next.at
		next.do()
	}
	return f.result
}

func (f *simFleet) newServer() string {
	f.serial++
	return fmt.Sprint("s", f.serial)
}

func (f *simFleet) after(delay time.Duration, do func()) {
	f.serial++
	heap.Push(&f.events, simEvent{f.now.Add(delay), f.serial, do})
}

// repeat does something at random moments with a mean rate per second.
func (f *simFleet) repeat(rate float64, do func()) {
	if rate == 0 {
		return
	}
	f.after(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		do()
		f.repeat(rate, do)
	})
}

// uniform returns a random time between two times.
func (f *simFleet) uniform(from, to time.Duration) time.Duration {
	return from + time.Duration(f.rng.Float64()*float64(to-from))
}

func (f *simFleet) countHeld(change Change) {
	for _, blame := range change.Held {
		if blame.Feature != Part("bad") && blame.Feature.Kind == KindPart {
			f.result.soundHeld++
		}
	}
}

func (f *simFleet) sendSound() {
	f.serial++
	parts := []string{fmt.Sprint("t", f.rng.IntN(simTemplates)), fmt.Sprint("g", f.rng.IntN(simThings))}
	refused := f.send(promptFeatures(fmt.Sprint("own", f.serial), parts...), false)
	f.result.sound++
	isAfter := len(f.crashedAt) > 0 && f.now.After(f.crashedAt[min(len(f.crashedAt), 5)-1].Add(2*simKnownAfter))
	if isAfter {
		f.result.soundAfter++
	}
	if refused {
		f.result.soundRefused++
		if isAfter {
			f.result.refusedAfter++
		}
	}
}

// sendBad sends a bad request, and once more a little later.
func (f *simFleet) sendBad() {
	f.serial++
	features := promptFeatures(fmt.Sprint("own", f.serial), f.bad(f.rng)...)
	f.send(features, true)
	f.after(f.uniform(300*time.Millisecond, time.Second), func() { f.send(features, true) })
}

// send sends a request through a random router to a random server. It reports whether the router refuses
// it.
func (f *simFleet) send(features []Feature, bad bool) (refused bool) {
	router := f.routers[f.rng.IntN(len(f.routers))]
	if _, held := router.q.Held(features); held {
		return true
	}
	server := f.servers[f.rng.IntN(simServers)]
	if server == "" {
		return false // unreachable, no evidence
	}
	f.serial++
	e := &simExchange{serial: f.serial, router: router, server: server, features: features, bad: bad, sentAt: f.now}
	f.active[e] = true
	if bad && len(f.crashedAt) >= 5 && f.now.After(f.crashedAt[4].Add(simKnownAfter)) {
		f.result.lateArrivals++
	}
	f.after(f.uniform(10*time.Millisecond, 300*time.Millisecond), func() { f.begin(e) })
	return false
}

// begin begins the answer of an exchange.
func (f *simFleet) begin(e *simExchange) {
	if !f.active[e] {
		return
	}
	if _, held := e.router.q.Held(e.features); held {
		delete(f.active, e) // given up before its first event
		return
	}
	if e.bad {
		f.after(simCrashAfter, func() {
			if f.active[e] {
				f.result.crashes++
				f.crashedAt = append(f.crashedAt, f.now)
				f.end(e.server)
			}
		})
		return
	}
	e.router.q.RecordAlive(e.server, e.sentAt)
	f.after(simSurvival, func() {
		if f.active[e] {
			e.survived = true
			e.router.q.RecordBegun(e.features)
		}
	})
	f.after(f.uniform(100*time.Millisecond, 3*time.Second), func() {
		if f.active[e] {
			delete(f.active, e)
			e.router.q.RecordWhole(e.features)
		}
	})
}

// end ends a server: all of its exchanges break off.
func (f *simFleet) end(server string) {
	for i, known := range f.servers {
		if known == server && server != "" {
			f.servers[i] = ""
			f.after(simReturn, func() { f.servers[i] = f.newServer() })
		}
	}
	f.breakOff(func(e *simExchange) bool { return e.server == server })
}

// reset resets all connections between a router and a server.
func (f *simFleet) reset() {
	router, server := f.routers[f.rng.IntN(len(f.routers))], f.servers[f.rng.IntN(simServers)]
	f.breakOff(func(e *simExchange) bool { return e.router == router && e.server == server })
}

func (f *simFleet) breakOff(breaks func(*simExchange) bool) {
	var broken []*simExchange
	for e := range f.active {
		if breaks(e) {
			broken = append(broken, e)
			delete(f.active, e)
		}
	}
	slices.SortFunc(broken, func(a, b *simExchange) int { return cmp.Compare(a.serial, b.serial) })
	for _, e := range broken {
		e.router.q.RecordCrash(Exchange{Server: e.server, Features: e.features, Late: e.survived})
	}
}

// shareRegularly calls share at intervals.
func (f *simFleet) shareRegularly() {
	f.share()
	f.after(simShareInterval, f.shareRegularly)
}

// share sends the reports that have changed to all routers.
func (f *simFleet) share() {
	reports := make(map[int]Report)
	for i, from := range f.routers {
		if report := from.q.Report(); report.Serial != from.told {
			from.told = report.Serial
			reports[i] = report
		}
	}
	if len(reports) == 0 {
		return
	}
	f.after(f.uniform(f.shareDelay/2, f.shareDelay), func() { f.deliver(reports) })
}

func (f *simFleet) deliver(reports map[int]Report) {
	for i, to := range f.routers {
		for key, report := range reports {
			if key != i {
				to.q.Merge(fmt.Sprint("r", key), report)
			}
		}
		to.q.Judge()
	}
}

func badThing(rng *rand.Rand) []string {
	return []string{fmt.Sprint("t", rng.IntN(simTemplates)), "bad"}
}
func badTemplate(rng *rand.Rand) []string {
	return []string{"bad", fmt.Sprint("g", rng.IntN(simThings))}
}

// Guards against a part that is found too late, and against sound requests that are held back, in many
// random orders of crashes, answers and reports.
func TestBlameInSimulatedFleet(t *testing.T) {
	const share = 400 * time.Millisecond
	cases := []struct {
		name string
		simCase
	}{
		{"second part", simCase{routers: 9, bad: badThing, badRate: 4, shareDelay: share}},
		{"template", simCase{routers: 9, bad: badTemplate, badRate: 4, shareDelay: share}},
		{"seldom", simCase{routers: 9, bad: badThing, badRate: 0.5, shareDelay: share}},
		{"one in three", simCase{routers: 9, bad: badThing, badRate: 25, shareDelay: share}},
		{"beside other crashes", simCase{routers: 9, bad: badThing, badRate: 4, crashRate: 1, shareDelay: share}},
		{"beside resets", simCase{routers: 9, bad: badThing, badRate: 4, resetRate: 20, shareDelay: share}},
		{"slow reports", simCase{routers: 9, bad: badThing, badRate: 4, shareDelay: 2 * time.Second}},
		{"60 routers", simCase{routers: 60, bad: badThing, badRate: 4, shareDelay: share}},
		{"crashes by themselves", simCase{routers: 9, crashRate: 1.4, shareDelay: share}},
		{"resets", simCase{routers: 9, resetRate: 40, shareDelay: share}},
		{"crashes and resets, slow reports", simCase{routers: 9, crashRate: 1, resetRate: 20, shareDelay: 2 * time.Second}},
	}
	setPartServers(t, *partServers)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sum := simResult{}
			worst := simResult{}
			for seed := range uint64(*draws) {
				r := play(c.simCase, seed)
				sum.add(r)
				worst.crashes, worst.lateArrivals = max(worst.crashes, r.crashes), max(worst.lateArrivals, r.lateArrivals)
			}
			n := float64(*draws)
			t.Logf("crashes %.1f (most %d), late arrivals %.1f (most %d), sound refused %.4f (after %.4f), sound parts held a draw %.2f",
				float64(sum.crashes)/n, worst.crashes, float64(sum.lateArrivals)/n, worst.lateArrivals, float64(sum.soundRefused)/float64(sum.sound),
				float64(sum.refusedAfter)/float64(max(1, sum.soundAfter)), float64(sum.soundHeld)/n)
			qt.Check(t, worst.lateArrivals <= 3, qt.IsTrue)
			qt.Check(t, float64(sum.soundRefused) <= 0.01*float64(sum.sound), qt.IsTrue)
			qt.Check(t, float64(sum.refusedAfter) <= 0.1*float64(max(1, sum.soundAfter)), qt.IsTrue)
		})
	}
}

// setPartServers changes the rule for parts until the test ends.
func setPartServers(t *testing.T, servers int) {
	before := rules[KindPart]
	t.Cleanup(func() { rules[KindPart] = before })
	changed := before
	changed.servers = servers
	rules[KindPart] = changed
}

func (r *simResult) add(other simResult) {
	r.crashes += other.crashes
	r.lateArrivals += other.lateArrivals
	r.sound += other.sound
	r.soundRefused += other.soundRefused
	r.soundAfter += other.soundAfter
	r.refusedAfter += other.refusedAfter
	r.soundHeld += other.soundHeld
}
