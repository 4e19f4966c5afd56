// Package forward serves a request: it admits it by policy, reserves its tokens, sends it to a
// backend server and relays the answer, retries or resumes it at another server where that is
// allowed, and settles the tokens used.
package forward

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/admission"
	"chicorytiller.example/chicorytiller/internal/balance"
	"chicorytiller.example/chicorytiller/internal/escrow"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/limit"
	"chicorytiller.example/chicorytiller/internal/pacing"
	"chicorytiller.example/chicorytiller/internal/permits"
	"chicorytiller.example/chicorytiller/internal/policy"
	"chicorytiller.example/chicorytiller/internal/quarantine"
	"chicorytiller.example/chicorytiller/internal/request"
	"chicorytiller.example/chicorytiller/internal/retry"
	"chicorytiller.example/chicorytiller/internal/upstream"
)

// ErrCallerStalled is the error of an answer whose caller has stopped reading.
var ErrCallerStalled = errors.New("forward: caller reads nothing")

// Caller receives the answer of a request: one call of Refuse or Answer, or Begin and any number
// of Write calls. An answer that can't be completed ends with Abort, which may also come first.
type Caller interface {
	Refuse(Refusal)
	// Answer sends a complete answer. It and Write return ErrCallerStalled if the caller was disconnected
	// because it had stopped reading.
	Answer(status int, header http.Header, body []byte) error
	// Begin sends status and header of an answer whose body follows; length is that of the
	// body, or -1 if unknown.
	Begin(status int, header http.Header, length int64)
	// Write sends a part of the body without buffering.
	Write(part []byte) error
	// Abort ends the answer in a way that can't be mistaken for a complete one.
	Abort()
}

// ServeFunc serves one decoded request. ctx is cancelled when the caller disconnects.
type ServeFunc func(ctx context.Context, r *request.Request, caller Caller)

// Exchanger exchanges requests and answers with backend servers.
type Exchanger interface {
	Do(ctx context.Context, a *upstream.Attempt) (*upstream.Reply, error)
}

// Budget reserves tokens of client accounts.
type Budget interface {
	Reserve(ctx context.Context, account string, tokens int64, priority int) (*escrow.Reservation, error)
	// Look returns what Reserve would find, and changes nothing.
	Look(account string, tokens int64, priority int) escrow.Look
}

// Permits are needed to send requests to fragile servers.
type Permits interface {
	// Acquire asks for a permit and waits for it up to wait. release must be called when the request
	// ends; it is nil if the permit was not granted.
	Acquire(ctx context.Context, server *fleet.Server, priority int, wait time.Duration) (release func(permits.Outcome), answer permits.Answer)
	// HeldOff returns for how long no permit for the server should be asked for, since there are none; zero
	// if one may be asked for.
	HeldOff(server *fleet.Server, priority int) time.Duration
}

// Metrics records the outcomes of requests.
type Metrics interface {
	Served(firstByte, total time.Duration)
	Refused(cause Cause)
	Retried(reason string)
	// Predicted records the predicted and the actual time from sending a request to its first event.
	Predicted(predicted, actual time.Duration)
	// LoadFault counts an invalid load report of a server.
	LoadFault(upstream.LoadFault)
}

// Forwarder serves requests. Its fields must not change while it is in use.
type Forwarder struct {
	Policy  func() *policy.Policy // returns nil until a configuration is known
	Servers func(service string) []*fleet.Server
	// MarkLeaving records that a server said that it leaves.
	MarkLeaving func(*fleet.Server)
	Budget      Budget
	Retries     *retry.Budget
	Quarantine  *quarantine.Quarantine
	// TryAgain reports whether a request with a feature that is held back should be sent all the same,
	// to find out whether the feature was blamed wrongly.
	TryAgain func(quarantine.Feature) bool
	Chooser  *balance.Chooser
	// CopyPacer returns a copy of Chooser's pacer, of which Explain asks what it must not take.
	CopyPacer func() balance.Pacer
	Streams   StreamVersions
	// RateLimits records the rate limits that servers announce with their answers.
	RateLimits *pacing.AnnouncedRates
	// Fragility records the services whose servers announce that they crash if they have to reject
	// too many requests.
	Fragility *pacing.AnnouncedRates
	Permits   Permits
	// Admission decides which requests are sent while servers are full; nil if all are.
	Admission Admission
	// PriorityGate reserves the capacity of cold and rate-limited servers for urgent requests.
	PriorityGate *pacing.PriorityGate
	Backend      Exchanger
	// ServersOutdated reports whether servers may have left without this router's knowledge,
	// because its own link is full.
	ServersOutdated func() bool
	// LinkDelay returns the time for a round trip over this VM's own link.
	LinkDelay func() time.Duration
	// Limits enforces the request limits of accounts' contracts.
	Limits  *limit.Limiter
	Log     *event.Log
	Metrics Metrics

	unstated unstatedBytes
}

// Serve answers one request. ctx is cancelled when the caller disconnects.
func (f *Forwarder) Serve(ctx context.Context, r *request.Request, caller Caller) {
	p := f.Policy()
	cause := f.admit(p, r)
	if cause != "" {
		f.refuse(r, caller, NewRefusal(cause), p, nil)
		return
	}
	features := featuresOf(r)
	checked, refused := f.checkQuarantine(features)
	if refused != nil {
		f.refuse(r, caller, *refused, p, nil)
		return
	}
	done, refused := f.checkLimits(r)
	if refused != nil {
		f.refuse(r, caller, *refused, p, nil)
		return
	}
	defer done()
	f.Retries.RecordRequest(r.Service)
	if refusal := f.findStreamVersion(ctx, r); refusal != nil {
		f.refuse(r, caller, *refusal, p, nil)
		return
	}
	if refusal := f.checkServers(r); refusal != nil {
		f.refuse(r, caller, *refusal, p, nil)
		return
	}
	ticket, notAdmitted := f.admitCapacity(ctx, r)
	switch {
	case notAdmitted == nil:
	case notAdmitted.Cause == admission.Abandoned:
		newTask(f, p, r, caller).abandon()
		return
	default:
		f.refuse(r, caller, *admissionRefusal(notAdmitted), p, nil)
		return
	}
	var outcome admission.Outcome
	defer func() { ticket.Done(outcome) }()
	start := time.Now()
	reservation, cause := f.reserve(ctx, r)
	if cause != "" {
		outcome.Unsent = true
		f.refuse(r, caller, NewRefusal(cause), p, nil)
		return
	}
	t := newTask(f, p, r, caller)
	t.features, t.checked = features, checked
	t.reserveTime = time.Since(start)
	t.run(ctx)
	outcome = t.admissionOutcome()
	reservation.Settle(t.used())
}

// Refuse answers a request with refusal instead of serving it.
func (f *Forwarder) Refuse(r *request.Request, caller Caller, refusal Refusal) {
	f.refuse(r, caller, refusal, f.Policy(), nil)
}

// CheckHead returns the refusal of a request that can't be served whatever its body is, as far as its host, path
// and key tell, and nil for others. Without a path the route isn't checked.
func (f *Forwarder) CheckHead(r *request.Request) *Refusal {
	cause := Cause("")
	p := f.Policy()
	if r.Path == "" {
		cause = checkKey(p, r)
	} else {
		cause = f.admit(p, r)
	}
	if cause == "" {
		return nil
	}
	refusal := NewRefusal(cause)
	return &refusal
}

// checkKey returns the cause to refuse a request without a valid key.
func checkKey(p *policy.Policy, r *request.Request) Cause {
	switch {
	case p == nil:
		return NotReady
	case p.AccountByKey(r.APIKey) == nil:
		return UnknownKey
	}
	return ""
}

// admit sets the request's account, route and service, or returns the cause to refuse it.
func (f *Forwarder) admit(p *policy.Policy, r *request.Request) Cause {
	if p == nil {
		return NotReady
	}
	r.Route = p.Route(r.Host, r.Path)
	if r.Route == nil {
		return UnknownRoute
	}
	r.Account = p.AccountByKey(r.APIKey)
	if r.Account == nil && !r.Route.Public {
		return UnknownKey
	}
	if p.Limits.MaxBodyBytes > 0 && int64(len(r.Body)) > p.Limits.MaxBodyBytes {
		return BodyTooLarge
	}
	r.Service = r.Route.PickService(serviceFraction(r))
	if s := p.Services[r.Service]; s != nil {
		r.TokensPerEvent = s.TokensPerEvent
	}
	return ""
}

// serviceFraction returns the number in [0, 1) that picks a request's service. Where the weights stay
// the same, a stream that is resumed goes to the service at which it began.
func serviceFraction(r *request.Request) float64 {
	id := r.StreamID()
	if id == "" {
		id = r.ID
	}
	return float64(xxhash.Sum64String(id)>>11) / (1 << 53)
}

// checkServers returns a refusal if none of the service's servers can take the request or if it must
// leave their capacity to more urgent requests, and nil otherwise. Serve calls it before it reserves
// tokens, so that such a request does not wait for them.
func (f *Forwarder) checkServers(r *request.Request) *Refusal {
	refusal, short := f.lookAtServers(r, f.servers(r), f.Chooser)
	if short {
		f.PriorityGate.RecordRefusal(r.Service, r.Priority())
	}
	return refusal
}

// lookAtServers returns the refusal of checkServers, and whether it is for lack of capacity of paced servers.
func (f *Forwarder) lookAtServers(r *request.Request, servers []*fleet.Server, chooser *balance.Chooser) (refusal *Refusal, short bool) {
	if f.ServersOutdated() {
		return &Refusal{Cause: BackendsOutdated, RetryAfter: retryLater}, false
	}
	if wait := f.heldOff(r, servers); wait > 0 {
		return &Refusal{Cause: BackendsBusy, RetryAfter: max(retrySoon, wait)}, false
	}
	availability := chooser.Availability(servers)
	switch availability.State {
	case balance.Available:
		if availability.PacedOnly && f.PriorityGate.ShouldYield(r.Service, r.Priority()) {
			return &Refusal{Cause: BackendsLimited, RetryAfter: retryLater}, false
		}
	case balance.NoServers:
		return f.refuseWithoutServer(r), false
	case balance.AllEvacuated:
		return &Refusal{Cause: BackendsEvacuated, RetryAfter: retryLater}, false
	case balance.AllCold:
		return &Refusal{Cause: BackendsCold, RetryAfter: max(retrySoon, availability.Delay)}, true
	case balance.AllLimited:
		return &Refusal{Cause: BackendsLimited, RetryAfter: max(retrySoon, availability.Delay)}, true
	case balance.AllUnavailable:
		return &Refusal{Cause: BackendsUnavailable, RetryAfter: max(retrySoon, availability.Delay)}, false
	}
	return nil, false
}

// checkLimits checks the request against the limits of its account's contract, if there is one. If
// refused is nil, done must be called when the request ends.
func (f *Forwarder) checkLimits(r *request.Request) (done func(), refused *Refusal) {
	limits, limited := limitsOf(r)
	if !limited {
		return func() {}, nil
	}
	done, wait, ok := f.Limits.Admit(r.Account.Name, limits)
	if !ok {
		return nil, &Refusal{Cause: OverLimit, RetryAfter: wait}
	}
	return done, nil
}

// limitsOf returns the limits of the account's contract, if there is one.
func limitsOf(r *request.Request) (limits limit.Limits, limited bool) {
	if r.Account == nil || r.Account.Contract == nil {
		return limit.Limits{}, false
	}
	c := r.Account.Contract
	return limit.Limits{PerSecond: c.RequestsPerSecond, Burst: c.Burst, Concurrency: c.Concurrency}, true
}

// reserveTimeout bounds the wait for tokens. A draw from the account takes a few milliseconds. At
// the beginning of a store outage, up to about two seconds pass before this router can use its
// grant; most requests that wait for it are still answered in time.
const reserveTimeout = 1200 * time.Millisecond

func (f *Forwarder) reserve(ctx context.Context, r *request.Request) (*escrow.Reservation, Cause) {
	if !needsTokens(r) {
		return nil, ""
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	reservation, err := f.Budget.Reserve(ctx, r.Account.Name, r.MaxTokens(), r.Priority())
	if err != nil {
		return nil, budgetCause(err)
	}
	return reservation, ""
}

// needsTokens reports whether the request reserves tokens.
func needsTokens(r *request.Request) bool {
	return r.HasTokenUsage && r.Account != nil && r.Account.Metered
}

// budgetCause returns the cause of a refusal for an error of Budget.
func budgetCause(err error) Cause {
	switch {
	case errors.Is(err, escrow.ErrExhausted):
		return BudgetExhausted
	case errors.Is(err, escrow.ErrInDoubt):
		return BudgetInDoubt
	case errors.Is(err, escrow.ErrContended):
		return BudgetHeld
	case errors.Is(err, escrow.ErrRationed):
		return BudgetLow
	}
	return BudgetUnreachable
}

func (f *Forwarder) refuse(r *request.Request, caller Caller, refusal Refusal, p *policy.Policy, t *task) {
	caller.Refuse(refusal)
	f.Metrics.Refused(refusal.Cause)
	attrs := []slog.Attr{
		slog.String(event.KeyRequest, r.ID),
		slog.String(event.KeyCause, string(refusal.Cause)),
		slog.Bool("not_run", refusal.Cause.NotRun()),
		slog.Int64("ms", time.Since(r.Arrived).Milliseconds()),
		slog.Int64("link_ms", f.LinkDelay().Milliseconds()),
	}
	if p != nil {
		attrs = append(attrs, slog.Int64("config", p.Version))
	}
	if r.Route != nil {
		attrs = append(attrs, slog.String("route", r.Route.Name), slog.String("service", r.Service))
	}
	if r.Account != nil {
		attrs = append(attrs, slog.String(event.KeyAccount, r.Account.Name))
	}
	if refusal.Detail != "" {
		attrs = append(attrs, slog.String("detail", refusal.Detail))
	}
	attrs = append(attrs, resumeAttrs(r)...)
	if t != nil {
		attrs = append(attrs, slog.Int("sends", t.sends), slog.String("last", t.lastFailure))
	}
	f.Log.Emit(event.RequestRefused, attrs...)
}
