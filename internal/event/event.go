// Package event logs the numbered events of a process as JSON lines, one event
// per line, with log/slog. Each line contains the name of the process, a sequence
// number within the process and a Lamport clock, so that chicory-timeline can merge
// the logs of many processes in causal order.
package event

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// Number identifies a kind of event. A number is never reused for another kind.
type Number int

// Keys of the attributes that each event line contains.
const (
	KeyNumber  = "event"
	KeyProcess = "process"
	KeySeq     = "seq"
	KeyClock   = "clock"
)

// Keys of attributes that many kinds of events share, so that package timeline can filter
// and summarize events by them.
const (
	KeyRequest = "request"
	KeyAttempt = "attempt"
	KeyAccount = "account"
	KeyRouter  = "router"
	KeyBackend = "backend"
	KeyBudget  = "budget"
	KeyCause   = "cause"
	KeyTokens  = "tokens"
)

// Log writes events of one process. It is safe for concurrent use.
type Log struct {
	process string
	logger  *slog.Logger
	clock   atomic.Uint64

	// mu keeps the lines in the order of seq. Without it, two goroutines could write
	// their lines in the opposite order.
	mu  sync.Mutex
	seq uint64
}

// New returns a Log that writes the events of process to w, from level up. A nil now means
// time.Now.
func New(w io.Writer, process string, level slog.Leveler, now func() time.Time) *Log {
	options := &slog.HandlerOptions{Level: level}
	if now != nil {
		options.ReplaceAttr = func(groups []string, a slog.Attr) slog.Attr {
			if a.Key == slog.TimeKey && len(groups) == 0 {
				a.Value = slog.TimeValue(now())
			}
			return a
		}
	}
	return &Log{process: process, logger: slog.New(slog.NewJSONHandler(w, options))}
}

// Process returns the name of the process, which each line carries.
func (l *Log) Process() string {
	return l.process
}

// Discard returns a Log that writes nothing.
func Discard() *Log {
	return &Log{logger: slog.New(slog.DiscardHandler)}
}

// Emit writes one event if the log's level includes it.
func (l *Log) Emit(n Number, attrs ...slog.Attr) {
	kind := kindOf(n)
	if !l.logger.Enabled(context.Background(), kind.Level) {
		return
	}
	all := make([]slog.Attr, 0, len(attrs)+4)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	all = append(all,
		slog.Int(KeyNumber, int(n)),
		slog.String(KeyProcess, l.process),
		slog.Uint64(KeySeq, l.seq),
		slog.Uint64(KeyClock, l.Tick()),
	)
	all = append(all, attrs...)
	l.logger.LogAttrs(context.Background(), kind.Level, kind.Text, all...)
}

// Tick advances the Lamport clock for an event or a sent message and returns its new value.
func (l *Log) Tick() uint64 {
	return l.clock.Add(1)
}

// Observe advances the Lamport clock to at least that of a received message, so that later
// events are ordered after those that preceded the message at its sender.
func (l *Log) Observe(remote uint64) {
	for {
		current := l.clock.Load()
		if remote <= current || l.clock.CompareAndSwap(current, remote) {
			return
		}
	}
}
