package forward

import (
	"context"
	"time"

	"chicorytiller.example/chicorytiller/internal/admission"
	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/policy"
	"chicorytiller.example/chicorytiller/internal/request"
	"chicorytiller.example/chicorytiller/internal/upstream"
)

// Admission decides which requests are sent while a service's servers are full.
type Admission interface {
	// Admit waits until the request is admitted or refused, or its caller has left. Done must be called on the ticket when an
	// admitted request ends.
	Admit(ctx context.Context, r admission.Request) (*admission.Ticket, *admission.Refusal)
	// Look returns what Admit would decide, and changes nothing.
	Look(r admission.Request) admission.Look
	// Observe takes over what a response says about its server's load.
	Observe(service string, s admission.Signal)
	// Short reports whether the service's capacity is short.
	Short(service string) bool
}

// canRefuseLater reports whether the refusal would still be in time if a server rejected another attempt, which then
// takes as long as the one that was rejected now. While capacity is short this is likely. A request that may have run
// gets no refusal.
func (t *task) canRefuseLater() bool {
	now := time.Now()
	inTime := now.Sub(t.r.Arrived)+now.Sub(t.sentAt) <= admission.RefuseWithin
	return inTime || t.mayHaveRun || t.f.Admission == nil || !t.f.Admission.Short(t.r.Service)
}

// admitCapacity lets the request wait until there is capacity for it, or returns a refusal. The ticket is
// nil if the request is not subject to admission: requests to fragile servers need a permit instead.
func (f *Forwarder) admitCapacity(ctx context.Context, r *request.Request) (*admission.Ticket, *admission.Refusal) {
	if f.Admission == nil || f.isFragile(r.Service) {
		return nil, nil
	}
	return f.Admission.Admit(ctx, f.admissionRequest(r))
}

func admissionRefusal(refused *admission.Refusal) *Refusal {
	return &Refusal{Cause: BackendsBusy, RetryAfter: refused.RetryAfter, Detail: string(refused.Cause)}
}

func (f *Forwarder) admissionRequest(r *request.Request) admission.Request {
	a := admission.Request{
		Service: r.Service, Route: r.Route.Name, Arrived: r.Arrived, Priority: r.Priority(), Deadline: f.deadline(r),
		Goal: r.Route.LatencyGoal, Whole: r.Route.Kind != policy.Streaming, Work: float64(r.MaxTokens()),
	}
	if r.Account != nil {
		a.Account = r.Account.Name
	}
	if r.HasResume {
		a.Priority = 0 // a part of its answer would be lost
	}
	return a
}

// deadline returns when the answer has to be ready; zero if neither the caller nor the route states a timeout.
func (f *Forwarder) deadline(r *request.Request) time.Time {
	timeout := r.Timeout
	if r.Route.Timeout > 0 && (timeout == 0 || r.Route.Timeout < timeout) {
		timeout = r.Route.Timeout
	}
	if timeout <= 0 {
		return time.Time{}
	}
	// The caller's clock began when it sent the request, and stops when it has the answer; a full link
	// holds up both.
	return r.Arrived.Add(timeout - min(f.LinkDelay(), timeout/2))
}

// admissionOutcome returns what became of an admitted request.
func (t *task) admissionOutcome() admission.Outcome {
	if !t.answered {
		return admission.Outcome{Unsent: t.sends == 0}
	}
	return admission.Outcome{Served: true, Took: time.Since(t.sentAt)}
}

// observeLoad reports a response to admission, unless other mechanisms limit the requests to its server: it is
// cold, rate-limited, fragile or leaving, or wants no requests for a time.
func (f *Forwarder) observeLoad(server *fleet.Server, reply *upstream.Reply) {
	if f.Admission == nil || reply.Leaving || reply.ColdFor > 0 || reply.RetryAfter > 0 ||
		reply.RateLimit.State != fleet.RateAbsent || reply.Fragile.State != fleet.RateAbsent {
		return
	}
	f.Admission.Observe(server.Service, admission.Signal{
		Incarnation: server.Incarnation, Load: reply.Load, HasLoad: reply.HasLoad, Rejected: reply.NotExecuted,
	})
}
