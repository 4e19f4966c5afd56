package load

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// Run is a finished run, from which a report is made.
type Run struct {
	Elapsed time.Duration
	targets []Target
	records []*Recorder
	pairs   *pairRecorder
}

// Report is the result of a run.
type Report struct {
	ElapsedSeconds float64         `json:"elapsed_seconds"`
	Targets        []TargetReport  `json:"targets"`
	Paired         *PairedReport   `json:"paired,omitempty"`
	Reconciliation *Reconciliation `json:"reconciliation,omitempty"`
}

// TargetReport is what one target did.
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
	StartLag          Percentiles    `json:"start_lag"` // open loop only
	Faults            []Fault        `json:"faults"`
}

// RefusalCount counts the refusals of one kind.
type RefusalCount struct {
	Cause   string `json:"cause"`
	Outcome string `json:"outcome"`
	Status  int    `json:"status"`
	Count   int    `json:"count"`
}

// Percentiles of a latency, in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// PairedReport compares the first target with the second to the first token.
type PairedReport struct {
	Pairs int `json:"pairs"`
	// Differences of the targets' percentiles.
	FirstTokenP50 float64 `json:"first_token_p50_ms"`
	FirstTokenP99 float64 `json:"first_token_p99_ms"`
	TotalTimeP50  float64 `json:"whole_p50_ms"`
	TotalTimeP99  float64 `json:"whole_p99_ms"`
	// Percentiles of the differences pair by pair.
	PairP50 float64 `json:"pair_p50_ms"`
	PairP99 float64 `json:"pair_p99_ms"`
}

// Report makes the report of a run.
func (r *Run) Report() *Report {
	report := &Report{ElapsedSeconds: r.Elapsed.Seconds()}
	for i, target := range r.targets {
		report.Targets = append(report.Targets, r.records[i].report(target.Name, r.Elapsed))
	}
	if len(report.Targets) == 2 {
		report.Paired = r.paired(report.Targets[0], report.Targets[1])
	}
	return report
}

// Outcomes gives the logical requests of the first target, for reconciling.
func (r *Run) Outcomes() []Outcome {
	return r.records[0].done
}

// DirectOutcomes gives the logical requests of the second target, if there is one.
func (r *Run) DirectOutcomes() []Outcome {
	if len(r.records) < 2 {
		return nil
	}
	return r.records[1].done
}

func (r *Recorder) report(name string, elapsed time.Duration) TargetReport {
	report := TargetReport{
		Name:              name,
		Requests:          len(r.done),
		Statuses:          r.statuses,
		Retries:           r.retries,
		BrokenTries:       r.broken,
		Tokens:            r.tokens,
		RequestsPerSecond: float64(len(r.done)) / elapsed.Seconds(),
		TokensPerSecond:   float64(r.tokens) / elapsed.Seconds(),
		TimeToFirstToken:  percentilesOf(r.first),
		InterTokenTime:    percentilesOf(r.between),
		TotalTime:         percentilesOf(r.whole),
		StartLag:          percentilesOf(r.lag),
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

func percentilesOf(h *hdrhistogram.Histogram) Percentiles {
	return Percentiles{
		Count: h.TotalCount(),
		P50:   milliseconds(time.Duration(h.ValueAtQuantile(50))),
		P95:   milliseconds(time.Duration(h.ValueAtQuantile(95))),
		P99:   milliseconds(time.Duration(h.ValueAtQuantile(99))),
		Max:   milliseconds(time.Duration(h.Max())),
	}
}

func (r *Run) paired(first, second TargetReport) *PairedReport {
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

// quantile takes the nearest rank of sorted values.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1)+0.5)]
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// Violations counts what must be zero: answers lost, spliced or truncated, and what
// the reconciliation found.
func (r *Report) Violations() int {
	count := 0
	for _, target := range r.Targets {
		count += target.Statuses[StatusLost] + target.Statuses[StatusSpliced] + target.Statuses[StatusTruncated]
	}
	if r.Reconciliation != nil {
		count += r.Reconciliation.broken()
	}
	return count
}

// JSON writes the report as indented JSON.
func (r *Report) JSON() ([]byte, error) {
	data, err := json.MarshalIndent(r, "", "  ")
	return append(data, '\n'), errors.WithStack(err)
}
