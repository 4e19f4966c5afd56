package load

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// Run holds the results of a finished load run.
type Run struct {
	Elapsed   time.Duration
	targets   []Target
	recorders []*Recorder
	pairs     *pairRecorder
}

// Report summarizes a load run.
type Report struct {
	ElapsedSeconds float64         `json:"elapsed_seconds"`
	Targets        []TargetReport  `json:"targets"`
	Paired         *PairedReport   `json:"paired,omitempty"`
	Reconciliation *Reconciliation `json:"reconciliation,omitempty"`
}

// TargetReport summarizes the requests to one target.
type TargetReport struct {
	Name              string         `json:"name"`
	Requests          int            `json:"requests"`
	Statuses          map[Status]int `json:"statuses"`
	Refusals          []RefusalCount `json:"refusals"`
	Retries           int            `json:"retries"`
	BrokenTries       int            `json:"broken_tries"`
	Tokens            int64          `json:"tokens"`
	RequestsPerSecond float64        `json:"requests_per_second"`
	TokensPerSecond   float64        `json:"tokens_per_second"`
	TimeToFirstToken  Percentiles    `json:"time_to_first_token"`
	InterTokenTime    Percentiles    `json:"between_tokens"`
	TotalTime         Percentiles    `json:"whole"`
	StartLag          Percentiles    `json:"start_lag"` // behind the schedule; open loop only
	Faults            []Fault        `json:"faults"`
}

// RefusalCount is the number of refusals of one kind.
type RefusalCount struct {
	Cause   string `json:"cause"`
	Outcome string `json:"outcome"`
	Status  int    `json:"status"`
	Count   int    `json:"count"`
}

// Percentiles summarizes a latency distribution in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// PairedReport holds differences in milliseconds: first target minus second target.
type PairedReport struct {
	Pairs int `json:"pairs"`
	// Differences between the percentiles of the two targets.
	FirstTokenP50 float64 `json:"first_token_p50_ms"`
	FirstTokenP99 float64 `json:"first_token_p99_ms"`
	TotalTimeP50  float64 `json:"whole_p50_ms"`
	TotalTimeP99  float64 `json:"whole_p99_ms"`
	// Percentiles of the per-request differences in time to first token.
	PairP50 float64 `json:"pair_p50_ms"`
	PairP99 float64 `json:"pair_p99_ms"`
}

// Report returns the report of the run.
func (r *Run) Report() *Report {
	report := &Report{ElapsedSeconds: r.Elapsed.Seconds()}
	for i, target := range r.targets {
		report.Targets = append(report.Targets, r.recorders[i].report(target.Name, r.Elapsed))
	}
	if len(report.Targets) == 2 {
		report.Paired = r.pairedReport(report.Targets[0], report.Targets[1])
	}
	return report
}

// Outcomes returns the outcomes of the first target, for Reconcile.
func (r *Run) Outcomes() []Outcome {
	return r.recorders[0].outcomes
}

// DirectOutcomes returns the outcomes of the second target, or nil if there is none.
func (r *Run) DirectOutcomes() []Outcome {
	if len(r.recorders) < 2 {
		return nil
	}
	return r.recorders[1].outcomes
}

func (r *Recorder) report(name string, elapsed time.Duration) TargetReport {
	report := TargetReport{
		Name:              name,
		Requests:          len(r.outcomes),
		Statuses:          r.statuses,
		Retries:           r.retries,
		BrokenTries:       r.brokenTries,
		Tokens:            r.tokens,
		RequestsPerSecond: float64(len(r.outcomes)) / elapsed.Seconds(),
		TokensPerSecond:   float64(r.tokens) / elapsed.Seconds(),
		TimeToFirstToken:  newPercentiles(r.timeToFirstToken),
		InterTokenTime:    newPercentiles(r.interTokenTime),
		TotalTime:         newPercentiles(r.totalTime),
		StartLag:          newPercentiles(r.startLag),
		Faults:            r.faults,
	}
	for kind, count := range r.refusals {
		report.Refusals = append(report.Refusals, RefusalCount{
			Cause: kind.Cause, Outcome: kind.Outcome, Status: kind.Status, Count: count,
		})
	}
	slices.SortFunc(report.Refusals, func(a, b RefusalCount) int { return b.Count - a.Count })
	return report
}

func newPercentiles(h *hdrhistogram.Histogram) Percentiles {
	return Percentiles{
		Count: h.TotalCount(),
		P50:   milliseconds(time.Duration(h.ValueAtQuantile(50))),
		P95:   milliseconds(time.Duration(h.ValueAtQuantile(95))),
		P99:   milliseconds(time.Duration(h.ValueAtQuantile(99))),
		Max:   milliseconds(time.Duration(h.Max())),
	}
}

func (r *Run) pairedReport(first, second TargetReport) *PairedReport {
	differences := slices.Clone(r.pairs.differences)
	slices.Sort(differences)
	return &PairedReport{
		Pairs:         len(differences),
		FirstTokenP50: first.TimeToFirstToken.P50 - second.TimeToFirstToken.P50,
		FirstTokenP99: first.TimeToFirstToken.P99 - second.TimeToFirstToken.P99,
		TotalTimeP50:  first.TotalTime.P50 - second.TotalTime.P50,
		TotalTimeP99:  first.TotalTime.P99 - second.TotalTime.P99,
		PairP50:       milliseconds(quantile(differences, 0.50)),
		PairP99:       milliseconds(quantile(differences, 0.99)),
	}
}

// quantile returns the q-quantile of sorted by nearest rank.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1)+0.5)]
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// Violations returns the number of violated guarantees: lost, spliced and truncated
// answers, and those that the reconciliation found.
func (r *Report) Violations() int {
	count := 0
	for _, target := range r.Targets {
		count += target.Statuses[StatusLost] + target.Statuses[StatusSpliced] + target.Statuses[StatusTruncated]
	}
	if r.Reconciliation != nil {
		count += r.Reconciliation.violations()
	}
	return count
}

// JSON returns the report as indented JSON.
func (r *Report) JSON() ([]byte, error) {
	data, err := json.MarshalIndent(r, "", "  ")
	return append(data, '\n'), errors.WithStack(err)
}
