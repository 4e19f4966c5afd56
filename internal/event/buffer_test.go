package event

import (
	"bytes"
	"context"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against requests that block on standard output, and against dropped lines that are
// not reported.
func TestBufferDropsAndCountsExcessLines(t *testing.T) {
	var out bytes.Buffer
	b := NewBuffer(&out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	lines := maxBuffered/len(line) + 5
	for i := 0; i < lines; i++ {
		n, err := b.Write(line)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, n, qt.Equals, len(line))
	}
	qt.Assert(t, b.Dropped(), qt.Equals, int64(5))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	b.Run(ctx)
	qt.Assert(t, strings.Count(out.String(), "\n"), qt.Equals, lines-5+1)
	qt.Assert(t, out.String(), qt.Contains, `"lines":5`)
}
