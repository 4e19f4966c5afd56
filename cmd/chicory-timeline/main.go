// Command chicory-timeline merges the event logs of many processes into one timeline in
// causal order. It filters the timeline, or summarizes it by route or client account. Its
// exit status is 1 if a log cannot be read. Malformed lines are skipped, and their number is
// printed to standard error.
package main

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/timeline"
	"chicorytiller.example/chicorytiller/internal/version"
)

// options holds the command-line options.
type options struct {
	logs   []string
	filter timeline.Filter
	events string
	since  string
	until  string
	output string
}

// writers maps each value of --output to the function that writes this format.
var writers = map[string]func(io.Writer, []timeline.Line) error{
	"table": timeline.WriteTable, "json": timeline.WriteJSON, "requests": timeline.WriteRequests, "budgets": timeline.WriteBudgets,
}

func main() {
	o, err := parseOptions(os.Args[1:])
	if err == nil {
		err = run(o, os.Stdin, os.Stdout, os.Stderr)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "chicory-timeline:", err)
		os.Exit(1)
	}
}

func parseOptions(args []string) (*options, error) {
	o := &options{}
	app := kingpin.New("chicory-timeline", "Merges event logs into one time line in causal order.")
	app.Version(version.Version)
	app.HelpFlag.Short('h')
	app.Arg("log", "Event logs (JSON lines); without any, standard input is read").StringsVar(&o.logs)
	app.Flag("request", "Id of a request, or of one of its attempts: its lines and those of all its attempts").StringVar(&o.filter.Request)
	app.Flag("account", "Client account").StringVar(&o.filter.Account)
	app.Flag("router", "vm or vm@incarnation: lines that it wrote or that name it").StringVar(&o.filter.Router)
	app.Flag("backend", "Backend server").StringVar(&o.filter.Backend)
	app.Flag("cause", "Cause of a refusal or failure").StringVar(&o.filter.Cause)
	app.Flag("event", "Event numbers: N[,N]").StringVar(&o.events)
	app.Flag("since", "First time, RFC 3339").StringVar(&o.since)
	app.Flag("until", "Time past the last, RFC 3339").StringVar(&o.until)
	app.Flag("output", "table, json (the logs' own lines), requests (times by route and stage, refusals by cause) or budgets (use and doubt by account)").
		Default("table").EnumVar(&o.output, slices.Sorted(maps.Keys(writers))...)
	kingpin.MustParse(app.Parse(args))
	return o, o.parseFilter()
}

func (o *options) parseFilter() (err error) {
	if o.filter.Events, err = parseEventNumbers(o.events); err != nil {
		return err
	}
	if o.filter.Since, err = parseTime("--since", o.since); err != nil {
		return err
	}
	o.filter.Until, err = parseTime("--until", o.until)
	return err
}

func parseEventNumbers(text string) ([]event.Number, error) {
	var numbers []event.Number
	for _, field := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' }) {
		number, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil {
			return nil, errors.Errorf("--event: %q is not a number", field)
		}
		numbers = append(numbers, event.Number(number))
	}
	return numbers, nil
}

func parseTime(flag, text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	t, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return time.Time{}, errors.Errorf("%s: %q is not an RFC 3339 time such as 2026-01-31T13:45:00Z", flag, text)
	}
	return t, nil
}

func run(o *options, stdin io.Reader, stdout, stderr io.Writer) error {
	var log timeline.Log
	if len(o.logs) == 0 {
		if err := log.Read(stdin); err != nil {
			return err
		}
	}
	for _, name := range o.logs {
		if err := readLog(&log, name); err != nil {
			return err
		}
	}
	lines := o.filter.Apply(timeline.Merge(log.Lines))
	if log.MalformedLines > 0 {
		fmt.Fprintf(stderr, "chicory-timeline: %d damaged lines passed over\n", log.MalformedLines)
	}
	buffered := bufio.NewWriter(stdout)
	if err := writers[o.output](buffered, lines); err != nil {
		return err
	}
	return errors.WithStack(buffered.Flush())
}

func readLog(log *timeline.Log, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return errors.WithStack(err)
	}
	defer file.Close()
	return errors.Wrap(log.Read(file), name)
}
