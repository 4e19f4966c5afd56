package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms.
const (
	minLatency        = time.Microsecond
	maxLatency        = 10 * time.Minute
	significantDigits = 3
)

// Recorder aggregates the results of one target. It is safe for concurrent use.
type Recorder struct {
	mu               sync.Mutex
	timeToFirstToken *hdrhistogram.Histogram
	interTokenTime   *hdrhistogram.Histogram // between content chunks
	totalTime        *hdrhistogram.Histogram
	startLag         *hdrhistogram.Histogram // behind the open loop's schedule
	statuses         map[Status]int
	refusals         map[RefusalKind]int
	faults           []Fault
	outcomes         []Outcome
	retries          int
	brokenTries      int
	tokens           int64
}

// RefusalKind is the key by which refusals are counted.
type RefusalKind struct {
	Cause   string
	Outcome string
	Status  int
}

// Fault describes a request that got no correct answer and was not refused.
type Fault struct {
	Index  int    `json:"index"`
	Status Status `json:"status"`
	Error  string `json:"error"`
}

// Outcome is the part of a logical request's result that Reconcile needs.
type Outcome struct {
	Key                string
	RequestID          string
	Account            int
	Kind               Kind
	Status             Status
	Cause              string // of the last refusal
	Outcome            string // of the last refusal
	IndeterminateTries int    // failed tries that may have been executed
	Usage              Usage
	// MaxUsage is an upper bound of the tokens that the request could use: the bytes of its
	// body, since a token has at least one byte, plus the expected output tokens.
	MaxUsage int64
}

// maxFaults limits the faults listed in a report; all of them are counted.
const maxFaults = 20

func NewRecorder() *Recorder {
	return &Recorder{
		timeToFirstToken: newHistogram(),
		interTokenTime:   newHistogram(),
		totalTime:        newHistogram(),
		startLag:         newHistogram(),
		statuses:         map[Status]int{},
		refusals:         map[RefusalKind]int{},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(int64(minLatency), int64(maxLatency), significantDigits)
}

// Add records a result. It does not retain the request's body or the expected answer.
func (r *Recorder) Add(result *Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statuses[result.Status]++
	r.retries += result.Tries - 1
	r.brokenTries += result.BrokenTries
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
	r.outcomes = append(r.outcomes, outcome)
}

func (r *Recorder) addLatencies(result *Result) {
	record(r.totalTime, result.TotalTime)
	if result.Request.Kind != KindCompletion {
		return
	}
	r.tokens += result.Usage.CompletionTokens
	record(r.timeToFirstToken, result.TimeToFirstToken)
	for _, interTokenTime := range result.InterTokenTimes {
		record(r.interTokenTime, interTokenTime)
	}
}

func (r *Recorder) addFault(result *Result) {
	if len(r.faults) < maxFaults {
		r.faults = append(r.faults, Fault{Index: result.Request.Index, Status: result.Status, Error: result.Err.Error()})
	}
}

// AddLag records how late a request started in an open loop.
func (r *Recorder) AddLag(lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.startLag, lag)
}

// record records d, clamped to the histogram's range so that no value is dropped.
func record(histogram *hdrhistogram.Histogram, d time.Duration) {
	d = min(max(d, 0), maxLatency)
	_ = histogram.RecordValue(int64(d)) // cannot fail within the range
}
