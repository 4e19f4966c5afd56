package event

import (
	"bytes"
	"encoding/json"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

func TestEmitWritesOneLinePerEvent(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	now := time.Date(2026, 5, 1, 12, 0, 0, 0, time.UTC)
	log := New(&out, "entry-1@7", slog.LevelInfo, func() time.Time { return now })
	log.Emit(DrawCommitted, slog.String(KeyRequest, "r1")) // below the level
	log.Observe(41)
	log.Emit(RequestRefused, slog.String(KeyRequest, "r1"), slog.String(KeyCause, "overload"))

	var line map[string]any
	c.Assert(json.Unmarshal(out.Bytes(), &line), qt.IsNil)
	c.Assert(line, qt.DeepEquals, map[string]any{
		"time": "2026-05-01T12:00:00Z", "level": "INFO", "msg": "request refused",
		"event": 201.0, "process": "entry-1@7", "seq": 1.0, "clock": 42.0,
		"request": "r1", "cause": "overload",
	})
}

// Guards against prompts that reach the log in the value of a panic.
func TestEmitPanicTellsNoText(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	log := New(&out, "p", slog.LevelInfo, nil)
	emitPanicOf := func(f func()) {
		defer func() { log.EmitPanic("a handler", recover()) }()
		f()
	}
	emitPanicOf(func() { panic("text of a prompt") })
	emitPanicOf(func() { panic(errors.New("text of a prompt")) })
	c.Assert(out.String(), qt.Not(qt.Contains), "prompt")
	var empty []int
	emitPanicOf(func() { empty[len(empty)] = 1 })
	c.Assert(out.String(), qt.Contains, "index out of range")
	c.Assert(out.String(), qt.Contains, "TestEmitPanicTellsNoText")
	c.Assert(strings.Count(out.String(), `"event":900`), qt.Equals, 3)
}

func TestSeqMatchesLineOrder(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	log := New(&out, "p", slog.LevelInfo, nil)
	const writers, eventsPerWriter = 8, 50
	var group conc.WaitGroup
	for range writers {
		group.Go(func() {
			for range eventsPerWriter {
				log.Emit(ProcessReady)
			}
		})
	}
	group.Wait()
	decoder := json.NewDecoder(&out)
	for want := uint64(1); want <= writers*eventsPerWriter; want++ {
		var line struct{ Seq, Clock uint64 }
		c.Assert(decoder.Decode(&line), qt.IsNil)
		c.Assert(line.Seq, qt.Equals, want)
		c.Assert(line.Clock, qt.Equals, want)
	}
}

func BenchmarkEmit(b *testing.B) {
	log := New(io.Discard, "entry-1@7", slog.LevelInfo, nil)
	b.ReportAllocs()
	for b.Loop() {
		log.Emit(RequestRefused, slog.String(KeyRequest, "r1"), slog.String(KeyCause, "overload"))
	}
}

func BenchmarkEmitBelowLevel(b *testing.B) {
	log := New(io.Discard, "entry-1@7", slog.LevelInfo, nil)
	b.ReportAllocs()
	for b.Loop() {
		log.Emit(DrawCommitted, slog.String(KeyRequest, "r1"), slog.String(KeyCause, "overload"))
	}
}
