package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/policy"
	"chicorytiller.example/chicorytiller/internal/upstream"
)

// outcome is the result of one attempt.
type outcome int

const (
	finished     outcome = iota // the request was answered or given up
	unreachable                 // nothing was sent
	rejected                    // the server did not run the request
	broken                      // the exchange broke off
	retryGranted                // a retry has been allowed and counted
	callerGone                  // the caller disconnected
	heldBack                    // the request crashes servers, as became known meanwhile
)

// attempt sends the request to one server, unless that has begun as an offer, and relays its answer.
func (t *task) attempt(parent context.Context, x *exchange) outcome {
	server := x.Server
	t.tried[server.Incarnation] = true
	t.sentAt, t.prefill, t.stream, t.choice = x.sentAt, x.UncachedTokens, x.stream, x.Choice
	t.beganAt, t.received, t.survived, t.answerRead = time.Time{}, 0, false, false
	watch := t.watch(parent, x)
	defer t.endWatch(watch)
	watch.holdOn(t.f.Quarantine, t.checked)
	if x.replaces != "" {
		<-x.answered
	} else {
		x.send(t.f.Backend)
	}
	isCurrent := watch.hold()
	t.via = x.attempt.Via
	if x.err != nil {
		return t.handleSendError(watch, server, x.err)
	}
	reply := x.reply
	t.sends++
	t.f.observe(server, reply, t.sentAt)
	if isRejection(reply) {
		t.allowReplaced(x)
		return t.handleRejection(server, reply)
	}
	t.f.Quarantine.RecordAlive(server.Incarnation, t.sentAt)
	t.mayHaveRun = true
	t.f.Chooser.RecordSent(server, t.r)
	if !isCurrent {
		return t.handleBroken(watch, server, errStalled)
	}
	if t.r.Route.Kind == policy.Streaming && reply.Status == http.StatusOK {
		return t.relayEvents(watch, server, reply)
	}
	if t.headSent {
		return t.handleBroken(watch, server, errors.Errorf("status %d in answer to a resumed stream", reply.Status))
	}
	return t.relayBuffered(watch, server, reply)
}

// allowReplaced lets the request return to the server that was silent, after the one that seemed to have taken it has
// rejected it: nothing else may be left.
func (t *task) allowReplaced(x *exchange) {
	if x.replaces != "" {
		delete(t.tried, x.replaces)
		t.sends--
	}
}

// endWatch ends the watch of an attempt. The next attempt is the one for which this one was given up, if there is one.
func (t *task) endWatch(watch *watchdog) {
	replacement, ran := watch.stop()
	t.replacement = replacement
	t.sends += ran
	t.mayHaveRun = t.mayHaveRun || ran > 0
}

// handleSendError determines the outcome of an attempt without an answer.
func (t *task) handleSendError(watch *watchdog, server *fleet.Server, err error) outcome {
	if errors.Is(err, upstream.ErrNotSent) {
		if watch.isHeldBack() {
			return heldBack
		}
		if watch.hasExpired() {
			t.logFailure(server, "stalled", err)
			return retryGranted
		}
		if watch.parent.Err() != nil && !t.pastDeadline() {
			return callerGone
		}
		if server.AcceptsRequests(time.Now()) {
			server.RecordFailure(time.Now())
			t.recordUnreachable(server, err)
		}
		t.logFailure(server, "unreachable", err)
		return unreachable
	}
	t.sends++
	t.mayHaveRun = true
	return t.handleBroken(watch, server, err)
}

// handleBroken determines the outcome of an exchange that broke off after the request was sent.
func (t *task) handleBroken(watch *watchdog, server *fleet.Server, err error) outcome {
	if watch.isHeldBack() {
		t.logFailure(server, "held back", err)
		return heldBack
	}
	if watch.hasExpired() {
		server.RecordFailure(time.Now())
		t.logFailure(server, "stalled", err)
		return retryGranted
	}
	if watch.parent.Err() != nil && !t.pastDeadline() {
		return callerGone
	}
	if upstream.IsCarrierFailure(err) {
		t.logFailure(server, "carrier lost", err)
		return broken
	}
	server.RecordFailure(time.Now())
	t.logFailure(server, "broken", err)
	if !t.pastDeadline() && !upstream.IsTimeout(err) && !isEndless(err) {
		t.f.Quarantine.RecordCrash(t.exchange(server))
	}
	return broken
}

// recordUnreachable records that a server refuses connections, which tells how its last answers ended.
func (t *task) recordUnreachable(server *fleet.Server, err error) {
	if !upstream.IsTimeout(err) {
		t.f.Quarantine.RecordUnreachable(server.Incarnation)
	}
}

// rejectionWait is how long the body of a rejection is waited for. It usually comes with the head, and is
// read only so that the connection can be used again.
const rejectionWait = 100 * time.Millisecond

func (t *task) handleRejection(server *fleet.Server, reply *upstream.Reply) outcome {
	if err := reply.Discard(maxBufferedAnswer, rejectionWait); err != nil {
		t.logFailure(server, "rejection unread", err) // the connection is then closed
	}
	if reply.Status == http.StatusMisdirectedRequest {
		// Another server has this address now: the one we meant is gone.
		server.RecordFailure(time.Now())
	}
	t.logFailure(server, "rejected", errors.Errorf("status %d, load %+v, leaving %v, retry after %v", reply.Status, reply.Load, reply.Leaving, reply.RetryAfter))
	return rejected
}
