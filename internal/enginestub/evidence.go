package enginestub

import (
	"bufio"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// evidenceKind is what a line of evidence tells of.
type evidenceKind string

// Kinds of evidence.
const (
	processStarted  evidenceKind = "started"
	limitNamed      evidenceKind = "limit_named"
	requestArrived  evidenceKind = "arrived"
	requestAnswered evidenceKind = "answered" // the head of its answer was sent
	runBegan        evidenceKind = "run_began"
)

// evidenceLine is one line of evidence.
type evidenceLine struct {
	Kind    evidenceKind `json:"kind"`
	At      time.Time    `json:"at"`
	Request string       `json:"request,omitempty"`
	Limit   string       `json:"limit,omitempty"`
}

// evidence writes down what a stand-in does as it happens: what is kept in memory is lost with
// a process that is killed.
type evidence struct {
	mu  sync.Mutex
	out io.Writer // nil: nothing is written
}

func (e *evidence) note(line evidenceLine) {
	if e.out == nil {
		return
	}
	data, err := json.Marshal(line)
	if err != nil {
		panic(err) // plain strings and times always encode
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	// A judge finds what is missing: a request that was answered and never arrived.
	_, _ = e.out.Write(append(data, '\n'))
}

// Evidence is what the processes of one stand-in did, one after the other.
type Evidence struct {
	// Limits has a report for each process.
	Limits []RateLimitReport
	// Runs counts the runs that began, by request.
	Runs map[string]int
}

// ErrEvidence: written evidence can't be read.
var ErrEvidence = errors.New("enginestub: unreadable evidence")

// ReadEvidence reads what stand-ins wrote that were started with it.
func ReadEvidence(r io.Reader) (Evidence, error) {
	found := Evidence{Runs: make(map[string]int)}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		line := evidenceLine{}
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return Evidence{}, errors.Wrap(ErrEvidence, err.Error())
		}
		if line.Kind == processStarted {
			found.Limits = append(found.Limits, RateLimitReport{})
			continue
		}
		if len(found.Limits) == 0 {
			return Evidence{}, errors.Wrap(ErrEvidence, "no start")
		}
		found.add(line)
	}
	return found, errors.Wrap(lines.Err(), "evidence")
}

// add takes a line of the newest process.
func (e *Evidence) add(line evidenceLine) {
	report := &e.Limits[len(e.Limits)-1]
	switch line.Kind {
	case limitNamed:
		report.Named = append(report.Named, NamedLimit{At: line.At, Limit: line.Limit})
	case requestArrived:
		report.Arrivals = append(report.Arrivals, Arrival{Request: line.Request, At: line.At, Limit: line.Limit})
	case requestAnswered:
		report.answered(line.Request, line.At)
	case runBegan:
		e.Runs[line.Request]++
	}
}

// answered notes when the newest arrival of a request that has no answer yet was answered.
func (r *RateLimitReport) answered(request string, at time.Time) {
	for i := len(r.Arrivals) - 1; i >= 0; i-- {
		if a := &r.Arrivals[i]; a.Request == request && a.Answered.IsZero() {
			a.Answered = at
			return
		}
	}
}
