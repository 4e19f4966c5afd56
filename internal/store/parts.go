package store

import (
	"context"
	"sync/atomic"
	"time"
)

// progressKey is the context key of the function set by WithProgressFunc.
type progressKey struct{}

// WithProgressFunc returns a context with which a Store calls report for each part of an
// answer that arrives. Functions set on ctx before are called as well.
func WithProgressFunc(ctx context.Context, report func()) context.Context {
	outer := ctx
	return context.WithValue(ctx, progressKey{}, func() {
		report()
		ReportProgress(outer)
	})
}

// ReportProgress must be called by implementations of Store when a part of an answer arrives.
func ReportProgress(ctx context.Context) {
	if report, ok := ctx.Value(progressKey{}).(func()); ok {
		report()
	}
}

const (
	// maxTransferTime limits a call while parts of its answer keep arriving.
	maxTransferTime = 15 * time.Second
	// maxPartGap is the longest pause between two parts of an answer that is still arriving.
	maxPartGap = 250 * time.Millisecond
)

// withIdleTimeout returns a context that is cancelled once no part of an answer has arrived for
// timeout. A fixed limit would not do: a large answer over a slow link takes longer than any pause
// on a working network path.
func withIdleTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, maxTransferTime)
	idle := time.AfterFunc(timeout, cancel)
	ctx = WithProgressFunc(ctx, func() { idle.Reset(timeout) })
	return ctx, func() {
		idle.Stop()
		cancel()
	}
}

// pendingCall is a call that may be under way, and the progress of its answer. Only the store's answers
// report progress.
type pendingCall struct {
	full     bool // a read of everything, not of the changes only
	cancel   context.CancelFunc
	lastPart atomic.Pointer[time.Time] // arrival of the last part; nil: none yet
}

// arriving reports whether parts of the answer keep arriving.
func (p *pendingCall) arriving(now time.Time) bool {
	part := p.lastPart.Load()
	return part != nil && now.Sub(*part) < maxPartGap
}
