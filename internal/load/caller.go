package load

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Status is the final outcome of a logical request as its caller sees it.
type Status string

// Outcomes of a logical request.
const (
	StatusOK        Status = "ok"
	StatusRefused   Status = "refused"   // the last try got an error response or an error event
	StatusLost      Status = "lost"      // the last try got no complete answer
	StatusSpliced   Status = "spliced"   // content, finish reason or usage differs from the expected answer
	StatusTruncated Status = "truncated" // well-formed, but shorter than the expected answer
)

// RetryPolicy limits the tries of a logical request.
type RetryPolicy struct {
	Deadline      time.Duration // of the whole logical request
	TryTimeout    time.Duration // of one try until its answer is complete; 0: the rest of Deadline
	MaxTries      int
	MaxRetryAfter time.Duration // a longer Retry-After ends the request
	Backoff       time.Duration // first delay where no Retry-After is given; doubles each time
	Rotate        bool          // start at a different address per request, rather than at the preferred one
}

// maxBackoff limits the exponential backoff.
const maxBackoff = 2 * time.Second

// Result is the result of a logical request over all its tries.
type Result struct {
	Request            Request
	Status             Status
	Refusal            *Refusal // of the last try, if refused
	Err                error    // of the last try
	RequestID          string   // the latest that a response named
	Usage              Usage
	Tries              int
	BrokenTries        int           // tries interrupted after the response had begun
	IndeterminateTries int           // failed tries that may have been executed
	TimeToFirstToken   time.Duration // from the start of the first try
	TotalTime          time.Duration // of all tries and the delays between them
	InterTokenTimes    []time.Duration
}

// Caller sends logical requests as a client application does: it tries the addresses
// of the entry response one after the other, with the same idempotency key.
type Caller struct {
	client *Client
	caches []*AddressCache // by account index
	policy RetryPolicy
	wait   func(ctx context.Context, d time.Duration) error
}

// NewCaller returns a Caller. wait delays a retry; nil means to sleep.
func NewCaller(client *Client, caches []*AddressCache, policy RetryPolicy, wait func(context.Context, time.Duration) error) *Caller {
	if wait == nil {
		wait = sleep
	}
	return &Caller{client: client, caches: caches, policy: policy, wait: wait}
}

// Call sends a logical request and retries it as the policy allows.
func (c *Caller) Call(ctx context.Context, req Request) Result {
	start := time.Now()
	deadline := start.Add(c.policy.Deadline)
	result := Result{Request: req}
	picker := addressPicker{cache: c.caches[req.Account]}
	if c.policy.Rotate {
		picker.offset = req.Index
	}
	backoff := c.policy.Backoff
	for result.Tries < c.policy.MaxTries {
		result.Tries++
		var out tryResult
		err := c.tryNext(&picker, &result.Request, deadline, &out)
		result.recordTry(err, &out, start)
		delay, retry := c.retryDelay(err, picker.hasUntried, &backoff)
		if !retry || time.Until(deadline) <= delay {
			break
		}
		if c.wait(ctx, delay) != nil {
			break
		}
	}
	result.TotalTime = time.Since(start)
	return result
}

// tryNext sends req to the picker's next address. If that address is unavailable, it marks it
// as failed.
func (c *Caller) tryNext(picker *addressPicker, req *Request, deadline time.Time, out *tryResult) error {
	address, err := picker.next()
	if err != nil {
		return errors.Wrap(ErrNoResponse, err.Error())
	}
	if tryDeadline := time.Now().Add(c.policy.TryTimeout); c.policy.TryTimeout > 0 && tryDeadline.Before(deadline) {
		deadline = tryDeadline
	}
	err = c.client.try(address, req, deadline, out)
	if isUnavailable(err) {
		picker.cache.MarkFailed(address)
	}
	return err
}

// Causes with which a router refuses all new requests.
const (
	causeDraining = "draining"
	causeFenced   = "router_fenced"
)

// isUnavailable reports whether err suggests that the router cannot serve any request.
func isUnavailable(err error) bool {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal.Cause == causeDraining || refusal.Cause == causeFenced
	}
	return errors.Is(err, ErrNoResponse) || errors.Is(err, ErrInterrupted)
}

// retryDelay returns whether to try again after err, and after which delay. If there was
// no response and hasUntried tells that an address is still untried, there is no delay.
func (c *Caller) retryDelay(err error, hasUntried bool, backoff *time.Duration) (delay time.Duration, retry bool) {
	var refusal *Refusal
	switch {
	case err == nil:
		return 0, false
	case errors.As(err, &refusal):
		inStream := refusal.Status == 200
		if refusal.RetryAfter > c.policy.MaxRetryAfter || (refusal.RetryAfter == 0 && !inStream) {
			return 0, false
		}
		if refusal.RetryAfter > 0 {
			return refusal.RetryAfter, true
		}
	case errors.Is(err, ErrNoResponse) && hasUntried:
		return 0, true
	case errors.Is(err, ErrNoResponse), errors.Is(err, ErrInterrupted):
	default: // wrong content: a retry would hide the fault
		return 0, false
	}
	delay = *backoff
	*backoff = min(*backoff*2, maxBackoff)
	return delay, true
}

const outcomeNotRun = "not_run"

func isNotRun(err error) bool {
	var refusal *Refusal
	return errors.As(err, &refusal) && refusal.Outcome == outcomeNotRun
}

// recordTry updates the result with the outcome of a try.
func (r *Result) recordTry(err error, out *tryResult, start time.Time) {
	r.Err, r.Refusal = err, nil
	if err != nil && !isNotRun(err) {
		r.IndeterminateTries++
	}
	if out.requestID != "" {
		r.RequestID = out.requestID
	}
	var refusal *Refusal
	switch {
	case err == nil:
		r.Status = StatusOK
		r.Usage = out.usage
		r.TimeToFirstToken = out.firstContent.Sub(start)
		r.InterTokenTimes = out.interTokenTimes
	case errors.As(err, &refusal):
		r.Status, r.Refusal = StatusRefused, refusal
		if refusal.RequestID != "" {
			r.RequestID = refusal.RequestID
		}
	case errors.Is(err, ErrTruncated):
		r.Status = StatusTruncated
	case errors.Is(err, ErrMismatch):
		r.Status = StatusSpliced
	case errors.Is(err, ErrInterrupted):
		r.Status = StatusLost
		r.BrokenTries++
	default:
		r.Status = StatusLost
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
}
