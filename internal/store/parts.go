package store

import (
	"context"
	"sync/atomic"
	"time"
)

// partKey is the key of a context's function to call.
type partKey struct{}

// WithProgressFunc returns a context whose calls to a Store report each part of an answer that comes.
func WithProgressFunc(ctx context.Context, report func()) context.Context {
	outer := ctx
	return context.WithValue(ctx, partKey{}, func() {
		report()
		ReportProgress(outer)
	})
}

// ReportProgress is called by a Store's adapter when a part of an answer has come.
func ReportProgress(ctx context.Context) {
	if report, wanted := ctx.Value(partKey{}).(func()); wanted {
		report()
	}
}

const (
	// transferMost bounds a call of whose answer parts keep coming.
	transferMost = 15 * time.Second
	// partsApart is the longest pause between two parts of an answer that is on its way.
	partsApart = 250 * time.Millisecond
)

// patiently returns a context that ends once no part of an answer has come for patience. A large
// answer over a small link takes longer than any silence that a sound path makes.
func patiently(ctx context.Context, patience time.Duration) (context.Context, context.CancelFunc) {
	ctx, stop := context.WithTimeout(ctx, transferMost)
	silent := time.AfterFunc(patience, stop)
	ctx = WithProgressFunc(ctx, func() { silent.Reset(patience) })
	return ctx, func() {
		silent.Stop()
		stop()
	}
}

// transfer is a call to the store whose answer may be on its way.
type transfer struct {
	whole bool // everything is asked for, not the changes only
	stop  context.CancelFunc
	part  atomic.Pointer[time.Time] // when the last part came; nil: none has
}

// isArriving says whether parts of the answer keep coming.
func (t *transfer) isArriving(now time.Time) bool {
	part := t.part.Load()
	return part != nil && now.Sub(*part) < partsApart
}
