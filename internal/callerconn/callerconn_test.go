package callerconn

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against cutting off callers that read slowly or had nothing to read, and against keeping those that stopped.
func TestOnlyCallersWithoutProgressStall(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	p := progress{timeout: 5 * time.Second}
	for _, step := range []struct {
		second                  int
		written, unacknowledged int64
		stalled                 bool
	}{
		{0, 0, 0, false},
		{60, 100, 0, false}, // nothing was waiting
		{61, 1000, 900, false},
		{64, 1000, 899, false}, // one byte in three seconds
		{68, 1000, 898, false},
		{72, 2000, 1898, false}, // four seconds without one
		{73, 2000, 1898, true},
	} {
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
	n, err := accepted.Write(make([]byte, 32<<20))
	c.Assert(err, qt.Equals, ErrStalled)
	c.Assert(n < 4<<20, qt.IsTrue, qt.Commentf("%d bytes buffered", n))
	c.Assert(l.Stalled(), qt.Equals, int64(1))
	c.Assert(l.WaitingBytes(), qt.Equals, int64(0))
}
