package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/operate"
	"chicorytiller.example/chicorytiller/internal/store"
)

// fault is one thing that goes wrong, and is well again when do returns.
type fault struct {
	at   time.Duration
	name string
	do   func(ctx context.Context)
}

// Shape of a schedule.
const (
	// faultEvery is the mean time between two faults: several overlap.
	faultEvery = 600 * time.Millisecond
	// shortest and longest bound how long a fault lasts. The longest is beyond the
	// leases of routers' entries and the opening of grants.
	shortest, longest = 100 * time.Millisecond, 4 * time.Second
	// hangups is how many SIGHUPs come in a series.
	hangups = 3
)

// plan draws the faults of a seed. The same seed gives the same faults at the same
// times; what else happens meanwhile is the machine's.
func plan(f *fleet, seed uint64, duration time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, seed))
	var faults []fault
	for range int(duration / faultEvery) {
		at := time.Duration(random.Int64N(int64(duration)))
		lasts := shortest + time.Duration(random.Int64N(int64(longest-shortest)))
		faults = append(faults, f.draw(random, at, lasts))
	}
	faults = append(faults, f.planEvacuations(seed, duration)...)
	faults = append(faults, f.planLimits(seed, duration)...)
	faults = append(faults, f.planEngineDeaths(seed, duration)...)
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].at < faults[j].at })
	return faults
}

// evacuationEvery is the mean time between two evacuations of a failure domain.
const evacuationEvery = 4 * time.Second

// planEvacuations draws what operators rehearse meanwhile. It has random numbers of its own,
// so that a seed's faults stay what they were.
func (f *fleet) planEvacuations(seed uint64, duration time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, ^seed))
	var plan []fault
	for range int(duration / evacuationEvery) {
		at := time.Duration(random.Int64N(int64(duration)))
		lasts := shortest + time.Duration(random.Int64N(int64(longest-shortest)))
		name := string(domain(random.IntN(engines)))
		plan = append(plan, fault{at: at, name: name + " evacuated", do: func(ctx context.Context) { f.evacuated(ctx, name, lasts) }})
	}
	return plan
}

// evacuated orders a domain's evacuation and takes it back, each as soon as the store takes
// the order.
func (f *fleet) evacuated(ctx context.Context, name string, lasts time.Duration) {
	f.order(ctx, name, operate.Evacuate)
	sleep(ctx, lasts)
	f.order(ctx, name, operate.Restore)
}

// order repeats an operator's order until the store has taken it. A domain that another
// evacuation of the schedule has restored is not found, which is as good.
func (f *fleet) order(ctx context.Context, name string, give func(context.Context, store.Store, string) error) {
	for {
		err := give(ctx, f.store, name)
		if err == nil || errors.Is(err, operate.ErrNotFound) || !sleep(ctx, pollEvery) {
			return
		}
	}
}

// draw makes one fault.
func (f *fleet) draw(random *rand.Rand, at, lasts time.Duration) fault {
	r := f.routers[random.IntN(len(f.routers))]
	engine := random.IntN(len(f.engines))
	harm := []mode{delayed, mute, deaf, silent}[random.IntN(4)]
	kinds := []fault{
		{name: r.name + " killed", do: func(ctx context.Context) { r.down(ctx, lasts/4, syscall.SIGKILL, false) }},
		{name: r.name + " stopped as planned", do: func(ctx context.Context) { r.down(ctx, lasts/4, syscall.SIGTERM, false) }},
		{name: r.name + " paused", do: func(ctx context.Context) { r.paused(ctx, lasts) }},
		{name: r.name + " told to reload", do: func(ctx context.Context) { r.reload() }},
		{name: "all routers killed", do: func(ctx context.Context) { f.allDown(ctx, lasts) }},
		{name: f.engines[engine].name + " paused", do: func(ctx context.Context) { pauseFor(ctx, f.engines[engine], lasts) }},
		{name: f.engines[engine].name + " reset", do: func(context.Context) { f.proxies[engine].reset() }},
		{name: fmt.Sprintf("%s harmed (%d)", f.engines[engine].name, harm), do: func(ctx context.Context) { harmed(ctx, f.proxies[engine], harm, lasts) }},
		{name: fmt.Sprintf("store harmed for %s (%d)", r.name, harm), do: func(ctx context.Context) { harmed(ctx, r.store, harm, lasts) }},
		{name: "store down", do: func(ctx context.Context) { f.storeWrong(ctx, "down", "up", lasts) }},
		{name: "store loses answers", do: func(ctx context.Context) { f.storeWrong(ctx, "lose", "answer", lasts) }},
		{name: "store drops its history", do: func(context.Context) { _ = f.storeOrder("compact") }}, // shows in the store's end
	}
	chosen := kinds[random.IntN(len(kinds))]
	chosen.at = at
	return chosen
}

// inject carries the schedule out and returns when all is well again. told hears of each
// fault as it begins.
func inject(ctx context.Context, faults []fault, told func(fault)) {
	start := time.Now()
	var running sync.WaitGroup
	for _, one := range faults {
		if !sleep(ctx, time.Until(start.Add(one.at))) {
			break
		}
		told(one)
		running.Add(1)
		go func() {
			defer running.Done()
			one.do(ctx)
		}()
	}
	running.Wait()
}

// sleep waits; false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (r *router) paused(ctx context.Context, lasts time.Duration) {
	pauseFor(ctx, r.process, lasts)
}

// pauseFor stops a process and lets it go on.
func pauseFor(ctx context.Context, p *process, lasts time.Duration) {
	p.signal(syscall.SIGSTOP, false)
	sleep(ctx, lasts)
	p.signal(syscall.SIGCONT, false)
}

// handlerTime is how long a program may take from its start until it has its signal
// handlers; before, SIGHUP ends any program.
const handlerTime = 300 * time.Millisecond

func (r *router) reload() {
	if time.Since(r.startedAt()) < handlerTime {
		return
	}
	for range hangups {
		r.signal(syscall.SIGHUP, false)
	}
}

func (f *fleet) allDown(ctx context.Context, lasts time.Duration) {
	var all sync.WaitGroup
	for _, r := range f.routers {
		all.Add(1)
		go func() {
			defer all.Done()
			r.down(ctx, lasts/4, syscall.SIGKILL, false)
		}()
	}
	all.Wait()
}

// harmed puts a proxy into a mode for a time. Two faults on one proxy end with the first.
func harmed(ctx context.Context, p *proxy, m mode, lasts time.Duration) {
	p.set(m)
	sleep(ctx, lasts)
	p.set(pass)
	if m == silent {
		p.reset() // what was open is of no use any more
	}
}

// storeWrong gives the store's stand-in one order and takes it back later.
func (f *fleet) storeWrong(ctx context.Context, wrong, right string, lasts time.Duration) {
	_ = f.storeOrder(wrong) // a stand-in that is gone shows in its end
	sleep(ctx, lasts)
	_ = f.storeOrder(right) // as above
}
