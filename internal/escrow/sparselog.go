package escrow

import "time"

// sparseLogInterval is the minimum time between two lines of a sparseLog: short enough to
// explain the refusals of each second.
const sparseLogInterval = time.Second

// sparseLog limits the rate of repetitive log lines. Each request refused for lack of
// budget is logged already; a second line with the state of the budget for each of them
// would double the log volume and halve the time that retained logs cover.
type sparseLog struct {
	next       time.Duration // on the monotonic clock
	suppressed int
}

// due reports whether a line may be logged now, and otherwise counts it as suppressed.
func (l *sparseLog) due(now time.Duration) bool {
	if now < l.next {
		l.suppressed++
		return false
	}
	l.next = now + sparseLogInterval
	return true
}

// takeSuppressed returns the number of lines suppressed since the last call, and resets it.
func (l *sparseLog) takeSuppressed() int {
	suppressed := l.suppressed
	l.suppressed = 0
	return suppressed
}
