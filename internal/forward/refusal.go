package forward

import (
	"time"
)

// Cause is why a request gets no answer from a backend server.
type Cause string

// Causes. Those up to OverdueUnsent, except KeyInUse, guarantee that the request has not run and
// never will.
const (
	NotReady            Cause = "no_configuration" // no configuration known yet
	Malformed           Cause = "bad_request"      // the request can't be decoded or is invalid
	UnknownRoute        Cause = "unknown_route"    // no route matches host and path
	UnknownKey          Cause = "unknown_key"      // no client account has the key
	NotInContract       Cause = "not_in_contract"  // the account may not use the service
	BodyTooLarge        Cause = "body_too_large"   // larger than the configured limit
	OverLimit           Cause = "over_limit"       // too many concurrent requests or requests per second of the account
	KeyRequired         Cause = "idempotency_key_required"
	KeyReused           Cause = "idempotency_key_reused"    // used before with a different request
	KeyInUse            Cause = "idempotency_key_in_use"    // the first request with it is running, or its answer was not kept
	KeyUnclaimed        Cause = "idempotency_key_unclaimed" // the store is unreachable
	BudgetExhausted     Cause = "budget_exhausted"          // the remaining tokens don't cover the request
	BudgetHeld          Cause = "budget_held"               // the remaining tokens are granted to other routers
	BudgetInDoubt       Cause = "budget_in_doubt"           // the remaining tokens may have been spent by routers that died
	BudgetLow           Cause = "budget_low"                // the few remaining tokens are kept for more urgent or smaller requests
	BudgetUnreachable   Cause = "budget_unreachable"        // this router's grant is used up and the store unreachable
	NoBackend           Cause = "no_backend"                // no server to send the request to
	BackendsEvacuated   Cause = "backends_evacuated"        // operators have ordered all servers evacuated
	BackendsCold        Cause = "backends_cold"             // all servers have recently started and can handle only few requests
	BackendsLimited     Cause = "backends_limited"          // all servers are cold or limit their request rate
	BackendsBusy        Cause = "backends_busy"             // the servers have as many requests as they can take, and others go first
	BackendsUnavailable Cause = "backends_unavailable"      // all servers have asked for a time without requests
	BackendsOutdated    Cause = "backends_outdated"         // what is known of the servers is too old, since this VM's link is full
	// StreamVersionUnknown: at which version of the servers' software the stream began is unknown.
	StreamVersionUnknown Cause = "stream_version_unknown"
	// StreamVersionGone: no server of the version at which the stream began is left.
	StreamVersionGone Cause = "stream_version_gone"
	// VersionNotAdmitted: new streams may not begin yet at the version of any server.
	VersionNotAdmitted Cause = "version_not_admitted"
	BackendRejected    Cause = "backend_rejected"    // the server answered that it did not run the request
	RouterStopping     Cause = "router_stopping"     // this process is shutting down
	RouterFull         Cause = "router_full"         // no memory for the request, or its client took too long to send it
	RequestQuarantined Cause = "request_quarantined" // the request crashes the servers that run it
	OverdueUnsent      Cause = "overdue_unsent"      // deadline exceeded before the request was sent
	TimedOut           Cause = "timed_out"           // sent, no answer before the deadline
	BackendFailed      Cause = "backend_failed"      // sent, the exchange broke off
)

// NotRun reports whether the cause guarantees that the request has not run and never will.
func (c Cause) NotRun() bool {
	return c != TimedOut && c != BackendFailed && c != KeyInUse
}

// Refusal is a final answer by the router itself.
type Refusal struct {
	Cause Cause
	// RetryAfter is the time after which a retry may succeed; zero if unknown.
	RetryAfter time.Duration
	// Detail is an optional human-readable explanation.
	Detail string
}

// RetryAfterMilliseconds returns RetryAfter in whole milliseconds, rounded up: a caller that returns too early is refused
// again.
func (r Refusal) RetryAfterMilliseconds() int64 {
	return int64((r.RetryAfter + time.Millisecond - 1) / time.Millisecond)
}

// Values of Refusal.RetryAfter.
const (
	// retrySoon is for causes that may end at once or not apply at another server or router.
	retrySoon = 250 * time.Millisecond
	// retryLater is for causes that end with a store call or the restart of a process.
	retryLater = 800 * time.Millisecond
	// retryMuchLater is for causes that an operator has to fix.
	retryMuchLater = 10 * time.Second
)

// NewRefusal returns the refusal for a cause with its usual RetryAfter.
func NewRefusal(c Cause) Refusal {
	switch c {
	case NotReady, BudgetHeld, BudgetUnreachable, NoBackend, BackendsEvacuated, BackendsCold, BackendsLimited, BackendsBusy, BackendsUnavailable, BackendsOutdated, VersionNotAdmitted, RouterFull:
		return Refusal{Cause: c, RetryAfter: retryLater}
	case BudgetInDoubt, BudgetLow, StreamVersionGone:
		return Refusal{Cause: c, RetryAfter: retryMuchLater}
	case BackendRejected, RouterStopping, OverdueUnsent, StreamVersionUnknown:
		return Refusal{Cause: c, RetryAfter: retrySoon}
	}
	return Refusal{Cause: c}
}
