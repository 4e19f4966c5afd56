package event

import (
	"fmt"
	"log/slog"
	"runtime"
	"runtime/debug"
)

// EmitPanic logs a recovered panic as InvariantBroken. The deferred function that
// recovered the panic must call it, so that the logged stack is that of the panic.
//
// The value of a panic may contain a caller's text or a key, which must not reach a
// log. Only its type is logged, or the text of a runtime.Error, which contains only
// numbers and types. The stack contains no such text either.
func (l *Log) EmitPanic(where string, cause any) {
	text := fmt.Sprintf("%T", cause)
	if runtimeErr, ok := cause.(runtime.Error); ok {
		text = runtimeErr.Error()
	}
	l.Emit(InvariantBroken,
		slog.String("invariant", "no panic in "+where),
		slog.String(KeyCause, text),
		slog.String("stack", string(debug.Stack())))
}
