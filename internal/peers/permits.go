package peers

import (
	"context"
	"time"

	"chicorytiller.example/chicorytiller/internal/permits"
)

// permitCallTimeout bounds the calls about permits, beside the time that a request may wait in a queue. A
// peer that is slower is not taken for dead: another grantor would grant the same slots.
const permitCallTimeout = 500 * time.Millisecond

// AcquirePermit asks a peer for a permit. A permit that is granted too late is passed to late.
func (c *Client) AcquirePermit(ctx context.Context, address string, request permits.Request, late func()) (permits.Answer, error) {
	answer := permits.Answer{}
	err := c.callPatiently(ctx, permitCallTimeout+request.Wait, address, "AcquirePermit", request, &answer, func(answered bool) {
		if answered && answer.Granted {
			late()
		}
	})
	if err != nil {
		return permits.Answer{}, err
	}
	return answer, nil
}

// ReleasePermit returns a permit to the peer that granted it.
func (c *Client) ReleasePermit(ctx context.Context, address string, release permits.Release) error {
	return c.callPatiently(ctx, permitCallTimeout, address, "ReleasePermit", release, &struct{}{}, ignoreLate)
}

// ReportRequests tells a peer this router's requests in progress.
func (c *Client) ReportRequests(ctx context.Context, address string, report permits.Report) error {
	return c.callPatiently(ctx, permitCallTimeout, address, "ReportRequests", report, &struct{}{}, ignoreLate)
}

// callPatiently makes a call that puts the peer in backoff only if its connection fails, not if it is slow.
func (c *Client) callPatiently(ctx context.Context, timeout time.Duration, address, method string, request, answer any, late func(answered bool)) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.callWithTimeout(ctx, timeout+lateAnswerTimeout, address, method, request, answer, late)
}
