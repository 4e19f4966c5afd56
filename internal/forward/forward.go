// Package forward is the life of one request inside the router: admitted by the
// policy, paid for, sent to a backend server, relayed, repeated or continued
// elsewhere where that is allowed, and settled.
package forward

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/balance"
	"chicorytiller.example/chicorytiller/internal/escrow"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/limit"
	"chicorytiller.example/chicorytiller/internal/pacing"
	"chicorytiller.example/chicorytiller/internal/policy"
	"chicorytiller.example/chicorytiller/internal/request"
	"chicorytiller.example/chicorytiller/internal/retry"
	"chicorytiller.example/chicorytiller/internal/upstream"
)

// Caller takes the answer. Exactly one of Refuse, Answer, or Begin followed by
// End or Abort is called.
type Caller interface {
	Refuse(Refusal)
	// Answer sends a whole answer.
	Answer(status int, header http.Header, body []byte) error
	// Begin sends the head of an answer that goes on; length is -1 if unknown.
	Begin(status int, header http.Header, length int64)
	// Write sends a part at once.
	Write(part []byte) error
	// Abort ends the answer so that it can't be taken for a whole one.
	Abort()
}

// ServeFunc takes one decoded request of a caller. ctx ends when the caller leaves.
type ServeFunc func(ctx context.Context, r *request.Request, caller Caller)

// Exchanger sends attempts to backend servers.
type Exchanger interface {
	Do(ctx context.Context, a *upstream.Attempt) (*upstream.Reply, error)
}

// Budget is where tokens are set aside.
type Budget interface {
	Reserve(ctx context.Context, account string, tokens int64) (*escrow.Reservation, error)
}

// Metrics counts what became of requests.
type Metrics interface {
	Served(first, whole time.Duration)
	Refused(cause Cause)
	Retried(reason string)
}

// Forwarder serves requests. Its fields are set once.
type Forwarder struct {
	Policy     func() *policy.Policy // nil until one is known
	Servers    func(service string) []*fleet.Server
	Budget     Budget
	Retries    *retry.Budget
	Quarantine *retry.Quarantine
	// ReportCrash tells the other routers of a content that breaks servers.
	ReportCrash func(content uint64)
	Chooser     *balance.Chooser
	// RateLimits takes what servers say of the requests that they take.
	RateLimits *pacing.Limits
	// PriorityGate keeps places at servers that bear few requests for urgent ones.
	PriorityGate *pacing.PriorityGate
	Backend      Exchanger
	// Limits holds accounts to their contracts.
	Limits  *limit.Limiter
	Log     *event.Log
	Metrics Metrics
}

// Serve answers one request. ctx ends when the caller leaves.
func (f *Forwarder) Serve(ctx context.Context, r *request.Request, caller Caller) {
	p := f.Policy()
	cause := f.admit(p, r)
	if cause != "" {
		f.refuse(r, caller, NewRefusal(cause), p, nil)
		return
	}
	done, refused := f.checkLimits(r)
	if refused != nil {
		f.refuse(r, caller, *refused, p, nil)
		return
	}
	defer done()
	f.Retries.RecordRequest(r.Service)
	if refusal := f.checkServers(r); refusal != nil {
		f.refuse(r, caller, *refusal, p, nil)
		return
	}
	asked := time.Now()
	reservation, cause := f.reserve(ctx, r)
	if cause != "" {
		f.refuse(r, caller, NewRefusal(cause), p, nil)
		return
	}
	t := newTask(f, p, r, caller)
	t.reserveTime = time.Since(asked)
	t.run(ctx)
	reservation.Settle(t.used())
}

// Refuse answers a request that is not to be served at all.
func (f *Forwarder) Refuse(r *request.Request, caller Caller, refusal Refusal) {
	f.refuse(r, caller, refusal, f.Policy(), nil)
}

// admit finds account, route and service of a request, or the cause to refuse it.
func (f *Forwarder) admit(p *policy.Policy, r *request.Request) Cause {
	if p == nil {
		return NotReady
	}
	r.Route = p.Route(r.Host, r.Path)
	if r.Route == nil {
		return UnknownRoute
	}
	r.Account = p.AccountOf(r.Key)
	if r.Account == nil && !r.Route.Public {
		return UnknownKey
	}
	if p.Limits.BodyBytes > 0 && int64(len(r.Body)) > p.Limits.BodyBytes {
		return BodyTooLarge
	}
	if f.Quarantine.Contains(hashContent(r)) {
		return RequestQuarantined
	}
	fraction := float64(xxhash.Sum64String(r.ID)>>11) / (1 << 53)
	r.Service = r.Route.Target(fraction)
	return ""
}

// checkServers refuses a request that none of its service's servers can take, before it waits for
// its tokens; nil if one can.
func (f *Forwarder) checkServers(r *request.Request) *Refusal {
	out := f.Chooser.Outlook(f.Servers(r.Service))
	switch out.Obstacle {
	case balance.Free:
		if out.Scarce && f.PriorityGate.ShouldYield(r.Service, r.Urgency()) {
			return &Refusal{Cause: BackendsLimited, RetryAfter: retryLater}
		}
	case balance.NoServers:
		return &Refusal{Cause: NoBackend, RetryAfter: retryLater}
	case balance.AllEvacuated:
		return &Refusal{Cause: BackendsEvacuated, RetryAfter: retryLater}
	case balance.AllCold:
		f.PriorityGate.RecordRefusal(r.Service, r.Urgency())
		return &Refusal{Cause: BackendsCold, RetryAfter: max(retrySoon, out.Delay)}
	case balance.AllLimited:
		f.PriorityGate.RecordRefusal(r.Service, r.Urgency())
		return &Refusal{Cause: BackendsLimited, RetryAfter: max(retrySoon, out.Delay)}
	}
	return nil
}

// checkLimits holds the request against the limits of its account's contract, if it
// has one.
func (f *Forwarder) checkLimits(r *request.Request) (done func(), refused *Refusal) {
	if r.Account == nil || r.Account.Contract == nil {
		return func() {}, nil
	}
	c := r.Account.Contract
	done, wait, ok := f.Limits.Admit(r.Account.Name, limit.Limits{PerSecond: c.RequestsPerSecond, Burst: c.Burst, Concurrency: c.Concurrency})
	if !ok {
		return nil, &Refusal{Cause: OverLimit, RetryAfter: wait}
	}
	return done, nil
}

// reserveTimeout bounds the wait for tokens. A draw takes some ms; at the beginning
// of an outage the grant opens within some two seconds, and most of what waits for
// it is still answered in time.
const reserveTimeout = 1200 * time.Millisecond

func (f *Forwarder) reserve(ctx context.Context, r *request.Request) (*escrow.Reservation, Cause) {
	if !r.HasUsage || r.Account == nil || !r.Account.Metered {
		return nil, ""
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	reservation, err := f.Budget.Reserve(ctx, r.Account.Name, r.Cost())
	switch {
	case err == nil:
		return reservation, ""
	case errors.Is(err, escrow.ErrExhausted):
		return nil, BudgetExhausted
	case errors.Is(err, escrow.ErrInDoubt):
		return nil, BudgetInDoubt
	case errors.Is(err, escrow.ErrContended):
		return nil, BudgetHeld
	}
	return nil, BudgetUnreachable
}

func (f *Forwarder) refuse(r *request.Request, caller Caller, refusal Refusal, p *policy.Policy, t *task) {
	caller.Refuse(refusal)
	f.Metrics.Refused(refusal.Cause)
	attrs := []slog.Attr{
		slog.String(event.KeyRequest, r.ID),
		slog.String(event.KeyCause, string(refusal.Cause)),
		slog.Bool("not_run", refusal.Cause.NotRun()),
		slog.Int64("ms", time.Since(r.Arrived).Milliseconds()),
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
	if t != nil {
		attrs = append(attrs, slog.Int("sends", t.sends), slog.String("last", t.lastFailure))
	}
	f.Log.Emit(event.RequestRefused, attrs...)
}

// hashContent hashes what makes a request the same as an earlier one.
func hashContent(r *request.Request) uint64 {
	h := xxhash.New()
	for _, part := range []string{r.Method, r.Host, r.Target, r.Key} {
		_, _ = h.WriteString(part) // a hash takes everything
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	return h.Sum64()
}
