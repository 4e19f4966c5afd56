package store

import (
	"context"
	"sync/atomic"
	"time"
)

// progressKey is the key of a context's function to call.
type progressKey struct{}

// WithProgressFunc returns a context whose calls to a Store report each part of an answer that comes.
func WithProgressFunc(ctx context.Context, report func()) context.Context {
	outer := ctx
	return context.WithValue(ctx, progressKey{}, func() {
		report()
		ReportProgress(outer)
	})
}

// ReportProgress is called by a Store's adapter when a part of an answer has come.
func ReportProgress(ctx context.Context) {
	if report, wanted := ctx.Value(progressKey{}).(func()); wanted {
		report()
	}
}

const (
	// maxTransferTime bounds a call of whose answer parts keep coming.
	maxTransferTime = 15 * time.Second
	// maxPartGap is the longest pause between two parts of an answer that is on its way.
	maxPartGap = 250 * time.Millisecond
)

// withIdleTimeout returns a context that ends once no part of an answer has come for patience. A large
// answer over a small link takes longer than any silence that a sound path makes.
func withIdleTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, maxTransferTime)
	idle := time.AfterFunc(timeout, cancel)
	ctx = WithProgressFunc(ctx, func() { idle.Reset(timeout) })
	return ctx, func() {
		idle.Stop()
		cancel()
	}
}

// transfer is a call to the store whose answer may be on its way.
type transfer struct {
	full     bool // everything is asked for, not the changes only
	cancel   context.CancelFunc
	lastPart atomic.Pointer[time.Time] // when the last part came; nil: none has
}

// arriving says whether parts of the answer keep coming.
func (t *transfer) arriving(now time.Time) bool {
	part := t.lastPart.Load()
	return part != nil && now.Sub(*part) < maxPartGap
}
