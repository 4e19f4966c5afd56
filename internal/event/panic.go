package event

import (
	"fmt"
	"log/slog"
	"runtime"
	"runtime/debug"
)

// EmitPanic tells of a recovered panic by InvariantBroken. It is called by the
// deferred function that recovered it, so that the stack is the panic's own.
//
// Failure: the value of a panic may hold a caller's text or a key, which must not
// reach a log. Only its type is told, and the text of the runtime's own errors,
// which holds numbers and types. A stack holds none of it either.
func (l *Log) EmitPanic(where string, cause any) {
	text := fmt.Sprintf("%T", cause)
	if fault, ok := cause.(runtime.Error); ok {
		text = fault.Error()
	}
	l.Emit(InvariantBroken,
		slog.String("invariant", "no panic in "+where),
		slog.String(KeyCause, text),
		slog.String("stack", string(debug.Stack())))
}
