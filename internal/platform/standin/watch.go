package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"time"

	"github.com/gofiber/fiber/v2"

	"chicorytiller.example/chicorytiller/internal/platform"
	"chicorytiller.example/chicorytiller/internal/platform/etcdgw/wire"
	"chicorytiller.example/chicorytiller/internal/platform/memkv"
)

// watch answers with a stream of JSON lines, one for each change.
func (s *Server) watch(c *fiber.Ctx) error {
	var request wire.WatchRequest
	if err := readBody(c, &request); err != nil {
		return err
	}
	create := request.Create
	if len(create.Key) == 0 {
		return invalid("standin: a watch is on one key")
	}
	after := platform.Revision(create.StartRevision - 1)
	if create.StartRevision <= 0 {
		after = s.store.Revision() // from now on
	}
	ctx, cancel := context.WithCancel(s.closing)
	values, err := s.store.Watch(ctx, string(create.Key), after)
	if err != nil {
		cancel()
		return answerStoreError(c, err)
	}
	stream := watchStream{store: s.store, values: values, interval: s.progress}
	c.Context().SetBodyStreamWriter(func(w *bufio.Writer) {
		defer cancel()
		stream.run(w)
	})
	return nil
}

// watchStream writes one watch to one connection.
type watchStream struct {
	store    *memkv.Store
	values   <-chan platform.Value
	interval time.Duration
}

// run goes on until the watch ends or a write fails. The reader's end shows
// only in a failed write; so an idle stream is sent a message now and then.
func (s watchStream) run(w *bufio.Writer) {
	if err := s.send(w, wire.WatchResponse{Created: true}); err != nil {
		return
	}
	ticker := time.NewTicker(s.interval)
	defer ticker.Stop()
	for {
		var response wire.WatchResponse
		select {
		case v, open := <-s.values:
			if !open {
				return
			}
			response.Events = []wire.Event{event(v, s.store.Revision())}
		case <-ticker.C:
		}
		if err := s.send(w, response); err != nil {
			return
		}
	}
}

func event(v platform.Value, revision platform.Revision) wire.Event {
	if v.Revision != 0 {
		return wire.Event{KV: keyValue(v)}
	}
	deleted := wire.KeyValue{Key: []byte(v.Key), ModRevision: int64(revision)}
	return wire.Event{Type: wire.EventDelete, KV: deleted}
}

func (s watchStream) send(w *bufio.Writer, response wire.WatchResponse) error {
	response.Header = header(s.store.Revision())
	line, err := json.Marshal(wire.WatchLine{Result: &response})
	if err != nil {
		return err
	}
	if _, err := w.Write(append(line, '\n')); err != nil {
		return err
	}
	return w.Flush()
}
