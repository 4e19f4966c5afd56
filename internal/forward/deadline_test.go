package forward

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/balance"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/pacing"
	"chicorytiller.example/chicorytiller/internal/policy"
	"chicorytiller.example/chicorytiller/internal/quarantine"
	"chicorytiller.example/chicorytiller/internal/request"
	"chicorytiller.example/chicorytiller/internal/retry"
	"chicorytiller.example/chicorytiller/internal/upstream"
)

// refusedCaller keeps the refusal and when it came.
type refusedCaller struct {
	refusal Refusal
	at      time.Time
}

func (c *refusedCaller) Refuse(r Refusal)                      { c.refusal, c.at = r, time.Now() }
func (c *refusedCaller) Answer(int, http.Header, []byte) error { return errors.New("not expected") }
func (c *refusedCaller) Begin(int, http.Header, int64)         {}
func (c *refusedCaller) Write([]byte) error                    { return errors.New("not expected") }
func (c *refusedCaller) Abort()                                {}
func (c *refusedCaller) Served(time.Duration, time.Duration)   {}
func (c *refusedCaller) Refused(Cause)                         {}
func (c *refusedCaller) Retried(string)                        {}
func (c *refusedCaller) Predicted(_, _ time.Duration)          {}
func (c *refusedCaller) LoadFault(upstream.LoadFault)          {}

// unreachableBackend takes a while to find out that a server can't be connected to.
type unreachableBackend struct {
	dials    int
	duration time.Duration
}

func (b *unreachableBackend) Do(ctx context.Context, _ *upstream.Attempt) (*upstream.Reply, error) {
	b.dials++
	select {
	case <-ctx.Done():
	case <-time.After(b.duration):
	}
	return nil, &upstream.Error{Kind: upstream.ErrNotSent, Cause: errors.New("i/o timeout")}
}

// unpaced is a pacer of servers that are neither cold nor limited.
type unpaced struct{}

func (unpaced) Paced(*fleet.Server) bool          { return false }
func (unpaced) CanAcquire(*fleet.Server) bool     { return true }
func (unpaced) TryAcquire(*fleet.Server) bool     { return true }
func (unpaced) ProbeDue(*fleet.Server) bool       { return false }
func (unpaced) Delay(*fleet.Server) time.Duration { return 0 }

// refuse runs a request with the given timeout at a router whose link has the delay, and returns
// how long the router kept it and how often it tried to connect.
func refuse(t *testing.T, timeout, delay time.Duration) (kept time.Duration, dials int, cause Cause) {
	synctest.Test(t, func(t *testing.T) {
		backend := &unreachableBackend{duration: 400 * time.Millisecond}
		caller := &refusedCaller{}
		servers := []*fleet.Server{fleet.NewServer(fleet.Entry{ID: "a"}), fleet.NewServer(fleet.Entry{ID: "b"}), fleet.NewServer(fleet.Entry{ID: "c"})}
		f := &Forwarder{
			Servers:      func(string) []*fleet.Server { return servers },
			Chooser:      balance.NewChooser("here", unpaced{}, nil),
			PriorityGate: &pacing.PriorityGate{Now: time.Now},
			Retries:      retry.NewBudget(retry.Limits{}, 1, nil), Quarantine: quarantine.New(nil, nil),
			Fragility: pacing.NewAnnouncedRates(pacing.Fragility, event.Discard(), nil),
			Backend:   backend, Log: event.Discard(), Metrics: caller,
			LinkDelay:       func() time.Duration { return delay },
			ServersOutdated: func() bool { return false },
		}
		r := &request.Request{Arrived: time.Now(), Route: &policy.Route{Timeout: timeout, MaxAttempts: 2}}
		newTask(f, policy.New(policy.Definition{}), r, caller).run(t.Context())
		kept, dials, cause = caller.at.Sub(r.Arrived), backend.dials, caller.refusal.Cause
	})
	return kept, dials, cause
}

// Guards against refusals that a full link delivers long after the route's timeout.
func TestRefusalLeavesTimeForFullLink(t *testing.T) {
	c := qt.New(t)
	const timeout, delay = 1200 * time.Millisecond, 500 * time.Millisecond
	kept, _, cause := refuse(t, timeout, delay)
	c.Assert(cause, qt.Equals, OverdueUnsent)
	c.Assert(kept <= timeout-delay, qt.IsTrue, qt.Commentf("kept for %v", kept))
}

// Guards against holding a request for which the link leaves no time.
func TestRequestWithoutTimeForFullLinkIsRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	kept, dials, cause := refuse(t, 1200*time.Millisecond, 700*time.Millisecond)
	c.Assert(cause, qt.Equals, OverdueUnsent)
	c.Assert(kept, qt.Equals, time.Duration(0))
	c.Assert(dials, qt.Equals, 0)
}

// Guards against deadlines that are cut while the link is idle.
func TestIdleLinkLeavesAllTime(t *testing.T) {
	c := qt.New(t)
	kept, dials, _ := refuse(t, 1500*time.Millisecond, 3*time.Millisecond)
	c.Assert(kept, qt.Equals, 1200*time.Millisecond, qt.Commentf("three servers, 400 ms each"))
	c.Assert(dials, qt.Equals, 3)
}

// Guards against requests that reach servers long after these have left, because this router's
// full link kept the news from it.
func TestNothingIsSentWithOutdatedServers(t *testing.T) {
	c := qt.New(t)
	backend, caller := &unreachableBackend{}, &refusedCaller{}
	f := &Forwarder{
		Servers:   func(string) []*fleet.Server { return []*fleet.Server{fleet.NewServer(fleet.Entry{ID: "a"})} },
		Fragility: pacing.NewAnnouncedRates(pacing.Fragility, event.Discard(), nil),
		Chooser:   balance.NewChooser("here", unpaced{}, nil), Backend: backend, Log: event.Discard(), Metrics: caller,
		LinkDelay:       func() time.Duration { return 0 },
		ServersOutdated: func() bool { return true },
	}
	r := &request.Request{Arrived: time.Now(), Route: &policy.Route{Timeout: time.Second, MaxAttempts: 2}}
	newTask(f, policy.New(policy.Definition{}), r, caller).run(t.Context())
	c.Assert(caller.refusal.Cause, qt.Equals, BackendsOutdated)
	c.Assert(caller.refusal.Cause.NotRun(), qt.IsTrue)
	c.Assert(backend.dials, qt.Equals, 0)
}
