package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms.
const (
	lowestLatency  = time.Microsecond
	highestLatency = 10 * time.Minute
	latencyDigits  = 3
)

// Recorder gathers the results of one target. It is safe for concurrent use.
type Recorder struct {
	mu       sync.Mutex
	first    *hdrhistogram.Histogram // to the first token
	between  *hdrhistogram.Histogram // between chunks of tokens
	whole    *hdrhistogram.Histogram
	lag      *hdrhistogram.Histogram // behind the open loop's schedule
	statuses map[Status]int
	refusals map[RefusalKind]int
	faults   []Fault
	done     []Outcome
	retries  int
	broken   int
	tokens   int64
}

// RefusalKind groups refusals.
type RefusalKind struct {
	Cause   string
	Outcome string
	Status  int
}

// Fault is one request that went wrong, for the report.
type Fault struct {
	Index  int    `json:"index"`
	Status Status `json:"status"`
	Error  string `json:"error"`
}

// Outcome is what reconciling needs of one logical request.
type Outcome struct {
	Key                string
	RequestID          string
	Account            int
	Kind               Kind
	Status             Status
	Cause              string // of the last refusal
	Outcome            string // of the last refusal
	IndeterminateTries int    // tries that may have run though they brought no whole answer
	Usage              Usage
	// MaxUsage bounds from above what the request could use, in tokens: a token has
	// at least one byte.
	MaxUsage int64
}

// maxFaults bounds the faults that a report lists; all are counted.
const maxFaults = 20

// NewRecorder makes an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{
		first:    newHistogram(),
		between:  newHistogram(),
		whole:    newHistogram(),
		lag:      newHistogram(),
		statuses: map[Status]int{},
		refusals: map[RefusalKind]int{},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(int64(lowestLatency), int64(highestLatency), latencyDigits)
}

// Add takes one result. It keeps nothing of its body or text.
func (r *Recorder) Add(result *Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statuses[result.Status]++
	r.retries += result.Tries - 1
	r.broken += result.BrokenTries
	outcome := Outcome{
		Key: result.Request.Key, RequestID: result.RequestID, Account: result.Request.Account,
		Kind: result.Request.Kind, Status: result.Status, IndeterminateTries: result.IndeterminateTries, Usage: result.Usage,
		MaxUsage: int64(len(result.Request.Body) + result.Request.Want.Tokens),
	}
	switch result.Status {
	case StatusOK:
		r.addLatencies(result)
	case StatusRefused:
		refusal := result.Refusal
		r.refusals[RefusalKind{Cause: refusal.Cause, Outcome: refusal.Outcome, Status: refusal.Status}]++
		outcome.Cause, outcome.Outcome = refusal.Cause, refusal.Outcome
	default:
		r.addFault(result)
	}
	r.done = append(r.done, outcome)
}

func (r *Recorder) addLatencies(result *Result) {
	record(r.whole, result.TotalTime)
	if result.Request.Kind != KindCompletion {
		return
	}
	r.tokens += result.Usage.CompletionTokens
	record(r.first, result.TimeToFirstToken)
	for _, gap := range result.InterTokenTimes {
		record(r.between, gap)
	}
}

func (r *Recorder) addFault(result *Result) {
	if len(r.faults) < maxFaults {
		r.faults = append(r.faults, Fault{Index: result.Request.Index, Status: result.Status, Error: result.Err.Error()})
	}
}

// AddLag notes how far behind its schedule a request began.
func (r *Recorder) AddLag(lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.lag, lag)
}

// record clamps to the histogram's range, so that no value is left out.
func record(histogram *hdrhistogram.Histogram, d time.Duration) {
	d = min(max(d, 0), highestLatency)
	_ = histogram.RecordValue(int64(d)) // can't fail within the range
}
