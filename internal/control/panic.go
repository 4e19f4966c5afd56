package control

import (
	"fmt"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/core"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/platform"
)

// errPanicked is the result of a call that panicked: any part of it may have
// happened, so that the core takes the way for an unknown outcome.
var errPanicked = errors.Wrap(platform.ErrOutcomeUnknown, "control: the call panicked")

// panicReason is the reason of Fenced after a panic of the core.
const panicReason = "the decision core panicked"

// ReportPanic tells of a recovered panic by event.InvariantBroken and counts it.
func (l *Loop) ReportPanic(where string, cause any) {
	l.metrics.count(event.InvariantBroken)
	l.ports.Events.EmitPanic(where, cause)
}

// recoverCall answers the core for a call that panicked.
//
// Failure: the pool of goroutines keeps a panic until the router stops, and the
// core would wait for the call's Reply for ever: a request would hang with its
// reservation. With an error it goes the way of a call whose answer was lost.
func (l *Loop) recoverCall(action core.Action) {
	cause := recover()
	if cause == nil {
		return
	}
	l.ReportPanic(fmt.Sprintf("%T", action), cause)
	if call, answered := callOf(action); answered {
		l.reply(call, nil, errPanicked)
	}
}

// callOf is the call whose Reply the core awaits.
func callOf(action core.Action) (core.CallID, bool) {
	switch a := action.(type) {
	case core.CallPeer:
		return a.Call, true
	case core.ReadKey:
		return a.Call, true
	case core.WriteKey:
		return a.Call, true
	case core.Commit:
		return a.Call, true
	case core.CommitClaims:
		return a.Call, true
	case core.RetireHolder:
		return a.Call, true
	}
	return 0, false
}

// recoverCore ends the router after a panic of the core.
//
// Failure: the loop's goroutine would end in silence while the listeners go on to
// take requests that nobody answers. The core's state can't be trusted after a
// panic, so it isn't stepped again: those who wait are refused with an unknown
// outcome, and the router ends as one that died, for the others to settle.
func (l *Loop) recoverCore() {
	cause := recover()
	if cause == nil {
		return
	}
	l.ReportPanic("the core", cause)
	l.fence(panicReason)
	l.end()
}
