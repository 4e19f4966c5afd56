package forward

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/balance"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/policy"
	"chicorytiller.example/chicorytiller/internal/request"
	"chicorytiller.example/chicorytiller/internal/retry"
	"chicorytiller.example/chicorytiller/internal/upstream"
)

// Bounds of one task.
const (
	// dialsMost bounds the servers that a request finds unreachable. A dial that
	// fails sends nothing, so it is no repeat.
	dialsMost = 4
	// leastLeft is the time below which a server can't answer any more.
	leastLeft = 10 * time.Millisecond
	// overtime is how long a server's own answer at its deadline may take to
	// arrive before the router ends the wait itself.
	overtime = 100 * time.Millisecond
	// wholeAnswer bounds the answers that are read whole before they are passed
	// on, so that one which breaks off can be repeated; longer ones are relayed.
	wholeAnswer = 256 << 10
)

// task is one admitted request on its way through backend servers.
type task struct {
	f       *Forwarder
	policy  *policy.Policy
	r       *request.Request
	caller  Caller
	content uint64
	// due is when the caller or the route stops waiting; zero: never.
	due time.Time

	tried       map[string]bool // starts of servers not to be asked again
	sends       int             // attempts that reached a server
	dials       int             // servers that were unreachable
	mayHaveRun  bool
	lastFailure string

	// What the request waited for, for the log.
	reserved time.Duration // for its tokens
	sentAt   time.Time     // the last time
	unread   float64       // prompt tokens that its server was expected to read
	eventAt  time.Time     // of the last event passed on
	pause    time.Duration // the longest between two events

	begun     bool // the head was passed on
	firstAt   time.Time
	lastEvent int64
	hasEvent  bool
	events    int
	output    int  // tokens of a whole answer, as its server told
	answered  bool // a whole answer was passed on, and it is a success
}

func newTask(f *Forwarder, p *policy.Policy, r *request.Request, caller Caller) *task {
	t := &task{f: f, policy: p, r: r, caller: caller, content: contentOf(r), tried: make(map[string]bool)}
	wait := r.Left
	if r.Route.Timeout > 0 && (wait == 0 || r.Route.Timeout < wait) {
		wait = r.Route.Timeout
	}
	if wait > 0 {
		t.due = r.Arrived.Add(wait)
	}
	t.lastEvent, t.hasEvent = r.ResumeAfter, r.HasResume
	return t
}

// used is the tokens that the client account pays: the prompt once, and what was passed on.
// A request of whose answer nothing was passed on costs nothing, also if it ran: on days on
// which servers break or callers leave early, 2% of the budgets went to such prompts.
func (t *task) used() int64 {
	if !t.begun && !t.answered {
		return 0
	}
	out := t.output
	if s := t.policy.Services[t.r.Service]; s != nil {
		out += t.events * s.TokensPerEvent
	}
	return int64(t.r.PromptTokens) + int64(min(out, t.r.OutputTokens))
}

// outcome of one attempt.
type outcome int

const (
	finished   outcome = iota // the caller has its final answer
	unreached                 // nothing was sent
	rejected                  // the server did not run it
	broken                    // the exchange broke before its end
	again                     // to be repeated, which is allowed and counted
	callerGone                // nobody waits any more
)

// run sends the request until it is answered or given up.
func (t *task) run(ctx context.Context) {
	if !t.due.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, t.due.Add(overtime))
		defer cancel()
	}
	for !t.step(ctx) {
	}
}

// step makes one attempt and says whether the task is over.
func (t *task) step(ctx context.Context) bool {
	if !t.due.IsZero() && time.Until(t.due) < leastLeft {
		return t.giveUp(t.lateCause())
	}
	choice := t.f.Chooser.Choose(t.f.Servers(t.r.Service), t.r, t.excluded)
	if choice.Server == nil {
		return t.giveUp(t.failureCause(t.noServerCause()))
	}
	switch t.attempt(ctx, choice) {
	case finished:
		return true
	case callerGone:
		return t.abandon()
	case unreached:
		t.dials++
		if t.dials >= dialsMost {
			return t.giveUp(t.failureCause(NoServer))
		}
	case rejected:
		if !t.mayRepeat("rejected") {
			return t.giveUp(t.failureCause(Rejected))
		}
	case broken:
		if t.late() {
			return t.giveUp(TimedOut)
		}
		if !t.r.Route.Repeatable() || !t.mayRepeat("broken") {
			return t.giveUp(BackendFailed)
		}
	}
	return false
}

func (t *task) excluded(s *fleet.Server) bool {
	return t.tried[s.Start]
}

// mayRepeat says whether the request may be sent once more, and counts it.
func (t *task) mayRepeat(why string) bool {
	if t.sends >= t.r.Route.Attempts || t.f.Quarantine.Held(t.content) {
		return false
	}
	if !t.f.Retries.Take(t.r.Service) {
		return false
	}
	t.f.Metrics.Repeated(why)
	return true
}

// noServerCause says why there is no server to send the request to.
func (t *task) noServerCause() Cause {
	if refusal := t.f.obstacle(t.r.Service); refusal != nil {
		return refusal.Cause
	}
	return NoServer // those that could take one have been tried
}

// failureCause keeps the promise of 'not run' truthful.
func (t *task) failureCause(unrun Cause) Cause {
	if t.mayHaveRun {
		return BackendFailed
	}
	return unrun
}

func (t *task) lateCause() Cause {
	if t.mayHaveRun {
		return TimedOut
	}
	return Overdue
}

// attempt sends the request to one server and passes its answer on.
func (t *task) attempt(parent context.Context, choice balance.Choice) outcome {
	server := choice.Server
	t.tried[server.Start] = true
	a := &upstream.Attempt{Request: t.r, Server: server, ResumeAfter: t.lastEvent, Resume: t.hasEvent}
	if !t.due.IsZero() {
		a.Left = time.Until(t.due)
	}
	t.sentAt, t.unread = time.Now(), choice.Unread
	server.Begin(choice.Unread)
	defer server.End()
	watch := t.watch(parent)
	defer watch.stop()
	reply, err := t.f.Backend.Do(watch.ctx, a)
	server.Answered(choice.Unread)
	if err != nil {
		return t.sendFailed(watch, server, err)
	}
	defer reply.Close()
	t.sends++
	if reply.HasLoad {
		server.Report(reply.Load, time.Now())
	}
	server.Chill(time.Now(), reply.Cold)
	if reply.NotExecuted || reply.Status == http.StatusMisdirectedRequest {
		return t.rejectedBy(server, reply)
	}
	t.mayHaveRun = true
	t.f.Chooser.Sent(server, t.r)
	if t.r.Route.Kind == policy.Streaming && reply.Status == http.StatusOK {
		return t.relayEvents(watch, server, reply)
	}
	if t.begun {
		return t.brokenBy(watch, server, errors.Errorf("status %d to a resumption", reply.Status))
	}
	return t.relayWhole(watch, server, reply)
}

// sendFailed judges an attempt that brought no answer.
func (t *task) sendFailed(watch *watchdog, server *fleet.Server, err error) outcome {
	if errors.Is(err, upstream.ErrNotSent) {
		if watch.parent.Err() != nil && !t.late() {
			return callerGone
		}
		if !server.Closed() {
			server.Failed(time.Now())
		}
		t.logFailure(server, "unreachable", err)
		return unreached
	}
	t.sends++
	t.mayHaveRun = true
	return t.brokenBy(watch, server, err)
}

// brokenBy judges an exchange that broke after the request was sent.
func (t *task) brokenBy(watch *watchdog, server *fleet.Server, err error) outcome {
	if watch.fired() {
		server.Failed(time.Now())
		t.logFailure(server, "stalled", err)
		return again
	}
	if watch.parent.Err() != nil && !t.late() {
		return callerGone
	}
	server.Failed(time.Now())
	t.logFailure(server, "broken", err)
	if !t.late() && !upstream.Silent(err) {
		t.suspect()
	}
	return broken
}

// suspect counts a server that broke while it ran the request. Some requests crash
// every server that begins to run them, and callers send them again.
func (t *task) suspect() {
	if retry.Due(t.f.Quarantine.Broke(t.content)) {
		t.f.Log.Emit(event.RequestQuarantined, slog.String(event.KeyRequest, t.r.ID), slog.Uint64("content", t.content))
		t.f.Report(t.content)
	}
}

func (t *task) late() bool {
	return !t.due.IsZero() && !time.Now().Before(t.due)
}

func (t *task) rejectedBy(server *fleet.Server, reply *upstream.Reply) outcome {
	if _, err := io.CopyN(io.Discard, reply, wholeAnswer); err != io.EOF {
		t.logFailure(server, "rejection unread", err) // the connection is closed for it
	}
	if reply.Status == http.StatusMisdirectedRequest {
		// Another server has the address: this one is gone.
		server.Failed(time.Now())
	}
	t.logFailure(server, "rejected", errors.Errorf("status %d, load %+v", reply.Status, reply.Load))
	return rejected
}

// relayWhole reads an answer to its end before the caller gets any of it.
func (t *task) relayWhole(watch *watchdog, server *fleet.Server, reply *upstream.Reply) outcome {
	body, err := io.ReadAll(io.LimitReader(reply, wholeAnswer))
	if err != nil {
		return t.brokenBy(watch, server, err)
	}
	if len(body) == wholeAnswer {
		return t.relayLong(server, reply, body)
	}
	ownFailure := reply.Status >= http.StatusInternalServerError && reply.Status != http.StatusGatewayTimeout
	if ownFailure && t.r.Route.Repeatable() && t.mayRepeat("failed") {
		t.logFailure(server, "failed", errors.Errorf("status %d", reply.Status))
		return again
	}
	server.Worked()
	t.firstAt = time.Now()
	if reply.Status == http.StatusOK {
		t.answered = true
		t.countOutput(reply.Output)
	}
	if err := t.caller.Answer(reply.Status, reply.Header, body); err != nil {
		return callerGone
	}
	t.served(server, reply.Status)
	return finished
}

// countOutput notes the output of a whole answer. What the server doesn't tell counts
// as all that was asked for: less could spend what nobody paid.
func (t *task) countOutput(output int) {
	t.output = output
	if output == upstream.OutputUnknown {
		t.output = t.r.OutputTokens
	}
}

// relayLong passes on an answer that is too long to be held.
func (t *task) relayLong(server *fleet.Server, reply *upstream.Reply, head []byte) outcome {
	t.begun, t.firstAt = true, time.Now()
	t.countOutput(reply.Output)
	t.caller.Begin(reply.Status, reply.Header, reply.Length)
	part := head
	buf := make([]byte, 16<<10)
	for {
		if err := t.caller.Write(part); err != nil {
			return callerGone
		}
		n, err := reply.Read(buf)
		part = buf[:n]
		if err == nil {
			continue
		}
		if n > 0 {
			if failure := t.caller.Write(part); failure != nil {
				return callerGone
			}
		}
		if err == io.EOF {
			server.Worked()
			t.served(server, reply.Status)
			return finished
		}
		t.logFailure(server, "broken", err)
		t.giveUp(BackendFailed)
		return finished
	}
}

// giveUp gives the caller its final answer; it returns true, for step.
func (t *task) giveUp(cause Cause) bool {
	if !t.begun {
		t.f.refuse(t.r, t.caller, RefusalOf(cause), t.policy, t)
		return true
	}
	t.caller.Abort()
	t.f.Metrics.Refused(cause)
	t.f.Log.Emit(event.RequestCut, append(t.attrs(), slog.String(event.KeyCause, string(cause)),
		slog.Int64("last_event", t.lastEvent), slog.String("last", t.lastFailure))...)
	return true
}

// abandon notes that the caller left; it returns true, for step.
func (t *task) abandon() bool {
	t.caller.Abort()
	t.f.Log.Emit(event.RequestAbandoned, append(t.attrs(), slog.Int("events", t.events))...)
	return true
}

func (t *task) served(server *fleet.Server, status int) {
	whole := time.Since(t.r.Arrived)
	first := t.firstAt.Sub(t.r.Arrived)
	t.f.Metrics.Served(first, whole)
	t.f.Log.Emit(event.RequestServed, append(t.attrs(), slog.String(event.KeyBackend, server.ID), slog.Int("status", status),
		slog.Int64("first_ms", first.Milliseconds()), slog.Int64("reserved_ms", t.reserved.Milliseconds()),
		slog.Int64("server_ms", t.firstAt.Sub(t.sentAt).Milliseconds()), slog.Int64("pause_ms", t.pause.Milliseconds()),
		slog.Int64("unread", int64(t.unread)), slog.Int("events", t.events))...)
}

func (t *task) attrs() []slog.Attr {
	attrs := []slog.Attr{
		slog.String(event.KeyRequest, t.r.ID),
		slog.String("route", t.r.Route.Name),
		slog.Int64("config", t.policy.Version),
		slog.Int("sends", t.sends),
		slog.Int64("ms", time.Since(t.r.Arrived).Milliseconds()),
	}
	if t.r.Account != nil {
		attrs = append(attrs, slog.String(event.KeyAccount, t.r.Account.Name), slog.Int64(event.KeyTokens, t.used()))
	}
	return attrs
}

func (t *task) logFailure(server *fleet.Server, how string, err error) {
	t.lastFailure = how
	status := server.Status(time.Now())
	t.f.Log.Emit(event.AttemptFailed, slog.String(event.KeyRequest, t.r.ID), slog.String(event.KeyBackend, server.ID),
		slog.String("address", server.Address), slog.String("how", how), slog.Any(event.KeyCause, err),
		slog.Int("attempt", t.sends), slog.Int("failures", status.Failures),
		slog.Int64("ms", time.Since(t.r.Arrived).Milliseconds()))
}
