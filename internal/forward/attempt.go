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
	"chicorytiller.example/chicorytiller/internal/retry"
	"chicorytiller.example/chicorytiller/internal/upstream"
)

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

// attempt sends the request to one server and passes its answer on.
func (t *task) attempt(parent context.Context, choice balance.Choice) outcome {
	server := choice.Server
	t.tried[server.Incarnation] = true
	a := &upstream.Attempt{Request: t.r, Server: server, ResumeAfter: t.lastEvent, Resume: t.hasEvent}
	if !t.due.IsZero() {
		a.Left = time.Until(t.due)
	}
	t.sentAt, t.unread = time.Now(), choice.Unread
	server.BeginRequest(choice.Unread)
	defer server.EndRequest()
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
		server.SetLoad(reply.Load, time.Now())
	}
	server.MarkCold(time.Now(), reply.Cold)
	t.f.RateLimits.ObserveResponse(server, reply.RateLimit, t.sentAt)
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
		if !server.Ineligible() {
			server.RecordFailure(time.Now())
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
		server.RecordFailure(time.Now())
		t.logFailure(server, "stalled", err)
		return again
	}
	if watch.parent.Err() != nil && !t.late() {
		return callerGone
	}
	server.RecordFailure(time.Now())
	t.logFailure(server, "broken", err)
	if !t.late() && !upstream.Silent(err) {
		t.suspect()
	}
	return broken
}

// suspect counts a server that broke while it ran the request. Some requests crash
// every server that begins to run them, and callers send them again.
func (t *task) suspect() {
	if retry.StartsQuarantine(t.f.Quarantine.RecordCrash(t.content)) {
		t.f.Log.Emit(event.RequestQuarantined, slog.String(event.KeyRequest, t.r.ID), slog.Uint64("content", t.content))
		t.f.ReportCrash(t.content)
	}
}

func (t *task) rejectedBy(server *fleet.Server, reply *upstream.Reply) outcome {
	if _, err := io.CopyN(io.Discard, reply, wholeAnswer); err != io.EOF {
		t.logFailure(server, "rejection unread", err) // the connection is closed for it
	}
	if reply.Status == http.StatusMisdirectedRequest {
		// Another server has the address: this one is gone.
		server.RecordFailure(time.Now())
	}
	t.logFailure(server, "rejected", errors.Errorf("status %d, load %+v", reply.Status, reply.Load))
	return rejected
}
