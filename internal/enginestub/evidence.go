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

// ActivityLog is the decoded activity log of one backend server. Each restart of the server
// appends to the same log.
type ActivityLog struct {
	// Processes holds the activity of each process, oldest first.
	Processes []ProcessActivity
	// Runs counts the started runs by request ID.
	Runs map[string]int
}

// ErrMalformedLog is returned for an activity log that cannot be decoded.
var ErrMalformedLog = errors.New("enginestub: unreadable evidence")

// ReadActivityLog decodes the lines that a Server wrote to Config.ActivityLog.
func ReadActivityLog(r io.Reader) (ActivityLog, error) {
	found := ActivityLog{Runs: make(map[string]int)}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		line := evidenceLine{}
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return ActivityLog{}, errors.Wrap(ErrMalformedLog, err.Error())
		}
		if line.Kind == processStarted {
			found.Processes = append(found.Processes, ProcessActivity{})
			continue
		}
		if len(found.Processes) == 0 {
			return ActivityLog{}, errors.Wrap(ErrMalformedLog, "no start")
		}
		found.add(line)
	}
	return found, errors.Wrap(lines.Err(), "evidence")
}

// add takes a line of the newest process.
func (e *ActivityLog) add(line evidenceLine) {
	report := &e.Processes[len(e.Processes)-1]
	switch line.Kind {
	case limitNamed:
		report.RateLimits = append(report.RateLimits, RateLimitChange{At: line.At, Limit: line.Limit})
	case requestArrived:
		report.Arrivals = append(report.Arrivals, Arrival{Request: line.Request, At: line.At, Limit: line.Limit})
	case requestAnswered:
		report.answered(line.Request, line.At)
	case runBegan:
		e.Runs[line.Request]++
	}
}

// answered notes when the newest arrival of a request that has no answer yet was answered.
func (r *ProcessActivity) answered(request string, at time.Time) {
	for i := len(r.Arrivals) - 1; i >= 0; i-- {
		if a := &r.Arrivals[i]; a.Request == request && a.Answered.IsZero() {
			a.Answered = at
			return
		}
	}
}
