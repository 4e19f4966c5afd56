package callerconn

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against cutting off callers that read slowly, had nothing to read, or whose acknowledgments a frozen process
// has not received yet, and against keeping those that stopped, also if little is written to them.
func TestOnlyCallersWithoutProgressStall(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	p := progress{timeout: 5 * time.Second}
	last, written, unacknowledged, stalled := start, int64(0), int64(0), false // at the step before
	for _, step := range []struct {
		second                  int
		written, unacknowledged int64
		unobserved              bool // nothing was observed since the step before
		stalled                 bool
	}{
		{0, 0, 0, true, false},
		{60, 100, 0, true, false}, // nothing was waiting
		{61, 1000, 900, false, false},
		{64, 1000, 899, false, false}, // one byte in three seconds
		{68, 1000, 898, false, false},
		{72, 2000, 1898, false, false}, // four seconds without one
		{73, 2000, 1898, false, true},
		{74, 2000, 1000, false, false},
		{80, 2000, 1000, true, false}, // frozen for six seconds
		{84, 2000, 1000, false, false},
		{85, 2000, 1000, false, true}, // no acknowledgment came after that
		{86, 2000, 500, false, false},
		{89, 2100, 600, true, false}, // an event every three seconds, none of them acknowledged
		{92, 2200, 700, true, false},
		{95, 2300, 800, true, true},
	} {
		for at := last.Add(p.interval()); !step.unobserved && at.Before(start.Add(time.Duration(step.second)*time.Second)); at = at.Add(p.interval()) {
			c.Check(p.observe(at, written, unacknowledged), qt.Equals, stalled, qt.Commentf("at %v", at.Sub(start)))
		}
		last, written, unacknowledged, stalled = start.Add(time.Duration(step.second)*time.Second), step.written, step.unacknowledged, step.stalled
		c.Check(p.observe(start.Add(time.Duration(step.second)*time.Second), step.written, step.unacknowledged), qt.Equals, step.stalled,
			qt.Commentf("at %d s", step.second))
	}
}

// Guards against a write that blocks forever because its caller reads nothing, and against an unbounded kernel buffer.
func TestWriteToCallerThatReadsNothingFails(t *testing.T) {
	c := qt.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	l := &Listener{Listener: inner, Timeout: 300 * time.Millisecond}
	defer func() { _ = l.Close() }() // the test has ended
	caller, err := net.Dial("tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = caller.Close() }() // as above
	c.Assert(caller.(*net.TCPConn).SetReadBuffer(4096), qt.IsNil)
	accepted, err := l.Accept()
	c.Assert(err, qt.IsNil)
	done, least := make(chan struct{}), make(chan int64)
	go func() {
		waiting := int64(32 << 20)
		for {
			select {
			case <-done:
				least <- waiting
				return
			case <-time.After(5 * time.Millisecond):
				if now := l.WaitingBytes(); now > 0 {
					waiting = min(waiting, now)
				}
			}
		}
	}()
	n, err := accepted.Write(make([]byte, 32<<20))
	close(done)
	c.Assert(err, qt.Equals, ErrStalled)
	c.Assert(n < 4<<20, qt.IsTrue, qt.Commentf("%d bytes buffered", n))
	c.Assert(<-least, qt.Equals, int64(32<<20-n), qt.Commentf("without the bytes that the kernel took"))
	c.Assert(l.Stalled(), qt.Equals, int64(1))
	c.Assert(l.WaitingBytes(), qt.Equals, int64(0))
}
