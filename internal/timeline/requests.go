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

// stage is a part of a request's time, in milliseconds.
type stage struct {
	title string
	of    func(*Line) (ms int64, known bool)
}

// stages are in the order in which a request goes through them. Dispatch is what is left of
// the time to the first byte: the choice of servers, connections and attempts that failed.
var stages = []stage{
	{"BUDGET", attrMillis("reserved_ms")},
	{"DISPATCH", func(l *Line) (int64, bool) {
		first, known := number(l, "first_ms")
		reserved, _ := number(l, "reserved_ms")
		server, _ := number(l, "server_ms")
		return max(0, first-reserved-server), known
	}},
	{"SERVER", attrMillis("server_ms")},
	{"LONGEST PAUSE", attrMillis("pause_ms")},
	{"WHOLE", attrMillis("ms")},
}

func attrMillis(key string) func(*Line) (int64, bool) {
	return func(l *Line) (int64, bool) { return number(l, key) }
}

// number is an attribute's whole number; it is unknown if the line has none.
func number(l *Line, key string) (int64, bool) {
	n, err := strconv.ParseInt(l.Attr(key), 10, 64)
	return n, err == nil
}

// WriteRequests writes where the time of answered requests went, by route, and when and why
// requests were refused.
func WriteRequests(w io.Writer, lines []Line) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	writeStages(table, lines)
	fmt.Fprintln(table)
	writeRefusals(table, lines)
	return errors.Wrap(table.Flush(), "timeline: writing")
}

// writeStages writes a row a route: median, 90th and 99th percentile of each stage.
func writeStages(w io.Writer, lines []Line) {
	byRoute := make(map[string][]*Line)
	ended := make(map[string]map[event.Number]int)
	for i := range lines {
		line := &lines[i]
		route := line.Attr("route")
		switch line.Number {
		case event.RequestServed:
			byRoute[route] = append(byRoute[route], line)
		case event.RequestAbandoned, event.ResponseAborted:
		default:
			continue
		}
		if ended[route] == nil {
			ended[route] = make(map[event.Number]int)
		}
		ended[route][line.Number]++
	}
	fmt.Fprint(w, "ROUTE\tANSWERED\tABANDONED\tCUT")
	for _, s := range stages {
		fmt.Fprintf(w, "\t%s MS", s.title)
	}
	fmt.Fprintln(w)
	for _, route := range slices.Sorted(maps.Keys(ended)) {
		counts := ended[route]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d", route, counts[event.RequestServed], counts[event.RequestAbandoned], counts[event.ResponseAborted])
		for _, s := range stages {
			fmt.Fprintf(w, "\t%s", percentiles(s, byRoute[route]))
		}
		fmt.Fprintln(w)
	}
}

// percentiles are the median, 90th and 99th percentile of a stage, or a dash.
func percentiles(s stage, lines []*Line) string {
	var values []int64
	for _, line := range lines {
		if ms, known := s.of(line); known {
			values = append(values, ms)
		}
	}
	return percentilesOf(values)
}

func percentilesOf(values []int64) string {
	if len(values) == 0 {
		return "-"
	}
	slices.Sort(values)
	at := func(percent int) int64 { return values[min(len(values)-1, len(values)*percent/100)] }
	return fmt.Sprintf("%d / %d / %d", at(50), at(90), at(99))
}

// refusals are those of one cause.
type refusals struct {
	cause       string
	count       int
	first, last time.Time
	millis      []int64 // that the requests had waited
}

// span takes the time of one more refusal: lines are in causal order, not in that of clocks.
func (r *refusals) span(at time.Time) {
	if at.Before(r.first) {
		r.first = at
	}
	if at.After(r.last) {
		r.last = at
	}
}

// writeRefusals writes a row a cause, the most frequent first.
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
		r.span(line.Time)
		if ms, known := number(line, "ms"); known {
			r.millis = append(r.millis, ms)
		}
	}
	sorted := slices.SortedFunc(maps.Values(byCause), func(a, b *refusals) int {
		return cmp.Or(cmp.Compare(b.count, a.count), cmp.Compare(a.cause, b.cause))
	})
	fmt.Fprintln(w, "REFUSED\tREQUESTS\tFIRST\tLAST\tAFTER MS")
	for _, r := range sorted {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\n", r.cause, r.count, r.first.Format(timeLayout), r.last.Format(timeLayout), percentilesOf(r.millis))
	}
}
