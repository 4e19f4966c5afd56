package forward

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/request"
	"chicorytiller.example/chicorytiller/internal/upstream"
)

// isFragile reports whether the servers of the request's service are known to be fragile.
func (t *task) isFragile() bool {
	return t.f.isFragile(t.r.Service)
}

// giveUpWithoutServer gives the request up because there is no server to send it to. It returns true, the
// result of step for a finished task.
func (t *task) giveUpWithoutServer() bool {
	refusal := t.f.checkServers(t.r)
	if refusal == nil { // all eligible servers have been tried
		return t.giveUp(t.failureCause(NoBackend))
	}
	return t.giveUpWith(*refusal)
}

// giveUpRejected gives the request up after a server rejected it. If no server takes requests now, the
// refusal says when one does.
func (t *task) giveUpRejected() bool {
	if refusal := t.f.checkServers(t.r); refusal != nil {
		return t.giveUpWith(*refusal)
	}
	return t.giveUp(t.failureCause(BackendRejected))
}

// giveUpWith refuses the request with a refusal for a reason that guarantees that this attempt was not sent.
func (t *task) giveUpWith(refusal Refusal) bool {
	if t.headSent || t.mayHaveRun {
		return t.giveUp(BackendFailed)
	}
	t.f.refuse(t.r, t.caller, refusal, t.policy, t)
	return true
}

// failureCause returns BackendFailed if the request may have run, and otherwise notRun, a cause that
// guarantees that it has not.
func (t *task) failureCause(notRun Cause) Cause {
	if t.mayHaveRun {
		return BackendFailed
	}
	return notRun
}

func (t *task) timeoutCause() Cause {
	if t.mayHaveRun {
		return TimedOut
	}
	return OverdueUnsent
}

// giveUp refuses the request, or aborts the answer if it has begun. It returns true, the result of
// step for a finished task.
func (t *task) giveUp(cause Cause) bool {
	if !t.headSent {
		t.f.refuse(t.r, t.caller, NewRefusal(cause), t.policy, t)
		return true
	}
	t.caller.Abort()
	t.f.Metrics.Refused(cause)
	t.f.Log.Emit(event.ResponseAborted, append(t.attrs(), slog.String(event.KeyCause, string(cause)),
		slog.Int64("last_event", t.lastEventID), slog.String("last", t.lastFailure))...)
	return true
}

// send sends a part of the answer to the caller. A caller that reads slowly holds it up, during which
// the server's silence is not counted.
func (t *task) send(watch *watchdog, part []byte) error {
	watch.pause()
	err := t.caller.Write(part)
	t.callerStalled = errors.Is(err, ErrCallerStalled)
	watch.progress() // the task's fields must not change after it
	return err
}

// abandon ends the task after the caller disconnected. It returns true, the result of step for a
// finished task.
func (t *task) abandon() bool {
	t.caller.Abort()
	kind := event.RequestAbandoned
	if t.callerStalled {
		kind = event.CallerStalled
	}
	t.f.Log.Emit(kind, append(t.attrs(), slog.Int("events", t.events))...)
	return true
}

func (t *task) recordServed(server *fleet.Server, reply *upstream.Reply) {
	if reply.Status == http.StatusOK {
		t.answered = true
		t.recordWhole(server, reply)
	}
	total := time.Since(t.r.Arrived)
	firstByte := t.firstByteAt.Sub(t.r.Arrived)
	t.f.Metrics.Served(firstByte, total)
	t.f.Log.Emit(event.RequestServed, append(append(t.attrs(), slog.String(event.KeyBackend, server.ID), slog.Int("status", reply.Status),
		slog.Int64("first_ms", firstByte.Milliseconds()), slog.Int64("reserved_ms", t.reserveTime.Milliseconds()),
		slog.Int64("server_ms", t.firstByteAt.Sub(t.sentAt).Milliseconds()), slog.Int64("pause_ms", t.maxGap.Milliseconds()),
		slog.Int64("unread", int64(t.prefill)), slog.Int("events", t.events), slog.String("via", t.via), slog.String("version", server.Version)), t.predictionAttrs()...)...)
}

// predictionAttrs returns what was predicted of the last attempt, and counts how far off that was.
func (t *task) predictionAttrs() []slog.Attr {
	if t.stream == nil {
		return nil
	}
	e := t.choice.Estimate
	predicted := time.Duration(e.FirstMs * float64(time.Millisecond))
	if t.firstByteAt.After(t.sentAt) { // else the first event was of an earlier attempt
		t.f.Metrics.Predicted(predicted, t.firstByteAt.Sub(t.sentAt))
	}
	return []slog.Attr{slog.Int64("predicted_ms", predicted.Milliseconds()), slog.Int("queue_ms", int(e.QueueMs)), slog.Int("reading_ms", int(e.ReadingMs)),
		slog.Int("pace", int(100*e.Pace)), slog.Int("pace_age_ms", int(e.AgeMs)), slog.Int("predicted_pause_ms", int(e.PauseMs)), slog.Int("harm_ms", int(e.HarmMs))}
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
	return append(attrs, resumeAttrs(t.r)...)
}

// resumeAttrs returns the attributes of a request that resumes a stream.
func resumeAttrs(r *request.Request) []slog.Attr {
	if !r.HasResume {
		return nil
	}
	return []slog.Attr{slog.String("resumes", r.Resumes), slog.Int64("after", r.ResumeAfter)}
}

func (t *task) logFailure(server *fleet.Server, kind string, err error) {
	t.lastFailure = kind
	status := server.Status(time.Now())
	t.f.Log.Emit(event.AttemptFailed, slog.String(event.KeyRequest, t.r.ID), slog.String(event.KeyBackend, server.ID),
		slog.String("address", server.Address), slog.String("version", server.Version), slog.String("how", kind), slog.Any(event.KeyCause, err),
		slog.Bool("offer", t.offering),
		slog.Bool("fragile", t.isFragile()),
		slog.Int("attempt", t.sends), slog.Int("failures", status.Failures),
		slog.String("via", t.via), t.featureAttr(), slog.Any("parts", t.r.SharedPartIDs()),
		slog.Int("events", t.received), slog.Int64("began_ms", t.sinceBegan().Milliseconds()), slog.Int64("ms", time.Since(t.r.Arrived).Milliseconds()))
}
