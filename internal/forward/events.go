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

// streamBuffer is the size in bytes of the read buffer for a stream, enough for several events.
const streamBuffer = 2048

// relayEvents relays a stream event by event. If the server breaks off in the middle of an
// event, the caller gets no part of that event, so that another server can resume the stream
// right after the last complete one.
func (t *task) relayEvents(watch *watchdog, server *fleet.Server, reply *upstream.Reply) outcome {
	events := eventstream.NewReader(bufio.NewReaderSize(reply, streamBuffer))
	watch.resume()
	for {
		e, err := events.Next()
		isCurrent := watch.pause()
		if err == io.EOF {
			return t.finishEvents(watch, server, reply)
		}
		if err != nil {
			return t.handleBroken(watch, server, err)
		}
		if !isCurrent {
			return t.handleBroken(watch, server, errStalled) // the other server sends this event, too
		}
		t.recordReceived(watch)
		if e.HasID && t.hasLastEventID && e.ID <= t.lastEventID {
			watch.progress()
			continue // already relayed from an earlier attempt
		}
		if e.HasID && t.hasLastEventID && e.ID != t.lastEventID+1 {
			return t.handleBroken(watch, server, errors.Errorf("event %d follows event %d", e.ID, t.lastEventID))
		}
		if err := t.relayEvent(watch, server, reply, e); err != nil {
			return callerGone
		}
	}
}

func (t *task) relayEvent(watch *watchdog, server *fleet.Server, reply *upstream.Reply, e eventstream.Event) error {
	if !t.headSent {
		t.recordVersion(server)
	}
	t.sendHead(reply)
	now := time.Now()
	t.recordGap(now)
	if e.HasID {
		t.lastEventID, t.hasLastEventID = e.ID, true
	}
	// In a stream with event IDs, events without one hold no tokens: an end marker, a summary.
	if e.HasID || !t.hasLastEventID {
		t.events++
	}
	t.stream.BeginWrite()
	err := t.send(watch, e.Raw)
	t.stream.EndWrite(time.Since(now))
	return err
}

// recordGap updates the longest time between two events.
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
	t.headSent, t.firstByteAt = true, time.Now()
	const unknown = -1 // another server may continue the stream
	t.caller.Begin(reply.Status, reply.Header, unknown)
}

func (t *task) finishEvents(watch *watchdog, server *fleet.Server, reply *upstream.Reply) outcome {
	if watch.parent.Err() != nil && !t.pastDeadline() {
		return callerGone
	}
	if reply.Unframed && t.received == 0 {
		return t.handleBroken(watch, server, errors.New("stream ended with its connection before its first event"))
	}
	t.sendHead(reply)
	server.RecordSuccess()
	if t.r.Route.IsResumableStream() {
		t.f.Streams.Finished(t.r)
	}
	t.recordServed(server, reply)
	return finished
}
