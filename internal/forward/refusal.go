package forward

import (
	"time"
)

// Cause is why a request gets no answer of a backend server.
type Cause string

// Causes. Those up to OverdueUnsent say that the request has not run and never will.
const (
	NotReady           Cause = "no_configuration" // none known yet
	Malformed          Cause = "bad_request"      // the interface can't make a request of it
	UnknownRoute       Cause = "unknown_route"    // no route fits host and path
	UnknownKey         Cause = "unknown_key"      // no client account holds the key
	NotInContract      Cause = "not_in_contract"  // the account may not use the service
	BodyTooLarge       Cause = "body_too_large"   // over the configured limit
	OverLimit          Cause = "over_limit"       // of the account's requests at once or a second
	KeyRequired        Cause = "idempotency_key_required"
	KeyReused          Cause = "idempotency_key_reused"    // with another request
	KeyInUse           Cause = "idempotency_key_in_use"    // its first request is not over, or its answer not kept
	KeyUnclaimed       Cause = "idempotency_key_unclaimed" // store away
	BudgetExhausted    Cause = "budget_exhausted"          // what is left doesn't cover it
	BudgetHeld         Cause = "budget_held"               // the rest is granted to other routers
	BudgetInDoubt      Cause = "budget_in_doubt"           // the rest may be spent by routers that died
	BudgetUnreachable  Cause = "budget_unreachable"        // own grant used up, store away
	NoBackend          Cause = "no_backend"                // none to send it to
	BackendsEvacuated  Cause = "backends_evacuated"        // operators ordered to send nothing to any of them
	BackendsCold       Cause = "backends_cold"             // all have just started and bear few requests
	BackendsLimited    Cause = "backends_limited"          // all bear few requests, some by a limit that they name
	BackendRejected    Cause = "backend_rejected"          // the server said that it did not run it
	RouterStopping     Cause = "router_stopping"           // this process stops
	RequestQuarantined Cause = "request_quarantined"       // it breaks the servers that run it
	OverdueUnsent      Cause = "overdue_unsent"            // time ran out before it was sent
	TimedOut           Cause = "timed_out"                 // sent, no answer in time
	BackendFailed      Cause = "backend_failed"            // sent, the exchange broke
)

// NotRun says whether the cause promises that the request has not run and won't.
func (c Cause) NotRun() bool {
	return c != TimedOut && c != BackendFailed && c != KeyInUse
}

// Refusal is a final answer of the router's own.
type Refusal struct {
	Cause Cause
	// RetryAfter is when another try makes sense; zero: it doesn't say.
	RetryAfter time.Duration
	// Detail tells a person more; it may be empty.
	Detail string
}

// Times after which another try makes sense.
const (
	// retrySoon suits a rejection: another server or router may be free at once.
	retrySoon = 250 * time.Millisecond
	// retryLater suits what a store call or a restarted process has to mend.
	retryLater = 800 * time.Millisecond
	// retryMuchLater suits what an operator has to mend.
	retryMuchLater = 10 * time.Second
)

// NewRefusal is the refusal for a cause, with the time after which another try makes
// sense.
func NewRefusal(c Cause) Refusal {
	switch c {
	case NotReady, BudgetHeld, BudgetUnreachable, NoBackend, BackendsEvacuated, BackendsCold, BackendsLimited:
		return Refusal{Cause: c, RetryAfter: retryLater}
	case BudgetInDoubt:
		return Refusal{Cause: c, RetryAfter: retryMuchLater}
	case BackendRejected, RouterStopping, OverdueUnsent:
		return Refusal{Cause: c, RetryAfter: retrySoon}
	}
	return Refusal{Cause: c}
}
