package router

import (
	"context"
	"time"

	"chicorytiller.example/chicorytiller/internal/core"
	"chicorytiller.example/chicorytiller/internal/event"
)

// Pacing of the planned stop.
const (
	drainPoll  = 20 * time.Millisecond
	handOver   = 10 * time.Second // for grants, witnessed routers and the record
	fencedWait = 5 * time.Second
)

// drain is the planned stop. First the other routers leave this one out of their
// entry answers; callers that hold an older answer are served for the linger time;
// then new requests are refused with another address, the streams end, the grants
// are given back and the tenure ends, so that nothing is left to settle.
func (r *Router) drain() error {
	r.loop.Post(core.DrainRequested{})
	r.wait(r.settings.Drain.Linger, func(core.DrainStatus) bool { return false })
	r.loop.Post(core.StopAdmitting{})
	r.wait(r.settings.Drain.Timeout, func(s core.DrainStatus) bool { return s.Requests == 0 })
	ctx, cancel := context.WithTimeout(context.Background(), r.settings.Drain.Timeout)
	defer cancel()
	err := r.callers.Shutdown(ctx)
	r.loop.Post(core.GrantsReturnRequested{})
	r.wait(handOver, func(s core.DrainStatus) bool { return !s.Granted && s.Witnessed == 0 })
	r.loop.Post(core.LeaveRequested{})
	r.wait(handOver, func(s core.DrainStatus) bool { return s.Left })
	r.events.Emit(event.DrainFinished)
	return err
}

// wait polls the core until done, for a bounded time.
func (r *Router) wait(limit time.Duration, done func(core.DrainStatus) bool) {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		var status core.DrainStatus
		if r.loop.Inspect(func(c *core.Core) { status = c.DrainStatus() }) != nil || status.Fenced || done(status) {
			return
		}
		time.Sleep(drainPoll)
	}
}
