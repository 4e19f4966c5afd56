package enginestub

import (
	"bufio"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// activityKind is the kind of an activityRecord.
type activityKind string

const (
	processStarted   activityKind = "started"
	rateLimitChanged activityKind = "limit_named"
	requestArrived   activityKind = "arrived"
	requestAnswered  activityKind = "answered" // logged just before the response header is sent
	runStarted       activityKind = "run_began"
	endedByMemory    activityKind = "out_of_memory"
	runPreempted     activityKind = "run_preempted" // it goes on later and is not logged as started again
)

// activityRecord is one line of an activity log.
type activityRecord struct {
	Kind    activityKind `json:"kind"`
	At      time.Time    `json:"at"`
	Request string       `json:"request,omitempty"`
	Limit   string       `json:"limit,omitempty"`  // advertised rate limit
	Router  string       `json:"router,omitempty"` // process that sent the request
}

// activityLogger writes each activity when it happens: records in memory would be lost if the
// process were killed.
type activityLogger struct {
	mu sync.Mutex
	w  io.Writer // nil disables the log
}

func (l *activityLogger) log(record activityRecord) {
	if l.w == nil {
		return
	}
	data, err := json.Marshal(record)
	if err != nil {
		panic(err) // cannot happen: strings and the current time always encode
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	// Write errors are ignored: a lost record is visible to the log's reader as an answered
	// request without an arrival.
	_, _ = l.w.Write(append(data, '\n'))
}

// ActivityLog is the decoded activity log of one backend server. Each restart of the server
// appends to the same log.
type ActivityLog struct {
	// Processes holds the activity of each process, oldest first.
	Processes []ProcessActivity
	// Runs counts the started runs by request ID.
	Runs map[string]int
	// Preemptions is the number of preemptions of runs.
	Preemptions int
	// MemoryExits is the number of processes that ended by memory.
	MemoryExits int
}

// ErrMalformedLog is returned for an activity log that cannot be decoded.
var ErrMalformedLog = errors.New("enginestub: malformed activity log")

// ReadActivityLog decodes the lines that a Server wrote to Config.ActivityLog.
func ReadActivityLog(r io.Reader) (ActivityLog, error) {
	activity := ActivityLog{Runs: make(map[string]int)}
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		record := activityRecord{}
		if err := json.Unmarshal(scanner.Bytes(), &record); err != nil {
			return ActivityLog{}, errors.Wrap(ErrMalformedLog, err.Error())
		}
		if record.Kind == processStarted {
			activity.Processes = append(activity.Processes, ProcessActivity{})
			continue
		}
		if len(activity.Processes) == 0 {
			return ActivityLog{}, errors.Wrap(ErrMalformedLog, "record before the first process start")
		}
		activity.add(record)
	}
	return activity, errors.Wrap(scanner.Err(), "evidence")
}

// add adds a record to the newest process.
func (l *ActivityLog) add(record activityRecord) {
	process := &l.Processes[len(l.Processes)-1]
	switch record.Kind {
	case rateLimitChanged:
		process.RateLimits = append(process.RateLimits, RateLimitChange{At: record.At, Limit: record.Limit})
	case requestArrived:
		process.Arrivals = append(process.Arrivals, Arrival{Request: record.Request, Router: record.Router, At: record.At, Limit: record.Limit})
	case requestAnswered:
		process.markAnswered(record.Request, record.At)
	case runStarted:
		l.Runs[record.Request]++
	case runPreempted:
		l.Preemptions++
	case endedByMemory:
		l.MemoryExits++
	}
}

// markAnswered sets the answer time of the request's newest arrival that has none yet.
func (p *ProcessActivity) markAnswered(request string, at time.Time) {
	for i := len(p.Arrivals) - 1; i >= 0; i-- {
		if a := &p.Arrivals[i]; a.Request == request && a.Answered.IsZero() {
			a.Answered = at
			return
		}
	}
}
