package gateway

import (
	"context"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/backend"
	"chicorytiller.example/chicorytiller/internal/core"
	"chicorytiller.example/chicorytiller/internal/id"
)

// settlement ends one admission exactly once, by Finish or by Abandon.
//
// An admission that nobody ends keeps its reservation: the budget then looks
// spent and callers are refused although money is left. One that is ended twice
// could be billed twice. So whoever takes an admission defers release, which
// does nothing once finish or abandon has been called.
type settlement struct {
	gate      core.Gate
	requestID id.Request
	settled   bool
	// cause and used are what release abandons with.
	cause core.Cause
	used  backend.Usage
}

func newSettlement(gate core.Gate, requestID id.Request) settlement {
	return settlement{gate: gate, requestID: requestID, cause: core.CauseInternal}
}

// finish bills the request. On an error the end of the answer must not be sent,
// and the admission has ended all the same: whether the bill is held isn't known.
func (s *settlement) finish(ctx context.Context, done core.Completion) error {
	s.settled = true
	if err := s.gate.Finish(ctx, s.requestID, done); err != nil {
		return refusalFrom(ctx, err, core.OutcomeUnknown)
	}
	return nil
}

// release abandons the request unless it has ended.
func (s *settlement) release() {
	if s.settled {
		return
	}
	s.settled = true
	s.gate.Abandon(s.requestID, s.used, s.cause)
}

// refusalFrom turns an error of the Gate into a refusal.
//
// The outcome not_run is a promise to the caller. Where an attempt may have run
// (known is unknown), no layer below may take that back: it is overruled here.
func refusalFrom(ctx context.Context, err error, known core.Outcome) *core.Refusal {
	var refused *core.Refusal
	if errors.As(err, &refused) {
		told := *refused
		if known == core.OutcomeUnknown || told.Outcome == "" {
			told.Outcome = known
		}
		return &told
	}
	if ctx.Err() != nil {
		return deadlineRefusal(known)
	}
	return &core.Refusal{Cause: core.CauseInternal, Outcome: known, Detail: "internal error"}
}

// admitRefusal turns an error of Admit into a refusal. The core's own word
// stands. Where it gave none (the deadline passed first), a request without a key
// did not run; one with a key may have run before, at another router.
func admitRefusal(ctx context.Context, err error, request call) *core.Refusal {
	var refused *core.Refusal
	if errors.As(err, &refused) {
		return refused
	}
	known := core.OutcomeNotRun
	if request.keyed() {
		known = core.OutcomeUnknown
	}
	return refusalFrom(ctx, err, known)
}

func deadlineRefusal(known core.Outcome) *core.Refusal {
	return &core.Refusal{Cause: core.CauseDeadline, Outcome: known, Detail: "the deadline has passed"}
}
