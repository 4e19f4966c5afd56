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

// fault is one injected fault. It is over when run returns.
type fault struct {
	offset time.Duration
	name   string
	run    func(ctx context.Context)
}

// Frequency and duration of faults.
const (
	// meanFaultInterval is the mean time between the starts of two faults. Faults overlap.
	meanFaultInterval = 600 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound how long a fault lasts. The longest faults
	// outlast the leases of routers' entries and the time until grants open.
	minFaultDuration, maxFaultDuration = 100 * time.Millisecond, 4 * time.Second
	// hangupsPerReload is the number of SIGHUPs that a reload fault sends in a row.
	hangupsPerReload = 3
)

// planFaults draws the faults of a seed. The same seed gives the same faults at the same
// times; all other timing depends on the machine. restores adds returns of the store from a copy.
func planFaults(f *fleet, seed uint64, duration time.Duration, restores bool) []fault {
	rng := rand.New(rand.NewPCG(seed, seed))
	var faults []fault
	for range int(duration / meanFaultInterval) {
		offset := time.Duration(rng.Int64N(int64(duration)))
		faultDuration := minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
		faults = append(faults, f.drawFault(rng, offset, faultDuration))
	}
	faults = append(faults, f.planEvacuations(seed, duration)...)
	faults = append(faults, f.planLimits(seed, duration)...)
	faults = append(faults, f.planEngineKills(seed, duration)...)
	faults = append(faults, f.planMemoryExits(seed, duration)...)
	if restores {
		faults = append(faults, f.planRestores(seed, duration)...)
	}
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].offset < faults[j].offset })
	return faults
}

// meanEvacuationInterval is the mean time between two evacuations of a failure domain.
const meanEvacuationInterval = 4 * time.Second

// planEvacuations draws evacuations of failure domains by operators. It has its own random
// generator, so that it doesn't change the other faults of a seed.
func (f *fleet) planEvacuations(seed uint64, duration time.Duration) []fault {
	rng := rand.New(rand.NewPCG(seed, ^seed))
	var faults []fault
	for range int(duration / meanEvacuationInterval) {
		offset := time.Duration(rng.Int64N(int64(duration)))
		evacuationDuration := minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
		domainName := string(domain(rng.IntN(engineCount)))
		faults = append(faults, fault{offset: offset, name: domainName + " evacuated", run: func(ctx context.Context) { f.evacuate(ctx, domainName, evacuationDuration) }})
	}
	return faults
}

const (
	// meanRestoreInterval is the mean time between two returns of the store from a copy.
	meanRestoreInterval = 6 * time.Second
	// minCopyAge and maxCopyAge bound the age of the copy.
	minCopyAge, maxCopyAge = 300 * time.Millisecond, 4 * time.Second
)

// planRestores draws returns of the store from a copy, one after the other. It has its own random
// generator, so that it doesn't change the other faults of a seed.
func (f *fleet) planRestores(seed uint64, duration time.Duration) []fault {
	rng := rand.New(rand.NewPCG(seed, 1))
	var faults []fault
	for slot := time.Duration(0); slot+meanRestoreInterval <= duration; slot += meanRestoreInterval {
		age := minCopyAge + time.Duration(rng.Int64N(int64(maxCopyAge-minCopyAge)))
		faults = append(faults, fault{offset: slot + time.Duration(rng.Int64N(int64(meanRestoreInterval-maxCopyAge))),
			name: fmt.Sprintf("store loses the writes of %v", age), run: func(ctx context.Context) { f.disruptStore(ctx, "copy", "restore", age) }})
	}
	return faults
}

// evacuate evacuates a failure domain and later restores it. It retries both while the store
// fails.
func (f *fleet) evacuate(ctx context.Context, domainName string, duration time.Duration) {
	f.retryOperation(ctx, domainName, operate.Evacuate)
	sleep(ctx, duration)
	f.retryOperation(ctx, domainName, operate.Restore)
}

// retryOperation retries an operator action until it succeeds or ctx is done. ErrNotFound
// counts as success: an overlapping evacuation has already restored the domain.
func (f *fleet) retryOperation(ctx context.Context, domainName string, operation func(context.Context, store.Store, string) error) {
	for {
		err := operation(ctx, f.store, domainName)
		if err == nil || errors.Is(err, operate.ErrNotFound) || !sleep(ctx, pollInterval) {
			return
		}
	}
}

// drawFault draws one fault.
func (f *fleet) drawFault(rng *rand.Rand, offset, duration time.Duration) fault {
	r := f.routers[rng.IntN(len(f.routers))]
	engine := rng.IntN(len(f.engines))
	proxyMode := []mode{modeDelay, modeHoldResponses, modeHoldRequests, modeHoldBoth}[rng.IntN(4)]
	candidates := []fault{
		{name: r.name + " killed", run: func(ctx context.Context) { r.restart(ctx, duration/4, syscall.SIGKILL, false) }},
		{name: r.name + " stopped gracefully", run: func(ctx context.Context) { r.restart(ctx, duration/4, syscall.SIGTERM, false) }},
		{name: r.name + " paused", run: func(ctx context.Context) { r.pause(ctx, duration) }},
		{name: r.name + " reloaded", run: func(ctx context.Context) { r.reload() }},
		{name: "all routers killed", run: func(ctx context.Context) { f.restartAllRouters(ctx, duration) }},
		{name: f.engines[engine].name + " paused", run: func(ctx context.Context) { pauseFor(ctx, f.engines[engine], duration) }},
		{name: f.engines[engine].name + " connections reset", run: func(context.Context) { f.engineProxies[engine].reset() }},
		{name: fmt.Sprintf("%s connections degraded (mode %d)", f.engines[engine].name, proxyMode), run: func(ctx context.Context) { degrade(ctx, f.engineProxies[engine], proxyMode, duration) }},
		{name: fmt.Sprintf("store connections of %s degraded (mode %d)", r.name, proxyMode), run: func(ctx context.Context) { degrade(ctx, r.storeProxy, proxyMode, duration) }},
		{name: "store down", run: func(ctx context.Context) { f.disruptStore(ctx, "down", "up", duration) }},
		{name: "store loses answers", run: func(ctx context.Context) { f.disruptStore(ctx, "lose", "answer", duration) }},
		{name: "store drops its history", run: func(context.Context) { _ = f.sendStoreCommand("compact") }}, // a failed store stub shows in the checks of the run
	}
	chosen := candidates[rng.IntN(len(candidates))]
	chosen.offset = offset
	return chosen
}

// injectFaults runs the faults at their offsets and returns when all of them are over. It calls
// started before it runs a fault.
func injectFaults(ctx context.Context, faults []fault, started func(fault)) {
	start := time.Now()
	var running sync.WaitGroup
	for _, current := range faults {
		if !sleep(ctx, time.Until(start.Add(current.offset))) {
			break
		}
		started(current)
		running.Add(1)
		go func() {
			defer running.Done()
			current.run(ctx)
		}()
	}
	running.Wait()
}

// sleep waits for d and reports whether it did so before ctx was done.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (r *router) pause(ctx context.Context, duration time.Duration) {
	pauseFor(ctx, r.process, duration)
}

// pauseFor suspends a process for duration by SIGSTOP and SIGCONT.
func pauseFor(ctx context.Context, p *process, duration time.Duration) {
	p.signal(syscall.SIGSTOP, false)
	sleep(ctx, duration)
	p.signal(syscall.SIGCONT, false)
}

// signalHandlerDelay is the time that a router is given after its start to install its signal
// handlers. Before that, SIGHUP ends it.
const signalHandlerDelay = 300 * time.Millisecond

func (r *router) reload() {
	if time.Since(r.startedAt()) < signalHandlerDelay {
		return
	}
	for range hangupsPerReload {
		r.signal(syscall.SIGHUP, false)
	}
}

func (f *fleet) restartAllRouters(ctx context.Context, duration time.Duration) {
	var all sync.WaitGroup
	for _, r := range f.routers {
		all.Add(1)
		go func() {
			defer all.Done()
			r.restart(ctx, duration/4, syscall.SIGKILL, false)
		}()
	}
	all.Wait()
}

// degrade sets a proxy's mode for duration. If two faults on one proxy overlap, both are over
// when the first one ends.
func degrade(ctx context.Context, p *proxy, m mode, duration time.Duration) {
	p.setMode(m)
	sleep(ctx, duration)
	p.setMode(modePass)
	if m == modeHoldBoth {
		p.reset() // connections whose data was held are of no further use
	}
}

// disruptStore sends the store stub a command, and undoes it by another one after duration.
func (f *fleet) disruptStore(ctx context.Context, command, undo string, duration time.Duration) {
	_ = f.sendStoreCommand(command) // a failed store stub shows in the checks of the run
	sleep(ctx, duration)
	_ = f.sendStoreCommand(undo) // as above
}
