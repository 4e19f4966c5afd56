package enginestub

// RunState is the state of an attempt.
type RunState string

const (
	RunWaiting   RunState = "waiting"
	RunRunning   RunState = "running"
	RunFinished  RunState = "finished"
	RunCancelled RunState = "cancelled"
)

// AttemptRun describes how the engine ran one attempt.
type AttemptRun struct {
	Attempt      string   `json:"attempt"`
	State        RunState `json:"state"`
	Start        int      `json:"start"` // position in the order of starts, from 1; 0: not started
	Tokens       int      `json:"tokens"`
	PromptTokens int      `json:"prompt_tokens"`
	CachedTokens int      `json:"cached_tokens"` // at the start
	Preemptions  int      `json:"preemptions"`
}

// Run holds the attempts of one request.
type Run struct {
	Request  string       `json:"request"`
	Attempts []AttemptRun `json:"attempts"`
}

// RunTotals sums up all runs.
type RunTotals struct {
	Requests     int `json:"requests"`
	Attempts     int `json:"attempts"`
	Tokens       int `json:"tokens"`
	PromptTokens int `json:"prompt_tokens"`
}

// RunReport is the response to GET /v1/runs.
type RunReport struct {
	Totals RunTotals `json:"totals"`
	Runs   []Run     `json:"runs"`
}

// runLog records all attempts for reconciliation with the charged tokens.
type runLog struct {
	requestIDs []string                 // in the order of first arrival
	attempts   map[string][]*AttemptRun // by request ID
}

func newRunLog() *runLog {
	return &runLog{attempts: make(map[string][]*AttemptRun)}
}

func (l *runLog) add(request string, run *AttemptRun) {
	if l.attempts[request] == nil {
		l.requestIDs = append(l.requestIDs, request)
	}
	l.attempts[request] = append(l.attempts[request], run)
}

func (l *runLog) report() RunReport {
	report := RunReport{Runs: make([]Run, 0, len(l.requestIDs))}
	report.Totals.Requests = len(l.requestIDs)
	for _, request := range l.requestIDs {
		run := Run{Request: request}
		for _, attempt := range l.attempts[request] {
			run.Attempts = append(run.Attempts, *attempt)
			report.Totals.Attempts++
			report.Totals.Tokens += attempt.Tokens
			report.Totals.PromptTokens += attempt.PromptTokens
		}
		report.Runs = append(report.Runs, run)
	}
	return report
}
