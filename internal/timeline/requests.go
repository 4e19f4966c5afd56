package timeline

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/event"
)

// stage is one of the durations reported for answered requests, in milliseconds.
type stage struct {
	title    string
	duration func(*Line) (ms int64, ok bool)
}

// stages lists the stages in the order of the table's columns. DISPATCH is the part of the time
// to the first byte that is neither BUDGET nor SERVER: selecting servers, connecting, and
// failed attempts.
var stages = []stage{
	{"BUDGET", millisAttr("reserved_ms")},
	{"DISPATCH", func(l *Line) (int64, bool) {
		first, ok := intAttr(l, "first_ms")
		reserved, _ := intAttr(l, "reserved_ms")
		server, _ := intAttr(l, "server_ms")
		return max(0, first-reserved-server), ok
	}},
	{"SERVER", millisAttr("server_ms")},
	{"LONGEST PAUSE", millisAttr("pause_ms")},
	{"WHOLE", millisAttr("ms")},
}

func millisAttr(key string) func(*Line) (int64, bool) {
	return func(l *Line) (int64, bool) { return intAttr(l, key) }
}

// intAttr returns the value of an integer attribute, and whether the line has it.
func intAttr(l *Line, key string) (int64, bool) {
	n, err := strconv.ParseInt(l.Attr(key), 10, 64)
	return n, err == nil
}

// WriteRequests writes the durations of the stages of answered requests by route, and when
// and why requests were refused.
func WriteRequests(w io.Writer, lines []Line) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	writeStages(table, lines)
	fmt.Fprintln(table)
	writeRefusals(table, lines)
	return errors.Wrap(table.Flush(), "timeline: writing")
}

// writeStages writes one row per route: median, 90th and 99th percentile of each stage.
func writeStages(w io.Writer, lines []Line) {
	served := make(map[string][]*Line)
	countsByRoute := make(map[string]map[event.Number]int)
	for i := range lines {
		line := &lines[i]
		route := line.Attr("route")
		switch line.Number {
		case event.RequestServed:
			served[route] = append(served[route], line)
		case event.RequestAbandoned, event.ResponseAborted:
		default:
			continue
		}
		if countsByRoute[route] == nil {
			countsByRoute[route] = make(map[event.Number]int)
		}
		countsByRoute[route][line.Number]++
	}
	fmt.Fprint(w, "ROUTE\tANSWERED\tABANDONED\tCUT")
	for _, s := range stages {
		fmt.Fprintf(w, "\t%s MS", s.title)
	}
	fmt.Fprintln(w)
	for _, route := range slices.Sorted(maps.Keys(countsByRoute)) {
		counts := countsByRoute[route]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d", route, counts[event.RequestServed], counts[event.RequestAbandoned], counts[event.ResponseAborted])
		for _, s := range stages {
			fmt.Fprintf(w, "\t%s", stagePercentiles(s, served[route]))
		}
		fmt.Fprintln(w)
	}
}

// stagePercentiles returns the median, 90th and 99th percentile of a stage, or a dash if no
// line has it.
func stagePercentiles(s stage, lines []*Line) string {
	var values []int64
	for _, line := range lines {
		if ms, ok := s.duration(line); ok {
			values = append(values, ms)
		}
	}
	return formatPercentiles(values)
}

func formatPercentiles(values []int64) string {
	if len(values) == 0 {
		return "-"
	}
	slices.Sort(values)
	percentile := func(percent int) int64 { return values[min(len(values)-1, len(values)*percent/100)] }
	return fmt.Sprintf("%d / %d / %d", percentile(50), percentile(90), percentile(99))
}

// refusals summarizes the refused requests of one cause.
type refusals struct {
	cause       string
	count       int
	first, last time.Time
	millis      []int64 // from the arrival of each request to its refusal
}

// extend includes the time of one more refusal. The lines are in causal order, so their
// wall-clock times may go backwards.
func (r *refusals) extend(at time.Time) {
	if at.Before(r.first) {
		r.first = at
	}
	if at.After(r.last) {
		r.last = at
	}
}

// writeRefusals writes one row per cause, the most frequent first.
func writeRefusals(w io.Writer, lines []Line) {
	byCause := make(map[string]*refusals)
	for i := range lines {
		line := &lines[i]
		if line.Number != event.RequestRefused {
			continue
		}
		cause := line.Attr(event.KeyCause)
		r := byCause[cause]
		if r == nil {
			r = &refusals{cause: cause, first: line.Time, last: line.Time}
			byCause[cause] = r
		}
		r.count++
		r.extend(line.Time)
		if ms, ok := intAttr(line, "ms"); ok {
			r.millis = append(r.millis, ms)
		}
	}
	sorted := slices.SortedFunc(maps.Values(byCause), func(a, b *refusals) int {
		return cmp.Or(cmp.Compare(b.count, a.count), cmp.Compare(a.cause, b.cause))
	})
	fmt.Fprintln(w, "REFUSED\tREQUESTS\tFIRST\tLAST\tAFTER MS")
	for _, r := range sorted {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\n", r.cause, r.count, r.first.Format(timeLayout), r.last.Format(timeLayout), formatPercentiles(r.millis))
	}
}
