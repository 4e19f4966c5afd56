package forward

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/policy"
	"chicorytiller.example/chicorytiller/internal/request"
	"chicorytiller.example/chicorytiller/internal/upstream"
)

// linkedBackend gets no answer to the first request, and no connection for others while the first one waits.
type linkedBackend struct {
	requests atomic.Int64
	// firstEnded is how long the first request waited.
	firstEnded atomic.Int64
}

func (b *linkedBackend) Do(ctx context.Context, _ *upstream.Attempt) (*upstream.Reply, error) {
	if b.requests.Add(1) > 1 {
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
		return nil, &upstream.Error{Kind: upstream.ErrNotSent, Cause: errors.New("i/o timeout")}
	}
	began := time.Now()
	<-ctx.Done()
	b.firstEnded.Store(int64(time.Since(began)))
	return nil, &upstream.Error{Kind: upstream.ErrBroken, Cause: ctx.Err()}
}

// Guards against a request that waits in the VM's own full link and reaches its server after that has left, since it is
// kept until another server takes it, behind the same link.
func TestRequestInFullLinkIsNotKeptForOffer(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		name      string
		linkDelay time.Duration
		kept      bool
	}{{"link full", fullLinkDelay, false}, {"link free", 0, true}} {
		t.Run(test.name, func(t *testing.T) {
			a, backend := newAnsweringFleet(c, nil), &linkedBackend{}
			a.forwarder.Backend = backend
			a.forwarder.LinkDelay = func() time.Duration { return test.linkDelay }
			r := &request.Request{ID: "r1", Arrived: time.Now(), Route: &policy.Route{Kind: policy.Idempotent, Timeout: 3 * time.Second, MaxAttempts: 2}}
			newTask(a.forwarder, policy.New(policy.Definition{}), r, &a.caller).run(c.Context())
			isKept := time.Duration(backend.firstEnded.Load()) > 2*time.Second
			qt.Assert(t, isKept, qt.Equals, test.kept, qt.Commentf("it waited %v", time.Duration(backend.firstEnded.Load())))
		})
	}
}
