package escrow

import "time"

// sparseLogEvery is the least time between two lines of a sparseLog: often enough to tell
// what a refusal of that second was for.
const sparseLogEvery = time.Second

// sparseLog spaces lines that tell the same again and again. Each request that is refused
// for its budget has a line of its own; another one beside it, with the state of the
// budget, doubled the output of a router and halved the time that kept logs reach back.
type sparseLog struct {
	next     time.Duration // on the steady clock
	unlogged int
}

// due says whether a line may be written now, and else counts it as not written.
func (l *sparseLog) due(now time.Duration) bool {
	if now < l.next {
		l.unlogged++
		return false
	}
	l.next = now + sparseLogEvery
	return true
}

// take returns how many lines were not written since the last one that was.
func (l *sparseLog) take() int {
	unlogged := l.unlogged
	l.unlogged = 0
	return unlogged
}
