package main

import (
	"context"
	"io"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/enginestub"
	"chicorytiller.example/chicorytiller/internal/load"
	"chicorytiller.example/chicorytiller/internal/operate"
	"chicorytiller.example/chicorytiller/platform"
)

const reportFileMode = 0o644

// run generates the load and writes the report. It returns the number of violations found.
func run(ctx context.Context, o *options, stdout io.Writer) (int, error) {
	if len(o.keys) == 0 && len(o.routers) == 0 {
		o.keys = []string{"direct"} // placeholder: engines require no key
	}
	client := load.NewClient(o.keys)
	targets, err := newTargets(o, client)
	if err != nil {
		return 0, err
	}
	workload, err := load.NewWorkload(workloadConfig(o))
	if err != nil {
		return 0, err
	}
	pace := load.Pace{Requests: o.requests, Duration: o.duration, Rate: o.rate, Concurrency: o.concurrency}
	runner, err := load.NewRunner(workload, pace, targets...)
	if err != nil {
		return 0, err
	}
	sources, err := newSources(o, client)
	if err != nil {
		return 0, err
	}
	result := runner.Run(ctx)
	report := result.Report()
	if report.Reconciliation, err = reconcile(client, sources, result); err != nil {
		return 0, err
	}
	return report.Violations(), writeReport(o, report, stdout)
}

func workloadConfig(o *options) load.WorkloadConfig {
	return load.WorkloadConfig{
		Seed:            o.seed,
		RunID:           uuid.NewString(), // new for each run, so that idempotency keys are not reused
		Accounts:        len(o.keys),
		Model:           o.model,
		PromptBytes:     o.promptBytes,
		MinOutputTokens: o.outputTokens.min,
		MaxOutputTokens: o.outputTokens.max,
		Stream:          o.stream,
		Service:         o.service,
		ServiceShare:    o.serviceShare,
		Answer:          enginestub.Answer,
	}
}

// newTargets returns the targets of the load. The routers come first, so that the paired
// differences, first target minus second, are the latency that the routers add.
func newTargets(o *options, client *load.Client) ([]load.Target, error) {
	var targets []load.Target
	if len(o.routers) > 0 && (o.paired || o.direct == "") {
		targets = append(targets, load.Target{Name: "routers", Caller: newRouterCaller(o, client)})
	}
	if o.direct != "" {
		targets = append(targets, load.Target{Name: "direct", Caller: newDirectCaller(o, client)})
	}
	switch {
	case len(targets) == 0:
		return nil, errors.New("--router or --direct is required")
	case o.paired && len(targets) != 2:
		return nil, errors.New("--paired needs --router and --direct")
	case o.maxTries < 1:
		return nil, errors.New("--max-tries must be at least 1")
	case o.direct != "" && o.serviceShare > 0:
		return nil, errors.New("--service-share can't be used with --direct")
	}
	return targets, nil
}

func retryPolicy(o *options) load.RetryPolicy {
	return load.RetryPolicy{
		Deadline:      o.deadline,
		TryTimeout:    o.tryTimeout,
		MaxTries:      o.maxTries,
		MaxRetryAfter: o.maxRetryAfter,
		Backoff:       o.backoff,
		Rotate:        o.rotate,
	}
}

func newRouterCaller(o *options, client *load.Client) *load.Caller {
	var caches []*load.AddressCache
	for account := range o.keys {
		caches = append(caches, load.NewAddressCache(o.routers, client.EntryFetcher(account), time.Now))
	}
	return load.NewCaller(client, caches, retryPolicy(o), nil)
}

// newDirectCaller returns a caller that bypasses the routers: its caches always
// return the address of one engine.
func newDirectCaller(o *options, client *load.Client) *load.Caller {
	fetch := func(string) (load.EntryResponse, error) {
		return load.EntryResponse{Addresses: []string{o.direct}, TTL: time.Hour}, nil
	}
	cache := load.NewAddressCache([]string{o.direct}, fetch, time.Now)
	caches := make([]*load.AddressCache, len(o.keys))
	for i := range caches {
		caches[i] = cache
	}
	return load.NewCaller(client, caches, retryPolicy(o), nil)
}

// newSources returns the sources of the evidence against which answers are checked. It must be
// called before the load starts: it records the runs that the engines already report, so that
// these are not attributed to the load.
func newSources(o *options, client *load.Client) (load.Sources, error) {
	sources := load.Sources{
		Engines:  splitList(o.engines),
		Services: splitList(o.services),
	}
	if o.store != "" {
		sources.Budgets = func() ([]load.Budget, error) { return readBudgets(o.store) }
	}
	var err error
	sources.PriorRuns, err = client.EngineRuns(sources.Engines)
	return sources, err
}

// storeTimeout limits the read of the budgets from the store.
const storeTimeout = 5 * time.Second

func readBudgets(address string) ([]load.Budget, error) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	stored, err := operate.Budgets(ctx, platform.NewStore(address))
	budgets := make([]load.Budget, 0, len(stored))
	for _, b := range stored {
		budgets = append(budgets, load.Budget{Account: b.Account, Prepaid: b.Prepaid, Granted: b.Granted})
	}
	return budgets, err
}

// reconcile checks the outcomes against the evidence from sources. It returns nil if there
// are no sources.
func reconcile(client *load.Client, sources load.Sources, result *load.Run) (*load.Reconciliation, error) {
	if sources.Empty() {
		return nil, nil
	}
	evidence, err := client.GatherEvidence(sources)
	if err != nil {
		return nil, err
	}
	return load.Reconcile(result.Outcomes(), result.DirectOutcomes(), evidence), nil
}

func splitList(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' })
}

func writeReport(o *options, report *load.Report, stdout io.Writer) error {
	data, err := report.JSON()
	if err != nil {
		return err
	}
	if o.report != "" {
		if err := os.WriteFile(o.report, data, reportFileMode); err != nil {
			return errors.WithStack(err)
		}
	}
	if o.output == "json" {
		_, err = stdout.Write(data)
		return errors.WithStack(err)
	}
	return report.WriteTable(stdout)
}
