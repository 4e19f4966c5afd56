// Package soak runs the real programs as separate processes on one machine, harms them
// from outside by a random schedule, and checks the promises from what callers, backend
// servers and the store see. Clocks are not harmed: a process can't be given a wrong one
// without a library of its own.
package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/enginestub"
	"chicorytiller.example/chicorytiller/internal/load"
	"chicorytiller.example/chicorytiller/internal/operate"
	"chicorytiller.example/chicorytiller/internal/store"
)

// Options of one run.
type Options struct {
	ProgramDir string // directory of the built programs
	Dir        string // for settings and logs; it must exist
	Seed       uint64
	Duration   time.Duration // of load and faults
	Rate       float64       // requests a second
	// OpenStore connects to the store at an address.
	OpenStore func(address string) store.Store
	Out       io.Writer
}

// Times of a run.
const (
	// settleWithin bounds the wait for all routers after the last fault.
	settleWithin = 30 * time.Second
	// watchEvery is how often the money is looked at.
	watchEvery = 200 * time.Millisecond
)

// afterwards is how many requests must all be served once all is well.
const afterwards = 30

// callers is how a caller goes on after a failed try: longer than any fault lasts.
var callers = load.RetryPolicy{
	Deadline: 30 * time.Second, TryTimeout: 9 * time.Second, MaxTries: 60, MaxRetryAfter: 12 * time.Second,
	Backoff: 50 * time.Millisecond, Rotate: true,
}

// Run plays one seed and returns what was broken. An error means that it couldn't play.
func Run(ctx context.Context, o Options) ([]string, error) {
	f, err := build(o, o.Dir)
	if err != nil {
		return nil, err
	}
	defer f.end()
	if err := f.awaitReady(ctx); err != nil {
		return nil, err
	}
	money, stopMoney := f.watchMoney(ctx)
	run, err := f.load(ctx, o)
	if err != nil {
		return nil, err
	}
	broken, last := f.settle(ctx)
	stopMoney()
	broken = append(broken, money()...)
	outcomes := append(run.Outcomes(), last...)
	found, err := f.judge(outcomes)
	if err != nil {
		return nil, err
	}
	broken = append(broken, found...)
	overrun, err := f.judgeLimits()
	if err != nil {
		return nil, err
	}
	broken = append(broken, overrun...)
	broken = append(broken, f.stopAll(ctx, answeredTokens(outcomes))...)
	return append(broken, f.ends()...), nil
}

func (f *fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleWithin)
	defer cancel()
	for _, r := range f.routers {
		if err := r.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// load sends requests while the faults of the seed happen.
func (f *fleet) load(ctx context.Context, o Options) (*load.Run, error) {
	runner, err := f.runner(load.Pace{Duration: o.Duration, Rate: o.Rate}, o.Seed)
	if err != nil {
		return nil, err
	}
	var injecting sync.WaitGroup
	injecting.Add(1)
	start := time.Now()
	go func() {
		defer injecting.Done()
		inject(ctx, plan(f, o.Seed, o.Duration), func(one fault) {
			fmt.Fprintf(o.Out, "%8.3f s  %s\n", time.Since(start).Seconds(), one.name)
		})
	}()
	run := runner.Run(ctx)
	injecting.Wait()
	return run, nil
}

// runner makes a load of completions, half of them without a key, and calls.
func (f *fleet) runner(pace load.Pace, seed uint64) (*load.Runner, error) {
	workload, err := load.NewWorkload(load.WorkloadConfig{
		Seed: seed, RunID: fmt.Sprintf("soak-%d-%d", seed, time.Now().UnixNano()), Accounts: accounts, Model: model,
		PromptBytes: 200, MinOutputTokens: 5, MaxOutputTokens: 120, Stream: true, Service: service, ServiceShare: 0.2,
		UnkeyedShare: 0.5, Answer: enginestub.Answer,
	})
	if err != nil {
		return nil, err
	}
	client := load.NewClient(f.keys)
	addresses := make([]string, 0, len(f.routers))
	for _, r := range f.routers {
		addresses = append(addresses, r.callers)
	}
	caches := make([]*load.AddressCache, 0, accounts)
	for account := range accounts {
		caches = append(caches, load.NewAddressCache(addresses, client.EntryFetcher(account), time.Now))
	}
	return load.NewRunner(workload, pace, load.Target{Name: "routers", Caller: load.NewCaller(client, caches, callers, nil)})
}

// settle waits until all is well, and sends requests that must all be served.
func (f *fleet) settle(ctx context.Context) (broken []string, last []load.Outcome) {
	if err := f.awaitReady(ctx); err != nil {
		return []string{"not recovered: " + err.Error()}, nil
	}
	runner, err := f.runner(load.Pace{Requests: afterwards, Concurrency: 4}, 0)
	if err != nil {
		return []string{err.Error()}, nil
	}
	run := runner.Run(ctx)
	statuses := run.Report().Targets[0].Statuses
	if statuses[load.StatusOK] != afterwards && f.tokensLeft(ctx) {
		broken = []string{fmt.Sprintf("not recovered: of %d requests after the last fault %v", afterwards, statuses)}
	}
	return broken, run.Outcomes()
}

// tokensLeft says whether all budgets could still serve: else refusals are right.
func (f *fleet) tokensLeft(ctx context.Context) bool {
	budgets, err := operate.Budgets(ctx, f.store)
	for _, b := range budgets {
		if b.Prepaid-b.Granted < prepaid/10 && b.Granted-b.Spent < prepaid/10 {
			return false
		}
	}
	return err == nil
}

// watchMoney looks at the records all the time: no more is granted than was paid.
func (f *fleet) watchMoney(ctx context.Context) (found func() []string, stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var watching sync.WaitGroup
	var broken []string
	watching.Add(1)
	go func() {
		defer watching.Done()
		for sleep(ctx, watchEvery) {
			budgets, err := operate.Budgets(ctx, f.store)
			if err != nil {
				continue // the store is down for the watcher too
			}
			for _, b := range budgets {
				if b.Granted > b.Prepaid {
					broken = append(broken, fmt.Sprintf("%s: %d granted of %d", b.Account, b.Granted, b.Prepaid))
				}
			}
		}
	}()
	return func() []string { return broken }, func() {
		cancel()
		watching.Wait()
	}
}

// judge holds the answers against what engines, service and store saw.
func (f *fleet) judge(outcomes []load.Outcome) ([]string, error) {
	var broken []string
	statuses := map[load.Status]int{}
	for _, outcome := range outcomes {
		statuses[outcome.Status]++
	}
	for _, status := range []load.Status{load.StatusSpliced, load.StatusTruncated} {
		if statuses[status] > 0 {
			broken = append(broken, fmt.Sprintf("%d answers %s", statuses[status], status))
		}
	}
	if statuses[load.StatusOK] == 0 {
		broken = append(broken, "nothing was served")
	}
	evidence, err := load.NewClient(nil).GatherEvidence(load.Sources{Services: []string{f.callsAt}})
	if err != nil {
		return nil, err
	}
	if evidence.EngineRuns, err = f.engineRuns(); err != nil {
		return nil, err
	}
	result := load.Reconcile(outcomes, nil, evidence)
	return append(broken, result.Examples...), nil
}

func answeredTokens(outcomes []load.Outcome) int64 {
	sum := int64(0)
	for _, outcome := range outcomes {
		if outcome.Status == load.StatusOK {
			sum += outcome.Usage.Total()
		}
	}
	return sum
}

// stopAll stops the routers as planned. Then all that was answered is in the books, and
// no more than was paid.
func (f *fleet) stopAll(ctx context.Context, answered int64) []string {
	for _, r := range f.routers {
		r.signal(syscall.SIGTERM, true)
	}
	for _, r := range f.routers {
		r.wait()
	}
	budgets, err := operate.Budgets(ctx, f.store)
	if err != nil {
		return []string{err.Error()}
	}
	var broken []string
	booked := int64(0)
	for _, b := range budgets {
		booked += b.Granted
		if b.Granted > b.Prepaid {
			broken = append(broken, fmt.Sprintf("%s: %d booked of %d", b.Account, b.Granted, b.Prepaid))
		}
	}
	if answered > booked {
		broken = append(broken, fmt.Sprintf("%d tokens answered, %d booked", answered, booked))
	}
	return broken
}

// ends gathers what the processes' ends and logs say.
func (f *fleet) ends() []string {
	var broken []string
	for _, p := range f.engines {
		broken = append(broken, p.takeFaults()...)
	}
	for _, r := range f.routers {
		broken = append(broken, r.takeFaults()...)
		log, err := os.ReadFile(r.log)
		if err != nil {
			broken = append(broken, errors.Wrap(err, r.name).Error())
		}
		for _, sign := range []string{`"event":900,`, "DATA RACE", "panic:"} {
			if n := bytes.Count(log, []byte(sign)); n > 0 {
				broken = append(broken, fmt.Sprintf("%s: %d times %s in its log", r.name, n, sign))
			}
		}
	}
	return broken
}
