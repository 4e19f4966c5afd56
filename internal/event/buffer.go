package event

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// Bounds of a Buffer.
const (
	// bufferMost is the bytes that wait at most; lines beyond it are dropped and
	// counted. It holds some seconds of a busy router's lines.
	bufferMost = 256 << 10
	// flushEvery is how long a line waits: one write call then carries many lines.
	flushEvery = 100 * time.Millisecond
)

// Buffer takes lines without ever blocking and writes them from one goroutine. A
// reader of standard output that is slow must not slow requests.
type Buffer struct {
	out io.Writer

	mu      sync.Mutex
	waiting bytes.Buffer
	dropped int64 // since the last flush
	total   int64
}

// NewBuffer makes a buffer before out. Run must be called for lines to appear.
func NewBuffer(out io.Writer) *Buffer {
	return &Buffer{out: out}
}

// Write takes one line, or drops it whole if too much waits.
func (b *Buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waiting.Len()+len(line) > bufferMost {
		b.dropped++
		b.total++
		return len(line), nil
	}
	return b.waiting.Write(line)
}

// Dropped is how many lines were dropped in all.
func (b *Buffer) Dropped() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

// Run writes what waits until ctx ends, and then the rest.
func (b *Buffer) Run(ctx context.Context) {
	ticker := time.NewTicker(flushEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			b.flush()
			return
		case <-ticker.C:
			b.flush()
		}
	}
}

func (b *Buffer) flush() {
	b.mu.Lock()
	lines := bytes.Clone(b.waiting.Bytes())
	b.waiting.Reset()
	dropped := b.dropped
	b.dropped = 0
	b.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", dropped)
	}
	if len(lines) > 0 {
		_, _ = b.out.Write(lines) // there is nowhere else to report it
	}
}
