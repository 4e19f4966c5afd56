package enginestub

// RunState is how far an attempt came.
type RunState string

// States of an attempt.
const (
	RunWaiting   RunState = "waiting"
	RunRunning   RunState = "running"
	RunFinished  RunState = "finished"
	RunCancelled RunState = "cancelled"
)

// AttemptRun is what the engine did for one attempt.
type AttemptRun struct {
	Attempt      string   `json:"attempt"`
	State        RunState `json:"state"`
	Start        int      `json:"start"` // place in the order of starts; 0: never started
	Tokens       int      `json:"tokens"`
	PromptTokens int      `json:"prompt_tokens"`
	CachedTokens int      `json:"cached_tokens"`
}

// Run is what the engine did for one request.
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

// RunReport is the answer to GET /v1/runs.
type RunReport struct {
	Totals RunTotals `json:"totals"`
	Runs   []Run     `json:"runs"`
}

// runLog records what ran, for reconciliation with bills.
type runLog struct {
	order    []string // request ids by first arrival
	attempts map[string][]*AttemptRun
}

func newRunLog() *runLog {
	return &runLog{attempts: make(map[string][]*AttemptRun)}
}

func (l *runLog) add(request string, run *AttemptRun) {
	if l.attempts[request] == nil {
		l.order = append(l.order, request)
	}
	l.attempts[request] = append(l.attempts[request], run)
}

func (l *runLog) report() RunReport {
	report := RunReport{Runs: make([]Run, 0, len(l.order))}
	report.Totals.Requests = len(l.order)
	for _, request := range l.order {
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
