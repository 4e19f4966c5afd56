package event

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// Limits of a Buffer.
const (
	// maxBuffered is the maximum number of buffered bytes, enough for a few seconds of a
	// busy router's log. Lines that do not fit are dropped and counted.
	maxBuffered = 256 << 10
	// flushInterval is the time between writes, so that one write call carries many lines.
	flushInterval = 100 * time.Millisecond
)

// Buffer accepts log lines without blocking. The goroutine that calls Run writes them, so
// that a slow reader of standard output does not slow down requests.
type Buffer struct {
	out io.Writer

	mu           sync.Mutex
	pending      bytes.Buffer
	dropped      int64 // since the last flush
	totalDropped int64
}

// NewBuffer returns a Buffer that writes to out. Lines are written only by Run.
func NewBuffer(out io.Writer) *Buffer {
	return &Buffer{out: out}
}

// Write buffers one line, or drops the whole line if the buffer is full.
func (b *Buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pending.Len()+len(line) > maxBuffered {
		b.dropped++
		b.totalDropped++
		return len(line), nil
	}
	return b.pending.Write(line)
}

// Dropped returns the total number of dropped lines.
func (b *Buffer) Dropped() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.totalDropped
}

// Run writes buffered lines at regular intervals until ctx ends, and then the rest.
func (b *Buffer) Run(ctx context.Context) {
	ticker := time.NewTicker(flushInterval)
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
	lines := bytes.Clone(b.pending.Bytes())
	b.pending.Reset()
	dropped := b.dropped
	b.dropped = 0
	b.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", dropped)
	}
	if len(lines) > 0 {
		_, _ = b.out.Write(lines) // an error can't be reported anywhere else
	}
}
