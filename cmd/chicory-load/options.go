package main

import (
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/version"
)

// options holds the command-line options.
type options struct {
	routers []string
	direct  string
	paired  bool
	keys    []string

	requests    int
	duration    time.Duration
	rate        float64
	concurrency int

	seed         uint64
	model        string
	promptBytes  int
	outputTokens tokenRange
	stream       bool
	service      string
	serviceShare float64

	deadline      time.Duration
	tryTimeout    time.Duration
	maxTries      int
	maxRetryAfter time.Duration
	backoff       time.Duration
	rotate        bool

	engines  string
	services string
	store    string

	output string
	report string
}

func parseOptions(args []string) *options {
	o := &options{outputTokens: tokenRange{min: 64, max: 64}}
	app := kingpin.New("chicory-load", "Load client of a chicorytiller fleet; checks every answer.")
	app.Version(version.Version)
	app.HelpFlag.Short('h')
	targetFlags(app, o)
	workloadFlags(app, o)
	retryFlags(app, o)
	checkFlags(app, o)
	kingpin.MustParse(app.Parse(args))
	return o
}

func targetFlags(app *kingpin.Application, o *options) {
	app.Flag("router", "IP:port of a router's callers' listener, asked for the entry answer (repeatable)").StringsVar(&o.routers)
	app.Flag("direct", "IP:port of an engine, called without a router").StringVar(&o.direct)
	app.Flag("paired", "Run each request both through the routers and at --direct, and compare").BoolVar(&o.paired)
	app.Flag("key", "Bearer key of a client account (repeatable: requests are spread over them)").Envar("CHICORY_KEY").StringsVar(&o.keys)
}

func workloadFlags(app *kingpin.Application, o *options) {
	app.Flag("requests", "Number of logical requests").IntVar(&o.requests)
	app.Flag("duration", "Make requests for this long").DurationVar(&o.duration)
	app.Flag("rate", "Requests a second, open loop").Float64Var(&o.rate)
	app.Flag("concurrency", "Requests at once, closed loop").Default("8").IntVar(&o.concurrency)
	app.Flag("seed", "Seed that fixes the workload").Default("1").Uint64Var(&o.seed)
	app.Flag("model", "Model to ask").Default("chicory-small").StringVar(&o.model)
	app.Flag("prompt-bytes", "Bytes of each prompt").Default("256").IntVar(&o.promptBytes)
	app.Flag("output-tokens", "Tokens of each answer: N or MIN-MAX").Default("64").SetValue(&o.outputTokens)
	app.Flag("stream", "Ask for server-sent events").Default("true").BoolVar(&o.stream)
	app.Flag("service", "Plain service for non-idempotent confirm calls").StringVar(&o.service)
	app.Flag("service-share", "Part of the requests that are confirm calls, 0..1").Float64Var(&o.serviceShare)
}

func retryFlags(app *kingpin.Application, o *options) {
	app.Flag("deadline", "Time for a logical request with all its tries").Default("60s").DurationVar(&o.deadline)
	app.Flag("try-timeout", "Time for one try with its whole answer; 0: the rest of the deadline").DurationVar(&o.tryTimeout)
	app.Flag("max-tries", "Most tries of a logical request").Default("50").IntVar(&o.maxTries)
	app.Flag("max-retry-after", "A longer Retry-After ends the request").Default("10s").DurationVar(&o.maxRetryAfter)
	app.Flag("rotate", "Spread requests over all addresses of the entry answer, rather than use the best first").BoolVar(&o.rotate)
	app.Flag("backoff", "First wait after a broken try; doubles up to 2s").Default("50ms").DurationVar(&o.backoff)
}

func checkFlags(app *kingpin.Application, o *options) {
	app.Flag("engines", "IP:port,... of the engine stand-ins, to check refusals against GET /v1/runs").StringVar(&o.engines)
	app.Flag("services", "IP:port,... of the service stand-ins, to check runs against GET /runs").StringVar(&o.services)
	app.Flag("store", "IP:port of the store, to check budgets").StringVar(&o.store)
	app.Flag("output", "table or json").Default("table").EnumVar(&o.output, "table", "json")
	app.Flag("report", "Write the JSON report to this file as well").StringVar(&o.report)
}

// tokenRange is a number of tokens, N, or a range, MIN-MAX. It implements kingpin.Value.
type tokenRange struct {
	min, max int
}

// Set implements kingpin.Value.
func (t *tokenRange) Set(text string) error {
	low, high, ranged := strings.Cut(text, "-")
	if !ranged {
		high = low
	}
	minimum, err := strconv.Atoi(low)
	if err != nil {
		return errors.Errorf("%q is neither N nor MIN-MAX", text)
	}
	maximum, err := strconv.Atoi(high)
	if err != nil {
		return errors.Errorf("%q is neither N nor MIN-MAX", text)
	}
	t.min, t.max = minimum, maximum
	return nil
}

// String implements kingpin.Value.
func (t *tokenRange) String() string {
	return strconv.Itoa(t.min) + "-" + strconv.Itoa(t.max)
}
