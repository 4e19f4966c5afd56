package forward

import (
	"bufio"
	"io"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/eventstream"
	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/upstream"
)

// streamBuffer holds some events of a stream.
const streamBuffer = 2048

// relayEvents passes a stream on event by event. A server that breaks off in the
// middle of an event leaves no part of it with the caller, so that the stream can
// go on at another server right after the last whole event.
func (t *task) relayEvents(watch *watchdog, server *fleet.Server, reply *upstream.Reply) outcome {
	events := eventstream.NewReader(bufio.NewReaderSize(reply, streamBuffer))
	for {
		e, err := events.Next()
		if err == io.EOF {
			return t.finishEvents(watch, server, reply)
		}
		if err != nil {
			return t.handleBroken(watch, server, err)
		}
		watch.progress()
		if e.HasID && t.hasEvent && e.ID <= t.lastEvent {
			continue // the caller has it from an earlier attempt
		}
		if e.HasID && t.hasEvent && e.ID != t.lastEvent+1 {
			return t.handleBroken(watch, server, errors.Errorf("event %d after %d", e.ID, t.lastEvent))
		}
		if err := t.relayEvent(reply, e); err != nil {
			return callerGone
		}
	}
}

func (t *task) relayEvent(reply *upstream.Reply, e eventstream.Event) error {
	t.sendHead(reply)
	t.recordGap(time.Now())
	if e.HasID {
		t.lastEvent, t.hasEvent = e.ID, true
	}
	// Beside events with ids, those without hold no tokens: an end mark, a summary.
	if e.HasID || !t.hasEvent {
		t.events++
	}
	return t.caller.Write(e.Raw)
}

// recordGap keeps the longest time between two events.
func (t *task) recordGap(now time.Time) {
	if !t.lastEventAt.IsZero() {
		t.maxGap = max(t.maxGap, now.Sub(t.lastEventAt))
	}
	t.lastEventAt = now
}

func (t *task) sendHead(reply *upstream.Reply) {
	if t.headSent {
		return
	}
	t.headSent, t.firstAt = true, time.Now()
	const unknown = -1 // events of another server may follow
	t.caller.Begin(reply.Status, reply.Header, unknown)
}

func (t *task) finishEvents(watch *watchdog, server *fleet.Server, reply *upstream.Reply) outcome {
	if watch.parent.Err() != nil && !t.pastDeadline() {
		return callerGone
	}
	t.sendHead(reply)
	server.RecordSuccess()
	t.recordServed(server, reply.Status)
	return finished
}
