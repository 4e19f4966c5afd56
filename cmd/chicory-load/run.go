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

// reportMode is the file mode of a report.
const reportMode = 0o644

// run makes the run and writes its report. It returns the number of faults.
func run(ctx context.Context, o *options, stdout io.Writer) (int, error) {
	if len(o.keys) == 0 && len(o.routers) == 0 {
		o.keys = []string{"direct"} // an engine called directly asks for no key
	}
	client := load.NewClient(o.keys)
	targets, err := targetsOf(o, client)
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
	sources, err := sourcesOf(o, client)
	if err != nil {
		return 0, err
	}
	finished := runner.Run(ctx)
	report := finished.Report()
	if report.Reconciliation, err = reconcile(client, sources, finished); err != nil {
		return 0, err
	}
	return report.Broken(), write(o, report, stdout)
}

func workloadConfig(o *options) load.WorkloadConfig {
	return load.WorkloadConfig{
		Seed:         o.seed,
		RunID:        uuid.NewString(), // fresh, so that a second run's keys are new requests
		Accounts:     len(o.keys),
		Model:        o.model,
		PromptBytes:  o.promptBytes,
		OutputMin:    o.outputTokens.min,
		OutputMax:    o.outputTokens.max,
		Stream:       o.stream,
		Service:      o.service,
		ServiceShare: o.serviceShare,
		Answer:       enginestub.Answer,
	}
}

// targetsOf gives the routers first, so that pairs tell what they add.
func targetsOf(o *options, client *load.Client) ([]load.Target, error) {
	var targets []load.Target
	if len(o.routers) > 0 && (o.paired || o.direct == "") {
		targets = append(targets, load.Target{Name: "routers", Caller: routersCaller(o, client)})
	}
	if o.direct != "" {
		targets = append(targets, load.Target{Name: "direct", Caller: directCaller(o, client)})
	}
	switch {
	case len(targets) == 0:
		return nil, errors.New("give --router or --direct")
	case o.paired && len(targets) != 2:
		return nil, errors.New("--paired needs --router and --direct")
	case o.direct != "" && o.serviceShare > 0:
		return nil, errors.New("--service-share can't be used with --direct")
	}
	return targets, nil
}

func policy(o *options) load.RetryPolicy {
	return load.RetryPolicy{
		Deadline:      o.deadline,
		TryTimeout:    o.tryTimeout,
		MaxTries:      o.maxTries,
		MaxRetryAfter: o.maxRetryAfter,
		Backoff:       o.backoff,
		Rotate:        o.rotate,
	}
}

func routersCaller(o *options, client *load.Client) *load.Caller {
	var directories []*load.Directory
	for account := range o.keys {
		directories = append(directories, load.NewDirectory(o.routers, client.FetchEntry(account), time.Now))
	}
	return load.NewCaller(client, directories, policy(o), nil)
}

// directCaller calls one engine: its directory never asks a router.
func directCaller(o *options, client *load.Client) *load.Caller {
	fixed := func(string) (load.EntryAnswer, error) {
		return load.EntryAnswer{Addresses: []string{o.direct}, TTL: time.Hour}, nil
	}
	directory := load.NewDirectory([]string{o.direct}, fixed, time.Now)
	directories := make([]*load.Directory, len(o.keys))
	for i := range directories {
		directories[i] = directory
	}
	return load.NewCaller(client, directories, policy(o), nil)
}

// sourcesOf names the evidence to read, less what engines ran before this run.
func sourcesOf(o *options, client *load.Client) (load.Sources, error) {
	sources := load.Sources{
		Engines:  splitList(o.engines),
		Services: splitList(o.services),
	}
	if o.store != "" {
		sources.Budgets = func() ([]load.Budget, error) { return budgetsOf(o.store) }
	}
	var err error
	sources.EarlierRuns, err = client.EngineRuns(sources.Engines)
	return sources, err
}

// storeTimeout bounds the reading of the budgets.
const storeTimeout = 5 * time.Second

func budgetsOf(address string) ([]load.Budget, error) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	known, err := operate.Budgets(ctx, platform.NewStore(address))
	budgets := make([]load.Budget, 0, len(known))
	for _, b := range known {
		budgets = append(budgets, load.Budget{Account: b.Account, Prepaid: b.Prepaid, Granted: b.Granted})
	}
	return budgets, err
}

// reconcile holds what was answered against the evidence.
func reconcile(client *load.Client, sources load.Sources, finished *load.Run) (*load.Reconciliation, error) {
	if sources.Empty() {
		return nil, nil
	}
	evidence, err := client.Gather(sources)
	if err != nil {
		return nil, err
	}
	return load.Reconcile(finished.Outcomes(), finished.Direct(), evidence), nil
}

func splitList(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' })
}

func write(o *options, report *load.Report, stdout io.Writer) error {
	data, err := report.JSON()
	if err != nil {
		return err
	}
	if o.report != "" {
		if err := os.WriteFile(o.report, data, reportMode); err != nil {
			return errors.WithStack(err)
		}
	}
	if o.output == "json" {
		_, err = stdout.Write(data)
		return errors.WithStack(err)
	}
	return report.WriteTable(stdout)
}
