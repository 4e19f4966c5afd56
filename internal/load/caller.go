package load

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Status is how one logical request ended for its caller.
type Status string

// Statuses.
const (
	StatusOK        Status = "ok"
	StatusRefused   Status = "refused"   // the last try got a typed error
	StatusLost      Status = "lost"      // no whole answer until the deadline
	StatusSpliced   Status = "spliced"   // bytes that differ from the right ones
	StatusTruncated Status = "truncated" // ended in good form before its last byte
)

// RetryPolicy bounds what a caller does after a try that brought no answer.
type RetryPolicy struct {
	Deadline      time.Duration // of the whole logical request
	TryTimeout    time.Duration // of one try with its whole answer; 0: the rest of Deadline
	MaxTries      int
	MaxRetryAfter time.Duration // a longer Retry-After ends the request
	Backoff       time.Duration // first wait after a broken try; doubles
	Rotate        bool          // spread requests over all addresses, rather than use the best first
}

// maxBackoff bounds the doubling wait.
const maxBackoff = 2 * time.Second

// Result is one logical request with all its tries.
type Result struct {
	Request            Request
	Status             Status
	Refusal            *Refusal // of the last try, when refused
	Err                error    // of the last try
	RequestID          string   // as the router named it last
	Usage              Usage
	Tries              int
	BrokenTries        int // tries whose answer began and broke
	IndeterminateTries int // tries that may have run though they brought no whole answer
	TimeToFirstToken   time.Duration
	TotalTime          time.Duration
	InterTokenTimes    []time.Duration
}

// Caller carries out logical requests as a real caller does: at the addresses of
// the entry answer in turn, with one key over all tries.
type Caller struct {
	client      *Client
	directories []*Directory // by account
	policy      RetryPolicy
	wait        func(ctx context.Context, d time.Duration) error
}

// NewCaller makes a caller. A nil wait sleeps on the real clock.
func NewCaller(client *Client, directories []*Directory, policy RetryPolicy, wait func(context.Context, time.Duration) error) *Caller {
	if wait == nil {
		wait = sleep
	}
	return &Caller{client: client, directories: directories, policy: policy, wait: wait}
}

// Call carries out one logical request.
func (c *Caller) Call(ctx context.Context, req Request) Result {
	start := time.Now()
	deadline := start.Add(c.policy.Deadline)
	result := Result{Request: req}
	turn := turns{directory: c.directories[req.Account]}
	if c.policy.Rotate {
		turn.offset = req.Index
	}
	backoff := c.policy.Backoff
	for result.Tries < c.policy.MaxTries {
		result.Tries++
		var out reply
		err := c.tryNext(&turn, &result.Request, deadline, &out)
		result.take(err, &out, start)
		pause, again := c.pauseAfter(err, turn.more, &backoff)
		if !again || time.Until(deadline) <= pause {
			break
		}
		if c.wait(ctx, pause) != nil {
			break
		}
	}
	result.TotalTime = time.Since(start)
	return result
}

func (c *Caller) tryNext(turn *turns, req *Request, deadline time.Time, out *reply) error {
	address, err := turn.address()
	if err != nil {
		return errors.Wrap(ErrNoResponse, err.Error())
	}
	if until := time.Now().Add(c.policy.TryTimeout); c.policy.TryTimeout > 0 && until.Before(deadline) {
		deadline = until
	}
	err = c.client.try(address, req, deadline, out)
	if doesNotServe(err) {
		turn.directory.MarkFailed(address)
	}
	return err
}

// Causes by which a router says that it takes no more requests.
const (
	causeDraining = "draining"
	causeFenced   = "router_fenced"
)

func doesNotServe(err error) bool {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal.Cause == causeDraining || refusal.Cause == causeFenced
	}
	return errors.Is(err, ErrNoResponse) || errors.Is(err, ErrInterrupted)
}

// pauseAfter decides whether a caller tries again after err, and when. While other
// addresses are left a failed connection costs no wait.
func (c *Caller) pauseAfter(err error, othersLeft bool, backoff *time.Duration) (pause time.Duration, again bool) {
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
	case errors.Is(err, ErrNoResponse) && othersLeft:
		return 0, true
	case errors.Is(err, ErrNoResponse), errors.Is(err, ErrInterrupted):
	default: // wrong bytes: trying again would hide the fault
		return 0, false
	}
	pause = *backoff
	*backoff = min(*backoff*2, maxBackoff)
	return pause, true
}

const outcomeNotRun = "not_run"

func saysNotRun(err error) bool {
	var refusal *Refusal
	return errors.As(err, &refusal) && refusal.Outcome == outcomeNotRun
}

// take notes how a try ended.
func (r *Result) take(err error, out *reply, start time.Time) {
	r.Err, r.Refusal = err, nil
	if err != nil && !saysNotRun(err) {
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
		r.TimeToFirstToken = out.first.Sub(start)
		r.InterTokenTimes = out.gaps
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
