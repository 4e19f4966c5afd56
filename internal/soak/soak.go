// Package soak runs the real programs as separate processes on one machine, injects faults
// by a random schedule, and checks the guarantees from what callers, backend servers and the
// store observe. It injects no clock faults: the clock of a single process can't be changed
// without preloading a library into it.
package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/enginestub"
	"chicorytiller.example/chicorytiller/internal/load"
	"chicorytiller.example/chicorytiller/internal/operate"
	"chicorytiller.example/chicorytiller/internal/store"
)

// Options configure one run.
type Options struct {
	ProgramDir string // directory of the compiled programs
	Dir        string // existing directory for settings and logs
	Seed       uint64
	Duration   time.Duration // how long requests are sent and faults are injected
	Rate       float64       // requests per second
	// Restores makes the store return from copies, and so lose writes.
	Restores bool
	// OpenStore returns a client of the store at address.
	OpenStore func(address string) store.Store
	Out       io.Writer // receives a line for each injected fault
}

// ErrInvalidOptions is returned for options with which no run can be carried out.
var ErrInvalidOptions = errors.New("soak: invalid options")

// programs are the names of the programs that a run starts.
var programs = []string{"chicory-platform", "chicory-engine", "chicory-router"}

// Validate checks that the programs are there.
func (o Options) Validate() error {
	for _, program := range programs {
		path := filepath.Join(o.ProgramDir, program)
		if info, err := os.Stat(path); err != nil || info.IsDir() {
			return errors.Wrapf(ErrInvalidOptions, "programs: no program %s", path)
		}
	}
	return nil
}

const (
	// recoveryTimeout bounds the wait until all routers are ready, at the start and after the
	// last fault.
	recoveryTimeout = 30 * time.Second
	// budgetCheckInterval is the time between two checks of the budgets during a run.
	budgetCheckInterval = 200 * time.Millisecond
)

// finalRequests is the number of requests sent after the last fault, which must all succeed.
const finalRequests = 30

// retryPolicy makes callers retry for longer than any fault lasts.
var retryPolicy = load.RetryPolicy{
	Deadline: 30 * time.Second, TryTimeout: 9 * time.Second, MaxTries: 60, MaxRetryAfter: 12 * time.Second,
	Backoff: 50 * time.Millisecond, Rotate: true,
}

// Run runs one seed and returns the violations of guarantees. It returns an error if the run
// could not be carried out.
func Run(ctx context.Context, o Options) ([]string, error) {
	f, err := startFleet(o, o.Dir)
	if err != nil {
		return nil, err
	}
	defer f.close()
	if err := f.awaitReady(ctx); err != nil {
		return nil, err
	}
	fmt.Fprintln(o.Out, f.uneven)
	budgetViolations, stopWatching := f.watchBudgets(ctx)
	run, err := f.runLoad(ctx, o)
	if err != nil {
		return nil, err
	}
	violations, finalOutcomes := f.checkRecovery(ctx)
	stopWatching()
	violations = append(violations, budgetViolations()...)
	outcomes := append(run.Outcomes(), finalOutcomes...)
	outcomeViolations, err := f.checkOutcomes(outcomes)
	if err != nil {
		return nil, err
	}
	violations = append(violations, outcomeViolations...)
	if err := f.printUnevenEffects(o.Out); err != nil {
		return nil, err
	}
	overLimit, err := f.checkLimits()
	if err != nil {
		return nil, err
	}
	violations = append(violations, overLimit...)
	violations = append(violations, f.stopRouters(ctx, answeredTokens(outcomes))...)
	return append(violations, f.checkProcesses()...), nil
}

// answerOf returns the answers of engines of a version.
func answerOf(version string) load.AnswerFunc {
	return func(model string, body []byte, maxTokens int) ([]string, string) {
		return enginestub.VersionAnswer(version, model, body, maxTokens)
	}
}

func (f *fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	for _, r := range f.routers {
		if err := r.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// runLoad sends requests while it injects the faults of the seed.
func (f *fleet) runLoad(ctx context.Context, o Options) (*load.Run, error) {
	runner, err := f.newRunner(load.Pace{Duration: o.Duration, Rate: o.Rate}, o.Seed)
	if err != nil {
		return nil, err
	}
	var injecting sync.WaitGroup
	injecting.Add(1)
	start := time.Now()
	go func() {
		defer injecting.Done()
		injectFaults(ctx, planFaults(f, o.Seed, o.Duration, o.Restores), func(started fault) {
			fmt.Fprintf(o.Out, "%8.3f s  %s\n", time.Since(start).Seconds(), started.name)
		})
	}()
	run := runner.Run(ctx)
	injecting.Wait()
	return run, nil
}

// newRunner returns a runner that sends completions, half of them without an idempotency key,
// and calls of the plain service.
func (f *fleet) newRunner(pace load.Pace, seed uint64) (*load.Runner, error) {
	workload, err := load.NewWorkload(load.WorkloadConfig{
		Seed: seed, RunID: fmt.Sprintf("soak-%d-%d", seed, time.Now().UnixNano()), Accounts: accountCount, Model: model,
		PromptBytes: f.uneven.promptBytes(), MinOutputTokens: 5, MaxOutputTokens: 120, Stream: true, Service: service, ServiceShare: 0.2,
		UnkeyedShare: 0.5, Answer: answerOf(engineVersions[0]), OtherAnswers: []load.AnswerFunc{answerOf(engineVersions[2])},
	})
	if err != nil {
		return nil, err
	}
	client := load.NewClient(f.keys)
	addresses := make([]string, 0, len(f.routers))
	for _, r := range f.routers {
		addresses = append(addresses, r.callerAddr)
	}
	caches := make([]*load.AddressCache, 0, accountCount)
	for account := range accountCount {
		caches = append(caches, load.NewAddressCache(addresses, client.EntryFetcher(account), time.Now))
	}
	return load.NewRunner(workload, pace, load.Target{Name: "routers", Caller: load.NewCaller(client, caches, retryPolicy, nil)})
}

// checkRecovery waits until all routers are ready and sends requests that must all succeed.
func (f *fleet) checkRecovery(ctx context.Context) (violations []string, outcomes []load.Outcome) {
	if err := f.awaitReady(ctx); err != nil {
		return []string{"not recovered: " + err.Error()}, nil
	}
	runner, err := f.newRunner(load.Pace{Requests: finalRequests, Concurrency: 4}, 0)
	if err != nil {
		return []string{err.Error()}, nil
	}
	run := runner.Run(ctx)
	statuses := run.Report().Targets[0].Statuses
	if statuses[load.StatusOK] != finalRequests && f.budgetsHaveTokens(ctx) {
		violations = []string{fmt.Sprintf("not recovered: of %d requests after the last fault %v", finalRequests, statuses)}
	}
	return violations, run.Outcomes()
}

// budgetsHaveTokens reports whether all budgets still have enough tokens. If not, refusals
// are correct.
func (f *fleet) budgetsHaveTokens(ctx context.Context) bool {
	budgets, err := operate.Budgets(ctx, f.store)
	for _, b := range budgets {
		if b.Prepaid-b.Granted < prepaidTokens/10 && b.Granted-b.Spent < prepaidTokens/10 {
			return false
		}
	}
	return err == nil
}

// watchBudgets checks until stop is called that no budget has more tokens granted than were
// prepaid. violations must be called only after stop.
func (f *fleet) watchBudgets(ctx context.Context) (violations func() []string, stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var watching sync.WaitGroup
	var exceeded []string
	watching.Add(1)
	go func() {
		defer watching.Done()
		for sleep(ctx, budgetCheckInterval) {
			budgets, err := operate.Budgets(ctx, f.store)
			if err != nil {
				continue // the store is down
			}
			for _, b := range budgets {
				if b.Granted > b.Prepaid {
					exceeded = append(exceeded, fmt.Sprintf("%s: %d tokens granted of %d prepaid", b.Account, b.Granted, b.Prepaid))
				}
			}
		}
	}()
	return func() []string { return exceeded }, func() {
		cancel()
		watching.Wait()
	}
}

// checkOutcomes compares the outcomes of the requests with the runs at the engines and the
// service.
func (f *fleet) checkOutcomes(outcomes []load.Outcome) ([]string, error) {
	var violations []string
	statuses := map[load.Status]int{}
	for _, outcome := range outcomes {
		statuses[outcome.Status]++
	}
	for _, status := range []load.Status{load.StatusSpliced, load.StatusTruncated} {
		if statuses[status] > 0 {
			violations = append(violations, fmt.Sprintf("%d answers %s", statuses[status], status))
		}
	}
	if statuses[load.StatusOK] == 0 {
		violations = append(violations, "nothing was served")
	}
	evidence, err := load.NewClient(nil).GatherEvidence(load.Sources{Services: []string{f.serviceAddr}})
	if err != nil {
		return nil, err
	}
	if evidence.EngineRuns, err = f.engineRuns(); err != nil {
		return nil, err
	}
	result := load.Reconcile(outcomes, nil, evidence)
	return append(violations, result.Examples...), nil
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

// stopRouters shuts the routers down gracefully. It then checks that the answered tokens are
// accounted for, and that no budget exceeds its prepaid tokens.
func (f *fleet) stopRouters(ctx context.Context, answered int64) []string {
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
	var violations []string
	granted := int64(0)
	for _, b := range budgets {
		granted += b.Granted
		if b.Granted > b.Prepaid {
			violations = append(violations, fmt.Sprintf("%s: %d tokens granted of %d prepaid after shutdown", b.Account, b.Granted, b.Prepaid))
		}
	}
	if answered > granted {
		violations = append(violations, fmt.Sprintf("%d tokens answered, but only %d granted", answered, granted))
	}
	return violations
}

// checkProcesses returns the failures of the engines and routers, and the signs of faults in
// the routers' logs.
func (f *fleet) checkProcesses() []string {
	var violations []string
	for _, p := range f.engines {
		violations = append(violations, p.allFailures()...)
	}
	for _, r := range f.routers {
		violations = append(violations, r.allFailures()...)
		log, err := os.ReadFile(r.logPath)
		if err != nil {
			violations = append(violations, errors.Wrap(err, r.name).Error())
		}
		for _, pattern := range []string{`"event":900,`, "DATA RACE", "panic:"} {
			if n := bytes.Count(log, []byte(pattern)); n > 0 {
				violations = append(violations, fmt.Sprintf("%s: %d times %s in its log", r.name, n, pattern))
			}
		}
	}
	return violations
}
