package forward

import (
	"context"
	"slices"
	"time"

	"chicorytiller.example/chicorytiller/internal/balance"
	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/permits"
	"chicorytiller.example/chicorytiller/internal/request"
)

const (
	// maxPermitServers is the number of fragile servers whose grantors one attempt asks for a permit.
	maxPermitServers = 3
	// maxPermitTime bounds the time in which one attempt asks. It allows for one slow grantor.
	maxPermitTime = 800 * time.Millisecond
)

// isFragile reports whether the servers of a service are known to be fragile.
func (f *Forwarder) isFragile(service string) bool {
	_, fragile := f.Fragility.Lookup(service)
	return fragile
}

// heldOff returns for how long no permit should be asked for at any of a fragile service's servers, or zero
// if there is one at which it may be.
func (f *Forwarder) heldOff(r *request.Request, servers []*fleet.Server) time.Duration {
	if !f.isFragile(r.Service) {
		return 0
	}
	shortest, now := time.Duration(0), time.Now()
	for _, s := range servers {
		if !s.AcceptsRequests(now) {
			continue
		}
		wait := f.Permits.HeldOff(s, r.Priority())
		if wait <= 0 {
			return 0
		}
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}

// permitted is a server that the request may be sent to.
type permitted struct {
	balance.Choice
	// release returns the permit; nil if none was needed.
	release func(permits.Outcome)
}

// admit chooses a server and acquires a permit if it is fragile. The Server is nil if there is none for the
// request; refused is then the answer of the grantor that expects a free place soonest, if any was asked.
func (t *task) admit(ctx context.Context) (chosen permitted, refused *permits.Answer) {
	if !t.isFragile() {
		return permitted{Choice: t.f.Chooser.Choose(t.f.servers(t.r), t.r, t.excluded)}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, maxPermitTime)
	defer cancel()
	return t.admitWithPermit(ctx)
}

// admitWithPermit asks for a permit for the servers that suit best, one after the other. If none has a free
// place, the request waits in the queue of the best.
func (t *task) admitWithPermit(ctx context.Context) (chosen permitted, refused *permits.Answer) {
	var denied []*fleet.Server
	excluded := func(s *fleet.Server) bool { return t.excluded(s) || slices.Contains(denied, s) || t.isHeldOff(s) }
	var first balance.Choice // whose queue has room
	for asked := 0; asked < maxPermitServers && ctx.Err() == nil; {
		choice := t.f.Chooser.Choose(t.f.servers(t.r), t.r, excluded)
		if choice.Server == nil {
			break
		}
		release, answer := t.f.Permits.Acquire(ctx, choice.Server, t.permitPriority(), 0)
		if answer.Granted {
			return permitted{choice, release}, nil
		}
		denied = append(denied, choice.Server)
		if !answer.IsUnreached() {
			asked++
		}
		refused = sooner(refused, answer)
		if first.Server == nil && answer.HoldOff == 0 && !answer.IsUnreached() {
			first = choice
		}
	}
	if first.Server == nil || ctx.Err() != nil {
		return permitted{}, refused
	}
	release, answer := t.f.Permits.Acquire(ctx, first.Server, t.permitPriority(), t.permitWait())
	if answer.Granted {
		return permitted{first, release}, nil
	}
	return permitted{}, sooner(refused, answer)
}

// permitPriority returns the priority at which the request asks for a permit. A stream that was broken off
// goes first: a part of its answer would be lost.
func (t *task) permitPriority() int {
	if t.headSent {
		return 0
	}
	return t.r.Priority()
}

// permitWait returns how long the request may wait for a permit.
func (t *task) permitWait() time.Duration {
	if t.deadline.IsZero() {
		return permits.MaxWait
	}
	return min(permits.MaxWait, time.Until(t.deadline)/2)
}

func (t *task) isHeldOff(s *fleet.Server) bool {
	return t.f.Permits.HeldOff(s, t.permitPriority()) > 0
}

// sooner returns the answer that names the earlier time to ask again.
func sooner(known *permits.Answer, answer permits.Answer) *permits.Answer {
	if known != nil && known.RetryAfter <= answer.RetryAfter {
		return known
	}
	return &answer
}

// giveUpBusy refuses the request because no fragile server can take it now.
func (t *task) giveUpBusy(answer permits.Answer) bool {
	return t.giveUpWith(Refusal{Cause: BackendsBusy, RetryAfter: max(retrySoon, answer.RetryAfter)})
}

// permitOutcome returns what became of a request that had a permit.
func (t *task) permitOutcome(o outcome) permits.Outcome {
	switch {
	case o == rejected:
		return permits.Rejected
	case o == finished && !t.pastDeadline(), o == unreachable, t.answerRead:
		return permits.Served
	}
	return permits.Abandoned
}
