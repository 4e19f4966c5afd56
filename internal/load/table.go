package load

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// WriteTable writes the report as plain-text tables.
func (r *Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for i := range r.Targets {
		writeTarget(table, &r.Targets[i], r.ElapsedSeconds)
	}
	if r.Paired != nil {
		writePaired(table, r.Paired)
	}
	if r.Reconciliation != nil {
		writeReconciliation(table, r.Reconciliation)
	}
	return errors.WithStack(table.Flush())
}

// The functions below end each block with an empty line: it ends the columns of a
// tabwriter, so that each block has its own column widths.

func writeTarget(w io.Writer, t *TargetReport, seconds float64) {
	fmt.Fprintf(w, "target %s: %d requests in %.1f s (%.1f/s), %d tokens (%.0f/s)\n\n",
		t.Name, t.Requests, seconds, t.RequestsPerSecond, t.Tokens, t.TokensPerSecond)
	fmt.Fprintln(w, "ok\trefused\tlost\tspliced\ttruncated\tretries\tbroken tries")
	fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\t%d\n\n",
		t.Statuses[StatusOK], t.Statuses[StatusRefused], t.Statuses[StatusLost], t.Statuses[StatusSpliced],
		t.Statuses[StatusTruncated], t.Retries, t.BrokenTries)
	writeLatencies(w, t)
	for _, refusal := range t.Refusals {
		fmt.Fprintf(w, "refused\t%s\t%s\tHTTP %d\t%d\n", refusal.Cause, refusal.Outcome, refusal.Status, refusal.Count)
	}
	for _, fault := range t.Faults {
		fmt.Fprintf(w, "fault: request %d %s: %s\n", fault.Index, fault.Status, fault.Error)
	}
	fmt.Fprintln(w)
}

func writeLatencies(w io.Writer, t *TargetReport) {
	fmt.Fprintln(w, "ms\tcount\tp50\tp95\tp99\tmax")
	writePercentiles(w, "time to first token", t.TimeToFirstToken)
	writePercentiles(w, "between tokens", t.InterTokenTime)
	writePercentiles(w, "whole", t.TotalTime)
	if t.StartLag.Count > 0 {
		writePercentiles(w, "start lag", t.StartLag)
	}
	fmt.Fprintln(w)
}

func writePercentiles(w io.Writer, name string, p Percentiles) {
	fmt.Fprintf(w, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\n", name, p.Count, p.P50, p.P95, p.P99, p.Max)
}

func writePaired(w io.Writer, p *PairedReport) {
	fmt.Fprintf(w, "paired: first target less second (%d pairs)\n\n", p.Pairs)
	fmt.Fprintln(w, "ms\tp50\tp99")
	fmt.Fprintf(w, "time to first token, difference of percentiles\t%.3f\t%.3f\n", p.FirstTokenP50, p.FirstTokenP99)
	fmt.Fprintf(w, "time to first token, pair by pair\t%.3f\t%.3f\n", p.PairP50, p.PairP99)
	fmt.Fprintf(w, "whole, difference of percentiles\t%.3f\t%.3f\n\n", p.TotalTimeP50, p.TotalTimeP99)
}

func writeReconciliation(w io.Writer, r *Reconciliation) {
	fmt.Fprintf(w, "checked against: %s\n\n", strings.Join(r.CheckedAgainst, ", "))
	fmt.Fprintf(w, "untrue refusals\t%d\n", r.FalseNotRun)
	fmt.Fprintf(w, "runs that no try explains\t%d\n", r.UnexplainedRuns)
	fmt.Fprintf(w, "duplicate runs of non-idempotent calls\t%d\n", r.DuplicateRuns)
	fmt.Fprintf(w, "confirmed calls that never ran\t%d\n", r.ConfirmedWithoutRun)
	fmt.Fprintf(w, "tokens answered and not granted\t%d\n", r.UngrantedTokens)
	fmt.Fprintf(w, "overspend, tokens\t%d\n", r.OverspentTokens)
	fmt.Fprintf(w, "false refusals for lack of budget\t%d\n\n", r.FalseBudgetRefusals)
	for _, example := range r.Examples {
		fmt.Fprintf(w, "example: %s\n", example)
	}
}
