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
			return t.endEvents(watch, server, reply)
		}
		if err != nil {
			return t.brokenBy(watch, server, err)
		}
		watch.progress()
		if e.HasID && t.hasEvent && e.ID <= t.lastEvent {
			continue // the caller has it from an earlier attempt
		}
		if e.HasID && t.hasEvent && e.ID != t.lastEvent+1 {
			return t.brokenBy(watch, server, errors.Errorf("event %d after %d", e.ID, t.lastEvent))
		}
		if err := t.passEvent(reply, e); err != nil {
			return callerGone
		}
	}
}

func (t *task) passEvent(reply *upstream.Reply, e eventstream.Event) error {
	t.beginEvents(reply)
	t.notePause(time.Now())
	if e.HasID {
		t.lastEvent, t.hasEvent = e.ID, true
	}
	// Beside events with ids, those without hold no tokens: an end mark, a summary.
	if e.HasID || !t.hasEvent {
		t.events++
	}
	return t.caller.Write(e.Raw)
}

// notePause keeps the longest time between two events.
func (t *task) notePause(now time.Time) {
	if !t.eventAt.IsZero() {
		t.pause = max(t.pause, now.Sub(t.eventAt))
	}
	t.eventAt = now
}

func (t *task) beginEvents(reply *upstream.Reply) {
	if t.begun {
		return
	}
	t.begun, t.firstAt = true, time.Now()
	const unknown = -1 // events of another server may follow
	t.caller.Begin(reply.Status, reply.Header, unknown)
}

func (t *task) endEvents(watch *watchdog, server *fleet.Server, reply *upstream.Reply) outcome {
	if watch.parent.Err() != nil && !t.late() {
		return callerGone
	}
	t.beginEvents(reply)
	server.RecordSuccess()
	t.served(server, reply.Status)
	return finished
}
