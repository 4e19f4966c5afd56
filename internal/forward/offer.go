package forward

import (
	"context"
	"maps"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/permits"
	"chicorytiller.example/chicorytiller/internal/predict"
	"chicorytiller.example/chicorytiller/internal/upstream"
)

// A server that is silent may be about to go on, and another one may reject the request. So the request is first
// offered to another server, and its attempt is given up only when that server has taken it: the caller never loses an
// answer for the hope of a faster one. Both run it for at most offerTimeout.

// offerTimeout is how long a server that is offered a request may take to reject it, counted from the moment at which
// it is sent. A server that says nothing until then has taken the request.
const offerTimeout = 250 * time.Millisecond

// errStalled: the server was silent, and another one has taken the request.
var errStalled = errors.New("silent, and another server took the request")

// exchange is one sending of the request to one server.
type exchange struct {
	permitted
	attempt *upstream.Attempt
	stream  *predict.Stream // nil if the server was not chosen by prediction
	ctx     context.Context
	cancel  context.CancelFunc
	sentAt  time.Time
	// replaces is the incarnation of the silent server beside whose attempt it was begun; empty: none.
	replaces string
	counted  bool // by the watchdog that offered it, which guards it

	answered chan struct{} // closed once the following are set
	reply    *upstream.Reply
	err      error
}

// newExchange prepares the sending of the request to a server.
func (t *task) newExchange(parent context.Context, chosen permitted) *exchange {
	x := &exchange{permitted: chosen, sentAt: time.Now(), answered: make(chan struct{})}
	x.ctx, x.cancel = context.WithCancel(parent)
	x.attempt = &upstream.Attempt{Request: t.r, Server: chosen.Server, ResumeAfter: t.lastEventID, Resume: t.hasLastEventID}
	if !t.deadline.IsZero() {
		x.attempt.Timeout = time.Until(t.deadline)
	}
	x.stream = t.f.Chooser.Begin(chosen.Choice, t.r)
	chosen.Server.BeginRequest(chosen.UncachedTokens)
	return x
}

// send sends the request and waits for the head of the answer.
func (x *exchange) send(backend Exchanger) {
	x.reply, x.err = backend.Do(x.ctx, x.attempt)
	x.Server.EndPrefill(x.UncachedTokens)
	close(x.answered)
}

// close ends the exchange, once send has returned.
func (x *exchange) close(outcome permits.Outcome) {
	if x.reply != nil {
		x.reply.Close() // before the context ends: the connection may be used again
	}
	x.cancel()
	x.Server.EndRequest()
	x.stream.End()
	if x.release != nil {
		x.release(outcome)
	}
}

// withdraw ends an exchange that is not needed any more.
func (x *exchange) withdraw() {
	x.cancel()
	<-x.answered
	x.close(permits.Abandoned)
}

// offerRequest offers the request to another server because the one of the attempt that w watches is silent. It runs
// beside the task.
func (t *task) offerRequest(w *watchdog) {
	w.mu.Lock()
	if !w.isSilent() || w.ran >= w.maxOffers {
		w.mu.Unlock()
		return // the server has sent something meanwhile, which has restarted the timeout, or no attempt is left
	}
	other, silentSince, begun := t.copyForOffer(), w.silentSince, w.begun
	w.mu.Unlock()
	if !begun && t.f.LinkDelay() >= fullLinkDelay {
		other.expireUnsent(w, silentSince)
		return
	}
	w.offerLater(other.offer(w, silentSince))
}

// fullLinkDelay is the round trip over this VM's own link from which on the link counts as full.
const fullLinkDelay = 150 * time.Millisecond

// expireUnsent gives the attempt up because the request may still wait in this VM's full link: it would reach its server
// late, which may have left by then, and a second one would wait behind it.
func (t *task) expireUnsent(w *watchdog, silentSince time.Time) {
	switch {
	case !t.hasCandidate() || !t.f.Retries.TryAcquire(t.r.Service):
		w.offerLater(false)
	case w.expire(silentSince):
		t.f.Metrics.Retried("stalled")
	default:
		t.f.Retries.Release(t.r.Service)
	}
}

// copyForOffer returns a copy of the task that makes another attempt. The task must not change meanwhile.
func (t *task) copyForOffer() *task {
	other, r := *t, *t.r
	other.r, other.tried, other.offering = &r, maps.Clone(t.tried), true
	return &other
}

// offer offers the request to another server. The attempt that w watches is given up if the server takes it. failed
// means that a server was chosen and did not take it.
func (t *task) offer(w *watchdog, silentSince time.Time) (failed bool) {
	x := t.prepareOffer(w, silentSince)
	if x == nil {
		return false
	}
	t.sendOffer(w, x)
	if t.isTaken(x) && w.replaceBy(x) || w.isReplacedBy(x) {
		return false // the task goes on with it
	}
	w.endOffer(x)
	result := t.offerResult(w, x)
	if result == rejected {
		w.uncountOffer(x)
	}
	x.close(t.permitOutcome(result))
	return result != callerGone
}

// prepareOffer chooses a server and counts a retry. It returns nil if there is no server for the request, if no retry
// is allowed, or if the silent server has sent something meanwhile; then no retry is counted.
func (t *task) prepareOffer(w *watchdog, silentSince time.Time) *exchange {
	if !t.hasCandidate() || t.isHeldBack() || t.isTrial() || !t.f.Retries.TryAcquire(t.r.Service) {
		return nil
	}
	chosen, _ := t.admit(w.parent)
	if chosen.Server == nil {
		t.f.Retries.Release(t.r.Service)
		return nil
	}
	x := t.newExchange(w.parent, chosen)
	x.replaces = t.choice.Server.Incarnation
	if !w.beginOffer(x, silentSince) {
		t.f.Retries.Release(t.r.Service)
		x.Server.EndPrefill(x.UncachedTokens)
		x.close(permits.Served)
		return nil
	}
	return x
}

// sendOffer sends the request and waits for the head of the answer. If that takes longer than offerTimeout, the attempt
// that w watches is given up meanwhile.
func (t *task) sendOffer(w *watchdog, x *exchange) {
	var timer *time.Timer // nil until something is sent
	timedOut := make(chan struct{})
	x.attempt.Sending = func() {
		w.countOffer(x)
		t.f.Metrics.Retried("stalled")
		timer = time.AfterFunc(offerTimeout, func() {
			defer close(timedOut)
			w.replaceBy(x)
		})
	}
	x.send(t.f.Backend)
	switch {
	case timer == nil:
		t.f.Retries.Release(t.r.Service)
	case !timer.Stop():
		<-timedOut
	}
}

// isTaken reports whether the answer to an offer shows that the server has taken the request.
func (t *task) isTaken(x *exchange) bool {
	switch {
	case x.err != nil || isRejection(x.reply):
		return false
	case t.headSent:
		return x.reply.Status == http.StatusOK
	}
	return x.reply.Status < http.StatusInternalServerError
}

// isRejection reports whether the server did not run the request.
func isRejection(reply *upstream.Reply) bool {
	return reply.NotExecuted || reply.Status == http.StatusMisdirectedRequest
}

// offerResult records what came of an offer that was not taken. It returns callerGone if the offer was withdrawn.
func (t *task) offerResult(w *watchdog, x *exchange) outcome {
	t.sentAt, t.via = x.sentAt, x.attempt.Via
	switch {
	case x.err == nil && isRejection(x.reply):
		t.f.observe(x.Server, x.reply, x.sentAt)
		return t.handleRejection(x.Server, x.reply)
	case x.ctx.Err() != nil:
		return callerGone
	case x.err != nil:
		return t.handleSendError(&watchdog{parent: w.parent}, x.Server, x.err)
	}
	t.f.observe(x.Server, x.reply, x.sentAt)
	t.logFailure(x.Server, "failed", errors.Errorf("status %d", x.reply.Status))
	return broken
}
