package forward

import (
	"context"
	"slices"
	"time"

	"chicorytiller.example/chicorytiller/internal/balance"
	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/policy"
	"chicorytiller.example/chicorytiller/internal/predict"
	"chicorytiller.example/chicorytiller/internal/quarantine"
	"chicorytiller.example/chicorytiller/internal/request"
)

// Limits of one task.
const (
	// maxDialFailures is the number of unreachable servers after which a request is given
	// up. A failed dial sends nothing, so it does not count as a retry.
	maxDialFailures = 4
	// minTimeLeft is the remaining time below which no server can answer before the deadline.
	minTimeLeft = 10 * time.Millisecond
	// deadlineGrace is how long after the deadline the router waits for an answer that the
	// server itself sends at the deadline.
	deadlineGrace = 100 * time.Millisecond
	// maxBufferedAnswer is the size in bytes below which an answer is read completely before
	// it is relayed, so that the request can be retried if the answer breaks off.
	maxBufferedAnswer = 256 << 10
)

// task is one admitted request and the state of its attempts at backend servers.
type task struct {
	f      *Forwarder
	policy *policy.Policy
	r      *request.Request
	caller Caller
	// features may be held back because they crash servers; checked are those that still count.
	features, checked []quarantine.Feature
	// deadline is when the caller's or the route's timeout ends; zero if there is none.
	deadline time.Time

	tried        map[string]bool // incarnations of servers already tried
	sends        int             // attempts that were sent to a server
	dialFailures int             // attempts that could not connect
	mayHaveRun   bool
	lastFailure  string
	via          string // the router that carried the last attempt; empty if it was direct

	// replacement is the next attempt, which another server has taken while the last one was silent; nil: none.
	replacement *exchange
	// offering is set in the copy that offers the request to another server.
	offering bool

	// Timings and sizes for the log.
	reserveTime time.Duration // time to reserve its tokens
	sentAt      time.Time     // start of the last attempt
	beganAt     time.Time     // first whole event of the last attempt; zero if it has none
	received    int           // whole events of the last attempt
	survived    bool          // the server of the last attempt sent events for survivalTime
	answerRead  bool          // the server's last answer was read to its end
	prefill     float64       // prompt tokens that the server was expected to process
	lastEventAt time.Time     // time of the last event relayed
	maxGap      time.Duration // longest time between two events
	// choice and stream are of the last attempt; stream is nil if its server was not chosen by prediction.
	choice balance.Choice
	stream *predict.Stream

	callerStalled  bool // the caller was disconnected because it had stopped reading
	headSent       bool // status and header were relayed, and the body follows in parts
	firstByteAt    time.Time
	lastEventID    int64 // of the last event relayed, or received by the caller before it resumed
	hasLastEventID bool
	events         int  // number of events relayed that hold tokens
	output         int  // output tokens of an answer, except those of events
	succeeded      bool // a buffered answer with status 200 was relayed
	isErrorAnswer  bool // an answer with another status is relayed without being buffered
	answered       bool // a server's answer with status 200 was relayed to its end
}

func newTask(f *Forwarder, p *policy.Policy, r *request.Request, caller Caller) *task {
	t := &task{f: f, policy: p, r: r, caller: caller, tried: make(map[string]bool)}
	t.deadline = f.deadline(r)
	t.lastEventID, t.hasLastEventID = r.ResumeAfter, r.HasResume
	return t
}

// used returns the number of tokens charged to the client account: the prompt once, and the output
// that was relayed. A request of whose answer nothing was relayed costs nothing even if it ran, so
// that no one pays for a prompt twice because a server failed or the caller disconnected early. Nor does an
// answer with another status than 200.
func (t *task) used() int64 {
	if !t.headSent && !t.succeeded || t.isErrorAnswer {
		return 0
	}
	output := t.output
	if s := t.policy.Services[t.r.Service]; s != nil {
		output += t.events * s.TokensPerEvent
	}
	return int64(t.r.PromptTokens) + int64(min(output, t.r.MaxOutputTokens))
}

// run makes attempts until the request is answered or given up.
func (t *task) run(ctx context.Context) {
	if !t.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, t.deadline.Add(deadlineGrace))
		defer cancel()
	}
	for !t.step(ctx) {
	}
	if t.replacement != nil {
		t.replacement.withdraw()
	}
}

// step makes one attempt and reports whether the task is finished.
func (t *task) step(ctx context.Context) bool {
	if t.f.isTooLate(t.deadline, t.headSent) {
		return t.giveUp(t.timeoutCause())
	}
	if !t.headSent && t.replacement == nil && t.f.ServersOutdated() {
		return t.giveUp(t.failureCause(BackendsOutdated))
	}
	if t.isHeldBack() {
		return t.giveUp(t.failureCause(RequestQuarantined))
	}
	x := t.replacement
	if t.replacement = nil; x == nil {
		chosen, refused := t.admit(ctx)
		if chosen.Server == nil {
			if ctx.Err() != nil && !t.pastDeadline() {
				return t.abandon()
			}
			if refused != nil {
				return t.giveUpBusy(*refused)
			}
			return t.giveUpWithoutServer()
		}
		x = t.newExchange(ctx, chosen)
	}
	result := t.attempt(ctx, x)
	x.close(t.permitOutcome(result))
	if t.replacement != nil && (result == rejected || result == unreachable || result == broken) {
		return false // another server has taken the request meanwhile
	}
	switch result {
	case finished:
		return true
	case callerGone:
		return t.abandon()
	case heldBack:
		return t.giveUp(t.failureCause(RequestQuarantined))
	case unreachable:
		t.dialFailures++
		if t.dialFailures >= maxDialFailures {
			return t.giveUp(t.failureCause(NoBackend))
		}
	case rejected:
		if !t.hasCandidate() || !t.canRefuseLater() {
			return t.giveUpRejected()
		}
		if !t.acquireRetry("rejected") {
			return t.giveUpRejected()
		}
	case broken:
		if t.pastDeadline() {
			return t.giveUp(TimedOut)
		}
		if !t.r.Route.Retryable() || !t.acquireRetry("broken") {
			return t.giveUp(BackendFailed)
		}
	}
	return false
}

// isTooLate reports whether no server's answer would come back before the deadline. Of an answer that has begun
// to be relayed the caller may still get a part.
func (f *Forwarder) isTooLate(deadline time.Time, headSent bool) bool {
	if deadline.IsZero() {
		return false
	}
	left := time.Until(deadline)
	return left < minTimeLeft || !headSent && left < f.LinkDelay()
}

// hasCandidate reports whether there is a server that may get the request and was not tried. Without one a
// retry would use up the budget for nothing.
func (t *task) hasCandidate() bool {
	now := time.Now()
	return slices.ContainsFunc(t.f.servers(t.r), func(s *fleet.Server) bool {
		return !t.excluded(s) && s.AcceptsRequests(now)
	})
}

func (t *task) excluded(s *fleet.Server) bool {
	return t.tried[s.Incarnation]
}

// isTrial reports whether the request is a trial of a feature that is held back. It is sent once.
func (t *task) isTrial() bool {
	_, held := t.f.Quarantine.Held(t.features)
	return held
}

// acquireRetry reports whether the request may be sent once more and, if so, counts the retry.
func (t *task) acquireRetry(reason string) bool {
	if t.sends >= t.r.Route.MaxAttempts || t.isTrial() {
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
