package control

import (
	"context"
	"sync"

	"chicorytiller.example/chicorytiller/internal/backend"
	"chicorytiller.example/chicorytiller/internal/core"
	"chicorytiller.example/chicorytiller/internal/id"
)

// tickets matches the answers of the core to those who wait for them.
type tickets struct {
	mu      *sync.Mutex
	last    core.Ticket
	waiting map[core.Ticket]chan core.Action
}

func newTickets() tickets {
	return tickets{mu: &sync.Mutex{}, waiting: make(map[core.Ticket]chan core.Action)}
}

func (t *tickets) open() (core.Ticket, chan core.Action) {
	answer := make(chan core.Action, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last++
	t.waiting[t.last] = answer
	return t.last, answer
}

// answer hands an answer to its waiter.
func (t *tickets) answer(action core.Action) {
	ticket := ticketOf(action)
	t.mu.Lock()
	waiting, found := t.waiting[ticket]
	delete(t.waiting, ticket)
	t.mu.Unlock()
	if found {
		waiting <- action
	}
}

// closeAll wakes all waiters without an answer.
func (t *tickets) closeAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for ticket, waiting := range t.waiting {
		close(waiting)
		delete(t.waiting, ticket)
	}
}

func ticketOf(action core.Action) core.Ticket {
	switch a := action.(type) {
	case core.AdmitReply:
		return a.Ticket
	case core.DispatchReply:
		return a.Ticket
	case core.FinishReply:
		return a.Ticket
	case core.PeerReply:
		return a.Ticket
	}
	return 0
}

var errStoppedRefusal = &core.Refusal{
	Cause: core.CauseDraining, Outcome: core.OutcomeUnknown, Detail: "this router has stopped; use another address",
}

// ask posts an event and waits for its answer; nil when the loop stopped.
func (l *Loop) ask(ctx context.Context, ev core.Event, answer chan core.Action) (core.Action, error) {
	if !l.post(ev) {
		return nil, errStoppedRefusal
	}
	select {
	case action, open := <-answer:
		if !open {
			return nil, errStoppedRefusal
		}
		return action, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-l.done:
		// Failure: an event may still be queued as the loop ends; its asker came
		// too late to be woken with the others, and would wait for ever.
		return nil, errStoppedRefusal
	}
}

// Admit implements core.Gate.
func (l *Loop) Admit(ctx context.Context, req core.AdmitRequest) (core.Admission, error) {
	ticket, answer := l.tickets.open()
	action, err := l.ask(ctx, core.Admit{Ticket: ticket, Req: req}, answer)
	if err != nil {
		l.work.Go(func() { l.dropLate(answer) })
		return core.Admission{}, err
	}
	reply, _ := action.(core.AdmitReply)
	if reply.Refusal != nil {
		return core.Admission{}, reply.Refusal
	}
	return reply.Admission, nil
}

// dropLate gives back an admission that came after its caller had gone: its
// reservation would be held for ever.
func (l *Loop) dropLate(answer chan core.Action) {
	select {
	case action := <-answer:
		reply, _ := action.(core.AdmitReply)
		if action != nil && reply.Refusal == nil && reply.Admission.Replay == nil {
			l.Abandon(reply.Admission.Request, backend.Usage{}, core.CauseCallerGone)
		}
	case <-l.ctx.Done():
	}
}

// Redispatch implements core.Gate.
func (l *Loop) Redispatch(ctx context.Context, request id.Request, failed core.FailedAttempt) (core.Dispatch, error) {
	ticket, answer := l.tickets.open()
	action, err := l.ask(ctx, core.Redispatch{Ticket: ticket, Request: request, Failed: failed}, answer)
	if err != nil {
		return core.Dispatch{}, err
	}
	reply, _ := action.(core.DispatchReply)
	if reply.Refusal != nil {
		return core.Dispatch{}, reply.Refusal
	}
	return reply.Dispatch, nil
}

// Finish implements core.Gate.
func (l *Loop) Finish(ctx context.Context, request id.Request, done core.Completion) error {
	ticket, answer := l.tickets.open()
	action, err := l.ask(ctx, core.Finish{Ticket: ticket, Request: request, Done: done}, answer)
	if err != nil {
		return err
	}
	reply, _ := action.(core.FinishReply)
	if reply.Refusal != nil {
		return reply.Refusal
	}
	return nil
}

// Abandon implements core.Gate.
func (l *Loop) Abandon(request id.Request, used backend.Usage, cause core.Cause) {
	l.post(core.Abandon{Request: request, Used: used, Cause: cause})
}

// Snapshot implements core.Gate.
func (l *Loop) Snapshot() *core.Snapshot {
	return l.snapshot.Load()
}

// PeerCall answers a message of another router.
func (l *Loop) PeerCall(ctx context.Context, from, to id.Router, msg any) (any, error) {
	ticket, answer := l.tickets.open()
	action, err := l.ask(ctx, core.PeerCall{Ticket: ticket, From: from, To: to, Msg: msg}, answer)
	if err != nil {
		return nil, err
	}
	reply, _ := action.(core.PeerReply)
	return reply.Msg, reply.Err
}
