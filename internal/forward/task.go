package forward

import (
	"context"
	"time"

	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/policy"
	"chicorytiller.example/chicorytiller/internal/request"
)

// Bounds of one task.
const (
	// maxDialFailures bounds the servers that a request finds unreachable. A dial that
	// fails sends nothing, so it is no repeat.
	maxDialFailures = 4
	// minTimeLeft is the time below which a server can't answer any more.
	minTimeLeft = 10 * time.Millisecond
	// deadlineGrace is how long a server's own answer at its deadline may take to
	// arrive before the router ends the wait itself.
	deadlineGrace = 100 * time.Millisecond
	// maxBufferedAnswer bounds the answers that are read whole before they are passed
	// on, so that one which breaks off can be repeated; longer ones are relayed.
	maxBufferedAnswer = 256 << 10
)

// task is one admitted request on its way through backend servers.
type task struct {
	f           *Forwarder
	policy      *policy.Policy
	r           *request.Request
	caller      Caller
	contentHash uint64
	// deadline is when the caller or the route stops waiting; zero: never.
	deadline time.Time

	tried        map[string]bool // starts of servers not to be asked again
	sends        int             // attempts that reached a server
	dialFailures int             // servers that were unreachable
	mayHaveRun   bool
	lastFailure  string

	// What the request waited for, for the log.
	reserveTime time.Duration // for its tokens
	sentAt      time.Time     // the last time
	prefill     float64       // prompt tokens that its server was expected to read
	lastEventAt time.Time     // of the last event passed on
	maxGap      time.Duration // the longest between two events

	headSent  bool // the head was passed on
	firstAt   time.Time
	lastEvent int64
	hasEvent  bool
	events    int
	output    int  // tokens of a whole answer, as its server told
	succeeded bool // a whole answer was passed on, and it is a success
}

func newTask(f *Forwarder, p *policy.Policy, r *request.Request, caller Caller) *task {
	t := &task{f: f, policy: p, r: r, caller: caller, contentHash: hashContent(r), tried: make(map[string]bool)}
	wait := r.Left
	if r.Route.Timeout > 0 && (wait == 0 || r.Route.Timeout < wait) {
		wait = r.Route.Timeout
	}
	if wait > 0 {
		t.deadline = r.Arrived.Add(wait)
	}
	t.lastEvent, t.hasEvent = r.ResumeAfter, r.HasResume
	return t
}

// used is the tokens that the client account pays: the prompt once, and what was passed on.
// A request of whose answer nothing was passed on costs nothing, also if it ran: nobody would
// pay a prompt twice because a server broke or a caller left early.
func (t *task) used() int64 {
	if !t.headSent && !t.succeeded {
		return 0
	}
	out := t.output
	if s := t.policy.Services[t.r.Service]; s != nil {
		out += t.events * s.TokensPerEvent
	}
	return int64(t.r.PromptTokens) + int64(min(out, t.r.OutputTokens))
}

// run sends the request until it is answered or given up.
func (t *task) run(ctx context.Context) {
	if !t.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, t.deadline.Add(deadlineGrace))
		defer cancel()
	}
	for !t.step(ctx) {
	}
}

// step makes one attempt and says whether the task is over.
func (t *task) step(ctx context.Context) bool {
	if !t.deadline.IsZero() && time.Until(t.deadline) < minTimeLeft {
		return t.giveUp(t.timeoutCause())
	}
	choice := t.f.Chooser.Choose(t.f.Servers(t.r.Service), t.r, t.excluded)
	if choice.Server == nil {
		return t.giveUp(t.failureCause(t.noBackendCause()))
	}
	switch t.attempt(ctx, choice) {
	case finished:
		return true
	case callerGone:
		return t.abandon()
	case unreachable:
		t.dialFailures++
		if t.dialFailures >= maxDialFailures {
			return t.giveUp(t.failureCause(NoBackend))
		}
	case rejected:
		if !t.acquireRetry("rejected") {
			return t.giveUp(t.failureCause(BackendRejected))
		}
	case broken:
		if t.pastDeadline() {
			return t.giveUp(TimedOut)
		}
		if !t.r.Route.Repeatable() || !t.acquireRetry("broken") {
			return t.giveUp(BackendFailed)
		}
	}
	return false
}

func (t *task) excluded(s *fleet.Server) bool {
	return t.tried[s.Incarnation]
}

// acquireRetry says whether the request may be sent once more, and counts it.
func (t *task) acquireRetry(reason string) bool {
	if t.sends >= t.r.Route.Attempts || t.f.Quarantine.Contains(t.contentHash) {
		return false
	}
	if !t.f.Retries.TryAcquire(t.r.Service) {
		return false
	}
	t.f.Metrics.Retried(reason)
	return true
}

func (t *task) pastDeadline() bool {
	return !t.deadline.IsZero() && !time.Now().Before(t.deadline)
}
